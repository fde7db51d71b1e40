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

// User and database in the startup message to hosts.
const (
	hostUser     = "svc"
	hostDatabase = "main"
)

// hostConn is a connection to a host with at most one call in flight. The goroutine of run owns it: it reads answers, and starts
// the goroutine that writes calls and waits for its end.
type hostConn struct {
	host   *Host
	ctx    context.Context
	cancel context.CancelFunc
	calls  chan *Call // to the writer; capacity 1

	// Set by the reader before the connection becomes idle.
	lastAnswer time.Time
	answered   bool // at least one call was answered

	mu     sync.Mutex
	conn   net.Conn
	closed bool
	call   *Call // call in flight; nil for none
}

// newHostConn returns a connection with its first call; run establishes it.
func newHostConn(host *Host, first *Call) *hostConn {
	c := &hostConn{host: host, call: first, calls: make(chan *Call, 1)}
	first.conn = c
	c.ctx, c.cancel = context.WithCancel(host.pool.ctx)
	return c
}

// assign gives an idle connection its next call. It returns false if the connection is closed or has received data that belongs
// to no call.
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

// close closes the connection. It does not hold the lock while it closes the socket, since that waits for the reader, which
// takes the lock.
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

// run connects, serves calls until the connection ends, and then ends the remaining call. The first call may be abandoned before
// run begins.
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
	c.serveCalls(first, in)
	c.endRemainingCall()
}

// setConn stores the socket, or closes it if the connection was closed during the dial.
func (c *hostConn) setConn(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	if c.closed {
		conn.Close()
	}
}

// leavePool closes the connection and returns its file descriptor to the pool.
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

// serveCalls sends calls and reads their answers until the connection ends.
func (c *hostConn) serveCalls(first *Call, in *buffer) {
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

// endRemainingCall ends a call that is still in flight after the reader and the writer have ended, which happens if the
// connection ends while a call is assigned or sent.
func (c *hostConn) endRemainingCall() {
	c.mu.Lock()
	call := c.call
	c.mu.Unlock()
	switch {
	case call == nil:
	case call.sent:
		c.endCall(call, Answer{Outcome: policy.Reset})
	case c.answered: // the host has answered before, so this does not show that it is down
		c.endCall(call, Answer{Outcome: policy.Expired})
	default:
		c.endCall(call, Answer{Outcome: policy.Unreachable})
	}
}

// startSession sends the startup message and waits for ReadyForQuery. If it fails, it returns the outcome of the first call,
// which has not been sent.
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

// writeCalls is the goroutine that sends the calls assigned to the connection.
func (c *hostConn) writeCalls() {
	defer c.close() // the connection is unusable without a writer
	var message []byte
	for {
		var call *Call
		select {
		case call = <-c.calls:
		case <-c.ctx.Done():
			return
		}
		// Calls that are late are not sent: since the routing decision, the host may have begun to drain or its data
		// may have become too old. Connecting may have been slow, or this process may have been suspended.
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
			call.sent = false // the host did not receive the complete statement, so it did not execute it
			c.mu.Unlock()
			return
		}
		if cap(message) > c.host.pool.limits.InitialBuffer {
			message = nil
		}
	}
}

// beginSend marks a call as sent, immediately before it is written. It returns false if the call has ended or the connection must
// be closed. Unread data belongs to no call and would be mistaken for this call's answer. The check here catches extra data
// after an answer even if the reader has not run yet.
func (c *hostConn) beginSend(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || call.ended || hasUnreadInput(c.conn) {
		return false
	}
	call.sent = true
	return true
}

// appendMessage appends the query message of a call. leftMs is the time that remains until its deadline.
func (call *Call) appendMessage(message []byte, leftMs int64) []byte {
	if call.rewriteTimeout {
		return protocol.AppendQuery(message, protocol.AppendWithTimeout(nil, call.statement, leftMs))
	}
	return protocol.AppendQuery(message, call.statement)
}

// completeCall ends the call in flight with its answer and makes the connection idle. extraData is true if data follows the
// answer; the connection is not reused then. It returns false if the connection must be closed.
func (c *hostConn) completeCall(answer Answer, extraData bool) bool {
	pool, host := c.host.pool, c.host
	c.mu.Lock()
	call := c.call
	if call == nil || call.ended || !call.sent || c.closed {
		c.mu.Unlock()
		return false // the answer belongs to no call
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

// endCall ends a call without reusing its connection. It does nothing if the call has ended.
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
