package proxy

import (
	"fmt"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
)

// memberFault is a fault of one member.
type memberFault struct {
	*member
	sim      *simulation
	seat     int   // of the member in controlCluster.members
	duration int64 // until it ends, or the member comes back
}

const memberFaultKinds = 12

// memberFaults are drawn from with equal chance.
var memberFaults = [memberFaultKinds]func(memberFault){
	memberFault.crashAndRestart,
	memberFault.crashAndRestart,
	memberFault.freeze,
	memberFault.partition,
	memberFault.loseHosts,
	memberFault.receiveNothing,
	memberFault.sendNothing,
	memberFault.resetConnections,
	memberFault.restartGracefully,
	memberFault.loseDisk,
	memberFault.dieForGood,
	memberFault.replaceGracefully,
}

// injectFaults injects faults of members, beside all other faults, until faultsEnd.
func (c *controlCluster) injectFaults() {
	sim := c.sim
	if sim.Now > sim.StartTime+faultsEnd {
		return
	}
	c.injectMemberFault()
	sim.After(sim.Between(200*millisecond, 1500*millisecond), c.injectFaults)
}

// recentFault says whether a member has had a fault of late.
func (c *controlCluster) recentFault() bool {
	for _, m := range c.members {
		if m.faultEndsAt > 0 && c.sim.Now < m.faultEndsAt+3*second {
			return true
		}
	}
	return false
}

// injectMemberFault injects a fault of one member, if all others have been without for a while.
func (c *controlCluster) injectMemberFault() {
	sim := c.sim
	if c.recentFault() {
		return
	}
	seat := sim.Rand.IntN(clusterSize)
	if sim.OneIn(2) {
		for i, m := range c.members {
			if m.Up() && m.isLeader() {
				seat = i
			}
		}
	}
	fault := memberFault{member: c.members[seat], sim: sim, seat: seat, duration: sim.Between(50*millisecond, 3*second)}
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

func (f memberFault) loseHosts() {
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

func (f memberFault) dieForGood() {
	f.sim.LogFault("member %s dies for good", f.ip)
	f.crash(true)
	f.faultEndsAt += 3 * second
	f.sim.After(f.duration, func() { f.cluster.replaceMember(f.seat) })
}

func (f memberFault) replaceGracefully() {
	next := f.cluster.replaceMember(f.seat)
	f.faultEndsAt = f.sim.Now + 6*second
	f.sim.After(2*second+f.duration, func() {
		f.sim.LogFault("member %s is shut down, %s takes its place", f.ip, next.ip)
		f.shutDown(func() {})
	})
}

// closingFault has one member lose its disk and all other machines, proxies too, lose power at the same moment.
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
	m.disk.Lose()
	if !m.cluster.keepsIdentity {
		m.identity = m.cluster.newIdentity(m.ip)
	}
	m.start()
}

// newIdentity is that of a member with an empty disk.
func (c *controlCluster) newIdentity(ip string) storage.Identity {
	c.machineCount++
	return storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%08x", ip, c.machineCount))}
}

// replaceMember starts a machine at a new address. Callers and proxies learn of it in the place of another.
func (c *controlCluster) replaceMember(seat int) *member {
	sim := c.sim
	ip := fmt.Sprintf("10.0.1.%d", c.machineCount+1)
	m := &member{cluster: c, ip: ip, identity: c.newIdentity(ip), clockDrift: sim.drawClockDrift(), faultEndsAt: sim.Now + 5*second}
	sim.LogFault("member %s replaces %s", ip, c.members[seat].ip)
	c.members[seat], c.memberAt[ip] = m, m
	m.start()
	return m
}

// resetConns resets a member's connections to members and proxies, again and again until a time.
func (c *controlCluster) resetConns(m *member, incarnation int, until int64) {
	sim := c.sim
	if !m.Is(incarnation) || sim.Now > until {
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
