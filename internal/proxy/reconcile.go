package proxy

import (
	"maps"

	"ferrypitch/internal/config"
	"ferrypitch/internal/proxy/position"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/statemachine"
	"ferrypitch/policy"
)

// reconcile brings services, hosts, primaries and routes in line with the replicated state.
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
	for _, svc := range s.servicesOf.Services {
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
		pool.standing, changed = policy.Removed, true
		pool.remove()
	}
	if changed {
		s.policy.EndList(false)
	}
}

// reconcileHost brings one host in line, and says whether the policy's host list changed.
func (s *Server) reconcileHost(want statemachine.Host) (changed bool) {
	pool := s.pools[want.ID]
	if pool != nil && (pool.Address != want.Address || pool.Service != want.Service) { // another host under the same name
		pool.remove()
		pool = nil
	}
	if pool == nil {
		pool = s.newPool(want)
	}
	pool.Host = want
	standing := s.standingOf(pool)
	if pool.announced && pool.standing == standing {
		return false
	}
	pool.standing, pool.announced = standing, true
	pool.announce(standing, float64(max(1, want.Capacity)))
	return true
}

func (s *Server) newPool(host statemachine.Host) *hostPool {
	svc := s.serviceNamed(host.Service)
	pool := &hostPool{Host: host, server: s, service: svc, conns: map[*hostConn]struct{}{}, queue: newConnQueue()}
	pool.policyHost = s.policy.AddHost(host.ID, svc.policySet)
	s.pools[host.ID], s.poolByPolicyHost[pool.policyHost] = pool, pool
	return pool
}

// standingOf is a host's standing in the policy's host list. A primary that drains is used until another is appointed, or until
// the platform's bound for draining is nearly over.
func (s *Server) standingOf(pool *hostPool) policy.ListState {
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

// announce updates the policy's host list. Who the primary is it learns by SetPrimary; kind and boot time are not known here.
func (p *hostPool) announce(standing policy.ListState, capacity float64) {
	p.policyHost.UpdateListing(standing, false, p.Zone, "", capacity, 0)
}

// remove has the policy send nothing more to a host, and ends it.
func (p *hostPool) remove() {
	p.announce(policy.Removed, 1)
	p.retire()
}

func (s *Server) reconcilePrimaries() {
	for _, name := range s.changedPrimaries() {
		svc, want := s.serviceNamed(name), s.replica.state.Primaries[name]
		was := svc.primary
		svc.primary = want
		if primaryChanged(was, want) {
			s.changePrimary(svc, was)
		}
	}
}

// primaryChanged says that a change concerns this proxy: another primary, a revocation, or during one another nominee.
func primaryChanged(was, want statemachine.Primary) bool {
	if was.Host != want.Host || was.ChangedIndex != want.ChangedIndex || was.Revoked != want.Revoked {
		return true
	}
	return want.Revoked && was.Nominee != want.Nominee
}

// changePrimary stops using the old primary of a service as such, and then starts using the new one.
func (s *Server) changePrimary(svc *service, was statemachine.Primary) {
	want := svc.primary
	if old := s.pools[was.Host]; old != nil && (want.Revoked || want.Host != was.Host) {
		old.policyHost.SetPrimary(false)
		s.abortPrimaryWork(old)
	}
	if want.Revoked {
		s.revocationUnreported = s.revocationUnreported || !was.Revoked
		s.policy.ExpectPrimary(svc.policySet, position.NextPrimaryDue(s.policyNow, s.replica.state.LastPromotionMs, want.Nominee != ""))
		return
	}
	svc.positions.Clear()
	if pool := s.pools[want.Host]; pool != nil {
		pool.policyHost.SetPrimary(true)
		s.log.Info("primary changed", "service", svc.name, "host", want.Host, "term", want.Term)
	}
}

// abortPrimaryWork ends what was sent to a host in its epoch as the primary: the next primary is chosen without regard to what
// it acknowledges from now on.
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
		if client.idle() && s.routes[client.database] == nil {
			client.drain()
		}
	}
	s.applyTenants()
}

// replaceRoutes makes routes of the configured ones. Those that are as before keep what the policy has learned of them.
func (s *Server) replaceRoutes(configured []config.Route) {
	last := make(map[string]int, len(configured)) // of several for one database the last one counts
	for i, r := range configured {
		last[r.Host] = i
	}
	for i, r := range configured {
		was := s.routes[r.Host]
		if last[r.Host] == i && (was == nil || was.Route != r) {
			s.routes[r.Host] = s.newRoute(r)
		}
	}
	maps.DeleteFunc(s.routes, func(database string, _ *route) bool {
		_, stays := last[database]
		return !stays
	})
}
