package proxy

import (
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/statemachine"
)

// injectFaults injects random faults until faultsEnd.
func (sim *simulation) injectFaults() {
	if sim.Now > sim.StartTime+faultsEnd {
		return
	}
	sim.After(sim.Between(200*millisecond, 2*second), sim.injectFaults)
	host := sim.database.Hosts[sim.Rand.IntN(len(sim.database.Hosts))]
	proxy := sim.proxies[sim.Rand.IntN(len(sim.proxies))]
	kinds := 9
	if sim.cluster != nil {
		kinds = 10
	}
	switch sim.Rand.IntN(kinds) {
	case 0, 1:
		sim.crashPrimary()
	case 2:
		sim.crashHost(host)
	case 3:
		sim.stopReplication(host)
	case 4:
		proxy.crash()
	case 5:
		sim.LogFault("%s freezes", proxy.name)
		proxy.frozenUntil = sim.Now + sim.Between(50*millisecond, 4*second)
	case 6:
		sim.LogFault("%s is partitioned from the control plane", proxy.name)
		proxy.partitioned = true
		sim.After(sim.Between(200*millisecond, 4*second), func() { proxy.partitioned = false })
	case 7:
		sim.LogFault("%s freezes", host.ID)
		sim.frozenUntil[host.ID] = sim.Now + sim.Between(20*millisecond, 1200*millisecond)
	case 8:
		sim.drainPrimary()
	case 9:
		if proxy.memberConn != nil {
			sim.LogFault("the control connection of %s is reset", proxy.name)
			proxy.memberConn.close()
		}
	}
}

func (sim *simulation) crashPrimary() {
	if primary := sim.database.Primary(); primary != nil && (sim.hostsDown() == 0 || sim.OneIn(4)) {
		primary.Crash(sim.OneIn(2), sim.Between(500*millisecond, 4*second))
	}
}

func (sim *simulation) crashHost(host *database.Host) {
	if sim.hostsDown() > 0 {
		return
	}
	downtime, unreachable := sim.Between(500*millisecond, 4*second), sim.OneIn(2)
	if !unreachable && !host.IsPrimary && sim.OneIn(2) {
		downtime = 6 * second // long enough to be considered missing
	}
	host.Crash(unreachable, downtime)
}

// stopReplication stops the replication of the primary's log to a replica for a while, unless that of another replica is stopped.
func (sim *simulation) stopReplication(host *database.Host) {
	for _, other := range sim.database.Hosts {
		if other.ReplicationStopped {
			return
		}
	}
	if host.IsPrimary {
		return
	}
	sim.LogFault("%s receives nothing", host.ID)
	host.ReplicationStopped = true
	sim.After(sim.Between(500*millisecond, 3*second), func() { host.ReplicationStopped = false })
}

func (sim *simulation) hostsDown() (down int) {
	for _, host := range sim.database.Hosts {
		if !host.Up {
			down++
		}
	}
	return down
}

// drainPrimary makes the primary drain, leave, and return under the same ID. With a controlCluster it may also drain a replica, and
// the host returns under a new ID.
func (sim *simulation) drainPrimary() {
	if sim.cluster != nil {
		host := sim.database.Primary()
		if sim.OneIn(3) {
			host = sim.database.Hosts[sim.Rand.IntN(3)]
		}
		sim.cluster.drainHost(host)
		return
	}
	control := sim.control
	primary := control.state.Primaries["db"]
	if primary.Host == "" || primary.Revoked || control.state.Hosts[primary.Host].Draining {
		return
	}
	sim.LogFault("%s drains", primary.Host)
	drained := control.state.Hosts[primary.Host]
	drained.Draining = true
	control.apply(statemachine.Change{AddHost: &drained})
	sim.After(3*second, func() { // the same machine returns under the same ID
		control.apply(statemachine.Change{RemoveHost: drained.ID})
		control.state.RemovedHosts = nil
		drained.Draining = false
		control.apply(statemachine.Change{AddHost: &drained})
		for _, proxy := range sim.proxies { // the proxies must not remember the removal either
			proxy.run(proxy.incarnation, func(server *Server) { server.replica.state.RemovedHosts = nil })
		}
	})
}

// executeAfterFreeze makes a frozen host execute a command after it resumes. Several commands execute in arbitrary order.
func (sim *simulation) executeAfterFreeze(query failover.HostQuery, host *database.Host) {
	crashes := host.Crashes
	sim.After(sim.frozenUntil[host.ID]-sim.Now+int64(query.Serial*97%300)*millisecond, func() {
		if host.Up && host.Crashes == crashes {
			host.Control(query.Command.Text(), query.Term)
		}
	})
}
