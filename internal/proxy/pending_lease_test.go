package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/rpc"
)

// A grant may arrive before the log updates that it requires. It must not be dropped, but take effect once these are applied.
func TestLeaseThatOvertakesTheLogCountsOnceItIsApplied(t *testing.T) {
	sim := newSimulation(1, 1, 0)
	sim.RunFor(500 * millisecond)
	server := sim.proxies[0].server
	server.lease.drop()
	next := server.replica.state.Index + 1
	server.handleLeaseGrant(&rpc.LeaseResponse{Granted: true, CommitIndex: next}, server.clock.Now())
	require.False(t, server.leaseValid())
	require.NoError(t, server.applyLogUpdate(&rpc.LogUpdate{Entries: [][]byte{nil}, LastIndex: next}))
	require.True(t, server.leaseValid())
}

// A postponed response must not remove the time of its request, because the grant that follows would then be ignored.
func TestGrantAfterAPostponedAnswerCounts(t *testing.T) {
	sim := newSimulation(1, 1, 0)
	sim.RunFor(500 * millisecond)
	link := &controlLink{server: sim.proxies[0].server}
	requests := newLeaseRequestTimes()
	requests.record(7, 41)
	require.NoError(t, link.handleLeaseResponse(nil, &rpc.LeaseResponse{Serial: 7, Postponed: true}, requests))
	require.EqualValues(t, 41, requests.take(7))
}

// At most maxPendingGrants grants wait for log updates; beyond that the oldest are dropped.
func TestPendingLeasesAreBounded(t *testing.T) {
	var lease proxyLease
	for i := range uint64(3 * maxPendingGrants) {
		lease.addPending(pendingGrant{requestedAtMs: 1, commitIndex: i + 1})
	}
	require.Len(t, lease.pending, maxPendingGrants)
	require.False(t, lease.applyPending(2*maxPendingGrants))
	require.True(t, lease.applyPending(3*maxPendingGrants))
	require.Empty(t, lease.pending)
}
