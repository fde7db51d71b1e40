package transport

import (
	"slices"
	"strconv"

	"ferrypitch/internal/router/protocol"
)

// Severities of an ErrorResponse.
const (
	severityError = "ERROR" // the command failed; the connection stays open
	severityFatal = "FATAL" // the connection is closed
)

// Slot receives the answer to one command. The answers of one connection are written in the order of their commands, in
// whichever order the slots are completed. Only the first answer to a slot is used. Its methods may be called from any goroutine.
type Slot struct {
	client *clientConn

	// Guarded by client.mu.
	reserved int    // bytes of the buffer budget that the command holds
	answer   []byte // nil until done, and again once it is queued for writing
	done     bool   // the answer is complete
}

// Answer answers with the frames that a host sent for the command.
func (s *Slot) Answer(frames []byte) { s.complete(protocol.AppendReadyForQuery(frames)) }

// Reject answers a malformed or unsupported command with an SQLSTATE code. Too many rejected commands in a row end the
// connection.
func (s *Slot) Reject(code, text string) {
	s.client.mu.Lock()
	s.client.rejectedInARow++
	s.client.mu.Unlock()
	s.Fail(code, text)
}

// CommandAccepted records that the client has sent a valid command, which protects its connection from early eviction and
// resets the count of rejected commands.
func (s *Slot) CommandAccepted() {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.client.hasAcceptedCommand, s.client.rejectedInARow = true, 0
}

// Throttle answers with an error after which the client may safely retry the command. retryAfterMs is the suggested retry delay;
// 0 for none.
func (s *Slot) Throttle(retryAfterMs int64) {
	detail := ""
	if retryAfterMs > 0 {
		detail = strconv.FormatInt(retryAfterMs, 10)
	}
	s.complete(protocol.AppendReadyForQuery(protocol.AppendError(nil, severityError, protocol.TooManyConnections, "throttled, try again", detail)))
}

// Fail answers with an SQLSTATE code. It is unknown whether the command was executed.
func (s *Slot) Fail(code, text string) {
	s.complete(protocol.AppendReadyForQuery(protocol.AppendError(nil, severityError, code, text, "")))
}

// AnswerEmptyQuery answers a query without a statement.
func (s *Slot) AnswerEmptyQuery() {
	s.complete(protocol.AppendReadyForQuery(protocol.AppendEmptyQueryResponse(nil)))
}

// complete stores the answer and queues all answers for writing that no earlier command is holding back.
func (s *Slot) complete(answer []byte) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.done || c.closed {
		return
	}
	s.release()
	if !c.reserveAnswer(answer) {
		c.closeLocked() // clients read too slowly: their unwritten answers exhaust the buffer budget
		return
	}
	s.answer, s.done = answer, true
	n := 0
	for n < len(c.pending) && c.pending[n].done {
		c.outgoing = append(c.outgoing, c.pending[n].answer)
		c.pending[n].answer = nil
		n++
	}
	c.pending = slices.Delete(c.pending, 0, n)
	c.changed.Broadcast()
}

// release returns the command's reservation to the buffer budget. client.mu must be held.
func (s *Slot) release() {
	s.client.server.budget.release(s.reserved)
	s.reserved = 0
}
