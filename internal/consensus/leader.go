package consensus

const (
	// quorumLostLeases is how many leases after the end of its own a leader steps down.
	quorumLostLeases = 2
	// learnerTimeoutLeases is after how many leases of silence a leader forgets a learner.
	learnerTimeoutLeases = 4
)

// leadershipState is what a leader knows of its term, apart from its peers' progress.
type leadershipState struct {
	sinceMs             int64
	termStartIndex      uint64 // index of the first entry of its term; 0: no leader
	nextHeartbeatAtMs   int64
	transferring        bool // its lease is over, and transferee is to be the next leader
	transferStartedAtMs int64
	transferee          ID // empty once it has been told
}

// becomeLeader begins to lead with an entry of the new term, since only such an entry can commit those before it
// (3.6.2, 6.4).
func (n *Node) becomeLeader() {
	n.role, n.leaderID, n.leaderSeen = leader, n.id, true
	n.leadership.transferring = false
	n.leadership.nextHeartbeatAtMs, n.leadership.sinceMs = n.nowMs, n.nowMs
	n.peers = map[ID]*progress{}
	n.syncPeers()
	n.peers[n.id].matchIndex = n.persistedIndex
	first := Entry{Term: n.hardState.Term}
	if n.latestConfiguration().index == 0 { // learners have no other way to learn the founders
		first.Members = n.Members()
	}
	n.appendEntry(first)
	n.leadership.termStartIndex = n.log.lastIndex()
	n.tickLeader()
}

// tickLeader sends what is due, and steps down if the lease was lost or a transfer of leadership failed.
func (n *Node) tickLeader() {
	quorumLost := n.nowMs > max(n.leaseUntilMs(), n.leadership.sinceMs)+quorumLostLeases*n.LeaseMs
	transferFailed := n.leadership.transferring && n.nowMs > n.leadership.transferStartedAtMs+n.LeaseMs
	if quorumLost || transferFailed {
		n.becomeFollower("")
		return
	}
	n.handOverIfDiskStalled()
	heartbeatDue := n.nowMs >= n.leadership.nextHeartbeatAtMs
	if heartbeatDue {
		n.leadership.nextHeartbeatAtMs = n.nowMs + n.HeartbeatMs
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if heartbeatDue && !n.leadership.transferring {
			n.sendHeartbeat(id)
		}
		n.replicate(id, p)
		if p.learner && n.nowMs > p.heardAtMs+learnerTimeoutLeases*n.LeaseMs {
			delete(n.peers, id)
		}
	}
	n.promoteLearner()
}
