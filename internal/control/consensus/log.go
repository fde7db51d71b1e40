package consensus

import (
	"slices"
)

// Entry is a change in its place.
type Entry struct {
	Term    uint64
	Data    []byte // of the state machine; empty: a view's first entry, or Members
	Members []ID   // not empty: who the members are from here on
}

type pendingWrite struct {
	seq, lastIndex, configIndex uint64
	messages                    []Message
}

func (n *Node) lastIndex() uint64 { return n.snapshot.Index + uint64(len(n.entries)) }

// compactedIndex is the place behind which all entries are held.
func (n *Node) compactedIndex() uint64 { return n.snapshot.Index - uint64(len(n.retained)) }

// entriesBetween are those from a place on, up to one that is held.
func (n *Node) entriesBetween(from, to uint64) []Entry {
	all := make([]Entry, 0, to-from)
	for i := from; i < to; i++ {
		if i < n.snapshot.Index {
			all = append(all, n.retained[i-n.compactedIndex()])
		} else {
			all = append(all, n.entries[i-n.snapshot.Index])
		}
	}
	return all
}

// termAt gives the view of an entry; ok false where it is not held.
func (n *Node) termAt(i uint64) (uint64, bool) {
	switch {
	case i == n.snapshot.Index:
		return n.snapshot.Term, true
	case i < n.compactedIndex() || i > n.lastIndex():
		return 0, false
	case i == n.compactedIndex():
		return n.retainedPrevTerm, true
	case i < n.snapshot.Index:
		return n.retained[i-n.compactedIndex()-1].Term, true
	}
	return n.entries[i-n.snapshot.Index-1].Term, true
}

// persist puts on disk; messages go out once that is done.
func (n *Node) persist(w Write, after ...Message) {
	n.lastWriteSeq++
	w.Seq = n.lastWriteSeq
	if w.FirstIndex > 0 { // what an older write was to bring past here counts no more
		n.persistedIndex = min(n.persistedIndex, w.FirstIndex-1)
		for i := range n.pendingWrites {
			n.pendingWrites[i].lastIndex = min(n.pendingWrites[i].lastIndex, w.FirstIndex-1)
		}
	}
	for i := range after {
		after[i].From, after[i].Term = n.id, n.hardState.Term
	}
	settled := uint64(0)
	if w.HardState != nil {
		settled = w.HardState.CommittedConfigIndex
	}
	n.pendingWrites = append(n.pendingWrites, pendingWrite{n.lastWriteSeq, n.lastIndex(), settled, after})
	n.ready.Writes = append(n.ready.Writes, w)
}

// Persisted tells that all writes up to one are on disk.
func (n *Node) Persisted(seq uint64, nowMs int64) Ready {
	n.advanceClock(nowMs)
	for len(n.pendingWrites) > 0 && n.pendingWrites[0].seq <= seq {
		p := n.pendingWrites[0]
		n.pendingWrites = n.pendingWrites[1:]
		n.persistedIndex = max(n.persistedIndex, min(p.lastIndex, n.lastIndex()))
		n.persistedConfigIndex = max(n.persistedConfigIndex, p.configIndex)
		for _, m := range p.messages {
			if m.Term == n.hardState.Term { // else what it says has been taken back since
				n.ready.Messages = append(n.ready.Messages, m)
				if m.To == n.id {
					n.ready.Messages = n.ready.Messages[:len(n.ready.Messages)-1]
					n.step(m)
				}
			}
		}
	}
	if n.role == leader {
		n.peers[n.id].matchIndex = n.persistedIndex
		n.advanceCommitIndex()
	}
	return n.takeReady()
}

// UnpersistedWrites is how many writes are not on disk yet.
func (n *Node) UnpersistedWrites() int { return len(n.pendingWrites) }

// Propose appends a change, if this member leads; index is its place.
func (n *Node) Propose(body []byte, nowMs int64) (index uint64, o Ready) {
	n.advanceClock(nowMs)
	if n.role != leader || n.transferring {
		return 0, n.takeReady()
	}
	n.appendEntry(Entry{Term: n.hardState.Term, Data: body})
	return n.lastIndex(), n.takeReady()
}

func (n *Node) appendEntry(e Entry) {
	n.entries = append(n.entries, e)
	if len(e.Members) > 0 {
		n.configurations = append(n.configurations, configuration{n.lastIndex(), e.Members})
		n.syncPeers()
	}
	n.persist(Write{FirstIndex: n.lastIndex(), Entries: []Entry{e}})
	n.broadcastAppend()
}

// broadcastAppend sends what members lack.
func (n *Node) broadcastAppend() {
	for _, id := range n.peerIDs() {
		n.replicate(id, n.peers[id])
	}
}

func (n *Node) replicate(id ID, p *progress) {
	again := n.RetransmitMs
	if p.outgoing != nil { // a part is acknowledged before it is on disk
		again = 2 * n.HeartbeatMs
	}
	if p.sentAtMs != 0 && n.nowMs < p.sentAtMs+again || n.unresponsive(p) {
		return
	}
	if p.outgoing != nil || p.snapshotWanted || p.nextIndex <= n.compactedIndex() {
		n.sendSnapshotChunks(id, p)
		return
	}
	if p.nextIndex > n.lastIndex() && p.matchIndex == n.lastIndex() {
		return
	}
	prev := min(p.nextIndex, n.lastIndex()+1) - 1
	term, _ := n.termAt(prev)
	size, to := 0, prev
	for to < n.lastIndex() && size < 256<<10 {
		to++
		size += 64 + len(n.entriesBetween(to-1, to)[0].Data)
	}
	p.sentAtMs = n.nowMs
	n.send(Message{
		Type: MsgAppend, To: id, Index: prev, PrevTerm: term, CommitIndex: n.commitIndex,
		Entries: n.entriesBetween(prev, to),
	})
}

// advanceCommitIndex delivers what a majority has on disk.
func (n *Node) advanceCommitIndex() {
	for index := n.lastIndex(); index > n.commitIndex; index-- {
		term, _ := n.termAt(index)
		if term != n.hardState.Term {
			return
		}
		if n.hasQuorum(func(id ID) bool { p := n.peers[id]; return p != nil && p.matchIndex >= index }) {
			n.commitTo(index)
			for _, id := range n.peerIDs() { // they are to deliver it soon, too
				n.sendHeartbeat(id)
			}
			return
		}
	}
}

func (n *Node) commitTo(index uint64) {
	if index = min(index, n.lastIndex()); index <= n.commitIndex {
		return
	}
	n.commitIndex = index
	for n.appliedIndex < n.commitIndex {
		n.appliedIndex++
		e := n.entries[n.appliedIndex-n.snapshot.Index-1]
		n.ready.Committed = append(n.ready.Committed, Committed{Index: n.appliedIndex, Term: e.Term, Data: e.Data})
	}
	for len(n.configurations) > 1 && n.configurations[1].index <= n.commitIndex {
		n.configurations = n.configurations[1:]
		if at := n.configurations[0].index; at > n.hardState.CommittedConfigIndex { // else a new life would have to ask those who are out
			n.hardState.CommittedConfigIndex = at
			meta := n.hardState
			n.persist(Write{HardState: &meta})
		}
	}
	n.syncPeers()
	if n.role == leader && !n.isMember(n.id) && !n.leave.begun { // it led until it was out
		n.becomeFollower("")
	}
}

func (n *Node) stepFollowerResponse(m Message) {
	p := n.peers[m.From]
	if n.role != leader || p == nil {
		return
	}
	p.heardAtMs = n.nowMs
	switch m.Type {
	case MsgHeartbeatResponse:
		p.heartbeatAckedAtMs = max(p.heartbeatAckedAtMs, min(m.SentAtMs, n.nowMs))
		p.persistedConfigIndex = max(p.persistedConfigIndex, min(m.Index, n.lastIndex()))
		if !m.Granted { // it is back, or stays after all
			p.leaveRequestedAtMs = 0
		}
	case MsgAppendAccepted:
		p.sentAtMs = 0
		if p.outgoing != nil && m.Index >= p.outgoing.Index {
			p.outgoing, p.snapshotWanted = nil, false
		}
		p.matchIndex = max(p.matchIndex, min(m.Index, n.lastIndex()))
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		n.advanceCommitIndex()
		if n.finishTransfer(); n.role == leader {
			n.replicate(m.From, p)
		}
	case MsgAppendRejected:
		p.sentAtMs = 0
		p.matchIndex = min(p.matchIndex, m.Index) // less than it said it had: its disk was put back to an older one
		p.nextIndex = max(min(m.Index+1, p.nextIndex-1), 1)
		n.replicate(m.From, p)
	case MsgSnapshotChunkAck:
		n.stepSnapshotChunkAck(m, p)
	case MsgSnapshotRequest:
		p.sentAtMs, p.outgoing, p.snapshotWanted = 0, nil, true
		n.replicate(m.From, p)
	}
}

// stepAppend takes entries in if those before them are held, and drops what differs.
func (n *Node) stepAppend(m Message) {
	term, held := n.termAt(m.Index)
	if m.Index < n.snapshot.Index { // what a snapshot stands for was delivered, so it is the same
		skip := n.snapshot.Index - m.Index
		if uint64(len(m.Entries)) < skip {
			n.persist(Write{}, Message{Type: MsgAppendAccepted, To: m.From, Index: n.snapshot.Index}) // behind what is being written
			return
		}
		m.Index, m.Entries, term, held = n.snapshot.Index, m.Entries[skip:], n.snapshot.Term, true
		m.PrevTerm = term
	}
	if !held || term != m.PrevTerm {
		n.send(Message{Type: MsgAppendRejected, To: m.From, Index: max(n.commitIndex, min(n.lastIndex(), m.Index-1))})
		return
	}
	at, entries := m.Index, m.Entries
	for len(entries) > 0 {
		if v, ok := n.termAt(at + 1); !ok || v != entries[0].Term {
			break
		}
		at, entries = at+1, entries[1:]
	}
	end := m.Index + uint64(len(m.Entries))
	reply := Message{Type: MsgAppendAccepted, To: m.From, Index: end}
	if len(entries) == 0 {
		n.persist(Write{}, reply) // behind what is being written
	} else {
		if at+1 <= n.commitIndex {
			panic("ratchet: what was delivered is to be trimmed")
		}
		n.entries = append(n.entries[:at-n.snapshot.Index], entries...)
		n.configurations = slices.DeleteFunc(n.configurations, func(config configuration) bool { return config.index > at })
		for i, e := range entries {
			if len(e.Members) > 0 {
				n.configurations = append(n.configurations, configuration{at + uint64(i) + 1, e.Members})
			}
		}
		n.persist(Write{FirstIndex: at + 1, Entries: slices.Clone(entries)}, reply)
	}
	n.commitTo(min(m.CommitIndex, end))
}

// CommittedAfter gives the delivered entries behind an index; ok false where a snapshot stands for some of them.
func (n *Node) CommittedAfter(after uint64) (bodies [][]byte, ok bool) {
	if after < n.compactedIndex() || after > n.appliedIndex {
		return nil, false
	}
	for _, e := range n.entriesBetween(after, n.appliedIndex) {
		bodies = append(bodies, e.Data)
	}
	return bodies, true
}

// LatestSnapshot is the newest snapshot.
func (n *Node) LatestSnapshot() Snapshot { return n.snapshot }

// SinceSnapshot is how many entries were delivered since the newest snapshot, and their bytes.
func (n *Node) SinceSnapshot() (entries uint64, bytes int) {
	for _, e := range n.entries[:n.appliedIndex-n.snapshot.Index] {
		bytes += len(e.Data)
	}
	return n.appliedIndex - n.snapshot.Index, bytes
}
