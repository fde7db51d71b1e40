package consensus

import "slices"

// Counters holds event counts since the node was created.
type Counters struct {
	ChunksSent         int64
	ChunksIgnored      int64 // chunks and acknowledgements that were late, out of order or invalid
	SnapshotTransfers  int64 // snapshot transfers started
	SnapshotsInstalled int64
	DiskHandovers      int64 // leadership transfers started because this node's disk was stalled
	DiscardedMessages  int64 // messages to another ID, from non-members, or from learners beyond the tracked number
}

// Status is a copy of a node's state for operators.
type Status struct {
	ID, Leader                 ID // Leader is empty if unknown
	Term                       uint64
	SnapshotIndex, CommitIndex uint64
	LastIndex, PersistedIndex  uint64
	Members                    []ID
	Learners                   []ID // empty unless this node is the leader
	HoldsLease                 bool
	DiscardedMessages          int64
}

// Status returns the state of the node.
func (n *Node) Status(nowMs int64) Status {
	return Status{
		ID:                n.id,
		Leader:            n.leaderID,
		Term:              n.hardState.Term,
		SnapshotIndex:     n.log.snapshot.Index,
		CommitIndex:       n.commitIndex,
		LastIndex:         n.log.lastIndex(),
		PersistedIndex:    n.persistedIndex,
		Members:           slices.Clone(n.Members()),
		Learners:          n.learners(),
		HoldsLease:        n.HoldsLease(nowMs),
		DiscardedMessages: n.DiscardedMessages,
	}
}

// learners returns the learners tracked by a leader, in sorted order.
func (n *Node) learners() (learners []ID) {
	for _, id := range n.peerIDs() {
		if n.peers[id].learner {
			learners = append(learners, id)
		}
	}
	return learners
}
