// Package clock gives the module's moments.
package clock

import (
	"time"

	"ferrypitch/policy"
)

// Tenth is the module's unit.
const Tenth = 100 * time.Microsecond

// Clock gives the module's moments: Unix time in tenths of a millisecond, so
// that positions need no conversion but of their unit. It runs by the monotonic
// clock. Where the system's clock is ahead it is followed at once, since a
// moment too early would call old data new; where that is behind, at a tenth of
// the time that passes, so that moments never go back.
type Clock struct {
	read func() time.Time
	last time.Time
	at   int64 // nanoseconds
}

// New reads time by read, as time.Now.
func New(read func() time.Time) *Clock {
	c := &Clock{read: read, last: read()}
	c.at = c.last.UnixNano()
	return c
}

// Now is never before what it was.
func (c *Clock) Now() policy.Tenth {
	t := c.read()
	passed := int64(t.Sub(c.last))
	c.last = t
	c.at += passed
	switch ahead := t.UnixNano() - c.at; {
	case ahead > 0:
		c.at += ahead
	case ahead < 0:
		c.at -= min(-ahead, passed/10)
	}
	return c.at / int64(Tenth)
}

// Span is a span of the module's as a duration.
func Span(t policy.Tenth) time.Duration { return time.Duration(t) * Tenth }
