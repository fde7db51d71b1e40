package wire

import (
	"fmt"
	"strings"
)

// RequestKind is the kind of a Request: the message, or for QUERY the statement.
type RequestKind uint8

// The statements of QUERY.
const (
	Begin RequestKind = iota
	BeginReadOnly
	Commit
	Abort
	Fetch
	Store
	Set
	Prepare
	Execute
	ClosePrepared
)

// The other messages of a client.
const (
	Connect RequestKind = ClosePrepared + 1 + iota
	Bye
)

// noID is the id of statements that the proxy sends itself, not on behalf of a client.
const noID = "-"

// Request is one message of a client.
type Request struct {
	Kind      RequestKind
	ID        string // id that the client gave the statement; empty for other messages
	Text      string // statement exactly as received
	Name      string // name of the variable or prepared statement; database of Connect
	Value     string // value of Set; prepared text of Prepare (FETCH or STORE and a shape); client's identity of Connect
	Arguments string // arguments of Execute
}

// ParseRequest parses a line from a client. The error is ErrMalformed. If the request returned with the error has an ID, the line
// was a QUERY with an invalid statement, and the connection remains usable. Otherwise the connection must be closed.
func ParseRequest(line []byte) (Request, error) {
	word, fields := cutField(line)
	switch string(word) {
	case "BYE":
		if len(line) > len(word) {
			return Request{}, fmt.Errorf("%w: BYE with fields", ErrMalformed)
		}
		return Request{Kind: Bye}, nil
	case "CONNECT":
		return parseConnect(fields)
	case "QUERY":
		return parseQuery(fields)
	}
	return Request{}, fmt.Errorf("%w: %.40q", ErrMalformed, word)
}

func parseConnect(fields []byte) (Request, error) {
	database, identity := cutField(fields)
	if len(database) == 0 || len(identity) == 0 {
		return Request{}, fmt.Errorf("%w: CONNECT without a database and an identity", ErrMalformed)
	}
	return Request{Kind: Connect, Name: string(database), Value: string(identity)}, nil
}

func parseQuery(fields []byte) (Request, error) {
	id, text := cutField(fields)
	if len(id) == 0 || string(id) == noID {
		return Request{}, fmt.Errorf("%w: QUERY without an id", ErrMalformed)
	}
	request := Request{ID: string(id), Text: string(text)}
	if !request.parseStatement() {
		return request, fmt.Errorf("%w: statement %.40q", ErrMalformed, text)
	}
	return request, nil
}

// parseStatement sets the fields of the request from Text. It returns false if Text is not a valid statement.
func (r *Request) parseStatement() bool {
	word, arguments, _ := strings.Cut(r.Text, " ")
	switch word {
	case "BEGIN":
		return r.parseBegin()
	case "COMMIT":
		r.Kind = Commit
		return r.Text == word
	case "ABORT":
		r.Kind = Abort
		return r.Text == word
	case "FETCH":
		r.Kind = Fetch
		return arguments != ""
	case "STORE":
		r.Kind = Store
		key, data, _ := strings.Cut(arguments, " ")
		return key != "" && data != ""
	case "SET":
		r.Kind = Set
		r.Name, r.Value, _ = strings.Cut(arguments, " ")
		return r.Name != "" && r.Value != ""
	case "PREPARE":
		return r.parsePrepare(arguments)
	case "EXECUTE":
		r.Kind = Execute
		r.Name, r.Arguments, _ = strings.Cut(arguments, " ")
		return r.Name != "" && r.Arguments != ""
	case "CLOSE":
		r.Kind = ClosePrepared
		r.Name = arguments
		return r.Name != ""
	}
	return false
}

func (r *Request) parseBegin() bool {
	switch r.Text {
	case "BEGIN":
		r.Kind = Begin
	case "BEGIN FETCH":
		r.Kind = BeginReadOnly
	default:
		return false
	}
	return true
}

func (r *Request) parsePrepare(arguments string) bool {
	r.Kind = Prepare
	r.Name, r.Value, _ = strings.Cut(arguments, " ")
	operation, shape, _ := strings.Cut(r.Value, " ")
	return r.Name != "" && (operation == "FETCH" || operation == "STORE") && shape != ""
}

// PreparedTextWrites reports whether a prepared text is a STORE.
func PreparedTextWrites(preparedText string) bool {
	const store = "STORE"
	return len(preparedText) > len(store) && strings.HasPrefix(preparedText, store)
}

// AppendQuery appends a QUERY with the id and text of a statement.
func AppendQuery(buffer []byte, id, text string) []byte {
	buffer = append(buffer, "QUERY "...)
	buffer = append(buffer, id...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, text...)
	return append(buffer, '\r', '\n')
}

// AppendFencedQuery appends a QUERY with a FENCE: the host executes the statement only if its log includes the position, and
// responds with LAGGING otherwise.
func AppendFencedQuery(buffer []byte, id string, fence Position, text string) []byte {
	buffer = append(buffer, "QUERY "...)
	buffer = append(buffer, id...)
	buffer = append(buffer, " FENCE "...)
	buffer = appendPosition(buffer, fence)
	buffer = append(buffer, ' ')
	buffer = append(buffer, text...)
	return append(buffer, '\r', '\n')
}

// AppendConnect appends the CONNECT that opens a connection to a host. The host rejects it with WRONGNODE unless service and
// hostID are its own. identity identifies the owner of the connection.
func AppendConnect(buffer []byte, service, identity, hostID string) []byte {
	buffer = append(buffer, "CONNECT "...)
	buffer = append(buffer, service...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, identity...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, hostID...)
	return append(buffer, '\r', '\n')
}
