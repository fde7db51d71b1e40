package proxy

import (
	"slices"
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/proxy/session"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// connectTimeout limits the dial of a host and, separately, the wait for the response to CONNECT.
const connectTimeout = 1500 * time.Millisecond

// hostConn is a connection to a host. Everything except the socket is owned by the event loop.
type hostConn struct {
	pool        *hostPool
	tenant      string // owner of its statements, named in CONNECT; empty for clients that need no key
	out         nonblockingConn
	id          uint64
	dialedAt    policy.TenthMs
	dialedEpoch primaryEpoch // epoch in which it was dialed; noEpoch if the host was not the primary

	state           session.ConnState
	statement       *statement     // statement in flight, or waiting for its setup statements
	session         *clientSession // session that has a transaction open on the connection; nil if there is none
	pendingInternal int            // number of internal statements of the proxy that have no response yet
	rollingBack     bool           // one of the pending internal statements is an ABORT
	confirming      bool           // the pending internal statement asks for the host's position
	checkingPrimary bool           // a status query is under way, whose response only shows that the primary answers
	closed          bool
	idleSince       time.Time
}

// dialHost connects to a host and then reads its responses, in a separate goroutine. CONNECT names the expected host, since its
// address may have been reassigned to another.
func (s *Server) dialHost(conn *hostConn) {
	address, serviceName, hostID, identity := conn.pool.Address, conn.pool.Service, conn.pool.ID, conn.identity()
	s.tasks.Go(func() {
		socket, err := rpc.Dial(s.ctx, s.settings.Ip, address, connectTimeout)
		if err != nil {
			s.queue.Put(eventloop.PriorityOutcomes, func() { conn.pool.connOpened(conn, wire.Response{}, err) })
			return
		}
		defer socket.Close()
		reader := &lineReader{conn: socket}
		response, err := connect(reader, serviceName, identity, hostID)
		conn.out = newBufferedConn(socket)
		handled := s.queue.Put(eventloop.PriorityOutcomes, func() { conn.pool.connOpened(conn, response, err) })
		if handled && err == nil && response.Code == "" {
			conn.readResponses(reader)
		}
	})
}

// identity returns the name that CONNECT sends to the host: the tenant, never its key.
func (c *hostConn) identity() string {
	if c.tenant == "" {
		return proxyIdentity
	}
	return c.tenant
}

// connect sends CONNECT to a host and reads the response.
func connect(reader *lineReader, serviceName, identity, hostID string) (response wire.Response, err error) {
	reader.conn.SetDeadline(time.Now().Add(connectTimeout))
	defer reader.conn.SetDeadline(time.Time{})
	if _, err := reader.conn.Write(wire.AppendConnect(nil, serviceName, identity, hostID)); err != nil {
		return response, err
	}
	return reader.readResponse()
}

// readResponses queues responses for the event loop until the connection ends. It takes the receive time before queueing, so that
// a slow event loop does not make the host look silent (reportIfSilent).
func (c *hostConn) readResponses(reader *lineReader) {
	s := c.pool.server
	for {
		response, err := reader.readResponse()
		if err != nil {
			s.queue.Put(eventloop.PriorityOutcomes, func() { s.connLost(c) })
			return
		}
		receivedAt := time.Now()
		s.queue.Put(eventloop.PriorityOutcomes, func() { s.handleResponse(c, &response, receivedAt) })
	}
}

// releaseConn reuses a free connection: it serves the oldest waiting statement of its tenant, is closed to make room for another
// tenant, or becomes idle.
func (s *Server) releaseConn(conn *hostConn) {
	pool := conn.pool
	conn.statement, conn.session = nil, nil
	if pool.retired || conn.closed {
		s.closeConn(conn)
		return
	}
	if pool.shouldYield(conn) {
		s.counters.connsClosedForTenant.Add(1)
		s.closeConn(conn)
		return
	}
	for next := pool.queue.popForTenant(conn.tenant); next != nil; next = pool.queue.popForTenant(conn.tenant) {
		if !next.attempt.ended {
			s.prepareAndSend(conn, next)
			return
		}
	}
	conn.idleSince = s.clock.Time()
	pool.idle = append(pool.idle, conn)
}

// closeConn closes a connection; the host rolls back a transaction that is open on it. Another connection may be dialed in its
// place, since it no longer counts against this proxy's share of the host's connections.
func (s *Server) closeConn(conn *hostConn) {
	pool := conn.pool
	if !conn.closed {
		conn.closed = true
		conn.out.close()
	}
	delete(pool.conns, conn)
	if i := slices.Index(pool.idle, conn); i >= 0 {
		pool.idle = slices.Delete(pool.idle, i, i+1)
	}
	pool.dialForQueued()
}

// connLost handles a connection that the host has closed or that can no longer be used.
func (s *Server) connLost(conn *hostConn) {
	if conn.closed {
		s.closeConn(conn)
		return
	}
	stmt, client := conn.statement, conn.session
	conn.statement, conn.session = nil, nil
	pool := conn.pool
	wasPrimary := pool.service.primary.Host == pool.ID
	s.closeConn(conn)
	s.refreshPolicyTime()
	if wasPrimary {
		pool.reportSuspect(false)
	}
	if client != nil {
		client.pinnedConnLost()
	}
	if stmt != nil && !stmt.attempt.ended {
		outcome := policy.Unreachable
		if stmt.attempt.sent {
			outcome = policy.Reset
		}
		s.endAttempt(stmt, outcome)
	}
}

// rollBack rolls back the transaction that is open on a connection, so that other sessions can use the connection.
func (s *Server) rollBack(conn *hostConn) {
	conn.session = nil
	if conn.closed {
		return
	}
	conn.rollingBack = true
	conn.pendingInternal++
	if _, ok := conn.out.write(wire.AppendQuery(nil, internalRequestID, "ABORT")); !ok {
		s.closeConn(conn)
	}
}
