package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// newClusterWithState returns a cluster with hosts and a configuration in its state, its leader and a follower.
func newClusterWithState(t *testing.T) (c *partitionCluster, leader, follower *partitionMember) {
	c, leader, follower = newHealthyPartitionCluster(t)
	for i := range 5 {
		sendHeartbeat(leader, fmt.Sprintf("h%d", i), fmt.Sprintf("10.9.0.%d:1", i+1), 1)
		c.RunFor(50)
	}
	c.operatorsStopped = true
	c.RunFor(3000)
	return c, leader, follower
}

// corruptions change a state as memory corruption would.
var corruptions = map[string]func(state *statemachine.State){
	"a host's address": func(state *statemachine.State) {
		host := state.Hosts["h2"]
		host.Address = "10.9.0.9:1"
		state.Hosts["h2"] = host
	},
	"a host is gone": func(state *statemachine.State) { delete(state.Hosts, "h1") },
	"a byte of the configuration": func(state *statemachine.State) {
		state.ConfigBody = append([]byte{}, state.ConfigBody...)
		state.ConfigBody[len(state.ConfigBody)-2] ^= 1
	},
	"a primary": func(state *statemachine.State) {
		state.Primaries = map[string]statemachine.Primary{"db": {Host: "h3", Term: 9}}
	},
	"a proxy": func(state *statemachine.State) { state.Proxies = map[string]uint64{"r9": 1} },
	"history": func(state *statemachine.State) { state.LeaderTimeMs += 1000 },
}

// A leader or follower whose state is corrupt is detected by comparing digests and replaces its state, after which all members
// have the same state again. A leader steps down first.
func TestWrongStateIsFoundAndReplaced(t *testing.T) {
	for name, corrupt := range corruptions {
		for _, atLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, at the leader: %v", name, atLeader), func(t *testing.T) {
				requireRepaired(t, corrupt, atLeader)
			})
		}
	}
}

// requireRepaired corrupts the state of the leader or a follower and asserts that it is detected and repaired.
func requireRepaired(t *testing.T, corrupt func(*statemachine.State), atLeader bool) {
	t.Helper()
	c, leader, follower := newClusterWithState(t)
	want := leader.server.state.Digest().Ranges
	corrupted := follower
	if atLeader {
		corrupted = leader
	}
	corrupt(corrupted.server.state)
	require.NotEqual(t, want, corrupted.server.state.Digest().Ranges)
	c.RunFor(3 * digestIntervalMs)
	require.EqualValues(t, 1, corrupted.server.StateDivergences.Load())
	require.Equal(t, !atLeader, leader.server.leading, "only a leader with a corrupt state steps down")
	c.RunFor(2000)
	leaders := 0
	for _, m := range c.members {
		require.False(t, m.server.diverged)
		require.Equal(t, want, m.server.state.Digest().Ranges, "member %s", m.ip)
		if m.server.holdsLease() {
			leaders++
		}
		if m != corrupted {
			require.Zero(t, m.server.StateDivergences.Load(), "member %s was not corrupted", m.ip)
		}
	}
	require.Equal(t, 1, leaders)
}

// A leader whose configuration in memory is corrupt must not serve it, even before digests are compared.
func TestCorruptConfigurationIsNotServed(t *testing.T) {
	c, leader, _ := newClusterWithState(t)
	status := readConfig(leader)
	require.Equal(t, 200, *status)
	corruptions["a byte of the configuration"](leader.server.state)
	status = readConfig(leader)
	require.Equal(t, 503, *status)
	c.RunFor(4000)
	for _, m := range c.members {
		status = readConfig(m)
		c.RunFor(50)
		require.Equal(t, 200, *status, "member %s", m.ip)
	}
}

func readConfig(m *partitionMember) (status *int) {
	status = new(int)
	m.server.HandleCall("GET", "/Config.Read", "", nil, func(got int, _ []byte) { *status = got })
	return status
}

// Digests are accepted only from their sender's address, and rejections only from the leader of the current term.
func TestForeignDigestsAreDiscarded(t *testing.T) {
	c, leader, follower := newClusterWithState(t)
	var other *partitionMember
	for _, m := range c.members {
		if m != leader && m != follower {
			other = m
		}
	}
	wrongDigest := statemachine.Digest{Index: follower.server.state.Index}
	discarded := follower.server.Discarded[messageWrongSender].Load()
	term := follower.server.consensus.Term()
	for _, rejected := range []*rpc.StateRejected{
		{To: follower.server.id, Term: term, Digest: wrongDigest},     // not from the leader
		{To: follower.server.id, Term: term - 1, Digest: wrongDigest}, // of an earlier term
		{To: other.server.id, Term: term, Digest: wrongDigest},        // for another member
	} {
		from := leader.ip
		if rejected.Term == term && rejected.To == follower.server.id {
			from = other.ip
		}
		follower.server.HandleFrame(from, &rpc.Frame{StateRejected: rejected})
	}
	require.EqualValues(t, discarded+3, follower.server.Discarded[messageWrongSender].Load())
	require.False(t, follower.server.diverged)

	discarded = leader.server.Discarded[messageWrongSender].Load()
	leader.server.HandleFrame(other.ip, &rpc.Frame{StateDigests: &rpc.StateDigests{From: follower.server.id, Digests: []statemachine.Digest{wrongDigest}}})
	leader.server.HandleFrame(other.ip, &rpc.Frame{StateDigests: &rpc.StateDigests{From: other.server.id, Digests: make([]statemachine.Digest, maxDigestsPerFrame+1)}})
	require.EqualValues(t, discarded+2, leader.server.Discarded[messageWrongSender].Load())
	c.RunFor(3000)
	require.True(t, leader.server.holdsLease(), "a digest reported by a single member has no effect on the others")
}

// Members of a release without digests participate in everything else, so that members can be upgraded and downgraded one at a
// time.
func TestMembersOfTwoVersionsRunSideBySide(t *testing.T) {
	for older := range 3 {
		c, leader, follower := newClusterWithState(t)
		for i, m := range c.members {
			if i <= older {
				m.server.protocolVersion = rpc.VersionUnnumbered
			}
		}
		c.RunFor(2000)
		require.Equal(t, rpc.VersionUnnumbered, leader.server.status().LeastVersion)
		sendHeartbeat(follower, "late", "10.9.0.77:1", 1)
		c.RunFor(500)
		for _, m := range c.members {
			require.Contains(t, m.server.state.Hosts, "late", "%d older members", older+1)
			require.Zero(t, m.server.Discarded[frameUnknown].Load())
		}
	}
}

// A frame without a payload that this version knows is counted and ignored.
func TestEmptyFrameIsDiscarded(t *testing.T) {
	_, leader, _ := newHealthyPartitionCluster(t)
	leader.server.HandleFrame("10.0.0.2", &rpc.Frame{Version: 9})
	require.EqualValues(t, 1, leader.server.Discarded[frameUnknown].Load())
}
