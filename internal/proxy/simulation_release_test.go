package proxy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/wire"
)

const (
	releaseWriters = 24          // so many writes are under way at the same time that several are committed while one waits for a replica
	releaseLength  = 19 * second // the last host that crashes is back for some seconds
	maxReleases    = 3
)

// newReleaseSimulation returns a simulation in which many clients write while primaries are replaced. No members fail, and the
// platform answers clearly.
func newReleaseSimulation(seed uint64) *simulation {
	sim := newClusterSimulation(seed, 3, 6)
	sim.cluster.promotionTime = func() int64 { return sim.Between(80*millisecond, 400*millisecond) }
	for range releaseWriters {
		c := &client{sim: sim, index: len(sim.clients), routeKind: "lead", isWriter: true}
		sim.clients = append(sim.clients, c)
		sim.After(sim.Between(600*millisecond, 900*millisecond), c.connect)
	}
	return sim
}

// releasePrimaries starts new hosts, each unheard for up to three seconds, and makes the primary that each is to replace crash or
// drain, one after the other.
func (c *controlCluster) releasePrimaries() {
	sim := c.sim
	if c.replacedHosts >= maxReleases {
		return
	}
	c.startUnheardHost()
	sim.After(sim.Between(200*millisecond, 1500*millisecond), func() {
		primary := sim.database.Primary()
		if primary == nil {
			return
		}
		if sim.OneIn(2) {
			primary.Crash(sim.OneIn(4), sim.Between(500*millisecond, 5*second))
		} else {
			c.drainForGood(primary)
		}
	})
	sim.After(sim.Between(2500*millisecond, 3500*millisecond), c.releasePrimaries)
}

// startUnheardHost adds a host at a new address. It receives and acknowledges writes, and its first heartbeat is late.
func (c *controlCluster) startUnheardHost() {
	c.startHost(c.sim.Between(0, 3*second))
}

// startHost adds a host at a new address, which is heard after a time.
func (c *controlCluster) startHost(heardIn int64) {
	c.replacedHosts++
	id := fmt.Sprintf("h%d", firstNewAddress+c.replacedHosts)
	c.unheardUntil[id] = c.sim.Now + heardIn
	c.sim.LogFault("%s starts, and is heard in %d ms", id, heardIn/millisecond)
	c.sim.database.Add(id)
}

// drainForGood makes a host drain and leave. It does not come back while the simulation lasts.
func (c *controlCluster) drainForGood(host *database.Host) {
	sim := c.sim
	sim.LogFault("%s drains", host.ID)
	c.draining[host.ID] = true
	c.sendHeartbeat(host)
	sim.After(3*second, func() {
		c.sendLeave(host.ID)
		sim.After(100*millisecond, func() { host.Crash(false, releaseLength) })
	})
}

// divergePrimary cuts the primary off from the other hosts, and lets it crash with writes that no other host has received: more of them
// than the next primary gets, since the writers pause. It comes back as a replica that is still cut off. Then the primary that took its place is replaced, and after it this host.
func (c *controlCluster) divergePrimary() {
	sim := c.sim
	diverged := sim.database.Primary()
	if diverged == nil {
		return
	}
	sim.LogFault("%s is cut off from the other hosts", diverged.ID)
	diverged.Isolated = true
	sim.After(sim.Between(100*millisecond, 500*millisecond), func() {
		sim.writersStopped = true
		diverged.Crash(false, sim.Between(600*millisecond, second))
	})
	sim.After(sim.Between(1400*millisecond, 2*second), func() {
		if primary := sim.database.Primary(); primary != nil && primary != diverged {
			c.startHost(0)
			c.startHost(0)
			c.drainForGood(primary)
			sim.After(sim.Between(100*millisecond, 1200*millisecond), func() { c.drainForGood(diverged) })
		}
	})
	sim.After(7*second, func() { diverged.Isolated, sim.writersStopped = false, false })
}

// playRelease plays a release simulation and returns it.
func playRelease(seed uint64, change func(*simulation)) *simulation {
	sim := newReleaseSimulation(seed)
	change(sim)
	sim.RunFor(releaseLength)
	sim.checker.CheckFinalLog()
	return sim
}

func releasePrimaries(sim *simulation) {
	sim.After(sim.Between(1500*millisecond, 2*second), sim.cluster.releasePrimaries)
}

func divergePrimary(sim *simulation) {
	sim.After(sim.Between(1500*millisecond, 2*second), sim.cluster.divergePrimary)
}

// requireNothingLost plays a kind of release with a number of seeds, and requires that no rule is broken and enough was written.
func requireNothingLost(t *testing.T, count int, release func(*simulation)) {
	t.Helper()
	served, promotions := 0, 0
	play := func(seed uint64) *simulation { return playRelease(seed, release) }
	playAll(t, count, play, func(sim *simulation) {
		served += sim.served
		promotions += sim.cluster.promotions
	})
	if *onlySeed < 0 {
		require.Greater(t, served, 3000*count, "too little was served for this to prove anything")
		require.Greater(t, promotions, count, "too few promotions for this to prove anything")
	}
	t.Logf("%d simulations, %d statements served, %d promotions", count, served, promotions)
}

// Guards against the loss of commits that only a host has received which the control plane has not heard of: at a planned
// replacement of the primary, and at a crash while many writes are under way.
func TestReleasesOfPrimariesKeepTheWritesOfUnheardHosts(t *testing.T) {
	requireNothingLost(t, max(1, seedCount()/25), releasePrimaries)
}

// Guards against the promotion of a host whose log is longer than the primary's, but ends in an earlier term.
func TestHostWithADivergedLogIsNotPromoted(t *testing.T) {
	requireNothingLost(t, max(1, seedCount()/25), divergePrimary)
}

// The simulation of releases finds each loss once the defence against it is taken out.
func TestReleaseSimulationFindsEachLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("runs only without -short; a seed always gives the same result")
	}
	for name, remove := range map[string]func(*simulation){
		"writes are acknowledged without a known replica": (*simulation).forgetAcknowledgements,
		"only lower bounds of acknowledged writes are reported": func(sim *simulation) {
			sim.skipConfirmations()
			sim.changeRepeatedly(func(server *Server) {
				for _, svc := range server.services {
					svc.unconfirmed = wire.Position{}
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				sim := playRelease(seed, func(sim *simulation) {
					releasePrimaries(sim)
					remove(sim)
				})
				if len(sim.Violations) > 0 {
					t.Logf("found by seed %d: %s", seed, sim.Violations[0])
					return
				}
			}
			require.Fail(t, "40 seeds found nothing")
		})
	}
}
