package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/policy"
)

// Connections to hosts are reset before, during and after a write, in addition to all other faults of the simulation: no write may
// run twice, no guarantee may be violated, and a statement that was never sent completely is retried.
func TestConnectionResetsNeverRepeatAWrite(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 12
	}
	var notSent, sent int64
	for seed := range seeds {
		sim := newSimulation(uint64(seed), 3, 9)
		sim.resetOneIn = 25
		sim.run()
		require.Empty(t, sim.Violations, "seed %d: %s", seed, sim.report())
		for _, proxy := range sim.proxies {
			if proxy.server != nil {
				notSent += proxy.server.counters.outcomes[policy.Unreachable].Load()
				sent += proxy.server.counters.outcomes[policy.Reset].Load()
			}
		}
	}
	require.Greater(t, notSent, int64(10*seeds), "not sent completely")
	require.Greater(t, sent, int64(10*seeds), "sent completely")
}
