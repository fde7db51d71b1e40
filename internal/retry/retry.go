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

// Call is what one process asks of another.
type Call uint8

// Calls.
const (
	Read       Call = iota // a statement that only reads
	Write                  // a single statement that writes
	Begin                  // the first statement of a transaction
	Within                 // a later one, COMMIT and ABORT aside
	Commit                 // of a transaction that wrote
	Rollback               // ABORT, and the COMMIT of what only read
	Stat                   // a question to a host
	Pause                  // orders to a host
	Resume                 //
	StepDown               //
	Promotion              // to the platform
	Order                  // an operator's, at any member
	Beat                   // a host's
	Leave                  // a host's
	Lease                  // a router's
	LogMessage             // between members
	PassOn                 // of Order, Beat or Leave, to the member that leads
	Probe                  // between routers
	Calls                  // how many there are
)

// Moment is how far a call was written when its connection ended or its answer was given up.
type Moment uint8

// Moments.
const (
	Unsaid Moment = iota // nothing of it: the connection was found closed, or could not be made
	Torn                 // a part, which no process takes for a message
	Said                 // all of it; it may have run, or may yet
	Moments
)

// Wrote is the moment of a write of which n bytes of all went out.
func Wrote(n, all int) Moment {
	switch {
	case n == 0:
		return Unsaid
	case n < all:
		return Torn
	}
	return Said
}

// Then is what follows.
type Then uint8

// What follows.
const (
	Again   Then = iota // it is made again at once: nothing of it ran, or it changes nothing
	Ask                 // whoever decides looks how things stand, and then says it anew under a new number
	Dropped             // its connection's end undoes it: a promise that nothing is kept
	Doubt               // never again; its caller is told that this is not known
	Caller              // never again from here: its caller comes by itself, and what came before is known by its own mark
)

// String is the word of the table in the docs.
func (t Then) String() string { return [...]string{"again", "ask", "dropped", "doubt", "caller"}[t] }

var table = [Calls][Moments]Then{
	Read:       {Again, Again, Again},
	Write:      {Again, Again, Doubt},
	Begin:      {Again, Again, Again},
	Within:     {Dropped, Dropped, Dropped},
	Commit:     {Dropped, Dropped, Doubt},
	Rollback:   {Dropped, Dropped, Dropped},
	Stat:       {Again, Again, Again},
	Pause:      {Again, Again, Ask},
	Resume:     {Again, Again, Ask},
	StepDown:   {Again, Again, Ask},
	Promotion:  {Again, Ask, Ask},
	Order:      {Caller, Caller, Caller},
	Beat:       {Caller, Caller, Caller},
	Leave:      {Caller, Caller, Caller},
	Lease:      {Ask, Ask, Ask},
	LogMessage: {Ask, Ask, Ask},
	PassOn:     {Caller, Caller, Caller},
	Probe:      {Ask, Ask, Ask},
}

// After says what follows a call that got no clear answer.
func After(c Call, m Moment) Then { return table[c][m] }

// Repeats says that a call may be made again whatever became of it.
func Repeats(c Call) bool { return table[c] == [Moments]Then{Again, Again, Again} }
