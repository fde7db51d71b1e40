package transport

import (
	"cmp"
	"errors"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ferrypitch/internal/router/protocol"
)

const (
	discardBufferBytes = 16 << 10
	discardPause       = time.Millisecond // after each full buffer; slows down a client that keeps sending
)

var discardBuffers = sync.Pool{New: func() any { return new([discardBufferBytes]byte) }}

// readCommands is the goroutine that reads commands. It also closes the connection.
func (c *clientConn) readCommands() {
	limits := c.server.limits
	in := newBuffer(c.server.budget, limits.InitialBuffer, limits.MaxClientMessage)
	if c.startSession(in) {
		for c.readMessage(in) {
		}
	}
	in.release()
	if c.awaitLastAnswers() {
		c.lingerClose()
	}
	unanswered, endCause := c.abandon()
	for _, slot := range unanswered {
		if !slot.done {
			c.server.handler.ClientDisconnected(slot)
		}
	}
	c.server.remove(c, endCause)
}

// awaitLastAnswers waits until pending answers are written if the router ends the connection with an error message. It reports
// whether that message was sent.
func (c *clientConn) awaitLastAnswers() (notified bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partialMessage = false
	for c.sessionEnding && !c.closed && c.hasPending() {
		c.changed.Wait()
	}
	return c.sessionEnding && !c.closed
}

// abandon closes the connection. It returns the slots whose answers were not written and the counter of the cause.
func (c *clientConn) abandon() (unanswered []*Slot, endCause *atomic.Int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
	for _, answer := range c.outgoing {
		c.releaseAnswer(answer)
	}
	unanswered = c.pending
	for _, slot := range unanswered {
		slot.release()
		c.releaseAnswer(slot.answer)
	}
	c.pending, c.outgoing = nil, nil
	return unanswered, cmp.Or(c.endCause, &c.server.Disconnected)
}

// lingerClose keeps the connection open until the client has read the error message: closing a socket with unread input would
// reset the connection. Further input is read slowly and discarded.
func (c *clientConn) lingerClose() {
	c.server.markNotified(c)
	if writeCloser, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = writeCloser.CloseWrite() // if it fails, the reads below fail too
	}
	c.conn.SetReadDeadline(time.Now().Add(c.server.limits.LingerTimeout))
	discard := discardBuffers.Get().(*[discardBufferBytes]byte)
	defer discardBuffers.Put(discard)
	for {
		n, err := c.conn.Read(discard[:])
		if err != nil {
			return
		}
		if n == len(discard) {
			time.Sleep(discardPause)
		}
	}
}

// startSession reads the startup message and answers it. Encryption is declined, and cancel requests are not supported. It returns
// false if the connection must be closed.
func (c *clientConn) startSession(in *buffer) bool {
	for {
		code, n, err := protocol.NextStartup(in.unread(), min(in.maxSize, protocol.MaxStartupBytes))
		if err != nil {
			c.endSession(&c.server.Malformed, protocol.ProtocolViolation, err.Error())
			return false
		}
		if n == 0 {
			if !c.readMore(in, len(in.unread()) > 0) {
				return false
			}
			continue
		}
		in.consume(n)
		switch {
		case code == protocol.SSLRequest || code == protocol.GSSEncRequest:
			c.send([]byte{protocol.EncryptionDeclined})
		case code>>16 == protocol.Version>>16:
			c.send(protocol.AppendStartupResponse(nil))
			return true
		case code == protocol.CancelRequest:
			return false
		default:
			c.endSession(&c.server.Malformed, protocol.FeatureNotSupported, "a version of the protocol that is not spoken")
			return false
		}
	}
}

// readMore reads once, subject to the read deadline. It returns false if the connection must be closed.
func (c *clientConn) readMore(in *buffer, partial bool) bool {
	for c.setReadDeadline(partial); ; {
		err := in.readFrom(c.conn)
		switch {
		case err == nil:
			return true
		case errors.Is(err, os.ErrDeadlineExceeded):
			switch c.onReadTimeout() {
			case keepReading:
				continue
			case closeTimedOut:
				c.endSession(&c.server.TimedOut, protocol.CannotConnectNow, "no whole command came in time")
			case closeQuietly:
			}
		case errors.Is(err, errBudgetExhausted):
			c.endSession(&c.server.OutOfBuffers, protocol.TooManyConnections, err.Error())
		}
		return false
	}
}

// readMessage reads and handles one message. It returns false if the connection must be closed. A command's timeout starts when
// its last byte is read.
func (c *clientConn) readMessage(in *buffer) bool {
	receivedAt := time.Now()
	for {
		kind, body, n, err := protocol.NextMessage(in.unread(), in.maxSize)
		if err != nil {
			c.endSession(&c.server.Malformed, protocol.ProtocolViolation, err.Error())
			return false
		}
		if n > 0 {
			ok := c.handleMessage(kind, body, receivedAt)
			in.consume(n)
			return ok && !c.tooManyRejections()
		}
		if !c.readMore(in, len(in.unread()) > 0) {
			return false
		}
		receivedAt = time.Now()
	}
}

// tooManyRejections ends a connection after too many rejected commands in a row, and reports whether it did. This stops clients
// that retry a rejected command in a busy loop.
func (c *clientConn) tooManyRejections() bool {
	c.mu.Lock()
	exceeded := c.rejectedInARow > c.server.limits.MaxRejectedInARow
	c.receivedMessage, c.partialMessage = true, false
	c.mu.Unlock()
	if exceeded {
		c.endSession(&c.server.RejectedOnly, protocol.ProtocolViolation, "nothing but commands that are not served")
	}
	return exceeded
}

// handleMessage handles one message. It returns false if the connection must be closed. After a message of the extended query
// protocol, which is answered with an error, it skips all messages up to the next Sync, as the protocol requires.
func (c *clientConn) handleMessage(kind byte, body []byte, receivedAt time.Time) bool {
	if c.skippingToSync && kind != protocol.Sync && kind != protocol.Terminate {
		return true
	}
	switch kind {
	case protocol.Terminate:
		return false
	case protocol.Sync:
		c.skippingToSync = false
		c.addSlot().complete(protocol.AppendReadyForQuery(nil))
	case protocol.Query:
		c.handleQuery(body, receivedAt)
	case protocol.CopyData, protocol.CopyDone, protocol.CopyFail, protocol.Flush:
		// No copy operation is in progress, and there is nothing to flush.
	case protocol.Parse, protocol.Bind, protocol.Describe, protocol.Execute, protocol.Close:
		c.server.Unsupported.Add(1)
		c.skippingToSync = true
		c.addSlot().complete(protocol.AppendError(nil, severityError, protocol.FeatureNotSupported, "only simple queries are served", ""))
	case protocol.FunctionCall:
		c.server.Unsupported.Add(1)
		c.addSlot().Reject(protocol.FeatureNotSupported, "only simple queries are served")
	default:
		c.endSession(&c.server.Malformed, protocol.ProtocolViolation, "a message that is not known")
		return false
	}
	return true
}

// handleQuery passes a simple query to the handler, or answers it itself if it is malformed or there is no capacity.
func (c *clientConn) handleQuery(body []byte, receivedAt time.Time) {
	statement, ok := protocol.QueryText(body)
	slot := c.addSlot()
	switch {
	case !ok:
		c.server.Unsupported.Add(1)
		slot.Reject(protocol.ProtocolViolation, "a query that does not end where its message does")
	case protocol.IsEmptyStatement(statement):
		c.server.handler.HandleEmptyQuery(slot)
	case c.server.exceedsLimit(c): // otherwise it would wait until its timeout
		c.server.Shed.Add(1)
		slot.Throttle(0)
	case len(statement) > c.server.limits.InitialBuffer && !c.reserveCommand(slot, len(statement)):
		slot.Throttle(0) // it was not sent to a host, so a retry is safe
	default:
		c.server.handler.HandleCommand(slot, slices.Clone(statement), receivedAt)
	}
}

// reserveCommand reserves budget for a long command until it is answered.
func (c *clientConn) reserveCommand(slot *Slot, size int) bool {
	if !c.server.budget.reserve(size) {
		return false
	}
	c.mu.Lock()
	slot.reserved = size
	c.mu.Unlock()
	return true
}

// endSession ends the connection with an error message, which is written after the pending answers. counter is the cause.
func (c *clientConn) endSession(counter *atomic.Int64, code, text string) {
	slot := c.addSlot()
	c.mu.Lock()
	c.sessionEnding, c.endCause = true, counter
	c.mu.Unlock()
	slot.complete(protocol.AppendError(nil, severityFatal, code, text, ""))
}
