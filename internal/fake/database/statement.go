package database

import (
	"fmt"

	"ferrypitch/internal/wire"
)

// Verbs of statements.
const (
	verbFence    = "FENCE"
	verbExecute  = "EXECUTE"
	verbSet      = "SET"
	verbReset    = "RESET"
	verbPrepare  = "PREPARE"
	verbClose    = "CLOSE"
	verbBegin    = "BEGIN"
	verbCommit   = "COMMIT"
	verbAbort    = "ABORT"
	verbFetch    = "FETCH"
	verbStore    = "STORE"
	verbStat     = "STAT"
	verbPause    = "PAUSE"
	verbResume   = "RESUME"
	verbStepDown = "STEPDOWN"
)

// Ranges of the run time of statements.
const (
	minReadTime  = Millisecond
	maxReadTime  = 8 * Millisecond
	minWriteTime = Millisecond
	maxWriteTime = 5 * Millisecond
)

// statement is a parsed statement. FENCE and EXECUTE are resolved: the verb is that of the fenced or prepared statement.
type statement struct {
	id        string
	verb      string
	arguments string
	fence     *wire.Position // the position that the statement must see; nil if there is none
}

// stamp returns the line that ends the answer to a statement that reads or writes data.
func (s *statement) stamp() string { return stampPrefix + s.id }

// Query runs a statement. OnResponse receives the answer.
func (c *Conn) Query(id, text string) {
	s := &statement{id: id}
	s.verb, s.arguments = cutWord(text)
	if s.verb == verbFence {
		position, fenced := cutWord(s.arguments)
		fence, err := wire.ParsePosition([]byte(position))
		if err != nil {
			c.reject(wire.CodeMalformed)
			return
		}
		s.fence = &fence
		s.verb, s.arguments = cutWord(fenced)
	}
	if s.verb == verbExecute {
		name, arguments := cutWord(s.arguments)
		prepared, ok := c.Prepared[name]
		if !ok {
			c.fail(wire.CodeUnknownName)
			return
		}
		s.verb, _ = cutWord(prepared)
		s.arguments = arguments
	}
	if c.State == stateFailed && s.verb != verbCommit && s.verb != verbAbort {
		c.reject(wire.CodeMalformed)
		return
	}
	c.run(s)
}

func (c *Conn) run(s *statement) {
	switch s.verb {
	case verbSet, verbReset, verbPrepare, verbClose:
		c.changeSession(s)
	case verbBegin:
		c.begin(s)
	case verbCommit:
		c.commitTransaction(s)
	case verbAbort:
		c.endTransaction()
		c.respond(0, doneWithoutStamp)
	case verbFetch:
		c.fetch(s)
	case verbStore:
		c.store(s)
	case verbStat, verbPause, verbResume, verbStepDown:
		var timeline uint64
		// Without a number, as after STAT, the timeline stays 0, which is not greater than that of any host.
		_, _ = fmt.Sscan(s.arguments, &timeline)
		c.respondStatus(c.Host.Control(s.verb, timeline))
	default:
		c.reject(wire.CodeMalformed)
	}
}

// changeSession sets and clears session variables and prepared statements.
func (c *Conn) changeSession(s *statement) {
	name, value := cutWord(s.arguments)
	switch s.verb {
	case verbSet:
		c.Values[name] = value
	case verbPrepare:
		c.Prepared[name] = value
	case verbClose:
		delete(c.Prepared, s.arguments)
	case verbReset:
		c.Values, c.Prepared = map[string]string{}, map[string]string{}
	}
	c.respond(0, doneWithoutStamp)
}

// isBehind reports whether the host lacks the position that a statement must see.
func (c *Conn) isBehind(s *statement) bool { return s.fence != nil && !c.Host.Visible(*s.fence) }

func (c *Conn) begin(s *statement) {
	readOnly := s.arguments == verbFetch
	switch {
	case c.isBehind(s):
		c.reject(wire.CodeLagging)
	case s.arguments == "" && !c.Host.IsPrimary:
		c.reject(wire.CodeReadOnly)
	default:
		c.State, c.ReadOnly, c.BeginID, c.pendingWrites = stateInTransaction, readOnly, s.id, nil
		c.respond(0, doneWithoutStamp)
	}
}

func (c *Conn) commitTransaction(s *statement) {
	failed, writes := c.State == stateFailed, c.pendingWrites
	c.endTransaction()
	switch {
	case failed:
		c.reject(wire.CodeAborted)
	case len(writes) == 0:
		c.respond(0, s.stamp())
	case !c.Host.IsPrimary:
		c.reject(wire.CodeReadOnly)
	default:
		c.commit(s.stamp(), writes)
	}
}

func (c *Conn) fetch(s *statement) {
	group := c.Host.group
	switch {
	case c.isBehind(s):
		c.fail(wire.CodeLagging)
	case c.State == stateInTransaction && !c.ReadOnly && !c.Host.IsPrimary:
		c.fail(wire.CodeReadOnly)
	default:
		if group.OnRead != nil {
			group.OnRead(c.Host, c, s.id)
		}
		c.respond(group.Between(minReadTime, maxReadTime), "ROW "+s.arguments, s.stamp())
	}
}

func (c *Conn) store(s *statement) {
	group := c.Host.group
	_, data := cutWord(s.arguments) // after the name of the table
	switch {
	case !c.Host.IsPrimary || c.State == stateInTransaction && c.ReadOnly:
		c.fail(wire.CodeReadOnly)
	case c.State == stateInTransaction:
		c.pendingWrites = append(c.pendingWrites, data)
		c.respond(group.Between(minWriteTime, maxWriteTime), s.stamp())
	case group.RejectedWriteOneIn > 0 && group.OneIn(group.RejectedWriteOneIn):
		c.reject(wire.CodeRetry)
	default:
		c.commit(s.stamp(), []string{data})
	}
}
