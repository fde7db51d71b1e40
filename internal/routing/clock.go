package routing

import (
	"time"

	"ferrypitch/rules"
)

// tenth is the module's unit.
const tenth = 100 * time.Microsecond

// clock gives the module's moments: Unix time in tenths of a millisecond, so
// that positions need no conversion but of their unit. It runs by the monotonic
// clock. Where the system's clock is ahead it is followed at once, since a
// moment too early would call old data new; where that is behind, at a tenth of
// the time that passes, so that moments never go back.
type clock struct {
	read func() time.Time
	last time.Time
	at   int64 // nanoseconds
}

func newClock(read func() time.Time) *clock {
	c := &clock{read: read, last: read()}
	c.at = c.last.UnixNano()
	return c
}

func (c *clock) now() rules.Tenth {
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
	return c.at / int64(tenth)
}

func span(t rules.Tenth) time.Duration { return time.Duration(t) * tenth }
