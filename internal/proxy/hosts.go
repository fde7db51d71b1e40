package proxy

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/proxy/lossdetect"
	"ferrypitch/internal/proxy/session"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// hostPool is a database host, and this router's connections to it.
type hostPool struct {
	statemachine.Host
	server         *Server
	node           *policy.Node
	service        *service
	idle           []*hostConn // the most recently used last
	conns          map[*hostConn]struct{}
	opening        int
	queued         []*statement
	retired        bool
	lossDetector   lossdetect.Detector
	lastResponseAt time.Time // when it last answered anything
	lastReportedMs int64     // when it was last told to be suspect
	drainingSince  time.Time // when this router learned that it drains
	probePending   bool      // the module waits for word of it
	listed         bool
	standing       policy.Standing
}

// hostConn is a connection. All but its socket belongs to the owner.
type hostConn struct {
	pool         *hostPool
	out          nonblockingConn
	state        session.ConnState
	statement    *statement     // whose statement is out, or is being made ready
	session      *clientSession // whose transaction is open on it
	pendingSetup int            // statements of the router's own that are not answered yet
	id           uint64
	rollingBack  bool // an ABORT of the router's own is out
	closed       bool
	idleSince    time.Time // idle since
	dialedAt     policy.Tenth
}

// assign finds a connection for a call, or has one opened, or has the call wait.
func (n *hostPool) assign(c *statement) {
	if k := n.takeIdle(c.session); k != nil {
		n.server.prepareAndSend(k, c)
		return
	}
	n.queued = append(n.queued, c)
	if len(n.conns)+n.opening < n.server.connShare(n).MaxConns() && n.opening < len(n.queued) {
		n.dial()
	}
}

// takeIdle takes an idle connection out, first one that has the session's values, then one that has none.
func (n *hostPool) takeIdle(s *clientSession) *hostConn {
	best := -1
	for i := len(n.idle) - 1; i >= 0; i-- {
		k := n.idle[i]
		if k.state.Matches(&s.Session) {
			best = i
			break
		}
		if best < 0 || k.state.ValuesKey == "" {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	k := n.idle[best]
	n.idle = slices.Delete(n.idle, best, best+1)
	return k
}

// dial dials, and says CONNECT with the id that is expected there: addresses are used again.
func (n *hostPool) dial() {
	h := n.server
	n.opening++
	h.ConnsDialed.Add(1)
	asked := h.refreshPolicyTime()
	h.dial(n, asked, n.service.currentEpoch(n, h))
}

// dialHost opens a connection in a goroutine of its own, which reads from it from then on.
func (h *Server) dialHost(n *hostPool, asked policy.Tenth, lead uint64) {
	address, service, id := n.Address, n.Service, n.ID
	h.tasks.Go(func() {
		conn, err := rpc.Dial(h.ctx, h.settings.Ip, address, connectTimeout)
		k := &hostConn{pool: n, dialedAt: asked}
		var a wire.Response
		in := &lineReader{conn: conn}
		if err == nil {
			conn.SetDeadline(time.Now().Add(connectTimeout))
			if _, err = conn.Write(wire.AppendConnect(nil, service, "proxy", id)); err == nil {
				a, err = readResponse(in)
			}
			conn.SetDeadline(time.Time{})
			k.out = newBufferedConn(conn)
		}
		up := err == nil && a.Code == ""
		if !h.queue.Put(eventloop.PriorityOutcomes, func() { n.connOpened(k, a, err, lead) }) || !up {
			if conn != nil {
				conn.Close()
			}
			return
		}
		k.readResponses(conn, in)
	})
}

// readResponse reads one answer.
func readResponse(in *lineReader) (a wire.Response, err error) {
	for {
		line, raw, err := in.next(wire.CutLine)
		if err != nil {
			if a.Completed() && a.Code != "" { // of CONNECT: an error and a close
				return a, nil
			}
			return a, err
		}
		whole, err := a.AddLine(line, raw)
		if err != nil || whole {
			return a, err
		}
	}
}

// readResponses is a connection's reading goroutine.
func (k *hostConn) readResponses(conn net.Conn, in *lineReader) {
	h := k.pool.server
	for {
		a, err := readResponse(in)
		at := time.Now()
		h.queue.Put(eventloop.PriorityOutcomes, func() {
			if err == nil {
				h.handleResponse(k, &a, at)
			}
			if err != nil {
				h.connLost(k)
			}
		})
		if err != nil {
			conn.Close()
			return
		}
	}
}

// connOpened takes in how an opening ended. lead is what lead it was begun under.
func (n *hostPool) connOpened(k *hostConn, a wire.Response, err error, lead uint64) {
	h := n.server
	n.opening--
	h.refreshPolicyTime()
	if n.probePending {
		n.probePending = false
		defer func() { n.node.Probed(err == nil && a.Code == "") }()
	}
	if err != nil || a.Code != "" {
		h.ConnsFailed.Add(1)
		o, refused := policy.Unreached, errors.Is(err, syscall.ECONNREFUSED) || a.Code == wire.CodeWrongNode
		if a.Code == wire.CodeOverload || a.Code == wire.CodeRetry {
			o = policy.Full
			h.ConnsRefused.Add(1)
		} else {
			n.reportSuspect(refused)
		}
		if len(n.conns) == 0 || o != policy.Full { // what waits would wait for nothing
			for _, c := range slices.Clone(n.queued) {
				h.endDispatch(c, o)
			}
		}
		return
	}
	if n.retired {
		k.closed = true
		k.out.close()
		return
	}
	h.lastID++
	k.id = h.lastID
	n.conns[k] = struct{}{}
	n.recordPosition(a.Position, k.dialedAt, lead)
	h.releaseConn(k)
}

// reportSuspect tells the control plane that a primary can't be reached, not too often.
func (n *hostPool) reportSuspect(refused bool) {
	if now := n.server.clock.Now(); n.service.primary.Host == n.ID && now > n.lastReportedMs+150 {
		n.lastReportedMs = now
		n.server.SuspectReports.Add(1)
		n.server.sendToLeader(&rpc.Frame{SuspectReport: &rpc.SuspectReport{Service: n.Service, Host: n.ID, Refused: refused}})
	}
}

// recordPosition takes in where a host stands. As the primary's it is a sample only if it was asked under the lead that still
// holds; asked is when.
func (n *hostPool) recordPosition(pos wire.Position, asked policy.Tenth, lead uint64) (moment policy.Tenth, role policy.Role) {
	s := n.service
	if lead != 0 && lead == s.primary.ChangedAt && s.primary.Host == n.ID {
		s.positions.Add(asked, pos)
		return asked, policy.Primary
	}
	if moment, role = s.positions.UpToDateAsOf(pos), policy.Replica; s.primary.Host == n.ID && !s.primary.Revoked {
		role = policy.Primary // by the log: a lease that is over says nothing else
	}
	return moment, role
}

// releaseConn makes a connection idle, or gives it to a call that waits.
func (h *Server) releaseConn(k *hostConn) {
	n := k.pool
	k.statement, k.session = nil, nil
	if n.retired || k.closed {
		h.closeConn(k)
		return
	}
	for len(n.queued) > 0 {
		c := n.queued[0]
		n.queued = n.queued[1:]
		if c.dispatchOver {
			continue
		}
		h.prepareAndSend(k, c)
		return
	}
	k.idleSince = h.clock.Time()
	n.idle = append(n.idle, k)
}

// closeConn ends a connection; what it had open the host rolls back.
func (h *Server) closeConn(k *hostConn) {
	n := k.pool
	if !k.closed {
		k.closed = true
		k.out.close()
	}
	delete(n.conns, k)
	if i := slices.Index(n.idle, k); i >= 0 {
		n.idle = slices.Delete(n.idle, i, i+1)
	}
	n.dialForQueued()
}

// dialForQueued opens connections for what waits.
func (n *hostPool) dialForQueued() {
	for !n.retired && n.opening < len(n.queued) && len(n.conns)+n.opening < n.server.connShare(n).MaxConns() {
		n.dial()
	}
}

// connLost takes in that a connection has ended.
func (h *Server) connLost(k *hostConn) {
	if k.closed {
		h.closeConn(k)
		return
	}
	c, s := k.statement, k.session
	k.statement, k.session = nil, nil
	n := k.pool
	lost := n.service.primary.Host == n.ID
	h.closeConn(k)
	h.refreshPolicyTime()
	if lost {
		n.reportSuspect(false)
	}
	if s != nil {
		s.pinnedConnLost(c)
	}
	if c != nil && !c.dispatchOver {
		if c.sent {
			h.endDispatch(c, policy.Reset)
		} else {
			h.endDispatch(c, policy.Unreached)
		}
	}
}

// retire closes all of a host that left, or that is another by now.
func (n *hostPool) retire() {
	n.retired = true
	for _, k := range slices.Clone(n.idle) {
		n.server.closeConn(k)
	}
	for _, c := range slices.Clone(n.queued) {
		n.server.endDispatch(c, policy.Moot)
	}
}

// connsByAge are a host's connections, the oldest first: what is done to all is done in one order in each run of a seed.
func (n *hostPool) connsByAge() []*hostConn {
	return slices.SortedFunc(maps.Keys(n.conns), func(a, b *hostConn) int { return cmp.Compare(a.id, b.id) })
}

// drainExpired says that a host which leaves may be sent nothing more, whether it leads or not.
func (n *hostPool) drainExpired(now time.Time) bool {
	bound := settings.Duration(n.server.settings.Bounds.DrainMs)
	return n.Draining && bound > 0 && now.Sub(n.drainingSince) > max(bound/2, bound-1500*time.Millisecond)
}

// reportIfSilent has a primary that owes answers and gives none suspected.
func (n *hostPool) reportIfSilent(now time.Time) {
	if n.service.primary.Host != n.ID || n.service.primary.Revoked {
		return
	}
	for _, k := range n.connsByAge() {
		if c := k.statement; c != nil && c.sent && now.Sub(c.writtenAt) > silentPrimaryTimeout && n.lastResponseAt.Before(c.writtenAt) {
			n.reportSuspect(false)
			return
		}
	}
}

// endLostTransactions ends transactions whose answer counts as lost; what is kept of a COMMIT that writes is not known, so it is waited for.
func (n *hostPool) endLostTransactions(now policy.Tenth) {
	for _, k := range n.connsByAge() {
		c := k.statement
		if c == nil || !c.sent || c.step.Action != session.UsePinnedConn || c.step.Commit && c.session.MayHaveWritten || !n.lossDetector.Lost(c.sentAt, now) {
			continue
		}
		n.server.ResponsesLost.Add(1)
		k.statement, k.session = nil, nil
		n.server.closeConn(k)
		n.server.endDispatch(c, policy.TimedOut)
	}
}

// closeExcessIdle gives back connections that a host is to spare: over this router's share, or at rest for long.
func (n *hostPool) closeExcessIdle(now time.Time) {
	if len(n.idle) == 0 {
		return
	}
	share := n.server.connShare(n)
	for len(n.idle) > 0 {
		first := n.idle[0]
		if len(n.conns)+n.opening <= share.MaxConns() && now.Sub(first.idleSince).Milliseconds() <= share.IdleTimeoutMs(len(n.idle)-1) {
			return
		}
		n.server.closeConn(first)
	}
}
