package control

import (
	"cmp"
	"maps"
	"slices"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/errcode"
)

// Each address belongs to one host at a time: a new host at the address of a known host replaces it. The first heartbeat of a
// host may be delayed, however, until its process has ended and another host uses the address. The known host is therefore
// queried before it is removed: if it responds under its ID, the heartbeat is stale.

// addressCheck is the first heartbeat of a new host, held back while the known host at the same address is queried.
type addressCheck struct {
	accept  func() // processes the heartbeat once the known host is confirmed gone
	respond Responder
}

// checkAddress queries a known host to find out whether it still runs at its address.
func (s *Server) checkAddress(knownHost string, check addressCheck) {
	host := s.state.Hosts[knownHost]
	query := s.coordinator.NewProbe(host.Service, knownHost)
	s.addressChecks[query] = check
	s.HostQueries.Add(1)
	s.environment.QueryHost(query, host)
}

// finishAddressCheck completes an address check with the result of its query. It returns false if the query does not belong to an
// address check. If the query timed out, the heartbeat is rejected and the new host must retry.
func (s *Server) finishAddressCheck(result failover.QueryResult) bool {
	check, ok := s.addressChecks[result.Query]
	if !ok {
		return false
	}
	delete(s.addressChecks, result.Query)
	switch {
	case result.HasEnded():
		check.accept()
	case result.TimedOut:
		reject(check.respond, errcode.NoLeader, nil)
	default:
		s.LateHeartbeats.Add(1)
		s.respondHeartbeat(nil, check.respond)
	}
	return true
}

// dropAddressChecks rejects all pending address checks when this member loses leadership.
func (s *Server) dropAddressChecks() {
	pending := s.addressChecks
	s.addressChecks = map[failover.HostQuery]addressCheck{}
	for _, query := range slices.SortedFunc(maps.Keys(pending), bySerial) {
		reject(pending[query].respond, errcode.NoLeader, nil)
	}
}

func bySerial(a, b failover.HostQuery) int { return cmp.Compare(a.Serial, b.Serial) }
