package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
)

const tenantConfig = `{"Generation":2,"Routes":[],"Services":[],"Tenants":[{"Name":"t7","ApiKeys":["k7"],"RatePerS":100,"Burst":50},{"Name":"t8","ApiKeys":["k8"]}]}`

// newTenantCluster returns a healthy cluster whose configuration has tenants, its leader, a proxy of the leader, and the last
// welcome or quota response sent to the proxy.
func newTenantCluster(t *testing.T) (c *cluster, leader *Server, proxy *ProxyConn, last **rpc.Frame) {
	t.Helper()
	c, leader = newHealthyCluster(t)
	statuses, _ := callRepeatedly(leader, "/Config.Replace", "0", []byte(tenantConfig), 1)
	c.runGuarded(unitsPerSecond)
	require.Equal(t, map[int]int{200: 1}, statuses)
	last = new(*rpc.Frame)
	hello := &rpc.ProxyHello{Node: "p", Incarnation: 1, AppliedIndex: leader.state.Index, Version: rpc.ProtocolVersion}
	record := func(frame *rpc.Frame) bool {
		if frame.ProxyWelcome != nil || frame.QuotaResponse != nil {
			*last = frame
		}
		return true
	}
	proxy = leader.AcceptProxy(hello, "10.1.0.8", record, func() {})
	require.EqualValues(t, rpc.ProtocolVersion, (*last).Version, "a proxy requests tokens only from a leader whose version supports it")
	return c, leader, proxy, last
}

func requestTokens(server *Server, proxy *ProxyConn, tenant string) {
	ask := quota.Ask{Tenant: tenant, Want: 1000, Urgent: 1000}
	server.HandleProxyFrame(proxy, &rpc.Frame{QuotaRequest: &quota.Request{Serial: 3, Asks: []quota.Ask{ask}}})
}

// Tokens accumulate from when a configuration is applied, not from the first request of a proxy.
func TestFirstRequestGetsAccumulatedTokens(t *testing.T) {
	c, leader, proxy, last := newTenantCluster(t)
	c.runGuarded(6 * unitsPerSecond)
	requestTokens(leader, proxy, "t7")
	require.EqualValues(t, 3, (*last).QuotaResponse.Serial)
	require.Equal(t, 50, (*last).QuotaResponse.Answers[0].Granted, "the burst; the settings allow no excess")
	require.Equal(t, []string{"t7"}, leader.status().TenantsAtLimit)
	requestTokens(leader, proxy, "t8")
	require.Empty(t, (*last).QuotaResponse.Answers, "it has no limit")
}

// A member whose leader lease has expired lends no tokens, although it still acts as the leader.
func TestMemberWithoutTheLeaseDoesNotLend(t *testing.T) {
	c, leader, proxy, last := newTenantCluster(t)
	c.runGuarded(6 * unitsPerSecond)
	for _, other := range c.members {
		c.block(other.ip, c.leader().ip, 10*unitsPerSecond)
	}
	for leader.holdsLease() {
		c.runGuarded(unitsPerSecond / 100)
	}
	require.True(t, leader.leading)
	*last = nil
	requestTokens(leader, proxy, "t7")
	require.Nil(t, *last)
	require.EqualValues(t, 1, leader.QuotaRequestsIgnored.Load())
}
