package failover

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/statemachine"
)

// Guards against a wait without end: a draining host is promoted, since no other has as much, is removed before its appointment is in the
// log, and ends. Its log counts as unaccounted for, but is not awaited once another replica has all of it.
func TestFailoverDoesNotWaitForAPromotedHostThatHasLeft(t *testing.T) {
	for _, othersHaveItsLog := range []bool{true, false} {
		h := newHarness(t)
		h.run(1300)
		h.drain("h1")
		h.hosts["h2"].ReceivedPosition.Number = 90
		h.stopPrimary(false)
		h.suspectPrimary()
		h.run(200)
		require.Len(t, h.promotions, 1)
		require.Equal(t, "h1", h.promotions[0].Host)
		h.promote("h1")
		appointmentProposed := Event{"db", NewPrimaryObserved, "h1"}
		for !slices.Contains(h.observedEvents, appointmentProposed) {
			h.run(testTickMs)
		}
		if othersHaveItsLog {
			h.hosts["h2"].ReceivedPosition = h.hosts["h1"].ReceivedPosition
		}
		h.apply(statemachine.Change{RemoveHost: "h1"})
		h.run(50)
		require.Equal(t, "h1", h.primary().Host)
		h.hosts["h1"].up, h.hosts["h1"].IsPrimary = false, false
		h.hosts["h0"].up, h.hosts["h0"].IsPrimary, h.hosts["h0"].ReceivedPosition.Number = true, false, 90
		h.run(10_000)
		waitingFor := h.coordinator.Transitions(h.state, h.now)["db"].WaitingFor
		if othersHaveItsLog {
			require.Greater(t, len(h.promotions), 1, "waits for %v", waitingFor)
			require.Equal(t, "h2", h.promotions[1].Host)
		} else {
			require.Len(t, h.promotions, 1, "it may alone have acknowledged writes")
			require.Contains(t, waitingFor, "h1")
		}
	}
}
