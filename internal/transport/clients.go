package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ferrypitch/internal/protocol"
	"ferrypitch/internal/setup"
)

// Taker is told what clients bring, from their connections' goroutines. It may
// block to hold a client back.
type Taker interface {
	Command(s *Slot, statement []byte, at time.Time)
	Empty(s *Slot)
	Left(s *Slot) // its client is gone; it was not answered
}

// Clients are the connections of all clients.
type Clients struct {
	limits *setup.Limits
	room   *Room
	taker  Taker
	tasks  sync.WaitGroup

	mu       sync.Mutex
	changed  *sync.Cond // a connection has ended
	open     map[*client]struct{}
	draining bool
	full     bool // Serve waits for one to end or to become idle

	Accepted, Evicted atomic.Int64 // connections
	Shed, Foreign     atomic.Int64 // commands for which there was no connection; in other messages or torn
}

// NewClients serves whoever Serve accepts.
func NewClients(l *setup.Limits, room *Room, taker Taker) *Clients {
	s := &Clients{limits: l, room: room, taker: taker, open: map[*client]struct{}{}}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Serve accepts until the context ends and returns when all connections have.
func (s *Clients) Serve(ctx context.Context, l net.Listener) error {
	defer s.tasks.Wait()
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.mu.Lock()
		for c := range s.open {
			c.conn.Close()
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	})
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil { // out of descriptors, say: it must not spin
			select {
			case <-ctx.Done():
			case <-time.After(s.limits.Again):
			}
			continue
		}
		s.Accepted.Add(1)
		c := &client{server: s, conn: conn, partial: true, idle: time.Now()}
		c.changed = sync.NewCond(&c.mu)
		s.mu.Lock()
		s.open[c] = struct{}{}
		c.over = len(s.open) > s.limits.Clients
		s.tasks.Go(c.read)
		s.tasks.Go(c.write)
		for len(s.open) >= s.limits.Clients && ctx.Err() == nil {
			if s.full = true; !s.evict(c) && len(s.open) < s.limits.Clients+s.limits.Spare {
				break
			}
			again := time.AfterFunc(s.limits.Again, s.changed.Broadcast) // some may have stayed unused
			s.changed.Wait()
			again.Stop()
		}
		s.full = false
		s.mu.Unlock()
	}
}

// evict has the client connection leave that has been idle for longest, and one that was
// never used only if there is no other. Guards against a full table of them keeping new
// clients out.
func (s *Clients) evict(but *client) bool {
	var oldest *client
	var since time.Time
	var used bool
	for c := range s.open {
		if at, answered, idle := c.idleSince(); idle && c != but && (oldest == nil ||
			answered && !used || answered == used && at.Before(since)) {
			oldest, since, used = c, at, answered
		}
	}
	if oldest == nil || !oldest.settle() {
		return false
	}
	s.Evicted.Add(1)
	return true
}

// Open counts the connections that are held.
func (s *Clients) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Drain closes each connection that is between commands, from now on as soon as it is, and
// says how many are left.
func (s *Clients) Drain() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.open {
		c.settle()
	}
	return len(s.open)
}

// isOver says whether a client came past the limit and others are still too many.
func (s *Clients) isOver(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.over = c.over && len(s.open) > s.limits.Clients
	return c.over
}

// answered is told when a client has been sent an answer, and may be between commands.
func (s *Clients) answered(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || c.isLeaving() {
		c.settle()
	}
	if s.full {
		s.changed.Broadcast()
	}
}

// client is one connection. Its slots are answered in order.
type client struct {
	server *Clients
	conn   net.Conn

	mu       sync.Mutex
	changed  *sync.Cond
	slots    []*Slot
	out      [][]byte
	writing  bool
	partial  bool // some of a message has come
	closed   bool
	answered bool
	skipping bool // what comes before the next Sync
	leaving  bool // it closes as soon as it is between commands
	over     bool // it came when all others were busy: its commands are throttled
	last     bool // no more commands are taken; what is owed is written
	idle     time.Time
}

// Slot is the place of one command's answer on its connection.
type Slot struct {
	client *client
	held   int // room taken for the command
	body   []byte
	done   bool
}

func (c *client) idleSince() (at time.Time, answered, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, c.answered, c.between() && !c.leaving
}

// between says whether nothing is owed. A client may write its first command right behind its
// startup message, so one that was never answered is left alone for a while.
func (c *client) between() bool {
	return !c.closed && !c.writing && !c.partial && len(c.slots) == 0 && len(c.out) == 0 &&
		(c.answered || time.Since(c.idle) > c.server.limits.Unused)
}

// settle has a connection close if it is between commands. Its reader does that, unless it has
// just read a command, which is answered first: what was read is not lost, what was
// not is sent again by its client.
func (c *client) settle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.between() {
		return false
	}
	c.leaving = true
	c.conn.SetReadDeadline(time.Now())
	return true
}

func (c *client) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// leave is the reader's side of settle.
func (c *client) leave() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.between() {
		return true
	}
	c.conn.SetReadDeadline(time.Time{})
	return false
}

func (c *client) shut() {
	c.closed = true
	c.changed.Broadcast()
	c.conn.Close()
}

// Answer gives a command the frames that a host sent for it.
func (s *Slot) Answer(frames []byte) { s.end(protocol.AppendReady(frames)) }

// Throttle tells the client that asking again does no harm, after so many milliseconds.
func (s *Slot) Throttle(after int64) {
	detail := ""
	if after > 0 {
		detail = strconv.FormatInt(after, 10)
	}
	s.end(protocol.AppendReady(protocol.AppendError(nil, "ERROR", protocol.TooMany, "throttled, try again", detail)))
}

// Fail promises nothing of the command's effect.
func (s *Slot) Fail(code, say string) {
	s.end(protocol.AppendReady(protocol.AppendError(nil, "ERROR", code, say, "")))
}

// Empty answers an empty query.
func (s *Slot) Empty() { s.end(protocol.AppendReady(protocol.AppendEmpty(nil))) }

// end writes an answer as soon as those before it are written.
func (s *Slot) end(body []byte) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.done || c.closed {
		return
	}
	s.release()
	if !c.charge(body) {
		c.shut() // clients read too slowly for what all may hold
		return
	}
	s.body, s.done, c.answered = body, true, true
	n := 0
	for n < len(c.slots) && c.slots[n].done {
		c.out = append(c.out, c.slots[n].body)
		c.slots[n].body = nil
		n++
	}
	c.slots = slices.Delete(c.slots, 0, n)
	c.changed.Broadcast()
}

func (s *Slot) release() {
	s.client.server.room.give(s.held)
	s.held = 0
}

// charge takes room for an answer that is more than a first buffer; discharge gives it back.
func (c *client) charge(body []byte) bool {
	return len(body) <= c.server.limits.Buffer || c.server.room.take(len(body))
}

func (c *client) discharge(body []byte) {
	if len(body) > c.server.limits.Buffer {
		c.server.room.give(len(body))
	}
}

// add makes a slot, once fewer than the limit wait for their answers.
func (c *client) add() *Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && len(c.slots)+len(c.out) >= c.server.limits.Ahead {
		c.changed.Wait()
	}
	s := &Slot{client: c}
	c.slots = append(c.slots, s)
	return s
}

// write is the goroutine that sends what is answered, so that a slow reader
// holds up nobody else.
func (c *client) write() {
	l := c.server.limits
	for {
		c.mu.Lock()
		for !c.closed && len(c.out) == 0 {
			c.changed.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		out := net.Buffers(c.out)
		c.out, c.writing = nil, true
		c.changed.Broadcast()
		c.mu.Unlock()
		c.conn.SetWriteDeadline(time.Now().Add(l.Stuck))
		sent := slices.Clone(out)
		_, err := out.WriteTo(c.conn)
		for _, body := range sent {
			c.discharge(body)
		}
		c.mu.Lock()
		c.writing, c.idle = false, time.Now()
		if err != nil {
			c.shut()
		}
		c.changed.Broadcast()
		answered := c.answered
		c.mu.Unlock()
		if answered {
			c.server.answered(c)
		}
	}
}

// read is the goroutine that takes commands in.
func (c *client) read() {
	s, l := c.server, c.server.limits
	in := newBuffer(s.room, l.Buffer, l.Message)
	if c.greet(in) {
		c.rest(in)
		for c.take(in) {
		}
	}
	in.free()
	c.mu.Lock()
	c.partial = false
	for c.last && !c.closed && (c.writing || len(c.slots)+len(c.out) > 0) {
		c.changed.Wait() // what is owed is written before the end
	}
	c.shut()
	left := c.slots
	for _, body := range c.out {
		c.discharge(body)
	}
	for _, slot := range left {
		slot.release()
		c.discharge(slot.body)
	}
	c.slots, c.out = nil, nil
	c.mu.Unlock()
	for _, slot := range left {
		if !slot.done {
			s.taker.Left(slot)
		}
	}
	s.mu.Lock()
	delete(s.open, c)
	s.changed.Broadcast()
	s.mu.Unlock()
}

// greet takes the startup message; encryption is declined, cancelling is not served.
func (c *client) greet(in *buffer) bool {
	c.conn.SetReadDeadline(time.Now().Add(c.server.limits.Startup))
	for {
		code, n, err := protocol.First(in.bytes(), in.most)
		if err != nil {
			return false
		}
		if n == 0 {
			if in.fill(c.conn) != nil {
				return false
			}
			continue
		}
		in.use(n)
		switch {
		case code == protocol.SSL || code == protocol.GSS:
			c.put([]byte{'N'})
		case code>>16 == protocol.Version>>16:
			c.put(protocol.AppendGreeting(nil))
			c.conn.SetReadDeadline(time.Time{})
			return true
		default: // a cancel request, or a version that is not spoken
			return false
		}
	}
}

// put writes what is no answer to a command.
func (c *client) put(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = append(c.out, b)
	c.changed.Broadcast()
}

// take reads one message and hands it on. A command counts from when its last byte was read.
func (c *client) take(in *buffer) bool {
	var at time.Time
	for {
		kind, body, n, err := protocol.Next(in.bytes(), in.most)
		if err != nil {
			c.server.Foreign.Add(1)
			c.fatal(protocol.Bad, err.Error())
			return false
		}
		if n > 0 {
			if at.IsZero() {
				at = time.Now()
			}
			ok := c.message(kind, body, at)
			in.use(n)
			c.rest(in)
			return ok
		}
		err = in.fill(c.conn)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if c.leave() {
				return false
			}
			continue
		case err == errRoom:
			c.fatal(protocol.TooMany, err.Error())
		}
		if err != nil {
			return false
		}
		at = time.Now()
		c.mu.Lock()
		c.partial = true
		c.mu.Unlock()
	}
}

// rest notes whether more has come than was taken.
func (c *client) rest(in *buffer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = len(in.bytes()) > 0
}

func (c *client) message(kind byte, body []byte, at time.Time) bool {
	switch {
	case kind == protocol.Terminate:
		return false
	case kind == protocol.Sync:
		c.skipping = false
		c.add().end(protocol.AppendReady(nil))
	case c.skipping:
	case kind == protocol.Query:
		statement, ok := protocol.Statement(body)
		slot := c.add()
		switch {
		case !ok:
			c.server.Foreign.Add(1)
			slot.Fail(protocol.Bad, "a query that does not end where its message does")
		case protocol.Empty(statement):
			c.server.taker.Empty(slot)
		case c.server.isOver(c): // else it would wait unread until its time is up
			c.server.Shed.Add(1)
			slot.Throttle(0)
		case len(statement) > c.server.limits.Buffer && !c.hold(slot, len(statement)):
			slot.Throttle(0) // nothing of it was sent
		default:
			c.server.taker.Command(slot, slices.Clone(statement), at)
		}
	case kind == 'd' || kind == 'c' || kind == 'f' || kind == 'H': // of a copy that was never begun, or a flush
	case kind == 'P' || kind == 'B' || kind == 'D' || kind == 'E' || kind == 'C':
		c.server.Foreign.Add(1)
		c.skipping = true
		c.add().end(protocol.AppendError(nil, "ERROR", protocol.NoSuch, "only simple queries are served", ""))
	case kind == 'F':
		c.server.Foreign.Add(1)
		c.add().Fail(protocol.NoSuch, "only simple queries are served")
	default:
		c.server.Foreign.Add(1)
		c.fatal(protocol.Bad, "a message that is not known")
		return false
	}
	return true
}

// hold takes room for a long command until it is answered.
func (c *client) hold(s *Slot, size int) bool {
	if !c.server.room.take(size) {
		return false
	}
	c.mu.Lock()
	s.held = size
	c.mu.Unlock()
	return true
}

// fatal tells why a connection ends, after the answers before it.
func (c *client) fatal(code, say string) {
	slot := c.add()
	c.mu.Lock()
	c.last = true
	c.mu.Unlock()
	slot.end(protocol.AppendError(nil, "FATAL", code, say, ""))
}
