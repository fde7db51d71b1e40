package failover

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/statemachine"
)

// A new host that leads on at the lost primary's address, in its term, is not appointed while a promotion of another host may still
// take effect: what it acknowledged until then would be lost.
func TestSuccessorIsNotAppointedWhileAPromotionMayTakeEffect(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		h := newHarness(t)
		h.outcome = func(int) PromotionOutcome { return PromotionUnknown }
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
		h.hosts["h0.1"] = h.hosts["h0"] // it has ended, and another process has its address and its log
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

// A host that leads is not appointed while the promotion of another, which was requested later, may still take effect.
func TestPrimaryIsNotAppointedWhileALaterPromotionMayTakeEffect(t *testing.T) {
	h := newHarness(t)
	h.outcome = func(int) PromotionOutcome { return PromotionUnknown }
	h.run(500)
	h.stopPrimary(false)
	h.suspectPrimary()
	h.run(300)
	require.Len(t, h.promotions, 1)
	first, second := h.promotions[0].Host, "h1"
	if first == second {
		second = "h2"
	}
	h.coordinator.services["db"].unsettledPromotions[second] = h.now + 2000
	h.promote(first)
	h.run(1800)
	require.True(t, h.primary().Revoked)
	h.run(1000)
	require.Equal(t, first, h.primary().Host, "the promotion of %s can't take effect any more", second)
}

// While hosts may run that have not sent their first heartbeat, no primary is switched over, and one that is lost is replaced only
// by a host that has all that it had.
func TestUnregisteredReplicasAreExpectedAfterTheStart(t *testing.T) {
	h := newHarness(t)
	h.coordinator.RegistrationsDueUntil = h.now + 4000
	h.hosts["h1"].Received.Number, h.hosts["h2"].Received.Number = 0, 0 // another replica, not known yet, acknowledged all
	h.run(1500)
	h.drain("h0")
	h.run(1000)
	require.Empty(t, h.primary().Nominee)
	h.suspectPrimary()
	h.stopPrimary(true)
	h.run(1200)
	require.True(t, h.primary().Revoked)
	require.Empty(t, h.promotions, "the most advanced known replica may lack what was acknowledged")
	h.run(1000)
	require.Len(t, h.promotions, 1, "all replicas are known by now")
}

// A nominee that receives nothing is not promoted by a switchover, although all known replicas are paused at its position: a replica
// that is not known yet may acknowledge what the primary writes.
func TestNomineeMustFollowThePrimary(t *testing.T) {
	h := newHarness(t)
	h.run(1500)
	h.hosts["h0"].Received.Number = 130 // by another replica
	h.drain("h0")
	h.run(1000)
	require.Empty(t, h.promotions)
	h.run(800)
	require.True(t, h.primary().Revoked, "writes are stopped, and the positions compared")
}
