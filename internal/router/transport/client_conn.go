package transport

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// clientConn is one client's connection. One goroutine reads commands, another writes their answers in order. What changes
// is guarded by mu unless its comment says otherwise.
type clientConn struct {
	server *Clients
	conn   net.Conn

	skippingToSync bool // the reader's alone: messages before the next Sync are ignored
	overLimit      bool // accepted past the limit, so its commands are throttled; guarded by server.mu

	mu              sync.Mutex
	changed         *sync.Cond
	pending         []*Slot  // of commands whose answers are not complete, or wait for those before them
	outgoing        [][]byte // answers that wait for the writer
	writing         bool
	partialMessage  bool // a part of a message was read, and the rest is awaited
	closed          bool
	receivedMessage bool          // a complete message was read
	proven          bool          // one of its commands was accepted
	leaving         bool          // it closes as soon as nothing is pending
	ending          bool          // no more commands are read; what is pending is written first
	endCause        *atomic.Int64 // counter of why it ends; nil if its client left
	rejectedInARow  int           // commands
	lastAnswer      time.Time
	partialSince    time.Time // when the first byte of a partial message was read, or the connection accepted
	readDeadline    time.Time // zero for none; while leaving, the socket's own differs
}

func newClientConn(server *Clients, conn net.Conn) *clientConn {
	now := time.Now()
	c := &clientConn{server: server, conn: conn, partialMessage: true, lastAnswer: now, partialSince: now}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// idleState is what eviction compares connections by.
type idleState struct {
	evictable bool // nothing would be lost with the connection
	proven    bool // it has sent an accepted command, and is not within another
	since     time.Time
}

// evictedBefore reports whether an evictable connection is evicted rather than another one.
func (i idleState) evictedBefore(other idleState) bool {
	if i.proven != other.proven {
		return !i.proven
	}
	return i.since.Before(other.since)
}

// idleState returns how idle the connection is. A client may write its first command right behind its startup message, so
// a new connection is not evictable for a while.
func (c *clientConn) idleState() idleState {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.lastAnswer
	if c.partialMessage || !c.receivedMessage {
		since = c.partialSince
	}
	betweenMessages := c.receivedMessage && !c.partialMessage
	return idleState{
		evictable: !c.closed && !c.leaving && !c.ending && !c.hasPending() &&
			(betweenMessages || time.Since(since) > c.server.limits.NewConnGrace),
		proven: c.proven && !c.partialMessage,
		since:  since,
	}
}

func (c *clientConn) hasPending() bool { return c.writing || len(c.pending)+len(c.outgoing) > 0 }

// isClosable reports whether the connection may close: nothing is pending, and no command is being read.
func (c *clientConn) isClosable() bool {
	betweenMessages := !c.partialMessage && c.receivedMessage
	return !c.closed && !c.hasPending() && (betweenMessages || time.Since(c.partialSince) > c.server.limits.NewConnGrace)
}

// requestClose has a connection close if nothing is pending; a partial message that was just read counts as pending,
// except for eviction. The reader closes it, unless it has just read a command, which is answered first: what was read is
// not lost, and what was not read is sent again by the client.
func (c *clientConn) requestClose(evicting bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosable() || c.partialMessage && !evicting {
		return false
	}
	c.leaving = true
	if evicting {
		c.endCause = &c.server.Evicted
	}
	c.conn.SetReadDeadline(time.Now()) // wakes the reader
	return true
}

func (c *clientConn) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// setReadDeadline limits the time for a first command, or for the rest of a partial one. Guards against connections that
// stay silent, or stop within a message, forever.
func (c *clientConn) setReadDeadline(partial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if partial && !c.partialMessage && c.receivedMessage {
		c.partialSince = time.Now()
	}
	c.partialMessage = partial
	deadline := time.Time{}
	if partial || !c.receivedMessage {
		deadline = c.partialSince.Add(c.server.limits.CommandReadTimeout)
	}
	if !c.leaving && !deadline.Equal(c.readDeadline) {
		c.conn.SetReadDeadline(deadline)
	}
	c.readDeadline = deadline
}

// timeoutAction is what follows a read that timed out.
type timeoutAction int

const (
	keepReading timeoutAction = iota
	closeQuietly
	closeTimedOut // with an error: its command did not come in time
)

// onReadTimeout is the reader's side of requestClose and setReadDeadline.
func (c *clientConn) onReadTimeout() timeoutAction {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) && !c.hasPending() {
		return closeTimedOut
	}
	if c.leaving && c.isClosable() && !hasUnreadInput(c.conn) {
		if c.partialMessage {
			return closeTimedOut
		}
		return closeQuietly
	}
	c.conn.SetReadDeadline(c.readDeadline)
	if c.hasPending() && !c.readDeadline.IsZero() { // what is pending comes first
		c.readDeadline = time.Now().Add(c.server.limits.CommandReadTimeout)
		c.conn.SetReadDeadline(c.readDeadline)
	}
	return keepReading
}

// closeLocked closes the socket; mu is held.
func (c *clientConn) closeLocked() {
	c.closed = true
	c.changed.Broadcast()
	c.conn.Close()
}

// reserveAnswer reserves budget for an answer that is longer than an initial buffer; releaseAnswer returns it.
func (c *clientConn) reserveAnswer(answer []byte) bool {
	return len(answer) <= c.server.limits.InitialBuffer || c.server.budget.reserve(len(answer))
}

func (c *clientConn) releaseAnswer(answer []byte) {
	if len(answer) > c.server.limits.InitialBuffer {
		c.server.budget.release(len(answer))
	}
}

// addSlot appends a slot, once fewer than limits.Ahead answers are pending.
func (c *clientConn) addSlot() *Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && len(c.pending)+len(c.outgoing) >= c.server.limits.MaxPipelined {
		c.changed.Wait()
	}
	slot := &Slot{client: c}
	c.pending = append(c.pending, slot)
	return slot
}

// send has bytes written that are no answer to a command.
func (c *clientConn) send(message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outgoing = append(c.outgoing, message)
	c.changed.Broadcast()
}

// writeAnswers is the goroutine that writes answers, so that a client that reads slowly delays nobody else.
func (c *clientConn) writeAnswers() {
	for {
		batch, ok := c.nextBatch()
		if !ok {
			return
		}
		c.conn.SetWriteDeadline(time.Now().Add(c.server.limits.ClientWriteTimeout))
		unwritten := slices.Clone(batch) // WriteTo consumes what it writes
		_, err := unwritten.WriteTo(c.conn)
		for _, answer := range batch {
			c.releaseAnswer(answer)
		}
		c.mu.Lock()
		c.writing, c.lastAnswer = false, time.Now()
		if err != nil {
			c.closeLocked()
		}
		c.changed.Broadcast()
		c.mu.Unlock()
		c.server.answerWritten(c)
	}
}

// nextBatch waits for answers to write; it returns false once the connection is closed.
func (c *clientConn) nextBatch() (batch net.Buffers, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && len(c.outgoing) == 0 {
		c.changed.Wait()
	}
	if c.closed {
		return nil, false
	}
	batch = c.outgoing
	c.outgoing, c.writing = nil, true
	c.changed.Broadcast()
	return batch, true
}
