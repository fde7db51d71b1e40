package main

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"ferrypitch/internal/router/protocol"
)

// fakeHost simulates a database host. It answers every statement with its name, unless onQuery is set.
type fakeHost struct {
	name     string
	listener net.Listener
	primary  bool

	mu      sync.Mutex
	queries []string                       // received statements, without probes
	onQuery func(conn *hostConn, q string) // answers statements other than probes
	lag     time.Duration                  // how far the reported position is behind the current time
	conns   []net.Conn
}

// hostConn is a connection to a fake host.
type hostConn struct {
	net.Conn
	host *fakeHost
}

func (s *testSystem) startHost(name string) *fakeHost {
	h := &fakeHost{name: name, listener: listen(s.t)}
	go func() {
		for {
			conn, err := h.listener.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns = append(h.conns, conn)
			h.mu.Unlock()
			go h.serve(&hostConn{Conn: conn, host: h})
		}
	}()
	return h
}

func (h *fakeHost) serve(conn *hostConn) {
	defer conn.Close()
	in := make([]byte, 1<<18)
	n := 0
	for started := false; ; {
		k, err := conn.Read(in[n:])
		if n += k; err != nil {
			return
		}
		if !started {
			if _, cut, _ := protocol.NextStartup(in[:n], 1<<10); cut > 0 {
				conn.Write(protocol.AppendStartupResponse(nil))
				n, started = copy(in, in[cut:n]), true
			}
		}
		for started {
			_, body, cut, _ := protocol.NextMessage(in[:n], 1<<18)
			if cut == 0 {
				break
			}
			q := string(bytes.TrimRight(body, "\x00"))
			h.mu.Lock()
			reply := h.onQuery
			if !strings.HasPrefix(q, "SHOW") {
				h.queries = append(h.queries, q)
			}
			h.mu.Unlock()
			switch {
			case strings.HasPrefix(q, "SHOW"):
				conn.sendRow(fmt.Sprintf("x0=%.3f,x1=%d", float64(h.position())/1000, map[bool]int{true: 1}[h.primary]), h.role())
			case reply != nil:
				reply(conn, q)
			default:
				conn.sendRow("from "+h.name, h.role())
			}
			n = copy(in, in[cut:n])
		}
	}
}

func (h *fakeHost) address() string { return h.listener.Addr().String() }

func (h *fakeHost) role() string {
	if h.primary {
		return "leader"
	}
	return "follower"
}

func (h *fakeHost) position() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Add(-h.lag).UnixMilli()
}

func (h *fakeHost) setLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

func (h *fakeHost) setOnQuery(reply func(conn *hostConn, q string)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onQuery = reply
}

func (h *fakeHost) queryCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.queries)
}

func (h *fakeHost) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.Close()
	}
}

func message(kind byte, body string) []byte {
	n := len(body) + 4
	return append([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

func rowMessages(value string) []byte {
	n := len(value)
	b := message(protocol.RowDescription, "\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	b = append(b, message(protocol.DataRow, "\x00\x01"+string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})+value)...)
	return append(b, message(protocol.CommandComplete, "SELECT 1\x00")...)
}

func readyMessages(role string, position int64) []byte {
	b := message(protocol.ParameterStatus, "node_role\x00"+role+"\x00")
	b = append(b, message(protocol.ParameterStatus, fmt.Sprintf("replay_position\x00%d\x00", position))...)
	return protocol.AppendReadyForQuery(b)
}

func (conn *hostConn) sendRow(value, role string) {
	conn.Write(append(rowMessages(value), readyMessages(role, conn.host.position())...))
}

func (conn *hostConn) sendError(code, role string) {
	conn.Write(append(protocol.AppendError(nil, "ERROR", code, "no", ""), readyMessages(role, conn.host.position())...))
}
