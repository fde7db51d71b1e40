package consensus

// TransferLeadership gives up the leader's lease and transfers leadership to the member with the longest log (3.10).
// It does nothing if there is no suitable member or this node is not the leader.
func (n *Node) TransferLeadership(nowMs int64) Ready {
	n.advanceClock(nowMs)
	n.startTransfer()
	return n.takeReady()
}

// CanTransferLeadership reports whether TransferLeadership would have an effect.
func (n *Node) CanTransferLeadership() bool {
	return n.role == leader && !n.leadership.transferInProgress && n.bestTransferee() != ""
}

func (n *Node) startTransfer() {
	if n.role != leader || n.leadership.transferInProgress {
		return
	}
	transferee := n.bestTransferee()
	if transferee == "" {
		return
	}
	n.leadership.transferInProgress, n.leadership.transferee = true, transferee
	n.leadership.transferStartedAtMs = n.nowMs
	n.finishTransfer()
}

// bestTransferee returns the member with the longest log among those heard from within LeaseMs, preferring members
// that are not leaving. It returns an empty ID if there is none.
func (n *Node) bestTransferee() ID {
	best := ID("")
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if p.learner || n.nowMs >= p.heardAtMs+n.LeaseMs {
			continue
		}
		if best == "" || n.betterTransferee(id, best) {
			best = id
		}
	}
	return best
}

// betterTransferee reports whether leadership should rather go to id than to other.
func (n *Node) betterTransferee(id, other ID) bool {
	if n.isLeaving(id) != n.isLeaving(other) {
		return n.isLeaving(other)
	}
	return n.peers[id].matchIndex > n.peers[other].matchIndex
}

// finishTransfer tells the transferee to start its election once it holds the whole log. Before that, members with
// longer logs would refuse to vote for it.
func (n *Node) finishTransfer() {
	transferee := n.leadership.transferee
	if !n.leadership.transferInProgress || transferee == "" {
		return
	}
	if p := n.peers[transferee]; p == nil || p.matchIndex < n.log.lastIndex() {
		return
	}
	n.leadership.transferee = ""
	n.send(Message{Type: MsgTimeoutNow, To: transferee})
	if !n.isMember(n.id) { // the new leader will not contact a removed member
		n.becomeFollower(transferee)
	}
}

// stepTimeoutNow starts an election on behalf of the leader. There is no Pre-Vote, since the leader has given up its
// lease.
func (n *Node) stepTimeoutNow(m Message) {
	if n.role != leader && m.From == n.leaderID && n.isMember(n.id) {
		n.campaign(campaignTransfer)
	}
}
