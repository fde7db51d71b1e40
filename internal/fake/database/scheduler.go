package database

import (
	"math/rand/v2"
	"sync"
	"time"
)

// TimeUnit is the real duration of one unit of a Scheduler's time spans.
const TimeUnit = time.Second / Second

// schedulerStream is the stream of the random generator. The seed and the stream determine all random numbers.
const schedulerStream = 1

// RealTimeScheduler is a Scheduler that runs in real time. Its lock protects the group that uses it: events run while it is
// held, and other goroutines must hold it when they call into the group.
type RealTimeScheduler struct {
	sync.Mutex
	random  *rand.Rand
	stopped bool
}

// NewRealTimeScheduler returns a scheduler whose random generator is seeded with seed.
func NewRealTimeScheduler(seed uint64) *RealTimeScheduler {
	return &RealTimeScheduler{random: rand.New(rand.NewPCG(seed, schedulerStream))}
}

// After runs do under the lock after a delay, unless the scheduler is stopped by then.
func (s *RealTimeScheduler) After(delay int64, do func()) {
	time.AfterFunc(time.Duration(delay)*TimeUnit, func() {
		s.Lock()
		defer s.Unlock()
		if !s.stopped {
			do()
		}
	})
}

// Between returns a random number from a to b, both included. The caller holds the lock.
func (s *RealTimeScheduler) Between(a, b int64) int64 { return a + s.random.Int64N(b-a+1) }

// OneIn returns true with probability 1/n. The caller holds the lock.
func (s *RealTimeScheduler) OneIn(n int) bool { return s.random.IntN(n) == 0 }

// Stop drops all events that have not run yet.
func (s *RealTimeScheduler) Stop() {
	s.Lock()
	defer s.Unlock()
	s.stopped = true
}
