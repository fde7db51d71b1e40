package control

import (
	"slices"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// maxWelcomeProxies is the number of other proxies that a ProxyWelcome names as initial gossip peers.
const maxWelcomeProxies = 5

// ProxyConn is the connection of a proxy.
type ProxyConn struct {
	node                string
	incarnation         uint64
	serial              uint64 // number in the order of acceptance
	remoteIP            string
	sentIndex           uint64 // index of the last log entry sent
	send                func(*rpc.Frame) bool
	closeConn           func()
	closed              bool
	registrationPending bool           // the change that adds the proxy to the state was proposed and has no result yet
	version             uint32         // protocol version that the proxy speaks
	snapshot            *proxySnapshot // snapshot transfer in progress, or nil
	snapshotQueued      bool           // the proxy waits for a snapshot transfer to start
	lagging             bool           // the proxy's queue refused an update: no further updates are sent until resumeUpdates
	digestIndex         uint64         // index of the newest digest sent to the proxy
}

// servedProxies is the set of proxies that this member serves.
type servedProxies struct {
	conns   map[*ProxyConn]struct{}
	ordered []*ProxyConn // in the order of acceptance, which makes simulations deterministic

	versions map[string]uint32 // by name: the protocol version of each proxy that has connected, also of those that are gone
}

func newServedProxies() servedProxies {
	return servedProxies{conns: map[*ProxyConn]struct{}{}, versions: map[string]uint32{}}
}

func (p *servedProxies) add(conn *ProxyConn) {
	p.conns[conn] = struct{}{}
	p.ordered = append(p.ordered, conn)
	p.versions[conn.node] = conn.version
}

// allSupport reports whether each of the named proxies speaks at least the given version of the protocol. A proxy that has never
// connected to this member holds no lease of it, and does not count.
func (p *servedProxies) allSupport(version uint32, names []string) bool {
	for _, name := range names {
		if spoken, connected := p.versions[name]; connected && spoken < version {
			return false
		}
	}
	return true
}

func (p *servedProxies) contains(conn *ProxyConn) bool {
	_, served := p.conns[conn]
	return served
}

// remove removes a proxy. It replaces the ordered list instead of changing it, because a caller may be iterating over it.
func (p *servedProxies) remove(conn *ProxyConn) {
	if !p.contains(conn) {
		return
	}
	delete(p.conns, conn)
	position := slices.Index(p.ordered, conn)
	p.ordered = slices.Concat(p.ordered[:position], p.ordered[position+1:])
}

func (c *ProxyConn) close() {
	if !c.closed {
		c.closed = true
		c.closeConn()
	}
}

// sendOrClose sends a frame, or closes the connection if the proxy does not read. A dropped frame would leave a gap in the
// proxy's log; after reconnecting, the proxy gets everything that it misses.
func (c *ProxyConn) sendOrClose(frame *rpc.Frame) {
	if !c.closed && !c.send(frame) {
		c.close()
	}
}

// sendUpdate sends a log update if it directly follows the last entry that was sent; otherwise it sends everything that is
// missing.
func (c *ProxyConn) sendUpdate(s *Server, update *rpc.LogUpdate) {
	if c.snapshot != nil || c.snapshotQueued || c.lagging {
		return
	}
	if update.Snapshot == nil && c.sentIndex+uint64(len(update.Entries)) != update.LastIndex {
		c.catchUp(s)
		return
	}
	c.trySendUpdate(s, update)
}

// trySendUpdate sends a log update. If the proxy's queue refuses it, the proxy is lagging: it gets everything that it misses when
// its queue is empty or when it requests its next lease. It neither loses its connection nor delays other proxies.
func (c *ProxyConn) trySendUpdate(s *Server, update *rpc.LogUpdate) {
	c.lagging = !c.closed && !c.send(&rpc.Frame{LogUpdate: update})
	if c.lagging {
		s.UpdatesDeferred.Add(1)
		return
	}
	c.sentIndex = update.LastIndex
}

// catchUp sends all missing entries, or a snapshot if the log no longer contains them. A proxy of a release without support for
// chunks gets the snapshot in one frame.
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
	c.trySendUpdate(s, update)
}

// ProxyQueueDrained reports that the queue of a proxy that refused an update is empty again.
func (s *Server) ProxyQueueDrained(conn *ProxyConn) {
	if s.proxies.contains(conn) {
		conn.resumeUpdates(s)
	}
}

// resumeUpdates sends a lagging proxy everything that it misses.
func (c *ProxyConn) resumeUpdates(s *Server) {
	if c.lagging && c.snapshot == nil && !c.snapshotQueued {
		c.lagging = false
		c.catchUp(s)
	}
}

// AcceptProxy welcomes a proxy and, if this member holds the leader lease, serves it until it is disconnected. send must not
// block; it returns false if the queue to the proxy does not accept the frame. closeConn is called at most once;
// ProxyDisconnected must follow.
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
	conn.sendOrClose(&rpc.Frame{Version: s.protocolVersion, ProxyWelcome: welcome})
	if welcome.IsLeader {
		s.proxies.add(conn)
		s.recordAcknowledged(hello.Acknowledged)
		s.grantor.Observe(hello.Node, hello.Incarnation, hello.AppliedIndex, s.clock.Now())
		conn.catchUp(s)
	}
	return conn
}

// HandleProxyFrame processes a frame from a proxy. It ignores frames from proxies that this member no longer serves.
func (s *Server) HandleProxyFrame(conn *ProxyConn, frame *rpc.Frame) {
	if !s.proxies.contains(conn) {
		return
	}
	switch {
	case frame.LeaseRequest != nil:
		conn.resumeUpdates(s)
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

// ProxyDisconnected reports that the connection of a proxy was closed.
func (s *Server) ProxyDisconnected(conn *ProxyConn) {
	s.proxies.remove(conn)
	conn.close()
	s.startTransfers() // the closed connection may have occupied one of the concurrent snapshot transfers
}

// handleSuspectReport passes a proxy's report that it cannot reach a primary to the failover coordinator. Reports about a host that
// is no longer the primary are ignored.
func (s *Server) handleSuspectReport(conn *ProxyConn, report *rpc.SuspectReport) {
	if s.leading && s.state.Primaries[report.Service].Host == report.Host {
		s.coordinator.SuspectPrimary(conn.node, report.Service, report.Host, s.clock.Now())
		s.handleFailoverEvents()
	}
}

// renewLease responds to a proxy's lease request. It grants the lease if this member holds the leader lease and the proxy has
// applied the latest revocation of a primary. A proxy that is not in the replicated state is registered first.
func (s *Server) renewLease(conn *ProxyConn, request *rpc.LeaseRequest) {
	s.recordAcknowledged(request.Acknowledged)
	if _, known := s.state.Proxies[conn.node]; !known && s.leading {
		s.registerProxy(conn, request)
		return
	}
	now := s.clock.Now()
	response := &rpc.LeaseResponse{Serial: request.Serial, Granted: s.holdsLease(), CommitIndex: s.state.Index}
	switch {
	case response.Granted && !s.grantor.Grant(conn.node, conn.incarnation, request.AppliedIndex, s.state.LatestRevocation(), now):
		s.LeasesPostponed.Add(1) // the proxy retries once it has applied the update in flight
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
	conn.sendOrClose(&rpc.Frame{LeaseResponse: response})
	if s.leading {
		s.handleFailoverEvents()
	}
}

// recordAcknowledged passes a proxy's report about writes that revoked primaries acknowledged to the failover coordinator. It comes
// with the index that the proxy has applied, so it is known before the failover may regard the proxy as caught up.
func (s *Server) recordAcknowledged(positions []rpc.AcknowledgedPosition) {
	if !s.leading {
		return
	}
	for _, reported := range positions {
		if s.state.Primaries[reported.Service].Revoked {
			s.coordinator.Acknowledged(reported.Service, reported.RevocationIndex, failover.AcknowledgedWrites{
				AtLeast: wire.Position{Timeline: reported.Term, Number: reported.Number},
				AtMost:  wire.Position{Timeline: reported.UnconfirmedTerm, Number: reported.UnconfirmedNumber},
			})
		}
	}
}

// postponeLease tells a proxy to stay connected although it gets no lease yet: a proxy disconnects from a silent member.
func (c *ProxyConn) postponeLease(request *rpc.LeaseRequest) {
	if c.version >= rpc.VersionPayloads {
		c.sendOrClose(&rpc.Frame{LeaseResponse: &rpc.LeaseResponse{Serial: request.Serial, Postponed: true}})
	}
}

// registerProxy adds a proxy to the replicated state before granting its first lease, because a new leader must know which leases
// it has to wait for.
func (s *Server) registerProxy(conn *ProxyConn, request *rpc.LeaseRequest) {
	conn.postponeLease(request)
	if conn.registrationPending {
		return
	}
	conn.registrationPending = true
	change := statemachine.Change{UpdateProxy: &statemachine.ProxyMembership{Name: conn.node}}
	s.propose(change, func(err error) {
		conn.registrationPending = false
		if err == nil && !conn.closed {
			s.renewLease(conn, request)
		}
	})
}
