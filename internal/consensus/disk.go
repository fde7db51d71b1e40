package consensus

// maxPendingWrites bounds the memory that writes take which a stalled disk has not confirmed. Beyond it a leader takes no more
// proposals, and a follower no more entries; the leader sends them again.
const maxPendingWrites = 1024

// diskStalled says whether the oldest pending write has waited for the disk for longer than DiskTimeoutMs.
func (n *Node) diskStalled() bool {
	return len(n.pendingWrites) > 0 && n.nowMs > n.pendingWrites[0].requestedAtMs+n.DiskTimeoutMs
}

// diskBacklogFull says whether as many writes are pending as may be.
func (n *Node) diskBacklogFull() bool { return len(n.pendingWrites) >= maxPendingWrites }

// handOverIfDiskStalled has a leader whose disk has stalled transfer its leadership, if the others' disks have taken what its own
// has not: a majority of them can elect another leader without this node's disk. Otherwise it goes on, since a leader without a
// disk is better than none.
func (n *Node) handOverIfDiskStalled() {
	if n.leadership.transferring || !n.diskStalled() || !n.hasQuorum(n.outrunsOwnDisk) {
		return
	}
	n.DiskHandovers++
	n.startTransfer()
}

// outrunsOwnDisk says whether another member was heard within a lease and has entries on disk that this node's disk has not.
func (n *Node) outrunsOwnDisk(id ID) bool {
	p := n.peers[id]
	return id != n.id && p != nil && p.matchIndex > n.persistedIndex && n.nowMs < p.heardAtMs+n.LeaseMs
}
