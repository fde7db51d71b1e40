package failover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An idle service is not evaluated at each tick, but a replica whose heartbeats stop is still marked missing in time.
func TestIdleServiceIsEvaluatedOnlyOnceAHostIsSilent(t *testing.T) {
	h := newHarness(t)
	h.run(20_000)
	require.Greater(t, h.skipped, 1900, "of 2,000 ticks")
	h.hosts["h1"].up = false
	before := h.now
	for len(h.hosts["h1"].commands) == 0 && h.state.Hosts["h1"].Missing == false {
		h.run(testTickMs)
		require.Less(t, h.now, before+h.coordinator.heartbeatTimeoutMs()+refusalPeriodMs+queryIntervalMs*8)
	}
	require.True(t, h.state.Hosts["h1"].Missing)
}
