package failover

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// markH2Missing ends h2 and runs until it is marked as missing.
func markH2Missing(h *harness) {
	h.hosts["h2"].up = false
	h.run(12_000)
	require.True(h.t, h.state.Hosts["h2"].Missing)
}

// removeH2 removes h2 and runs until the other hosts are known to have its log.
func removeH2(h *harness) {
	h.apply(statemachine.Change{DrainHost: "h2"})
	h.hosts["h2"].up = false
	h.apply(statemachine.Change{RemoveHost: "h2"})
	h.run(2000)
	require.Empty(h.t, h.state.UnaccountedHostIDs("db"))
}

// loseTheUnheardHostsPrimary has the primary fail after h2's successor, at the address of h2, has received writes that h1 has not.
func loseTheUnheardHostsPrimary(h *harness) {
	h.hosts["h2"].replaced = true
	h.hosts["h0"].ReceivedPosition.Number = 130
	h.stopPrimary(true)
	h.suspectPrimary()
	h.run(3000)
}

// registerSuccessor has the successor of h2 send its first heartbeat.
func registerSuccessor(h *harness, number uint64) {
	h.hosts["h2"].replaced = false
	status := wire.HostStatus{Timeline: 4, ReceivedPosition: wire.Position{Timeline: 4, Number: number}}
	h.hosts["h2.1"] = &fakeHost{HostStatus: status, up: true}
	h.apply(statemachine.Change{AddHost: &statemachine.Host{ID: "h2.1", Service: "db", Address: "h2"}})
	h.run(500)
}

// A host that returned at the address of a missing or removed replica may be the only one that received acknowledged writes, though
// it has sent no heartbeat yet.
func TestFailoverWaitsForUnheardHostAtTheAddressOfALostReplica(t *testing.T) {
	for name, lose := range map[string]func(h *harness){"missing": markH2Missing, "removed": removeH2} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.run(1500)
			lose(h)
			loseTheUnheardHostsPrimary(h)
			require.True(t, h.primary().Revoked)
			require.Empty(t, h.promotions, "h1 lacks writes that the host at h2's address has")
			require.Equal(t, []string{"h2"}, h.coordinator.Transitions(h.state, h.now)["db"].WaitingFor)
			registerSuccessor(h, 130)
			require.Len(t, h.promotions, 1)
			require.Equal(t, "h2.1", h.promotions[0].Host)
		})
	}
}

// A missing replica that runs again under its ID, without a heartbeat so far, is asked like any other.
func TestFailoverAsksMissingReplicaThatRunsAgain(t *testing.T) {
	h := newHarness(t)
	h.run(1500)
	markH2Missing(h)
	h.stopPrimary(true)
	h.hosts["h2"].silent = true
	h.suspectPrimary()
	h.run(3000)
	require.Empty(t, h.promotions, "a silent host may be running")
	h.hosts["h2"].up, h.hosts["h2"].silent = true, false
	h.hosts["h2"].ReceivedPosition.Number = 130
	for len(h.promotions) == 0 {
		h.run(10)
	}
	require.Equal(t, "h2", h.promotions[0].Host)
}

// Where nothing runs at the address of a lost replica, a failover does not wait for it.
func TestFailoverDoesNotWaitForLostReplicas(t *testing.T) {
	for name, test := range map[string]struct {
		lose    func(h *harness)
		silent  bool // the address of the lost replica gives no answer any more
		limitMs int64
	}{
		"missing":                              {markH2Missing, false, 300},
		"removed":                              {removeH2, false, 300},
		"removed, and its machine is gone too": {removeH2, true, 300 + queryTimeoutMs},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.run(1500)
			test.lose(h)
			h.hosts["h2"].silent = test.silent
			h.stopPrimary(false)
			h.suspectPrimary()
			h.run(test.limitMs)
			require.Len(t, h.promotions, 1)
		})
	}
}

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

// A failover promotes no host that lacks writes which the proxies saw acknowledged, whichever host has them.
func TestFailoverWaitsForAcknowledgedWrites(t *testing.T) {
	h := newHarness(t)
	h.run(1500)
	earlierRevocation := h.primary().ChangedIndex
	h.allCaughtUp = func(uint64) bool { return false }
	h.stopPrimary(true)
	h.suspectPrimary()
	h.run(1500)
	require.True(t, h.primary().Revoked)
	h.coordinator.Acknowledged("db", h.primary().ChangedIndex, AcknowledgedWrites{AtLeast: wire.Position{Timeline: 4, Number: 120}})
	h.coordinator.Acknowledged("db", h.primary().ChangedIndex, AcknowledgedWrites{AtLeast: wire.Position{Timeline: 4, Number: 110}})
	h.coordinator.Acknowledged("db", earlierRevocation, AcknowledgedWrites{AtLeast: wire.Position{Timeline: 4, Number: 999}})
	h.allCaughtUp = nil
	h.run(2000)
	require.Empty(t, h.promotions, "no known host has position 120")
	require.Equal(t, "4.120", h.coordinator.Transitions(h.state, h.now)["db"].AwaitedPosition)
	require.Contains(t, h.observedEvents, Event{"db", AcknowledgedWritesAwaited, "h1"})
	status := wire.HostStatus{Timeline: 4, ReceivedPosition: wire.Position{Timeline: 4, Number: 121}}
	h.hosts["h3"] = &fakeHost{HostStatus: status, up: true}
	h.apply(statemachine.Change{AddHost: &statemachine.Host{ID: "h3", Service: "db", Address: "h3"}})
	h.run(500)
	require.Len(t, h.promotions, 1)
	require.Equal(t, "h3", h.promotions[0].Host)
	require.Empty(t, h.coordinator.Transitions(h.state, h.now)["db"].AwaitedPosition)
}

// A host that has sent no heartbeat cannot be paused, so it may acknowledge writes that the nominee does not receive.
func TestSwitchoverStopsWritesIfAnUnheardHostRuns(t *testing.T) {
	h := newHarness(t)
	h.run(1500)
	removeH2(h)
	h.drain("h0")
	h.run(300)
	require.Len(t, h.promotions, 1)
	require.Zero(t, h.revocations)
	h.hosts["h2"].replaced = true
	h.run(200)
	require.Equal(t, 1, h.revocations)
}
