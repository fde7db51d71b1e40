package proxy

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/config"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// removedSafeguard is a mutation of the system that the simulation must find.
type removedSafeguard struct {
	name       string
	violations string // one of these is reported, by its first word
	build      func(seed uint64, proxies, clients int) *simulation
	remove     func(sim *simulation)
}

// removedSafeguards are each found by a violation. Those with a reliableControl come first.
var removedSafeguards = []removedSafeguard{
	{"a primary is replaced while proxies still act on the old one", "STALE LOST", newSimulation, func(sim *simulation) {
		sim.control.allCaughtUp = func(uint64) bool { return true }
		sim.After(1500*millisecond, func() { sim.proxies[0].partitioned = true })
		sim.After(1600*millisecond, sim.drainPrimary)
		sim.After(5*second, func() { sim.proxies[0].partitioned = false })
	}},
	{"a lease that never expires", "STALE LOST", newSimulation, func(sim *simulation) {
		sim.keepChanging(func(server *Server) { server.lease.holder.Renew(1 << 50) })
	}},
	{"a replica that has less is promoted", "LOST STALE", newSimulation, func(sim *simulation) {
		sim.control.alterResult = func(query failover.HostQuery, result *failover.QueryResult) {
			if query.Command == failover.Pause {
				result.Status.ReceivedPosition = wire.Position{Timeline: 1} // all look alike
			}
		}
	}},
	{"replicas are not paused before they are asked", "LOST STALE", newSimulation, func(sim *simulation) {
		sim.control.alterResult = func(query failover.HostQuery, _ *failover.QueryResult) {
			if query.Command == failover.Pause {
				sim.database.Host(query.Host).PausedTimeline = 0
			}
		}
	}},
	{"a write whose response is lost is retried", "TWICE", newSimulation, func(sim *simulation) {
		sim.keepChangingRoutes(func(r *route) { r.writeGroup.Effect = policy.Idempotent })
	}},
	{"a session's own writes are forgotten", "STALE", newSimulation, func(sim *simulation) {
		sim.keepChanging(func(server *Server) {
			for session := range server.sessions.open {
				session.Token = wire.Position{}
			}
		})
		sim.keepChangingRoutes(func(r *route) {
			if r.readsOwnWrites {
				r.readsOwnWrites = false
				r.readGroup.Need, r.readGroup.Bound = policy.BoundedStaleness, r.stalenessBound
			}
		})
	}},
	{"floors count as newer than they are", "STALE", newSimulation, func(sim *simulation) {
		sim.keepChangingRoutes(func(r *route) { r.stalenessBound = max(r.stalenessBound, 0) * 8 })
		sim.keepChangingRoutes(func(r *route) { r.stalenessBound = min(r.stalenessBound, 8*second) })
	}},
	{"a connection keeps what another session has set", "PINNED", newSimulation, func(sim *simulation) {
		sim.keepChanging(func(server *Server) {
			for _, pool := range server.pools {
				for conn := range pool.conns {
					conn.state.VariablesKey = ""
				}
			}
		})
	}},
	{"a connection carries the statements of other tenants", "UNASKED", newSimulationWithTenants, func(sim *simulation) {
		sim.keepChanging(func(server *Server) {
			for _, pool := range server.pools {
				for _, conn := range pool.idle {
					conn.tenant = tenantName(0)
				}
			}
		})
	}},
	{"a key that no tenant has is admitted", "ROUTE", newSimulationWithTenants, func(sim *simulation) {
		sim.keepIndexing(func(configured *config.Config) {
			configured.Tenants = append(configured.Tenants, config.Tenant{Name: tenantName(0), ApiKeys: []string{unknownKey}})
		})
	}},
	{"keys that were taken away are admitted", "REVOKED DOWNGRADE", newSimulationWithTenants, func(sim *simulation) {
		sim.keepIndexing(func(configured *config.Config) {
			for key, history := range sim.tenants.history {
				configured.Tenants = append(configured.Tenants, config.Tenant{Name: history.tenant, ApiKeys: []string{key}})
			}
		})
	}},
	{"a proxy that is cut off relies on its keys", "REVOKED", newSimulationWithTenants, func(sim *simulation) {
		sim.keepChanging(func(server *Server) { server.settings.Bounds.RevokeClosed = false })
	}},
	{"transactions of a key that was taken away go on", "DOWNGRADE", newSimulationWithTenants, func(sim *simulation) {
		sim.keepChanging(func(server *Server) { server.settings.Bounds.DowngradeMs = 0 })
	}},
	{"a proxy that is cut off denies keys that it does not know", "DENIED", newSimulationWithTenants, func(sim *simulation) {
		sim.keepChanging(func(server *Server) { server.lease.holder.Renew(1 << 50) })
	}},
	{"paused replicas are not told to go on", "PAUSED", newClusterSimulation, func(sim *simulation) {
		sim.cluster.fakeAnswer = func(query failover.HostQuery, _ *database.Host) bool { return query.Command == failover.Resume }
	}},
	{"what a removed replica may alone have had is forgotten", "LOST STALE", newClusterSimulation, func(sim *simulation) {
		sim.cluster.losesLog = true // so the new host at its address does not have what it is taken to have
		sim.After(1500*millisecond, func() {
			sim.database.Hosts[1].ReplicationStopped = true
			sim.cluster.drainHost(sim.database.Hosts[2])
		})
		sim.After(4700*millisecond, func() { sim.database.Hosts[0].Crash(true, 6*second) })
	}},
	{"a member whose disk is lost keeps its vote", "ORDER", newClusterSimulation, func(sim *simulation) {
		members := sim.cluster.members
		cutOff, wiped, crashed := members[0], members[1], members[2]
		sim.cluster.keepsIdentity = true
		sim.After(1900*millisecond, func() { cutOff.partitioned = true })
		sim.After(4500*millisecond, func() {
			wiped.crash(true)
			crashed.crash(true)
			wiped.restartWiped()
			cutOff.heal(1)
		})
		sim.After(9*second, crashed.start)
	}},
	{"a command or promotion goes out when the lease of its decision is over", "LEASE", newClusterSimulation, func(sim *simulation) {
		sim.cluster.ignoresLease, sim.cluster.lateOneIn = true, 2
	}},
	{"a proxy's clock is slower than leases allow", "STALE LOST", newClusterSimulation, func(sim *simulation) {
		proxy := sim.proxies[0]
		proxy.clockDrift = -500
		sim.After(900*millisecond, proxy.crash)
		sim.After(3500*millisecond, func() {
			proxy.partitioned = true
			sim.drainPrimary()
		})
		sim.After(9*second, func() { proxy.partitioned = false })
	}},
}

// keepChanging changes all proxies, again and again.
func (sim *simulation) keepChanging(change func(*Server)) {
	var repeat func()
	repeat = func() {
		for _, proxy := range sim.proxies {
			change(proxy.server)
		}
		sim.After(5*millisecond, repeat)
	}
	sim.After(0, repeat)
}

// keepChangingRoutes changes the routes of all proxies, again and again.
func (sim *simulation) keepChangingRoutes(change func(*route)) {
	sim.keepChanging(func(server *Server) {
		for _, r := range server.routes {
			change(r)
		}
	})
}

// keepIndexing has all proxies use the tenants of a changed configuration, again and again.
func (sim *simulation) keepIndexing(change func(*config.Config)) {
	sim.keepChanging(func(server *Server) {
		if server.config != nil && server.config.HasTenants() {
			changed := config.Config{Tenants: slices.Clone(server.config.Tenants)}
			change(&changed)
			server.tenants = tenancy.NewIndex(server.secret, &changed)
		}
	})
}

// foundBy returns the violation that finds the removed safeguard in one seed; empty: there is none.
func (r removedSafeguard) foundBy(seed uint64) string {
	sim := r.build(seed, 3, 9)
	r.remove(sim)
	sim.run()
	for _, violation := range sim.Violations {
		for _, expected := range strings.Fields(r.violations) {
			if strings.Contains(violation, expected) {
				return violation
			}
		}
	}
	return ""
}

// A simulation that does not find a removed safeguard proves nothing by finding no violations.
func TestSimulationCatchesEachRemovedSafeguard(t *testing.T) {
	if testing.Short() {
		t.Skip("played in full runs: a seed plays the same each time")
	}
	for _, safeguard := range removedSafeguards {
		t.Run(safeguard.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				if violation := safeguard.foundBy(seed); violation != "" {
					t.Logf("found by seed %d: %s", seed, violation)
					return
				}
			}
			require.Fail(t, "400 seeds found nothing")
		})
	}
}
