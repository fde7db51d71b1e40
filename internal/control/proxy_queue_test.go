package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/rpc"
)

// Lease responses must be sent before queued updates. If they wait behind much data, the proxy receives none for 0.7 s, considers
// the leader silent, and disconnects.
func TestLeasesAreSentBeforeLogUpdates(t *testing.T) {
	closed := make(chan struct{})
	q := newProxyQueue(rpc.ProtocolVersion)
	chunk, lease := &rpc.Frame{SnapshotChunk: &rpc.SnapshotChunk{}}, &rpc.Frame{LeaseResponse: &rpc.LeaseResponse{}}
	require.True(t, q.put(chunk))
	require.True(t, q.put(lease))
	require.Same(t, lease, q.take(closed))
	require.Same(t, chunk, q.take(closed))

	old := newProxyQueue(rpc.VersionDigestsAndChunks)
	require.True(t, old.put(chunk))
	require.True(t, old.put(lease))
	require.Same(t, chunk, old.take(closed))
	require.Same(t, lease, old.take(closed))
}

// Consecutive updates must be merged into one. Otherwise 360 hosts that register within seconds cause 360 frames for each of 295
// proxies.
func TestConsecutiveUpdatesAreMerged(t *testing.T) {
	closed := make(chan struct{})
	q := newProxyQueue(rpc.ProtocolVersion)
	update := func() *rpc.Frame { return &rpc.Frame{LogUpdate: &rpc.LogUpdate{}} }
	require.True(t, q.put(update()))
	require.False(t, q.put(update()))
	require.False(t, q.drainedAfterRefusal(), "one update is still queued")
	startedAt := time.Now()
	require.NotNil(t, q.take(closed))
	require.True(t, q.drainedAfterRefusal())
	require.False(t, q.drainedAfterRefusal())
	require.True(t, q.put(update()))
	require.NotNil(t, q.take(closed))
	require.GreaterOrEqual(t, time.Since(startedAt), updateInterval)
	close(closed)
	require.Nil(t, q.take(closed))
}
