package proxy

import (
	"time"

	"ferrypitch/internal/settings"
	"ferrypitch/policy"
)

// staleConfigGrace is how long a proxy without a valid lease keeps idle sessions open. It closes them afterwards so that the
// clients reconnect to other proxies, which may have a lease.
const staleConfigGrace = 500 * time.Millisecond

// sweep performs the checks that depend on time instead of an event. It runs every sweepInterval, with each lease and at shutdown.
func (s *Server) sweep(now time.Time) {
	s.updateReadiness()
	s.answerWaitingClients(now)
	s.tickGossip(nil)
	s.reportQuota()
	s.refreshPolicyTime()
	s.countAliveProxies()
	for _, id := range s.poolsInUse() {
		pool := s.pools[id]
		if pool == nil { // removed as a consequence of closing connections of another host
			continue
		}
		pool.closeExcessIdle(now)
		pool.reportIfSilent(now)
		pool.endLostTransactions(s.policyNow)
		if pool.listState == policy.Active && pool.drainExpired(now) {
			s.reconcileHosts()
		}
	}
	if s.configCurrent() {
		s.lease.lastValidAt = now
	} else {
		s.rejectUnsentStatements()
		s.drainWithoutLease(now)
	}
	s.rollBackIdleTransactions(now)
}

func (s *Server) updateReadiness() {
	ready := s.configCurrent() && !s.shutdown.started && len(s.pools) > 0
	if ready != s.ready.Load() {
		s.ready.Store(ready)
		s.log.Info("readiness changed", "ready", ready)
	}
}

// rollBackIdleTransactions rolls back transactions whose client has been idle longer than TxnIdleMs, which frees their connections.
func (s *Server) rollBackIdleTransactions(now time.Time) {
	if s.config == nil || s.config.Limits.TxnIdleMs <= 0 {
		return
	}
	limit := settings.DurationFromMs(s.config.Limits.TxnIdleMs)
	for _, client := range s.sessions.byAge() {
		if client.CurrentState() != stateIdle && client.statement == nil && client.pinnedConn != nil && now.Sub(client.idleSince) > limit {
			conn := client.pinnedConn
			client.pinnedConn = nil
			client.ConnectionLost()
			s.rollBack(conn)
		}
	}
}
