package consensus

import "github.com/zeebo/blake3"

const (
	// maxChunksInFlight is the maximum number of chunks that a leader sends beyond the last acknowledgement.
	maxChunksInFlight = 4

	// Limits on chunks received from the network.
	maxChunkBytes      = 1 << 20
	maxSnapshotBytes   = 24 << 20
	maxSnapshotMembers = 1 << 10
)

// SnapshotChunk is a chunk of a snapshot. An acknowledgement has no data, and its Offset is the number of bytes
// received.
type SnapshotChunk struct {
	Index, Term  uint64   // of the snapshot
	Members      []ID     // of the snapshot
	Digest       [16]byte // BLAKE3 of the snapshot's data, truncated
	Size, Offset uint64   // size of the snapshot's data, and position of this chunk in it, in bytes
	Data         []byte
}

// digest returns the truncated BLAKE3 hash of a snapshot's data.
func digest(data []byte) [16]byte {
	sum := blake3.Sum256(data)
	return [16]byte(sum[:16])
}

// sameSnapshot reports whether two chunks belong to the same snapshot.
func (c *SnapshotChunk) sameSnapshot(other *SnapshotChunk) bool {
	return c.Index == other.Index && c.Digest == other.Digest && c.Size == other.Size
}

// valid reports whether the sizes in a received chunk, which may be nil, are consistent and within limits.
func (c *SnapshotChunk) valid() bool {
	return c != nil && c.Size <= maxSnapshotBytes && c.Offset <= c.Size && len(c.Data) <= maxChunkBytes &&
		uint64(len(c.Data)) <= c.Size-c.Offset && len(c.Members) <= maxSnapshotMembers
}

// outgoingSnapshot is a snapshot in transfer to a peer. Offset is the number of bytes that the peer has acknowledged.
type outgoingSnapshot struct {
	SnapshotChunk
	data          []byte
	nextOffset    uint64 // offset of the next chunk to send
	retransmitted bool   // the chunk at Offset was retransmitted after the peer reported a later chunk out of order
	ackedAtMs     int64  // when Offset last changed
}

// acknowledge records that the peer has received the snapshot up to an offset.
func (s *outgoingSnapshot) acknowledge(offset, nextOffset uint64, nowMs int64) {
	s.Offset, s.nextOffset, s.retransmitted, s.ackedAtMs = offset, nextOffset, false, nowMs
}

// incomingSnapshot is a snapshot that has been received in part.
type incomingSnapshot struct {
	SnapshotChunk
	leaderTerm   uint64 // term of the sender of the last chunk
	data         []byte
	lastDataAtMs int64 // when data was last received
}

// sendSnapshotChunks sends the next chunks of a snapshot to a peer. A transfer restarts with the latest snapshot only
// if the entries that follow the one in transfer are gone.
func (n *Node) sendSnapshotChunks(id ID, p *progress) {
	if p.outgoingTransfer == nil || p.outgoingTransfer.Index < n.log.compactedIndex() {
		n.SnapshotTransfers++
		p.outgoingTransfer = newOutgoingSnapshot(n.log.snapshot)
	}
	snapshot := p.outgoingTransfer
	timedOut := p.sentAtMs != 0
	if timedOut {
		snapshot.nextOffset = snapshot.Offset
	}
	if timedOut || snapshot.Size == 0 { // even without data left to send, to make the peer repeat its acknowledgement
		n.sendChunk(id, snapshot)
	}
	windowEnd := min(snapshot.Size, snapshot.Offset+maxChunksInFlight*uint64(n.ChunkBytes))
	for snapshot.nextOffset < windowEnd {
		n.sendChunk(id, snapshot)
	}
	p.sentAtMs = n.nowMs
}

func newOutgoingSnapshot(snapshot Snapshot) *outgoingSnapshot {
	return &outgoingSnapshot{
		SnapshotChunk: SnapshotChunk{
			Index:   snapshot.Index,
			Term:    snapshot.Term,
			Members: snapshot.Members,
			Digest:  digest(snapshot.Data),
			Size:    uint64(len(snapshot.Data)),
		},
		data: snapshot.Data,
	}
}

func (n *Node) sendChunk(id ID, snapshot *outgoingSnapshot) {
	chunk := snapshot.SnapshotChunk
	chunk.Offset = snapshot.nextOffset
	chunk.Data = snapshot.data[chunk.Offset:min(chunk.Size, chunk.Offset+uint64(n.ChunkBytes))]
	snapshot.nextOffset += uint64(len(chunk.Data))
	n.ChunksSent++
	n.send(Message{Type: MsgSnapshotChunk, To: id, Chunk: &chunk, CommitIndex: n.commitIndex})
}

// stepSnapshotChunkAck sends the chunks that follow what the peer has received. A repeated offset means that a chunk
// was lost, and it is retransmitted at once. Other losses are detected by the timeout in replicate.
func (n *Node) stepSnapshotChunkAck(m Message) {
	p := n.responderProgress(m)
	if p == nil {
		return
	}
	snapshot, ack := p.outgoingTransfer, m.Chunk
	if snapshot == nil || ack == nil || !ack.sameSnapshot(&snapshot.SnapshotChunk) || ack.Offset > snapshot.Size {
		n.ChunksIgnored++
		return
	}
	// An acknowledgement with a lower offset may be delayed. It is taken as valid if the offset is 0, or if it
	// arrives so long after the last progress that it can hardly have been in flight since: half of RetransmitMs.
	restarted := ack.Offset == 0 || n.nowMs > snapshot.ackedAtMs+n.RetransmitMs/2
	switch offset := ack.Offset; {
	case offset > snapshot.Offset:
		snapshot.acknowledge(offset, max(snapshot.nextOffset, offset), n.nowMs)
	case offset < snapshot.Offset && restarted:
		snapshot.acknowledge(offset, offset, n.nowMs)
	case offset == snapshot.Offset && offset < snapshot.nextOffset && !snapshot.retransmitted:
		snapshot.nextOffset, snapshot.retransmitted = offset, true
	default:
		return
	}
	p.sentAtMs = 0
	if snapshot.Offset == snapshot.Size { // the peer is writing the snapshot to disk
		p.sentAtMs = n.nowMs
		return
	}
	n.replicate(m.From, p)
}

// stepSnapshotRequest starts sending the snapshot to a peer, from its first chunk.
func (n *Node) stepSnapshotRequest(m Message) {
	p := n.responderProgress(m)
	if p == nil {
		return
	}
	p.sentAtMs, p.outgoingTransfer, p.snapshotWanted = 0, nil, true
	n.replicate(m.From, p)
}

// stepSnapshotChunk handles a chunk of a snapshot and installs the snapshot once it is complete. Chunks that are out
// of order, belong to other snapshots or have invalid sizes change nothing.
func (n *Node) stepSnapshotChunk(m Message) {
	if !n.acceptLeader(m.From) || n.diskBacklogFull() {
		return
	}
	chunk := m.Chunk
	if !chunk.valid() {
		n.ChunksIgnored++
		return
	}
	if chunk.Index <= n.commitIndex && (!n.snapshotWanted || chunk.Index < n.log.snapshot.Index) {
		n.persist(Write{}, Message{Type: MsgAppendAccepted, To: m.From, Index: n.commitIndex}) // after the pending writes
		return
	}
	if (n.incomingTransfer == nil || !n.incomingTransfer.sameSnapshot(chunk)) && !n.startIncomingSnapshot(m) {
		return
	}
	incomingTransfer := n.incomingTransfer
	incomingTransfer.leaderTerm = m.Term
	if chunk.Offset != uint64(len(incomingTransfer.data)) {
		n.ChunksIgnored++
		n.ackChunk(m, len(incomingTransfer.data))
		return
	}
	incomingTransfer.data, incomingTransfer.lastDataAtMs = append(incomingTransfer.data, chunk.Data...), n.nowMs
	if uint64(len(incomingTransfer.data)) < incomingTransfer.Size {
		n.ackChunk(m, len(incomingTransfer.data))
		return
	}
	n.finishIncomingSnapshot(m)
}

// startIncomingSnapshot starts to receive a snapshot, in place of an incomplete one. It returns false if the chunk is
// not the first of the snapshot. It also returns false for an older snapshot from the same leader: a leader only
// moves on to newer snapshots, so the chunk is delayed, unless the newer snapshot has made no progress for two
// retransmission timeouts.
func (n *Node) startIncomingSnapshot(m Message) bool {
	chunk, current := m.Chunk, n.incomingTransfer
	late := current != nil && current.leaderTerm == m.Term && current.Index > chunk.Index &&
		n.nowMs < current.lastDataAtMs+2*n.RetransmitMs
	if late || chunk.Offset != 0 {
		n.ChunksIgnored++
		if !late {
			n.ackChunk(m, 0)
		}
		return false
	}
	n.incomingTransfer = &incomingSnapshot{SnapshotChunk: *chunk, lastDataAtMs: n.nowMs}
	n.incomingTransfer.Data = nil
	return true
}

// finishIncomingSnapshot installs a complete snapshot. If the digest does not match, the transfer restarts.
func (n *Node) finishIncomingSnapshot(m Message) {
	incomingTransfer := n.incomingTransfer
	n.incomingTransfer = nil
	if digest(incomingTransfer.data) != incomingTransfer.Digest {
		n.ChunksIgnored++
		n.ackChunk(m, 0)
		return
	}
	n.ackChunk(m, len(incomingTransfer.data))
	n.installSnapshot(Snapshot{
		Index:   incomingTransfer.Index,
		Term:    incomingTransfer.Term,
		Members: incomingTransfer.Members,
		Data:    incomingTransfer.data,
	}, m.From)
}

// ackChunk acknowledges a chunk with the number of bytes received in order.
func (n *Node) ackChunk(m Message, received int) {
	ack := &SnapshotChunk{Index: m.Chunk.Index, Digest: m.Chunk.Digest, Size: m.Chunk.Size, Offset: uint64(received)}
	n.send(Message{Type: MsgSnapshotChunkAck, To: m.From, Chunk: ack})
}
