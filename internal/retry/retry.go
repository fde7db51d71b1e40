// Package retry says which calls may be made again, and what is
// done with one that got no clear answer, by how far it had been written. The data plane, the questions to hosts and the
// calls to the platform follow it; the table in docs/design/control-state.md is this one.
//
//	call, moment -> Again | Ask | Dropped | Doubt | Caller
//
// A call that stood still with its process or its host (a freeze, and the thaw after it) is one that was Said: what was
// written may run at any moment until its host is known to have done all that it was told.
//
// Pure.
package retry

// Operation is what one process asks of another.
type Operation uint8

// OperationCount.
const (
	Read                 Operation = iota // a statement that only reads
	Write                                 // a single statement that writes
	Begin                                 // the first statement of a transaction
	TransactionStatement                  // a later one, COMMIT and ABORT aside
	Commit                                // of a transaction that wrote
	Rollback                              // ABORT, and the COMMIT of what only read
	Stat                                  // a question to a host
	Pause                                 // orders to a host
	Resume                                //
	StepDown                              //
	Promotion                             // to the platform
	OperatorChange                        // an operator's, at any member
	HostHeartbeat                         // a host's
	HostLeave                             // a host's
	LeaseRequest                          // a router's
	ConsensusMessage                      // between members
	ForwardedCall                         // of Order, Beat or Leave, to the member that leads
	GossipProbe                           // between routers
	OperationCount                        // how many there are
)

// Progress is how far a call was written when its connection ended or its answer was given up.
type Progress uint8

// ProgressCount.
const (
	NotSent    Progress = iota // nothing of it: the connection was found closed, or could not be made
	PartlySent                 // a part, which no process takes for a message
	Sent                       // all of it; it may have run, or may yet
	ProgressCount
)

// ProgressOf is the moment of a write of which n bytes of all went out.
func ProgressOf(n, all int) Progress {
	switch {
	case n == 0:
		return NotSent
	case n < all:
		return PartlySent
	}
	return Sent
}

// Action is what follows.
type Action uint8

// What follows.
const (
	RetryNow      Action = iota // it is made again at once: nothing of it ran, or it changes nothing
	Reconsider                  // whoever decides looks how things stand, and then says it anew under a new number
	RolledBack                  // its connection's end undoes it: a promise that nothing is kept
	InDoubt                     // never again; its caller is told that this is not known
	CallerRetries               // never again from here: its caller comes by itself, and what came before is known by its own mark
)

// String is the word of the table in the docs.
func (t Action) String() string { return [...]string{"again", "ask", "dropped", "doubt", "caller"}[t] }

var table = [OperationCount][ProgressCount]Action{
	Read:                 {RetryNow, RetryNow, RetryNow},
	Write:                {RetryNow, RetryNow, InDoubt},
	Begin:                {RetryNow, RetryNow, RetryNow},
	TransactionStatement: {RolledBack, RolledBack, RolledBack},
	Commit:               {RolledBack, RolledBack, InDoubt},
	Rollback:             {RolledBack, RolledBack, RolledBack},
	Stat:                 {RetryNow, RetryNow, RetryNow},
	Pause:                {RetryNow, RetryNow, Reconsider},
	Resume:               {RetryNow, RetryNow, Reconsider},
	StepDown:             {RetryNow, RetryNow, Reconsider},
	Promotion:            {RetryNow, Reconsider, Reconsider},
	OperatorChange:       {CallerRetries, CallerRetries, CallerRetries},
	HostHeartbeat:        {CallerRetries, CallerRetries, CallerRetries},
	HostLeave:            {CallerRetries, CallerRetries, CallerRetries},
	LeaseRequest:         {Reconsider, Reconsider, Reconsider},
	ConsensusMessage:     {Reconsider, Reconsider, Reconsider},
	ForwardedCall:        {CallerRetries, CallerRetries, CallerRetries},
	GossipProbe:          {Reconsider, Reconsider, Reconsider},
}

// Decide says what follows a call that got no clear answer.
func Decide(c Operation, m Progress) Action { return table[c][m] }

// Idempotent says that a call may be made again whatever became of it.
func Idempotent(c Operation) bool {
	return table[c] == [ProgressCount]Action{RetryNow, RetryNow, RetryNow}
}
