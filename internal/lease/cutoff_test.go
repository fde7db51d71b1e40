package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What an older life said may come after its successor was granted a lease: a hello, or a renewal that was on its way.
func TestEarlierIncarnationDoesNotAffectTheNext(t *testing.T) {
	known := []string{"a"}
	for name, late := range map[string]func(grantor *Grantor){
		"a hello of a life never met": func(grantor *Grantor) { grantor.Observe("a", 9, 50, 10100) },
		"a hello of the life before":  func(grantor *Grantor) { grantor.Observe("a", 1, 50, 10100) },
		"a renewal":                   func(grantor *Grantor) { require.False(t, grantor.Grant("a", 1, 50, 0, 10100)) },
		"one of a life that was met only": func(grantor *Grantor) {
			require.False(t, grantor.Grant("a", 2, 50, 0, 10100))
		},
	} {
		grantor := NewGrantor(0)
		require.True(t, grantor.Grant("a", 1, 5, 0, 9900))
		grantor.Observe("a", 2, 5, 9950)
		grantor.Observe("a", 3, 5, 9990)
		require.True(t, grantor.Grant("a", 3, 5, 0, 10000))
		late(grantor)
		for now := int64(10100); now < 10000+GrantMs; now += 100 {
			require.False(t, grantor.AllCaughtUp(6, known, now), "%s: the lease of the life that is there is passed over", name)
		}
		require.True(t, grantor.AllCaughtUp(6, known, 10000+GrantMs), name)
		require.True(t, grantor.Grant("a", 3, 6, 6, 20000), name)
	}
}

// Clocks may run apart by a tenth: whichever way, a router's lease is over when the control plane counts it as such.
func TestLeaseToleratesClockDrift(t *testing.T) {
	tooEarly := func(proxyRate, controlRate float64) (valid bool) { // rates
		for delay := range int64(40) { // when it is granted, after it was asked for
			asked, granted := int64(1000), 1000+delay
			var holder Holder
			holder.Renewed(int64(float64(asked) * proxyRate))
			grantor := NewGrantor(-10 * GrantMs)
			grantor.Grant("a", 1, 1, 0, int64(float64(granted)*controlRate))
			for now := granted; now < granted+2*GrantMs; now++ {
				if grantor.AllCaughtUp(2, []string{"a"}, int64(float64(now)*controlRate)) {
					valid = valid || holder.Valid(int64(float64(now)*proxyRate))
					break
				}
			}
		}
		return valid
	}
	for _, rates := range [][2]float64{{1, 1}, {0.95, 1.05}, {1.05, 0.95}, {0.97, 1.07}, {1, 1.1}, {0.91, 1}} {
		require.False(t, tooEarly(rates[0], rates[1]), "rates %v", rates)
	}
	for _, rates := range [][2]float64{{0.93, 1.07}, {1, 1.13}, {0.88, 1}} {
		require.True(t, tooEarly(rates[0], rates[1]), "rates %v: more than a tenth is not borne, and this test sees it", rates)
	}
}
