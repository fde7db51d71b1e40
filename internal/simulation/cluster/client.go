package cluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"ferrypitch/internal/simulation/checker"
	"ferrypitch/internal/wire"
)

// Route kinds. Each is also the host name of the route of that kind.
const (
	kindLeader  = "leader"
	kindBounded = "bounded"
	kindOwned   = "owned"
)

var routeKinds = []string{kindLeader, kindBounded, kindOwned}

// sessionVariable is a session variable that each session sets to its own name.
const sessionVariable = "who"

const (
	dialTimeout     = time.Second
	responseTimeout = 5 * time.Second
	reconnectDelay  = 100 * time.Millisecond
	maxThinkTimeMs  = 20 // between two operations; exclusive bound
)

// maxClients is the number of random streams reserved for the clients of each proxy.
const maxClients = 1000

// session is a client's session with a proxy on a route of one kind.
type session struct {
	cluster     *cluster
	kind        string
	name        string
	random      *rand.Rand // shared by the client's successive sessions
	conn        net.Conn
	input       *bufio.Reader
	statements  int       // number of statements sent
	operationAt time.Time // when the current operation started

	// onUnanswered is called if the connection ends before a statement is answered. Optional.
	onUnanswered func(sent sentStatement, cause error)
}

// runClient runs successive sessions until ctx ends.
func (c *cluster) runClient(ctx context.Context, proxy, client int) {
	random := rand.New(rand.NewPCG(c.Seed, uint64(proxy*maxClients+client)))
	for number := 0; ctx.Err() == nil; number++ {
		s := &session{
			cluster: c,
			kind:    routeKinds[client%len(routeKinds)],
			name:    fmt.Sprintf("r%dc%dl%d", proxy, client, number),
			random:  random,
		}
		if s.open(ctx, c.network.address(firstProxy+proxy, clientPort)) {
			s.run(ctx)
			s.conn.Close()
		}
		_ = sleep(ctx, reconnectDelay) // the loop ends with the context
	}
}

// run runs operations until the session or ctx ends.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil && s.runOperation() {
		thinkTime := time.Duration(s.random.IntN(maxThinkTimeMs)) * time.Millisecond
		_ = sleep(ctx, thinkTime) // the loop ends with the context
	}
}

// open connects the session and sets sessionVariable, which every host connection that serves the session must have.
func (s *session) open(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	s.conn, s.input = conn, bufio.NewReader(conn)
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", s.kind, s.name)
	if response, err := s.readResponse(); err != nil || response.Code != "" {
		conn.Close()
		return false
	}
	response, ok := s.query("SET "+sessionVariable+" "+s.name, s.cluster.now())
	if !ok || response.Code != "" {
		conn.Close()
		return false
	}
	return true
}

// errNoResponse reports that a session received something that is not a response of the protocol.
var errNoResponse = errors.New("not a response of the wire")

// readResponse reads one response. After an error the session can't be used any more.
func (s *session) readResponse() (response wire.Response, err error) {
	s.conn.SetReadDeadline(time.Now().Add(responseTimeout))
	for {
		raw, err := s.input.ReadBytes('\n')
		if err != nil {
			return response, err
		}
		line, _, err := wire.CutLine(raw, 0)
		if err != nil {
			s.cluster.violate("%s received a malformed line: %q", s.name, raw)
			return response, errNoResponse
		}
		complete, err := response.AddLine(line, raw)
		if err != nil {
			s.cluster.violate("%s received the malformed response line %q: %v", s.name, line, err)
			return response, errNoResponse
		}
		if complete {
			return response, nil
		}
	}
}

// query sends a statement and reads the response. It returns false if the connection ended. beganAt is when the statement or
// its transaction started; the checker requires a read to see what was acknowledged before.
func (s *session) query(text string, beganAt int64) (wire.Response, bool) {
	sent, ok := s.send(text, beganAt)
	if !ok {
		return wire.Response{}, false
	}
	return s.receive(sent)
}

// sentStatement is a statement that waits for its response.
type sentStatement struct {
	id string
	at time.Time
}

// send sends a statement and registers it with the checker of reads.
func (s *session) send(text string, beganAt int64) (sent sentStatement, ok bool) {
	s.statements++
	sent = sentStatement{id: fmt.Sprintf("%s.%d", s.name, s.statements), at: time.Now()}
	s.cluster.mu.Lock()
	s.cluster.readers[sent.id] = checker.Reader{Kind: s.kind, Session: s.name, BeganAt: beganAt}
	s.cluster.mu.Unlock()
	_, err := s.conn.Write(wire.AppendQuery(nil, sent.id, text))
	return sent, err == nil
}

// receive reads the response to sent, which must be the earliest statement without one.
func (s *session) receive(sent sentStatement) (wire.Response, bool) {
	response, err := s.readResponse()
	if err != nil {
		if s.onUnanswered != nil {
			s.onUnanswered(sent, err)
		}
		return response, false
	}
	if response.Code == "" && response.HasStamp && lastLine(response.Lines) != "DONE x."+sent.id+"\r\n" {
		s.cluster.violate("MIXED: %s is answered %q", sent.id, response.Lines)
	}
	return response, true
}

// lastLine returns the last of several lines that end in CR LF.
func lastLine(lines []byte) string {
	start := len(lines) - len("\r\n")
	for start > 0 && lines[start-1] != '\n' {
		start--
	}
	return string(lines[max(start, 0):])
}
