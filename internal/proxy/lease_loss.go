package proxy

import (
	"maps"
	"slices"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/policy"
)

// A proxy whose lease has expired can't tell whether its primaries and its configuration are still in force. Statements that depend
// on them and have not been sent yet are rejected at once, with the delay after which the client should retry: at another proxy, or
// at this one once the lease is renewed.

// needsLease reports whether a statement may run only under a valid lease: only the primary may serve it at this moment, or its
// tenant's key may have been revoked. All other statements are reads, which a host itself rejects if it has not reached the position
// that the read must include.
func (s *Server) needsLease(stmt *statement) bool {
	if stmt.step.MayWrite || stmt.route.stalenessBound == 0 || stmt.tenant != "" && s.keysStale() {
		return true
	}
	return !stmt.route.service.positions.CoversBound(s.refreshPolicyTime(), stmt.route.stalenessBound)
}

// retryAfterMs returns the delay, in milliseconds, after which a client should retry while no lease is valid. Since the duration of
// the outage is unknown, the delay spreads the client's attempts over its deadline.
func (r *route) retryAfterMs() int64 {
	attempts := max(1, int64(r.MaxTries)) + 1
	return max(minRetryAfterMs, r.deadline.Milliseconds()/attempts)
}

// minRetryAfterMs is the minimum retry delay, in milliseconds. It keeps clients with short deadlines from retrying before a
// retry can succeed.
const minRetryAfterMs = 100

// rejectUnsentStatements rejects the statements that wait for a host and need the lease. Statements of which an earlier attempt may
// have been executed are not rejected: the policy determines their outcome.
func (s *Server) rejectUnsentStatements() {
	for _, id := range slices.Sorted(maps.Keys(s.statements)) {
		stmt := s.statements[id]
		if stmt == nil || stmt.finished || stmt.mayHaveRun || stmt.command == nil || !stmt.awaitsHost() || !s.needsLease(stmt) {
			continue
		}
		s.counters.rejectedAtLeaseLoss.Add(1)
		s.reject(stmt, errcode.NoValidLease, stmt.route.retryAfterMs())
		s.withdraw(stmt)
	}
}

// awaitsHost reports whether a statement has not been sent to a host: it is queued by the policy or waits for a connection.
func (stmt *statement) awaitsHost() bool {
	return stmt.command.Host == nil || stmt.attempt.conn == nil
}

// withdraw removes from the policy a statement that has been answered or whose client has disconnected. An attempt that was
// already sent runs to completion.
func (s *Server) withdraw(stmt *statement) {
	stmt.command.Abandon()
	if stmt.attempt.conn == nil && !stmt.attempt.ended && stmt.command.Host != nil {
		s.endAttempt(stmt, policy.Expired)
		return
	}
	s.forgetIfFinished(stmt)
}

// drainWithoutLease closes the sessions that have been idle for staleConfigGrace, once the lease has been invalid for that long. A
// session that has just begun stays open, because its client's first statement would be lost.
func (s *Server) drainWithoutLease(now time.Time) {
	if !s.lease.invalidFor(staleConfigGrace, now) {
		return
	}
	for _, client := range s.sessions.byAge() {
		if client.isIdle() && now.Sub(client.idleSince) > staleConfigGrace {
			client.drain()
		}
	}
}
