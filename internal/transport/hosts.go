package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ferrypitch/internal/protocol"
	"ferrypitch/internal/setup"
	"ferrypitch/rules"
)

// Answer is what came back for a dispatch or a probe.
type Answer struct {
	Outcome  rules.Outcome
	Frames   []byte // of an answer: row description, row and completion, as they came
	Value    string // the row's one value, for a probe
	Position string // empty where the host gave none
	Role     string
	Load     string
	Code     string        // of an error
	At       time.Time     // when its last byte was read
	Took     time.Duration // since it was asked for; whoever asked fills it in
}

// Hosts are the connections to all database hosts.
type Hosts struct {
	limits *setup.Limits
	room   *Room
	ctx    context.Context
	tasks  sync.WaitGroup

	mu   sync.Mutex
	open int
	all  []*Host

	Opened, Reused, Refused, Broken atomic.Int64 // connections opened, used again; none left; not come up
}

// NewHosts lets connections live until ctx ends.
func NewHosts(ctx context.Context, l *setup.Limits, room *Room) *Hosts {
	return &Hosts{limits: l, room: room, ctx: ctx}
}

// Wait waits for all connections to end, once the context has.
func (h *Hosts) Wait() { h.tasks.Wait() }

// Open counts the connections that are held.
func (h *Hosts) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// Host is one database host: its address and its idle connections.
type Host struct {
	hosts   *Hosts
	address string
	idle    []*hostConn // the most recently used last
}

// Add adds a host.
func (h *Hosts) Add(address string) *Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := &Host{hosts: h, address: address}
	h.all = append(h.all, n)
	return n
}

// Move gives a host another address; connections to the old one are not used again.
func (n *Host) Move(address string) {
	n.hosts.mu.Lock()
	same := n.address == address
	n.address = address
	n.hosts.mu.Unlock()
	if !same {
		n.CloseIdle()
	}
}

// CloseIdle closes the idle connections.
func (n *Host) CloseIdle() {
	n.hosts.mu.Lock()
	idle := n.idle
	n.idle = nil
	n.hosts.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Call is one statement on its way.
type Call struct {
	statement []byte
	until     time.Time // when the router stops waiting
	by        time.Time // when its last byte must be written, lest what was decided no longer holds
	rewrite   bool      // the statement names the time that is left
	done      func(Answer)

	conn *hostConn
	sent bool // some bytes, perhaps all, are on their way; guarded by conn.mu
	over bool
}

// Send starts a call on an idle connection or a new one. done is called once,
// from another goroutine, unless Abandon says how it ended. Nothing is sent again on its own,
// and nothing at all past by.
func (n *Host) Send(statement []byte, until, by time.Time, rewrite bool, done func(Answer)) *Call {
	h := n.hosts
	call := &Call{statement: statement, until: until, by: by, rewrite: rewrite, done: done}
	now := time.Now()
	h.mu.Lock()
	for len(n.idle) > 0 {
		c := n.idle[len(n.idle)-1]
		n.idle = n.idle[:len(n.idle)-1]
		h.mu.Unlock()
		if now.Sub(c.since) < h.limits.Idle && c.give(call) {
			h.Reused.Add(1)
			return call
		}
		c.close()
		h.mu.Lock()
	}
	var spare *hostConn
	if h.open >= h.limits.Hosts {
		if spare = h.oldestIdle(); spare == nil {
			h.mu.Unlock()
			h.Refused.Add(1)
			h.tasks.Go(func() { done(Answer{Outcome: rules.Moot, At: now}) })
			return call
		}
	}
	h.open++
	address := n.address
	h.mu.Unlock()
	if spare != nil {
		spare.close()
	}
	h.Opened.Add(1)
	c := &hostConn{host: n, call: call, next: make(chan *Call, 1)}
	call.conn = c
	c.ctx, c.cancel = context.WithCancel(h.ctx)
	h.tasks.Go(func() { c.run(address, call) })
	return call
}

// oldestIdle takes the connection that was idle for longest. Guards against
// hosts of the past holding the descriptors that others need.
func (h *Hosts) oldestIdle() *hostConn {
	var from *Host
	for _, n := range h.all {
		if len(n.idle) > 0 && (from == nil || n.idle[0].since.Before(from.idle[0].since)) {
			from = n
		}
	}
	if from == nil {
		return nil
	}
	c := from.idle[0]
	from.idle = from.idle[1:]
	return c
}

// Abandon stops waiting and closes the connection. It says how the call ended,
// or ok false where its answer has come and done is or was called.
func (call *Call) Abandon() (o rules.Outcome, ok bool) {
	c := call.conn
	if c == nil {
		return 0, false // there was no connection for it
	}
	c.mu.Lock()
	if call.over {
		c.mu.Unlock()
		return 0, false
	}
	call.over, c.call = true, nil
	o = rules.TimedOut
	if !call.sent {
		o = rules.Unreached
	}
	c.mu.Unlock()
	c.close()
	return o, true
}

// hostConn is a connection to a host, with one call at a time.
type hostConn struct {
	host   *Host
	ctx    context.Context
	cancel context.CancelFunc
	next   chan *Call
	since  time.Time // when it became idle

	mu     sync.Mutex
	conn   net.Conn
	closed bool
	call   *Call
}

// give hands an idle connection its next call.
func (c *hostConn) give(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	call.conn, c.call = c, call
	c.conn.SetReadDeadline(time.Time{})
	c.next <- call
	return true
}

func (c *hostConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.cancel()
		if c.conn != nil {
			c.conn.Close()
		}
	}
}

// run is the life of a connection. Its first call may be given up on before it begins.
func (c *hostConn) run(address string, first *Call) {
	h := c.host.hosts
	defer func() {
		c.close()
		h.mu.Lock()
		h.open--
		for i, idle := range c.host.idle {
			if idle == c {
				c.host.idle = append(c.host.idle[:i], c.host.idle[i+1:]...)
				break
			}
		}
		h.mu.Unlock()
	}()
	up, cancel := context.WithTimeout(c.ctx, min(h.limits.Connect, time.Until(first.until)))
	defer cancel()
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(up, "tcp", address)
	if err != nil {
		c.end(first, Answer{Outcome: rules.Unreached})
		return
	}
	c.mu.Lock()
	c.conn = conn
	if c.closed {
		conn.Close()
	}
	c.mu.Unlock()
	in := newBuffer(h.room, h.limits.Buffer, h.limits.Answer)
	defer in.free()
	deadline, _ := up.Deadline()
	conn.SetDeadline(deadline)
	if outcome, ok := greet(conn, in); !ok {
		h.Broken.Add(1)
		c.end(first, Answer{Outcome: outcome})
		return
	}
	conn.SetDeadline(time.Time{})
	writer := make(chan struct{})
	h.tasks.Go(func() {
		defer close(writer)
		c.write()
	})
	c.next <- first
	c.read(in)
	c.close()
	<-writer
	// What is left has no answer, and nobody who could still send it. Guards against a call that
	// is given to the connection, or on its way, while that ends.
	c.mu.Lock()
	call := c.call
	c.mu.Unlock()
	switch {
	case call == nil:
	case call.sent:
		c.end(call, Answer{Outcome: rules.Reset})
	default:
		c.end(call, Answer{Outcome: rules.Unreached})
	}
}

// greet brings a connection up. Whatever fails, no command has been sent yet.
func greet(conn net.Conn, in *buffer) (rules.Outcome, bool) {
	if _, err := conn.Write(protocol.AppendStartup(nil, "svc", "main")); err != nil {
		return rules.Unreached, false
	}
	for {
		kind, body, n, err := protocol.Next(in.bytes(), in.most)
		if err != nil {
			return rules.Unreached, false
		}
		if n == 0 {
			if in.fill(conn) != nil {
				return rules.Unreached, false
			}
			continue
		}
		code := ""
		if kind == protocol.ErrorResponse {
			code = protocol.Code(body)
		}
		in.use(n)
		switch {
		case code == protocol.TooMany:
			return rules.Full, false
		case kind == protocol.ErrorResponse:
			return rules.Unreached, false
		case kind == protocol.Ready:
			return 0, true
		}
	}
}

// write sends the calls that the connection is given.
func (c *hostConn) write() {
	defer c.close() // without it the connection is of no use
	var out []byte
	for {
		var call *Call
		select {
		case call = <-c.next:
		case <-c.ctx.Done():
			return
		}
		// A decision is not carried out much later: the host may have begun to drain, or its data
		// be too old by now. Guards against slow connections, and against this router standing still.
		now := time.Now()
		left := call.until.Sub(now).Milliseconds()
		if left < 1 || now.After(call.by) {
			c.end(call, Answer{Outcome: rules.Moot})
			return
		}
		if out = out[:0]; call.rewrite {
			out = protocol.AppendQuery(out, protocol.AppendFor(nil, call.statement, left))
		} else {
			out = protocol.AppendQuery(out, call.statement)
		}
		c.mu.Lock()
		if c.closed || call.over {
			c.mu.Unlock()
			return
		}
		call.sent = true
		c.mu.Unlock()
		if n, _ := c.conn.Write(out); n < len(out) {
			c.mu.Lock()
			call.sent = false // never whole, so it never ran
			c.mu.Unlock()
			return
		}
		if cap(out) > c.host.hosts.limits.Buffer {
			out = nil
		}
	}
}

// read takes the answers in, and sees at once when an idle connection closes.
func (c *hostConn) read(in *buffer) {
	var a Answer
	rows := 0
	for {
		kind, body, n, err := protocol.Next(in.bytes(), in.most)
		if err == nil && n == 0 {
			err = in.fill(c.conn)
		}
		if err != nil {
			if call := c.asked(); call != nil && (a.Code != "" || a.Outcome == rules.Answered && rows == 1) {
				c.end(call, finish(a, rows)) // all of it had come
			}
			return
		}
		if n == 0 {
			continue
		}
		if c.asked() == nil && kind != protocol.Ready {
			if kind == protocol.RowDescription || kind == protocol.DataRow || kind == protocol.ErrorResponse {
				return // it would be taken for the next command's
			}
			in.use(n)
			continue
		}
		switch kind {
		case protocol.RowDescription, protocol.CommandComplete:
			a.Frames = append(a.Frames, in.bytes()[:n]...)
			if kind == protocol.CommandComplete && rows == 1 && a.Code == "" {
				a.Outcome = rules.Answered
			}
		case protocol.DataRow:
			rows++
			a.Frames = append(a.Frames, in.bytes()[:n]...)
			value, ok := protocol.Value(body)
			if !ok {
				rows = 2 // not what was asked for
			} else if len(value) <= 1024 {
				a.Value = string(value)
			}
		case protocol.ErrorResponse:
			a.Code = protocol.Code(body)
		case protocol.ParameterStatus:
			switch name, value, _ := protocol.Parameter(body); name {
			case "replay_position":
				a.Position = value
			case "node_role":
				a.Role = value
			case "server_load":
				a.Load = value
			}
		case protocol.Ready:
			in.use(n)
			if !c.ended(finish(a, rows)) || len(in.bytes()) > 0 {
				return
			}
			a, rows = Answer{}, 0
			continue
		}
		in.use(n)
	}
}

// asked is the call that is out, if there is one that an answer may be for.
func (c *hostConn) asked() *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call == nil || !c.call.sent {
		return nil
	}
	return c.call
}

// finish says what an answer amounts to. One that is not understood may have run.
func finish(a Answer, rows int) Answer {
	switch {
	case a.Code == protocol.ReadOnly || a.Code == protocol.Behind:
		a.Outcome = rules.Missed
	case a.Code == protocol.TooMany:
		a.Outcome = rules.Full
	case a.Code != "" || rows != 1 || a.Outcome != rules.Answered:
		a.Outcome = rules.Errored
	}
	a.At = time.Now()
	return a
}

// ended hands an answer over and makes the connection idle.
func (c *hostConn) ended(a Answer) bool {
	h, n := c.host.hosts, c.host
	c.mu.Lock()
	call := c.call
	if call == nil || call.over || !call.sent || c.closed {
		c.mu.Unlock()
		return false // nobody asked
	}
	call.over, c.call = true, nil
	c.since = a.At
	c.conn.SetReadDeadline(a.At.Add(h.limits.Idle))
	c.mu.Unlock()
	h.mu.Lock()
	n.idle = append(n.idle, c)
	h.mu.Unlock()
	call.done(a)
	return true
}

// end ends a call once.
func (c *hostConn) end(call *Call, a Answer) {
	c.mu.Lock()
	if call.over {
		c.mu.Unlock()
		return
	}
	call.over, c.call = true, nil
	c.mu.Unlock()
	a.At = time.Now()
	call.done(a)
}
