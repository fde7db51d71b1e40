package linkconn

import (
	"crypto/rand"
	"errors"
	"net"
	"time"

	"ferrypitch/internal/router/tier/link"
)

// errTooManyForwarders is returned by PlannerHandshake for a forwarder beyond the planner's limit.
var errTooManyForwarders = errors.New("forwarder limit reached")

// ForwarderHandshake sends a forwarder's greeting and reads the planner's greeting.
// The caller must have set a deadline on the socket. name and incarnation identify
// the caller's process. queueLength is the capacity of the send queue in frames,
// maxFrameBytes the maximum size of a received frame and writeTimeout the timeout
// of one write. A refusal by the planner is returned as an error.
func ForwarderHandshake(socket net.Conn, key *[32]byte, name string, incarnation uint64,
	queueLength, maxFrameBytes int, writeTimeout time.Duration,
) (*Conn, error) {
	own := newGreeting(name, incarnation)
	if _, err := socket.Write(link.AppendGreeting(nil, own, key)); err != nil {
		return nil, err
	}
	conn := newConn(socket, queueLength, maxFrameBytes, writeTimeout)
	if err := conn.readGreeting(key); err != nil {
		return nil, err
	}
	if err := conn.Peer.RefusalError(); err != nil {
		return nil, err
	}
	conn.session = link.NewSession(key, own.Nonce, conn.Peer.Nonce, true)
	return conn, nil
}

// PlannerHandshake reads a forwarder's greeting and sends the planner's greeting.
// The caller must have set a deadline on the socket. accept reports whether the
// planner has capacity for the forwarder. A forwarder beyond the capacity or with
// another protocol version is sent a refusal, and PlannerHandshake returns an
// error. The other parameters are those of ForwarderHandshake.
func PlannerHandshake(socket net.Conn, key *[32]byte, name string, incarnation uint64,
	queueLength, maxFrameBytes int, writeTimeout time.Duration, accept func(link.Greeting) bool,
) (*Conn, error) {
	conn := newConn(socket, queueLength, maxFrameBytes, writeTimeout)
	own := newGreeting(name, incarnation)
	err := conn.readGreeting(key)
	switch {
	case err != nil && conn.Peer.Version != 0 && conn.Peer.Version != link.ProtocolVersion:
		own.Refusal = link.RefusalVersion
	case err != nil:
		return nil, err
	case !accept(conn.Peer):
		own.Refusal = link.RefusalCapacity
		err = errTooManyForwarders
	}
	conn.session = link.NewSession(key, conn.Peer.Nonce, own.Nonce, false)
	_, writeErr := socket.Write(link.AppendGreeting(nil, own, key))
	if err == nil {
		err = writeErr
	}
	return conn, err
}

// newGreeting returns a greeting with a random nonce.
func newGreeting(name string, incarnation uint64) link.Greeting {
	greeting := link.Greeting{Version: link.ProtocolVersion, Incarnation: incarnation, Name: name}
	rand.Read(greeting.Nonce[:])
	return greeting
}

// readGreeting reads the peer's greeting into Peer. After an error Peer may be set
// in part, see link.ParseGreeting.
func (c *Conn) readGreeting(key *[32]byte) error {
	for {
		greeting, size, err := link.ParseGreeting(c.receiveBuffer, key)
		c.Peer = greeting
		if err != nil {
			return err
		}
		if size > 0 {
			c.receiveBuffer = c.receiveBuffer[size:]
			return nil
		}
		if err := c.readMore(link.MaxGreetingBytes); err != nil {
			return err
		}
	}
}
