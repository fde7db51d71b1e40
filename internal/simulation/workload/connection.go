package workload

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	"ferrypitch/internal/router/protocol"
)

const (
	dialTimeout    = time.Second
	startupTimeout = 2 * time.Second

	headerBytes     = 5 // the kind of a message and its length
	lengthBytes     = 4 // the length, which counts itself
	maxMessageBytes = 1 << 20
)

// connection is a client's connection to a router, past the startup.
type connection struct {
	net.Conn
	input *bufio.Reader
}

// dial connects to a router; nil if it does not serve.
func dial(router string) *connection {
	conn, err := net.DialTimeout("tcp", router, dialTimeout)
	if err != nil {
		return nil
	}
	c := &connection{Conn: conn, input: bufio.NewReader(conn)}
	c.SetDeadline(time.Now().Add(startupTimeout))
	if _, err := c.Write(protocol.AppendStartup(nil, "svc", "main")); err == nil {
		if _, err = c.readAnswer(); err == nil {
			return c
		}
	}
	c.Close()
	return nil
}

// query sends a statement and reads the answer to it, both until a deadline.
func (c *connection) query(statement string, deadline time.Time) (answer, error) {
	c.SetDeadline(deadline)
	if _, err := c.Write(protocol.AppendQuery(nil, []byte(statement))); err != nil {
		return answer{}, err
	}
	return c.readAnswer()
}

// answer is what a router sent up to its ReadyForQuery.
type answer struct {
	code     string // SQLSTATE of the error; empty: none
	host     string // that ran the command
	position string // of the write's commit
	count    int    // of CommandComplete and ErrorResponse, each of which ends an answer
}

func (c *connection) readAnswer() (answer, error) {
	var a answer
	for {
		kind, body, err := c.readMessage()
		if err != nil {
			return a, err
		}
		switch kind {
		case protocol.DataRow:
			a.setValue(body)
		case protocol.CommandComplete:
			a.count++
		case protocol.ErrorResponse:
			a.code = protocol.ErrorCode(body)
			a.count++
		case protocol.ReadyForQuery:
			return a, nil
		}
	}
}

// setValue reads the row of a simulated host: its name, the command's id and, for writes, the position of the commit.
func (a *answer) setValue(row []byte) {
	value, _ := protocol.SingleValue(row)
	fields := strings.Fields(string(value))
	if len(fields) > 0 {
		a.host = fields[0]
	}
	if len(fields) == 3 {
		a.position = fields[2]
	}
}

func (c *connection) readMessage() (kind byte, body []byte, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.input, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length < lengthBytes || length > maxMessageBytes {
		return 0, nil, protocol.ErrInvalidLength
	}
	body = make([]byte, length-lengthBytes)
	_, err = io.ReadFull(c.input, body)
	return header[0], body, err
}
