package consensus

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	heartbeatMs = 130 // of DefaultConfig
	leaseEndMs  = 960 // after this time any lease has expired and any election timer has fired
)

// explorer visits the systems on a default path and its deviations, and asserts the invariants for each.
type explorer struct {
	disabled       safeguard
	visited        map[uint64]int8 // by hash: number of deviations left at the visit, plus one
	checkedDisks   map[uint64]bool // by diskHash
	states         int
	progressChecks int
	maxHeartbeats  int
	limits         faultCounts
	violation      string // the first violation found
}

func newExplorer(disabled safeguard, maxHeartbeats int) *explorer {
	return &explorer{
		disabled:      disabled,
		visited:       map[uint64]int8{},
		checkedDisks:  map[uint64]bool{},
		maxHeartbeats: maxHeartbeats,
		limits:        faultCounts{powerLosses: 1, losses: 1, leaves: 1, leaseExpiries: 1, proposals: 1},
	}
}

// initialSystem returns a system with an established leader, and two learners that hold the whole log.
func (x *explorer) initialSystem() *system {
	founders := []ID{"a", "b", "c"}
	s := &system{nowMs: 1 << 20, committed: []string{""}, configurations: map[uint64][]ID{0: founders}}
	for i, id := range []ID{"a", "b", "c", "d+1", "e+1"} {
		r := &replica{id: id}
		if i < founderCount {
			r.founders = founders
		}
		s.replicas = append(s.replicas, r)
		x.start(s, i)
	}
	for s.heartbeats < 24 {
		s = x.defaultStep(s)
		if s.heartbeats == 10 && s.proposals == 0 && len(s.pending) == 0 {
			s.proposals++
			x.stepReplica(s, s.leaderIndex(), func(node *Node) Ready {
				_, ready := node.Propose([]byte("first"), s.nowMs)
				return ready
			})
		}
	}
	for len(s.pending) > 0 {
		s = x.defaultStep(s)
	}
	s.heartbeats, s.previous, s.event = 0, nil, ""
	return s
}

// explore visits the systems on the default path from s, and on all paths with at most deviationsLeft deviations from
// it.
func (x *explorer) explore(s *system, deviationsLeft int) {
	for x.violation == "" && s.heartbeats <= x.maxHeartbeats && !s.tooManyLosses {
		hash := s.hash()
		if int(x.visited[hash]) > deviationsLeft {
			return
		}
		x.visited[hash] = int8(deviationsLeft + 1)
		x.states++
		x.check(s)
		if deviationsLeft > 0 {
			for _, deviation := range x.deviations(s) {
				x.explore(deviation, deviationsLeft-1)
			}
		}
		s = x.defaultStep(s)
	}
}

// defaultStep returns the next system on the default path.
func (x *explorer) defaultStep(s *system) *system {
	if len(s.pending) == 0 {
		next := s.successor("time passes")
		x.advanceTime(next, heartbeatMs)
		return next
	}
	next := s.successor("")
	x.processNextEvent(next)
	return next
}

// deviations returns all systems that may follow instead of the next one on the default path.
func (x *explorer) deviations(s *system) []*system {
	systems := x.reorderings(s)
	if s.partition != 0 {
		healed := s.successor("the partition heals")
		healed.partition = 0
		systems = append(systems, healed)
	}
	for i, r := range s.replicas {
		if r.node != nil {
			systems = append(systems, x.faults(s, i)...)
		}
	}
	return systems
}

// reorderings returns the deviations that affect pending events or let time pass before they are processed.
func (x *explorer) reorderings(s *system) (systems []*system) {
	if len(s.pending) == 0 {
		return nil
	}
	if len(s.pending) > 1 {
		late := s.successor("event delayed")
		late.pending = append(late.pending[1:], late.pending[0])
		systems = append(systems, late)
	}
	if s.pending[0].message != nil {
		lost := s.successor("message lost")
		lost.pending = lost.pending[1:]
		systems = append(systems, lost)
	}
	early := s.successor("time passes early")
	x.advanceTime(early, heartbeatMs)
	return append(systems, early)
}

// faults returns the deviations that affect one replica.
func (x *explorer) faults(s *system, i int) (systems []*system) {
	id, node := s.replicas[i].id, s.replicas[i].node
	add := func(event string, apply func(next *system)) {
		next := s.successor(fmt.Sprintf("%s %s", id, event))
		apply(next)
		systems = append(systems, next)
	}
	if s.faults.powerLosses < x.limits.powerLosses {
		add("loses power", func(next *system) { x.losePower(next, i) })
	}
	if s.faults.losses < x.limits.losses && s.unrecoveredMember == "" && s.isMember(id) {
		add("loses its disk", func(next *system) { next.faults.losses++; x.loseReplica(next, i, true) })
		add("is lost permanently", func(next *system) { next.faults.losses++; x.loseReplica(next, i, false) })
	}
	if s.faults.leaves < x.limits.leaves && node.LeaveState() == LeaveNotStarted {
		add("leaves", func(next *system) { next.faults.leaves++; x.leave(next, i) })
	}
	if s.faults.leaseExpiries < x.limits.leaseExpiries && node.isMember(id) && !node.IsLeader() {
		add("receives no heartbeat until all leases expire", func(next *system) { x.expireLeases(next, i) })
	}
	if s.faults.proposals < x.limits.proposals && node.HoldsLease(s.nowMs) {
		add("proposes", func(next *system) { x.propose(next, i) })
	}
	return systems
}

func (x *explorer) losePower(s *system, i int) {
	s.faults.powerLosses++
	restarted := *s.replicas[i]
	s.replicas[i] = &restarted
	x.start(s, i)
}

func (x *explorer) leave(s *system, i int) {
	x.stepReplica(s, i, func(node *Node) Ready { return node.Leave(s.nowMs) })
}

func (x *explorer) expireLeases(s *system, i int) {
	s.faults.leaseExpiries++
	s.nowMs += leaseEndMs
	x.stepReplica(s, i, func(node *Node) Ready { return node.Tick(s.nowMs) })
}

func (x *explorer) propose(s *system, i int) {
	s.faults.proposals++
	s.proposals++
	x.stepReplica(s, i, func(node *Node) Ready {
		_, ready := node.Propose(fmt.Appendf(nil, "o%d", s.proposals), s.nowMs)
		return ready
	})
}

func (x *explorer) advanceTime(s *system, durationMs int64) {
	s.nowMs += durationMs
	s.heartbeats++
	for i := range s.replicas {
		x.stepReplica(s, i, func(node *Node) Ready { return node.Tick(s.nowMs) })
	}
}

// start starts a replica's process from its disk.
func (x *explorer) start(s *system, i int) {
	r := s.replicas[i]
	restored := r.disk
	restored.Entries = slices.Clone(restored.Entries)
	random := func() float64 { return float64(i) / 5 }
	r.node, r.unsynced = New(r.id, DefaultConfig(1), restored, r.founders, random, s.nowMs), nil
	r.updateHash()
	s.pending = slices.DeleteFunc(s.pending, func(event pendingEvent) bool { return event.replica == i && event.message == nil })
}

// loseReplica removes a replica and its disk from the system. If restarts is true, it restarts with an empty disk
// under an ID that has not been used before.
func (x *explorer) loseReplica(s *system, i int, restarts bool) {
	r := *s.replicas[i]
	s.replicas[i] = &r
	if s.isMember(r.id) {
		s.unrecoveredMember, s.lostAtMs = r.id, s.nowMs
	}
	r.node, r.unsynced, r.disk, r.founders = nil, nil, RestoredState{}, nil
	r.updateHash()
	if !restarts {
		return
	}
	if x.disabled == newIDForEmptyDisk {
		r.founders = s.replicas[(i+1)%founderCount].founders
	} else {
		r.id = ID(fmt.Sprintf("%s+%dw", r.id.Address(), len(r.id)))
	}
	x.start(s, i)
}

// processNextEvent processes the first pending event.
func (x *explorer) processNextEvent(s *system) {
	event := s.pending[0]
	s.pending = slices.Delete(s.pending, 0, 1)
	if event.message != nil {
		x.stepReplica(s, event.replica, func(node *Node) Ready { return node.Step(*event.message, s.nowMs) })
		return
	}
	x.stepReplica(s, event.replica, func(node *Node) Ready {
		r := s.replicas[event.replica]
		if len(r.unsynced) == 0 {
			return Ready{}
		}
		seq := r.unsynced[len(r.unsynced)-1].Seq
		for _, write := range r.unsynced {
			r.disk.ApplyWrite(write)
		}
		if x.disabled == configIndexPersisted {
			r.disk.HardState.CommittedConfigIndex = 0
		}
		r.unsynced = nil
		return node.Persisted(seq, s.nowMs)
	})
}

// stepReplica calls a copy of a replica's node, and shuts the replica down once it may leave.
func (x *explorer) stepReplica(s *system, i int, call func(*Node) Ready) {
	if s.replicas[i].node == nil {
		return
	}
	r := *s.replicas[i]
	r.node, r.unsynced = cloneNode(r.node), slices.Clone(r.unsynced)
	s.replicas[i] = &r
	x.disableBefore(r.node)
	x.handleReady(s, i, call(r.node))
	if x.disabled == jointMajorities {
		r.node.configurations = r.node.configurations[len(r.node.configurations)-1:]
	}
	state := r.node.LeaveState()
	if state == LeaveUnreplaced {
		s.noteUnreplaced(r.id)
	}
	if state.Done() && !r.node.IsLeader() || x.disabled == leaveWaitsForLearner && state != LeaveNotStarted {
		s.event += fmt.Sprintf("; %s shuts down, replaced: %v", r.id, state == LeaveReplaced)
		r.node, r.unsynced = nil, nil
	}
	r.updateHash()
}

// disableBefore disables a safeguard by changing what a node knows before a call.
func (x *explorer) disableBefore(node *Node) {
	switch x.disabled {
	case learnersCatchUpFirst:
		for _, p := range node.peers {
			if p.learner {
				p.matchIndex = max(p.matchIndex, node.commitIndex)
			}
		}
	case leaveWaitsForMajority:
		for _, p := range node.peers {
			p.persistedConfigIndex = node.log.lastIndex()
		}
		node.persistedConfigIndex = node.log.lastIndex()
	}
}

func (x *explorer) handleReady(s *system, i int, ready Ready) {
	r := s.replicas[i]
	if len(ready.Writes) > 0 {
		if len(r.unsynced) == 0 {
			s.pending = append(s.pending, pendingEvent{replica: i, hash: uint64(i + 1)})
		}
		r.unsynced = append(r.unsynced, ready.Writes...)
	}
	if r.node.IsLeader() {
		for _, write := range ready.Writes {
			for _, entry := range write.Entries {
				x.checkPromotion(s, entry.Members)
			}
		}
	}
	for _, committed := range ready.Committed {
		x.apply(s, r, committed)
	}
	for _, m := range ready.Messages {
		if m.Type == MsgLeaveResponse && !m.Granted {
			s.noteUnreplaced(m.To)
		}
		s.send(i, &m)
	}
}

// send queues a message to its receiver, or to all other replicas if it has none.
func (s *system) send(from int, m *Message) {
	for i, to := range s.replicas {
		if i != from && to.node != nil && s.partition.has(i) == s.partition.has(from) && (m.To == "" || m.To.Address() == to.id.Address()) {
			h := newHasher()
			h.message(m)
			h.ints(int64(i))
			s.pending = append(s.pending, pendingEvent{i, m, h.Sum64()})
		}
	}
}

// apply records a committed entry, and asserts that it equals the entry that others have committed at this index.
func (x *explorer) apply(s *system, r *replica, committed Committed) {
	entry := fmt.Sprintf("%d:%s", committed.Term, committed.Data)
	switch {
	case committed.Index < uint64(len(s.committed)):
		if s.committed[committed.Index] != entry {
			x.fail(s, "%s commits %q at %d, where %q was committed", r.id, entry, committed.Index, s.committed[committed.Index])
		}
	case committed.Index == uint64(len(s.committed)):
		s.committed = append(s.committed, entry)
		if members := r.node.log.entry(committed.Index).Members; len(members) > 0 {
			s.configurations = maps.Clone(s.configurations)
			s.configurations[committed.Index] = members
		}
	default:
		x.fail(s, "%s commits %d before %d", r.id, committed.Index, len(s.committed))
	}
}

// fail records the first violation and the events that led to it.
func (x *explorer) fail(s *system, format string, args ...any) {
	if x.violation == "" {
		x.violation = fmt.Sprintf(format, args...) + "\nafter\n" + strings.Join(s.path(), "\n")
	}
}
