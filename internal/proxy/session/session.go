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

// Do is what a statement asks for.
type Do uint8

// What to do.
const (
	Here   Do = iota // it is answered here: Reply
	Place            // it wants a place: a host and a connection
	Pinned           // it goes to the connection of its transaction
	End              // it ends a failed transaction whose connection is gone: Reply
)

// Step is what a statement comes to.
type Step struct {
	Do     Do
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
	Values   map[string]string
	Names    map[string]string // prepared: shapes by the client's names
	Token    wire.Position     // the greatest position of its writes
	State    byte              // I, T or E; 0 is I
	ReadOnly bool              // its transaction began with BEGIN FETCH
	Lost     bool              // its transaction's connection is gone
	Wrote    bool              // its transaction may have written
	sum      string            // of Values, made anew when they change
	stale    bool
}

// most bounds what one session may have set and prepared, and the bytes of it.
const (
	mostNames = 256
	mostBytes = 256 << 10
)

// At is the session's state for IDLE.
func (s *Session) At() byte {
	if s.State == 0 {
		return 'I'
	}
	return s.State
}

func here(reply []byte) Step { return Step{Do: Here, Reply: reply} }

func wrong(kind errcode.Kind) Step { return here(kind.Append(nil, 0)) }

// Take says what a statement asks for. Only what is answered here changes the session.
func (s *Session) Take(r wire.Request) Step {
	state := s.At()
	switch r.Kind {
	case wire.Commit, wire.Abort:
		switch {
		case state == 'I':
			return wrong(errcode.NoTxn)
		case s.Lost:
			s.Leave()
			if r.Kind == wire.Commit {
				return Step{Do: End, Reply: errcode.RolledBack.Append(nil, 0)}
			}
			return Step{Do: End, Reply: wire.AppendDone(nil)}
		}
		return Step{Do: Pinned, Ends: true, Commit: r.Kind == wire.Commit, Text: r.Text}
	}
	if state == 'E' {
		return wrong(errcode.FailedTxn)
	}
	switch r.Kind {
	case wire.Begin, wire.BeginRead:
		if state == 'T' {
			return wrong(errcode.InTxn)
		}
		return Step{Do: Place, Begins: true, Reads: r.Kind == wire.BeginRead, Writes: r.Kind == wire.Begin, Text: r.Text}
	case wire.Set:
		if !s.room(len(s.Values), r.Name, r.Shape) {
			return wrong(errcode.TooMuch)
		}
		if s.Values == nil {
			s.Values = map[string]string{}
		}
		s.Values[r.Name], s.stale = r.Shape, true
		return here(wire.AppendDone(nil))
	case wire.Prepare:
		if !s.room(len(s.Names), r.Name, r.Shape) {
			return wrong(errcode.TooMuch)
		}
		if s.Names == nil {
			s.Names = map[string]string{}
		}
		s.Names[r.Name] = r.Shape
		return here(wire.AppendDone(nil))
	case wire.CloseName:
		if _, ok := s.Names[r.Name]; !ok {
			return wrong(errcode.NoName)
		}
		delete(s.Names, r.Name)
		return here(wire.AppendDone(nil))
	}
	step := Step{Do: Place, Text: r.Text, Writes: r.Kind == wire.Store}
	if r.Kind == wire.Execute {
		shape, ok := s.Names[r.Name]
		if !ok {
			return wrong(errcode.NoName)
		}
		step.Writes = wire.Writes(shape)
		step.Text = "EXECUTE " + Name(shape) + " " + r.Rest
	}
	if state == 'T' {
		step.Do = Pinned
	}
	return step
}

func (s *Session) room(n int, name, what string) bool {
	size := len(name) + len(what)
	for k, v := range s.Values {
		size += len(k) + len(v)
	}
	for k, v := range s.Names {
		size += len(k) + len(v)
	}
	return n < mostNames && size <= mostBytes
}

// Leave ends a transaction.
func (s *Session) Leave() {
	s.State, s.Lost, s.ReadOnly, s.Wrote = 'I', false, false, false
}

// Answered takes in what a host answered to a step that was placed or pinned, and says whether the connection stays
// with the session.
func (s *Session) Answered(step Step, a *wire.Answer) (stays bool) {
	if step.Writes && !step.Begins || step.Ends && s.Wrote {
		if a.Code == "" && s.Token.Before(a.Position) {
			s.Token = a.Position // replaced only by a greater one
		}
	}
	if step.Writes && !step.Begins && a.State != 'I' {
		s.Wrote = true
	}
	if step.Begins && a.State == 'T' {
		s.ReadOnly = step.Reads
	}
	if a.State == 'I' {
		s.Leave()
		return false
	}
	s.State = a.State
	return true
}

// Drop notes that the connection of a transaction is gone: the host has rolled it back, or will.
func (s *Session) Drop() { s.State, s.Lost = 'E', true }

// Sum is the same for sessions with the same values.
func (s *Session) Sum() string {
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

// Name is what a shape is prepared as on host connections: one name for one shape, whoever prepared it.
func Name(shape string) string {
	return "f" + strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(shape))), 36) + strconv.FormatInt(int64(len(shape)), 36)
}

// Fixture is what a host connection has been set to. The zero value is a new connection.
type Fixture struct {
	Sum   string            // of the values set on it
	Names map[string]string // prepared, by name
}

// mostPrepared is how many names a host connection keeps before it is made new.
const mostPrepared = 128

// Fits says whether a connection has just the session's values.
func (f *Fixture) Fits(s *Session) bool { return f.Sum == s.Sum() }

// Prepare gives the statements that make a connection the session's, for what its next statement runs, and notes them
// as done: a connection on which one of them fails is to be closed.
func (f *Fixture) Prepare(s *Session, r wire.Request) (texts []string) {
	shape := ""
	if r.Kind == wire.Execute {
		shape = s.Names[r.Name]
	}
	name := Name(shape)
	held, prepared := f.Names[name]
	clash := shape != "" && prepared && held != shape
	open := s.At() == 'T' // what is set then only adds to what is there
	if open && clash {
		texts, prepared = append(texts, "CLOSE "+name), false
	}
	if !f.Fits(s) || !open && (clash || len(f.Names) >= mostPrepared) {
		if !open && (f.Sum != "" || len(f.Names) > 0) {
			texts = append(texts, "RESET")
			f.Names, prepared = nil, false
		}
		for _, k := range slices.Sorted(maps.Keys(s.Values)) {
			texts = append(texts, "SET "+k+" "+s.Values[k])
		}
		f.Sum = s.Sum()
	}
	if shape != "" && !prepared {
		texts = append(texts, "PREPARE "+name+" "+shape)
		if f.Names == nil {
			f.Names = map[string]string{}
		}
		f.Names[name] = shape
	}
	return texts
}
