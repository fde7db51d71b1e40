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

// CommandHandler receives what clients send. Its methods are called from the connections' goroutines and may block to
// apply backpressure to that client.
type CommandHandler interface {
	// HandleCommand takes a statement whose last byte was read at receivedAt. It owns the statement.
	HandleCommand(slot *Slot, statement []byte, receivedAt time.Time)
	// HandleEmptyQuery takes a query without a statement.
	HandleEmptyQuery(slot *Slot)
	// ClientDisconnected is called when the client has gone before its command was answered.
	ClientDisconnected(slot *Slot)
}

// closingStage is the progress of a connection that is to end.
type closingStage int

const (
	closeRequested closingStage = iota // its reader is about to end it
	closeNotified                      // its client was sent the error message, and what it still sends is discarded
)

// Clients accepts and serves the connections of all clients.
//
// Accepted equals the sum of the connections that are open and the counters by cause of those that ended.
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
	stopped   bool // no more are accepted
	draining  bool

	Accepted     atomic.Int64 // connections accepted
	Evicted      atomic.Int64 // ended while idle, to make way for others
	TimedOut     atomic.Int64 // ended since a command or its first part did not come in time
	Malformed    atomic.Int64 // ended by input that cannot be parsed
	RejectedOnly atomic.Int64 // ended after too many rejected commands in a row
	OutOfBuffers atomic.Int64 // ended since there was no buffer for what they send
	Disconnected atomic.Int64 // left by their clients, by a write error, or ended with the program

	Shed        atomic.Int64 // commands throttled since all host connections are taken
	Unsupported atomic.Int64 // messages of the extended protocol and the like, which are rejected
}

// NewClients returns a server that hands commands to handler. It accepts nothing before Serve.
func NewClients(limits *setup.Limits, budget *BufferBudget, handler CommandHandler) *Clients {
	s := &Clients{
		limits: limits, budget: budget, handler: handler,
		open: map[*clientConn]struct{}{}, closing: map[*clientConn]closingStage{},
	}
	s.connEnded = sync.NewCond(&s.mu)
	return s
}

// Serve accepts connections until ctx ends, and returns once all of them have ended. It returns an error if the listener
// was closed by anything but StopAccepting.
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
		case err != nil: // no file descriptor is left, for instance: it must not spin
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

// start serves a connection, and returns once there is a descriptor for the next one.
func (s *Clients) start(ctx context.Context, conn net.Conn) {
	c := newClientConn(s, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	// Clients may be limited to a number of connections of their own, so those that they leave idle are evicted
	// before all descriptors are taken.
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
		wakeUp := time.AfterFunc(s.limits.RetryDelay, s.connEnded.Broadcast) // some may have become idle
		s.connEnded.Wait()
		wakeUp.Stop()
	}
}

// evict requests the close of one client connection with nothing pending: first one that has sent no accepted command,
// or only a part of one, for at least minIdle, then the one that was idle for longest. With provenOnly, only connections
// that have sent an accepted command count. Guards against connections that ask for nothing keeping out those that do.
func (s *Clients) evict(except *clientConn, provenOnly bool, minIdle time.Duration) {
	var oldest *clientConn
	var best idleState
	for c := range s.open {
		idle := c.idleState()
		if c == except || !idle.evictable || provenOnly && !idle.proven || time.Since(idle.since) < minIdle {
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

// closeOneNotified closes a connection whose client was sent the error message.
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

// OpenConns returns the number of connections that hold a descriptor.
func (s *Clients) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) + len(s.closing)
}

// StopAccepting closes the listener. Connections that are open stay so.
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

// Drain closes each connection that has nothing pending, and from now on each other one as soon as that holds for it.
// It returns how many are left.
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

// exceedsLimit reports whether a client was accepted past the limit and as many others have commands pending.
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

// answerWritten is called when a client has been sent an answer, and so may have nothing pending.
func (s *Clients) answerWritten(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || c.isLeaving() {
		c.requestClose(false)
	}
}

// markNotified notes that a client was sent the error message that ends its connection.
func (s *Clients) markNotified(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.closing[c] = closeNotified
	s.connEnded.Broadcast()
}

// remove forgets a connection that has ended, and counts it under its cause.
func (s *Clients) remove(c *clientConn, endCause *atomic.Int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	delete(s.closing, c)
	endCause.Add(1)
	s.connEnded.Broadcast()
}
