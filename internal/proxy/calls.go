package proxy

import (
	"strconv"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/proxy/session"
	"ferrypitch/internal/retry"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// statement is a client's statement on its way.
type statement struct {
	session      *clientSession
	request      wire.Request
	step         session.Step
	route        *route
	group        *policy.CmdGroup
	receivedAt   time.Time // when it was read
	deadline     time.Time // when its answer is due
	timer        timer
	commandID    string // what the module calls it; empty where a transaction's connection is its place
	command      *policy.Cmd
	pool         *hostPool
	conn         *hostConn
	sent         bool // some of it may be with the host
	mayHaveRun   bool // some dispatch of it may have run
	sentAt       policy.Tenth
	writtenAt    time.Time
	primaryEpoch uint64 // under which it was sent as to the primary; 0: not so
	dispatchOver bool   // this dispatch has ended
	finished     bool   // its client has its answer, or is gone
	connReady    bool   // its connection is the session's
	hostResponse []byte // a host's last answer that is the command's own fault
}

func formatID(n uint64) string { return strconv.FormatUint(n, 36) }

// handleStatement takes one of a session's statements.
func (h *Server) handleStatement(s *clientSession, m clientMessage) {
	if m.err != nil {
		h.respond(s, h.errorReply(errcode.BadStatement, 0))
		return
	}
	step := s.Handle(m.request)
	switch step.Action {
	case session.AnswerLocally, session.FailTransaction:
		h.respond(s, step.Reply)
		return
	}
	h.Statements.Add(1)
	c := &statement{session: s, request: m.request, step: step, receivedAt: m.receivedAt}
	if step.Action == session.UsePinnedConn {
		c.route = s.txnRoute
		h.sendPinned(c)
		return
	}
	c.route = h.routes[s.database]
	if c.route == nil {
		if h.configCurrent() {
			h.UnknownDatabase.Add(1)
			h.sendFinal(s, h.errorReply(errcode.RouteRemoved, 0))
		} else {
			h.reject(c, errcode.NoValidLease, 0)
		}
		return
	}
	c.deadline = m.receivedAt.Add(c.route.deadline)
	s.statement = c
	h.submit(c)
}

// submit brings a statement to the module.
func (h *Server) submit(c *statement) {
	now := h.refreshPolicyTime()
	r := c.route
	if !r.service.used {
		r.service.used = true
		for _, id := range h.state.HostIDs(r.service.name) {
			if n := h.pools[id]; n != nil && n.probePending && n.opening == 0 && len(n.conns) == 0 {
				n.dial()
			}
		}
	}
	c.group = r.readGroup
	since := policy.Tenth(0)
	switch {
	case c.step.Writes:
		c.group = r.writeGroup
	case r.stalenessBound > 0 && r.service.positions.CoversBound(now, r.stalenessBound):
		if r.readsOwnWrites {
			since = r.stalenessBound
		}
	default:
		c.group = r.freshGroup // no floor is known, or none is allowed
		if r.stalenessBound > 0 {
			h.FloorUnknown.Add(1)
		}
	}
	timeout := now + policy.Tenth(c.deadline.Sub(h.clock.Time())/(100*time.Microsecond))
	h.lastID++
	c.commandID = formatID(h.lastID)
	h.statements[c.commandID] = c
	handle := h.balancer.Take(c.commandID, c.group, r.service.policySet, c.session.policyKey, timeout, since, false)
	c.command = handle
	if handle.Held() {
		h.StatementsQueued.Add(1)
	}
	h.forgetIfOver(c)
}

// forgetIfOver forgets a call for which nothing more will come from the module.
func (h *Server) forgetIfOver(c *statement) {
	if c.command != nil && c.command.Over() {
		delete(h.statements, c.commandID)
	}
}

// Dispatch sends a call to a host; the module asks for it.
func (h *Server) Dispatch(handle *policy.Cmd, n *policy.Node, timeout policy.Tenth) {
	c := h.statements[handle.Name]
	c.command = handle
	c.pool, c.conn, c.sent, c.dispatchOver, c.connReady = h.poolByNode[n], nil, false, false, false
	until := c.deadline
	if at := h.clock.Time().Add(time.Duration(timeout) * 100 * time.Microsecond); timeout > 0 && at.Before(until) {
		until = at
	}
	h.Dispatches.Add(1)
	c.timer = h.timers.Add(until, func() { h.expireDispatch(c) })
	c.pool.assign(c)
}

// prepareAndSend puts a call on a connection: first what makes that the session's, then the statement.
func (h *Server) prepareAndSend(k *hostConn, c *statement) {
	k.statement, c.conn = c, k
	texts := k.state.Prepare(&c.session.Session, c.request)
	if len(texts) == 0 {
		h.sendStatement(k, c)
		return
	}
	h.SetupStatements.Add(int64(len(texts)))
	var b []byte
	for _, t := range texts {
		b = wire.AppendQuery(b, "-", t)
	}
	k.pendingSetup += len(texts)
	if _, ok := k.out.write(b); !ok {
		h.deferred = append(h.deferred, func() { h.connLost(k) })
	}
}

// sendStatement writes a call's statement, if what was decided for it still holds at this moment.
func (h *Server) sendStatement(k *hostConn, c *statement) {
	now := h.refreshPolicyTime()
	s, n := c.session, k.pool
	c.connReady = true
	var b []byte
	switch {
	case c.step.Action == session.UsePinnedConn:
		if s.primaryEpoch != 0 && !n.service.mayActAsPrimary(s.primaryEpoch, h) {
			h.deferred = append(h.deferred, func() { h.endExpiredTransaction(c) })
			return
		}
		b = wire.AppendQuery(nil, c.request.ID, c.step.Text)
		c.primaryEpoch = s.primaryEpoch
	default:
		c.primaryEpoch = n.service.currentEpoch(n, h)
		if c.primaryEpoch != 0 {
			b = wire.AppendQuery(nil, c.request.ID, c.step.Text)
			break
		}
		floor, ok := n.service.positions.Fence(now, c.route.stalenessBound, c.ownWrites())
		if c.group != c.route.readGroup || c.route.stalenessBound == 0 || !ok {
			h.LeaseExpiredBeforeSend.Add(1)
			k.statement = nil
			h.deferEndDispatch(c, policy.Moot)
			h.releaseConn(k)
			return
		}
		b = wire.AppendFencedQuery(nil, c.request.ID, floor, c.step.Text)
	}
	c.sentAt, c.sent, c.writtenAt = now, true, h.clock.Time()
	if n, ok := k.out.write(b); !ok {
		c.sent = retry.ProgressOf(n, len(b)) == retry.Sent // else it never ran
		h.deferred = append(h.deferred, func() { h.connLost(k) })
	}
}

// ownWrites is what a session's own reads must see, where its route promises that.
func (c *statement) ownWrites() wire.Position {
	if c.route.readsOwnWrites {
		return c.session.Token
	}
	return wire.Position{}
}

// sendPinned sends a statement to the connection of its transaction.
func (h *Server) sendPinned(c *statement) {
	s := c.session
	k := s.pinnedConn
	if k == nil || k.closed {
		s.ConnectionLost()
		h.respond(s, h.errorReply(errcode.RolledBack, 0))
		return
	}
	s.statement = c
	c.deadline = c.receivedAt.Add(c.route.deadline)
	c.pool = k.pool
	c.timer = h.timers.Add(c.deadline, func() { h.expireDispatch(c) })
	h.prepareAndSend(k, c)
}

// endExpiredTransaction ends a statement of a transaction whose primary may be none any more.
func (h *Server) endExpiredTransaction(c *statement) {
	h.LeaseExpiredBeforeSend.Add(1)
	k := c.conn
	k.statement, k.session = nil, nil
	h.closeConn(k)
	h.endDispatch(c, policy.Moot)
}

// handleResponse takes in an answer of a host.
func (h *Server) handleResponse(k *hostConn, a *wire.Response, at time.Time) {
	if k.closed {
		return
	}
	k.pool.lastResponseAt = at
	c := k.statement
	if k.pendingSetup > 0 {
		k.pendingSetup--
		if a.Code != "" && !(k.rollingBack && a.State == 'I') {
			h.SetupErrors.Add(1)
			h.connLost(k) // whether it is the session's is not known
			return
		}
		if k.pendingSetup > 0 {
			return
		}
		if k.rollingBack {
			k.rollingBack = false
			h.releaseConn(k)
			return
		}
		if c != nil && !c.connReady {
			h.sendStatement(k, c)
		}
		return
	}
	if c == nil || !c.sent || !a.Completed() {
		h.UnexpectedResponses.Add(1)
		h.connLost(k)
		return
	}
	h.completeDispatch(k, c, a, at)
}

// completeDispatch brings a host's answer to a call.
func (h *Server) completeDispatch(k *hostConn, c *statement, a *wire.Response, at time.Time) {
	now := h.refreshPolicyTime()
	s, n := c.session, k.pool
	c.dispatchOver = true
	h.timers.Remove(c.timer)
	k.statement = nil
	n.lossDetector.ResponseReceived(c.sentAt, now)
	moment, role := n.recordPosition(a.Position, c.sentAt, c.primaryEpoch)
	// What was acknowledged under a lead that was taken back since is not among what was looked at for the next.
	effect := c.step.Writes && !c.step.Begins || c.step.Commit && s.MayHaveWritten
	if c.primaryEpoch != 0 && effect && a.Code == "" && !n.service.inEpoch(c.primaryEpoch) {
		h.AcksAfterRevocation.Add(1)
		if c.step.Action == session.UsePinnedConn && !c.step.Commit {
			k.session = nil
			h.closeConn(k)
			s.pinnedConnLost(c)
			h.finishStatement(c, h.errorReply(errcode.PrimaryReplaced, 0))
			return
		}
		if k.session = nil; s.pinnedConn == k {
			s.pinnedConn = nil
		}
		h.closeConn(k)
		s.HandleResponse(c.step, &wire.Response{State: 'I', Code: wire.CodeInDoubt})
		if c.commandID != "" {
			c.mayHaveRun = true
			c.command.Ended(policy.TimedOut, -1, policy.Unknown, 0, true)
			h.forgetIfOver(c)
		}
		h.finishStatement(c, h.errorReply(errcode.InDoubtPrimaryReplaced, 0))
		return
	}
	if c.step.Action == session.UsePinnedConn {
		if s.HandleResponse(c.step, a) && !c.finished {
			k.session = s
		} else {
			s.pinnedConn, k.session = nil, nil
			if a.State == 'I' {
				h.releaseConn(k)
			} else {
				h.rollBack(k)
			}
		}
		s.lastPosition = a.Position
		h.finishStatement(c, a.Lines)
		return
	}
	o := outcomeOf(a.Code)
	if a.Code == "" && c.step.Begins && a.State != 'T' || a.Code == "" && !c.step.Begins && (a.State != 'I' || !a.Stamp) {
		h.UnexpectedResponses.Add(1) // an answer that is none of a statement like it
		h.closeConn(k)
		h.endDispatch(c, policy.Reset)
		return
	}
	if !c.finished && (o == policy.Answered || o == policy.Errored || a.Code == wire.CodeUnknown || a.Code == wire.CodeMalformed) {
		c.hostResponse = a.Lines
	}
	if o == policy.Answered {
		s.lastPosition = a.Position
		if s.HandleResponse(c.step, a) {
			if c.finished { // its client is gone
				s.EndTransaction()
				h.rollBack(k)
			} else {
				k.session, s.pinnedConn, s.txnRoute, s.primaryEpoch = s, k, c.route, c.primaryEpoch
				if c.step.Reads && c.route.stalenessBound > 0 && c.group == c.route.readGroup {
					s.primaryEpoch = 0 // its fence holds for all of it
				}
			}
		} else {
			h.releaseConn(k)
		}
		h.finishStatement(c, a.Lines)
	} else if a.State == 'I' {
		h.releaseConn(k)
	} else {
		h.rollBack(k)
	}
	took := now - c.sentAt
	h.Outcomes[o].Add(1)
	if moment < 0 {
		role = policy.Unknown
	}
	c.command.Ended(o, moment, role, took, c.finished)
	h.forgetIfOver(c)
}

// outcomeOf is what a host's code means to the module.
func outcomeOf(code wire.Code) policy.Outcome {
	switch code {
	case "":
		return policy.Answered
	case wire.CodeLagging, wire.CodeReadOnly:
		return policy.Missed
	case wire.CodeRetry, wire.CodeOverload:
		return policy.Full
	case wire.CodeWrongNode:
		return policy.Unreached
	}
	return policy.Errored
}

// endDispatch ends a dispatch that brought no answer.
func (h *Server) endDispatch(c *statement, o policy.Outcome) {
	if c.dispatchOver {
		return
	}
	c.dispatchOver = true
	h.timers.Remove(c.timer)
	if c.pool != nil {
		for i, w := range c.pool.queued {
			if w == c {
				c.pool.queued = append(c.pool.queued[:i], c.pool.queued[i+1:]...)
				break
			}
		}
	}
	h.refreshPolicyTime()
	h.Outcomes[o].Add(1)
	s := c.session
	if c.step.Action == session.UsePinnedConn {
		s.pinnedConn = nil
		if c.step.Commit && c.sent {
			kind := errcode.InDoubt
			if !s.MayHaveWritten { // there is nothing to keep
				kind = errcode.RolledBack
			}
			s.EndTransaction()
			h.finishStatement(c, h.errorReply(kind, 0))
			return
		}
		if c.step.Ends {
			s.EndTransaction()
			if c.step.Commit {
				h.finishStatement(c, h.errorReply(errcode.RolledBack, 0))
			} else {
				h.finishStatement(c, wire.AppendDone(nil))
			}
			return
		}
		s.ConnectionLost()
		h.finishStatement(c, h.errorReply(errcode.RolledBack, 0))
		return
	}
	if c.sent && c.step.Writes && !c.step.Begins && o != policy.Moot {
		c.mayHaveRun = true
	}
	if !c.sent && o == policy.Reset {
		o = policy.Unreached
	}
	c.command.Ended(o, -1, policy.Unknown, h.policyNow-c.sentAtOr(h.policyNow), c.finished)
	h.forgetIfOver(c)
}

func (c *statement) sentAtOr(now policy.Tenth) policy.Tenth {
	if c.sentAt > 0 {
		return c.sentAt
	}
	return now
}

// deferEndDispatch is outcome for where the module may be calling.
func (h *Server) deferEndDispatch(c *statement, o policy.Outcome) {
	h.deferred = append(h.deferred, func() { h.endDispatch(c, o) })
}

// expireDispatch ends a dispatch whose time is over.
func (h *Server) expireDispatch(c *statement) {
	if c.dispatchOver {
		return
	}
	k := c.conn
	o := policy.Moot
	if k != nil {
		k.statement, k.session = nil, nil
		h.closeConn(k)
		if o = policy.TimedOut; !c.sent {
			o = policy.Unreached
		}
		if c.primaryEpoch != 0 {
			k.pool.reportSuspect(false)
		}
	} else if c.pool != nil && c.pool.opening > 0 && len(c.pool.conns) == 0 {
		o = policy.Unreached
		c.pool.reportSuspect(false)
	}
	h.endDispatch(c, o)
}

// abandonStatement takes in that a call's client is gone. What is out ends as it does; its connection is used again.
func (h *Server) abandonStatement(c *statement) {
	if c.finished {
		return
	}
	c.finished = true
	c.session.statement = nil
	h.ClientDisconnects.Add(1)
	if c.commandID != "" {
		c.command.Left()
		if c.conn == nil && !c.dispatchOver && c.command.Node != nil {
			h.endDispatch(c, policy.Moot)
			return
		}
		h.forgetIfOver(c)
	}
}

// finishStatement gives a call its final answer, and its session goes on.
func (h *Server) finishStatement(c *statement, lines []byte) {
	if c.finished {
		return
	}
	c.finished = true
	s := c.session
	s.statement = nil
	h.respond(s, lines)
	h.processMessages(s)
}

// Throttle is the final answer of a call that has not run, or whose running harms nobody.
func (h *Server) Throttle(handle *policy.Cmd, comeback policy.Tenth) {
	c := h.statements[handle.Name]
	h.Throttled.Add(1)
	h.deferred = append(h.deferred, func() {
		if h.forgetIfOver(c); c.hostResponse != nil && !c.step.Writes {
			h.finishStatement(c, c.hostResponse)
			return
		}
		h.reject(c, errcode.NoHostAvailable, int64(comeback/10))
	})
}

// Fail is the final answer of a call that may have run.
func (h *Server) Fail(handle *policy.Cmd) {
	c := h.statements[handle.Name]
	h.Failed.Add(1)
	h.deferred = append(h.deferred, func() {
		h.forgetIfOver(c)
		switch {
		case c.hostResponse != nil:
			h.finishStatement(c, c.hostResponse)
		case c.mayHaveRun:
			h.finishStatement(c, h.errorReply(errcode.InDoubt, 0))
		default:
			h.reject(c, errcode.WriteNotSent, 0)
		}
	})
}

// reject answers a call of which nothing is kept, with the milliseconds after which to come again.
func (h *Server) reject(c *statement, kind errcode.Kind, after int64) {
	h.Rejected.Add(1)
	h.finishStatement(c, h.errorReply(kind, after))
}

// errorReply is an answer of this router's own, and counts it.
func (h *Server) errorReply(kind errcode.Kind, after int64) []byte {
	h.ErrorsSent[kind].Add(1)
	return kind.Append(nil, after)
}
