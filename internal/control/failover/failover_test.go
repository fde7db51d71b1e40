package failover

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/statemachine"
)

func TestFailoverPromotesTheMostAdvancedReplica(t *testing.T) {
	for _, silent := range []bool{false, true} {
		detectionMs := int64(0)
		if silent {
			detectionMs = queryTimeoutMs + hedgeDelayMs
		}
		h := newHarness(t)
		h.run(500)
		h.hosts["h1"].ReceivedPosition.Number = 90
		h.stopPrimary(silent)
		h.suspectPrimary()
		suspectedAt := h.now
		h.run(200 + detectionMs)
		require.Len(t, h.promotions, 1, "silent %v, %d ms after the primary was suspected", silent, h.now-suspectedAt)
		require.Equal(t, "h2", h.promotions[0].Host)
		h.promote("h2")
		h.run(200)
		require.Equal(t, "h2", h.primary().Host)
		h.run(300)
		require.Contains(t, h.hosts["h1"].commands, Resume, "it was paused")
	}
}

// Implausible reports must not revoke a healthy primary.
func TestImplausibleReportsDoNotRevokeAHealthyPrimary(t *testing.T) {
	for name, report := range map[string]func(h *harness){
		"a status with a lower term":           func(h *harness) { h.hosts["h0"].Timeline = 2 },
		"another host that reports as primary": func(h *harness) { h.hosts["h1"].IsPrimary = true },
		"another primary in an earlier term":   func(h *harness) { h.hosts["h1"].IsPrimary, h.hosts["h1"].Timeline = true, 3 },
		"a term far beyond the primary's":      func(h *harness) { h.hosts["h1"].IsPrimary, h.hosts["h1"].Timeline = true, 1<<63-1 },
		"positions that decrease":              func(h *harness) { h.hosts["h1"].ReceivedPosition.Number, h.hosts["h0"].ReceivedPosition.Number = 3, 50 },
		"heartbeats of an unknown host":        func(h *harness) { h.coordinator.Heartbeat("h9", true, h.now) },
		"a proxy that keeps suspecting":        func(h *harness) { h.suspectPrimary() },
		"a replica that is silent":             func(h *harness) { h.hosts["h2"].up, h.hosts["h2"].silent = false, true },
		"a replica that is gone":               func(h *harness) { h.hosts["h2"].up = false },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for range 60 {
				report(h)
				h.run(200)
			}
			require.Zero(t, h.revocations, "the primary was revoked")
			require.Empty(t, h.promotions)
		})
	}
}

// A failover neither waits because of an implausibly high term nor adopts it.
func TestImplausibleTermDoesNotBlockFailover(t *testing.T) {
	h := newHarness(t)
	h.hosts["h1"].Timeline = 1<<63 - 1
	h.stopPrimary(false)
	h.suspectPrimary()
	h.run(300)
	require.Len(t, h.promotions, 1)
	promoted := h.hosts[h.promotions[0].Host]
	promoted.IsPrimary, promoted.Timeline = true, 5
	h.run(300)
	require.Equal(t, h.promotions[0].Host, h.primary().Host)
	require.EqualValues(t, 5, h.primary().Term)
}

// The platform does not execute the first request, rejects the second, and its response to the third is lost. While a promotion may
// have been executed, the coordinator waits for it and promotes no other host.
func TestPromotionOutcomes(t *testing.T) {
	h := newHarness(t)
	h.promotionOutcome = func(count int) PromotionOutcome {
		return []PromotionOutcome{PromotionNotExecuted, PromotionRejected, PromotionUnknown, PromotionSucceeded}[min(count, 3)]
	}
	h.stopPrimary(false)
	h.suspectPrimary()
	h.run(4000)
	require.GreaterOrEqual(t, len(h.promotions), 3)
	promoted := h.promotions[2].Host
	count := len(h.promotions)
	h.promote(promoted)
	h.run(1000)
	require.Equal(t, promoted, h.primary().Host, "the promotion with an unknown outcome took effect")
	require.Len(t, h.promotions, count, "no other host was promoted")
	for i := 1; i < len(h.promotions); i++ {
		require.GreaterOrEqual(t, h.promotions[i].FencingToken, h.promotions[i-1].FencingToken)
	}
}

// A host stops after its promotion was accepted and before it becomes primary: the other replica is promoted once the
// position of the first is known.
func TestHostThatFailsAfterPromotionIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.stopPrimary(false)
	h.suspectPrimary()
	h.run(300)
	require.Len(t, h.promotions, 1)
	promoted := h.promotions[0].Host
	h.hosts[promoted].up = false
	h.run(promotionTimeoutMs + 2000)
	require.Contains(t, h.coordinator.Transitions(h.state, h.now)["db"].WaitingFor, promoted, "its position is needed first")
	h.hosts[promoted].up = true
	h.hosts[promoted].ReceivedPosition.Number = 80
	h.run(1500)
	require.Greater(t, len(h.promotions), 1)
	require.NotEqual(t, promoted, h.promotions[len(h.promotions)-1].Host)
}

// The leader of the control plane fails at each step of a failover; the next leader determines what was done and continues.
func TestNextLeaderResumesFailover(t *testing.T) {
	for after := int64(0); after < 400; after += 20 {
		h := newHarness(t)
		h.stopPrimary(false)
		h.suspectPrimary()
		h.run(after)
		h.events = nil // results in flight to the previous leader are lost
		h.startLeader("other", 2)
		if len(h.promotions) > 0 {
			h.after(200, func() { h.promote(h.promotions[0].Host) })
		} else {
			h.after(10, h.suspectPrimary)
		}
		promotionsBefore := len(h.promotions)
		h.run(2500)
		if promotionsBefore == 0 {
			require.NotEmpty(t, h.promotions, "after %d ms", after)
			require.Equal(t, "other", h.promotions[0].Owner)
			h.promote(h.promotions[len(h.promotions)-1].Host)
			h.run(1500)
		} else {
			for _, promotion := range h.promotions {
				require.Equal(t, h.promotions[0].Host, promotion.Host, "after %d ms: only the host that may already be promoted is requested again", after)
			}
		}
		require.Equal(t, h.promotions[0].Host, h.primary().Host, "after %d ms", after)
		for id, host := range h.hosts {
			require.False(t, host.up && !host.IsPrimary && host.PausedTimeline > 0, "after %d ms: %s stays paused", after, id)
		}
	}
}

// In a switchover the old primary serves until the successor is primary, then it steps down.
func TestDrainingPrimaryIsSwitchedOver(t *testing.T) {
	h := newHarness(t)
	h.run(1300)
	h.drain("h0")
	h.run(300)
	require.Len(t, h.promotions, 1)
	require.Zero(t, h.revocations, "the old primary serves until the successor is primary")
	successor := h.promotions[0].Host
	h.hosts[successor].IsPrimary, h.hosts[successor].Timeline = true, 5
	h.run(400)
	require.Equal(t, successor, h.primary().Host)
	require.False(t, h.hosts["h0"].IsPrimary)
}

// A switchover emits its start event, a failover the revocation of the primary, and both the new primary.
func TestEventsNameTheTransition(t *testing.T) {
	h := newHarness(t)
	h.stopPrimary(false)
	h.suspectPrimary()
	h.run(300)
	h.promote("h1")
	h.run(200)
	require.Equal(t, Event{"db", FailoverStarted, "h0"}, h.observedEvents[0])
	require.Contains(t, h.observedEvents, Event{"db", NewPrimaryObserved, "h1"})

	h = newHarness(t)
	h.run(1300)
	h.drain("h0")
	h.run(300)
	successor := h.promotions[0].Host
	h.promote(successor)
	h.run(400)
	require.Equal(t, Event{"db", SwitchoverStarted, successor}, h.observedEvents[0])
	require.Contains(t, h.observedEvents, Event{"db", NewPrimaryObserved, successor})
	require.NotContains(t, h.observedEvents, Event{"db", FailoverStarted, "h0"})
	require.Equal(t, "db: switchover started, host "+successor, h.observedEvents[0].String())
	require.Equal(t, "EventKind(0)", EventKind(0).String())
}

// A primary that answers that it is no longer primary is revoked without further probes.
func TestPrimaryThatIsNoLongerPrimaryIsRevoked(t *testing.T) {
	h := newHarness(t)
	h.hosts["h0"].IsPrimary = false
	h.suspectPrimary()
	h.run(50)
	require.Equal(t, 1, h.revocations)
	require.EqualValues(t, 1, h.coordinator.Counters.Cleared)
	require.EqualValues(t, 1, h.coordinator.Counters.Lost)
}

// A promotion that takes effect after its failover ended is detected, and the promoted host is appointed primary.
func TestHostPromotedInALaterTermBecomesPrimary(t *testing.T) {
	h := newHarness(t)
	h.promote("h2")
	h.run(3 * testHeartbeatIntervalMs)
	require.Equal(t, 1, h.revocations)
	require.Equal(t, "h2", h.primary().Host)
	require.EqualValues(t, 5, h.primary().Term)
	require.False(t, h.hosts["h0"].IsPrimary, "it was told to step down")
	require.Empty(t, h.promotions)
}

// leave marks a host as leaving without draining first; the host keeps serving.
func (h *harness) leave(hostID string) {
	h.apply(statemachine.Change{HostLeaving: hostID})
}

// A primary that leaves without draining first serves until its successor is primary, like a draining one.
func TestPrimaryThatLeavesWithoutDrainingIsSwitchedOver(t *testing.T) {
	h := newHarness(t)
	h.run(1300)
	h.leave("h0")
	h.run(300)
	require.Len(t, h.promotions, 1)
	require.Zero(t, h.revocations, "the old primary serves until the successor is primary")
	successor := h.promotions[0].Host
	h.promote(successor)
	h.run(400)
	require.Equal(t, successor, h.primary().Host)
	require.Contains(t, h.state.Hosts, "h0", "it still runs, and a failover may need its log")
}

// A replica that leaves without draining first stays a replica until its process has terminated and others have its log. It is
// removed after it has been missing for terminatedHostRemovalMs, unless it sends a heartbeat again.
func TestHostThatLeavesWithoutDrainingIsRemovedAfterItsEnd(t *testing.T) {
	h := newHarness(t)
	h.run(1300)
	h.leave("h2")
	h.run(10_000)
	require.Contains(t, h.state.Hosts, "h2")
	require.False(t, h.state.Hosts["h2"].Missing, "its process runs")

	h.hosts["h2"].up = false
	h.run(20_000)
	require.True(t, h.state.Hosts["h2"].Missing)
	h.hosts["h2"].up = true
	host := h.state.Hosts["h2"]
	host.Missing = false
	h.apply(statemachine.Change{AddHost: &host}) // as its heartbeat would
	h.run(2 * terminatedHostRemovalMs)
	require.Contains(t, h.state.Hosts, "h2", "it came back with its log")

	h.hosts["h2"].up = false
	h.run(20_000 + terminatedHostRemovalMs)
	require.NotContains(t, h.state.Hosts, "h2")
	require.Empty(t, h.state.UnaccountedHostIDs("db"), "others have its log")
	require.Empty(t, h.promotions)
}

// A removed replica still receives until its process terminates. Before that it must not count as gone, or a write that only it
// has received could be lost.
func TestRemovedReplicaIsNotGoneBeforeItHasTerminated(t *testing.T) {
	h := newHarness(t)
	h.run(1300)
	h.apply(statemachine.Change{DrainHost: "h2"})
	h.run(300)
	h.apply(statemachine.Change{RemoveHost: "h2"})
	h.run(removedHostShutdownMs - 50)
	require.Equal(t, []string{"h2"}, h.state.UnaccountedHostIDs("db"))
	h.run(2000)
	require.Empty(t, h.state.UnaccountedHostIDs("db"), "others have its log")
}
