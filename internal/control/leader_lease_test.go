package control

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/statemachine"
)

// HoldsLeaseInTerm returns true from the start of leadership until the lease ends, and no longer, even if the event loop is
// suspended.
func TestHoldsLeaseInTermEndsWithTheLease(t *testing.T) {
	c, leader, follower := newHealthyPartitionCluster(t)
	term := leader.server.consensus.Term()
	require.True(t, leader.server.HoldsLeaseInTerm(term))
	require.False(t, leader.server.HoldsLeaseInTerm(term-1))
	require.False(t, follower.server.HoldsLeaseInTerm(term))
	leader.Suspend()
	c.RunFor(700)
	require.False(t, leader.server.HoldsLeaseInTerm(term), "its event loop is suspended and its lease has expired")
}

// Commands that change a host are not sent, on an idle or a new connection, if the lease is lost between the decision and the
// write. STAT may be sent by any member.
func TestCommandsAreNotSentOnceTheLeaseIsOver(t *testing.T) {
	for _, command := range []failover.Command{failover.Stat, failover.Pause, failover.Resume, failover.StepDown} {
		var sent []string
		newSocket := func() *scriptedSocket {
			return &scriptedSocket{sentCommands: &sent, writableBytes: -1, readable: idleLine, queuedResponse: statusResponse}
		}
		idle := newSocket()
		idle.readable = ""
		for _, kept := range []*hostConn{{socket: idle}, nil} {
			client := &hostClient{
				dial:       func(string, time.Duration) (net.Conn, error) { return newSocket(), nil },
				holdsLease: func(uint64) bool { return false },
				idle:       map[string]*hostConn{},
			}
			if kept != nil {
				client.idle["h1"] = kept
			}
			query := failover.HostQuery{Service: "db", Host: "h1", Command: command, Term: 4, LeaderTerm: 2, Serial: 1}
			result := client.query(query, statemachine.Host{ID: "h1", Service: "db", Address: "h1:1"}, time.Now().Add(time.Minute))
			require.Equal(t, command != failover.Stat, result.TimedOut, "%s", command.Text())
		}
		if command == failover.Stat {
			require.Len(t, sent, 2)
		} else {
			require.Empty(t, sent, "%s", command.Text())
		}
	}
}

// A promotion request is sent while the lease is held. Once the lease is lost, it is not sent and its outcome is "not executed",
// so that it may be requested again.
func TestPromotionIsNotSentOnceTheLeaseIsOver(t *testing.T) {
	calls := 0
	platform := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		calls++
	}))
	defer platform.Close()
	for _, held := range []bool{false, true} {
		client := &platformClient{localIP: "127.0.0.1", log: hclog.NewNullLogger(), holdsLease: func(term uint64) bool { return held && term == 7 }}
		outcome := client.requestPromotion(context.Background(), platform.Listener.Addr().String(),
			failover.Promotion{Service: "db", Host: "h1", LeaderTerm: 7})
		if held {
			require.Equal(t, failover.PromotionSucceeded, outcome)
			require.Equal(t, 1, calls)
		} else {
			require.Equal(t, failover.PromotionNotExecuted, outcome)
			require.Zero(t, calls)
		}
	}
}
