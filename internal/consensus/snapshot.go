package consensus

import "slices"

// Snapshot replaces all entries up to Index (5.1).
type Snapshot struct {
	Index, Term uint64 // of the last entry that it replaces
	Members     []ID   // the configuration at Index
	Data        []byte // the state machine's state
}

// RestoredState is what a member's disk holds.
type RestoredState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // from Snapshot.Index+1 on
}

// ApplyWrite changes r to what the disk holds after a write.
func (r *RestoredState) ApplyWrite(w Write) {
	if w.HardState != nil {
		r.HardState = *w.HardState
	}
	if w.Snapshot != nil {
		replaced := w.Snapshot.Index - min(w.Snapshot.Index, r.Snapshot.Index)
		r.Entries = slices.Clone(r.Entries[min(uint64(len(r.Entries)), replaced):])
		r.Snapshot = *w.Snapshot
	}
	if w.FirstIndex > 0 {
		kept := w.FirstIndex - 1 - r.Snapshot.Index
		r.Entries = append(slices.Clone(r.Entries[:kept]), w.Entries...)
	}
}

// Compact replaces the entries up to an index by a snapshot of the state machine at that index. At most retain of them,
// and RetainedBytes, stay in memory for members that lag. An index that is not committed yet, or is in the snapshot
// already, changes nothing.
func (n *Node) Compact(index uint64, state []byte, retain uint64, nowMs int64) Ready {
	n.advanceClock(nowMs)
	if index > n.appliedIndex || index <= n.log.snapshot.Index {
		return n.takeReady()
	}
	term, _ := n.log.term(index)
	compacted := index - n.log.snapshot.Index
	members := n.log.snapshot.Members
	for _, entry := range n.log.entries[:compacted] {
		if len(entry.Members) > 0 {
			members = entry.Members
		}
	}
	n.log.retained = append(n.log.retained, n.log.entries[:compacted]...)
	n.log.entries = slices.Clone(n.log.entries[compacted:])
	n.log.snapshot = Snapshot{Index: index, Term: term, Members: members, Data: state}
	n.trimRetained(int(retain))
	snapshot := n.log.snapshot
	n.persist(Write{Snapshot: &snapshot, CompactThrough: index})
	return n.takeReady()
}

// trimRetained forgets compacted entries beyond the given number or RetainedBytes. Those behind a snapshot that a member
// is receiving stay up to TransferRetainedBytes: else that member would need another snapshot once it has this one.
func (n *Node) trimRetained(retain int) {
	transferIndex := n.log.snapshot.Index
	for _, p := range n.peers {
		if p.outgoing != nil {
			transferIndex = min(transferIndex, p.outgoing.Index)
		}
	}
	retained, bytes := n.log.retained, 0
	for i := len(retained) - 1; i >= 0; i-- {
		bytes += len(retained[i].Data)
		recent := len(retained)-i <= retain && bytes <= n.RetainedBytes
		behindTransfer := n.log.compactedIndex()+uint64(i) >= transferIndex && bytes <= n.TransferRetainedBytes
		if !recent && !behindTransfer {
			n.log.dropRetained(i + 1)
			return
		}
	}
}

// installSnapshot replaces the log up to the snapshot's index.
func (n *Node) installSnapshot(snapshot Snapshot, from ID) {
	var tail []Entry
	term, known := n.log.term(snapshot.Index)
	matches := known && term == snapshot.Term
	if matches {
		tail = slices.Clone(n.log.entries[snapshot.Index-n.log.snapshot.Index:])
	}
	alreadyCommitted := snapshot.Index <= n.commitIndex
	if alreadyCommitted && !matches {
		n.ChunksIgnored++
		return
	}
	n.SnapshotsInstalled++
	n.snapshotWanted = false
	n.log = raftLog{snapshot: snapshot, retainedPrevTerm: snapshot.Term, entries: tail}
	n.ready.Committed = append(n.ready.Committed, Committed{Index: snapshot.Index, Term: snapshot.Term, Snapshot: &snapshot})
	if alreadyCommitted {
		n.reapply(&snapshot, from)
	} else {
		n.advanceToSnapshot(&snapshot, from)
	}
}

// reapply goes on with a state that replaces a wrong one: all entries behind it that were handed out are handed out
// again.
func (n *Node) reapply(snapshot *Snapshot, from ID) {
	n.persist(Write{Snapshot: snapshot, CompactThrough: snapshot.Index},
		Message{Type: MsgAppendAccepted, To: from, Index: n.commitIndex})
	for index := snapshot.Index + 1; index <= n.appliedIndex; index++ {
		entry := n.log.entry(index)
		n.ready.Committed = append(n.ready.Committed, Committed{Index: index, Term: entry.Term, Data: entry.Data})
	}
}

// advanceToSnapshot goes on behind a snapshot that is ahead of what was committed here.
func (n *Node) advanceToSnapshot(snapshot *Snapshot, from ID) {
	n.commitIndex, n.appliedIndex = snapshot.Index, snapshot.Index
	n.configurations = []configuration{{snapshot.Index, snapshot.Members}}
	n.addConfigurations(snapshot.Index, n.log.entries)
	n.persistedIndex = max(n.persistedIndex, min(snapshot.Index, n.log.lastIndex()))
	n.persist(Write{
		Snapshot:       snapshot,
		CompactThrough: snapshot.Index,
		FirstIndex:     snapshot.Index + 1,
		Entries:        slices.Clone(n.log.entries),
	}, Message{Type: MsgAppendAccepted, To: from, Index: snapshot.Index})
}

// RequestSnapshot has this node ask for the leader's snapshot, since the state that its log has built is wrong.
func (n *Node) RequestSnapshot(nowMs int64) Ready {
	n.advanceClock(nowMs)
	n.snapshotWanted, n.nextSnapshotRequestAtMs = true, 0
	return n.takeReady()
}

func (n *Node) tickSnapshotRequest() {
	if n.snapshotWanted && n.role == follower && n.leaderID != "" && n.nowMs >= n.nextSnapshotRequestAtMs {
		n.nextSnapshotRequestAtMs = n.nowMs + n.LeaseMs
		n.send(Message{Type: MsgSnapshotRequest, To: n.leaderID})
	}
}
