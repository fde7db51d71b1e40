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

// Router is the connection of one, as its member's owner sees it.
type Router struct {
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
func (f *Forge) served() []*Router {
	return slices.SortedFunc(maps.Keys(f.routers), func(a, b *Router) int { return cmp.Compare(a.serial, b.serial) })
}

func (r *Router) close() {
	if !r.over {
		r.over = true
		r.shut()
	}
}

// put sends a frame; a router that does not read is left.
func (r *Router) put(f *rpc.Frame) {
	if !r.over && !r.send(f) {
		r.close()
	}
}

func (r *Router) news(f *Forge, n *rpc.News) {
	if n.Snapshot == nil && r.index+uint64(len(n.Entries)) != n.Index {
		r.catchUp(f)
		return
	}
	r.index = n.Index
	r.put(&rpc.Frame{News: n})
}

// catchUp sends what is missing, or a snapshot.
func (r *Router) catchUp(f *Forge) {
	n := &rpc.News{Members: f.members(), Index: f.state.Index}
	if bodies, ok := f.core.Entries(r.index); ok && r.index > 0 && r.index <= f.state.Index {
		n.Entries = bodies
	} else {
		n.Snapshot = f.state.Snapshot()
	}
	r.index = n.Index
	r.put(&rpc.Frame{News: n})
}

// accept takes a connection of a member or of a router.
func (f *Forge) accept(c *rpc.Conn) {
	first, err := c.Receive(quiet)
	if err != nil {
		return
	}
	if first.Hello != nil {
		f.serveRouter(c, first.Hello)
		return
	}
	for frame := first; err == nil; frame, err = c.Receive(time.Hour) {
		rank := eventloop.Outcomes
		if frame.Ask != nil {
			rank = eventloop.Commands
		}
		f.queue.Put(rank, func() { f.Hear(c.Remote(), frame) })
	}
}

// Hear takes in a frame of another member, from the address that its connection came from.
func (f *Forge) Hear(from string, frame *rpc.Frame) {
	switch {
	case frame.Core != nil && frame.Core.From.Address() != from:
		f.ignored(messageAstray)
	case frame.Core != nil:
		f.carry(f.core.Step(*frame.Core, f.clock.Now()))
	case frame.Ask != nil:
		f.asked(from, frame.Ask)
	case frame.Answer != nil:
		f.answered(from, frame.Answer)
	}
}

// serveRouter serves one until its connection ends.
func (f *Forge) serveRouter(c *rpc.Conn, h *rpc.Hello) {
	out, closed := make(chan *rpc.Frame, 256), make(chan struct{})
	send := func(frame *rpc.Frame) bool {
		select {
		case out <- frame:
			return true
		default:
			return false
		}
	}
	taken := make(chan *Router, 1)
	var r *Router
	if !f.queue.Put(eventloop.Lists, func() {
		taken <- f.Meet(h, c.Remote(), send, func() { close(closed); c.Close() })
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
		f.queue.Put(eventloop.Lists, func() { f.Said(r, frame) })
	}
	f.queue.Put(eventloop.Lists, func() { f.Parted(r) })
}

// Meet greets a router, and serves it if this member leads. send never waits.
func (f *Forge) Meet(h *rpc.Hello, remote string, send func(*rpc.Frame) bool, shut func()) *Router {
	f.met++
	r := &Router{node: h.Node, life: h.Life, serial: f.met, remote: remote, index: h.From, send: send, shut: shut}
	w := &rpc.Welcome{Node: f.plate.Node, Leads: f.leads && f.core.Holds(f.clock.Now()), Members: f.members()}
	if l := f.core.Heard(f.clock.Now()); l != "" && l != f.id {
		w.Leader = l.Address()
	}
	for _, other := range f.served() {
		if len(w.Routers) < 5 {
			w.Routers = append(w.Routers, other.remote)
		}
	}
	r.put(&rpc.Frame{Welcome: w})
	if w.Leads {
		f.routers[r] = struct{}{}
		f.jaw.Heard(h.Node, h.Life, h.From, f.clock.Now())
		r.catchUp(f)
	}
	return r
}

// Said takes in a router's frame.
func (f *Forge) Said(r *Router, frame *rpc.Frame) {
	if _, served := f.routers[r]; !served {
		return
	}
	switch {
	case frame.Renew != nil:
		f.renew(r, frame.Renew)
	case frame.Suspect != nil:
		if s := frame.Suspect; f.leads && f.state.Leads[s.Service].Host == s.Host {
			f.hoist.Suspect(r.node, s.Service, s.Host, f.clock.Now())
			f.tend()
		}
	}
}

// Parted takes in that a router's connection has ended.
func (f *Forge) Parted(r *Router) {
	delete(f.routers, r)
	r.close()
}

// renew grants a lease, for as long as this member's view holds.
func (f *Forge) renew(r *Router, n *rpc.Renew) {
	now := f.clock.Now()
	if _, known := f.state.Routers[r.node]; !known && f.leads {
		if !r.entering { // the next member that leads is to know of it, before it holds a lease
			r.entering = true
			f.propose(statemachine.Change{Router: &statemachine.Router{Node: r.node}}, func(err error) {
				if r.entering = false; err == nil && !r.over {
					f.renew(r, n)
				}
			})
		}
		return
	}
	l := &rpc.Lease{Serial: n.Serial, Granted: f.leads && f.core.Holds(now), Index: f.state.Index}
	switch {
	case l.Granted && !f.jaw.Renew(r.node, r.life, n.Applied, f.state.Recalled(), now):
		f.LeasesHeld.Add(1) // it asks again once it has applied the news that is on its way
		f.tend()
		return
	case l.Granted:
		f.Leases.Add(1)
		l.Routers = f.jaw.Live(now)
	default:
		f.LeasesRefused.Add(1)
		if f.jaw != nil {
			f.jaw.Heard(r.node, r.life, n.Applied, now)
		}
	}
	r.put(&rpc.Frame{Lease: l})
	if f.leads {
		f.tend()
	}
}
