// Package link is the protocol between planners and forwarders, on bytes alone.
//
// A forwarder opens a connection with a Greeting, and the planner answers with
// its own. The form of greetings is fixed, so that any version can read them.
// Both sides derive the keys of a Session from the shared key and both nonces
// (BLAKE3 in keyed-hash and key-derivation mode, as its paper of 2020 describes
// them). Frames of CBOR follow in both directions: the planner sends changes of
// its view, the forwarder reports of what it observed and requests for a full
// view. Each frame has a MAC over its number and direction, so that none can be
// forged, altered, omitted or replayed.
//
// Package line carries the bytes over a connection.
package link

import "errors"

// ProtocolVersion is the version of the protocol that this package speaks.
const ProtocolVersion = 1

const (
	macBytes     = 16
	nonceBytes   = 16
	maxNameBytes = 64

	// MaxGreetingBytes is the longest greeting.
	MaxGreetingBytes = greetingFixedBytes + maxNameBytes + macBytes
	// MaxFrameBytes is the longest frame in bytes that a forwarder accepts: a full
	// view of some 50,000 hosts.
	MaxFrameBytes = 16 << 20
	// MaxReportBytes is the longest frame in bytes that a planner accepts.
	MaxReportBytes = 1 << 20
)

// Errors of greetings and frames. All end the connection; none can be retried on it.
var (
	ErrMalformed      = errors.New("not the link's form")
	ErrAuthentication = errors.New("the MAC is wrong: another key, or a changed message")
	ErrTooLong        = errors.New("longer than is taken")
)

// ErrKeySize is the error of a key file that does not hold one shared key.
var ErrKeySize = errors.New("a key has 32 bytes, written as 64 hexadecimal digits")
