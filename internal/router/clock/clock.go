// Package clock is the time source of the decision module.
package clock

import (
	"time"

	"ferrypitch/policy"
)

// Tenth is the module's unit of time, a tenth of a millisecond.
const Tenth = 100 * time.Microsecond

// slewShare is the share of the elapsed time by which the clock lags to meet a system clock that is behind: a tenth.
const slewShare = 10

// Clock returns Unix time in the module's unit, so that positions, which are Unix times, need no conversion but of their
// unit. It runs by the monotonic clock and follows the system clock: at once where that is ahead, since a moment too early
// would make old data look new; slowly where it is behind, so that time never goes back. It is not safe for concurrent use.
type Clock struct {
	read   func() time.Time
	last   time.Time // reading
	unixNs int64     // the clock's time at the last reading
}

// New returns a clock that reads the system's clock by read, as time.Now.
func New(read func() time.Time) *Clock {
	c := &Clock{read: read, last: read()}
	c.unixNs = c.last.UnixNano()
	return c
}

// Now returns the time, which never goes back.
func (c *Clock) Now() policy.TenthMs {
	reading := c.read()
	elapsed := int64(reading.Sub(c.last)) // monotonic
	c.last = reading
	c.unixNs += elapsed
	switch ahead := reading.UnixNano() - c.unixNs; {
	case ahead > 0:
		c.unixNs += ahead
	case ahead < 0:
		c.unixNs -= min(-ahead, elapsed/slewShare)
	}
	return c.unixNs / int64(Tenth)
}

// Span converts a span of the module's time.
func Span(span policy.TenthMs) time.Duration { return time.Duration(span) * Tenth }
