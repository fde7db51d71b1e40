package transport

import (
	"errors"
	"io"
	"syscall"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/policy"
)

// maxValueBytes limits the value that Answer.Value holds; load reports are far shorter.
const maxValueBytes = 1024

// Names of the parameters that hosts report beside an answer.
const (
	parameterPosition   = "replay_position"
	parameterRole       = "node_role"
	parameterLoadReport = "server_load"
)

// readAnswers reads answers until the connection ends, and notices at once when an idle connection closes or brings data
// that belongs to no call.
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
			return // it would be taken for the next call's answer
		case err != nil && call == nil:
			return
		case err != nil:
			c.endBrokenOff(call, &parser, malformed)
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

// endBrokenOff ends a call when the connection fails before the answer is complete. A row's completion, or an error,
// still determines the outcome.
func (c *hostConn) endBrokenOff(call *Call, parser *answerParser, malformed bool) {
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

// rejectAnswer ends a call whose answer violates the protocol. Its command may have run.
func (c *hostConn) rejectAnswer(call *Call) {
	c.host.pool.InvalidAnswers.Add(1)
	c.endCall(call, Answer{Outcome: policy.Reset})
}

// answerParser takes in the messages of one answer: one row's description, the row and its completion, or an error; then
// ReadyForQuery. Anything else violates the protocol, and then nothing of the answer is used.
type answerParser struct {
	answer Answer
	last   byte // the kind of the last message that is a part of the answer itself; 0 for none
}

// accept takes in one message, whose encoding is frame. It returns false if the message does not belong here.
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

// acceptPart appends a message that the client is sent, if it is valid here.
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

// callReader reads a host connection and records which call, if any, had been sent when the bytes came. It reads under the
// connection's lock, so that bytes from before a call was sent are known from those after.
type callReader struct {
	conn *hostConn
	raw  syscall.RawConn
	call *Call // that the last read belongs to; nil for none
}

// Read reads once, when the socket is readable.
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
