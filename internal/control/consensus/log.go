package consensus

import (
	"slices"
)

// Entry is a change in its place.
type Entry struct {
	View    uint64
	Body    []byte // of the state machine; empty: a view's first entry, or Members
	Members []ID   // not empty: who the members are from here on
}

type pending struct {
	seq, last, settled uint64
	messages           []Message
}

func (c *Core) last() uint64 { return c.base.Index + uint64(len(c.log)) }

// floor is the place behind which all entries are held.
func (c *Core) floor() uint64 { return c.base.Index - uint64(len(c.old)) }

// entries are those from a place on, up to one that is held.
func (c *Core) entries(from, to uint64) []Entry {
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
func (c *Core) viewAt(i uint64) (uint64, bool) {
	switch {
	case i == c.base.Index:
		return c.base.View, true
	case i < c.floor() || i > c.last():
		return 0, false
	case i == c.floor():
		return c.oldView, true
	case i < c.base.Index:
		return c.old[i-c.floor()-1].View, true
	}
	return c.log[i-c.base.Index-1].View, true
}

// write puts on disk; messages go out once that is done.
func (c *Core) write(w Write, after ...Message) {
	c.seq++
	w.Seq = c.seq
	if w.From > 0 { // what an older write was to bring past here counts no more
		c.saved = min(c.saved, w.From-1)
		for i := range c.waiting {
			c.waiting[i].last = min(c.waiting[i].last, w.From-1)
		}
	}
	for i := range after {
		after[i].From, after[i].View = c.id, c.meta.View
	}
	settled := uint64(0)
	if w.Meta != nil {
		settled = w.Meta.Settled
	}
	c.waiting = append(c.waiting, pending{c.seq, c.last(), settled, after})
	c.out.Writes = append(c.out.Writes, w)
}

// Saved tells that all writes up to one are on disk.
func (c *Core) Saved(seq uint64, now int64) Out {
	c.clock(now)
	for len(c.waiting) > 0 && c.waiting[0].seq <= seq {
		p := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.saved = max(c.saved, min(p.last, c.last()))
		c.settled = max(c.settled, p.settled)
		for _, m := range p.messages {
			if m.View == c.meta.View { // else what it says has been taken back since
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

// Unsaved is how many writes are not on disk yet.
func (c *Core) Unsaved() int { return len(c.waiting) }

// Propose appends a change, if this member leads; index is its place.
func (c *Core) Propose(body []byte, now int64) (index uint64, o Out) {
	c.clock(now)
	if c.role != leader || c.transferring {
		return 0, c.take()
	}
	c.append(Entry{View: c.meta.View, Body: body})
	return c.last(), c.take()
}

func (c *Core) append(e Entry) {
	c.log = append(c.log, e)
	if len(e.Members) > 0 {
		c.configs = append(c.configs, config{c.last(), e.Members})
		c.follow()
	}
	c.write(Write{From: c.last(), Entries: []Entry{e}})
	c.spread()
}

// spread sends what members lack.
func (c *Core) spread() {
	for _, id := range c.others() {
		c.feed(id, c.peers[id])
	}
}

func (c *Core) feed(id ID, p *progress) {
	again := c.Again
	if p.transfer != nil { // a part is acknowledged before it is on disk
		again = 2 * c.Beat
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
		size += 64 + len(c.entries(to-1, to)[0].Body)
	}
	p.sentAt = c.now
	c.send(Message{Kind: Append, To: id, Index: prev, Prev: view, Commit: c.commit,
		Entries: c.entries(prev, to)})
}

// advance delivers what a majority has on disk.
func (c *Core) advance() {
	for n := c.last(); n > c.commit; n-- {
		view, _ := c.viewAt(n)
		if view != c.meta.View {
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

func (c *Core) commitTo(n uint64) {
	if n = min(n, c.last()); n <= c.commit {
		return
	}
	c.commit = n
	for c.given < c.commit {
		c.given++
		e := c.log[c.given-c.base.Index-1]
		c.out.Delivered = append(c.out.Delivered, Delivery{Index: c.given, View: e.View, Body: e.Body})
	}
	for len(c.configs) > 1 && c.configs[1].index <= c.commit {
		c.configs = c.configs[1:]
		if at := c.configs[0].index; at > c.meta.Settled { // else a new life would have to ask those who are out
			c.meta.Settled = at
			meta := c.meta
			c.write(Write{Meta: &meta})
		}
	}
	c.follow()
	if c.role == leader && !c.member(c.id) && !c.departure.begun { // it led until it was out
		c.fall("")
	}
}

func (c *Core) replied(m Message) {
	p := c.peers[m.From]
	if c.role != leader || p == nil {
		return
	}
	p.heardAt = c.now
	switch m.Kind {
	case HeartbeatReply:
		p.confirmed = max(p.confirmed, min(m.Sent, c.now))
		p.settled = max(p.settled, min(m.Index, c.last()))
		if !m.Granted { // it is back, or stays after all
			p.leavingAt = 0
		}
	case Accept:
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
	case Refuse:
		p.sentAt = 0
		p.match = min(p.match, m.Index) // less than it said it had: its disk was put back to an older one
		p.next = max(min(m.Index+1, p.next-1), 1)
		c.feed(m.From, p)
	case InstallReply:
		c.taken(m, p)
	case Refetch:
		p.sentAt, p.transfer, p.refetch = 0, nil, true
		c.feed(m.From, p)
	}
}

// appended takes entries in if those before them are held, and drops what differs.
func (c *Core) appended(m Message) {
	view, held := c.viewAt(m.Index)
	if m.Index < c.base.Index { // what a snapshot stands for was delivered, so it is the same
		skip := c.base.Index - m.Index
		if uint64(len(m.Entries)) < skip {
			c.write(Write{}, Message{Kind: Accept, To: m.From, Index: c.base.Index}) // behind what is being written
			return
		}
		m.Index, m.Entries, view, held = c.base.Index, m.Entries[skip:], c.base.View, true
		m.Prev = view
	}
	if !held || view != m.Prev {
		c.send(Message{Kind: Refuse, To: m.From, Index: max(c.commit, min(c.last(), m.Index-1))})
		return
	}
	at, entries := m.Index, m.Entries
	for len(entries) > 0 {
		if v, ok := c.viewAt(at + 1); !ok || v != entries[0].View {
			break
		}
		at, entries = at+1, entries[1:]
	}
	end := m.Index + uint64(len(m.Entries))
	reply := Message{Kind: Accept, To: m.From, Index: end}
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
		c.write(Write{From: at + 1, Entries: slices.Clone(entries)}, reply)
	}
	c.commitTo(min(m.Commit, end))
}

// Entries gives the delivered entries behind an index; ok false where a snapshot stands for some of them.
func (c *Core) Entries(after uint64) (bodies [][]byte, ok bool) {
	if after < c.floor() || after > c.given {
		return nil, false
	}
	for _, e := range c.entries(after, c.given) {
		bodies = append(bodies, e.Body)
	}
	return bodies, true
}

// Base is the newest snapshot.
func (c *Core) Base() Snapshot { return c.base }

// Logged is how many entries were delivered since the newest snapshot, and their bytes.
func (c *Core) Logged() (entries uint64, bytes int) {
	for _, e := range c.log[:c.given-c.base.Index] {
		bytes += len(e.Body)
	}
	return c.given - c.base.Index, bytes
}
