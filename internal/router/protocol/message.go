// Package protocol parses and writes what goes over the sockets, on bytes
// alone: PostgreSQL's protocol version 3 from both ends, the comment of a
// command, and discovery's HTTP.
package protocol

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"strconv"
	"strings"
)

// Message kinds that clients send.
const (
	Query        = 'Q'
	Terminate    = 'X'
	Sync         = 'S'
	CopyData     = 'd'
	CopyDone     = 'c'
	CopyFail     = 'f'
	Flush        = 'H'
	Parse        = 'P'
	Bind         = 'B'
	Describe     = 'D'
	Execute      = 'E'
	Close        = 'C'
	FunctionCall = 'F'
)

// Message kinds that servers send.
const (
	Ready           = 'Z'
	ErrorResponse   = 'E'
	ParameterStatus = 'S'
	RowDescription  = 'T'
	DataRow         = 'D'
	CommandComplete = 'C'
	EmptyResponse   = 'I'
	NoticeResponse  = 'N'
	Authentication  = 'R'
	BackendKeyData  = 'K'
)

// EncryptionDeclined is the byte that answers a request for encryption by none.
const EncryptionDeclined = 'N'

// What a startup message asks for.
const (
	Version       = 3 << 16
	CancelRequest = 1234<<16 | 5678
	SSLRequest    = 1234<<16 | 5679
	GSSEncRequest = 1234<<16 | 5680
)

// LongestStartup is what PostgreSQL takes at most.
const LongestStartup = 10000

// SQLSTATE codes with a meaning of their own.
const (
	TooMany             = "53300"
	NotNow              = "57P03"
	ReadOnly            = "25006"
	ReplicaBehind       = "72000"
	SystemError         = "58000"
	ProtocolViolation   = "08P01"
	SyntaxError         = "42601"
	FeatureNotSupported = "0A000"
)

var (
	ErrLength  = errors.New("a message of impossible length")
	ErrTooLong = errors.New("a message of more than is taken")
)

// Next cuts the first message off b. n is 0 while it is not whole.
func Next(b []byte, maxSize int) (kind byte, body []byte, n int, err error) {
	if len(b) < 5 {
		return 0, nil, 0, nil
	}
	body, n, err = cutFrame(b[1:], maxSize)
	if n > 0 {
		n++
	}
	return b[0], body, n, err
}

// NextStartup cuts a startup message off b, which has no kind.
func NextStartup(b []byte, maxSize int) (code uint32, n int, err error) {
	body, n, err := cutFrame(b, maxSize)
	if n == 0 || err != nil {
		return 0, 0, err
	}
	if len(body) < 4 {
		return 0, 0, ErrLength
	}
	return binary.BigEndian.Uint32(body), n, nil
}

func cutFrame(b []byte, maxSize int) (body []byte, n int, err error) {
	if len(b) < 4 {
		return nil, 0, nil
	}
	size := binary.BigEndian.Uint32(b)
	switch {
	case size < 4 || size > 1<<31-1:
		return nil, 0, ErrLength
	case int(size) > maxSize:
		return nil, 0, ErrTooLong
	case int(size) > len(b):
		return nil, 0, nil
	}
	return b[4:size], int(size), nil
}

// appendMessage appends one message; fill appends its body.
func appendMessage(b []byte, kind byte, fill func([]byte) []byte) []byte {
	b = append(b, kind, 0, 0, 0, 0)
	at := len(b)
	b = fill(b)
	binary.BigEndian.PutUint32(b[at-4:], uint32(len(b)-at+4))
	return b
}

func appendText(b []byte, s string) []byte { return append(append(b, s...), 0) }

// AppendStartup appends the message that opens a connection to a host.
func AppendStartup(b []byte, user, database string) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, 0, 3, 0, 0)
	b = appendText(appendText(b, "user"), user)
	b = appendText(appendText(b, "database"), database)
	b = append(b, 0)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

func AppendQuery(b []byte, statement []byte) []byte {
	return appendMessage(b, Query, func(b []byte) []byte { return append(append(b, statement...), 0) })
}

// AppendGreeting appends what a client is told before its first command.
func AppendGreeting(b []byte) []byte {
	b = appendMessage(b, Authentication, func(b []byte) []byte { return append(b, 0, 0, 0, 0) })
	for _, p := range [][2]string{
		{"server_version", "15.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
	} {
		b = appendMessage(b, ParameterStatus, func(b []byte) []byte { return appendText(appendText(b, p[0]), p[1]) })
	}
	b = appendMessage(b, 'K', func(b []byte) []byte { return append(b, 0, 0, 0, 0, 0, 0, 0, 0) })
	return AppendReady(b)
}

func AppendReady(b []byte) []byte {
	return appendMessage(b, Ready, func(b []byte) []byte { return append(b, 'I') })
}

func AppendEmptyQueryResponse(b []byte) []byte {
	return appendMessage(b, EmptyResponse, func(b []byte) []byte { return b })
}

// AppendError appends an ErrorResponse; detail may be empty.
func AppendError(b []byte, severity, code, say, detail string) []byte {
	return appendMessage(b, ErrorResponse, func(b []byte) []byte {
		b = appendText(append(b, 'S'), severity)
		b = appendText(append(b, 'V'), severity)
		b = appendText(append(b, 'C'), code)
		b = appendText(append(b, 'M'), say)
		if detail != "" {
			b = appendText(append(b, 'D'), detail)
		}
		return append(b, 0)
	})
}

// Code is the SQLSTATE of an ErrorResponse's body, empty where there is none.
func Code(body []byte) string {
	code := ""
	for len(body) > 1 && body[0] != 0 {
		value, rest, whole := bytes.Cut(body[1:], []byte{0})
		if !whole {
			return ""
		}
		if body[0] == 'C' {
			code = string(value)
		}
		body = rest
	}
	if len(body) != 1 || body[0] != 0 || len(code) != 5 {
		return "" // torn
	}
	return code
}

// Parameter reads a ParameterStatus.
func Parameter(body []byte) (name, value string, ok bool) {
	n, rest, whole := bytes.Cut(body, []byte{0})
	v, rest, ended := bytes.Cut(rest, []byte{0})
	return string(n), string(v), whole && ended && len(rest) == 0
}

// Value is the first column of a DataRow, if it has just one that is not null.
func Value(body []byte) ([]byte, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, false
	}
	size := binary.BigEndian.Uint32(body[2:])
	if uint64(size) != uint64(len(body)-6) {
		return nil, false
	}
	return body[6:], true
}

// IsSingleColumn says whether a RowDescription's body describes one column.
func IsSingleColumn(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	_, rest, whole := bytes.Cut(body[2:], []byte{0})
	return whole && len(rest) == 18
}

// IsCommandTag says whether a CommandComplete's body is a tag, as in INSERT 0 1.
func IsCommandTag(body []byte) bool {
	tag, rest, whole := bytes.Cut(body, []byte{0})
	for _, b := range tag {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return whole && len(rest) == 0 && len(tag) > 0
}

// Statement is the text of a Query's body.
func Statement(body []byte) ([]byte, bool) {
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return nil, false
	}
	return body[:len(body)-1], true
}

// Field is the value of a name in a load report, as in inflight=7,util=0.61.
func Field(report, name string) (float64, bool) {
	for item := range strings.SplitSeq(report, ",") {
		if is, value, ok := strings.Cut(item, "="); ok && is == name {
			v, err := strconv.ParseFloat(value, 64)
			return v, err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
		}
	}
	return 0, false
}
