package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// newClusterWithState returns members that hold some state, the leader and a follower.
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

// corruptions change a state as a fault of memory would.
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

// A member whose state is wrong finds out by the digests of the others, whether it leads or follows; a leader steps down. It takes the
// state anew, so that in the end all have the same again.
func TestWrongStateIsFoundAndReplaced(t *testing.T) {
	for name, corrupt := range corruptions {
		for _, atLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, at the leader: %v", name, atLeader), func(t *testing.T) {
				requireRepaired(t, corrupt, atLeader)
			})
		}
	}
}

// requireRepaired changes the state of the leader or of a follower.
func requireRepaired(t *testing.T, corrupt func(*statemachine.State), atLeader bool) {
	t.Helper()
	c, leader, follower := newClusterWithState(t)
	right := leader.server.state.Digest().Ranges
	wrong := follower
	if atLeader {
		wrong = leader
	}
	corrupt(wrong.server.state)
	require.NotEqual(t, right, wrong.server.state.Digest().Ranges)
	c.RunFor(3 * digestIntervalMs)
	require.EqualValues(t, 1, wrong.server.StateDivergences.Load())
	require.Equal(t, !atLeader, leader.server.leading, "a leader with a wrong state steps down, another stays")
	c.RunFor(2000)
	leaders := 0
	for _, m := range c.members {
		require.False(t, m.server.diverged)
		require.Equal(t, right, m.server.state.Digest().Ranges, "member %s", m.ip)
		if m.server.holdsLease() {
			leaders++
		}
		if m != wrong {
			require.Zero(t, m.server.StateDivergences.Load(), "member %s was right", m.ip)
		}
	}
	require.Equal(t, 1, leaders)
}

// A leader whose configuration is wrong in memory answers no read and lets no change build on it, also before digests were compared.
func TestWrongConfigurationAnswersNobody(t *testing.T) {
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

// Digests and rejections count only from whom they may come, in the term that is.
func TestForeignDigestsAreDiscarded(t *testing.T) {
	c, leader, follower := newClusterWithState(t)
	var other *partitionMember
	for _, m := range c.members {
		if m != leader && m != follower {
			other = m
		}
	}
	lie := statemachine.Digest{Index: follower.server.state.Index}
	discarded := follower.server.Discarded[messageWrongSender].Load()
	term := follower.server.consensus.Term()
	for _, rejected := range []*rpc.StateRejected{
		{To: follower.server.id, Term: term, Digest: lie},     // not from the leader
		{To: follower.server.id, Term: term - 1, Digest: lie}, // of an earlier term
		{To: other.server.id, Term: term, Digest: lie},        // for another
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
	leader.server.HandleFrame(other.ip, &rpc.Frame{StateDigests: &rpc.StateDigests{From: follower.server.id, Digests: []statemachine.Digest{lie}}})
	leader.server.HandleFrame(other.ip, &rpc.Frame{StateDigests: &rpc.StateDigests{From: other.server.id, Digests: make([]statemachine.Digest, sentDigests+1)}})
	require.EqualValues(t, discarded+2, leader.server.Discarded[messageWrongSender].Load())
	c.RunFor(3000)
	require.True(t, leader.server.holdsLease(), "a digest that one member tells alone changes nothing at the others")
}

// Members of the release before digests take part in everything else: an upgrade may go one member at a time, and back.
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

// A frame with nothing in it that this version knows is counted, and changes nothing.
func TestEmptyFrameIsDiscarded(t *testing.T) {
	_, leader, _ := newHealthyPartitionCluster(t)
	leader.server.HandleFrame("10.0.0.2", &rpc.Frame{Version: 9})
	require.EqualValues(t, 1, leader.server.Discarded[frameUnknown].Load())
}
