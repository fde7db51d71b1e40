package transport

import (
	"cmp"
	"context"
	"errors"
	"iter"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
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
	parting  map[*client]bool // told to end; true: only its last words are still being sent
	listener net.Listener
	shut     bool // no more are accepted
	draining bool

	// Accepted is the sum of what is open and of the connections that ended: made way for others, not whole in
	// time, unreadable, nothing but refused commands, no room for what they send, or left by their clients, by
	// a fault of writing, or at the end of the program.
	Accepted, Evicted, Slow, Torn, Wild, Cramped, Gone atomic.Int64

	Shed, Foreign atomic.Int64 // commands for which there was no connection; in other messages
}

// NewClients serves whoever Serve accepts.
func NewClients(l *setup.Limits, room *Room, taker Taker) *Clients {
	s := &Clients{limits: l, room: room, taker: taker, open: map[*client]struct{}{},
		parting: map[*client]bool{}}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Serve accepts until the context ends and returns when all connections have.
func (s *Clients) Serve(ctx context.Context, l net.Listener) error {
	defer s.tasks.Wait()
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.mu.Lock()
		for _, all := range []iter.Seq[*client]{maps.Keys(s.open), maps.Keys(s.parting)} {
			for c := range all {
				c.conn.Close()
			}
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
			s.mu.Lock()
			shut := s.shut
			s.mu.Unlock()
			if !shut {
				return err
			}
			<-ctx.Done()
			return nil
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
		c.began = c.idle
		c.changed = sync.NewCond(&c.mu)
		s.mu.Lock()
		s.open[c] = struct{}{}
		// Clients may be held to a number of connections of their own, so those they leave idle make way
		// before all places are taken.
		if 2*len(s.open) > s.limits.Clients {
			s.evict(c, true, s.limits.Free)
		}
		if len(s.open) > s.limits.Clients {
			s.evict(c, false, 0)
		}
		c.over = len(s.open) > s.limits.Clients
		s.tasks.Go(c.read)
		s.tasks.Go(c.write)
		for len(s.open)+len(s.parting) >= s.limits.Clients+s.limits.Spare && ctx.Err() == nil {
			if s.cut() {
				continue
			}
			s.evict(c, false, 0)
			again := time.AfterFunc(s.limits.Again, s.changed.Broadcast) // some may stay unused
			s.changed.Wait()
			again.Stop()
		}
		s.mu.Unlock()
	}
}

// evict has a client connection leave that owes and is owed nothing: first one that has brought no
// command worth taking, or only part of one, for a while, then the one that was idle for longest; with
// proved, only such. Guards against connections that ask for nothing keeping out those that do.
func (s *Clients) evict(but *client, proved bool, least time.Duration) {
	var oldest *client
	var since time.Time
	best := proved
	for c := range s.open {
		if at, is, idle := c.idleSince(); idle && c != but && (is || !proved) && time.Since(at) >= least &&
			(oldest == nil || best && !is || best == is && at.Before(since)) {
			oldest, since, best = c, at, is
		}
	}
	if oldest != nil && oldest.settle(true) {
		delete(s.open, oldest)
		s.parting[oldest] = false
	}
}

// cut closes a connection that has been told why it ends.
func (s *Clients) cut() bool {
	for c, told := range s.parting {
		if told {
			c.conn.Close()
			delete(s.parting, c)
			return true
		}
	}
	return false
}

// Open counts the connections that are held.
func (s *Clients) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) + len(s.parting)
}

// Close accepts no more; what is open stays so.
func (s *Clients) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shut = true; s.listener != nil {
		s.listener.Close()
	}
}

// Drain closes each connection that is between commands, from now on as soon as it is, and
// says how many are left.
func (s *Clients) Drain() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.open {
		c.settle(false)
	}
	left := len(s.open)
	for _, told := range s.parting {
		if !told {
			left++
		}
	}
	return left
}

// isOver says whether a client came past the limit and as many others have commands open.
func (s *Clients) isOver(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.over {
		return false
	}
	busy := 0
	for other := range s.open {
		other.mu.Lock()
		if other.owed() {
			busy++
		}
		other.mu.Unlock()
	}
	c.over = busy > s.limits.Clients
	return c.over
}

// answered is told when a client has been sent an answer, and may be between commands.
func (s *Clients) answered(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || c.isLeaving() {
		c.settle(false)
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
	partial  bool // some of a message has come, but not all
	closed   bool
	used     bool          // a whole message has come
	proved   bool          // one of its commands was taken
	skipping bool          // what comes before the next Sync
	leaving  bool          // it closes as soon as it is between commands
	cause    *atomic.Int64 // counts why it ends; nil: its client left
	over     bool          // it came when all others were busy: its commands are throttled
	last     bool          // no more commands are taken; what is owed is written
	refused  int           // commands in a row
	idle     time.Time
	began    time.Time // when the first byte of a part came, or the connection
	until    time.Time // its read deadline, unless it is leaving
}

// Slot is the place of one command's answer on its connection.
type Slot struct {
	client *client
	held   int // room taken for the command
	body   []byte
	done   bool
}

// idleSince says whether nothing would be lost with the connection, and since when. A client may
// write its first command right behind its startup message, so a new one is left alone for a while.
func (c *client) idleSince() (at time.Time, proved, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at = c.idle; c.partial || !c.used {
		at = c.began
	}
	return at, c.proved && !c.partial, !c.closed && !c.leaving && !c.last && !c.owed() &&
		(c.used && !c.partial || time.Since(at) > c.server.limits.Unused)
}

func (c *client) owed() bool { return c.writing || len(c.slots)+len(c.out) > 0 }

// between says whether the connection may close: nothing is owed, and no command is coming in.
func (c *client) between() bool {
	return !c.closed && !c.owed() && (!c.partial && c.used || time.Since(c.began) > c.server.limits.Unused)
}

// settle has a connection close if it is between commands; half a command that just came in counts as
// one, but not to make way for others. Its reader does that, unless it has just read a command, which
// is answered first: what was read is not lost, what was not is sent again by its client.
func (c *client) settle(half bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.between() || c.partial && !half {
		return false
	}
	c.leaving = true
	if half {
		c.cause = &c.server.Evicted
	}
	c.conn.SetReadDeadline(time.Now())
	return true
}

func (c *client) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// expect sets how long may be read: a first command, or the rest of one, has a limit. Guards against
// connections that say nothing, or half of something, for good.
func (c *client) expect(part bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if part && !c.partial && c.used {
		c.began = time.Now()
	}
	c.partial = part
	until := time.Time{}
	if part || !c.used {
		until = c.began.Add(c.server.limits.Whole)
	}
	if !c.leaving && !until.Equal(c.until) {
		c.conn.SetReadDeadline(until)
	}
	c.until = until
}

// expired is the reader's side of settle and expect: whether the connection is to end, and whether it was
// too slow.
func (c *client) expired() (end, slow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.until.IsZero() && !time.Now().Before(c.until) && !c.owed() {
		return true, true
	}
	if c.leaving && c.between() && !waiting(c.conn) {
		return true, c.partial
	}
	c.conn.SetReadDeadline(c.until)
	if c.owed() && !c.until.IsZero() { // what is owed comes first
		c.until = time.Now().Add(c.server.limits.Whole)
		c.conn.SetReadDeadline(c.until)
	}
	return false, false
}

func (c *client) shut() {
	c.closed = true
	c.changed.Broadcast()
	c.conn.Close()
}

// Answer gives a command the frames that a host sent for it.
func (s *Slot) Answer(frames []byte) { s.end(protocol.AppendReady(frames)) }

// Refuse is the answer to what is no command that is served here.
func (s *Slot) Refuse(code, say string) {
	s.client.mu.Lock()
	s.client.refused++
	s.client.mu.Unlock()
	s.Fail(code, say)
}

// Taken notes that the client brings commands that are served here.
func (s *Slot) Taken() {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.client.proved, s.client.refused = true, 0
}

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
	s.body, s.done = body, true
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
		c.mu.Unlock()
		c.server.answered(c)
	}
}

// read is the goroutine that takes commands in.
func (c *client) read() {
	s, l := c.server, c.server.limits
	in := newBuffer(s.room, l.Buffer, l.Message)
	if c.greet(in) {
		for c.take(in) {
		}
	}
	in.free()
	c.mu.Lock()
	c.partial = false
	for c.last && !c.closed && c.owed() {
		c.changed.Wait() // what is owed is written before the end
	}
	told := c.last && !c.closed
	c.mu.Unlock()
	if told {
		c.part()
	}
	c.mu.Lock()
	c.shut()
	cause := cmp.Or(c.cause, &s.Gone)
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
	delete(s.parting, c)
	cause.Add(1)
	s.changed.Broadcast()
	s.mu.Unlock()
}

// part lets a client that is still sending read why its connection ends: closing over unread input
// would reset it. What comes is read slowly and dropped.
func (c *client) part() {
	s := c.server
	s.mu.Lock()
	delete(s.open, c)
	s.parting[c] = true
	s.changed.Broadcast()
	s.mu.Unlock()
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.conn.SetReadDeadline(time.Now().Add(s.limits.Part))
	drop := drops.Get().(*[]byte)
	defer drops.Put(drop)
	for {
		n, err := c.conn.Read(*drop)
		if err != nil {
			return
		}
		if n == len(*drop) {
			time.Sleep(time.Millisecond)
		}
	}
}

var drops = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// greet takes the startup message; encryption is declined, cancelling is not served.
func (c *client) greet(in *buffer) bool {
	for {
		code, n, err := protocol.First(in.bytes(), min(in.most, protocol.LongestStartup))
		switch {
		case err != nil:
			c.end(&c.server.Torn, protocol.Bad, err.Error())
			return false
		case n == 0:
			if !c.more(in, len(in.bytes()) > 0) {
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
			return true
		case code == protocol.Cancel:
			return false
		default:
			c.end(&c.server.Torn, protocol.NoSuch, "a version of the protocol that is not spoken")
			return false
		}
	}
}

// more reads once, within the time that there is for it; false ends the connection.
func (c *client) more(in *buffer, part bool) bool {
	for c.expect(part); ; {
		err := in.fill(c.conn)
		switch {
		case err == nil:
			return true
		case errors.Is(err, os.ErrDeadlineExceeded):
			end, slow := c.expired()
			if !end {
				continue
			}
			if slow {
				c.end(&c.server.Slow, protocol.NotNow, "no whole command came in time")
			}
		case err == errRoom:
			c.end(&c.server.Cramped, protocol.TooMany, err.Error())
		}
		return false
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
	at := time.Now()
	for {
		kind, body, n, err := protocol.Next(in.bytes(), in.most)
		if err != nil {
			c.end(&c.server.Torn, protocol.Bad, err.Error())
			return false
		}
		if n > 0 {
			ok := c.message(kind, body, at)
			in.use(n)
			return ok && !c.wild()
		}
		if !c.more(in, len(in.bytes()) > 0) {
			return false
		}
		at = time.Now()
	}
}

// wild ends a connection that brings nothing but what is refused. Guards against clients that send
// the same again, at full speed, as soon as it is turned away.
func (c *client) wild() bool {
	c.mu.Lock()
	wild := c.refused > c.server.limits.Refusals
	c.used, c.partial = true, false
	c.mu.Unlock()
	if wild {
		c.end(&c.server.Wild, protocol.Bad, "nothing but commands that are not served")
	}
	return wild
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
			slot.Refuse(protocol.Bad, "a query that does not end where its message does")
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
		c.add().Refuse(protocol.NoSuch, "only simple queries are served")
	default:
		c.end(&c.server.Torn, protocol.Bad, "a message that is not known")
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

// end tells why a connection ends, after the answers before it, and counts the cause.
func (c *client) end(cause *atomic.Int64, code, say string) {
	slot := c.add()
	c.mu.Lock()
	c.last, c.cause = true, cause
	c.mu.Unlock()
	slot.end(protocol.AppendError(nil, "FATAL", code, say, ""))
}
