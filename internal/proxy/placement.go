package proxy

import (
	"time"

	"ferrypitch/policy"
)

// placement is what decides where statements go: the policy, and the hosts, services and routes that it is told of.
type placement struct {
	policy           *policy.Router // chooses the host of each statement, and decides on retries
	policyNow        policy.TenthMs // when the policy was last called
	policyWakeAt     time.Time      // when it is to be called; zero: it has not asked for that
	pools            map[string]*hostPool
	poolByPolicyHost map[*policy.Host]*hostPool
	services         map[string]*service
	routes           map[string]*route // by database name
}

func newPlacement() placement {
	return placement{
		pools:            map[string]*hostPool{},
		poolByPolicyHost: map[*policy.Host]*hostPool{},
		services:         map[string]*service{},
		routes:           map[string]*route{},
	}
}

// serviceNamed returns a service, which it makes at its first mention.
func (p *placement) serviceNamed(name string) *service {
	svc := p.services[name]
	if svc == nil {
		svc = &service{name: name, policySet: int64(len(p.services) + 1), maxConns: defaultMaxConns}
		p.services[name] = svc
	}
	return svc
}

// forgetHost drops a host that was removed. Another may have its id by now.
func (p *placement) forgetHost(host *policy.Host, pool *hostPool) {
	delete(p.poolByPolicyHost, host)
	if p.pools[pool.ID] == pool {
		delete(p.pools, pool.ID)
	}
}
