package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/cluster"
)

// lossSeeds is the number of seeds that CI runs. Manual runs use many more.
const lossSeeds = 3

func TestMembersWithEmptyDisksAreAdmittedWhateverTheirSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("runs many processes for a minute")
	}
	t.Parallel()
	var out bytes.Buffer
	options := lossOptions{
		LossOptions: cluster.LossOptions{Seed: 1, Members: 5, Losses: 5},
		seedOptions: seedOptions{seeds: lossSeeds},
		jobs:        lossSeeds,
	}
	require.NoError(t, runLosses(t.Context(), &out, options), "%s", &out)
	require.Equal(t, lossSeeds, bytes.Count(out.Bytes(), []byte(" 0 violations\n")), "%s", &out)
}
