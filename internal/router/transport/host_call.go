package transport

import (
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/policy"
)

// Answer is the outcome of a call and what the host sent in response.
type Answer struct {
	Outcome    policy.Outcome
	Frames     []byte        // messages of a command's answer, as received: row description, row and completion
	Value      string        // the row's only value; empty if longer than maxValueBytes
	Position   string        // the host's replay position; empty for none
	Role       string        // the host's role; empty for none
	LoadReport string        // the host's load report; empty for none
	Code       string        // SQLSTATE of an error; empty for none
	ReceivedAt time.Time     // when the last byte was read or the call ended without an answer
	Elapsed    time.Duration // since the start of the call; set by the caller of Send
}

// classify sets the outcome according to the answer's error code, and the time of receipt.
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
	deadline       time.Time // when the router stops waiting for an answer
	sendBy         time.Time // latest time to send the statement; later, the routing decision may be outdated
	rewriteTimeout bool      // the timeout in the statement's comment is replaced by the remaining time
	onAnswer       func(Answer)

	conn *hostConn // nil if no file descriptor was available

	// Guarded by conn.mu.
	sent  bool // some or all bytes may have reached the host
	ended bool
}

// Abandon ends a call, closes its connection and returns the outcome. ok is false if the call has already ended, in which case
// onAnswer was or will be called.
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
