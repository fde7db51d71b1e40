package consensus

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	maxDeviations = flag.Int("deviations", 0, "maximum number of deviations from the default path; 0: as in CI")
	maxHeartbeats = flag.Int("beats", 26, "number of heartbeats to explore, with -deviations")
	scenarioName  = flag.String("course", "", "name of the scenario to explore; empty: all")
)

// Safeguards that only explorations disable.
const (
	learnersCatchUpFirst  safeguard = "a learner is promoted once it holds all committed entries"
	jointMajorities       safeguard = "majorities of all active configurations are needed"
	configIndexPersisted  safeguard = "the index of the committed configuration is on disk"
	leaveWaitsForMajority safeguard = "a replaced member waits until a majority knows of its replacement"
	votesCarryCommitPoint safeguard = "votes carry what is known to be committed"
)

// scenario is the initial event of an exploration.
type scenario struct {
	name  string
	begin func(x *explorer, s *system)
}

const (
	followerLeaves                  = "a follower leaves"
	leaderLeaves                    = "the leader leaves"
	followerLeavesWithEmptyLearners = "a follower leaves, and the learners have just started"
	leaderAndFollowerLeave          = "the leader and a follower leave"
	followerLosesDisk               = "a follower loses its disk"
	leaderIsLost                    = "the leader is lost"
	powerAndFollowerDiskLost        = "all lose power, and a follower its disk"
	powerAndLeaderDiskLost          = "all lose power, and the leader its disk"
	followerPowerAndDiskLost        = "all but the leader lose power, and one of them its disk"
	leaderPartitioned               = "the leader is cut off with a learner"
	partitionAndLostDisk            = "the leader is cut off with a learner, and one of the others loses its disk"
	partitionAndLostPower           = "the leader is cut off with a learner, and the others lose power"
)

var scenarios = []scenario{
	{followerLeaves, func(x *explorer, s *system) { x.leave(s, s.followerIndex()) }},
	{leaderLeaves, func(x *explorer, s *system) { x.leave(s, s.leaderIndex()) }},
	{followerLeavesWithEmptyLearners, func(x *explorer, s *system) {
		x.restartLearnersEmpty(s)
		x.leave(s, s.followerIndex())
	}},
	{leaderAndFollowerLeave, func(x *explorer, s *system) {
		leaderIndex, followerIndex := s.leaderIndex(), s.followerIndex()
		x.leave(s, leaderIndex)
		x.leave(s, followerIndex)
	}},
	{followerLosesDisk, func(x *explorer, s *system) { x.loseReplica(s, s.followerIndex(), true) }},
	{leaderIsLost, func(x *explorer, s *system) { x.loseReplica(s, s.leaderIndex(), false) }},
	{powerAndFollowerDiskLost, func(x *explorer, s *system) {
		emptied := s.followerIndex()
		x.restartAll(s, func(i int) bool { return i != emptied })
		x.loseReplica(s, emptied, true)
	}},
	{powerAndLeaderDiskLost, func(x *explorer, s *system) {
		emptied := s.leaderIndex()
		x.restartAll(s, func(i int) bool { return i != emptied })
		x.loseReplica(s, emptied, true)
	}},
	{leaderPartitioned, func(_ *explorer, s *system) { s.partition = setOf(s.leaderIndex(), founderCount) }},
	{partitionAndLostDisk, func(x *explorer, s *system) {
		s.partition = setOf(s.leaderIndex(), founderCount)
		x.loseReplica(s, s.followerIndex(), true)
	}},
	{partitionAndLostPower, func(x *explorer, s *system) {
		s.partition = setOf(s.leaderIndex(), founderCount)
		x.restartAll(s, func(i int) bool { return !s.partition.has(i) })
	}},
	{followerPowerAndDiskLost, func(x *explorer, s *system) {
		leaderIndex, emptied := s.leaderIndex(), s.followerIndex()
		x.restartAll(s, func(i int) bool { return i != leaderIndex && i != emptied })
		x.loseReplica(s, emptied, true)
	}},
}

// restartAll restarts the selected replicas from their disks at the same time.
func (x *explorer) restartAll(s *system, affects func(i int) bool) {
	for i := range s.replicas {
		if affects(i) && s.replicas[i].node != nil {
			restarted := *s.replicas[i]
			s.replicas[i] = &restarted
			x.start(s, i)
		}
	}
}

// restartLearnersEmpty replaces the learners by new ones with empty disks.
func (x *explorer) restartLearnersEmpty(s *system) {
	for i := founderCount; i < len(s.replicas); i++ {
		id := s.replicas[i].id
		x.stepReplica(s, s.leaderIndex(), func(node *Node) Ready { delete(node.peers, id); return Ready{} })
	}
	for i := founderCount; i < len(s.replicas); i++ {
		empty := *s.replicas[i]
		empty.disk = RestoredState{}
		empty.id = ID(empty.id.Address() + "+2")
		s.replicas[i] = &empty
		x.start(s, i)
		x.stepReplica(s, i, func(node *Node) Ready { return node.Tick(s.nowMs) })
	}
}

// depth limits an exploration.
type depth struct{ deviations, heartbeats int }

// exploreScenarios explores the named scenario, or all if name is empty, until it finds a violation.
func exploreScenarios(t *testing.T, disabled safeguard, bounds depth, name string) (x *explorer) {
	x = newExplorer(disabled, bounds.heartbeats)
	defer func() {
		if assertion := recover(); assertion != nil { // a panic in the node
			x.violation = fmt.Sprint(assertion)
		}
	}()
	for _, explored := range scenarios {
		if name != "" && explored.name != name {
			continue
		}
		before := x.states
		s := x.initialSystem()
		require.GreaterOrEqual(t, s.leaderIndex(), 0)
		require.Empty(t, x.violation)
		s = s.successor(explored.name)
		explored.begin(x, s)
		x.explore(s, bounds.deviations)
		if disabled == allEnabled {
			t.Logf("%s: %d states", explored.name, x.states-before)
		}
		if x.violation != "" {
			x.violation = explored.name + ": " + x.violation
			break
		}
	}
	return x
}

func TestExploreMembershipChangesSurviveLoss(t *testing.T) {
	depths := []depth{{deviations: 1, heartbeats: 18}, {deviations: 2, heartbeats: 0}}
	if testing.Short() {
		depths = []depth{{deviations: 1, heartbeats: 6}}
	}
	if *maxDeviations > 0 {
		depths = []depth{{*maxDeviations, *maxHeartbeats}}
	}
	for _, bounds := range depths {
		x := exploreScenarios(t, allEnabled, bounds, *scenarioName)
		require.Empty(t, x.violation)
		t.Logf("%d deviations, %d heartbeats: %d states, %d states of disks, %d checks of progress after a loss", bounds.deviations,
			bounds.heartbeats, x.states, len(x.checkedDisks), x.progressChecks)
	}
}

// The exploration must detect each safeguard that is disabled.
func TestExplorationDetectsDisabledSafeguards(t *testing.T) {
	for _, test := range []struct {
		disabled safeguard
		scenario string
	}{
		{learnersCatchUpFirst, followerLeavesWithEmptyLearners},
		{jointMajorities, leaderAndFollowerLeave},
		{configIndexPersisted, leaderLeaves},
		{leaveWaitsForLearner, followerLeaves},
		{leaveWaitsForMajority, followerLeaves},
		{votesCarryCommitPoint, followerLeaves},
		{newIDForEmptyDisk, followerLosesDisk},
	} {
		x := exploreScenarios(t, test.disabled, depth{deviations: 2, heartbeats: 6}, test.scenario)
		require.NotEmpty(t, x.violation, "disabled: %s; %d states detected nothing", test.disabled, x.states)
		t.Logf("disabled: %s; detected after %d states: %s", test.disabled, x.states, x.violation)
	}
}
