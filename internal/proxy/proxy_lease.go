package proxy

import (
	"time"

	"ferrypitch/internal/lease"
)

// proxyLease is the lease under which this proxy may treat a host as the primary and its configuration as current.
type proxyLease struct {
	holder      lease.Holder
	lastValidAt time.Time      // when the sweep last found the lease valid
	proxyCount  int            // number of proxies with a lease, according to the last grant
	pending     []pendingGrant // grants that wait for log updates, the oldest first
}

// pendingGrant is a grant that arrived before the log updates that it requires. It takes effect once the log is applied up to
// commitIndex.
type pendingGrant struct {
	requestedAtMs int64
	commitIndex   uint64
	proxyCount    int
}

// maxPendingGrants is how many grants may wait for log updates; beyond that the oldest is dropped.
const maxPendingGrants = 16

// addPending keeps a grant until the log has been applied up to its commit index.
func (l *proxyLease) addPending(granted pendingGrant) {
	l.pending = append(l.pending, granted)
	l.pending = l.pending[max(0, len(l.pending)-maxPendingGrants):]
}

// applyPending renews the lease by the pending grants whose commit index is at most appliedIndex, and reports whether there were
// any.
func (l *proxyLease) applyPending(appliedIndex uint64) (renewed bool) {
	for len(l.pending) > 0 && l.pending[0].commitIndex <= appliedIndex {
		l.renew(l.pending[0].requestedAtMs, l.pending[0].proxyCount)
		l.pending, renewed = l.pending[1:], true
	}
	return renewed
}

// renew extends the lease by a grant requested at requestedAtMs of the server's clock. proxyCount is 0 if the grant does not
// state it.
func (l *proxyLease) renew(requestedAtMs int64, proxyCount int) {
	l.holder.Renew(requestedAtMs)
	if proxyCount > 0 {
		l.proxyCount = proxyCount
	}
}

// drop invalidates the lease and removes all pending grants.
func (l *proxyLease) drop() { l.holder, l.pending = lease.Holder{}, nil }

// invalidFor reports whether the lease has been invalid for longer than span.
func (l *proxyLease) invalidFor(span time.Duration, now time.Time) bool {
	return now.Sub(l.lastValidAt) > span
}
