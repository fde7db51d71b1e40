package proxy

import (
	"net"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/proxy/session"
	"ferrypitch/internal/wire"
)

const (
	maxPipelined          = 16 // messages that a client may send before the first is answered
	connectMessageTimeout = 10 * time.Second
	firstWords            = 64 << 10
)

// clientSession is a client's connection. All but its socket belongs to the owner.
type clientSession struct {
	session.Session
	server       *Server
	out          nonblockingConn
	id           uint64
	policyKey    string // what the module calls it
	database     string
	pipelined    []clientMessage
	statement    *statement // what is being answered
	pinnedConn   *hostConn  // of its transaction
	primaryEpoch uint64     // under which its transaction began, where it needs the primary
	idleSince    time.Time  // since when its transaction rests
	closed       bool
	ending       bool // nothing more is read from it
	readerEnded  bool // its reader has ended; what it brought is answered first
	lastPosition wire.Position
	txnRoute     *route // of its transaction
}

type clientMessage struct {
	request    wire.Request
	err        error
	receivedAt time.Time
}

// accept serves clients until the listener ends.
func (h *Server) accept(l net.Listener) error {
	for {
		c, err := l.Accept()
		if h.ctx.Err() != nil {
			if err == nil {
				c.Close()
			}
			return nil
		}
		if err != nil {
			select {
			case <-h.ctx.Done():
				return nil
			case <-h.listenerClosed:
				<-h.ctx.Done()
				return nil
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		h.SessionsAccepted.Add(1)
		h.tasks.Go(func() { h.serveClient(c) })
	}
}

// serveClient is a session's reading goroutine.
func (h *Server) serveClient(c net.Conn) {
	s := &clientSession{server: h, out: newBufferedConn(c)}
	in := &lineReader{conn: c}
	c.SetReadDeadline(time.Now().Add(connectMessageTimeout))
	line, _, err := in.next(wire.CutLine)
	var hello wire.Request
	if err == nil {
		hello, err = wire.ParseRequest(line)
	}
	if err != nil || hello.Kind != wire.Connect {
		h.MalformedInputs.Add(1)
		if err != nil && len(line) == 0 {
			c.Close()
			return
		}
		closeWithError(c, h.errorReply(errcode.ConnectExpected, 0))
		return
	}
	c.SetReadDeadline(time.Time{})
	if !h.queue.Put(eventloop.PriorityCommands, func() { h.beginSession(s, hello.Name) }) {
		c.Close()
		return
	}
	for {
		line, _, err := in.next(wire.CutLine)
		if err != nil {
			break
		}
		at := time.Now()
		r, bad := wire.ParseRequest(line)
		if bad == nil && r.Kind == wire.Bye {
			break
		}
		if bad != nil && r.ID == "" || bad == nil && r.Kind == wire.Connect {
			h.MalformedInputs.Add(1)
			h.queue.Put(eventloop.PriorityCommands, func() {
				h.sendFinal(s, h.errorReply(errcode.BadMessage, 0))
			})
			break
		}
		if !h.queue.Put(eventloop.PriorityCommands, func() { h.enqueueMessage(s, clientMessage{r, bad, at}) }) {
			break
		}
	}
	if !h.queue.Put(eventloop.PriorityCommands, func() { h.sessionClosed(s) }) {
		c.Close()
	}
}

// closeWithError tells why a connection ends and closes it, so that the word is read: over unread bytes a close would reset.
func closeWithError(c net.Conn, last []byte) {
	o := newBufferedConn(c)
	o.write(last)
	o.finish()
	var drop [2048]byte
	for {
		if _, err := c.Read(drop[:]); err != nil {
			break
		}
	}
	c.Close()
}

// sendFinal says a last word to a session and lets its reader end it.
func (h *Server) sendFinal(s *clientSession, word []byte) {
	if s.closed {
		return
	}
	s.out.write(word)
	s.out.finish()
	s.closed = true
}

// beginSession greets a session, if its database is one of a route.
func (h *Server) beginSession(s *clientSession, database string) {
	s.database = database
	h.lastID++
	s.id, s.policyKey = h.lastID, formatID(h.lastID)
	if !h.configCurrent() && len(h.waitingClients) < maxWaitingClients && !h.shuttingDown {
		h.waitingClients = append(h.waitingClients, waitingClient{s, database, h.clock.Time()}) // it may be in touch before the client goes
		return
	}
	h.greetClient(s, database)
}

// waitingClient is a session that came before this router was in touch.
type waitingClient struct {
	session   *clientSession
	database  string
	arrivedAt time.Time
}

const (
	maxWaitingClients    = 2048
	waitingClientTimeout = 900 * time.Millisecond
)

// greetWaitingClients greets those that wait, once this router is in touch, or when they have waited for long enough.
func (h *Server) greetWaitingClients(now time.Time) {
	touch := h.configCurrent()
	for len(h.waitingClients) > 0 && (touch || now.Sub(h.waitingClients[0].arrivedAt) > waitingClientTimeout) {
		e := h.waitingClients[0]
		h.waitingClients = h.waitingClients[1:]
		h.greetClient(e.session, e.database)
	}
}

func (h *Server) greetClient(s *clientSession, database string) {
	if s.closed {
		return
	}
	if h.routes[database] == nil {
		if !h.configCurrent() {
			h.sendFinal(s, h.errorReply(errcode.NoValidLease, 0))
			return
		}
		h.UnknownDatabase.Add(1)
		h.sendFinal(s, h.errorReply(errcode.UnknownDatabase, 0))
		return
	}
	h.sessions[s] = struct{}{}
	s.out.write(wire.AppendIdle(nil, 'I', wire.Position{}))
}

// enqueueMessage takes in a statement; those of one session are answered in order.
func (h *Server) enqueueMessage(s *clientSession, m clientMessage) {
	if s.closed {
		return
	}
	if len(s.pipelined) >= maxPipelined {
		h.MalformedInputs.Add(1)
		h.sendFinal(s, h.errorReply(errcode.PipelineTooDeep, 0))
		return
	}
	s.pipelined = append(s.pipelined, m)
	if s.statement == nil {
		h.processMessages(s)
	}
}

// processMessages takes a session's messages on until one has to be waited for.
func (h *Server) processMessages(s *clientSession) {
	for s.statement == nil && len(s.pipelined) > 0 && !s.closed {
		m := s.pipelined[0]
		if s.pipelined = s.pipelined[1:]; len(s.pipelined) == 0 {
			s.pipelined = nil
		}
		h.handleStatement(s, m)
	}
	if s.statement == nil {
		s.idleSince = h.clock.Time()
		switch {
		case s.readerEnded:
			h.sessionClosed(s)
		case h.shuttingDown && s.IdleState() == 'I' && len(h.sessions) > 0 && h.closeIdleSessions:
			h.endSession(s)
		}
	}
}

// respond gives a session an answer and its IDLE.
func (h *Server) respond(s *clientSession, lines []byte) {
	if s.closed {
		return
	}
	b := append(make([]byte, 0, len(lines)+32), lines...)
	if _, ok := s.out.write(wire.AppendIdle(b, s.IdleState(), s.lastPosition)); !ok {
		s.out.close() // its reader notices
	}
}

// endSession has a session that is at I with nothing asked end: no more is read from it, and what was read is answered first.
func (h *Server) endSession(s *clientSession) {
	if !s.closed && !s.ending {
		s.ending = true
		s.out.stop()
	}
}

// sessionClosed takes in that nothing more comes from a client: it is gone, or is to end.
func (h *Server) sessionClosed(s *clientSession) {
	if s.ending && !s.closed && (s.statement != nil || len(s.pipelined) > 0) {
		s.readerEnded = true
		return
	}
	s.closed = true
	s.out.close()
	delete(h.sessions, s)
	s.pipelined = nil
	if c := s.statement; c != nil {
		h.abandonStatement(c)
	}
	if k := s.pinnedConn; k != nil && k.statement == nil {
		s.pinnedConn = nil
		h.rollBack(k)
	}
}

// rollBack has a connection's transaction rolled back, so that it serves on.
func (h *Server) rollBack(k *hostConn) {
	k.session = nil
	if k.closed {
		return
	}
	k.rollingBack = true
	k.pendingSetup++
	if _, ok := k.out.write(wire.AppendQuery(nil, "-", "ABORT")); !ok {
		h.closeConn(k)
	}
}

// pinnedConnLost notes that the connection of a session's transaction is gone; c is what was out on it.
func (s *clientSession) pinnedConnLost(c *statement) {
	s.pinnedConn = nil
	if s.IdleState() != 'I' {
		s.ConnectionLost()
	}
}
