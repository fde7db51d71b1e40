package tool

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"ferrypitch/internal/router/trace/format"
)

// routerName is the name of the column that a merge adds to all kinds, and of the kind that maps router numbers to names.
const routerName = "router"

// MergedSchema returns the schema of a merged trace: each kind has the number of the router
// as an additional column, and a kind for the names of the routers is added at the end.
func MergedSchema(schema format.Schema) format.Schema {
	number := format.Column{Name: routerName, Type: format.Int, Privacy: format.Plain}
	name := format.Column{Name: "name", Type: format.Text, Privacy: format.Topology}
	merged := format.Schema{}
	for _, kind := range schema {
		kind.Columns = append(slices.Clone(kind.Columns), number)
		merged = append(merged, kind)
	}
	return append(merged, format.Kind{Name: routerName, Columns: []format.Column{number, name}})
}

// Merge passes the events of several routers to handle, ordered by time on the first router's
// clock and with the router's number as the last of Event.Ints. The order of the events of
// each router is preserved; at equal times the router with the smaller number comes first.
// Merge returns the first error of a feed or of handle.
func Merge(feeds []Feed, skews []ClockSkew, handle func(event format.Event) error) error {
	var inputs mergeQueue
	for i, feed := range feeds {
		input := &mergeInput{feed: feed, skew: skews[i], router: int64(i), at: math.MinInt64}
		more, err := input.advance()
		if err != nil {
			return err
		}
		if more {
			inputs = append(inputs, input)
		}
	}
	heap.Init(&inputs)
	for len(inputs) > 0 {
		input := inputs[0]
		if err := handle(input.pop()); err != nil {
			return err
		}
		more, err := input.advance()
		switch {
		case err != nil:
			return err
		case more:
			heap.Fix(&inputs, 0)
		default:
			heap.Pop(&inputs)
		}
	}
	return nil
}

// mergeInput supplies the events of one router.
type mergeInput struct {
	feed   Feed
	skew   ClockSkew
	router int64
	events []format.Event // read from the feed and not yet merged
	at     int64          // time of the next event on the first router's clock
}

// advance makes the next event available. It returns false if there is none.
func (m *mergeInput) advance() (bool, error) {
	for len(m.events) == 0 {
		events, err := m.feed()
		if err != nil || events == nil {
			return false, err
		}
		m.events = events
	}
	// The events of a router are in order, so a correction must not make time go backwards.
	m.at = max(m.at, m.skew.Correct(m.events[0].At))
	return true, nil
}

// pop removes the next event and returns it as an event of the merged trace.
func (m *mergeInput) pop() format.Event {
	event := m.events[0]
	m.events = m.events[1:]
	event.At = m.at
	event.Ints = append(slices.Clone(event.Ints), m.router)
	return event
}

// mergeQueue is a priority queue of inputs by the time of their next event. It implements heap.Interface.
type mergeQueue []*mergeInput

// Len implements heap.Interface.
func (q mergeQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q mergeQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].router, q[j].router)) < 0
}

// Swap implements heap.Interface.
func (q mergeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *mergeQueue) Push(input any) { *q = append(*q, input.(*mergeInput)) }

// Pop implements heap.Interface.
func (q *mergeQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
