package control

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/statemachine"
)

// The HTTP API for operators and hosts. Members other than the leader forward all calls except Member.Status to the leader.

// apiCall is an API call, received over HTTP or forwarded by another member.
type apiCall struct {
	method, path string
	baseVersion  string // value of the X-Base-Version header
	body         []byte
}

// Responder receives the response to an API call: an HTTP status and a JSON body. It is called at most once; a caller that
// gets no response within the endpoint's timeout must treat the outcome as unknown.
type Responder func(status int, body []byte)

// endpoint is one method of the API. Each endpoint is declared next to its handler.
type endpoint struct {
	method       string
	path         string // if it ends in "/", the host ID follows
	maxBodyBytes int64
	timeout      time.Duration // until the response, including forwarding
	priority     eventloop.Priority
	handle       func(s *Server, hostID string, call apiCall, respond Responder)
}

var endpoints = []endpoint{configReplace, configAmend, configRead, hostHeartbeat, hostLeave, memberStatus, memberSnapshot}

// findEndpoint returns the endpoint for a method and path, and the host ID contained in the path.
func findEndpoint(method, path string) (target endpoint, hostID string, ok bool) {
	for _, candidate := range endpoints {
		if candidate.method != method {
			continue
		}
		id, found := strings.CutPrefix(path, candidate.path)
		if requiresID := strings.HasSuffix(candidate.path, "/"); found && requiresID == (id != "") {
			return candidate, id, true
		}
	}
	return endpoint{}, "", false
}

// HandleCall processes an API call locally or forwards it to the leader. baseVersion is the value of the X-Base-Version header.
func (s *Server) HandleCall(method, path, baseVersion string, body []byte, respond Responder) {
	s.handleCall(apiCall{method: method, path: path, baseVersion: baseVersion, body: body}, true, respond)
}

// handleCall processes an API call. forwardable is false for a call that was already forwarded once, to prevent forwarding loops.
func (s *Server) handleCall(call apiCall, forwardable bool, respond Responder) {
	target, hostID, ok := findEndpoint(call.method, call.path)
	leader := s.consensus.RecentLeader(s.clock.Now())
	switch {
	case !ok:
		reject(respond, errcode.UnknownEndpoint, nil)
	case int64(len(call.body)) > target.maxBodyBytes:
		reject(respond, errcode.BodyTooLong, nil)
	case s.holdsLease() || target.path == memberStatus.path:
		target.handle(s, hostID, call, respond)
	case forwardable && leader != "" && leader != s.id:
		s.forward(leader, call, target.timeout, respond)
	default:
		reject(respond, errcode.NoLeader, nil)
	}
}

// errorBody is the JSON body of a response whose status is 400 or above.
type errorBody struct {
	Error string `json:"error"`
	Kind  string `json:"kind"`
}

// reject responds with an error. kind is a stable identifier for programs; detail, if not nil, is a specific message for humans
// that replaces the general message of the kind.
func reject(respond Responder, kind errcode.Kind, detail error) {
	text := kind.Message()
	if detail != nil {
		text = detail.Error()
	}
	body, _ := json.Marshal(errorBody{Error: text, Kind: kind.String()}) // strings only: cannot fail
	respond(kind.HTTPStatus(), append(body, '\n'))
}

func respondResult(err error, respond Responder) {
	if err != nil {
		reject(respond, errorKind(err), err)
		return
	}
	respond(http.StatusOK, []byte("{}\n"))
}

// errorKind maps the error of a proposal to its kind. Any error other than a rejection by the state machine means that the
// outcome is unknown, which errcode.NoLeader covers.
func errorKind(err error) errcode.Kind {
	switch {
	case errors.Is(err, statemachine.ErrVersionConflict):
		return errcode.VersionConflict
	case errors.Is(err, statemachine.ErrInvalid):
		return errcode.InvalidBody
	case errors.Is(err, statemachine.ErrNotFound):
		return errcode.NotFound
	}
	return errcode.NoLeader
}
