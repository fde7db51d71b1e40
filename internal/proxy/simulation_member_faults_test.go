package proxy

import (
	"fmt"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
)

// memberFault is a fault injected at one member.
type memberFault struct {
	*member
	sim         *simulation
	memberIndex int   // index of the member in controlCluster.members
	duration    int64 // time until the fault ends or the member restarts
}

const memberFaultKinds = 12

// memberFaults are chosen with equal probability. A function that is listed twice is twice as likely.
var memberFaults = [memberFaultKinds]func(memberFault){
	memberFault.crashAndRestart,
	memberFault.crashAndRestart,
	memberFault.freeze,
	memberFault.partition,
	memberFault.partitionFromHosts,
	memberFault.receiveNothing,
	memberFault.sendNothing,
	memberFault.resetConnections,
	memberFault.restartGracefully,
	memberFault.loseDisk,
	memberFault.failPermanently,
	memberFault.replaceGracefully,
}

// injectFaults injects faults of members, in addition to all other faults, until faultsEnd.
func (c *controlCluster) injectFaults() {
	sim := c.sim
	if sim.Now > sim.StartTime+faultsEnd {
		return
	}
	c.injectMemberFault()
	sim.After(sim.Between(200*millisecond, 1500*millisecond), c.injectFaults)
}

// recentFault reports whether any member has a fault or had one within the last three seconds.
func (c *controlCluster) recentFault() bool {
	for _, m := range c.members {
		if m.faultEndsAt > 0 && c.sim.Now < m.faultEndsAt+3*second {
			return true
		}
	}
	return false
}

// injectMemberFault injects a fault at one member, unless there was a recent fault. In half of the cases it chooses
// the leader, if there is one.
func (c *controlCluster) injectMemberFault() {
	sim := c.sim
	if c.recentFault() {
		return
	}
	memberIndex := sim.Rand.IntN(clusterSize)
	if sim.OneIn(2) {
		for i, m := range c.members {
			if m.Up() && m.isLeader() {
				memberIndex = i
			}
		}
	}
	fault := memberFault{member: c.members[memberIndex], sim: sim, memberIndex: memberIndex, duration: sim.Between(50*millisecond, 3*second)}
	fault.faultEndsAt = sim.Now + fault.duration
	kind := sim.Rand.IntN(memberFaultKinds)
	c.faultCounts[kind]++
	memberFaults[kind](fault)
}

func (f memberFault) crashAndRestart() {
	powerLost := f.sim.OneIn(2)
	f.sim.LogFault("member %s crashes, power lost %v", f.ip, powerLost)
	f.crash(powerLost)
	f.sim.After(f.duration, f.start)
}

func (f memberFault) freeze() {
	if f.sim.OneIn(3) {
		f.duration += f.sim.Between(second, 4*second)
		f.faultEndsAt = f.sim.Now + f.duration
	}
	f.sim.LogFault("member %s freezes for %d ms", f.ip, f.duration/millisecond)
	f.Suspend()
	incarnation := f.Incarnation()
	f.sim.After(f.duration, func() { f.Resume(incarnation) })
}

func (f memberFault) healLater() {
	incarnation := f.Incarnation()
	f.sim.After(f.duration, func() { f.heal(incarnation) })
}

func (f memberFault) partition() {
	f.sim.LogFault("member %s is partitioned from the others", f.ip)
	f.partitioned = true
	f.healLater()
}

func (f memberFault) partitionFromHosts() {
	f.sim.LogFault("member %s is partitioned from hosts and the platform", f.ip)
	f.hostsUnreachable = true
	f.healLater()
}

func (f memberFault) receiveNothing() {
	f.sim.LogFault("member %s receives nothing of the others", f.ip)
	f.receivesNothing = true
	f.healLater()
}

func (f memberFault) sendNothing() {
	f.sim.LogFault("what member %s sends reaches no other", f.ip)
	f.sendsNothing = true
	f.healLater()
}

func (f memberFault) resetConnections() {
	f.sim.LogFault("connections of member %s are reset, now and then", f.ip)
	f.cluster.resetConns(f.member, f.Incarnation(), f.sim.Now+f.duration)
}

func (f memberFault) restartGracefully() {
	f.sim.LogFault("member %s is shut down, and starts again", f.ip)
	f.shutDown(func() {
		f.faultEndsAt = f.sim.Now + f.duration
		f.sim.After(f.duration, f.start)
	})
}

func (f memberFault) loseDisk() {
	f.sim.LogFault("member %s crashes, and its disk is lost", f.ip)
	f.crash(true)
	f.faultEndsAt += 2 * second
	f.sim.After(f.duration, f.restartWiped)
}

func (f memberFault) failPermanently() {
	f.sim.LogFault("member %s dies for good", f.ip)
	f.crash(true)
	f.faultEndsAt += 3 * second
	f.sim.After(f.duration, func() { f.cluster.replaceMember(f.memberIndex) })
}

func (f memberFault) replaceGracefully() {
	next := f.cluster.replaceMember(f.memberIndex)
	f.faultEndsAt = f.sim.Now + 6*second
	f.sim.After(2*second+f.duration, func() {
		f.sim.LogFault("member %s is shut down, %s takes its place", f.ip, next.ip)
		f.shutDown(func() {})
	})
}

// closingFault makes one member lose its disk and all other machines, including proxies, lose power at the same time.
func (c *controlCluster) closingFault() {
	sim := c.sim
	wiped := sim.Rand.IntN(clusterSize)
	sim.LogFault("member %s loses its disk, all other machines lose power", c.members[wiped].ip)
	for i, m := range c.members {
		m.crash(true)
		restart := m.start
		if i == wiped {
			restart = m.restartWiped
		}
		sim.After(sim.Between(300*millisecond, 1500*millisecond), func() {
			if !m.Up() {
				restart()
			}
		})
	}
	for _, proxy := range sim.proxies {
		proxy.crash()
	}
}

// restartWiped starts a member with an empty disk.
func (m *member) restartWiped() {
	m.disk.Erase()
	if !m.cluster.keepsIdentity {
		m.identity = m.cluster.newIdentity(m.ip)
	}
	m.start()
}

// newIdentity returns the identity of a member that starts with an empty disk.
func (c *controlCluster) newIdentity(ip string) storage.Identity {
	c.machineCount++
	return storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%08x", ip, c.machineCount))}
}

// replaceMember starts a member at a new address. For callers and proxies it takes the place of the given member.
func (c *controlCluster) replaceMember(memberIndex int) *member {
	sim := c.sim
	ip := fmt.Sprintf("10.0.1.%d", c.machineCount+1)
	m := &member{cluster: c, ip: ip, identity: c.newIdentity(ip), clockDrift: sim.drawClockDrift(), faultEndsAt: sim.Now + 5*second}
	sim.LogFault("member %s replaces %s", ip, c.members[memberIndex].ip)
	c.members[memberIndex], c.memberByAddress[ip] = m, m
	m.start()
	return m
}

// resetConns repeatedly resets a member's connections to other members and, at random, to proxies, until the given time.
func (c *controlCluster) resetConns(m *member, incarnation int, until int64) {
	sim := c.sim
	if !m.IsIncarnation(incarnation) || sim.Now > until {
		return
	}
	m.resetCount++
	for _, conn := range m.connsByAge() {
		if sim.OneIn(2) {
			conn.close()
		}
	}
	sim.After(sim.Between(5*millisecond, 400*millisecond), func() { c.resetConns(m, incarnation, until) })
}
