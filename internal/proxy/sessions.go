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
	mostAhead  = 16 // messages that a client may send before the first is answered
	connectIn  = 10 * time.Second
	firstWords = 64 << 10
)

// clientSession is a client's connection. All but its socket belongs to the owner.
type clientSession struct {
	session.Session
	h        *Server
	out      nonblockingConn
	serial   uint64
	key      string // what the module calls it
	database string
	ahead    []message
	call     *call     // what is being answered
	pin      *hostConn // of its transaction
	lead     uint64    // under which its transaction began, where it needs the primary
	restAt   time.Time // since when its transaction rests
	closed   bool
	ending   bool // nothing more is read from it
	parted   bool // its reader has ended; what it brought is answered first
	last     wire.Position
	route    *route // of its transaction
}

type message struct {
	request wire.Request
	err     error
	at      time.Time
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
		h.Accepted.Add(1)
		h.tasks.Go(func() { h.client(c) })
	}
}

// client is a session's reading goroutine.
func (h *Server) client(c net.Conn) {
	s := &clientSession{h: h, out: newBufferedConn(c)}
	in := &lines{conn: c}
	c.SetReadDeadline(time.Now().Add(connectIn))
	line, _, err := in.next(wire.CutLine)
	var hello wire.Request
	if err == nil {
		hello, err = wire.ParseRequest(line)
	}
	if err != nil || hello.Kind != wire.Connect {
		h.Torn.Add(1)
		if err != nil && len(line) == 0 {
			c.Close()
			return
		}
		part(c, h.tell(errcode.ConnectExpected, 0))
		return
	}
	c.SetReadDeadline(time.Time{})
	if !h.queue.Put(eventloop.PriorityCommands, func() { h.begin(s, hello.Name) }) {
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
			h.Torn.Add(1)
			h.queue.Put(eventloop.PriorityCommands, func() {
				h.final(s, h.tell(errcode.BadMessage, 0))
			})
			break
		}
		if !h.queue.Put(eventloop.PriorityCommands, func() { h.message(s, message{r, bad, at}) }) {
			break
		}
	}
	if !h.queue.Put(eventloop.PriorityCommands, func() { h.left(s) }) {
		c.Close()
	}
}

// part tells why a connection ends and closes it, so that the word is read: over unread bytes a close would reset.
func part(c net.Conn, last []byte) {
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

// final says a last word to a session and lets its reader end it.
func (h *Server) final(s *clientSession, word []byte) {
	if s.closed {
		return
	}
	s.out.write(word)
	s.out.finish()
	s.closed = true
}

// begin greets a session, if its database is one of a route.
func (h *Server) begin(s *clientSession, database string) {
	s.database = database
	h.serial++
	s.serial, s.key = h.serial, number(h.serial)
	if !h.inTouch() && len(h.early) < mostEarly && !h.leaving {
		h.early = append(h.early, early{s, database, h.clock.Time()}) // it may be in touch before the client goes
		return
	}
	h.greet(s, database)
}

// early is a session that came before this router was in touch.
type early struct {
	session  *clientSession
	database string
	at       time.Time
}

const (
	mostEarly = 2048
	earlyFor  = 900 * time.Millisecond
)

// greetEarly greets those that wait, once this router is in touch, or when they have waited for long enough.
func (h *Server) greetEarly(now time.Time) {
	touch := h.inTouch()
	for len(h.early) > 0 && (touch || now.Sub(h.early[0].at) > earlyFor) {
		e := h.early[0]
		h.early = h.early[1:]
		h.greet(e.session, e.database)
	}
}

func (h *Server) greet(s *clientSession, database string) {
	if s.closed {
		return
	}
	if h.routes[database] == nil {
		if !h.inTouch() {
			h.final(s, h.tell(errcode.NoValidLease, 0))
			return
		}
		h.NoDB.Add(1)
		h.final(s, h.tell(errcode.UnknownDatabase, 0))
		return
	}
	h.sessions[s] = struct{}{}
	s.out.write(wire.AppendIdle(nil, 'I', wire.Position{}))
}

// message takes in a statement; those of one session are answered in order.
func (h *Server) message(s *clientSession, m message) {
	if s.closed {
		return
	}
	if len(s.ahead) >= mostAhead {
		h.Torn.Add(1)
		h.final(s, h.tell(errcode.PipelineTooDeep, 0))
		return
	}
	s.ahead = append(s.ahead, m)
	if s.call == nil {
		h.next(s)
	}
}

// next takes a session's messages on until one has to be waited for.
func (h *Server) next(s *clientSession) {
	for s.call == nil && len(s.ahead) > 0 && !s.closed {
		m := s.ahead[0]
		if s.ahead = s.ahead[1:]; len(s.ahead) == 0 {
			s.ahead = nil
		}
		h.statement(s, m)
	}
	if s.call == nil {
		s.restAt = h.clock.Time()
		switch {
		case s.parted:
			h.left(s)
		case h.leaving && s.IdleState() == 'I' && len(h.sessions) > 0 && h.past:
			h.end(s)
		}
	}
}

// answer gives a session an answer and its IDLE.
func (h *Server) answer(s *clientSession, lines []byte) {
	if s.closed {
		return
	}
	b := append(make([]byte, 0, len(lines)+32), lines...)
	if _, ok := s.out.write(wire.AppendIdle(b, s.IdleState(), s.last)); !ok {
		s.out.close() // its reader notices
	}
}

// end has a session that is at I with nothing asked end: no more is read from it, and what was read is answered first.
func (h *Server) end(s *clientSession) {
	if !s.closed && !s.ending {
		s.ending = true
		s.out.stop()
	}
}

// left takes in that nothing more comes from a client: it is gone, or is to end.
func (h *Server) left(s *clientSession) {
	if s.ending && !s.closed && (s.call != nil || len(s.ahead) > 0) {
		s.parted = true
		return
	}
	s.closed = true
	s.out.close()
	delete(h.sessions, s)
	s.ahead = nil
	if c := s.call; c != nil {
		h.abandon(c)
	}
	if k := s.pin; k != nil && k.call == nil {
		s.pin = nil
		h.roll(k)
	}
}

// roll has a connection's transaction rolled back, so that it serves on.
func (h *Server) roll(k *hostConn) {
	k.session = nil
	if k.closed {
		return
	}
	k.roll = true
	k.setup++
	if _, ok := k.out.write(wire.AppendQuery(nil, "-", "ABORT")); !ok {
		h.close(k)
	}
}

// dropped notes that the connection of a session's transaction is gone; c is what was out on it.
func (s *clientSession) dropped(c *call) {
	s.pin = nil
	if s.IdleState() != 'I' {
		s.ConnectionLost()
	}
}
