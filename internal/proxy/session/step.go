package session

import (
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/wire"
)

// Action is what a statement needs.
type Action uint8

// The actions.
const (
	AnswerLocally      Action = iota // send Step.Reply
	RouteToHost                      // choose a host, and take a connection to it
	UsePinnedConn                    // use the connection of the session's transaction
	EndLostTransaction               // send Step.Reply: it ends a transaction whose connection was lost
)

// Step is what a statement needs, as the session stands.
type Step struct {
	Action            Action
	Reply             []byte // if no host is needed; without IDLE
	MayWrite          bool   // it may write, or begins a transaction that may
	BeginsTransaction bool   // it begins a transaction
	ReadOnly          bool   // the transaction that it begins is read-only
	EndsTransaction   bool   // it is COMMIT or ABORT
	IsCommit          bool   // it is COMMIT
	Text              string // as sent to a host
}

func answerLocally(reply []byte) Step { return Step{Action: AnswerLocally, Reply: reply} }

func done() Step { return answerLocally(wire.AppendDone(nil)) }

func reject(kind errcode.Kind) Step { return answerLocally(kind.Append(nil, 0)) }
