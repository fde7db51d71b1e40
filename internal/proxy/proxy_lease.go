package proxy

import (
	"time"

	"ferrypitch/internal/lease"
)

// proxyLease is the lease under which this proxy may treat a host as the primary, and a configuration as the newest.
type proxyLease struct {
	holder     lease.Holder
	validAt    time.Time // when it was last seen to be valid
	proxyCount int       // proxies that hold one, as the last grant said
}

// renew takes in a lease that was requested at a time of the clock. proxyCount is 0 where the grant does not say.
func (l *proxyLease) renew(requestedAtMs int64, proxyCount int) {
	l.holder.Renew(requestedAtMs)
	if proxyCount > 0 {
		l.proxyCount = proxyCount
	}
}

// drop gives the lease up.
func (l *proxyLease) drop() { l.holder = lease.Holder{} }

// lostFor says whether the lease has not been valid for longer than a span.
func (l *proxyLease) lostFor(span time.Duration, now time.Time) bool {
	return now.Sub(l.validAt) > span
}
