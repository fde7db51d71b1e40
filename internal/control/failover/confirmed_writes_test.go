package failover

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// Guards against a planned promotion while a proxy may still acknowledge writes that only an unheard host has received.
func TestSwitchoverWaitsUntilProxiesAwaitTheNominee(t *testing.T) {
	h := newHarness(t)
	h.run(1300)
	nominatedAt := uint64(1 << 60)
	h.allCaughtUp = func(index uint64) bool { return index < nominatedAt }
	h.drain("h0")
	for h.primary().Nominee == "" {
		h.run(testTickMs)
	}
	nominatedAt = h.index
	h.run(500)
	require.Empty(t, h.promotions, "a proxy has not applied the nomination")
	require.Zero(t, h.revocations)
	h.hosts["h0"].ReceivedPosition.Number = 120 // acknowledged meanwhile, and received by an unheard host
	h.allCaughtUp = nil
	h.run(300)
	require.Empty(t, h.promotions, "the nominee lacks writes acknowledged before all proxies waited for it")
	h.hosts[h.primary().Nominee].ReceivedPosition.Number = 120
	h.run(300)
	require.Len(t, h.promotions, 1)
	require.Zero(t, h.revocations, "the old primary serves until the successor is primary")
}

// Guards against a planned promotion while a proxy of an earlier release acknowledges writes that the nominee has not confirmed: writes
// are stopped first.
func TestSwitchoverStopsWritesOfProxiesThatDoNotAwaitTheNominee(t *testing.T) {
	h := newHarness(t)
	h.run(1300)
	h.coordinator.WritesAreConfirmed = false
	h.allCaughtUp = func(index uint64) bool { return !h.primary().Revoked || index < h.primary().ChangedIndex }
	h.drain("h0")
	h.run(500)
	require.Equal(t, 1, h.revocations)
	require.Empty(t, h.promotions, "a proxy has not applied the revocation")
	h.hosts["h0"].ReceivedPosition.Number = 120
	h.allCaughtUp = nil
	h.run(100)
	require.Empty(t, h.promotions, "the nominee lacks acknowledged writes")
	h.hosts["h1"].ReceivedPosition.Number = 120
	h.run(100)
	require.Len(t, h.promotions, 1)
	require.Equal(t, "h1", h.promotions[0].Host)
}

// Guards against the promotion of a nominee whose log is longer than the primary's, but ends in an earlier term.
func TestNomineeWithADivergedLogIsNotPromoted(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		h := newHarness(t)
		h.coordinator.WritesAreConfirmed = confirmed
		h.hosts["h1"].ReceivedPosition = wire.Position{Timeline: 3, Number: 110}
		h.run(1300)
		h.drain("h0")
		h.run(200)
		require.Equal(t, "h1", h.primary().Nominee)
		require.Empty(t, h.promotions)
		h.drain("h1") // which aborts the switchover
		h.run(2000)
		require.NotEmpty(t, h.promotions)
		require.Equal(t, "h2", h.promotions[0].Host, "only h2 has the primary's log")
	}
}

// Guards against the choice of a host by the number of its position alone, once the old primary has stepped down and left.
func TestOldPrimaryInALaterTermIsNotOutnumbered(t *testing.T) {
	h := newHarness(t)
	h.coordinator.RegistrationGraceUntil = testStartMs + 60_000 // so the old primary's position is compared
	h.run(1300)
	for _, id := range []string{"h1", "h2"} {
		h.hosts[id].ReceivedPosition = wire.Position{Timeline: 3, Number: 110}
	}
	h.apply(statemachine.Change{RemoveHost: "h0"})
	h.run(1500)
	require.True(t, h.primary().Revoked)
	require.Empty(t, h.promotions, "both replicas lack what was written in the old primary's term")
}

// Guards against a failover to a host that lacks writes which only an unheard host has received, while the exact position of the last
// acknowledged write is not known. The wait ends with the first heartbeat of a host that has them, and at the latest when the first
// heartbeat of any host is overdue.
func TestFailoverWaitsForUnconfirmedWrites(t *testing.T) {
	for _, heard := range []bool{true, false} {
		h := newHarness(t)
		h.run(1500)
		h.stopPrimary(false)
		h.allCaughtUp = func(uint64) bool { return false }
		h.suspectPrimary()
		h.run(500)
		h.coordinator.Acknowledged("db", h.primary().ChangedIndex, AcknowledgedWrites{
			AtLeast: wire.Position{Timeline: 4, Number: 98},
			AtMost:  wire.Position{Timeline: 4, Number: 104},
		})
		h.allCaughtUp = nil
		h.run(firstHeartbeatMs - 500)
		require.Empty(t, h.promotions, "no known host has position 104")
		require.Equal(t, "4.104", h.coordinator.Transitions(h.state, h.now)["db"].AwaitedPosition)
		if heard {
			status := wire.HostStatus{Timeline: 4, ReceivedPosition: wire.Position{Timeline: 4, Number: 104}}
			h.hosts["h3"] = &fakeHost{HostStatus: status, up: true}
			h.apply(statemachine.Change{AddHost: &statemachine.Host{ID: "h3", Service: "db", Address: "h3"}})
			h.run(300)
			require.Len(t, h.promotions, 1)
			require.Equal(t, "h3", h.promotions[0].Host)
			continue
		}
		h.run(700)
		require.Len(t, h.promotions, 1, "every host that can have received writes has been heard")
	}
}
