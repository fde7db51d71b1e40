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

	headerBytes     = 5 // a message's kind and length
	lengthBytes     = 4 // the length field, which includes itself
	maxMessageBytes = 1 << 20
)

// connection is a client's connection to a router after the startup handshake.
type connection struct {
	net.Conn
	input *bufio.Reader
}

// dial connects to a router and completes the startup. It returns nil if the router does not accept the connection.
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

// query sends a statement and reads its answer. The deadline applies to both.
func (c *connection) query(statement string, deadline time.Time) (answer, error) {
	c.SetDeadline(deadline)
	if _, err := c.Write(protocol.AppendQuery(nil, []byte(statement))); err != nil {
		return answer{}, err
	}
	return c.readAnswer()
}

// answer is the result of a statement: what the router sent before ReadyForQuery.
type answer struct {
	code     string // SQLSTATE of the error; empty if there was none
	host     string // name of the host that ran the command
	position string // commit position of a write
	count    int    // number of CommandComplete and ErrorResponse messages, each of which completes an answer
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

// setValue parses the row sent by a simulated host: the host's name, the command's id and, for writes, the commit position.
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
