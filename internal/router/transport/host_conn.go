package transport

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/policy"
)

// User and database of the startup message that hosts are sent.
const (
	hostUser     = "svc"
	hostDatabase = "main"
)

// hostConn is a connection to a host, with one call in flight at a time. The goroutine of run owns it; it reads, and starts
// and awaits the one that writes.
type hostConn struct {
	host   *Host
	ctx    context.Context
	cancel context.CancelFunc
	calls  chan *Call // to the writer; holds one

	// Set by the reader before the connection becomes idle.
	lastAnswer time.Time
	answered   bool // it has brought an answer

	mu     sync.Mutex
	conn   net.Conn
	closed bool
	call   *Call // in flight
}

// newHostConn returns a connection that is not up yet, with its first call.
func newHostConn(host *Host, first *Call) *hostConn {
	c := &hostConn{host: host, call: first, calls: make(chan *Call, 1)}
	first.conn = c
	c.ctx, c.cancel = context.WithCancel(host.pool.ctx)
	return c
}

// assign hands an idle connection its next call, unless it has brought data that belongs to none.
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

// close closes the socket without the lock: closing waits for the reader, which takes the lock.
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

// run connects, carries calls until the connection ends, and then ends the call that is left. The first call may be
// abandoned before run begins.
func (c *hostConn) run(address string, first *Call) {
	pool := c.host.pool
	defer c.leavePool()
	startupCtx, cancel := context.WithTimeout(c.ctx, min(pool.limits.ConnectTimeout, time.Until(first.deadline)))
	defer cancel()
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(startupCtx, "tcp", address)
	if err != nil {
		c.endCall(first, Answer{Outcome: policy.Unreachable})
		return
	}
	c.setConn(conn)
	in := newBuffer(pool.budget, pool.limits.InitialBuffer, pool.limits.MaxHostMessage)
	defer in.release()
	deadline, _ := startupCtx.Deadline()
	conn.SetDeadline(deadline)
	if outcome, ok := startSession(conn, in); !ok {
		pool.StartupFailed.Add(1)
		c.endCall(first, Answer{Outcome: outcome})
		return
	}
	conn.SetDeadline(time.Time{})
	c.carryCalls(first, in)
	c.endLastCall()
}

// setConn notes the socket, and closes it if the connection was closed while it came up.
func (c *hostConn) setConn(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	if c.closed {
		conn.Close()
	}
}

// leavePool closes the connection and returns its descriptor to the pool.
func (c *hostConn) leavePool() {
	c.close()
	pool := c.host.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.open--
	if i := slices.Index(c.host.idle, c); i >= 0 {
		c.host.idle = slices.Delete(c.host.idle, i, i+1)
	}
}

// carryCalls carries calls until the connection ends.
func (c *hostConn) carryCalls(first *Call, in *buffer) {
	writerDone := make(chan struct{})
	c.host.pool.tasks.Go(func() {
		defer close(writerDone)
		c.writeCalls()
	})
	c.calls <- first
	c.readAnswers(in)
	c.close()
	<-writerDone
}

// endLastCall ends a call that is left when nobody reads or writes any more. Guards against a call that is assigned to
// the connection, or being sent, while that ends.
func (c *hostConn) endLastCall() {
	c.mu.Lock()
	call := c.call
	c.mu.Unlock()
	switch {
	case call == nil:
	case call.sent:
		c.endCall(call, Answer{Outcome: policy.Reset})
	case c.answered: // the host was up before, so this is no sign of its health
		c.endCall(call, Answer{Outcome: policy.Expired})
	default:
		c.endCall(call, Answer{Outcome: policy.Unreachable})
	}
}

// startSession sends the startup message and awaits ReadyForQuery. Whatever fails, no command has been sent yet.
func startSession(conn net.Conn, in *buffer) (policy.Outcome, bool) {
	if _, err := conn.Write(protocol.AppendStartup(nil, hostUser, hostDatabase)); err != nil {
		return policy.Unreachable, false
	}
	for {
		kind, body, n, err := protocol.NextMessage(in.unread(), in.maxSize)
		if err != nil {
			return policy.Unreachable, false
		}
		if n == 0 {
			if in.readFrom(conn) != nil {
				return policy.Unreachable, false
			}
			continue
		}
		code := ""
		if kind == protocol.ErrorResponse {
			code = protocol.ErrorCode(body)
		}
		in.consume(n)
		switch {
		case code == protocol.TooManyConnections:
			return policy.Overloaded, false
		case kind == protocol.ErrorResponse:
			return policy.Unreachable, false
		case kind == protocol.ReadyForQuery:
			return 0, true
		}
	}
}

// writeCalls is the goroutine that sends the calls that the connection is assigned.
func (c *hostConn) writeCalls() {
	defer c.close() // without a writer the connection is of no use
	var message []byte
	for {
		var call *Call
		select {
		case call = <-c.calls:
		case <-c.ctx.Done():
			return
		}
		// A decision is not carried out much later: the host may have begun to drain, or its data may be too old by
		// now. Guards against slow connections, and against this process having been suspended.
		now := time.Now()
		leftMs := call.deadline.Sub(now).Milliseconds()
		if leftMs < 1 || now.After(call.sendBy) {
			c.endCall(call, Answer{Outcome: policy.Expired})
			return
		}
		message = call.appendMessage(message[:0], leftMs)
		if !c.beginSend(call) {
			return
		}
		if n, _ := c.conn.Write(message); n < len(message) {
			c.mu.Lock()
			call.sent = false // the host never had all of it, so it did not run
			c.mu.Unlock()
			return
		}
		if cap(message) > c.host.pool.limits.InitialBuffer {
			message = nil
		}
	}
}

// beginSend marks a call as sent, right before it is, unless it has ended. Data that has come by now belongs to no call
// and would be taken for this one's answer: it ends the connection. Guards against answers with more behind them,
// whichever goroutine runs first.
func (c *hostConn) beginSend(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || call.ended || hasUnreadInput(c.conn) {
		return false
	}
	call.sent = true
	return true
}

// appendMessage appends the query message of a call, whose time-out ends in leftMs.
func (call *Call) appendMessage(message []byte, leftMs int64) []byte {
	if call.rewriteTimeout {
		return protocol.AppendQuery(message, protocol.AppendWithTimeout(nil, call.statement, leftMs))
	}
	return protocol.AppendQuery(message, call.statement)
}

// completeCall hands over an answer and makes the connection idle, unless more came than belongs to the answer. It
// returns false if the connection is to end.
func (c *hostConn) completeCall(answer Answer, extraData bool) bool {
	pool, host := c.host.pool, c.host
	c.mu.Lock()
	call := c.call
	if call == nil || call.ended || !call.sent || c.closed {
		c.mu.Unlock()
		return false // it answers no call
	}
	call.ended, c.call = true, nil
	c.lastAnswer, c.answered = answer.ReceivedAt, true
	c.conn.SetReadDeadline(answer.ReceivedAt.Add(pool.limits.HostIdleTimeout))
	c.mu.Unlock()
	pool.mu.Lock()
	reusable := !extraData && !host.removed
	if reusable {
		host.idle = append(host.idle, c)
	}
	pool.mu.Unlock()
	call.onAnswer(answer)
	return reusable
}

// endCall ends a call, unless it has ended, whose connection is not used again.
func (c *hostConn) endCall(call *Call, answer Answer) {
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
