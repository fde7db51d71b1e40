package proxy

import (
	"maps"
	"slices"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/policy"
)

// A proxy whose lease has expired can't tell whether its primaries and its configuration are still the ones in force. What needs
// that and was not sent yet is rejected at once, with the time after which the client is to retry: at another proxy, or here once
// the lease is renewed.

// needsLease says that only the primary may serve a statement now, or that its tenant's key can't be relied on any more. All other statements are reads that a host itself refuses
// where it lacks the position that they must see.
func (s *Server) needsLease(stmt *statement) bool {
	if stmt.step.MayWrite || stmt.route.stalenessBound == 0 || stmt.tenant != "" && s.keysStale() {
		return true
	}
	return !stmt.route.service.positions.CoversBound(s.refreshPolicyTime(), stmt.route.stalenessBound)
}

// comebackMs is after how many milliseconds a client is to retry when no lease is valid: its attempts are then spread over its
// deadline, since how long the outage lasts is not known.
func (r *route) comebackMs() int64 {
	attempts := max(1, int64(r.MaxTries)) + 1
	return max(minComebackMs, r.deadline.Milliseconds()/attempts)
}

// minComebackMs keeps clients of short deadlines from retrying in vain.
const minComebackMs = 100

// rejectUnsentStatements rejects the statements that wait for a host and need the lease. A write of which an earlier attempt may
// have run stays: its outcome is the policy's to tell.
func (s *Server) rejectUnsentStatements() {
	for _, id := range slices.Sorted(maps.Keys(s.statements)) {
		stmt := s.statements[id]
		if stmt == nil || stmt.finished || stmt.mayHaveRun || stmt.command == nil || !stmt.awaitsHost() || !s.needsLease(stmt) {
			continue
		}
		s.counters.rejectedAtLeaseLoss.Add(1)
		s.reject(stmt, errcode.NoValidLease, stmt.route.comebackMs())
		s.withdraw(stmt)
	}
}

// awaitsHost says that a statement is not with any host: the policy queues it, or it waits for a connection.
func (stmt *statement) awaitsHost() bool {
	return stmt.command.Host == nil || stmt.attempt.conn == nil
}

// withdraw has the policy drop a statement that was answered, or whose client is gone. What was sent runs to its end.
func (s *Server) withdraw(stmt *statement) {
	stmt.command.Abandon()
	if stmt.attempt.conn == nil && !stmt.attempt.ended && stmt.command.Host != nil {
		s.endAttempt(stmt, policy.Expired)
		return
	}
	s.forgetIfFinished(stmt)
}

// drainWithoutLease ends sessions that have asked for nothing of late, once the lease has been invalid for staleConfigGrace. A
// session that has just begun stays: what its client is about to send would be lost.
func (s *Server) drainWithoutLease(now time.Time) {
	if !s.lease.lostFor(staleConfigGrace, now) {
		return
	}
	for _, client := range s.sessions.byAge() {
		if client.isIdle() && now.Sub(client.idleSince) > staleConfigGrace {
			client.drain()
		}
	}
}
