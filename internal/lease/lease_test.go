package lease

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Over seeded runs: whenever the control plane holds a change for handed back, no router acts on what was before it.
// Members that lead change; one that stood still goes on with what it believed.
func TestNoProxyActsAfterAllCaughtUp(t *testing.T) {
	type simulatedProxy struct {
		holder  Holder
		applied uint64
		skew    int64
	}
	caughtUp := 0
	for seed := range 300 {
		random := rand.New(rand.NewPCG(uint64(seed), 3))
		now, index := int64(1<<30), uint64(1)
		proxies := map[string]*simulatedProxy{"a": {skew: 5}, "b": {skew: -900}, "c": {}}
		known := []string{"a", "b", "c"}
		grantor := NewGrantor(now)
		for range 400 {
			now += random.Int64N(120)
			name := known[random.IntN(3)]
			current := proxies[name]
			switch random.IntN(12) {
			case 0:
				index++
			case 1: // another member leads
				grantor = NewGrantor(now)
			case 2:
				grantor.Observe(name, 1, current.applied, now)
			case 3:
				current.applied = index
			default: // a renewal, its answer late or lost
				asked := now + current.skew
				now += random.Int64N(30)
				grantor.Grant(name, 1, current.applied, 0, now)
				if random.IntN(4) > 0 {
					current.holder.Renewed(asked)
				}
			}
			if grantor.AllCaughtUp(index, known, now) {
				caughtUp++
				for name, current := range proxies {
					require.False(t, current.applied < index && current.holder.Valid(now+current.skew), "seed %d: %s acts on %d, %d was handed back", seed, name, current.applied, index)
				}
			}
		}
	}
	require.Greater(t, caughtUp, 1000)
}

func TestNewIncarnationInheritsNoLease(t *testing.T) {
	grantor := NewGrantor(0)
	require.True(t, grantor.Grant("a", 1, 5, 0, 10000))
	require.False(t, grantor.AllCaughtUp(6, []string{"a"}, 10001))
	grantor.Observe("a", 2, 6, 10001)
	require.False(t, grantor.AllCaughtUp(6, []string{"a"}, 10001), "a hello may be an older life's")
	require.False(t, grantor.Grant("a", 2, 6, 7, 10001), "it asks, so the life before is over, whether it is granted one or not")
	require.True(t, grantor.AllCaughtUp(6, []string{"a"}, 10001))
	require.Equal(t, 0, grantor.HolderCount(10001))
}

// A router that asks on and never hears the news must not hold up fail-over for longer than the lease that it has.
func TestProxyWithoutUpdatesBlocksOnlyUntilItsLeaseExpires(t *testing.T) {
	grantor := NewGrantor(0)
	at := int64(2 * GrantMs)
	require.True(t, grantor.Grant("a", 1, 5, 0, at))
	for now := at; now < at+GrantMs; now += 300 {
		require.False(t, grantor.Grant("a", 1, 5, 6, now), "it has not applied what took the lead back")
		require.False(t, grantor.AllCaughtUp(6, []string{"a"}, now))
	}
	require.True(t, grantor.AllCaughtUp(6, []string{"a"}, at+GrantMs))
	require.True(t, grantor.Grant("a", 1, 6, 6, at+GrantMs))
	require.True(t, grantor.AllCaughtUp(6, []string{"a"}, at+GrantMs))
}
