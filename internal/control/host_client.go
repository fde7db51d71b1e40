package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/retry"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

const (
	hostQueryTimeout    = 350 * time.Millisecond // for a command and its response, including connecting
	hostConnIdleTimeout = 3 * time.Second        // after which an idle connection is closed
	clientName          = "control"              // identifies this program to hosts in CONNECT
)

// hostClient sends commands to database hosts. It keeps at most one idle connection per host, for hostConnIdleTimeout.
type hostClient struct {
	dial       func(address string, timeout time.Duration) (net.Conn, error)
	holdsLease func(leaderTerm uint64) bool // whether this member still holds the leader lease of a term

	mu   sync.Mutex
	idle map[string]*hostConn // by host ID
}

// newHostClient returns a client that connects from the address localIP until ctx ends. holdsLease reports whether this
// member still holds the leader lease of a term, so that a command decided in that term may be written now.
func newHostClient(ctx context.Context, localIP string, holdsLease func(leaderTerm uint64) bool) *hostClient {
	dial := func(address string, timeout time.Duration) (net.Conn, error) {
		return dialHost(ctx, localIP, address, timeout)
	}
	return &hostClient{dial: dial, holdsLease: holdsLease, idle: map[string]*hostConn{}}
}

// query sends a command to a host and waits for the response until the deadline.
func (c *hostClient) query(query failover.HostQuery, host statemachine.Host, deadline time.Time) failover.QueryResult {
	response, conn, err := c.exchange(c.takeIdle(query.Host), host, c.commandOf(query), deadline)
	result := failover.QueryResult{Query: query}
	if err != nil {
		var refusal *hostError
		switch {
		case errors.As(err, &refusal):
			result.Code = refusal.Code
			result.Replaced = refusal.Code == wire.CodeWrongNode
		default:
			result.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
			result.TimedOut = !result.ConnectionRefused
		}
		return result
	}
	if response.Code != "" {
		result.Code = response.Code
	} else if result.Status, err = wire.ParseHostStatus(response.FirstRow); err != nil {
		result.Code = wire.CodeFailed
		conn.socket.Close()
		return result
	}
	c.keepIdle(query.Host, conn)
	return result
}

// hostCommand is a command to be sent on a connection to a host.
type hostCommand struct {
	text      string
	operation retry.Operation
	mayBeSent func() bool // checked immediately before the command is written
}

// commandOf returns the command for a query. A command that changes the host may be sent only while the lease under which it was
// decided is held; any member may send STAT.
func (c *hostClient) commandOf(query failover.HostQuery) hostCommand {
	return hostCommand{
		text:      commandText(query),
		operation: operations[query.Command],
		mayBeSent: func() bool { return query.Command == failover.Stat || c.holdsLease(query.LeaderTerm) },
	}
}

// commandText returns the text of a command in the host protocol.
func commandText(query failover.HostQuery) string {
	text := query.Command.Text()
	if query.Command == failover.Pause || query.Command == failover.StepDown {
		text += " " + strconv.FormatUint(query.Term, 10)
	}
	return text
}

func (c *hostClient) takeIdle(hostID string) *hostConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.idle[hostID]
	delete(c.idle, hostID)
	return conn
}

// keepIdle keeps a connection for the next command, and closes it if it stays unused for hostConnIdleTimeout.
func (c *hostClient) keepIdle(hostID string, conn *hostConn) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	previous := c.idle[hostID]
	c.idle[hostID] = conn
	c.mu.Unlock()
	if previous != nil {
		previous.socket.Close()
	}
	time.AfterFunc(hostConnIdleTimeout, func() { c.closeIdle(hostID, conn) })
}

func (c *hostClient) closeIdle(hostID string, conn *hostConn) {
	c.mu.Lock()
	expired := c.idle[hostID] == conn && time.Since(conn.idleSince) >= hostConnIdleTimeout
	if expired {
		delete(c.idle, hostID)
	}
	c.mu.Unlock()
	if !expired {
		return
	}
	if tcp, ok := conn.socket.(*net.TCPConn); ok {
		tcp.SetLinger(-1) // no command is in flight: close with FIN instead of RST
	}
	conn.socket.Close()
}

// hostError is the error response of a host to CONNECT.
type hostError struct{ Code wire.Code }

// Error implements error.
func (e *hostError) Error() string { return fmt.Sprintf("host rejects the connection: %s", e.Code) }

// operations maps commands to their entries in the retry table.
var operations = map[failover.Command]retry.Operation{
	failover.Stat:     retry.Stat,
	failover.Pause:    retry.Pause,
	failover.Resume:   retry.Resume,
	failover.StepDown: retry.StepDown,
}

// exchange sends a command and reads its response. It uses the idle connection if there is one, and opens a new connection if
// there is none, or if the idle one failed and the retry table allows the command to be sent again. It returns the connection for
// reuse, or nil after an error.
func (c *hostClient) exchange(idle *hostConn, host statemachine.Host, command hostCommand, deadline time.Time) (wire.Response, *hostConn, error) {
	if idle != nil {
		response, progress, err := idle.query(command, deadline)
		if err == nil {
			return response, idle, nil
		}
		idle.socket.Close()
		var netErr net.Error
		final := errors.Is(err, errLeaseExpired) || errors.As(err, &netErr) && netErr.Timeout()
		if final || retry.Decide(command.operation, progress) != retry.RetryNow {
			return wire.Response{}, nil, err
		}
	}
	conn, err := c.connectDetectingOverload(host, deadline)
	if err != nil {
		return wire.Response{}, nil, err
	}
	response, _, err := conn.query(command, deadline)
	if err != nil {
		conn.socket.Close()
		return wire.Response{}, nil, err
	}
	return response, conn, nil
}

// connectDetectingOverload calls connect and, if the connection is reset, calls it once more to tell two cases apart. A host at
// its connection limit resets the second connection too, which is reported as OVERLOAD: the reset may arrive before the line that
// states the reason. If the process of the host has just ended, the second connection is refused.
func (c *hostClient) connectDetectingOverload(host statemachine.Host, deadline time.Time) (*hostConn, error) {
	conn, err := c.connect(host, deadline)
	if !errors.Is(err, syscall.ECONNRESET) {
		return conn, err
	}
	conn, err = c.connect(host, deadline)
	if errors.Is(err, syscall.ECONNRESET) {
		err = &hostError{Code: wire.CodeOverload}
	}
	return conn, err
}

// connect opens a connection to a host. CONNECT includes the ID of the intended host because addresses are reused.
func (c *hostClient) connect(host statemachine.Host, deadline time.Time) (*hostConn, error) {
	socket, err := c.dial(host.Address, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	conn := &hostConn{socket: socket}
	socket.SetDeadline(deadline)
	_, err = socket.Write(wire.AppendConnect(nil, host.Service, clientName, host.ID))
	var response wire.Response
	if err == nil {
		response, err = conn.readResponse()
	}
	if err == nil && response.Code != "" {
		err = &hostError{Code: response.Code}
	}
	if err != nil {
		socket.Close()
		return nil, err
	}
	return conn, nil
}

// dialHost opens a TCP connection whose unacknowledged data the kernel discards after the timeout of a command, and also when the
// connection is closed or this process ends: a command must not reach the host after it has timed out here.
func dialHost(ctx context.Context, localIP, address string, timeout time.Duration) (net.Conn, error) {
	socket, err := rpc.Dial(ctx, localIP, address, timeout)
	if err != nil {
		return nil, err
	}
	if tcp, ok := socket.(*net.TCPConn); ok {
		tcp.SetLinger(0)
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = rpc.UserTimeout(hostQueryTimeout)("", "", raw) // fails only on a closed socket, where the next write fails too
		}
	}
	return socket, nil
}
