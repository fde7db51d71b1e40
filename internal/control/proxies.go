package control

import (
	"slices"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// maxWelcomeProxies is how many other proxies a ProxyWelcome names as first contacts for gossip.
const maxWelcomeProxies = 5

// ProxyConn is the connection of a proxy.
type ProxyConn struct {
	node           string
	incarnation    uint64
	serial         uint64 // in the order of acceptance
	remoteIP       string
	sentIndex      uint64 // of the last log entry that was sent
	send           func(*rpc.Frame) bool
	closeConn      func()
	closed         bool
	registering    bool           // the change that adds the proxy to the state is proposed
	version        uint32         // of the protocol that the proxy speaks
	snapshot       *proxySnapshot // that it is receiving; nil: none
	awaitsSnapshot bool           // it has asked for one, and its turn has not come
	behind         bool           // it reads more slowly than the log grows: updates wait until its next lease request
	digestIndex    uint64         // of the newest digest that it was sent
}

// servedProxies are the proxies that this member serves.
type servedProxies struct {
	members map[*ProxyConn]struct{}
	ordered []*ProxyConn // in the order of acceptance, so that a simulation repeats exactly
}

func newServedProxies() servedProxies { return servedProxies{members: map[*ProxyConn]struct{}{}} }

func (p *servedProxies) add(conn *ProxyConn) {
	p.members[conn] = struct{}{}
	p.ordered = append(p.ordered, conn)
}

func (p *servedProxies) serves(conn *ProxyConn) bool {
	_, served := p.members[conn]
	return served
}

// remove makes a new list, since the old one may be gone through.
func (p *servedProxies) remove(conn *ProxyConn) {
	if !p.serves(conn) {
		return
	}
	delete(p.members, conn)
	place := slices.Index(p.ordered, conn)
	p.ordered = slices.Concat(p.ordered[:place], p.ordered[place+1:])
}

func (c *ProxyConn) close() {
	if !c.closed {
		c.closed = true
		c.closeConn()
	}
}

// deliver sends a frame. It closes the connection of a proxy that does not read: a frame left out would be a gap in its log, and
// once it reconnects it gets all that it lacks.
func (c *ProxyConn) deliver(frame *rpc.Frame) {
	if !c.closed && !c.send(frame) {
		c.close()
	}
}

// sendUpdate sends an update of the log if it continues what was sent before, else all that is missing.
func (c *ProxyConn) sendUpdate(s *Server, update *rpc.LogUpdate) {
	if c.snapshot != nil || c.awaitsSnapshot || c.behind {
		return
	}
	if update.Snapshot == nil && c.sentIndex+uint64(len(update.Entries)) != update.LastIndex {
		c.catchUp(s)
		return
	}
	c.deliverUpdate(s, update)
}

// deliverUpdate sends an update of the log. A proxy that does not take it is behind: it gets what it misses at once when its
// queue is empty, or when it asks for its next lease. It neither loses its link nor keeps others waiting.
func (c *ProxyConn) deliverUpdate(s *Server, update *rpc.LogUpdate) {
	c.behind = !c.closed && !c.send(&rpc.Frame{LogUpdate: update})
	if c.behind {
		s.UpdatesDeferred.Add(1)
		return
	}
	c.sentIndex = update.LastIndex
}

// catchUp sends all entries that are missing, or a snapshot where the log no longer has them. A proxy of a release before chunks
// gets the snapshot in one frame.
func (c *ProxyConn) catchUp(s *Server) {
	update := &rpc.LogUpdate{Members: s.memberAddresses(), LastIndex: s.state.Index}
	entries, ok := s.consensus.CommittedAfter(c.sentIndex)
	switch {
	case ok && c.sentIndex > 0 && c.sentIndex <= s.state.Index:
		update.Entries = entries
	case c.version >= rpc.VersionDigestsAndChunks:
		s.requestSnapshot(c)
		return
	default:
		update.Snapshot = s.state.Snapshot()
	}
	c.deliverUpdate(s, update)
}

// ProxyDrained reports that a proxy which did not take an update has been sent all that waited for it.
func (s *Server) ProxyDrained(conn *ProxyConn) {
	if s.proxies.serves(conn) {
		conn.resume(s)
	}
}

// resume sends a proxy that was behind what it misses.
func (c *ProxyConn) resume(s *Server) {
	if c.behind && c.snapshot == nil && !c.awaitsSnapshot {
		c.behind = false
		c.catchUp(s)
	}
}

// AcceptProxy welcomes a proxy, and serves it from then on if this member leads. send must not block; it returns false if the
// proxy does not read what it is sent. closeConn is called at most once; ProxyDisconnected must follow.
func (s *Server) AcceptProxy(hello *rpc.ProxyHello, remoteIP string, send func(*rpc.Frame) bool, closeConn func()) *ProxyConn {
	s.proxiesAccepted++
	conn := &ProxyConn{
		node:        hello.Node,
		incarnation: hello.Incarnation,
		serial:      s.proxiesAccepted,
		remoteIP:    remoteIP,
		sentIndex:   hello.AppliedIndex,
		version:     rpc.PeerVersion(hello.Version),
		send:        send,
		closeConn:   closeConn,
	}
	welcome := &rpc.ProxyWelcome{Node: s.settings.Node, IsLeader: s.holdsLease(), Members: s.memberAddresses()}
	if leader := s.consensus.RecentLeader(s.clock.Now()); leader != "" && leader != s.id {
		welcome.Leader = leader.Address()
	}
	others := s.proxies.ordered
	for _, other := range others[:min(len(others), maxWelcomeProxies)] {
		welcome.Proxies = append(welcome.Proxies, other.remoteIP)
	}
	conn.deliver(&rpc.Frame{Version: s.protocolVersion, ProxyWelcome: welcome})
	if welcome.IsLeader {
		s.proxies.add(conn)
		s.grantor.Observe(hello.Node, hello.Incarnation, hello.AppliedIndex, s.clock.Now())
		conn.catchUp(s)
	}
	return conn
}

// HandleProxyFrame processes a frame of a proxy. It ignores those of proxies that are not served here any more.
func (s *Server) HandleProxyFrame(conn *ProxyConn, frame *rpc.Frame) {
	if !s.proxies.serves(conn) {
		return
	}
	switch {
	case frame.LeaseRequest != nil:
		conn.resume(s)
		s.renewLease(conn, frame.LeaseRequest)
	case frame.SuspectReport != nil:
		s.handleSuspectReport(conn, frame.SuspectReport)
	case frame.ChunkAck != nil:
		s.handleChunkAck(conn, frame.ChunkAck)
	case frame.QuotaRequest != nil:
		s.handleQuotaRequest(conn, frame.QuotaRequest)
	default:
		s.discard(frameUnknown)
	}
}

// ProxyDisconnected reports that a proxy's connection has ended.
func (s *Server) ProxyDisconnected(conn *ProxyConn) {
	s.proxies.remove(conn)
	conn.close()
	s.startTransfers() // the next in turn may have waited for this one's snapshot
}

func (s *Server) handleSuspectReport(conn *ProxyConn, report *rpc.SuspectReport) {
	if s.leading && s.state.Primaries[report.Service].Host == report.Host {
		s.coordinator.SuspectPrimary(conn.node, report.Service, report.Host, s.clock.Now())
		s.handleFailoverEvents()
	}
}

// renewLease grants a lease if this member holds the leader's.
func (s *Server) renewLease(conn *ProxyConn, request *rpc.LeaseRequest) {
	if _, known := s.state.Proxies[conn.node]; !known && s.leading {
		s.registerProxy(conn, request)
		return
	}
	now := s.clock.Now()
	response := &rpc.LeaseResponse{Serial: request.Serial, Granted: s.holdsLease(), CommitIndex: s.state.Index}
	switch {
	case response.Granted && !s.grantor.Grant(conn.node, conn.incarnation, request.AppliedIndex, s.state.LatestRevocation(), now):
		s.LeasesPostponed.Add(1) // it asks again once it has applied the update that is on its way
		conn.postponeLease(request)
		s.handleFailoverEvents()
		return
	case response.Granted:
		s.LeasesGranted.Add(1)
		response.ProxyCount = s.grantor.HolderCount(now)
		response.Digest = s.newDigestFor(conn)
	default:
		s.LeasesRejected.Add(1)
		if s.grantor != nil {
			s.grantor.Observe(conn.node, conn.incarnation, request.AppliedIndex, now)
		}
	}
	conn.deliver(&rpc.Frame{LeaseResponse: response})
	if s.leading {
		s.handleFailoverEvents()
	}
}

// postponeLease tells a proxy to stay although it gets no lease yet: a member that says nothing is left.
func (c *ProxyConn) postponeLease(request *rpc.LeaseRequest) {
	if c.version >= rpc.VersionPayloads {
		c.deliver(&rpc.Frame{LeaseResponse: &rpc.LeaseResponse{Serial: request.Serial, Postponed: true}})
	}
}

// registerProxy adds a proxy to the state before it gets its first lease: the next leader must wait for its lease to expire.
func (s *Server) registerProxy(conn *ProxyConn, request *rpc.LeaseRequest) {
	conn.postponeLease(request)
	if conn.registering {
		return
	}
	conn.registering = true
	change := statemachine.Change{UpdateProxy: &statemachine.ProxyMembership{Name: conn.node}}
	s.propose(change, func(err error) {
		conn.registering = false
		if err == nil && !conn.closed {
			s.renewLease(conn, request)
		}
	})
}
