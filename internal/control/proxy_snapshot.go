package control

import (
	"github.com/zeebo/blake3"

	"ferrypitch/internal/rpc"
)

const (
	// snapshotChunkBytes is the data of one chunk for a proxy, and snapshotWindow how many chunks may be without an
	// acknowledgement: a slow link is kept busy, and leases pass in between.
	snapshotChunkBytes = 128 << 10
	snapshotWindow     = 4
)

// proxySnapshot is a snapshot that a proxy is receiving. Updates of the log wait until it has all of it.
type proxySnapshot struct {
	index  uint64
	digest [16]byte
	data   []byte
	sent   int // bytes
}

// startSnapshot begins to send a snapshot of the present state.
func (c *ProxyConn) startSnapshot(s *Server) {
	data := s.state.Snapshot()
	sum := blake3.Sum256(data)
	c.snapshot = &proxySnapshot{index: s.state.Index, digest: [16]byte(sum[:16]), data: data}
	s.ProxySnapshots.Add(1)
	c.sendChunks(s, 0)
}

// sendChunks sends the chunks that the window allows beyond what the proxy has received.
func (c *ProxyConn) sendChunks(s *Server, received int) {
	snapshot := c.snapshot
	for snapshot.sent < min(len(snapshot.data), received+snapshotWindow*snapshotChunkBytes) {
		end := min(len(snapshot.data), snapshot.sent+snapshotChunkBytes)
		c.deliver(&rpc.Frame{Version: s.protocolVersion, SnapshotChunk: &rpc.SnapshotChunk{
			Index:   snapshot.index,
			Digest:  snapshot.digest,
			Size:    uint64(len(snapshot.data)),
			Offset:  uint64(snapshot.sent),
			Data:    snapshot.data[snapshot.sent:end],
			Members: s.memberAddresses(),
		}})
		snapshot.sent = end
	}
}

// handleChunkAck goes on behind what a proxy has received. Once that is all, the log goes on behind the snapshot.
func (s *Server) handleChunkAck(conn *ProxyConn, ack *rpc.ChunkAck) {
	snapshot := conn.snapshot
	switch {
	case snapshot == nil || ack.Index != snapshot.index || ack.Received > uint64(snapshot.sent):
		s.discard(resultUnsolicited)
	case ack.Received < uint64(len(snapshot.data)):
		conn.sendChunks(s, int(ack.Received))
	default:
		conn.snapshot, conn.sentIndex = nil, snapshot.index
		conn.catchUp(s)
	}
}
