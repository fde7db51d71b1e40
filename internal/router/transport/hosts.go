package transport

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

// HostPool is the pool of connections to all database hosts. It is safe for concurrent use.
type HostPool struct {
	limits *setup.Limits
	budget *BufferBudget
	ctx    context.Context // its end closes all connections
	tasks  sync.WaitGroup

	mu    sync.Mutex
	open  int // connections that hold a file descriptor
	hosts map[*Host]struct{}

	Opened          atomic.Int64 // connections opened, including failed attempts
	Reused          atomic.Int64 // calls assigned to an idle connection
	NoDescriptor    atomic.Int64 // calls not sent because all connections were in use
	StartupFailed   atomic.Int64 // connections whose startup was rejected or interrupted
	InvalidAnswers  atomic.Int64 // answers that violate the protocol
	UnsolicitedData atomic.Int64 // connections closed because of data that belongs to no call
}

// NewHostPool returns an empty pool whose connections live until ctx ends.
func NewHostPool(ctx context.Context, limits *setup.Limits, budget *BufferBudget) *HostPool {
	return &HostPool{limits: limits, budget: budget, ctx: ctx, hosts: map[*Host]struct{}{}}
}

// Wait returns when all connections have ended. They end after the pool's context.
func (p *HostPool) Wait() { p.tasks.Wait() }

// OpenConns returns the number of connections that hold a file descriptor.
func (p *HostPool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Add adds a host with an address of the form host:port.
func (p *HostPool) Add(address string) *Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := &Host{pool: p, address: address}
	p.hosts[host] = struct{}{}
	return host
}

// reserveLocked reserves a file descriptor for a new connection. If all are in use, it evicts an idle connection, which the
// caller must close; ok is false if there is none. p.mu must be held.
func (p *HostPool) reserveLocked() (evicted *hostConn, ok bool) {
	if p.open >= p.limits.MaxHostConns {
		if evicted = p.takeOldestIdleLocked(); evicted == nil {
			return nil, false
		}
	}
	p.open++
	return evicted, true
}

// takeOldestIdleLocked removes and returns the connection that has been idle for longest, or nil. Without it, hosts that are no
// longer used would keep file descriptors that other hosts need. p.mu must be held.
func (p *HostPool) takeOldestIdleLocked() *hostConn {
	var owner *Host
	for host := range p.hosts {
		if len(host.idle) > 0 && (owner == nil || host.idle[0].lastAnswer.Before(owner.idle[0].lastAnswer)) {
			owner = host
		}
	}
	if owner == nil {
		return nil
	}
	oldest := owner.idle[0]
	owner.idle = owner.idle[1:]
	return oldest
}

// Host is one database host: its address and its idle connections.
type Host struct {
	pool *HostPool

	// Guarded by pool.mu.
	address string
	idle    []*hostConn // least recently used first
	removed bool        // connections are closed after their call
}

// SetAddress changes the host's address and closes the idle connections to the old one.
func (h *Host) SetAddress(address string) {
	h.pool.mu.Lock()
	unchanged := h.address == address
	h.address = address
	h.pool.mu.Unlock()
	if !unchanged {
		h.CloseIdle()
	}
}

// Remove removes the host from its pool and closes its idle connections. Calls in flight are not affected.
func (h *Host) Remove() {
	h.pool.mu.Lock()
	h.removed = true
	delete(h.pool.hosts, h)
	h.pool.mu.Unlock()
	h.CloseIdle()
}

// CloseIdle closes the idle connections.
func (h *Host) CloseIdle() {
	h.pool.mu.Lock()
	idle := h.idle
	h.idle = nil
	h.pool.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Send starts a call on an idle or a new connection and returns at once. onAnswer is called once, from another goroutine, unless
// Abandon returns the outcome first. Without an answer by deadline, the caller abandons the call. The statement is not sent
// after sendBy and never retried. With rewriteTimeout, the timeout in the statement's comment is replaced by the time that
// remains when it is sent.
func (h *Host) Send(statement []byte, deadline, sendBy time.Time, rewriteTimeout bool, onAnswer func(Answer)) *Call {
	pool := h.pool
	call := &Call{
		statement: statement, deadline: deadline, sendBy: sendBy, rewriteTimeout: rewriteTimeout, onAnswer: onAnswer,
	}
	now := time.Now()
	pool.mu.Lock()
	if h.assignIdleLocked(call, now) {
		pool.mu.Unlock()
		pool.Reused.Add(1)
		return call
	}
	evicted, ok := pool.reserveLocked()
	address := h.address
	pool.mu.Unlock()
	if !ok {
		pool.NoDescriptor.Add(1)
		pool.tasks.Go(func() { onAnswer(Answer{Outcome: policy.Expired, ReceivedAt: now}) })
		return call
	}
	if evicted != nil {
		evicted.close()
	}
	pool.Opened.Add(1)
	c := newHostConn(h, call)
	pool.tasks.Go(func() { c.run(address, call) })
	return call
}

// assignIdleLocked assigns a call to the most recently used idle connection, and closes the connections that it finds unusable.
// It reports whether the call was assigned. pool.mu must be held; it is released while a connection is tried.
func (h *Host) assignIdleLocked(call *Call, now time.Time) bool {
	limits := h.pool.limits
	for i := len(h.idle) - 1; i >= 0; i = min(i, len(h.idle)) - 1 {
		c := h.idle[i]
		if now.Sub(c.lastAnswer) < limits.ReuseDelay {
			continue // data that does not belong to the last answer may still arrive
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		h.pool.mu.Unlock()
		assigned := now.Sub(c.lastAnswer) < limits.HostIdleTimeout && c.assign(call)
		if !assigned {
			c.close()
		}
		h.pool.mu.Lock()
		if assigned {
			return true
		}
	}
	return false
}
