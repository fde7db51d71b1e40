package lease

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Runs seeded simulations with leader changes and lost responses. Whenever AllCaughtUp is true for an index, no proxy with a
// valid lease may act on a log before that index.
func TestNoProxyActsAfterAllCaughtUp(t *testing.T) {
	type simulatedProxy struct {
		holder       Holder
		appliedIndex uint64
		clockSkew    int64
	}
	caughtUp := 0
	for seed := range 300 {
		random := rand.New(rand.NewPCG(uint64(seed), 3))
		now, index := int64(1<<30), uint64(1)
		proxies := map[string]*simulatedProxy{"a": {clockSkew: 5}, "b": {clockSkew: -900}, "c": {}}
		names := []string{"a", "b", "c"}
		grantor := NewGrantor(now)
		for range 400 {
			now += random.Int64N(120)
			name := names[random.IntN(3)]
			current := proxies[name]
			switch random.IntN(12) {
			case 0:
				index++
			case 1: // another member becomes the leader
				grantor = NewGrantor(now)
			case 2:
				grantor.Observe(name, 1, current.appliedIndex, now)
			case 3:
				current.appliedIndex = index
			default: // a lease request; its response is delayed or lost
				requested := now + current.clockSkew
				now += random.Int64N(30)
				grantor.Grant(name, 1, current.appliedIndex, 0, now)
				if random.IntN(4) > 0 {
					current.holder.Renew(requested)
				}
			}
			if grantor.AllCaughtUp(index, names, now) {
				caughtUp++
				for name, current := range proxies {
					require.False(t, current.appliedIndex < index && current.holder.Valid(now+current.clockSkew), "seed %d: %s may act on index %d although AllCaughtUp(%d)", seed, name, current.appliedIndex, index)
				}
			}
		}
	}
	require.Greater(t, caughtUp, 1000)
}

// A proxy that keeps requesting leases but receives no updates must not block a failover beyond the expiry of its current lease.
func TestProxyWithoutUpdatesBlocksOnlyUntilItsLeaseExpires(t *testing.T) {
	grantor := NewGrantor(0)
	grantedAt := int64(2 * DurationMs)
	require.True(t, grantor.Grant("a", 1, 5, 0, grantedAt))
	for now := grantedAt; now < grantedAt+DurationMs; now += 300 {
		require.False(t, grantor.Grant("a", 1, 5, 6, now), "the proxy has not applied the revocation")
		require.False(t, grantor.AllCaughtUp(6, []string{"a"}, now))
	}
	require.True(t, grantor.AllCaughtUp(6, []string{"a"}, grantedAt+DurationMs))
	require.True(t, grantor.Grant("a", 1, 6, 6, grantedAt+DurationMs))
	require.True(t, grantor.AllCaughtUp(6, []string{"a"}, grantedAt+DurationMs))
}

// The incrementally maintained count must equal a count over all grants.
func TestHolderCountFollowsRenewalsExpiriesAndIncarnations(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	grantor := NewGrantor(0)
	now := int64(1)
	for range 20_000 {
		now += random.Int64N(300)
		if random.IntN(200) == 0 {
			now += 2 * retentionMs
		}
		grantor.Grant(string(rune('a'+random.IntN(20))), uint64(1+random.IntN(2)+int(now/100_000)), 1, uint64(random.IntN(3)), now)
		counted := 0
		for _, current := range grantor.grants {
			if now < current.expiresAt {
				counted++
			}
		}
		require.Equal(t, counted, grantor.HolderCount(now))
	}
}
