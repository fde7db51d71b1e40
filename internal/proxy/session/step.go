package session

import (
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/wire"
)

// Action is how a statement is handled.
type Action uint8

// Values of Action.
const (
	AnswerLocally      Action = iota // send Step.Reply
	RouteToHost                      // choose a host and a connection to it
	UsePinnedConn                    // use the connection of the session's transaction
	EndLostTransaction               // send Step.Reply; this ended a transaction whose connection was lost
)

// Step describes how a statement is handled in the current state of the session.
type Step struct {
	Action            Action
	Reply             []byte // answer without IDLE, if no host is needed
	MayWrite          bool   // the statement may write, or begins a transaction that may
	BeginsTransaction bool   // the statement is BEGIN
	ReadOnly          bool   // the BEGIN is read-only
	EndsTransaction   bool   // the statement is COMMIT or ABORT
	IsCommit          bool   // the statement is COMMIT
	Text              string // statement text to send to the host
}

func answerLocally(reply []byte) Step { return Step{Action: AnswerLocally, Reply: reply} }

func done() Step { return answerLocally(wire.AppendDone(nil)) }

func reject(kind errcode.Kind) Step { return answerLocally(kind.Append(nil, 0)) }
