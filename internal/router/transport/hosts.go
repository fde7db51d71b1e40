package transport

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

// Answer is what came back for a dispatch or a probe.
type Answer struct {
	Outcome  policy.Outcome
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
	all  map[*Host]struct{}

	Opened, Reused, Refused, Broken atomic.Int64 // connections opened, used again; none left; not come up
	Spoilt, Stray                   atomic.Int64 // answers that make no sense; bytes that belong to none
}

// NewHosts lets connections live until ctx ends.
func NewHosts(ctx context.Context, l *setup.Limits, room *Room) *Hosts {
	return &Hosts{limits: l, room: room, ctx: ctx, all: map[*Host]struct{}{}}
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
	gone    bool        // none is kept idle
}

// Add adds a host.
func (h *Hosts) Add(address string) *Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := &Host{hosts: h, address: address}
	h.all[n] = struct{}{}
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

// Remove forgets a host; what is still out to it ends as it does.
func (n *Host) Remove() {
	n.hosts.mu.Lock()
	n.gone = true
	delete(n.hosts.all, n)
	n.hosts.mu.Unlock()
	n.CloseIdle()
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
	for i := len(n.idle) - 1; i >= 0; i = min(i, len(n.idle)) - 1 {
		c := n.idle[i]
		if now.Sub(c.since) < h.limits.Rest {
			continue // what does not belong to its last answer may be on its way still
		}
		n.idle = slices.Delete(n.idle, i, i+1)
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
			h.tasks.Go(func() { done(Answer{Outcome: policy.Moot, At: now}) })
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
	for n := range h.all {
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
func (call *Call) Abandon() (o policy.Outcome, ok bool) {
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
	o = policy.TimedOut
	if !call.sent {
		o = policy.Unreached
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
	used   bool      // an answer has come on it

	mu     sync.Mutex
	conn   net.Conn
	closed bool
	call   *Call
}

// give hands an idle connection its next call, unless something has come that nobody asked for.
func (c *hostConn) give(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || waiting(c.conn) {
		return false
	}
	call.conn, c.call = c, call
	c.conn.SetReadDeadline(time.Time{})
	c.next <- call
	return true
}

// close lets go of the lock first: closing waits for the reader's turn, which takes it.
func (c *hostConn) close() {
	c.mu.Lock()
	closed, conn := c.closed, c.conn
	c.closed = true
	c.mu.Unlock()
	if !closed {
		c.cancel()
		if conn != nil {
			conn.Close()
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
		c.end(first, Answer{Outcome: policy.Unreached})
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
		c.end(call, Answer{Outcome: policy.Reset})
	case c.used: // it had been up, which tells nothing of the host now
		c.end(call, Answer{Outcome: policy.Moot})
	default:
		c.end(call, Answer{Outcome: policy.Unreached})
	}
}

// greet brings a connection up. Whatever fails, no command has been sent yet.
func greet(conn net.Conn, in *buffer) (policy.Outcome, bool) {
	if _, err := conn.Write(protocol.AppendStartup(nil, "svc", "main")); err != nil {
		return policy.Unreached, false
	}
	for {
		kind, body, n, err := protocol.Next(in.bytes(), in.most)
		if err != nil {
			return policy.Unreached, false
		}
		if n == 0 {
			if in.fill(conn) != nil {
				return policy.Unreached, false
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
			return policy.Full, false
		case kind == protocol.ErrorResponse:
			return policy.Unreached, false
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
			c.end(call, Answer{Outcome: policy.Moot})
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
		// What has come by now belongs to no command, and would be taken for this one's answer. Guards
		// against answers with more behind them, whichever goroutine runs first.
		if waiting(c.conn) {
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

// read takes the answers in, and sees at once when an idle connection closes or brings what nobody
// asked for. An answer is one row's description, the row and its completion, or an error; what is
// anything else may have run, and nothing of it is believed.
func (c *hostConn) read(in *buffer) {
	var a Answer
	var last byte // of an answer's parts
	from := inTurn{conn: c}
	from.raw, _ = c.conn.(syscall.Conn).SyscallConn()
	for {
		kind, body, n, err := protocol.Next(in.bytes(), in.most)
		torn := err != nil
		if err == nil && n == 0 {
			err = in.fill(&from)
		}
		call := from.call
		switch {
		case call == nil && len(in.bytes()) > 0:
			c.host.hosts.Stray.Add(1)
			return // it would be taken for the next command's
		case err != nil && call != nil && last == protocol.CommandComplete:
			a = Answer{Outcome: policy.Answered, Frames: a.Frames, Value: a.Value}
			c.end(call, finish(a)) // all of it had come
			return
		case err != nil && call != nil && a.Code != "" && !torn:
			c.end(call, finish(a))
			return
		case torn && call != nil:
			c.spoilt(call)
			return
		case err != nil:
			return
		case n == 0:
			continue
		}
		good := true
		switch kind {
		case protocol.RowDescription:
			good = last == 0 && protocol.Row(body)
		case protocol.DataRow:
			value, ok := protocol.Value(body)
			if good = last == protocol.RowDescription && ok; len(value) <= 1024 {
				a.Value = string(value)
			}
		case protocol.CommandComplete:
			good = last == protocol.DataRow && protocol.Tag(body)
			a.Outcome = policy.Answered
		case protocol.ErrorResponse:
			a.Code = protocol.Code(body)
			good = last != protocol.CommandComplete && last != protocol.ErrorResponse && a.Code != ""
		case protocol.ParameterStatus:
			switch name, value, _ := protocol.Parameter(body); name {
			case "replay_position":
				a.Position = value
			case "node_role":
				a.Role = value
			case "server_load":
				a.Load = value
			}
		case protocol.Notice:
		case protocol.Ready:
			if good = last == protocol.CommandComplete || last == protocol.ErrorResponse; good {
				in.use(n)
				if !c.ended(finish(a), len(in.bytes()) > 0) {
					return
				}
				a, last = Answer{}, 0
				continue
			}
		default:
			good = false
		}
		if !good {
			c.spoilt(call)
			return
		}
		switch kind {
		case protocol.RowDescription, protocol.DataRow, protocol.CommandComplete:
			a.Frames = append(a.Frames, in.bytes()[:n]...)
			last = kind
		case protocol.ErrorResponse:
			last = kind
		}
		in.use(n)
	}
}

// spoilt ends a call whose answer makes no sense.
func (c *hostConn) spoilt(call *Call) {
	c.host.hosts.Spoilt.Add(1)
	c.end(call, Answer{Outcome: policy.Reset})
}

// inTurn reads a host connection and tells for which call, if for any, what it brought was sent: by the
// lock, bytes that came before a call was on its way are known from those after.
type inTurn struct {
	conn *hostConn
	raw  syscall.RawConn
	call *Call
}

func (t *inTurn) Read(b []byte) (n int, err error) {
	ended := t.raw.Read(func(fd uintptr) bool {
		c := t.conn
		c.mu.Lock()
		defer c.mu.Unlock()
		if t.call = c.call; t.call != nil && !t.call.sent {
			t.call = nil
		}
		for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; {
			n, err = syscall.Read(int(fd), b)
		}
		return err != syscall.EAGAIN
	})
	switch {
	case ended != nil:
		return 0, ended
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// finish says what an answer amounts to.
func finish(a Answer) Answer {
	switch a.Code {
	case "":
	case protocol.ReadOnly, protocol.Behind:
		a.Outcome = policy.Missed
	case protocol.TooMany:
		a.Outcome = policy.Full
	default:
		a.Outcome = policy.Errored
	}
	a.At = time.Now()
	return a
}

// ended hands an answer over and makes the connection idle, unless more came than belongs to it.
func (c *hostConn) ended(a Answer, more bool) bool {
	h, n := c.host.hosts, c.host
	c.mu.Lock()
	call := c.call
	if call == nil || call.over || !call.sent || c.closed {
		c.mu.Unlock()
		return false // nobody asked
	}
	call.over, c.call = true, nil
	c.since, c.used = a.At, true
	c.conn.SetReadDeadline(a.At.Add(h.limits.Idle))
	c.mu.Unlock()
	h.mu.Lock()
	if more = more || n.gone; !more {
		n.idle = append(n.idle, c)
	}
	h.mu.Unlock()
	call.done(a)
	return !more
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
