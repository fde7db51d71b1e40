package failover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A replica that has been replaced by another host at its address is not gone without a trace: that host has its log.
func TestReplacedReplicaIsNotMarkedMissing(t *testing.T) {
	h := newHarness(t)
	h.run(1500)
	h.hosts["h2"].up, h.hosts["h2"].replaced = false, true
	h.run(20_000)
	require.False(t, h.state.Hosts["h2"].Missing)
	h.hosts["h2"].replaced = false
	h.run(12_000)
	require.True(t, h.state.Hosts["h2"].Missing, "that host has ended too")
}
