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
func (n *Node) HoldsLease(nowMs int64) bool {
	return n.role == leader && !n.transferring && n.termStartIndex > 0 && n.commitIndex >= n.termStartIndex && nowMs < n.leaseUntilMs()
}

// leaseUntilMs is when the first lease of the majority that held out longest ends, less a tenth for clocks that drift.
func (n *Node) leaseUntilMs() int64 {
	earliest := int64(1<<62 - 1)
	for _, config := range n.activeConfigurations() {
		var confirmedAtMs []int64
		for _, member := range config.members {
			switch p := n.peers[member]; {
			case member == n.id:
				confirmedAtMs = append(confirmedAtMs, n.nowMs)
			case p != nil:
				confirmedAtMs = append(confirmedAtMs, p.heartbeatAckedAtMs)
			default:
				confirmedAtMs = append(confirmedAtMs, 0)
			}
		}
		slices.SortFunc(confirmedAtMs, func(a, b int64) int { return int(max(-1, min(1, b-a))) })
		if len(confirmedAtMs) == 0 {
			return 0
		}
		earliest = min(earliest, confirmedAtMs[len(confirmedAtMs)/2]+n.LeaseMs*9/10)
	}
	return earliest
}

// resetElectionTimer draws when to ask for votes, should no leader be heard by then.
func (n *Node) resetElectionTimer() {
	n.electionAtMs = n.nowMs + n.LeaseMs + 50 + int64(n.random()*float64(n.ElectionJitterMs))
	if n.lastIndex() < n.commitIndex { // nobody with less is to go first
		n.electionAtMs += n.ElectionJitterMs
	}
}

func (n *Node) tickLeader() {
	if n.nowMs > max(n.leaseUntilMs(), n.leaderSinceMs)+2*n.LeaseMs || n.transferring && n.nowMs > n.transferStartedAtMs+n.LeaseMs {
		n.becomeFollower("")
		return
	}
	beat := n.nowMs >= n.nextHeartbeatAtMs
	if beat {
		n.nextHeartbeatAtMs = n.nowMs + n.HeartbeatMs
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if beat && !n.transferring {
			n.sendHeartbeat(id)
		}
		n.replicate(id, p)
		if p.learner && n.nowMs > p.heardAtMs+4*n.LeaseMs {
			delete(n.peers, id)
		}
	}
	n.promoteLearner()
}

// unresponsive says that a member was silent for so long that a leader which has lost its majority must not bind it any
// more: it may hear well, and be heard by all others. It is only asked whether it is there.
func (n *Node) unresponsive(p *progress) bool {
	return n.nowMs > p.heardAtMs+n.LeaseMs && n.nowMs > max(n.leaseUntilMs(), n.leaderSinceMs+n.LeaseMs)
}

func (n *Node) sendHeartbeat(id ID) {
	p := n.peers[id]
	if n.unresponsive(p) {
		n.send(Message{Type: MsgVoteRequest, To: id, PreVote: true}) // as one that has nothing, it stops no other
		return
	}
	n.send(Message{Type: MsgHeartbeat, To: id, SentAtMs: n.nowMs, CommitIndex: min(n.commitIndex, p.matchIndex)})
}

// campaign begins an election: first whether votes would be had, then for them.
func (n *Node) campaign(preVote, transferred bool) {
	n.role, n.leaderID, n.preVote, n.transferred = candidate, "", preVote, transferred
	free := !n.boundByLease() // its own vote is bound like any other's
	n.votes, n.coldStarts = map[ID]bool{n.id: preVote && free}, map[ID]bool{n.id: !n.leaderSeen}
	if n.campaignCount++; preVote { // asking whether votes would be had harms nobody
		n.electionAtMs = n.nowMs + n.HeartbeatMs/2 + int64(n.random()*float64(n.ElectionJitterMs)/2)
	} else { // two at once may take each other's votes; slow disks need longer each time
		n.electionCount = min(n.electionCount+1, 8)
		n.electionAtMs = n.nowMs + int64(n.electionCount)*n.HeartbeatMs + int64(n.random()*float64(n.ElectionJitterMs))
	}
	term, _ := n.termAt(n.lastIndex())
	m := n.withCommitPoint(Message{
		Type: MsgVoteRequest, Index: n.lastIndex(), PrevTerm: term, PreVote: preVote, LeadershipTransfer: transferred,
		ColdStart: n.clusterColdStart && !preVote,
	})
	to := map[ID]bool{}
	for _, config := range n.activeConfigurations() {
		for _, id := range config.members {
			if id != n.id {
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
		n.preVoteRound++
		m.PreVoteRound = n.preVoteRound
		for _, id := range all {
			m.To = id
			n.send(m)
		}
		n.countVotes()
		return
	}
	n.hardState.Term, n.hardState.Vote = n.hardState.Term+1, n.id
	meta := n.hardState
	messages := []Message{{Type: MsgVoteResponse, To: n.id, Granted: free || transferred || m.ColdStart}}
	for _, id := range all {
		m.To = id
		messages = append(messages, m)
	}
	n.persist(Write{HardState: &meta}, messages...)
}

func (n *Node) countVotes() {
	if n.role == candidate && !n.isMember(n.id) { // it has learnt from a vote that it is out
		n.becomeFollower("")
		return
	}
	// Where all members are in lives in which none has heard a leader, none leads: there is no lease to wait out.
	n.clusterColdStart = n.preVote && n.everyMember(func(id ID) bool { return n.coldStarts[id] })
	if n.role == candidate && n.clusterColdStart {
		n.campaign(false, false)
		return
	}
	if n.role != candidate || !n.hasQuorum(func(id ID) bool { return n.votes[id] }) {
		return
	}
	if n.preVote {
		n.campaign(false, n.transferred)
		return
	}
	n.leaderSeen = true
	n.role, n.leaderID, n.transferring, n.nextHeartbeatAtMs, n.leaderSinceMs = leader, n.id, false, n.nowMs, n.nowMs
	n.peers = map[ID]*progress{}
	n.syncPeers()
	n.peers[n.id].matchIndex = n.persistedIndex
	first := Entry{Term: n.hardState.Term}
	if n.configurations[len(n.configurations)-1].index == 0 { // learners are told no other way who the first members were
		first.Members = n.Members()
	}
	n.appendEntry(first)
	n.termStartIndex = n.lastIndex()
	n.tickLeader()
}

// becomeFollower has a member follow again.
func (n *Node) becomeFollower(to ID) {
	n.role, n.leaderID, n.peers, n.votes, n.termStartIndex, n.transferring = follower, to, nil, nil, 0, false
	n.resetElectionTimer()
}

// TransferLeadership hands the view over to the member that has most, if this one leads. Nothing is granted here any more.
func (n *Node) TransferLeadership(nowMs int64) Ready {
	n.advanceClock(nowMs)
	n.startTransfer()
	return n.takeReady()
}

func (n *Node) startTransfer() {
	if n.role != leader || n.transferring {
		return
	}
	best := ID("")
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if p.learner || n.nowMs >= p.heardAtMs+n.LeaseMs {
			continue
		}
		if best == "" || n.isLeaving(best) && !n.isLeaving(id) || n.isLeaving(best) == n.isLeaving(id) && p.matchIndex > n.peers[best].matchIndex {
			best = id
		}
	}
	if best != "" {
		n.transferring, n.transferStartedAtMs, n.transferee = true, n.nowMs, best
		n.finishTransfer()
	}
}

// finishTransfer has the heir ask for votes once it holds all that was appended: before, others may have what it lacks, and refuse.
func (n *Node) finishTransfer() {
	if !n.transferring || n.transferee == "" || n.peers[n.transferee] == nil || n.peers[n.transferee].matchIndex < n.lastIndex() {
		return
	}
	heir := n.transferee
	n.transferee = ""
	n.send(Message{Type: MsgTimeoutNow, To: heir})
	if !n.isMember(n.id) { // nobody tells it who leads now
		n.becomeFollower(heir)
	}
}

// withCommitPoint adds what is known here to be delivered: where a leader is lost right after a change of members, what knows
// of it and what can lead need not be the same member.
func (n *Node) withCommitPoint(m Message) Message {
	m.CommitIndex = max(n.commitIndex, n.hardState.CommittedConfigIndex)
	m.CommitTerm, _ = n.termAt(m.CommitIndex)
	return m
}

// learnCommitPoint takes in what another knows to be delivered: with that entry alike, all before it are.
func (n *Node) learnCommitPoint(m Message) {
	if term, held := n.termAt(m.CommitIndex); held && m.CommitIndex > n.commitIndex && term == m.CommitTerm {
		n.commitTo(m.CommitIndex)
	}
}

// boundByLease says that a leader may count on this member: one that it has heard, or that an earlier life may have heard.
func (n *Node) boundByLease() bool { return n.nowMs < max(n.leaderHeardAtMs, n.startedAtMs)+n.LeaseMs }

// stepVoteRequest answers a candidate. A member that has promised itself to a view gives no vote until that is over, and takes
// part in nothing newer meanwhile.
func (n *Node) stepVoteRequest(m Message) {
	term, _ := n.termAt(n.lastIndex())
	upToDate := m.PrevTerm > term || m.PrevTerm == term && m.Index >= n.lastIndex()
	bound := n.boundByLease() || n.role == leader && n.nowMs < n.leaseUntilMs()+n.LeaseMs/5
	if m.LeadershipTransfer && m.From != "" && n.role == follower && n.nowMs >= n.startedAtMs+n.LeaseMs {
		bound = false
	}
	if m.LeadershipTransfer && n.role == leader && n.transferring || m.ColdStart && !n.leaderSeen {
		bound = false
	}
	if m.PreVote {
		newer := m.Term+1 > n.hardState.Term
		// Two that try at once would take each other's votes. With as much each, the one that comes first by name goes on, for
		// as long as it may yet get through.
		if n.role == candidate && n.preVote && n.campaignCount <= 2 && upToDate && newer && !bound && m.PrevTerm == term && m.Index == n.lastIndex() {
			if n.id < m.From {
				newer = false
			} else {
				n.becomeFollower("")
				n.electionAtMs = n.nowMs + 2*n.HeartbeatMs + int64(n.random()*float64(n.ElectionJitterMs))
			}
		}
		n.send(n.withCommitPoint(Message{
			Type: MsgVoteResponse, To: m.From, PreVote: true, Granted: !bound && upToDate && newer,
			ColdStart: !n.leaderSeen && upToDate, PreVoteRound: m.PreVoteRound,
		}))
		return
	}
	if bound || m.Term < n.hardState.Term {
		return
	}
	if m.Term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = m.Term, ""
		n.becomeFollower("")
	} else if n.hardState.Vote != "" && n.hardState.Vote != m.From || n.role == leader {
		return
	}
	if !upToDate {
		meta := n.hardState
		n.persist(Write{HardState: &meta})
		return
	}
	n.hardState.Vote = m.From
	n.resetElectionTimer()
	meta := n.hardState
	n.persist(Write{HardState: &meta}, n.withCommitPoint(Message{Type: MsgVoteResponse, To: m.From, Granted: true}))
}
