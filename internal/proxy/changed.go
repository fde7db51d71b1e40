package proxy

import (
	"slices"

	"ferrypitch/policy"
)

// What is found here by one pass over all hosts or services is sorted only then, since it is little and the whole is not. The order
// decides what the policy is told first, so that a simulation repeats exactly.

// poolsInUse returns the hosts for which time alone may change something: those with connections, and those that drain.
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

// changedHosts returns the hosts of the replicated state that are new, that differ from what this proxy knows of them, or whose
// standing depends on who the primary is.
func (s *Server) changedHosts() []string {
	var ids []string
	for id, want := range s.replica.state.Hosts {
		pool := s.pools[id]
		if pool == nil || pool.Host != want || !pool.announced || pool.standing == policy.Removed || want.Draining {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// delistedHosts returns the hosts that have left the replicated state and are not removed here yet.
func (s *Server) delistedHosts() []string {
	var ids []string
	for id, pool := range s.pools {
		if _, listed := s.replica.state.Hosts[id]; !listed && pool.standing != policy.Removed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// changedPrimaries returns the services whose primary differs from what this proxy knows.
func (s *Server) changedPrimaries() []string {
	var names []string
	for name, want := range s.replica.state.Primaries {
		if svc := s.services[name]; svc == nil || svc.primary != want {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// countAliveProxies notes how many proxies share the connections of each host, by what other proxies say.
func (s *Server) countAliveProxies() {
	if s.membership != nil {
		s.aliveProxies = s.membership.AliveCount()
	}
}

// servicesChanged says whether services of another configuration are to be taken in, and notes that they are.
func (s *Server) servicesChanged() bool {
	configured := s.replica.state.Config()
	if configured == nil || configured == s.reconciledServices {
		return false
	}
	s.reconciledServices = configured
	return true
}
