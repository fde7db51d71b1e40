package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	maxLeaveMs        = 4500 // a leaving member shuts down after this time even if it may not
	leavePollMs       = 30
	recoveryTimeoutMs = 4500 // time within which entries must be acknowledged again after a loss
	standbyLeadTimeMs = 4000 // time that a standby runs before the member that it is to replace leaves
	failureGraceMs    = 9000 // time after which a lost member no longer counts as failed
)

// leaveSimulation makes members leave: permanently, after a standby at another address was started, or for a restart
// in place. After each replacement, another member fails at once.
type leaveSimulation struct {
	*simulation
	standbyCount              int
	leaveCount, replacedCount int
	totalMs, maxMs            int64 // from Leave to shutdown, of replaced members
}

func newLeaveSimulation(seed uint64, size simulatedSize) *leaveSimulation {
	l := &leaveSimulation{simulation: newSimulation(seed, size.members, size.maxFailures)}
	l.After(4000, l.scheduleLeave)
	return l
}

// memberOrLeader picks a random member, with a higher probability for the leader.
func (l *leaveSimulation) memberOrLeader() *simMember {
	m := l.randomMember()
	for _, other := range l.members {
		if other.running && other.node.IsLeader() && l.OneIn(2) {
			m = other
		}
	}
	return m
}

// scheduleLeave makes a member leave, and schedules the next time.
func (l *leaveSimulation) scheduleLeave() {
	l.After(l.Between(2500, 5000), l.scheduleLeave)
	if l.faultFree || l.failedMembers()+l.leavingCount >= l.maxFailures {
		return
	}
	m := l.memberOrLeader()
	if l.OneIn(2) {
		l.leave(m, false)
		return
	}
	l.standbyCount++
	address := fmt.Sprintf("s%d", l.standbyCount)
	l.addMember(address, ID(address+"+0"), nil)
	l.After(standbyLeadTimeMs, func() {
		if l.failedMembers()+l.leavingCount < l.maxFailures {
			l.leave(m, true)
		}
	})
}

// leave makes a member leave, and shuts it down when it may.
func (l *leaveSimulation) leave(m *simMember, permanent bool) {
	if !m.running || m.paused {
		return
	}
	l.leavingCount++
	l.LogFault("%s leaves", m.id)
	if l.disabled == leaveWaitsForLearner {
		m.handleReady(m.node.TransferLeadership(l.Now))
	} else {
		m.handleReady(m.node.Leave(l.Now))
	}
	l.pollLeave(m, m.incarnation, l.Now, permanent)
}

// pollLeave shuts a member down once it may, or after maxLeaveMs.
func (l *leaveSimulation) pollLeave(m *simMember, incarnation int, startedAtMs int64, permanent bool) {
	l.After(leavePollMs, func() {
		state := m.node.LeaveState()
		if l.disabled == leaveWaitsForLearner {
			state = LeaveReplaced
		}
		switch {
		case !m.running || m.incarnation != incarnation: // ended by another fault
			l.leavingCount--
		case state.Done() && !m.node.IsLeader() || l.Now > startedAtMs+maxLeaveMs:
			l.leavingCount--
			l.shutDown(m, state, permanent)
			if state == LeaveReplaced {
				l.replacedCount++
				l.totalMs += l.Now - startedAtMs
				l.maxMs = max(l.maxMs, l.Now-startedAtMs)
				l.failAnotherMember()
			}
		default:
			l.pollLeave(m, incarnation, startedAtMs, permanent)
		}
	})
}

// shutDown ends a member's process. It is restarted unless it left permanently and is not needed as a member.
func (l *leaveSimulation) shutDown(m *simMember, state LeaveState, permanent bool) {
	isMember := slices.ContainsFunc(l.members, func(other *simMember) bool {
		return other.running && slices.Contains(other.node.Members(), m.id)
	})
	l.LogFault("%s shuts down, replaced %v", m.id, state == LeaveReplaced)
	m.crash(false)
	if permanent && (state == LeaveReplaced || !isMember) {
		l.members = slices.DeleteFunc(slices.Clone(l.members), func(other *simMember) bool { return other == m })
	} else {
		l.After(l.Between(50, 1500), m.start)
	}
	l.leaveCount++
	if state != LeaveReplaced {
		m.failedAtMs = l.Now
	}
}

// failAnotherMember makes a member fail right after another was replaced, and asserts that the group acknowledges
// entries again within recoveryTimeoutMs.
func (l *leaveSimulation) failAnotherMember() {
	if l.faultFree || l.failedMembers() > l.maxFailures {
		return
	}
	m := l.memberOrLeader()
	if !m.running || m.paused {
		return
	}
	diskLost := l.OneIn(2)
	l.LogFault("%s fails right after, its disk lost: %v", m.id, diskLost)
	m.failedAtMs = l.Now
	m.crash(true)
	incarnation := m.incarnation
	l.After(l.Between(2500, 4500), func() {
		if diskLost {
			m.disk, m.founders, m.id = RestoredState{}, nil, ID(fmt.Sprintf("%s+s%d", m.address, incarnation))
		}
		m.start()
	})
	l.After(failureGraceMs, func() { m.failedAtMs = 0 })
	acknowledged, slowDisks := len(l.acknowledged), l.slowDisks
	l.After(recoveryTimeoutMs, func() {
		if len(l.acknowledged) == acknowledged && !slowDisks { // slow disks on all members exceed maxFailures
			l.RecordViolation("nothing was acknowledged for %d ms after %s failed", recoveryTimeoutMs, m.id)
		}
	})
}

func TestSimulateLeaveFollowedByLoss(t *testing.T) {
	sizes := [4]simulatedSize{{3, 1}, {3, 1}, {5, 2}, {6, 2}}
	var leaveCount, replacedCount int
	var totalMs, maxMs int64
	for seed := range max(1, simulationCount()/8) {
		l := newLeaveSimulation(uint64(seed), sizes[seed%len(sizes)])
		l.slowDisks, l.noRandomFaults = seed%10 == 9, seed/4%2 == 0
		l.run(14000)
		if len(l.Violations) > 0 {
			t.Fatalf("seed %d, %d members:\n%s", seed, l.memberCount, l.report())
		}
		leaveCount, replacedCount = leaveCount+l.leaveCount, replacedCount+l.replacedCount
		totalMs, maxMs = totalMs+l.totalMs, max(maxMs, l.maxMs)
	}
	require.Greater(t, replacedCount, simulationCount()/16, "too few members were replaced for the test to mean anything")
	t.Logf("%d members left, %d were replaced, after %d ms on average, %d at most", leaveCount, replacedCount,
		totalMs/int64(replacedCount), maxMs)
}

func TestSimulationDetectsLeaveWithoutReplacement(t *testing.T) {
	const maxSeeds = 100
	for seed := range uint64(maxSeeds) {
		l := newLeaveSimulation(seed, simulatedSize{3, 1})
		l.disabled, l.noRandomFaults = leaveWaitsForLearner, true
		l.run(14000)
		if len(l.Violations) > 0 {
			t.Logf("seed %d: %s", seed, l.Violations[0])
			return
		}
	}
	t.Fatalf("%d simulations detected nothing", maxSeeds)
}

func TestStaleLeaveResponseIsIgnored(t *testing.T) {
	node := New("a", DefaultConfig(1), RestoredState{}, []ID{"a", "b", "c"}, func() float64 { return 0 }, 1000)
	node.Step(Message{Type: MsgHeartbeat, From: "b", To: "a", Term: 3, SentAtMs: 5}, 1010)
	node.Leave(2000)
	response := Message{Type: MsgLeaveResponse, From: "b", To: "a", Term: 3, SentAtMs: 2000, Granted: true}
	for name, change := range map[string]func(m *Message){
		"to a request before a restart": func(m *Message) { m.SentAtMs = 1900 },
		"of a member that doesn't lead": func(m *Message) { m.From = "c" },
		"of an older term":              func(m *Message) { m.Term = 2 },
		"to a future request":           func(m *Message) { m.SentAtMs = 9000 },
	} {
		stale := response
		change(&stale)
		node.Step(stale, 2010)
		require.Equal(t, LeavePending, node.LeaveState(), name)
	}
	node.Step(response, 2010)
	require.Equal(t, LeaveReplaced, node.LeaveState())
}

// A leaving leader is succeeded within about the time of an election, even if some members hold an entry that the
// transferee lacks at first.
func TestLeavingLeaderIsSucceededQuickly(t *testing.T) {
	worstMs := int64(0)
	for seed := range uint64(50) {
		s := newSimulation(seed, 6, 2)
		s.faultFree = true
		s.After(500, s.propose)
		s.RunFor(10000)
		for range 5 {
			leader := s.leaseHolder()
			require.NotNil(t, leader)
			worstMs = max(worstMs, s.leaveAndRestart(leader))
		}
		require.Empty(t, s.Violations, s.report())
		require.Less(t, worstMs, int64(300), "seed %d", seed)
	}
	t.Logf("no leader for %d ms at most", worstMs)
}

// leaveAndRestart makes a leader leave and restart, and returns the longest time without a leader.
func (s *simulation) leaveAndRestart(leader *simMember) (worstMs int64) {
	leader.handleReady(leader.node.Leave(s.Now))
	endMs, ledAtMs := s.Now+2500, s.Now
	for s.Now < endMs {
		s.RunFor(5)
		if s.leaseHolder() != nil {
			ledAtMs = s.Now
		}
		worstMs = max(worstMs, s.Now-ledAtMs)
		if leader.running && leader.node.LeaveState().Done() && !leader.node.IsLeader() {
			leader.crash(false)
			s.After(700, leader.start)
		}
	}
	return worstMs
}
