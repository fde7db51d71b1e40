package consensus

// LeaveState is how far a member's graceful shutdown has come.
type LeaveState uint8

const (
	// LeaveNotStarted is the state until Leave is called.
	LeaveNotStarted LeaveState = iota
	// LeavePending is the state of a member that waits for a learner to replace it. It votes and stores entries as before.
	LeavePending
	// LeaveReplaced is the state of a member that may shut down: another has become a member in its place.
	LeaveReplaced
	// LeaveUnreplaced is the state of a member that may shut down, and remains a member, since there is no learner. It may
	// come back with all it holds; a configuration without it could bear the loss of fewer others.
	LeaveUnreplaced
)

// Done says whether the member may shut down.
func (s LeaveState) Done() bool { return s == LeaveReplaced || s == LeaveUnreplaced }

// leaveProgress is a member's own graceful shutdown.
type leaveProgress struct {
	state           LeaveState
	startedAtMs     int64
	nextRequestAtMs int64
}

func (l *leaveProgress) started() bool { return l.state != LeaveNotStarted }

// finish notes that this member may shut down.
func (l *leaveProgress) finish(replaced bool) {
	l.state = LeaveUnreplaced
	if replaced {
		l.state = LeaveReplaced
	}
}

// Leave starts this member's graceful shutdown. It votes and stores entries as before until LeaveState is Done.
func (n *Node) Leave(nowMs int64) Ready {
	n.advanceClock(nowMs)
	if !n.leave.started() {
		n.leave.state, n.leave.startedAtMs = LeavePending, n.nowMs
	}
	n.tickLeave()
	return n.takeReady()
}

// LeaveState returns how far this member's graceful shutdown has come.
func (n *Node) LeaveState() LeaveState { return n.leave.state }

// tickLeave asks the leader to replace this member, again and again, since the leader may change: twice a heartbeat, so
// that a request which is lost delays the shutdown by less than one. A leader has itself replaced before it transfers
// its leadership: so leadership moves only once, and to a member that stays.
func (n *Node) tickLeave() {
	if n.leave.state != LeavePending || n.nowMs < n.leave.nextRequestAtMs {
		return
	}
	n.leave.nextRequestAtMs = n.nowMs + n.HeartbeatMs/2
	if p := n.peers[n.id]; p != nil {
		p.markLeaving(n.nowMs)
	}
	switch {
	case n.role != leader:
		if n.leaderID != "" {
			n.send(Message{Type: MsgLeave, To: n.leaderID, SentAtMs: n.nowMs})
		}
	case n.leadership.transferring:
	case n.isMember(n.id) && n.mustStay(n.id):
		n.promoteLearner()
	case n.isMember(n.id) || n.configurationDurable():
		n.leave.finish(!n.isMember(n.id))
		n.startTransfer()
	}
}

// isLeaving says whether a member has said that it is leaving, and nothing else since.
func (n *Node) isLeaving(id ID) bool {
	p := n.peers[id]
	return p != nil && p.leaveRequestedAtMs > 0 && n.nowMs <= p.leaveRequestedAtMs+n.RemovalTimeoutMs
}

// mustStay says that a leaving member must not shut down yet. Either it may still be replaced: a change of members is
// under way, there is a learner, or learners have had no time to report to this leader. Or the others that have answered
// since it asked are no majority.
func (n *Node) mustStay(id ID) bool {
	if len(n.activeConfigurations()) > 1 || len(n.responsiveLearners()) > 0 ||
		!n.HoldsLease(n.nowMs) || n.nowMs < n.leadership.sinceMs+n.LeaseMs {
		return true
	}
	sinceMs := n.peers[id].leavingSinceMs
	return !n.hasQuorum(func(member ID) bool {
		if member == id || member == n.id {
			return member != id
		}
		p := n.peers[member]
		return p != nil && p.heartbeatAckedAtMs > sinceMs && !n.isLeaving(member)
	})
}

// stepLeave has a leader replace a leaving member by a learner, and tells it once it may shut down.
func (n *Node) stepLeave(m Message) {
	if !n.HoldsLease(n.nowMs) {
		return
	}
	p := n.peers[m.From]
	if !n.isMember(m.From) {
		if p == nil {
			n.DiscardedMessages++
		}
		delete(n.peers, m.From)
		if n.configurationDurable() {
			n.send(n.withCommitPoint(Message{Type: MsgLeaveResponse, To: m.From, SentAtMs: m.SentAtMs, Granted: true}))
		}
		return
	}
	p.markLeaving(n.nowMs) // a learner that comes later may replace it at once, without waiting for RemovalTimeoutMs
	if n.mustStay(m.From) {
		n.promoteLearner()
		return
	}
	n.send(n.withCommitPoint(Message{Type: MsgLeaveResponse, To: m.From, SentAtMs: m.SentAtMs}))
}

// stepLeaveResponse takes in the current leader's answer to a request of this node. One to a request before a restart
// does not count.
func (n *Node) stepLeaveResponse(m Message) {
	n.learnCommitPoint(m)
	fromLeader := m.From == n.leaderID && m.Term == n.hardState.Term
	toRequest := m.SentAtMs >= n.leave.startedAtMs && m.SentAtMs <= n.nowMs
	if n.leave.started() && fromLeader && toRequest {
		n.leave.finish(m.Granted)
	}
}
