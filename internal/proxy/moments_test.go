package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/policy"
)

// reset ends a connection before, while or after a statement is written, or after it has run.
func (c *dbConn) reset(b []byte) (n int, ok bool) {
	w := c.r.w
	switch moment := w.Rand.IntN(4); moment {
	case 0:
		return 0, false
	case 1:
		n = 1 + w.Rand.IntN(len(b)-1)
		c.later(w.Between(ms/2, 3*ms), func() { c.feed(b[:n]) })
		return n, false
	default:
		c.mute = true
		c.later(w.Between(ms/2, 3*ms), func() {
			if moment == 3 {
				c.feed(b)
			}
			c.Close()
			c.broke()
		})
		return len(b), true
	}
}

// Connections to hosts are reset at each moment of what is sent, beside all other trouble: nothing runs twice, no
// promise is broken, and what was never written whole is tried elsewhere.
func TestAResetAtAnyMomentRunsNothingTwice(t *testing.T) {
	n := 60
	if testing.Short() {
		n = 12
	}
	var ended [2]int64
	for seed := range n {
		w := newWorld(uint64(seed), 3, 9)
		w.resets = 25
		w.play()
		require.Empty(t, w.Violations, "seed %d: %s", seed, w.report())
		for _, r := range w.routers {
			if r.h != nil {
				ended[0] += r.h.counters.outcomes[policy.Unreached].Load()
				ended[1] += r.h.counters.outcomes[policy.Reset].Load()
			}
		}
	}
	require.Greater(t, ended[0], int64(10*n), "never written whole")
	require.Greater(t, ended[1], int64(10*n), "written whole")
}
