package failover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// switchOverWithAnUnknownOutcome drains h0 and has its successor lead after a repeated request; the answer to the first request is
// lost. It returns the successor and when the first request was sent.
func switchOverWithAnUnknownOutcome(h *harness) (successor string, requestedAt int64) {
	h.promotionOutcome = func(count int) PromotionOutcome {
		return []PromotionOutcome{PromotionUnknown, PromotionSucceeded}[min(count, 1)]
	}
	h.run(1500)
	h.drain("h0")
	for len(h.promotions) == 0 {
		h.run(testTickMs)
	}
	successor, requestedAt = h.promotions[0].Host, h.now
	for len(h.promotions) == 1 {
		h.run(testTickMs)
	}
	h.promote(successor)
	h.run(500)
	require.Equal(h.t, successor, h.primary().Host)
	require.False(h.t, h.primary().Revoked)
	return successor, requestedAt
}

// A request without a clear answer, by this leader or the one before it, may be carried out late and make its host the primary
// once more: until then no other host is nominated in place of a primary that serves.
func TestSwitchoverWaitsUntilAnEarlierPromotionCannotTakeEffect(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		h := newHarness(t)
		successor, requestedAt := switchOverWithAnUnknownOutcome(h)
		if newLeader {
			h.startNextLeader()
			h.coordinator.RecordUncertainPromotion("db", successor, requestedAt) // as the member that becomes leader does
		}
		h.run(testHeartbeatIntervalMs)
		h.drain(successor)
		h.run(requestedAt + latePromotionMs - h.now - 100)
		require.Empty(t, h.primary().Nominee, "new leader %v", newLeader)
		require.Len(t, h.promotions, 2, "new leader %v", newLeader)
		h.run(1000)
		require.Len(t, h.promotions, 3, "new leader %v", newLeader)
		require.NotEqual(t, successor, h.promotions[2].Host, "new leader %v", newLeader)
	}
}

// If the primary is lost instead, the next one is appointed only when the late promotion can no longer replace it.
func TestPrimaryIsNotAppointedWhileAnEarlierPromotionMayTakeEffect(t *testing.T) {
	h := newHarness(t)
	successor, requestedAt := switchOverWithAnUnknownOutcome(h)
	h.hosts[successor].up, h.hosts[successor].silent = false, true
	h.coordinator.SuspectPrimary("r0", "db", successor, h.now)
	for len(h.promotions) == 2 {
		h.run(testTickMs)
	}
	next := h.promotions[2].Host
	h.promote(next)
	h.run(requestedAt + latePromotionMs - h.now - 100)
	require.True(t, h.primary().Revoked)
	h.run(500)
	require.Equal(t, next, h.primary().Host)
}

// A promotion with a clear answer, or the only one that was requested, delays nothing.
func TestSwitchoverDoesNotWaitForPromotionsThatTookEffect(t *testing.T) {
	h := newHarness(t)
	h.run(1500)
	h.drain("h0")
	h.run(300)
	require.Len(t, h.promotions, 1)
	h.promote(h.promotions[0].Host)
	h.run(testHeartbeatIntervalMs)
	h.drain(h.primary().Host)
	h.run(500)
	require.Len(t, h.promotions, 2)
}
