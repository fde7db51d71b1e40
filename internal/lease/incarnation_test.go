package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A delayed hello or lease request of an earlier incarnation may arrive after the next incarnation was granted a lease. It must
// not affect that lease.
func TestEarlierIncarnationDoesNotAffectTheNext(t *testing.T) {
	proxies := []string{"a"}
	for name, late := range map[string]func(grantor *Grantor){
		"a hello of an unknown incarnation":     func(grantor *Grantor) { grantor.Observe("a", 9, 50, 10100) },
		"a hello of the previous incarnation":   func(grantor *Grantor) { grantor.Observe("a", 1, 50, 10100) },
		"a request of the previous incarnation": func(grantor *Grantor) { require.False(t, grantor.Grant("a", 1, 50, 0, 10100)) },
		"a request of an incarnation that only sent a hello": func(grantor *Grantor) {
			require.False(t, grantor.Grant("a", 2, 50, 0, 10100))
		},
	} {
		grantor := NewGrantor(0)
		require.True(t, grantor.Grant("a", 1, 5, 0, 9900))
		grantor.Observe("a", 2, 5, 9950)
		grantor.Observe("a", 3, 5, 9990)
		require.True(t, grantor.Grant("a", 3, 5, 0, 10000))
		late(grantor)
		for now := int64(10100); now < 10000+DurationMs; now += 100 {
			require.False(t, grantor.AllCaughtUp(6, proxies, now), "%s: the lease of the current incarnation is ignored", name)
		}
		require.True(t, grantor.AllCaughtUp(6, proxies, 10000+DurationMs), name)
		require.True(t, grantor.Grant("a", 3, 6, 6, 20000), name)
	}
}

// A lease request of a new incarnation ends the lease of the previous one; a hello does not.
func TestNewIncarnationInheritsNoLease(t *testing.T) {
	grantor := NewGrantor(0)
	require.True(t, grantor.Grant("a", 1, 5, 0, 10000))
	require.False(t, grantor.AllCaughtUp(6, []string{"a"}, 10001))
	grantor.Observe("a", 2, 6, 10001)
	require.False(t, grantor.AllCaughtUp(6, []string{"a"}, 10001), "a hello may be a delayed message of an earlier incarnation")
	require.False(t, grantor.Grant("a", 2, 6, 7, 10001), "the request ends the lease of the previous incarnation even if it is rejected")
	require.True(t, grantor.AllCaughtUp(6, []string{"a"}, 10001))
	require.Equal(t, 0, grantor.HolderCount(10001))
}
