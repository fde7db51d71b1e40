package line

import (
	"crypto/rand"
	"errors"
	"net"
	"time"

	"ferrypitch/internal/router/tier/link"
)

// errTooManyForwarders is why a planner rejects a forwarder beyond its limit.
var errTooManyForwarders = errors.New("as many forwarders as are taken are there")

// ForwarderHandshake sends the greeting of a forwarder and reads the planner's,
// within the deadline that the caller has set on the socket. name and incarnation
// identify the caller's process. queueLength is the number of frames that may
// wait to be written, maxFrameBytes the longest frame that is accepted and
// writeTimeout the limit of one write. A refusal of the planner is an error.
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

// PlannerHandshake reads the greeting of a forwarder and answers it, within the
// deadline that the caller has set on the socket. accept reports whether there is
// capacity for the forwarder. A forwarder that is over capacity, or of another
// version, is sent the reason, and the error is returned here too. The other
// parameters are those of ForwarderHandshake.
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

func newGreeting(name string, incarnation uint64) link.Greeting {
	greeting := link.Greeting{Version: link.ProtocolVersion, Incarnation: incarnation, Name: name}
	rand.Read(greeting.Nonce[:])
	return greeting
}

// readGreeting reads the peer's greeting into Peer, which is set in part if the
// greeting is of another version.
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
