// Package replay drives the decision module with the events of a trace, in virtual
// time, and compares what the module asks for with what was recorded.
//
// Events that are calls into the module are made again; what the module then asks
// for, and what the trace says that it asked for, are gathered as lines of text
// until the next call, and compared there. A trace of the same build gives no
// difference; with another module the differences are where its decisions change.
//
// The package has no clock and reads no files.
package replay

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/policy"
)

// ErrPart is the error of a trace that cannot be replayed: of a sample of the
// sessions, with lost events, or not from the router's start.
var ErrPart = errors.New("not the whole of a router's life from its start")

// allSessions is the sample of a trace of every session, in thousandths.
const allSessions = 1000

// Difference is something that the module asked for and that was not recorded, or
// the other way round.
type Difference struct {
	Event    int64  // index of the event in the trace
	At       int64  // time of the call, in tenths of a millisecond
	Call     string // into the module
	Recorded string // what the module asked for when it was recorded; empty: nothing more
	Replayed string // what it asks for in the replay; empty: nothing more
}

// String implements fmt.Stringer.
func (d Difference) String() string {
	return fmt.Sprintf("event %d at %d, after %s: recorded %q, now %q", d.Event, d.At, d.Call, d.Recorded, d.Replayed)
}

// Replay is a replay of the files of one process of a router. It implements
// policy.Caller.
type Replay struct {
	Calls       int64        // made into the module
	Compared    int64        // things asked for that were compared
	Different   int64        // of them, those that differ
	Differences []Difference // the first of them

	maxDifferences int
	deployment     policy.Deployment
	module         *policy.Router

	hosts          map[int64]*policy.Host // by number in the trace
	hostNumbers    map[*policy.Host]int64
	commands       map[int64]*policy.Command // by number in the trace
	commandNumbers map[*policy.Command]int64
	pendingCommand int64 // that Take was called for and whose handle is not known yet

	started        bool
	withCandidates bool // the trace has them
	eventNumber    int64
	lastCall       string
	lastCallAt     int64
	replayed       []string // what the module asked for since the last call
	recorded       []string // what the trace says that it asked for
}

// New begins a replay of files with a header. Of the differences the first
// maxDifferences are kept. The error wraps ErrPart or format.ErrNotTrace, or says
// what is wrong with the deployment in the header.
func New(header format.Header, maxDifferences int) (*Replay, error) {
	if header.SampledPerMille != allSessions {
		return nil, fmt.Errorf("%w: %.1f %% of sessions were recorded", ErrPart, float64(header.SampledPerMille)/10)
	}
	if err := checkSchema(header.Schema); err != nil {
		return nil, err
	}
	deployment, err := record.DecodeDeployment(header.Extra["deployment"])
	if err != nil {
		return nil, err
	}
	return &Replay{
		maxDifferences: maxDifferences, deployment: deployment,
		hosts: map[int64]*policy.Host{}, hostNumbers: map[*policy.Host]int64{},
		commands: map[int64]*policy.Command{}, commandNumbers: map[*policy.Command]int64{},
	}, nil
}

// checkSchema checks the kinds up to View. Those after it are not of the module, or
// were added later and may be missing.
func checkSchema(schema format.Schema) error {
	for i, kind := range record.Schema[:record.View+1] {
		if i >= len(schema) || schema[i].Name != kind.Name || len(schema[i].Columns) != len(kind.Columns) {
			return fmt.Errorf("%w: kind %q is otherwise than here", format.ErrNotTrace, kind.Name)
		}
	}
	return nil
}

// CheckLost takes the number of events that were lost in capture before the next event.
// If there are any, the replay cannot go on, and the error wraps ErrPart.
func (r *Replay) CheckLost(events uint64) error {
	if events > 0 {
		return fmt.Errorf("%w: %d events were lost in capture before event %d", ErrPart, events, r.eventNumber)
	}
	return nil
}

// Apply replays the next event of the trace.
func (r *Replay) Apply(event format.Event) error {
	defer func() { r.eventNumber++ }()
	if !r.started {
		r.started, r.lastCall = true, "start"
		r.startModule(event.At)
	}
	switch classify(event.Kind) {
	case besideModule:
		return nil
	case askedFor:
		r.withCandidates = r.withCandidates || event.Kind == record.Candidate
		r.recorded = append(r.recorded, describe(event))
		return nil
	case introduction:
		r.introduceHost(event)
		return nil
	}
	r.compare()
	r.Calls++
	r.lastCall, r.lastCallAt = record.Schema[event.Kind].Name, event.At
	if event.Kind == record.Anew {
		r.replaceModule(event.At)
		return nil
	}
	r.module.SetTime(event.At)
	return r.call(event)
}

// Finish compares what the last call asked for. complete says that the trace does
// not break off, so that all of that is in it.
func (r *Replay) Finish(complete bool) {
	if r.started && complete {
		r.compare()
	}
}

// compare compares what the last call asked for with what was recorded.
func (r *Replay) compare() {
	if !r.withCandidates { // not recorded, or nothing was dispatched yet
		r.replayed = slices.DeleteFunc(r.replayed, isCandidate)
	}
	for i := range max(len(r.replayed), len(r.recorded)) {
		replayed, recorded := lineAt(r.replayed, i), lineAt(r.recorded, i)
		r.Compared++
		if replayed == recorded {
			continue
		}
		r.Different++
		if len(r.Differences) < r.maxDifferences {
			r.Differences = append(r.Differences, Difference{r.eventNumber, r.lastCallAt, r.lastCall, recorded, replayed})
		}
	}
	r.replayed, r.recorded = r.replayed[:0], r.recorded[:0]
}

func isCandidate(line string) bool { return strings.HasPrefix(line, "candidate ") }

// lineAt returns a line, or an empty string past the end.
func lineAt(lines []string, index int) string {
	if index < len(lines) {
		return lines[index]
	}
	return ""
}
