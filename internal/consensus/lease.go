package consensus

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxDriftDivisor is the inverse of the maximum clock drift between members: a leader relies on a lease for one
	// tenth less than the time for which the granting member keeps it.
	maxDriftDivisor = 10
	// leaderVoteDelayDivisor sets how long a leader keeps refusing votes after the end of its own lease: a fifth of
	// LeaseMs. Half of that makes up for the tenth by which the leader shortens its lease, the other half for a local
	// clock that is fast by as much. The leader thus votes about as late as the members bound by its lease.
	leaderVoteDelayDivisor = 5
)

// HoldsLease reports whether this node is the leader, no other leader can have been elected by now, and everything
// committed in earlier terms is committed on this node (6.4, 6.4.1). The caller may answer reads and acknowledge
// writes only while it is true.
func (n *Node) HoldsLease(nowMs int64) bool { return nowMs < n.LeaseEndMs() }

// LeaseEndMs returns the time at which HoldsLease becomes false unless the lease is renewed, or 0 if HoldsLease is
// false regardless of the time.
func (n *Node) LeaseEndMs() int64 {
	committedOwnTerm := n.leadership.termStartIndex > 0 && n.commitIndex >= n.leadership.termStartIndex
	if n.role != leader || n.leadership.transferInProgress || !committedOwnTerm {
		return 0
	}
	return n.quorumLeaseEndMs()
}

// RecentLeader returns the leader if it was heard from within two thirds of LeaseMs and is thus worth contacting, or
// an empty ID otherwise. With DefaultConfig, two thirds of a lease span three heartbeat intervals, so a single lost
// heartbeat has no effect. The time is also shorter than a leader's lease, so callers stop waiting for a failed
// leader before another can be elected. The leader's lease may end before or after that time.
func (n *Node) RecentLeader(nowMs int64) ID {
	if n.role != leader && nowMs > n.leaderHeardAtMs+n.LeaseMs*2/3 {
		return ""
	}
	return n.leaderID
}

// quorumLeaseEndMs returns when this leader's lease ends: when the promises of a majority may begin to expire, in any
// of the active configurations. A promise counts from when the heartbeat that it answers was sent.
func (n *Node) quorumLeaseEndMs() int64 {
	earliest := int64(math.MaxInt64)
	for _, config := range n.activeConfigurations() {
		if len(config.members) == 0 {
			return 0
		}
		grantedAtMs := make([]int64, 0, len(config.members))
		for _, member := range config.members {
			grantedAtMs = append(grantedAtMs, n.leaseGrantedAtMs(member))
		}
		slices.SortFunc(grantedAtMs, func(a, b int64) int { return cmp.Compare(b, a) })
		quorumAtMs := grantedAtMs[len(grantedAtMs)/2]
		earliest = min(earliest, quorumAtMs+n.LeaseMs*(maxDriftDivisor-1)/maxDriftDivisor)
	}
	return earliest
}

// leaseGrantedAtMs returns the start of the latest lease granted by a member; 0 if it has granted none.
func (n *Node) leaseGrantedAtMs(member ID) int64 {
	if member == n.id {
		return n.nowMs
	}
	if p := n.peers[member]; p != nil {
		return p.heartbeatAckedAtMs
	}
	return 0
}

// hasUnexpiredPromise reports whether a lease granted by this node, possibly before its last restart, may still be
// running.
func (n *Node) hasUnexpiredPromise() bool {
	return n.nowMs < max(n.leaderHeardAtMs, n.startedAtMs)+n.LeaseMs
}

// unresponsive reports whether a leader without a majority has not heard from a member for LeaseMs. The leader must
// not send heartbeats to such a member, since they would bind it to a lease: the member may still receive them, and
// it may be the only one that the others could elect.
func (n *Node) unresponsive(p *progress) bool {
	return n.nowMs > p.heardAtMs+n.LeaseMs && n.nowMs > max(n.quorumLeaseEndMs(), n.leadership.startedAtMs+n.LeaseMs)
}

// sendHeartbeat requests a lease from a member. To an unresponsive member it sends a Pre-Vote request with an empty
// log instead: the response shows that the member is alive, and promises nothing.
func (n *Node) sendHeartbeat(id ID) {
	p := n.peers[id]
	if n.unresponsive(p) {
		n.send(Message{Type: MsgVoteRequest, To: id, PreVote: true})
		return
	}
	n.send(Message{Type: MsgHeartbeat, To: id, SentAtMs: n.nowMs, CommitIndex: min(n.commitIndex, p.matchIndex)})
}

// stepHeartbeat grants a lease. If this node has lost entries that it had acknowledged, it reports that to the
// leader.
func (n *Node) stepHeartbeat(m Message) {
	if !n.acceptLeader(m.From) {
		return
	}
	n.commitTo(m.CommitIndex)
	n.send(Message{
		Type:     MsgHeartbeatResponse,
		To:       m.From,
		SentAtMs: m.SentAtMs,
		Index:    n.persistedConfigIndex,
		Granted:  n.leave.started(),
	})
	if m.CommitIndex > n.log.lastIndex() {
		n.send(Message{Type: MsgAppendRejected, To: m.From, Index: n.log.lastIndex()})
	}
}

// stepHeartbeatResponse extends the leader's lease.
func (n *Node) stepHeartbeatResponse(m Message) {
	p := n.responderProgress(m)
	if p == nil {
		return
	}
	p.heartbeatAckedAtMs = max(p.heartbeatAckedAtMs, min(m.SentAtMs, n.nowMs))
	p.persistedConfigIndex = max(p.persistedConfigIndex, min(m.Index, n.log.lastIndex()))
	if !m.Granted { // restarted since, or not leaving
		p.lastLeaveRequestAtMs = 0
	}
}
