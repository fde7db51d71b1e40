package tool

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/policy"
)

// Range of the histogram of latencies, in tenths of a millisecond, and its
// precision in decimal digits.
const (
	minLatency     = 1
	maxLatency     = 60 * tenthsPerSecond
	latencyDigits  = 3
	medianQuantile = 50
	p99Quantile    = 99
)

// GroupSummary is the summary of one command group in one replica set. Its fields are the
// JSON of `trace summary --json`. Times are in milliseconds.
type GroupSummary struct {
	Group      string
	Set        int64
	Taken      int64 // commands
	Answered   int64
	Throttled  int64
	Failed     int64
	Open       int64             // without a final answer in the trace
	Dispatches float64           // a command
	Replicas   float64           // part of the responses that replicas gave
	Median     float64           // from take to response
	P99        float64           // from take to response
	Comeback   float64           // mean delay that rejected clients were told to wait
	Waited     float64           // mean from take to the first dispatch
	Outcomes   map[string]int64  // of dispatches
	Over       map[int64]float64 // part of the commands taken that was answered, by second
}

// groupKey identifies a command group, by number, in a replica set.
type groupKey struct{ group, set int64 }

// groupState is what is known of one group in one set so far. The embedded summary has what is only counted.
type groupState struct {
	GroupSummary
	dispatches       int64
	replicas         int64 // responses of replicas
	firstDispatches  int64
	totalWaited      int64 // from take to the first dispatch, in tenths of a millisecond
	totalComeback    int64 // in tenths of a millisecond
	takenBySecond    map[int64]int64
	answeredBySecond map[int64]int64 // by the second of the take
	latency          *hdrhistogram.Histogram
}

// openCommand is a command without a final answer.
type openCommand struct {
	group      *groupState
	takenAt    int64
	dispatched bool
}

// Summary sums up events as they come.
type Summary struct {
	Events int64 // added so far

	schema       format.Schema
	groupNames   []string
	states       map[groupKey]*groupState
	openCommands map[int64]*openCommand // by number
}

// NewSummary returns an empty summary of a trace with a header.
func NewSummary(header format.Header) *Summary {
	return &Summary{
		schema: header.Schema, groupNames: GroupNames(header),
		states: map[groupKey]*groupState{}, openCommands: map[int64]*openCommand{},
	}
}

// Add adds an event. Events of commands whose take was not added are ignored.
func (s *Summary) Add(event format.Event) {
	s.Events++
	e := named(s.schema, event)
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

// state returns the state of a group, which is created if it is the first of its key.
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

// add adds an event of the command and reports whether it is the command's last.
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
	_ = group.latency.RecordValue(max(0, e.At-c.takenAt)) // fails past maxLatency, which is then left out
	if policy.Role(e.number("role")) == policy.Replica {
		group.replicas++
	}
}

// Groups returns the summaries, sorted by group and set. More events may be added after it.
func (s *Summary) Groups() []GroupSummary {
	open := map[*groupState]int64{}
	for _, command := range s.openCommands {
		open[command.group]++
	}
	var lines []GroupSummary
	for _, state := range s.states {
		line := state.line()
		line.Open = open[state]
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b GroupSummary) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Set, b.Set))
	})
	return lines
}

// line returns the summary, without the open commands.
func (g *groupState) line() GroupSummary {
	line := g.GroupSummary
	line.Dispatches = ratio(g.dispatches, g.Taken)
	line.Replicas = ratio(g.replicas, g.Answered)
	line.Comeback = ratio(g.totalComeback, tenthsPerMillisecond*g.Throttled)
	line.Waited = ratio(g.totalWaited, tenthsPerMillisecond*g.firstDispatches)
	line.Median = float64(g.latency.ValueAtQuantile(medianQuantile)) / tenthsPerMillisecond
	line.P99 = float64(g.latency.ValueAtQuantile(p99Quantile)) / tenthsPerMillisecond
	line.Over = map[int64]float64{}
	for second, taken := range g.takenBySecond {
		line.Over[second] = ratio(g.answeredBySecond[second], taken)
	}
	return line
}

// ratio returns the part that count is of total, or 0 if there is nothing.
func ratio(count, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(count) / float64(total)
}
