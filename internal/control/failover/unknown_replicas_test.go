package failover

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/statemachine"
)

// A new host that continues as primary at the lost primary's address, in the same term, is not appointed while a promotion of
// another host may still take effect: writes that it acknowledged until then would be lost.
func TestSuccessorIsNotAppointedWhileAPromotionMayTakeEffect(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		h := newHarness(t)
		h.promotionOutcome = func(int) PromotionOutcome { return PromotionUnknown }
		h.run(1500)
		h.drain("h0")
		for len(h.promotions) == 0 {
			h.run(10)
			require.Less(t, h.now, int64(testStartMs+20000))
		}
		nominee := h.promotions[0].Host
		if newLeader {
			h.startNextLeader()
		}
		h.hosts["h0.1"] = h.hosts["h0"] // its process was replaced by another with the same address and log
		delete(h.hosts, "h0")
		h.apply(statemachine.Change{AddHost: &statemachine.Host{ID: "h0.1", Service: "db", Address: "h0"}})
		h.run(1500)
		require.NotEqual(t, "h0.1", h.primary().Host, "new leader %v", newLeader)
		h.promote(nominee)
		h.run(1500)
		require.Equal(t, nominee, h.primary().Host, "new leader %v", newLeader)
		require.False(t, h.primary().Revoked)
	}
}

// A host that is primary is not appointed while the later requested promotion of another host may still take effect.
func TestPrimaryIsNotAppointedWhileALaterPromotionMayTakeEffect(t *testing.T) {
	h := newHarness(t)
	h.promotionOutcome = func(int) PromotionOutcome { return PromotionUnknown }
	h.run(500)
	h.stopPrimary(false)
	h.suspectPrimary()
	h.run(300)
	require.Len(t, h.promotions, 1)
	first, second := h.promotions[0].Host, "h1"
	if first == second {
		second = "h2"
	}
	h.coordinator.services["db"].unresolvedPromotions[second] = h.now + 2000
	h.promote(first)
	h.run(1800)
	require.True(t, h.primary().Revoked)
	h.run(1000)
	require.Equal(t, first, h.primary().Host, "the promotion of %s can no longer take effect", second)
}

// While hosts may be running that have not sent their first heartbeat, no switchover starts, and a lost primary is replaced only
// by a host that has received everything it had.
func TestUnregisteredReplicasAreExpectedAfterTheStart(t *testing.T) {
	h := newHarness(t)
	h.coordinator.RegistrationGraceUntil = h.now + 4000
	h.hosts["h1"].ReceivedPosition.Number, h.hosts["h2"].ReceivedPosition.Number = 0, 0 // an unregistered replica acknowledged all writes
	h.run(1500)
	h.drain("h0")
	h.run(1000)
	require.Empty(t, h.primary().Nominee)
	h.suspectPrimary()
	h.stopPrimary(true)
	h.run(1200)
	require.True(t, h.primary().Revoked)
	require.Empty(t, h.promotions, "the most advanced known replica may lack acknowledged writes")
	h.run(1000)
	require.Len(t, h.promotions, 1, "all replicas are registered by now")
}

// A switchover does not promote a nominee that receives nothing, even if all known replicas are paused at its position: an
// unregistered replica may acknowledge the primary's writes.
func TestNomineeMustFollowThePrimary(t *testing.T) {
	h := newHarness(t)
	h.run(1500)
	h.hosts["h0"].ReceivedPosition.Number = 130 // acknowledged by an unregistered replica
	h.drain("h0")
	h.run(1000)
	require.Empty(t, h.promotions)
	h.run(800)
	require.True(t, h.primary().Revoked, "writes are stopped, and the positions are compared")
}
