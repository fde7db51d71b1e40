package database

import (
	"fmt"
	"maps"
	"strings"

	"ferrypitch/internal/wire"
)

// States of a connection, as an IDLE line gives them.
const (
	stateIdle          = 'I'
	stateInTransaction = 'T'
	stateFailed        = 'E' // in a transaction that can only be ended
)

// Conn is a connection to a host. Answer and Broke must be set before the first statement.
type Conn struct {
	H *Host
	// State is 'I' outside transactions, 'T' in one, and 'E' in one that has failed.
	State byte
	// ReadOnly says that the transaction only reads.
	ReadOnly bool
	// Began is the id of the statement that began the transaction.
	Began string
	// Values is the session's values, as SET by the client.
	Values map[string]string
	// Names is the session's prepared statements, by name.
	Names map[string]string
	// Answer is called with the lines of an answer, the IDLE line included; they leave the host after a span.
	Answer func(after int64, a wire.Response)
	// Broke is called when the host ends the connection.
	Broke func()

	pendingWrites []string // of the transaction
	serial        int      // counts the connections of the host in the order in which they were opened
}

// Connect opens a connection.
func (h *Host) Connect() *Conn {
	h.connsOpened++
	conn := &Conn{H: h, serial: h.connsOpened, State: stateIdle, Values: map[string]string{}, Names: map[string]string{}}
	h.Conns[conn] = true
	return conn
}

// Close ends a connection; a transaction in progress is rolled back.
func (c *Conn) Close() {
	delete(c.H.Conns, c)
	c.endTransaction()
}

// Same reports whether a connection has just these values.
func (c *Conn) Same(values map[string]string) bool { return maps.Equal(c.Values, values) }

func (c *Conn) endTransaction() {
	c.State, c.pendingWrites = stateIdle, nil
}

// Lines of answers.
const (
	doneWithoutStamp = "DONE -"
	stampPrefix      = "DONE x." // before the id of the statement
)

// respond sends an answer of some lines.
func (c *Conn) respond(after int64, lines ...string) {
	var response wire.Response
	lines = append(lines, fmt.Sprintf("IDLE %c %s", c.State, c.H.At(c.H.Seen())))
	for _, line := range lines {
		if _, err := response.AddLine([]byte(line), []byte(line+"\r\n")); err != nil {
			panic(err)
		}
	}
	if group := c.H.group; group.Losses > 0 && group.OneIn(group.Losses) {
		c.Close()
		c.Broke()
		return
	}
	c.Answer(after, response)
}

// reject answers a statement with an error, and leaves the transaction as it is.
func (c *Conn) reject(code wire.Code) {
	c.respond(0, "ERROR "+string(code)+" "+c.H.ID)
}

// fail answers a statement with an error, by which the transaction that it is in has failed.
func (c *Conn) fail(code wire.Code) {
	if c.State == stateInTransaction {
		c.State, c.pendingWrites = stateFailed, nil
	}
	c.reject(code)
}

// commit appends writes to the primary's log, and answers once a replica has received them.
func (c *Conn) commit(stamp string, writes []string) {
	c.H.commit(writes, func() { c.respond(0, stamp) })
}

// respondStatus answers a coordinator's statement with the row of a host's status.
func (c *Conn) respondStatus(status wire.HostStatus) {
	row := fmt.Sprintf("ROW %s %d %s %d 0 0 %d", roleName(status.Leader), status.Term, status.Received, status.Held, status.Conns)
	c.respond(0, row, doneWithoutStamp)
}

// roleName is a role as the wire and heartbeats spell it.
func roleName(primary bool) string {
	if primary {
		return "leader"
	}
	return "follower"
}

// cutWord splits a text at its first space.
func cutWord(text string) (word, rest string) {
	word, rest, _ = strings.Cut(text, " ")
	return word, rest
}
