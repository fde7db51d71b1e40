package consensus

import "slices"

// progress is what a leader knows of a member or learner.
type progress struct {
	nextIndex            uint64 // of the first entry to send (3.5)
	matchIndex           uint64 // its log is on disk, and equal to the leader's, up to here (3.5)
	sentAtMs             int64  // when entries or chunks were sent that are not acknowledged; 0: none
	heartbeatAckedAtMs   int64  // when the newest heartbeat that it has answered was sent
	heardAtMs            int64
	learner              bool
	outgoing             *outgoingSnapshot // nil: it gets entries
	snapshotWanted       bool              // it has asked for a snapshot, whatever its log holds
	persistedConfigIndex uint64            // the newest configuration that it has on disk as committed
	leaveRequestedAtMs   int64             // when it last said that it is leaving; 0: it is not
	leavingSinceMs       int64             // when it first said so
}

// markLeaving notes that the member has said that it is leaving.
func (p *progress) markLeaving(nowMs int64) {
	if p.leaveRequestedAtMs == 0 {
		p.leavingSinceMs = nowMs
	}
	p.leaveRequestedAtMs = nowMs
}

// syncPeers has a leader track all members of the active configurations, and no former ones.
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

// peerIDs returns all members and learners that a leader tracks but itself, in order.
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

// responder returns the progress of the sender of a response, and notes that it was heard; nil if this node does not lead
// or does not track it.
func (n *Node) responder(m Message) *progress {
	p := n.peers[m.From]
	if n.role != leader || p == nil {
		return nil
	}
	p.heardAtMs = n.nowMs
	return p
}
