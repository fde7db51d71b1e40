package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/simulation/statesize"
	"ferrypitch/internal/statemachine"
)

// welcomedProxy is a proxy that records the frames sent to it. While queueFull is true, it accepts no frames.
type welcomedProxy struct {
	*ProxyConn
	frames    []*rpc.Frame
	queueFull bool
}

func (s *soleLeader) welcome(node string, appliedIndex uint64) *welcomedProxy {
	p := &welcomedProxy{}
	hello := &rpc.ProxyHello{Node: node, Incarnation: 1, AppliedIndex: appliedIndex, Version: rpc.ProtocolVersion}
	p.ProxyConn = s.AcceptProxy(hello, "10.1.0.1", func(frame *rpc.Frame) bool {
		if !p.queueFull {
			p.frames = append(p.frames, frame)
		}
		return !p.queueFull
	}, func() {})
	return p
}

// receiveSnapshot acknowledges all chunks until the snapshot is complete.
func (p *welcomedProxy) receiveSnapshot(s *Server) {
	for p.snapshot != nil && !p.closed {
		last := p.frames[len(p.frames)-1].SnapshotChunk
		s.HandleProxyFrame(p.ProxyConn, &rpc.Frame{ChunkAck: &rpc.ChunkAck{Index: last.Index, Received: last.Offset + uint64(len(last.Data))}})
	}
}

// When all proxies of a large deployment reconnect at once, they must share one encoded snapshot, and the number of concurrent
// transfers must be limited.
func TestSnapshotsForManyProxiesAreSharedAndLimited(t *testing.T) {
	s := newSoleLeader(t, statesize.Sizes[0])
	var proxies []*welcomedProxy
	for n := range 2*maxSnapshotTransfers + 5 {
		proxies = append(proxies, s.welcome(fmt.Sprintf("p%d", n), 0))
	}
	require.Equal(t, maxSnapshotTransfers, s.activeTransfers())
	shared := s.transfers.latest
	s.ProxyDisconnected(proxies[0].ProxyConn)
	s.ProxyDisconnected(proxies[maxSnapshotTransfers+1].ProxyConn) // still queued
	for _, p := range proxies {
		require.LessOrEqual(t, s.activeTransfers(), maxSnapshotTransfers)
		p.receiveSnapshot(s.Server)
		require.False(t, p.snapshotQueued && !p.closed)
	}
	require.Zero(t, s.activeTransfers())
	require.Same(t, shared, s.transfers.latest)
}

// When connections are closed during snapshot transfers, the transfers of queued proxies must start.
func TestQueuedProxiesGetSnapshotsWhenConnectionsClose(t *testing.T) {
	s := newSoleLeader(t, statesize.Sizes[0])
	var proxies []*welcomedProxy
	for n := range maxSnapshotTransfers + 5 {
		proxies = append(proxies, s.welcome(fmt.Sprintf("p%d", n), 0))
	}
	for _, p := range proxies[:maxSnapshotTransfers] {
		s.ProxyDisconnected(p.ProxyConn)
	}
	for _, p := range proxies[maxSnapshotTransfers:] {
		require.NotNil(t, p.snapshot)
	}
}

// A proxy that waits for its registration or a snapshot must get a response to its lease request. Without one for 0.7 s it
// disconnects, reconnects and requests another snapshot.
func TestProxyWithoutALeaseIsAnswered(t *testing.T) {
	s := newSoleLeader(t, statesize.Sizes[0])
	p := s.welcome("new", 0)
	s.HandleProxyFrame(p.ProxyConn, &rpc.Frame{LeaseRequest: &rpc.LeaseRequest{Serial: 7}})
	require.Equal(t, &rpc.LeaseResponse{Serial: 7, Postponed: true}, p.frames[len(p.frames)-1].LeaseResponse)
}

// A slow proxy whose queue is full must keep its connection and get the missing entries on it later.
func TestSlowProxyKeepsItsConnection(t *testing.T) {
	s := newSoleLeader(t, statesize.Sizes[0])
	p := s.welcome(statesize.ProxyName(0), s.state.Index)
	p.queueFull = true
	for n := range 3 {
		s.propose(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: statesize.ServiceName(n), Host: statesize.HostAt(9).ID, Term: 2}}, func(error) {})
		s.sync()
	}
	require.False(t, p.closed)
	p.queueFull = false
	sent := len(p.frames)
	s.HandleProxyFrame(p.ProxyConn, &rpc.Frame{LeaseRequest: &rpc.LeaseRequest{Serial: 1, AppliedIndex: s.state.Index - 3}})
	require.Len(t, p.frames[sent].LogUpdate.Entries, 3)
	require.Equal(t, s.state.Index, p.frames[sent].LogUpdate.LastIndex)
}
