package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is with its host at SIGTERM may take until the last sixth of the grace, and an open transaction has more than half of it; the
// answers have time to go out before the platform kills the process.
func TestShutdownUsesTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 30 * time.Second} {
		closeIdleAfter, answerAfter := shutdownPhases(grace)
		require.LessOrEqual(t, closeIdleAfter, grace/2)
		require.Greater(t, answerAfter, grace*5/6)
		require.GreaterOrEqual(t, grace-answerAfter, grace/12)
	}
	closeIdleAfter, _ := shutdownPhases(6 * time.Second)
	require.Greater(t, closeIdleAfter, 2*time.Second, "the platform asks each second, and takes a machine out after two misses")
}

// From SIGTERM on a proxy reports that it is not ready, whatever it holds, and serves on until the platform has noticed; then it ends
// its sessions as they become idle.
func TestShutdownIsNotReadyAndServesUntilThePlatformHasNoticed(t *testing.T) {
	sim := newSimulation(1, 3, 9)
	sim.RunFor(2 * second)
	server := sim.proxies[0].server
	require.True(t, server.status().Ready)
	server.shutdown.begun = true
	server.sweep(server.clock.Time())
	require.False(t, server.status().Ready)
	answered := server.status().Counters["outcome_answered"]
	sim.RunFor(second)
	require.False(t, server.status().Ready, "a later sweep does not make it ready again")
	require.Greater(t, server.status().Counters["outcome_answered"], answered)
	server.drainIdleSessions()
	busy := 0
	for client := range server.sessions.open {
		require.Equal(t, client.isIdle(), client.draining, "just the idle sessions end")
		if !client.isIdle() {
			busy++
		}
	}
	require.Positive(t, busy)
	sim.RunFor(second)
	for client := range server.sessions.open {
		require.True(t, client.draining || !client.isIdle(), "a session that became idle is left open")
	}
}
