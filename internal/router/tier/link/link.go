// Package link implements the protocol between planners and forwarders. It encodes
// and decodes bytes and does no I/O.
//
// A forwarder opens a connection with a Greeting, and the planner responds with
// its own. The format of greetings is fixed, so that every version can parse them.
// Both sides derive the keys of a Session from the shared key and both nonces
// (BLAKE3 in keyed-hash and key-derivation mode, as specified in its paper of
// 2020). Then CBOR frames follow in both directions: the planner sends changes of
// its view; the forwarder sends reports of its observations and requests for the
// full view. Each frame has a MAC, keyed by direction, that covers the frame's
// number, so that a forged, altered, omitted or replayed frame is detected.
//
// Package linkconn sends and receives the bytes on a network connection.
package link

import "errors"

// ProtocolVersion is the protocol version that this package implements.
const ProtocolVersion = 1

const (
	macBytes     = 16
	nonceBytes   = 16
	maxNameBytes = 64

	// MaxGreetingBytes is the maximum size of a greeting.
	MaxGreetingBytes = greetingFixedBytes + maxNameBytes + macBytes
	// MaxFrameBytes is the maximum size of a frame that a forwarder accepts, which
	// suffices for a full view of about 50,000 hosts.
	MaxFrameBytes = 16 << 20
	// MaxReportBytes is the maximum size of a frame that a planner accepts.
	MaxReportBytes = 1 << 20
)

// Errors of greetings and frames. After any of them the connection must be closed.
var (
	ErrMalformed      = errors.New("malformed greeting or frame")
	ErrAuthentication = errors.New("the MAC is wrong: another key, or a changed message")
	ErrTooLong        = errors.New("message exceeds the maximum size")
)

// ErrKeySize is the error for a key file that does not contain one shared key.
var ErrKeySize = errors.New("key must be 32 bytes, written as 64 hexadecimal digits")
