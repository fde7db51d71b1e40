package consensus

// MessageType says what a Message is, and with that which of its fields are set.
type MessageType uint8

// Message types. Their numbers are on the wire.
const (
	// MsgHeartbeat is sent by a leader and asks for a lease (6.4.1). SentAtMs comes back in the response.
	MsgHeartbeat MessageType = iota + 1
	// MsgHeartbeatResponse grants the lease: its sender votes for nobody else for LeaseMs. Index is the newest
	// configuration that it has on disk as committed; Granted says that it is leaving.
	MsgHeartbeatResponse
	// MsgAppend carries entries that follow the entry at Index, whose term is PrevTerm (3.5).
	MsgAppend
	// MsgAppendAccepted says that the log is on disk up to Index and equals the leader's there.
	MsgAppendAccepted
	// MsgAppendRejected says that the entries do not follow the receiver's log. The leader is to go on behind Index.
	MsgAppendRejected
	// MsgSnapshotChunk carries a part of the leader's snapshot (5.1, InstallSnapshot).
	MsgSnapshotChunk
	// MsgVoteRequest asks for a vote (3.4) or, with PreVote, whether one would be granted (9.6). Index and PrevTerm are
	// those of the candidate's last entry.
	MsgVoteRequest
	// MsgVoteResponse answers a MsgVoteRequest.
	MsgVoteResponse
	// MsgTimeoutNow has its receiver start an election at once, to take over leadership (3.10).
	MsgTimeoutNow
	// MsgJoin asks the leader to replicate to its sender, a learner or a member that has not heard a leader for long. It
	// has no receiver, and goes to all known members; Index is the sender's last entry.
	MsgJoin
	// MsgSnapshotChunkAck says in Chunk.Offset how much of a snapshot has arrived.
	MsgSnapshotChunkAck
	// MsgSnapshotRequest asks for the leader's snapshot, whatever the sender's log holds: its state is wrong.
	MsgSnapshotRequest
	// MsgLeave is sent by a member that is to shut down and asks to be replaced by a learner.
	MsgLeave
	// MsgLeaveResponse says that its receiver may shut down. Granted: a learner has replaced it; else there is none, and
	// it remains a member.
	MsgLeaveResponse
)

// Message is sent between members. Every message has Type, From and Term; the comments of the types and of the fields
// say what else is set.
type Message struct {
	Type               MessageType
	From, To           ID     // To is empty in MsgJoin
	Term               uint64 // the sender's term
	Index              uint64
	PrevTerm           uint64
	CommitIndex        uint64
	SentAtMs           int64 // by the clock of the member that began the exchange
	Entries            []Entry
	Chunk              *SnapshotChunk // of MsgSnapshotChunk and MsgSnapshotChunkAck
	PreVote            bool           // of MsgVoteRequest and MsgVoteResponse
	LeadershipTransfer bool           // of MsgVoteRequest: the leader has ended its lease and asked for this election
	Granted            bool           // of MsgVoteResponse, MsgLeaveResponse and MsgHeartbeatResponse
	ColdStart          bool           // of MsgVoteResponse: no leader was heard since the start; of MsgVoteRequest: by no member
	PreVoteRound       uint64         // of a Pre-Vote: the response repeats the request's, and counts only in that round
	CommitTerm         uint64         // of MsgVoteRequest, MsgVoteResponse and MsgLeaveResponse: the term of the entry at CommitIndex
}

// sentByLeader says whether only the leader of a term sends the message.
func (m *Message) sentByLeader() bool {
	return m.Type == MsgHeartbeat || m.Type == MsgAppend || m.Type == MsgSnapshotChunk
}
