package consensus

import "slices"

type role uint8

const (
	follower role = iota
	candidate
	leader
)

// joinDelayLeases is the number of lease durations without a leader after which a member sends MsgJoin.
const joinDelayLeases = 3

// Node is a member of the group or a learner. It is not safe for concurrent use.
type Node struct {
	Config
	Counters
	id          ID
	nowMs       int64 // latest time passed in by the caller; never decreases
	startedAtMs int64
	random      func() float64

	// Persistent state, including the writes that are still pending.
	hardState HardState
	log       raftLog

	commitIndex          uint64
	appliedIndex         uint64          // index of the newest entry returned in Ready.Committed
	configurations       []configuration // newest committed configuration, and all later ones
	lastWriteSeq         uint64
	pendingWrites        []pendingWrite
	persistedIndex       uint64 // index of the newest persisted entry
	persistedConfigIndex uint64 // persisted value of HardState.CommittedConfigIndex

	role            role
	leaderID        ID // empty if unknown
	leaderHeardAtMs int64
	leaderSeen      bool // this node has heard from a leader, or been one, since it started
	nextJoinAtMs    int64
	joinContact     ID // sender of the latest message to an earlier member at this address; empty if there was none
	election        electionState
	peers           map[ID]*progress // leader only: all members and learners, including this node
	leadership      leadershipState

	incomingTransfer        *incomingSnapshot // nil if no snapshot is being received
	snapshotWanted          bool              // the state built from the log is wrong and must be replaced
	nextSnapshotRequestAtMs int64

	leave leaveProgress
	ready Ready // output of the current call
}

// New returns a node that resumes from its persisted state. founders are the first members of the group; they are
// used only if restored is empty, and are nil for a learner. random returns numbers in [0, 1) and randomizes the
// members' election timers.
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

	randomValue := n.random()
	n.election.timeoutAtMs = nowMs + n.preVoteDelayMs(randomValue)
	n.election.preVoteRound = initialPreVoteRound(randomValue)
	return n
}

// Leader returns the leader of the current term, or an empty ID if it is unknown.
func (n *Node) Leader() ID { return n.leaderID }

// IsLeader reports whether this node is the leader of its term. It may act as leader only while HoldsLease is true.
func (n *Node) IsLeader() bool { return n.role == leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// CommitIndex returns the index of the newest entry known to be committed.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

func (n *Node) advanceClock(nowMs int64) { n.nowMs = max(n.nowMs, nowMs) }

// Tick runs the actions that are due. It must be called at least three times per HeartbeatMs.
func (n *Node) Tick(nowMs int64) Ready {
	n.advanceClock(nowMs)
	n.tickSnapshotRequest()
	n.tickLeave()
	switch {
	case n.role == leader:
		n.tickLeader()
	case n.nowMs >= n.election.timeoutAtMs && n.isMember(n.id):
		n.campaign(campaignPreVote)
	case n.leave.started(): // a leaving member does not ask to be contacted again
	case !n.isMember(n.id) || n.leaderID == "" && n.nowMs > n.leaderHeardAtMs+joinDelayLeases*n.LeaseMs:
		n.tickJoin()
	}
	return n.takeReady()
}

// Step handles a message from another member. Messages addressed to another ID are discarded: a message for an
// earlier member at this address relies on a log that this node does not hold. The exception is a Pre-Vote request,
// which is answered to report that the earlier member's process has ended. This node asks the sender to let it join.
func (n *Node) Step(m Message, nowMs int64) Ready {
	n.advanceClock(nowMs)
	if n.id.SharesAddressWith(m.To) && m.From.Address() != n.id.Address() {
		n.joinContact = m.From
	}
	switch {
	case m.From == "" || m.From == n.id:
		n.DiscardedMessages++
	case m.To == "" || m.To == n.id:
		n.step(m)
	case m.Type == MsgVoteRequest && m.PreVote && n.id.SharesAddressWith(m.To) && !n.id.SharesAddressWith(m.From):
		n.reportColdStart(m)
	default:
		n.DiscardedMessages++
	}
	return n.takeReady()
}

// step dispatches a message. The handlers of the types listed here check the message's term themselves; all other
// types are handled in the current term only.
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

// checkTerm compares a message's term with the current one (3.3). It enters a newer term, and rejects messages from a
// leader of an older term. It reports whether the message belongs to the resulting current term.
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

// enterTerm moves this node to a newer term as a follower.
func (n *Node) enterTerm(term uint64) {
	n.hardState.Term, n.hardState.Vote = term, ""
	n.persistHardState()
	n.becomeFollower("")
}

// becomeFollower makes this node a follower of leaderID, which is empty if the leader is unknown.
func (n *Node) becomeFollower(leaderID ID) {
	n.role, n.leaderID = follower, leaderID
	n.peers, n.election.votes = nil, nil
	n.leadership.termStartIndex, n.leadership.transferInProgress = 0, false
	n.resetElectionTimer()
}

// acceptLeader records that a message from the current leader has arrived, and reports whether to handle it. It
// returns false on a leader: a term has only one leader, so the message is this node's own, looped back.
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
