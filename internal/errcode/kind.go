package errcode

import (
	"strconv"

	"ferrypitch/internal/wire"
)

// Kind is one kind of error.
type Kind uint8

// The kinds. Those from UnknownEndpoint on are sent over HTTP only.
const (
	NoValidLease           Kind = iota // the proxy holds no valid lease, so its configuration and primaries may be outdated
	UnknownDatabase                    // no route serves the database
	RouteRemoved                       // the route of the session was removed
	UnknownKey                         // the client's key belongs to no tenant
	KeyRevoked                         // the key of the session was revoked
	QuotaExceeded                      // the tenant is at its limit of operations
	NoHostAvailable                    // no host can execute the statement in time
	WriteNotSent                       // the statement was not sent to any host
	LeaseExpired                       // the lease under which the transaction began has expired
	PrimaryReplaced                    // the primary was replaced during the transaction
	RolledBack                         // the transaction was rolled back, because its connection was lost or the proxy stops
	InDoubt                            // a write or COMMIT was sent and got no response
	InDoubtPrimaryReplaced             // a write or COMMIT was answered by a primary that had already been replaced
	BadMessage                         // not a message of the protocol
	BadStatement                       // not a statement of the protocol
	ConnectExpected                    // the first message is not CONNECT
	PipelineTooDeep                    // the client sent too many messages without waiting for responses
	NoTransaction                      // COMMIT or ABORT outside a transaction
	AlreadyInTransaction               // BEGIN inside a transaction
	FailedTransaction                  // a statement inside a transaction that has failed
	UnknownPreparedName                // no prepared statement has that name
	SessionTooLarge                    // more variables or prepared statements than a session may have
	UnknownEndpoint                    // no such endpoint
	InvalidBody                        // the body is unreadable or invalid
	BodyTooLong                        // the body is over its limit
	VersionConflict                    // the configuration has another version than the change is based on
	NotFound                           // the named object does not exist
	NoLeader                           // there is no leader, or it is unknown whether the change was committed
	TooManyPending                     // the limit of pending calls is reached
	KindCount                          // number of kinds
)

// String returns the name of the kind, as used in counters, HTTP responses and the operators' documentation.
func (k Kind) String() string { return answers[k].name }

// Code returns the code of the protocol's ERROR line. It is empty for kinds that are sent over HTTP only.
func (k Kind) Code() wire.Code { return answers[k].code }

// HTTPStatus returns the HTTP status code.
func (k Kind) HTTPStatus() int { return answers[k].httpStatus }

// Message returns the message for the caller.
func (k Kind) Message() string { return answers[k].message }

// Append appends the protocol's ERROR line. If the code guarantees that the attempt had no effect, the message ends with the delay
// before a retry in milliseconds: retryAfterMs, or the kind's default if that is 0.
func (k Kind) Append(buffer []byte, retryAfterMs int64) []byte {
	answer := answers[k]
	if retryAfterMs == 0 {
		retryAfterMs = answer.retryAfterMs
	}
	message := answer.message
	if retryAfterMs > 0 && answer.code.NothingKept() {
		message += "; " + strconv.FormatInt(retryAfterMs, 10)
	}
	return wire.AppendError(buffer, answer.code, message)
}
