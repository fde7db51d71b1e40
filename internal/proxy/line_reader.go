package proxy

import (
	"net"

	"ferrypitch/internal/wire"
)

const (
	readChunkBytes = 2048

	// maxIdleBufferBytes is how large an empty buffer may stay: a connection that once read a long line does not keep its space.
	maxIdleBufferBytes = 16 << 10
)

// lineReader reads lines of the wire from a socket.
type lineReader struct {
	conn     net.Conn
	buffer   []byte
	consumed int // of buffer
	chunk    [readChunkBytes]byte
}

// next returns a line without and with its end. Both are valid until the following call.
func (r *lineReader) next() (line, raw []byte, err error) {
	searched := 0 // bytes without an end of line
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
		if count == 0 && err != nil {
			return nil, nil, err
		}
		r.buffer = append(r.buffer, r.chunk[:count]...)
	}
}

// readResponse reads one response of a host.
func (r *lineReader) readResponse() (response wire.Response, err error) {
	for {
		line, raw, err := r.next()
		if err != nil {
			if response.Completed() && response.Code != "" { // CONNECT is refused with an error line and a close
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
