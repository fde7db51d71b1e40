package proxy

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// configWithDeadline returns an update to a configuration that has one route with the given deadline.
func configWithDeadline(baseVersion int64, deadlineMs int) *statemachine.ConfigUpdate {
	return &statemachine.ConfigUpdate{BaseVersion: baseVersion, Body: fmt.Appendf(nil,
		`{"Generation":%d,"Routes":[{"Name":"r","Host":"db","Kind":"leader","DeadlineMs":%d,"Service":"s"}],"Services":[{"Name":"s"}]}`,
		baseVersion+1, deadlineMs)}
}

// applyConfig applies a configuration update to state, and returns its log entry.
func applyConfig(t *testing.T, state *statemachine.State, update *statemachine.ConfigUpdate) (entry []byte) {
	t.Helper()
	checked, err := state.CheckConfig(update)
	require.NoError(t, err)
	entry = statemachine.EncodeChange(statemachine.Change{UpdateConfig: state.MakeDelta(update, checked)})
	change, err := statemachine.DecodeChange(entry)
	require.NoError(t, err)
	require.NoError(t, state.Apply(state.Index+1, change))
	return entry
}

// A proxy does not apply a log update that leaves out entries or does not match its state. It keeps serving with its current state,
// closes the link, and is repaired by the next intact snapshot.
func TestLogGapsAndDivergenceAreRepairedBySnapshot(t *testing.T) {
	sim := newSimulation(1, 1, 0)
	sim.RunFor(500 * millisecond)
	server := sim.proxies[0].server
	state, diverged := &statemachine.State{Index: 1000}, &statemachine.State{Index: 1000}
	applyConfig(t, state, configWithDeadline(0, 100))
	applyConfig(t, diverged, configWithDeadline(0, 101))
	require.NoError(t, server.applyLogUpdate(&rpc.LogUpdate{Snapshot: diverged.Snapshot(), LastIndex: 1001}))
	second := applyConfig(t, state, configWithDeadline(1, 200))
	third := applyConfig(t, state, configWithDeadline(2, 300))

	gaps := server.counters.logGaps.Load()
	require.ErrorIs(t, server.applyLogUpdate(&rpc.LogUpdate{Entries: [][]byte{third}, LastIndex: 1003}), errLogGap)
	require.Equal(t, gaps+1, server.counters.logGaps.Load())

	err := server.applyLogUpdate(&rpc.LogUpdate{Entries: [][]byte{second, third}, LastIndex: 1003})
	require.ErrorIs(t, err, statemachine.ErrDiverged)
	require.EqualValues(t, 1, server.counters.stateDivergences.Load())
	require.EqualValues(t, 1001, server.replica.state.Index, "no entry was applied")
	require.Zero(t, server.replica.resumeIndex(), "a snapshot is needed")
	require.EqualValues(t, 101, server.routes["db"].DeadlineMs, "the proxy keeps serving with its current state")

	corrupt := bytes.Clone(state.Snapshot())
	corrupt[len(corrupt)-9]++
	require.Error(t, server.applyLogUpdate(&rpc.LogUpdate{Snapshot: corrupt, LastIndex: 1003}))
	require.EqualValues(t, 2, server.counters.stateDivergences.Load())

	require.NoError(t, server.applyLogUpdate(&rpc.LogUpdate{Snapshot: state.Snapshot(), LastIndex: 1003}))
	require.EqualValues(t, 1003, server.replica.resumeIndex())
	require.EqualValues(t, 300, server.routes["db"].DeadlineMs)
	require.Equal(t, string(state.ConfigBody), string(server.replica.state.ConfigBody))
}
