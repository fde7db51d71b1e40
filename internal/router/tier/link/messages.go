package link

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ferrypitch/internal/router/tier/view"
)

// Limits on values received from a peer.
const (
	maxCount    = 1 << 20 // number of routers, and report interval in tenths of a millisecond
	maxColdWork = 1 << 40 // cold work in thousandths of a command
)

// Report contains the observations of a forwarder since its last report.
type Report struct {
	Interval     int64         `cbor:"1,keyasint,omitempty"` // time covered, in tenths of a millisecond
	Observations []Observation `cbor:"2,keyasint,omitempty"`
}

// Observation contains a forwarder's observations of one host: the newest evidence
// of its position and role, and the responses since the last report.
type Observation struct {
	view.Evidence
	Responses   uint32 `cbor:"6,keyasint,omitempty"` // number of responses
	LatenessSum uint32 `cbor:"7,keyasint,omitempty"` // sum of the response times, each in hundredths of half the unloaded latency
	BootedAt    int64  `cbor:"8,keyasint,omitempty"` // start time of the host to which ColdWork refers
	ColdWork    int64  `cbor:"9,keyasint,omitempty"` // work sent since that start, in thousandths of a command of average cost
}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: 1 << 17, MaxMapPairs: 64, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode())
)

// must panics on an error. It is used where only a programming error can cause one.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// EncodeBody encodes a view.Change or a Report as the body of a frame. It panics if
// the type of the message cannot be encoded.
func EncodeBody(message any) []byte { return must(encoder.Marshal(message)) }

// DecodeChange decodes and validates the body of a KindChange frame, or a stored view.
func DecodeChange(body []byte) (change view.Change, err error) {
	if err := decoder.Unmarshal(body, &change); err != nil {
		return change, fmt.Errorf("invalid change: %w", err)
	}
	for i := range change.Hosts {
		if err := change.Hosts[i].Validate(); err != nil {
			return change, fmt.Errorf("invalid change: host %d: %w", i, err)
		}
	}
	if change.RouterCount < 0 || change.RouterCount > maxCount || change.ReportInterval < 0 || change.ReportInterval > maxCount {
		return change, errors.New("invalid change: router count or report interval is out of range")
	}
	return change, nil
}

// DecodeReport decodes and validates the body of a KindReport frame.
func DecodeReport(body []byte) (report Report, err error) {
	if err := decoder.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("invalid report: %w", err)
	}
	for i, observation := range report.Observations {
		host := view.Host{Name: observation.Name, Role: observation.Role}
		if err := host.Validate(); err != nil {
			return report, fmt.Errorf("invalid report: host %d: %w", i, err)
		}
		if observation.ColdWork < 0 || observation.ColdWork > maxColdWork {
			return report, fmt.Errorf("invalid report: host %d: cold work is out of range", i)
		}
	}
	return report, nil
}
