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

type pending struct {
	seq, last, settled uint64
	messages           []Message
}

func (c *Node) last() uint64 { return c.base.Index + uint64(len(c.log)) }

// floor is the place behind which all entries are held.
func (c *Node) floor() uint64 { return c.base.Index - uint64(len(c.old)) }

// entries are those from a place on, up to one that is held.
func (c *Node) entries(from, to uint64) []Entry {
	all := make([]Entry, 0, to-from)
	for i := from; i < to; i++ {
		if i < c.base.Index {
			all = append(all, c.old[i-c.floor()])
		} else {
			all = append(all, c.log[i-c.base.Index])
		}
	}
	return all
}

// viewAt gives the view of an entry; ok false where it is not held.
func (c *Node) viewAt(i uint64) (uint64, bool) {
	switch {
	case i == c.base.Index:
		return c.base.Term, true
	case i < c.floor() || i > c.last():
		return 0, false
	case i == c.floor():
		return c.oldView, true
	case i < c.base.Index:
		return c.old[i-c.floor()-1].Term, true
	}
	return c.log[i-c.base.Index-1].Term, true
}

// write puts on disk; messages go out once that is done.
func (c *Node) write(w Write, after ...Message) {
	c.seq++
	w.Seq = c.seq
	if w.FirstIndex > 0 { // what an older write was to bring past here counts no more
		c.saved = min(c.saved, w.FirstIndex-1)
		for i := range c.waiting {
			c.waiting[i].last = min(c.waiting[i].last, w.FirstIndex-1)
		}
	}
	for i := range after {
		after[i].From, after[i].Term = c.id, c.meta.Term
	}
	settled := uint64(0)
	if w.HardState != nil {
		settled = w.HardState.CommittedConfigIndex
	}
	c.waiting = append(c.waiting, pending{c.seq, c.last(), settled, after})
	c.out.Writes = append(c.out.Writes, w)
}

// Persisted tells that all writes up to one are on disk.
func (c *Node) Persisted(seq uint64, now int64) Ready {
	c.clock(now)
	for len(c.waiting) > 0 && c.waiting[0].seq <= seq {
		p := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.saved = max(c.saved, min(p.last, c.last()))
		c.settled = max(c.settled, p.settled)
		for _, m := range p.messages {
			if m.Term == c.meta.Term { // else what it says has been taken back since
				c.out.Messages = append(c.out.Messages, m)
				if m.To == c.id {
					c.out.Messages = c.out.Messages[:len(c.out.Messages)-1]
					c.step(m)
				}
			}
		}
	}
	if c.role == leader {
		c.peers[c.id].match = c.saved
		c.advance()
	}
	return c.take()
}

// UnpersistedWrites is how many writes are not on disk yet.
func (c *Node) UnpersistedWrites() int { return len(c.waiting) }

// Propose appends a change, if this member leads; index is its place.
func (c *Node) Propose(body []byte, now int64) (index uint64, o Ready) {
	c.clock(now)
	if c.role != leader || c.transferring {
		return 0, c.take()
	}
	c.append(Entry{Term: c.meta.Term, Data: body})
	return c.last(), c.take()
}

func (c *Node) append(e Entry) {
	c.log = append(c.log, e)
	if len(e.Members) > 0 {
		c.configs = append(c.configs, config{c.last(), e.Members})
		c.follow()
	}
	c.write(Write{FirstIndex: c.last(), Entries: []Entry{e}})
	c.spread()
}

// spread sends what members lack.
func (c *Node) spread() {
	for _, id := range c.others() {
		c.feed(id, c.peers[id])
	}
}

func (c *Node) feed(id ID, p *progress) {
	again := c.RetransmitMs
	if p.transfer != nil { // a part is acknowledged before it is on disk
		again = 2 * c.HeartbeatMs
	}
	if p.sentAt != 0 && c.now < p.sentAt+again || c.unheard(p) {
		return
	}
	if p.transfer != nil || p.refetch || p.next <= c.floor() {
		c.sendPart(id, p)
		return
	}
	if p.next > c.last() && p.match == c.last() {
		return
	}
	prev := min(p.next, c.last()+1) - 1
	view, _ := c.viewAt(prev)
	size, to := 0, prev
	for to < c.last() && size < 256<<10 {
		to++
		size += 64 + len(c.entries(to-1, to)[0].Data)
	}
	p.sentAt = c.now
	c.send(Message{Type: MsgAppend, To: id, Index: prev, PrevTerm: view, CommitIndex: c.commit,
		Entries: c.entries(prev, to)})
}

// advance delivers what a majority has on disk.
func (c *Node) advance() {
	for n := c.last(); n > c.commit; n-- {
		view, _ := c.viewAt(n)
		if view != c.meta.Term {
			return
		}
		if c.majority(func(id ID) bool { p := c.peers[id]; return p != nil && p.match >= n }) {
			c.commitTo(n)
			for _, id := range c.others() { // they are to deliver it soon, too
				c.heartbeat(id)
			}
			return
		}
	}
}

func (c *Node) commitTo(n uint64) {
	if n = min(n, c.last()); n <= c.commit {
		return
	}
	c.commit = n
	for c.given < c.commit {
		c.given++
		e := c.log[c.given-c.base.Index-1]
		c.out.Committed = append(c.out.Committed, Committed{Index: c.given, Term: e.Term, Data: e.Data})
	}
	for len(c.configs) > 1 && c.configs[1].index <= c.commit {
		c.configs = c.configs[1:]
		if at := c.configs[0].index; at > c.meta.CommittedConfigIndex { // else a new life would have to ask those who are out
			c.meta.CommittedConfigIndex = at
			meta := c.meta
			c.write(Write{HardState: &meta})
		}
	}
	c.follow()
	if c.role == leader && !c.member(c.id) && !c.departure.begun { // it led until it was out
		c.fall("")
	}
}

func (c *Node) replied(m Message) {
	p := c.peers[m.From]
	if c.role != leader || p == nil {
		return
	}
	p.heardAt = c.now
	switch m.Type {
	case MsgHeartbeatResponse:
		p.confirmed = max(p.confirmed, min(m.SentAtMs, c.now))
		p.settled = max(p.settled, min(m.Index, c.last()))
		if !m.Granted { // it is back, or stays after all
			p.leavingAt = 0
		}
	case MsgAppendAccepted:
		p.sentAt = 0
		if p.transfer != nil && m.Index >= p.transfer.Index {
			p.transfer, p.refetch = nil, false
		}
		p.match = max(p.match, min(m.Index, c.last()))
		p.next = max(p.next, p.match+1)
		c.advance()
		if c.yield(); c.role == leader {
			c.feed(m.From, p)
		}
	case MsgAppendRejected:
		p.sentAt = 0
		p.match = min(p.match, m.Index) // less than it said it had: its disk was put back to an older one
		p.next = max(min(m.Index+1, p.next-1), 1)
		c.feed(m.From, p)
	case MsgSnapshotChunkAck:
		c.taken(m, p)
	case MsgSnapshotRequest:
		p.sentAt, p.transfer, p.refetch = 0, nil, true
		c.feed(m.From, p)
	}
}

// appended takes entries in if those before them are held, and drops what differs.
func (c *Node) appended(m Message) {
	view, held := c.viewAt(m.Index)
	if m.Index < c.base.Index { // what a snapshot stands for was delivered, so it is the same
		skip := c.base.Index - m.Index
		if uint64(len(m.Entries)) < skip {
			c.write(Write{}, Message{Type: MsgAppendAccepted, To: m.From, Index: c.base.Index}) // behind what is being written
			return
		}
		m.Index, m.Entries, view, held = c.base.Index, m.Entries[skip:], c.base.Term, true
		m.PrevTerm = view
	}
	if !held || view != m.PrevTerm {
		c.send(Message{Type: MsgAppendRejected, To: m.From, Index: max(c.commit, min(c.last(), m.Index-1))})
		return
	}
	at, entries := m.Index, m.Entries
	for len(entries) > 0 {
		if v, ok := c.viewAt(at + 1); !ok || v != entries[0].Term {
			break
		}
		at, entries = at+1, entries[1:]
	}
	end := m.Index + uint64(len(m.Entries))
	reply := Message{Type: MsgAppendAccepted, To: m.From, Index: end}
	if len(entries) == 0 {
		c.write(Write{}, reply) // behind what is being written
	} else {
		if at+1 <= c.commit {
			panic("ratchet: what was delivered is to be trimmed")
		}
		c.log = append(c.log[:at-c.base.Index], entries...)
		c.configs = slices.DeleteFunc(c.configs, func(g config) bool { return g.index > at })
		for i, e := range entries {
			if len(e.Members) > 0 {
				c.configs = append(c.configs, config{at + uint64(i) + 1, e.Members})
			}
		}
		c.write(Write{FirstIndex: at + 1, Entries: slices.Clone(entries)}, reply)
	}
	c.commitTo(min(m.CommitIndex, end))
}

// CommittedAfter gives the delivered entries behind an index; ok false where a snapshot stands for some of them.
func (c *Node) CommittedAfter(after uint64) (bodies [][]byte, ok bool) {
	if after < c.floor() || after > c.given {
		return nil, false
	}
	for _, e := range c.entries(after, c.given) {
		bodies = append(bodies, e.Data)
	}
	return bodies, true
}

// LatestSnapshot is the newest snapshot.
func (c *Node) LatestSnapshot() Snapshot { return c.base }

// SinceSnapshot is how many entries were delivered since the newest snapshot, and their bytes.
func (c *Node) SinceSnapshot() (entries uint64, bytes int) {
	for _, e := range c.log[:c.given-c.base.Index] {
		bytes += len(e.Data)
	}
	return c.given - c.base.Index, bytes
}
