package main

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/cluster"
)

func TestTheWholeSystemServesThroughTheCrashOfAPrimary(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, runSystem(t.Context(), &out, cluster.Options{For: 6 * time.Second, Sessions: 6, Seed: 77}, true), "%s", &out)
	var r cluster.Result
	require.NoError(t, json.Unmarshal(out.Bytes(), &r))
	require.Empty(t, r.Violations)
	require.Equal(t, 2, r.ConfigVersions)
	require.Equal(t, 1, r.Promotions, "the primary that crashed was not replaced")
	require.Positive(t, r.WriteGap, "no write was answered after the crash")
	require.Greater(t, r.AcknowledgedWrites, 100)
	require.Len(t, r.Outcomes, 8)
}
