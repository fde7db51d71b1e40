// Package clock provides the time source of the routing policy.
package clock

import (
	"time"

	"ferrypitch/policy"
)

// Resolution is the unit of policy.TenthMs, a tenth of a millisecond.
const Resolution = 100 * time.Microsecond

// slewDivisor sets the slew rate: while the system clock is behind, this clock is slowed down by the elapsed time divided by
// slewDivisor, a tenth.
const slewDivisor = 10

// Clock returns Unix time as policy.TenthMs, so that positions, which are Unix times, need only a conversion of units. It advances
// with the monotonic clock and follows the system clock. If the system clock is ahead, Clock steps forward at once, since a time
// that is too early would make old data look new. If it is behind, Clock slows down, so that time never goes back. It is not safe
// for concurrent use.
type Clock struct {
	read        func() time.Time
	lastReading time.Time // previous reading of the system clock
	unixNs      int64     // time of this Clock at lastReading
}

// New returns a clock that reads the system clock with read, usually time.Now.
func New(read func() time.Time) *Clock {
	c := &Clock{read: read, lastReading: read()}
	c.unixNs = c.lastReading.UnixNano()
	return c
}

// Now returns the current time, which never goes back.
func (c *Clock) Now() policy.TenthMs {
	reading := c.read()
	elapsed := int64(reading.Sub(c.lastReading)) // monotonic
	c.lastReading = reading
	c.unixNs += elapsed
	switch ahead := reading.UnixNano() - c.unixNs; {
	case ahead > 0:
		c.unixNs += ahead
	case ahead < 0:
		c.unixNs -= min(-ahead, elapsed/slewDivisor)
	}
	return c.unixNs / int64(Resolution)
}

// ToDuration converts a policy duration to a time.Duration.
func ToDuration(span policy.TenthMs) time.Duration { return time.Duration(span) * Resolution }
