package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// sessionTable is the sessions of a proxy: those that are open, and those whose CONNECT has no answer yet.
type sessionTable struct {
	open    map[*clientSession]struct{}
	waiting []waitingClient // the oldest first
}

// waitingClient is a session whose database this proxy does not know, and that began while no valid lease said whether the
// configuration is the newest. It waits for a lease for a short time: the route may have been added just now.
type waitingClient struct {
	session   *clientSession
	arrivedAt time.Time
}

func newSessionTable() sessionTable {
	return sessionTable{open: map[*clientSession]struct{}{}}
}

// byAge are the open sessions, the oldest first, so that a seed of the simulation always runs the same.
func (t *sessionTable) byAge() []*clientSession {
	return slices.SortedFunc(maps.Keys(t.open), func(a, b *clientSession) int { return cmp.Compare(a.id, b.id) })
}

// await has a session wait for its greeting; false: as many as may wait already.
func (t *sessionTable) await(session *clientSession, now time.Time) bool {
	if len(t.waiting) >= maxWaitingClients {
		return false
	}
	t.waiting = append(t.waiting, waitingClient{session: session, arrivedAt: now})
	return true
}

// takeWaiting removes the session that has waited longest, if it is to be greeted: all are while the configuration is known to be
// current, otherwise those that have waited long enough. It returns nil if there is none.
func (t *sessionTable) takeWaiting(now time.Time, current bool) *clientSession {
	if len(t.waiting) == 0 || !current && now.Sub(t.waiting[0].arrivedAt) <= waitingClientTimeout {
		return nil
	}
	session := t.waiting[0].session
	t.waiting = t.waiting[1:]
	return session
}
