package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/config"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
)

// newLimitedSession returns a session of a tenant with a limit, at a proxy whose lender never answers by itself.
func newLimitedSession(t *testing.T) (*simulation, *proxyProcess, *clientSession, *recordingConn) {
	t.Helper()
	sim := newSimulation(1, 1, 0)
	sim.RunFor(2 * second)
	proxy := sim.proxies[0]
	proxy.server.tenants = tenancy.NewIndex(proxy.server.secret, &config.Config{Tenants: []config.Tenant{{Name: "t7", ApiKeys: []string{simulatedKey}}}})
	proxy.server.accounts.SetLimitedTenants([]string{"t7"})
	proxy.run(proxy.incarnation, func(server *Server) { server.setLender(rpc.ProtocolVersion) })
	session, conn := beginAs(proxy, "lead", simulatedKey)
	conn.take()
	return sim, proxy, session, conn
}

// answerQuota delivers a lender's response for the tenant to the proxy.
func answerQuota(proxy *proxyProcess, answer quota.Answer) {
	answer.Tenant = "t7"
	proxy.run(proxy.incarnation, func(server *Server) {
		server.handleQuotaResponse(&quota.Response{Serial: 1, Term: 1, Answers: []quota.Answer{answer}})
	})
}

// A statement without a token waits as long as a host could still answer it before its deadline, and is then rejected without being sent.
func TestStatementWithoutATokenWaitsWhileItCanBeAnswered(t *testing.T) {
	sim, proxy, session, conn := newLimitedSession(t)
	sendStatement(t, proxy, session, "QUERY q1 FETCH 1")
	stmt := proxy.server.tokenWaiters[0]
	timeToAnswer := toDuration(proxy.server.policy.TimeToAnswer(stmt.route.readGroup))
	latest := stmt.deadline.Sub(proxy.server.clock.Time()) - timeToAnswer
	sim.RunFor(toTenths(latest) - millisecond)
	require.Empty(t, conn.take())
	sim.RunFor(2 * millisecond)
	require.Contains(t, conn.take(), "ERROR RETRY")
	require.Empty(t, proxy.server.tokenWaiters)
}

func TestStatementsThatWaitForALostLenderAreRejectedAtOnce(t *testing.T) {
	_, proxy, session, conn := newLimitedSession(t)
	sendStatement(t, proxy, session, "QUERY q1 FETCH 1")
	require.Empty(t, conn.take())
	proxy.run(proxy.incarnation, (*Server).clearLender)
	require.Contains(t, conn.take(), "ERROR RETRY", "its lender does not answer any more")
	require.Empty(t, proxy.server.tokenWaiters)
	sendStatement(t, proxy, session, "QUERY q2 FETCH 1")
	require.Contains(t, conn.take(), "ERROR RETRY", "there is no lender")
}

func TestStatementIsServedOrRefusedAsTheLenderSays(t *testing.T) {
	sim, proxy, session, conn := newLimitedSession(t)
	sendStatement(t, proxy, session, "QUERY q1 FETCH 1")
	answerQuota(proxy, quota.Answer{Granted: 1})
	sim.RunFor(200 * millisecond)
	require.Contains(t, conn.take(), "DONE")

	sim, proxy, session, conn = newLimitedSession(t)
	sendStatement(t, proxy, session, "QUERY q1 FETCH 1")
	answerQuota(proxy, quota.Answer{AtLimit: true, RetryAfterMs: 300})
	require.Contains(t, conn.take(), "ERROR OVERLOAD the tenant is at its limit; 300")
	require.Equal(t, []string{"t7"}, proxy.server.status().TenantsAtLimit)
	sendStatement(t, proxy, session, "QUERY q2 FETCH 1")
	require.Contains(t, conn.take(), "ERROR OVERLOAD", "at once")
	sim.RunFor(400 * millisecond)
	require.Empty(t, proxy.server.status().TenantsAtLimit)
}

// A transaction is charged at its BEGIN; its other statements are not charged.
func TestTransactionCostsOneToken(t *testing.T) {
	sim, proxy, session, conn := newLimitedSession(t)
	sendStatement(t, proxy, session, "QUERY q1 BEGIN")
	answerQuota(proxy, quota.Answer{Granted: 1})
	for _, line := range []string{"QUERY q2 FETCH 1", "QUERY q3 STORE 1 x", "QUERY q4 COMMIT"} {
		sim.RunFor(200 * millisecond)
		sendStatement(t, proxy, session, line)
	}
	sim.RunFor(200 * millisecond)
	require.NotContains(t, conn.take(), "ERROR")
	require.Zero(t, proxy.server.counters.quotaUnknown.Load())
}

// A statement that was never sent returns its token, so that the tenant's next one can use it.
func TestTokenOfAnUnsentStatementIsGivenBack(t *testing.T) {
	sim, proxy, session, conn := newLimitedSession(t)
	sendStatement(t, proxy, session, "QUERY q1 FETCH 1")
	for _, pool := range proxy.server.pools {
		pool.service.primary.Revoked = true // so that no host can serve it
	}
	answerQuota(proxy, quota.Answer{Granted: 1})
	sim.RunFor(200 * millisecond) // a connection is opened in the tenant's name first
	require.Contains(t, conn.take(), "no host can serve it")
	_, verdict := proxy.server.accounts.Admit("t7", proxy.server.clock.Now())
	require.Equal(t, quota.Admitted, verdict)
}
