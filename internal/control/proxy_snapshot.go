package control

import (
	"github.com/zeebo/blake3"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

const (
	// snapshotChunkBytes is the amount of data in one chunk, and maxChunksInFlight the number of unacknowledged chunks per proxy.
	// These keep a slow connection busy while leases can be sent in between.
	snapshotChunkBytes = 32 << 10
	maxChunksInFlight  = 3

	// maxSnapshotTransfers is the number of proxies that receive a snapshot at the same time. It limits the unacknowledged data to
	// 18 MiB.
	maxSnapshotTransfers = 192

	// maxSnapshotLagRatio is the ratio of the bytes of entries after a snapshot to the size of the snapshot up to which the
	// snapshot is reused for further proxies.
	maxSnapshotLagRatio = 1.0 / 4
)

// encodedSnapshot is a snapshot of the state that is shared by all proxies that need one at about the same time.
type encodedSnapshot struct {
	state  *statemachine.State // state from which the snapshot was taken; a rebuilt state is a different object
	index  uint64
	digest [16]byte
	data   []byte
}

// proxySnapshot is the transfer of a snapshot to a proxy. No log updates are sent until the transfer is complete.
type proxySnapshot struct {
	*encodedSnapshot
	sentBytes int // bytes of data sent so far
}

// snapshotTransfers schedules the snapshot transfers to proxies. Requests beyond maxSnapshotTransfers wait in order of arrival.
type snapshotTransfers struct {
	latest  *encodedSnapshot
	waiting []*ProxyConn
}

// requestSnapshot queues a snapshot transfer to a proxy.
func (s *Server) requestSnapshot(conn *ProxyConn) {
	if !conn.snapshotQueued {
		conn.snapshotQueued = true
		s.transfers.waiting = append(s.transfers.waiting, conn)
	}
	s.startTransfers()
}

// startTransfers starts queued transfers until maxSnapshotTransfers are active.
func (s *Server) startTransfers() {
	for active := s.activeTransfers(); active < maxSnapshotTransfers && len(s.transfers.waiting) > 0; {
		next := s.transfers.waiting[0]
		s.transfers.waiting = s.transfers.waiting[1:]
		if s.proxies.contains(next) && !next.closed {
			next.startSnapshot(s)
			active++
		}
	}
}

func (s *Server) activeTransfers() (active int) {
	for conn := range s.proxies.conns {
		if conn.snapshot != nil && !conn.closed {
			active++
		}
	}
	return active
}

// sharedSnapshot returns a snapshot that the log continues from. It reuses the latest one unless too many entries follow it.
func (s *Server) sharedSnapshot() *encodedSnapshot {
	if latest := s.transfers.latest; latest != nil && latest.state == s.state {
		entries, ok := s.consensus.CommittedAfter(latest.index)
		if ok && float64(totalBytes(entries)) <= maxSnapshotLagRatio*float64(len(latest.data)) {
			return latest
		}
	}
	data := s.state.Snapshot()
	sum := blake3.Sum256(data)
	s.transfers.latest = &encodedSnapshot{state: s.state, index: s.state.Index, digest: [16]byte(sum[:16]), data: data}
	return s.transfers.latest
}

func totalBytes(entries [][]byte) (total int) {
	for _, entry := range entries {
		total += len(entry)
	}
	return total
}

// startSnapshot starts the transfer of a snapshot.
func (c *ProxyConn) startSnapshot(s *Server) {
	c.snapshotQueued = false
	c.snapshot = &proxySnapshot{encodedSnapshot: s.sharedSnapshot()}
	s.ProxySnapshots.Add(1)
	c.sendChunks(s, 0)
}

// sendChunks sends further chunks until maxChunksInFlight are unacknowledged. received is the number of bytes acknowledged.
func (c *ProxyConn) sendChunks(s *Server, received int) {
	snapshot := c.snapshot
	for snapshot.sentBytes < min(len(snapshot.data), received+maxChunksInFlight*snapshotChunkBytes) {
		end := min(len(snapshot.data), snapshot.sentBytes+snapshotChunkBytes)
		c.sendOrClose(&rpc.Frame{Version: s.protocolVersion, SnapshotChunk: &rpc.SnapshotChunk{
			Index:   snapshot.index,
			Digest:  snapshot.digest,
			Size:    uint64(len(snapshot.data)),
			Offset:  uint64(snapshot.sentBytes),
			Data:    snapshot.data[snapshot.sentBytes:end],
			Members: s.memberAddresses(),
		}})
		snapshot.sentBytes = end
	}
}

// handleChunkAck continues the transfer after the acknowledged data. Once the proxy has the whole snapshot, it gets the log
// entries that follow.
func (s *Server) handleChunkAck(conn *ProxyConn, ack *rpc.ChunkAck) {
	snapshot := conn.snapshot
	switch {
	case snapshot == nil || ack.Index != snapshot.index || ack.Received > uint64(snapshot.sentBytes):
		s.discard(resultUnsolicited)
	case ack.Received < uint64(len(snapshot.data)):
		conn.sendChunks(s, int(ack.Received))
	default:
		conn.snapshot, conn.sentIndex = nil, snapshot.index
		conn.catchUp(s)
		s.startTransfers()
	}
}
