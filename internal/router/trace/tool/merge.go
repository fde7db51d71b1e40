package tool

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"math"
	"slices"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/policy"
)

// Skew is how a router's clock stands to the first one's: its moments less Offset and Drift (a part of the time since
// From) are the first one's, within Bound. All in tenths.
type Skew struct {
	Router string
	Offset float64
	Drift  float64
	From   int64
	Bound  float64 // the greatest distance of a window from the line
	Seen   int     // windows that both routers had
}

// Correct is a moment by the first router's clock.
func (s Skew) Correct(at int64) int64 {
	return at - int64(math.Round(s.Offset+s.Drift*float64(at-s.From)))
}

// windowTenths of time in which a least delay is taken, in tenths.
const windowTenths = 10 * 10000

// Delays gather, for one router, how long after the position that a host named as its primary its answer was known:
// the least of each host and window is the clocks' distance and the way back, which routers of one place share.
type Delays struct {
	schema   format.Schema
	names    map[int64]string
	sent     map[int64]int64 // command to host
	least    map[hostWindow]int64
	From, To int64
}

type hostWindow struct {
	host   string
	window int64 // by position, so that routers' windows are the same
}

// NewDelays begins.
func NewDelays(s format.Schema) *Delays {
	return &Delays{schema: s, names: map[int64]string{}, sent: map[int64]int64{}, least: map[hostWindow]int64{}}
}

// Add takes the next event.
func (d *Delays) Add(e format.Event) {
	if d.From == 0 || e.At < d.From {
		d.From = e.At
	}
	d.To = max(d.To, e.At)
	k := d.schema[e.Kind]
	switch k.Name {
	case "host":
		d.names[numberOf(k, e, "host")] = textOf(k, e, "name")
	case "dispatch":
		d.sent[numberOf(k, e, "command")] = numberOf(k, e, "host")
	case "ended":
		number := numberOf(k, e, "command")
		name, pos := d.names[d.sent[number]], numberOf(k, e, "position")
		delete(d.sent, number)
		if pos <= 0 || name == "" || policy.Role(numberOf(k, e, "role")) != policy.Primary {
			return
		}
		s := hostWindow{name, pos / windowTenths}
		if least, known := d.least[s]; !known || e.At-pos < least {
			d.least[s] = e.At - pos
		}
	}
}

// ErrNoOverlap tells of routers that saw nothing in common.
var ErrNoOverlap = errors.New("saw no host in the same ten seconds as the first one")

// Estimate is how a router's clock stands to another's, by what both saw: a line through the windows' distances.
func Estimate(router string, first, other *Delays) (Skew, error) {
	s := Skew{Router: router, From: other.From}
	byWindow := map[int64][]float64{}
	for at, least := range other.least {
		if theirs, both := first.least[at]; both {
			byWindow[at.window] = append(byWindow[at.window], float64(least-theirs))
		}
	}
	if s.Seen = len(byWindow); s.Seen == 0 {
		return s, fmt.Errorf("%s: %w", router, ErrNoOverlap)
	}
	var xs, ys []float64
	for w, all := range byWindow {
		slices.Sort(all)
		xs, ys = append(xs, float64(w*windowTenths+windowTenths/2)), append(ys, all[len(all)/2])
	}
	mx, my := mean(xs), mean(ys)
	var sxx, sxy float64
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
	}
	if len(xs) >= 3 {
		s.Drift = sxy / sxx
	}
	// Windows are of positions, which are moments of the first one's clock, about; From is of the other's.
	s.Offset = my + s.Drift*(float64(s.From)-my-mx)
	for i := range xs {
		s.Bound = max(s.Bound, math.Abs(ys[i]-(my+s.Drift*(xs[i]-mx))))
	}
	return s, nil
}

func mean(v []float64) (sum float64) {
	for _, x := range v {
		sum += x / float64(len(v))
	}
	return sum
}

// Merged is the schema of a merge: every column, and which router an event is of.
func Merged(s format.Schema) format.Schema {
	out := format.Schema{}
	for _, k := range s {
		k.Columns = append(slices.Clone(k.Columns), format.Column{Name: "router", Type: format.Int, Mark: format.Plain})
		out = append(out, k)
	}
	return append(out, format.Kind{Name: "router", Columns: []format.Column{{Name: "router", Type: format.Int, Mark: format.Plain},
		{Name: "name", Type: format.Text, Mark: format.Topology}}})
}

// Feed gives a trace's events a block at a time; nil at its end. It holds nothing open in between.
type Feed func() ([]format.Event, error)

type head struct {
	feed   Feed
	skew   Skew
	router int64
	events []format.Event
	at     int64
}

func (h *head) next() (bool, error) {
	for len(h.events) == 0 {
		events, err := h.feed()
		if err != nil || events == nil {
			return false, err
		}
		h.events = events
	}
	// In one router's order a moment never goes back: events are in the order in which they happened.
	h.at = max(h.at, h.skew.Correct(h.events[0].At))
	return true, nil
}

type heads []*head

func (h heads) Len() int { return len(h) }
func (h heads) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].router, h[j].router)) < 0
}
func (h heads) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *heads) Push(v any)   { *h = append(*h, v.(*head)) }
func (h *heads) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Merge puts the events of several routers in the order of the first one's clock. Each router's own order stays;
// at one moment the earlier named router is first.
func Merge(feeds []Feed, skews []Skew, out func(e format.Event) error) error {
	var all heads
	for i, f := range feeds {
		h := &head{feed: f, skew: skews[i], router: int64(i), at: math.MinInt64}
		more, err := h.next()
		if err != nil {
			return err
		}
		if more {
			all = append(all, h)
		}
	}
	heap.Init(&all)
	for len(all) > 0 {
		h := all[0]
		e := h.events[0]
		h.events = h.events[1:]
		e.At, e.Ints = h.at, append(slices.Clone(e.Ints), h.router)
		if err := out(e); err != nil {
			return err
		}
		more, err := h.next()
		switch {
		case err != nil:
			return err
		case more:
			heap.Fix(&all, 0)
		default:
			heap.Pop(&all)
		}
	}
	return nil
}
