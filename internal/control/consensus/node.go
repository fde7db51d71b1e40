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
	return Config{
		LeaseMs: 700, HeartbeatMs: 130, ElectionJitterMs: 200, RetransmitMs: 400, RemovalTimeoutMs: 2000, MaxMembers: 2*max(lost, 1) + 1,
		ChunkBytes: 128 << 10, RetainedBytes: 256 << 10, TransferRetainedBytes: 4 << 20,
	}
}

// Node is one member. It is not safe for use by several goroutines.
type Node struct {
	Config
	id          ID
	nowMs       int64
	startedAtMs int64
	random      func() float64

	hardState        HardState
	snapshot         Snapshot // Index 0: none
	retained         []Entry  // up to base.Index, for members that lag
	retainedPrevTerm uint64   // of the entry before old
	entries          []Entry  // from base.Index+1 on
	commitIndex      uint64
	appliedIndex     uint64 // delivered
	persistedIndex   uint64 // on disk, as far as in the log
	lastWriteSeq     uint64
	pendingWrites    []pendingWrite
	configurations   []configuration // the newest delivered, and those behind it

	role                    role
	leaderID                ID
	leaderHeardAtMs         int64 // from a leader
	electionAtMs            int64
	nextJoinAtMs            int64
	preVote                 bool
	transferred             bool
	votes                   map[ID]bool
	coldStarts              map[ID]bool // members that have heard no leader in their present lives
	leaderSeen              bool        // a leader was, in this life, or this one led
	clusterColdStart        bool
	electionCount           int64  // elections since a leader was heard
	campaignCount           int    // and times that this member asked at all
	preVoteRound            uint64 // of this life's pre-votes, counted from where chance put it
	peers                   map[ID]*progress
	termStartIndex          uint64 // the index of this leader's first entry
	nextHeartbeatAtMs       int64
	transferring            bool
	leaderSinceMs           int64 // when it began to lead
	transferStartedAtMs     int64
	transferee              ID                // that is to lead next, and has not been told yet
	incoming                *incomingSnapshot // a snapshot that comes in parts
	snapshotWanted          bool              // the state here is wrong
	nextSnapshotRequestAtMs int64
	persistedConfigIndex    uint64 // of Meta.Settled, what is on disk
	leave                   departure
	ready                   Ready

	Counters
}

// New starts a member. founders are the first members, for a first start with an empty disk; a learner has none.
func New(id ID, config Config, restored RestoredState, founders []ID, random func() float64, nowMs int64) *Node {
	n := &Node{
		Config: config, id: id, nowMs: nowMs, startedAtMs: nowMs, leaderHeardAtMs: nowMs, random: random, hardState: restored.HardState, snapshot: restored.Snapshot,
		entries: restored.Entries, retainedPrevTerm: restored.Snapshot.Term,
	}
	n.commitIndex, n.appliedIndex, n.persistedIndex, n.persistedConfigIndex = n.snapshot.Index, n.snapshot.Index, n.lastIndex(), n.hardState.CommittedConfigIndex
	n.configurations = []configuration{{n.snapshot.Index, n.snapshot.Members}}
	if n.snapshot.Index == 0 && len(n.snapshot.Members) == 0 {
		n.configurations[0].members = slices.Clone(founders)
		n.snapshot.Members = slices.Clone(founders)
	}
	for i, entry := range n.entries {
		if len(entry.Members) > 0 {
			n.configurations = append(n.configurations, configuration{n.snapshot.Index + uint64(i) + 1, entry.Members})
		}
	}
	drawn := n.random()
	n.electionAtMs = nowMs + n.HeartbeatMs/2 + int64(drawn*float64(n.ElectionJitterMs)/2)
	n.preVoteRound = uint64(drawn*(1<<50)) << 13
	return n
}

// Leader is who leads, as far as known; empty: nobody.
func (n *Node) Leader() ID { return n.leaderID }

// RecentLeader is the leader, where it was heard lately enough to be worth asking; empty: nobody. Its lease may run longer.
func (n *Node) RecentLeader(nowMs int64) ID {
	if n.role != leader && nowMs > n.leaderHeardAtMs+n.LeaseMs*2/3 {
		return ""
	}
	return n.leaderID
}

// Term is the newest view that this member takes part in.
func (n *Node) Term() uint64 { return n.hardState.Term }

// CommitIndex is up to where changes are delivered.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// LastIndex is up to where entries are held.
func (n *Node) LastIndex() uint64 { return n.lastIndex() }

// IsLeader says whether this member leads its view.
func (n *Node) IsLeader() bool { return n.role == leader }

func (n *Node) takeReady() Ready {
	o := n.ready
	n.ready = Ready{}
	return o
}

func (n *Node) advanceClock(nowMs int64) { n.nowMs = max(n.nowMs, nowMs) }

func (n *Node) send(m Message) {
	m.From, m.Term = n.id, n.hardState.Term
	n.ready.Messages = append(n.ready.Messages, m)
}

// Tick goes on to a time; it is to be called every Beat/3 or so.
func (n *Node) Tick(nowMs int64) Ready {
	n.advanceClock(nowMs)
	if n.snapshotWanted && n.role == follower && n.leaderID != "" && n.nowMs >= n.nextSnapshotRequestAtMs {
		n.nextSnapshotRequestAtMs = n.nowMs + n.LeaseMs
		n.send(Message{Type: MsgSnapshotRequest, To: n.leaderID})
	}
	n.tickLeave()
	switch {
	case n.role == leader:
		n.tickLeader()
	case n.nowMs >= n.electionAtMs && n.isMember(n.id):
		n.campaign(true, false)
	case n.leave.begun: // it is to be called no more
	case !n.isMember(n.id) || n.leaderID == "" && n.nowMs > n.leaderHeardAtMs+3*n.LeaseMs:
		if n.nowMs >= n.nextJoinAtMs {
			n.nextJoinAtMs = n.nowMs + n.LeaseMs/2
			n.send(Message{Type: MsgJoin, Index: n.lastIndex()})
		}
	}
	return n.takeReady()
}

// Step takes in a member's message.
func (n *Node) Step(m Message, nowMs int64) Ready {
	n.advanceClock(nowMs)
	if m.From == "" || m.From == n.id || m.To != "" && m.To != n.id { // for who was at this address before: what it held is not held here
		n.DiscardedMessages++
		return n.takeReady()
	}
	n.step(m)
	return n.takeReady()
}

func (n *Node) step(m Message) {
	switch m.Type {
	case MsgVoteResponse, MsgVoteRequest, MsgLeaveResponse:
		n.learnCommitPoint(m)
	}
	switch m.Type {
	case MsgJoin:
		n.stepJoin(m)
		return
	case MsgLeave:
		n.stepLeave(m)
		return
	case MsgLeaveResponse:
		n.stepLeaveResponse(m)
		return
	case MsgVoteRequest:
		n.stepVoteRequest(m)
		return
	}
	if m.Type == MsgVoteResponse && m.PreVote {
		if m.Term > n.hardState.Term { // else one with less, in a newer view, would stop one with more for good
			n.hardState.Term, n.hardState.Vote = m.Term, ""
			meta := n.hardState
			n.persist(Write{HardState: &meta})
			n.becomeFollower("")
			n.electionAtMs = n.nowMs
			return
		}
		if p := n.peers[m.From]; n.role == leader && p != nil {
			p.heardAtMs = n.nowMs
		}
		if n.role == candidate && n.preVote {
			n.votes[m.From] = n.votes[m.From] || m.Granted
			n.coldStarts[m.From] = m.ColdStart && m.PreVoteRound == n.preVoteRound
			n.countVotes()
		}
		return
	}
	switch {
	case m.Term < n.hardState.Term:
		if m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshotChunk {
			n.send(Message{Type: MsgAppendRejected, To: m.From, Index: n.lastIndex()}) // its view is over
		}
		return
	case m.Term > n.hardState.Term:
		n.hardState.Term, n.hardState.Vote = m.Term, ""
		meta := n.hardState
		n.persist(Write{HardState: &meta})
		n.becomeFollower("")
	}
	switch m.Type {
	case MsgHeartbeat, MsgAppend, MsgSnapshotChunk, MsgTimeoutNow:
		if n.role == leader {
			return // no view has two leaders; this is an echo of one's own
		}
		if m.Type == MsgTimeoutNow {
			if m.From == n.leaderID && n.isMember(n.id) {
				n.campaign(false, true)
			}
			return
		}
		if n.role != follower || n.leaderID != m.From {
			n.becomeFollower(m.From)
		}
		n.leaderHeardAtMs, n.leaderSeen, n.electionCount, n.campaignCount = n.nowMs, true, 0, 0
		n.resetElectionTimer()
	}
	switch m.Type {
	case MsgHeartbeat:
		n.commitTo(m.CommitIndex)
		n.send(Message{Type: MsgHeartbeatResponse, To: m.From, SentAtMs: m.SentAtMs, Index: n.persistedConfigIndex, Granted: n.leave.begun})
		if m.CommitIndex > n.lastIndex() { // it is told of what it had, and its disk has no more
			n.send(Message{Type: MsgAppendRejected, To: m.From, Index: n.lastIndex()})
		}
	case MsgAppend:
		n.stepAppend(m)
	case MsgSnapshotChunk:
		n.stepSnapshotChunk(m)
	case MsgVoteResponse:
		if n.role == candidate && !n.preVote && m.Granted {
			n.votes[m.From] = true
			n.countVotes()
		}
	case MsgHeartbeatResponse, MsgAppendAccepted, MsgAppendRejected, MsgSnapshotChunkAck, MsgSnapshotRequest:
		n.stepFollowerResponse(m)
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
func (n *Node) Status(nowMs int64) Status {
	s := Status{
		ID: n.id, Leader: n.leaderID, Term: n.hardState.Term, SnapshotIndex: n.snapshot.Index, CommitIndex: n.commitIndex, LastIndex: n.lastIndex(), PersistedIndex: n.persistedIndex,
		Members: slices.Clone(n.Members()), HoldsLease: n.HoldsLease(nowMs), DiscardedMessages: n.DiscardedMessages,
	}
	for id, p := range n.peers {
		if p.learner {
			s.Learners = append(s.Learners, id)
		}
	}
	sort.Slice(s.Learners, func(i, j int) bool { return s.Learners[i] < s.Learners[j] })
	return s
}
