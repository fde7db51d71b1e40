package control

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// catchUpTime is the time that a machine has for catching up after its return (CatchupS).
const catchUpTime = 4 * unitsPerSecond

// newClusterWithLeader returns a cluster of three founders and others, with its leader and a follower.
func newClusterWithLeader(t *testing.T, members int) (c *cluster, leader, follower *clusterMember) {
	c = newCluster(1, members)
	c.RunFor(3 * unitsPerSecond)
	leader = c.leader()
	require.NotNil(t, leader)
	follower = c.members[slices.IndexFunc(c.members, func(m *clusterMember) bool { return m != leader })]
	return c, leader, follower
}

func (c *cluster) isMember(m *clusterMember) bool {
	leader := c.leader()
	return leader != nil && slices.Contains(leader.server.consensus.Members(), m.identity.ID)
}

// Its only seed is a follower, which forwards its join request.
func TestProcessThatReachesOnlyAFollowerIsAdmitted(t *testing.T) {
	c, _, follower := newClusterWithLeader(t, 3)
	lost := c.members[slices.IndexFunc(c.members, func(m *clusterMember) bool { return m != follower && m != c.leader() })]
	lost.seeds = []string{follower.ip + ":8080"}
	lost.loseDisk(300 * unitsPerMs)
	c.RunFor(300*unitsPerMs + catchUpTime)
	require.True(t, c.isMember(lost), "%s was not admitted, members are %v", lost.identity.ID, c.leader().server.consensus.Members())
}

// Its seeds are itself and a process that is gone; the leader still sends messages to the earlier member at its address.
func TestProcessWithoutUsefulSeedsIsAdmittedAtTheAddressOfAMember(t *testing.T) {
	c, _, follower := newClusterWithLeader(t, 3)
	follower.seeds = []string{follower.ip + ":8080", "10.0.0.99:8080"}
	follower.loseDisk(300 * unitsPerMs)
	c.RunFor(300*unitsPerMs + catchUpTime)
	require.True(t, c.isMember(follower), "%s was not admitted, members are %v", follower.identity.ID, c.leader().server.consensus.Members())
}
