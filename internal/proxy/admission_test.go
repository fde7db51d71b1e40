package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/config"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
)

// limitedSession is a session of a tenant with a limit, at a proxy that follows a lender from which nothing is heard.
func limitedSession(t *testing.T) (*simulation, *proxyProcess, *clientSession, *recordedConn) {
	t.Helper()
	sim := newSimulation(1, 1, 0)
	sim.RunFor(2 * second)
	proxy := sim.proxies[0]
	proxy.server.tenants = tenancy.NewIndex(proxy.server.secret, &config.Config{Tenants: []config.Tenant{{Name: "t7", ApiKeys: []string{simulatedKey}}}})
	proxy.server.accounts.SetLimitedTenants([]string{"t7"})
	proxy.run(proxy.incarnation, func(server *Server) { server.lenderFound(rpc.ProtocolVersion) })
	session, conn := beginAs(proxy, "lead", simulatedKey)
	conn.take()
	return sim, proxy, session, conn
}

func lendTo(proxy *proxyProcess, answer quota.Answer) {
	answer.Tenant = "t7"
	proxy.run(proxy.incarnation, func(server *Server) {
		server.quotaAnswered(&quota.Response{Serial: 1, Term: 1, Answers: []quota.Answer{answer}})
	})
}

// A statement without a token is held for a quarter of its target of 150 ms, and never sent.
func TestStatementWithoutATokenIsNotHeldLong(t *testing.T) {
	sim, proxy, session, conn := limitedSession(t)
	ask(t, proxy, session, "QUERY q1 FETCH 1")
	sim.RunFor(30 * millisecond)
	require.Empty(t, conn.take())
	sim.RunFor(15 * millisecond)
	require.Contains(t, conn.take(), "ERROR RETRY")
	require.Empty(t, proxy.server.waiting)

	proxy.run(proxy.incarnation, (*Server).lenderLost)
	ask(t, proxy, session, "QUERY q2 FETCH 1")
	require.Contains(t, conn.take(), "ERROR RETRY", "nobody can be asked")
}

func TestStatementIsServedOrRefusedAsTheLenderSays(t *testing.T) {
	sim, proxy, session, conn := limitedSession(t)
	ask(t, proxy, session, "QUERY q1 FETCH 1")
	lendTo(proxy, quota.Answer{Granted: 1})
	sim.RunFor(200 * millisecond)
	require.Contains(t, conn.take(), "DONE")

	sim, proxy, session, conn = limitedSession(t)
	ask(t, proxy, session, "QUERY q1 FETCH 1")
	lendTo(proxy, quota.Answer{AtLimit: true, RetryAfterMs: 300})
	require.Contains(t, conn.take(), "ERROR OVERLOAD the tenant is at its limit; 300")
	require.Equal(t, []string{"t7"}, proxy.server.status().TenantsAtLimit)
	ask(t, proxy, session, "QUERY q2 FETCH 1")
	require.Contains(t, conn.take(), "ERROR OVERLOAD", "at once")
	sim.RunFor(400 * millisecond)
	require.Empty(t, proxy.server.status().TenantsAtLimit)
}

// The statements of a transaction cost nothing beside its BEGIN.
func TestTransactionCostsOneToken(t *testing.T) {
	sim, proxy, session, conn := limitedSession(t)
	ask(t, proxy, session, "QUERY q1 BEGIN")
	lendTo(proxy, quota.Answer{Granted: 1})
	for _, line := range []string{"QUERY q2 FETCH 1", "QUERY q3 STORE 1 x", "QUERY q4 COMMIT"} {
		sim.RunFor(200 * millisecond)
		ask(t, proxy, session, line)
	}
	sim.RunFor(200 * millisecond)
	require.NotContains(t, conn.take(), "ERROR")
	require.Zero(t, proxy.server.counters.quotaUnknown.Load())
}

// A statement that was never sent gives its token back.
func TestTokenOfAnUnsentStatementIsGivenBack(t *testing.T) {
	sim, proxy, session, conn := limitedSession(t)
	ask(t, proxy, session, "QUERY q1 FETCH 1")
	for _, pool := range proxy.server.pools {
		pool.service.primary.Revoked = true // no host can take it
	}
	lendTo(proxy, quota.Answer{Granted: 1})
	sim.RunFor(200 * millisecond) // a connection is opened in the tenant's name first
	require.Contains(t, conn.take(), "no host can serve it")
	_, verdict := proxy.server.accounts.Admit("t7", proxy.server.clock.Now())
	require.Equal(t, quota.Admitted, verdict)
}
