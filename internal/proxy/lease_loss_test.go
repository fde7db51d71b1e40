package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/settings"
	"ferrypitch/internal/wire"
)

// recordingConn is a client connection that records what is written to it.
type recordingConn struct {
	lines  []byte
	closed bool
}

func (c *recordingConn) write(data []byte) (int, bool) {
	c.lines = append(c.lines, data...)
	return len(data), true
}
func (c *recordingConn) stopReading() {}
func (c *recordingConn) closeWrite()  { c.closed = true }
func (c *recordingConn) close()       { c.closed = true }

// take returns what was written since the last call.
func (c *recordingConn) take() string {
	lines := string(c.lines)
	c.lines = nil
	return lines
}

// sendStatement sends a statement as the client of a session.
func sendStatement(t *testing.T, proxy *proxyProcess, session *clientSession, line string) {
	t.Helper()
	request, err := wire.ParseRequest([]byte(line))
	require.NoError(t, err)
	proxy.run(proxy.incarnation, func(server *Server) {
		server.enqueueMessage(session, clientMessage{request: request, receivedAt: server.clock.Time()})
	})
}

// openSession opens a session for a database.
func openSession(proxy *proxyProcess, database string) (*clientSession, *recordingConn) {
	conn := &recordingConn{}
	session := &clientSession{server: proxy.server, out: conn}
	proxy.run(proxy.incarnation, func(server *Server) { server.beginSession(session, database) })
	return session, conn
}

// Without a valid lease a proxy immediately rejects statements that only the primary may serve: those that wait for a host, those
// that arrive later, and those of sessions opened later. A session for an unknown database waits, since its route may be new.
func TestStatementsAreRejectedAtOnceWithoutALease(t *testing.T) {
	const noLease = "ERROR RETRY this router is not known to be up to date; 333\r\n"
	sim := newSimulation(1, 1, 0)
	sim.RunFor(2 * second)
	proxy := sim.proxies[0]
	waiting, waitingConn := openSession(proxy, "lead")
	require.Equal(t, "IDLE I -\r\n", waitingConn.take())

	for _, host := range sim.database.Hosts { // without connections, the statement has to wait for one
		host.Unreachable = true
		pool := proxy.server.pools[host.ID]
		proxy.run(proxy.incarnation, func(server *Server) {
			for _, conn := range pool.connsByAge() {
				server.closeConn(conn)
			}
		})
	}
	proxy.partitioned = true
	sim.RunFor(1250 * millisecond)
	require.True(t, proxy.server.leaseValid())
	sendStatement(t, proxy, waiting, "QUERY c1 STORE a b")
	for proxy.server.leaseValid() {
		require.Empty(t, waitingConn.take(), "the statement waits while the lease is valid")
		sim.RunFor(1 * millisecond)
	}
	sim.RunFor(50 * millisecond)
	require.Equal(t, noLease+"IDLE I -\r\n", waitingConn.take())

	sendStatement(t, proxy, waiting, "QUERY c2 FETCH a")
	require.Equal(t, noLease+"IDLE I -\r\n", waitingConn.take())
	late, lateConn := openSession(proxy, "lead")
	require.Equal(t, "IDLE I -\r\n", lateConn.take())
	sendStatement(t, proxy, late, "QUERY c3 BEGIN")
	require.Equal(t, noLease+"IDLE I -\r\n", lateConn.take())
	require.Positive(t, proxy.server.counters.rejectedAtLeaseLoss.Load())

	_, unknownConn := openSession(proxy, "another")
	require.Empty(t, unknownConn.take())
	sim.RunFor(waitingClientTimeout.Milliseconds()*millisecond + 100*millisecond)
	require.Contains(t, unknownConn.take(), "ERROR RETRY")
}

// The retry delay sent to a client spreads its attempts over its deadline.
func TestComebackSpreadsAttemptsOverTheDeadline(t *testing.T) {
	for _, test := range []struct {
		deadlineMs, maxTries float64
		wantMs               int64
	}{{1000, 2, 333}, {6000, 2, 2000}, {2000, 0, 1000}, {150, 2, minRetryAfterMs}} {
		r := &route{deadline: settings.DurationFromMs(test.deadlineMs)}
		r.MaxTries = test.maxTries
		require.Equal(t, test.wantMs, r.retryAfterMs())
	}
}

// A primary that is cut off together with this proxy may acknowledge a write after another host was promoted: the acknowledgement
// counts only if the lease is still valid when it arrives.
func TestAcknowledgementAfterTheLeaseHasExpiredIsInDoubt(t *testing.T) {
	sim := newSimulation(1, 1, 0)
	sim.database.LostAnswerOneIn, sim.database.RejectedWriteOneIn = 0, 0
	sim.RunFor(2 * second)
	proxy := sim.proxies[0]
	session, conn := openSession(proxy, "lead")
	sendStatement(t, proxy, session, "QUERY c1 STORE a 1")
	sim.RunFor(100 * millisecond)
	require.Contains(t, conn.take(), "DONE")

	proxy.partitioned = true
	sim.RunFor(1250 * millisecond)
	for _, host := range sim.database.Hosts {
		host.ReplicationStopped = true // the write is acknowledged only once a replica has received it
	}
	require.True(t, proxy.server.leaseValid())
	sendStatement(t, proxy, session, "QUERY c2 STORE a 2")
	for proxy.server.leaseValid() {
		sim.RunFor(1 * millisecond)
	}
	require.Empty(t, conn.take())
	for _, host := range sim.database.Hosts {
		host.ReplicationStopped = false
	}
	sim.RunFor(100 * millisecond)
	require.Contains(t, conn.take(), "ERROR INDOUBT")
	require.Positive(t, proxy.server.counters.acksAfterRevocation.Load())
}
