// Package session is a client's session: its values and prepared names, its
// transaction, its token, and what each of its statements asks for. What was acknowledged to a client is put in place
// on whatever host connection serves it next.
//
//	Request -> Session.Take -> Step (answer here, place, go on where it is)
//	Session, Fixture -> Prepare -> statements that make a host connection the session's
//
// Pure: no socket, no clock.
package session

import (
	"hash/crc32"
	"maps"
	"slices"
	"strconv"
	"strings"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/wire"
)

// Action is what a statement asks for.
type Action uint8

// What to do.
const (
	AnswerLocally   Action = iota // it is answered here: Reply
	RouteToHost                   // it wants a place: a host and a connection
	UsePinnedConn                 // it goes to the connection of its transaction
	FailTransaction               // it ends a failed transaction whose connection is gone: Reply
)

// Step is what a statement comes to.
type Step struct {
	Action Action
	Reply  []byte // of Here and End, without IDLE
	Writes bool   // it may have an effect, or wants the primary
	Begins bool
	Reads  bool // of Begins: it only reads
	Ends   bool // COMMIT or ABORT
	Commit bool
	Text   string // as it goes to a host
}

// Session is one connection of a client. The zero value is at I, with nothing set.
type Session struct {
	Values         map[string]string
	Prepared       map[string]string // prepared: shapes by the client's names
	Token          wire.Position     // the greatest position of its writes
	State          wire.TransactionState // zero is StateIdle
	ReadOnly       bool              // its transaction began with BEGIN FETCH
	TxnConnLost    bool              // its transaction's connection is gone
	MayHaveWritten bool              // its transaction may have written
	sum            string            // of Values, made anew when they change
	stale          bool
}

// most bounds what one session may have set and prepared, and the bytes of it.
const (
	mostNames = 256
	mostBytes = 256 << 10
)

// IdleState is the session's state for IDLE.
func (s *Session) IdleState() wire.TransactionState {
	if s.State == 0 {
		return 'I'
	}
	return s.State
}

func here(reply []byte) Step { return Step{Action: AnswerLocally, Reply: reply} }

func wrong(kind errcode.Kind) Step { return here(kind.Append(nil, 0)) }

// Handle says what a statement asks for. Only what is answered here changes the session.
func (s *Session) Handle(r wire.Request) Step {
	state := s.IdleState()
	switch r.Kind {
	case wire.Commit, wire.Abort:
		switch {
		case state == 'I':
			return wrong(errcode.NoTransaction)
		case s.TxnConnLost:
			s.EndTransaction()
			if r.Kind == wire.Commit {
				return Step{Action: FailTransaction, Reply: errcode.RolledBack.Append(nil, 0)}
			}
			return Step{Action: FailTransaction, Reply: wire.AppendDone(nil)}
		}
		return Step{Action: UsePinnedConn, Ends: true, Commit: r.Kind == wire.Commit, Text: r.Text}
	}
	if state == 'E' {
		return wrong(errcode.FailedTransaction)
	}
	switch r.Kind {
	case wire.Begin, wire.BeginRead:
		if state == 'T' {
			return wrong(errcode.AlreadyInTransaction)
		}
		return Step{Action: RouteToHost, Begins: true, Reads: r.Kind == wire.BeginRead, Writes: r.Kind == wire.Begin, Text: r.Text}
	case wire.Set:
		if !s.room(len(s.Values), r.Name, r.Shape) {
			return wrong(errcode.SessionTooLarge)
		}
		if s.Values == nil {
			s.Values = map[string]string{}
		}
		s.Values[r.Name], s.stale = r.Shape, true
		return here(wire.AppendDone(nil))
	case wire.Prepare:
		if !s.room(len(s.Prepared), r.Name, r.Shape) {
			return wrong(errcode.SessionTooLarge)
		}
		if s.Prepared == nil {
			s.Prepared = map[string]string{}
		}
		s.Prepared[r.Name] = r.Shape
		return here(wire.AppendDone(nil))
	case wire.CloseName:
		if _, ok := s.Prepared[r.Name]; !ok {
			return wrong(errcode.UnknownPreparedName)
		}
		delete(s.Prepared, r.Name)
		return here(wire.AppendDone(nil))
	}
	step := Step{Action: RouteToHost, Text: r.Text, Writes: r.Kind == wire.Store}
	if r.Kind == wire.Execute {
		shape, ok := s.Prepared[r.Name]
		if !ok {
			return wrong(errcode.UnknownPreparedName)
		}
		step.Writes = wire.ShapeWrites(shape)
		step.Text = "EXECUTE " + PreparedName(shape) + " " + r.Rest
	}
	if state == 'T' {
		step.Action = UsePinnedConn
	}
	return step
}

func (s *Session) room(n int, name, what string) bool {
	size := len(name) + len(what)
	for k, v := range s.Values {
		size += len(k) + len(v)
	}
	for k, v := range s.Prepared {
		size += len(k) + len(v)
	}
	return n < mostNames && size <= mostBytes
}

// EndTransaction ends a transaction.
func (s *Session) EndTransaction() {
	s.State, s.TxnConnLost, s.ReadOnly, s.MayHaveWritten = 'I', false, false, false
}

// HandleResponse takes in what a host answered to a step that was placed or pinned, and says whether the connection stays
// with the session.
func (s *Session) HandleResponse(step Step, a *wire.Response) (stays bool) {
	if step.Writes && !step.Begins || step.Ends && s.MayHaveWritten {
		if a.Code == "" && s.Token.Before(a.Position) {
			s.Token = a.Position // replaced only by a greater one
		}
	}
	if step.Writes && !step.Begins && a.State != 'I' {
		s.MayHaveWritten = true
	}
	if step.Begins && a.State == 'T' {
		s.ReadOnly = step.Reads
	}
	if a.State == 'I' {
		s.EndTransaction()
		return false
	}
	s.State = a.State
	return true
}

// ConnectionLost notes that the connection of a transaction is gone: the host has rolled it back, or will.
func (s *Session) ConnectionLost() { s.State, s.TxnConnLost = 'E', true }

// ValuesKey is the same for sessions with the same values.
func (s *Session) ValuesKey() string {
	if s.stale {
		s.sum, s.stale = sum(s.Values), false
	}
	return s.sum
}

func sum(values map[string]string) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(values)) {
		b.WriteString(k)
		b.WriteByte(' ')
		b.WriteString(values[k])
		b.WriteByte('\n')
	}
	return b.String()
}

// PreparedName is what a shape is prepared as on host connections: one name for one shape, whoever prepared it.
func PreparedName(shape string) string {
	return "f" + strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(shape))), 36) + strconv.FormatInt(int64(len(shape)), 36)
}

// ConnState is what a host connection has been set to. The zero value is a new connection.
type ConnState struct {
	ValuesKey string            // of the values set on it
	Prepared  map[string]string // prepared, by name
}

// mostPrepared is how many names a host connection keeps before it is made new.
const mostPrepared = 128

// Matches says whether a connection has just the session's values.
func (f *ConnState) Matches(s *Session) bool { return f.ValuesKey == s.ValuesKey() }

// Prepare gives the statements that make a connection the session's, for what its next statement runs, and notes them
// as done: a connection on which one of them fails is to be closed.
func (f *ConnState) Prepare(s *Session, r wire.Request) (texts []string) {
	shape := ""
	if r.Kind == wire.Execute {
		shape = s.Prepared[r.Name]
	}
	name := PreparedName(shape)
	held, prepared := f.Prepared[name]
	clash := shape != "" && prepared && held != shape
	open := s.IdleState() == 'T' // what is set then only adds to what is there
	if open && clash {
		texts, prepared = append(texts, "CLOSE "+name), false
	}
	if !f.Matches(s) || !open && (clash || len(f.Prepared) >= mostPrepared) {
		if !open && (f.ValuesKey != "" || len(f.Prepared) > 0) {
			texts = append(texts, "RESET")
			f.Prepared, prepared = nil, false
		}
		for _, k := range slices.Sorted(maps.Keys(s.Values)) {
			texts = append(texts, "SET "+k+" "+s.Values[k])
		}
		f.ValuesKey = s.ValuesKey()
	}
	if shape != "" && !prepared {
		texts = append(texts, "PREPARE "+name+" "+shape)
		if f.Prepared == nil {
			f.Prepared = map[string]string{}
		}
		f.Prepared[name] = shape
	}
	return texts
}
