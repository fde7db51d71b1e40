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
	Outcome    policy.Outcome
	Frames     []byte // of an answer: row description, row and completion, as they came
	Value      string // the row's one value, for a probe
	Position   string // empty where the host gave none
	Role       string
	LoadReport string
	Code       string        // of an error
	ReceivedAt time.Time     // when its last byte was read
	Elapsed    time.Duration // since it was asked for; whoever asked fills it in
}

// Hosts are the connections to all database hosts.
type Hosts struct {
	limits *setup.Limits
	budget *Room
	ctx    context.Context
	tasks  sync.WaitGroup

	mu    sync.Mutex
	open  int
	hosts map[*Host]struct{}

	Opened, Reused, NoDescriptor, StartupFailed atomic.Int64 // connections opened, used again; none left; not come up
	InvalidAnswers, UnsolicitedData             atomic.Int64 // answers that make no sense; bytes that belong to none
}

// NewHosts lets connections live until ctx ends.
func NewHosts(ctx context.Context, limits *setup.Limits, budget *Room) *Hosts {
	return &Hosts{limits: limits, budget: budget, ctx: ctx, hosts: map[*Host]struct{}{}}
}

// Wait waits for all connections to end, once the context has.
func (p *Hosts) Wait() { p.tasks.Wait() }

// OpenConns counts the connections that are held.
func (p *Hosts) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Host is one database host: its address and its idle connections.
type Host struct {
	pool    *Hosts
	address string
	idle    []*hostConn // the most recently used last
	removed bool        // none is kept idle
}

// Add adds a host.
func (p *Hosts) Add(address string) *Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := &Host{pool: p, address: address}
	p.hosts[host] = struct{}{}
	return host
}

// Move gives a host another address; connections to the old one are not used again.
func (h *Host) Move(address string) {
	h.pool.mu.Lock()
	unchanged := h.address == address
	h.address = address
	h.pool.mu.Unlock()
	if !unchanged {
		h.CloseIdle()
	}
}

// Remove forgets a host; what is still out to it ends as it does.
func (h *Host) Remove() {
	h.pool.mu.Lock()
	h.removed = true
	delete(h.pool.hosts, h)
	h.pool.mu.Unlock()
	h.CloseIdle()
}

// CloseIdle closes the idle connections.
func (h *Host) CloseIdle() {
	h.pool.mu.Lock()
	idle := h.idle
	h.idle = nil
	h.pool.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Call is one statement on its way.
type Call struct {
	statement      []byte
	deadline       time.Time // when the router stops waiting
	sendBy         time.Time // when its last byte must be written, lest what was decided no longer holds
	rewriteTimeout bool      // the statement names the time that is left
	onAnswer       func(Answer)

	conn  *hostConn
	sent  bool // some bytes, perhaps all, are on their way; guarded by conn.mu
	ended bool
}

// Send starts a call on an idle connection or a new one. done is called once,
// from another goroutine, unless Abandon says how it ended. Nothing is sent again on its own,
// and nothing at all past by.
func (h *Host) Send(statement []byte, deadline, sendBy time.Time, rewriteTimeout bool, onAnswer func(Answer)) *Call {
	pool := h.pool
	call := &Call{statement: statement, deadline: deadline, sendBy: sendBy, rewriteTimeout: rewriteTimeout, onAnswer: onAnswer}
	now := time.Now()
	pool.mu.Lock()
	for i := len(h.idle) - 1; i >= 0; i = min(i, len(h.idle)) - 1 {
		c := h.idle[i]
		if now.Sub(c.lastAnswer) < pool.limits.Rest {
			continue // what does not belong to its last answer may be on its way still
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		pool.mu.Unlock()
		if now.Sub(c.lastAnswer) < pool.limits.Idle && c.assign(call) {
			pool.Reused.Add(1)
			return call
		}
		c.close()
		pool.mu.Lock()
	}
	var evicted *hostConn
	if pool.open >= pool.limits.Hosts {
		if evicted = pool.oldestIdle(); evicted == nil {
			pool.mu.Unlock()
			pool.NoDescriptor.Add(1)
			pool.tasks.Go(func() { onAnswer(Answer{Outcome: policy.Moot, ReceivedAt: now}) })
			return call
		}
	}
	pool.open++
	address := h.address
	pool.mu.Unlock()
	if evicted != nil {
		evicted.close()
	}
	pool.Opened.Add(1)
	c := &hostConn{host: h, call: call, calls: make(chan *Call, 1)}
	call.conn = c
	c.ctx, c.cancel = context.WithCancel(pool.ctx)
	pool.tasks.Go(func() { c.run(address, call) })
	return call
}

// oldestIdle takes the connection that was idle for longest. Guards against
// hosts of the past holding the descriptors that others need.
func (p *Hosts) oldestIdle() *hostConn {
	var owner *Host
	for host := range p.hosts {
		if len(host.idle) > 0 && (owner == nil || host.idle[0].lastAnswer.Before(owner.idle[0].lastAnswer)) {
			owner = host
		}
	}
	if owner == nil {
		return nil
	}
	c := owner.idle[0]
	owner.idle = owner.idle[1:]
	return c
}

// Abandon stops waiting and closes the connection. It says how the call ended,
// or ok false where its answer has come and done is or was called.
func (call *Call) Abandon() (outcome policy.Outcome, ok bool) {
	c := call.conn
	if c == nil {
		return 0, false // there was no connection for it
	}
	c.mu.Lock()
	if call.ended {
		c.mu.Unlock()
		return 0, false
	}
	call.ended, c.call = true, nil
	outcome = policy.TimedOut
	if !call.sent {
		outcome = policy.Unreached
	}
	c.mu.Unlock()
	c.close()
	return outcome, true
}

// hostConn is a connection to a host, with one call at a time.
type hostConn struct {
	host       *Host
	ctx        context.Context
	cancel     context.CancelFunc
	calls      chan *Call
	lastAnswer time.Time // when it became idle
	answered   bool      // an answer has come on it

	mu     sync.Mutex
	conn   net.Conn
	closed bool
	call   *Call
}

// assign hands an idle connection its next call, unless something has come that nobody asked for.
func (c *hostConn) assign(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || hasUnreadInput(c.conn) {
		return false
	}
	call.conn, c.call = c, call
	c.conn.SetReadDeadline(time.Time{})
	c.calls <- call
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
	pool := c.host.pool
	defer func() {
		c.close()
		pool.mu.Lock()
		pool.open--
		for i, idle := range c.host.idle {
			if idle == c {
				c.host.idle = append(c.host.idle[:i], c.host.idle[i+1:]...)
				break
			}
		}
		pool.mu.Unlock()
	}()
	startupCtx, cancel := context.WithTimeout(c.ctx, min(pool.limits.Connect, time.Until(first.deadline)))
	defer cancel()
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(startupCtx, "tcp", address)
	if err != nil {
		c.failCall(first, Answer{Outcome: policy.Unreached})
		return
	}
	c.mu.Lock()
	c.conn = conn
	if c.closed {
		conn.Close()
	}
	c.mu.Unlock()
	in := newBuffer(pool.budget, pool.limits.Buffer, pool.limits.Answer)
	defer in.release()
	deadline, _ := startupCtx.Deadline()
	conn.SetDeadline(deadline)
	if outcome, ok := startSession(conn, in); !ok {
		pool.StartupFailed.Add(1)
		c.failCall(first, Answer{Outcome: outcome})
		return
	}
	conn.SetDeadline(time.Time{})
	writerDone := make(chan struct{})
	pool.tasks.Go(func() {
		defer close(writerDone)
		c.writeCalls()
	})
	c.calls <- first
	c.readAnswers(in)
	c.close()
	<-writerDone
	// What is left has no answer, and nobody who could still send it. Guards against a call that
	// is given to the connection, or on its way, while that ends.
	c.mu.Lock()
	call := c.call
	c.mu.Unlock()
	switch {
	case call == nil:
	case call.sent:
		c.failCall(call, Answer{Outcome: policy.Reset})
	case c.answered: // it had been up, which tells nothing of the host now
		c.failCall(call, Answer{Outcome: policy.Moot})
	default:
		c.failCall(call, Answer{Outcome: policy.Unreached})
	}
}

// startSession brings a connection up. Whatever fails, no command has been sent yet.
func startSession(conn net.Conn, in *buffer) (policy.Outcome, bool) {
	if _, err := conn.Write(protocol.AppendStartup(nil, "svc", "main")); err != nil {
		return policy.Unreached, false
	}
	for {
		kind, body, n, err := protocol.Next(in.unread(), in.maxSize)
		if err != nil {
			return policy.Unreached, false
		}
		if n == 0 {
			if in.readFrom(conn) != nil {
				return policy.Unreached, false
			}
			continue
		}
		code := ""
		if kind == protocol.ErrorResponse {
			code = protocol.Code(body)
		}
		in.consume(n)
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

// writeCalls sends the calls that the connection is given.
func (c *hostConn) writeCalls() {
	defer c.close() // without it the connection is of no use
	var message []byte
	for {
		var call *Call
		select {
		case call = <-c.calls:
		case <-c.ctx.Done():
			return
		}
		// A decision is not carried out much later: the host may have begun to drain, or its data
		// be too old by now. Guards against slow connections, and against this router standing still.
		now := time.Now()
		leftMs := call.deadline.Sub(now).Milliseconds()
		if leftMs < 1 || now.After(call.sendBy) {
			c.failCall(call, Answer{Outcome: policy.Moot})
			return
		}
		if message = message[:0]; call.rewriteTimeout {
			message = protocol.AppendQuery(message, protocol.AppendFor(nil, call.statement, leftMs))
		} else {
			message = protocol.AppendQuery(message, call.statement)
		}
		c.mu.Lock()
		if c.closed || call.ended {
			c.mu.Unlock()
			return
		}
		// What has come by now belongs to no command, and would be taken for this one's answer. Guards
		// against answers with more behind them, whichever goroutine runs first.
		if hasUnreadInput(c.conn) {
			c.mu.Unlock()
			return
		}
		call.sent = true
		c.mu.Unlock()
		if n, _ := c.conn.Write(message); n < len(message) {
			c.mu.Lock()
			call.sent = false // never whole, so it never ran
			c.mu.Unlock()
			return
		}
		if cap(message) > c.host.pool.limits.Buffer {
			message = nil
		}
	}
}

// readAnswers takes the answers in, and sees at once when an idle connection closes or brings what nobody
// asked for. An answer is one row's description, the row and its completion, or an error; what is
// anything else may have run, and nothing of it is believed.
func (c *hostConn) readAnswers(in *buffer) {
	var a Answer
	var last byte // of an answer's parts
	from := callReader{conn: c}
	from.raw, _ = c.conn.(syscall.Conn).SyscallConn()
	for {
		kind, body, n, err := protocol.Next(in.unread(), in.maxSize)
		torn := err != nil
		if err == nil && n == 0 {
			err = in.readFrom(&from)
		}
		call := from.call
		switch {
		case call == nil && len(in.unread()) > 0:
			c.host.pool.UnsolicitedData.Add(1)
			return // it would be taken for the next command's
		case err != nil && call != nil && last == protocol.CommandComplete:
			a = Answer{Outcome: policy.Answered, Frames: a.Frames, Value: a.Value}
			c.failCall(call, classify(a)) // all of it had come
			return
		case err != nil && call != nil && a.Code != "" && !torn:
			c.failCall(call, classify(a))
			return
		case torn && call != nil:
			c.rejectAnswer(call)
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
				a.LoadReport = value
			}
		case protocol.Notice:
		case protocol.Ready:
			if good = last == protocol.CommandComplete || last == protocol.ErrorResponse; good {
				in.consume(n)
				if !c.completeCall(classify(a), len(in.unread()) > 0) {
					return
				}
				a, last = Answer{}, 0
				continue
			}
		default:
			good = false
		}
		if !good {
			c.rejectAnswer(call)
			return
		}
		switch kind {
		case protocol.RowDescription, protocol.DataRow, protocol.CommandComplete:
			a.Frames = append(a.Frames, in.unread()[:n]...)
			last = kind
		case protocol.ErrorResponse:
			last = kind
		}
		in.consume(n)
	}
}

// rejectAnswer ends a call whose answer makes no sense.
func (c *hostConn) rejectAnswer(call *Call) {
	c.host.pool.InvalidAnswers.Add(1)
	c.failCall(call, Answer{Outcome: policy.Reset})
}

// callReader reads a host connection and tells for which call, if for any, what it brought was sent: by the
// lock, bytes that came before a call was on its way are known from those after.
type callReader struct {
	conn *hostConn
	raw  syscall.RawConn
	call *Call
}

func (t *callReader) Read(b []byte) (n int, err error) {
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

// classify says what an answer amounts to.
func classify(answer Answer) Answer {
	switch answer.Code {
	case "":
	case protocol.ReadOnly, protocol.Behind:
		answer.Outcome = policy.Missed
	case protocol.TooMany:
		answer.Outcome = policy.Full
	default:
		answer.Outcome = policy.Errored
	}
	answer.ReceivedAt = time.Now()
	return answer
}

// completeCall hands an answer over and makes the connection idle, unless more came than belongs to it.
func (c *hostConn) completeCall(answer Answer, extraData bool) bool {
	pool, host := c.host.pool, c.host
	c.mu.Lock()
	call := c.call
	if call == nil || call.ended || !call.sent || c.closed {
		c.mu.Unlock()
		return false // nobody asked
	}
	call.ended, c.call = true, nil
	c.lastAnswer, c.answered = answer.ReceivedAt, true
	c.conn.SetReadDeadline(answer.ReceivedAt.Add(pool.limits.Idle))
	c.mu.Unlock()
	pool.mu.Lock()
	if extraData = extraData || host.removed; !extraData {
		host.idle = append(host.idle, c)
	}
	pool.mu.Unlock()
	call.onAnswer(answer)
	return !extraData
}

// failCall ends a call once.
func (c *hostConn) failCall(call *Call, answer Answer) {
	c.mu.Lock()
	if call.ended {
		c.mu.Unlock()
		return
	}
	call.ended, c.call = true, nil
	c.mu.Unlock()
	answer.ReceivedAt = time.Now()
	call.onAnswer(answer)
}
