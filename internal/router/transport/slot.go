package transport

import (
	"slices"
	"strconv"

	"ferrypitch/internal/router/protocol"
)

// Severities of an ErrorResponse.
const (
	severityError = "ERROR" // the command failed, the connection stays
	severityFatal = "FATAL" // the connection ends
)

// Slot takes the answer to one command. Answers of one connection are written in the order of their commands, whenever
// they come. Only the first answer to a slot counts. Its methods may be called from any goroutine.
type Slot struct {
	client   *clientConn
	reserved int // bytes of the buffer budget that the command holds; guarded by client.mu, as all below
	answer   []byte
	done     bool
}

// Answer answers with the frames that a host sent for the command.
func (s *Slot) Answer(frames []byte) { s.complete(protocol.AppendReady(frames)) }

// Reject answers a command that is not served here, with an SQLSTATE code. Too many of them in a row end the connection.
func (s *Slot) Reject(code, text string) {
	s.client.mu.Lock()
	s.client.rejectedInARow++
	s.client.mu.Unlock()
	s.Fail(code, text)
}

// CommandAccepted notes that the client sends commands that are served here.
func (s *Slot) CommandAccepted() {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.client.proven, s.client.rejectedInARow = true, 0
}

// Throttle tells the client that it may safely retry the command, after so many milliseconds; 0 for no time.
func (s *Slot) Throttle(retryAfterMs int64) {
	detail := ""
	if retryAfterMs > 0 {
		detail = strconv.FormatInt(retryAfterMs, 10)
	}
	s.complete(protocol.AppendReady(protocol.AppendError(nil, severityError, protocol.TooManyConnections, "throttled, try again", detail)))
}

// Fail answers with an SQLSTATE code. The command may or may not have had its effect.
func (s *Slot) Fail(code, text string) {
	s.complete(protocol.AppendReady(protocol.AppendError(nil, severityError, code, text, "")))
}

// AnswerEmptyQuery answers a query without a statement.
func (s *Slot) AnswerEmptyQuery() {
	s.complete(protocol.AppendReady(protocol.AppendEmptyQueryResponse(nil)))
}

// complete has an answer written as soon as those before it are.
func (s *Slot) complete(answer []byte) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.done || c.closed {
		return
	}
	s.release()
	if !c.reserveAnswer(answer) {
		c.closeLocked() // clients read too slowly for the buffer budget
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

// release returns what the command holds of the buffer budget; client.mu is held.
func (s *Slot) release() {
	s.client.server.budget.release(s.reserved)
	s.reserved = 0
}
