package proxy

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
	"ferrypitch/policy"
)

// A bounded number of sessions wait in order for their answer to CONNECT, until the configuration is current or they time out.
func TestWaitingSessionsAreTakenInOrder(t *testing.T) {
	table, began := newSessionTable(), time.Unix(1e9, 0)
	first, second := &clientSession{id: 1}, &clientSession{id: 2}
	require.True(t, table.addWaiting(first, began))
	require.True(t, table.addWaiting(second, began.Add(time.Second)))
	require.Nil(t, table.takeWaiting(began, false))
	require.Same(t, first, table.takeWaiting(began.Add(waitingClientTimeout+1), false))
	require.Nil(t, table.takeWaiting(began.Add(waitingClientTimeout+1), false), "the second has not waited as long")
	require.Same(t, second, table.takeWaiting(began, true))
	require.Nil(t, table.takeWaiting(began, true))
	for range maxWaitingClients {
		require.True(t, table.addWaiting(first, began))
	}
	require.False(t, table.addWaiting(second, began), "one too many")
	table.open[second], table.open[first] = struct{}{}, struct{}{}
	require.Equal(t, []*clientSession{first, second}, table.byAge())
}

// A lease is valid from the time of its request and ends at once when it is dropped. The time without a lease counts from when it
// was last seen valid.
func TestLeaseOfAProxy(t *testing.T) {
	var l proxyLease
	now := time.Unix(1e9, 0)
	l.renew(10_000, 7)
	l.renew(9_000, 0)
	require.Equal(t, 7, l.proxyCount)
	require.True(t, l.holder.Valid(11_500), "an older request does not shorten the lease")
	l.lastValidAt = now
	require.False(t, l.invalidFor(time.Second, now.Add(time.Second)))
	require.True(t, l.invalidFor(time.Second, now.Add(time.Second+1)))
	l.drop()
	require.False(t, l.holder.Valid(10_001))
}

// A replica applies consecutive entries, rejects gaps, and needs a snapshot once its state differs from the majority's.
func TestStateReplica(t *testing.T) {
	replica := newStateReplica()
	entry := statemachine.EncodeChange(statemachine.Change{UpdateProxy: &statemachine.ProxyMembership{Name: "p"}})
	changed, err := replica.apply(&rpc.LogUpdate{Entries: [][]byte{entry, nil}, LastIndex: 2})
	require.NoError(t, err)
	require.True(t, changed)
	require.EqualValues(t, 2, replica.resumeIndex())
	_, err = replica.apply(&rpc.LogUpdate{Entries: [][]byte{entry}, LastIndex: 4})
	require.ErrorIs(t, err, errLogGap)

	digest := replica.state.Digest()
	require.NoError(t, replica.compareDigest(nil))
	require.NoError(t, replica.compareDigest(&digest))
	digest.Index++
	require.NoError(t, replica.compareDigest(&digest), "a digest of another index is not compared")
	digest.Index--
	digest.Ranges[statemachine.RangeHosts]++
	require.ErrorIs(t, replica.compareDigest(&digest), errStateDiffers)
	require.Zero(t, replica.resumeIndex())

	older := (&statemachine.State{Index: 1}).Snapshot()
	changed, err = replica.apply(&rpc.LogUpdate{Snapshot: older, LastIndex: 1})
	require.NoError(t, err)
	require.False(t, changed, "an older snapshot does not replace the state")
	_, err = replica.apply(&rpc.LogUpdate{Snapshot: older[:len(older)-1], LastIndex: 9})
	require.True(t, errors.Is(err, statemachine.ErrBadSnapshot), "%v", err)
	changed, err = replica.apply(&rpc.LogUpdate{Snapshot: older, LastIndex: 9})
	require.NoError(t, err)
	require.True(t, changed)
	require.EqualValues(t, 9, replica.resumeIndex())
}

// Forgetting a removed host must not remove the pool of a new host that has taken over its id.
func TestForgottenHostLeavesItsSuccessor(t *testing.T) {
	p := newPlacement()
	old, successor := &policy.Host{}, &policy.Host{}
	oldPool, newPool := &hostPool{}, &hostPool{}
	p.poolByPolicyHost[old], p.poolByPolicyHost[successor] = oldPool, newPool
	p.pools[""] = newPool
	p.forgetHost(old, oldPool)
	require.Same(t, newPool, p.pools[""])
	require.Nil(t, p.poolByPolicyHost[old])
	p.forgetHost(successor, newPool)
	require.Empty(t, p.pools)
	require.Same(t, p.serviceNamed("a"), p.serviceNamed("a"))
	require.NotEqual(t, p.serviceNamed("a").policySet, p.serviceNamed("b").policySet)
}
