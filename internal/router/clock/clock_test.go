package clock

import (
	"testing"
	"time"
)

func TestTimeFollowsTheSystemClockForwardAtOnceAndNeverGoesBack(t *testing.T) {
	at := time.Now()
	start := at
	c := New(func() time.Time { return at })
	first := c.Now()
	at = start.Add(time.Second)
	if got := c.Now() - first; got != 10000 {
		t.Errorf("a second is %d", got)
	}
	// The system clock was set back: simulate it by moving this clock ahead.
	c.unixNs += int64(time.Hour)
	before := c.Now()
	at = at.Add(time.Second)
	if got := c.Now() - before; got != 9000 {
		t.Errorf("a second behind the system's clock is %d", got)
	}
	c.unixNs -= int64(2 * time.Hour)
	if got := c.Now(); got < at.UnixNano()/int64(Resolution) {
		t.Errorf("a clock set forward is followed to %d", got)
	}
}
