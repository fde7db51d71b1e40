package control

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/statemachine"
)

const (
	maxConfigBytes        = 4 << 20
	configWriteTimeout    = 4 * time.Second
	configReadTimeout     = time.Second
	maxPendingUpdateBytes = 8 * maxConfigBytes // limits the memory for configurations that are not committed yet
)

var configReplace = endpoint{
	method:       http.MethodPost,
	path:         "/Config.Replace",
	maxBodyBytes: maxConfigBytes,
	timeout:      configWriteTimeout,
	priority:     eventloop.PriorityCommands,
	handle: func(s *Server, _ string, call apiCall, respond Responder) {
		s.updateConfig(call, false, respond)
	},
}

var configAmend = endpoint{
	method:       http.MethodPost,
	path:         "/Config.Amend",
	maxBodyBytes: maxConfigBytes,
	timeout:      configWriteTimeout,
	priority:     eventloop.PriorityCommands,
	handle: func(s *Server, _ string, call apiCall, respond Responder) {
		s.updateConfig(call, true, respond)
	},
}

var configRead = endpoint{
	method:   http.MethodGet,
	path:     "/Config.Read",
	timeout:  configReadTimeout,
	priority: eventloop.PriorityCommands,
	handle:   (*Server).handleConfigRead,
}

func (s *Server) handleConfigRead(_ string, _ apiCall, respond Responder) {
	if len(s.state.ConfigBody) == 0 {
		reject(respond, errcode.NotFound, errors.New("no configuration yet"))
		return
	}
	if !s.verifyConfig() {
		reject(respond, errcode.NoLeader, nil)
		return
	}
	respond(http.StatusOK, s.state.ConfigBody)
}

// pendingUpdates holds the configuration updates that this member has proposed and, for each, the calls that wait for its result:
// an update that a caller retries while it is pending is proposed only once.
type pendingUpdates struct {
	waiting map[statemachine.RequestID][]proposalResult
	bytes   int // total size of the request bodies
}

func (p *pendingUpdates) add(id statemachine.RequestID, bytes int, result proposalResult) {
	if p.waiting == nil {
		p.waiting = map[statemachine.RequestID][]proposalResult{}
	}
	p.waiting[id] = []proposalResult{result}
	p.bytes += bytes
}

func (p *pendingUpdates) complete(id statemachine.RequestID, bytes int, err error) {
	waiting := p.waiting[id]
	delete(p.waiting, id)
	p.bytes -= bytes
	for _, result := range waiting {
		result(err)
	}
}

// updateConfig proposes a configuration update and responds once it is applied. The update is validated here, so that invalid ones
// do not enter the log, and again when it is applied, because another update may be committed first.
func (s *Server) updateConfig(call apiCall, isAmendment bool, respond Responder) {
	base, err := parseBaseVersion(call.baseVersion)
	if err != nil {
		reject(respond, errcode.InvalidBody, err)
		return
	}
	update := &statemachine.ConfigUpdate{BaseVersion: base, IsAmendment: isAmendment, Body: call.body}
	id, result := update.RequestID(), func(err error) { respondResult(err, respond) }
	if waiting, pending := s.pendingUpdates.waiting[id]; pending {
		s.pendingUpdates.waiting[id] = append(waiting, result)
		return
	}
	if !s.verifyConfig() {
		reject(respond, errcode.NoLeader, nil)
		return
	}
	config, err := s.state.CheckConfig(update)
	switch {
	case err != nil || config == nil: // invalid or already applied
		result(err)
		return
	case s.pendingUpdates.bytes+len(call.body) > maxPendingUpdateBytes:
		reject(respond, errcode.TooManyPending, fmt.Errorf("updates of %d bytes are pending", s.pendingUpdates.bytes))
		return
	}
	s.pendingUpdates.add(id, len(call.body), result)
	s.propose(statemachine.Change{UpdateConfig: s.state.MakeDelta(update, config)}, func(err error) {
		if err == nil {
			s.log.Info("configuration changed", "version", config.Generation, "routes", len(config.Routes))
		}
		s.pendingUpdates.complete(id, len(call.body), err)
	})
}

// parseBaseVersion parses the X-Base-Version header, the version that an update is based on. A missing header means 0.
func parseBaseVersion(header string) (int64, error) {
	if header == "" {
		return 0, nil
	}
	version, err := strconv.ParseUint(header, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("invalid X-Base-Version %.40q", header)
	}
	return int64(version), nil
}
