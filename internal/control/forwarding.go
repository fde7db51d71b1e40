package control

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/rpc"
)

// Limits for calls that were forwarded to the leader and have no response yet.
const (
	maxForwarded      = 4096
	maxForwardedBytes = 32 << 20 // total size of their bodies
)

// forwarder tracks the calls that this member has forwarded and the requests that other members have forwarded to it. A response
// is accepted once, for exactly one pending call of this incarnation, and only from the member that the call was sent to. A
// request is processed once, only if it comes from a member or seed, and only by the leader of the sender's term.
type forwarder struct {
	incarnation  uint64
	lastSerial   uint64
	pending      map[uint64]forwardedCall // by serial
	pendingBytes int
	received     seenRequests
}

// forwardedCall is a call that was forwarded to another member and has no response yet.
type forwardedCall struct {
	id         rpc.CallID
	to         consensus.ID
	bytes      int
	respond    Responder
	deadlineMs int64
}

func newForwarder(incarnation uint64) forwarder {
	return forwarder{
		incarnation: incarnation,
		pending:     map[uint64]forwardedCall{},
		received:    seenRequests{windows: map[requester]*serialWindow{}},
	}
}

// remove stops tracking a forwarded call.
func (f *forwarder) remove(serial uint64) {
	f.pendingBytes -= f.pending[serial].bytes
	delete(f.pending, serial)
}

// forward sends a call to the leader without retrying it: hosts and operators retry calls themselves.
func (s *Server) forward(leader consensus.ID, call apiCall, timeout time.Duration, respond Responder) {
	f := &s.forwarder
	if len(f.pending) >= maxForwarded || f.pendingBytes+len(call.body) > maxForwardedBytes {
		s.discard(requestOverLimit)
		reject(respond, errcode.NoLeader, nil)
		return
	}
	s.CallsForwarded.Add(1)
	f.lastSerial++
	id := rpc.CallID{From: s.id, Incarnation: f.incarnation, Term: s.consensus.Term(), Serial: f.lastSerial}
	f.pending[id.Serial] = forwardedCall{
		id:         id,
		to:         leader,
		bytes:      len(call.body),
		respond:    respond,
		deadlineMs: s.clock.Now() + timeout.Milliseconds(),
	}
	f.pendingBytes += len(call.body)
	s.send(leader.Address(), &rpc.Frame{ForwardRequest: &rpc.ForwardRequest{
		CallID:      id,
		To:          leader,
		Method:      call.method,
		Path:        call.path,
		BaseVersion: call.baseVersion,
		Body:        call.body,
	}})
}

// expireForwarded rejects the forwarded calls whose deadline has passed or whose recipient is no longer known to be the leader.
func (s *Server) expireForwarded(now int64) {
	for _, serial := range slices.Sorted(maps.Keys(s.forwarder.pending)) {
		call := s.forwarder.pending[serial]
		if now <= call.deadlineMs && call.to == s.consensus.RecentLeader(now) {
			continue
		}
		s.forwarder.remove(serial)
		reject(call.respond, errcode.NoLeader, nil)
	}
}

// handleForwardResponse returns the leader's response to the caller. Responses may be late, duplicated, or from a member that the
// call was not sent to; returning one of these could acknowledge a change that the caller's call did not make.
func (s *Server) handleForwardResponse(from string, response *rpc.ForwardResponse) {
	f := &s.forwarder
	call, pending := f.pending[response.Serial]
	switch {
	case response.From != s.id || response.Incarnation != f.incarnation:
		s.discard(responseOtherIncarnation)
	case response.Serial == 0 || response.Serial > f.lastSerial:
		s.discard(responseUnknownCall)
	case !pending:
		s.discard(responseLate)
	case response.By != call.to || from != call.to.Address() || response.CallID != call.id:
		s.discard(responseOtherMember)
	case response.Status < http.StatusOK || response.Status > maxHTTPStatus:
		s.discard(responseMalformed)
	default:
		f.remove(response.Serial)
		call.respond(response.Status, response.Body)
	}
}

const maxHTTPStatus = 599

// handleForwardRequest processes a call that another member forwarded.
func (s *Server) handleForwardRequest(from string, request *rpc.ForwardRequest) {
	respond := s.forwardResponder(from, request)
	switch {
	case request.From.Address() != from || !s.mayForward(request.From):
		s.discard(requestUnknownSender)
	case request.To != s.id || request.Term != s.consensus.Term():
		s.discard(requestMisdirected)
		reject(respond, errcode.NoLeader, nil) // lets the caller try another member immediately
	case !s.forwarder.received.record(requester{request.From, request.Incarnation}, request.Serial):
		s.discard(requestRepeated)
	default:
		call := apiCall{method: request.Method, path: request.Path, baseVersion: request.BaseVersion, body: request.Body}
		s.handleCall(call, false, respond)
	}
}

// refuseForwardRequest rejects a call because the queue is full, so that the caller can try another member immediately.
func (s *Server) refuseForwardRequest(from string, request *rpc.ForwardRequest) {
	s.discard(requestOverLimit)
	reject(s.forwardResponder(from, request), errcode.NoLeader, nil)
}

// forwardResponder returns a Responder that sends the response to the member that forwarded the call.
func (s *Server) forwardResponder(from string, request *rpc.ForwardRequest) Responder {
	return func(status int, body []byte) {
		s.send(from, &rpc.Frame{ForwardResponse: &rpc.ForwardResponse{CallID: request.CallID, By: s.id, Status: status, Body: body}})
	}
}

// mayForward reports whether a process may forward calls to this member: it must be a member, a learner, or at a seed address.
func (s *Server) mayForward(id consensus.ID) bool {
	return slices.Contains(s.consensus.Members(), id) ||
		slices.Contains(s.consensus.Status(s.clock.Now()).Learners, id) ||
		slices.Contains(s.settings.SeedHosts(), id.Address())
}
