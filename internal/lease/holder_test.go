package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Clocks may drift apart by a tenth, either way: a proxy's lease has expired when the control plane counts it as expired.
func TestLeaseToleratesClockDrift(t *testing.T) {
	tooEarly := func(proxyRate, controlRate float64) (valid bool) {
		for delay := range int64(40) { // from the request to the grant
			asked, granted := int64(1000), 1000+delay
			var holder Holder
			holder.Renew(int64(float64(asked) * proxyRate))
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
		require.True(t, tooEarly(rates[0], rates[1]), "rates %v: a drift beyond a tenth is not tolerated, and this test sees it", rates)
	}
}
