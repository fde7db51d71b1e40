package consensus

// HardState is the state that a member must persist before it acts on it (3.8).
type HardState struct {
	Term                 uint64
	Vote                 ID     // candidate that received this member's vote in Term; empty if none
	CommittedConfigIndex uint64 // index of the newest configuration known to be committed
}

// Write is a write to disk. The caller must perform it atomically, and after all writes with a smaller Seq.
type Write struct {
	Seq            uint64
	HardState      *HardState // nil if unchanged
	FirstIndex     uint64     // index of the first of Entries, which replace all entries from there on; 0 if there are none
	Entries        []Entry
	Snapshot       *Snapshot // replaces all entries up to its index; nil if there is none
	CompactThrough uint64    // entries up to this index are no longer needed
}

// Ready is the output of a call. The caller must perform the writes and apply the committed entries in order;
// messages may be sent in any order.
type Ready struct {
	Writes    []Write
	Messages  []Message
	Committed []Committed
}

// Committed is an entry that every member applies at Index, or a snapshot that replaces all state up to Index.
type Committed struct {
	Index    uint64
	Term     uint64
	Data     []byte    // empty if there is nothing to apply to the state machine
	Snapshot *Snapshot // nil for an entry
}

// pendingWrite is a write that is not persisted yet, with the effects that it has once it is.
type pendingWrite struct {
	seq           uint64
	requestedAtMs int64
	lastIndex     uint64    // last index of the log after this write
	configIndex   uint64    // HardState.CommittedConfigIndex if the write includes a hard state
	messages      []Message // sent once the write is persisted
}

// takeReady returns and clears n.ready. Each exported call returns the output once, so that nothing is written, sent
// or applied twice.
func (n *Node) takeReady() Ready {
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// send queues a message that does not depend on a pending write.
func (n *Node) send(m Message) {
	m.From, m.Term = n.id, n.hardState.Term
	n.ready.Messages = append(n.ready.Messages, m)
}

// persist requests a write. The messages are sent once the write is persisted.
func (n *Node) persist(write Write, heldMessages ...Message) {
	n.lastWriteSeq++
	write.Seq = n.lastWriteSeq
	if write.FirstIndex > 0 {
		n.truncatePendingWrites(write.FirstIndex - 1)
	}
	for i := range heldMessages {
		heldMessages[i].From, heldMessages[i].Term = n.id, n.hardState.Term
	}
	pending := pendingWrite{seq: write.Seq, requestedAtMs: n.nowMs, lastIndex: n.log.lastIndex(), messages: heldMessages}
	if write.HardState != nil {
		pending.configIndex = write.HardState.CommittedConfigIndex
	}
	n.pendingWrites = append(n.pendingWrites, pending)
	n.ready.Writes = append(n.ready.Writes, write)
}

// persistHardState requests a write of the hard state.
func (n *Node) persistHardState(heldMessages ...Message) {
	hardState := n.hardState
	n.persist(Write{HardState: &hardState}, heldMessages...)
}

// truncatePendingWrites limits what earlier writes persist to the entries up to lastIndex, since the entries after it
// are about to be replaced.
func (n *Node) truncatePendingWrites(lastIndex uint64) {
	n.persistedIndex = min(n.persistedIndex, lastIndex)
	for i := range n.pendingWrites {
		n.pendingWrites[i].lastIndex = min(n.pendingWrites[i].lastIndex, lastIndex)
	}
}

// Persisted reports to the node that all writes up to sequence number seq are on disk.
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

// releaseMessages sends the messages that waited for a write, and handles those that this node sent to itself.
// Messages of an earlier term are dropped.
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

// PendingWriteCount returns the number of writes not yet reported by Persisted.
func (n *Node) PendingWriteCount() int { return len(n.pendingWrites) }
