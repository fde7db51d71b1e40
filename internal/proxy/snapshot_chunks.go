package proxy

import (
	"errors"

	"github.com/zeebo/blake3"

	"ferrypitch/internal/lease"
	"ferrypitch/internal/rpc"
)

// maxChunkBytes is the longest data of one chunk that is accepted.
const maxChunkBytes = 1 << 20

// errBadChunk refuses a chunk of a snapshot that does not continue what came before, or that lies about sizes or the digest. The
// link has to be made anew.
var errBadChunk = errors.New("chunk of a snapshot does not fit")

// incomingSnapshot is a snapshot of which some chunks have arrived. Memory grows with what came, not with what was announced.
type incomingSnapshot struct {
	index  uint64
	digest [16]byte
	size   uint64
	data   []byte
}

// add takes in a chunk, in the order of the offsets, and says whether the snapshot is complete.
func (in *incomingSnapshot) add(chunk *rpc.SnapshotChunk) (complete bool, err error) {
	if chunk.Offset == 0 {
		*in = incomingSnapshot{index: chunk.Index, digest: chunk.Digest, size: chunk.Size}
	}
	received, length := uint64(len(in.data)), uint64(len(chunk.Data))
	sameSnapshot := in.index == chunk.Index && in.digest == chunk.Digest && in.size == chunk.Size
	withinBounds := chunk.Size <= rpc.MaxSnapshotBytes && length <= maxChunkBytes && length <= chunk.Size-min(chunk.Size, received)
	if !sameSnapshot || !withinBounds || chunk.Offset != received || length == 0 {
		return false, errBadChunk
	}
	in.data = append(in.data, chunk.Data...)
	if uint64(len(in.data)) < in.size {
		return false, nil
	}
	if sum := blake3.Sum256(in.data); [16]byte(sum[:16]) != in.digest {
		return false, errBadChunk
	}
	return true, nil
}

// handleSnapshotChunk takes in a chunk, and applies the snapshot once it is complete. It returns the acknowledgement; after an
// error the caller has to make the link anew.
func (s *Server) handleSnapshotChunk(chunk *rpc.SnapshotChunk) (*rpc.ChunkAck, error) {
	complete, err := s.incoming.add(chunk)
	if err != nil {
		s.counters.malformedInputs.Add(1)
		s.incoming = incomingSnapshot{}
		return nil, err
	}
	ack := &rpc.ChunkAck{Index: chunk.Index, Received: uint64(len(s.incoming.data))}
	if !complete {
		return ack, nil
	}
	update := &rpc.LogUpdate{Snapshot: s.incoming.data, LastIndex: chunk.Index, Members: chunk.Members}
	s.incoming = incomingSnapshot{}
	return ack, s.applyLogUpdate(update)
}

// checkDigest compares the state with that of a majority of the members at the same index. A state that differs is given up, and
// the lease with it: the error has the link made anew, and the leader sends a snapshot.
func (s *Server) checkDigest(granted *rpc.LeaseResponse) error {
	agreed := granted.Digest
	if agreed == nil || s.diverged || agreed.Index != s.state.Index {
		return nil
	}
	own := s.state.Digest()
	if own == *agreed {
		return nil
	}
	s.log.Error("state differs from that of a majority; requesting a snapshot", "index", own.Index, "ranges", own.Difference(*agreed))
	s.counters.stateDiverged.Add(1)
	s.diverged = true
	s.lease = lease.Holder{}
	s.sweep(s.clock.Time())
	return errDigestDiffers
}

// errDigestDiffers says that the state is not that of a majority of the members.
var errDigestDiffers = errors.New("state differs from that of a majority")
