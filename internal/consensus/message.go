package consensus

import "fmt"

// MessageType is the type of a Message. It determines which fields are set.
type MessageType uint8

// Message types. The numbers are part of the wire format.
const (
	// MsgHeartbeat is sent by a leader to request a lease (6.4.1). The response echoes SentAtMs.
	MsgHeartbeat MessageType = iota + 1
	// MsgHeartbeatResponse grants the lease: the sender votes for nobody else for LeaseMs. Index is the index of the
	// newest configuration that the sender has persisted as committed. Granted is true if the sender is leaving.
	MsgHeartbeatResponse
	// MsgAppend carries the entries that follow the entry at Index, whose term is PrevTerm (3.5).
	MsgAppend
	// MsgAppendAccepted reports that the sender's log is persisted up to Index and matches the leader's up to there.
	MsgAppendAccepted
	// MsgAppendRejected reports that the entries do not follow the sender's log. The leader retries from the entry
	// after Index.
	MsgAppendRejected
	// MsgSnapshotChunk carries a chunk of the leader's snapshot (5.1, InstallSnapshot).
	MsgSnapshotChunk
	// MsgVoteRequest requests a vote (3.4) or, with PreVote, asks whether a vote would be granted (9.6). Index and
	// PrevTerm are the index and term of the last entry in the candidate's log.
	MsgVoteRequest
	// MsgVoteResponse answers a MsgVoteRequest.
	MsgVoteResponse
	// MsgTimeoutNow tells the receiver to start an election at once and take over leadership (3.10).
	MsgTimeoutNow
	// MsgJoin asks the leader to replicate to the sender, which is a learner or a member that has not heard from a
	// leader for joinDelayLeases lease durations. It has no receiver and goes to all known members. Index is the
	// sender's last index. A follower forwards it to the leader as a message of its own, with the sender as Joiner.
	MsgJoin
	// MsgSnapshotChunkAck reports in Chunk.Offset how many bytes of a snapshot have been received in order.
	MsgSnapshotChunkAck
	// MsgSnapshotRequest asks for the leader's snapshot regardless of the sender's log, since the sender's state is
	// wrong.
	MsgSnapshotRequest
	// MsgLeave is sent by a member that is shutting down and asks to be replaced by a learner.
	MsgLeave
	// MsgLeaveResponse allows the receiver to shut down. Granted is true if a learner has replaced it; otherwise no
	// learner is available and it remains a member.
	MsgLeaveResponse
)

// messageTypeNames are the names of the message types in logs.
var messageTypeNames = [...]string{
	MsgHeartbeat:         "heartbeat",
	MsgHeartbeatResponse: "heartbeat response",
	MsgAppend:            "append",
	MsgAppendAccepted:    "append accepted",
	MsgAppendRejected:    "append rejected",
	MsgSnapshotChunk:     "snapshot chunk",
	MsgVoteRequest:       "vote request",
	MsgVoteResponse:      "vote response",
	MsgTimeoutNow:        "timeout now",
	MsgJoin:              "join",
	MsgSnapshotChunkAck:  "snapshot chunk acknowledgement",
	MsgSnapshotRequest:   "snapshot request",
	MsgLeave:             "leave",
	MsgLeaveResponse:     "leave response",
}

// String returns the name of the type for logs.
func (t MessageType) String() string {
	if int(t) < len(messageTypeNames) && messageTypeNames[t] != "" {
		return messageTypeNames[t]
	}
	return fmt.Sprintf("type %d", uint8(t))
}

// Message is exchanged between members. Type, From and Term are always set; the comments on the message types and
// fields say which others are.
type Message struct {
	Type               MessageType
	From, To           ID     // To is empty in MsgJoin
	Term               uint64 // the sender's term
	Index              uint64
	PrevTerm           uint64
	CommitIndex        uint64
	SentAtMs           int64 // on the clock of the member that sent the request
	Entries            []Entry
	Chunk              *SnapshotChunk // of MsgSnapshotChunk and MsgSnapshotChunkAck
	PreVote            bool           // of MsgVoteRequest and MsgVoteResponse
	LeadershipTransfer bool           // of MsgVoteRequest: the leader has given up its lease and requested this election
	Granted            bool           // of MsgVoteResponse, MsgLeaveResponse and MsgHeartbeatResponse
	ColdStart          bool           // of MsgVoteResponse: the sender has heard from no leader since its start; of MsgVoteRequest: no member has
	PreVoteRound       uint64         // of a Pre-Vote: echoed in the response; a cold start counts only in its own round
	Joiner             ID             // of a forwarded MsgJoin: the node that asked to join; Index is that node's
	CommitTerm         uint64         // of MsgVoteRequest, MsgVoteResponse and MsgLeaveResponse: term of the entry at CommitIndex
}

// sentByLeader reports whether only the leader of the message's term sends messages of its type.
func (m *Message) sentByLeader() bool {
	return m.Type == MsgHeartbeat || m.Type == MsgAppend || m.Type == MsgSnapshotChunk
}
