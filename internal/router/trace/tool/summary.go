package tool

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/policy"
)

// Range of the latency histogram, in tenths of a millisecond, its precision in significant
// decimal digits, and the percentiles that summaries contain.
const (
	minLatency     = 1
	maxLatency     = 60 * tenthsPerSecond
	latencyDigits  = 3
	medianQuantile = 50
	p99Quantile    = 99
)

// GroupSummary is the summary of one command group in one replica set. The names of the fields
// are the keys in the JSON of `trace summary --json`. Times are in milliseconds.
type GroupSummary struct {
	Group      string
	Set        int64
	Taken      int64             // commands submitted
	Answered   int64             // commands with a response from a host
	Throttled  int64             // commands rejected as retryable
	Failed     int64             // commands that failed
	Open       int64             // commands without a final answer in the trace
	Dispatches float64           // per command
	Replicas   float64           // fraction of the responses that replicas sent
	Median     float64           // median latency from submission to response
	P99        float64           // 99th percentile of that latency
	Comeback   float64           // mean delay after which rejected clients may retry
	Waited     float64           // mean time from submission to the first dispatch
	Outcomes   map[string]int64  // number of dispatches by outcome
	Over       map[int64]float64 // fraction of the submitted commands that were answered, by second of the submission
}

// groupKey identifies a command group by its number and a replica set.
type groupKey struct{ group, set int64 }

// groupState accumulates the summary of one command group in one replica set. The embedded summary holds the plain counters.
type groupState struct {
	GroupSummary
	dispatches       int64
	replicas         int64           // responses from replicas
	firstDispatches  int64           // commands with at least one dispatch
	totalWaited      int64           // total time from submission to the first dispatch, in tenths of a millisecond
	totalComeback    int64           // total retry delay, in tenths of a millisecond
	takenBySecond    map[int64]int64 // by second of the submission
	answeredBySecond map[int64]int64 // by second of the submission
	latency          *hdrhistogram.Histogram
}

// openCommand is a command without a final answer.
type openCommand struct {
	group      *groupState
	takenAt    int64
	dispatched bool
}

// Summary summarizes the events that are added to it.
type Summary struct {
	Events int64 // number of events added

	schema       format.Schema
	groupNames   []string
	states       map[groupKey]*groupState
	openCommands map[int64]*openCommand // by number
}

// NewSummary returns an empty summary for a trace with the given header.
func NewSummary(header format.Header) *Summary {
	return &Summary{
		schema: header.Schema, groupNames: GroupNames(header),
		states: map[groupKey]*groupState{}, openCommands: map[int64]*openCommand{},
	}
}

// Add adds an event. Events of commands whose take event was not added are ignored.
func (s *Summary) Add(event format.Event) {
	s.Events++
	e := newNamedEvent(s.schema, event)
	number, ok := e.command()
	if !ok {
		return
	}
	if e.kind.Name == "take" {
		group := s.state(groupKey{e.number("group"), e.number("set")})
		group.Taken++
		group.takenBySecond[e.At/tenthsPerSecond]++
		s.openCommands[number] = &openCommand{group: group, takenAt: e.At}
		return
	}
	if command := s.openCommands[number]; command != nil {
		if final := command.add(e); final {
			delete(s.openCommands, number)
		}
	}
}

// state returns the state for a key, and creates it if necessary.
func (s *Summary) state(key groupKey) *groupState {
	if known := s.states[key]; known != nil {
		return known
	}
	state := &groupState{
		takenBySecond: map[int64]int64{}, answeredBySecond: map[int64]int64{},
		latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
	state.Set, state.Outcomes = key.set, map[string]int64{}
	state.Group = fmt.Sprintf("group %d", key.group)
	if key.group >= 0 && key.group < int64(len(s.groupNames)) {
		state.Group = s.groupNames[key.group]
	}
	s.states[key] = state
	return state
}

// add adds an event of the command and reports whether it is the final one.
func (c *openCommand) add(e namedEvent) (final bool) {
	group := c.group
	switch e.kind.Name {
	case "dispatch":
		group.dispatches++
		if !c.dispatched {
			c.dispatched = true
			group.firstDispatches++
			group.totalWaited += e.At - c.takenAt
		}
	case "ended":
		outcome := policy.Outcome(e.number("outcome"))
		group.Outcomes[outcome.String()]++
		if outcome == policy.Answered {
			c.addResponse(e)
			return true
		}
	case "throttle":
		group.Throttled++
		group.totalComeback += e.number("comeback")
		return true
	case "fail":
		group.Failed++
		return true
	case "left":
		return true
	}
	return false
}

func (c *openCommand) addResponse(e namedEvent) {
	group := c.group
	group.Answered++
	group.answeredBySecond[c.takenAt/tenthsPerSecond]++
	_ = group.latency.RecordValue(max(0, e.At-c.takenAt)) // fails for a latency over maxLatency, which is then left out
	if policy.Role(e.number("role")) == policy.Replica {
		group.replicas++
	}
}

// Groups returns the summaries of the events added so far, sorted by group and set.
func (s *Summary) Groups() []GroupSummary {
	open := map[*groupState]int64{}
	for _, command := range s.openCommands {
		open[command.group]++
	}
	var summaries []GroupSummary
	for _, state := range s.states {
		summary := state.summary()
		summary.Open = open[state]
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(a, b GroupSummary) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Set, b.Set))
	})
	return summaries
}

// summary returns the summary without the number of open commands.
func (g *groupState) summary() GroupSummary {
	summary := g.GroupSummary
	summary.Dispatches = ratio(g.dispatches, g.Taken)
	summary.Replicas = ratio(g.replicas, g.Answered)
	summary.Comeback = ratio(g.totalComeback, tenthsPerMillisecond*g.Throttled)
	summary.Waited = ratio(g.totalWaited, tenthsPerMillisecond*g.firstDispatches)
	summary.Median = float64(g.latency.ValueAtQuantile(medianQuantile)) / tenthsPerMillisecond
	summary.P99 = float64(g.latency.ValueAtQuantile(p99Quantile)) / tenthsPerMillisecond
	summary.Over = map[int64]float64{}
	for second, taken := range g.takenBySecond {
		summary.Over[second] = ratio(g.answeredBySecond[second], taken)
	}
	return summary
}

// ratio returns count divided by total, or 0 if total is 0.
func ratio(count, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(count) / float64(total)
}
