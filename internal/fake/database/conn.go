package database

import (
	"fmt"
	"maps"
	"strings"

	"ferrypitch/internal/wire"
)

// States of a connection in an IDLE line.
const (
	stateIdle          = 'I'
	stateInTransaction = 'T'
	stateFailed        = 'E' // in a failed transaction, which can only be ended
)

// Conn is a client's connection to a host. OnResponse and OnClosed must be set before the first statement.
type Conn struct {
	Host *Host
	// Identity is the client's identity from CONNECT.
	Identity string
	// State is 'I' outside transactions, 'T' in one, and 'E' in one that has failed.
	State byte
	// ReadOnly says that the current or last transaction is read-only.
	ReadOnly bool
	// BeginID is the id of the statement that began the current or last transaction.
	BeginID string
	// Values holds the session variables set by SET.
	Values map[string]string
	// Prepared holds the texts of the session's prepared statements by name.
	Prepared map[string]string
	// OnResponse is called with each answer, including its IDLE line. The host sends the answer after a delay.
	OnResponse func(delay int64, response wire.Response)
	// OnClosed is called when the host ends the connection.
	OnClosed func()

	pendingWrites []string // of the transaction
	serial        int      // number of the connection in the order in which the host's connections were opened
}

// Connect opens a connection for the client named by identity.
func (h *Host) Connect(identity string) *Conn {
	h.connsOpened++
	conn := &Conn{Host: h, Identity: identity, serial: h.connsOpened, State: stateIdle, Values: map[string]string{}, Prepared: map[string]string{}}
	h.Conns[conn] = true
	return conn
}

// Close closes a connection, and rolls back a transaction in progress.
func (c *Conn) Close() {
	delete(c.Host.Conns, c)
	c.endTransaction()
}

// HasValues reports whether the session variables are equal to values.
func (c *Conn) HasValues(values map[string]string) bool { return maps.Equal(c.Values, values) }

func (c *Conn) endTransaction() {
	c.State, c.pendingWrites = stateIdle, nil
}

// Lines of answers.
const (
	doneWithoutStamp = "DONE -"
	stampPrefix      = "DONE x." // followed by the id of the statement
)

// respond sends an answer with the given lines and an IDLE line. If LostAnswerOneIn selects the answer, the connection is closed
// instead.
func (c *Conn) respond(delay int64, lines ...string) {
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
	c.OnResponse(delay, response)
}

// reject answers a statement with an error, without an effect on the transaction.
func (c *Conn) reject(code wire.Code) {
	c.respond(0, "ERROR "+string(code)+" "+c.Host.ID)
}

// fail answers a statement with an error, and marks a transaction in progress as failed.
func (c *Conn) fail(code wire.Code) {
	if c.State == stateInTransaction {
		c.State, c.pendingWrites = stateFailed, nil
	}
	c.reject(code)
}

// commit appends writes to the primary's log, and answers after a replica has received them.
func (c *Conn) commit(stamp string, writes []string) {
	c.Host.commit(writes, func() { c.respond(0, stamp) })
}

// respondStatus answers a coordinator's statement with a row that contains the host's status.
func (c *Conn) respondStatus(status wire.HostStatus) {
	row := fmt.Sprintf("ROW %s %d %s %d 0 0 %d", roleName(status.IsPrimary), status.Timeline, status.ReceivedPosition, status.PausedTimeline, status.Connections)
	c.respond(0, row, doneWithoutStamp)
}

// roleName returns the name of a role in the line protocol and in heartbeats.
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
