package consensus

import "slices"

// Counters count since the node was created.
type Counters struct {
	ChunksSent         int64
	ChunksIgnored      int64 // chunks and acknowledgements that were late, out of order or invalid
	SnapshotTransfers  int64 // snapshots that began to be sent
	SnapshotsInstalled int64
	DiskHandovers      int64 // transfers of leadership that began since this node's disk had stalled
	DiscardedMessages  int64 // for another ID, from one that is no member, or from more learners than are tracked
}

// Status is a copy of a node's state, for operators.
type Status struct {
	ID, Leader                 ID // Leader is empty if unknown
	Term                       uint64
	SnapshotIndex, CommitIndex uint64
	LastIndex, PersistedIndex  uint64
	Members                    []ID
	Learners                   []ID // of a leader
	HoldsLease                 bool
	DiscardedMessages          int64
}

// Status returns the node's state.
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

// learners returns the learners that a leader tracks, in order.
func (n *Node) learners() (learners []ID) {
	for _, id := range n.peerIDs() {
		if n.peers[id].learner {
			learners = append(learners, id)
		}
	}
	return learners
}
