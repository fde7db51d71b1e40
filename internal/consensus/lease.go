package consensus

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxDriftDivisor bounds how far the members' clocks may drift apart: a leader counts on a lease for a tenth less time
	// than its granter keeps it.
	maxDriftDivisor = 10
	// leaderVoteDelayDivisor is the share of a lease for which a leader votes for nobody beyond the end of its own: a fifth
	// makes up for the tenth that it counted less, and for a clock of its own that is fast by as much. So it votes
	// about as late as the members that are bound to it.
	leaderVoteDelayDivisor = 5
)

// HoldsLease says that no other leader can have been elected by now, and that everything committed in earlier terms has
// been committed here (6.4, 6.4.1). Only then may the caller answer reads or acknowledge writes.
func (n *Node) HoldsLease(nowMs int64) bool { return nowMs < n.LeaseEndMs() }

// LeaseEndMs returns when HoldsLease will be false unless the lease is renewed; 0 if it is false already, whatever the time.
func (n *Node) LeaseEndMs() int64 {
	committedOwnTerm := n.leadership.termStartIndex > 0 && n.commitIndex >= n.leadership.termStartIndex
	if n.role != leader || n.leadership.transferring || !committedOwnTerm {
		return 0
	}
	return n.leaseUntilMs()
}

// RecentLeader returns the leader if it was heard within two thirds of a lease, and so is worth asking, else nothing. By
// DefaultConfig that is the time of three heartbeats, so one that is lost does not count, and less than a leader's lease,
// so callers stop waiting for a lost leader before another can be elected. Its lease may have ended before, or run for
// longer.
func (n *Node) RecentLeader(nowMs int64) ID {
	if n.role != leader && nowMs > n.leaderHeardAtMs+n.LeaseMs*2/3 {
		return ""
	}
	return n.leaderID
}

// leaseUntilMs returns when this leader's lease ends: when the promises of a majority, in each configuration, may begin
// to run out. A promise counts from when the heartbeat that it answers was sent.
func (n *Node) leaseUntilMs() int64 {
	earliest := int64(math.MaxInt64)
	for _, config := range n.activeConfigurations() {
		if len(config.members) == 0 {
			return 0
		}
		confirmedAtMs := make([]int64, 0, len(config.members))
		for _, member := range config.members {
			confirmedAtMs = append(confirmedAtMs, n.leaseConfirmedAtMs(member))
		}
		slices.SortFunc(confirmedAtMs, func(a, b int64) int { return cmp.Compare(b, a) })
		quorumAtMs := confirmedAtMs[len(confirmedAtMs)/2]
		earliest = min(earliest, quorumAtMs+n.LeaseMs*(maxDriftDivisor-1)/maxDriftDivisor)
	}
	return earliest
}

// leaseConfirmedAtMs returns when a member last began a lease; 0 if it has granted none.
func (n *Node) leaseConfirmedAtMs(member ID) int64 {
	if member == n.id {
		return n.nowMs
	}
	if p := n.peers[member]; p != nil {
		return p.heartbeatAckedAtMs
	}
	return 0
}

// boundByLease says that this node may have granted a lease that is not over: now, or before it was restarted.
func (n *Node) boundByLease() bool {
	return n.nowMs < max(n.leaderHeardAtMs, n.startedAtMs)+n.LeaseMs
}

// unresponsive says that a leader that has lost its majority has not heard a member for a lease either. It must not bind
// that member by heartbeats: the member may hear it, and be the one that all others could elect.
func (n *Node) unresponsive(p *progress) bool {
	return n.nowMs > p.heardAtMs+n.LeaseMs && n.nowMs > max(n.leaseUntilMs(), n.leadership.sinceMs+n.LeaseMs)
}

// sendHeartbeat asks a member for a lease. To one that is unresponsive it sends a request for a Pre-Vote instead, from a
// candidate with an empty log: the answer shows that it is there, and nothing is promised.
func (n *Node) sendHeartbeat(id ID) {
	p := n.peers[id]
	if n.unresponsive(p) {
		n.send(Message{Type: MsgVoteRequest, To: id, PreVote: true})
		return
	}
	n.send(Message{Type: MsgHeartbeat, To: id, SentAtMs: n.nowMs, CommitIndex: min(n.commitIndex, p.matchIndex)})
}

// stepHeartbeat grants a lease. A node that has lost entries that it had acknowledged reports so.
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

// stepHeartbeatResponse extends the lease.
func (n *Node) stepHeartbeatResponse(m Message) {
	p := n.responder(m)
	if p == nil {
		return
	}
	p.heartbeatAckedAtMs = max(p.heartbeatAckedAtMs, min(m.SentAtMs, n.nowMs))
	p.persistedConfigIndex = max(p.persistedConfigIndex, min(m.Index, n.log.lastIndex()))
	if !m.Granted { // it was restarted, or is not leaving after all
		p.leaveRequestedAtMs = 0
	}
}
