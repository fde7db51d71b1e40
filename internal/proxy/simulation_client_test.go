package proxy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"ferrypitch/internal/wire"
)

const (
	clientDelay            = 3 * millisecond // network delay in each direction; constant, so that messages stay in order
	connectAnswerTimeout   = 2500 * millisecond
	statementAnswerTimeout = 4 * second
)

// client runs one session after another.
type client struct {
	sim       *simulation
	index     int
	routeKind string // database named in its CONNECT
	key       string // key named in its CONNECT
	isWriter  bool   // it only writes, outside transactions, with short pauses

	sessionNumber    int
	session          *clientSession
	proxy            *proxyProcess
	proxyIncarnation int
	received         []byte // bytes of an answer that is not complete yet

	values        map[string]string // variables set by the session
	prepared      map[string]string // texts of the session's prepared statements, by name
	requestCount  int
	pending       pendingRequest
	beganAt       int64 // when the current statement or transaction began
	sentAt        int64 // when the pending request was sent
	inTransaction bool
	uncommitted   []string // data stored in the open transaction
}

// pendingRequest is a request without an answer. The zero value stands for no request.
type pendingRequest struct {
	id, verb string
	name     string // name of the variable or prepared statement
	data     string // value, text or data to store
}

// ownerOf returns the client that sent a request, and whether the client's session is still the one that sent it.
func (sim *simulation) ownerOf(requestID string) (c *client, present bool) {
	index, rest, _ := strings.Cut(strings.TrimPrefix(requestID, "c"), ".")
	i, err := strconv.Atoi(index)
	if err != nil || i >= len(sim.clients) {
		return nil, false
	}
	sessionNumber, _, _ := strings.Cut(rest, ".")
	return sim.clients[i], sessionNumber == strconv.Itoa(sim.clients[i].sessionNumber)
}

func (c *client) sessionName() string { return fmt.Sprintf("%d.%d", c.index, c.sessionNumber) }

// simulatedClientConn is the proxy's end of a client's connection.
type simulatedClientConn struct {
	client        *client
	sessionNumber int
}

func (c simulatedClientConn) write(data []byte) (written int, ok bool) {
	data = slices.Clone(data)
	c.client.sim.After(clientDelay, func() {
		if c.client.sessionNumber == c.sessionNumber {
			c.client.receive(data)
		}
	})
	return len(data), true
}

func (c simulatedClientConn) stopReading() {
	c.client.sim.After(1, func() { c.client.disconnect(c.sessionNumber) })
}

func (c simulatedClientConn) closeWrite() { c.close() }

func (c simulatedClientConn) close() {
	c.client.sim.After(clientDelay+1, func() { c.client.connClosed(c.sessionNumber) })
}

// connect begins a session at a random proxy.
func (c *client) connect() {
	sim := c.sim
	c.sessionNumber++
	c.values, c.prepared = map[string]string{}, map[string]string{}
	c.inTransaction, c.uncommitted, c.received, c.beganAt = false, nil, nil, 0
	c.proxy = sim.proxies[sim.Rand.IntN(len(sim.proxies))]
	if !c.proxy.up {
		sim.After(sim.Between(50*millisecond, 300*millisecond), c.connect)
		return
	}
	c.proxyIncarnation = c.proxy.incarnation
	c.session = &clientSession{server: c.proxy.server, out: simulatedClientConn{c, c.sessionNumber}}
	c.key = simulatedKey
	if sim.tenants != nil {
		c.key = sim.tenants.chooseKey(c)
	}
	c.session.keyHash = c.proxy.server.secret.Hash(c.key)
	c.pending = pendingRequest{verb: "CONNECT"}
	session, proxy, incarnation := c.session, c.proxy, c.proxyIncarnation
	sim.After(clientDelay, func() {
		proxy.run(incarnation, func(server *Server) { server.beginSession(session, c.routeKind) })
	})
	c.expectAnswer(connectAnswerTimeout)
}

// expectAnswer checks that the pending request is answered in time, unless its proxy crashes or freezes.
func (c *client) expectAnswer(within int64) {
	sim := c.sim
	sessionNumber, request := c.sessionNumber, c.pending
	proxy, incarnation := c.proxy, c.proxyIncarnation
	sim.After(within, func() {
		proxyRan := proxy.up && proxy.incarnation == incarnation && proxy.frozenUntil < sim.Now-within
		if c.sessionNumber == sessionNumber && c.pending == request && proxyRan {
			sim.RecordViolation("%s of %d at %s is not answered", request.verb, c.index, proxy.name)
		}
	})
}

// disconnect closes the connection from the client's side.
func (c *client) disconnect(sessionNumber int) {
	if c.sessionNumber == sessionNumber {
		session := c.session
		c.proxy.run(c.proxyIncarnation, func(server *Server) { server.handleReaderEnd(session) })
	}
}

// connClosed handles the close of the connection by the proxy.
func (c *client) connClosed(sessionNumber int) {
	if c.sessionNumber == sessionNumber {
		c.reconnectLater()
	}
}

// reconnectLater ends the session and begins another after a delay. The outcome of a pending request stays unknown.
func (c *client) reconnectLater() {
	c.sessionNumber++
	c.pending = pendingRequest{}
	sessionNumber := c.sessionNumber
	c.sim.After(c.sim.Between(20*millisecond, 400*millisecond), func() {
		if c.sessionNumber == sessionNumber { // the session may end twice before the next one begins
			c.connect()
		}
	})
}

// receive handles bytes from the proxy.
func (c *client) receive(data []byte) {
	c.received = append(c.received, data...)
	var answer wire.Response
	for rest := c.received; ; {
		line, length, err := wire.CutLine(rest, 0)
		if err != nil {
			c.sim.RecordViolation("%d is sent an invalid line", c.index)
		}
		if length == 0 {
			return
		}
		complete, err := answer.AddLine(line, rest[:length])
		if err != nil {
			c.sim.RecordViolation("%d is sent %q: %v", c.index, line, err)
		}
		rest = rest[length:]
		if complete || answer.Code == wire.CodeNoDatabase || answer.Code == wire.CodeDenied || c.pending.verb == "CONNECT" && answer.Code != "" {
			c.received = slices.Clone(rest)
			c.handleAnswer(&answer)
			return
		}
	}
}

func (c *client) handleAnswer(answer *wire.Response) {
	sim, request := c.sim, c.pending
	if request.verb == "" {
		sim.RecordViolation("%d is sent an answer without a pending request: %+v", c.index, answer)
		return
	}
	c.pending = pendingRequest{}
	if sim.tenants != nil {
		sim.tenants.checkDenial(c, answer.Code)
	}
	if request.verb == "CONNECT" {
		if answer.Code == "" {
			c.actAfter(sim.Between(1*millisecond, 20*millisecond))
		}
		return
	}
	if answer.Code == "" {
		c.recordServed(request, answer)
	}
	c.recordAnswer(request, answer)
	if answer.State == stateInTransaction {
		c.actAfter(sim.Between(1*millisecond, sim.maxTransactionPause))
		return
	}
	if answer.Code.NothingKept() && request.verb != "COMMIT" && c.inTransaction {
		sim.checker.ReportNothingKept(c.uncommitted)
	}
	if c.inTransaction && answer.State == 'E' {
		sim.After(sim.Between(1*millisecond, 5*millisecond), func() {
			c.send(c.sessionNumber, pendingRequest{verb: "ABORT"}, "ABORT")
		})
		return
	}
	c.inTransaction, c.uncommitted, c.beganAt = false, nil, 0
	c.actAfter(c.pause())
}

// pause returns a random pause between two operations of a session.
func (c *client) pause() int64 {
	if c.isWriter {
		return c.sim.Between(1*millisecond, 20*millisecond)
	}
	return c.sim.Between(1*millisecond, 60*millisecond)
}

// recordServed counts a statement that a host has executed, and checks that the answer belongs to the request.
func (c *client) recordServed(request pendingRequest, answer *wire.Response) {
	sim := c.sim
	if request.verb != "FETCH" && request.verb != "STORE" && request.verb != "COMMIT" {
		return
	}
	if !strings.Contains(string(answer.Lines), "DONE x."+request.id) {
		sim.RecordViolation("MIXED: %d is answered %q for %s", c.index, answer.Lines, request.id)
	}
	sim.served++
	if request.verb == "STORE" && !c.inTransaction {
		if sim.lastWriteAt > 0 {
			sim.longestWriteGap = max(sim.longestWriteGap, sim.Now-sim.lastWriteAt)
		}
		sim.lastWriteAt = sim.Now
	}
}

// recordAnswer updates the expected session state from an answer, and reports the outcome of writes to the checker.
func (c *client) recordAnswer(request pendingRequest, answer *wire.Response) {
	sim, succeeded := c.sim, answer.Code == ""
	switch request.verb {
	case "SET":
		if succeeded {
			c.values[request.name] = request.data
		}
	case "PREPARE":
		if succeeded {
			c.prepared[request.name] = request.data
		}
	case "BEGIN":
		c.inTransaction = succeeded
	case "STORE":
		switch {
		case c.inTransaction && succeeded:
			c.uncommitted = append(c.uncommitted, request.data)
		case !c.inTransaction:
			sim.checker.ReportAnswer(c.sessionName(), []string{request.data}, answer.Code, sim.Now)
		}
	case "COMMIT":
		if len(c.uncommitted) > 0 {
			sim.checker.ReportAnswer(c.sessionName(), c.uncommitted, answer.Code, sim.Now)
		}
	case "ABORT":
		sim.checker.ReportNothingKept(c.uncommitted)
	}
}

func (c *client) actAfter(after int64) {
	sessionNumber := c.sessionNumber
	c.sim.After(after, func() { c.act(sessionNumber) })
}

// act sends the next request of a session, or disconnects.
func (c *client) act(sessionNumber int) {
	sim := c.sim
	if c.sessionNumber != sessionNumber || c.pending.verb != "" {
		return
	}
	if c.isWriter && sim.writersStopped {
		sim.After(100*millisecond, func() { c.act(sessionNumber) })
		return
	}
	if !c.inTransaction && sim.OneIn(25) || c.inTransaction && sim.OneIn(40) {
		c.disconnect(sessionNumber)
		c.reconnectLater()
		return
	}
	c.requestCount++
	data := fmt.Sprintf("d%d.%d", c.index, c.requestCount)
	item := fmt.Sprintf("t%d", sim.Rand.IntN(9))
	if !c.inTransaction || c.beganAt == 0 {
		c.beganAt = sim.Now
	}
	request, text := c.randomRequest(item, data)
	c.send(sessionNumber, request, text)
}

// randomRequest returns a random next request of a session and its text.
func (c *client) randomRequest(item, data string) (request pendingRequest, text string) {
	sim := c.sim
	if c.isWriter {
		return pendingRequest{verb: "STORE", data: data}, "STORE " + item + " " + data
	}
	switch chance := sim.Rand.IntN(20); {
	case chance == 0:
		name := fmt.Sprintf("v%d", sim.Rand.IntN(2))
		return pendingRequest{verb: "SET", name: name, data: data}, "SET " + name + " " + data
	case chance == 1:
		name := fmt.Sprintf("p%d", sim.Rand.IntN(2))
		preparedText := []string{"FETCH q", "STORE z"}[sim.Rand.IntN(2)] + fmt.Sprint(sim.Rand.IntN(3))
		return pendingRequest{verb: "PREPARE", name: name, data: preparedText}, "PREPARE " + name + " " + preparedText
	case chance < 5 && !c.inTransaction:
		if sim.OneIn(2) {
			return pendingRequest{verb: "BEGIN"}, "BEGIN FETCH"
		}
		return pendingRequest{verb: "BEGIN"}, "BEGIN"
	case chance < 9 && c.inTransaction:
		if sim.OneIn(4) {
			return pendingRequest{verb: "ABORT"}, "ABORT"
		}
		return pendingRequest{verb: "COMMIT"}, "COMMIT"
	case chance < 12 && c.prepared["p0"] != "":
		if wire.PreparedTextWrites(c.prepared["p0"]) {
			return pendingRequest{verb: "STORE", name: "p0", data: data}, "EXECUTE p0 " + item + " " + data
		}
		return pendingRequest{verb: "FETCH", name: "p0"}, "EXECUTE p0 " + item
	case chance < 15:
		return pendingRequest{verb: "STORE", data: data}, "STORE " + item + " " + data
	default:
		return pendingRequest{verb: "FETCH"}, "FETCH " + item
	}
}

// send sends a request, if its session is still the current one.
func (c *client) send(sessionNumber int, request pendingRequest, text string) {
	sim := c.sim
	if c.sessionNumber != sessionNumber {
		return
	}
	c.requestCount++
	request.id = fmt.Sprintf("c%d.%d.%d", c.index, c.sessionNumber, c.requestCount)
	c.pending, c.sentAt = request, sim.Now
	if request.verb == "STORE" {
		sim.checker.ReportAttempt(request.data)
	}
	parsed, err := wire.ParseRequest([]byte("QUERY " + request.id + " " + text))
	if err != nil {
		panic(err)
	}
	session, proxy, incarnation := c.session, c.proxy, c.proxyIncarnation
	sim.After(clientDelay, func() {
		message := clientMessage{request: parsed, receivedAt: sim.clock(proxy.clockDrift)()}
		proxy.run(incarnation, func(server *Server) { server.enqueueMessage(session, message) })
	})
	c.expectAnswer(statementAnswerTimeout)
}
