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

// Conn is a connection to a host. OnResponse and OnClosed must be set before the first statement.
type Conn struct {
	Host *Host
	// Identity is who the connection is for, as CONNECT said.
	Identity string
	// State is 'I' outside transactions, 'T' in one, and 'E' in one that has failed.
	State byte
	// ReadOnly says that the transaction only reads.
	ReadOnly bool
	// BeginID is the id of the statement that began the transaction.
	BeginID string
	// Values is the session's values, as SET by the client.
	Values map[string]string
	// Prepared is the session's prepared statements, by name.
	Prepared map[string]string
	// OnResponse is called with the lines of an answer, the IDLE line included; they leave the host after a span.
	OnResponse func(after int64, a wire.Response)
	// OnClosed is called when the host ends the connection.
	OnClosed func()

	pendingWrites []string // of the transaction
	serial        int      // counts the connections of the host in the order in which they were opened
}

// Connect opens a connection for whom identity names.
func (h *Host) Connect(identity string) *Conn {
	h.connsOpened++
	conn := &Conn{Host: h, Identity: identity, serial: h.connsOpened, State: stateIdle, Values: map[string]string{}, Prepared: map[string]string{}}
	h.Conns[conn] = true
	return conn
}

// Close ends a connection; a transaction in progress is rolled back.
func (c *Conn) Close() {
	delete(c.Host.Conns, c)
	c.endTransaction()
}

// HasValues reports whether a connection has just these values.
func (c *Conn) HasValues(values map[string]string) bool { return maps.Equal(c.Values, values) }

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
	lines = append(lines, fmt.Sprintf("IDLE %c %s", c.State, c.Host.PositionAt(c.Host.VisibleEntries())))
	for _, line := range lines {
		if _, err := response.AddLine([]byte(line), []byte(line+"\r\n")); err != nil {
			panic(err)
		}
	}
	if group := c.Host.group; group.LostAnswerOneIn > 0 && group.OneIn(group.LostAnswerOneIn) {
		c.Close()
		c.OnClosed()
		return
	}
	c.OnResponse(after, response)
}

// reject answers a statement with an error, and leaves the transaction as it is.
func (c *Conn) reject(code wire.Code) {
	c.respond(0, "ERROR "+string(code)+" "+c.Host.ID)
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
	c.Host.commit(writes, func() { c.respond(0, stamp) })
}

// respondStatus answers a coordinator's statement with the row of a host's status.
func (c *Conn) respondStatus(status wire.HostStatus) {
	row := fmt.Sprintf("ROW %s %d %s %d 0 0 %d", roleName(status.IsPrimary), status.Timeline, status.ReceivedPosition, status.PausedTimeline, status.Connections)
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
