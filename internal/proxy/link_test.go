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
	"ferrypitch/internal/settings"
)

// A member that stands still takes connections, by its kernel, and never welcomes anybody: a lease that runs is not
// spent on waiting for it.
func TestAMemberThatStandsStillIsLeftSoon(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	port := l.Addr().(*net.TCPAddr).Port
	ctx, end := context.WithCancel(context.Background())
	defer end()
	h := newServer(&settings.Settings{Node: "n", Ip: "127.0.0.1", PortRange: []int{port, port}}, hclog.NewNullLogger(), eventloop.NewSteadyClock(time.Now), 1)
	h.ctx = ctx
	go func() {
		for range h.queue.Ready {
			for h.step() {
			}
		}
	}()
	k := newControlLink(h)
	begun := time.Now()
	require.ErrorIs(t, k.follow("127.0.0.1"), os.ErrDeadlineExceeded)
	require.Less(t, time.Since(begun), 900*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(begun), welcomeTimeout)
}
