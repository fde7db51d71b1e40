package control

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// catchUpTime is the time that a machine has for catching up after its return (CatchupS).
const catchUpTime = 4 * unitsPerSecond

// newClusterWithFollower returns a cluster of three founders that has a leader, and one of its followers.
func newClusterWithFollower(t *testing.T) (c *cluster, follower *clusterMember) {
	c = newCluster(1, 3)
	c.RunFor(3 * unitsPerSecond)
	leader := c.leader()
	require.NotNil(t, leader)
	return c, c.members[slices.IndexFunc(c.members, func(m *clusterMember) bool { return m != leader })]
}

func (c *cluster) isMember(m *clusterMember) bool {
	leader := c.leader()
	return leader != nil && slices.Contains(leader.server.consensus.Members(), m.identity.ID)
}

// Its only seed is a follower, which forwards its join request.
func TestProcessThatReachesOnlyAFollowerIsAdmitted(t *testing.T) {
	c, follower := newClusterWithFollower(t)
	lost := c.members[slices.IndexFunc(c.members, func(m *clusterMember) bool { return m != follower && m != c.leader() })]
	lost.seeds = []string{follower.ip + ":8080"}
	lost.loseDisk(300 * unitsPerMs)
	c.RunFor(300*unitsPerMs + catchUpTime)
	require.True(t, c.isMember(lost), "%s was not admitted, members are %v", lost.identity.ID, c.leader().server.consensus.Members())
}

// Its seeds are itself and a process that is gone; the leader still sends messages to the earlier member at its address.
func TestProcessWithoutUsefulSeedsIsAdmittedAtTheAddressOfAMember(t *testing.T) {
	c, follower := newClusterWithFollower(t)
	follower.seeds = []string{follower.ip + ":8080", "10.0.0.99:8080"}
	follower.loseDisk(300 * unitsPerMs)
	c.RunFor(300*unitsPerMs + catchUpTime)
	require.True(t, c.isMember(follower), "%s was not admitted, members are %v", follower.identity.ID, c.leader().server.consensus.Members())
}
