package consensus

import "slices"

// campaignType says how a candidate asks for votes.
type campaignType uint8

const (
	campaignElection campaignType = iota // for votes in a new term (3.4)
	campaignPreVote                      // whether votes would be granted, in the current term (9.6)
	campaignTransfer                     // for votes, on behalf of a leader that has ended its lease (3.10)
)

const (
	// electionMarginMs is added to LeaseMs in election timers, so that leases are over when the first one fires.
	electionMarginMs = 50
	// maxElectionBackoff is the most heartbeat intervals that a candidate adds between elections that failed.
	maxElectionBackoff = 8
	// maxTieBreaks is in how many campaigns a candidate gives way to, or stops, one with an equal log.
	maxTieBreaks = 2
)

// electionState is what a follower or candidate knows of elections.
type electionState struct {
	timeoutAtMs   int64 // when to start a campaign
	campaignType  campaignType
	votes         map[ID]bool // of a candidate: who has answered, and whether with a vote
	coldStarts    map[ID]bool // of a candidate: who has heard no leader since it started
	allColdStarts bool        // the last Pre-Vote has shown that this is so for all members
	campaignCount int         // campaigns since a leader was heard
	electionCount int64       // those for votes among them, up to maxElectionBackoff
	preVoteRound  uint64      // of the last Pre-Vote
}

// firstPreVoteRound makes the rounds of a restarted node differ from those before: 50 bits are random, and 13 are left
// for counting.
func firstPreVoteRound(random float64) uint64 {
	const randomBits, countBits = 50, 13
	return uint64(random*(1<<randomBits)) << countBits
}

// resetElectionTimer draws when to start an election if no leader is heard until then.
func (n *Node) resetElectionTimer() {
	n.election.timeoutAtMs = n.nowMs + n.LeaseMs + electionMarginMs + n.jitterMs()
	if n.log.lastIndex() < n.commitIndex { // a member with a complete log is to be first
		n.election.timeoutAtMs += n.ElectionJitterMs
	}
}

// jitterMs draws a time of up to ElectionJitterMs.
func (n *Node) jitterMs() int64 {
	return int64(n.random() * float64(n.ElectionJitterMs))
}

// campaign makes this node a candidate.
func (n *Node) campaign(kind campaignType) {
	n.role, n.leaderID, n.election.campaignType = candidate, "", kind
	n.election.campaignCount++
	n.election.coldStarts = map[ID]bool{n.id: !n.leaderSeen}
	n.resetCampaignTimer()
	request := n.withCommitPoint(Message{
		Type:               MsgVoteRequest,
		Index:              n.log.lastIndex(),
		PrevTerm:           n.log.lastTerm(),
		PreVote:            kind == campaignPreVote,
		LeadershipTransfer: kind == campaignTransfer,
		ColdStart:          n.election.allColdStarts && kind != campaignPreVote,
	})
	if kind == campaignPreVote {
		n.requestPreVotes(request)
	} else {
		n.requestVotes(request)
	}
}

// preVoteDelayMs draws when to ask for Pre-Votes next: half the time of an election's heartbeat and jitter, since a Pre-Vote
// disturbs nobody and waits for no disk.
func (n *Node) preVoteDelayMs(drawn float64) int64 {
	return n.HeartbeatMs/2 + int64(drawn*float64(n.ElectionJitterMs)/2)
}

// resetCampaignTimer draws when to campaign again. Candidates that compete may split the votes, and slow disks take long to
// grant one, so elections back off.
func (n *Node) resetCampaignTimer() {
	if n.election.campaignType == campaignPreVote {
		n.election.timeoutAtMs = n.nowMs + n.preVoteDelayMs(n.random())
		return
	}
	n.election.electionCount = min(n.election.electionCount+1, maxElectionBackoff)
	n.election.timeoutAtMs = n.nowMs + n.election.electionCount*n.HeartbeatMs + n.jitterMs()
}

// requestPreVotes asks all voters at once. Responses of earlier rounds do not count: their senders may have granted a
// lease since.
func (n *Node) requestPreVotes(request Message) {
	n.election.votes = map[ID]bool{n.id: !n.boundByLease()}
	n.election.preVoteRound++
	request.PreVoteRound = n.election.preVoteRound
	for _, voter := range n.otherVoters() {
		request.To = voter
		n.send(request)
	}
	n.countPreVotes()
}

// requestVotes begins a term, and asks all voters once that is on disk. The vote for itself is sent along, and like any
// other is not granted while a lease forbids it.
func (n *Node) requestVotes(request Message) {
	n.election.votes = map[ID]bool{n.id: false}
	n.hardState.Term, n.hardState.Vote = n.hardState.Term+1, n.id
	granted := !n.boundByLease() || request.LeadershipTransfer || request.ColdStart
	messages := []Message{{Type: MsgVoteResponse, To: n.id, Granted: granted}}
	for _, voter := range n.otherVoters() {
		request.To = voter
		messages = append(messages, request)
	}
	n.persistHardState(messages...)
}

// otherVoters returns all members but this one, in order.
func (n *Node) otherVoters() []ID {
	var voters []ID
	for _, config := range n.activeConfigurations() {
		voters = append(voters, config.members...)
	}
	slices.Sort(voters)
	return slices.DeleteFunc(slices.Compact(voters), func(id ID) bool { return id == n.id })
}

// countPreVotes starts an election if it can be won. If no member has heard a leader since it started, there is neither a
// leader nor a lease to wait for.
func (n *Node) countPreVotes() {
	if n.stopCampaignOfRemoved() {
		return
	}
	n.election.allColdStarts = n.everyMemberColdStarted()
	if n.election.allColdStarts || n.hasQuorum(func(id ID) bool { return n.election.votes[id] }) {
		n.campaign(campaignElection)
	}
}

// everyMemberColdStarted says that each member has heard no leader since it started, or has lost its disk, and its successor at
// its address has heard none. A successor knows of no entry, so a majority must have answered for themselves: of them,
// none knows of members that this node does not.
func (n *Node) everyMemberColdStarted() bool {
	coldStarted := func(id ID) bool { return n.election.coldStarts[id] }
	return n.hasQuorum(coldStarted) && n.everyMember(func(id ID) bool {
		return coldStarted(id) || n.successorColdStarted(id)
	})
}

// successorColdStarted says whether a process at the address of a member, with another ID, has reported a cold start.
func (n *Node) successorColdStarted(member ID) bool {
	for id, coldStart := range n.election.coldStarts {
		if coldStart && id.TakesPlaceOf(member) {
			return true
		}
	}
	return false
}

// countVotes makes this node the leader once a majority has voted for it.
func (n *Node) countVotes() {
	if n.stopCampaignOfRemoved() {
		return
	}
	n.election.allColdStarts = false
	if n.hasQuorum(func(id ID) bool { return n.election.votes[id] }) {
		n.becomeLeader()
	}
}

// stopCampaignOfRemoved ends the campaign of a node that has learnt from a response that it is no longer a member.
func (n *Node) stopCampaignOfRemoved() bool {
	if n.isMember(n.id) {
		return false
	}
	n.becomeFollower("")
	return true
}

// stepVoteRequest answers a candidate.
func (n *Node) stepVoteRequest(m Message) {
	n.learnCommitPoint(m)
	if m.PreVote {
		n.stepPreVoteRequest(m)
		return
	}
	if n.leaseForbidsVote(m) || m.Term < n.hardState.Term {
		return
	}
	if m.Term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = m.Term, ""
		n.becomeFollower("")
	} else if n.hardState.Vote != "" && n.hardState.Vote != m.From || n.role == leader {
		return
	}
	if !n.candidateUpToDate(m) {
		n.persistHardState()
		return
	}
	n.hardState.Vote = m.From
	n.resetElectionTimer()
	n.persistHardState(n.withCommitPoint(Message{Type: MsgVoteResponse, To: m.From, Granted: true}))
}

// stepPreVoteRequest tells a candidate whether it would get this node's vote. Nothing is promised by that.
func (n *Node) stepPreVoteRequest(m Message) {
	granted := n.candidateUpToDate(m) && !n.leaseForbidsVote(m) && m.Term+1 > n.hardState.Term
	if granted && n.tiesWith(m) {
		if n.id < m.From {
			granted = false
		} else {
			n.becomeFollower("")
			// time for the other's election and its first heartbeat
			n.election.timeoutAtMs = n.nowMs + 2*n.HeartbeatMs + n.jitterMs()
		}
	}
	n.sendPreVoteResponse(m, granted)
}

// reportColdStart tells a candidate, which asks an earlier member at this address, whether this node has heard a leader since
// it started. It is no vote. The earlier member has ended, and with it any lease that it held as a leader.
func (n *Node) reportColdStart(m Message) { n.sendPreVoteResponse(m, false) }

// sendPreVoteResponse answers a request for a Pre-Vote, and says whether this node has heard a leader since it started.
func (n *Node) sendPreVoteResponse(m Message, granted bool) {
	n.send(n.withCommitPoint(Message{
		Type:         MsgVoteResponse,
		To:           m.From,
		PreVote:      true,
		Granted:      granted,
		ColdStart:    !n.leaderSeen && n.candidateUpToDate(m),
		PreVoteRound: m.PreVoteRound,
	}))
}

// stepVoteResponse takes in a vote, a Pre-Vote, or a refusal of one.
func (n *Node) stepVoteResponse(m Message) {
	n.learnCommitPoint(m)
	if m.PreVote {
		n.stepPreVoteResponse(m)
		return
	}
	if n.checkTerm(m) && n.role == candidate && n.election.campaignType != campaignPreVote && m.Granted {
		n.election.votes[m.From] = true
		n.countVotes()
	}
}

// stepPreVoteResponse takes in a Pre-Vote. A newer term is entered, and asked for again in it: else a member with a
// shorter log in a newer term could keep one with a longer log from being elected for good.
func (n *Node) stepPreVoteResponse(m Message) {
	if m.Term > n.hardState.Term {
		n.enterTerm(m.Term)
		n.election.timeoutAtMs = n.nowMs
		return
	}
	if p := n.peers[m.From]; n.role == leader && p != nil { // it was asked by sendHeartbeat
		p.heardAtMs = n.nowMs
	}
	if n.role == candidate && n.election.campaignType == campaignPreVote {
		n.election.votes[m.From] = n.election.votes[m.From] || m.Granted
		n.election.coldStarts[m.From] = m.ColdStart && m.PreVoteRound == n.election.preVoteRound
		n.countPreVotes()
	}
}

// candidateUpToDate says whether a candidate's log is at least as up to date as this node's (3.6.1).
func (n *Node) candidateUpToDate(m Message) bool {
	lastTerm := n.log.lastTerm()
	return m.PrevTerm > lastTerm || m.PrevTerm == lastTerm && m.Index >= n.log.lastIndex()
}

// leaseForbidsVote says whether a lease keeps this node from voting for a candidate (4.2.3, 6.4.1). It does not if the
// leader has ended its lease to transfer leadership, or if no member can have granted one. A leader waits beyond the end
// of its own before it votes for another (leaderVoteDelayDivisor).
func (n *Node) leaseForbidsVote(m Message) bool {
	switch {
	case m.ColdStart && !n.leaderSeen,
		m.LeadershipTransfer && n.role == leader && n.leadership.transferring,
		m.LeadershipTransfer && n.role == follower && n.nowMs >= n.startedAtMs+n.LeaseMs:
		return false
	}
	return n.boundByLease() || n.role == leader && n.nowMs < n.leaseUntilMs()+n.LeaseMs/leaderVoteDelayDivisor
}

// tiesWith says whether this node asks for Pre-Votes itself, with an equal log. Two that go on to an election at once
// may split the votes; the one with the smaller ID goes first, for as long as it may still succeed.
func (n *Node) tiesWith(m Message) bool {
	return n.role == candidate && n.election.campaignType == campaignPreVote && n.election.campaignCount <= maxTieBreaks &&
		m.PrevTerm == n.log.lastTerm() && m.Index == n.log.lastIndex()
}

// withCommitPoint adds what is known here to be committed. After a change of members, the one that knows of its
// commitment and the one that can be elected need not be the same.
func (n *Node) withCommitPoint(m Message) Message {
	m.CommitIndex = max(n.commitIndex, n.hardState.CommittedConfigIndex)
	m.CommitTerm, _ = n.log.term(m.CommitIndex)
	return m
}

// learnCommitPoint commits what another member knows to be committed. If the entry there is the same here, so are all
// before it (3.5, Log Matching).
func (n *Node) learnCommitPoint(m Message) {
	if term, known := n.log.term(m.CommitIndex); known && m.CommitIndex > n.commitIndex && term == m.CommitTerm {
		n.commitTo(m.CommitIndex)
	}
}
