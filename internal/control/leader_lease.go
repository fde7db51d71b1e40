package control

import (
	"errors"
	"sync/atomic"
)

// errLeaseOver says that a command was not sent: the lease under which it was decided is over.
var errLeaseOver = errors.New("the lease of the decision is over")

// leaderLease is the lease under which this member acts as the leader, as any goroutine may read it. The event loop decides under
// the lease; what it decides goes out in other goroutines, later, and after a suspension of the process much later. So each checks
// the lease again right before it writes.
type leaderLease struct{ held atomic.Pointer[heldLease] }

// heldLease is a lease that is held in a term until a time of the member's clock.
type heldLease struct {
	term  uint64
	endMs int64
}

// set replaces the lease. endMs is 0 where none is held.
func (l *leaderLease) set(term uint64, endMs int64) {
	if current := l.held.Load(); current == nil || current.term != term || current.endMs != endMs {
		l.held.Store(&heldLease{term: term, endMs: endMs})
	}
}

// holds says whether the lease of a term is held at a time.
func (l *leaderLease) holds(term uint64, nowMs int64) bool {
	held := l.held.Load()
	return held != nil && held.term == term && nowMs < held.endMs
}

// MayAct says whether this member still holds the lease of a term, so that what it decided in that term may go out now. Unlike
// all other methods it may be called from any goroutine.
func (s *Server) MayAct(term uint64) bool { return s.lease.holds(term, s.clock.Now()) }

// publishLease makes the present lease known to MayAct.
func (s *Server) publishLease() {
	endMs := int64(0)
	if s.leading {
		endMs = s.consensus.LeaseEndMs()
	}
	s.lease.set(s.consensus.Term(), endMs)
}
