package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A restarted member does not vote for itself either while a lease that it may have granted before the restart is
// running.
func TestCandidateHonoursItsOwnLease(t *testing.T) {
	n := newNetworkLedByC(t)
	n.nowMs += 20
	n.start("a", "a", "b", "c")
	for range 20 {
		n.nowMs += 20
		n.tick("a")
		n.deliver(between("a", "b"))
		n.requireOneLease()
	}
	for range 40 { // until the lease is over
		n.nowMs += 20
		n.tick("a")
		n.deliver(between("a", "b"))
	}
	require.Equal(t, []ID{"a"}, n.leaseHolders())
}

// A delayed Pre-Vote response whose sender had heard from no leader must not count as a cold start in a later round,
// since the sender may have granted a lease in the meantime.
func TestStalePreVoteResponseIsNoColdStart(t *testing.T) {
	n := newNetwork(t, "a", "b", "c")
	n.nowMs += 200
	n.tick("a")
	n.deliver(func(m Message) bool { return m.From == "a" })
	stale := n.inFlight
	require.Len(t, stale, 2)
	require.True(t, stale[0].ColdStart && stale[1].ColdStart)
	n.inFlight = nil
	n.electC("b")
	n.heartbeatNow("c")
	n.deliver(everyMessage)
	n.start("a", "a", "b", "c")
	n.start("b", "a", "b", "c")
	n.nowMs += 200
	n.tick("a")
	n.inFlight = stale
	for range 15 {
		n.deliver(func(m Message) bool { return m.From != "c" && m.To != "c" || m.From == "c" && m.PreVote })
		n.requireOneLease()
		n.nowMs += 20
		n.tick("a")
	}
}

// If only some members have heard from no leader since they started, they may still have granted a lease before that,
// so an election must wait for it.
func TestTwoRestartedMembersWaitForLeases(t *testing.T) {
	n := newNetworkLedByC(t)
	n.heartbeatNow("c")
	n.deliver(everyMessage)
	n.start("a", "a", "b", "c")
	n.start("b", "a", "b", "c")
	for range 15 {
		n.nowMs += 40
		n.tick("a")
		n.tick("b")
		n.deliver(between("a", "b"))
		n.requireOneLease()
	}
}

// A leader's lease ends before the granting member may vote for another candidate, as long as their clocks drift
// apart by at most a tenth.
func TestLeaseToleratesClockDrift(t *testing.T) {
	type clockRates struct{ leader, granter float64 }
	for _, rates := range []clockRates{{1, 1}, {0.95, 1.05}, {1.05, 0.95}, {0.91, 1}, {1, 1.1}} {
		require.False(t, leaseOutlivesPromise(t, rates.leader, rates.granter), "%v", rates)
	}
	for _, rates := range []clockRates{{0.93, 1.07}, {0.88, 1}, {1, 1.13}} {
		require.True(t, leaseOutlivesPromise(t, rates.leader, rates.granter), "%v: excessive drift is not detected", rates)
	}
}

// leaseOutlivesPromise reports whether the leader holds its lease at a time when the granting member may vote for
// another candidate.
func leaseOutlivesPromise(t *testing.T, leaderRate, granterRate float64) bool {
	n := newNetworkLedByC(t)
	leader, granter, startMs := n.nodes["c"], n.nodes["a"], n.nowMs
	n.heartbeatNow("c")
	n.deliver(between("a", "c")) // worst case: the heartbeat and its response take no time
	for passedMs := range 1000 {
		granter.advanceClock(startMs + int64(float64(passedMs)*granterRate))
		leaderMs := startMs + int64(float64(passedMs)*leaderRate)
		if leader.HoldsLease(leaderMs) && !granter.hasUnexpiredPromise() {
			return true
		}
	}
	return false
}
