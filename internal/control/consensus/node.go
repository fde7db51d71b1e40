package consensus

import (
	"slices"
	"sort"
)

// Meta is what a member has promised.
type Meta struct {
	View    uint64
	Vote    ID
	Settled uint64 // the newest change of members that is known to be delivered
}

// Write is what is to be put on disk, in the order of Seq. All that is set belongs together.
type Write struct {
	Seq      uint64
	Meta     *Meta
	From     uint64 // where Entries start; what stood there and after is gone. 0: no entries
	Entries  []Entry
	Snapshot *Snapshot // takes the place of all entries up to its index
	Keep     uint64    // entries up to here may go
}

// Kind of a message.
type Kind uint8

// Kinds.
const (
	Heartbeat      Kind = iota + 1 // by a leader: this view is held; Sent comes back
	HeartbeatReply                 // a member will take part in no other view for a while
	Append                         // entries behind Index of View Prev
	Accept                         // they are on disk up to Index
	Refuse                         // they do not fit; Index is where to try
	Install                        // a part of a snapshot
	VoteRequest                    // for a vote; PreVote: whether one would be had
	Vote                           // Granted
	Transfer                       // a leader hands its view over
	Join                           // a learner, or a member that nobody calls, asks to be called
	InstallReply                   // how much of a snapshot is here
	Refetch                        // a member whose state is wrong asks for a snapshot, whatever it holds
	Leave                          // a member that is to end asks for its seat to be handed on
	LeaveReply                     // it may end. Granted: it counts no more; else none stands by, and it keeps its seat
)

// Message is what members say to each other.
type Message struct {
	Kind        Kind
	From, To    ID
	View        uint64
	Index       uint64
	Prev        uint64
	Commit      uint64
	Sent        int64
	Entries     []Entry
	Part        *Part  // of Install and InstallReply
	PreVote     bool   // of VoteRequest and Vote
	Transferred bool   // of VoteRequest: the leader that was promised to has handed over
	Granted     bool   // of HeartbeatReply: this member is leaving
	Fresh       bool   // of Vote: no leader was heard in this life; of VoteRequest: all members have said so
	Round       uint64 // of a pre-vote: which one; an answer brings it back, and counts for no other
	CommitView  uint64 // of VoteRequest, Vote and LeaveReply: the view of the entry at Commit
}

// Out is what a call asks for. Messages that wait for a disk come out of Saved.
type Out struct {
	Writes    []Write
	Messages  []Message
	Delivered []Delivery
}

// Delivery is an entry that all members deliver in this place, or a snapshot that stands for all before.
type Delivery struct {
	Index    uint64
	View     uint64
	Body     []byte
	Snapshot *Snapshot
}

// Terms are times in milliseconds, and how many members may be lost.
type Terms struct {
	Lease  int64 // a member that hears a leader takes part in no other view for so long
	Beat   int64 // between heartbeats
	Jitter int64 // the most that is added to Lease before a member asks for votes
	Again  int64 // after which entries are sent again
	Gone   int64 // a member silent for so long makes way for a learner
	Most   int   // how many members there are at most; others stand by
	Part   int   // bytes of a part of a snapshot
	Kept   int   // bytes of entries that a snapshot stands for and that stay in memory, for members that lag a little
	Behind int   // and of those behind a snapshot that a member is taking
}

// Usual are terms for a network of a few milliseconds, where so many members may be lost at once.
func Usual(lost int) Terms {
	return Terms{Lease: 700, Beat: 130, Jitter: 200, Again: 400, Gone: 2000, Most: 2*max(lost, 1) + 1,
		Part: 128 << 10, Kept: 256 << 10, Behind: 4 << 20}
}

// Core is one member. It is not safe for use by several goroutines.
type Core struct {
	Terms
	id        ID
	now       int64
	startedAt int64
	chance    func() float64

	meta    Meta
	base    Snapshot // Index 0: none
	old     []Entry  // up to base.Index, for members that lag
	oldView uint64   // of the entry before old
	log     []Entry  // from base.Index+1 on
	commit  uint64
	given   uint64 // delivered
	saved   uint64 // on disk, as far as in the log
	seq     uint64
	waiting []pending
	configs []config // the newest delivered, and those behind it

	role         role
	leader       ID
	heardAt      int64 // from a leader
	askAt        int64
	joinAt       int64
	preVote      bool
	transferred  bool
	votes        map[ID]bool
	fresh        map[ID]bool // members that have heard no leader in their present lives
	heard        bool        // a leader was, in this life, or this one led
	allFresh     bool
	tries        int64  // elections since a leader was heard
	rounds       int    // and times that this member asked at all
	round        uint64 // of this life's pre-votes, counted from where chance put it
	peers        map[ID]*progress
	began        uint64 // the index of this leader's first entry
	beatAt       int64
	transferring bool
	ledAt        int64 // when it began to lead
	silenced     int64
	heir         ID      // that is to lead next, and has not been told yet
	taking       *taking // a snapshot that comes in parts
	refetch      bool    // the state here is wrong
	refetchAt    int64
	settled      uint64 // of Meta.Settled, what is on disk
	departure    departure
	out          Out

	Counts
}

// New starts a member. founders are the first members, for a first start with an empty disk; a learner has none.
func New(id ID, t Terms, kept Restored, founders []ID, chance func() float64, now int64) *Core {
	c := &Core{Terms: t, id: id, now: now, startedAt: now, heardAt: now, chance: chance, meta: kept.Meta, base: kept.Snapshot,
		log: kept.Entries, oldView: kept.Snapshot.View}
	c.commit, c.given, c.saved, c.settled = c.base.Index, c.base.Index, c.last(), c.meta.Settled
	c.configs = []config{{c.base.Index, c.base.Members}}
	if c.base.Index == 0 && len(c.base.Members) == 0 {
		c.configs[0].members = slices.Clone(founders)
		c.base.Members = slices.Clone(founders)
	}
	for i, e := range c.log {
		if len(e.Members) > 0 {
			c.configs = append(c.configs, config{c.base.Index + uint64(i) + 1, e.Members})
		}
	}
	drawn := c.chance()
	c.askAt = now + c.Beat/2 + int64(drawn*float64(c.Jitter)/2)
	c.round = uint64(drawn*(1<<50)) << 13
	return c
}

// Leader is who leads, as far as known; empty: nobody.
func (c *Core) Leader() ID { return c.leader }

// Heard is the leader, where it was heard lately enough to be worth asking; empty: nobody. Its lease may run longer.
func (c *Core) Heard(now int64) ID {
	if c.role != leader && now > c.heardAt+c.Lease*2/3 {
		return ""
	}
	return c.leader
}

// View is the newest view that this member takes part in.
func (c *Core) View() uint64 { return c.meta.View }

// Commit is up to where changes are delivered.
func (c *Core) Commit() uint64 { return c.commit }

// Last is up to where entries are held.
func (c *Core) Last() uint64 { return c.last() }

// IsLeader says whether this member leads its view.
func (c *Core) IsLeader() bool { return c.role == leader }

func (c *Core) take() Out {
	o := c.out
	c.out = Out{}
	return o
}

func (c *Core) clock(now int64) { c.now = max(c.now, now) }

func (c *Core) send(m Message) {
	m.From, m.View = c.id, c.meta.View
	c.out.Messages = append(c.out.Messages, m)
}

// Tick goes on to a time; it is to be called every Beat/3 or so.
func (c *Core) Tick(now int64) Out {
	c.clock(now)
	if c.refetch && c.role == follower && c.leader != "" && c.now >= c.refetchAt {
		c.refetchAt = c.now + c.Lease
		c.send(Message{Kind: Refetch, To: c.leader})
	}
	c.depart()
	switch {
	case c.role == leader:
		c.lead()
	case c.now >= c.askAt && c.member(c.id):
		c.ask(true, false)
	case c.departure.begun: // it is to be called no more
	case !c.member(c.id) || c.leader == "" && c.now > c.heardAt+3*c.Lease:
		if c.now >= c.joinAt {
			c.joinAt = c.now + c.Lease/2
			c.send(Message{Kind: Join, Index: c.last()})
		}
	}
	return c.take()
}

// Step takes in a member's message.
func (c *Core) Step(m Message, now int64) Out {
	c.clock(now)
	if m.From == "" || m.From == c.id || m.To != "" && m.To != c.id { // for who was at this address before: what it held is not held here
		c.Strays++
		return c.take()
	}
	c.step(m)
	return c.take()
}

func (c *Core) step(m Message) {
	switch m.Kind {
	case Vote, VoteRequest, LeaveReply:
		c.learn(m)
	}
	switch m.Kind {
	case Join:
		c.joined(m)
		return
	case Leave:
		c.left(m)
		return
	case LeaveReply:
		c.departed(m)
		return
	case VoteRequest:
		c.asked(m)
		return
	}
	if m.Kind == Vote && m.PreVote {
		if m.View > c.meta.View { // else one with less, in a newer view, would stop one with more for good
			c.meta.View, c.meta.Vote = m.View, ""
			meta := c.meta
			c.write(Write{Meta: &meta})
			c.fall("")
			c.askAt = c.now
			return
		}
		if p := c.peers[m.From]; c.role == leader && p != nil {
			p.heardAt = c.now
		}
		if c.role == candidate && c.preVote {
			c.votes[m.From] = c.votes[m.From] || m.Granted
			c.fresh[m.From] = m.Fresh && m.Round == c.round
			c.elected()
		}
		return
	}
	switch {
	case m.View < c.meta.View:
		if m.Kind == Append || m.Kind == Heartbeat || m.Kind == Install {
			c.send(Message{Kind: Refuse, To: m.From, Index: c.last()}) // its view is over
		}
		return
	case m.View > c.meta.View:
		c.meta.View, c.meta.Vote = m.View, ""
		meta := c.meta
		c.write(Write{Meta: &meta})
		c.fall("")
	}
	switch m.Kind {
	case Heartbeat, Append, Install, Transfer:
		if c.role == leader {
			return // no view has two leaders; this is an echo of one's own
		}
		if m.Kind == Transfer {
			if m.From == c.leader && c.member(c.id) {
				c.ask(false, true)
			}
			return
		}
		if c.role != follower || c.leader != m.From {
			c.fall(m.From)
		}
		c.heardAt, c.heard, c.tries, c.rounds = c.now, true, 0, 0
		c.rest()
	}
	switch m.Kind {
	case Heartbeat:
		c.commitTo(m.Commit)
		c.send(Message{Kind: HeartbeatReply, To: m.From, Sent: m.Sent, Index: c.settled, Granted: c.departure.begun})
		if m.Commit > c.last() { // it is told of what it had, and its disk has no more
			c.send(Message{Kind: Refuse, To: m.From, Index: c.last()})
		}
	case Append:
		c.appended(m)
	case Install:
		c.installed(m)
	case Vote:
		if c.role == candidate && !c.preVote && m.Granted {
			c.votes[m.From] = true
			c.elected()
		}
	case HeartbeatReply, Accept, Refuse, InstallReply, Refetch:
		c.replied(m)
	}
}

// Standing is what a member shows of its view.
type Standing struct {
	ID, Leader   ID
	View         uint64
	Base, Commit uint64
	Last, Saved  uint64
	Members      []ID
	Learners     []ID
	Holds        bool
	Strays       int64 // messages passed over: to another life, of one that is no member, by more than are kept account of
}

// Standing is a copy for counters and commands.
func (c *Core) Standing(now int64) Standing {
	s := Standing{ID: c.id, Leader: c.leader, View: c.meta.View, Base: c.base.Index, Commit: c.commit, Last: c.last(), Saved: c.saved,
		Members: slices.Clone(c.Members()), Holds: c.Holds(now), Strays: c.Strays}
	for id, p := range c.peers {
		if p.learner {
			s.Learners = append(s.Learners, id)
		}
	}
	sort.Slice(s.Learners, func(i, j int) bool { return s.Learners[i] < s.Learners[j] })
	return s
}
