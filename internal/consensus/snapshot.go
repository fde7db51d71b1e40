package consensus

import "slices"

// Snapshot is a snapshot of the state machine that replaces all entries up to Index (5.1).
type Snapshot struct {
	Index, Term uint64 // of the last replaced entry
	Members     []ID   // configuration at Index
	Data        []byte // the state machine's state
}

// RestoredState is the state that a member reads from its disk.
type RestoredState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // entries from Snapshot.Index+1
}

// ApplyWrite updates r to the contents of the disk after a write.
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

// Compact replaces the entries up to an index by a snapshot of the state machine at that index. At most retain of
// these entries, up to RetainedBytes, stay in memory for lagging members. Compact does nothing if the index is not
// committed yet or is already covered by the snapshot.
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
	n.log.retainedEntries = append(n.log.retainedEntries, n.log.entries[:compacted]...)
	n.log.entries = slices.Clone(n.log.entries[compacted:])
	n.log.snapshot = Snapshot{Index: index, Term: term, Members: members, Data: state}
	n.trimRetained(int(retain))
	snapshot := n.log.snapshot
	n.persist(Write{Snapshot: &snapshot, CompactThrough: index})
	return n.takeReady()
}

// trimRetained discards compacted entries beyond the given number or RetainedBytes. Entries that follow a snapshot in
// transfer to a member are kept up to TransferRetainedBytes: otherwise the member would need another snapshot after
// receiving this one.
func (n *Node) trimRetained(retain int) {
	transferIndex := n.log.snapshot.Index
	for _, p := range n.peers {
		if p.outgoingTransfer != nil {
			transferIndex = min(transferIndex, p.outgoingTransfer.Index)
		}
	}
	retainedEntries, bytes := n.log.retainedEntries, 0
	for i := len(retainedEntries) - 1; i >= 0; i-- {
		bytes += len(retainedEntries[i].Data)
		recent := len(retainedEntries)-i <= retain && bytes <= n.RetainedBytes
		followsTransfer := n.log.compactedIndex()+uint64(i) >= transferIndex && bytes <= n.TransferRetainedBytes
		if !recent && !followsTransfer {
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
		n.reapplyFromSnapshot(&snapshot, from)
	} else {
		n.advanceToSnapshot(&snapshot, from)
	}
}

// reapplyFromSnapshot replaces a wrong state by the snapshot, and returns all entries after it that had been applied
// for the caller to apply again.
func (n *Node) reapplyFromSnapshot(snapshot *Snapshot, from ID) {
	n.persist(Write{Snapshot: snapshot, CompactThrough: snapshot.Index},
		Message{Type: MsgAppendAccepted, To: from, Index: n.commitIndex})
	for index := snapshot.Index + 1; index <= n.appliedIndex; index++ {
		entry := n.log.entry(index)
		n.ready.Committed = append(n.ready.Committed, Committed{Index: index, Term: entry.Term, Data: entry.Data})
	}
}

// advanceToSnapshot moves the commit index forward to a snapshot that is ahead of it.
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

// RequestSnapshot makes this node request the leader's snapshot. It is called when the state built from the log is
// wrong.
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
