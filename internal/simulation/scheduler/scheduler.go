// Package scheduler plays seeded worlds on one thread: events in the order of their moments, chance from the seed, and what
// broke. Worlds of the simulated networks stand on it.
package scheduler

import (
	"fmt"
	"math/rand/v2"
)

// Scheduler is one run. Moments are in units of which PerMs make a millisecond.
type Scheduler struct {
	Now        int64
	Zero       int64 // when the world began
	PerMs      int64
	Rand       *rand.Rand
	Violations []string
	FaultLog   []string // the faults

	events events
	Serial int // a number drawn by whoever needs one, and by events
}

// New begins a world of a seed at a moment.
func New(seed uint64, zero, perMs int64) *Scheduler {
	return &Scheduler{Now: zero, Zero: zero, PerMs: perMs, Rand: rand.New(rand.NewPCG(seed, 7))}
}

type event struct {
	at     int64
	serial int
	do     func()
}

// events are a heap; its own, since container/heap boxes each event, and worlds have millions.
type events []event

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.serial < o.serial }

func (e *events) push(v event) {
	*e = append(*e, v)
	all := *e
	at := len(all) - 1
	for at > 0 {
		up := (at - 1) / 2
		if !v.before(all[up]) {
			break
		}
		all[at] = all[up]
		at = up
	}
	all[at] = v
}

func (e *events) pop() event {
	all := *e
	first, last := all[0], all[len(all)-1]
	all[len(all)-1] = event{}
	all = all[:len(all)-1]
	*e = all
	if len(all) == 0 {
		return first
	}
	at := 0
	for {
		down := 2*at + 1
		if down >= len(all) {
			break
		}
		if down+1 < len(all) && all[down+1].before(all[down]) {
			down++
		}
		if !all[down].before(last) {
			break
		}
		all[at] = all[down]
		at = down
	}
	all[at] = last
	return first
}

// After has something done after a span.
func (w *Scheduler) After(after int64, do func()) {
	w.Serial++
	w.events.push(event{w.Now + max(0, after), w.Serial, do})
}

// RunFor goes on for a span.
func (w *Scheduler) RunFor(span int64) {
	end := w.Now + span
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events.pop()
		w.Now = e.at
		e.do()
	}
	w.Now = max(w.Now, end)
}

// Violate notes that a rule is broken.
func (w *Scheduler) Violate(format string, args ...any) {
	if len(w.Violations) < 10 {
		w.Violations = append(w.Violations, w.at()+fmt.Sprintf(format, args...))
	}
}

// Note notes a fault.
func (w *Scheduler) Note(format string, args ...any) {
	w.FaultLog = append(w.FaultLog, w.at()+fmt.Sprintf(format, args...))
}

func (w *Scheduler) at() string {
	return fmt.Sprintf("%.1f ms: ", float64(w.Now-w.Zero)/float64(w.PerMs))
}

// Between draws from a to b, both included.
func (w *Scheduler) Between(a, b int64) int64 { return a + w.Rand.Int64N(b-a+1) }

// OneIn says yes once in n.
func (w *Scheduler) OneIn(n int) bool { return w.Rand.IntN(n) == 0 }
