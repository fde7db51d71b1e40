package retry

// Action is what the caller does after a call whose outcome is not known for certain.
type Action uint8

// The actions.
const (
	RetryNow      Action = iota // send it again immediately: it was not executed or has no effect
	Reconsider                  // decide again from the current state; a new call with a new number may follow
	RolledBack                  // report a rollback to the caller: the host rolls back when the connection ends
	InDoubt                     // never send it again; report to the caller that the outcome is unknown
	CallerRetries               // leave the retry to the caller; the receiver recognizes duplicates
)

var actionNames = [...]string{
	RetryNow: "retry", Reconsider: "reconsider", RolledBack: "rolled back", InDoubt: "in doubt", CallerRetries: "caller retries",
}

// String returns the action's name in the table of docs/design/control-state.md.
func (a Action) String() string { return actionNames[a] }

// decisions holds the actions of each operation for the progress {NotSent, PartlySent, Sent}.
var decisions = [OperationCount][ProgressCount]Action{
	Read:                 {RetryNow, RetryNow, RetryNow},                // no effect
	Write:                {RetryNow, RetryNow, InDoubt},                 // may have been executed
	Begin:                {RetryNow, RetryNow, RetryNow},                // the host rolls back when the connection ends
	TransactionStatement: {RolledBack, RolledBack, RolledBack},          // the host rolls back when the connection ends
	Commit:               {RolledBack, RolledBack, InDoubt},             // may have been executed
	Rollback:             {RolledBack, RolledBack, RolledBack},          // no write is to be committed
	Stat:                 {RetryNow, RetryNow, RetryNow},                // no effect
	Pause:                {RetryNow, RetryNow, Reconsider},              // may take effect late
	Resume:               {RetryNow, RetryNow, Reconsider},              // may take effect late
	StepDown:             {RetryNow, RetryNow, Reconsider},              // may take effect late; the term protects a later primary
	Promotion:            {RetryNow, Reconsider, Reconsider},            // the nominee is asked whether it is the primary
	OperatorChange:       {CallerRetries, CallerRetries, CallerRetries}, // duplicates recognized by base version and digest
	HostHeartbeat:        {CallerRetries, CallerRetries, CallerRetries}, // duplicates recognized by sequence number
	HostLeave:            {CallerRetries, CallerRetries, CallerRetries}, // duplicates recognized by host id
	LeaseRequest:         {Reconsider, Reconsider, Reconsider},          // replaced by the next request
	ConsensusMessage:     {Reconsider, Reconsider, Reconsider},          // the leader resends by each member's progress
	ForwardedCall:        {CallerRetries, CallerRetries, CallerRetries}, // duplicates recognized by call number
	GossipProbe:          {Reconsider, Reconsider, Reconsider},          // replaced by the next probe, which has a new number
}

// Decide returns the action after an operation whose outcome is not known for certain.
func Decide(operation Operation, progress Progress) Action { return decisions[operation][progress] }

// Idempotent reports whether an operation may be sent again regardless of the progress of the previous attempt.
func Idempotent(operation Operation) bool {
	return decisions[operation] == [ProgressCount]Action{RetryNow, RetryNow, RetryNow}
}
