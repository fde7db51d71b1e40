package control

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
)

// newHealthyPartitionCluster is a calm world whose members agree, with the one that leads and one that follows.
func newHealthyPartitionCluster(t *testing.T) (w *partitionCluster, leader, follower *partitionMember) {
	w = newPartitionCluster(5, 3, 0, 0, noSafeguard)
	w.calm = true
	w.RunFor(3000)
	for _, m := range w.members {
		if m.server.leading {
			leader = m
		} else {
			follower = m
		}
	}
	require.NotNil(t, leader)
	return w, leader, follower
}

// A member that passes calls on and hears no more of the one that leads says so while its callers still wait, and
// passes nothing on to it from then on.
func TestCallForwardedToSilentLeaderIsRejectedSoon(t *testing.T) {
	w, leader, follower := newHealthyPartitionCluster(t)
	leader.partition(20000)
	for _, o := range w.members { // whole
		if o != leader {
			leader.blocked[o.ip], o.blocked[leader.ip] = dropFrames, dropFrames
		}
	}
	begun, took, status := w.Now, int64(0), 0
	follower.server.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(s int, _ []byte) { took, status = w.Now-begun, s })
	w.RunFor(600)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Less(t, took, int64(600))
	status = 0
	follower.server.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(s int, _ []byte) { status = s })
	require.Equal(t, http.StatusServiceUnavailable, status, "the leader is silent for 0.6 s, and the call is passed on to it")
	w.RunFor(1400)
	follower.server.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(s int, _ []byte) { status = s })
	w.RunFor(100)
	require.Equal(t, http.StatusOK, status, "orders go on at the side of the majority")
}

// A call whose body this process was too late to read is no bad one: it may have stood still meanwhile.
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

func (l *failingReader) Read([]byte) (int, error) { return 0, l.err }

// What was decided under a lease is not begun long after: a process may stand still between the two.
func TestExpiredDecisionsAreNotExecuted(t *testing.T) {
	mine, hosts := net.Pipe()
	written := make(chan int, 1)
	go func() {
		var b [64]byte
		n, _ := hosts.Read(b[:])
		written <- n
	}()
	_, _, err := newHostClient(context.Background(), "127.0.0.1").exchange(&hostConn{socket: mine}, statemachine.Host{ID: "h1", Service: "db", Address: "127.0.0.1:1"}, failover.StepDown, "STEPDOWN 7", time.Now().Add(-time.Second))
	require.Error(t, err)
	hosts.Close()
	require.Zero(t, <-written, "a host is told to step down by a decision that is over")
	calls := 0
	platform := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	defer platform.Close()
	client := &platformClient{localIP: "127.0.0.1", log: hclog.NewNullLogger()}
	ctx, end := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer end()
	require.Equal(t, failover.PromotionNotExecuted, client.requestPromotion(ctx, platform.Listener.Addr().String(), failover.Promotion{Service: "db", Host: "h1"}))
	require.Zero(t, calls)
}
