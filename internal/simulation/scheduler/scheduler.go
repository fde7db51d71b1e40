// Package scheduler runs seeded discrete-event simulations on one goroutine. A simulation schedules events in virtual time,
// draws random numbers from a seeded generator, and records the faults it injects and the violations it finds. The same seed
// gives the same run. Simulated networks, control planes and databases embed a Scheduler.
package scheduler

import (
	"fmt"
	"math/rand/v2"
)

const (
	// randomStream is the stream of the random generator. The seed and the stream determine all random choices.
	randomStream = 7
	// maxViolations limits the recorded violations, since a simulation continues after the first one.
	maxViolations = 10
)

// Scheduler is the event loop of one simulation run. It is not safe for concurrent use.
type Scheduler struct {
	// Now is the virtual time.
	Now int64
	// StartTime is the virtual time at which the run started.
	StartTime int64
	// UnitsPerMs is the number of units of virtual time in a millisecond.
	UnitsPerMs int64
	// Rand is the source of all random choices.
	Rand *rand.Rand
	// Violations describes the first violations that were reported, up to maxViolations.
	Violations []string
	// FaultLog describes the injected faults.
	FaultLog []string
	// LastSerial is the serial number of the last scheduled event. A simulation may increment it to get a unique number.
	LastSerial int

	events eventQueue
}

// New returns a scheduler seeded with seed whose virtual time begins at start, in units of which unitsPerMs are a millisecond.
func New(seed uint64, start, unitsPerMs int64) *Scheduler {
	return &Scheduler{Now: start, StartTime: start, UnitsPerMs: unitsPerMs, Rand: rand.New(rand.NewPCG(seed, randomStream))}
}

// After schedules an event after a delay; a negative delay counts as 0. Events at the same time run in the order in which
// they were scheduled.
func (s *Scheduler) After(delay int64, do func()) {
	s.LastSerial++
	s.events.push(event{s.Now + max(0, delay), s.LastSerial, do})
}

// RunFor advances the virtual time by a span and runs all events due in it, including those scheduled meanwhile.
func (s *Scheduler) RunFor(span int64) {
	end := s.Now + span
	for len(s.events) > 0 && s.events[0].at <= end {
		next := s.events.pop()
		s.Now = next.at
		next.do()
	}
	s.Now = max(s.Now, end)
}

// RecordViolation records the violation of an invariant.
func (s *Scheduler) RecordViolation(format string, args ...any) {
	if len(s.Violations) < maxViolations {
		s.Violations = append(s.Violations, s.timestamp()+fmt.Sprintf(format, args...))
	}
}

// LogFault records an injected fault.
func (s *Scheduler) LogFault(format string, args ...any) {
	s.FaultLog = append(s.FaultLog, s.timestamp()+fmt.Sprintf(format, args...))
}

func (s *Scheduler) timestamp() string {
	return fmt.Sprintf("%.1f ms: ", float64(s.Now-s.StartTime)/float64(s.UnitsPerMs))
}

// Between returns a random number from a to b, both included.
func (s *Scheduler) Between(a, b int64) int64 { return a + s.Rand.Int64N(b-a+1) }

// OneIn returns true with probability 1/n.
func (s *Scheduler) OneIn(n int) bool { return s.Rand.IntN(n) == 0 }
