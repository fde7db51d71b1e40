package arbor

import "time"

// Steady gives milliseconds of the steady clock since a program's start, counted from a number so great that no span
// reaches back before zero. It runs on while a process is frozen.
type Steady struct{ start time.Time }

// Begin is the first moment of a steady clock, in milliseconds.
const Begin = 1 << 30

// NewSteady starts a clock now.
func NewSteady() Steady { return Steady{time.Now()} }

// Now is the present moment.
func (s Steady) Now() int64 { return Begin + time.Since(s.start).Milliseconds() }

// Time is a moment as the runtime's time.
func (s Steady) Time(ms int64) time.Time {
	return s.start.Add(time.Duration(ms-Begin) * time.Millisecond)
}

// Millis is a time of the runtime's as a moment.
func (s Steady) Millis(t time.Time) int64 { return Begin + t.Sub(s.start).Milliseconds() }

// Since is how long the clock has run.
func (s Steady) Since() time.Duration { return time.Since(s.start) }
