// Package line carries the frames of package link over a connection.
//
// A handshake exchanges greetings and yields a Conn. One goroutine of the caller
// reads frames; one that StartWriter begins writes them from a bounded queue. A
// peer that reads so slowly that the queue is full is disconnected, so that it
// costs the others nothing.
package line

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"ferrypitch/internal/router/tier/link"
)

// ErrSlowReader is why a link ends whose peer reads more slowly than frames are sent.
var ErrSlowReader = errors.New("the other side reads too slowly")

const (
	// minBufferBytes is the first size of the receive buffer.
	minBufferBytes = 512
	// readAheadBytes is how far the receive buffer may exceed the frame that is awaited.
	readAheadBytes = 4 << 10
	// maxIdleBufferBytes is the size above which an empty buffer is released.
	maxIdleBufferBytes = 1 << 20
)

// Conn is a connection whose greetings have been exchanged.
type Conn struct {
	Peer link.Greeting // what the other side sent

	socket        net.Conn
	session       *link.Session
	receiveBuffer []byte // received and not read yet
	maxFrameBytes int
	writeTimeout  time.Duration
	sendQueue     chan link.Frame

	closeOnce sync.Once
	closed    chan struct{}
	closeErr  error // set before closed is closed
	writer    sync.WaitGroup
}

func newConn(socket net.Conn, queueLength, maxFrameBytes int, writeTimeout time.Duration) *Conn {
	return &Conn{
		socket: socket, maxFrameBytes: maxFrameBytes, writeTimeout: writeTimeout,
		sendQueue: make(chan link.Frame, queueLength), closed: make(chan struct{}),
	}
}

// readMore reads once from the socket. The buffer grows with what has come, never
// by what a length field claims: wanted bounds it.
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
		return nil // an error comes again with the next read
	}
	return err
}

// StartWriter lifts the deadline of the handshake and starts the goroutine that
// writes what Send queues. It ends with CloseWithError.
func (c *Conn) StartWriter() {
	c.socket.SetDeadline(time.Time{})
	c.writer.Go(c.writeQueue)
}

func (c *Conn) writeQueue() {
	var buffer []byte
	for {
		select {
		case next := <-c.sendQueue:
			buffer = c.session.Seal(buffer[:0], next.Kind, next.Body)
			c.socket.SetWriteDeadline(time.Now().Add(c.writeTimeout))
			if _, err := c.socket.Write(buffer); err != nil {
				c.CloseWithError(fmt.Errorf("writing: %w", err))
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

// Send queues a frame; the caller must not change the body afterwards. A full
// queue ends the connection with ErrSlowReader.
func (c *Conn) Send(kind link.FrameKind, body []byte) {
	select {
	case c.sendQueue <- link.Frame{Kind: kind, Body: body}:
	default:
		c.CloseWithError(ErrSlowReader)
	}
}

// ReadFrame reads the next frame, whose body is valid until the next call. After
// CloseWithError it returns the error given there.
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

// openFrame takes a complete frame from what was received.
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

// readError prefers the reason that the connection was closed for to what the socket reports.
func (c *Conn) readError(err error) error {
	select {
	case <-c.closed:
		return c.closeErr
	default:
		return err
	}
}

// CloseWithError closes the connection; err is what ReadFrame returns from then
// on. Only the first call has an effect.
func (c *Conn) CloseWithError(err error) {
	c.closeOnce.Do(func() {
		c.closeErr = err
		close(c.closed)
		c.socket.Close()
	})
}

// Wait waits for the writer's goroutine. It must be called after CloseWithError.
func (c *Conn) Wait() { c.writer.Wait() }
