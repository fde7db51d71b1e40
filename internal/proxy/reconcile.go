package proxy

import (
	"maps"

	"ferrypitch/internal/config"
	"ferrypitch/internal/proxy/position"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// reconcile updates services, hosts, primaries and routes to match the replicated state.
func (s *Server) reconcile() {
	s.refreshPolicyTime()
	s.reconcileServices()
	s.reconcileHosts()
	s.reconcilePrimaries()
	s.reconcileRoutes()
}

func (s *Server) reconcileServices() {
	if !s.servicesChanged() {
		return
	}
	for _, svc := range s.reconciledServices.Services {
		if svc.MaxConns > 0 {
			s.serviceNamed(svc.Name).maxConns = int(svc.MaxConns)
		}
	}
}

func (s *Server) reconcileHosts() {
	changed := false
	for _, id := range s.changedHosts() {
		changed = s.reconcileHost(s.replica.state.Hosts[id]) || changed
	}
	for _, id := range s.delistedHosts() {
		pool := s.pools[id]
		pool.listState, changed = policy.Removed, true
		pool.remove()
	}
	if changed {
		s.policy.EndList(false)
	}
}

// reconcileHost updates one host to match the replicated state, and reports whether the policy's host list changed.
func (s *Server) reconcileHost(desired statemachine.Host) (changed bool) {
	pool := s.pools[desired.ID]
	if pool != nil && (pool.Address != desired.Address || pool.Service != desired.Service) { // another host with the same ID
		pool.remove()
		pool = nil
	}
	if pool == nil {
		pool = s.newPool(desired)
	}
	pool.Host = desired
	listState := s.listStateOf(pool)
	if pool.announcedToPolicy && pool.listState == listState {
		return false
	}
	pool.listState, pool.announcedToPolicy = listState, true
	pool.announce(listState, float64(max(1, desired.Capacity)))
	return true
}

func (s *Server) newPool(host statemachine.Host) *hostPool {
	svc := s.serviceNamed(host.Service)
	pool := &hostPool{Host: host, server: s, service: svc, conns: map[*hostConn]struct{}{}, queue: newConnQueue()}
	pool.policyHost = s.policy.AddHost(host.ID, svc.policySet)
	s.pools[host.ID], s.poolByPolicyHost[pool.policyHost] = pool, pool
	return pool
}

// listStateOf returns the state that a host should have in the policy's host list. A draining primary remains active until another
// host is appointed or the platform's time limit for draining is almost reached.
func (s *Server) listStateOf(pool *hostPool) policy.ListState {
	if !pool.Draining {
		return policy.Active
	}
	now := s.clock.Time()
	if pool.drainingSince.IsZero() {
		pool.drainingSince = now
	}
	if s.replica.state.Primaries[pool.Service].Host == pool.ID && !pool.drainExpired(now) {
		return policy.Active
	}
	return policy.Draining
}

// announce updates the host's entry in the policy's host list. SetPrimary, not this call, marks the primary. The host's hardware
// model and start time are not known.
func (p *hostPool) announce(listState policy.ListState, capacity float64) {
	p.policyHost.UpdateListing(listState, false, p.Zone, "", capacity, 0)
}

// remove removes a host from the policy's host list and retires its pool.
func (p *hostPool) remove() {
	p.announce(policy.Removed, 1)
	p.retire()
}

func (s *Server) reconcilePrimaries() {
	for _, name := range s.changedPrimaries() {
		svc, current := s.serviceNamed(name), s.replica.state.Primaries[name]
		previous := svc.primary
		svc.primary = current
		svc.forgetConfirmations(previous)
		if primaryChanged(previous, current) {
			s.changePrimary(svc, previous)
		}
	}
}

// primaryChanged reports whether a change concerns this proxy: another primary, a revocation, or another nominee during a
// revocation.
func primaryChanged(previous, current statemachine.Primary) bool {
	if previous.Host != current.Host || previous.ChangedIndex != current.ChangedIndex || previous.Revoked != current.Revoked {
		return true
	}
	return current.Revoked && previous.Nominee != current.Nominee
}

// changePrimary stops treating the previous host as the primary of a service, and then starts treating the current one as such.
func (s *Server) changePrimary(svc *service, previous statemachine.Primary) {
	current := svc.primary
	if old := s.pools[previous.Host]; old != nil && (current.Revoked || current.Host != previous.Host) {
		old.policyHost.SetPrimary(false)
		s.abortPrimaryWork(old)
	}
	if current.Revoked {
		s.revocationUnreported = s.revocationUnreported || !previous.Revoked
		s.policy.ExpectPrimary(svc.policySet, position.NextPrimaryDue(s.policyNow, s.replica.state.LastPromotionMs, current.Nominee != ""))
		return
	}
	svc.positions.Clear()
	svc.unconfirmed = wire.Position{}
	if pool := s.pools[current.Host]; pool != nil {
		pool.policyHost.SetPrimary(true)
		s.log.Info("primary changed", "service", svc.name, "host", current.Host, "term", current.Term)
	}
}

// abortPrimaryWork aborts the transactions and writes sent to a host in its epoch as the primary: the next primary is chosen
// without regard to what this host acknowledges from now on.
func (s *Server) abortPrimaryWork(pool *hostPool) {
	for _, conn := range pool.connsByAge() {
		stmt, client := conn.statement, conn.session
		switch {
		case client != nil && client.primaryEpoch != noEpoch:
			conn.statement, conn.session = nil, nil
			client.pinnedConn = nil
			s.closeConn(conn)
			if stmt != nil {
				s.endAttempt(stmt, policy.Reset)
			} else {
				client.pinnedConnLost()
			}
		case stmt != nil && stmt.attempt.sent && stmt.attempt.primaryEpoch != noEpoch && stmt.step.MayWrite:
			conn.statement = nil
			s.closeConn(conn)
			s.endAttempt(stmt, policy.Reset)
		}
	}
}

func (s *Server) reconcileRoutes() {
	configured := s.replica.state.Config()
	if configured == nil || configured == s.config {
		return
	}
	s.config, s.tenants = configured, tenancy.NewIndex(s.secret, configured)
	s.counters.configUpdates.Add(1)
	s.log.Info("configuration applied", "version", configured.Generation, "routes", len(configured.Routes), "tenants", len(configured.Tenants))
	s.replaceRoutes(configured.Routes)
	s.replaceLimits(configured.Tenants)
	for _, client := range s.sessions.byAge() {
		if client.isIdle() && s.routes[client.database] == nil {
			client.drain()
		}
	}
	s.applyTenants()
}

// replaceRoutes replaces the routes by the configured ones. Unchanged routes are kept, with what the policy has learned about them.
func (s *Server) replaceRoutes(configured []config.Route) {
	lastIndex := make(map[string]int, len(configured)) // the last route of a database takes precedence
	for i, r := range configured {
		lastIndex[r.Host] = i
	}
	for i, r := range configured {
		previous := s.routes[r.Host]
		if lastIndex[r.Host] == i && (previous == nil || previous.Route != r) {
			s.routes[r.Host] = s.newRoute(r)
		}
	}
	maps.DeleteFunc(s.routes, func(database string, _ *route) bool {
		_, kept := lastIndex[database]
		return !kept
	})
}
