package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// With clock rates that differ by up to a tenth, either way, a proxy's lease has expired by the time the control plane considers
// it expired.
func TestLeaseToleratesClockDrift(t *testing.T) {
	validAfterExpiry := func(proxyRate, controlRate float64) (valid bool) {
		for delay := range int64(40) { // from the request to the grant
			requested, granted := int64(1000), 1000+delay
			var holder Holder
			holder.Renew(int64(float64(requested) * proxyRate))
			grantor := NewGrantor(-10 * DurationMs)
			grantor.Grant("a", 1, 1, 0, int64(float64(granted)*controlRate))
			for now := granted; now < granted+2*DurationMs; now++ {
				if grantor.AllCaughtUp(2, []string{"a"}, int64(float64(now)*controlRate)) {
					valid = valid || holder.Valid(int64(float64(now)*proxyRate))
					break
				}
			}
		}
		return valid
	}
	for _, rates := range [][2]float64{{1, 1}, {0.95, 1.05}, {1.05, 0.95}, {0.97, 1.07}, {1, 1.1}, {0.91, 1}} {
		require.False(t, validAfterExpiry(rates[0], rates[1]), "rates %v", rates)
	}
	for _, rates := range [][2]float64{{0.93, 1.07}, {1, 1.13}, {0.88, 1}} {
		require.True(t, validAfterExpiry(rates[0], rates[1]), "rates %v: the test must detect a drift beyond a tenth, which is not tolerated", rates)
	}
}
