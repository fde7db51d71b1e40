// Package errcode is the closed list of what can go wrong for a
// caller, with a table from each kind to its answer: the code and text on the wire, the status over HTTP, and when to
// come back where nothing was kept.
//
//	Kind -> Append (the wire's ERROR line) | Status (HTTP)
//
// Pure.
package errcode

import (
	"strconv"

	"ferrypitch/internal/wire"
)

// Kind is one thing that can go wrong. The list is closed: what is not here is no answer of ours.
type Kind uint8

// KindCount.
const (
	NoValidLease           Kind = iota // this router is not known to be up to date
	UnknownDatabase                    // no route has the database
	RouteRemoved                       // the session's route is no more
	NoHostAvailable                    // no host can take it in time
	WriteNotSent                       // a write that went to nobody
	LeaseExpired                       // the lease under which a transaction began is over
	PrimaryReplaced                    // the primary was, in the middle of a transaction
	RolledBack                         // the transaction's connection is gone
	InDoubt                            // a write or COMMIT that was sent has no answer
	InDoubtPrimaryReplaced             // its answer came from a primary that was replaced meanwhile
	BadMessage                         // not a message of the wire
	BadStatement                       // not a statement of the wire
	ConnectExpected                    // the first message is not CONNECT
	PipelineTooDeep                    // too many messages before an answer
	NoTransaction                      // the end of a transaction that was not begun
	AlreadyInTransaction               // a BEGIN within a transaction
	FailedTransaction                  // a statement in a transaction that has failed
	UnknownPreparedName                // a prepared name that is not there
	SessionTooLarge                    // more values or names than a session may have
	UnknownEndpoint                    // over HTTP: no such call
	InvalidBody                        // over HTTP: a body that can't be read, or is not valid
	BodyTooLong                        // over HTTP: a body that is too long
	VersionConflict                    // over HTTP: another version is in place
	NotFound                           // over HTTP: no such thing
	NoLeader                           // over HTTP: no member leads, or whether it was taken is not known
	TooManyPending                     // over HTTP: as many as are held are here
	KindCount                          // how many there are
)

type row struct {
	name   string
	code   wire.Code
	text   string
	status int
	after  int64 // milliseconds after which to come again, where that is told and nobody says otherwise; 0: not told
}

var table = [KindCount]row{
	NoValidLease:           {"no_touch", wire.CodeRetry, "this router is not known to be up to date", 503, 500},
	UnknownDatabase:        {"no_database", wire.CodeNoDB, "no such database", 404, 0},
	RouteRemoved:           {"route_gone", wire.CodeNoDB, "no such database any more", 404, 0},
	NoHostAvailable:        {"no_place", wire.CodeRetry, "no host can serve it in time", 503, 200},
	WriteNotSent:           {"not_sent", wire.CodeRetry, "it was not sent", 503, 100},
	LeaseExpired:           {"lapsed", wire.CodeAborted, "the primary may have been replaced", 503, 200},
	PrimaryReplaced:        {"replaced", wire.CodeAborted, "the primary was replaced", 503, 100},
	RolledBack:             {"rolled_back", wire.CodeAborted, "the transaction was rolled back", 503, 100},
	InDoubt:                {"doubt", wire.CodeInDoubt, "no answer; it may have run", 502, 0},
	InDoubtPrimaryReplaced: {"doubt_moved", wire.CodeInDoubt, "the primary was replaced", 502, 0},
	BadMessage:             {"bad_message", wire.CodeMalformed, "not a message of the wire", 400, 0},
	BadStatement:           {"bad_statement", wire.CodeMalformed, "not a statement of the wire", 400, 0},
	ConnectExpected:        {"no_connect", wire.CodeMalformed, "CONNECT with a database and a word for who comes first", 400, 0},
	PipelineTooDeep:        {"too_far_ahead", wire.CodeMalformed, "too many messages before an answer", 400, 0},
	NoTransaction:          {"no_txn", wire.CodeMalformed, "no transaction is open", 400, 0},
	AlreadyInTransaction:   {"in_txn", wire.CodeMalformed, "a transaction is open", 400, 0},
	FailedTransaction:      {"failed_txn", wire.CodeMalformed, "the transaction has failed", 400, 0},
	UnknownPreparedName:    {"no_name", wire.CodeUnknown, "no such name", 404, 0},
	SessionTooLarge:        {"too_much", wire.CodeOverload, "more values or names than a session may have", 413, 0},
	UnknownEndpoint:        {"no_call", "", "no such call", 404, 0},
	InvalidBody:            {"bad_body", "", "the body is not valid", 400, 0},
	BodyTooLong:            {"long_body", "", "the body is too long", 413, 0},
	VersionConflict:        {"other_base", "", "another version is in place", 412, 0},
	NotFound:               {"not_known", "", "not known", 404, 0},
	NoLeader:               {"no_leader", "", "no member leads, or whether it was taken is not known", 503, 0},
	TooManyPending:         {"too_many", "", "as many as are held are here", 429, 0},
}

// String is a kind's name in counters and docs.
func (k Kind) String() string { return table[k].name }

// Code is its code on the wire; empty for those that are told over HTTP only.
func (k Kind) Code() wire.Code { return table[k].code }

// Status is its status over HTTP.
func (k Kind) Status() int { return table[k].status }

// Text is what it says.
func (k Kind) Text() string { return table[k].text }

// Append appends the wire's line. after is when to come again, in milliseconds; 0: as the table says.
func (k Kind) Append(b []byte, after int64) []byte {
	r := table[k]
	if after == 0 {
		after = r.after
	}
	if after > 0 && r.code.NothingKept() {
		return wire.AppendError(b, r.code, r.text+"; "+strconv.FormatInt(after, 10))
	}
	return wire.AppendError(b, r.code, r.text)
}
