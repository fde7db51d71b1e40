// Package replay runs the decision module with the events of a trace, in virtual time,
// and compares the module's actions, its calls of policy.Caller, with the recorded ones.
//
// Events of calls into the module are made as calls again. The actions that the module
// takes in response and those in the trace are collected as lines of text and compared
// before the next call. Replaying a trace with the build that recorded it gives no
// differences; with another module, differences show where its decisions change.
//
// The package uses no clock and reads no files.
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

// ErrIncomplete is the error for a trace that is too incomplete to replay: only a sample of the
// sessions was recorded, events were lost, or it does not begin at the router's start.
var ErrIncomplete = errors.New("not the whole of a router's life from its start")

// allSessions is the sampling rate of a trace of every session, in thousandths.
const allSessions = 1000

// Difference is a difference between a recorded action of the module and the action in its
// place in the replay.
type Difference struct {
	Event    int64  // index in the trace of the event at which the difference was found
	At       int64  // time of the call into the module, in tenths of a millisecond
	Call     string // name of the kind of the call into the module
	Recorded string // recorded action; empty if there is none
	Replayed string // action in the replay; empty if there is none
}

// String implements fmt.Stringer.
func (d Difference) String() string {
	return fmt.Sprintf("event %d at %d, after %s: recorded %q, replayed %q", d.Event, d.At, d.Call, d.Recorded, d.Replayed)
}

// Replay replays the trace of one incarnation of a router. It implements policy.Caller.
type Replay struct {
	Calls           int64        // number of calls made into the module
	ComparedActions int64        // number of actions compared
	DifferenceCount int64        // number of compared actions that differ
	Differences     []Difference // the first maxDifferences of them

	maxDifferences int
	deployment     policy.Deployment
	module         *policy.Router

	hosts          map[int64]*policy.Host // by number in the trace
	hostNumbers    map[*policy.Host]int64
	commands       map[int64]*policy.Command // by number in the trace
	commandNumbers map[*policy.Command]int64
	pendingCommand int64 // number of the command in Submit, whose handle is not known yet; 0: none

	started       bool
	hasCandidates bool     // the trace contains candidates
	eventNumber   int64    // index of the next event
	lastCall      string   // name of the kind of the last call; "start" before the first
	lastCallAt    int64    // time of the last call
	replayed      []string // actions of the module since the last call
	recorded      []string // actions in the trace since the last call
}

// New returns a replay of a trace with the given header. Only the first maxDifferences
// differences are kept. The error wraps ErrIncomplete or format.ErrNotTrace, or describes
// why the deployment in the header is invalid.
func New(header format.Header, maxDifferences int) (*Replay, error) {
	if header.SampledPerMille != allSessions {
		return nil, fmt.Errorf("%w: only %.1f%% of the sessions were recorded", ErrIncomplete, float64(header.SampledPerMille)/10)
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

// checkSchema checks that the kinds up to View match record.Schema. Later kinds do not concern
// the module, or may be missing because they were added later.
func checkSchema(schema format.Schema) error {
	for i, kind := range record.Schema[:record.View+1] {
		if i >= len(schema) || schema[i].Name != kind.Name || len(schema[i].Columns) != len(kind.Columns) {
			return fmt.Errorf("%w: kind %q does not match this program's schema", format.ErrNotTrace, kind.Name)
		}
	}
	return nil
}

// CheckLost takes the number of events that were lost in recording before the next event.
// If it is not 0, the replay cannot continue and the error wraps ErrIncomplete.
func (r *Replay) CheckLost(events uint64) error {
	if events > 0 {
		return fmt.Errorf("%w: %d events were lost in recording before event %d", ErrIncomplete, events, r.eventNumber)
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
	case ignored:
		return nil
	case moduleAction:
		r.hasCandidates = r.hasCandidates || event.Kind == record.Candidate
		r.recorded = append(r.recorded, describe(event))
		return nil
	case hostAddition:
		r.addHost(event)
		return nil
	}
	r.compare()
	r.Calls++
	r.lastCall, r.lastCallAt = record.Schema[event.Kind].Name, event.At
	if event.Kind == record.ReplaceModule {
		r.replaceModule(event.At)
		return nil
	}
	r.module.SetTime(event.At)
	return r.call(event)
}

// Finish compares the actions after the last call. complete says that the trace is not
// truncated, so that it contains all of them.
func (r *Replay) Finish(complete bool) {
	if r.started && complete {
		r.compare()
	}
}

// compare compares the actions since the last call with the recorded ones.
func (r *Replay) compare() {
	if !r.hasCandidates { // the trace contains none so far
		r.replayed = slices.DeleteFunc(r.replayed, isCandidate)
	}
	for i := range max(len(r.replayed), len(r.recorded)) {
		replayed, recorded := lineAt(r.replayed, i), lineAt(r.recorded, i)
		r.ComparedActions++
		if replayed == recorded {
			continue
		}
		r.DifferenceCount++
		if len(r.Differences) < r.maxDifferences {
			r.Differences = append(r.Differences, Difference{r.eventNumber, r.lastCallAt, r.lastCall, recorded, replayed})
		}
	}
	r.replayed, r.recorded = r.replayed[:0], r.recorded[:0]
}

func isCandidate(line string) bool { return strings.HasPrefix(line, "candidate ") }

// lineAt returns the line at an index, or an empty string past the end.
func lineAt(lines []string, index int) string {
	if index < len(lines) {
		return lines[index]
	}
	return ""
}
