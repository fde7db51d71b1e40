package control

import (
	"errors"
	"sync/atomic"
)

// errLeaseExpired reports that a command was not sent because the lease under which it was decided is no longer held.
var errLeaseExpired = errors.New("leader lease expired before the command was sent")

// leaderLease makes the leader lease of this member readable from any goroutine. The event loop decides on commands under the
// lease, but other goroutines send them later, and much later if the process was suspended in between. They must therefore check
// the lease again immediately before writing.
type leaderLease struct{ published atomic.Pointer[termLease] }

// termLease is a leader lease of one term, which ends at a time on the member's clock.
type termLease struct {
	term  uint64
	endMs int64
}

// set replaces the lease. endMs is 0 if none is held.
func (l *leaderLease) set(term uint64, endMs int64) {
	if current := l.published.Load(); current == nil || current.term != term || current.endMs != endMs {
		l.published.Store(&termLease{term: term, endMs: endMs})
	}
}

// holds reports whether the lease of a term is held at a time.
func (l *leaderLease) holds(term uint64, nowMs int64) bool {
	published := l.published.Load()
	return published != nil && published.term == term && nowMs < published.endMs
}

// HoldsLeaseInTerm reports whether this member still holds the leader lease of a term, so that a command decided in that term may
// be sent now. Unlike all other methods of Server it may be called from any goroutine.
func (s *Server) HoldsLeaseInTerm(term uint64) bool { return s.lease.holds(term, s.clock.Now()) }

// publishLease updates the lease that HoldsLeaseInTerm reads.
func (s *Server) publishLease() {
	endMs := int64(0)
	if s.leading {
		endMs = s.consensus.LeaseEndMs()
	}
	s.lease.set(s.consensus.Term(), endMs)
}
