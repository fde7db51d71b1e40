package proxy

import (
	"ferrypitch/policy"
)

// StatusPath is the path at which a proxy's readiness server answers GET requests with Status as JSON.
const StatusPath = "/Router.Status"

// Status is the state that a proxy reports to operators.
type Status struct {
	Node             string
	Ready            bool
	ConfigVersion    int64  // version of the configuration in force; 0: none
	AppliedIndex     uint64 // index up to which the control plane's log is applied
	LeaseRemainingMs int64  // 0: no valid lease
	Sessions         int
	Statements       int      // statements without an answer
	ControlMembers   []string // addresses of control-plane members, as last received
	Proxies          []string // names of live proxies, this one included
	TenantsAtLimit   []string // names of tenants whose operations are refused here
	Services         map[string]ServiceStatus
	Hosts            map[string]HostStatus
	Counters         map[string]int64
}

// ServiceStatus is the state of a service as known to this proxy.
type ServiceStatus struct {
	Primary       string
	Revoked       bool   // the primary was revoked and is about to be replaced
	Position      string // last known log position of the primary
	PositionAgeMs int64  // -1: no position is known
}

// HostStatus is the state of a host and of this proxy's connections to it.
type HostStatus struct {
	Service, Address, Zone string
	Standing               string // state in the policy's host list: in, draining or gone
	Conns                  int    // open connections
	IdleConns              int
	DialingConns           int
	MaxConns               int // this proxy's share
	QueuedStatements       int // statements that wait for a connection
}

var listStateNames = map[policy.ListState]string{policy.Active: "in", policy.Draining: "draining", policy.Removed: "gone"}

func (s *Server) status() Status {
	now := s.refreshPolicyTime()
	status := Status{
		Node:             s.settings.Node,
		Ready:            s.ready.Load(),
		ConfigVersion:    s.replica.state.Generation,
		AppliedIndex:     s.replica.state.Index,
		LeaseRemainingMs: max(0, s.lease.holder.ExpiresAt()-s.clock.Now()),
		Sessions:         len(s.sessions.open),
		Statements:       len(s.statements),
		Services:         map[string]ServiceStatus{},
		Hosts:            map[string]HostStatus{},
		Counters:         s.counters.values(s.membership),
	}
	status.TenantsAtLimit = s.accounts.AtLimit(s.clock.Now())
	if s.membership != nil {
		status.Proxies = s.membership.AliveNames()
		status.ControlMembers, _ = s.membership.ControlMembers()
	}
	for name, svc := range s.services {
		status.Services[name] = svc.status(now)
	}
	for id, pool := range s.pools {
		status.Hosts[id] = pool.status()
	}
	return status
}

func (svc *service) status(now policy.TenthMs) ServiceStatus {
	sampledAt, latest := svc.positions.Latest()
	status := ServiceStatus{Primary: svc.primary.Host, Revoked: svc.primary.Revoked, Position: latest.String(), PositionAgeMs: -1}
	if sampledAt >= 0 {
		status.PositionAgeMs = (now - sampledAt) / tenthsPerMillisecond
	}
	return status
}

func (p *hostPool) status() HostStatus {
	return HostStatus{
		Service:          p.Service,
		Address:          p.Address,
		Zone:             p.Zone,
		Standing:         listStateNames[p.listState],
		Conns:            len(p.conns),
		IdleConns:        len(p.idle),
		DialingConns:     p.queue.dialing,
		MaxConns:         p.server.connShare(p).MaxConns(),
		QueuedStatements: len(p.queue.statements),
	}
}
