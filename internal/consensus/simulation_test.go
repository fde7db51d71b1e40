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

// simulationCount is how many simulations a test runs: a tenth in short runs, as under the race detector.
func simulationCount() int {
	if testing.Short() {
		return max(1, *simulations/10)
	}
	return *simulations
}

// safeguard is a rule of the protocol that a test disables, to show that a violation is detected.
type safeguard string

const (
	allEnabled           safeguard = ""
	syncBeforeAck        safeguard = "writes are synced before they are reported"
	newIDForEmptyDisk    safeguard = "a member with an empty disk has a new ID"
	leasesAreHonoured    safeguard = "members honour the leases that they have granted"
	leaveWaitsForLearner safeguard = "a leaving member waits until it is replaced"
)

const (
	simulationStartMs  = 1 << 30
	simTickMs          = 20
	simFounders        = 3
	simSnapshotEvery   = 40  // entries
	simRetainedEntries = 10  // after a snapshot
	simChunkBytes      = 64  // so that snapshots take many chunks
	simRetainedBytes   = 100 // so that members that lag need snapshots
	simMinCatchUpMs    = 4000
)

// simulation is a group of members on a network that loses, delays and partitions, with disks that lose what was not
// synced. After each step it asserts that all members commit the same entries in one order, and that no two hold a lease
// at once; in the end, that no acknowledged entry is gone.
type simulation struct {
	*scheduler.Scheduler
	memberCount, maxFailures int
	members                  []*simMember
	committed                []string // by index, as the first member to commit it had it
	acknowledged             []string
	proposed                 int
	faultFree                bool // no faults of members or the network from now on
	noRandomFaults           bool // none but those that a test injects; the network loses and delays
	slowDisks                bool
	disabled                 safeguard
	corrupt                  func(m *Message) (copies int) // nil: messages arrive unchanged, or not at all
	leaving                  int                           // members that have been told to leave and are still there
}

// simMember is a process with its disk.
type simMember struct {
	sim         *simulation
	address     string
	node        *Node
	up          bool
	incarnation int
	id          ID
	founders    []ID
	disk        RestoredState
	unsynced    []Write
	unreachable map[string]bool // addresses
	paused      bool
	deferred    []func()          // what is to run when the pause ends
	proposals   map[uint64]string // not acknowledged yet, by index
	failedAtMs  int64             // when it last failed; 0 once it has caught up

	// No two machines are alike.
	diskFactor int64 // how many times as long as the fastest its disk takes
	tickMs     int64 // between two ticks
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

// start starts a process from what the disk holds.
func (m *simMember) start() {
	s := m.sim
	m.incarnation++
	m.up, m.paused, m.deferred, m.proposals = true, false, nil, map[uint64]string{}
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

// forgetLeases has a member forget, again and again, what it has granted, and campaign at times.
func (m *simMember) forgetLeases(incarnation int) {
	m.sim.After(10, func() {
		if !m.up || m.incarnation != incarnation {
			return
		}
		m.node.leaderHeardAtMs, m.node.startedAtMs = 0, 0
		if m.sim.OneIn(20) && !m.node.IsLeader() {
			m.node.election.timeoutAtMs = m.sim.Now
		}
		m.forgetLeases(incarnation)
	})
}

// perform does something in a process, if that still runs: now, or when its pause ends.
func (m *simMember) perform(incarnation int, action func()) {
	switch {
	case !m.up || m.incarnation != incarnation:
	case m.paused:
		m.deferred = append(m.deferred, action)
	default:
		action()
	}
}

func (m *simMember) tick(incarnation int) {
	m.sim.After(m.tickMs, func() {
		m.perform(incarnation, func() {
			m.handleReady(m.node.Tick(m.sim.Now))
			m.tick(incarnation)
		})
	})
}

func (m *simMember) handleReady(ready Ready) {
	for _, write := range ready.Writes {
		m.save(write)
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

// save syncs a write after a while, with all before it, and reports it.
func (m *simMember) save(write Write) {
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
		m.perform(incarnation, func() {
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
		to.perform(incarnation, func() { to.handleReady(to.node.Step(message, s.Now)) })
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

// apply takes in a committed entry or snapshot, and asserts that it is what other members have committed there.
func (m *simMember) apply(committed Committed) {
	s := m.sim
	if committed.Snapshot != nil {
		if string(committed.Snapshot.Data) != s.stateAt(committed.Index) {
			s.Violate("%s installs a snapshot up to %d that differs from what was committed", m.id, committed.Index)
		}
		return
	}
	entry := fmt.Sprintf("%d:%s", committed.Term, committed.Data)
	switch {
	case committed.Index < uint64(len(s.committed)):
		if s.committed[committed.Index] != entry {
			s.Violate("%s commits %q at %d, where %q was committed", m.id, entry, committed.Index, s.committed[committed.Index])
		}
	case committed.Index == uint64(len(s.committed)):
		s.committed = append(s.committed, entry)
	default:
		s.Violate("%s commits %d before %d", m.id, committed.Index, len(s.committed))
	}
	m.acknowledge(committed)
	if committed.Index%simSnapshotEvery == 0 && !m.paused {
		m.compact(committed.Index)
	}
}

// acknowledge notes that a proposal of this member has been committed.
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

// compact takes a snapshot, once all that comes with the entry at index has been applied.
func (m *simMember) compact(index uint64) {
	s, incarnation := m.sim, m.incarnation
	s.After(0, func() {
		m.perform(incarnation, func() {
			if m.node.CommitIndex() >= index {
				m.handleReady(m.node.Compact(index, []byte(s.stateAt(index)), simRetainedEntries, s.Now))
			}
		})
	})
}

// stateAt is the state machine's state: all that was committed up to an index.
func (s *simulation) stateAt(index uint64) string {
	return strings.Join(s.committed[1:min(uint64(len(s.committed)), index+1)], " ")
}

// checkOneLease asserts that no two members hold a lease.
func (s *simulation) checkOneLease() {
	var holder *simMember
	for _, m := range s.members {
		if !m.up || m.paused || !m.node.HoldsLease(s.Now) {
			continue
		}
		if holder != nil {
			s.Violate("%s and %s both hold a lease", holder.id, m.id)
		}
		holder = m
	}
}

// propose has a member propose an entry, if it is the leader, again and again.
func (s *simulation) propose() {
	s.After(s.Between(5, 60), s.propose)
	m := s.randomMember()
	m.perform(m.incarnation, func() {
		if !m.node.HoldsLease(s.Now) {
			return
		}
		s.proposed++
		data := fmt.Sprintf("c%d", s.proposed)
		index, ready := m.node.Propose([]byte(data), s.Now)
		if index > 0 {
			m.proposals[index] = data
		}
		m.handleReady(ready)
	})
}

func (s *simulation) randomMember() *simMember { return s.members[s.Rand.IntN(len(s.members))] }

// leaseHolder returns the member that holds the lease; nil if none does.
func (s *simulation) leaseHolder() *simMember {
	for _, m := range s.members {
		if m.up && m.node.HoldsLease(s.Now) {
			return m
		}
	}
	return nil
}

// run plays the whole simulation: faults for durationMs, a while without, and the closing fault.
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
	// Without new IDs: at the moment of an acknowledgement, when some may not hold the entry yet.
	for before := len(s.acknowledged); s.disabled == newIDForEmptyDisk && len(s.acknowledged) == before; {
		s.RunFor(1)
	}
	s.losePowerEverywhere(s.maxFailures)
	s.RunFor(12000)
	s.checkFinalState()
}

// checkFinalState asserts that there is one leader, that every acknowledged entry is committed, and that all members have
// caught up.
func (s *simulation) checkFinalState() {
	leaseHolders := 0
	for _, m := range s.members {
		if m.up && m.node.HoldsLease(s.Now) {
			leaseHolders++
		}
	}
	if leaseHolders != 1 {
		s.Violate("%d members hold a lease in the end", leaseHolders)
	}
	state := " " + s.stateAt(uint64(len(s.committed))) + " "
	for _, data := range s.acknowledged {
		if !strings.Contains(state, ":"+data+" ") {
			s.Violate("%s was acknowledged and is gone", data)
		}
	}
	for _, m := range s.members {
		if m.up && slices.Contains(m.node.Members(), m.id) && int(m.node.CommitIndex()) < len(s.committed)-3 {
			s.Violate("%s has committed %d of %d", m.id, m.node.CommitIndex(), len(s.committed)-1)
		}
	}
}

// report is the violations, and the faults that led to them.
func (s *simulation) report() string {
	return strings.Join(s.Violations, "\n") + "\nafter\n" + strings.Join(s.FaultLog, "\n")
}
