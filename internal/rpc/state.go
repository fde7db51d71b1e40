package rpc

import (
	"ferrypitch/internal/consensus"
	"ferrypitch/internal/statemachine"
)

// StateDigests carries digests of a member's replicated state at some recent indices.
type StateDigests struct {
	From    consensus.ID
	Digests []statemachine.Digest
}

// StateRejected tells a member that its state differs from the state of a majority at the index of Digest.
type StateRejected struct {
	To     consensus.ID
	Term   uint64              // term of the leader
	Digest statemachine.Digest // digest of the majority
}

// MaxSnapshotBytes is the size of the largest snapshot that a proxy accepts.
const MaxSnapshotBytes = 24 << 20

// SnapshotChunk is a part of a state snapshot that is transferred to a proxy. Chunks are sent in the order of their offsets.
type SnapshotChunk struct {
	Index        uint64   // index of the snapshot
	Digest       [16]byte // BLAKE3 of the whole snapshot, truncated
	Size, Offset uint64   // size of the whole snapshot and offset of this chunk, in bytes
	Data         []byte
	Members      []string // addresses of all control-plane members
}

// ChunkAck acknowledges the first Received bytes of the snapshot at Index.
type ChunkAck struct{ Index, Received uint64 }
