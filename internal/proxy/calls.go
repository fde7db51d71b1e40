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

// call is a client's statement on its way.
type call struct {
	session *clientSession
	request wire.Request
	step    session.Step
	route   *route
	group   *policy.CmdGroup
	at      time.Time // when it was read
	until   time.Time // when its answer is due
	timer   timer
	name    string // what the module calls it; empty where a transaction's connection is its place
	handle  *policy.Cmd
	host    *host
	conn    *hostConn
	sent    bool // some of it may be with the host
	maybe   bool // some dispatch of it may have run
	sentAt  policy.Tenth
	wroteAt time.Time
	lead    uint64 // under which it was sent as to the primary; 0: not so
	over    bool   // this dispatch has ended
	done    bool   // its client has its answer, or is gone
	ready   bool   // its connection is the session's
	said    []byte // a host's last answer that is the command's own fault
}

func number(n uint64) string { return strconv.FormatUint(n, 36) }

// statement takes one of a session's statements.
func (h *Server) statement(s *clientSession, m message) {
	if m.err != nil {
		h.answer(s, h.tell(errcode.BadStatement, 0))
		return
	}
	step := s.Handle(m.request)
	switch step.Action {
	case session.AnswerLocally, session.FailTransaction:
		h.answer(s, step.Reply)
		return
	}
	h.Taken.Add(1)
	c := &call{session: s, request: m.request, step: step, at: m.at}
	if step.Action == session.UsePinnedConn {
		c.route = s.route
		h.pinned(c)
		return
	}
	c.route = h.routes[s.database]
	if c.route == nil {
		if h.inTouch() {
			h.NoDB.Add(1)
			h.final(s, h.tell(errcode.RouteRemoved, 0))
		} else {
			h.refuse(c, errcode.NoValidLease, 0)
		}
		return
	}
	c.until = m.at.Add(c.route.deadline)
	s.call = c
	h.place(c)
}

// place brings a statement to the module.
func (h *Server) place(c *call) {
	now := h.moment()
	r := c.route
	if !r.service.used {
		r.service.used = true
		for _, id := range h.state.HostIDs(r.service.name) {
			if n := h.hosts[id]; n != nil && n.probing && n.opening == 0 && len(n.all) == 0 {
				n.open()
			}
		}
	}
	c.group = r.read
	since := policy.Tenth(0)
	switch {
	case c.step.Writes:
		c.group = r.write
	case r.bound > 0 && r.service.gauge.CoversBound(now, r.bound):
		if r.owned {
			since = r.bound
		}
	default:
		c.group = r.fresh // no floor is known, or none is allowed
		if r.bound > 0 {
			h.Floorless.Add(1)
		}
	}
	timeout := now + policy.Tenth(c.until.Sub(h.clock.Time())/(100*time.Microsecond))
	h.serial++
	c.name = number(h.serial)
	h.calls[c.name] = c
	handle := h.module.Take(c.name, c.group, r.service.set, c.session.key, timeout, since, false)
	c.handle = handle
	if handle.Held() {
		h.Held.Add(1)
	}
	h.settle(c)
}

// settle forgets a call for which nothing more will come from the module.
func (h *Server) settle(c *call) {
	if c.handle != nil && c.handle.Over() {
		delete(h.calls, c.name)
	}
}

// Dispatch sends a call to a host; the module asks for it.
func (h *Server) Dispatch(handle *policy.Cmd, n *policy.Node, timeout policy.Tenth) {
	c := h.calls[handle.Name]
	c.handle = handle
	c.host, c.conn, c.sent, c.over, c.ready = h.nodes[n], nil, false, false, false
	until := c.until
	if at := h.clock.Time().Add(time.Duration(timeout) * 100 * time.Microsecond); timeout > 0 && at.Before(until) {
		until = at
	}
	h.Dispatched.Add(1)
	c.timer = h.due.Add(until, func() { h.expire(c) })
	c.host.take(c)
}

// run puts a call on a connection: first what makes that the session's, then the statement.
func (h *Server) run(k *hostConn, c *call) {
	k.call, c.conn = c, k
	texts := k.fixture.Prepare(&c.session.Session, c.request)
	if len(texts) == 0 {
		h.send(k, c)
		return
	}
	h.Setups.Add(int64(len(texts)))
	var b []byte
	for _, t := range texts {
		b = wire.AppendQuery(b, "-", t)
	}
	k.setup += len(texts)
	if _, ok := k.out.write(b); !ok {
		h.later = append(h.later, func() { h.broken(k) })
	}
}

// send writes a call's statement, if what was decided for it still holds at this moment.
func (h *Server) send(k *hostConn, c *call) {
	now := h.moment()
	s, n := c.session, k.host
	c.ready = true
	var b []byte
	switch {
	case c.step.Action == session.UsePinnedConn:
		if s.lead != 0 && !n.service.holds(s.lead, h) {
			h.later = append(h.later, func() { h.lapsed(c) })
			return
		}
		b = wire.AppendQuery(nil, c.request.ID, c.step.Text)
		c.lead = s.lead
	default:
		c.lead = n.service.asLead(n, h)
		if c.lead != 0 {
			b = wire.AppendQuery(nil, c.request.ID, c.step.Text)
			break
		}
		floor, ok := n.service.gauge.Fence(now, c.route.bound, c.token())
		if c.group != c.route.read || c.route.bound == 0 || !ok {
			h.Lapsed.Add(1)
			k.call = nil
			h.outcomeLater(c, policy.Moot)
			h.free(k)
			return
		}
		b = wire.AppendFencedQuery(nil, c.request.ID, floor, c.step.Text)
	}
	c.sentAt, c.sent, c.wroteAt = now, true, h.clock.Time()
	if n, ok := k.out.write(b); !ok {
		c.sent = retry.ProgressOf(n, len(b)) == retry.Sent // else it never ran
		h.later = append(h.later, func() { h.broken(k) })
	}
}

// token is what a session's own reads must see, where its route promises that.
func (c *call) token() wire.Position {
	if c.route.owned {
		return c.session.Token
	}
	return wire.Position{}
}

// pinned sends a statement to the connection of its transaction.
func (h *Server) pinned(c *call) {
	s := c.session
	k := s.pin
	if k == nil || k.closed {
		s.ConnectionLost()
		h.answer(s, h.tell(errcode.RolledBack, 0))
		return
	}
	s.call = c
	c.until = c.at.Add(c.route.deadline)
	c.host = k.host
	c.timer = h.due.Add(c.until, func() { h.expire(c) })
	h.run(k, c)
}

// lapsed ends a statement of a transaction whose primary may be none any more.
func (h *Server) lapsed(c *call) {
	h.Lapsed.Add(1)
	k := c.conn
	k.call, k.session = nil, nil
	h.close(k)
	h.outcome(c, policy.Moot)
}

// arrived takes in an answer of a host.
func (h *Server) arrived(k *hostConn, a *wire.Response, at time.Time) {
	if k.closed {
		return
	}
	k.host.heardAt = at
	c := k.call
	if k.setup > 0 {
		k.setup--
		if a.Code != "" && !(k.roll && a.State == 'I') {
			h.SetupFaults.Add(1)
			h.broken(k) // whether it is the session's is not known
			return
		}
		if k.setup > 0 {
			return
		}
		if k.roll {
			k.roll = false
			h.free(k)
			return
		}
		if c != nil && !c.ready {
			h.send(k, c)
		}
		return
	}
	if c == nil || !c.sent || !a.Completed() {
		h.Stray.Add(1)
		h.broken(k)
		return
	}
	h.answered(k, c, a, at)
}

// answered brings a host's answer to a call.
func (h *Server) answered(k *hostConn, c *call, a *wire.Response, at time.Time) {
	now := h.moment()
	s, n := c.session, k.host
	c.over = true
	h.due.Remove(c.timer)
	k.call = nil
	n.line.ResponseReceived(c.sentAt, now)
	moment, role := n.position(a.Position, c.sentAt, c.lead)
	// What was acknowledged under a lead that was taken back since is not among what was looked at for the next.
	effect := c.step.Writes && !c.step.Begins || c.step.Commit && s.MayHaveWritten
	if c.lead != 0 && effect && a.Code == "" && !n.service.same(c.lead) {
		h.TakenBack.Add(1)
		if c.step.Action == session.UsePinnedConn && !c.step.Commit {
			k.session = nil
			h.close(k)
			s.dropped(c)
			h.reply(c, h.tell(errcode.PrimaryReplaced, 0))
			return
		}
		if k.session = nil; s.pin == k {
			s.pin = nil
		}
		h.close(k)
		s.HandleResponse(c.step, &wire.Response{State: 'I', Code: wire.CodeInDoubt})
		if c.name != "" {
			c.maybe = true
			c.handle.Ended(policy.TimedOut, -1, policy.Unknown, 0, true)
			h.settle(c)
		}
		h.reply(c, h.tell(errcode.InDoubtPrimaryReplaced, 0))
		return
	}
	if c.step.Action == session.UsePinnedConn {
		if s.HandleResponse(c.step, a) && !c.done {
			k.session = s
		} else {
			s.pin, k.session = nil, nil
			if a.State == 'I' {
				h.free(k)
			} else {
				h.roll(k)
			}
		}
		s.last = a.Position
		h.reply(c, a.Lines)
		return
	}
	o := outcomeOf(a.Code)
	if a.Code == "" && c.step.Begins && a.State != 'T' || a.Code == "" && !c.step.Begins && (a.State != 'I' || !a.Stamp) {
		h.Stray.Add(1) // an answer that is none of a statement like it
		h.close(k)
		h.outcome(c, policy.Reset)
		return
	}
	if !c.done && (o == policy.Answered || o == policy.Errored || a.Code == wire.CodeUnknown || a.Code == wire.CodeMalformed) {
		c.said = a.Lines
	}
	if o == policy.Answered {
		s.last = a.Position
		if s.HandleResponse(c.step, a) {
			if c.done { // its client is gone
				s.EndTransaction()
				h.roll(k)
			} else {
				k.session, s.pin, s.route, s.lead = s, k, c.route, c.lead
				if c.step.Reads && c.route.bound > 0 && c.group == c.route.read {
					s.lead = 0 // its fence holds for all of it
				}
			}
		} else {
			h.free(k)
		}
		h.reply(c, a.Lines)
	} else if a.State == 'I' {
		h.free(k)
	} else {
		h.roll(k)
	}
	took := now - c.sentAt
	h.Outcomes[o].Add(1)
	if moment < 0 {
		role = policy.Unknown
	}
	c.handle.Ended(o, moment, role, took, c.done)
	h.settle(c)
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

// outcome ends a dispatch that brought no answer.
func (h *Server) outcome(c *call, o policy.Outcome) {
	if c.over {
		return
	}
	c.over = true
	h.due.Remove(c.timer)
	if c.host != nil {
		for i, w := range c.host.waiting {
			if w == c {
				c.host.waiting = append(c.host.waiting[:i], c.host.waiting[i+1:]...)
				break
			}
		}
	}
	h.moment()
	h.Outcomes[o].Add(1)
	s := c.session
	if c.step.Action == session.UsePinnedConn {
		s.pin = nil
		if c.step.Commit && c.sent {
			kind := errcode.InDoubt
			if !s.MayHaveWritten { // there is nothing to keep
				kind = errcode.RolledBack
			}
			s.EndTransaction()
			h.reply(c, h.tell(kind, 0))
			return
		}
		if c.step.Ends {
			s.EndTransaction()
			if c.step.Commit {
				h.reply(c, h.tell(errcode.RolledBack, 0))
			} else {
				h.reply(c, wire.AppendDone(nil))
			}
			return
		}
		s.ConnectionLost()
		h.reply(c, h.tell(errcode.RolledBack, 0))
		return
	}
	if c.sent && c.step.Writes && !c.step.Begins && o != policy.Moot {
		c.maybe = true
	}
	if !c.sent && o == policy.Reset {
		o = policy.Unreached
	}
	c.handle.Ended(o, -1, policy.Unknown, h.now-c.sentAtOr(h.now), c.done)
	h.settle(c)
}

func (c *call) sentAtOr(now policy.Tenth) policy.Tenth {
	if c.sentAt > 0 {
		return c.sentAt
	}
	return now
}

// outcomeLater is outcome for where the module may be calling.
func (h *Server) outcomeLater(c *call, o policy.Outcome) {
	h.later = append(h.later, func() { h.outcome(c, o) })
}

// expire ends a dispatch whose time is over.
func (h *Server) expire(c *call) {
	if c.over {
		return
	}
	k := c.conn
	o := policy.Moot
	if k != nil {
		k.call, k.session = nil, nil
		h.close(k)
		if o = policy.TimedOut; !c.sent {
			o = policy.Unreached
		}
		if c.lead != 0 {
			k.host.suspect(false)
		}
	} else if c.host != nil && c.host.opening > 0 && len(c.host.all) == 0 {
		o = policy.Unreached
		c.host.suspect(false)
	}
	h.outcome(c, o)
}

// abandon takes in that a call's client is gone. What is out ends as it does; its connection is used again.
func (h *Server) abandon(c *call) {
	if c.done {
		return
	}
	c.done = true
	c.session.call = nil
	h.Gone.Add(1)
	if c.name != "" {
		c.handle.Left()
		if c.conn == nil && !c.over && c.handle.Node != nil {
			h.outcome(c, policy.Moot)
			return
		}
		h.settle(c)
	}
}

// reply gives a call its final answer, and its session goes on.
func (h *Server) reply(c *call, lines []byte) {
	if c.done {
		return
	}
	c.done = true
	s := c.session
	s.call = nil
	h.answer(s, lines)
	h.next(s)
}

// Throttle is the final answer of a call that has not run, or whose running harms nobody.
func (h *Server) Throttle(handle *policy.Cmd, comeback policy.Tenth) {
	c := h.calls[handle.Name]
	h.Throttled.Add(1)
	h.later = append(h.later, func() {
		if h.settle(c); c.said != nil && !c.step.Writes {
			h.reply(c, c.said)
			return
		}
		h.refuse(c, errcode.NoHostAvailable, int64(comeback/10))
	})
}

// Fail is the final answer of a call that may have run.
func (h *Server) Fail(handle *policy.Cmd) {
	c := h.calls[handle.Name]
	h.Failed.Add(1)
	h.later = append(h.later, func() {
		h.settle(c)
		switch {
		case c.said != nil:
			h.reply(c, c.said)
		case c.maybe:
			h.reply(c, h.tell(errcode.InDoubt, 0))
		default:
			h.refuse(c, errcode.WriteNotSent, 0)
		}
	})
}

// refuse answers a call of which nothing is kept, with the milliseconds after which to come again.
func (h *Server) refuse(c *call, kind errcode.Kind, after int64) {
	h.Refused.Add(1)
	h.reply(c, h.tell(kind, after))
}

// tell is an answer of this router's own, and counts it.
func (h *Server) tell(kind errcode.Kind, after int64) []byte {
	h.Told[kind].Add(1)
	return kind.Append(nil, after)
}
