package rpc

import (
	"ferrypitch/internal/consensus"
	"ferrypitch/internal/statemachine"
)

// StateDigests are digests of a member's replicated state at some indices of late.
type StateDigests struct {
	From    consensus.ID
	Digests []statemachine.Digest
}

// StateRejected tells a member that its state differs from that of a majority at an index. Term is the leader's.
type StateRejected struct {
	To     consensus.ID
	Term   uint64
	Digest statemachine.Digest // of the majority
}

// MaxSnapshotBytes is the size of the largest snapshot that a proxy takes.
const MaxSnapshotBytes = 24 << 20

// SnapshotChunk is a part of a snapshot of the state for a proxy. The chunks of a snapshot come in the order of their offsets.
type SnapshotChunk struct {
	Index        uint64   // of the snapshot
	Digest       [16]byte // BLAKE3 of the whole snapshot, truncated
	Size, Offset uint64   // bytes of the whole snapshot, and where this chunk begins
	Data         []byte
	Members      []string // addresses of all members
}

// ChunkAck says how much of a snapshot a proxy has received.
type ChunkAck struct{ Index, Received uint64 }
