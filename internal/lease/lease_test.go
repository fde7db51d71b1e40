package lease

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Over seeded runs: whenever the control plane holds a change for handed back, no router acts on what was before it.
// Members that lead change; one that stood still goes on with what it believed.
func TestNoRouterActsOnWhatIsHandedBack(t *testing.T) {
	type router struct {
		screw   Holder
		applied uint64
		skew    int64
	}
	cleared := 0
	for seed := range 300 {
		chance := rand.New(rand.NewPCG(uint64(seed), 3))
		now, index := int64(1<<30), uint64(1)
		routers := map[string]*router{"a": {skew: 5}, "b": {skew: -900}, "c": {}}
		known := []string{"a", "b", "c"}
		jaw := NewGrantor(now)
		for range 400 {
			now += chance.Int64N(120)
			name := known[chance.IntN(3)]
			r := routers[name]
			switch chance.IntN(12) {
			case 0:
				index++
			case 1: // another member leads
				jaw = NewGrantor(now)
			case 2:
				jaw.Observe(name, 1, r.applied, now)
			case 3:
				r.applied = index
			default: // a renewal, its answer late or lost
				asked := now + r.skew
				now += chance.Int64N(30)
				jaw.Grant(name, 1, r.applied, 0, now)
				if chance.IntN(4) > 0 {
					r.screw.Renewed(asked)
				}
			}
			if jaw.AllCaughtUp(index, known, now) {
				cleared++
				for name, r := range routers {
					require.False(t, r.applied < index && r.screw.Valid(now+r.skew), "seed %d: %s acts on %d, %d was handed back", seed, name, r.applied, index)
				}
			}
		}
	}
	require.Greater(t, cleared, 1000)
}

func TestARouterInAnotherLifeHoldsNothingOfTheLast(t *testing.T) {
	j := NewGrantor(0)
	require.True(t, j.Grant("a", 1, 5, 0, 10000))
	require.False(t, j.AllCaughtUp(6, []string{"a"}, 10001))
	j.Observe("a", 2, 6, 10001)
	require.False(t, j.AllCaughtUp(6, []string{"a"}, 10001), "a hello may be an older life's")
	require.False(t, j.Grant("a", 2, 6, 7, 10001), "it asks, so the life before is over, whether it is granted one or not")
	require.True(t, j.AllCaughtUp(6, []string{"a"}, 10001))
	require.Equal(t, 0, j.HolderCount(10001))
}

// A router that asks on and never hears the news must not hold up fail-over for longer than the lease that it has.
func TestARouterThatHearsNoNewsHoldsNothingUpForGood(t *testing.T) {
	j := NewGrantor(0)
	at := int64(2 * GrantMs)
	require.True(t, j.Grant("a", 1, 5, 0, at))
	for now := at; now < at+GrantMs; now += 300 {
		require.False(t, j.Grant("a", 1, 5, 6, now), "it has not applied what took the lead back")
		require.False(t, j.AllCaughtUp(6, []string{"a"}, now))
	}
	require.True(t, j.AllCaughtUp(6, []string{"a"}, at+GrantMs))
	require.True(t, j.Grant("a", 1, 6, 6, at+GrantMs))
	require.True(t, j.AllCaughtUp(6, []string{"a"}, at+GrantMs))
}
