package control

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/statemachine"
)

// newHealthyPartitionCluster returns a cluster without faults, its leader and a follower.
func newHealthyPartitionCluster(t *testing.T) (c *partitionCluster, leader, follower *partitionMember) {
	c = newPartitionCluster(5, 3, 0, 0, noSafeguard)
	c.faultsDisabled = true
	c.RunFor(3000)
	for _, m := range c.members {
		if m.server.leading {
			leader = m
		} else {
			follower = m
		}
	}
	require.NotNil(t, leader)
	return c, leader, follower
}

// A member that no longer receives messages from the leader rejects forwarded calls before their callers time out, and forwards
// no further calls to that leader.
func TestCallForwardedToSilentLeaderIsRejectedSoon(t *testing.T) {
	c, leader, follower := newHealthyPartitionCluster(t)
	leader.partition(20000)
	for _, other := range c.members { // from all others, both ways
		if other != leader {
			leader.blocked[other.ip], other.blocked[leader.ip] = dropFrames, dropFrames
		}
	}
	startedAt, elapsed, status := c.Now, int64(0), 0
	follower.server.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(s int, _ []byte) { elapsed, status = c.Now-startedAt, s })
	c.RunFor(600)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Less(t, elapsed, int64(600))
	status = 0
	follower.server.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(s int, _ []byte) { status = s })
	require.Equal(t, http.StatusServiceUnavailable, status, "a call is forwarded to a leader that is silent for 0.6 s")
	c.RunFor(1400)
	follower.server.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(s int, _ []byte) { status = s })
	c.RunFor(100)
	require.Equal(t, http.StatusOK, status, "the majority has no leader")
}

// A timeout while reading the body must not be reported as an invalid body: this process may have been suspended.
func TestBodyReadTimeoutIsNotAnInvalidBody(t *testing.T) {
	_, _, m := newHealthyPartitionCluster(t)
	for err, want := range map[error]int{os.ErrDeadlineExceeded: http.StatusServiceUnavailable, io.ErrUnexpectedEOF: http.StatusBadRequest} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/Config.Replace", io.MultiReader(&failingReader{err}))
		(&apiHandler{server: m.server}).ServeHTTP(w, r)
		require.Equal(t, want, w.Code, "%v", err)
	}
}

type failingReader struct{ err error }

func (r *failingReader) Read([]byte) (int, error) { return 0, r.err }

// Commands and promotions decided under a lease are not sent after their deadline: the process may have been suspended after the
// decision.
func TestExpiredDecisionsAreNotExecuted(t *testing.T) {
	clientSide, hostSide := net.Pipe()
	written := make(chan int, 1)
	go func() {
		var b [64]byte
		n, _ := hostSide.Read(b[:])
		written <- n
	}()
	_, _, err := newHostClient(context.Background(), "127.0.0.1", alwaysHoldsLease).exchange(&hostConn{socket: clientSide}, statemachine.Host{ID: "h1", Service: "db", Address: "127.0.0.1:1"}, plainCommand(failover.StepDown, "STEPDOWN 7"), time.Now().Add(-time.Second))
	require.Error(t, err)
	hostSide.Close()
	require.Zero(t, <-written, "an expired command is sent")
	calls := 0
	platform := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	defer platform.Close()
	client := &platformClient{localIP: "127.0.0.1", log: hclog.NewNullLogger(), holdsLease: alwaysHoldsLease}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	require.Equal(t, failover.PromotionNotExecuted, client.requestPromotion(ctx, platform.Listener.Addr().String(), failover.Promotion{Service: "db", Host: "h1"}))
	require.Zero(t, calls)
}

// A member that stops while a change waits in the queue of its event loop has not processed it and must not respond with 200.
func TestCallIsNotAcknowledgedByMemberThatEnds(t *testing.T) {
	ctx, end := context.WithCancel(t.Context())
	end()
	handler := &apiHandler{ctx: ctx, server: &Server{}, queue: eventloop.NewQueue(1)}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/Config.Replace", strings.NewReader("{}")))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
}
