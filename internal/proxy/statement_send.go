package proxy

import (
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/retry"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// internalRequestID marks statements of the proxy's own on a host connection.
const internalRequestID = "-"

// sendPinned sends a statement of a transaction on the transaction's connection.
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

// prepareAndSend puts a statement on a connection: first what the session has set, if the connection has other values, and
// once that is acknowledged the statement.
func (s *Server) prepareAndSend(conn *hostConn, stmt *statement) {
	conn.statement, stmt.attempt.conn = stmt, conn
	if !s.keyAllows(stmt) {
		s.sendStatement(conn, stmt) // which refuses it; nothing is set up under a key that is gone
		return
	}
	setup := conn.state.Prepare(&stmt.session.Session, stmt.request)
	if len(setup) == 0 {
		s.sendStatement(conn, stmt)
		return
	}
	s.counters.setupStatements.Add(int64(len(setup)))
	var lines []byte
	for _, text := range setup {
		lines = wire.AppendQuery(lines, internalRequestID, text)
	}
	conn.pendingSetup += len(setup)
	if _, ok := conn.out.write(lines); !ok {
		s.deferred.add(func() { s.connLost(conn) })
	}
}

// sendStatement writes a statement, if the host may still serve it: the lease may have expired, the primary may have been replaced
// and the key may have been taken away since the policy chose the host.
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
	if written, ok := conn.out.write(line); !ok {
		attempt.sent = retry.ProgressOf(written, len(line)) == retry.Sent // a line that was cut off never runs
		s.deferred.add(func() { s.connLost(conn) })
	}
	if attempt.sent {
		s.chargeOperation(stmt)
	}
}

// encodeStatement is a statement as the host may run it now; false: it may not. Where the host is not known to be the primary,
// a read carries a fence: its floor, or the session's own last write if that is later. The host itself rejects the read while it
// lacks that position, so that a wrong guess of the policy costs an attempt and never shows old data.
func (s *Server) encodeStatement(pool *hostPool, stmt *statement, now policy.TenthMs) (line []byte, ok bool) {
	attempt := &stmt.attempt
	if !s.keyAllows(stmt) {
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
	fence, known := pool.service.positions.Fence(now, route.stalenessBound, stmt.ownWrites())
	if stmt.group != route.readGroup || route.stalenessBound == 0 || !known {
		return nil, false
	}
	return wire.AppendFencedQuery(nil, stmt.request.ID, fence, stmt.step.Text), true
}

// countUnsent counts a statement that may not be sent, by its reason.
func (s *Server) countUnsent(stmt *statement) {
	if s.keyAllows(stmt) {
		s.counters.leaseExpiredBeforeSend.Add(1)
	} else {
		s.counters.revokedStatements.Add(1)
	}
}
