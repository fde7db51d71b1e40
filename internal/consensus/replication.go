package consensus

import "slices"

const (
	maxAppendBytes     = 256 << 10 // a message with entries of at least this size takes no further entry
	entryOverheadBytes = 64        // size that each entry counts for in addition to its data
)

// Propose appends data for the state machine to the log. It returns the index at which the data will be committed if
// this leader's term lasts until then. It returns 0 if this node is not the leader, is transferring its leadership,
// or has reached maxPendingWrites because its disk is stalled.
func (n *Node) Propose(data []byte, nowMs int64) (index uint64, ready Ready) {
	n.advanceClock(nowMs)
	if n.role != leader || n.leadership.transferInProgress || n.diskBacklogFull() {
		return 0, n.takeReady()
	}
	n.appendEntry(Entry{Term: n.hardState.Term, Data: data})
	return n.log.lastIndex(), n.takeReady()
}

// appendEntry appends an entry to the leader's log and replicates it.
func (n *Node) appendEntry(entry Entry) {
	n.log.entries = append(n.log.entries, entry)
	if len(entry.Members) > 0 {
		n.configurations = append(n.configurations, configuration{n.log.lastIndex(), entry.Members})
		n.syncPeers()
	}
	n.persist(Write{FirstIndex: n.log.lastIndex(), Entries: []Entry{entry}})
	for _, id := range n.peerIDs() {
		n.replicate(id, n.peers[id])
	}
}

// replicate sends a peer the entries that it lacks, or chunks of a snapshot if these entries are compacted. At most
// one message with entries is in flight per peer.
func (n *Node) replicate(id ID, p *progress) {
	retransmitMs := n.RetransmitMs
	if p.outgoingTransfer != nil { // chunks are acknowledged before they are on disk, so two heartbeat intervals suffice
		retransmitMs = 2 * n.HeartbeatMs
	}
	if p.sentAtMs != 0 && n.nowMs < p.sentAtMs+retransmitMs || n.unresponsive(p) {
		return
	}
	if p.outgoingTransfer != nil || p.snapshotWanted || p.nextIndex <= n.log.compactedIndex() {
		n.sendSnapshotChunks(id, p)
		return
	}
	if p.nextIndex > n.log.lastIndex() && p.matchIndex == n.log.lastIndex() {
		return
	}
	n.sendEntries(id, p)
}

// sendEntries sends the entries from nextIndex, up to the size limit of a message. The message may hold no entries:
// the response then shows what the peer's log holds.
func (n *Node) sendEntries(id ID, p *progress) {
	prevIndex := min(p.nextIndex, n.log.lastIndex()+1) - 1
	prevTerm, _ := n.log.term(prevIndex)
	through, bytes := prevIndex, 0
	for through < n.log.lastIndex() && bytes < maxAppendBytes {
		through++
		bytes += entryOverheadBytes + len(n.log.entry(through).Data)
	}
	p.sentAtMs = n.nowMs
	n.send(Message{
		Type:        MsgAppend,
		To:          id,
		Index:       prevIndex,
		PrevTerm:    prevTerm,
		CommitIndex: n.commitIndex,
		Entries:     n.log.entriesBetween(prevIndex, through),
	})
}

// stepAppend handles entries from the leader, and replaces conflicting entries in this log (3.5).
func (n *Node) stepAppend(m Message) {
	if !n.acceptLeader(m.From) || n.diskBacklogFull() {
		return
	}
	if m.Index < n.log.snapshot.Index && !n.skipCompacted(&m) {
		n.persist(Write{}, Message{Type: MsgAppendAccepted, To: m.From, Index: n.log.snapshot.Index})
		return
	}
	if term, known := n.log.term(m.Index); !known || term != m.PrevTerm {
		n.send(Message{Type: MsgAppendRejected, To: m.From, Index: max(n.commitIndex, min(n.log.lastIndex(), m.Index-1))})
		return
	}
	through := m.Index + uint64(len(m.Entries))
	accepted := Message{Type: MsgAppendAccepted, To: m.From, Index: through}
	if index, entries := n.skipExisting(m.Index, m.Entries); len(entries) == 0 {
		n.persist(Write{}, accepted) // after the pending writes, which may hold the repeated entries
	} else {
		n.replaceAfter(index, entries, accepted)
	}
	n.commitTo(min(m.CommitIndex, through))
}

// skipCompacted removes from the message the entries that the snapshot replaces. They are committed, so they match
// this log. It returns false if the message ends before the snapshot's index.
func (n *Node) skipCompacted(m *Message) bool {
	skip := n.log.snapshot.Index - m.Index
	if uint64(len(m.Entries)) < skip {
		return false
	}
	m.Index, m.PrevTerm, m.Entries = n.log.snapshot.Index, n.log.snapshot.Term, m.Entries[skip:]
	return true
}

// skipExisting skips the leading entries that are already in the log. It returns the index before the first remaining
// entry, and the remaining entries.
func (n *Node) skipExisting(index uint64, entries []Entry) (uint64, []Entry) {
	for len(entries) > 0 {
		if term, known := n.log.term(index + 1); !known || term != entries[0].Term {
			break
		}
		index, entries = index+1, entries[1:]
	}
	return index, entries
}

// replaceAfter replaces all entries after index, and sends accepted once the new ones are persisted.
func (n *Node) replaceAfter(index uint64, entries []Entry, accepted Message) {
	if index < n.commitIndex {
		panic("consensus: an append would replace committed entries")
	}
	n.log.entries = append(n.log.entries[:index-n.log.snapshot.Index], entries...)
	n.configurations = slices.DeleteFunc(n.configurations, func(config configuration) bool { return config.index > index })
	n.addConfigurations(index, entries)
	n.persist(Write{FirstIndex: index + 1, Entries: slices.Clone(entries)}, accepted)
}

// stepAppendAccepted records what a peer has persisted and sends the entries that follow.
func (n *Node) stepAppendAccepted(m Message) {
	p := n.responderProgress(m)
	if p == nil {
		return
	}
	p.sentAtMs = 0
	if p.outgoingTransfer != nil && m.Index >= p.outgoingTransfer.Index {
		p.outgoingTransfer, p.snapshotWanted = nil, false
	}
	p.matchIndex = max(p.matchIndex, min(m.Index, n.log.lastIndex()))
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.advanceCommitIndex()
	n.finishTransfer()
	if n.role == leader {
		n.replicate(m.From, p)
	}
}

// stepAppendRejected moves nextIndex back to where the peer's log may match. It also lowers matchIndex, since the
// peer's disk may have been replaced by an older copy.
func (n *Node) stepAppendRejected(m Message) {
	p := n.responderProgress(m)
	if p == nil {
		return
	}
	p.sentAtMs = 0
	p.matchIndex = min(p.matchIndex, m.Index)
	p.nextIndex = max(min(m.Index+1, p.nextIndex-1), 1)
	n.replicate(m.From, p)
}

// advanceCommitIndex commits the entries that a majority has persisted, up to the last one of the current term. Entries
// of earlier terms are committed only together with one of the current term (3.6.2).
func (n *Node) advanceCommitIndex() {
	for index := n.log.lastIndex(); index > n.commitIndex; index-- {
		if term, _ := n.log.term(index); term != n.hardState.Term {
			return
		}
		if !n.hasQuorum(func(id ID) bool { p := n.peers[id]; return p != nil && p.matchIndex >= index }) {
			continue
		}
		n.commitTo(index)
		for _, id := range n.peerIDs() { // announce the new commit index at once, so that peers apply the entries soon
			n.sendHeartbeat(id)
		}
		return
	}
}

// commitTo commits the entries up to an index, as far as they are in the log.
func (n *Node) commitTo(index uint64) {
	index = min(index, n.log.lastIndex())
	if index <= n.commitIndex {
		return
	}
	n.commitIndex = index
	for n.appliedIndex < n.commitIndex {
		n.appliedIndex++
		entry := n.log.entry(n.appliedIndex)
		n.ready.Committed = append(n.ready.Committed, Committed{Index: n.appliedIndex, Term: entry.Term, Data: entry.Data})
	}
	n.commitConfigurations()
	n.syncPeers()
	if n.role == leader && !n.isMember(n.id) && !n.leave.started() { // a leader leads until its removal is committed (4.2.2)
		n.becomeFollower("")
	}
}
