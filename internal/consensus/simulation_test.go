package consensus

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"ferrypitch/internal/simulation/scheduler"
)

var simulations = flag.Int("seeds", 1000, "number of simulations to run")

// simulationCount returns the number of simulations that a test runs: a tenth in short runs, as under the race
// detector.
func simulationCount() int {
	if testing.Short() {
		return max(1, *simulations/10)
	}
	return *simulations
}

// safeguard is a rule of the protocol that a test disables to show that the resulting violations are detected.
type safeguard string

const (
	allEnabled           safeguard = ""
	syncBeforeAck        safeguard = "writes are synced before they are reported"
	newIDForEmptyDisk    safeguard = "a member with an empty disk has a new ID"
	leasesAreHonoured    safeguard = "members honour the leases that they have granted"
	leaveWaitsForLearner safeguard = "a leaving member waits until it is replaced"
)

const (
	simulationStartMs   = 1 << 30
	simTickMs           = 20
	simFounders         = 3
	simSnapshotInterval = 40  // entries
	simRetainedEntries  = 10  // after a snapshot
	simChunkBytes       = 64  // small, so that a snapshot takes many chunks
	simRetainedBytes    = 100 // small, so that lagging members need snapshots
	simMinCatchUpMs     = 4000
)

// simulation is a group of members on a network that loses, delays and partitions, with disks that lose unsynced
// writes. After each step it asserts that all members commit the same entries in the same order and that no two
// members hold a lease at once, and at the end that no acknowledged entry is lost.
type simulation struct {
	*scheduler.Scheduler
	memberCount, maxFailures int
	members                  []*simMember
	committed                []string // by index, as committed by the first member to do so
	acknowledged             []string
	proposalCount            int
	faultFree                bool // disables all faults from now on
	noRandomFaults           bool // disables random member faults; the network still loses and delays messages
	slowDisks                bool // all disks are slow
	disabled                 safeguard
	corrupt                  func(m *Message) (copies int) // changes a message and returns the number of copies to deliver; may be nil
	leavingCount             int                           // members that have been told to leave and have not shut down
}

// simMember is a process with its disk.
type simMember struct {
	sim             *simulation
	address         string
	node            *Node
	running         bool
	incarnation     int
	id              ID
	founders        []ID
	disk            RestoredState
	unsynced        []Write
	unreachable     map[string]bool // addresses of the members that cannot be reached
	paused          bool
	deferredActions []func()          // actions to run when the pause ends
	proposals       map[uint64]string // unacknowledged proposals by index
	failedAtMs      int64             // when the member last failed; 0 once it has caught up

	// Machines differ in speed.
	diskFactor int64 // disk latency as a multiple of the fastest disk's
	tickMs     int64 // tick interval
}

func newSimulation(seed uint64, memberCount, maxFailures int) *simulation {
	s := &simulation{
		Scheduler:   scheduler.New(seed, simulationStartMs, 1),
		memberCount: memberCount,
		maxFailures: maxFailures,
		committed:   []string{""},
	}
	var founders []ID
	for i := range min(memberCount, simFounders) {
		founders = append(founders, ID(fmt.Sprintf("m%d", i)))
	}
	for i := range memberCount {
		address := fmt.Sprintf("m%d", i)
		if i < simFounders {
			s.addMember(address, ID(address), founders)
		} else {
			s.addMember(address, ID(address+"+0"), nil)
		}
	}
	return s
}

// addMember starts a member with an empty disk.
func (s *simulation) addMember(address string, id ID, founders []ID) {
	m := &simMember{
		sim: s, address: address, id: id, founders: founders, unreachable: map[string]bool{},
		diskFactor: s.Between(1, 3), tickMs: s.Between(simTickMs/2, simTickMs*3/2),
	}
	s.members = append(s.members, m)
	m.start()
}

// start starts a process from the contents of the disk.
func (m *simMember) start() {
	s := m.sim
	m.incarnation++
	m.running, m.paused, m.deferredActions, m.proposals = true, false, nil, map[uint64]string{}
	restored := m.disk
	restored.Entries = slices.Clone(restored.Entries)
	config := DefaultConfig(s.maxFailures)
	config.ChunkBytes, config.RetainedBytes = simChunkBytes, simRetainedBytes
	m.node = New(m.id, config, restored, m.founders, s.Rand.Float64, s.Now)
	if s.disabled == leasesAreHonoured {
		m.forgetLeases(m.incarnation)
	}
	m.tick(m.incarnation)
}

// forgetLeases periodically makes a member forget the leases that it has granted, and sometimes campaign.
func (m *simMember) forgetLeases(incarnation int) {
	m.sim.After(10, func() {
		if !m.running || m.incarnation != incarnation {
			return
		}
		m.node.leaderHeardAtMs, m.node.startedAtMs = 0, 0
		if m.sim.OneIn(20) && !m.node.IsLeader() {
			m.node.election.timeoutAtMs = m.sim.Now
		}
		m.forgetLeases(incarnation)
	})
}

// runIfAlive runs an action in a process that is still running: now, or when its pause ends.
func (m *simMember) runIfAlive(incarnation int, action func()) {
	switch {
	case !m.running || m.incarnation != incarnation:
	case m.paused:
		m.deferredActions = append(m.deferredActions, action)
	default:
		action()
	}
}

func (m *simMember) tick(incarnation int) {
	m.sim.After(m.tickMs, func() {
		m.runIfAlive(incarnation, func() {
			m.handleReady(m.node.Tick(m.sim.Now))
			m.tick(incarnation)
		})
	})
}

func (m *simMember) handleReady(ready Ready) {
	for _, write := range ready.Writes {
		m.syncLater(write)
	}
	for _, message := range ready.Messages {
		for _, to := range m.sim.members {
			if to.address != m.address && (message.To == "" || message.To.Address() == to.address) {
				m.sim.send(m, to, message)
			}
		}
	}
	for _, committed := range ready.Committed {
		m.apply(committed)
	}
	m.sim.checkOneLease()
}

// syncLater syncs a write and all earlier ones after a delay, and reports it.
func (m *simMember) syncLater(write Write) {
	s, incarnation := m.sim, m.incarnation
	m.unsynced = append(m.unsynced, write)
	delayMs := s.Between(0, 4) * m.diskFactor
	if s.slowDisks {
		delayMs = s.Between(0, 900)
	}
	if s.disabled == syncBeforeAck {
		delayMs = 0
	}
	s.After(delayMs, func() {
		m.runIfAlive(incarnation, func() {
			for s.disabled != syncBeforeAck && len(m.unsynced) > 0 && m.unsynced[0].Seq <= write.Seq {
				m.disk.ApplyWrite(m.unsynced[0])
				m.unsynced = m.unsynced[1:]
			}
			m.handleReady(m.node.Persisted(write.Seq, s.Now))
		})
	})
}

func (s *simulation) send(from, to *simMember, message Message) {
	if from.unreachable[to.address] || to.unreachable[from.address] || !s.faultFree && s.OneIn(40) {
		return
	}
	delayMs := s.Between(1, 4)
	if !s.faultFree && s.OneIn(50) {
		delayMs = s.Between(1, 600)
	}
	incarnation := to.incarnation
	receive := func(message Message) {
		to.runIfAlive(incarnation, func() { to.handleReady(to.node.Step(message, s.Now)) })
	}
	if s.corrupt != nil {
		for range s.corrupt(&message) {
			received := message
			s.After(s.Between(1, 60), func() { receive(received) })
		}
		return
	}
	s.After(delayMs, func() {
		if !to.unreachable[from.address] {
			receive(message)
		}
	})
}

// apply applies a committed entry or snapshot, and asserts that it equals what other members have committed there.
func (m *simMember) apply(committed Committed) {
	s := m.sim
	if committed.Snapshot != nil {
		if string(committed.Snapshot.Data) != s.stateAt(committed.Index) {
			s.RecordViolation("%s installs a snapshot up to %d that differs from what was committed", m.id, committed.Index)
		}
		return
	}
	entry := fmt.Sprintf("%d:%s", committed.Term, committed.Data)
	switch {
	case committed.Index < uint64(len(s.committed)):
		if s.committed[committed.Index] != entry {
			s.RecordViolation("%s commits %q at %d, where %q was committed", m.id, entry, committed.Index, s.committed[committed.Index])
		}
	case committed.Index == uint64(len(s.committed)):
		s.committed = append(s.committed, entry)
	default:
		s.RecordViolation("%s commits %d before %d", m.id, committed.Index, len(s.committed))
	}
	m.acknowledge(committed)
	if committed.Index%simSnapshotInterval == 0 && !m.paused {
		m.compact(committed.Index)
	}
}

// acknowledge records that a proposal of this member has been committed.
func (m *simMember) acknowledge(committed Committed) {
	data, ok := m.proposals[committed.Index]
	if !ok {
		return
	}
	delete(m.proposals, committed.Index)
	if string(committed.Data) == data && m.node.Term() == committed.Term {
		m.sim.acknowledged = append(m.sim.acknowledged, data)
	}
}

// compact takes a snapshot, after the entries committed together with the one at index have been applied.
func (m *simMember) compact(index uint64) {
	s, incarnation := m.sim, m.incarnation
	s.After(0, func() {
		m.runIfAlive(incarnation, func() {
			if m.node.CommitIndex() >= index {
				m.handleReady(m.node.Compact(index, []byte(s.stateAt(index)), simRetainedEntries, s.Now))
			}
		})
	})
}

// stateAt returns the state of the state machine: all entries committed up to an index.
func (s *simulation) stateAt(index uint64) string {
	return strings.Join(s.committed[1:min(uint64(len(s.committed)), index+1)], " ")
}

// checkOneLease asserts that no two members hold a lease.
func (s *simulation) checkOneLease() {
	var holder *simMember
	for _, m := range s.members {
		if !m.running || m.paused || !m.node.HoldsLease(s.Now) {
			continue
		}
		if holder != nil {
			s.RecordViolation("%s and %s both hold a lease", holder.id, m.id)
		}
		holder = m
	}
}

// propose makes a random member propose an entry if it holds the lease, and schedules the next proposal.
func (s *simulation) propose() {
	s.After(s.Between(5, 60), s.propose)
	m := s.randomMember()
	m.runIfAlive(m.incarnation, func() {
		if !m.node.HoldsLease(s.Now) {
			return
		}
		s.proposalCount++
		data := fmt.Sprintf("c%d", s.proposalCount)
		index, ready := m.node.Propose([]byte(data), s.Now)
		if index > 0 {
			m.proposals[index] = data
		}
		m.handleReady(ready)
	})
}

func (s *simulation) randomMember() *simMember { return s.members[s.Rand.IntN(len(s.members))] }

// leaseHolder returns the member that holds the lease, or nil if none does.
func (s *simulation) leaseHolder() *simMember {
	for _, m := range s.members {
		if m.running && m.node.HoldsLease(s.Now) {
			return m
		}
	}
	return nil
}

// run runs the whole simulation: a phase with faults for durationMs, a phase without faults, and a final power loss
// of all members.
func (s *simulation) run(durationMs int64) {
	s.After(500, s.propose)
	faultsFromMs := int64(3000)
	if s.memberCount > simFounders { // the learners are members by then
		faultsFromMs = 10000
	}
	s.After(faultsFromMs, s.injectFault)
	s.RunFor(faultsFromMs + durationMs)
	s.faultFree, s.slowDisks = true, false
	for _, m := range s.members {
		clear(m.unreachable)
	}
	s.RunFor(14000)
	// Without new IDs, the power loss must coincide with an acknowledgement, when some members may not hold the entry
	// yet.
	for before := len(s.acknowledged); s.disabled == newIDForEmptyDisk && len(s.acknowledged) == before; {
		s.RunFor(1)
	}
	s.losePowerOfAllMembers(s.maxFailures)
	s.RunFor(12000)
	s.checkFinalState()
}

// checkFinalState asserts that there is one leader, every acknowledged entry is committed, and all members have
// caught up.
func (s *simulation) checkFinalState() {
	leaseHolders := 0
	for _, m := range s.members {
		if m.running && m.node.HoldsLease(s.Now) {
			leaseHolders++
		}
	}
	if leaseHolders != 1 {
		s.RecordViolation("%d members hold a lease in the end", leaseHolders)
	}
	state := " " + s.stateAt(uint64(len(s.committed))) + " "
	for _, data := range s.acknowledged {
		if !strings.Contains(state, ":"+data+" ") {
			s.RecordViolation("%s was acknowledged and is gone", data)
		}
	}
	for _, m := range s.members {
		if m.running && slices.Contains(m.node.Members(), m.id) && int(m.node.CommitIndex()) < len(s.committed)-3 {
			s.RecordViolation("%s has committed %d of %d", m.id, m.node.CommitIndex(), len(s.committed)-1)
		}
	}
}

// report returns the violations and the faults that led to them.
func (s *simulation) report() string {
	return strings.Join(s.Violations, "\n") + "\nafter\n" + strings.Join(s.FaultLog, "\n")
}
