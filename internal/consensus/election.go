package consensus

import "slices"

// campaignType is the kind of campaign that a candidate runs.
type campaignType uint8

const (
	campaignElection campaignType = iota // requests votes in a new term (3.4)
	campaignPreVote                      // asks in the current term whether votes would be granted (9.6)
	campaignTransfer                     // requests votes on behalf of a leader that has given up its lease (3.10)
)

const (
	// electionMarginMs is added to LeaseMs in election timers, so that leases have expired when the first timer
	// fires.
	electionMarginMs = 50
	// maxElectionBackoff is the maximum number of heartbeat intervals by which a candidate delays its next campaign
	// after failed elections.
	maxElectionBackoff = 8
	// maxTieBreaks is the number of campaigns in which ties between candidates with equal logs are broken by ID.
	maxTieBreaks = 2
)

// electionState is the election state of a follower or candidate.
type electionState struct {
	timeoutAtMs   int64 // when the next campaign starts
	campaignType  campaignType
	votes         map[ID]bool // candidate only: whether a member granted its vote, by members that answered
	coldStarts    map[ID]bool // candidate only: members that have heard from no leader since they started
	allColdStarts bool        // the last Pre-Vote found that no member has heard from a leader since it started
	campaignCount int         // campaigns since a leader was last heard from
	electionCount int64       // campaigns that requested votes in a new term, up to maxElectionBackoff
	preVoteRound  uint64      // number of the last Pre-Vote round
}

// initialPreVoteRound returns an initial round number that differs from those used before a restart: 50 bits are
// random, and 13 bits are left for counting.
func initialPreVoteRound(random float64) uint64 {
	const randomBits, countBits = 50, 13
	return uint64(random*(1<<randomBits)) << countBits
}

// resetElectionTimer sets a randomized deadline at which a campaign starts unless a leader is heard from before.
func (n *Node) resetElectionTimer() {
	n.election.timeoutAtMs = n.nowMs + n.LeaseMs + electionMarginMs + n.jitterMs()
	if n.log.lastIndex() < n.commitIndex { // members with a complete log campaign first
		n.election.timeoutAtMs += n.ElectionJitterMs
	}
}

// jitterMs returns a random duration of up to ElectionJitterMs.
func (n *Node) jitterMs() int64 {
	return int64(n.random() * float64(n.ElectionJitterMs))
}

// campaign makes this node a candidate and sends its vote requests.
func (n *Node) campaign(kind campaignType) {
	n.role, n.leaderID, n.election.campaignType = candidate, "", kind
	n.election.campaignCount++
	n.Campaigns++
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

// preVoteDelayMs returns the randomized delay until the next Pre-Vote: half a heartbeat interval plus up to half of
// ElectionJitterMs. Pre-Votes can be retried sooner than elections since they disturb no other member and wait for no
// disk.
func (n *Node) preVoteDelayMs(randomValue float64) int64 {
	return n.HeartbeatMs/2 + int64(randomValue*float64(n.ElectionJitterMs)/2)
}

// resetCampaignTimer sets a randomized deadline for the next campaign. Elections back off, since competing candidates
// may split the vote and members with slow disks take long to grant one.
func (n *Node) resetCampaignTimer() {
	if n.election.campaignType == campaignPreVote {
		n.election.timeoutAtMs = n.nowMs + n.preVoteDelayMs(n.random())
		return
	}
	n.election.electionCount = min(n.election.electionCount+1, maxElectionBackoff)
	n.election.timeoutAtMs = n.nowMs + n.election.electionCount*n.HeartbeatMs + n.jitterMs()
}

// requestPreVotes sends Pre-Vote requests to all other voters. Cold starts reported in earlier rounds do not count:
// their senders may have granted a lease since.
func (n *Node) requestPreVotes(request Message) {
	n.election.votes = map[ID]bool{n.id: !n.hasUnexpiredPromise()}
	n.election.preVoteRound++
	request.PreVoteRound = n.election.preVoteRound
	for _, voter := range n.otherVoters() {
		request.To = voter
		n.send(request)
	}
	n.countPreVotes()
}

// requestVotes starts a new term and sends vote requests to all other voters once the term is persisted. The
// candidate's vote for itself takes the same path and, like any other vote, is not granted while a lease forbids it.
func (n *Node) requestVotes(request Message) {
	n.election.votes = map[ID]bool{n.id: false}
	n.hardState.Term, n.hardState.Vote = n.hardState.Term+1, n.id
	granted := !n.hasUnexpiredPromise() || request.LeadershipTransfer || request.ColdStart
	messages := []Message{{Type: MsgVoteResponse, To: n.id, Granted: granted}}
	for _, voter := range n.otherVoters() {
		request.To = voter
		messages = append(messages, request)
	}
	n.persistHardState(messages...)
}

// otherVoters returns the members of all active configurations except this node, in sorted order.
func (n *Node) otherVoters() []ID {
	var voters []ID
	for _, config := range n.activeConfigurations() {
		voters = append(voters, config.members...)
	}
	slices.Sort(voters)
	return slices.DeleteFunc(slices.Compact(voters), func(id ID) bool { return id == n.id })
}

// countPreVotes starts an election if the Pre-Vote has succeeded. If no member has heard from a leader since it
// started, there is neither a leader nor a lease to wait for.
func (n *Node) countPreVotes() {
	if n.abortCampaignIfRemoved() {
		return
	}
	n.election.allColdStarts = n.allMembersColdStarted()
	if n.election.allColdStarts || n.hasQuorum(func(id ID) bool { return n.election.votes[id] }) {
		n.campaign(campaignElection)
	}
}

// allMembersColdStarted reports whether each member has heard from no leader since it started. For a member that has
// lost its disk, the report of its successor at the same address counts. A successor holds no entries, so a majority
// of the members must have answered themselves; none of that majority knows of members that this node does not know.
func (n *Node) allMembersColdStarted() bool {
	coldStarted := func(id ID) bool { return n.election.coldStarts[id] }
	return n.hasQuorum(coldStarted) && n.allMembers(func(id ID) bool {
		return coldStarted(id) || n.successorColdStarted(id)
	})
}

// successorColdStarted reports whether a process at the member's address, with another ID, has reported a cold start.
func (n *Node) successorColdStarted(member ID) bool {
	for id, coldStart := range n.election.coldStarts {
		if coldStart && id.SharesAddressWith(member) {
			return true
		}
	}
	return false
}

// countVotes makes this node the leader if a majority has voted for it.
func (n *Node) countVotes() {
	if n.abortCampaignIfRemoved() {
		return
	}
	n.election.allColdStarts = false
	if n.hasQuorum(func(id ID) bool { return n.election.votes[id] }) {
		n.becomeLeader()
	}
}

// abortCampaignIfRemoved ends the campaign if the commit point in a response has shown that this node is no longer a
// member. It reports whether it ended the campaign.
func (n *Node) abortCampaignIfRemoved() bool {
	if n.isMember(n.id) {
		return false
	}
	n.becomeFollower("")
	return true
}

// stepVoteRequest handles a vote or Pre-Vote request from a candidate.
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

// stepPreVoteRequest tells a candidate whether it would get this node's vote. The answer is not a promise.
func (n *Node) stepPreVoteRequest(m Message) {
	granted := n.candidateUpToDate(m) && !n.leaseForbidsVote(m) && m.Term+1 > n.hardState.Term
	if granted && n.tiesWith(m) {
		if n.id < m.From {
			granted = false
		} else {
			n.becomeFollower("")
			// Leaves time for the other candidate's election and first heartbeat.
			n.election.timeoutAtMs = n.nowMs + 2*n.HeartbeatMs + n.jitterMs()
		}
	}
	n.sendPreVoteResponse(m, granted)
}

// reportColdStart answers a candidate whose request is addressed to an earlier member at this address, and tells it
// whether this node has heard from a leader since it started. The answer is not a vote. The earlier member's process
// has ended, and with it any lease that it held as leader.
func (n *Node) reportColdStart(m Message) { n.sendPreVoteResponse(m, false) }

// sendPreVoteResponse answers a Pre-Vote request. The response also says whether this node has heard from a leader
// since it started.
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

// stepVoteResponse handles the response to a vote or Pre-Vote request, granted or not.
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

// stepPreVoteResponse handles a Pre-Vote response. If the response has a newer term, this node enters that term and
// repeats the Pre-Vote there. Otherwise a member with a shorter log in a newer term could permanently prevent the
// election of one with a longer log.
func (n *Node) stepPreVoteResponse(m Message) {
	if m.Term > n.hardState.Term {
		n.enterTerm(m.Term)
		n.election.timeoutAtMs = n.nowMs
		return
	}
	if p := n.peers[m.From]; n.role == leader && p != nil { // response to the probe from sendHeartbeat
		p.heardAtMs = n.nowMs
	}
	if n.role == candidate && n.election.campaignType == campaignPreVote {
		n.election.votes[m.From] = n.election.votes[m.From] || m.Granted
		n.election.coldStarts[m.From] = m.ColdStart && m.PreVoteRound == n.election.preVoteRound
		n.countPreVotes()
	}
}

// candidateUpToDate reports whether a candidate's log is at least as up to date as this node's (3.6.1).
func (n *Node) candidateUpToDate(m Message) bool {
	lastTerm := n.log.lastTerm()
	return m.PrevTerm > lastTerm || m.PrevTerm == lastTerm && m.Index >= n.log.lastIndex()
}

// leaseForbidsVote reports whether a lease prevents this node from voting for a candidate (4.2.3, 6.4.1). It does not
// if the leader has given up its lease to transfer leadership, or if no member can have granted a lease. A leader
// keeps refusing votes for some time after its own lease has ended (leaderVoteDelayDivisor).
func (n *Node) leaseForbidsVote(m Message) bool {
	switch {
	case m.ColdStart && !n.leaderSeen,
		m.LeadershipTransfer && n.role == leader && n.leadership.transferInProgress,
		m.LeadershipTransfer && n.role == follower && n.nowMs >= n.startedAtMs+n.LeaseMs:
		return false
	}
	return n.hasUnexpiredPromise() || n.role == leader && n.nowMs < n.quorumLeaseEndMs()+n.LeaseMs/leaderVoteDelayDivisor
}

// tiesWith reports whether this node is running a Pre-Vote with the same last log entry as the candidate. Two such
// candidates that start elections at the same time may split the vote, so the one with the smaller ID goes first.
// This applies to the first maxTieBreaks campaigns only, after which that candidate is unlikely to succeed.
func (n *Node) tiesWith(m Message) bool {
	return n.role == candidate && n.election.campaignType == campaignPreVote && n.election.campaignCount <= maxTieBreaks &&
		m.PrevTerm == n.log.lastTerm() && m.Index == n.log.lastIndex()
}

// withCommitPoint adds the commit point known to this node: the index and term of the newest entry known to be
// committed. After a membership change, the member that knows that the change is committed and the member that can be
// elected may be different ones.
func (n *Node) withCommitPoint(m Message) Message {
	m.CommitIndex = max(n.commitIndex, n.hardState.CommittedConfigIndex)
	m.CommitTerm, _ = n.log.term(m.CommitIndex)
	return m
}

// learnCommitPoint commits the entries that the sender knows to be committed. If the entry at the commit point is the
// same in both logs, so are all entries before it (3.5, Log Matching).
func (n *Node) learnCommitPoint(m Message) {
	if term, known := n.log.term(m.CommitIndex); known && m.CommitIndex > n.commitIndex && term == m.CommitTerm {
		n.commitTo(m.CommitIndex)
	}
}
