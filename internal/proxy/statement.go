package proxy

import (
	"strconv"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/proxy/session"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// statement is a client's statement from its arrival to its answer.
type statement struct {
	session    *clientSession
	request    wire.Request
	step       session.Step
	route      *route
	tenant     string // tenant under which the statement runs; empty if clients of its route need no key
	quota      quotaCharge
	group      *policy.CommandGroup
	receivedAt time.Time // when its line was read; deadline counts from then
	deadline   time.Time // deadline of the answer, over all attempts

	// Name and handle of the statement in calls to the policy. Empty and nil inside a transaction, whose statements all go to the
	// host of its BEGIN.
	commandID string
	command   *policy.Command

	attempt      attempt
	mayHaveRun   bool   // some attempt may have run
	finished     bool   // the client was answered or has disconnected
	hostResponse []byte // the last host's answer or error, sent if no other host can be tried
}

// attempt is one dispatch of a statement to a host. The send time is stored twice, both from the server's clock: as sentAt for the
// policy and package position, which use tenths of a millisecond, and as writtenAt for the check for silent primaries.
type attempt struct {
	pool      *hostPool
	conn      *hostConn // nil while the statement is queued for a connection
	queuedAt  time.Time // when the statement was queued for a connection
	timer     timer
	connReady bool      // conn has the session's variables and prepared statement
	sent      bool      // the host may have received the whole statement
	writtenAt time.Time // when the statement was sent, for reportIfSilent
	ended     bool

	answeredAt   policy.TenthMs // when the host's response arrived
	hostPosition hostPosition   // of the host that responded
	held         bool           // the response acknowledges a write and waits for a known replica

	primaryPosition wire.Position // latest known position of the primary when the statement was sent to it; zero if unknown

	// The next two fields keep the values of the previous attempt until this attempt is sent. If this attempt ends before it is
	// sent, elapsed counts from the previous sentAt (policy.Host.recordConns uses it for unreachable hosts), and expireAttempt
	// decides by the previous primaryEpoch whether to report the host as suspect.
	sentAt       policy.TenthMs // when the statement was sent, in tenths of a millisecond; 0 if no attempt was sent yet
	primaryEpoch primaryEpoch   // epoch in which it was sent to the primary; noEpoch if it was sent with a fence
}

func (stmt *statement) beginAttempt(pool *hostPool) {
	stmt.attempt = attempt{pool: pool, sentAt: stmt.attempt.sentAt, primaryEpoch: stmt.attempt.primaryEpoch}
}

// elapsed returns how long ago the statement was sent, in tenths of a millisecond, or 0 if it was not.
func (a *attempt) elapsed(now policy.TenthMs) policy.TenthMs {
	if a.sentAt > 0 {
		return now - a.sentAt
	}
	return 0
}

func (stmt *statement) isPinned() bool { return stmt.step.Action == session.UsePinnedConn }

// writesData reports whether the statement itself may write. BEGIN does not, though it may require the primary.
func (stmt *statement) writesData() bool { return stmt.step.MayWrite && !stmt.step.BeginsTransaction }

// ownWritePosition returns the position of the session's own last write if its route guarantees that reads include it.
func (stmt *statement) ownWritePosition() wire.Position {
	if stmt.route.readsOwnWrites {
		return stmt.session.Token
	}
	return wire.Position{}
}

// formatID returns the name of a statement or session in calls to the policy. The base must not change, since the policy hashes the
// name.
func formatID(id uint64) string { return strconv.FormatUint(id, 36) }

// handleStatement starts a session's next statement. Route and tenant are looked up for each statement, since the configuration may
// have changed since CONNECT. A missing route or key is final only under a valid lease; without one the client may retry at another
// proxy.
func (s *Server) handleStatement(client *clientSession, message clientMessage) {
	if message.err != nil {
		s.respond(client, s.errorReply(errcode.BadStatement, 0))
		return
	}
	step := client.Handle(message.request)
	if step.Action == session.AnswerLocally || step.Action == session.EndLostTransaction {
		s.respond(client, step.Reply)
		return
	}
	s.counters.statements.Add(1)
	stmt := &statement{session: client, request: message.request, step: step, receivedAt: message.receivedAt}
	if stmt.isPinned() {
		stmt.route = client.txnRoute
		s.sendPinned(stmt)
		return
	}
	stmt.route = s.routes[client.database]
	if stmt.route == nil {
		if s.configCurrent() {
			s.counters.unknownDatabase.Add(1)
			s.sendFinal(client, s.errorReply(errcode.RouteRemoved, 0))
		} else {
			s.reject(stmt, errcode.NoValidLease, 0)
		}
		return
	}
	tenant, admitted := s.admit(client, stmt.route)
	if !admitted {
		s.rejectUnauthorized(stmt)
		return
	}
	stmt.tenant = tenant
	stmt.deadline = message.receivedAt.Add(stmt.route.deadline)
	if s.needsLease(stmt) && !s.leaseValid() {
		s.reject(stmt, errcode.NoValidLease, stmt.route.retryAfterMs())
		return
	}
	client.statement = stmt
	s.submitWithinQuota(stmt)
}

// submit hands a statement to the policy, which chooses a host at once or when one becomes available.
func (s *Server) submit(stmt *statement) {
	now := s.refreshPolicyTime()
	route := stmt.route
	s.dialOnFirstUse(route.service, stmt.tenant)
	var staleness policy.TenthMs
	stmt.group, staleness = s.readOrWriteGroup(stmt, now)
	timeout := now + toTenths(stmt.deadline.Sub(s.clock.Time()))
	stmt.commandID = formatID(s.nextID())
	s.statements[stmt.commandID] = stmt
	command := s.policy.Submit(stmt.commandID, stmt.group, route.service.policySet, stmt.session.policyKey, timeout, staleness)
	stmt.command = command
	if command.IsQueued() {
		s.counters.statementsQueued.Add(1)
	}
	s.forgetIfFinished(stmt)
}

// readOrWriteGroup returns the policy's command group for a statement and, for a route that guarantees reading own writes, by how
// much a read may lag behind the writes of other sessions. policy.Router.Submit takes that staleness as the time since the session's
// last write: it then requires a position that is at most that old. A read with bounded staleness has a floor: the lowest position
// that it must include, derived from samples of the primary's position (position.Tracker.Floor). It goes to the primary if no floor
// is known or if the route allows no staleness.
func (s *Server) readOrWriteGroup(stmt *statement, now policy.TenthMs) (group *policy.CommandGroup, staleness policy.TenthMs) {
	route := stmt.route
	switch {
	case stmt.step.MayWrite:
		return route.writeGroup, 0
	case route.stalenessBound > 0 && route.service.positions.CoversBound(now, route.stalenessBound):
		if route.readsOwnWrites {
			staleness = route.stalenessBound
		}
		return route.readGroup, staleness
	case route.stalenessBound > 0:
		s.counters.floorUnknown.Add(1)
	}
	return route.strongGroup, 0
}

// dialOnFirstUse runs the probes of a service's hosts that were deferred until a session uses the service (policyCaller.Probe).
func (s *Server) dialOnFirstUse(svc *service, tenant string) {
	svc.lastTenant = tenant
	if svc.usedBySession {
		return
	}
	svc.usedBySession = true
	for _, id := range s.replica.state.HostIDs(svc.name) {
		if pool := s.pools[id]; pool != nil && pool.probePending && pool.queue.dialing == 0 && len(pool.conns) == 0 {
			pool.dial(tenant)
		}
	}
}

// forgetIfFinished deletes a statement for which the policy will make no more calls.
func (s *Server) forgetIfFinished(stmt *statement) {
	if stmt.command != nil && stmt.command.IsFinished() {
		delete(s.statements, stmt.commandID)
	}
}

// finishStatement answers a statement and starts the session's next message. It does nothing if the client was already answered or
// has disconnected, which may happen before an attempt ends.
func (s *Server) finishStatement(stmt *statement, lines []byte) {
	if stmt.finished {
		return
	}
	stmt.finished = true
	s.releaseToken(stmt)
	client := stmt.session
	client.statement = nil
	s.counters.statementDurations.Observe(s.clock.Time().Sub(stmt.receivedAt))
	s.respond(client, lines)
	s.processMessages(client)
}

// reject sends an error as the answer to a statement that has had no effect. The client may retry after retryAfterMs milliseconds;
// 0 stands for the default of the error kind.
func (s *Server) reject(stmt *statement, kind errcode.Kind, retryAfterMs int64) {
	s.counters.rejected.Add(1)
	s.finishStatement(stmt, s.errorReply(kind, retryAfterMs))
}

// errorReply counts and encodes an error of the proxy itself for a client.
func (s *Server) errorReply(kind errcode.Kind, retryAfterMs int64) []byte {
	s.counters.errorsSent[kind].Add(1)
	return kind.Append(nil, retryAfterMs)
}

// abandonStatement handles the disconnect of a client that waits for an answer. A statement in flight still completes, and its
// connection is reused.
func (s *Server) abandonStatement(stmt *statement) {
	if stmt.finished {
		return
	}
	stmt.finished = true
	s.releaseToken(stmt)
	stmt.session.statement = nil
	s.counters.clientDisconnects.Add(1)
	if stmt.commandID == "" {
		return
	}
	s.withdraw(stmt)
}
