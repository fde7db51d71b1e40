package consensus

// Config holds a node's timing parameters, in milliseconds of the caller's clock, and its limits. All members of a
// group must use the same values: a lease is only safe if the member that grants it keeps it for as long as the
// leader relies on it. The zero value is not usable; start from DefaultConfig.
type Config struct {
	LeaseMs               int64 // how long a member that hears from a leader votes for nobody else
	HeartbeatMs           int64 // interval between a leader's heartbeats
	ElectionJitterMs      int64 // upper bound of the random delay added to an election timer
	RetransmitMs          int64 // timeout after which unacknowledged entries are sent again
	DiskTimeoutMs         int64 // age of a leader's oldest pending write at which it transfers its leadership
	RemovalTimeoutMs      int64 // silence after which a learner may replace a member
	MaxMembers            int   // maximum number of voting members; additional nodes remain learners
	ChunkBytes            int   // payload size of a snapshot chunk
	RetainedBytes         int   // maximum size of compacted entries kept in memory for lagging members
	TransferRetainedBytes int   // same limit for entries that follow a snapshot in transfer to a member
}

// DefaultConfig returns the configuration for a network with round trips of a few milliseconds. The group tolerates
// the simultaneous loss of maxFailures members; values less than 1 count as 1.
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
