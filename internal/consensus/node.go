package consensus

import "slices"

type role uint8

const (
	follower role = iota
	candidate
	leader
)

// joinAfterLeases is how many leases a member without a leader waits before it asks to be contacted.
const joinAfterLeases = 3

// Node is one member. It is not safe for concurrent use.
type Node struct {
	Config
	Counters
	id          ID
	nowMs       int64 // latest time that was passed in; never goes back
	startedAtMs int64
	random      func() float64

	// State that survives a restart, as it will be once all pending writes are on disk.
	hardState HardState
	log       raftLog

	commitIndex          uint64
	appliedIndex         uint64          // newest entry handed out in Ready.Committed
	configurations       []configuration // the newest committed one, and all behind it
	lastWriteSeq         uint64
	pendingWrites        []pendingWrite
	persistedIndex       uint64 // entries up to here are on disk
	persistedConfigIndex uint64 // HardState.CommittedConfigIndex, as on disk

	role            role
	leaderID        ID // empty: unknown
	leaderHeardAtMs int64
	leaderSeen      bool // a leader was heard since this node started, or this node was one
	nextJoinAtMs    int64
	election        electionState
	peers           map[ID]*progress // of a leader: all members and learners, itself included
	leadership      leadershipState

	incoming                *incomingSnapshot // nil: none
	snapshotWanted          bool              // the state built from the log is wrong
	nextSnapshotRequestAtMs int64

	leave leaveProgress
	ready Ready // what has been asked for since the last call returned
}

// New returns a node that continues from what its disk held. founders are the first members of the group; they count
// only if restored is empty, and are nil for a learner. random returns numbers in [0, 1) and spreads the election timers
// of the members.
func New(id ID, config Config, restored RestoredState, founders []ID, random func() float64, nowMs int64) *Node {
	n := &Node{
		Config:          config,
		id:              id,
		nowMs:           nowMs,
		startedAtMs:     nowMs,
		leaderHeardAtMs: nowMs,
		random:          random,
		hardState:       restored.HardState,
		log:             raftLog{snapshot: restored.Snapshot, entries: restored.Entries, retainedPrevTerm: restored.Snapshot.Term},
	}
	snapshot := &n.log.snapshot
	if snapshot.Index == 0 && len(snapshot.Members) == 0 {
		snapshot.Members = slices.Clone(founders)
	}
	n.commitIndex, n.appliedIndex = snapshot.Index, snapshot.Index
	n.persistedIndex, n.persistedConfigIndex = n.log.lastIndex(), n.hardState.CommittedConfigIndex
	n.configurations = []configuration{{index: snapshot.Index, members: snapshot.Members}}
	n.addConfigurations(snapshot.Index, n.log.entries)

	drawn := n.random()
	n.election.timeoutAtMs = nowMs + n.preVoteDelayMs(drawn)
	n.election.preVoteRound = firstPreVoteRound(drawn)
	return n
}

// Leader returns the leader of the current term; empty if none is known.
func (n *Node) Leader() ID { return n.leaderID }

// IsLeader says whether this node leads its term. Only HoldsLease says whether it may still act as leader.
func (n *Node) IsLeader() bool { return n.role == leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// CommitIndex returns the index of the newest entry that is known to be committed.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

func (n *Node) advanceClock(nowMs int64) { n.nowMs = max(n.nowMs, nowMs) }

// Tick acts on what is due. It is to be called at least three times per HeartbeatMs.
func (n *Node) Tick(nowMs int64) Ready {
	n.advanceClock(nowMs)
	n.tickSnapshotRequest()
	n.tickLeave()
	switch {
	case n.role == leader:
		n.tickLeader()
	case n.nowMs >= n.election.timeoutAtMs && n.isMember(n.id):
		n.campaign(campaignPreVote)
	case n.leave.started(): // it asks nobody to contact it again
	case !n.isMember(n.id) || n.leaderID == "" && n.nowMs > n.leaderHeardAtMs+joinAfterLeases*n.LeaseMs:
		n.tickJoin()
	}
	return n.takeReady()
}

// Step takes in a message from another member. Messages for another ID are discarded, since one for an earlier member at
// this address counts on a log that this one does not hold; but a candidate is told that the earlier member has ended.
func (n *Node) Step(m Message, nowMs int64) Ready {
	n.advanceClock(nowMs)
	switch {
	case m.From == "" || m.From == n.id:
		n.DiscardedMessages++
	case m.To == "" || m.To == n.id:
		n.step(m)
	case m.Type == MsgVoteRequest && m.PreVote && n.id.TakesPlaceOf(m.To) && !n.id.TakesPlaceOf(m.From):
		n.reportColdStart(m)
	default:
		n.DiscardedMessages++
	}
	return n.takeReady()
}

// step dispatches a message. The types listed here rule themselves what its term means; all others are taken in the
// current term only.
func (n *Node) step(m Message) {
	switch m.Type {
	case MsgVoteRequest:
		n.stepVoteRequest(m)
	case MsgVoteResponse:
		n.stepVoteResponse(m)
	case MsgJoin:
		n.stepJoin(m)
	case MsgLeave:
		n.stepLeave(m)
	case MsgLeaveResponse:
		n.stepLeaveResponse(m)
	default:
		if n.checkTerm(m) {
			n.stepInTerm(m)
		}
	}
}

// stepInTerm dispatches a message of the current term.
func (n *Node) stepInTerm(m Message) {
	switch m.Type {
	case MsgHeartbeat:
		n.stepHeartbeat(m)
	case MsgHeartbeatResponse:
		n.stepHeartbeatResponse(m)
	case MsgAppend:
		n.stepAppend(m)
	case MsgAppendAccepted:
		n.stepAppendAccepted(m)
	case MsgAppendRejected:
		n.stepAppendRejected(m)
	case MsgSnapshotChunk:
		n.stepSnapshotChunk(m)
	case MsgSnapshotChunkAck:
		n.stepSnapshotChunkAck(m)
	case MsgSnapshotRequest:
		n.stepSnapshotRequest(m)
	case MsgTimeoutNow:
		n.stepTimeoutNow(m)
	}
}

// checkTerm compares a message's term with the current one (3.3). It enters a newer term, and answers a leader whose
// term is over; it says whether the message is of the term that is current then.
func (n *Node) checkTerm(m Message) bool {
	if m.Term < n.hardState.Term {
		if m.sentByLeader() {
			n.send(Message{Type: MsgAppendRejected, To: m.From, Index: n.log.lastIndex()})
		}
		return false
	}
	if m.Term > n.hardState.Term {
		n.enterTerm(m.Term)
	}
	return true
}

// enterTerm makes this node a follower in a newer term.
func (n *Node) enterTerm(term uint64) {
	n.hardState.Term, n.hardState.Vote = term, ""
	n.persistHardState()
	n.becomeFollower("")
}

// becomeFollower ends leading or campaigning. leaderID is empty if the leader is unknown.
func (n *Node) becomeFollower(leaderID ID) {
	n.role, n.leaderID = follower, leaderID
	n.peers, n.election.votes = nil, nil
	n.leadership.termStartIndex, n.leadership.transferring = 0, false
	n.resetElectionTimer()
}

// acceptLeader notes a message of the current leader, and says whether it is to be taken in. A leader gets false: no
// term has two, so this is its own message, come back.
func (n *Node) acceptLeader(leaderID ID) bool {
	if n.role == leader {
		return false
	}
	if n.role != follower || n.leaderID != leaderID {
		n.becomeFollower(leaderID)
	}
	n.leaderHeardAtMs, n.leaderSeen = n.nowMs, true
	n.election.electionCount, n.election.campaignCount = 0, 0
	n.resetElectionTimer()
	return true
}
