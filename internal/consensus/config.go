package consensus

// Config holds a node's timing, in milliseconds of the caller's clock, and its limits. All members of a group use the
// same values: a lease is only safe if the member that grants it waits as long as the leader counts on. There are no
// usable zero values; start from DefaultConfig.
type Config struct {
	LeaseMs               int64 // a member that hears a leader votes for nobody else for this long
	HeartbeatMs           int64 // interval of a leader's heartbeats
	ElectionJitterMs      int64 // most that is added at random to an election timer
	RetransmitMs          int64 // after which entries that were not acknowledged are sent again
	DiskTimeoutMs         int64 // a leader whose disk takes longer for a write hands over
	RemovalTimeoutMs      int64 // a member silent for this long may be replaced by a learner
	MaxMembers            int   // voting members at most; further ones remain learners
	ChunkBytes            int   // data bytes of a snapshot chunk
	RetainedBytes         int   // most bytes of compacted entries kept in memory for members that lag
	TransferRetainedBytes int   // the same for entries behind a snapshot that a member is receiving
}

// DefaultConfig is for a network with round trips of a few milliseconds. The group is to survive the loss of
// maxFailures members at once; less than 1 counts as 1.
func DefaultConfig(maxFailures int) Config {
	return Config{
		LeaseMs:               700,
		HeartbeatMs:           130,
		ElectionJitterMs:      200,
		RetransmitMs:          400,
		DiskTimeoutMs:         500,
		RemovalTimeoutMs:      2000,
		MaxMembers:            2*max(maxFailures, 1) + 1,
		ChunkBytes:            128 << 10,
		RetainedBytes:         256 << 10,
		TransferRetainedBytes: 4 << 20,
	}
}
