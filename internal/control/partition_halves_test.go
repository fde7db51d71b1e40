package control

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
)

// splitCluster simulates faults that the fault budget does not limit: the members are split into two halves that all callers and
// proxies can reach, a minority misses updates while the others lose power, all members lose power, and failures overlap. Only
// the number of lost disks is limited by the budget; a disk may be lost while the members are split. The service may be
// unavailable, but no acknowledged update may be lost and no stale version may be returned.
type splitCluster struct {
	*partitionCluster
	diskLossBudget int  // number of disks that may still be lost
	keepsIdentity  bool // removes the safeguard that a member whose disk is lost gets a new ID and no vote
	split          bool
	counts         [splitFaultKinds]int
}

const splitFaultKinds = 6

func newSplitCluster(seed uint64, size int) *splitCluster {
	c := newPartitionCluster(seed, size, 2, 0.05, noSafeguard)
	return &splitCluster{partitionCluster: c, diskLossBudget: max(1, (size-1)/2)}
}

// injectFaults injects faults at random intervals until a time.
func (s *splitCluster) injectFaults(until int64) {
	if s.Now > until {
		return
	}
	s.After(s.Between(200, 1800), func() { s.injectFaults(until) })
	kind := s.Rand.IntN(splitFaultKinds)
	s.counts[kind]++
	m := s.members[s.Rand.IntN(len(s.members))]
	switch kind {
	case 0, 1:
		s.splitInHalf(s.Between(500, 6000))
	case 2:
		s.crashFor(m, s.Between(100, 4000))
	case 3:
		s.loseDisk(m)
	case 4:
		s.LogFault("all members lose power")
		for _, other := range s.members {
			s.crashFor(other, s.Between(200, 1500))
		}
	case 5:
		s.leaveMinorityBehind()
	}
}

// splitInHalf separates two random halves of the members from each other.
func (s *splitCluster) splitInHalf(span int64) {
	if s.split {
		return
	}
	members := slices.Clone(s.members)
	s.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	half := members[:len(members)/2]
	s.splitBetween(half, members[len(members)/2:], span)
}

// splitBetween separates two sets of members from each other.
func (s *splitCluster) splitBetween(one, other []*partitionMember, span int64) {
	s.split = true
	mode := []blockMode{dropFrames, delayFrames}[s.Rand.IntN(2)]
	s.LogFault("%d members are cut off from %d for %d, %s", len(one), len(other), span, mode)
	for _, a := range one {
		for _, b := range other {
			a.blocked[b.ip], b.blocked[a.ip] = mode, mode
		}
	}
	s.After(span, func() {
		s.split = false
		for _, m := range s.members {
			m.heal()
		}
	})
}

func (s *splitCluster) crashFor(m *partitionMember, span int64) {
	if !m.Up() {
		return
	}
	s.LogFault("%s loses power for %d", m.ip, span)
	m.crash(true)
	s.After(span, func() {
		if !m.Up() {
			m.start()
		}
	})
}

// loseDisk restarts a member without its data, under a new identity.
func (s *splitCluster) loseDisk(m *partitionMember) {
	if s.diskLossBudget == 0 || !m.Up() {
		return
	}
	s.diskLossBudget--
	s.LogFault("%s loses its disk", m.ip)
	m.crash(true)
	m.disk.Erase()
	if !s.keepsIdentity {
		m.identity = storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%d", m.ip, m.Incarnation()))}
	}
	s.After(s.Between(100, 1500), func() {
		if !m.Up() {
			m.start()
		}
	})
}

// leaveMinorityBehind partitions a minority, which misses updates. Shortly before the partition heals, one of the other members
// loses its disk and the rest lose power.
func (s *splitCluster) leaveMinorityBehind() {
	if s.split {
		return
	}
	minority := (len(s.members) - 1) / 2
	span := s.Between(1500, 4000)
	others := s.members[minority:]
	s.splitBetween(s.members[:minority], others, span)
	s.After(span-s.Between(10, 300), func() {
		s.loseDisk(others[0])
		for _, m := range others[1:] {
			s.crashFor(m, s.Between(2000, 6000))
		}
	})
}

// finish ends all faults and asserts that 8 s later the members serve updates again and that no acknowledged update is lost.
func (s *splitCluster) finish() {
	s.faultsDisabled = true
	for _, m := range s.members {
		clear(m.blocked)
		if !m.Up() {
			m.start()
		}
	}
	s.RunFor(8000)
	before := s.confirmed
	s.RunFor(4000)
	if s.confirmed < before+3 {
		s.RecordViolation("RECOVER: %d updates are confirmed in 4 s, 8 s after the last fault", s.confirmed-before)
	}
	s.checkNothingLost()
}

func TestHalvesAndOverlappingLossesLoseNothing(t *testing.T) {
	t.Parallel()
	var counts [splitFaultKinds]int
	confirmed := 0
	sizes := []int{3, 3, 5, 6}
	for seed := range partitionSeedCount() {
		s := newSplitCluster(uint64(seed), sizes[seed%len(sizes)])
		s.After(1500, func() { s.injectFaults(s.StartTime + 12_000) })
		s.RunFor(18_000)
		s.finish()
		if len(s.Violations) > 0 {
			t.Fatalf("seed %d, %d members:\n%s", seed, len(s.members), s.report())
		}
		confirmed += s.confirmed
		for kind, count := range s.counts {
			counts[kind] += count
		}
	}
	t.Logf("%d updates confirmed, faults by kind %v", confirmed, counts)
	require.Greater(t, confirmed, 8*partitionSeedCount())
}

// The simulation must detect a member that loses its disk, and with it its votes and log, but keeps voting under the same
// identity: an acknowledged update is lost or a stale version is returned.
func TestSplitSimulationDetectsVotesAfterDiskLoss(t *testing.T) {
	t.Parallel()
	for seed := range uint64(400) {
		s := newSplitCluster(seed, 3)
		s.keepsIdentity = true
		func() {
			defer func() {
				if p := recover(); p != nil { // an assertion in the consensus log
					s.RecordViolation("LOST: %v", p)
				}
			}()
			s.After(1500, func() { s.injectFaults(s.StartTime + 12_000) })
			s.RunFor(18_000)
			s.finish()
		}()
		if len(s.Violations) > 0 {
			t.Logf("detected by seed %d: %s", seed, s.Violations[0])
			return
		}
	}
	require.Fail(t, "400 seeds detected nothing")
}

// Immediately after an update is acknowledged, as many disks are lost as the budget allows, and all other machines lose power at
// the same time. The update must still be present after they restart.
func TestDiskAndPowerLossAfterAcknowledgementLoseNothing(t *testing.T) {
	t.Parallel()
	faultsAfterAck := 0
	sizes := []int{3, 5, 6}
	for seed := range partitionSeedCount() {
		s := newSplitCluster(uint64(seed), sizes[seed%len(sizes)])
		s.RunFor(2500 + int64(seed%7)*130)
		acknowledged := s.newestAcknowledged(s.Now)
		for deadline := s.Now + 3000; s.newestAcknowledged(s.Now) == acknowledged && s.Now < deadline; {
			s.RunFor(1)
		}
		s.RunFor(s.Between(0, 6)) // from the time of the acknowledgement to 6 ms later
		if s.newestAcknowledged(s.Now) > acknowledged {
			faultsAfterAck++
		}
		members := slices.Clone(s.members)
		s.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		lost := s.diskLossBudget
		for _, m := range members[:lost] {
			s.loseDisk(m)
		}
		for _, m := range members[lost:] {
			s.crashFor(m, s.Between(300, 1500))
		}
		for _, p := range s.proxies {
			if p.link != nil {
				p.link.closed = true
			}
			s.After(s.Between(300, 1500), p.start)
		}
		s.RunFor(2000)
		s.finish()
		if len(s.Violations) > 0 {
			t.Fatalf("seed %d, %d members:\n%s", seed, len(s.members), s.report())
		}
	}
	require.Greater(t, faultsAfterAck, partitionSeedCount()*3/4)
}

// catchUpMs is the time that a machine has for catching up after its return (CatchupS of the small deployments).
const catchUpMs = 4000

// checkSeats records a violation unless each process is a member.
func (s *splitCluster) checkSeats() {
	for _, leader := range s.members {
		if !leader.Running() || !leader.server.holdsLease() {
			continue
		}
		members := leader.server.consensus.Members()
		for _, m := range s.members {
			if !slices.Contains(members, m.identity.ID) {
				s.RecordViolation("SEAT: %s is not among the members %v", m.identity.ID, members)
			}
		}
		return
	}
	s.RecordViolation("SEAT: no leader")
}

// checkSenders records a violation if a member had to discard a message that was sent by another process than its sender.
func (s *splitCluster) checkSenders() {
	for _, m := range s.members {
		if discarded := m.server.Discarded[messageWrongSender].Load(); discarded > 0 {
			s.RecordViolation("SENDER: %s discarded %d messages", m.identity.ID, discarded)
		}
	}
}

func TestDisksLostInSuccessionLeaveNoSeatEmpty(t *testing.T) {
	t.Parallel()
	sizes := []int{3, 5, 7}
	for seed := range partitionSeedCount() {
		s := newSplitCluster(uint64(seed), sizes[seed%len(sizes)])
		budget := s.diskLossBudget
		s.faultsDisabled = true
		s.RunFor(3000)
		for range 4 {
			s.diskLossBudget = budget
			first, count := s.Rand.IntN(len(s.members)), 1+s.Rand.IntN(budget)
			for i := range count {
				lost := s.members[(first+i)%len(s.members)]
				s.After(s.Between(0, 1500), func() { s.loseDisk(lost) })
			}
			s.RunFor(3000 + catchUpMs) // they are back after 3 s
			s.checkSeats()
			s.checkSenders()
		}
		s.finish()
		if len(s.Violations) > 0 {
			t.Fatalf("seed %d, %d members:\n%s", seed, len(s.members), s.report())
		}
	}
}
