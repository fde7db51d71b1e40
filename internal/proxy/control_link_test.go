package proxy

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/settings"
)

// The kernel accepts connections for a member that is suspended, but no welcome ever arrives. The proxy must disconnect after
// welcomeTimeout, before its lease expires.
func TestSilentMemberIsLeftAfterWelcomeTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	port := listener.Addr().(*net.TCPAddr).Port
	cfg := &settings.Settings{Node: "n", Ip: "127.0.0.1", PortRange: []int{port, port}}
	server := newServer(cfg, hclog.NewNullLogger(), eventloop.NewMonotonicClock(time.Now), 1, tenancy.Secret{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server.ctx = ctx
	go func() {
		for range server.queue.Ready {
			for server.step() {
			}
		}
	}()
	began := time.Now()
	require.ErrorIs(t, newControlLink(server).follow("127.0.0.1"), os.ErrDeadlineExceeded)
	require.Less(t, time.Since(began), 900*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(began), welcomeTimeout)
}
