package protocol

import (
	"encoding/binary"
	"errors"
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
	ReadyForQuery      = 'Z'
	ErrorResponse      = 'E'
	ParameterStatus    = 'S'
	RowDescription     = 'T'
	DataRow            = 'D'
	CommandComplete    = 'C'
	EmptyQueryResponse = 'I'
	NoticeResponse     = 'N'
	Authentication     = 'R'
	BackendKeyData     = 'K'
)

// Codes of startup messages: the protocol version, or a special request in its place.
const (
	Version       = 3 << 16 // the major version is in the upper 16 bits
	CancelRequest = 1234<<16 | 5678
	SSLRequest    = 1234<<16 | 5679
	GSSEncRequest = 1234<<16 | 5680
)

// EncryptionDeclined is the one-byte answer that declines SSLRequest and GSSEncRequest.
const EncryptionDeclined = 'N'

// MaxStartupBytes is the maximum length of a startup message in PostgreSQL.
const MaxStartupBytes = 10000

// SQLSTATE codes that the router sends or acts on.
const (
	TooManyConnections  = "53300" // too_many_connections; also for throttled commands
	CannotConnectNow    = "57P03" // cannot_connect_now
	ReadOnlyTransaction = "25006" // read_only_sql_transaction: the host is not the primary
	ReplicaBehind       = "72000" // snapshot_too_old: the replica has not replayed the position yet
	SystemError         = "58000" // system_error
	ProtocolViolation   = "08P01" // protocol_violation
	SyntaxError         = "42601" // syntax_error
	FeatureNotSupported = "0A000" // feature_not_supported
)

var (
	// ErrInvalidLength reports a message length that the protocol does not allow.
	ErrInvalidLength = errors.New("a message of impossible length")
	// ErrTooLong reports that a message, an HTTP chunk or a line exceeds the caller's limit.
	ErrTooLong = errors.New("a message of more than is taken")
)

const (
	lengthBytes      = 4 // a message's length field, which counts itself but not the kind byte
	headerBytes      = 1 + lengthBytes
	startupCodeBytes = 4 // the code of a startup message
	maxMessageLength = 1<<31 - 1
)

// NextMessage decodes the first message in b. It fails with ErrInvalidLength, or with ErrTooLong if the length exceeds maxSize.
func NextMessage(b []byte, maxSize int) (kind byte, body []byte, n int, err error) {
	if len(b) < headerBytes {
		return 0, nil, 0, nil
	}
	body, n, err = cutFrame(b[1:], maxSize)
	if n > 0 {
		n++ // the kind byte
	}
	return b[0], body, n, err
}

// NextStartup decodes a startup message, which has no kind byte, and returns its code. It fails like NextMessage.
func NextStartup(b []byte, maxSize int) (code uint32, n int, err error) {
	body, n, err := cutFrame(b, maxSize)
	if n == 0 || err != nil {
		return 0, 0, err
	}
	if len(body) < startupCodeBytes {
		return 0, 0, ErrInvalidLength
	}
	return binary.BigEndian.Uint32(body), n, nil
}

// cutFrame decodes a length field and returns the body that follows it.
func cutFrame(b []byte, maxSize int) (body []byte, n int, err error) {
	if len(b) < lengthBytes {
		return nil, 0, nil
	}
	size := binary.BigEndian.Uint32(b)
	switch {
	case size < lengthBytes || size > maxMessageLength:
		return nil, 0, ErrInvalidLength
	case int(size) > maxSize:
		return nil, 0, ErrTooLong
	case int(size) > len(b):
		return nil, 0, nil
	}
	return b[lengthBytes:size], int(size), nil
}
