package consensus

const (
	// quorumTimeoutLeases is the number of lease durations after the end of its own lease at which a leader steps down.
	quorumTimeoutLeases = 2
	// learnerTimeoutLeases is the number of lease durations of silence after which a leader stops tracking a learner.
	learnerTimeoutLeases = 4
)

// leadershipState is a leader's state for its term, apart from the progress of its peers.
type leadershipState struct {
	startedAtMs         int64  // when this node was elected
	termStartIndex      uint64 // index of the first entry of the leader's term; 0 if this node is not leader
	nextHeartbeatAtMs   int64
	transferInProgress  bool // the leader has given up its lease for a transfer of leadership
	transferStartedAtMs int64
	transferee          ID // next leader; empty once MsgTimeoutNow has been sent to it
}

// becomeLeader makes this node the leader and appends an entry of the new term, since entries of earlier terms are
// committed only through an entry of the current term (3.6.2, 6.4).
func (n *Node) becomeLeader() {
	n.role, n.leaderID, n.leaderSeen = leader, n.id, true
	n.leadership.transferInProgress = false
	n.leadership.nextHeartbeatAtMs, n.leadership.startedAtMs = n.nowMs, n.nowMs
	n.peers = map[ID]*progress{}
	n.syncPeers()
	n.peers[n.id].matchIndex = n.persistedIndex
	first := Entry{Term: n.hardState.Term}
	if n.latestConfiguration().index == 0 { // learners learn the founding members only from the log
		first.Members = n.Members()
	}
	n.appendEntry(first)
	n.leadership.termStartIndex = n.log.lastIndex()
	n.tickLeader()
}

// tickLeader sends due heartbeats and retransmissions. The leader steps down if it has lost its quorum or if a
// transfer of leadership has timed out.
func (n *Node) tickLeader() {
	quorumLost := n.nowMs > max(n.quorumLeaseEndMs(), n.leadership.startedAtMs)+quorumTimeoutLeases*n.LeaseMs
	transferFailed := n.leadership.transferInProgress && n.nowMs > n.leadership.transferStartedAtMs+n.LeaseMs
	if quorumLost || transferFailed {
		n.becomeFollower("")
		return
	}
	n.transferIfDiskStalled()
	heartbeatDue := n.nowMs >= n.leadership.nextHeartbeatAtMs
	if heartbeatDue {
		n.leadership.nextHeartbeatAtMs = n.nowMs + n.HeartbeatMs
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if heartbeatDue && !n.leadership.transferInProgress {
			n.sendHeartbeat(id)
		}
		n.replicate(id, p)
		if p.learner && n.nowMs > p.heardAtMs+learnerTimeoutLeases*n.LeaseMs {
			delete(n.peers, id)
		}
	}
	n.promoteLearner()
}
