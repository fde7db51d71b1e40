package wire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// MaxMessageBytes is the longest message in bytes (PROTOCOL.md).
const MaxMessageBytes = 1 << 20

var (
	ErrMessageTooLong = errors.New("a message longer than 1 MiB")
	ErrMalformed      = errors.New("a line that is not of the wire's form")
	ErrOutOfOrder     = errors.New("an answer whose lines come out of order")
)

// Code is the word of an ERROR line. The list is closed: what a host adds to it is passed on as it came.
type Code string

// Codes. Those of Promises say that nothing of the try is kept.
const (
	CodeRetry     Code = "RETRY"
	CodeAborted   Code = "ABORTED"
	CodeLagging   Code = "LAGGING"
	CodeReadOnly  Code = "READONLY"
	CodeWrongNode Code = "WRONGNODE"
	CodeOverload  Code = "OVERLOAD"
	CodeInDoubt   Code = "INDOUBT"
	CodeExpired   Code = "EXPIRED"
	CodeFailed    Code = "FAILED"
	CodeUnknown   Code = "UNKNOWN"
	CodeMalformed Code = "MALFORMED"
	CodeNoDB      Code = "NODB"
)

// NothingKept says that a code promises that nothing of the try is kept.
func (c Code) NothingKept() bool {
	switch c {
	case CodeRetry, CodeAborted, CodeLagging, CodeReadOnly, CodeWrongNode, CodeOverload:
		return true
	}
	return false
}

// NotExecuted says that a host which answers so has not run the statement.
func (c Code) NotExecuted() bool {
	switch c {
	case CodeRetry, CodeUnknown, CodeLagging, CodeReadOnly, CodeWrongNode, CodeOverload, CodeMalformed:
		return true
	}
	return false
}

// Position is a place in a host's log. The zero value is before all others.
type Position struct{ Term, Number uint64 }

// Before orders positions.
func (p Position) Before(o Position) bool {
	return p.Term < o.Term || p.Term == o.Term && p.Number < o.Number
}

// Known says that it is not the zero value.
func (p Position) Known() bool { return p != Position{} }

// String is TERM.NUMBER.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Number, 10)
}

// ParsePosition reads TERM.NUMBER; "-" is the zero value.
func ParsePosition(b []byte) (p Position, err error) {
	if string(b) == "-" {
		return p, nil
	}
	term, number, ok := bytes.Cut(b, []byte{'.'})
	if !ok {
		return p, fmt.Errorf("%w: a position %.40q", ErrMalformed, b)
	}
	if p.Term, err = strconv.ParseUint(string(term), 10, 64); err == nil {
		p.Number, err = strconv.ParseUint(string(number), 10, 64)
	}
	if err != nil {
		return Position{}, fmt.Errorf("%w: a position %.40q", ErrMalformed, b)
	}
	return p, nil
}

// CutLine cuts a line without its CR LF off b. n is 0 while it is not whole; at tells where to look on for its end.
func CutLine(b []byte, at int) (line []byte, n int, err error) {
	i := bytes.IndexByte(b[min(at, len(b)):], '\n')
	if i < 0 {
		if len(b) > MaxMessageBytes {
			return nil, 0, ErrMessageTooLong
		}
		return nil, 0, nil
	}
	i += min(at, len(b))
	if i > MaxMessageBytes {
		return nil, 0, ErrMessageTooLong
	}
	if i == 0 || b[i-1] != '\r' {
		return nil, 0, fmt.Errorf("%w: no CR before LF", ErrMalformed)
	}
	if line = b[:i-1]; bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
		return nil, 0, fmt.Errorf("%w: a control character", ErrMalformed)
	}
	return line, i + 1, nil
}

// field cuts the first field off.
func field(b []byte) (first, rest []byte) {
	first, rest, _ = bytes.Cut(b, []byte{' '})
	return first, rest
}

// RequestKind is what a client's line is.
type RequestKind uint8

// Kinds of statements and, at the end, of other messages.
const (
	Begin RequestKind = iota
	BeginRead
	Commit
	Abort
	Fetch
	Store
	Set
	Prepare
	Execute
	CloseName
	Connect
	Bye
)

// Request is one message of a client.
type Request struct {
	Kind  RequestKind
	ID    string // of a statement
	Text  string // of a statement, as it came
	Name  string // of a value or a prepared statement; the database of Connect
	Shape string // FETCH or STORE with its word, of Prepare; the data of Set; who of Connect
	Rest  string // what EXECUTE brings
}

// ParseRequest reads a client's line. A statement that is none gives ErrForm with its id, which is to be answered by
// MALFORMED; without an id the connection is of no use.
func ParseRequest(line []byte) (r Request, err error) {
	word, rest := field(line)
	switch string(word) {
	case "BYE":
		if len(rest) > 0 || len(line) > len(word) {
			return r, fmt.Errorf("%w: BYE with fields", ErrMalformed)
		}
		r.Kind = Bye
		return r, nil
	case "CONNECT":
		name, who := field(rest)
		if len(name) == 0 || len(who) == 0 {
			return r, fmt.Errorf("%w: CONNECT wants a database and a word for who", ErrMalformed)
		}
		r.Kind, r.Name, r.Shape = Connect, string(name), string(who)
		return r, nil
	case "QUERY":
		id, text := field(rest)
		if len(id) == 0 || string(id) == "-" {
			return r, fmt.Errorf("%w: QUERY without an id", ErrMalformed)
		}
		r.ID, r.Text = string(id), string(text)
		if !r.statement() {
			return r, fmt.Errorf("%w: no statement: %.40q", ErrMalformed, text)
		}
		return r, nil
	}
	return r, fmt.Errorf("%w: %.40q", ErrMalformed, word)
}

func (r *Request) statement() bool {
	word, rest := cut(r.Text)
	switch word {
	case "BEGIN":
		switch r.Text {
		case "BEGIN":
			r.Kind = Begin
		case "BEGIN FETCH":
			r.Kind = BeginRead
		default:
			return false
		}
		return true
	case "COMMIT", "ABORT":
		if r.Kind = Commit; word == "ABORT" {
			r.Kind = Abort
		}
		return r.Text == word
	case "FETCH":
		r.Kind = Fetch
		return rest != ""
	case "STORE":
		r.Kind = Store
		thing, data := cut(rest)
		return thing != "" && data != ""
	case "SET":
		r.Kind = Set
		r.Name, r.Shape = cut(rest)
		return r.Name != "" && r.Shape != ""
	case "PREPARE":
		r.Kind = Prepare
		r.Name, r.Shape = cut(rest)
		of, shape := cut(r.Shape)
		return r.Name != "" && (of == "FETCH" || of == "STORE") && shape != ""
	case "EXECUTE":
		r.Kind = Execute
		r.Name, r.Rest = cut(rest)
		return r.Name != "" && r.Rest != ""
	case "CLOSE":
		r.Kind, r.Name = CloseName, rest
		return rest != ""
	}
	return false
}

func cut(s string) (first, rest string) {
	for i := range len(s) {
		if s[i] == ' ' {
			return s[:i], s[i+1:]
		}
	}
	return s, ""
}

// ShapeWrites says whether a prepared shape stores.
func ShapeWrites(shape string) bool { return len(shape) > 5 && shape[:5] == "STORE" }

// AppendQuery appends a statement.
func AppendQuery(b []byte, id, text string) []byte {
	b = append(append(append(b, "QUERY "...), id...), ' ')
	return append(append(b, text...), '\r', '\n')
}

// AppendFencedQuery appends a statement that the host runs only where its log holds a position.
func AppendFencedQuery(b []byte, id string, p Position, text string) []byte {
	b = append(append(append(b, "QUERY "...), id...), " FENCE "...)
	b = strconv.AppendUint(b, p.Term, 10)
	b = strconv.AppendUint(append(b, '.'), p.Number, 10)
	return append(append(append(b, ' '), text...), '\r', '\n')
}

// AppendConnect appends the opening of a connection to a host.
func AppendConnect(b []byte, service, who, id string) []byte {
	b = append(append(append(b, "CONNECT "...), service...), ' ')
	return append(append(append(append(b, who...), ' '), id...), '\r', '\n')
}

// AppendDone appends the completion of a statement that a router answers by itself.
func AppendDone(b []byte) []byte { return append(b, "DONE -\r\n"...) }

// AppendError appends an error's line.
func AppendError(b []byte, code Code, text string) []byte {
	b = append(append(append(b, "ERROR "...), code...), ' ')
	return append(append(b, text...), '\r', '\n')
}

// AppendIdle appends the end of an answer.
func AppendIdle(b []byte, state byte, p Position) []byte {
	b = append(append(append(b, "IDLE "...), state), ' ')
	if !p.Known() {
		return append(b, "-\r\n"...)
	}
	b = strconv.AppendUint(b, p.Term, 10)
	b = strconv.AppendUint(append(b, '.'), p.Number, 10)
	return append(b, '\r', '\n')
}

// Response gathers what a host answers to one message.
type Response struct {
	Lines    []byte // rows and completion or error, as they came, without IDLE
	Rows     int
	Row      string // the fields of the first row, at most 256 bytes
	Stamp    bool   // DONE brought one
	Code     Code   // of ERROR
	Text     string
	State    byte // I, T or E
	Position Position
	ended    bool // DONE or ERROR has come
}

// AddLine takes a line in; raw is it with its CR LF. whole says that the answer is complete.
func (a *Response) AddLine(line, raw []byte) (whole bool, err error) {
	word, rest := field(line)
	if string(word) != "IDLE" && len(a.Lines)+len(raw) > MaxMessageBytes {
		return false, ErrMessageTooLong
	}
	switch string(word) {
	case "ROW":
		if a.ended {
			return false, ErrOutOfOrder
		}
		if a.Rows++; a.Rows == 1 && len(rest) <= 256 {
			a.Row = string(rest)
		}
	case "DONE":
		if a.ended || len(rest) == 0 {
			return false, ErrOutOfOrder
		}
		a.ended, a.Stamp = true, string(rest) != "-"
	case "ERROR":
		code, text := field(rest)
		if a.ended || len(code) == 0 {
			return false, ErrOutOfOrder
		}
		a.ended, a.Code, a.Text = true, Code(code), string(text[:min(len(text), 256)])
	case "IDLE":
		state, at := field(rest)
		if len(state) != 1 || state[0] != 'I' && state[0] != 'T' && state[0] != 'E' {
			return false, fmt.Errorf("%w: IDLE %.20q", ErrMalformed, rest)
		}
		if a.State = state[0]; len(at) > 0 {
			a.Position, err = ParsePosition(at)
		}
		return err == nil, err
	default:
		return false, fmt.Errorf("%w: %.40q in an answer", ErrMalformed, word)
	}
	a.Lines = append(a.Lines, raw...)
	return false, nil
}

// Completed says that DONE or ERROR has come.
func (a *Response) Completed() bool { return a.ended }

// HostStatus is the row of STAT, PAUSE and STEPDOWN.
type HostStatus struct {
	Leader      bool
	Term        uint64
	Received    Position
	Held        uint64 // the term of a PAUSE in force, as the host counts it
	LagMs       int64
	Busy, Conns int64
}

// ParseHostStatus reads the row of a status.
func ParseHostStatus(row string) (s HostStatus, err error) {
	f := bytes.Fields([]byte(row))
	if len(f) < 7 || string(f[0]) != "leader" && string(f[0]) != "follower" {
		return s, fmt.Errorf("%w: a status %.60q", ErrMalformed, row)
	}
	s.Leader = string(f[0]) == "leader"
	if s.Received, err = ParsePosition(f[2]); err != nil {
		return s, err
	}
	number := func(b []byte) (n uint64) {
		if err == nil {
			n, err = strconv.ParseUint(string(b), 10, 63)
		}
		return n
	}
	s.Term, s.Held = number(f[1]), number(f[3])
	s.LagMs, s.Busy, s.Conns = int64(number(f[4])), int64(number(f[5])), int64(number(f[6]))
	if err != nil {
		return s, fmt.Errorf("%w: a status %.60q", ErrMalformed, row)
	}
	return s, nil
}
