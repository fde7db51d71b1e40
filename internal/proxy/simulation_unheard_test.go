package proxy

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/wire"
)

// returnUnheard makes a host other than the primary end and return as a new host with its log, whose first heartbeat is late.
// Around the return, the other replica receives nothing and the primary crashes: the new host may be the only running one with
// the writes acknowledged in between. The host either crashes, for long enough to be marked missing, or drains and leaves.
func (c *controlCluster) returnUnheard() {
	sim := c.sim
	ended, other := c.replicas()
	if ended == nil {
		sim.After(100*millisecond, c.returnUnheard)
		return
	}
	returnsIn := sim.Between(6500*millisecond, 8*second)
	if sim.OneIn(3) {
		returnsIn = sim.Between(3800*millisecond, 5*second)
		c.leaveThenReturn(ended, returnsIn)
	} else {
		ended.Crash(false, returnsIn)
		sim.After(returnsIn-50*millisecond, func() { c.becomeUnheard(ended) })
	}
	sim.After(returnsIn-sim.Between(0, 600*millisecond), func() {
		if other.IsPrimary {
			return
		}
		sim.LogFault("%s receives nothing", other.ID)
		other.ReplicationStopped = true
		sim.After(sim.Between(1500*millisecond, 3*second), func() { other.ReplicationStopped = false })
	})
	sim.After(returnsIn+sim.Between(50*millisecond, 1500*millisecond), func() {
		if primary := sim.database.Primary(); primary != nil && primary != ended {
			primary.Crash(sim.OneIn(2), sim.Between(second, 4*second))
		}
	})
}

// leaveThenReturn makes a host drain and leave, and return in its place after returnsIn as a new host that is not heard yet.
func (c *controlCluster) leaveThenReturn(host *database.Host, returnsIn int64) {
	const drainTime = 2 * second
	left := host.ID
	c.sim.LogFault("%s drains", left)
	c.draining[left] = true
	c.sendHeartbeat(host)
	c.sim.After(drainTime, func() { c.sendLeave(left) })
	c.sim.After(drainTime+100*millisecond, func() {
		delete(c.draining, left)
		host.Crash(false, returnsIn-drainTime-100*millisecond)
	})
	c.sim.After(returnsIn-50*millisecond, func() { c.becomeUnheard(host) })
}

// firstNewAddress is the number of the first address that no host had at the start.
const firstNewAddress = 5

// becomeUnheard gives a host that is down a new ID, under which it sends nothing for up to three seconds.
func (c *controlCluster) becomeUnheard(host *database.Host) {
	left := host.ID
	c.replacedHosts++
	address := left[:2]
	if c.newAddresses {
		address = fmt.Sprintf("h%d", firstNewAddress+c.replacedHosts)
	}
	host.ID = fmt.Sprintf("%s.%d", address, c.replacedHosts)
	c.unheardUntil[host.ID] = c.sim.Now + c.sim.Between(0, 3*second)
	c.sim.LogFault("%s replaces %s, and is heard in %d ms", host.ID, left, (c.unheardUntil[host.ID]-c.sim.Now)/millisecond)
}

// replicas returns the two replicas in random order, or nil if one of the hosts is not running.
func (c *controlCluster) replicas() (first, second *database.Host) {
	var replicas []*database.Host
	for _, host := range c.sim.database.Hosts {
		if host.Up && !host.IsPrimary {
			replicas = append(replicas, host)
		}
	}
	if len(replicas) != 2 {
		return nil, nil
	}
	if c.sim.OneIn(2) {
		return replicas[0], replicas[1]
	}
	return replicas[1], replicas[0]
}

// forgetAcknowledgements makes the proxies acknowledge writes that no known replica has confirmed, and forget which writes were
// acknowledged.
func (sim *simulation) forgetAcknowledgements() {
	sim.skipConfirmations()
	sim.changeRepeatedly(func(server *Server) {
		for _, svc := range server.services {
			svc.acknowledged, svc.unconfirmed = wire.Position{}, wire.Position{}
		}
	})
}

// skipConfirmations makes the proxies acknowledge writes as if a known replica had confirmed everything.
func (sim *simulation) skipConfirmations() {
	sim.changeRepeatedly(func(server *Server) {
		for _, svc := range server.services {
			svc.confirmations.position = wire.Position{Timeline: svc.primary.Term, Number: math.MaxUint64}
		}
	})
}

// A host that returns as another one receives and acknowledges writes before its first heartbeat, which may be seconds late.
func TestSimulationKeepsGuaranteesWithUnheardHosts(t *testing.T) {
	served, replaced, promotions := 0, 0, 0
	build := func(seed uint64) *simulation {
		sim := newClusterSimulation(seed, 3, 9)
		sim.After(sim.Between(500*millisecond, 2*second), sim.cluster.returnUnheard)
		return sim
	}
	simulateAll(t, seedCount()/2, build, func(sim *simulation) {
		served += sim.served
		replaced += sim.cluster.replacedHosts
		promotions += sim.cluster.promotions
	})
	if *onlySeed >= 0 {
		return
	}
	require.Greater(t, served, 300*(seedCount()/2), "too little was served for this to prove anything")
	require.Greater(t, replaced, seedCount()/4, "too few hosts returned as others for this to prove anything")
	t.Logf("%d statements served, %d hosts returned as others, %d promotions", served, replaced, promotions)
}

// A host at an address that the control plane has never heard of acknowledges writes: without other faults, the proxies' reports
// are enough to keep them.
func TestAcknowledgedWritesOfUnknownHostsAreKept(t *testing.T) {
	const simulations = 30
	play := func(seed uint64, change func(*simulation)) *simulation {
		sim := newClusterSimulation(seed, 3, 9)
		sim.cluster.newAddresses = true
		sim.After(sim.Between(500*millisecond, 2*second), sim.cluster.returnUnheard)
		change(sim)
		sim.RunFor(simulationLength + clusterExtraLength)
		sim.checker.CheckFinalLog()
		return sim
	}
	lost := 0
	for seed := range uint64(simulations) {
		sim := play(seed, func(*simulation) {})
		require.Empty(t, sim.Violations, "seed %d: %s", seed, sim.report())
		if len(play(seed, (*simulation).forgetAcknowledgements).Violations) > 0 {
			lost++
		}
	}
	require.Greater(t, lost, simulations/3, "too few simulations lose writes without the reports for this to prove anything")
}

// A host that starts unheard while the platform carries out a planned promotion, whose host has just fallen deaf, acknowledges
// writes that are lost.
func TestUnheardHostThatStartsDuringAPlannedPromotionKeepsItsWrites(t *testing.T) {
	const seed = 1309
	sim := newClusterSimulation(seed, 3, 9)
	sim.After(sim.Between(500*millisecond, 2*second), sim.cluster.returnUnheard)
	sim.run()
	require.Empty(t, sim.Violations, sim.report())
}
