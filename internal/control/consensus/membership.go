package consensus

import (
	"cmp"
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
	settled     uint64    // the newest change of members that it knows, on disk, to be delivered
	leavingAt   int64     // when it last said that it is to end; 0: it is not
	leavesSince int64     // and when first
}

// departure is how far a member that is to end has come.
type departure struct {
	begun, over, handed bool
	begunAt, askAt      int64
}

const mostLearners = 32

// Members are who counts, by the newest entry held.
func (c *Node) Members() []ID { return c.configs[len(c.configs)-1].members }

// active are the configurations that must each agree: the newest delivered one and all behind it.
func (c *Node) active() []config {
	i := 0
	for i+1 < len(c.configs) && c.configs[i+1].index <= max(c.commit, c.meta.CommittedConfigIndex) {
		i++
	}
	return c.configs[i:]
}

func (c *Node) majority(has func(ID) bool) bool {
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

func (c *Node) all(has func(ID) bool) bool {
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

func (c *Node) member(id ID) bool {
	for _, g := range c.active() {
		if slices.Contains(g.members, id) {
			return true
		}
	}
	return false
}

// follow has a leader keep account of all that count.
func (c *Node) follow() {
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
		if !c.member(id) && !p.learner && id != c.id {
			delete(c.peers, id)
		}
	}
}

func (c *Node) others() []ID {
	all := make([]ID, 0, len(c.peers))
	for id := range c.peers {
		if id != c.id {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// adopt makes a learner that holds all that was delivered a member, in the place of one at its address, of one that is
// to end, or of one that is silent, or beside the others while they are fewer than must be there. More than that would only make majorities
// greater: a member that is gone for good would count in them. One change at a time.
func (c *Node) adopt() {
	if len(c.active()) > 1 || !c.HoldsLease(c.now) {
		return
	}
	members := c.Members()
	for _, id := range c.standby() {
		if c.peers[id].match < c.commit {
			continue
		}
		next := slices.DeleteFunc(slices.Clone(members), func(m ID) bool { return m != c.id && m.Address() == id.Address() })
		if len(next) == len(members) {
			i := slices.IndexFunc(next, c.leaves)
			if i < 0 {
				i = slices.IndexFunc(next, func(m ID) bool {
					return m != c.id && c.peers[m] != nil && c.now > c.peers[m].heardAt+c.RemovalTimeoutMs
				})
			}
			switch {
			case i >= 0:
				next = slices.Delete(next, i, i+1)
			case len(members) >= c.MaxMembers:
				continue // it stands by
			}
		}
		next = append(next, id)
		slices.Sort(next)
		c.append(Entry{Term: c.meta.Term, Members: next})
		return
	}
}

// joined has a leader call a learner. Who joins knows its seeds only, and the leader need be none of them, nor be in
// reach of it: a follower passes on, once, what was sent to all.
func (c *Node) joined(m Message) {
	if c.role == follower && c.leader != "" && m.To == "" {
		m.To = c.leader
		c.out.Messages = append(c.out.Messages, m)
		return
	}
	if c.role != leader || c.member(m.From) || c.transferring {
		return
	}
	if c.peers[m.From] == nil {
		learners := 0
		for id, p := range c.peers {
			switch {
			case !p.learner:
			case id.Address() == m.From.Address(): // an older life
				delete(c.peers, id)
			default:
				learners++
			}
		}
		if learners >= mostLearners {
			c.DiscardedMessages++
			return
		}
		c.peers[m.From] = &progress{next: min(m.Index, c.last()) + 1, heardAt: c.now, learner: true}
	}
	p := c.peers[m.From]
	c.heartbeat(m.From)
	c.feed(m.From, p)
}

// standby are the learners that are heard of, those that hold most first. One that is to end is forgotten when it says so.
func (c *Node) standby() (all []ID) {
	for _, id := range c.others() {
		if p := c.peers[id]; p.learner && c.now <= p.heardAt+c.LeaseMs {
			all = append(all, id)
		}
	}
	slices.SortStableFunc(all, func(a, b ID) int { return cmp.Compare(c.peers[b].match, c.peers[a].match) })
	return all
}

func (p *progress) leaves(now int64) {
	if p.leavingAt == 0 {
		p.leavesSince = now
	}
	p.leavingAt = now
}

// leaves says that a member is to end: it has said so, and was not heard of otherwise since.
func (c *Node) leaves(id ID) bool {
	p := c.peers[id]
	return p != nil && p.leavingAt > 0 && c.now <= p.leavingAt+c.RemovalTimeoutMs
}

// Leave has this member ask for its seat to be handed on, until Left. It goes on counting, voting and answering until then.
func (c *Node) Leave(now int64) Ready {
	c.clock(now)
	if d := &c.departure; !d.begun {
		d.begun, d.begunAt = true, c.now
	}
	c.depart()
	return c.take()
}

// LeaveProgress says whether a member that leaves may end, and whether another has its seat. Where none stands by it keeps the
// seat: it may come back with all that it holds, and a configuration without it would need all the others.
func (c *Node) LeaveProgress() (over, handed bool) { return c.departure.over, c.departure.handed }

// depart asks the one that leads, again and again: it may change. One that leads itself hands its seat on first, so that
// its view is left once, and by a member that goes on.
func (c *Node) depart() {
	d := &c.departure
	if !d.begun || d.over || c.now < d.askAt {
		return
	}
	d.askAt = c.now + c.HeartbeatMs/2
	if p := c.peers[c.id]; p != nil {
		p.leaves(c.now)
	}
	switch {
	case c.role != leader:
		if c.leader != "" {
			c.send(Message{Type: MsgLeave, To: c.leader, SentAtMs: c.now})
		}
	case c.transferring:
	case c.member(c.id) && c.awaits(c.id):
		c.adopt()
	case c.member(c.id) || c.agreed():
		d.over, d.handed = true, !c.member(c.id)
		c.transfer()
	}
}

// awaits says that a member should not end yet: its seat may still be handed on (a learner is there, or has had no time
// to call, or a change is under way), or those that have been heard of since it said so are no majority without it.
func (c *Node) awaits(id ID) bool {
	since := c.peers[id].leavesSince
	return len(c.active()) > 1 || len(c.standby()) > 0 || !c.HoldsLease(c.now) || c.now < c.ledAt+c.LeaseMs ||
		!c.majority(func(m ID) bool {
			p := c.peers[m]
			return m != id && (m == c.id || p != nil && p.confirmed > since && !c.leaves(m))
		})
}

// agreed says that a majority of the members has on disk that the last change of members was delivered. Before that, a
// loss could leave none but such as would still ask those who are out.
func (c *Node) agreed() bool {
	all := c.active()
	return len(all) == 1 && c.majority(func(id ID) bool {
		if id == c.id {
			return c.settled >= all[0].index
		}
		p := c.peers[id]
		return p != nil && p.settled >= all[0].index
	})
}

// left has a leader hand on the seat of a member that is to end, and tell it once it may.
func (c *Node) left(m Message) {
	if !c.HoldsLease(c.now) {
		return
	}
	p := c.peers[m.From]
	switch {
	case !c.member(m.From):
		if p == nil {
			c.DiscardedMessages++
		}
		delete(c.peers, m.From)
		if c.agreed() {
			c.send(c.telling(Message{Type: MsgLeaveResponse, To: m.From, SentAtMs: m.SentAtMs, Granted: true}))
		}
	default: // where it ends, a learner that comes before it is back need not wait until it is silent for long
		if p.leaves(c.now); c.awaits(m.From) {
			c.adopt()
			return
		}
		c.send(c.telling(Message{Type: MsgLeaveResponse, To: m.From, SentAtMs: m.SentAtMs}))
	}
}

func (c *Node) departed(m Message) {
	if d := &c.departure; d.begun && m.From == c.leader && m.Term == c.meta.Term && m.SentAtMs >= d.begunAt && m.SentAtMs <= c.now {
		d.over, d.handed = true, m.Granted
	}
}
