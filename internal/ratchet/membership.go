package ratchet

import (
	"slices"
	"strings"
)

// ID names a member in one life of its disk: its address, and for a learner a mark behind "+".
type ID string

// Address is where a member is reached.
func (i ID) Address() string { at, _, _ := strings.Cut(string(i), "+"); return at }

type config struct {
	index   uint64
	members []ID
}

type progress struct {
	next, match uint64
	sentAt      int64 // when entries were sent that are not acknowledged; 0: none
	confirmed   int64 // the newest heartbeat that came back
	heardAt     int64
	learner     bool
	transfer    *transfer // a snapshot on its way there
	refetch     bool      // it asked for one, whatever it holds
}

// Members are who counts, by the newest entry held.
func (c *Core) Members() []ID { return c.configs[len(c.configs)-1].members }

// active are the configurations that must each agree: the newest delivered one and all behind it.
func (c *Core) active() []config {
	i := 0
	for i+1 < len(c.configs) && c.configs[i+1].index <= max(c.commit, c.meta.Settled) {
		i++
	}
	return c.configs[i:]
}

func (c *Core) majority(has func(ID) bool) bool {
	for _, g := range c.active() {
		n := 0
		for _, m := range g.members {
			if has(m) {
				n++
			}
		}
		if 2*n <= len(g.members) {
			return false
		}
	}
	return true
}

func (c *Core) all(has func(ID) bool) bool {
	n := 0
	for _, g := range c.active() {
		for _, m := range g.members {
			if n++; !has(m) {
				return false
			}
		}
	}
	return n > 0
}

func (c *Core) member(id ID) bool {
	for _, g := range c.active() {
		if slices.Contains(g.members, id) {
			return true
		}
	}
	return false
}

// follow has a leader keep account of all that count.
func (c *Core) follow() {
	if c.role != leader {
		return
	}
	for _, g := range c.active() {
		for _, m := range g.members {
			if c.peers[m] == nil {
				c.peers[m] = &progress{next: c.last() + 1, heardAt: c.now}
			}
			c.peers[m].learner = false
		}
	}
	for id, p := range c.peers {
		if !c.member(id) && !p.learner {
			delete(c.peers, id)
		}
	}
}

func (c *Core) others() []ID {
	all := make([]ID, 0, len(c.peers))
	for id := range c.peers {
		if id != c.id {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// adopt makes a learner that holds all that was delivered a member, in the place of one at its address, or of one that
// is silent, or beside the others while they are fewer than must be there. More than that would only make majorities
// greater: a member that is gone for good would count in them. One change at a time.
func (c *Core) adopt() {
	if len(c.active()) > 1 || !c.Holds(c.now) {
		return
	}
	members := c.Members()
	for _, id := range c.others() {
		p := c.peers[id]
		if !p.learner || p.match < c.commit || c.now > p.heardAt+c.Lease {
			continue
		}
		next := slices.DeleteFunc(slices.Clone(members), func(m ID) bool { return m != c.id && m.Address() == id.Address() })
		if len(next) == len(members) {
			i := slices.IndexFunc(next, func(m ID) bool {
				return m != c.id && c.peers[m] != nil && c.now > c.peers[m].heardAt+c.Gone
			})
			switch {
			case i >= 0:
				next = slices.Delete(next, i, i+1)
			case len(members) >= c.Most:
				continue // it stands by
			}
		}
		next = append(next, id)
		slices.Sort(next)
		c.append(Entry{View: c.meta.View, Members: next})
		return
	}
}

// joined has a leader call a learner. Who joins knows its seeds only, and the leader need be none of them, nor be in
// reach of it: a follower passes on, once, what was sent to all.
func (c *Core) joined(m Message) {
	if c.role == follower && c.leader != "" && m.To == "" {
		m.To = c.leader
		c.out.Messages = append(c.out.Messages, m)
		return
	}
	if c.role != leader || c.member(m.From) || c.transferring {
		return
	}
	if c.peers[m.From] == nil {
		c.peers[m.From] = &progress{next: min(m.Index, c.last()) + 1, heardAt: c.now, learner: true}
	}
	p := c.peers[m.From]
	c.heartbeat(m.From)
	c.feed(m.From, p)
}
