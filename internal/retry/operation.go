package retry

// Operation is the kind of a call from one process to another.
type Operation uint8

// The operations, grouped by the receiver of the call.
const (
	// Sent to a database host on behalf of a client.

	Read                 Operation = iota // a statement that only reads
	Write                                 // a single statement that writes
	Begin                                 // the first statement of a transaction
	TransactionStatement                  // any later statement of a transaction, except COMMIT and ABORT
	Commit                                // COMMIT of a transaction that has written
	Rollback                              // ABORT, and COMMIT of a transaction that has only read

	// Sent to a database host during a failover.

	Stat
	Pause
	Resume
	StepDown

	// Sent to the platform.

	Promotion

	// Sent to a member of the control plane.

	OperatorChange
	HostHeartbeat
	HostLeave
	LeaseRequest
	ConsensusMessage
	ForwardedCall // an operator's or a host's call that a member forwards to the leader

	// Sent to another proxy.

	GossipProbe

	OperationCount // number of operations
)

// Progress is how much of a call was written when its connection failed or its caller stopped waiting for the response.
type Progress uint8

// The progress values.
const (
	NotSent       Progress = iota // nothing was written: the connection could not be established or was already closed
	PartlySent                    // a part was written; the receiver does not process an incomplete message
	Sent                          // everything was written; the call may have been executed or may still be
	ProgressCount                 // number of progress values
)

// ProgressOf returns the progress of a message of size bytes of which written bytes were written.
func ProgressOf(written, size int) Progress {
	switch {
	case written == 0:
		return NotSent
	case written < size:
		return PartlySent
	}
	return Sent
}
