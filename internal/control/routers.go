package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
)

const connReadTimeout = 4 * time.Second // a connection that says nothing for so long is given up

// ProxyConn is the connection of one, as its member's owner sees it.
type ProxyConn struct {
	node        string
	incarnation uint64
	serial      uint64 // by when it came
	remote      string
	sentIndex   uint64                // sent up to here
	send        func(*rpc.Frame) bool // false: it does not read
	closeConn   func()
	closed      bool

	registering bool // the change that brings it is under way
}

// sortedProxies are the routers in the order in which they came, so that a member does the same each time it is given the same.
func (f *Server) sortedProxies() []*ProxyConn {
	return slices.SortedFunc(maps.Keys(f.proxies), func(a, b *ProxyConn) int { return cmp.Compare(a.serial, b.serial) })
}

func (r *ProxyConn) close() {
	if !r.closed {
		r.closed = true
		r.closeConn()
	}
}

// deliver sends a frame; a router that does not read is left.
func (r *ProxyConn) deliver(f *rpc.Frame) {
	if !r.closed && !r.send(f) {
		r.close()
	}
}

func (r *ProxyConn) sendUpdate(f *Server, n *rpc.LogUpdate) {
	if n.Snapshot == nil && r.sentIndex+uint64(len(n.Entries)) != n.LastIndex {
		r.catchUp(f)
		return
	}
	r.sentIndex = n.LastIndex
	r.deliver(&rpc.Frame{LogUpdate: n})
}

// catchUp sends what is missing, or a snapshot.
func (r *ProxyConn) catchUp(f *Server) {
	n := &rpc.LogUpdate{Members: f.memberAddresses(), LastIndex: f.state.Index}
	if bodies, ok := f.consensus.CommittedAfter(r.sentIndex); ok && r.sentIndex > 0 && r.sentIndex <= f.state.Index {
		n.Entries = bodies
	} else {
		n.Snapshot = f.state.Snapshot()
	}
	r.sentIndex = n.LastIndex
	r.deliver(&rpc.Frame{LogUpdate: n})
}

// serveConn takes a connection of a member or of a router.
func (f *Server) serveConn(c *rpc.Conn) {
	first, err := c.Receive(connReadTimeout)
	if err != nil {
		return
	}
	if first.ProxyHello != nil {
		f.serveProxy(c, first.ProxyHello)
		return
	}
	for frame := first; err == nil; frame, err = c.Receive(time.Hour) {
		rank := eventloop.PriorityOutcomes
		if frame.ForwardRequest != nil {
			rank = eventloop.PriorityCommands
		}
		f.queue.Put(rank, func() { f.HandleFrame(c.RemoteIP(), frame) })
	}
}

// HandleFrame takes in a frame of another member, from the address that its connection came from.
func (f *Server) HandleFrame(from string, frame *rpc.Frame) {
	switch {
	case frame.Consensus != nil && frame.Consensus.From.Address() != from:
		f.discard(messageWrongSender)
	case frame.Consensus != nil:
		f.carryOut(f.consensus.Step(*frame.Consensus, f.clock.Now()))
	case frame.ForwardRequest != nil:
		f.handleForwardRequest(from, frame.ForwardRequest)
	case frame.ForwardResponse != nil:
		f.handleForwardResponse(from, frame.ForwardResponse)
	}
}

// serveProxy serves one until its connection ends.
func (f *Server) serveProxy(c *rpc.Conn, h *rpc.ProxyHello) {
	out, closed := make(chan *rpc.Frame, 256), make(chan struct{})
	send := func(frame *rpc.Frame) bool {
		select {
		case out <- frame:
			return true
		default:
			return false
		}
	}
	taken := make(chan *ProxyConn, 1)
	var r *ProxyConn
	if !f.queue.Put(eventloop.PriorityLists, func() {
		taken <- f.AcceptProxy(h, c.RemoteIP(), send, func() { close(closed); c.Close() })
	}) {
		return
	}
	go func() { // ends with the connection
		for {
			select {
			case <-closed:
				return
			case frame := <-out:
				if c.Send(frame, 2*time.Second) != nil {
					c.Close()
					return
				}
			}
		}
	}()
	select {
	case r = <-taken:
	case <-f.queue.Ended:
		return
	}
	for {
		frame, err := c.Receive(connReadTimeout)
		if err != nil {
			break
		}
		f.queue.Put(eventloop.PriorityLists, func() { f.HandleProxyFrame(r, frame) })
	}
	f.queue.Put(eventloop.PriorityLists, func() { f.ProxyDisconnected(r) })
}

// AcceptProxy greets a router, and serves it if this member leads. send never waits.
func (f *Server) AcceptProxy(h *rpc.ProxyHello, remote string, send func(*rpc.Frame) bool, shut func()) *ProxyConn {
	f.proxiesAccepted++
	r := &ProxyConn{node: h.Node, incarnation: h.Incarnation, serial: f.proxiesAccepted, remote: remote, sentIndex: h.AppliedIndex, send: send, closeConn: shut}
	w := &rpc.ProxyWelcome{Node: f.settings.Node, IsLeader: f.leading && f.consensus.HoldsLease(f.clock.Now()), Members: f.memberAddresses()}
	if l := f.consensus.RecentLeader(f.clock.Now()); l != "" && l != f.id {
		w.Leader = l.Address()
	}
	for _, other := range f.sortedProxies() {
		if len(w.Proxies) < 5 {
			w.Proxies = append(w.Proxies, other.remote)
		}
	}
	r.deliver(&rpc.Frame{ProxyWelcome: w})
	if w.IsLeader {
		f.proxies[r] = struct{}{}
		f.grantor.Observe(h.Node, h.Incarnation, h.AppliedIndex, f.clock.Now())
		r.catchUp(f)
	}
	return r
}

// HandleProxyFrame takes in a router's frame.
func (f *Server) HandleProxyFrame(r *ProxyConn, frame *rpc.Frame) {
	if _, served := f.proxies[r]; !served {
		return
	}
	switch {
	case frame.LeaseRequest != nil:
		f.renewLease(r, frame.LeaseRequest)
	case frame.SuspectReport != nil:
		if s := frame.SuspectReport; f.leading && f.state.Primaries[s.Service].Host == s.Host {
			f.coordinator.SuspectPrimary(r.node, s.Service, s.Host, f.clock.Now())
			f.runFailover()
		}
	}
}

// ProxyDisconnected takes in that a router's connection has ended.
func (f *Server) ProxyDisconnected(r *ProxyConn) {
	delete(f.proxies, r)
	r.close()
}

// renewLease grants a lease, for as long as this member's view holds.
func (f *Server) renewLease(r *ProxyConn, n *rpc.LeaseRequest) {
	now := f.clock.Now()
	if _, known := f.state.Proxies[r.node]; !known && f.leading {
		if !r.registering { // the next member that leads is to know of it, before it holds a lease
			r.registering = true
			f.propose(statemachine.Change{Proxy: &statemachine.ProxyMembership{Node: r.node}}, func(err error) {
				if r.registering = false; err == nil && !r.closed {
					f.renewLease(r, n)
				}
			})
		}
		return
	}
	l := &rpc.LeaseResponse{Serial: n.Serial, Granted: f.leading && f.consensus.HoldsLease(now), CommitIndex: f.state.Index}
	switch {
	case l.Granted && !f.grantor.Grant(r.node, r.incarnation, n.AppliedIndex, f.state.LatestRevocation(), now):
		f.LeasesPostponed.Add(1) // it asks again once it has applied the news that is on its way
		f.runFailover()
		return
	case l.Granted:
		f.LeasesGranted.Add(1)
		l.ProxyCount = f.grantor.HolderCount(now)
	default:
		f.LeasesRejected.Add(1)
		if f.grantor != nil {
			f.grantor.Observe(r.node, r.incarnation, n.AppliedIndex, now)
		}
	}
	r.deliver(&rpc.Frame{LeaseResponse: l})
	if f.leading {
		f.runFailover()
	}
}
