package consensus

import "slices"

// Counters holds event counts since the node was created.
type Counters struct {
	ChunksSent         int64
	ChunksIgnored      int64 // chunks and acknowledgements that were late, out of order or invalid
	SnapshotTransfers  int64 // snapshot transfers started
	SnapshotsInstalled int64
	DiskHandovers      int64 // leadership transfers started because this node's disk was stalled
	Campaigns          int64 // elections and Pre-Votes that this node started
	JoinRequests       int64 // requests to a leader to track this node
	JoinsForwarded     int64 // join requests of other nodes that this node forwarded to the leader
	LearnersAdded      int64 // times that this node, as leader, started to track a learner
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
	Votes                      []ID // members that have granted their vote in the current campaign; empty unless this node is a candidate
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
		Votes:             n.votes(),
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

// votes returns the members that have granted their vote in this candidate's campaign, in sorted order.
func (n *Node) votes() (voters []ID) {
	for id, granted := range n.election.votes {
		if n.role == candidate && granted {
			voters = append(voters, id)
		}
	}
	slices.Sort(voters)
	return voters
}
