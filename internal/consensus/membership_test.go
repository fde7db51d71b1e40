package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// A member that is lost permanently is replaced at another address, or returns at its own with an empty disk. The
// group tolerates another loss once the replacement is a member, so this must not take long after its start.
func TestReplacementIsPromotedInTime(t *testing.T) {
	const seeds = 60
	for _, place := range []struct{ name, address string }{{"another address", "m9"}, {"its own address", ""}} {
		var totalMs, worstMs int64
		for seed := range uint64(seeds) {
			tookMs := replaceMember(t, seed, place.address)
			totalMs, worstMs = totalMs+tookMs, max(worstMs, tookMs)
		}
		t.Logf("at %s: %d ms on average, %d at most", place.name, totalMs/seeds, worstMs)
		require.Less(t, worstMs, int64(4000))
	}
}

// replaceMember replaces a member by a new one, at its own address if none is given. It returns how long it takes
// until the new one is a member and a majority has persisted that configuration as committed.
func replaceMember(t *testing.T, seed uint64, address string) (tookMs int64) {
	s := newSimulation(seed, 3, 1)
	s.After(500, s.propose)
	s.RunFor(4000)
	m := s.members[seed%3]
	m.crash(true)
	s.RunFor(500)
	m.disk, m.founders = RestoredState{}, nil
	if address != "" {
		m.address = address
	}
	m.id = ID(m.address + "+new")
	m.start()
	startedAtMs := s.Now
	for promoted := false; !promoted && s.Now < startedAtMs+10000; s.RunFor(10) {
		promoted = slices.ContainsFunc(s.members, func(leader *simMember) bool {
			return leader.running && leader.node.HoldsLease(s.Now) && leader.node.configurationDurable() &&
				slices.Contains(leader.node.Members(), m.id)
		})
	}
	require.Empty(t, s.Violations, s.report())
	return s.Now - startedAtMs
}

// newLeader returns node a as leader with a lease in a group of a, b and c.
func newLeader(nowMs int64) *Node {
	node := New("a", DefaultConfig(1), RestoredState{}, []ID{"a", "b", "c"}, func() float64 { return 0 }, nowMs)
	nowMs += 1000
	node.Tick(nowMs)
	for _, preVote := range []bool{true, false} {
		node.Step(Message{
			Type: MsgVoteResponse, From: "b", To: "a", Term: node.Term(),
			PreVote: preVote, Granted: true, ColdStart: true,
		}, nowMs)
		node.Persisted(1<<40, nowMs)
	}
	node.Step(Message{Type: MsgAppendAccepted, From: "b", To: "a", Term: node.Term(), Index: node.LastIndex()}, nowMs)
	node.Step(Message{Type: MsgHeartbeatResponse, From: "b", To: "a", Term: node.Term(), SentAtMs: nowMs}, nowMs)
	return node
}

func TestInvalidMembershipMessagesAreDiscarded(t *testing.T) {
	node := newLeader(1 << 20)
	nowMs := node.nowMs
	require.True(t, node.HoldsLease(nowMs))
	members, lastIndex := node.Members(), node.LastIndex()
	requireDiscarded := func(count int64, what string) {
		t.Helper()
		require.Equal(t, count, node.DiscardedMessages, what)
		require.Equal(t, members, node.Members(), what)
		require.Equal(t, lastIndex, node.LastIndex(), what)
	}
	node.Step(Message{Type: MsgLeave, From: "x", To: "a", Term: 1, SentAtMs: nowMs}, nowMs)
	requireDiscarded(1, "from a non-member")
	node.Step(Message{Type: MsgLeave, From: "b", To: "a+old", Term: 1, SentAtMs: nowMs}, nowMs)
	requireDiscarded(2, "to an earlier member at this address")
	node.Step(Message{Type: MsgLeave, From: "", To: "a", Term: 1}, nowMs)
	requireDiscarded(3, "without a sender")
	node.Step(Message{Type: MsgLeaveResponse, From: "b", To: "a", Term: 1, Granted: true}, nowMs)
	require.Equal(t, LeaveNotStarted, node.LeaveState(), "a response without a request")
	const joining = 1000
	for i := range joining {
		node.Step(Message{Type: MsgJoin, From: ID(fmt.Sprintf("j%d+1", i)), Index: 1 << 60}, nowMs)
	}
	requireDiscarded(3+joining-maxLearners, "more learners than are tracked")
	require.Len(t, node.Status(nowMs).Learners, maxLearners)
	for i := range 100 { // learners at the same address count as one
		node.Step(Message{Type: MsgJoin, From: ID(fmt.Sprintf("j1+%d", i+5)), Index: 0}, nowMs)
	}
	require.Len(t, node.Status(nowMs).Learners, maxLearners)
}

// A learner knows only its seeds, and none of them may be the leader, so a follower forwards its join request.
func TestJoinIsForwardedByFollower(t *testing.T) {
	n := newNetworkLedByC(t)
	n.nowMs += 140
	n.tick("c")
	n.deliver(everyMessage)
	n.disks["d+1"] = &RestoredState{}
	n.start("d+1")
	n.tick("d+1")
	require.Len(t, n.inFlight, 1)
	join := n.inFlight[0]
	require.Equal(t, MsgJoin, join.Type)
	n.inFlight = nil
	n.handleReady("b", n.nodes["b"].Step(join, n.nowMs)) // a follower
	n.deliver(everyMessage)
	require.Equal(t, n.nodes["c"].CommitIndex(), n.nodes["d+1"].CommitIndex())
	require.Equal(t, ID("c"), n.nodes["d+1"].Leader())
}

// A follower forwards a join request as its own message, and only once. A leader does not track a process that has ended.
func TestForwardedJoinNamesItsForwarder(t *testing.T) {
	n := newNetworkLedByC(t)
	n.nowMs += 140
	n.tick("c")
	n.deliver(everyMessage)
	forwarded := n.nodes["b"].Step(Message{Type: MsgJoin, From: "d+1", Index: 7}, n.nowMs).Messages
	require.Equal(t, []Message{{Type: MsgJoin, From: "b", To: "c", Term: n.nodes["b"].Term(), Joiner: "d+1", Index: 7}}, forwarded)
	forwarded[0].To = "a"
	require.Empty(t, n.nodes["a"].Step(forwarded[0], n.nowMs), "forwarded twice")
	leader := n.nodes["c"]
	for _, joiner := range []ID{"a", "c", "c+1"} {
		leader.Step(Message{Type: MsgJoin, From: "b", To: "c", Joiner: joiner}, n.nowMs)
		require.Empty(t, leader.Status(n.nowMs).Learners, joiner)
	}
}

// A node at the address of an earlier member, whose disk was lost, discards messages that are addressed to that
// member.
func TestMessagesForEarlierMemberAtAddressAreDiscarded(t *testing.T) {
	node := New("b+1", DefaultConfig(1), RestoredState{}, nil, func() float64 { return 0 }, 1000)
	require.Empty(t, node.Step(Message{Type: MsgAppend, From: "a", To: "b", Term: 3, Entries: []Entry{{Term: 3, Data: []byte("x")}}}, 1010))
	require.Empty(t, node.Step(Message{Type: MsgHeartbeat, From: "a", To: "b", Term: 3, SentAtMs: 1}, 1011))
	require.Zero(t, node.Term())
	require.EqualValues(t, 2, node.DiscardedMessages)
	require.NotEmpty(t, node.Step(Message{Type: MsgHeartbeat, From: "a", To: "b+1", Term: 3, SentAtMs: 1}, 1012).Messages)
}
