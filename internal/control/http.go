package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
)

// Limits of the HTTP server.
const (
	httpHeaderTimeout  = 5 * time.Second
	httpRequestTimeout = 15 * time.Second // for reading the whole request, and again for writing the response
	httpIdleTimeout    = 30 * time.Second
	httpMaxHeaderBytes = 16 << 10
)

// retryAfterSeconds is the value of the Retry-After header for responses with status 429 or 503.
const retryAfterSeconds = "1"

// serveHTTP serves the API on a listener until the context is canceled.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: httpHeaderTimeout,
		ReadTimeout:       httpRequestTimeout,
		WriteTimeout:      httpRequestTimeout,
		IdleTimeout:       httpIdleTimeout,
		MaxHeaderBytes:    httpMaxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// apiHandler passes HTTP requests to the Server's goroutine and waits for the responses.
type apiHandler struct {
	ctx    context.Context // of the process
	server *Server
	queue  *eventloop.Queue
}

type apiResponse struct {
	status int
	body   []byte
}

// ServeHTTP implements http.Handler.
func (h *apiHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.server.Calls.Add(1)
	target, _, ok := findEndpoint(r.Method, r.URL.Path)
	if !ok {
		writeError(w, errcode.UnknownEndpoint, "")
		return
	}
	body, ok := readBody(w, r, target.maxBodyBytes)
	if !ok {
		return
	}
	call := apiCall{method: r.Method, path: r.URL.Path, baseVersion: r.Header.Get("X-Base-Version"), body: body}
	response := make(chan apiResponse, 1)
	deadline := time.Now().Add(target.timeout)
	queued := h.queue.TryPut(target.priority, func() {
		if time.Now().After(deadline) {
			h.server.CallsExpired.Add(1) // the caller has already received a timeout
			return
		}
		h.server.handleCall(call, true, func(status int, body []byte) {
			select {
			case response <- apiResponse{status, body}:
			default: // a duplicate response must not block the Server
			}
		})
	})
	if !queued {
		h.server.CallsRejected.Add(1)
		writeError(w, errcode.NoLeader, "the request queue of this member is full or closed")
		return
	}
	timeout := time.NewTimer(target.timeout)
	defer timeout.Stop()
	select {
	case result := <-response:
		if result.status >= http.StatusBadRequest {
			h.server.CallsRejected.Add(1)
		}
		writeJSON(w, result.status, result.body)
	case <-timeout.C:
		writeError(w, errcode.NoLeader, "no response in time; the outcome is unknown")
	case <-h.ctx.Done():
		writeError(w, errcode.NoLeader, "this member is shutting down; the outcome is unknown")
	}
}

// readBody reads the body of a request. If it returns false, it has already responded with an error.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) (body []byte, ok bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded): // this process may have been suspended, so the request may be valid
		writeError(w, errcode.NoLeader, "the body did not arrive in time")
	case err != nil:
		writeError(w, errcode.InvalidBody, "the body is incomplete")
	case int64(len(body)) > maxBytes:
		writeError(w, errcode.BodyTooLong, fmt.Sprintf("over %d bytes", maxBytes))
	default:
		return body, true
	}
	return nil, false
}

// writeError writes an error response. detail, if not empty, is appended to the message of the kind.
func writeError(w http.ResponseWriter, kind errcode.Kind, detail string) {
	var text error
	if detail != "" {
		text = errors.New(kind.Message() + ": " + detail)
	}
	reject(func(status int, body []byte) { writeJSON(w, status, body) }, kind, text)
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	w.Write(body)
}
