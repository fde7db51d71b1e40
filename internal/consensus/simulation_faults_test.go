package consensus

import (
	"fmt"
	"slices"
)

// failedMembers counts the members that are down, paused or partitioned, or have not caught up since.
func (s *simulation) failedMembers() (count int) {
	for _, m := range s.members {
		if !m.running || m.paused || len(m.unreachable) > 0 || m.failedAtMs > 0 && !m.caughtUp() {
			count++
		}
	}
	return count
}

// caughtUp reports whether a member has recovered from a failure: it is a member of the committed configuration and
// has committed all but the newest entries.
func (m *simMember) caughtUp() bool {
	s := m.sim
	for _, leader := range s.members {
		if !leader.running || !leader.node.HoldsLease(s.Now) || len(leader.node.activeConfigurations()) != 1 {
			continue
		}
		if slices.Contains(leader.node.Members(), m.id) && s.Now > m.failedAtMs+simMinCatchUpMs &&
			m.node.CommitIndex()+2 >= uint64(len(s.committed))-1 {
			m.failedAtMs = 0
			return true
		}
	}
	return false
}

// crash ends a process. Without a power loss, some of the unsynced writes reach the disk.
func (m *simMember) crash(powerLost bool) {
	m.running = false
	if !powerLost {
		for _, write := range m.unsynced {
			if m.sim.OneIn(2) {
				break
			}
			m.disk.ApplyWrite(write)
		}
	}
	m.unsynced = nil
}

// replaceDisk gives a member an empty disk, and with it a new ID.
func (m *simMember) replaceDisk(id ID) {
	if m.sim.disabled == newIDForEmptyDisk {
		m.disk, m.founders = RestoredState{}, []ID{"m0", "m1", "m2"}
		return
	}
	m.disk, m.founders, m.id = RestoredState{}, nil, id
}

// injectFault injects a random fault into a member, often the leader, unless too many have failed already, and
// schedules the next one.
func (s *simulation) injectFault() {
	s.After(s.Between(300, 2500), s.injectFault)
	if s.faultFree || s.noRandomFaults || s.failedMembers()+s.leavingCount >= s.maxFailures {
		return
	}
	m := s.randomMember()
	if s.OneIn(3) {
		for _, other := range s.members {
			if other.running && other.node.IsLeader() {
				m = other
			}
		}
	}
	if !m.running || m.paused {
		return
	}
	durationMs := s.Between(50, 4000)
	m.failedAtMs = s.Now
	faults := []func(durationMs int64){m.losePower, m.killProcess, m.loseDisk, m.pause, m.partition, m.transferLeadership}
	faults[s.Rand.IntN(len(faults))](durationMs)
}

func (m *simMember) losePower(durationMs int64) {
	m.sim.LogFault("%s loses power", m.id)
	m.crash(true)
	m.sim.After(durationMs, m.start)
}

func (m *simMember) killProcess(durationMs int64) {
	m.sim.LogFault("%s is killed", m.id)
	m.crash(false)
	m.sim.After(durationMs, m.start)
}

// loseDisk restarts a member with an empty disk, at its own address or, as another machine, at a new one.
func (m *simMember) loseDisk(durationMs int64) {
	s := m.sim
	s.LogFault("%s loses its disk", m.id)
	m.crash(true)
	s.After(durationMs, func() {
		m.replaceDisk(ID(fmt.Sprintf("%s+%d", m.address, m.incarnation)))
		if s.disabled != newIDForEmptyDisk && s.OneIn(2) {
			m.address = fmt.Sprintf("%s-%d", m.address, m.incarnation)
			m.id = ID(m.address + "+x")
		}
		m.start()
	})
}

func (m *simMember) pause(durationMs int64) {
	m.sim.LogFault("%s is paused", m.id)
	m.paused = true
	m.sim.After(durationMs, func() {
		if !m.running || !m.paused {
			return
		}
		m.paused = false
		deferredActions := m.deferredActions
		m.deferredActions = nil
		for _, action := range deferredActions {
			action()
		}
	})
}

func (m *simMember) partition(durationMs int64) {
	s := m.sim
	s.LogFault("%s is partitioned from most", m.id)
	for _, other := range s.members {
		if other != m && !s.OneIn(4) {
			m.unreachable[other.address] = true
		}
	}
	s.After(durationMs, func() { clear(m.unreachable) })
}

// transferLeadership does not count as a failure, since the member continues to run.
func (m *simMember) transferLeadership(int64) {
	m.sim.LogFault("%s transfers its leadership", m.id)
	m.failedAtMs = 0
	m.handleReady(m.node.TransferLeadership(m.sim.Now))
}

// losePowerOfAllMembers is the final fault of a simulation: all members lose power, and some of them their disks.
func (s *simulation) losePowerOfAllMembers(disksLost int) {
	s.LogFault("all lose power, %d their disks", disksLost)
	for i, k := range s.Rand.Perm(len(s.members)) {
		m := s.members[k]
		m.crash(true)
		clear(m.unreachable)
		if i < disksLost {
			m.replaceDisk(ID(fmt.Sprintf("%s+w%d", m.address, m.incarnation)))
		}
		s.After(s.Between(100, 1500), m.start)
	}
}
