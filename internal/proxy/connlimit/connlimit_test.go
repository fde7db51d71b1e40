package connlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Routers that need a host now and then: resting and busy connections together stay within what it takes, but for a
// moment now and then; what is turned away comes again.
func TestAllRoutersTogetherStayWithinWhatAHostTakes(t *testing.T) {
	for _, c := range []struct {
		conns, routers int
		perSecond      float64 // uses of the host, all routers together
		busy           time.Duration
	}{{35, 63, 25, 60 * time.Millisecond}, {57, 83, 30, 60 * time.Millisecond}, {82, 9, 120, 30 * time.Millisecond}, {57, 9, 100, 30 * time.Millisecond}} {
		chance := rand.New(rand.NewPCG(1, 2))
		share := ShareOf(c.conns, c.routers)
		type conn struct{ busyTo, restTo time.Duration }
		held := make([][]conn, c.routers)
		over, uses, opened := 0, 0, 0
		for now := time.Duration(0); now < 60*time.Second; now += time.Duration(chance.ExpFloat64() / c.perSecond * float64(time.Second)) {
			uses++
			total := 0
			for r := range held {
				var kept []conn
				for _, k := range held[r] {
					if now < k.restTo {
						kept = append(kept, k)
					}
				}
				held[r] = kept
				total += len(kept)
			}
			r := chance.IntN(c.routers)
			use := -1
			for i, k := range held[r] {
				if now >= k.busyTo {
					use = i
				}
			}
			if use < 0 {
				if len(held[r]) >= share.MaxConns() {
					continue
				}
				if total >= c.conns-reserve {
					over++
					continue
				}
				opened++
				held[r] = append(held[r], conn{})
				use = len(held[r]) - 1
			}
			held[r][use].busyTo = now + c.busy
			held[r][use].restTo = now + c.busy + time.Duration(share.IdleTimeoutMs(use))*time.Millisecond
		}
		require.Less(t, over*200, uses, "%d of %d uses of a host of %d connections by %d routers were turned away", over, uses, c.conns, c.routers)
		require.Greater(t, opened, 0)
	}
}
