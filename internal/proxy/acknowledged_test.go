package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// The lower bound of acknowledged writes never includes a commit that no replica has received: a failover would wait for it in vain.
func TestAcknowledgedPositionIncludesAcknowledgedWritesOnly(t *testing.T) {
	sim := newSimulation(3, 1, 0)
	sim.database.LostAnswerOneIn, sim.database.RejectedWriteOneIn = 0, 0
	sim.RunFor(2 * second)
	proxy, primary := sim.proxies[0], sim.database.Primary()
	session, conn := openSession(proxy, "lead")
	svc := proxy.server.services["db"]
	run := func(texts ...string) {
		for _, text := range texts {
			sendStatement(t, proxy, session, "QUERY c1 "+text)
			sim.RunFor(300 * millisecond)
		}
	}
	end := func() wire.Position { return primary.PositionAt(len(primary.Log)) }

	run("STORE a 1", "STORE a 2", "STORE a 3")
	require.NotZero(t, end().Number)
	require.Equal(t, end(), svc.acknowledged, "writes one after the other are known exactly")
	run("BEGIN", "STORE a 4", "COMMIT")
	require.Equal(t, end(), svc.acknowledged)

	known := svc.acknowledged
	run("BEGIN", "STORE a 5", "ABORT", "BEGIN", "FETCH a", "COMMIT", "FETCH a")
	require.Equal(t, known, svc.acknowledged, "nothing was written")
	require.NotContains(t, conn.take(), "ERROR")

	for _, host := range sim.database.Hosts {
		host.ReplicationStopped = true
	}
	other, _ := openSession(proxy, "lead")
	sendStatement(t, proxy, other, "QUERY c2 STORE b 1")
	sim.RunFor(300 * millisecond)
	run("FETCH a")
	require.Greater(t, end().Number, known.Number, "the write is in the primary's log")
	require.Equal(t, known, svc.acknowledged, "no replica has received it")

	require.Empty(t, proxy.server.newLeaseRequest(1).Acknowledged, "the primary is not revoked")
	sim.control.apply(statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: "db", Owner: "control"}})
	revocationIndex := sim.control.state.Index
	sim.RunFor(20 * millisecond)
	reported := []rpc.AcknowledgedPosition{{Service: "db", RevocationIndex: revocationIndex, Term: known.Timeline, Number: known.Number}}
	require.Equal(t, reported, proxy.server.newLeaseRequest(2).Acknowledged)
	require.Equal(t, reported, proxy.server.newHello().Acknowledged)
}
