package proxy

import (
	"errors"
	"fmt"

	"github.com/zeebo/blake3"

	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// Errors of log updates that do not fit the replicated state, besides statemachine.ErrDiverged and statemachine.ErrBadSnapshot. The
// link must then be closed; the leader sends what is missing on the next one.
var (
	errLogGap       = errors.New("log entries are missing")
	errBadChunk     = errors.New("invalid snapshot chunk")
	errStateDiffers = errors.New("replicated state differs from that of a majority of the members")
)

// maxChunkBytes is the maximum length of the data in one chunk.
const maxChunkBytes = 1 << 20

// stateReplica is this proxy's copy of the replicated state. It applies the control plane's log, restores snapshots, whole or in
// chunks, and compares itself with the digest of a majority of the members. It uses no sockets and no clock.
type stateReplica struct {
	state    *statemachine.State
	diverged bool             // state does not match the log: a snapshot is needed
	incoming incomingSnapshot // snapshot whose chunks are being received
}

func newStateReplica() stateReplica { return stateReplica{state: &statemachine.State{}} }

// resumeIndex returns the index up to which the log has been applied, or 0 if a snapshot is needed.
func (r *stateReplica) resumeIndex() uint64 {
	if r.diverged {
		return 0
	}
	return r.state.Index
}

// apply applies a log update. changed is false if the update is a snapshot older than the state. After an error, the entries before
// the one that failed remain applied.
func (r *stateReplica) apply(update *rpc.LogUpdate) (changed bool, err error) {
	if update.Snapshot != nil {
		return r.restore(update)
	}
	return true, r.applyEntries(update)
}

// restore replaces the state by a snapshot, unless the state is newer.
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

// applyEntries applies, in log order, the entries that have not been applied yet.
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

// applyEntry applies one entry. Errors other than ErrDiverged are deterministic: every replica rejects the same entry.
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

// addChunk adds a chunk to the incoming snapshot. It returns the acknowledgement and, once the snapshot is complete, the snapshot as
// a log update.
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

// compareDigest compares the state with the digest of a majority of the members, which may be nil. It ignores digests of other
// indexes. If they differ, it marks the state as diverged and returns errStateDiffers with the ranges that differ.
func (r *stateReplica) compareDigest(agreed *statemachine.Digest) error {
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

// incomingSnapshot is a snapshot received in part. Its memory grows with the data received, not with the announced size.
type incomingSnapshot struct {
	index  uint64
	digest [16]byte
	size   uint64
	data   []byte
}

// add appends a chunk and reports whether the snapshot is complete. Chunks must arrive in the order of their offsets. The error is
// errBadChunk for a chunk that does not continue the previous one, or whose sizes or digest are wrong.
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
