package rpc

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerBytes        = 4    // length of the frame that follows, in big-endian order
	readBufferBytes    = 4096 // small, because there are thousands of connections with one buffer each
	refusalTimeout     = time.Second
	maxKeptBufferBytes = 64 << 10 // larger write buffers are released after the frame is sent
)

// ErrFrameLength is returned for a frame that is empty or longer than MaxFrameBytes. The connection is unusable afterwards.
var ErrFrameLength = errors.New("rpc: frame is empty or too long")

// BytesSent counts the bytes written by all connections of this process.
var BytesSent atomic.Int64

// BytesReceived counts the bytes read by all connections of this process.
var BytesReceived atomic.Int64

// Conn is a connection that carries frames. Send is safe for concurrent use; Receive may only be called by one goroutine at a
// time.
type Conn struct {
	conn net.Conn

	mu                sync.Mutex // guards the write side
	writeBuffer       bytes.Buffer
	encoder           *gob.Encoder
	peerReadsPayloads bool // the peer's version supports payloads

	frames  frameReader
	decoder *gob.Decoder
}

// NewConn returns a Conn that uses and owns the socket.
func NewConn(socket net.Conn) *Conn {
	c := &Conn{conn: socket}
	c.frames.source = socket
	c.decoder = gob.NewDecoder(&c.frames)
	c.encoder = gob.NewEncoder(&c.writeBuffer)
	return c
}

// Send writes one frame within the timeout, and its payload with a timeout for each block. After an error other than
// ErrFrameLength the caller must close the connection, because the frame may have been written partially.
func (c *Conn) Send(frame *Frame, timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var payload [][]byte
	if c.peerReadsPayloads {
		frame, payload = detachPayload(frame)
	}
	c.writeBuffer.Reset()
	c.writeBuffer.Write(make([]byte, headerBytes))
	if err := c.encoder.Encode(frame); err != nil {
		return fmt.Errorf("rpc: encoding a frame: %w", err)
	}
	message := c.writeBuffer.Bytes()
	size := len(message) - headerBytes
	if size > MaxFrameBytes {
		return ErrFrameLength
	}
	binary.BigEndian.PutUint32(message, uint32(size))
	c.conn.SetWriteDeadline(time.Now().Add(timeout))
	written, err := c.conn.Write(message)
	BytesSent.Add(int64(written))
	if c.writeBuffer.Cap() > maxKeptBufferBytes {
		c.writeBuffer = bytes.Buffer{}
	}
	if err == nil {
		err = c.sendPayload(payload, timeout)
	}
	if err != nil {
		return fmt.Errorf("rpc: sending a frame: %w", err)
	}
	return nil
}

// Receive reads one frame within the timeout, and its payload with a timeout for each block. The connection is unusable after an
// error other than UnsupportedFrameError.
func (c *Conn) Receive(timeout time.Duration) (*Frame, error) {
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	frame := &Frame{}
	if err := c.decoder.Decode(frame); err != nil {
		return nil, fmt.Errorf("rpc: receiving a frame: %w", err)
	}
	if err := checkVersion(frame); err != nil {
		return nil, err
	}
	if len(frame.PayloadSizes) == 0 {
		return frame, nil
	}
	payload, err := c.receivePayload(frame.PayloadSizes, timeout)
	if err != nil {
		return nil, fmt.Errorf("rpc: receiving a payload: %w", err)
	}
	attachPayload(frame, payload)
	return frame, nil
}

// Close closes the socket. Pending calls of Send and Receive return an error. Close only fails if the socket is already closed,
// which is common if both a cancelled context and the owner close it. Callers may ignore the error.
func (c *Conn) Close() error { return c.conn.Close() }

// RemoteIP returns the IP address of the peer, without the port.
func (c *Conn) RemoteIP() string {
	host, _, _ := net.SplitHostPort(c.conn.RemoteAddr().String())
	return host
}

// frameReader strips the frame headers from a stream, for gob to read. It checks the length of each frame before gob allocates
// memory for it.
type frameReader struct {
	source         io.Reader
	frameRemaining int // bytes of the current frame that were not returned yet
	buffer         [readBufferBytes]byte
	start, end     int // range of the buffered bytes in buffer
}

// ReadByte implements io.ByteReader. Without it, gob would wrap the reader in a buffer of its own.
func (r *frameReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

// Read implements io.Reader.
func (r *frameReader) Read(b []byte) (int, error) {
	if r.frameRemaining == 0 {
		if err := r.readHeader(); err != nil {
			return 0, err
		}
	}
	if err := r.fill(); err != nil {
		return 0, err
	}
	n := copy(b[:min(len(b), r.frameRemaining)], r.buffer[r.start:r.end])
	r.start += n
	r.frameRemaining -= n
	return n, nil
}

func (r *frameReader) readHeader() error {
	var header [headerBytes]byte
	for i := range header {
		if err := r.fill(); err != nil {
			return err
		}
		header[i] = r.buffer[r.start]
		r.start++
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > MaxFrameBytes {
		return ErrFrameLength
	}
	r.frameRemaining = int(size)
	return nil
}

// fill reads from the source if the buffer is empty.
func (r *frameReader) fill() error {
	if r.start < r.end {
		return nil
	}
	n, err := r.source.Read(r.buffer[:])
	BytesReceived.Add(int64(n))
	r.start, r.end = 0, n
	if n > 0 {
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}
