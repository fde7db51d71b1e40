package proxy

import (
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// positionUnknown is the value of hostPosition.upToDateAsOf if no time is known for the host's position.
const positionUnknown policy.TenthMs = -1

// handleResponse handles a host's response to an internal statement of the proxy or to a client's statement.
func (s *Server) handleResponse(conn *hostConn, response *wire.Response, receivedAt time.Time) {
	if conn.closed {
		return
	}
	conn.pool.lastResponseAt = receivedAt
	stmt := conn.statement
	switch {
	case conn.checkingPrimary:
		conn.checkingPrimary = false
		s.releaseHeld(conn.pool.service)
	case conn.confirming:
		s.handleConfirmation(conn, response)
	case conn.pendingInternal > 0:
		s.completeInternal(conn, response)
	case stmt == nil || !stmt.attempt.sent || stmt.attempt.held || !response.Completed():
		s.counters.unexpectedResponses.Add(1)
		s.connLost(conn)
	default:
		s.completeAttempt(conn, stmt, response)
	}
}

// completeInternal handles the response to an internal statement of the proxy. After the last one the connection is ready: for the
// statement that waits for it or, after a rollback, for any statement. An error response to ABORT is accepted if the host reports
// that no transaction is open.
func (s *Server) completeInternal(conn *hostConn, response *wire.Response) {
	conn.pendingInternal--
	rolledBack := conn.rollingBack && response.State == stateIdle
	if response.Code != "" && !rolledBack {
		s.counters.setupErrors.Add(1)
		s.connLost(conn) // the session state of the connection is unknown
		return
	}
	if conn.pendingInternal > 0 {
		return
	}
	if conn.rollingBack {
		conn.rollingBack = false
		s.releaseConn(conn)
		return
	}
	if stmt := conn.statement; stmt != nil && !stmt.attempt.connReady {
		s.sendStatement(conn, stmt)
	}
}

// completeAttempt handles the host's response to a client's statement. The response time and position are recorded first, since
// they are valid whether or not the client gets this answer.
func (s *Server) completeAttempt(conn *hostConn, stmt *statement, response *wire.Response) {
	attempt := &stmt.attempt
	attempt.answeredAt = s.refreshPolicyTime()
	s.counters.hostResponses.Observe(toDuration(attempt.answerTime()))
	conn.pool.lossDetector.ResponseReceived(attempt.sentAt, attempt.answeredAt)
	attempt.hostPosition = conn.pool.recordPosition(response.Position, attempt.sentAt, attempt.primaryEpoch)
	s.confirmBy(conn.pool, response)
	if s.mustConfirm(conn, stmt, response) {
		s.hold(conn, stmt, response)
		return
	}
	s.finishAttempt(conn, stmt, response)
}

// finishAttempt ends an attempt with the host's response, and forwards the response if it is the answer.
func (s *Server) finishAttempt(conn *hostConn, stmt *statement, response *wire.Response) {
	s.refreshPolicyTime()
	attempt := &stmt.attempt
	attempt.ended = true
	s.timers.Remove(attempt.timer)
	conn.statement = nil
	if stmt.provesCommit(response) && conn.pool.service.recordAcknowledgement(attempt, response.Position) {
		s.counters.acksUnconfirmed.Add(1)
	}
	switch {
	case stmt.acknowledgesWrite(response) && !s.primaryEpochValid(conn.pool.service, attempt.primaryEpoch):
		s.counters.acksAfterRevocation.Add(1)
		s.withdrawAcknowledgement(conn, stmt)
	case stmt.isPinned():
		s.completePinned(conn, stmt, response)
	default:
		s.completeRouted(conn, stmt, response)
	}
}

// acknowledgesWrite reports whether forwarding a response of a primary to the client would acknowledge a write.
func (stmt *statement) acknowledgesWrite(response *wire.Response) bool {
	writes := stmt.writesData() || stmt.step.IsCommit && stmt.session.MayHaveWritten
	return stmt.attempt.primaryEpoch != noEpoch && writes && response.Code == ""
}

// withdrawAcknowledgement answers a write that a primary acknowledged after it was revoked, or after the lease has expired, when it
// may have been revoked. The next primary was chosen without regard to that write, which may be lost. Unlike after a lost response
// (commitInDoubt), the write is in doubt although the host acknowledged it.
func (s *Server) withdrawAcknowledgement(conn *hostConn, stmt *statement) {
	client := stmt.session
	conn.session = nil
	if stmt.isPinned() && !stmt.step.IsCommit {
		s.closeConn(conn)
		client.pinnedConnLost()
		s.finishStatement(stmt, s.errorReply(errcode.PrimaryReplaced, 0))
		return
	}
	if client.pinnedConn == conn {
		client.pinnedConn = nil
	}
	s.closeConn(conn)
	client.HandleResponse(stmt.step, &wire.Response{State: stateIdle, Code: wire.CodeInDoubt})
	if stmt.commandID != "" {
		stmt.mayHaveRun = true
		stmt.command.EndDispatch(policy.TimedOut, positionUnknown, policy.UnknownRole, 0, true)
		s.forgetIfFinished(stmt)
	}
	s.finishStatement(stmt, s.errorReply(errcode.InDoubtPrimaryReplaced, 0))
}

// completePinned forwards the response to a statement of a transaction to the client. The connection stays pinned to the session
// while the transaction is open.
func (s *Server) completePinned(conn *hostConn, stmt *statement, response *wire.Response) {
	client := stmt.session
	if client.HandleResponse(stmt.step, response) && !stmt.finished {
		conn.session = client
	} else {
		client.pinnedConn, conn.session = nil, nil
		s.releaseOrRollBack(conn, response)
	}
	client.lastPosition = response.Position
	s.finishStatement(stmt, response.Lines)
}

// completeRouted handles the response to a statement outside a transaction. Unless the response is the answer, the policy decides
// whether to retry at another host or to give up; for the latter (RejectRetryable, Fail) the host's error is stored.
func (s *Server) completeRouted(conn *hostConn, stmt *statement, response *wire.Response) {
	if !stmt.isPlausible(response) {
		s.counters.unexpectedResponses.Add(1)
		s.closeConn(conn)
		s.reportFailure(stmt, policy.Reset)
		return
	}
	outcome := outcomeOf(response.Code)
	if !stmt.finished && (outcome == policy.Answered || outcome == policy.Errored) {
		stmt.hostResponse = response.Lines
	}
	if outcome == policy.Answered {
		s.forwardResponse(conn, stmt, response)
	} else {
		s.releaseOrRollBack(conn, response)
	}
	s.counters.outcomes[outcome].Add(1)
	position := stmt.attempt.hostPosition
	stmt.command.EndDispatch(outcome, position.upToDateAsOf, position.role, stmt.attempt.answerTime(), stmt.finished)
	s.forgetIfFinished(stmt)
}

// isPlausible reports whether a response follows the protocol: a success of BEGIN opens a transaction, and any other success
// has a stamp in DONE (wire.Response.HasStamp) and leaves no transaction open.
func (stmt *statement) isPlausible(response *wire.Response) bool {
	switch {
	case response.Code != "":
		return true
	case stmt.step.BeginsTransaction:
		return response.State == stateInTransaction
	}
	return response.State == stateIdle && response.HasStamp
}

// forwardResponse sends the host's answer to the client. A BEGIN pins the connection to the session.
func (s *Server) forwardResponse(conn *hostConn, stmt *statement, response *wire.Response) {
	client := stmt.session
	client.lastPosition = response.Position
	switch opened := client.HandleResponse(stmt.step, response); {
	case !opened:
		s.releaseConn(conn)
	case stmt.finished: // the client has disconnected
		client.EndTransaction()
		s.rollBack(conn)
	default:
		client.pin(conn, stmt)
	}
	s.finishStatement(stmt, response.Lines)
}

// releaseOrRollBack makes a connection available again after a statement, with a rollback if a transaction is open on it.
func (s *Server) releaseOrRollBack(conn *hostConn, response *wire.Response) {
	if response.State == stateIdle {
		s.releaseConn(conn)
	} else {
		s.rollBack(conn)
	}
}

// outcomeOf returns the policy's outcome for a host's response code.
func outcomeOf(code wire.Code) policy.Outcome {
	switch code {
	case "":
		return policy.Answered
	case wire.CodeLagging, wire.CodeReadOnly:
		return policy.Misrouted
	case wire.CodeRetry, wire.CodeOverload:
		return policy.Overloaded
	case wire.CodeWrongNode:
		return policy.Unreachable
	}
	return policy.Errored
}
