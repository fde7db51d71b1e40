package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
)

func newProcess(t *testing.T, queueLength int) *process {
	config := &settings.Settings{Node: "m", Ip: "10.0.0.1"}
	config.Listen.Control = "10.0.0.1:8080"
	identity := storage.Identity{ID: "10.0.0.1", Founders: []consensus.ID{"10.0.0.1"}}
	server, err := New(config, hclog.NewNullLogger(), eventloop.NewMonotonicClock(time.Now), identity, consensus.RestoredState{}, func() float64 { return 0 }, 1)
	require.NoError(t, err)
	p := &process{ctx: t.Context(), server: server, queue: eventloop.NewQueue(queueLength)}
	server.SetEnvironment(Environment{Send: func(string, *rpc.Frame) {}, Persist: func(writes []consensus.Write) {
		p.queue.Put(eventloop.PriorityOutcomes, func() { server.Persisted(writes[len(writes)-1].Seq) })
	}})
	return p
}

// The consensus timers must run even if the event queue is never empty.
func TestTicksContinueWhileEventsAreQueued(t *testing.T) {
	p := newProcess(t, 8)
	ctx, cancel := context.WithCancel(t.Context())
	p.ctx = ctx
	var repeat func()
	repeat = func() {
		time.Sleep(time.Millisecond)
		if p.server.holdsLease() {
			cancel()
		}
		p.queue.Put(eventloop.PriorityOutcomes, repeat)
	}
	p.queue.Put(eventloop.PriorityOutcomes, repeat)
	stopped := make(chan struct{})
	go func() {
		p.runEventLoop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("the member did not become leader while events arrived")
	}
}

// When the queue for heartbeats is full, a heartbeat is rejected immediately, and commands are still accepted.
func TestCallsBeyondTheQueueAreRefusedAtOnce(t *testing.T) {
	p := newProcess(t, 1)
	handler := &apiHandler{ctx: t.Context(), server: p.server, queue: p.queue}
	require.True(t, p.queue.TryPut(eventloop.PriorityReports, func() {}))
	response, startedAt := httptest.NewRecorder(), time.Now()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/Instances.Heartbeat/h", strings.NewReader("{}")))
	require.Equal(t, http.StatusServiceUnavailable, response.Code)
	require.NotEmpty(t, response.Header().Get("Retry-After"))
	require.Less(t, time.Since(startedAt), hostCallTimeout/2)
	require.True(t, p.queue.TryPut(eventloop.PriorityCommands, func() {}))
}

// Consensus messages arrive on the same connection as forwarded calls and must not wait until there is room for these.
func TestForwardedCallsBeyondTheQueueDoNotDelayConsensus(t *testing.T) {
	p := newProcess(t, 1)
	done := make(chan struct{})
	go func() {
		for serial := range uint64(3) {
			p.enqueueMemberFrame("10.0.0.2", &rpc.Frame{ForwardRequest: &rpc.ForwardRequest{
				CallID: rpc.CallID{Serial: serial + 1}, Method: http.MethodPost, Path: "/Instances.Heartbeat/h",
			}})
		}
		p.enqueueMemberFrame("10.0.0.2", &rpc.Frame{Consensus: &consensus.Message{From: "10.0.0.2"}})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a forwarded call blocked on a full queue")
	}
	require.Equal(t, 4, p.queue.Len(), "one call, two refusals, one consensus message")
}
