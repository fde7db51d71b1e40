package database

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// promotionDelay is the time from the platform's acceptance of a promotion request to the promotion.
const promotionDelay = 150 * Millisecond

// promotionRequest is the body of POST /promotion.
type promotionRequest struct {
	Service string
	ID      string `json:"Id"` // id of the host to promote
}

// handlePromotion is the platform's HTTP endpoint. It accepts a promotion request at once and carries it out later.
func (s *Server) handlePromotion(w http.ResponseWriter, r *http.Request) {
	var request promotionRequest
	if r.URL.Path != "/promotion" || json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.scheduler.Lock()
	defer s.scheduler.Unlock()
	host := s.Host(request.ID)
	if host == nil || !host.Up {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.After(promotionDelay, func() {
		host.Promote()
		s.Promotions++
	})
}

// heartbeatTimeout limits each call to a member of the control plane.
const heartbeatTimeout = time.Second

// heartbeatRequest is the body of a heartbeat call in the JSON format of the control plane.
type heartbeatRequest struct {
	Service    string
	Address    string
	Zone       string
	Generation string
	Capacity   float64
	State      string
	ColdLeftMs float64
	DBRole     string `json:"DbRole"`
	CallSeq    int64
}

// postHeartbeat sends a host's heartbeat to the control plane in the background. The caller holds the scheduler's lock.
func (s *Server) postHeartbeat(host *Host) {
	s.callSeq++
	body, err := json.Marshal(heartbeatRequest{
		Service:    s.config.Service,
		Address:    s.addresses[host.ID],
		Zone:       "z",
		Generation: "v1",
		Capacity:   8,
		State:      stateName(host),
		DBRole:     roleName(host.IsPrimary),
		CallSeq:    s.callSeq,
	})
	if err != nil {
		panic(err) // strings and finite numbers can always be encoded as JSON
	}
	path := "/Instances.Heartbeat/" + host.ID
	s.tasks.Go(func() { s.callControlPlane(path, body) })
}

// stateName returns the name of a host's state in heartbeats.
func stateName(host *Host) string {
	if host.Draining {
		return "draining"
	}
	return "serving"
}

// callControlPlane sends a call to the members in turn until one accepts it. A lost heartbeat is not retried, since the next one
// replaces it.
func (s *Server) callControlPlane(path string, body []byte) {
	client := http.Client{Timeout: heartbeatTimeout}
	for _, member := range s.config.ControlPlane {
		if postAccepted(s.ctx, &client, "http://"+member+path, body) {
			return
		}
	}
}

// postAccepted sends a POST request and reports whether the response had a success status.
func postAccepted(ctx context.Context, client *http.Client, url string, body []byte) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}
