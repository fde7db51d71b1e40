package transport

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// clientConn is a connection from a client. One goroutine reads commands and another writes their answers in order. Mutable
// fields are guarded by mu unless noted otherwise.
type clientConn struct {
	server *Clients
	conn   net.Conn

	skippingToSync bool // messages before the next Sync are ignored; used only by the reader
	overLimit      bool // accepted beyond MaxClientConns, so commands may be throttled; guarded by server.mu

	mu                 sync.Mutex
	changed            *sync.Cond
	pending            []*Slot  // slots whose answers are incomplete or wait for earlier answers
	outgoing           [][]byte // answers queued for the writer
	writing            bool     // the writer is writing answers
	partialMessage     bool     // part of a message was read and the rest is expected
	closed             bool
	receivedMessage    bool          // at least one complete message was read
	hasAcceptedCommand bool          // at least one command was accepted
	closeWhenIdle      bool          // the connection closes when nothing is pending
	sessionEnding      bool          // no more commands are read; pending answers are written before the close
	endCause           *atomic.Int64 // counter of the cause of the end; nil if the client disconnected
	rejectedInARow     int           // rejected commands since the last accepted one
	lastAnswer         time.Time     // when the last answer was written
	partialSince       time.Time     // when the first byte of a partial message was read or the connection was accepted
	readDeadline       time.Time     // zero for none; with closeWhenIdle, the socket's deadline may differ
}

func newClientConn(server *Clients, conn net.Conn) *clientConn {
	now := time.Now()
	c := &clientConn{server: server, conn: conn, partialMessage: true, lastAnswer: now, partialSince: now}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// idleState describes how idle a connection is, for the choice of a connection to evict.
type idleState struct {
	evictable          bool      // nothing is pending and the connection may be closed
	hasAcceptedCommand bool      // a command was accepted and no partial message is pending
	idleSince          time.Time // since when it is idle
}

// evictedBefore reports whether an evictable connection is evicted in preference to another one: those without an accepted
// command first, then the one that has been idle for longest.
func (i idleState) evictedBefore(other idleState) bool {
	if i.hasAcceptedCommand != other.hasAcceptedCommand {
		return !i.hasAcceptedCommand
	}
	return i.idleSince.Before(other.idleSince)
}

// idleState returns the idle state of the connection. A client may send its first command right after its startup message, so a
// new connection is not evictable for NewConnGrace.
func (c *clientConn) idleState() idleState {
	c.mu.Lock()
	defer c.mu.Unlock()
	idleSince := c.lastAnswer
	if c.partialMessage || !c.receivedMessage {
		idleSince = c.partialSince
	}
	betweenMessages := c.receivedMessage && !c.partialMessage
	return idleState{
		evictable: !c.closed && !c.closeWhenIdle && !c.sessionEnding && !c.hasPending() &&
			(betweenMessages || time.Since(idleSince) > c.server.limits.NewConnGrace),
		hasAcceptedCommand: c.hasAcceptedCommand && !c.partialMessage,
		idleSince:          idleSince,
	}
}

func (c *clientConn) hasPending() bool { return c.writing || len(c.pending)+len(c.outgoing) > 0 }

// isClosable reports whether the connection may close: nothing is pending, and no partial message is younger than NewConnGrace.
func (c *clientConn) isClosable() bool {
	betweenMessages := !c.partialMessage && c.receivedMessage
	return !c.closed && !c.hasPending() && (betweenMessages || time.Since(c.partialSince) > c.server.limits.NewConnGrace)
}

// requestClose requests the close of a connection if nothing is pending. A partial message counts as pending, except for
// eviction. The reader closes the connection, unless it has just read a command, which is answered first. So no command that was
// read is lost, and the client can retry a command that was not read.
func (c *clientConn) requestClose(evicting bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosable() || c.partialMessage && !evicting {
		return false
	}
	c.closeWhenIdle = true
	if evicting {
		c.endCause = &c.server.Evicted
	}
	c.conn.SetReadDeadline(time.Now()) // wakes the reader
	return true
}

func (c *clientConn) isClosingWhenIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeWhenIdle
}

// setReadDeadline limits the time for the first message or for the rest of a partial one. Without it, connections that send
// nothing, or stop within a message, would stay open forever.
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
	if !c.closeWhenIdle && !deadline.Equal(c.readDeadline) {
		c.conn.SetReadDeadline(deadline)
	}
	c.readDeadline = deadline
}

// timeoutAction is the reader's action after a read timeout.
type timeoutAction int

const (
	keepReading timeoutAction = iota
	closeQuietly
	closeTimedOut // close with an error, since no complete command was received in time
)

// onReadTimeout returns what the reader does after a read timeout, which either requestClose or setReadDeadline has caused.
func (c *clientConn) onReadTimeout() timeoutAction {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) && !c.hasPending() {
		return closeTimedOut
	}
	if c.closeWhenIdle && c.isClosable() && !hasUnreadInput(c.conn) {
		if c.partialMessage {
			return closeTimedOut
		}
		return closeQuietly
	}
	c.conn.SetReadDeadline(c.readDeadline)
	if c.hasPending() && !c.readDeadline.IsZero() { // pending answers are written first
		c.readDeadline = time.Now().Add(c.server.limits.CommandReadTimeout)
		c.conn.SetReadDeadline(c.readDeadline)
	}
	return keepReading
}

// closeLocked closes the socket. mu must be held.
func (c *clientConn) closeLocked() {
	c.closed = true
	c.changed.Broadcast()
	c.conn.Close()
}

// reserveAnswer reserves budget for an answer that is longer than InitialBuffer; releaseAnswer returns it.
func (c *clientConn) reserveAnswer(answer []byte) bool {
	return len(answer) <= c.server.limits.InitialBuffer || c.server.budget.reserve(len(answer))
}

func (c *clientConn) releaseAnswer(answer []byte) {
	if len(answer) > c.server.limits.InitialBuffer {
		c.server.budget.release(len(answer))
	}
}

// addSlot appends a slot for the next command. It blocks while limits.MaxPipelined answers are pending.
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

// send queues a message that is not the answer to a command.
func (c *clientConn) send(message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outgoing = append(c.outgoing, message)
	c.changed.Broadcast()
}

// writeAnswers is the goroutine that writes answers, so that a slow client delays only itself.
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

// nextBatch waits for queued answers and returns them. ok is false if the connection is closed.
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
