package consensus

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// simulatedSize is the size of a group and the number of members that may fail at once.
type simulatedSize struct{ members, maxFailures int }

func TestSimulateAcknowledgedEntriesSurviveFaults(t *testing.T) {
	sizes := [8]simulatedSize{{3, 1}, {3, 1}, {3, 1}, {3, 1}, {3, 1}, {3, 1}, {5, 2}, {6, 2}}
	acknowledged := 0
	for seed := range simulationCount() {
		size := sizes[seed%len(sizes)]
		s := newSimulation(uint64(seed), size.members, size.maxFailures)
		s.slowDisks = seed%5 == 4
		s.run(9000)
		if len(s.Violations) > 0 {
			t.Fatalf("seed %d, %d members:\n%s", seed, size.members, s.report())
		}
		acknowledged += len(s.acknowledged)
	}
	require.Greater(t, acknowledged, 60*simulationCount(), "too few acknowledgements for the test to mean anything")
}

// Some simulation must detect each safeguard that is disabled.
func TestSimulationDetectsDisabledSafeguards(t *testing.T) {
	const maxSeeds = 300
	for _, disabled := range []safeguard{syncBeforeAck, newIDForEmptyDisk, leasesAreHonoured} {
		detected := ""
		for seed := uint64(0); seed < maxSeeds && detected == ""; seed++ {
			if violation := simulateWithout(disabled, seed); violation != "" {
				detected = fmt.Sprintf("seed %d: %s", seed, violation)
			}
		}
		require.NotEmpty(t, detected, "disabled: %s; %d simulations detected nothing", disabled, maxSeeds)
		t.Logf("disabled: %s; detected by %s", disabled, detected)
	}
}

// simulateWithout runs a simulation with a safeguard disabled, and returns the last violation that concerns safety.
func simulateWithout(disabled safeguard, seed uint64) (violation string) {
	s := newSimulation(seed, 3, 1)
	s.disabled = disabled
	for _, m := range s.members {
		m.crash(true)
		m.disk = RestoredState{}
		m.start()
	}
	func() {
		defer func() {
			if assertion := recover(); assertion != nil { // a panic in the node
				s.RecordViolation("%v", assertion)
			}
		}()
		s.run(9000)
	}()
	for _, found := range s.Violations {
		for _, unsafe := range []string{"is gone", "both hold", "commits", "consensus:"} {
			if strings.Contains(found, unsafe) {
				violation = found
			}
		}
	}
	return violation
}

func TestLearnerWithEmptyDiskDoesNotVote(t *testing.T) {
	s := newSimulation(1, 3, 1)
	s.faultFree = true
	s.After(500, s.propose)
	s.RunFor(3000)
	// A lagging member and a node with an empty disk must not form a majority.
	lagging, emptied := s.members[0], s.members[1]
	if lagging.node.IsLeader() {
		lagging, emptied = emptied, lagging
	}
	for _, other := range s.members {
		lagging.unreachable[other.address] = true
	}
	s.RunFor(2000)
	for _, m := range s.members[2:] {
		m.crash(true)
	}
	emptied.crash(true)
	emptied.disk, emptied.founders, emptied.id = RestoredState{}, nil, "m1+w"
	emptied.start()
	clear(lagging.unreachable)
	before := len(s.committed)
	s.RunFor(5000)
	require.Len(t, s.committed, before, "a member and a learner have committed entries")
	for _, m := range s.members[2:] {
		m.start()
	}
	s.RunFor(5000)
	s.checkFinalState()
	require.Empty(t, s.Violations, s.report())
}

func TestColdStartDoesNotWaitForLeases(t *testing.T) {
	s := newSimulation(3, 3, 1)
	s.faultFree = true
	s.After(100, s.propose)
	s.RunFor(3000)
	for _, m := range s.members {
		m.crash(true)
		m.start()
	}
	s.RunFor(400) // shorter than a lease that was granted before the restart
	require.NotNil(t, s.leaseHolder(), "no leader 400 ms after all members were restarted")
}

// All members may lose power at the same time as one of them, possibly the leader, loses its disk.
func TestColdStartWithAnEmptyDiskDoesNotWaitForLeases(t *testing.T) {
	for _, leaderLosesDisk := range []bool{false, true} {
		s := newSimulation(3, 3, 0)
		s.faultFree = true
		s.After(100, s.propose)
		s.RunFor(3000)
		emptied := s.leaseHolder()
		require.NotNil(t, emptied)
		for _, m := range s.members {
			if (m == emptied) != leaderLosesDisk {
				emptied = m
				break
			}
		}
		for _, m := range s.members {
			m.crash(true)
			if m == emptied {
				m.disk, m.founders, m.id = RestoredState{}, nil, ID(m.address+"+w")
			}
			m.start()
		}
		s.RunFor(400) // shorter than a lease that was granted before the restart
		require.NotNil(t, s.leaseHolder(), "no leader 400 ms after all members were restarted")
		s.RunFor(5000)
		s.checkFinalState()
		require.Empty(t, s.Violations, s.report())
	}
}

// coldStartCandidate returns a member of a group of three that starts a Pre-Vote after a restart, and its requests.
func coldStartCandidate(t *testing.T) (*Node, []Message) {
	entries := []Entry{{Term: 1, Data: []byte("x")}}
	restored := RestoredState{HardState: HardState{Term: 1, Vote: "b"}, Entries: entries}
	node := New("a", DefaultConfig(1), restored, []ID{"a", "b", "c"}, func() float64 { return 0 }, 1000)
	requests := node.Tick(1100).Messages
	require.Len(t, requests, 2)
	require.True(t, requests[0].PreVote)
	return node, requests
}

// A process with an empty disk reports to a candidate that the earlier member at its address has ended, unless it has
// heard from a leader since it started.
func TestSuccessorReportsAColdStart(t *testing.T) {
	_, requests := coldStartCandidate(t)
	successor := New("c+2", DefaultConfig(1), RestoredState{}, nil, func() float64 { return 0 }, 1050)
	requests[1].To = "c"
	answers := successor.Step(requests[1], 1110).Messages
	require.Len(t, answers, 1)
	require.True(t, answers[0].ColdStart && !answers[0].Granted && answers[0].To == "a")
	requests[1].From = "c"
	require.Empty(t, successor.Step(requests[1], 1115).Messages, "the request is from the earlier member at its address, which has ended")
	successor.Step(Message{Type: MsgHeartbeat, From: "b", To: "c+2", Term: 1}, 1120)
	requests[1].From = "a"
	answers = successor.Step(requests[1], 1130).Messages
	require.Len(t, answers, 1)
	require.False(t, answers[0].ColdStart)
	ahead := RestoredState{HardState: HardState{Term: 2}, Entries: []Entry{{Term: 1}, {Term: 2}}}
	learner := New("c+3", DefaultConfig(1), ahead, nil, func() float64 { return 0 }, 1050)
	answers = learner.Step(requests[1], 1130).Messages
	require.Len(t, answers, 1)
	require.False(t, answers[0].ColdStart, "it has entries that the candidate lacks")
	requests[1].PreVote = false
	require.Empty(t, successor.Step(requests[1], 1140).Messages, "it has no vote")
}

// Nodes with empty disks know no entries and do not count for a majority, and a member that has not answered may have
// granted a lease.
func TestSuccessorsAreNoMajority(t *testing.T) {
	node, requests := coldStartCandidate(t)
	report := func(from ID) Message {
		return Message{Type: MsgVoteResponse, From: from, To: "a", PreVote: true, ColdStart: true, PreVoteRound: requests[0].PreVoteRound}
	}
	node.Step(report("c+2"), 1110)
	require.EqualValues(t, 1, node.Term(), "b has not answered")
	node.Step(report("b+2"), 1110)
	require.EqualValues(t, 1, node.Term(), "two of three have no entries")
	node.Step(report("b"), 1110)
	require.EqualValues(t, 2, node.Term())
}

func TestReplacedEntriesAreNotCommitted(t *testing.T) {
	node := New("a", DefaultConfig(1), RestoredState{}, []ID{"a", "b", "c"}, func() float64 { return 0 }, 1000)
	node.Step(Message{Type: MsgAppend, From: "b", To: "a", Term: 1, Entries: []Entry{{Term: 1, Data: []byte("old")}}}, 1010)
	ready := node.Step(Message{
		Type: MsgAppend, From: "c", To: "a", Term: 2, CommitIndex: 1,
		Entries: []Entry{{Term: 2, Data: []byte("new")}},
	}, 1020)
	require.Len(t, ready.Committed, 1)
	require.Equal(t, "new", string(ready.Committed[0].Data))
	require.EqualValues(t, 1, node.LastIndex())
}
