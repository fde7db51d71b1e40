package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/statemachine"
)

// confirmationScene is a proxy with one session, a primary and replicas that receive nothing, and a replica that the control plane
// has not heard of, which receives everything.
type confirmationScene struct {
	t       *testing.T
	sim     *simulation
	proxy   *proxyProcess
	client  *clientSession
	answers *recordingConn
	unheard *database.Host
}

func newConfirmationScene(t *testing.T) *confirmationScene {
	sim := newSimulation(3, 1, 0)
	sim.database.LostAnswerOneIn, sim.database.RejectedWriteOneIn, sim.database.OnHeartbeat = 0, 0, nil
	sim.RunFor(2 * second)
	for _, host := range sim.database.Hosts {
		host.ReplicationStopped = true
	}
	scene := &confirmationScene{t: t, sim: sim, proxy: sim.proxies[0], unheard: sim.database.Add("h9")}
	scene.client, scene.answers = openSession(scene.proxy, "lead")
	scene.answers.take()
	return scene
}

func (s *confirmationScene) service() *service { return s.proxy.server.services["db"] }

// store sends a write after another proxy's write, so that its position is not known exactly.
func (s *confirmationScene) store() {
	primary := s.sim.database.Primary()
	primary.Log = append(primary.Log, database.Entry{Timeline: primary.Timeline, Data: []string{"another"}})
	sendStatement(s.t, s.proxy, s.client, "QUERY c1 STORE a b")
}

// Guards against the acknowledgement of a write that no host has received which the control plane knows.
func TestWriteIsAcknowledgedOnceAKnownReplicaHasIt(t *testing.T) {
	scene := newConfirmationScene(t)
	scene.store()
	scene.sim.RunFor(60 * millisecond)
	require.Empty(t, scene.answers.take(), "only an unheard host has the write")
	scene.sim.database.Hosts[2].ReplicationStopped = false
	scene.sim.RunFor(60 * millisecond)
	require.Contains(t, scene.answers.take(), "DONE x.c1")
	require.False(t, scene.service().unconfirmed.Known())
	require.Empty(t, scene.service().confirmations.held)
}

// A write that no known replica confirms in time is acknowledged all the same, and the failover is told so.
func TestUnconfirmedWriteIsReportedToTheFailover(t *testing.T) {
	scene := newConfirmationScene(t)
	scene.store()
	scene.sim.RunFor(150 * millisecond)
	require.Contains(t, scene.answers.take(), "DONE x.c1")
	primary := scene.sim.database.Primary()
	end := primary.PositionAt(len(primary.Log))
	require.Equal(t, end, scene.service().unconfirmed)
	require.EqualValues(t, 1, scene.proxy.server.counters.acksUnconfirmed.Load())
	scene.sim.control.apply(statemachine.Change{RevokePrimary: &statemachine.RevokePrimary{Service: "db", Owner: "control"}})
	scene.sim.RunFor(20 * millisecond)
	reported := scene.proxy.server.newLeaseRequest(1).Acknowledged
	require.Len(t, reported, 1)
	require.Equal(t, end.Timeline, reported[0].UnconfirmedTerm)
	require.Equal(t, end.Number, reported[0].UnconfirmedNumber)
}

// A primary that crashes before a known replica has confirmed a write leaves the write in doubt.
func TestUnconfirmedWriteOfACrashedPrimaryIsInDoubt(t *testing.T) {
	scene := newConfirmationScene(t)
	scene.store()
	scene.sim.RunFor(40 * millisecond)
	require.Len(t, scene.service().confirmations.held, 1)
	scene.sim.database.Primary().Crash(false, 10*second)
	scene.sim.RunFor(1500 * millisecond)
	require.Contains(t, scene.answers.take(), "ERROR INDOUBT")
	require.False(t, scene.service().unconfirmed.Known(), "it was not acknowledged")
}

// Guards against the acknowledgement of a write during a switchover that the nominee has not received, whatever other replicas have.
func TestWriteDuringASwitchoverWaitsForTheNominee(t *testing.T) {
	scene := newConfirmationScene(t)
	hosts := scene.sim.database.Hosts
	hosts[2].ReplicationStopped = false
	scene.proxy.run(scene.proxy.incarnation, func(*Server) { scene.service().primary.Nominee = hosts[1].ID })
	sendStatement(t, scene.proxy, scene.client, "QUERY c1 STORE a b")
	scene.sim.RunFor(500 * millisecond)
	require.Empty(t, scene.answers.take(), "the nominee has not received it")
	hosts[1].ReplicationStopped = false
	scene.sim.RunFor(60 * millisecond)
	require.Contains(t, scene.answers.take(), "DONE x.c1")
}

// A held acknowledgement does not take a place at the primary in the policy's view, and the loss of the lease does not turn it into a
// promise that nothing is kept.
func TestHeldAcknowledgementIsNotRejectedAtTheLossOfTheLease(t *testing.T) {
	scene := newConfirmationScene(t)
	hosts := scene.sim.database.Hosts
	hosts[2].ReplicationStopped = false
	scene.proxy.run(scene.proxy.incarnation, func(*Server) { scene.service().primary.Nominee = hosts[1].ID })
	sendStatement(t, scene.proxy, scene.client, "QUERY c1 STORE a b")
	scene.sim.RunFor(40 * millisecond)
	held := scene.service().confirmations.held
	require.Len(t, held, 1)
	require.Nil(t, held[0].statement.command.Host)
	scene.proxy.run(scene.proxy.incarnation, func(server *Server) {
		server.lease.drop()
		server.rejectUnsentStatements()
	})
	require.Empty(t, scene.answers.take())
	hosts[1].ReplicationStopped = false
	scene.sim.RunFor(100 * millisecond)
	require.Contains(t, scene.answers.take(), "ERROR INDOUBT", "the primary may have been revoked")
}
