package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// progressCheckInterval selects the systems whose progress is checked: one in this many, by hash.
const progressCheckInterval = 1500

// check asserts the invariants of a system.
func (x *explorer) check(s *system) {
	x.checkOneLease(s)
	if s.unrecoveredMember != "" && s.recovered() {
		s.unrecoveredMember = ""
	}
	if hash := s.diskHash(); !x.checkedDisks[hash] {
		x.checkedDisks[hash] = true
		if s.unrecoveredMember != "" {
			x.checkSurvives(s, "")
			return
		}
		x.checkSurvivesAnyLoss(s)
	}
	if x.disabled == allEnabled && s.unrecoveredMember == "" && s.hash()%progressCheckInterval == 0 {
		x.checkProgressAfterAnyLoss(s)
	}
}

// checkOneLease asserts that no two nodes hold a lease.
func (x *explorer) checkOneLease(s *system) {
	holder := ID("")
	for _, r := range s.replicas {
		if r.node == nil || !r.node.HoldsLease(s.nowMs) {
			continue
		}
		if holder != "" {
			x.fail(s, "%s and %s both hold a lease", holder, r.id)
		}
		holder = r.id
	}
}

// checkPromotion asserts that a learner that becomes a member holds all committed entries.
func (x *explorer) checkPromotion(s *system, members []ID) {
	current := s.configurations[s.latestConfigurationIndex()]
	for _, r := range s.replicas {
		promoted := slices.Contains(members, r.id) && !slices.Contains(current, r.id)
		if promoted && r.node != nil && len(r.disk.Entries)+1 < len(s.committed) {
			x.fail(s, "%s becomes a member, and holds %d of %d entries", r.id, len(r.disk.Entries), len(s.committed)-1)
		}
	}
}

// checkSurvivesAnyLoss asserts checkSurvives for the loss of each running replica.
func (x *explorer) checkSurvivesAnyLoss(s *system) {
	for _, r := range s.replicas {
		if r.node != nil {
			x.checkSurvives(s, r.id)
		}
	}
}

// checkSurvives asserts that after a power loss of all replicas and the loss of one disk, the remaining disks hold
// all committed entries, and a replica that holds them can be elected. Both are derived from the protocol's rules,
// without running nodes.
func (x *explorer) checkSurvives(s *system, lost ID) {
	var remaining []*replica
	for _, r := range s.replicas {
		if r.node != nil && r.id != lost {
			remaining = append(remaining, r)
		}
	}
	failure := "no disk holds all"
	for _, r := range remaining {
		if !r.holds(s.committed) {
			continue
		}
		if x.electable(r, remaining) {
			return
		}
		failure = "no majority elects a replica that holds all"
	}
	x.fail(s, "after a power loss of all replicas and the loss of %q's disk: %s of %d entries (%s)", lost, failure,
		len(s.committed)-1, s.describe())
}

// holds reports whether a replica's disk holds all committed entries.
func (r *replica) holds(committed []string) bool {
	if len(r.disk.Entries)+1 < len(committed) {
		return false
	}
	for i, entry := range r.disk.Entries[:len(committed)-1] {
		if committed[i+1] != fmt.Sprintf("%d:%s", entry.Term, entry.Data) {
			return false
		}
	}
	return true
}

// electable reports whether a replica could win an election among the remaining replicas.
func (x *explorer) electable(candidate *replica, remaining []*replica) bool {
	active := x.activeConfigurations(candidate, remaining)
	isMember := slices.ContainsFunc(active, func(members []ID) bool { return slices.Contains(members, candidate.id) })
	if !isMember {
		return false
	}
	for _, members := range active {
		votes := 0
		for _, voter := range remaining {
			if slices.Contains(members, voter.id) && candidate.upToDateFor(voter) {
				votes++
			}
		}
		if 2*votes <= len(members) {
			return false
		}
	}
	return true
}

// activeConfigurations returns the configurations in which a candidate needs majorities, given the commit points
// carried by the votes.
func (x *explorer) activeConfigurations(candidate *replica, remaining []*replica) [][]ID {
	committedIndex := candidate.disk.HardState.CommittedConfigIndex
	for _, voter := range remaining {
		index := voter.disk.HardState.CommittedConfigIndex
		term, known := candidate.diskTerm(index)
		voterTerm, _ := voter.diskTerm(index)
		if x.disabled != votesCarryCommitPoint && known && term == voterTerm {
			committedIndex = max(committedIndex, index)
		}
	}
	active := [][]ID{candidate.founders}
	for i, entry := range candidate.disk.Entries {
		if len(entry.Members) == 0 {
			continue
		}
		if uint64(i)+1 <= committedIndex {
			active = nil
		}
		active = append(active, entry.Members)
	}
	if x.disabled == jointMajorities {
		active = active[len(active)-1:]
	}
	return active
}

// upToDateFor reports whether a candidate's disk is at least as up to date as a voter's (3.6.1).
func (r *replica) upToDateFor(voter *replica) bool {
	lastIndex, voterLastIndex := uint64(len(r.disk.Entries)), uint64(len(voter.disk.Entries))
	term, _ := r.diskTerm(lastIndex)
	voterTerm, _ := voter.diskTerm(voterLastIndex)
	return term > voterTerm || term == voterTerm && lastIndex >= voterLastIndex
}

// diskTerm returns the term of an entry on disk, or false if the entry is not there. Explored systems take no
// snapshots.
func (r *replica) diskTerm(index uint64) (term uint64, known bool) {
	if index == 0 || index > uint64(len(r.disk.Entries)) {
		return 0, index == 0
	}
	return r.disk.Entries[index-1].Term, true
}

// checkProgressAfterAnyLoss asserts checkProgress for the loss of each running replica.
func (x *explorer) checkProgressAfterAnyLoss(s *system) {
	for i, r := range s.replicas {
		if r.node != nil {
			x.progressChecks++
			x.checkProgress(s, i)
		}
	}
}

// checkProgress asserts that after the permanent loss of one replica, and with the network healed, the others elect a
// leader within 12 s that has committed all committed entries.
func (x *explorer) checkProgress(s *system, lost int) {
	const stepMs, maxSteps = 50, 240
	next := s.successor(fmt.Sprintf("%s is lost, the network heals", s.replicas[lost].id))
	next.partition = 0
	stopped := *next.replicas[lost]
	stopped.node, stopped.unsynced = nil, nil
	stopped.updateHash()
	next.replicas[lost] = &stopped
	random := rand.New(rand.NewPCG(s.hash(), 1)) // without varying random numbers, candidates could stay in lockstep forever
	for i := range next.replicas {
		x.stepReplica(next, i, func(node *Node) Ready { node.random = random.Float64; return Ready{} })
	}
	for next.heartbeats = 0; next.heartbeats < maxSteps; {
		if !x.drainEvents(next) {
			return
		}
		if next.leaderHolds(len(s.committed) - 1) {
			return
		}
		x.advanceTime(next, stepMs)
	}
	x.fail(next, "no leader (%s)", next.describe())
}

// drainEvents processes all pending events and those that they cause. It returns false, and reports a violation, if
// the number of events exceeds a limit.
func (x *explorer) drainEvents(s *system) bool {
	const maxEvents = 3000
	for events := 0; len(s.pending) > 0; events++ {
		if events > maxEvents {
			x.fail(s, "too many events, the next of which is %+v", s.pending[0].message)
			return false
		}
		x.processNextEvent(s)
	}
	return true
}

// leaderHolds reports whether a leader holds the lease and has committed all entries up to an index.
func (s *system) leaderHolds(index int) bool {
	return slices.ContainsFunc(s.replicas, func(r *replica) bool {
		return r.node != nil && r.node.HoldsLease(s.nowMs) && int(r.node.CommitIndex()) >= index
	})
}
