package lease

import "slices"

// DurationMs is how long the control plane considers a granted lease valid, in milliseconds. A longer lease outlasts a change
// of the control plane's leader; a shorter one lets a failover proceed sooner when a proxy is unreachable.
const DurationMs = 1760

// retentionMs is how long the grant of a proxy is kept after its lease has expired, in milliseconds.
const retentionMs = 60 * DurationMs

// Grantor is the control plane's side of the leases of all proxies. Create it with NewGrantor. It is not safe for concurrent
// use.
type Grantor struct {
	leaderSince int64             // time at which this member became the leader of the control plane
	grants      map[string]*grant // keyed by proxy name
	holders     holderCount
}

// grant is the state of one proxy and its lease.
type grant struct {
	incarnation       uint64
	expiresAt         int64
	appliedIndex      uint64
	seenIncarnations  []uint64        // other incarnations observed while this one's lease was valid
	endedIncarnations map[uint64]bool // earlier incarnations, whose messages are ignored
	counted           bool            // included in holderCount.holders
}

// NewGrantor returns the grantor of a member that becomes the leader of the control plane at nowMs. Earlier leaders may have
// granted leases until then.
func NewGrantor(nowMs int64) *Grantor {
	return &Grantor{leaderSince: nowMs, grants: map[string]*grant{}}
}

// Grant grants a lease to an incarnation of a proxy that has applied the log up to appliedIndex, and reports whether it did.
// It rejects a proxy that has not applied requiredIndex, the latest revocation: otherwise a proxy that keeps renewing but
// receives no updates would block a failover forever. It also rejects delayed requests of incarnations that have ended.
// The request of a new incarnation ends the lease of the previous one, even if it is rejected.
func (g *Grantor) Grant(proxy string, incarnation, appliedIndex, requiredIndex uint64, nowMs int64) bool {
	current := g.grants[proxy]
	if current != nil && current.endedIncarnations[incarnation] {
		return false
	}
	if current != nil && current.incarnation != incarnation {
		g.holders.remove(current)
		g.grants[proxy] = current.nextIncarnation(incarnation)
	}
	g.Observe(proxy, incarnation, appliedIndex, nowMs)
	if appliedIndex < requiredIndex {
		return false
	}
	g.grants[proxy].expiresAt = nowMs + DurationMs
	g.holders.add(proxy, g.grants[proxy])
	return true
}

// nextIncarnation returns the grant of a proxy's next incarnation, without a lease. All other incarnations observed so far are
// recorded as ended.
func (g *grant) nextIncarnation(incarnation uint64) *grant {
	next := &grant{incarnation: incarnation, endedIncarnations: map[uint64]bool{g.incarnation: true}}
	for ended := range g.endedIncarnations {
		next.endedIncarnations[ended] = true
	}
	for _, seen := range g.seenIncarnations {
		next.endedIncarnations[seen] = seen != incarnation
	}
	return next
}

// Observe records how far a proxy has applied the log, without granting a lease. The message may be a delayed one of an earlier
// incarnation, so it does not affect a valid lease: only a lease request shows which incarnation is running.
func (g *Grantor) Observe(proxy string, incarnation, appliedIndex uint64, nowMs int64) {
	current := g.grants[proxy]
	switch {
	case current == nil:
		current = &grant{incarnation: incarnation}
		g.grants[proxy] = current
	case current.incarnation == incarnation: // the incarnation of the grant
	case current.endedIncarnations[incarnation]:
		return
	case nowMs < current.expiresAt:
		current.recordSeenIncarnation(incarnation)
		return
	default:
		current.incarnation, current.appliedIndex = incarnation, 0
	}
	current.appliedIndex = max(current.appliedIndex, appliedIndex)
}

// recordSeenIncarnation records an incarnation that was observed while the lease of another one is valid.
func (g *grant) recordSeenIncarnation(incarnation uint64) {
	if !slices.Contains(g.seenIncarnations, incarnation) {
		g.seenIncarnations = append(g.seenIncarnations, incarnation)
	}
}

// AllCaughtUp reports whether no proxy can act on a state of the log before index: each proxy has applied index, or its lease
// has expired. proxies are all proxies that were ever granted a lease by any member. Until the leases that earlier leaders may
// have granted have expired, each of these proxies must have been observed to have applied index.
func (g *Grantor) AllCaughtUp(index uint64, proxies []string, nowMs int64) bool {
	if nowMs < g.leaderSince+DurationMs {
		for _, proxy := range proxies {
			if current := g.grants[proxy]; current == nil || current.appliedIndex < index {
				return false
			}
		}
	}
	for _, current := range g.grants {
		if nowMs < current.expiresAt && current.appliedIndex < index {
			return false
		}
	}
	return true
}

// HolderCount returns the number of proxies that hold a valid lease. It also deletes the grants that expired more than
// retentionMs ago.
func (g *Grantor) HolderCount(nowMs int64) int {
	g.holders.expire(nowMs)
	for _, expired := range g.holders.removeLongExpired(nowMs) {
		if g.grants[expired.proxy] == expired.grant && expired.grant.expiresAt == expired.expiresAt {
			delete(g.grants, expired.proxy)
		}
	}
	return g.holders.holders
}
