package cluster

import (
	"context"
	"sync"
	"time"
)

const (
	stallInterval = 10 * time.Millisecond
	// minStall is how late a timer must be to count as a stall.
	minStall = 20 * time.Millisecond
)

// stallMeter measures how long this process got no processor time. Checks add this time to their timeouts, since a busy
// machine delays the processes of a run through no fault of theirs.
type stallMeter struct {
	mu     sync.Mutex
	stalls []stall
	total  time.Duration
}

type stall struct {
	endedAt  time.Time
	duration time.Duration
}

// run records stalls until ctx ends.
func (m *stallMeter) run(ctx context.Context) {
	for began := time.Now(); sleep(ctx, stallInterval) == nil; began = time.Now() {
		if late := time.Since(began) - stallInterval; late > minStall {
			m.mu.Lock()
			m.stalls = append(m.stalls, stall{time.Now(), late})
			m.total += late
			m.mu.Unlock()
		}
	}
}

// since returns the total duration of the stalls between begin and now.
func (m *stallMeter) since(begin time.Time) time.Duration { return m.between(begin, time.Now()) }

// between returns the total duration of the stalls that overlap a time span. Each of them counts in full.
func (m *stallMeter) between(begin, end time.Time) (total time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, stall := range m.stalls {
		if stall.endedAt.After(begin) && stall.endedAt.Add(-stall.duration).Before(end) {
			total += stall.duration
		}
	}
	return total
}
