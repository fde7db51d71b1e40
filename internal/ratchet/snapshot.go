package ratchet

import (
	"slices"
)

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index, View uint64
	Members     []ID
	State       []byte
}

// Restored is what a disk held.
type Restored struct {
	Meta     Meta
	Snapshot Snapshot
	Entries  []Entry
}

// Put is what a disk holds once a write is on it.
func (r *Restored) Put(w Write) {
	if w.Meta != nil {
		r.Meta = *w.Meta
	}
	if w.Snapshot != nil {
		drop := min(uint64(len(r.Entries)), w.Snapshot.Index-min(w.Snapshot.Index, r.Snapshot.Index))
		r.Entries, r.Snapshot = slices.Clone(r.Entries[drop:]), *w.Snapshot
	}
	if w.From > 0 {
		r.Entries = append(slices.Clone(r.Entries[:w.From-1-r.Snapshot.Index]), w.Entries...)
	}
}

// Compact lets a snapshot of the state up to an index that was delivered stand for the entries before; keep of them
// stay, for members that lag.
func (c *Core) Compact(index uint64, state []byte, keep uint64, now int64) Out {
	c.clock(now)
	if index > c.given || index <= c.base.Index+keep {
		return c.take()
	}
	view, _ := c.viewAt(index)
	members := c.base.Members
	for i := c.base.Index + 1; i <= index; i++ {
		if e := c.log[i-c.base.Index-1]; len(e.Members) > 0 {
			members = e.Members
		}
	}
	c.log = slices.Clone(c.log[index-c.base.Index:])
	c.base = Snapshot{Index: index, View: view, Members: members, State: state}
	s := c.base
	c.write(Write{Snapshot: &s, Keep: index})
	return c.take()
}

func (c *Core) installed(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index > c.commit {
		view, held := c.viewAt(s.Index)
		tail := []Entry(nil)
		if held && view == s.View {
			tail = slices.Clone(c.log[s.Index-c.base.Index:])
		}
		c.base, c.log = *s, tail
		c.commit, c.given = s.Index, s.Index
		c.configs = []config{{s.Index, s.Members}}
		for i, e := range tail {
			if len(e.Members) > 0 {
				c.configs = append(c.configs, config{s.Index + uint64(i) + 1, e.Members})
			}
		}
		c.saved = max(c.saved, min(s.Index, c.last()))
		kept := *s
		c.write(Write{Snapshot: &kept, Keep: s.Index, From: s.Index + 1, Entries: slices.Clone(tail)},
			Message{Kind: Accept, To: m.From, Index: s.Index})
		c.out.Delivered = append(c.out.Delivered, Delivery{Index: s.Index, View: s.View, Snapshot: &kept})
		return
	}
	c.send(Message{Kind: Accept, To: m.From, Index: c.commit})
}
