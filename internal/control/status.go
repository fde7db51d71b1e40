package control

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/statemachine"
)

// Status is the report of a member about itself, whether it leads or not.
type Status struct {
	Consensus        consensus.Status
	LeaderlessForMs  int64  // time for which this process has heard from no leader; 0 while it hears from one
	ProtocolVersion  uint32 // protocol version that this process speaks
	LeastVersion     uint32 // lowest protocol version among the members whose version is known
	Version          int64  // version (Generation) of the configuration
	Hosts            int
	Proxies          int // proxies that hold leases; 0 unless this member leads
	Primaries        map[string]statemachine.Primary
	Transitions      map[string]failover.Transition // failovers and switchovers in progress, by service; empty unless this member leads
	UnaccountedHosts []statemachine.Host            // removed hosts whose log may contain entries that no other host has
	MissingHosts     []string                       // IDs of hosts that failover does not wait for
	TenantsAtLimit   []string                       // names of tenants for which a proxy waits for more tokens; empty unless this member leads
	Counters         map[string]int64
}

var memberStatus = endpoint{
	method:   http.MethodGet,
	path:     "/Member.Status",
	timeout:  time.Second,
	priority: eventloop.PriorityCommands,
	handle:   (*Server).handleStatus,
}

func (s *Server) handleStatus(_ string, _ apiCall, respond Responder) {
	body, _ := json.Marshal(s.status()) // plain data: cannot fail
	respond(http.StatusOK, append(body, '\n'))
}

func (s *Server) status() *Status {
	now := s.clock.Now()
	status := &Status{
		Consensus:       s.consensus.Status(now),
		LeaderlessForMs: s.leaderless.durationMs(now),

		ProtocolVersion: s.protocolVersion,
		LeastVersion:    s.leastVersion(),

		Version:   s.state.Generation,
		Hosts:     len(s.state.Hosts),
		Primaries: s.state.Primaries,
		Counters:  s.counters(),
	}
	if s.leading {
		status.TenantsAtLimit = s.quota.lender.AtLimit(now)
		status.Proxies = s.grantor.HolderCount(now)
		status.Transitions = s.coordinator.Transitions(s.state, now)
	}
	for _, id := range slices.Sorted(maps.Keys(s.state.UnaccountedHosts)) {
		status.UnaccountedHosts = append(status.UnaccountedHosts, s.state.UnaccountedHosts[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.state.Hosts)) {
		if s.state.Hosts[id].Missing {
			status.MissingHosts = append(status.MissingHosts, id)
		}
	}
	return status
}
