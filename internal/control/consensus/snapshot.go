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

func (p *SnapshotChunk) of(o *SnapshotChunk) bool {
	return p.Index == o.Index && p.Digest == o.Digest && p.Size == o.Size
}

// Bounds of what is taken in.
const (
	partMost     = 1 << 20
	snapshotMost = 24 << 20
	membersMost  = 1 << 10
)

// sane says whether a part's lengths can be true.
func (p *SnapshotChunk) sane() bool {
	return p != nil && p.Size <= snapshotMost && p.Offset <= p.Size && len(p.Data) <= partMost &&
		uint64(len(p.Data)) <= p.Size-p.Offset && len(p.Members) <= membersMost
}

// transfer is a snapshot on its way to a member, who has it up to Offset; few parts are out at a time.
type transfer struct {
	SnapshotChunk
	next   uint64 // what is to be sent
	resent bool   // from Offset on, since later parts came there
	at     int64  // when Offset last changed
	state  []byte
}

// window is how many parts are out at a time.
const window = 4

// taking is a snapshot of which some parts have come.
type taking struct {
	SnapshotChunk
	by    uint64 // the view whose leader sent of it last
	at    int64  // when it last grew
	state []byte
}

// Counters are of snapshots, and of messages that are no message for this member.
type Counters struct {
	ChunksSent, ChunksIgnored, SnapshotTransfers, SnapshotsInstalled, DiscardedMessages int64
}

// Compact lets a snapshot of the state up to an index that was delivered stand for the entries before; keep of them
// stay in memory, and Kept bytes at most, for members that lag a little.
func (c *Node) Compact(index uint64, state []byte, keep uint64, now int64) Ready {
	c.clock(now)
	if index > c.given || index <= c.base.Index {
		return c.take()
	}
	view, _ := c.viewAt(index)
	members := c.base.Members
	for i := c.base.Index + 1; i <= index; i++ {
		if e := c.log[i-c.base.Index-1]; len(e.Members) > 0 {
			members = e.Members
		}
	}
	n := index - c.base.Index
	c.old = append(c.old, c.log[:n]...)
	c.log = slices.Clone(c.log[n:])
	c.base = Snapshot{Index: index, Term: view, Members: members, Data: state}
	c.forget(int(keep))
	s := c.base
	c.write(Write{Snapshot: &s, CompactThrough: index})
	return c.take()
}

// forget lets go of entries that a snapshot stands for, but for some. Those behind a snapshot that a member is taking stay
// for longer, so that changes do not outrun it.
func (c *Node) forget(keep int) {
	wanted := c.base.Index
	for _, p := range c.peers {
		if p.transfer != nil {
			wanted = min(wanted, p.transfer.Index)
		}
	}
	bytes, drop := 0, 0
	for i := len(c.old) - 1; i >= 0; i-- {
		bytes += len(c.old[i].Data)
		near := len(c.old)-i <= keep && bytes <= c.RetainedBytes
		if taken := c.floor()+uint64(i) >= wanted && bytes <= c.TransferRetainedBytes; !near && !taken {
			drop = i + 1
			break
		}
	}
	if drop > 0 {
		c.oldView = c.old[drop-1].Term
		c.old = slices.Clone(c.old[drop:])
	}
}

// sendPart sends the next part of a snapshot, and begins anew with the newest only where entries behind it are gone.
func (c *Node) sendPart(id ID, p *progress) {
	if t := p.transfer; t == nil || t.Index < c.floor() {
		c.SnapshotTransfers++
		sum := blake3.Sum256(c.base.Data)
		p.transfer = &transfer{state: c.base.Data, SnapshotChunk: SnapshotChunk{Index: c.base.Index, Term: c.base.Term, Members: c.base.Members,
			Digest: [16]byte(sum[:16]), Size: uint64(len(c.base.Data))}}
	}
	t, again := p.transfer, p.sentAt != 0
	if again { // nothing was heard for a while
		t.next = t.Offset
	}
	for ; again || t.next < min(t.Size, t.Offset+window*uint64(c.ChunkBytes)) || t.Size == 0; again = false {
		part := t.SnapshotChunk
		part.Offset = t.next
		part.Data = t.state[t.next:min(t.Size, t.next+uint64(c.ChunkBytes))]
		t.next += uint64(len(part.Data))
		c.ChunksSent++
		c.send(Message{Type: MsgSnapshotChunk, To: id, Chunk: &part, CommitIndex: c.commit})
		if t.Size == 0 {
			break
		}
	}
	p.sentAt = c.now
}

// taken goes on with a transfer, from where the other side has come to. Where it says twice that it has no more, a part
// was lost. Other parts that are lost are sent again after a while.
func (c *Node) taken(m Message, p *progress) {
	t := p.transfer
	if t == nil || m.Chunk == nil || !m.Chunk.of(&t.SnapshotChunk) || m.Chunk.Offset > t.Size {
		c.ChunksIgnored++
		return
	}
	switch at := m.Chunk.Offset; {
	case at > t.Offset:
		t.Offset, t.next, t.resent, t.at = at, max(t.next, at), false, c.now
	case at < t.Offset && (at == 0 || c.now > t.at+c.RetransmitMs/2): // it began anew: this is no answer that was late
		t.Offset, t.next, t.resent, t.at = at, at, false, c.now
	case at == t.Offset && at < t.next && !t.resent:
		t.next, t.resent = at, true
	default:
		return
	}
	if p.sentAt = 0; t.Offset == t.Size { // its disk is at work
		p.sentAt = c.now
		return
	}
	c.feed(m.From, p)
}

// installed takes in a part. What is out of order, of another snapshot, or lies about its lengths changes nothing.
func (c *Node) installed(m Message) {
	t := m.Chunk
	if !t.sane() {
		c.ChunksIgnored++
		return
	}
	if t.Index <= c.commit && !(c.refetch && t.Index >= c.base.Index) {
		c.write(Write{}, Message{Type: MsgAppendAccepted, To: m.From, Index: c.commit}) // behind what is being written
		return
	}
	reply := func(offset int) {
		c.send(Message{Type: MsgSnapshotChunkAck, To: m.From, Chunk: &SnapshotChunk{Index: t.Index, Digest: t.Digest, Size: t.Size, Offset: uint64(offset)}})
	}
	have := c.taking
	if have == nil || !have.of(t) {
		// A leader goes on to newer ones only, so an older one is late, unless what is held has come to a stand.
		late := have != nil && have.by == m.Term && have.Index > t.Index && c.now < have.at+2*c.RetransmitMs
		if late || t.Offset != 0 {
			if c.ChunksIgnored++; !late {
				reply(0)
			}
			return
		}
		have = &taking{SnapshotChunk: *t, at: c.now}
		have.Data = nil
		c.taking = have
	}
	have.by = m.Term
	if t.Offset != uint64(len(have.state)) {
		c.ChunksIgnored++
		reply(len(have.state))
		return
	}
	have.state, have.at = append(have.state, t.Data...), c.now
	if uint64(len(have.state)) < have.Size {
		reply(len(have.state))
		return
	}
	c.taking = nil
	if sum := blake3.Sum256(have.state); [16]byte(sum[:16]) != have.Digest {
		c.ChunksIgnored++
		reply(0)
		return
	}
	reply(len(have.state))
	c.install(Snapshot{Index: have.Index, Term: have.Term, Members: have.Members, Data: have.state}, m.From)
}

// install puts a snapshot that is whole in the place of what it stands for.
func (c *Node) install(s Snapshot, from ID) {
	view, held := c.viewAt(s.Index)
	tail := []Entry(nil)
	if held = held && view == s.Term; held {
		tail = slices.Clone(c.log[s.Index-c.base.Index:])
	}
	again := s.Index <= c.commit // of what was delivered here already
	if again && !held {
		c.ChunksIgnored++
		return
	}
	c.SnapshotsInstalled++
	c.base, c.log, c.old, c.oldView, c.refetch = s, tail, nil, s.Term, false
	c.out.Committed = append(c.out.Committed, Committed{Index: s.Index, Term: s.Term, Snapshot: &s})
	if again {
		c.write(Write{Snapshot: &s, CompactThrough: s.Index}, Message{Type: MsgAppendAccepted, To: from, Index: c.commit})
		for i, e := range tail[:c.given-s.Index] {
			c.out.Committed = append(c.out.Committed, Committed{Index: s.Index + uint64(i) + 1, Term: e.Term, Data: e.Data})
		}
		return
	}
	c.commit, c.given = s.Index, s.Index
	c.configs = []config{{s.Index, s.Members}}
	for i, e := range tail {
		if len(e.Members) > 0 {
			c.configs = append(c.configs, config{s.Index + uint64(i) + 1, e.Members})
		}
	}
	c.saved = max(c.saved, min(s.Index, c.last()))
	c.write(Write{Snapshot: &s, CompactThrough: s.Index, FirstIndex: s.Index + 1, Entries: slices.Clone(tail)},
		Message{Type: MsgAppendAccepted, To: from, Index: s.Index})
}

// RequestSnapshot has this member ask for the leader's snapshot, since the state that its log built is wrong.
func (c *Node) RequestSnapshot(now int64) Ready {
	c.clock(now)
	c.refetch, c.refetchAt = true, 0
	return c.take()
}
