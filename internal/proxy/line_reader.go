package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"

	"ferrypitch/internal/wire"
)

const (
	readChunkBytes = 2048

	// maxIdleBufferBytes is the largest capacity that an empty buffer keeps, so that one long line does not occupy memory for
	// the rest of the connection.
	maxIdleBufferBytes = 16 << 10

	// maxLateReads limits the reads after a deadline, so that a client that keeps sending can't keep its session open.
	maxLateReads = 8
)

// lineReader reads the lines of the wire protocol from a socket.
type lineReader struct {
	conn     net.Conn
	buffer   []byte
	consumed int // bytes of buffer that were returned as lines
	chunk    [readChunkBytes]byte

	lateReads int // reads after the deadline
}

// readAvailable reads bytes that have already arrived at a socket, even if its deadline has passed, and returns their number. A
// process that got no CPU time for a while may find both the expired deadline and unread bytes, and closing a socket with unread
// bytes would reset the connection.
func readAvailable(conn net.Conn, chunk []byte) (count int) {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return 0
	}
	err = raw.Control(func(descriptor uintptr) {
		count, _ = syscall.Read(int(descriptor), chunk) // the socket is nonblocking; an error means that there is nothing to read
	})
	if err != nil {
		return 0
	}
	return max(count, 0)
}

// next returns the next line, as line without and as raw with its terminator. Both are valid until the next call.
func (r *lineReader) next() (line, raw []byte, err error) {
	searched := 0 // bytes already searched for a line terminator
	for {
		unread := r.buffer[r.consumed:]
		line, length, err := wire.CutLine(unread, searched)
		if err != nil {
			return nil, nil, err
		}
		if length > 0 {
			r.consumed += length
			return line, unread[:length], nil
		}
		searched = len(unread)
		if r.consumed > 0 {
			r.buffer = append(r.buffer[:0], unread...)
			r.consumed = 0
		}
		if len(r.buffer) == 0 && cap(r.buffer) > maxIdleBufferBytes {
			r.buffer = nil
		}
		count, err := r.conn.Read(r.chunk[:])
		if errors.Is(err, os.ErrDeadlineExceeded) && r.lateReads < maxLateReads {
			r.lateReads++
			count = readAvailable(r.conn, r.chunk[:])
		}
		if count == 0 && err != nil {
			return nil, nil, err
		}
		r.buffer = append(r.buffer, r.chunk[:count]...)
	}
}

// readResponse reads one complete response of a host.
func (r *lineReader) readResponse() (response wire.Response, err error) {
	for {
		line, raw, err := r.next()
		if err != nil {
			if response.Completed() && response.Code != "" { // a host rejects CONNECT with an error line and closes the connection
				return response, nil
			}
			return response, err
		}
		complete, err := response.AddLine(line, raw)
		if err != nil || complete {
			return response, err
		}
	}
}
