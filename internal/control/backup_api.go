package control

import (
	"encoding/json"
	"net/http"
	"time"

	"ferrypitch/internal/control/backup"
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
)

// backupTimeout allows for a response of several MB that another member may have to forward.
const backupTimeout = 10 * time.Second

var memberSnapshot = endpoint{
	method:   http.MethodGet,
	path:     backup.Path,
	timeout:  backupTimeout,
	priority: eventloop.PriorityCommands,
	handle:   (*Server).handleSnapshot,
}

// handleSnapshot responds with the state at the current index. Only the leader serves it, under its lease, so that the snapshot
// contains everything that was acknowledged before the call was received.
func (s *Server) handleSnapshot(_ string, _ apiCall, respond Responder) {
	if !s.verifyConfig() || s.state.Index == 0 {
		reject(respond, errcode.NoLeader, nil)
		return
	}
	snapshot := backup.New(s.state, s.consensus.Term(), s.consensus.Members())
	body, err := json.Marshal(snapshot)
	if err != nil {
		reject(respond, errcode.NoLeader, err)
		return
	}
	respond(http.StatusOK, append(body, '\n'))
}
