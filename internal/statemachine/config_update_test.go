package statemachine

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// configWithRoutes returns a configuration in which the deadline of one route differs from that of all others.
func configWithRoutes(generation int64, routes, changedRoute, deadlineMs int) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"Generation":%d,"Routes":[`, generation)
	for i := range routes {
		deadline := 800
		if i == changedRoute {
			deadline = deadlineMs
		}
		fmt.Fprintf(&body, `%s{"Name":"r%d","Host":"db%d","PathPrefix":"/","Kind":"leader","DeadlineMs":%d,"TargetMs":150,"Priority":1,"Service":"s","MaxTries":2}`,
			[]string{"", ","}[min(i, 1)], i, i, deadline)
	}
	body.WriteString(`],"Services":[{"Name":"s","MaxConns":57}],"More":"kept"}`)
	return body.Bytes()
}

// applyUpdate applies an update by way of its encoded log entry, and returns that entry.
func applyUpdate(t testing.TB, state *State, update ConfigUpdate) []byte {
	result, err := state.CheckConfig(&update)
	require.NoError(t, err)
	entry := EncodeChange(Change{UpdateConfig: state.MakeDelta(&update, result)})
	decoded, err := DecodeChange(entry)
	require.NoError(t, err)
	require.NoError(t, state.Apply(state.Index+1, decoded))
	return entry
}

// Every replica ends up with the exact bytes that the operator sent, although the log carries deltas, and recognises retried
// updates.
func TestUpdatesAreLoggedAsDeltasAndKeepTheirBytes(t *testing.T) {
	state, replica := &State{}, &State{}
	updates, deltaBytes := []ConfigUpdate{{Body: configWithRoutes(1, 900, 0, 800)}}, 0
	for i := range 200 {
		update := ConfigUpdate{BaseVersion: int64(i + 1), Body: configWithRoutes(int64(i+2), 900, i, 100+i)}
		if i%5 == 4 {
			update.IsAmendment, update.Body = true, fmt.Appendf(nil, `{"Generation":%d,"Upsert":{"Routes":[{"Name":"r7","Host":"db7","Kind":"leader","DeadlineMs":%d,"Service":"s"}]}}`, i+2, i+1)
		}
		updates = append(updates, update)
	}
	for i, update := range updates {
		entry := applyUpdate(t, state, update)
		if i > 0 {
			deltaBytes += len(entry)
		}
		change, err := DecodeChange(entry)
		require.NoError(t, err)
		require.NoError(t, replica.Apply(uint64(i+1), change))
		require.Equal(t, string(state.ConfigBody), string(replica.ConfigBody))
		if !update.IsAmendment {
			require.Equal(t, string(update.Body), string(replica.ConfigBody))
		}
		if i%50 == 49 {
			replica, err = Restore(replica.Snapshot())
			require.NoError(t, err)
		}
		require.Equal(t, state.Checksum(), replica.Checksum())
	}
	require.Less(t, deltaBytes/200, 400, "average entry size for a change of one route in 900")
	for _, update := range updates[len(updates)-20:] {
		result, err := replica.CheckConfig(&update)
		require.NoError(t, err)
		require.Nil(t, result, "a retry of an applied update")
	}
}

// An invalid delta does not change the configuration. A state that differs from the delta's base does not even advance its
// index.
func TestDeltaIsAppliedCompletelyOrNotAtAll(t *testing.T) {
	state := &State{}
	applyUpdate(t, state, ConfigUpdate{Body: configWithRoutes(1, 20, 0, 800)})
	update := ConfigUpdate{BaseVersion: 1, Body: configWithRoutes(2, 20, 3, 9)}
	result, err := state.CheckConfig(&update)
	require.NoError(t, err)
	good := state.MakeDelta(&update, result)
	require.NotEmpty(t, good.Diff)
	before := state.Snapshot()
	for name, damage := range map[string]func(*ConfigUpdate){
		"wrong digest of the result": func(damaged *ConfigUpdate) { damaged.ResultDigest[3]++ },
		"truncated diff":             func(damaged *ConfigUpdate) { damaged.Diff = damaged.Diff[:len(damaged.Diff)-1] },
		"modified diff": func(damaged *ConfigUpdate) {
			damaged.Diff = append(bytes.Clone(damaged.Diff[:len(damaged.Diff)-1]), damaged.Diff[len(damaged.Diff)-1]-1)
		},
		"neither diff nor body": func(damaged *ConfigUpdate) { damaged.Diff = nil },
	} {
		damaged := *good
		damage(&damaged)
		replica, err := Restore(before)
		require.NoError(t, err)
		require.ErrorIs(t, replica.Apply(2, Change{UpdateConfig: &damaged}), ErrInvalid, name)
		replica.Index = 1
		require.Equal(t, before, replica.Snapshot(), name)
	}
	otherBase := *good
	otherBase.BaseVersion = 7
	replica, _ := Restore(before)
	require.ErrorIs(t, replica.Apply(2, Change{UpdateConfig: &otherBase}), ErrVersionConflict)
	diverged := &State{}
	applyUpdate(t, diverged, ConfigUpdate{Body: configWithRoutes(1, 20, 1, 801)})
	require.ErrorIs(t, diverged.Apply(2, Change{UpdateConfig: good}), ErrDiverged)
	require.EqualValues(t, 1, diverged.Index)
	require.NoError(t, state.Apply(2, Change{UpdateConfig: good}))
	require.Equal(t, string(update.Body), string(state.ConfigBody))
}

func TestDamagedSnapshotIsRejected(t *testing.T) {
	state := &State{}
	applyUpdate(t, state, ConfigUpdate{Body: configWithRoutes(1, 20, 0, 800)})
	good := state.Snapshot()
	random := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		damaged := bytes.Clone(good)
		if position := random.IntN(len(damaged)); random.IntN(2) == 0 {
			damaged = damaged[:max(position, 1)]
		} else {
			damaged[position] ^= byte(1 + random.IntN(255))
		}
		_, err := Restore(damaged)
		require.Error(t, err)
	}
}

func FuzzDecodeConfigUpdate(f *testing.F) {
	state := &State{}
	f.Add(applyUpdate(f, state, ConfigUpdate{Body: configWithRoutes(1, 20, 0, 800)}))
	f.Add(applyUpdate(f, state, ConfigUpdate{BaseVersion: 1, Body: configWithRoutes(2, 20, 1, 9)}))
	f.Add([]byte{0, 1, 0, 2})
	base := state.Snapshot()
	f.Fuzz(func(t *testing.T, content []byte) {
		change, err := DecodeChange(content)
		if err != nil {
			return
		}
		if change.UpdateConfig != nil && !bytes.Equal(EncodeChange(change), content) && content[0] == configUpdateMarker {
			t.Fatalf("%x is encoded as %x", content, EncodeChange(change))
		}
		state, _ := Restore(base)
		before := state.ConfigBody
		if state.Apply(state.Index+1, change) != nil && !bytes.Equal(before, state.ConfigBody) {
			t.Fatal("a rejected update changed the configuration")
		}
	})
}

func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{10, 100, 900, 2000} {
		for _, changes := range []int{10, 100, 400, 2000} {
			b.Run(fmt.Sprintf("routes=%d/changes=%d", routes, changes), func(b *testing.B) { benchmarkChanges(b, routes, changes) })
		}
	}
}

// benchmarkChanges restores a snapshot and applies updates that change one route each, as a restarted process does.
func benchmarkChanges(b *testing.B, routes, changes int) {
	state := &State{}
	applyUpdate(b, state, ConfigUpdate{Body: configWithRoutes(1, routes, 0, 800)})
	base, decoded, entryBytes := state.Snapshot(), []Change{}, 0
	for i := range changes {
		update := ConfigUpdate{BaseVersion: int64(i + 1), Body: configWithRoutes(int64(i+2), routes, i%routes, 9+i)}
		entry := applyUpdate(b, state, update)
		change, err := DecodeChange(entry)
		require.NoError(b, err)
		decoded, entryBytes = append(decoded, change), entryBytes+len(entry)
	}
	var restored *State
	for b.Loop() {
		var err error
		restored, err = Restore(base)
		require.NoError(b, err)
		for i, change := range decoded {
			require.NoError(b, restored.Apply(uint64(i+2), change))
		}
	}
	b.ReportMetric(float64(entryBytes)/float64(changes), "entry_B")
	b.ReportMetric(float64(len(restored.Snapshot())), "snapshot_B")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(changes), "µs/change")
}
