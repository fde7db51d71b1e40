package transport

import (
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/policy"
)

// Answer is how a call ended, and what the host sent for it.
type Answer struct {
	Outcome    policy.Outcome
	Frames     []byte        // of a command: row description, row and completion, as they came
	Value      string        // the row's only value, if it is short
	Position   string        // the host's replay position; empty where it sent none
	Role       string        // the host's role; empty where it sent none
	LoadReport string        // empty where the host sent none
	Code       string        // SQLSTATE of an error; empty for none
	ReceivedAt time.Time     // when its last byte was read, or the call ended otherwise
	Elapsed    time.Duration // since the call; the caller of Send sets it
}

// classify sets the outcome that an answer's error code stands for, and the time.
func classify(answer Answer) Answer {
	switch answer.Code {
	case "":
	case protocol.ReadOnlyTransaction, protocol.ReplicaBehind:
		answer.Outcome = policy.Misrouted
	case protocol.TooManyConnections:
		answer.Outcome = policy.Overloaded
	default:
		answer.Outcome = policy.Errored
	}
	answer.ReceivedAt = time.Now()
	return answer
}

// Call is one statement in flight.
type Call struct {
	statement      []byte
	deadline       time.Time // when the router stops waiting
	sendBy         time.Time // when its last byte must be written: later, the decision to send it may no longer hold
	rewriteTimeout bool      // the statement's comment is to name the time that is left
	onAnswer       func(Answer)

	conn *hostConn // nil where there was no descriptor

	// Guarded by conn.mu.
	sent  bool // some bytes, perhaps all, are on their way
	ended bool
}

// Abandon ends a call and closes its connection. It reports how the call ended, or ok false where its answer has come
// and onAnswer was or will be called.
func (call *Call) Abandon() (outcome policy.Outcome, ok bool) {
	c := call.conn
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	if call.ended {
		c.mu.Unlock()
		return 0, false
	}
	call.ended, c.call = true, nil
	outcome = policy.TimedOut
	if !call.sent {
		outcome = policy.Unreachable
	}
	c.mu.Unlock()
	c.close()
	return outcome, true
}
