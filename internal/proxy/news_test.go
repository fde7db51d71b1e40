package proxy

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/rpc"
)

// A router takes in no news that does not fit what it holds: it goes on with what it has, ends the link, and begins anew
// from a snapshot, if that is whole.
func TestNewsThatDoNotFitEndTheLinkAndASnapshotMendsThem(t *testing.T) {
	order := func(base, generation int64, ms int) *statemachine.ConfigUpdate {
		return &statemachine.ConfigUpdate{BaseVersion: base, Body: fmt.Appendf(nil,
			`{"Generation":%d,"Routes":[{"Name":"r","Host":"db","Kind":"leader","DeadlineMs":%d,"Service":"s"}],"Services":[{"Name":"s"}]}`, generation, ms)}
	}
	take := func(s *statemachine.State, c *statemachine.ConfigUpdate) []byte {
		plan, err := s.CheckConfig(c)
		require.NoError(t, err)
		entry := statemachine.EncodeChange(statemachine.Change{UpdateConfig: s.Delta(c, plan)})
		change, err := statemachine.DecodeChange(entry)
		require.NoError(t, err)
		require.NoError(t, s.Apply(s.Index+1, change))
		return entry
	}
	w := newWorld(1, 1, 0)
	w.RunFor(500 * ms)
	h := w.routers[0].h
	s, astray := &statemachine.State{Index: 1000}, &statemachine.State{Index: 1000}
	take(s, order(0, 1, 100))
	take(astray, order(0, 1, 101))
	require.NoError(t, h.applyLogUpdate(&rpc.LogUpdate{Snapshot: astray.Snapshot(), LastIndex: 1001}))
	second, third := take(s, order(1, 2, 200)), take(s, order(2, 3, 300))
	gaps := h.counters.logGaps.Load()
	require.ErrorIs(t, h.applyLogUpdate(&rpc.LogUpdate{Entries: [][]byte{third}, LastIndex: 1003}), errLogGap)
	require.Equal(t, gaps+1, h.counters.logGaps.Load())
	require.ErrorIs(t, h.applyLogUpdate(&rpc.LogUpdate{Entries: [][]byte{second, third}, LastIndex: 1003}), statemachine.ErrDiverged)
	require.EqualValues(t, 1, h.counters.stateDiverged.Load())
	require.EqualValues(t, 1001, h.state.Index, "it has not come further")
	require.Zero(t, h.resumeIndex(), "a snapshot is wanted")
	require.EqualValues(t, 101, h.routes["db"].DeadlineMs, "what it has serves on")
	bad := bytes.Clone(s.Snapshot())
	bad[len(bad)-9]++
	require.Error(t, h.applyLogUpdate(&rpc.LogUpdate{Snapshot: bad, LastIndex: 1003}))
	require.EqualValues(t, 2, h.counters.stateDiverged.Load())
	require.NoError(t, h.applyLogUpdate(&rpc.LogUpdate{Snapshot: s.Snapshot(), LastIndex: 1003}))
	require.EqualValues(t, 1003, h.resumeIndex())
	require.EqualValues(t, 300, h.routes["db"].DeadlineMs)
	require.Equal(t, string(s.ConfigBody), string(h.state.ConfigBody))
}
