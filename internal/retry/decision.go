package retry

// Action is what follows a call without a clear answer.
type Action uint8

// The actions.
const (
	RetryNow      Action = iota // send it again at once: it was not executed, or has no effect
	Reconsider                  // look at the present state first; a new call, with a new number, may follow
	RolledBack                  // nothing of it remains, since the host rolls back when its connection ends; tell the caller so
	InDoubt                     // never send it again; tell the caller that the outcome is unknown
	CallerRetries               // leave it to the caller to send it again; the receiver recognizes the duplicate
)

var actionNames = [...]string{
	RetryNow: "retry", Reconsider: "reconsider", RolledBack: "rolled back", InDoubt: "in doubt", CallerRetries: "caller retries",
}

// String returns the action's name in the table of docs/design/control-state.md.
func (a Action) String() string { return actionNames[a] }

// decisions has the actions for {NotSent, PartlySent, Sent}.
var decisions = [OperationCount][ProgressCount]Action{
	Read:                 {RetryNow, RetryNow, RetryNow},                // has no effect
	Write:                {RetryNow, RetryNow, InDoubt},                 // may have been executed
	Begin:                {RetryNow, RetryNow, RetryNow},                // rolled back at the end of its connection
	TransactionStatement: {RolledBack, RolledBack, RolledBack},          // rolled back at the end of its connection
	Commit:               {RolledBack, RolledBack, InDoubt},             // may have been executed
	Rollback:             {RolledBack, RolledBack, RolledBack},          // there is nothing to keep
	Stat:                 {RetryNow, RetryNow, RetryNow},                // has no effect
	Pause:                {RetryNow, RetryNow, Reconsider},              // may take effect late
	Resume:               {RetryNow, RetryNow, Reconsider},              // may take effect late
	StepDown:             {RetryNow, RetryNow, Reconsider},              // may take effect late; its term protects a later primary
	Promotion:            {RetryNow, Reconsider, Reconsider},            // the nominee is asked whether it is the primary
	OperatorChange:       {CallerRetries, CallerRetries, CallerRetries}, // recognized by base version and digest
	HostHeartbeat:        {CallerRetries, CallerRetries, CallerRetries}, // recognized by its sequence number
	HostLeave:            {CallerRetries, CallerRetries, CallerRetries}, // recognized by the host's id
	LeaseRequest:         {Reconsider, Reconsider, Reconsider},          // the next request replaces it
	ConsensusMessage:     {Reconsider, Reconsider, Reconsider},          // the leader's progress of each member says what to send
	ForwardedCall:        {CallerRetries, CallerRetries, CallerRetries}, // recognized by its number
	GossipProbe:          {Reconsider, Reconsider, Reconsider},          // the next probe has a new number
}

// Decide returns what follows an operation without a clear answer.
func Decide(operation Operation, progress Progress) Action { return decisions[operation][progress] }

// Idempotent reports whether an operation may be sent again however far it was written before.
func Idempotent(operation Operation) bool {
	return decisions[operation] == [ProgressCount]Action{RetryNow, RetryNow, RetryNow}
}
