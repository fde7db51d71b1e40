package proxy

import (
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// endAttempt ends an attempt without a response. The policy then decides on a retry. A statement of a transaction is never retried,
// since the transaction was lost with its connection.
func (s *Server) endAttempt(stmt *statement, outcome policy.Outcome) {
	attempt := &stmt.attempt
	if attempt.ended {
		return
	}
	attempt.ended = true
	s.timers.Remove(attempt.timer)
	if attempt.pool != nil {
		attempt.pool.queue.remove(stmt)
	}
	if stmt.isPinned() {
		s.counters.outcomes[outcome].Add(1)
		s.failPinned(stmt)
		return
	}
	s.reportFailure(stmt, outcome)
}

// reportFailure reports a failed attempt of a statement outside transactions to the policy, which then retries the statement or
// gives up.
func (s *Server) reportFailure(stmt *statement, outcome policy.Outcome) {
	attempt := &stmt.attempt
	now := s.refreshPolicyTime()
	s.counters.outcomes[outcome].Add(1)
	if attempt.held { // the policy regards the statement as answered
		s.forgetIfFinished(stmt)
		s.finishStatement(stmt, s.errorReply(errcode.InDoubt, 0))
		return
	}
	if attempt.sent && outcome != policy.Expired {
		stmt.mayHaveRun = stmt.mayHaveRun || stmt.writesData()
		stmt.quota.charged = false // it may have run, so the next attempt is charged as another operation
	}
	if !attempt.sent && outcome == policy.Reset {
		outcome = policy.Unreachable
	}
	stmt.command.EndDispatch(outcome, positionUnknown, policy.UnknownRole, attempt.elapsed(now), stmt.finished)
	s.forgetIfFinished(stmt)
}

// commitInDoubt reports whether a statement without a response is a COMMIT that may have been executed. This is the rule of
// retry.Commit in package retry: the outcome is in doubt once the COMMIT was sent completely, and the transaction is rolled back
// otherwise. A transaction without writes is never in doubt. For a single write (retry.Write), reportFailure applies the same rule
// and sets mayHaveRun.
func (stmt *statement) commitInDoubt() bool {
	return stmt.isPinned() && stmt.step.IsCommit && stmt.attempt.sent && stmt.session.MayHaveWritten
}

// failPinned answers a statement of a transaction whose connection was lost. The host has rolled the transaction back, unless a
// COMMIT was sent.
func (s *Server) failPinned(stmt *statement) {
	client := stmt.session
	client.pinnedConn = nil
	switch {
	case stmt.commitInDoubt():
		client.EndTransaction()
		s.finishStatement(stmt, s.errorReply(errcode.InDoubt, 0))
	case stmt.step.IsCommit:
		client.EndTransaction()
		s.finishStatement(stmt, s.errorReply(errcode.RolledBack, 0))
	case stmt.step.EndsTransaction:
		client.EndTransaction()
		s.finishStatement(stmt, wire.AppendDone(nil))
	default:
		client.ConnectionLost()
		s.finishStatement(stmt, s.errorReply(errcode.RolledBack, 0))
	}
}

// closeAndEndAttempt ends an attempt and closes its connection. The connection is detached from the statement and session first, so
// that no later handler treats them as still using it.
func (s *Server) closeAndEndAttempt(conn *hostConn, stmt *statement, outcome policy.Outcome) {
	conn.statement, conn.session = nil, nil
	s.closeConn(conn)
	s.endAttempt(stmt, outcome)
}

// startAttemptTimer sets the deadline of an attempt. The response or endAttempt removes the timer.
func (s *Server) startAttemptTimer(stmt *statement, deadline time.Time) {
	stmt.attempt.timer = s.timers.Add(deadline, func() { s.expireAttempt(stmt) })
}

// expireAttempt ends an attempt at its deadline. Its connection is closed, since a late response would be taken for the response to
// the next statement.
func (s *Server) expireAttempt(stmt *statement) {
	attempt := &stmt.attempt
	if attempt.ended {
		return
	}
	outcome := policy.Expired // the attempt was still queued
	if conn := attempt.conn; conn != nil {
		conn.statement, conn.session = nil, nil
		s.closeConn(conn)
		outcome = policy.Unreachable
		if attempt.sent {
			outcome = policy.TimedOut
		}
		if attempt.primaryEpoch != noEpoch {
			conn.pool.reportSuspect(false)
		}
	} else if pool := attempt.pool; pool != nil && pool.queue.dialing > 0 && len(pool.conns) == 0 {
		outcome = policy.Unreachable
		pool.reportSuspect(false)
	}
	s.endAttempt(stmt, outcome)
}
