package consensus

// LeaveState is the state of a member's graceful shutdown.
type LeaveState uint8

const (
	// LeaveNotStarted is the state until Leave is called.
	LeaveNotStarted LeaveState = iota
	// LeavePending is the state of a member that waits to be replaced by a learner. It keeps voting and storing
	// entries.
	LeavePending
	// LeaveReplaced is the state of a member that may shut down because another node has become a member in its
	// place.
	LeaveReplaced
	// LeaveUnreplaced is the state of a member that may shut down but remains a member, since no learner is
	// available. It may restart with its data; a configuration without it would tolerate fewer failures.
	LeaveUnreplaced
)

// Done reports whether the member may shut down.
func (s LeaveState) Done() bool { return s == LeaveReplaced || s == LeaveUnreplaced }

// leaveProgress tracks the graceful shutdown of the local member.
type leaveProgress struct {
	state           LeaveState
	startedAtMs     int64
	nextRequestAtMs int64
}

func (l *leaveProgress) started() bool { return l.state != LeaveNotStarted }

// finish records that this member may shut down.
func (l *leaveProgress) finish(replaced bool) {
	l.state = LeaveUnreplaced
	if replaced {
		l.state = LeaveReplaced
	}
}

// Leave starts the graceful shutdown of this member. It keeps voting and storing entries until LeaveState is Done.
func (n *Node) Leave(nowMs int64) Ready {
	n.advanceClock(nowMs)
	if !n.leave.started() {
		n.leave.state, n.leave.startedAtMs = LeavePending, n.nowMs
	}
	n.tickLeave()
	return n.takeReady()
}

// LeaveState returns the state of this member's graceful shutdown.
func (n *Node) LeaveState() LeaveState { return n.leave.state }

// tickLeave periodically asks the leader to replace this member, since the leader may change. It sends two requests
// per heartbeat interval, so that a lost request delays the shutdown by less than one interval. A leader has itself
// replaced before it transfers its leadership: leadership then moves only once, to a member that stays.
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
	case n.leadership.transferInProgress:
	case n.isMember(n.id) && n.mustDeferShutdown(n.id):
		n.promoteLearner()
	case n.isMember(n.id) || n.configurationDurable():
		n.leave.finish(!n.isMember(n.id))
		n.startTransfer()
	}
}

// isLeaving reports whether a member has requested to leave within the last RemovalTimeoutMs and has not withdrawn
// the request since.
func (n *Node) isLeaving(id ID) bool {
	p := n.peers[id]
	return p != nil && p.lastLeaveRequestAtMs > 0 && n.nowMs <= p.lastLeaveRequestAtMs+n.RemovalTimeoutMs
}

// mustDeferShutdown reports whether a leaving member must not shut down yet. One reason is that it may still be
// replaced: a membership change is in progress, a learner is available, or learners have not had time to report to
// this leader. The other is that the remaining members that have answered since its request are not a majority.
func (n *Node) mustDeferShutdown(id ID) bool {
	if len(n.activeConfigurations()) > 1 || len(n.responsiveLearners()) > 0 ||
		!n.HoldsLease(n.nowMs) || n.nowMs < n.leadership.startedAtMs+n.LeaseMs {
		return true
	}
	startedAtMs := n.peers[id].firstLeaveRequestAtMs
	return !n.hasQuorum(func(member ID) bool {
		if member == id || member == n.id {
			return member != id
		}
		p := n.peers[member]
		return p != nil && p.heartbeatAckedAtMs > startedAtMs && !n.isLeaving(member)
	})
}

// stepLeave handles a member's request to leave: the leader replaces the member by a learner, and tells it when it
// may shut down.
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
	p.markLeaving(n.nowMs) // a learner that joins later may replace it without waiting for RemovalTimeoutMs
	if n.mustDeferShutdown(m.From) {
		n.promoteLearner()
		return
	}
	n.send(n.withCommitPoint(Message{Type: MsgLeaveResponse, To: m.From, SentAtMs: m.SentAtMs}))
}

// stepLeaveResponse handles the current leader's response to a leave request. Responses to requests from before a
// restart do not count.
func (n *Node) stepLeaveResponse(m Message) {
	n.learnCommitPoint(m)
	fromLeader := m.From == n.leaderID && m.Term == n.hardState.Term
	toRequest := m.SentAtMs >= n.leave.startedAtMs && m.SentAtMs <= n.nowMs
	if n.leave.started() && fromLeader && toRequest {
		n.leave.finish(m.Granted)
	}
}
