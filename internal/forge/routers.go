package forge

import (
	"time"

	"ferrypitch/internal/arbor"
	"ferrypitch/internal/belt"
	"ferrypitch/internal/rack"
)

const quiet = 4 * time.Second // a connection that says nothing for so long is given up

// router is the connection of one.
type router struct {
	conn   *belt.Conn
	out    chan *belt.Frame
	node   string
	life   uint64
	index  uint64 // sent up to here
	closed chan struct{}
	over   bool

	entering bool // the change that brings it is under way
}

func (r *router) close() {
	if !r.over {
		r.over = true
		close(r.closed)
		r.conn.Close()
	}
}

// put queues a frame; a router that does not read is left.
func (r *router) put(f *belt.Frame) {
	select {
	case r.out <- f:
	default:
		r.close()
	}
}

func (r *router) news(f *Forge, n *belt.News) {
	if n.Snapshot == nil && r.index+uint64(len(n.Entries)) != n.Index {
		r.catchUp(f)
		return
	}
	r.index = n.Index
	r.put(&belt.Frame{News: n})
}

// catchUp sends what is missing, or a snapshot.
func (r *router) catchUp(f *Forge) {
	n := &belt.News{Members: f.members(), Index: f.state.Index}
	if bodies, ok := f.core.Entries(r.index); ok && r.index > 0 && r.index <= f.state.Index {
		n.Entries = bodies
	} else {
		n.Snapshot = f.state.Snapshot()
	}
	r.index = n.Index
	r.put(&belt.Frame{News: n})
}

// accept takes a connection of a member or of a router.
func (f *Forge) accept(c *belt.Conn) {
	first, err := c.Receive(quiet)
	if err != nil {
		return
	}
	if first.Hello != nil {
		f.router(c, first.Hello)
		return
	}
	for frame := first; err == nil; frame, err = c.Receive(time.Hour) {
		f.member(frame)
	}
}

func (f *Forge) member(frame *belt.Frame) {
	switch {
	case frame.Core != nil:
		m := *frame.Core
		f.queue.Put(arbor.Outcomes, func() { f.carry(f.core.Step(m, f.clock.Now())) })
	case frame.Ask != nil:
		a := *frame.Ask
		f.queue.Put(arbor.Commands, func() {
			f.handle(call{a.Method, a.Path, a.Base, a.Body}, false, func(status int, body []byte) {
				f.mesh.Send(a.From, &belt.Frame{Answer: &belt.Answer{Serial: a.Serial, Status: status, Body: body}})
			})
		})
	case frame.Answer != nil:
		a := *frame.Answer
		f.queue.Put(arbor.Outcomes, func() {
			if done := f.passed[a.Serial]; done != nil {
				delete(f.passed, a.Serial)
				done(a)
			}
		})
	}
}

// router serves one until its connection ends.
func (f *Forge) router(c *belt.Conn, h *belt.Hello) {
	r := &router{conn: c, out: make(chan *belt.Frame, 256), node: h.Node, life: h.Life, index: h.From, closed: make(chan struct{})}
	taken := make(chan bool, 1)
	if !f.queue.Put(arbor.Lists, func() {
		w := &belt.Welcome{Node: f.plate.Node, Leads: f.leads && f.core.Holds(f.clock.Now()), Members: f.members()}
		if l := f.core.Leader(); l != "" && l != f.id {
			w.Leader = l.Address()
		}
		for other := range f.routers {
			if len(w.Routers) < 5 {
				w.Routers = append(w.Routers, other.conn.Remote())
			}
		}
		r.put(&belt.Frame{Welcome: w})
		if w.Leads {
			f.routers[r] = struct{}{}
			f.jaw.Heard(h.Node, h.Life, h.From)
			r.catchUp(f)
		}
		taken <- w.Leads
	}) {
		return
	}
	go func() { // ends with the connection
		for {
			select {
			case <-r.closed:
				return
			case frame := <-r.out:
				if c.Send(frame, 2*time.Second) != nil {
					c.Close()
					return
				}
			}
		}
	}()
	leads := <-taken
	for {
		frame, err := c.Receive(quiet)
		if err != nil || !leads {
			break
		}
		switch {
		case frame.Renew != nil:
			f.queue.Put(arbor.Lists, func() { f.renew(r, frame.Renew) })
		case frame.Suspect != nil:
			s := *frame.Suspect
			f.queue.Put(arbor.Lists, func() {
				if f.leads && f.state.Leads[s.Service].Host == s.Host {
					f.hoist.Suspect(r.node, s.Service, s.Host, f.clock.Now())
					f.tend()
				}
			})
		}
	}
	f.queue.Put(arbor.Lists, func() {
		delete(f.routers, r)
		r.close()
	})
}

// renew grants a lease, for as long as this member's view holds.
func (f *Forge) renew(r *router, n *belt.Renew) {
	now := f.clock.Now()
	if _, known := f.state.Routers[r.node]; !known && f.leads {
		if !r.entering { // the next member that leads is to know of it, before it holds a lease
			r.entering = true
			f.propose(rack.Change{Router: &rack.Router{Node: r.node}}, func(err error) {
				if r.entering = false; err == nil && !r.over {
					f.renew(r, n)
				}
			})
		}
		return
	}
	l := &belt.Lease{Serial: n.Serial, Granted: f.leads && f.core.Holds(now), Index: f.state.Index}
	if l.Granted {
		f.Leases.Add(1)
		f.jaw.Renew(r.node, r.life, n.Applied, now)
		l.Routers = f.jaw.Live(now)
	} else {
		f.LeasesRefused.Add(1)
		if f.jaw != nil {
			f.jaw.Heard(r.node, r.life, n.Applied)
		}
	}
	r.put(&belt.Frame{Lease: l})
	if f.leads {
		f.tend()
	}
}
