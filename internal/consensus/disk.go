package consensus

// maxPendingWrites is the maximum number of writes that the disk has not confirmed yet. It bounds their memory while
// the disk is stalled. At the limit, a leader rejects proposals and a follower drops appended entries, which the
// leader retransmits.
const maxPendingWrites = 1024

// diskStalled reports whether the oldest pending write has been waiting for more than DiskTimeoutMs.
func (n *Node) diskStalled() bool {
	return len(n.pendingWrites) > 0 && n.nowMs > n.pendingWrites[0].requestedAtMs+n.DiskTimeoutMs
}

// diskBacklogFull reports whether the number of pending writes has reached maxPendingWrites.
func (n *Node) diskBacklogFull() bool { return len(n.pendingWrites) >= maxPendingWrites }

// transferIfDiskStalled transfers leadership if the leader's disk is stalled and a majority of members have persisted
// entries that the leader has not: they can elect another leader without this node's disk. Otherwise the leader
// continues, since a leader with a stalled disk is better than no leader.
func (n *Node) transferIfDiskStalled() {
	if n.leadership.transferInProgress || !n.diskStalled() || !n.hasQuorum(n.aheadOfLocalDisk) {
		return
	}
	n.DiskHandovers++
	n.startTransfer()
}

// aheadOfLocalDisk reports whether another member was heard from within LeaseMs and has persisted entries that this
// node has not.
func (n *Node) aheadOfLocalDisk(id ID) bool {
	p := n.peers[id]
	return id != n.id && p != nil && p.matchIndex > n.persistedIndex && n.nowMs < p.heardAtMs+n.LeaseMs
}
