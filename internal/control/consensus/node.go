package consensus

import (
	"slices"
	"sort"
)

// HardState is what a member has promised.
type HardState struct {
	Term                 uint64
	Vote                 ID
	CommittedConfigIndex uint64 // the newest change of members that is known to be delivered
}

// Write is what is to be put on disk, in the order of Seq. All that is set belongs together.
type Write struct {
	Seq            uint64
	HardState      *HardState
	FirstIndex     uint64 // where Entries start; what stood there and after is gone. 0: no entries
	Entries        []Entry
	Snapshot       *Snapshot // takes the place of all entries up to its index
	CompactThrough uint64    // entries up to here may go
}

// MessageType of a message.
type MessageType uint8

// Kinds.
const (
	MsgHeartbeat         MessageType = iota + 1 // by a leader: this view is held; Sent comes back
	MsgHeartbeatResponse                        // a member will take part in no other view for a while
	MsgAppend                                   // entries behind Index of View Prev
	MsgAppendAccepted                           // they are on disk up to Index
	MsgAppendRejected                           // they do not fit; Index is where to try
	MsgSnapshotChunk                            // a part of a snapshot
	MsgVoteRequest                              // for a vote; PreVote: whether one would be had
	MsgVoteResponse                             // Granted
	MsgTimeoutNow                               // a leader hands its view over
	MsgJoin                                     // a learner, or a member that nobody calls, asks to be called
	MsgSnapshotChunkAck                         // how much of a snapshot is here
	MsgSnapshotRequest                          // a member whose state is wrong asks for a snapshot, whatever it holds
	MsgLeave                                    // a member that is to end asks for its seat to be handed on
	MsgLeaveResponse                            // it may end. Granted: it counts no more; else none stands by, and it keeps its seat
)

// Message is what members say to each other.
type Message struct {
	Type               MessageType
	From, To           ID
	Term               uint64
	Index              uint64
	PrevTerm           uint64
	CommitIndex        uint64
	SentAtMs           int64
	Entries            []Entry
	Chunk              *SnapshotChunk // of Install and InstallReply
	PreVote            bool           // of VoteRequest and Vote
	LeadershipTransfer bool           // of VoteRequest: the leader that was promised to has handed over
	Granted            bool           // of HeartbeatReply: this member is leaving
	ColdStart          bool           // of Vote: no leader was heard in this life; of VoteRequest: all members have said so
	PreVoteRound       uint64         // of a pre-vote: which one; an answer brings it back, and counts for no other
	CommitTerm         uint64         // of VoteRequest, Vote and LeaveReply: the view of the entry at Commit
}

// Ready is what a call asks for. Messages that wait for a disk come out of Saved.
type Ready struct {
	Writes    []Write
	Messages  []Message
	Committed []Committed
}

// Committed is an entry that all members deliver in this place, or a snapshot that stands for all before.
type Committed struct {
	Index    uint64
	Term     uint64
	Data     []byte
	Snapshot *Snapshot
}

// Config are times in milliseconds, and how many members may be lost.
type Config struct {
	LeaseMs               int64 // a member that hears a leader takes part in no other view for so long
	HeartbeatMs           int64 // between heartbeats
	ElectionJitterMs      int64 // the most that is added to Lease before a member asks for votes
	RetransmitMs          int64 // after which entries are sent again
	RemovalTimeoutMs      int64 // a member silent for so long makes way for a learner
	MaxMembers            int   // how many members there are at most; others stand by
	ChunkBytes            int   // bytes of a part of a snapshot
	RetainedBytes         int   // bytes of entries that a snapshot stands for and that stay in memory, for members that lag a little
	TransferRetainedBytes int   // and of those behind a snapshot that a member is taking
}

// DefaultConfig are terms for a network of a few milliseconds, where so many members may be lost at once.
func DefaultConfig(lost int) Config {
	return Config{LeaseMs: 700, HeartbeatMs: 130, ElectionJitterMs: 200, RetransmitMs: 400, RemovalTimeoutMs: 2000, MaxMembers: 2*max(lost, 1) + 1,
		ChunkBytes: 128 << 10, RetainedBytes: 256 << 10, TransferRetainedBytes: 4 << 20}
}

// Node is one member. It is not safe for use by several goroutines.
type Node struct {
	Config
	id        ID
	now       int64
	startedAt int64
	chance    func() float64

	meta    HardState
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
	out          Ready

	Counters
}

// New starts a member. founders are the first members, for a first start with an empty disk; a learner has none.
func New(id ID, t Config, kept RestoredState, founders []ID, chance func() float64, now int64) *Node {
	c := &Node{Config: t, id: id, now: now, startedAt: now, heardAt: now, chance: chance, meta: kept.HardState, base: kept.Snapshot,
		log: kept.Entries, oldView: kept.Snapshot.Term}
	c.commit, c.given, c.saved, c.settled = c.base.Index, c.base.Index, c.last(), c.meta.CommittedConfigIndex
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
	c.askAt = now + c.HeartbeatMs/2 + int64(drawn*float64(c.ElectionJitterMs)/2)
	c.round = uint64(drawn*(1<<50)) << 13
	return c
}

// Leader is who leads, as far as known; empty: nobody.
func (c *Node) Leader() ID { return c.leader }

// RecentLeader is the leader, where it was heard lately enough to be worth asking; empty: nobody. Its lease may run longer.
func (c *Node) RecentLeader(now int64) ID {
	if c.role != leader && now > c.heardAt+c.LeaseMs*2/3 {
		return ""
	}
	return c.leader
}

// Term is the newest view that this member takes part in.
func (c *Node) Term() uint64 { return c.meta.Term }

// CommitIndex is up to where changes are delivered.
func (c *Node) CommitIndex() uint64 { return c.commit }

// LastIndex is up to where entries are held.
func (c *Node) LastIndex() uint64 { return c.last() }

// IsLeader says whether this member leads its view.
func (c *Node) IsLeader() bool { return c.role == leader }

func (c *Node) take() Ready {
	o := c.out
	c.out = Ready{}
	return o
}

func (c *Node) clock(now int64) { c.now = max(c.now, now) }

func (c *Node) send(m Message) {
	m.From, m.Term = c.id, c.meta.Term
	c.out.Messages = append(c.out.Messages, m)
}

// Tick goes on to a time; it is to be called every Beat/3 or so.
func (c *Node) Tick(now int64) Ready {
	c.clock(now)
	if c.refetch && c.role == follower && c.leader != "" && c.now >= c.refetchAt {
		c.refetchAt = c.now + c.LeaseMs
		c.send(Message{Type: MsgSnapshotRequest, To: c.leader})
	}
	c.depart()
	switch {
	case c.role == leader:
		c.lead()
	case c.now >= c.askAt && c.member(c.id):
		c.ask(true, false)
	case c.departure.begun: // it is to be called no more
	case !c.member(c.id) || c.leader == "" && c.now > c.heardAt+3*c.LeaseMs:
		if c.now >= c.joinAt {
			c.joinAt = c.now + c.LeaseMs/2
			c.send(Message{Type: MsgJoin, Index: c.last()})
		}
	}
	return c.take()
}

// Step takes in a member's message.
func (c *Node) Step(m Message, now int64) Ready {
	c.clock(now)
	if m.From == "" || m.From == c.id || m.To != "" && m.To != c.id { // for who was at this address before: what it held is not held here
		c.DiscardedMessages++
		return c.take()
	}
	c.step(m)
	return c.take()
}

func (c *Node) step(m Message) {
	switch m.Type {
	case MsgVoteResponse, MsgVoteRequest, MsgLeaveResponse:
		c.learn(m)
	}
	switch m.Type {
	case MsgJoin:
		c.joined(m)
		return
	case MsgLeave:
		c.left(m)
		return
	case MsgLeaveResponse:
		c.departed(m)
		return
	case MsgVoteRequest:
		c.asked(m)
		return
	}
	if m.Type == MsgVoteResponse && m.PreVote {
		if m.Term > c.meta.Term { // else one with less, in a newer view, would stop one with more for good
			c.meta.Term, c.meta.Vote = m.Term, ""
			meta := c.meta
			c.write(Write{HardState: &meta})
			c.fall("")
			c.askAt = c.now
			return
		}
		if p := c.peers[m.From]; c.role == leader && p != nil {
			p.heardAt = c.now
		}
		if c.role == candidate && c.preVote {
			c.votes[m.From] = c.votes[m.From] || m.Granted
			c.fresh[m.From] = m.ColdStart && m.PreVoteRound == c.round
			c.elected()
		}
		return
	}
	switch {
	case m.Term < c.meta.Term:
		if m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshotChunk {
			c.send(Message{Type: MsgAppendRejected, To: m.From, Index: c.last()}) // its view is over
		}
		return
	case m.Term > c.meta.Term:
		c.meta.Term, c.meta.Vote = m.Term, ""
		meta := c.meta
		c.write(Write{HardState: &meta})
		c.fall("")
	}
	switch m.Type {
	case MsgHeartbeat, MsgAppend, MsgSnapshotChunk, MsgTimeoutNow:
		if c.role == leader {
			return // no view has two leaders; this is an echo of one's own
		}
		if m.Type == MsgTimeoutNow {
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
	switch m.Type {
	case MsgHeartbeat:
		c.commitTo(m.CommitIndex)
		c.send(Message{Type: MsgHeartbeatResponse, To: m.From, SentAtMs: m.SentAtMs, Index: c.settled, Granted: c.departure.begun})
		if m.CommitIndex > c.last() { // it is told of what it had, and its disk has no more
			c.send(Message{Type: MsgAppendRejected, To: m.From, Index: c.last()})
		}
	case MsgAppend:
		c.appended(m)
	case MsgSnapshotChunk:
		c.installed(m)
	case MsgVoteResponse:
		if c.role == candidate && !c.preVote && m.Granted {
			c.votes[m.From] = true
			c.elected()
		}
	case MsgHeartbeatResponse, MsgAppendAccepted, MsgAppendRejected, MsgSnapshotChunkAck, MsgSnapshotRequest:
		c.replied(m)
	}
}

// Status is what a member shows of its view.
type Status struct {
	ID, Leader                 ID
	Term                       uint64
	SnapshotIndex, CommitIndex uint64
	LastIndex, PersistedIndex  uint64
	Members                    []ID
	Learners                   []ID
	HoldsLease                 bool
	DiscardedMessages          int64 // messages passed over: to another life, of one that is no member, by more than are kept account of
}

// Status is a copy for counters and commands.
func (c *Node) Status(now int64) Status {
	s := Status{ID: c.id, Leader: c.leader, Term: c.meta.Term, SnapshotIndex: c.base.Index, CommitIndex: c.commit, LastIndex: c.last(), PersistedIndex: c.saved,
		Members: slices.Clone(c.Members()), HoldsLease: c.HoldsLease(now), DiscardedMessages: c.DiscardedMessages}
	for id, p := range c.peers {
		if p.learner {
			s.Learners = append(s.Learners, id)
		}
	}
	sort.Slice(s.Learners, func(i, j int) bool { return s.Learners[i] < s.Learners[j] })
	return s
}
