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
	tenant     string // under which it runs; empty: clients of its route are not asked who they are
	quota      quotaCharge
	group      *policy.CommandGroup
	receivedAt time.Time // when its line was read; the deadline counts from it
	deadline   time.Time // of its answer, over all attempts

	// The statement in calls of the policy. Empty and nil in a transaction, whose statements all go to the host of its BEGIN.
	commandID string
	command   *policy.Command

	attempt      attempt
	mayHaveRun   bool   // some attempt may have run
	finished     bool   // its client has its answer, or is gone
	hostResponse []byte // the last host's answer or error, for the case that no other host can be tried
}

// attempt is one dispatch of a statement to a host. It has the time of its sending twice: the policy and package position count in
// tenths of a millisecond, timers and the check for silent primaries in time.Time. Both are of the server's clock.
type attempt struct {
	pool      *hostPool
	conn      *hostConn // nil: it is queued for one
	queuedAt  time.Time // when it began to wait for a connection
	timer     timer
	connReady bool      // what the session has set is set on conn
	sent      bool      // some of it may be with the host
	writtenAt time.Time // when it was sent, for reportIfSilent
	over      bool

	// These two keep the value of the attempt before until this one is sent: if it ends before that, elapsed counts from sentAt
	// for the policy (policy.Host.recordConns uses it for unreachable hosts), and expireAttempt reports a suspect by primaryEpoch.
	sentAt       policy.TenthMs // in tenths of a millisecond; 0: nothing was sent yet
	primaryEpoch primaryEpoch   // in which it was sent to the primary; noEpoch: it was sent with a position, to any host
}

func (stmt *statement) beginAttempt(pool *hostPool) {
	stmt.attempt = attempt{pool: pool, sentAt: stmt.attempt.sentAt, primaryEpoch: stmt.attempt.primaryEpoch}
}

// elapsed is how long ago the statement was sent, in tenths of a millisecond; 0: it was not.
func (a *attempt) elapsed(now policy.TenthMs) policy.TenthMs {
	if a.sentAt > 0 {
		return now - a.sentAt
	}
	return 0
}

func (stmt *statement) isPinned() bool { return stmt.step.Action == session.UsePinnedConn }

// writesData says that the statement itself may write. BEGIN does not, though it may ask for the primary.
func (stmt *statement) writesData() bool { return stmt.step.MayWrite && !stmt.step.BeginsTransaction }

// ownWrites is what the session wrote itself and must see, where its route promises that.
func (stmt *statement) ownWrites() wire.Position {
	if stmt.route.readsOwnWrites {
		return stmt.session.Token
	}
	return wire.Position{}
}

// formatID makes the name of a statement or session in calls of the policy. The base must stay: the policy hashes the name.
func formatID(id uint64) string { return strconv.FormatUint(id, 36) }

// handleStatement starts on a session's next statement. Route and tenant are looked up for each, since the configuration may have
// changed since CONNECT. That one is gone is final only under a valid lease; without one the client may retry at another proxy.
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
		s.rejectKey(stmt)
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

// submit has the policy choose a host, now or when one is available.
func (s *Server) submit(stmt *statement) {
	now := s.refreshPolicyTime()
	route := stmt.route
	s.dialOnFirstUse(route.service, stmt.tenant)
	var staleness policy.TenthMs
	stmt.group, staleness = s.readOrWriteGroup(stmt, now)
	timeout := now + toTenths(stmt.deadline.Sub(s.clock.Time()))
	stmt.commandID = formatID(s.nextID())
	s.statements[stmt.commandID] = stmt
	command := s.policy.Submit(stmt.commandID, stmt.group, route.service.policySet, stmt.session.policyKey, timeout, staleness, false)
	stmt.command = command
	if command.IsQueued() {
		s.counters.statementsQueued.Add(1)
	}
	s.forgetIfOver(stmt)
}

// readOrWriteGroup is the policy's group for a statement, and by how much a session's read may lag behind other sessions'
// writes. A bounded read has a floor: the least position that it must see, known from samples of the primary's position
// (position.Tracker.Floor). It goes to the primary while no floor is known, and where the route allows no staleness.
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

// dialOnFirstUse makes the probes of a service's hosts that were put off until a session needs the service.
func (s *Server) dialOnFirstUse(svc *service, tenant string) {
	svc.lastTenant = tenant
	if svc.requested {
		return
	}
	svc.requested = true
	for _, id := range s.replica.state.HostIDs(svc.name) {
		if pool := s.pools[id]; pool != nil && pool.probePending && pool.queue.dialing == 0 && len(pool.conns) == 0 {
			pool.dial(tenant)
		}
	}
}

// forgetIfOver forgets a statement for which the policy will make no more calls.
func (s *Server) forgetIfOver(stmt *statement) {
	if stmt.command != nil && stmt.command.IsFinished() {
		delete(s.statements, stmt.commandID)
	}
}

// finishStatement gives a statement its answer, and its session goes on to the next. An attempt may end after its client is gone
// or was answered: then there is nothing left to do.
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

// reject answers a statement of which nothing is kept. retryAfterMs is when the client may retry, in milliseconds; 0: as
// the kind says.
func (s *Server) reject(stmt *statement, kind errcode.Kind, retryAfterMs int64) {
	s.counters.rejected.Add(1)
	s.finishStatement(stmt, s.errorReply(kind, retryAfterMs))
}

// errorReply is an error of this proxy's own, as it goes to a client. It counts it.
func (s *Server) errorReply(kind errcode.Kind, retryAfterMs int64) []byte {
	s.counters.errorsSent[kind].Add(1)
	return kind.Append(nil, retryAfterMs)
}

// abandonStatement handles the end of a client that waits for its answer. What was sent runs to its end, and its connection is
// reused.
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
