package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// sessionTable holds the sessions of a proxy: those that are open, and those whose CONNECT is not answered yet.
type sessionTable struct {
	open    map[*clientSession]struct{}
	waiting []waitingClient // the oldest first
}

// waitingClient is a session whose database or key this proxy does not know, and whose CONNECT arrived while the lease was not
// valid. It waits a short time for a lease, since the route or key may have been added to a configuration that this proxy does
// not have yet.
type waitingClient struct {
	session   *clientSession
	arrivedAt time.Time
}

func newSessionTable() sessionTable {
	return sessionTable{open: map[*clientSession]struct{}{}}
}

// byAge returns the open sessions, the oldest first. The order makes simulations deterministic.
func (t *sessionTable) byAge() []*clientSession {
	return slices.SortedFunc(maps.Keys(t.open), func(a, b *clientSession) int { return cmp.Compare(a.id, b.id) })
}

// addWaiting queues a session whose CONNECT waits for an answer. It returns false if maxWaitingClients are queued already.
func (t *sessionTable) addWaiting(session *clientSession, now time.Time) bool {
	if len(t.waiting) >= maxWaitingClients {
		return false
	}
	t.waiting = append(t.waiting, waitingClient{session: session, arrivedAt: now})
	return true
}

// takeWaiting removes and returns the session that has waited longest, if its CONNECT must be answered now: because the
// configuration is known to be current, or because the session has waited longer than waitingClientTimeout. It returns nil
// otherwise.
func (t *sessionTable) takeWaiting(now time.Time, current bool) *clientSession {
	if len(t.waiting) == 0 || !current && now.Sub(t.waiting[0].arrivedAt) <= waitingClientTimeout {
		return nil
	}
	session := t.waiting[0].session
	t.waiting = t.waiting[1:]
	return session
}
