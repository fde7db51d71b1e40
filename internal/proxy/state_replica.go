package proxy

import (
	"errors"
	"fmt"

	"github.com/zeebo/blake3"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// Reasons why an update of the log does not fit the replicated state, beside statemachine.ErrDiverged and statemachine.ErrBadSnapshot.
// The link has to be made anew, and the leader sends what is missing.
var (
	errLogGap       = errors.New("entries of the log are missing")
	errBadChunk     = errors.New("chunk of a snapshot does not fit")
	errStateDiffers = errors.New("state differs from that of a majority")
)

// maxChunkBytes is the longest data of one chunk that is accepted.
const maxChunkBytes = 1 << 20

// stateReplica is this proxy's copy of the replicated state. It applies the control plane's log, takes snapshots, whole or in chunks,
// and compares itself with the digest of a majority of the members. It knows no sockets and no clock.
type stateReplica struct {
	state    *statemachine.State
	diverged bool             // state is not what the log builds: a snapshot is needed
	incoming incomingSnapshot // of which some chunks have arrived on the present link
}

func newStateReplica() stateReplica { return stateReplica{state: &statemachine.State{}} }

// resumeIndex is up to where the log has been applied; 0: a snapshot is needed.
func (r *stateReplica) resumeIndex() uint64 {
	if r.diverged {
		return 0
	}
	return r.state.Index
}

// apply applies an update of the log; changed is false where it holds nothing new. After an error entries before the one at fault stay
// applied.
func (r *stateReplica) apply(update *rpc.LogUpdate) (changed bool, err error) {
	if update.Snapshot != nil {
		return r.restore(update)
	}
	return true, r.applyEntries(update)
}

// restore replaces the state by a snapshot, unless it is newer.
func (r *stateReplica) restore(update *rpc.LogUpdate) (restored bool, err error) {
	state, err := statemachine.Restore(update.Snapshot)
	if err != nil {
		return false, fmt.Errorf("snapshot: %w", err)
	}
	state.Index = max(state.Index, update.LastIndex)
	if state.Index < r.state.Index {
		return false, nil
	}
	r.state, r.diverged = state, false
	return true, nil
}

// applyEntries applies those entries that are new here, in the log's order.
func (r *stateReplica) applyEntries(update *rpc.LogUpdate) error {
	first := update.LastIndex - uint64(len(update.Entries)) + 1
	if first > r.state.Index+1 {
		return errLogGap
	}
	for i, entry := range update.Entries {
		index := first + uint64(i)
		if index <= r.state.Index {
			continue
		}
		if err := r.applyEntry(index, entry); errors.Is(err, statemachine.ErrDiverged) {
			r.diverged = true
			return err
		}
		r.state.Index = index
	}
	return nil
}

// applyEntry applies one entry. Errors other than ErrDiverged are part of the log: every replica refuses the entry alike.
func (r *stateReplica) applyEntry(index uint64, entry []byte) error {
	if len(entry) == 0 {
		return nil
	}
	change, err := statemachine.DecodeChange(entry)
	if err != nil {
		return err
	}
	return r.state.Apply(index, change)
}

// addChunk takes in a part of a snapshot. It returns the acknowledgement, and the whole snapshot as an update once it is complete.
func (r *stateReplica) addChunk(chunk *rpc.SnapshotChunk) (ack *rpc.ChunkAck, complete *rpc.LogUpdate, err error) {
	done, err := r.incoming.add(chunk)
	if err != nil {
		r.incoming = incomingSnapshot{}
		return nil, nil, err
	}
	ack = &rpc.ChunkAck{Index: chunk.Index, Received: uint64(len(r.incoming.data))}
	if done {
		complete = &rpc.LogUpdate{Snapshot: r.incoming.data, LastIndex: chunk.Index, Members: chunk.Members}
		r.incoming = incomingSnapshot{}
	}
	return ack, complete, nil
}

// compare compares the state with the digest of a majority of the members, which may be nil. Digests of other indices say nothing. A
// state that differs is given up: the error is errStateDiffers and names the ranges.
func (r *stateReplica) compare(agreed *statemachine.Digest) error {
	if agreed == nil || r.diverged || agreed.Index != r.state.Index {
		return nil
	}
	own := r.state.Digest()
	if own == *agreed {
		return nil
	}
	r.diverged = true
	return fmt.Errorf("%w at index %d: %s", errStateDiffers, own.Index, own.DifferingRanges(*agreed))
}

// incomingSnapshot is a snapshot of which some chunks have arrived. Memory grows with what came, not with what was announced.
type incomingSnapshot struct {
	index  uint64
	digest [16]byte
	size   uint64
	data   []byte
}

// add takes in a chunk, in the order of the offsets, and says whether the snapshot is complete. The error is errBadChunk for a chunk
// that does not continue what came before, or that lies about sizes or the digest.
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
