package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/settings"
	"ferrypitch/internal/wire"
)

// recordedConn is a client's connection that keeps what it is sent.
type recordedConn struct {
	lines  []byte
	closed bool
}

func (c *recordedConn) write(data []byte) (int, bool) {
	c.lines = append(c.lines, data...)
	return len(data), true
}
func (c *recordedConn) stopReading() {}
func (c *recordedConn) finish()      { c.closed = true }
func (c *recordedConn) close()       { c.closed = true }

// take returns what was sent since the last call.
func (c *recordedConn) take() string {
	lines := string(c.lines)
	c.lines = nil
	return lines
}

// ask sends a statement of a session.
func ask(t *testing.T, proxy *proxyProcess, session *clientSession, line string) {
	t.Helper()
	request, err := wire.ParseRequest([]byte(line))
	require.NoError(t, err)
	proxy.run(proxy.incarnation, func(server *Server) {
		server.enqueueMessage(session, clientMessage{request: request, receivedAt: server.clock.Time()})
	})
}

// begin begins a session for a database.
func begin(proxy *proxyProcess, database string) (*clientSession, *recordedConn) {
	conn := &recordedConn{}
	session := &clientSession{server: proxy.server, out: conn}
	proxy.run(proxy.incarnation, func(server *Server) { server.beginSession(session, database) })
	return session, conn
}

// Without a valid lease a proxy rejects at once what only the primary may serve: statements that wait for a host, those that come
// later, and those of sessions that begin later. A session whose database is unknown waits, since the route may be new.
func TestStatementsAreRejectedAtOnceWithoutALease(t *testing.T) {
	const noLease = "ERROR RETRY this router is not known to be up to date; 333\r\n"
	sim := newSimulation(1, 1, 0)
	sim.RunFor(2 * second)
	proxy := sim.proxies[0]
	waiting, waitingConn := begin(proxy, "lead")
	require.Equal(t, "IDLE I -\r\n", waitingConn.take())

	for _, host := range sim.database.Hosts { // so that the statement waits for a connection
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
	ask(t, proxy, waiting, "QUERY c1 STORE a b")
	for proxy.server.leaseValid() {
		require.Empty(t, waitingConn.take(), "it waits while the lease is valid")
		sim.RunFor(1 * millisecond)
	}
	sim.RunFor(50 * millisecond)
	require.Equal(t, noLease+"IDLE I -\r\n", waitingConn.take())

	ask(t, proxy, waiting, "QUERY c2 FETCH a")
	require.Equal(t, noLease+"IDLE I -\r\n", waitingConn.take())
	late, lateConn := begin(proxy, "lead")
	require.Equal(t, "IDLE I -\r\n", lateConn.take())
	ask(t, proxy, late, "QUERY c3 BEGIN")
	require.Equal(t, noLease+"IDLE I -\r\n", lateConn.take())
	require.Positive(t, proxy.server.counters.rejectedAtLeaseLoss.Load())

	_, unknownConn := begin(proxy, "another")
	require.Empty(t, unknownConn.take())
	sim.RunFor(waitingClientTimeout.Milliseconds()*millisecond + 100*millisecond)
	require.Contains(t, unknownConn.take(), "ERROR RETRY")
}

// A client is told to come back so that its attempts are spread over its deadline.
func TestComebackSpreadsAttemptsOverTheDeadline(t *testing.T) {
	for _, test := range []struct {
		deadlineMs, maxTries float64
		wantMs               int64
	}{{1000, 2, 333}, {6000, 2, 2000}, {2000, 0, 1000}, {150, 2, minComebackMs}} {
		r := &route{deadline: settings.DurationFromMs(test.deadlineMs)}
		r.MaxTries = test.maxTries
		require.Equal(t, test.wantMs, r.comebackMs())
	}
}
