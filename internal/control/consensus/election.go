package consensus

import (
	"slices"
)

type role uint8

const (
	follower role = iota
	candidate
	leader
)

// HoldsLease says that no other view can have begun by now, and that all that was delivered in older ones was delivered
// here. Only then may anything be granted or acknowledged.
func (c *Node) HoldsLease(now int64) bool {
	return c.role == leader && !c.transferring && c.began > 0 && c.commit >= c.began && now < c.heldUntil()
}

// heldUntil is when the first lease of the majority that held out longest ends, less a tenth for clocks that drift.
func (c *Node) heldUntil() int64 {
	until := int64(1<<62 - 1)
	for _, g := range c.active() {
		var at []int64
		for _, m := range g.members {
			switch p := c.peers[m]; {
			case m == c.id:
				at = append(at, c.now)
			case p != nil:
				at = append(at, p.confirmed)
			default:
				at = append(at, 0)
			}
		}
		slices.SortFunc(at, func(a, b int64) int { return int(max(-1, min(1, b-a))) })
		if len(at) == 0 {
			return 0
		}
		until = min(until, at[len(at)/2]+c.LeaseMs*9/10)
	}
	return until
}

// rest draws when to ask for votes, should no leader be heard by then.
func (c *Node) rest() {
	c.askAt = c.now + c.LeaseMs + 50 + int64(c.chance()*float64(c.ElectionJitterMs))
	if c.last() < c.commit { // nobody with less is to go first
		c.askAt += c.ElectionJitterMs
	}
}

func (c *Node) lead() {
	if c.now > max(c.heldUntil(), c.ledAt)+2*c.LeaseMs || c.transferring && c.now > c.silenced+c.LeaseMs {
		c.fall("")
		return
	}
	beat := c.now >= c.beatAt
	if beat {
		c.beatAt = c.now + c.HeartbeatMs
	}
	for _, id := range c.others() {
		p := c.peers[id]
		if beat && !c.transferring {
			c.heartbeat(id)
		}
		c.feed(id, p)
		if p.learner && c.now > p.heardAt+4*c.LeaseMs {
			delete(c.peers, id)
		}
	}
	c.adopt()
}

// unheard says that a member was silent for so long that a leader which has lost its majority must not bind it any
// more: it may hear well, and be heard by all others. It is only asked whether it is there.
func (c *Node) unheard(p *progress) bool {
	return c.now > p.heardAt+c.LeaseMs && c.now > max(c.heldUntil(), c.ledAt+c.LeaseMs)
}

func (c *Node) heartbeat(id ID) {
	p := c.peers[id]
	if c.unheard(p) {
		c.send(Message{Type: MsgVoteRequest, To: id, PreVote: true}) // as one that has nothing, it stops no other
		return
	}
	c.send(Message{Type: MsgHeartbeat, To: id, SentAtMs: c.now, CommitIndex: min(c.commit, p.match)})
}

// ask begins an election: first whether votes would be had, then for them.
func (c *Node) ask(preVote, transferred bool) {
	c.role, c.leader, c.preVote, c.transferred = candidate, "", preVote, transferred
	free := !c.promised() // its own vote is bound like any other's
	c.votes, c.fresh = map[ID]bool{c.id: preVote && free}, map[ID]bool{c.id: !c.heard}
	if c.rounds++; preVote { // asking whether votes would be had harms nobody
		c.askAt = c.now + c.HeartbeatMs/2 + int64(c.chance()*float64(c.ElectionJitterMs)/2)
	} else { // two at once may take each other's votes; slow disks need longer each time
		c.tries = min(c.tries+1, 8)
		c.askAt = c.now + int64(c.tries)*c.HeartbeatMs + int64(c.chance()*float64(c.ElectionJitterMs))
	}
	view, _ := c.viewAt(c.last())
	m := c.telling(Message{Type: MsgVoteRequest, Index: c.last(), PrevTerm: view, PreVote: preVote, LeadershipTransfer: transferred,
		ColdStart: c.allFresh && !preVote})
	to := map[ID]bool{}
	for _, g := range c.active() {
		for _, id := range g.members {
			if id != c.id {
				to[id] = true
			}
		}
	}
	var all []ID
	for id := range to {
		all = append(all, id)
	}
	slices.Sort(all)
	if preVote { // an answer of another round may be old: whoever was fresh then may have promised itself since
		c.round++
		m.PreVoteRound = c.round
		for _, id := range all {
			m.To = id
			c.send(m)
		}
		c.elected()
		return
	}
	c.meta.Term, c.meta.Vote = c.meta.Term+1, c.id
	meta := c.meta
	messages := []Message{{Type: MsgVoteResponse, To: c.id, Granted: free || transferred || m.ColdStart}}
	for _, id := range all {
		m.To = id
		messages = append(messages, m)
	}
	c.write(Write{HardState: &meta}, messages...)
}

func (c *Node) elected() {
	if c.role == candidate && !c.member(c.id) { // it has learnt from a vote that it is out
		c.fall("")
		return
	}
	// Where all members are in lives in which none has heard a leader, none leads: there is no lease to wait out.
	c.allFresh = c.preVote && c.all(func(id ID) bool { return c.fresh[id] })
	if c.role == candidate && c.allFresh {
		c.ask(false, false)
		return
	}
	if c.role != candidate || !c.majority(func(id ID) bool { return c.votes[id] }) {
		return
	}
	if c.preVote {
		c.ask(false, c.transferred)
		return
	}
	c.heard = true
	c.role, c.leader, c.transferring, c.beatAt, c.ledAt = leader, c.id, false, c.now, c.now
	c.peers = map[ID]*progress{}
	c.follow()
	c.peers[c.id].match = c.saved
	first := Entry{Term: c.meta.Term}
	if c.configs[len(c.configs)-1].index == 0 { // learners are told no other way who the first members were
		first.Members = c.Members()
	}
	c.append(first)
	c.began = c.last()
	c.lead()
}

// fall has a member follow again.
func (c *Node) fall(to ID) {
	c.role, c.leader, c.peers, c.votes, c.began, c.transferring = follower, to, nil, nil, 0, false
	c.rest()
}

// TransferLeadership hands the view over to the member that has most, if this one leads. Nothing is granted here any more.
func (c *Node) TransferLeadership(now int64) Ready {
	c.clock(now)
	c.transfer()
	return c.take()
}

func (c *Node) transfer() {
	if c.role != leader || c.transferring {
		return
	}
	best := ID("")
	for _, id := range c.others() {
		p := c.peers[id]
		if p.learner || c.now >= p.heardAt+c.LeaseMs {
			continue
		}
		if best == "" || c.leaves(best) && !c.leaves(id) || c.leaves(best) == c.leaves(id) && p.match > c.peers[best].match {
			best = id
		}
	}
	if best != "" {
		c.transferring, c.silenced, c.heir = true, c.now, best
		c.yield()
	}
}

// yield has the heir ask for votes once it holds all that was appended: before, others may have what it lacks, and refuse.
func (c *Node) yield() {
	if !c.transferring || c.heir == "" || c.peers[c.heir] == nil || c.peers[c.heir].match < c.last() {
		return
	}
	heir := c.heir
	c.heir = ""
	c.send(Message{Type: MsgTimeoutNow, To: heir})
	if !c.member(c.id) { // nobody tells it who leads now
		c.fall(heir)
	}
}

// telling adds what is known here to be delivered: where a leader is lost right after a change of members, what knows
// of it and what can lead need not be the same member.
func (c *Node) telling(m Message) Message {
	m.CommitIndex = max(c.commit, c.meta.CommittedConfigIndex)
	m.CommitTerm, _ = c.viewAt(m.CommitIndex)
	return m
}

// learn takes in what another knows to be delivered: with that entry alike, all before it are.
func (c *Node) learn(m Message) {
	if view, held := c.viewAt(m.CommitIndex); held && m.CommitIndex > c.commit && view == m.CommitTerm {
		c.commitTo(m.CommitIndex)
	}
}

// promised says that a leader may count on this member: one that it has heard, or that an earlier life may have heard.
func (c *Node) promised() bool { return c.now < max(c.heardAt, c.startedAt)+c.LeaseMs }

// asked answers a candidate. A member that has promised itself to a view gives no vote until that is over, and takes
// part in nothing newer meanwhile.
func (c *Node) asked(m Message) {
	view, _ := c.viewAt(c.last())
	upToDate := m.PrevTerm > view || m.PrevTerm == view && m.Index >= c.last()
	bound := c.promised() || c.role == leader && c.now < c.heldUntil()+c.LeaseMs/5
	if m.LeadershipTransfer && m.From != "" && c.role == follower && c.now >= c.startedAt+c.LeaseMs {
		bound = false
	}
	if m.LeadershipTransfer && c.role == leader && c.transferring || m.ColdStart && !c.heard {
		bound = false
	}
	if m.PreVote {
		newer := m.Term+1 > c.meta.Term
		// Two that try at once would take each other's votes. With as much each, the one that comes first by name goes on, for
		// as long as it may yet get through.
		if c.role == candidate && c.preVote && c.rounds <= 2 && upToDate && newer && !bound && m.PrevTerm == view && m.Index == c.last() {
			if c.id < m.From {
				newer = false
			} else {
				c.fall("")
				c.askAt = c.now + 2*c.HeartbeatMs + int64(c.chance()*float64(c.ElectionJitterMs))
			}
		}
		c.send(c.telling(Message{Type: MsgVoteResponse, To: m.From, PreVote: true, Granted: !bound && upToDate && newer,
			ColdStart: !c.heard && upToDate, PreVoteRound: m.PreVoteRound}))
		return
	}
	if bound || m.Term < c.meta.Term {
		return
	}
	if m.Term > c.meta.Term {
		c.meta.Term, c.meta.Vote = m.Term, ""
		c.fall("")
	} else if c.meta.Vote != "" && c.meta.Vote != m.From || c.role == leader {
		return
	}
	if !upToDate {
		meta := c.meta
		c.write(Write{HardState: &meta})
		return
	}
	c.meta.Vote = m.From
	c.rest()
	meta := c.meta
	c.write(Write{HardState: &meta}, c.telling(Message{Type: MsgVoteResponse, To: m.From, Granted: true}))
}
