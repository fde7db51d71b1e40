package proxy

import (
	"time"

	"ferrypitch/policy"
)

// placement holds the state that decides to which host a statement goes: the policy, and the hosts, services and routes it uses.
type placement struct {
	policy           *policy.Router       // chooses the host of each statement, and decides on retries
	policyNow        policy.TenthMs       // time that was last set at the policy
	policyWakeAt     time.Time            // next call of WakeUp; zero if none is scheduled
	pools            map[string]*hostPool // keyed by host ID
	poolByPolicyHost map[*policy.Host]*hostPool
	services         map[string]*service
	routes           map[string]*route // keyed by database name
}

func newPlacement() placement {
	return placement{
		pools:            map[string]*hostPool{},
		poolByPolicyHost: map[*policy.Host]*hostPool{},
		services:         map[string]*service{},
		routes:           map[string]*route{},
	}
}

// serviceNamed returns a service, which it creates at the first use of the name.
func (p *placement) serviceNamed(name string) *service {
	svc := p.services[name]
	if svc == nil {
		svc = &service{name: name, policySet: int64(len(p.services) + 1), maxConns: defaultMaxConns}
		p.services[name] = svc
	}
	return svc
}

// forgetHost deletes a removed host. It keeps the pool of a new host that has taken over the id.
func (p *placement) forgetHost(host *policy.Host, pool *hostPool) {
	delete(p.poolByPolicyHost, host)
	if p.pools[pool.ID] == pool {
		delete(p.pools, pool.ID)
	}
}
