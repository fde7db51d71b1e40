package wire

import (
	"bytes"
	"errors"
	"fmt"
)

// MaxMessageBytes is the protocol's limit on one message, in bytes (1 MiB).
const MaxMessageBytes = 1 << 20

// Errors of the parsers. They are wrapped with the rejected input, so compare with errors.Is. None may be retried on the same
// connection, because the position of the next message in the stream is unknown.
var (
	// ErrMessageTooLong reports a message longer than MaxMessageBytes.
	ErrMessageTooLong = errors.New("message is longer than 1 MiB")
	// ErrMalformed reports a line that does not follow the protocol.
	ErrMalformed = errors.New("malformed line")
	// ErrOutOfOrder reports a response whose lines are in an order that the protocol does not allow.
	ErrOutOfOrder = errors.New("response lines out of order")
)

// CutLine finds the first line of buffer. It returns the line without its CR LF, and its size in bytes including CR LF; size is 0
// while the line is incomplete. A caller that has appended more bytes to an incomplete line passes the previous length of buffer
// as searchFrom, so that the line is not searched from its start again.
func CutLine(buffer []byte, searchFrom int) (line []byte, size int, err error) {
	searchFrom = min(searchFrom, len(buffer))
	offset := bytes.IndexByte(buffer[searchFrom:], '\n')
	if offset < 0 {
		if len(buffer) > MaxMessageBytes {
			return nil, 0, ErrMessageTooLong
		}
		return nil, 0, nil
	}
	end := searchFrom + offset
	if end > MaxMessageBytes {
		return nil, 0, ErrMessageTooLong
	}
	if end == 0 || buffer[end-1] != '\r' {
		return nil, 0, fmt.Errorf("%w: LF without CR", ErrMalformed)
	}
	line = buffer[:end-1]
	if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
		return nil, 0, fmt.Errorf("%w: control character", ErrMalformed)
	}
	return line, end + 1, nil
}

// cutField returns the first field and everything after the space that follows it.
func cutField(fields []byte) (first, rest []byte) {
	first, rest, _ = bytes.Cut(fields, []byte{' '})
	return first, rest
}
