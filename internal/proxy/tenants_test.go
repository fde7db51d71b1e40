package proxy

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/proxy/session"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// Keys in tenantsWithAllKeys, and one that is in no configuration.
const (
	northKey, northSpareKey, southKey, unknownKey = "north-key", "north-spare-key", "south-key", "unknown-key"

	tenantsWithAllKeys   = `[{"Name":"north","ApiKeys":["north-key","north-spare-key"]},{"Name":"south","ApiKeys":["south-key"]}]`
	tenantsWithSpareKeys = `[{"Name":"north","ApiKeys":["north-spare-key"]},{"Name":"south","ApiKeys":["south-key"]}]`
)

// withTenants returns the initial configuration with another version and a list of tenants.
func withTenants(version, tenants string) []byte {
	body := strings.Replace(initialConfig, `"Generation":1`, `"Generation":`+version, 1)
	return []byte(strings.Replace(body, `"Services":`, `"Tenants":`+tenants+`,"Services":`, 1))
}

// newTenantSimulation returns a simulation of one proxy whose clients need a key.
func newTenantSimulation(t *testing.T) (*simulation, *proxyProcess) {
	t.Helper()
	sim := newSimulation(1, 1, 0)
	proxy := sim.proxies[0]
	proxy.server.settings.Bounds = settings.Bounds{RevokeClosed: true, RevokeMs: 5000, ConfigApplyMs: 4000, DowngradeMs: 250}
	sim.RunFor(2 * second)
	applyTenantConfig(sim, "2", tenantsWithAllKeys)
	return sim, proxy
}

// applyTenantConfig commits a configuration with these tenants and waits until the proxy has applied it.
func applyTenantConfig(sim *simulation, version, tenants string) {
	sim.control.apply(statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{BaseVersion: sim.control.state.Generation, Body: withTenants(version, tenants)}})
	sim.RunFor(20 * millisecond)
}

// beginAs begins a session for a database with a tenant's key.
func beginAs(proxy *proxyProcess, database, key string) (*clientSession, *recordingConn) {
	conn := &recordingConn{}
	session := &clientSession{server: proxy.server, out: conn, keyHash: proxy.server.secret.Hash(key)}
	proxy.run(proxy.incarnation, func(server *Server) { server.beginSession(session, database) })
	return session, conn
}

// sendAndTake sends a statement and returns its answer.
func sendAndTake(t *testing.T, sim *simulation, session *clientSession, conn *recordingConn, line string) string {
	t.Helper()
	sendStatement(t, sim.proxies[0], session, line)
	sim.RunFor(100 * millisecond)
	return conn.take()
}

// connIdentities returns the identities that CONNECT named on the open connections of all hosts.
func (sim *simulation) connIdentities() (names []string) {
	for _, host := range sim.database.Hosts {
		for conn := range host.Conns {
			names = append(names, conn.Identity)
		}
	}
	return names
}

func TestHostsAreToldTheTenantOfTheKey(t *testing.T) {
	sim, _ := newTenantSimulation(t)
	for key, tenant := range map[string]string{northKey: "north", southKey: "south"} {
		session, conn := beginAs(sim.proxies[0], "lead", key)
		require.Equal(t, "IDLE I -\r\n", conn.take())
		identity := ""
		sim.database.OnRead = func(_ *database.Host, c *database.Conn, _ string) { identity = c.Identity }
		require.Contains(t, sendAndTake(t, sim, session, conn, "QUERY c1 FETCH a"), "DONE")
		require.Equal(t, tenant, identity)
	}
	for _, name := range sim.connIdentities() {
		require.Contains(t, []string{"north", "south", proxyIdentity}, name)
	}
}

func TestUnknownKeyIsDeniedOnlyUnderALease(t *testing.T) {
	sim, proxy := newTenantSimulation(t)
	_, conn := beginAs(proxy, "lead", unknownKey)
	require.Equal(t, "ERROR DENIED no such key\r\n", conn.take())
	require.True(t, conn.closed)
	_, conn = beginAs(proxy, "no-database", unknownKey)
	require.Contains(t, conn.take(), "ERROR NODB")

	proxy.partitioned = true
	sim.RunFor(1700 * millisecond)
	require.False(t, proxy.server.leaseValid())
	_, conn = beginAs(proxy, "lead", unknownKey)
	require.Empty(t, conn.take(), "the key may be in a newer configuration")
	sim.RunFor(waitingClientTimeout.Milliseconds()*millisecond + 100*millisecond)
	require.Contains(t, conn.take(), "ERROR RETRY")
}

func TestRevokedKeyEndsSessionsAndStatements(t *testing.T) {
	sim, proxy := newTenantSimulation(t)
	spare, spareConn := beginAs(proxy, "lead", northSpareKey)
	require.Contains(t, sendAndTake(t, sim, spare, spareConn, "QUERY c1 FETCH a"), "DONE")
	idle, _ := beginAs(proxy, "lead", northKey)
	active, activeConn := beginAs(proxy, "lead", northKey)
	activeConn.take()
	drained, drainedConn := beginAs(proxy, "lead", northKey)
	drainedConn.take()
	for _, host := range sim.database.Hosts { // so that statements have to wait for a connection
		host.Unreachable = true
		pool := proxy.server.pools[host.ID]
		proxy.run(proxy.incarnation, func(server *Server) {
			for _, conn := range pool.connsByAge() {
				server.closeConn(conn)
			}
		})
	}
	sendStatement(t, proxy, active, "QUERY c2 STORE a b")
	require.Empty(t, activeConn.take())
	sendStatement(t, proxy, drained, "QUERY c3 STORE a b")
	drained.drain()
	proxy.run(proxy.incarnation, func(server *Server) { server.handleReaderEnd(drained) })
	applyTenantConfig(sim, "3", tenantsWithSpareKeys)
	require.True(t, idle.draining)
	require.Equal(t, "ERROR DENIED the key was taken away\r\n", activeConn.take())
	require.True(t, activeConn.closed)
	require.Equal(t, "ERROR DENIED the key was taken away\r\n", drainedConn.take())
	require.NotContains(t, proxy.server.sessions.open, drained)
	require.False(t, spare.draining, "another key of the same tenant")
	require.Empty(t, proxy.server.statements)
}

func TestTransactionOfARevokedKeyEndsAfterItsGrace(t *testing.T) {
	sim, proxy := newTenantSimulation(t)
	quick, quickConn := beginAs(proxy, "lead", northKey)
	slow, slowConn := beginAs(proxy, "lead", northKey)
	for _, begun := range []struct {
		session *clientSession
		conn    *recordingConn
	}{{quick, quickConn}, {slow, slowConn}} {
		require.Contains(t, sendAndTake(t, sim, begun.session, begun.conn, "QUERY c1 BEGIN"), "IDLE T")
		require.Contains(t, sendAndTake(t, sim, begun.session, begun.conn, "QUERY c2 STORE a "+formatID(begun.session.id)), "IDLE T")
	}
	applyTenantConfig(sim, "3", tenantsWithSpareKeys)
	require.Contains(t, sendAndTake(t, sim, quick, quickConn, "QUERY c3 COMMIT"), "IDLE I")
	sim.RunFor(100 * millisecond)
	require.Equal(t, "ERROR ABORTED the transaction was rolled back; 100\r\nIDLE I -\r\n",
		withoutPosition(sendAndTake(t, sim, slow, slowConn, "QUERY c4 COMMIT")))
	for _, ended := range []struct {
		session *clientSession
		conn    *recordingConn
	}{{quick, quickConn}, {slow, slowConn}} {
		require.Equal(t, "ERROR DENIED the key was taken away\r\n", sendAndTake(t, sim, ended.session, ended.conn, "QUERY c5 FETCH a"))
	}
	_, kept := sim.database.FindWrite(formatID(quick.id))
	require.True(t, kept)
	_, kept = sim.database.FindWrite(formatID(slow.id))
	require.False(t, kept)
}

// A transaction that began while clients needed no key must end once the configuration requires one.
func TestTransactionWithoutATenantEndsOnceKeysAreAskedFor(t *testing.T) {
	sim := newSimulation(1, 1, 0)
	proxy := sim.proxies[0]
	proxy.server.settings.Bounds = settings.Bounds{RevokeClosed: true, RevokeMs: 5000, ConfigApplyMs: 4000, DowngradeMs: 250}
	sim.RunFor(2 * second)
	client, conn := beginAs(proxy, "lead", unknownKey)
	conn.take()
	require.Contains(t, sendAndTake(t, sim, client, conn, "QUERY c1 BEGIN"), "IDLE T")
	applyTenantConfig(sim, "2", tenantsWithAllKeys)
	sim.RunFor(200 * millisecond)
	require.Contains(t, sendAndTake(t, sim, client, conn, "QUERY c2 COMMIT"), "ERROR ABORTED")
	require.Equal(t, "ERROR DENIED the key was taken away\r\n", sendAndTake(t, sim, client, conn, "QUERY c3 FETCH a"))
}

// withoutPosition replaces the position in the IDLE of an answer by "-".
func withoutPosition(answer string) string {
	cut := strings.LastIndexByte(answer, ' ')
	return answer[:cut] + " -\r\n"
}

func TestNothingIsSentUnderAKeyLongAfterTheLease(t *testing.T) {
	sim, proxy := newTenantSimulation(t)
	session, conn := beginAs(proxy, "own", northKey)
	conn.take()
	require.Contains(t, sendAndTake(t, sim, session, conn, "QUERY c0 STORE a b"), "DONE") // so that a position is known
	require.Contains(t, sendAndTake(t, sim, session, conn, "QUERY c1 BEGIN FETCH"), "IDLE T")
	proxy.partitioned = true
	sim.RunFor(1500 * millisecond)
	for proxy.server.leaseValid() {
		sim.RunFor(10 * millisecond)
	}
	require.Contains(t, sendAndTake(t, sim, session, conn, "QUERY c2 FETCH a"), "DONE", "a short loss of the lease is tolerated")
	sim.RunFor(1300 * millisecond)
	require.Contains(t, sendAndTake(t, sim, session, conn, "QUERY c3 FETCH a"), "ABORTED", "a frozen or partitioned proxy may lack a revocation")
}

func TestConnectionsServeOneTenantWithinTheShare(t *testing.T) {
	sim, proxy := newTenantSimulation(t)
	pool := proxy.server.pools[sim.database.Primary().ID]
	share := func() int { return proxy.server.connShare(pool).MaxConns() }
	var sessions []*clientSession
	var conns []*recordingConn
	for i := range 60 {
		session, conn := beginAs(proxy, "lead", []string{northKey, southKey}[i%2])
		conn.take()
		sessions, conns = append(sessions, session), append(conns, conn)
	}
	for turn := range 4 {
		for _, session := range sessions {
			sendStatement(t, proxy, session, "QUERY c"+formatID(uint64(turn))+" FETCH a")
			require.LessOrEqual(t, len(pool.conns)+pool.queue.dialing, share())
		}
		sim.RunFor(900 * millisecond)
		for i, conn := range conns {
			require.Contains(t, conn.take(), "DONE", "session %d", i)
		}
	}
	require.Zero(t, pool.queue.dialing)
	require.Empty(t, pool.queue.byTenant)
}

// A statement that waited while connections were dialed for other tenants must not stay queued once all these dials were rejected.
func TestStatementIsNotLeftWithoutADialAtAFullHost(t *testing.T) {
	sim, proxy := newTenantSimulation(t)
	pool := proxy.server.pools[sim.database.Primary().ID]
	waiting := &statement{
		session: &clientSession{server: proxy.server, closed: true},
		tenant:  "north",
		step:    session.Step{Action: session.UsePinnedConn},
	}
	waiting.attempt.pool = pool
	proxy.run(proxy.incarnation, func(server *Server) {
		server.startAttemptTimer(waiting, server.clock.Time().Add(time.Second))
		clear(pool.conns)
		pool.idle = nil
		pool.queue.push(waiting)
		pool.dialFailed("south", wire.CodeOverload, nil)
	})
	require.Empty(t, pool.queue.statements)
}

// A tenant that always has statements waiting must not occupy all connections that a proxy may open.
func TestBusyTenantLeavesConnectionsToOthers(t *testing.T) {
	sim, proxy := newTenantSimulation(t)
	sim.database.LostAnswerOneIn, sim.database.RejectedWriteOneIn = 0, 0
	body := strings.Replace(string(withTenants("3", tenantsWithAllKeys)), `"MaxConns":60`, `"MaxConns":4`, 1)
	update := &statemachine.ConfigUpdate{BaseVersion: sim.control.state.Generation, Body: []byte(body)}
	sim.control.apply(statemachine.Change{UpdateConfig: update})
	sim.RunFor(20 * millisecond)
	var busy []*clientSession
	for range 12 {
		session, _ := beginAs(proxy, "lead", southKey)
		busy = append(busy, session)
	}
	keepBusy := func() {
		for _, session := range busy {
			if session.statement == nil {
				sendStatement(t, proxy, session, "QUERY c1 FETCH a")
			}
		}
	}
	for range 200 {
		keepBusy()
		sim.RunFor(1 * millisecond)
	}
	other, otherConn := beginAs(proxy, "lead", northKey)
	otherConn.take()
	sendStatement(t, proxy, other, "QUERY c2 FETCH a")
	waited := 0
	for ; waited < 900 && len(otherConn.lines) == 0; waited++ {
		keepBusy()
		sim.RunFor(1 * millisecond)
	}
	require.Contains(t, otherConn.take(), "DONE")
	require.Less(t, waited, 150, "milliseconds until the answer")
	require.Positive(t, proxy.server.counters.connsClosedForTenant.Load())
}

func TestKeyThatMovesToAnotherTenantRunsUnderItNext(t *testing.T) {
	sim, proxy := newTenantSimulation(t)
	session, conn := beginAs(proxy, "lead", northKey)
	conn.take()
	require.Contains(t, sendAndTake(t, sim, session, conn, "QUERY c1 FETCH a"), "DONE")
	applyTenantConfig(sim, "3", `[{"Name":"south","ApiKeys":["north-key"]}]`)
	identity := ""
	sim.database.OnRead = func(_ *database.Host, c *database.Conn, _ string) { identity = c.Identity }
	require.Contains(t, sendAndTake(t, sim, session, conn, "QUERY c2 FETCH a"), "DONE")
	require.Equal(t, "south", identity)
	require.Equal(t, tenancy.Secret{}.Hash(northKey), session.keyHash)
}
