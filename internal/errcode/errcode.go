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

// Kinds.
const (
	NoTouch      Kind = iota // this router is not known to be up to date
	NoDatabase               // no route has the database
	RouteGone                // the session's route is no more
	NoPlace                  // no host can take it in time
	NotSent                  // a write that went to nobody
	Lapsed                   // the lease under which a transaction began is over
	Replaced                 // the primary was, in the middle of a transaction
	RolledBack               // the transaction's connection is gone
	Doubt                    // a write or COMMIT that was sent has no answer
	DoubtMoved               // its answer came from a primary that was replaced meanwhile
	BadMessage               // not a message of the wire
	BadStatement             // not a statement of the wire
	NoConnect                // the first message is not CONNECT
	TooFarAhead              // too many messages before an answer
	NoTxn                    // the end of a transaction that was not begun
	InTxn                    // a BEGIN within a transaction
	FailedTxn                // a statement in a transaction that has failed
	NoName                   // a prepared name that is not there
	TooMuch                  // more values or names than a session may have
	NoCall                   // over HTTP: no such call
	BadBody                  // over HTTP: a body that can't be read, or is not valid
	LongBody                 // over HTTP: a body that is too long
	OtherBase                // over HTTP: another version is in place
	NotKnown                 // over HTTP: no such thing
	NoLeader                 // over HTTP: no member leads, or whether it was taken is not known
	TooMany                  // over HTTP: as many as are held are here
	Kinds                    // how many there are
)

type row struct {
	name   string
	code   wire.Code
	text   string
	status int
	after  int64 // milliseconds after which to come again, where that is told and nobody says otherwise; 0: not told
}

var table = [Kinds]row{
	NoTouch:      {"no_touch", wire.Retry, "this router is not known to be up to date", 503, 500},
	NoDatabase:   {"no_database", wire.NoDB, "no such database", 404, 0},
	RouteGone:    {"route_gone", wire.NoDB, "no such database any more", 404, 0},
	NoPlace:      {"no_place", wire.Retry, "no host can serve it in time", 503, 200},
	NotSent:      {"not_sent", wire.Retry, "it was not sent", 503, 100},
	Lapsed:       {"lapsed", wire.Aborted, "the primary may have been replaced", 503, 200},
	Replaced:     {"replaced", wire.Aborted, "the primary was replaced", 503, 100},
	RolledBack:   {"rolled_back", wire.Aborted, "the transaction was rolled back", 503, 100},
	Doubt:        {"doubt", wire.InDoubt, "no answer; it may have run", 502, 0},
	DoubtMoved:   {"doubt_moved", wire.InDoubt, "the primary was replaced", 502, 0},
	BadMessage:   {"bad_message", wire.Malformed, "not a message of the wire", 400, 0},
	BadStatement: {"bad_statement", wire.Malformed, "not a statement of the wire", 400, 0},
	NoConnect:    {"no_connect", wire.Malformed, "CONNECT with a database and a word for who comes first", 400, 0},
	TooFarAhead:  {"too_far_ahead", wire.Malformed, "too many messages before an answer", 400, 0},
	NoTxn:        {"no_txn", wire.Malformed, "no transaction is open", 400, 0},
	InTxn:        {"in_txn", wire.Malformed, "a transaction is open", 400, 0},
	FailedTxn:    {"failed_txn", wire.Malformed, "the transaction has failed", 400, 0},
	NoName:       {"no_name", wire.Unknown, "no such name", 404, 0},
	TooMuch:      {"too_much", wire.Overload, "more values or names than a session may have", 413, 0},
	NoCall:       {"no_call", "", "no such call", 404, 0},
	BadBody:      {"bad_body", "", "the body is not valid", 400, 0},
	LongBody:     {"long_body", "", "the body is too long", 413, 0},
	OtherBase:    {"other_base", "", "another version is in place", 412, 0},
	NotKnown:     {"not_known", "", "not known", 404, 0},
	NoLeader:     {"no_leader", "", "no member leads, or whether it was taken is not known", 503, 0},
	TooMany:      {"too_many", "", "as many as are held are here", 429, 0},
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
	if after > 0 && r.code.Promise() {
		return wire.AppendError(b, r.code, r.text+"; "+strconv.FormatInt(after, 10))
	}
	return wire.AppendError(b, r.code, r.text)
}
