package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"ferrypitch/internal/router/protocol"
)

// testClient is a client connection to the program under test.
type testClient struct {
	t    *testing.T
	conn net.Conn
	in   []byte // received bytes that have not been parsed yet
}

func (s *testSystem) connect() *testClient {
	conn, err := net.Dial("tcp", s.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	conn.Write(protocol.AppendStartup(nil, "svc", "main"))
	c := &testClient{t: s.t, conn: conn}
	c.readGreeting()
	return c
}

func (c *testClient) readGreeting() {
	if code, _, err := c.answer(); code != "" || err != nil {
		c.t.Fatalf("greeting: %s %v", code, err)
	}
}

func (c *testClient) send(q string) { c.conn.Write(protocol.AppendQuery(nil, []byte(q))) }

func (c *testClient) query(q string) (code, value string, err error) {
	c.send(q)
	return c.answer()
}

// answer reads messages up to ReadyForQuery or the end of the connection, and returns the error code or the value among them.
func (c *testClient) answer() (code, value string, err error) {
	b := make([]byte, 1<<17)
	for {
		kind, body, n, err := protocol.NextMessage(c.in, 1<<20)
		if err != nil {
			return code, value, err
		}
		if n == 0 {
			k, err := c.conn.Read(b)
			if c.in = append(c.in, b[:k]...); err != nil {
				return code, value, err
			}
			continue
		}
		switch kind {
		case protocol.ErrorResponse:
			code = protocol.ErrorCode(body)
		case protocol.DataRow:
			v, _ := protocol.SingleValue(body)
			value = string(v)
		}
		c.in = c.in[n:]
		if kind == protocol.ReadyForQuery {
			return code, value, nil
		}
	}
}

func writeCommand(group, deadline string) string {
	return "/* id=1,c=" + group + ",d=" + deadline + `,cluster=2 */ INSERT INTO records (k, v) VALUES ('k1', '\x9f03') RETURNING v`
}

// withID returns command q with the given id instead of 1.
func withID(id int, q string) string {
	return strings.Replace(q, "id=1,", fmt.Sprintf("id=%d,", id), 1)
}

func readCommand(group, deadline, after string) string {
	if after != "" {
		after = ",after=" + after
	}
	return "/* id=1,c=" + group + ",d=" + deadline + ",cluster=2" + after + " */ SELECT v FROM records WHERE k = 'k1'"
}
