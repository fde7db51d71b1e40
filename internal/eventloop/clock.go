package eventloop

import "time"

// ClockOrigin is the initial reading of a clock, in milliseconds. It is large enough that subtracting a timeout from the current
// time never gives a negative result.
const ClockOrigin = 1 << 30

// MonotonicClock is a monotonic clock in milliseconds. It is not affected when the system time is set, and it continues to run
// while the process is suspended.
type MonotonicClock struct {
	now   func() time.Time
	start time.Time
}

// NewMonotonicClock starts a clock. now is time.Now or the clock of a simulation.
func NewMonotonicClock(now func() time.Time) MonotonicClock { return MonotonicClock{now, now()} }

// Now returns the current time in milliseconds, starting at ClockOrigin.
func (c MonotonicClock) Now() int64 { return ClockOrigin + c.Elapsed().Milliseconds() }

// Time returns the current time as a time.Time.
func (c MonotonicClock) Time() time.Time { return c.now() }

// Elapsed returns the time elapsed since the clock was started.
func (c MonotonicClock) Elapsed() time.Duration { return c.now().Sub(c.start) }
