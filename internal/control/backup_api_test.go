package control

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/backup"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/simulation/memberdisk"
)

// Every member responds with the leader's snapshot. A new control plane of three founders that is restored from it has the same
// state, elects a leader in a higher term, and accepts changes.
func TestSnapshotRestoresANewControlPlane(t *testing.T) {
	c, leader, follower := newClusterWithState(t)
	var body []byte
	status := 0
	follower.server.HandleCall(http.MethodGet, backup.Path, "", nil, func(got int, response []byte) { status, body = got, response })
	c.RunFor(100)
	require.Equal(t, http.StatusOK, status)
	snapshot, err := backup.Decode(body)
	require.NoError(t, err)
	require.Equal(t, leader.server.state.Index, snapshot.Index)
	want := leader.server.state.Digest().Ranges

	next := newPartitionCluster(77, 3, 2, 0, noSafeguard)
	next.faultsDisabled, next.operatorsStopped = true, true
	founders := leader.identity.Founders
	for _, m := range next.members {
		m.crash(true)
		folder := t.TempDir()
		_, err := backup.Restore(folder, snapshot, backup.Options{Self: consensus.ID(m.ip), Founders: founders})
		require.NoError(t, err)
		wal, identity, restored, err := storage.Open(folder, nil)
		require.NoError(t, err)
		require.NoError(t, wal.Close())
		m.identity, m.disk = identity, memberdisk.FromState(restored)
	}
	for _, m := range next.members {
		m.start()
	}
	next.RunFor(2500)
	leaders := 0
	for _, m := range next.members {
		ranges := m.server.state.Digest().Ranges
		require.Equal(t, want[0], ranges[0], "configuration")
		require.Equal(t, want[1], ranges[1], "hosts")
		require.Greater(t, m.server.consensus.Term(), leader.server.consensus.Term())
		require.Greater(t, m.server.state.Index, leader.server.state.Index)
		if m.server.holdsLease() {
			leaders++
		}
	}
	require.Equal(t, 1, leaders)
	heartbeat := sendHeartbeat(next.members[0], "later", "10.9.0.99:1", 1)
	next.RunFor(300)
	require.Equal(t, http.StatusOK, *heartbeat)
	require.Contains(t, next.members[2].server.state.Hosts, "later")
}

// A leader without the lease must not provide a snapshot: its state may lack acknowledged changes.
func TestSnapshotNeedsTheLease(t *testing.T) {
	c, leader, _ := newClusterWithState(t)
	for _, other := range c.members {
		if other != leader {
			leader.blocked[other.ip], other.blocked[leader.ip] = dropFrames, dropFrames
		}
	}
	c.RunFor(800)
	status := 0
	leader.server.HandleCall(http.MethodGet, backup.Path, "", nil, func(got int, _ []byte) { status = got })
	require.Equal(t, http.StatusServiceUnavailable, status)
}
