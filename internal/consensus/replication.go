package consensus

import "slices"

const (
	maxAppendBytes     = 256 << 10 // of entries in one message, if there is more than one
	entryOverheadBytes = 64        // added to an entry's data when they are counted
)

// Propose appends data for the state machine to the log. It returns the index where the data will be committed, if this
// leader's term lasts until then; 0 if this node does not lead, is transferring its leadership, or has a stalled disk that as
// many writes wait for as may.
func (n *Node) Propose(data []byte, nowMs int64) (index uint64, ready Ready) {
	n.advanceClock(nowMs)
	if n.role != leader || n.leadership.transferring || n.diskBacklogFull() {
		return 0, n.takeReady()
	}
	n.appendEntry(Entry{Term: n.hardState.Term, Data: data})
	return n.log.lastIndex(), n.takeReady()
}

// appendEntry appends an entry to a leader's log and sends it.
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

// replicate sends a member or learner the entries that it lacks, or chunks of a snapshot if they are compacted. Only one
// message of entries is in flight at a time.
func (n *Node) replicate(id ID, p *progress) {
	retransmitMs := n.RetransmitMs
	if p.outgoing != nil { // chunks are acknowledged before they are on disk, so two heartbeats are long enough to wait
		retransmitMs = 2 * n.HeartbeatMs
	}
	if p.sentAtMs != 0 && n.nowMs < p.sentAtMs+retransmitMs || n.unresponsive(p) {
		return
	}
	if p.outgoing != nil || p.snapshotWanted || p.nextIndex <= n.log.compactedIndex() {
		n.sendSnapshotChunks(id, p)
		return
	}
	if p.nextIndex > n.log.lastIndex() && p.matchIndex == n.log.lastIndex() {
		return
	}
	n.sendEntries(id, p)
}

// sendEntries sends the entries from nextIndex on, as many as a message takes. It may be none: the answer then tells
// what the member holds.
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
		Entries:     n.log.between(prevIndex, through),
	})
}

// stepAppend takes in entries that follow this log, and replaces those that differ (3.5).
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
	if index, entries := n.skipPresent(m.Index, m.Entries); len(entries) == 0 {
		n.persist(Write{}, accepted) // once the entries that it repeats are on disk
	} else {
		n.replaceAfter(index, entries, accepted)
	}
	n.commitTo(min(m.CommitIndex, through))
}

// skipCompacted removes the entries that the snapshot replaces: they were committed, so they are the same. It returns
// false if the message holds no others.
func (n *Node) skipCompacted(m *Message) bool {
	skip := n.log.snapshot.Index - m.Index
	if uint64(len(m.Entries)) < skip {
		return false
	}
	m.Index, m.PrevTerm, m.Entries = n.log.snapshot.Index, n.log.snapshot.Term, m.Entries[skip:]
	return true
}

// skipPresent returns the first of the entries behind index that is not in the log, all after it, and the index before it.
func (n *Node) skipPresent(index uint64, entries []Entry) (uint64, []Entry) {
	for len(entries) > 0 {
		if term, known := n.log.term(index + 1); !known || term != entries[0].Term {
			break
		}
		index, entries = index+1, entries[1:]
	}
	return index, entries
}

// replaceAfter replaces all entries behind index.
func (n *Node) replaceAfter(index uint64, entries []Entry, accepted Message) {
	if index < n.commitIndex {
		panic("consensus: an append would replace committed entries")
	}
	n.log.entries = append(n.log.entries[:index-n.log.snapshot.Index], entries...)
	n.configurations = slices.DeleteFunc(n.configurations, func(config configuration) bool { return config.index > index })
	n.addConfigurations(index, entries)
	n.persist(Write{FirstIndex: index + 1, Entries: slices.Clone(entries)}, accepted)
}

// stepAppendAccepted notes what a member has on disk, and goes on behind it.
func (n *Node) stepAppendAccepted(m Message) {
	p := n.responder(m)
	if p == nil {
		return
	}
	p.sentAtMs = 0
	if p.outgoing != nil && m.Index >= p.outgoing.Index {
		p.outgoing, p.snapshotWanted = nil, false
	}
	p.matchIndex = max(p.matchIndex, min(m.Index, n.log.lastIndex()))
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.advanceCommitIndex()
	n.finishTransfer()
	if n.role == leader {
		n.replicate(m.From, p)
	}
}

// stepAppendRejected goes back to where the member's log may be the same. matchIndex falls, too, if the member's disk
// was replaced by an older copy.
func (n *Node) stepAppendRejected(m Message) {
	p := n.responder(m)
	if p == nil {
		return
	}
	p.sentAtMs = 0
	p.matchIndex = min(p.matchIndex, m.Index)
	p.nextIndex = max(min(m.Index+1, p.nextIndex-1), 1)
	n.replicate(m.From, p)
}

// advanceCommitIndex commits what a majority has on disk, if that ends with an entry of the current term (3.6.2).
func (n *Node) advanceCommitIndex() {
	for index := n.log.lastIndex(); index > n.commitIndex; index-- {
		if term, _ := n.log.term(index); term != n.hardState.Term {
			return
		}
		if !n.hasQuorum(func(id ID) bool { p := n.peers[id]; return p != nil && p.matchIndex >= index }) {
			continue
		}
		n.commitTo(index)
		for _, id := range n.peerIDs() { // they are to apply it soon, too
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
	if n.role == leader && !n.isMember(n.id) && !n.leave.started() { // it leads until it is removed (4.2.2)
		n.becomeFollower("")
	}
}
