package control

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// catchUpTime is the time that a machine has for catching up after its return (CatchupS).
const catchUpTime = 4 * unitsPerSecond

// newClusterWithFollower returns a cluster that has a leader and three founders, and one founder that follows.
func newClusterWithFollower(t *testing.T, members int) (c *cluster, follower *clusterMember) {
	c = newCluster(1, members)
	c.RunFor(3 * unitsPerSecond)
	leader := c.leader()
	require.NotNil(t, leader)
	return c, c.members[slices.IndexFunc(c.members, func(m *clusterMember) bool { return m != leader })]
}

func (c *cluster) isMember(m *clusterMember) bool {
	leader := c.leader()
	return leader != nil && slices.Contains(leader.server.consensus.Members(), m.identity.ID)
}

func (c *cluster) isLearner(m *clusterMember) bool {
	leader := c.leader()
	return leader != nil && slices.Contains(leader.server.consensus.Status(leader.server.clock.Now()).Learners, m.identity.ID)
}

// Its only seed is a follower, which forwards its join request; nobody sends anything to its address.
func TestProcessThatReachesOnlyAFollowerIsAdmitted(t *testing.T) {
	c, follower := newClusterWithFollower(t, 4)
	process := c.members[3]
	process.seeds = []string{follower.ip + ":8080"}
	process.loseDisk(catchUpTime)
	c.RunFor(catchUpTime - unitsPerSecond/10)
	require.Empty(t, c.leader().server.consensus.Status(c.leader().server.clock.Now()).Learners)
	c.RunFor(catchUpTime)
	require.True(t, c.isLearner(process), "%s was not admitted", process.identity.ID)
}

// Its seeds are itself and a process that is gone; the leader still sends messages to the earlier member at its address.
func TestProcessWithoutUsefulSeedsIsAdmittedAtTheAddressOfAMember(t *testing.T) {
	c, follower := newClusterWithFollower(t, 3)
	follower.seeds = []string{follower.ip + ":8080", "10.0.0.99:8080"}
	follower.loseDisk(300 * unitsPerMs)
	c.RunFor(300*unitsPerMs + catchUpTime)
	require.True(t, c.isMember(follower), "%s was not admitted, members are %v", follower.identity.ID, c.leader().server.consensus.Members())
}
