package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/rpc"
)

// A proxy that was sent much heard nothing of its lease for 0.7 s and left. Leases must overtake what waits.
func TestLeasesOvertakeUpdatesOfTheLog(t *testing.T) {
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

// 360 hosts that registered within seconds were 360 frames for each of 295 proxies. Updates in a row must become one.
func TestUpdatesInARowArePaced(t *testing.T) {
	closed := make(chan struct{})
	q := newProxyQueue(rpc.ProtocolVersion)
	update := func() *rpc.Frame { return &rpc.Frame{LogUpdate: &rpc.LogUpdate{}} }
	require.True(t, q.put(update()))
	require.False(t, q.put(update()))
	require.False(t, q.caughtUp(), "one waits still")
	begin := time.Now()
	require.NotNil(t, q.take(closed))
	require.True(t, q.caughtUp())
	require.False(t, q.caughtUp())
	require.True(t, q.put(update()))
	require.NotNil(t, q.take(closed))
	require.GreaterOrEqual(t, time.Since(begin), updateInterval)
	close(closed)
	require.Nil(t, q.take(closed))
}
