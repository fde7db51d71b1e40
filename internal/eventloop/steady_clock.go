package eventloop

import "time"

// SteadyClock gives milliseconds of the steady clock since a program's start, counted from a number so great that no span
// reaches back before zero. It runs on while a process is frozen.
type SteadyClock struct {
	now   func() time.Time
	start time.Time
}

// ClockOrigin is the first moment of a steady clock, in milliseconds.
const ClockOrigin = 1 << 30

// NewSteadyClock starts a clock that reads time by now, as time.Now.
func NewSteadyClock(now func() time.Time) SteadyClock { return SteadyClock{now, now()} }

// Now is the present moment.
func (s SteadyClock) Now() int64 { return ClockOrigin + s.now().Sub(s.start).Milliseconds() }

// Time is the present moment as the runtime's time.
func (s SteadyClock) Time() time.Time { return s.now() }

// Since is how long the clock has run.
func (s SteadyClock) Since() time.Duration { return s.now().Sub(s.start) }
