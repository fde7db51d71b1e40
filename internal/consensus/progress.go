package consensus

import "slices"

// progress is a leader's view of a member or learner.
type progress struct {
	nextIndex             uint64 // index of the next entry to send (3.5)
	matchIndex            uint64 // index up to which the peer's log is persisted and matches the leader's (3.5)
	sentAtMs              int64  // when the unacknowledged entries or chunks were sent; 0 if there are none
	heartbeatAckedAtMs    int64  // send time of the newest acknowledged heartbeat
	heardAtMs             int64  // when the last message from the peer arrived
	learner               bool
	outgoingTransfer      *outgoingSnapshot // snapshot in transfer; nil if the peer receives entries
	snapshotWanted        bool              // the peer has requested a snapshot regardless of its log
	persistedConfigIndex  uint64            // newest configuration that the peer has persisted as committed
	lastLeaveRequestAtMs  int64             // time of the latest leave request; 0 if the peer is not leaving
	firstLeaveRequestAtMs int64             // time of the first leave request
}

// markLeaving records a leave request.
func (p *progress) markLeaving(nowMs int64) {
	if p.lastLeaveRequestAtMs == 0 {
		p.firstLeaveRequestAtMs = nowMs
	}
	p.lastLeaveRequestAtMs = nowMs
}

// syncPeers makes a leader track all members of the active configurations, and no removed ones.
func (n *Node) syncPeers() {
	if n.role != leader {
		return
	}
	for _, config := range n.activeConfigurations() {
		for _, member := range config.members {
			if n.peers[member] == nil {
				n.peers[member] = &progress{nextIndex: n.log.lastIndex() + 1, heardAtMs: n.nowMs}
			}
			n.peers[member].learner = false
		}
	}
	for id, p := range n.peers {
		if !n.isMember(id) && !p.learner && id != n.id {
			delete(n.peers, id)
		}
	}
}

// peerIDs returns the tracked members and learners except this node, in sorted order.
func (n *Node) peerIDs() []ID {
	ids := make([]ID, 0, len(n.peers))
	for id := range n.peers {
		if id != n.id {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// responderProgress returns the progress of the sender of a response and records that the sender was heard from. It
// returns nil if this node is not the leader or does not track the sender.
func (n *Node) responderProgress(m Message) *progress {
	p := n.peers[m.From]
	if n.role != leader || p == nil {
		return nil
	}
	p.heardAtMs = n.nowMs
	return p
}
