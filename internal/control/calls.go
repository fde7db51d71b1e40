package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
)

// apiCall is one of an operator or a host, here or passed on by another member.
type apiCall struct {
	method, path, base string
	body               []byte
}

// Endpoint is declared beside its handler. Handlers run in the owner's goroutine and answer once.
type Endpoint struct {
	Method, Path string // a path that ends in / is followed by an id
	MaxBodyBytes int64  // bytes of the body
	Timeout      time.Duration
	Handle       func(f *Server, id string, c apiCall, answer func(status int, body []byte))
}

var endpoints = []Endpoint{configReplace, configAmend, configRead, hostHeartbeat, hostLeave, memberStatus}

func findEndpoint(method, path string) (Endpoint, string, bool) {
	for _, c := range endpoints {
		if c.Method != method {
			continue
		}
		if id, ok := strings.CutPrefix(path, c.Path); ok && (id == "") == !strings.HasSuffix(c.Path, "/") {
			return c, id, true
		}
	}
	return Endpoint{}, "", false
}

// serveAPI takes calls over HTTP.
func (f *Server) serveAPI(l net.Listener) error {
	s := &http.Server{Handler: http.HandlerFunc(f.serveHTTP), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 15 * time.Second,
		WriteTimeout: 15 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
	stop := context.AfterFunc(f.ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (f *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	f.Calls.Add(1)
	c, _, ok := findEndpoint(r.Method, r.URL.Path)
	if !ok {
		rejectHTTP(w, errcode.UnknownEndpoint, "")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, c.MaxBodyBytes+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded): // this process may have stood still meanwhile: that is no judgement on the call
		rejectHTTP(w, errcode.NoLeader, "it did not come in time")
		return
	case err != nil:
		rejectHTTP(w, errcode.InvalidBody, "it did not come whole")
		return
	}
	if int64(len(body)) > c.MaxBodyBytes {
		rejectHTTP(w, errcode.BodyTooLong, "over "+strconv.FormatInt(c.MaxBodyBytes, 10)+" bytes")
		return
	}
	type answer struct {
		status int
		body   []byte
	}
	done := make(chan answer, 1)
	in := apiCall{r.Method, r.URL.Path, r.Header.Get("X-Base-Version"), body}
	if !f.queue.Put(eventloop.PriorityCommands, func() {
		f.handle(in, true, func(status int, body []byte) {
			select {
			case done <- answer{status, body}:
			default:
			}
		})
	}) {
		rejectHTTP(w, errcode.NoLeader, "this member ends")
		return
	}
	timer := time.NewTimer(c.Timeout)
	defer timer.Stop()
	select {
	case a := <-done:
		if a.status >= 400 {
			f.CallsRejected.Add(1)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		w.Write(a.body)
	case <-timer.C:
		rejectHTTP(w, errcode.NoLeader, "no clear answer in time")
	case <-f.ctx.Done():
	}
}

// HandleCall answers a call of a host or an operator, here or by the member that leads.
func (f *Server) HandleCall(method, path, base string, body []byte, answer func(status int, body []byte)) {
	f.handle(apiCall{method, path, base, body}, true, answer)
}

// handle answers a call if this member leads, and else passes it on to the one that does, once.
func (f *Server) handle(in apiCall, pass bool, answer func(int, []byte)) {
	c, id, ok := findEndpoint(in.method, in.path)
	leader := f.consensus.RecentLeader(f.clock.Now())
	switch {
	case !ok:
		reject(answer, errcode.UnknownEndpoint, nil)
	case int64(len(in.body)) > c.MaxBodyBytes:
		reject(answer, errcode.BodyTooLong, nil)
	case f.leading && f.consensus.HoldsLease(f.clock.Now()) || c.Path == memberStatus.Path:
		c.Handle(f, id, in, answer)
	case pass && leader != "" && leader != f.id:
		f.forward(leader, in, c.Timeout.Milliseconds(), answer)
	default:
		reject(answer, errcode.NoLeader, nil)
	}
}

// reject answers by a kind, with more on it.
func reject(answer func(int, []byte), kind errcode.Kind, more error) {
	text := kind.Text()
	if more != nil {
		text = more.Error()
	}
	b, _ := json.Marshal(map[string]string{"kind": kind.String(), "error": text})
	answer(kind.Status(), append(b, '\n'))
}

func rejectHTTP(w http.ResponseWriter, kind errcode.Kind, more string) {
	var why error
	if more != "" {
		why = errors.New(kind.Text() + ": " + more)
	}
	reject(func(status int, b []byte) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		w.Write(b)
	}, kind, why)
}

// apiAddress is where a member takes calls: all have alike ports.
func (f *Server) apiAddress(ip string) string {
	_, port, _ := net.SplitHostPort(f.settings.Listen.Control)
	return net.JoinHostPort(ip, port)
}

// errorKind is why a change was not made.
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

// Status is what a member shows of itself, whether it leads or not.
type Status struct {
	Consensus        consensus.Status
	Version          int64
	Hosts            int
	Proxies          int // that hold leases, where it leads
	Primaries        map[string]statemachine.Primary
	Transitions      map[string]failover.Transition // where it leads
	UnaccountedHosts []statemachine.Host            // that left, and whose logs are not known to be elsewhere
	MissingHosts     []string                       // hosts that fail-over need not ask
	Counters         map[string]int64
}

var memberStatus = Endpoint{Method: http.MethodGet, Path: "/Member.Status", MaxBodyBytes: 0, Timeout: time.Second,
	Handle: func(f *Server, _ string, _ apiCall, answer func(int, []byte)) {
		now := f.clock.Now()
		s := Status{Consensus: f.consensus.Status(now), Version: f.state.Generation, Hosts: len(f.state.Hosts), Primaries: f.state.Primaries, Counters: f.counters()}
		if f.leading {
			s.Proxies, s.Transitions = f.grantor.HolderCount(now), f.coordinator.Transitions(f.state, now)
		}
		for _, id := range slices.Sorted(maps.Keys(f.state.UnaccountedHosts)) {
			s.UnaccountedHosts = append(s.UnaccountedHosts, f.state.UnaccountedHosts[id])
		}
		for _, id := range slices.Sorted(maps.Keys(f.state.Hosts)) {
			if f.state.Hosts[id].Missing {
				s.MissingHosts = append(s.MissingHosts, id)
			}
		}
		b, _ := json.Marshal(s)
		answer(http.StatusOK, append(b, '\n'))
	}}
