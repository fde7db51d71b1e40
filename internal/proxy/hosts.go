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

// host is a database host, and this router's connections to it.
type host struct {
	statemachine.Host
	h        *Server
	node     *policy.Node
	service  *service
	idle     []*hostConn // the most recently used last
	all      map[*hostConn]struct{}
	opening  int
	waiting  []*call
	gone     bool
	line     lossdetect.Detector
	heardAt  time.Time // when it last answered anything
	told     int64     // when it was last told to be suspect
	drainAt  time.Time // when this router learned that it drains
	probing  bool      // the module waits for word of it
	listed   bool
	standing policy.Standing
}

// hostConn is a connection. All but its socket belongs to the owner.
type hostConn struct {
	host    *host
	out     nonblockingConn
	fixture session.ConnState
	call    *call          // whose statement is out, or is being made ready
	session *clientSession // whose transaction is open on it
	setup   int            // statements of the router's own that are not answered yet
	serial  uint64
	roll    bool // an ABORT of the router's own is out
	closed  bool
	since   time.Time // idle since
	opened  policy.Tenth
}

// take finds a connection for a call, or has one opened, or has the call wait.
func (n *host) take(c *call) {
	if k := n.pick(c.session); k != nil {
		n.h.run(k, c)
		return
	}
	n.waiting = append(n.waiting, c)
	if len(n.all)+n.opening < n.h.share(n).MaxConns() && n.opening < len(n.waiting) {
		n.open()
	}
}

// pick takes an idle connection out, first one that has the session's values, then one that has none.
func (n *host) pick(s *clientSession) *hostConn {
	best := -1
	for i := len(n.idle) - 1; i >= 0; i-- {
		k := n.idle[i]
		if k.fixture.Matches(&s.Session) {
			best = i
			break
		}
		if best < 0 || k.fixture.ValuesKey == "" {
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

// open dials, and says CONNECT with the id that is expected there: addresses are used again.
func (n *host) open() {
	h := n.h
	n.opening++
	h.Opened.Add(1)
	asked := h.moment()
	h.dial(n, asked, n.service.asLead(n, h))
}

// dialer opens a connection in a goroutine of its own, which reads from it from then on.
func (h *Server) dialer(n *host, asked policy.Tenth, lead uint64) {
	address, service, id := n.Address, n.Service, n.ID
	h.tasks.Go(func() {
		conn, err := rpc.Dial(h.ctx, h.plate.Ip, address, connectFor)
		k := &hostConn{host: n, opened: asked}
		var a wire.Response
		in := &lines{conn: conn}
		if err == nil {
			conn.SetDeadline(time.Now().Add(connectFor))
			if _, err = conn.Write(wire.AppendConnect(nil, service, "proxy", id)); err == nil {
				a, err = gather(in)
			}
			conn.SetDeadline(time.Time{})
			k.out = newBufferedConn(conn)
		}
		up := err == nil && a.Code == ""
		if !h.queue.Put(eventloop.PriorityOutcomes, func() { n.opened(k, a, err, lead) }) || !up {
			if conn != nil {
				conn.Close()
			}
			return
		}
		k.read(conn, in)
	})
}

// gather reads one answer.
func gather(in *lines) (a wire.Response, err error) {
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

// read is a connection's reading goroutine.
func (k *hostConn) read(conn net.Conn, in *lines) {
	h := k.host.h
	for {
		a, err := gather(in)
		at := time.Now()
		h.queue.Put(eventloop.PriorityOutcomes, func() {
			if err == nil {
				h.arrived(k, &a, at)
			}
			if err != nil {
				h.broken(k)
			}
		})
		if err != nil {
			conn.Close()
			return
		}
	}
}

// opened takes in how an opening ended. lead is what lead it was begun under.
func (n *host) opened(k *hostConn, a wire.Response, err error, lead uint64) {
	h := n.h
	n.opening--
	h.moment()
	if n.probing {
		n.probing = false
		defer func() { n.node.Probed(err == nil && a.Code == "") }()
	}
	if err != nil || a.Code != "" {
		h.Broken.Add(1)
		o, refused := policy.Unreached, errors.Is(err, syscall.ECONNREFUSED) || a.Code == wire.CodeWrongNode
		if a.Code == wire.CodeOverload || a.Code == wire.CodeRetry {
			o = policy.Full
			h.ConnsRefused.Add(1)
		} else {
			n.suspect(refused)
		}
		if len(n.all) == 0 || o != policy.Full { // what waits would wait for nothing
			for _, c := range slices.Clone(n.waiting) {
				h.outcome(c, o)
			}
		}
		return
	}
	if n.gone {
		k.closed = true
		k.out.close()
		return
	}
	h.serial++
	k.serial = h.serial
	n.all[k] = struct{}{}
	n.position(a.Position, k.opened, lead)
	h.free(k)
}

// suspect tells the control plane that a primary can't be reached, not too often.
func (n *host) suspect(refused bool) {
	if now := n.h.clock.Now(); n.service.lead.Host == n.ID && now > n.told+150 {
		n.told = now
		n.h.Suspects.Add(1)
		n.h.say(&rpc.Frame{SuspectReport: &rpc.SuspectReport{Service: n.Service, Host: n.ID, Refused: refused}})
	}
}

// position takes in where a host stands. As the primary's it is a sample only if it was asked under the lead that still
// holds; asked is when.
func (n *host) position(pos wire.Position, asked policy.Tenth, lead uint64) (moment policy.Tenth, role policy.Role) {
	s := n.service
	if lead != 0 && lead == s.lead.ChangedAt && s.lead.Host == n.ID {
		s.gauge.Add(asked, pos)
		return asked, policy.Primary
	}
	if moment, role = s.gauge.UpToDateAsOf(pos), policy.Replica; s.lead.Host == n.ID && !s.lead.Revoked {
		role = policy.Primary // by the log: a lease that is over says nothing else
	}
	return moment, role
}

// free makes a connection idle, or gives it to a call that waits.
func (h *Server) free(k *hostConn) {
	n := k.host
	k.call, k.session = nil, nil
	if n.gone || k.closed {
		h.close(k)
		return
	}
	for len(n.waiting) > 0 {
		c := n.waiting[0]
		n.waiting = n.waiting[1:]
		if c.over {
			continue
		}
		h.run(k, c)
		return
	}
	k.since = h.clock.Time()
	n.idle = append(n.idle, k)
}

// close ends a connection; what it had open the host rolls back.
func (h *Server) close(k *hostConn) {
	n := k.host
	if !k.closed {
		k.closed = true
		k.out.close()
	}
	delete(n.all, k)
	if i := slices.Index(n.idle, k); i >= 0 {
		n.idle = slices.Delete(n.idle, i, i+1)
	}
	n.refill()
}

// refill opens connections for what waits.
func (n *host) refill() {
	for !n.gone && n.opening < len(n.waiting) && len(n.all)+n.opening < n.h.share(n).MaxConns() {
		n.open()
	}
}

// broken takes in that a connection has ended.
func (h *Server) broken(k *hostConn) {
	if k.closed {
		h.close(k)
		return
	}
	c, s := k.call, k.session
	k.call, k.session = nil, nil
	n := k.host
	lost := n.service.lead.Host == n.ID
	h.close(k)
	h.moment()
	if lost {
		n.suspect(false)
	}
	if s != nil {
		s.dropped(c)
	}
	if c != nil && !c.over {
		if c.sent {
			h.outcome(c, policy.Reset)
		} else {
			h.outcome(c, policy.Unreached)
		}
	}
}

// retire closes all of a host that left, or that is another by now.
func (n *host) retire() {
	n.gone = true
	for _, k := range slices.Clone(n.idle) {
		n.h.close(k)
	}
	for _, c := range slices.Clone(n.waiting) {
		n.h.outcome(c, policy.Moot)
	}
}

// conns are a host's connections, the oldest first: what is done to all is done in one order in each run of a seed.
func (n *host) conns() []*hostConn {
	return slices.SortedFunc(maps.Keys(n.all), func(a, b *hostConn) int { return cmp.Compare(a.serial, b.serial) })
}

// drained says that a host which leaves may be sent nothing more, whether it leads or not.
func (n *host) drained(now time.Time) bool {
	bound := settings.Duration(n.h.plate.Bounds.DrainMs)
	return n.Draining && bound > 0 && now.Sub(n.drainAt) > max(bound/2, bound-1500*time.Millisecond)
}

// listen has a primary that owes answers and gives none suspected.
func (n *host) listen(now time.Time) {
	if n.service.lead.Host != n.ID || n.service.lead.Revoked {
		return
	}
	for _, k := range n.conns() {
		if c := k.call; c != nil && c.sent && now.Sub(c.wroteAt) > quietFor && n.heardAt.Before(c.wroteAt) {
			n.suspect(false)
			return
		}
	}
}

// miss ends transactions whose answer counts as lost; what is kept of a COMMIT that writes is not known, so it is waited for.
func (n *host) miss(now policy.Tenth) {
	for _, k := range n.conns() {
		c := k.call
		if c == nil || !c.sent || c.step.Action != session.UsePinnedConn || c.step.Commit && c.session.MayHaveWritten || !n.line.Lost(c.sentAt, now) {
			continue
		}
		n.h.Overdue.Add(1)
		k.call, k.session = nil, nil
		n.h.close(k)
		n.h.outcome(c, policy.TimedOut)
	}
}

// trim gives back connections that a host is to spare: over this router's share, or at rest for long.
func (n *host) trim(now time.Time) {
	if len(n.idle) == 0 {
		return
	}
	share := n.h.share(n)
	for len(n.idle) > 0 {
		first := n.idle[0]
		if len(n.all)+n.opening <= share.MaxConns() && now.Sub(first.since).Milliseconds() <= share.IdleTimeoutMs(len(n.idle)-1) {
			return
		}
		n.h.close(first)
	}
}
