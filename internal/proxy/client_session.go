package proxy

import (
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/proxy/session"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/wire"
)

// maxPipelined is the maximum number of messages that wait behind the statement of a session that is being answered.
const maxPipelined = 16

// Transaction states of a session or a host connection, as encoded in IDLE.
const (
	stateIdle          = 'I'
	stateInTransaction = 'T'
)

// clientSession is a client's connection and its session. Everything except the socket is owned by the event loop.
type clientSession struct {
	session.Session
	server    *Server
	out       nonblockingConn
	id        uint64
	policyKey string // the session's name in calls to the policy, which tracks the last write of each session
	database  string
	keyHash   tenancy.KeyHash // keyed hash of the key in the client's CONNECT

	pipelined    []clientMessage // messages received but not yet handled, the oldest first
	statement    *statement      // the statement that is being answered; nil if there is none
	lastPosition wire.Position   // log position in the last response of a host
	idleSince    time.Time       // when the last statement, or CONNECT, was handled

	// State of the open transaction.
	pinnedConn   *hostConn
	txnRoute     *route
	primaryEpoch primaryEpoch // epoch in which the transaction began; noEpoch if it does not need the primary
	keyRevokedAt time.Time    // when the tenant of its statement or transaction lost the key; zero if the tenant holds it

	closed      bool
	draining    bool // nothing more is read from the client
	readerEnded bool // the reader has ended, but some of the messages that it read are not answered yet
}

// clientMessage is one message of a client after CONNECT.
type clientMessage struct {
	request    wire.Request
	err        error // non-nil if the message is not a valid statement
	receivedAt time.Time
}

// isIdle reports whether the session can be ended without losing a statement or transaction.
func (c *clientSession) isIdle() bool { return c.statement == nil && c.CurrentState() == stateIdle }

// enqueueMessage queues a client's message, since a session's messages are answered in order. A client that has more than
// maxPipelined messages waiting gets an error, and its session ends.
func (s *Server) enqueueMessage(client *clientSession, message clientMessage) {
	if client.closed {
		return
	}
	if len(client.pipelined) >= maxPipelined {
		s.counters.malformedInputs.Add(1)
		s.sendFinal(client, s.errorReply(errcode.PipelineTooDeep, 0))
		return
	}
	client.pipelined = append(client.pipelined, message)
	if client.statement == nil {
		s.processMessages(client)
	}
}

// processMessages handles a session's messages until one has to wait for a host; finishStatement then calls it again. When all
// messages are answered, a pending drain or end of the reader takes effect.
func (s *Server) processMessages(client *clientSession) {
	for client.statement == nil && len(client.pipelined) > 0 && !client.closed {
		message := client.pipelined[0]
		client.pipelined = client.pipelined[1:]
		if len(client.pipelined) == 0 {
			client.pipelined = nil // frees the array: most of the many sessions have no message waiting
		}
		s.handleStatement(client, message)
	}
	if client.statement != nil {
		return
	}
	client.idleSince = s.clock.Time()
	switch {
	case client.readerEnded:
		s.handleReaderEnd(client)
	case s.shutdown.closeIdle && client.isIdle() && len(s.sessions.open) > 0:
		client.drain()
	}
}

// respond sends an answer to the client, followed by IDLE, which carries the session's transaction state and the log position of
// the host that answered last.
func (s *Server) respond(client *clientSession, lines []byte) {
	if client.closed {
		return
	}
	const idleLineBytes = 32 // approximate maximum length of an IDLE line
	answer := append(make([]byte, 0, len(lines)+idleLineBytes), lines...)
	if _, ok := client.out.write(wire.AppendIdle(answer, client.CurrentState(), client.lastPosition)); !ok {
		client.out.close() // the reader then fails and ends the session
	}
}

// sendFinal sends the last answer of a session that can't continue and closes the write side. The socket stays open so that the
// client can read the answer; the session ends when its reader does (handleReaderEnd).
func (s *Server) sendFinal(client *clientSession, lines []byte) {
	if client.closed {
		return
	}
	client.out.write(lines)
	client.out.closeWrite()
	client.closed = true
}

// drain ends a session gracefully: it stops the reader, and messages that were already read are answered first.
func (c *clientSession) drain() {
	if !c.closed && !c.draining {
		c.draining = true
		c.out.stopReading()
	}
}

// handleReaderEnd ends a session whose client has disconnected or that is draining. A draining session with messages that are not
// answered yet ends after them.
func (s *Server) handleReaderEnd(client *clientSession) {
	if client.draining && !client.closed && (client.statement != nil || len(client.pipelined) > 0) {
		client.readerEnded = true
		return
	}
	client.closed = true
	client.out.close()
	delete(s.sessions.open, client)
	client.pipelined = nil
	if stmt := client.statement; stmt != nil {
		s.abandonStatement(stmt)
	}
	if conn := client.pinnedConn; conn != nil && conn.statement == nil {
		client.pinnedConn = nil
		s.rollBack(conn)
	}
}

// pin assigns a connection to the session for the transaction that a BEGIN has opened on it.
func (c *clientSession) pin(conn *hostConn, begin *statement) {
	conn.session = c
	c.pinnedConn, c.txnRoute, c.primaryEpoch = conn, begin.route, begin.attempt.primaryEpoch
	if begin.step.ReadOnly && begin.route.stalenessBound > 0 && begin.group == begin.route.readGroup {
		c.primaryEpoch = noEpoch // the fence of the BEGIN applies to the transaction, which therefore does not depend on the primary
	}
}

// pinnedConnLost handles the loss of the connection that the session's transaction is open on.
func (c *clientSession) pinnedConnLost() {
	c.pinnedConn = nil
	if c.CurrentState() != stateIdle {
		c.ConnectionLost()
	}
}
