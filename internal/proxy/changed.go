package proxy

import (
	"slices"

	"ferrypitch/policy"
)

// The functions in this file iterate over the map of all hosts or services and sort only the result, which is much smaller. The
// sort makes the order of calls to the policy deterministic, so that a simulation with the same seed repeats exactly.

// poolsInUse returns the hosts that the periodic sweep must check: those with connections, and those that are draining.
func (p *placement) poolsInUse() []string {
	var ids []string
	for id, pool := range p.pools {
		if len(pool.conns) > 0 || pool.Draining {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// changedHosts returns the hosts of the replicated state that are new, that differ from this proxy's pool for them, or that are
// draining, whose state in the policy's host list depends on which host is the primary.
func (s *Server) changedHosts() []string {
	var ids []string
	for id, desired := range s.replica.state.Hosts {
		pool := s.pools[id]
		if pool == nil || pool.Host != desired || !pool.announcedToPolicy || pool.listState == policy.Removed || desired.Draining {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// delistedHosts returns the hosts that are no longer in the replicated state but not yet marked as removed here.
func (s *Server) delistedHosts() []string {
	var ids []string
	for id, pool := range s.pools {
		if _, listed := s.replica.state.Hosts[id]; !listed && pool.listState != policy.Removed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// changedPrimaries returns the services whose primary in the replicated state differs from the one this proxy uses.
func (s *Server) changedPrimaries() []string {
	var names []string
	for name, desired := range s.replica.state.Primaries {
		if svc := s.services[name]; svc == nil || svc.primary != desired {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// countAliveProxies updates the number of proxies that share the connections of each host, from gossip.
func (s *Server) countAliveProxies() {
	if s.membership != nil {
		s.aliveProxies = s.membership.AliveCount()
	}
}

// servicesChanged reports whether the configuration has changed since its services were last applied, and records the current
// one as applied.
func (s *Server) servicesChanged() bool {
	configured := s.replica.state.Config()
	if configured == nil || configured == s.reconciledServices {
		return false
	}
	s.reconciledServices = configured
	return true
}
