package eventloop

import "time"

// ClockOrigin is what a clock shows when it starts, in milliseconds. It is large enough that no time before it, as now less
// a time-out, is negative.
const ClockOrigin = 1 << 30

// SteadyClock is a monotonic clock in milliseconds. It does not go back when the machine's time is set, and runs on while the
// process is suspended.
type SteadyClock struct {
	now   func() time.Time
	start time.Time
}

// NewSteadyClock starts a clock. now is time.Now, or a simulation's.
func NewSteadyClock(now func() time.Time) SteadyClock { return SteadyClock{now, now()} }

// Now returns the time in milliseconds, from ClockOrigin on.
func (c SteadyClock) Now() int64 { return ClockOrigin + c.Since().Milliseconds() }

// Time returns the same time as a time.Time.
func (c SteadyClock) Time() time.Time { return c.now() }

// Since returns the time since the clock was started.
func (c SteadyClock) Since() time.Duration { return c.now().Sub(c.start) }
