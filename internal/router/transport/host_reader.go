package transport

import (
	"errors"
	"io"
	"syscall"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/policy"
)

// maxValueBytes is the maximum length of Answer.Value; load reports are far shorter.
const maxValueBytes = 1024

// Names of the ParameterStatus parameters that hosts send with an answer.
const (
	parameterPosition   = "replay_position"
	parameterRole       = "node_role"
	parameterLoadReport = "server_load"
)

// readAnswers reads answers until the connection ends. It returns at once if an idle connection is closed by the host or receives
// data that belongs to no call.
func (c *hostConn) readAnswers(in *buffer) {
	var parser answerParser
	reader := callReader{conn: c}
	reader.raw, _ = c.conn.(syscall.Conn).SyscallConn()
	for {
		kind, body, n, err := protocol.NextMessage(in.unread(), in.maxSize)
		malformed := err != nil
		if err == nil && n == 0 {
			err = in.readFrom(&reader)
		}
		call := reader.call
		switch {
		case call == nil && len(in.unread()) > 0:
			c.host.pool.UnsolicitedData.Add(1)
			return // it would be mistaken for the next call's answer
		case err != nil && call == nil:
			return
		case err != nil:
			c.endPartialAnswer(call, &parser, malformed)
			return
		case n == 0:
			continue
		}
		if !parser.accept(kind, body, in.unread()[:n]) {
			c.rejectAnswer(call)
			return
		}
		in.consume(n)
		if kind == protocol.ReadyForQuery {
			if !c.completeCall(classify(parser.answer), len(in.unread()) > 0) {
				return
			}
			parser = answerParser{}
		}
	}
}

// endPartialAnswer ends a call whose connection failed before the answer was complete. If CommandComplete or an error was
// received, that still determines the outcome.
func (c *hostConn) endPartialAnswer(call *Call, parser *answerParser, malformed bool) {
	partial := parser.answer
	switch {
	case parser.last == protocol.CommandComplete:
		c.endCall(call, classify(Answer{Outcome: policy.Answered, Frames: partial.Frames, Value: partial.Value}))
	case partial.Code != "" && !malformed:
		c.endCall(call, classify(partial))
	case malformed:
		c.rejectAnswer(call)
	}
}

// rejectAnswer ends a call whose answer violates the protocol. Its command may have been executed.
func (c *hostConn) rejectAnswer(call *Call) {
	c.host.pool.InvalidAnswers.Add(1)
	c.endCall(call, Answer{Outcome: policy.Reset})
}

// answerParser parses the messages of one answer: RowDescription, DataRow and CommandComplete for a single row, or an
// ErrorResponse; then ReadyForQuery. Any other sequence violates the protocol and the whole answer is discarded.
type answerParser struct {
	answer Answer
	last   byte // kind of the last message, parameters and notices aside; 0 for none
}

// accept processes one message; frame is its encoding. It returns false if the message violates the protocol.
func (p *answerParser) accept(kind byte, body, frame []byte) bool {
	switch kind {
	case protocol.RowDescription:
		return p.acceptPart(kind, frame, p.last == 0 && protocol.IsSingleColumn(body))
	case protocol.DataRow:
		value, ok := protocol.SingleValue(body)
		if len(value) <= maxValueBytes {
			p.answer.Value = string(value)
		}
		return p.acceptPart(kind, frame, p.last == protocol.RowDescription && ok)
	case protocol.CommandComplete:
		p.answer.Outcome = policy.Answered
		return p.acceptPart(kind, frame, p.last == protocol.DataRow && protocol.IsCommandTag(body))
	case protocol.ErrorResponse:
		p.answer.Code = protocol.ErrorCode(body)
		ok := p.last != protocol.CommandComplete && p.last != protocol.ErrorResponse && p.answer.Code != ""
		p.last = kind
		return ok
	case protocol.ParameterStatus:
		p.acceptParameter(body)
		return true
	case protocol.NoticeResponse:
		return true
	case protocol.ReadyForQuery:
		return p.last == protocol.CommandComplete || p.last == protocol.ErrorResponse
	}
	return false
}

// acceptPart appends a message that is forwarded to the client, if it is valid at this point.
func (p *answerParser) acceptPart(kind byte, frame []byte, valid bool) bool {
	if valid {
		p.answer.Frames = append(p.answer.Frames, frame...)
		p.last = kind
	}
	return valid
}

func (p *answerParser) acceptParameter(body []byte) {
	switch name, value, _ := protocol.Parameter(body); name {
	case parameterPosition:
		p.answer.Position = value
	case parameterRole:
		p.answer.Role = value
	case parameterLoadReport:
		p.answer.LoadReport = value
	}
}

// callReader reads from a host connection and records which call, if any, had been sent before the read. It reads under the
// connection's lock, so that bytes received before a call was sent are distinguished from its answer.
type callReader struct {
	conn *hostConn
	raw  syscall.RawConn
	call *Call // call that the last read belongs to; nil for none
}

// Read waits until the socket is readable and reads once.
func (r *callReader) Read(b []byte) (n int, err error) {
	waitErr := r.raw.Read(func(fd uintptr) bool {
		c := r.conn
		c.mu.Lock()
		defer c.mu.Unlock()
		if r.call = c.call; r.call != nil && !r.call.sent {
			r.call = nil
		}
		for n, err = syscall.Read(int(fd), b); errors.Is(err, syscall.EINTR); {
			n, err = syscall.Read(int(fd), b)
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
