package proxy

import (
	"ferrypitch/internal/control"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
)

const (
	// reconnectDelay is how long a proxy waits before it connects to the next member.
	reconnectDelay = 60 * millisecond

	// closeNoticeDelay is how long a member takes to notice that a connection was closed.
	closeNoticeDelay = 2 * millisecond

	renewInterval = 300 * millisecond
)

// memberConn is a connection between a proxy and a member, with the state of both ends.
type memberConn struct {
	id                int // number in the order of opening
	proxy             *proxyProcess
	proxyIncarnation  int
	member            *member
	memberIncarnation int

	proxyConn      *control.ProxyConn // the member's handle of the connection; nil until the member has received the hello
	welcomed       bool               // the member has welcomed the proxy and is the leader
	closed         bool
	broken         bool  // a partition broke it: frames that should have arrived during the partition, and all later ones, are lost
	lastReceivedAt int64 // time at which the proxy last received a frame

	lastSerial  uint64
	requestedAt map[uint64]int64 // send times of lease requests by serial, in milliseconds of the proxy's clock

	// Frames arrive in order in each direction, except that lease responses may overtake log updates on the way to a proxy whose
	// protocol version supports it.
	lastArrivalAtMember int64
	lastArrivalAtProxy  int64
	lastLeaseAtProxy    int64
}

// connectToNextMember connects a proxy to the members in turn.
func (p *proxyProcess) connectToNextMember(incarnation int) {
	if !p.up || p.incarnation != incarnation {
		return
	}
	p.nextMember++
	p.connectTo(incarnation, p.sim.cluster.members[p.nextMember%clusterSize])
}

func (p *proxyProcess) connectTo(incarnation int, m *member) {
	sim := p.sim
	sim.cluster.connCount++
	conn := &memberConn{
		id:                sim.cluster.connCount,
		proxy:             p,
		proxyIncarnation:  incarnation,
		member:            m,
		memberIncarnation: m.Incarnation(),
		lastReceivedAt:    sim.Now,
		requestedAt:       map[uint64]int64{},
	}
	p.memberConn = conn
	if !m.Running() || p.partitioned {
		sim.After(200*millisecond, conn.close)
		return
	}
	hello := &rpc.ProxyHello{}
	p.run(incarnation, func(server *Server) { hello = server.newHello() })
	hello.Node, hello.Incarnation, hello.Zone, hello.Version = p.name, uint64(incarnation), "z", sim.cluster.proxyVersion
	m.conns[conn] = true
	conn.sendToMember(func() {
		conn.proxyConn = m.server.AcceptProxy(hello, p.name, conn.sendToProxy, func() { sim.After(closeNoticeDelay, conn.close) })
	})
	conn.checkSilence()
}

// sendToMember calls do at the member after the network delay.
func (c *memberConn) sendToMember(do func()) {
	sim := c.proxy.sim
	c.lastArrivalAtMember = max(c.lastArrivalAtMember+1, sim.Now+sim.Between(millisecond/2, 3*millisecond))
	sim.After(c.lastArrivalAtMember-sim.Now, func() {
		if c.canDeliver() {
			c.member.Run(c.memberIncarnation, do)
		}
	})
}

// sendToProxy delivers a frame of the member to the proxy after the network delay.
func (c *memberConn) sendToProxy(frame *rpc.Frame) bool {
	sim := c.proxy.sim
	last := &c.lastArrivalAtProxy
	if frame.LeaseResponse != nil && sim.cluster.proxyVersion >= rpc.VersionPayloads {
		last = &c.lastLeaseAtProxy
	}
	*last = max(*last+1, sim.Now+sim.Between(millisecond/2, 3*millisecond))
	sim.After(*last-sim.Now, func() {
		if c.canDeliver() {
			c.proxy.run(c.proxyIncarnation, func(server *Server) { c.receive(server, frame) })
		}
	})
	return true
}

// canDeliver reports whether a frame that is due now arrives. A partition breaks the connection: later frames are lost, too.
func (c *memberConn) canDeliver() bool {
	c.broken = c.broken || c.proxy.partitioned
	return !c.closed && !c.broken
}

// receive handles a frame as controlLink does.
func (c *memberConn) receive(server *Server, frame *rpc.Frame) {
	if c.closed {
		return
	}
	sim := c.proxy.sim
	c.lastReceivedAt = sim.Now
	switch {
	case frame.ProxyWelcome != nil && !frame.ProxyWelcome.IsLeader:
		c.followRedirect(frame.ProxyWelcome.Leader)
	case frame.ProxyWelcome != nil:
		c.welcomed = true
		server.setLender(min(sim.cluster.proxyVersion, rpc.PeerVersion(frame.Version)))
		sim.After(1, c.renewPeriodically)
	case frame.LogUpdate != nil:
		if server.applyLogUpdate(frame.LogUpdate) != nil {
			c.close()
			return
		}
		server.reportRevocationApplied()
	case frame.SnapshotChunk != nil:
		c.receiveChunk(server, frame.SnapshotChunk)
	case frame.QuotaResponse != nil:
		server.handleQuotaResponse(frame.QuotaResponse)
	case frame.LeaseResponse != nil && frame.LeaseResponse.Postponed:
	case frame.LeaseResponse != nil && !frame.LeaseResponse.Granted:
		sim.After(1, c.close)
	case frame.LeaseResponse != nil:
		requestedAt := c.requestedAt[frame.LeaseResponse.Serial]
		delete(c.requestedAt, frame.LeaseResponse.Serial)
		if server.checkDigest(frame.LeaseResponse) != nil {
			c.close()
			return
		}
		server.handleLeaseGrant(frame.LeaseResponse, requestedAt)
	}
}

func (c *memberConn) receiveChunk(server *Server, chunk *rpc.SnapshotChunk) {
	ack, err := server.handleSnapshotChunk(chunk)
	if err != nil {
		c.proxy.sim.RecordViolation("STATE: %s refuses a chunk: %v", c.proxy.name, err)
		c.close()
		return
	}
	c.sendToMember(func() { c.member.server.HandleProxyFrame(c.proxyConn, &rpc.Frame{ChunkAck: ack}) })
}

// followRedirect closes the connection and connects the proxy to the leader that the member named, or to the next member if it
// named none.
func (c *memberConn) followRedirect(leader string) {
	sim, proxy := c.proxy.sim, c.proxy
	c.closed = true
	delete(c.member.conns, c)
	for _, m := range sim.cluster.members {
		if m.ip == leader {
			sim.After(1, func() { proxy.connectTo(c.proxyIncarnation, m) })
			return
		}
	}
	sim.After(reconnectDelay, func() { proxy.connectToNextMember(c.proxyIncarnation) })
}

// close closes the connection at both ends. The proxy then connects to the next member.
func (c *memberConn) close() {
	if c.closed {
		return
	}
	sim, m := c.proxy.sim, c.member
	c.closed = true
	delete(m.conns, c)
	if handle := c.proxyConn; handle != nil {
		sim.After(closeNoticeDelay, func() {
			m.Run(c.memberIncarnation, func() { m.server.ProxyDisconnected(handle) })
		})
	}
	sim.After(reconnectDelay, func() { c.proxy.connectToNextMember(c.proxyIncarnation) })
}

// checkSilence closes the connection when the proxy has received nothing for controlSilenceTimeout.
func (c *memberConn) checkSilence() {
	sim := c.proxy.sim
	limit := controlSilenceTimeout.Milliseconds() * millisecond
	sim.After(20*millisecond, func() {
		switch {
		case c.closed:
		case sim.Now > c.lastReceivedAt+limit && sim.Now > c.proxy.frozenUntil:
			c.close()
		default:
			c.checkSilence()
		}
	})
}

func (c *memberConn) renewPeriodically() {
	if !c.closed && c.proxy.up && c.proxy.incarnation == c.proxyIncarnation {
		c.renewLease()
		c.proxy.sim.After(renewInterval, c.renewPeriodically)
	}
}

func (c *memberConn) renewLease() {
	c.proxy.run(c.proxyIncarnation, func(server *Server) {
		c.lastSerial++
		request := server.newLeaseRequest(c.lastSerial)
		c.requestedAt[c.lastSerial] = server.clock.Now()
		c.sendToMember(func() { c.member.server.HandleProxyFrame(c.proxyConn, &rpc.Frame{LeaseRequest: request}) })
	})
}

// memberLink is the leaderLink of a proxy in a simulation with a controlCluster.
type memberLink struct{ proxy *proxyProcess }

func (l memberLink) renewLease() {
	if conn := l.proxy.memberConn; conn.connectedToLeader() {
		l.proxy.sim.After(0, conn.renewLease)
	}
}

func (l memberLink) requestQuota(request *quota.Request) {
	if conn := l.proxy.memberConn; conn.connectedToLeader() {
		conn.sendToMember(func() {
			conn.member.server.HandleProxyFrame(conn.proxyConn, &rpc.Frame{QuotaRequest: request})
		})
	}
}

func (l memberLink) reportSuspect(report *rpc.SuspectReport) {
	if conn := l.proxy.memberConn; conn.connectedToLeader() {
		conn.sendToMember(func() {
			conn.member.server.HandleProxyFrame(conn.proxyConn, &rpc.Frame{SuspectReport: report})
		})
	}
}

// connectedToLeader reports whether the connection is open and its member is the leader. c may be nil.
func (c *memberConn) connectedToLeader() bool { return c != nil && !c.closed && c.welcomed }
