package consensus

import "github.com/zeebo/blake3"

const (
	// maxChunksInFlight is how many chunks a leader sends ahead of the last acknowledgement.
	maxChunksInFlight = 4

	// Bounds of what is accepted from the network.
	maxChunkBytes      = 1 << 20
	maxSnapshotBytes   = 24 << 20
	maxSnapshotMembers = 1 << 10
)

// SnapshotChunk is a part of a snapshot. In an acknowledgement it has no data, and Offset is how much has arrived.
type SnapshotChunk struct {
	Index, Term  uint64   // of the snapshot
	Members      []ID     // of the snapshot
	Digest       [16]byte // BLAKE3 of the snapshot's data, truncated
	Size, Offset uint64   // bytes of the snapshot's data, and where this chunk's begins
	Data         []byte
}

// digest returns the Digest of a snapshot's data.
func digest(data []byte) [16]byte {
	sum := blake3.Sum256(data)
	return [16]byte(sum[:16])
}

// sameSnapshot says whether two chunks are of the same snapshot.
func (c *SnapshotChunk) sameSnapshot(other *SnapshotChunk) bool {
	return c.Index == other.Index && c.Digest == other.Digest && c.Size == other.Size
}

// valid says whether the sizes of a received chunk, which may be nil, are within bounds and agree with each other.
func (c *SnapshotChunk) valid() bool {
	return c != nil && c.Size <= maxSnapshotBytes && c.Offset <= c.Size && len(c.Data) <= maxChunkBytes &&
		uint64(len(c.Data)) <= c.Size-c.Offset && len(c.Members) <= maxSnapshotMembers
}

// outgoingSnapshot is a snapshot that is being sent to a member, which has received it up to Offset.
type outgoingSnapshot struct {
	SnapshotChunk
	data       []byte
	nextOffset uint64 // of the next chunk
	resent     bool   // the chunk at Offset was sent again, since the member has reported a later one out of order
	ackedAtMs  int64  // when Offset last changed
}

// acknowledge notes that the member has received the snapshot up to an offset.
func (s *outgoingSnapshot) acknowledge(offset, nextOffset uint64, nowMs int64) {
	s.Offset, s.nextOffset, s.resent, s.ackedAtMs = offset, nextOffset, false, nowMs
}

// incomingSnapshot is a snapshot of which some chunks have arrived.
type incomingSnapshot struct {
	SnapshotChunk
	leaderTerm uint64 // of the last chunk's sender
	data       []byte
	grewAtMs   int64
}

// sendSnapshotChunks sends the next chunks of a snapshot to a member. A transfer is started again with the newest snapshot
// only if the entries behind the one that is being sent are gone.
func (n *Node) sendSnapshotChunks(id ID, p *progress) {
	if p.outgoing == nil || p.outgoing.Index < n.log.compactedIndex() {
		n.SnapshotTransfers++
		p.outgoing = newOutgoingSnapshot(n.log.snapshot)
	}
	snapshot := p.outgoing
	timedOut := p.sentAtMs != 0
	if timedOut {
		snapshot.nextOffset = snapshot.Offset
	}
	if timedOut || snapshot.Size == 0 { // even if there is no data left: the member acknowledges it again
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

// stepSnapshotChunkAck goes on behind what the member has received. The same offset twice means that a chunk was lost,
// and it is sent again at once. Other losses are found by time-out, in replicate.
func (n *Node) stepSnapshotChunkAck(m Message) {
	p := n.responder(m)
	if p == nil {
		return
	}
	snapshot, ack := p.outgoing, m.Chunk
	if snapshot == nil || ack == nil || !ack.sameSnapshot(&snapshot.SnapshotChunk) || ack.Offset > snapshot.Size {
		n.ChunksIgnored++
		return
	}
	// An ack that goes back may be late. It is not if it goes back to the start, or comes so long after the last progress
	// that it hardly was on its way meanwhile: half of the time after which entries are sent again.
	restarted := ack.Offset == 0 || n.nowMs > snapshot.ackedAtMs+n.RetransmitMs/2
	switch offset := ack.Offset; {
	case offset > snapshot.Offset:
		snapshot.acknowledge(offset, max(snapshot.nextOffset, offset), n.nowMs)
	case offset < snapshot.Offset && restarted:
		snapshot.acknowledge(offset, offset, n.nowMs)
	case offset == snapshot.Offset && offset < snapshot.nextOffset && !snapshot.resent:
		snapshot.nextOffset, snapshot.resent = offset, true
	default:
		return
	}
	p.sentAtMs = 0
	if snapshot.Offset == snapshot.Size { // the member is writing it to disk
		p.sentAtMs = n.nowMs
		return
	}
	n.replicate(m.From, p)
}

// stepSnapshotRequest sends a member the snapshot, from its start.
func (n *Node) stepSnapshotRequest(m Message) {
	p := n.responder(m)
	if p == nil {
		return
	}
	p.sentAtMs, p.outgoing, p.snapshotWanted = 0, nil, true
	n.replicate(m.From, p)
}

// stepSnapshotChunk takes in a part of a snapshot, and installs it once it is complete. Chunks out of order, of other
// snapshots, or with invalid sizes change nothing.
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
		n.persist(Write{}, Message{Type: MsgAppendAccepted, To: m.From, Index: n.commitIndex}) // once that is on disk
		return
	}
	if (n.incoming == nil || !n.incoming.sameSnapshot(chunk)) && !n.startIncoming(m) {
		return
	}
	incoming := n.incoming
	incoming.leaderTerm = m.Term
	if chunk.Offset != uint64(len(incoming.data)) {
		n.ChunksIgnored++
		n.ackChunk(m, len(incoming.data))
		return
	}
	incoming.data, incoming.grewAtMs = append(incoming.data, chunk.Data...), n.nowMs
	if uint64(len(incoming.data)) < incoming.Size {
		n.ackChunk(m, len(incoming.data))
		return
	}
	n.finishIncoming(m)
}

// startIncoming begins to receive a snapshot, in place of one that is incomplete. It returns false if the chunk is not the
// snapshot's first. It does so too for an older snapshot of the same leader, which only goes on to newer ones: the chunk
// is late, unless the newer snapshot has not grown for long.
func (n *Node) startIncoming(m Message) bool {
	chunk, current := m.Chunk, n.incoming
	late := current != nil && current.leaderTerm == m.Term && current.Index > chunk.Index &&
		n.nowMs < current.grewAtMs+2*n.RetransmitMs
	if late || chunk.Offset != 0 {
		n.ChunksIgnored++
		if !late {
			n.ackChunk(m, 0)
		}
		return false
	}
	n.incoming = &incomingSnapshot{SnapshotChunk: *chunk, grewAtMs: n.nowMs}
	n.incoming.Data = nil
	return true
}

// finishIncoming installs a snapshot that is complete. If its digest is wrong it is received again.
func (n *Node) finishIncoming(m Message) {
	incoming := n.incoming
	n.incoming = nil
	if digest(incoming.data) != incoming.Digest {
		n.ChunksIgnored++
		n.ackChunk(m, 0)
		return
	}
	n.ackChunk(m, len(incoming.data))
	n.installSnapshot(Snapshot{
		Index:   incoming.Index,
		Term:    incoming.Term,
		Members: incoming.Members,
		Data:    incoming.data,
	}, m.From)
}

// ackChunk answers a chunk with the number of bytes that have arrived in order.
func (n *Node) ackChunk(m Message, received int) {
	ack := &SnapshotChunk{Index: m.Chunk.Index, Digest: m.Chunk.Digest, Size: m.Chunk.Size, Offset: uint64(received)}
	n.send(Message{Type: MsgSnapshotChunkAck, To: m.From, Chunk: ack})
}
