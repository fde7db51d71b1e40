package consensus

// HardState is what a member must have on disk before it acts on it (3.8).
type HardState struct {
	Term                 uint64
	Vote                 ID     // who got this member's vote in Term; empty: nobody
	CommittedConfigIndex uint64 // index of the newest configuration that is known to be committed
}

// Write is to be put on disk atomically, and after all writes with a smaller Seq.
type Write struct {
	Seq            uint64
	HardState      *HardState // nil: unchanged
	FirstIndex     uint64     // index of the first of Entries, which replace all from there on; 0: no entries
	Entries        []Entry
	Snapshot       *Snapshot // replaces all entries up to its index; nil: none
	CompactThrough uint64    // entries up to here are no longer needed
}

// Ready is what a call asks its caller to do: writes and committed entries in their order, messages in any.
type Ready struct {
	Writes    []Write
	Messages  []Message
	Committed []Committed
}

// Committed is an entry that every member applies at Index, or a snapshot that replaces all state up to Index.
type Committed struct {
	Index    uint64
	Term     uint64
	Data     []byte    // empty: nothing for the state machine
	Snapshot *Snapshot // nil: an entry
}

// pendingWrite is a write that is not on disk yet, and what follows from it once it is.
type pendingWrite struct {
	seq           uint64
	requestedAtMs int64
	lastIndex     uint64    // last entry of the log with this write
	configIndex   uint64    // HardState.CommittedConfigIndex, if the write holds a hard state
	messages      []Message // to be sent then
}

// takeReady empties n.ready: each exported call returns it once, so that nothing is written, sent or applied twice.
func (n *Node) takeReady() Ready {
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// send sends a message that promises nothing that has to be on disk first.
func (n *Node) send(m Message) {
	m.From, m.Term = n.id, n.hardState.Term
	n.ready.Messages = append(n.ready.Messages, m)
}

// persist asks for a write. The messages are sent once it is on disk.
func (n *Node) persist(write Write, after ...Message) {
	n.lastWriteSeq++
	write.Seq = n.lastWriteSeq
	if write.FirstIndex > 0 {
		n.truncatePending(write.FirstIndex - 1)
	}
	for i := range after {
		after[i].From, after[i].Term = n.id, n.hardState.Term
	}
	pending := pendingWrite{seq: write.Seq, requestedAtMs: n.nowMs, lastIndex: n.log.lastIndex(), messages: after}
	if write.HardState != nil {
		pending.configIndex = write.HardState.CommittedConfigIndex
	}
	n.pendingWrites = append(n.pendingWrites, pending)
	n.ready.Writes = append(n.ready.Writes, write)
}

// persistHardState asks for a write of the hard state.
func (n *Node) persistHardState(after ...Message) {
	hardState := n.hardState
	n.persist(Write{HardState: &hardState}, after...)
}

// truncatePending has earlier writes count up to lastIndex only: the entries behind are about to be replaced.
func (n *Node) truncatePending(lastIndex uint64) {
	n.persistedIndex = min(n.persistedIndex, lastIndex)
	for i := range n.pendingWrites {
		n.pendingWrites[i].lastIndex = min(n.pendingWrites[i].lastIndex, lastIndex)
	}
}

// Persisted reports that all writes up to Seq seq are on disk.
func (n *Node) Persisted(seq uint64, nowMs int64) Ready {
	n.advanceClock(nowMs)
	for len(n.pendingWrites) > 0 && n.pendingWrites[0].seq <= seq {
		done := n.pendingWrites[0]
		n.pendingWrites = n.pendingWrites[1:]
		n.persistedIndex = max(n.persistedIndex, min(done.lastIndex, n.log.lastIndex()))
		n.persistedConfigIndex = max(n.persistedConfigIndex, done.configIndex)
		n.releaseMessages(done.messages)
	}
	if n.role == leader {
		n.peers[n.id].matchIndex = n.persistedIndex
		n.advanceCommitIndex()
	}
	return n.takeReady()
}

// releaseMessages sends what waited for a write, and takes in what this node sent to itself. Messages of an earlier term
// are void.
func (n *Node) releaseMessages(messages []Message) {
	for _, m := range messages {
		switch {
		case m.Term != n.hardState.Term:
		case m.To == n.id:
			n.step(m)
		default:
			n.ready.Messages = append(n.ready.Messages, m)
		}
	}
}

// UnpersistedWrites is the number of writes that Persisted has not reported yet.
func (n *Node) UnpersistedWrites() int { return len(n.pendingWrites) }
