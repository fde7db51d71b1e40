package eventloop

import "time"

// Steady gives milliseconds of the steady clock since a program's start, counted from a number so great that no span
// reaches back before zero. It runs on while a process is frozen.
type Steady struct {
	now   func() time.Time
	start time.Time
}

// Begin is the first moment of a steady clock, in milliseconds.
const Begin = 1 << 30

// NewSteady starts a clock that reads time by now, as time.Now.
func NewSteady(now func() time.Time) Steady { return Steady{now, now()} }

// Now is the present moment.
func (s Steady) Now() int64 { return Begin + s.now().Sub(s.start).Milliseconds() }

// Time is the present moment as the runtime's time.
func (s Steady) Time() time.Time { return s.now() }

// Since is how long the clock has run.
func (s Steady) Since() time.Duration { return s.now().Sub(s.start) }
