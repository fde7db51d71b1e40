package proxy

import (
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/retry"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// internalRequestID is the request ID of the proxy's internal statements on host connections.
const internalRequestID = "-"

// sendPinned sends a statement of a transaction on the connection pinned to the transaction.
func (s *Server) sendPinned(stmt *statement) {
	client := stmt.session
	conn := client.pinnedConn
	if conn == nil || conn.closed {
		client.ConnectionLost()
		s.respond(client, s.errorReply(errcode.RolledBack, 0))
		return
	}
	client.statement = stmt
	stmt.tenant = conn.tenant
	stmt.deadline = stmt.receivedAt.Add(stmt.route.deadline)
	stmt.beginAttempt(conn.pool)
	s.startAttemptTimer(stmt, stmt.deadline)
	s.prepareAndSend(conn, stmt)
}

// prepareAndSend assigns a statement to a connection. If the connection has a different session state, setup statements are sent
// first, and the statement follows once they are all acknowledged.
func (s *Server) prepareAndSend(conn *hostConn, stmt *statement) {
	conn.statement, stmt.attempt.conn = stmt, conn
	if stmt.finished || !s.isAuthorized(stmt) {
		s.sendStatement(conn, stmt) // sends nothing: no setup statements are sent under a revoked key or for an answered statement
		return
	}
	setup := conn.state.SetupStatements(&stmt.session.Session, stmt.request)
	if len(setup) == 0 {
		s.sendStatement(conn, stmt)
		return
	}
	s.counters.setupStatements.Add(int64(len(setup)))
	var lines []byte
	for _, text := range setup {
		lines = wire.AppendQuery(lines, internalRequestID, text)
	}
	conn.pendingInternal += len(setup)
	if _, ok := conn.out.write(lines); !ok {
		s.deferred.add(func() { s.connLost(conn) })
	}
}

// sendStatement writes a statement to the host, unless the host may no longer serve it: since the policy chose the host, the
// statement may have been answered, the lease may have expired, the primary may have been replaced or the key may have been revoked.
func (s *Server) sendStatement(conn *hostConn, stmt *statement) {
	now := s.refreshPolicyTime()
	attempt := &stmt.attempt
	attempt.connReady = true
	line, ok := s.encodeStatement(conn.pool, stmt, now)
	if !ok {
		s.countUnsent(stmt)
	}
	if !ok && stmt.isPinned() {
		s.deferred.add(func() { s.closeAndEndAttempt(conn, stmt, policy.Expired) })
		return
	}
	if !ok {
		conn.statement = nil
		s.deferred.add(func() { s.endAttempt(stmt, policy.Expired) })
		s.releaseConn(conn)
		return
	}
	attempt.sentAt, attempt.sent, attempt.writtenAt = now, true, s.clock.Time()
	if attempt.primaryEpoch != noEpoch {
		_, attempt.primaryPosition = conn.pool.service.positions.Latest()
	}
	if written, ok := conn.out.write(line); !ok {
		attempt.sent = retry.ProgressOf(written, len(line)) == retry.Sent // a host never executes an incomplete line
		s.deferred.add(func() { s.connLost(conn) })
	}
	if attempt.sent {
		s.chargeOperation(stmt)
	}
}

// encodeStatement returns a statement as the host may execute it now, or false if it may not. If the host is not known to be the
// primary, a read carries a fence: its floor, or the position of the session's own last write if that is later. The host rejects
// the read while it lacks that position, so a wrong choice of the policy costs an attempt but never returns stale data.
func (s *Server) encodeStatement(pool *hostPool, stmt *statement, now policy.TenthMs) (line []byte, ok bool) {
	attempt := &stmt.attempt
	if stmt.finished || !s.isAuthorized(stmt) {
		return nil, false
	}
	if stmt.isPinned() {
		epoch := stmt.session.primaryEpoch
		if epoch != noEpoch && !s.primaryEpochValid(pool.service, epoch) {
			return nil, false
		}
		attempt.primaryEpoch = epoch
		return wire.AppendQuery(nil, stmt.request.ID, stmt.step.Text), true
	}
	attempt.primaryEpoch = s.epochOf(pool)
	if attempt.primaryEpoch != noEpoch {
		return wire.AppendQuery(nil, stmt.request.ID, stmt.step.Text), true
	}
	route := stmt.route
	fence, known := pool.service.positions.Fence(now, route.stalenessBound, stmt.ownWritePosition())
	if stmt.group != route.readGroup || route.stalenessBound == 0 || !known {
		return nil, false
	}
	return wire.AppendFencedQuery(nil, stmt.request.ID, fence, stmt.step.Text), true
}

// countUnsent counts a statement that may not be sent, by reason.
func (s *Server) countUnsent(stmt *statement) {
	switch {
	case stmt.finished:
		s.counters.answeredBeforeSend.Add(1)
	case s.isAuthorized(stmt):
		s.counters.leaseExpiredBeforeSend.Add(1)
	default:
		s.counters.revokedStatements.Add(1)
	}
}
