package statemachine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// applyBurst applies count updates at intervals of intervalMs, and restores the state from a snapshot every 500 updates.
func applyBurst(t testing.TB, state *State, count int, intervalMs int64) (*State, []ConfigUpdate) {
	var updates []ConfigUpdate
	for i := range count {
		update := ConfigUpdate{BaseVersion: state.Generation, Body: configBody(int(state.Generation)+1+i%3, fmt.Sprint("h", i))}
		require.NoError(t, state.Apply(state.Index+1, Change{LeaderTimeMs: state.LeaderTimeMs + intervalMs, UpdateConfig: &update}))
		updates = append(updates, update)
		if i%500 == 7 {
			var err error
			state, err = Restore(state.Snapshot())
			require.NoError(t, err)
		}
	}
	return state, updates
}

func TestEachUpdateOfABurstIsAppliedOnce(t *testing.T) {
	state, all := applyBurst(t, &State{}, 2000, 60)
	for i := range all {
		result, err := state.CheckConfig(&all[i])
		require.NoError(t, err, "update %d of %d", i, len(all))
		require.Nil(t, result)
		other := all[i]
		other.Body = append([]byte(" "), other.Body...)
		_, err = state.CheckConfig(&other)
		require.ErrorIs(t, err, ErrVersionConflict, "a different body is not a retry")
		other = all[i]
		other.IsAmendment = true
		_, err = state.CheckConfig(&other)
		require.ErrorIs(t, err, ErrVersionConflict, "an amendment with the same body is not a retry")
	}
	encodedBytes := len(encodeAppliedUpdates(state.AppliedUpdates))
	t.Logf("%d retained updates take %d bytes of a snapshot of %d bytes", len(state.AppliedUpdates), encodedBytes, len(state.Snapshot()))
	require.Less(t, encodedBytes, 2000*22)
}

// Updates are retained for RetentionMs of leader time. The newest MinRetained updates are retained whatever their age.
func TestUpdatesAreForgottenByLeaderTime(t *testing.T) {
	state, all := applyBurst(t, &State{}, MinRetained+10, 0)
	state, late := applyBurst(t, state, 1, RetentionMs-2)
	_, err := state.CheckConfig(&all[9])
	require.NoError(t, err, "within RetentionMs")
	state, _ = applyBurst(t, state, 3, 3)
	_, err = state.CheckConfig(&all[9])
	require.ErrorIs(t, err, ErrVersionConflict, "expired, and not among the newest MinRetained")
	_, err = state.CheckConfig(&all[MinRetained+9])
	require.NoError(t, err, "expired, but among the newest MinRetained")
	_, err = state.CheckConfig(&late[0])
	require.NoError(t, err)
	leaderTimeMs := state.LeaderTimeMs
	require.NoError(t, state.Apply(state.Index+1, Change{LeaderTimeMs: 5, UpdateProxy: &ProxyMembership{Name: "r"}}))
	require.Equal(t, leaderTimeMs, state.LeaderTimeMs, "leader time never decreases")
}

func TestRetentionIsBounded(t *testing.T) {
	state := &State{}
	for i := range int64(MaxRetained + 100) {
		state.LeaderTimeMs++
		state.recordUpdate(RequestID{BaseVersion: i})
		state.recordRemoval(fmt.Sprint("i-", i))
	}
	require.Len(t, state.AppliedUpdates, MaxRetained)
	require.Len(t, state.RemovedHosts, MaxRetained)
	require.LessOrEqual(t, len(encodeAppliedUpdates(state.AppliedUpdates)), 32*MaxRetained, "size limit stated in the documentation")
	require.True(t, state.wasApplied(RequestID{BaseVersion: MaxRetained + 99}))
	require.False(t, state.wasApplied(RequestID{BaseVersion: 99}))
}

// A delayed heartbeat of a removed host does not add the host again, however many hosts were removed since.
func TestRemovedHostIsNotAddedAgain(t *testing.T) {
	state := &State{}
	applyAfter := func(elapsedMs int64, change Change) error {
		change.LeaderTimeMs = state.LeaderTimeMs + elapsedMs
		return state.Apply(state.Index+1, change)
	}
	addHost := func(id, address string) Change {
		return Change{AddHost: &Host{ID: id, Service: "db", Address: address}}
	}
	require.NoError(t, applyAfter(1, addHost("first", "1.1.1.1:1")))
	require.NoError(t, applyAfter(1, Change{RemoveHost: "first"}))
	for i := range 3 * MinRetained {
		id := fmt.Sprint("i-", i)
		require.NoError(t, applyAfter(10, addHost(id, "1.1.1.1:2")))
		require.NoError(t, applyAfter(10, Change{RemoveHost: id}))
		if i%1000 == 7 {
			var err error
			state, err = Restore(state.Snapshot())
			require.NoError(t, err)
		}
	}
	require.NoError(t, applyAfter(1, addHost("new", "1.1.1.1:1")))
	require.ErrorIs(t, applyAfter(1, addHost("first", "1.1.1.1:1")), ErrNotFound)
	require.Contains(t, state.Hosts, "new", "the host that now has the address stays")
	require.NotContains(t, state.Hosts, "first")
}

func TestInvalidAppliedUpdatesAreRejected(t *testing.T) {
	good := []AppliedUpdate{{RequestID{BaseVersion: 3, Digest: [16]byte{1}}, 5}, {RequestID{BaseVersion: 900, Digest: [16]byte{2}}, 5}}
	encoded := encodeAppliedUpdates(good)
	decoded, err := decodeAppliedUpdates(encoded)
	require.NoError(t, err)
	require.Equal(t, good, decoded)
	for size := 1; size < len(encoded); size++ {
		if prefix, err := decodeAppliedUpdates(encoded[:size]); err == nil {
			require.Equal(t, good[:1], prefix, "truncated to %d bytes", size)
		}
	}
	for name, invalid := range map[string][]AppliedUpdate{
		"duplicate base version":  {good[0], good[0]},
		"decreasing base version": {good[1], good[0]},
		"decreasing leader time":  {good[0], {RequestID{BaseVersion: 7}, 4}},
		"too many updates":        make([]AppliedUpdate, MaxRetained+1),
	} {
		for i := range invalid {
			if len(invalid) > 2 {
				invalid[i].BaseVersion = int64(i)
			}
		}
		_, err := decodeAppliedUpdates(encodeAppliedUpdates(invalid))
		require.Error(t, err, name)
		snapshot := &State{AppliedUpdates: invalid}
		_, err = Restore(snapshot.Snapshot())
		require.Error(t, err, name)
	}
}

func FuzzDecodeAppliedUpdates(f *testing.F) {
	f.Add([]byte{})
	f.Add(encodeAppliedUpdates([]AppliedUpdate{{RequestID{BaseVersion: 0, Digest: [16]byte{7}}, 0}, {RequestID{BaseVersion: 1 << 62}, 1 << 40}}))
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 0})
	f.Fuzz(func(t *testing.T, content []byte) {
		updates, err := decodeAppliedUpdates(content)
		if err != nil {
			return
		}
		decoded, err := decodeAppliedUpdates(encodeAppliedUpdates(updates))
		require.NoError(t, err)
		require.Equal(t, updates, decoded)
		state := &State{AppliedUpdates: updates}
		for _, t := range updates {
			state.wasApplied(t.RequestID)
		}
	})
}
