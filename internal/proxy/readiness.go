package proxy

import (
	"encoding/json"
	"net/http"
	"time"

	"ferrypitch/internal/eventloop"
)

const (
	readinessPath = "/readiness"

	// statusTimeout is how long an operator's request waits for the event loop.
	statusTimeout = 2 * time.Second
)

// endpoint is a request for operators that the readiness server answers with JSON. handle runs in the event loop.
type endpoint struct {
	method, path string
	handle       func(s *Server) any
}

var endpoints = []endpoint{
	{method: http.MethodGet, path: StatusPath, handle: func(s *Server) any { return s.status() }},
}

// serveReadiness answers the platform's readiness checks with status 200 or 503, and the requests of operators.
func (s *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == readinessPath {
		if !s.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	for _, e := range endpoints {
		if e.method == r.Method && e.path == r.URL.Path {
			s.serveEndpoint(w, e)
			return
		}
	}
	http.NotFound(w, r)
}

func (s *Server) serveEndpoint(w http.ResponseWriter, e endpoint) {
	results := make(chan any, 1)
	s.queue.Put(eventloop.PriorityOutcomes, func() { results <- e.handle(s) })
	select {
	case result := <-results:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result) // fails only if the operator has disconnected
	case <-time.After(statusTimeout):
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
