package consensus

import (
	"slices"

	"github.com/zeebo/blake3"
)

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index, Term uint64
	Members     []ID
	Data        []byte
}

// RestoredState is what a disk held.
type RestoredState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// ApplyWrite is what a disk holds once a write is on it.
func (r *RestoredState) ApplyWrite(w Write) {
	if w.HardState != nil {
		r.HardState = *w.HardState
	}
	if w.Snapshot != nil {
		drop := min(uint64(len(r.Entries)), w.Snapshot.Index-min(w.Snapshot.Index, r.Snapshot.Index))
		r.Entries, r.Snapshot = slices.Clone(r.Entries[drop:]), *w.Snapshot
	}
	if w.FirstIndex > 0 {
		r.Entries = append(slices.Clone(r.Entries[:w.FirstIndex-1-r.Snapshot.Index]), w.Entries...)
	}
}

// SnapshotChunk is a piece of a snapshot on its way. In a reply it has no bytes, and Offset is how many are there.
type SnapshotChunk struct {
	Index, Term  uint64 // of the snapshot
	Members      []ID
	Digest       [16]byte // of all its bytes
	Size, Offset uint64
	Data         []byte
}

func (p *SnapshotChunk) sameSnapshot(o *SnapshotChunk) bool {
	return p.Index == o.Index && p.Digest == o.Digest && p.Size == o.Size
}

// Bounds of what is taken in.
const (
	maxChunkBytes      = 1 << 20
	maxSnapshotBytes   = 24 << 20
	maxSnapshotMembers = 1 << 10
)

// valid says whether a part's lengths can be true.
func (p *SnapshotChunk) valid() bool {
	return p != nil && p.Size <= maxSnapshotBytes && p.Offset <= p.Size && len(p.Data) <= maxChunkBytes &&
		uint64(len(p.Data)) <= p.Size-p.Offset && len(p.Members) <= maxSnapshotMembers
}

// outgoingSnapshot is a snapshot on its way to a member, who has it up to Offset; few parts are out at a time.
type outgoingSnapshot struct {
	SnapshotChunk
	nextOffset uint64 // what is to be sent
	resent     bool   // from Offset on, since later parts came there
	ackedAtMs  int64  // when Offset last changed
	data       []byte
}

// maxChunksInFlight is how many parts are out at a time.
const maxChunksInFlight = 4

// incomingSnapshot is a snapshot of which some parts have come.
type incomingSnapshot struct {
	SnapshotChunk
	leaderTerm uint64 // the view whose leader sent of it last
	grewAtMs   int64  // when it last grew
	data       []byte
}

// Counters are of snapshots, and of messages that are no message for this member.
type Counters struct {
	ChunksSent, ChunksIgnored, SnapshotTransfers, SnapshotsInstalled, DiscardedMessages int64
}

// Compact lets a snapshot of the state up to an index that was delivered stand for the entries before; keep of them
// stay in memory, and Kept bytes at most, for members that lag a little.
func (n *Node) Compact(index uint64, state []byte, keep uint64, nowMs int64) Ready {
	n.advanceClock(nowMs)
	if index > n.appliedIndex || index <= n.snapshot.Index {
		return n.takeReady()
	}
	term, _ := n.termAt(index)
	members := n.snapshot.Members
	for i := n.snapshot.Index + 1; i <= index; i++ {
		if e := n.entries[i-n.snapshot.Index-1]; len(e.Members) > 0 {
			members = e.Members
		}
	}
	compacted := index - n.snapshot.Index
	n.retained = append(n.retained, n.entries[:compacted]...)
	n.entries = slices.Clone(n.entries[compacted:])
	n.snapshot = Snapshot{Index: index, Term: term, Members: members, Data: state}
	n.trimRetained(int(keep))
	s := n.snapshot
	n.persist(Write{Snapshot: &s, CompactThrough: index})
	return n.takeReady()
}

// trimRetained lets go of entries that a snapshot stands for, but for some. Those behind a snapshot that a member is taking stay
// for longer, so that changes do not outrun it.
func (n *Node) trimRetained(keep int) {
	wanted := n.snapshot.Index
	for _, p := range n.peers {
		if p.outgoing != nil {
			wanted = min(wanted, p.outgoing.Index)
		}
	}
	bytes, drop := 0, 0
	for i := len(n.retained) - 1; i >= 0; i-- {
		bytes += len(n.retained[i].Data)
		near := len(n.retained)-i <= keep && bytes <= n.RetainedBytes
		if taken := n.compactedIndex()+uint64(i) >= wanted && bytes <= n.TransferRetainedBytes; !near && !taken {
			drop = i + 1
			break
		}
	}
	if drop > 0 {
		n.retainedPrevTerm = n.retained[drop-1].Term
		n.retained = slices.Clone(n.retained[drop:])
	}
}

// sendSnapshotChunks sends the next part of a snapshot, and begins anew with the newest only where entries behind it are gone.
func (n *Node) sendSnapshotChunks(id ID, p *progress) {
	if t := p.outgoing; t == nil || t.Index < n.compactedIndex() {
		n.SnapshotTransfers++
		sum := blake3.Sum256(n.snapshot.Data)
		p.outgoing = &outgoingSnapshot{data: n.snapshot.Data, SnapshotChunk: SnapshotChunk{
			Index: n.snapshot.Index, Term: n.snapshot.Term, Members: n.snapshot.Members,
			Digest: [16]byte(sum[:16]), Size: uint64(len(n.snapshot.Data)),
		}}
	}
	t, again := p.outgoing, p.sentAtMs != 0
	if again { // nothing was heard for a while
		t.nextOffset = t.Offset
	}
	for ; again || t.nextOffset < min(t.Size, t.Offset+maxChunksInFlight*uint64(n.ChunkBytes)) || t.Size == 0; again = false {
		part := t.SnapshotChunk
		part.Offset = t.nextOffset
		part.Data = t.data[t.nextOffset:min(t.Size, t.nextOffset+uint64(n.ChunkBytes))]
		t.nextOffset += uint64(len(part.Data))
		n.ChunksSent++
		n.send(Message{Type: MsgSnapshotChunk, To: id, Chunk: &part, CommitIndex: n.commitIndex})
		if t.Size == 0 {
			break
		}
	}
	p.sentAtMs = n.nowMs
}

// stepSnapshotChunkAck goes on with a transfer, from where the other side has come to. Where it says twice that it has no more, a part
// was lost. Other parts that are lost are sent again after a while.
func (n *Node) stepSnapshotChunkAck(m Message, p *progress) {
	t := p.outgoing
	if t == nil || m.Chunk == nil || !m.Chunk.sameSnapshot(&t.SnapshotChunk) || m.Chunk.Offset > t.Size {
		n.ChunksIgnored++
		return
	}
	switch at := m.Chunk.Offset; {
	case at > t.Offset:
		t.Offset, t.nextOffset, t.resent, t.ackedAtMs = at, max(t.nextOffset, at), false, n.nowMs
	case at < t.Offset && (at == 0 || n.nowMs > t.ackedAtMs+n.RetransmitMs/2): // it began anew: this is no answer that was late
		t.Offset, t.nextOffset, t.resent, t.ackedAtMs = at, at, false, n.nowMs
	case at == t.Offset && at < t.nextOffset && !t.resent:
		t.nextOffset, t.resent = at, true
	default:
		return
	}
	if p.sentAtMs = 0; t.Offset == t.Size { // its disk is at work
		p.sentAtMs = n.nowMs
		return
	}
	n.replicate(m.From, p)
}

// stepSnapshotChunk takes in a part. What is out of order, of another snapshot, or lies about its lengths changes nothing.
func (n *Node) stepSnapshotChunk(m Message) {
	t := m.Chunk
	if !t.valid() {
		n.ChunksIgnored++
		return
	}
	if t.Index <= n.commitIndex && !(n.snapshotWanted && t.Index >= n.snapshot.Index) {
		n.persist(Write{}, Message{Type: MsgAppendAccepted, To: m.From, Index: n.commitIndex}) // behind what is being written
		return
	}
	reply := func(offset int) {
		n.send(Message{Type: MsgSnapshotChunkAck, To: m.From, Chunk: &SnapshotChunk{Index: t.Index, Digest: t.Digest, Size: t.Size, Offset: uint64(offset)}})
	}
	have := n.incoming
	if have == nil || !have.sameSnapshot(t) {
		// A leader goes on to newer ones only, so an older one is late, unless what is held has come to a stand.
		late := have != nil && have.leaderTerm == m.Term && have.Index > t.Index && n.nowMs < have.grewAtMs+2*n.RetransmitMs
		if late || t.Offset != 0 {
			if n.ChunksIgnored++; !late {
				reply(0)
			}
			return
		}
		have = &incomingSnapshot{SnapshotChunk: *t, grewAtMs: n.nowMs}
		have.Data = nil
		n.incoming = have
	}
	have.leaderTerm = m.Term
	if t.Offset != uint64(len(have.data)) {
		n.ChunksIgnored++
		reply(len(have.data))
		return
	}
	have.data, have.grewAtMs = append(have.data, t.Data...), n.nowMs
	if uint64(len(have.data)) < have.Size {
		reply(len(have.data))
		return
	}
	n.incoming = nil
	if sum := blake3.Sum256(have.data); [16]byte(sum[:16]) != have.Digest {
		n.ChunksIgnored++
		reply(0)
		return
	}
	reply(len(have.data))
	n.installSnapshot(Snapshot{Index: have.Index, Term: have.Term, Members: have.Members, Data: have.data}, m.From)
}

// installSnapshot puts a snapshot that is whole in the place of what it stands for.
func (n *Node) installSnapshot(s Snapshot, from ID) {
	term, held := n.termAt(s.Index)
	tail := []Entry(nil)
	if held = held && term == s.Term; held {
		tail = slices.Clone(n.entries[s.Index-n.snapshot.Index:])
	}
	again := s.Index <= n.commitIndex // of what was delivered here already
	if again && !held {
		n.ChunksIgnored++
		return
	}
	n.SnapshotsInstalled++
	n.snapshot, n.entries, n.retained, n.retainedPrevTerm, n.snapshotWanted = s, tail, nil, s.Term, false
	n.ready.Committed = append(n.ready.Committed, Committed{Index: s.Index, Term: s.Term, Snapshot: &s})
	if again {
		n.persist(Write{Snapshot: &s, CompactThrough: s.Index}, Message{Type: MsgAppendAccepted, To: from, Index: n.commitIndex})
		for i, e := range tail[:n.appliedIndex-s.Index] {
			n.ready.Committed = append(n.ready.Committed, Committed{Index: s.Index + uint64(i) + 1, Term: e.Term, Data: e.Data})
		}
		return
	}
	n.commitIndex, n.appliedIndex = s.Index, s.Index
	n.configurations = []configuration{{s.Index, s.Members}}
	for i, e := range tail {
		if len(e.Members) > 0 {
			n.configurations = append(n.configurations, configuration{s.Index + uint64(i) + 1, e.Members})
		}
	}
	n.persistedIndex = max(n.persistedIndex, min(s.Index, n.lastIndex()))
	n.persist(Write{Snapshot: &s, CompactThrough: s.Index, FirstIndex: s.Index + 1, Entries: slices.Clone(tail)},
		Message{Type: MsgAppendAccepted, To: from, Index: s.Index})
}

// RequestSnapshot has this member ask for the leader's snapshot, since the state that its log built is wrong.
func (n *Node) RequestSnapshot(nowMs int64) Ready {
	n.advanceClock(nowMs)
	n.snapshotWanted, n.nextSnapshotRequestAtMs = true, 0
	return n.takeReady()
}
