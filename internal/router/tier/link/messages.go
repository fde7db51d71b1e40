package link

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ferrypitch/internal/router/tier/view"
)

// Limits on what a peer may state.
const (
	maxCount    = 1 << 20 // routers, and a report interval in tenths of a millisecond
	maxColdWork = 1 << 40 // thousandths of a command
)

// Report is what a forwarder observed since its last report.
type Report struct {
	Interval     int64         `cbor:"1,keyasint,omitempty"` // the interval that it covers, in tenths of a millisecond
	Observations []Observation `cbor:"2,keyasint,omitempty"`
}

// Observation is what one forwarder observed of one host: the newest evidence of its
// position and role, and the responses since the last report.
type Observation struct {
	view.Evidence
	Responses   uint32 `cbor:"6,keyasint,omitempty"` // responses
	LatenessSum uint32 `cbor:"7,keyasint,omitempty"` // of their latencies, each in thousandths of the response target
	BootedAt    int64  `cbor:"8,keyasint,omitempty"` // the start of the host that the next field refers to
	ColdWork    int64  `cbor:"9,keyasint,omitempty"` // work sent since that start, in thousandths of a command of the usual mix
}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: 1 << 17, MaxMapPairs: 64, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode())
)

// must is for options and messages that are fixed at compile time.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// EncodeBody encodes a view.Change or a Report as the body of a frame. It panics if the
// argument's type cannot be encoded.
func EncodeBody(message any) []byte { return must(encoder.Marshal(message)) }

// DecodeChange decodes and validates the body of a KindChange frame, or a stored view.
func DecodeChange(body []byte) (change view.Change, err error) {
	if err := decoder.Unmarshal(body, &change); err != nil {
		return change, fmt.Errorf("a change: %w", err)
	}
	for i := range change.Hosts {
		if err := change.Hosts[i].Validate(); err != nil {
			return change, fmt.Errorf("a change: host %d: %w", i, err)
		}
	}
	if change.RouterCount < 0 || change.RouterCount > maxCount || change.ReportInterval < 0 || change.ReportInterval > maxCount {
		return change, errors.New("a change: counts that can't be")
	}
	return change, nil
}

// DecodeReport decodes and validates the body of a KindReport frame.
func DecodeReport(body []byte) (report Report, err error) {
	if err := decoder.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("a report: %w", err)
	}
	for i, observation := range report.Observations {
		host := view.Host{Name: observation.Name, Role: observation.Role}
		if err := host.Validate(); err != nil {
			return report, fmt.Errorf("a report: host %d: %w", i, err)
		}
		if observation.ColdWork < 0 || observation.ColdWork > maxColdWork {
			return report, fmt.Errorf("a report: host %d: work that can't be", i)
		}
	}
	return report, nil
}
