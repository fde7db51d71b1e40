package proxy

import (
	"slices"
	"strings"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/wire"
)

// simulatedHostConn simulates both ends of a connection from a proxy to a host. It is the proxy's nonblockingConn.
type simulatedHostConn struct {
	*database.Conn
	proxy         *proxyProcess
	incarnation   int // incarnation of the proxy
	conn          *hostConn
	received      []byte // bytes at the host that are not a complete line yet
	closed        bool
	responsesLost bool
	lastArrival   int64 // time at which the last data arrives; later data arrives after it
}

func (c *simulatedHostConn) write(data []byte) (written int, ok bool) {
	if c.closed {
		return 0, false
	}
	data = slices.Clone(data)
	sim := c.proxy.sim
	if sim.resetOneIn > 0 && sim.OneIn(sim.resetOneIn) {
		return c.resetDuringWrite(data)
	}
	c.deliver(sim.Between(millisecond/2, 3*millisecond), func() { c.receive(data) })
	return len(data), true
}

func (c *simulatedHostConn) stopReading() {}
func (c *simulatedHostConn) closeWrite()  {}
func (c *simulatedHostConn) close() {
	sim := c.proxy.sim
	c.closed = true
	sim.After(sim.Between(1*millisecond, 3*millisecond), c.Close)
}

// resetDuringWrite resets the connection before, during or after the write of a statement, or after the statement has run.
func (c *simulatedHostConn) resetDuringWrite(data []byte) (written int, ok bool) {
	const (
		beforeWrite = iota
		duringWrite
		afterWrite
		afterExecution
		resetKinds
	)
	sim := c.proxy.sim
	kind := sim.Rand.IntN(resetKinds)
	switch kind {
	case beforeWrite:
		return 0, false
	case duringWrite:
		written = 1 + sim.Rand.IntN(len(data)-1)
		c.deliver(sim.Between(millisecond/2, 3*millisecond), func() { c.receive(data[:written]) })
		return written, false
	}
	c.responsesLost = true
	c.deliver(sim.Between(millisecond/2, 3*millisecond), func() {
		if kind == afterExecution {
			c.receive(data)
		}
		c.Close()
		c.notifyClosed()
	})
	return len(data), true
}

// deliver calls do after a delay, and after everything that was sent earlier on this connection.
func (c *simulatedHostConn) deliver(after int64, do func()) {
	sim := c.proxy.sim
	c.lastArrival = max(c.lastArrival+1, sim.Now+after)
	sim.After(c.lastArrival-sim.Now, do)
}

// notifyClosed makes the proxy detect that the host has closed the connection.
func (c *simulatedHostConn) notifyClosed() {
	sim := c.proxy.sim
	sim.After(sim.Between(millisecond/2, 3*millisecond), func() {
		c.proxy.run(c.incarnation, func(server *Server) { server.connLost(c.conn) })
	})
}

// deliverResponse delivers a response to the proxy after a delay, unless it is lost.
func (c *simulatedHostConn) deliverResponse(after int64, response wire.Response) {
	sim := c.proxy.sim
	c.deliver(after+sim.Between(millisecond/2, 3*millisecond), func() {
		if !c.Host.Unreachable && !c.closed && !c.responsesLost {
			c.proxy.run(c.incarnation, func(server *Server) { server.handleResponse(c.conn, &response, server.clock.Time()) })
		}
	})
}

// receive runs at the host and executes the statements that have arrived completely.
func (c *simulatedHostConn) receive(data []byte) {
	host, sim := c.Host, c.proxy.sim
	if !host.Up || host.Unreachable || !host.Conns[c.Conn] {
		return
	}
	if until := sim.frozenUntil[host.ID]; sim.Now < until {
		c.deliver(until-sim.Now, func() { c.receive(data) })
		return
	}
	c.received = append(c.received, data...)
	for {
		line, length, err := wire.CutLine(c.received, 0)
		if err != nil {
			sim.RecordViolation("%s is sent an invalid line: %v", host.ID, err)
		}
		if length == 0 {
			return
		}
		fields := strings.SplitN(string(line), " ", 3)
		c.received = c.received[length:]
		if fields[0] != "QUERY" || len(fields) < 3 {
			sim.RecordViolation("%s is sent %q", host.ID, line)
			return
		}
		c.checkStatement(fields[1], fields[2])
		c.Query(fields[1], fields[2])
	}
}

// checkStatement checks that a statement was sent by its client and runs on the connection of its transaction, with the client's
// variables and prepared statements.
func (c *simulatedHostConn) checkStatement(requestID, text string) {
	sim := c.proxy.sim
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "FENCE" {
		_, rest, _ = strings.Cut(rest, " ")
		verb, rest, _ = strings.Cut(rest, " ")
	}
	if requestID == internalRequestID {
		if verb == "RESET" && c.State == stateInTransaction {
			sim.RecordViolation("RESET inside a transaction")
		}
		return
	}
	c.recordOperation(verb)
	owner, present := sim.ownerOf(requestID)
	switch {
	case owner == nil:
		sim.RecordViolation("UNASKED: %s runs %s %s", c.Host.ID, requestID, text)
		return
	case !present: // its session has ended
		return
	}
	sim.tenants.checkStatement(c, owner, requestID)
	switch {
	case verb == "EXECUTE":
		name, _, _ := strings.Cut(rest, " ")
		if preparedText, want := c.Prepared[name], owner.prepared[owner.pending.name]; preparedText != want {
			sim.RecordViolation("PINNED: %s runs %q for %q", c.Host.ID, preparedText, want)
		}
		fallthrough
	case verb != "COMMIT" && verb != "ABORT":
		if !c.HasValues(owner.values) {
			sim.RecordViolation("PINNED: values %v for %v", c.Values, owner.values)
		}
		if beganBy, _ := sim.ownerOf(c.BeginID); c.State == stateInTransaction && beganBy != owner {
			sim.RecordViolation("PINNED: a statement of %d in a transaction of another", owner.index)
		}
	}
}
