package transport

import (
	"context"
	"errors"
	"iter"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ferrypitch/internal/router/setup"
)

// CommandHandler handles the commands of clients. Its methods are called from the goroutines of the connections and may block,
// which applies backpressure to that client.
type CommandHandler interface {
	// HandleCommand handles a statement whose last byte was read at receivedAt. It owns the statement.
	HandleCommand(slot *Slot, statement []byte, receivedAt time.Time)
	// HandleEmptyQuery handles a query without a statement.
	HandleEmptyQuery(slot *Slot)
	// ClientDisconnected is called if the client disconnects before its command is answered.
	ClientDisconnected(slot *Slot)
}

// closingStage is the progress of closing a connection.
type closingStage int

const (
	closeRequested closingStage = iota // the reader is about to close it
	closeNotified                      // the error message was sent, and further input is discarded
)

// Clients accepts and serves the connections of all clients.
//
// Accepted is the sum of the open connections and the counters of ended connections by cause.
type Clients struct {
	limits  *setup.Limits
	budget  *BufferBudget
	handler CommandHandler
	tasks   sync.WaitGroup

	mu        sync.Mutex
	connEnded *sync.Cond
	open      map[*clientConn]struct{}
	closing   map[*clientConn]closingStage
	listener  net.Listener
	stopped   bool // no more connections are accepted
	draining  bool // connections close when they have nothing pending

	Accepted     atomic.Int64 // connections accepted
	Evicted      atomic.Int64 // closed while idle, in favor of other connections
	TimedOut     atomic.Int64 // closed because no complete command was received in time
	Malformed    atomic.Int64 // closed because of malformed input
	RejectedOnly atomic.Int64 // closed after too many rejected commands in a row
	OutOfBuffers atomic.Int64 // closed because the buffer budget was exhausted
	Disconnected atomic.Int64 // closed by the client, after a write error, or at shutdown

	Shed        atomic.Int64 // commands throttled because too many clients have pending commands; see exceedsLimit
	Unsupported atomic.Int64 // rejected messages, such as those of the extended query protocol
}

// NewClients returns a server that passes commands to handler. It accepts no connections before Serve.
func NewClients(limits *setup.Limits, budget *BufferBudget, handler CommandHandler) *Clients {
	s := &Clients{
		limits: limits, budget: budget, handler: handler,
		open: map[*clientConn]struct{}{}, closing: map[*clientConn]closingStage{},
	}
	s.connEnded = sync.NewCond(&s.mu)
	return s
}

// Serve accepts connections until ctx ends, and returns when all of them have ended. It returns an error if the listener was
// closed other than by StopAccepting.
func (s *Clients) Serve(ctx context.Context, listener net.Listener) error {
	defer s.tasks.Wait()
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		s.closeAll()
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			if !s.isStopped() {
				return err
			}
			<-ctx.Done()
			return nil
		case err != nil: // for example, no file descriptor is available; avoid a busy loop
			select {
			case <-ctx.Done():
			case <-time.After(s.limits.RetryDelay):
			}
		default:
			s.Accepted.Add(1)
			s.start(ctx, conn)
		}
	}
}

// start starts the goroutines of a connection, and returns when a file descriptor is available for the next one.
func (s *Clients) start(ctx context.Context, conn net.Conn) {
	c := newClientConn(s, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	// Clients may have connection limits of their own and not be able to open more, so their idle connections are evicted
	// before all file descriptors are in use.
	if 2*len(s.open) > s.limits.MaxClientConns {
		s.evict(c, true, s.limits.EvictionIdleTime)
	}
	if len(s.open) > s.limits.MaxClientConns {
		s.evict(c, false, 0)
	}
	c.overLimit = len(s.open) > s.limits.MaxClientConns
	s.tasks.Go(c.readCommands)
	s.tasks.Go(c.writeAnswers)
	for len(s.open)+len(s.closing) >= s.limits.MaxClientConns+s.limits.SpareClientConns && ctx.Err() == nil {
		if s.closeOneNotified() {
			continue
		}
		s.evict(c, false, 0)
		wakeUp := time.AfterFunc(s.limits.RetryDelay, s.connEnded.Broadcast) // retry, since connections may have become idle
		s.connEnded.Wait()
		wakeUp.Stop()
	}
}

// evict requests the close of one connection that has been idle for at least minIdle and has nothing pending. It prefers
// connections without an accepted command or with only a partial one, and then the one that has been idle for longest. With
// acceptedOnly, it evicts only connections with an accepted command. Without eviction, idle connections could keep out clients
// that send commands.
func (s *Clients) evict(except *clientConn, acceptedOnly bool, minIdle time.Duration) {
	var oldest *clientConn
	var best idleState
	for c := range s.open {
		idle := c.idleState()
		if c == except || !idle.evictable || acceptedOnly && !idle.hasAcceptedCommand || time.Since(idle.idleSince) < minIdle {
			continue
		}
		if oldest == nil || idle.evictedBefore(best) {
			oldest, best = c, idle
		}
	}
	if oldest != nil && oldest.requestClose(true) {
		delete(s.open, oldest)
		s.closing[oldest] = closeRequested
	}
}

// closeOneNotified closes one connection whose client has been sent the error message. It returns false if there is none.
func (s *Clients) closeOneNotified() bool {
	for c, stage := range s.closing {
		if stage == closeNotified {
			c.conn.Close()
			delete(s.closing, c)
			return true
		}
	}
	return false
}

// OpenConns returns the number of connections that hold a file descriptor.
func (s *Clients) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) + len(s.closing)
}

// StopAccepting closes the listener. Open connections are not affected.
func (s *Clients) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped = true; s.listener != nil {
		s.listener.Close()
	}
}

func (s *Clients) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// Drain closes all connections that have nothing pending, and from now on each other connection when it has nothing pending. It
// returns the number of remaining connections.
func (s *Clients) Drain() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.open {
		c.requestClose(false)
	}
	left := len(s.open)
	for _, stage := range s.closing {
		if stage == closeRequested {
			left++
		}
	}
	return left
}

// closeAll closes the sockets of all connections, whose goroutines then end.
func (s *Clients) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conns := range []iter.Seq[*clientConn]{maps.Keys(s.open), maps.Keys(s.closing)} {
		for c := range conns {
			c.conn.Close()
		}
	}
	s.connEnded.Broadcast()
}

// exceedsLimit reports whether a client was accepted beyond MaxClientConns while more than MaxClientConns connections have
// commands pending.
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
	c.overLimit = busy > s.limits.MaxClientConns
	return c.overLimit
}

// answerWritten is called after answers were written to a client, which may then have nothing pending.
func (s *Clients) answerWritten(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || c.isClosingWhenIdle() {
		c.requestClose(false)
	}
}

// markNotified records that the error message that ends a connection has been sent.
func (s *Clients) markNotified(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.closing[c] = closeNotified
	s.connEnded.Broadcast()
}

// remove removes a connection that has ended, and increments the counter of its cause.
func (s *Clients) remove(c *clientConn, endCause *atomic.Int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	delete(s.closing, c)
	endCause.Add(1)
	s.connEnded.Broadcast()
}
