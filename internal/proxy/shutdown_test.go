package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A statement that was sent to a host before SIGTERM may take until the last sixth of the grace period, and an open transaction has
// more than half of it. At least a twelfth is left for sending the answers before the platform kills the process.
func TestShutdownUsesTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 30 * time.Second} {
		closeIdleAfter, answerAfter := shutdownPhases(grace)
		require.LessOrEqual(t, closeIdleAfter, grace/2)
		require.Greater(t, answerAfter, grace*5/6)
		require.GreaterOrEqual(t, grace-answerAfter, grace/12)
	}
	closeIdleAfter, _ := shutdownPhases(6 * time.Second)
	require.Greater(t, closeIdleAfter, 2*time.Second, "the platform checks every second, and stops routing to a machine after two failed checks")
}

// From SIGTERM on, a proxy reports that it is not ready even with a valid lease, and keeps serving until the platform has noticed.
// Then it closes its sessions as they become idle.
func TestShutdownIsNotReadyAndServesUntilThePlatformHasNoticed(t *testing.T) {
	sim := newSimulation(3, 3, 9)
	sim.RunFor(2 * second)
	server := sim.proxies[0].server
	require.True(t, server.status().Ready)
	server.shutdown.started = true
	server.sweep(server.clock.Time())
	require.False(t, server.status().Ready)
	answered := server.status().Counters["outcome_answered"]
	sim.RunFor(second)
	require.False(t, server.status().Ready, "a later sweep does not make it ready again")
	require.Greater(t, server.status().Counters["outcome_answered"], answered)
	server.drainIdleSessions()
	busy := 0
	for client := range server.sessions.open {
		require.Equal(t, client.isIdle(), client.draining, "only idle sessions end")
		if !client.isIdle() {
			busy++
		}
	}
	require.Positive(t, busy)
	sim.RunFor(second)
	for client := range server.sessions.open {
		require.True(t, client.draining || !client.isIdle(), "a session that became idle was not closed")
	}
}

// Guards against a write that is answered RETRY at the end of the proxy, while it waits for a connection, and then sent on one that
// becomes free in the same moment.
func TestStatementAnsweredAtShutdownIsNotSent(t *testing.T) {
	for _, withdrawn := range []bool{true, false} {
		sim := newSimulation(3, 1, 0)
		sim.database.LostAnswerOneIn, sim.database.RejectedWriteOneIn = 0, 0
		sim.RunFor(2 * second)
		proxy, primary := sim.proxies[0], sim.database.Primary()
		waiting, answers := openSession(proxy, "lead")
		answers.take()
		pool := proxy.server.pools[primary.ID]
		var taken *hostConn
		proxy.run(proxy.incarnation, func(*Server) {
			require.NotEmpty(t, pool.idle)
			taken, pool.idle = pool.idle[0], nil
		})
		sendStatement(t, proxy, waiting, "QUERY c1 STORE a b")
		require.Len(t, pool.queue.statements, 1)
		stmt, before := waiting.statement, len(primary.Log)
		proxy.run(proxy.incarnation, func(server *Server) {
			if withdrawn {
				server.failPendingStatements()
				require.Empty(t, pool.queue.statements)
			} else { // answered, and by mistake still in a queue
				server.finishStatement(stmt, server.errorReply(stmt.shutdownError(), 0))
			}
			server.releaseConn(taken)
		})
		require.Contains(t, answers.take(), "ERROR RETRY")
		sim.RunFor(200 * millisecond)
		require.Len(t, primary.Log, before, "withdrawn %v: it was sent after its answer", withdrawn)
	}
}
