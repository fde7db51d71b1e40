// Package scheduler runs seeded simulations on one goroutine. A simulation schedules events in virtual time, draws its
// random choices from the seed, and records the faults it causes and the violations it finds; the same seed gives the same
// run. Simulated networks, control planes and databases embed a Scheduler.
package scheduler

import (
	"fmt"
	"math/rand/v2"
)

const (
	// randomStream is the stream of the random generator: with a seed, it decides all draws.
	randomStream = 7
	// maxViolations limits what is recorded, since a simulation goes on after the first violation.
	maxViolations = 10
)

// Scheduler is one run of a simulation. It is not safe for use by several goroutines.
type Scheduler struct {
	// Now is the virtual time.
	Now int64
	// StartTime is the virtual time at which the run began.
	StartTime int64
	// PerMs is how many units of virtual time are a millisecond.
	PerMs int64
	// Rand is the source of all random choices.
	Rand *rand.Rand
	// Violations describes the first rules that were broken.
	Violations []string
	// FaultLog describes the faults that the simulation caused.
	FaultLog []string
	// LastSerial is the last number given to an event. A simulation may count it up to get a number of its own.
	LastSerial int

	events eventQueue
}

// New returns a scheduler for the run of a seed that begins at a virtual time, in units of which perMs are a millisecond.
func New(seed uint64, start, perMs int64) *Scheduler {
	return &Scheduler{Now: start, StartTime: start, PerMs: perMs, Rand: rand.New(rand.NewPCG(seed, randomStream))}
}

// After schedules an event after a span; a negative span counts as 0. Events of one moment run in the order in which they
// were scheduled.
func (s *Scheduler) After(after int64, do func()) {
	s.LastSerial++
	s.events.push(event{s.Now + max(0, after), s.LastSerial, do})
}

// RunFor runs the events of the next span, with those that they schedule within it.
func (s *Scheduler) RunFor(span int64) {
	end := s.Now + span
	for len(s.events) > 0 && s.events[0].at <= end {
		next := s.events.pop()
		s.Now = next.at
		next.do()
	}
	s.Now = max(s.Now, end)
}

// Violate records that a rule is broken.
func (s *Scheduler) Violate(format string, args ...any) {
	if len(s.Violations) < maxViolations {
		s.Violations = append(s.Violations, s.timestamp()+fmt.Sprintf(format, args...))
	}
}

// LogFault records a fault.
func (s *Scheduler) LogFault(format string, args ...any) {
	s.FaultLog = append(s.FaultLog, s.timestamp()+fmt.Sprintf(format, args...))
}

func (s *Scheduler) timestamp() string {
	return fmt.Sprintf("%.1f ms: ", float64(s.Now-s.StartTime)/float64(s.PerMs))
}

// Between draws a number from a to b, both included.
func (s *Scheduler) Between(a, b int64) int64 { return a + s.Rand.Int64N(b-a+1) }

// OneIn is true with a probability of 1/n.
func (s *Scheduler) OneIn(n int) bool { return s.Rand.IntN(n) == 0 }
