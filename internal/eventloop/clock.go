package eventloop

import "time"

// ClockOrigin is what a clock shows when it starts, in milliseconds. It is large enough that no time before it, as now less
// a time-out, is negative.
const ClockOrigin = 1 << 30

// MonotonicClock is a monotonic clock in milliseconds. It does not go back when the machine's time is set, and runs on while the
// process is suspended.
type MonotonicClock struct {
	now   func() time.Time
	start time.Time
}

// NewMonotonicClock starts a clock. now is time.Now, or a simulation's.
func NewMonotonicClock(now func() time.Time) MonotonicClock { return MonotonicClock{now, now()} }

// Now returns the time in milliseconds, from ClockOrigin on.
func (c MonotonicClock) Now() int64 { return ClockOrigin + c.Since().Milliseconds() }

// Time returns the same time as a time.Time.
func (c MonotonicClock) Time() time.Time { return c.now() }

// Since returns the time since the clock was started.
func (c MonotonicClock) Since() time.Duration { return c.now().Sub(c.start) }
