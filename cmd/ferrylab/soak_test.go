package main

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/cluster"
)

// soakSeeds is the number of seeds that CI runs. Manual runs use many more.
const soakSeeds = 2

func TestTheWholeSystemKeepsItsRulesInAShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs many processes for a minute")
	}
	t.Parallel()
	var out bytes.Buffer
	options := soakOptions{
		SoakOptions: cluster.SoakOptions{Seed: 2, Duration: 15 * time.Second, Members: 3, Proxies: 3, Clients: 6},
		seedOptions: seedOptions{seeds: soakSeeds},
	}
	require.NoError(t, runSoak(t.Context(), &out, options), "%s", &out)
	require.Equal(t, soakSeeds, bytes.Count(out.Bytes(), []byte(" 0 violations\n")), "%s", &out)
}

func TestTheWholeSystemKeepsItsRulesWhileMembersLoseDisks(t *testing.T) {
	if testing.Short() {
		t.Skip("runs many processes for a minute")
	}
	t.Parallel()
	var out bytes.Buffer
	options := soakOptions{
		SoakOptions: cluster.SoakOptions{Seed: 1, Duration: 15 * time.Second, Members: 5, Proxies: 3, Clients: 6, LoseDisks: true},
		seedOptions: seedOptions{seeds: 1},
	}
	require.NoError(t, runSoak(t.Context(), &out, options), "%s", &out)
	require.Equal(t, 1, bytes.Count(out.Bytes(), []byte(" 0 violations\n")), "%s", &out)
}
