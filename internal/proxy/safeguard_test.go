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

// removedSafeguard is a mutation of the system that the simulation must detect.
type removedSafeguard struct {
	name       string
	violations string // first words of violations, one of which must be reported
	build      func(seed uint64, proxies, clients int) *simulation
	remove     func(sim *simulation)
}

// removedSafeguards lists the mutations, first those that run with a reliableControl.
var removedSafeguards = []removedSafeguard{
	{"a primary is replaced while proxies still act on the old one", "STALE LOST", newSimulation, func(sim *simulation) {
		sim.control.allCaughtUp = func(uint64) bool { return true }
		sim.After(1500*millisecond, func() { sim.proxies[0].partitioned = true })
		sim.After(1600*millisecond, sim.drainPrimary)
		sim.After(5*second, func() { sim.proxies[0].partitioned = false })
	}},
	{"a lease that never expires", "STALE LOST", newSimulation, func(sim *simulation) {
		sim.changeRepeatedly(func(server *Server) { server.lease.holder.Renew(1 << 50) })
	}},
	{"a replica with an older position is promoted", "LOST STALE", newSimulation, func(sim *simulation) {
		sim.control.alterResult = func(query failover.HostQuery, result *failover.QueryResult) {
			if query.Command == failover.Pause {
				result.Status.ReceivedPosition = wire.Position{Timeline: 1} // all replicas report the same position
			}
		}
	}},
	{"replicas are not paused before they are asked", "LOST STALE", newSimulation, func(sim *simulation) {
		sim.skipConfirmations()
		sim.control.alterResult = func(query failover.HostQuery, _ *failover.QueryResult) {
			if query.Command == failover.Pause {
				sim.database.Host(query.Host).PausedTimeline = 0
			}
		}
	}},
	{"a write whose response is lost is retried", "TWICE", newSimulation, func(sim *simulation) {
		sim.changeRoutesRepeatedly(func(r *route) { r.writeGroup.IdempotencyClass = policy.Idempotent })
	}},
	{"a session's own writes are forgotten", "STALE", newSimulation, func(sim *simulation) {
		sim.changeRepeatedly(func(server *Server) {
			for session := range server.sessions.open {
				session.Token = wire.Position{}
			}
		})
		sim.changeRoutesRepeatedly(func(r *route) {
			if r.readsOwnWrites {
				r.readsOwnWrites = false
				r.readGroup.ConsistencyLevel, r.readGroup.MaxStaleness = policy.BoundedStaleness, r.stalenessBound
			}
		})
	}},
	{"floors count as newer than they are", "STALE", newSimulation, func(sim *simulation) {
		sim.changeRoutesRepeatedly(func(r *route) { r.stalenessBound = max(r.stalenessBound, 0) * 8 })
		sim.changeRoutesRepeatedly(func(r *route) { r.stalenessBound = min(r.stalenessBound, 8*second) })
	}},
	{"a connection keeps another session's variables", "PINNED", newSimulation, func(sim *simulation) {
		sim.changeRepeatedly(func(server *Server) {
			for _, pool := range server.pools {
				for conn := range pool.conns {
					conn.state.VariablesKey = ""
				}
			}
		})
	}},
	{"a connection carries the statements of other tenants", "UNASKED", newSimulationWithTenants, func(sim *simulation) {
		sim.changeRepeatedly(func(server *Server) {
			for _, pool := range server.pools {
				for _, conn := range pool.idle {
					conn.tenant = tenantName(0)
				}
			}
		})
	}},
	{"a key that no tenant has is admitted", "ROUTE", newSimulationWithTenants, func(sim *simulation) {
		sim.changeTenantsRepeatedly(func(configured *config.Config) {
			configured.Tenants = append(configured.Tenants, config.Tenant{Name: tenantName(0), ApiKeys: []string{unknownKey}})
		})
	}},
	{"revoked keys are admitted", "REVOKED DOWNGRADE", newSimulationWithTenants, func(sim *simulation) {
		sim.changeTenantsRepeatedly(func(configured *config.Config) {
			for key, history := range sim.tenants.history {
				configured.Tenants = append(configured.Tenants, config.Tenant{Name: history.tenant, ApiKeys: []string{key}})
			}
		})
	}},
	{"a partitioned proxy keeps accepting keys", "REVOKED", newSimulationWithTenants, func(sim *simulation) {
		sim.changeRepeatedly(func(server *Server) { server.settings.Bounds.RevokeClosed = false })
	}},
	{"transactions of a revoked key go on", "DOWNGRADE", newSimulationWithTenants, func(sim *simulation) {
		sim.maxTransactionPause = 400 * millisecond
		sim.changeRepeatedly(func(server *Server) { server.settings.Bounds.DowngradeMs = 0 })
	}},
	{"a partitioned proxy denies unknown keys", "DENIED", newSimulationWithTenants, func(sim *simulation) {
		sim.changeRepeatedly(func(server *Server) { server.lease.holder.Renew(1 << 50) })
	}},
	{"paused replicas are not resumed", "PAUSED", newClusterSimulation, func(sim *simulation) {
		sim.cluster.fakeAnswer = func(query failover.HostQuery, _ *database.Host) bool { return query.Command == failover.Resume }
	}},
	{"writes that only a removed replica may have are forgotten", "LOST STALE", newClusterSimulation, func(sim *simulation) {
		sim.cluster.losesLog = true // so the new host at its address lacks the log that it is assumed to have
		sim.After(1500*millisecond, func() {
			sim.database.Hosts[1].ReplicationStopped = true
			sim.cluster.drainHost(sim.database.Hosts[2])
		})
		sim.After(4700*millisecond, func() { sim.database.Hosts[0].Crash(true, 6*second) })
	}},
	{"writes of hosts that are not heard yet are forgotten", "LOST STALE", newClusterSimulation, func(sim *simulation) {
		sim.cluster.hidesHosts = true
		sim.forgetAcknowledgements()
		sim.After(sim.Between(500*millisecond, 2*second), sim.cluster.returnUnheard)
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
	{"a command or promotion is sent after its lease has expired", "LEASE", newClusterSimulation, func(sim *simulation) {
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

// changeRepeatedly applies a change to all proxies every 5 ms.
func (sim *simulation) changeRepeatedly(change func(*Server)) {
	var repeat func()
	repeat = func() {
		for _, proxy := range sim.proxies {
			change(proxy.server)
		}
		sim.After(5*millisecond, repeat)
	}
	sim.After(0, repeat)
}

// changeRoutesRepeatedly applies a change to all routes of all proxies every 5 ms.
func (sim *simulation) changeRoutesRepeatedly(change func(*route)) {
	sim.changeRepeatedly(func(server *Server) {
		for _, r := range server.routes {
			change(r)
		}
	})
}

// changeTenantsRepeatedly makes all proxies use the tenants of a changed configuration every 5 ms.
func (sim *simulation) changeTenantsRepeatedly(change func(*config.Config)) {
	sim.changeRepeatedly(func(server *Server) {
		if server.config != nil && server.config.HasTenants() {
			changed := config.Config{Tenants: slices.Clone(server.config.Tenants)}
			change(&changed)
			server.tenants = tenancy.NewIndex(server.secret, &changed)
		}
	})
}

// foundBy returns the violation that a seed's simulation reports for the removed safeguard, or "" if it reports none.
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

// Each removed safeguard must cause a violation; otherwise a simulation without violations would not prove that the safeguard
// works.
func TestSimulationCatchesEachRemovedSafeguard(t *testing.T) {
	if testing.Short() {
		t.Skip("runs only without -short; a seed always gives the same result")
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
