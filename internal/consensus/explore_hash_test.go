package consensus

import (
	"hash/maphash"
	"maps"
	"slices"
)

var hashSeed = maphash.MakeSeed()

// hasher hashes the state in which systems differ. State that all of them share, such as Config, is left out.
type hasher struct{ maphash.Hash }

func newHasher() *hasher {
	h := &hasher{}
	h.SetSeed(hashSeed)
	return h
}

func (h *hasher) ints(values ...int64) {
	var bytes [8]byte
	for _, value := range values {
		for i := range bytes {
			bytes[i] = byte(value >> (8 * i))
		}
		h.Write(bytes[:])
	}
}

func (h *hasher) bools(values ...bool) {
	for _, value := range values {
		if value {
			h.WriteByte(1)
		} else {
			h.WriteByte(2)
		}
	}
}

func (h *hasher) ids(ids ...ID) {
	for _, id := range ids {
		h.WriteString(string(id))
		h.WriteByte(0)
	}
	h.WriteByte(3)
}

func (h *hasher) entries(entries []Entry) {
	for _, entry := range entries {
		h.ints(int64(entry.Term))
		h.Write(entry.Data)
		h.ids(entry.Members...)
	}
	h.WriteByte(4)
}

func (h *hasher) flags(flags map[ID]bool) {
	for _, id := range slices.Sorted(maps.Keys(flags)) {
		h.ids(id)
		h.bools(flags[id])
	}
	h.WriteByte(5)
}

func (h *hasher) hardState(state *HardState) {
	h.ids(state.Vote)
	h.ints(int64(state.Term), int64(state.CommittedConfigIndex))
}

func (h *hasher) message(m *Message) {
	h.ids(m.From, m.To, m.Joiner)
	h.ints(int64(m.Type), int64(m.Term), int64(m.Index), int64(m.PrevTerm), int64(m.CommitIndex), int64(m.CommitTerm), m.SentAtMs)
	h.ints(int64(m.PreVoteRound))
	h.bools(m.PreVote, m.LeadershipTransfer, m.Granted, m.ColdStart)
	h.entries(m.Entries)
	h.bools(m.Chunk != nil)
	if m.Chunk != nil {
		h.chunk(m.Chunk)
	}
}

func (h *hasher) chunk(c *SnapshotChunk) {
	h.ints(int64(c.Index), int64(c.Term), int64(c.Size), int64(c.Offset), int64(len(c.Data)))
	h.ids(c.Members...)
	h.Write(c.Digest[:])
	h.Write(c.Data)
}

func (h *hasher) node(n *Node) {
	h.ids(n.id, n.leaderID, n.joinContact)
	h.hardState(&n.hardState)
	h.ints(int64(n.commitIndex), int64(n.persistedIndex), int64(n.persistedConfigIndex))
	h.ints(int64(n.role), n.startedAtMs, n.leaderHeardAtMs, n.nextJoinAtMs)
	h.bools(n.leaderSeen)
	h.election(&n.election)
	h.leadership(&n.leadership)
	h.ints(int64(n.leave.state), n.leave.startedAtMs, n.leave.nextRequestAtMs)
	h.entries(n.log.entries)
	for _, write := range n.pendingWrites {
		h.ints(int64(write.lastIndex), int64(write.configIndex))
		for i := range write.messages {
			h.message(&write.messages[i])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		h.ids(id)
		h.progress(n.peers[id])
	}
}

func (h *hasher) election(e *electionState) {
	h.ints(e.timeoutAtMs, int64(e.campaignType), int64(e.campaignCount), e.electionCount, int64(e.preVoteRound))
	h.bools(e.allColdStarts)
	h.flags(e.votes)
	h.flags(e.coldStarts)
}

func (h *hasher) leadership(l *leadershipState) {
	h.ints(l.startedAtMs, int64(l.termStartIndex), l.nextHeartbeatAtMs, l.transferStartedAtMs)
	h.bools(l.transferInProgress)
	h.ids(l.transferee)
}

func (h *hasher) progress(p *progress) {
	h.ints(int64(p.nextIndex), int64(p.matchIndex), int64(p.persistedConfigIndex))
	h.ints(p.sentAtMs, p.heartbeatAckedAtMs, p.heardAtMs, p.lastLeaveRequestAtMs, p.firstLeaveRequestAtMs)
	h.bools(p.learner)
}

// updateHash recomputes the hashes of a replica. It must be called after each change.
func (r *replica) updateHash() {
	h := newHasher()
	h.ids(r.id)
	h.hardState(&r.disk.HardState)
	h.entries(r.disk.Entries)
	h.bools(r.node != nil)
	r.diskHash = h.Sum64()
	if r.node != nil {
		h.node(r.node)
	}
	for _, write := range r.unsynced {
		h.ints(int64(write.FirstIndex))
		h.entries(write.Entries)
		if write.HardState != nil {
			h.hardState(write.HardState)
		}
	}
	r.hash = h.Sum64()
}

// hash identifies a system among those that an exploration has visited.
func (s *system) hash() uint64 {
	h := newHasher()
	h.ints(s.nowMs, int64(s.proposals))
	h.ints(int64(s.faults.powerLosses), int64(s.faults.losses), int64(s.faults.leaves), int64(s.faults.leaseExpiries), int64(s.faults.proposals))
	h.ids(s.unrecoveredMember, s.unreplacedMember)
	h.ints(int64(s.partition))
	for _, r := range s.replicas {
		h.ints(int64(r.hash))
	}
	for _, event := range s.pending {
		h.ints(int64(event.hash))
	}
	return h.Sum64()
}

// diskHash identifies the contents of the disks, and the assertions that apply to them.
func (s *system) diskHash() uint64 {
	hash := uint64(len(s.committed))<<32 ^ uint64(len(s.unrecoveredMember))
	for i, r := range s.replicas {
		hash = hash*1000003 ^ r.diskHash + uint64(i)
	}
	return hash
}
