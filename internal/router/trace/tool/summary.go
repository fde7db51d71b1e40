package tool

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/policy"
)

// Line is what a summary says of one command group in one set; times in milliseconds.
type Line struct {
	Group      string
	Set        int64
	Taken      int64
	Answered   int64
	Throttled  int64
	Failed     int64
	Open       int64   // without a final answer in the trace
	Dispatches float64 // a command
	Replicas   float64 // part of the answers that replicas gave
	Median     float64 // from take to answer
	P99        float64
	Comeback   float64           // the mean time to come back that was told
	Waited     float64           // mean from take to the first dispatch
	Outcomes   map[string]int64  // of dispatches
	Over       map[int64]float64 // part answered of what was taken, by second
}

type groupState struct {
	Line
	sent, replicas, waits int64
	comeback, waited      int64
	taken, good           map[int64]int64
	latency               *hdrhistogram.Histogram
}

type openCommand struct {
	group   *groupState
	takenAt int64
	sent    bool
	final   bool
}

// Summary sums up events as they come.
type Summary struct {
	schema       format.Schema
	groups       []string
	states       map[[2]int64]*groupState
	openCommands map[int64]*openCommand
	Events       int64
}

// NewSummary sums up a trace of a header.
func NewSummary(h format.Header) *Summary {
	return &Summary{schema: h.Schema, groups: Groups(h), states: map[[2]int64]*groupState{}, openCommands: map[int64]*openCommand{}}
}

// Add takes the next event.
func (s *Summary) Add(e format.Event) {
	s.Events++
	k := s.schema[e.Kind]
	at := k.Find("command", format.Int)
	if at < 0 {
		return
	}
	number := e.Ints[at]
	if k.Name == "take" {
		l := s.state(numberOf(k, e, "group"), numberOf(k, e, "set"))
		l.Taken++
		l.taken[e.At/10000]++
		s.openCommands[number] = &openCommand{group: l, takenAt: e.At}
		return
	}
	c := s.openCommands[number]
	if c == nil {
		return
	}
	l := c.group
	switch k.Name {
	case "dispatch":
		if l.sent++; !c.sent {
			c.sent = true
			l.waits++
			l.waited += e.At - c.takenAt
		}
	case "ended":
		o := policy.Outcome(numberOf(k, e, "outcome"))
		l.Outcomes[o.String()]++
		if o == policy.Answered && !c.final {
			c.final = true
			l.Answered++
			l.good[c.takenAt/10000]++
			l.latency.RecordValue(max(0, e.At-c.takenAt))
			if policy.Role(numberOf(k, e, "role")) == policy.Replica {
				l.replicas++
			}
		}
	case "throttle":
		c.final = true
		l.Throttled++
		l.comeback += numberOf(k, e, "comeback")
	case "fail":
		c.final = true
		l.Failed++
	case "left":
		c.final = true
	}
	if c.final {
		delete(s.openCommands, number)
	}
}

func (s *Summary) state(group, set int64) *groupState {
	key := [2]int64{group, set}
	l := s.states[key]
	if l == nil {
		l = &groupState{taken: map[int64]int64{}, good: map[int64]int64{}, latency: hdrhistogram.New(1, 600_000, 3)}
		l.Set, l.Outcomes = set, map[string]int64{}
		if l.Group = fmt.Sprintf("group %d", group); group >= 0 && group < int64(len(s.groups)) {
			l.Group = s.groups[group]
		}
		s.states[key] = l
	}
	return l
}

// Lines are the sums, by group and set.
func (s *Summary) Lines() (all []Line) {
	for _, c := range s.openCommands {
		c.group.Open++
	}
	for _, l := range s.states {
		one := l.Line
		one.Dispatches = ratio(l.sent, l.Taken)
		one.Replicas = ratio(l.replicas, l.Answered)
		one.Comeback = ratio(l.comeback, 10*l.Throttled)
		one.Waited = ratio(l.waited, 10*l.waits)
		one.Median, one.P99 = float64(l.latency.ValueAtQuantile(50))/10, float64(l.latency.ValueAtQuantile(99))/10
		one.Over = map[int64]float64{}
		for second, n := range l.taken {
			one.Over[second] = ratio(l.good[second], n)
		}
		all = append(all, one)
	}
	for _, c := range s.openCommands {
		c.group.Open--
	}
	slices.SortFunc(all, func(a, b Line) int { return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Set, b.Set)) })
	return all
}

func ratio(n, of int64) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// Change is what differs between two summaries in one group and set.
type Change struct {
	Group               string
	Set                 int64
	Taken               [2]int64
	Answered, Throttled [2]float64 // parts of what was taken
	Median, P99         [2]float64
	Dispatches          [2]float64
}

// Diff holds two summaries side by side; what only one has is nothing in the other.
func Diff(a, b []Line) (all []Change) {
	type key struct {
		group string
		set   int64
	}
	sides := map[key]*[2]Line{}
	for side, lines := range [][]Line{a, b} {
		for _, l := range lines {
			k := key{l.Group, l.Set}
			if sides[k] == nil {
				sides[k] = &[2]Line{}
			}
			sides[k][side] = l
		}
	}
	keys := slices.SortedFunc(maps.Keys(sides), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.set, b.set))
	})
	for _, k := range keys {
		c := Change{Group: k.group, Set: k.set}
		for i, l := range sides[k] {
			c.Taken[i], c.Answered[i], c.Throttled[i] = l.Taken, ratio(l.Answered, l.Taken), ratio(l.Throttled, l.Taken)
			c.Median[i], c.P99[i], c.Dispatches[i] = l.Median, l.P99, l.Dispatches
		}
		all = append(all, c)
	}
	return all
}
