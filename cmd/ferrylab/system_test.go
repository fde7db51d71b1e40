package main

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/cluster"
	"ferrypitch/internal/simulation/program"
)

func TestTheWholeSystemServesThroughTheCrashOfAPrimary(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	require.NoError(t, runSystem(t.Context(), &out, cluster.Options{For: 6 * time.Second, Sessions: 6, Seed: 77}, true), "%s", &out)
	var r cluster.Result
	require.NoError(t, json.Unmarshal(out.Bytes(), &r))
	require.Empty(t, r.Violations)
	require.Equal(t, 2, r.ConfigVersions)
	require.Equal(t, 1, r.Promotions, "the crashed primary was not replaced")
	require.Positive(t, r.WriteGap, "no write was acknowledged after the crash")
	require.Greater(t, r.AcknowledgedWrites, 100)
	require.Len(t, r.Outcomes, 8)
}

// Every process is restarted under load, first to upgrade it to the programs of this release and then to downgrade it again. No
// guarantee may be violated. The other release is a second build of this one; upgrades from an older release are tested by hand, see
// docs/operators/control-state.md.
func TestTheWholeSystemServesThroughARollingUpgrade(t *testing.T) {
	t.Parallel()
	older := t.TempDir()
	for _, name := range []string{"ferrypitch-proxy", "ferrypitch-control"} {
		_, err := program.Build(older, name)
		require.NoError(t, err)
	}
	var out bytes.Buffer
	options := cluster.Options{For: 2 * time.Minute, Sessions: 4, Seed: 78, UpgradeFrom: older}
	require.NoError(t, runSystem(t.Context(), &out, options, true), "%s", &out)
	var r cluster.Result
	require.NoError(t, json.Unmarshal(out.Bytes(), &r))
	require.Empty(t, r.Violations)
	require.Len(t, r.Upgrades, 10)
	require.Equal(t, 7, r.ConfigVersions)
	require.Greater(t, r.AcknowledgedWrites, 100)
}
