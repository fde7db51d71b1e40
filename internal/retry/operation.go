package retry

// Operation is what one process asks of another.
type Operation uint8

// The operations, grouped by who is asked.
const (
	// Of a database host, for a client.

	Read                 Operation = iota // a statement that only reads
	Write                                 // a single statement that writes
	Begin                                 // the first statement of a transaction
	TransactionStatement                  // any other statement of a transaction, except its end
	Commit                                // COMMIT of a transaction that has written
	Rollback                              // ABORT, and COMMIT of a transaction that has only read

	// Of a database host, for fail-over.

	Stat
	Pause
	Resume
	StepDown

	// Of the platform.

	Promotion

	// Of a member of the control plane.

	OperatorChange
	HostHeartbeat
	HostLeave
	LeaseRequest
	ConsensusMessage
	ForwardedCall // an operator's or a host's call that one member passes to the leader

	// Of another proxy.

	GossipProbe

	OperationCount // number of operations
)

// Progress is how far a call was written when its connection failed or its caller stopped waiting for the answer.
type Progress uint8

// The degrees of progress.
const (
	NotSent       Progress = iota // nothing was written: the connection could not be made or was found closed
	PartlySent                    // a part was written, which no process takes for a message
	Sent                          // all was written; the call may have been executed, or may be yet
	ProgressCount                 // number of degrees
)

// ProgressOf returns the progress of a message of size bytes after a write of written bytes.
func ProgressOf(written, size int) Progress {
	switch {
	case written == 0:
		return NotSent
	case written < size:
		return PartlySent
	}
	return Sent
}
