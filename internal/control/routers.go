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

const quiet = 4 * time.Second // a connection that says nothing for so long is given up

// ProxyConn is the connection of one, as its member's owner sees it.
type ProxyConn struct {
	node   string
	life   uint64
	serial uint64 // by when it came
	remote string
	index  uint64                // sent up to here
	send   func(*rpc.Frame) bool // false: it does not read
	shut   func()
	over   bool

	entering bool // the change that brings it is under way
}

// served are the routers in the order in which they came, so that a member does the same each time it is given the same.
func (f *Server) served() []*ProxyConn {
	return slices.SortedFunc(maps.Keys(f.routers), func(a, b *ProxyConn) int { return cmp.Compare(a.serial, b.serial) })
}

func (r *ProxyConn) close() {
	if !r.over {
		r.over = true
		r.shut()
	}
}

// put sends a frame; a router that does not read is left.
func (r *ProxyConn) put(f *rpc.Frame) {
	if !r.over && !r.send(f) {
		r.close()
	}
}

func (r *ProxyConn) news(f *Server, n *rpc.LogUpdate) {
	if n.Snapshot == nil && r.index+uint64(len(n.Entries)) != n.LastIndex {
		r.catchUp(f)
		return
	}
	r.index = n.LastIndex
	r.put(&rpc.Frame{LogUpdate: n})
}

// catchUp sends what is missing, or a snapshot.
func (r *ProxyConn) catchUp(f *Server) {
	n := &rpc.LogUpdate{Members: f.members(), LastIndex: f.state.Index}
	if bodies, ok := f.core.CommittedAfter(r.index); ok && r.index > 0 && r.index <= f.state.Index {
		n.Entries = bodies
	} else {
		n.Snapshot = f.state.Snapshot()
	}
	r.index = n.LastIndex
	r.put(&rpc.Frame{LogUpdate: n})
}

// accept takes a connection of a member or of a router.
func (f *Server) accept(c *rpc.Conn) {
	first, err := c.Receive(quiet)
	if err != nil {
		return
	}
	if first.ProxyHello != nil {
		f.serveRouter(c, first.ProxyHello)
		return
	}
	for frame := first; err == nil; frame, err = c.Receive(time.Hour) {
		rank := eventloop.PriorityOutcomes
		if frame.ForwardRequest != nil {
			rank = eventloop.PriorityCommands
		}
		f.queue.Put(rank, func() { f.HandleFrame(c.Remote(), frame) })
	}
}

// HandleFrame takes in a frame of another member, from the address that its connection came from.
func (f *Server) HandleFrame(from string, frame *rpc.Frame) {
	switch {
	case frame.Consensus != nil && frame.Consensus.From.Address() != from:
		f.ignored(messageAstray)
	case frame.Consensus != nil:
		f.carry(f.core.Step(*frame.Consensus, f.clock.Now()))
	case frame.ForwardRequest != nil:
		f.asked(from, frame.ForwardRequest)
	case frame.ForwardResponse != nil:
		f.answered(from, frame.ForwardResponse)
	}
}

// serveRouter serves one until its connection ends.
func (f *Server) serveRouter(c *rpc.Conn, h *rpc.ProxyHello) {
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
		taken <- f.AcceptProxy(h, c.Remote(), send, func() { close(closed); c.Close() })
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
		frame, err := c.Receive(quiet)
		if err != nil {
			break
		}
		f.queue.Put(eventloop.PriorityLists, func() { f.HandleProxyFrame(r, frame) })
	}
	f.queue.Put(eventloop.PriorityLists, func() { f.ProxyDisconnected(r) })
}

// AcceptProxy greets a router, and serves it if this member leads. send never waits.
func (f *Server) AcceptProxy(h *rpc.ProxyHello, remote string, send func(*rpc.Frame) bool, shut func()) *ProxyConn {
	f.met++
	r := &ProxyConn{node: h.Node, life: h.Incarnation, serial: f.met, remote: remote, index: h.AppliedIndex, send: send, shut: shut}
	w := &rpc.ProxyWelcome{Node: f.plate.Node, IsLeader: f.leads && f.core.HoldsLease(f.clock.Now()), Members: f.members()}
	if l := f.core.RecentLeader(f.clock.Now()); l != "" && l != f.id {
		w.Leader = l.Address()
	}
	for _, other := range f.served() {
		if len(w.Proxies) < 5 {
			w.Proxies = append(w.Proxies, other.remote)
		}
	}
	r.put(&rpc.Frame{ProxyWelcome: w})
	if w.IsLeader {
		f.routers[r] = struct{}{}
		f.jaw.Observe(h.Node, h.Incarnation, h.AppliedIndex, f.clock.Now())
		r.catchUp(f)
	}
	return r
}

// HandleProxyFrame takes in a router's frame.
func (f *Server) HandleProxyFrame(r *ProxyConn, frame *rpc.Frame) {
	if _, served := f.routers[r]; !served {
		return
	}
	switch {
	case frame.LeaseRequest != nil:
		f.renew(r, frame.LeaseRequest)
	case frame.SuspectReport != nil:
		if s := frame.SuspectReport; f.leads && f.state.Primaries[s.Service].Host == s.Host {
			f.hoist.SuspectPrimary(r.node, s.Service, s.Host, f.clock.Now())
			f.tend()
		}
	}
}

// ProxyDisconnected takes in that a router's connection has ended.
func (f *Server) ProxyDisconnected(r *ProxyConn) {
	delete(f.routers, r)
	r.close()
}

// renew grants a lease, for as long as this member's view holds.
func (f *Server) renew(r *ProxyConn, n *rpc.LeaseRequest) {
	now := f.clock.Now()
	if _, known := f.state.Proxies[r.node]; !known && f.leads {
		if !r.entering { // the next member that leads is to know of it, before it holds a lease
			r.entering = true
			f.propose(statemachine.Change{Proxy: &statemachine.ProxyMembership{Node: r.node}}, func(err error) {
				if r.entering = false; err == nil && !r.over {
					f.renew(r, n)
				}
			})
		}
		return
	}
	l := &rpc.LeaseResponse{Serial: n.Serial, Granted: f.leads && f.core.HoldsLease(now), CommitIndex: f.state.Index}
	switch {
	case l.Granted && !f.jaw.Grant(r.node, r.life, n.AppliedIndex, f.state.LatestRevocation(), now):
		f.LeasesHeld.Add(1) // it asks again once it has applied the news that is on its way
		f.tend()
		return
	case l.Granted:
		f.Leases.Add(1)
		l.ProxyCount = f.jaw.HolderCount(now)
	default:
		f.LeasesRefused.Add(1)
		if f.jaw != nil {
			f.jaw.Observe(r.node, r.life, n.AppliedIndex, now)
		}
	}
	r.put(&rpc.Frame{LeaseResponse: l})
	if f.leads {
		f.tend()
	}
}
