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

// A replica that runs for a moment between two refusals may have received writes meanwhile, so what the primary reported before
// the last refusal does not show that others have the replica's log.
func TestReplicaIsMarkedMissingByPositionsAfterItsLastRefusal(t *testing.T) {
	h := newHarness(t)
	h.run(1500)
	h.hosts["h2"].up = false
	for h.coordinator.service("db").refusingSince["h2"] == 0 {
		h.run(10)
	}
	h.run(refusalPeriodMs - 800)
	h.suspectPrimary()
	h.run(200) // the primary is asked, and reports position 100
	h.hosts["h0"].ReceivedPosition.Number = 130
	h.run(10_000)
	require.False(t, h.state.Hosts["h2"].Missing, "h1 lacks what h2 may have received")
	h.hosts["h1"].ReceivedPosition.Number = 130
	h.run(2000)
	require.True(t, h.state.Hosts["h2"].Missing)
}
