// Package linkconn sends and receives the frames of package link over a network
// connection.
//
// ForwarderHandshake and PlannerHandshake exchange greetings and return a Conn. The
// caller reads frames in one goroutine. StartWriter starts another goroutine, which
// writes frames from a bounded queue. A peer that reads too slowly is disconnected
// once the queue is full, so that it cannot delay other peers.
package linkconn

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"ferrypitch/internal/router/tier/link"
)

// ErrSlowReader is the error of a connection that was closed because its send queue was full.
var ErrSlowReader = errors.New("peer reads too slowly: send queue is full")

const (
	// minBufferBytes is the initial size of the receive buffer.
	minBufferBytes = 512
	// readAheadBytes is the space of the receive buffer beyond the frame that is being read.
	readAheadBytes = 4 << 10
	// maxIdleBufferBytes is the size above which an empty buffer is released instead of reused.
	maxIdleBufferBytes = 1 << 20
)

// Conn is a connection after the handshake. ReadFrame must be called by one goroutine
// at a time; Send and CloseWithError are safe for concurrent use.
type Conn struct {
	Peer link.Greeting // greeting of the peer

	socket        net.Conn
	session       *link.Session
	receiveBuffer []byte // received bytes that have not been consumed
	maxFrameBytes int
	writeTimeout  time.Duration
	sendQueue     chan link.Frame

	closeOnce sync.Once
	closed    chan struct{}
	closeErr  error // written before closed is closed
	writer    sync.WaitGroup
}

func newConn(socket net.Conn, queueLength, maxFrameBytes int, writeTimeout time.Duration) *Conn {
	return &Conn{
		socket: socket, maxFrameBytes: maxFrameBytes, writeTimeout: writeTimeout,
		sendQueue: make(chan link.Frame, queueLength), closed: make(chan struct{}),
	}
}

// readMore reads once from the socket. A full buffer at most doubles, up to
// wanted+readAheadBytes, so that a length field alone does not cause a large
// allocation.
func (c *Conn) readMore(wanted int) error {
	if len(c.receiveBuffer) == cap(c.receiveBuffer) {
		size := max(minBufferBytes, min(2*cap(c.receiveBuffer), wanted+readAheadBytes))
		grown := make([]byte, len(c.receiveBuffer), size)
		copy(grown, c.receiveBuffer)
		c.receiveBuffer = grown
	}
	n, err := c.socket.Read(c.receiveBuffer[len(c.receiveBuffer):cap(c.receiveBuffer)])
	c.receiveBuffer = c.receiveBuffer[:len(c.receiveBuffer)+n]
	if n > 0 {
		return nil // the next read returns the error again
	}
	return err
}

// StartWriter clears the deadline of the handshake and starts the goroutine that
// writes queued frames until CloseWithError is called.
func (c *Conn) StartWriter() {
	c.socket.SetDeadline(time.Time{})
	c.writer.Go(c.writeQueue)
}

// writeQueue writes queued frames until the connection is closed or a write fails.
func (c *Conn) writeQueue() {
	var buffer []byte
	for {
		select {
		case next := <-c.sendQueue:
			buffer = c.session.Seal(buffer[:0], next.Kind, next.Body)
			c.socket.SetWriteDeadline(time.Now().Add(c.writeTimeout))
			if _, err := c.socket.Write(buffer); err != nil {
				c.CloseWithError(fmt.Errorf("writing frame: %w", err))
				return
			}
			if cap(buffer) > maxIdleBufferBytes {
				buffer = nil
			}
		case <-c.closed:
			return
		}
	}
}

// Send queues a frame. The caller must not modify the body afterwards. If the queue
// is full, Send closes the connection with ErrSlowReader.
func (c *Conn) Send(kind link.FrameKind, body []byte) {
	select {
	case c.sendQueue <- link.Frame{Kind: kind, Body: body}:
	default:
		c.CloseWithError(ErrSlowReader)
	}
}

// ReadFrame reads the next frame. The body is valid until the next call. After
// CloseWithError it returns the error that was passed there.
func (c *Conn) ReadFrame() (link.Frame, error) {
	for {
		size, err := link.FrameSize(c.receiveBuffer, c.maxFrameBytes)
		if err != nil {
			return link.Frame{}, err
		}
		if len(c.receiveBuffer) >= size {
			return c.openFrame(size)
		}
		if err := c.readMore(size); err != nil {
			return link.Frame{}, c.readError(err)
		}
	}
}

// openFrame decodes the frame of size bytes at the start of the receive buffer and removes it.
func (c *Conn) openFrame(size int) (link.Frame, error) {
	frame, err := c.session.Open(c.receiveBuffer[:size])
	if err != nil {
		return link.Frame{}, err
	}
	c.receiveBuffer = c.receiveBuffer[size:]
	if len(c.receiveBuffer) == 0 && size > maxIdleBufferBytes {
		c.receiveBuffer = nil
	}
	return frame, nil
}

// readError returns the error passed to CloseWithError if the connection is closed, and err otherwise.
func (c *Conn) readError(err error) error {
	select {
	case <-c.closed:
		return c.closeErr
	default:
		return err
	}
}

// CloseWithError closes the connection. From then on ReadFrame returns err. Only the
// first call has an effect.
func (c *Conn) CloseWithError(err error) {
	c.closeOnce.Do(func() {
		c.closeErr = err
		close(c.closed)
		c.socket.Close()
	})
}

// Wait waits for the goroutine of StartWriter to end. It must be called after CloseWithError.
func (c *Conn) Wait() { c.writer.Wait() }
