package database

import (
	"math/rand/v2"
	"sync"
	"time"
)

// TimeUnit is the unit of a Scheduler's spans in real time.
const TimeUnit = time.Second / Second

// schedulerStream is the stream of the random generator: with a seed, it decides all draws.
const schedulerStream = 1

// RealTimeScheduler is a Scheduler in real time. Its lock protects the group that it serves: events run under it, and
// other goroutines hold it while they call into the group.
type RealTimeScheduler struct {
	sync.Mutex
	random  *rand.Rand
	stopped bool
}

// NewRealTimeScheduler returns a scheduler whose random choices follow from a seed.
func NewRealTimeScheduler(seed uint64) *RealTimeScheduler {
	return &RealTimeScheduler{random: rand.New(rand.NewPCG(seed, schedulerStream))}
}

// After runs do under the lock once a span has passed, unless the scheduler is stopped by then.
func (s *RealTimeScheduler) After(after int64, do func()) {
	time.AfterFunc(time.Duration(after)*TimeUnit, func() {
		s.Lock()
		defer s.Unlock()
		if !s.stopped {
			do()
		}
	})
}

// Between draws a number from a to b, both included. The caller holds the lock.
func (s *RealTimeScheduler) Between(a, b int64) int64 { return a + s.random.Int64N(b-a+1) }

// OneIn is true with a probability of 1/n. The caller holds the lock.
func (s *RealTimeScheduler) OneIn(n int) bool { return s.random.IntN(n) == 0 }

// Stop drops all events that have not run yet.
func (s *RealTimeScheduler) Stop() {
	s.Lock()
	defer s.Unlock()
	s.stopped = true
}
