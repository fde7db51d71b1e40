package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// meshPeer accepts connections at one address. Stopping and starting it simulates a restart of the peer process.
type meshPeer struct {
	t        *testing.T
	address  string
	received chan uint64 // serials of the frames
	stop     context.CancelFunc
	wait     func()
}

func (p *meshPeer) start() {
	ctx, cancel := context.WithCancel(p.t.Context())
	wait, err := Listen(ctx, p.address, func(conn *Conn) {
		for {
			frame, err := conn.Receive(time.Minute)
			if err != nil {
				return
			}
			p.received <- frame.LeaseRequest.Serial
		}
	})
	require.NoError(p.t, err)
	p.stop, p.wait = cancel, wait
}

// The first frame after a restart of the peer is delivered. If a vote were lost with the connection to the previous process, the
// group would have no leader until the leases of the old leader have expired.
func TestFirstFrameToARestartedProcessArrives(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer := &meshPeer{t: t, address: free.Addr().String(), received: make(chan uint64, 1)}
	require.NoError(t, free.Close())
	peer.start()
	mesh := NewMesh(t.Context(), "127.0.0.1")
	for serial := uint64(1); serial <= 5; serial++ {
		mesh.Send(peer.address, &Frame{LeaseRequest: &LeaseRequest{Serial: serial}})
		require.Equal(t, serial, <-peer.received)
		sender := mesh.sender(peer.address)
		conn := sender.conn
		peer.stop()
		peer.wait()
		require.Eventually(t, conn.peerClosed.Load, time.Minute, time.Millisecond, "the sender has not noticed that the connection was closed")
		peer.start()
	}
	require.Zero(t, mesh.Dropped.Load())
	peer.stop()
	peer.wait()
}
