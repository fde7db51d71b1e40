package control

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/simulation/statesize"
)

// The number of evaluations per heartbeat, lease renewal and tick must not grow with the number of services.
func TestHeartbeatsRenewalsAndTicksEvaluateOnlyAffectedServices(t *testing.T) {
	s := newSoleLeader(t, statesize.Size{Proxies: 295, Databases: 120})
	evaluated := func(what string, act func()) int64 {
		before := s.coordinator.Counters.Evaluated
		act()
		require.True(t, s.holdsLease(), what)
		return s.coordinator.Counters.Evaluated - before
	}
	tick := func() { s.Tick(); s.sync() }
	heartbeat := func(role string) func() {
		host := statesize.HostAt(13)
		body := fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Generation":%q,"Capacity":7,"State":"serving","DbRole":%q,"CallSeq":1}`,
			host.Service, host.Address, host.Zone, host.Generation, role)
		return func() {
			s.HandleCall(http.MethodPost, hostHeartbeat.path+host.ID, "", body, func(status int, _ []byte) { require.Equal(t, http.StatusOK, status) })
			s.sync()
		}
	}
	renew := func() {
		for _, proxy := range s.proxies {
			s.HandleProxyFrame(proxy, &rpc.Frame{LeaseRequest: &rpc.LeaseRequest{Serial: 1, AppliedIndex: s.state.Index}})
		}
	}
	primary := s.state.Primaries[statesize.ServiceName(3)].Host
	suspect := func() {
		s.HandleProxyFrame(s.proxies[0], &rpc.Frame{SuspectReport: &rpc.SuspectReport{Service: statesize.ServiceName(3), Host: primary}})
	}
	tick()
	heartbeat("follower")()
	tick()

	require.Zero(t, evaluated("tick", tick))
	require.Zero(t, evaluated("heartbeat without news", heartbeat("follower")))
	require.EqualValues(t, 1, evaluated("heartbeat with news", heartbeat("leader")))
	require.Zero(t, evaluated("renewals", renew))
	require.EqualValues(t, 1, evaluated("suspect report", suspect))
	require.EqualValues(t, 2, evaluated("tick with two active services", tick))
}
