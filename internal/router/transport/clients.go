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

// CommandHandler is told what clients bring, from their connections' goroutines. It may
// block to hold a client back.
type CommandHandler interface {
	HandleCommand(s *Slot, statement []byte, at time.Time)
	HandleEmptyQuery(s *Slot)
	ClientDisconnected(s *Slot) // its client is gone; it was not answered
}

// Clients are the connections of all clients.
type Clients struct {
	limits  *setup.Limits
	budget  *Room
	handler CommandHandler
	tasks   sync.WaitGroup

	mu        sync.Mutex
	connEnded *sync.Cond // a connection has ended
	open      map[*clientConn]struct{}
	closing   map[*clientConn]bool // told to end; true: only its last words are still being sent
	listener  net.Listener
	stopped   bool // no more are accepted
	draining  bool

	// Accepted is the sum of what is open and of the connections that ended: made way for others, not whole in
	// time, unreadable, nothing but refused commands, no room for what they send, or left by their clients, by
	// a fault of writing, or at the end of the program.
	Accepted, Evicted, TimedOut, Malformed, RejectedOnly, OutOfBuffers, Disconnected atomic.Int64

	Shed, Unsupported atomic.Int64 // commands for which there was no connection; in other messages
}

// NewClients serves whoever Serve accepts.
func NewClients(limits *setup.Limits, budget *Room, handler CommandHandler) *Clients {
	s := &Clients{limits: limits, budget: budget, handler: handler, open: map[*clientConn]struct{}{},
		closing: map[*clientConn]bool{}}
	s.connEnded = sync.NewCond(&s.mu)
	return s
}

// Serve accepts until the context ends and returns when all connections have.
func (s *Clients) Serve(ctx context.Context, listener net.Listener) error {
	defer s.tasks.Wait()
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		s.mu.Lock()
		for _, all := range []iter.Seq[*clientConn]{maps.Keys(s.open), maps.Keys(s.closing)} {
			for c := range all {
				c.conn.Close()
			}
		}
		s.connEnded.Broadcast()
		s.mu.Unlock()
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			s.mu.Lock()
			shut := s.stopped
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
		c := &clientConn{server: s, conn: conn, partialMessage: true, lastAnswer: time.Now()}
		c.partialSince = c.lastAnswer
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
		c.overLimit = len(s.open) > s.limits.Clients
		s.tasks.Go(c.readCommands)
		s.tasks.Go(c.writeAnswers)
		for len(s.open)+len(s.closing) >= s.limits.Clients+s.limits.Spare && ctx.Err() == nil {
			if s.closeNotified() {
				continue
			}
			s.evict(c, false, 0)
			again := time.AfterFunc(s.limits.Again, s.connEnded.Broadcast) // some may stay unused
			s.connEnded.Wait()
			again.Stop()
		}
		s.mu.Unlock()
	}
}

// evict has a client connection leave that owes and is owed nothing: first one that has brought no
// command worth taking, or only part of one, for a while, then the one that was idle for longest; with
// proved, only such. Guards against connections that ask for nothing keeping out those that do.
func (s *Clients) evict(except *clientConn, provenOnly bool, minIdle time.Duration) {
	var oldest *clientConn
	var oldestSince time.Time
	oldestProven := provenOnly
	for c := range s.open {
		if since, proven, idle := c.idleSince(); idle && c != except && (proven || !provenOnly) && time.Since(since) >= minIdle &&
			(oldest == nil || oldestProven && !proven || oldestProven == proven && since.Before(oldestSince)) {
			oldest, oldestSince, oldestProven = c, since, proven
		}
	}
	if oldest != nil && oldest.requestClose(true) {
		delete(s.open, oldest)
		s.closing[oldest] = false
	}
}

// closeNotified closes a connection that has been told why it ends.
func (s *Clients) closeNotified() bool {
	for c, notified := range s.closing {
		if notified {
			c.conn.Close()
			delete(s.closing, c)
			return true
		}
	}
	return false
}

// OpenConns counts the connections that are held.
func (s *Clients) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) + len(s.closing)
}

// StopAccepting accepts no more; what is open stays so.
func (s *Clients) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped = true; s.listener != nil {
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
		c.requestClose(false)
	}
	left := len(s.open)
	for _, notified := range s.closing {
		if !notified {
			left++
		}
	}
	return left
}

// exceedsLimit says whether a client came past the limit and as many others have commands open.
func (s *Clients) exceedsLimit(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.overLimit {
		return false
	}
	busy := 0
	for other := range s.open {
		other.mu.Lock()
		if other.hasPending() {
			busy++
		}
		other.mu.Unlock()
	}
	c.overLimit = busy > s.limits.Clients
	return c.overLimit
}

// answerWritten is told when a client has been sent an answer, and may be between commands.
func (s *Clients) answerWritten(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || c.isLeaving() {
		c.requestClose(false)
	}
}

// clientConn is one connection. Its slots are answered in order.
type clientConn struct {
	server *Clients
	conn   net.Conn

	mu              sync.Mutex
	changed         *sync.Cond
	pending         []*Slot
	outgoing        [][]byte
	writing         bool
	partialMessage  bool // some of a message has come, but not all
	closed          bool
	receivedMessage bool          // a whole message has come
	proven          bool          // one of its commands was taken
	skippingToSync  bool          // what comes before the next Sync
	leaving         bool          // it closes as soon as it is between commands
	endCause        *atomic.Int64 // counts why it ends; nil: its client left
	overLimit       bool          // it came when all others were busy: its commands are throttled
	ending          bool          // no more commands are taken; what is owed is written
	rejectedInARow  int           // commands in a row
	lastAnswer      time.Time
	partialSince    time.Time // when the first byte of a part came, or the connection
	readDeadline    time.Time // its read deadline, unless it is leaving
}

// Slot is the place of one command's answer on its connection.
type Slot struct {
	client   *clientConn
	reserved int // room taken for the command
	answer   []byte
	done     bool
}

// idleSince says whether nothing would be lost with the connection, and since when. A client may
// write its first command right behind its startup message, so a new one is left alone for a while.
func (c *clientConn) idleSince() (since time.Time, proven, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since = c.lastAnswer; c.partialMessage || !c.receivedMessage {
		since = c.partialSince
	}
	return since, c.proven && !c.partialMessage, !c.closed && !c.leaving && !c.ending && !c.hasPending() &&
		(c.receivedMessage && !c.partialMessage || time.Since(since) > c.server.limits.Unused)
}

func (c *clientConn) hasPending() bool { return c.writing || len(c.pending)+len(c.outgoing) > 0 }

// isClosable says whether the connection may close: nothing is owed, and no command is coming in.
func (c *clientConn) isClosable() bool {
	return !c.closed && !c.hasPending() && (!c.partialMessage && c.receivedMessage || time.Since(c.partialSince) > c.server.limits.Unused)
}

// requestClose has a connection close if it is between commands; half a command that just came in counts as
// one, but not to make way for others. Its reader does that, unless it has just read a command, which
// is answered first: what was read is not lost, what was not is sent again by its client.
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
	c.conn.SetReadDeadline(time.Now())
	return true
}

func (c *clientConn) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// setReadDeadline sets how long may be read: a first command, or the rest of one, has a limit. Guards against
// connections that say nothing, or half of something, for good.
func (c *clientConn) setReadDeadline(partial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if partial && !c.partialMessage && c.receivedMessage {
		c.partialSince = time.Now()
	}
	c.partialMessage = partial
	deadline := time.Time{}
	if partial || !c.receivedMessage {
		deadline = c.partialSince.Add(c.server.limits.Whole)
	}
	if !c.leaving && !deadline.Equal(c.readDeadline) {
		c.conn.SetReadDeadline(deadline)
	}
	c.readDeadline = deadline
}

// readTimedOut is the reader's side of settle and expect: whether the connection is to end, and whether it was
// too slow.
func (c *clientConn) readTimedOut() (end, slow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) && !c.hasPending() {
		return true, true
	}
	if c.leaving && c.isClosable() && !hasUnreadInput(c.conn) {
		return true, c.partialMessage
	}
	c.conn.SetReadDeadline(c.readDeadline)
	if c.hasPending() && !c.readDeadline.IsZero() { // what is owed comes first
		c.readDeadline = time.Now().Add(c.server.limits.Whole)
		c.conn.SetReadDeadline(c.readDeadline)
	}
	return false, false
}

func (c *clientConn) closeLocked() {
	c.closed = true
	c.changed.Broadcast()
	c.conn.Close()
}

// Answer gives a command the frames that a host sent for it.
func (s *Slot) Answer(frames []byte) { s.complete(protocol.AppendReady(frames)) }

// Reject is the answer to what is no command that is served here.
func (s *Slot) Reject(code, text string) {
	s.client.mu.Lock()
	s.client.rejectedInARow++
	s.client.mu.Unlock()
	s.Fail(code, text)
}

// CommandAccepted notes that the client brings commands that are served here.
func (s *Slot) CommandAccepted() {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.client.proven, s.client.rejectedInARow = true, 0
}

// Throttle tells the client that asking again does no harm, after so many milliseconds.
func (s *Slot) Throttle(retryAfterMs int64) {
	detail := ""
	if retryAfterMs > 0 {
		detail = strconv.FormatInt(retryAfterMs, 10)
	}
	s.complete(protocol.AppendReady(protocol.AppendError(nil, "ERROR", protocol.TooMany, "throttled, try again", detail)))
}

// Fail promises nothing of the command's effect.
func (s *Slot) Fail(code, text string) {
	s.complete(protocol.AppendReady(protocol.AppendError(nil, "ERROR", code, text, "")))
}

// AnswerEmptyQuery answers an empty query.
func (s *Slot) AnswerEmptyQuery() { s.complete(protocol.AppendReady(protocol.AppendEmpty(nil))) }

// complete writes an answer as soon as those before it are written.
func (s *Slot) complete(answer []byte) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.done || c.closed {
		return
	}
	s.release()
	if !c.reserveAnswer(answer) {
		c.closeLocked() // clients read too slowly for what all may hold
		return
	}
	s.answer, s.done = answer, true
	n := 0
	for n < len(c.pending) && c.pending[n].done {
		c.outgoing = append(c.outgoing, c.pending[n].answer)
		c.pending[n].answer = nil
		n++
	}
	c.pending = slices.Delete(c.pending, 0, n)
	c.changed.Broadcast()
}

func (s *Slot) release() {
	s.client.server.budget.release(s.reserved)
	s.reserved = 0
}

// reserveAnswer takes room for an answer that is more than a first buffer; discharge gives it back.
func (c *clientConn) reserveAnswer(body []byte) bool {
	return len(body) <= c.server.limits.Buffer || c.server.budget.reserve(len(body))
}

func (c *clientConn) releaseAnswer(body []byte) {
	if len(body) > c.server.limits.Buffer {
		c.server.budget.release(len(body))
	}
}

// addSlot makes a slot, once fewer than the limit wait for their answers.
func (c *clientConn) addSlot() *Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && len(c.pending)+len(c.outgoing) >= c.server.limits.Ahead {
		c.changed.Wait()
	}
	s := &Slot{client: c}
	c.pending = append(c.pending, s)
	return s
}

// writeAnswers is the goroutine that sends what is answered, so that a slow reader
// holds up nobody else.
func (c *clientConn) writeAnswers() {
	limits := c.server.limits
	for {
		c.mu.Lock()
		for !c.closed && len(c.outgoing) == 0 {
			c.changed.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		batch := net.Buffers(c.outgoing)
		c.outgoing, c.writing = nil, true
		c.changed.Broadcast()
		c.mu.Unlock()
		c.conn.SetWriteDeadline(time.Now().Add(limits.Stuck))
		sent := slices.Clone(batch)
		_, err := batch.WriteTo(c.conn)
		for _, body := range sent {
			c.releaseAnswer(body)
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

// readCommands is the goroutine that takes commands in.
func (c *clientConn) readCommands() {
	server, limits := c.server, c.server.limits
	in := newBuffer(server.budget, limits.Buffer, limits.Message)
	if c.startSession(in) {
		for c.readMessage(in) {
		}
	}
	in.release()
	c.mu.Lock()
	c.partialMessage = false
	for c.ending && !c.closed && c.hasPending() {
		c.changed.Wait() // what is owed is written before the end
	}
	notified := c.ending && !c.closed
	c.mu.Unlock()
	if notified {
		c.lingerClose()
	}
	c.mu.Lock()
	c.closeLocked()
	endCause := cmp.Or(c.endCause, &server.Disconnected)
	unanswered := c.pending
	for _, body := range c.outgoing {
		c.releaseAnswer(body)
	}
	for _, slot := range unanswered {
		slot.release()
		c.releaseAnswer(slot.answer)
	}
	c.pending, c.outgoing = nil, nil
	c.mu.Unlock()
	for _, slot := range unanswered {
		if !slot.done {
			server.handler.ClientDisconnected(slot)
		}
	}
	server.mu.Lock()
	delete(server.open, c)
	delete(server.closing, c)
	endCause.Add(1)
	server.connEnded.Broadcast()
	server.mu.Unlock()
}

// lingerClose lets a client that is still sending read why its connection ends: closing over unread input
// would reset it. What comes is read slowly and dropped.
func (c *clientConn) lingerClose() {
	server := c.server
	server.mu.Lock()
	delete(server.open, c)
	server.closing[c] = true
	server.connEnded.Broadcast()
	server.mu.Unlock()
	if writeCloser, ok := c.conn.(interface{ CloseWrite() error }); ok {
		writeCloser.CloseWrite()
	}
	c.conn.SetReadDeadline(time.Now().Add(server.limits.Part))
	discard := discardBuffers.Get().(*[]byte)
	defer discardBuffers.Put(discard)
	for {
		n, err := c.conn.Read(*discard)
		if err != nil {
			return
		}
		if n == len(*discard) {
			time.Sleep(time.Millisecond)
		}
	}
}

var discardBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// startSession takes the startup message; encryption is declined, cancelling is not served.
func (c *clientConn) startSession(in *buffer) bool {
	for {
		code, n, err := protocol.First(in.unread(), min(in.maxSize, protocol.LongestStartup))
		switch {
		case err != nil:
			c.endSession(&c.server.Malformed, protocol.Bad, err.Error())
			return false
		case n == 0:
			if !c.readMore(in, len(in.unread()) > 0) {
				return false
			}
			continue
		}
		in.consume(n)
		switch {
		case code == protocol.SSL || code == protocol.GSS:
			c.send([]byte{'N'})
		case code>>16 == protocol.Version>>16:
			c.send(protocol.AppendGreeting(nil))
			return true
		case code == protocol.Cancel:
			return false
		default:
			c.endSession(&c.server.Malformed, protocol.NoSuch, "a version of the protocol that is not spoken")
			return false
		}
	}
}

// readMore reads once, within the time that there is for it; false ends the connection.
func (c *clientConn) readMore(in *buffer, partial bool) bool {
	for c.setReadDeadline(partial); ; {
		err := in.readFrom(c.conn)
		switch {
		case err == nil:
			return true
		case errors.Is(err, os.ErrDeadlineExceeded):
			end, slow := c.readTimedOut()
			if !end {
				continue
			}
			if slow {
				c.endSession(&c.server.TimedOut, protocol.NotNow, "no whole command came in time")
			}
		case err == errBudgetExhausted:
			c.endSession(&c.server.OutOfBuffers, protocol.TooMany, err.Error())
		}
		return false
	}
}

// send writes what is no answer to a command.
func (c *clientConn) send(message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outgoing = append(c.outgoing, message)
	c.changed.Broadcast()
}

// readMessage reads one message and hands it on. A command counts from when its last byte was read.
func (c *clientConn) readMessage(in *buffer) bool {
	receivedAt := time.Now()
	for {
		kind, body, n, err := protocol.Next(in.unread(), in.maxSize)
		if err != nil {
			c.endSession(&c.server.Malformed, protocol.Bad, err.Error())
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

// tooManyRejections ends a connection that brings nothing but what is refused. Guards against clients that send
// the same again, at full speed, as soon as it is turned away.
func (c *clientConn) tooManyRejections() bool {
	c.mu.Lock()
	exceeded := c.rejectedInARow > c.server.limits.Refusals
	c.receivedMessage, c.partialMessage = true, false
	c.mu.Unlock()
	if exceeded {
		c.endSession(&c.server.RejectedOnly, protocol.Bad, "nothing but commands that are not served")
	}
	return exceeded
}

func (c *clientConn) handleMessage(kind byte, body []byte, receivedAt time.Time) bool {
	switch {
	case kind == protocol.Terminate:
		return false
	case kind == protocol.Sync:
		c.skippingToSync = false
		c.addSlot().complete(protocol.AppendReady(nil))
	case c.skippingToSync:
	case kind == protocol.Query:
		statement, ok := protocol.Statement(body)
		slot := c.addSlot()
		switch {
		case !ok:
			c.server.Unsupported.Add(1)
			slot.Reject(protocol.Bad, "a query that does not end where its message does")
		case protocol.Empty(statement):
			c.server.handler.HandleEmptyQuery(slot)
		case c.server.exceedsLimit(c): // else it would wait unread until its time is up
			c.server.Shed.Add(1)
			slot.Throttle(0)
		case len(statement) > c.server.limits.Buffer && !c.reserveCommand(slot, len(statement)):
			slot.Throttle(0) // nothing of it was sent
		default:
			c.server.handler.HandleCommand(slot, slices.Clone(statement), receivedAt)
		}
	case kind == 'd' || kind == 'c' || kind == 'f' || kind == 'H': // of a copy that was never begun, or a flush
	case kind == 'P' || kind == 'B' || kind == 'D' || kind == 'E' || kind == 'C':
		c.server.Unsupported.Add(1)
		c.skippingToSync = true
		c.addSlot().complete(protocol.AppendError(nil, "ERROR", protocol.NoSuch, "only simple queries are served", ""))
	case kind == 'F':
		c.server.Unsupported.Add(1)
		c.addSlot().Reject(protocol.NoSuch, "only simple queries are served")
	default:
		c.endSession(&c.server.Malformed, protocol.Bad, "a message that is not known")
		return false
	}
	return true
}

// reserveCommand takes room for a long command until it is answered.
func (c *clientConn) reserveCommand(slot *Slot, size int) bool {
	if !c.server.budget.reserve(size) {
		return false
	}
	c.mu.Lock()
	slot.reserved = size
	c.mu.Unlock()
	return true
}

// endSession tells why a connection ends, after the answers before it, and counts the cause.
func (c *clientConn) endSession(counter *atomic.Int64, code, text string) {
	slot := c.addSlot()
	c.mu.Lock()
	c.ending, c.endCause = true, counter
	c.mu.Unlock()
	slot.complete(protocol.AppendError(nil, "FATAL", code, text, ""))
}
