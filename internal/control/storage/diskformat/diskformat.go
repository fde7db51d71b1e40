// Package diskformat defines the stored form of a member's consensus state.
//
// encoding/gob writes the names of types and fields into the file, and on reading silently drops fields whose names the type does
// not have. So no name in this package may change, whatever the values are called elsewhere: a field that is no longer needed
// stays, and a new field gets a name that was never used. The element type of lists is in package ratchet, because gob also writes
// the name of its package.
package diskformat

import (
	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage/diskformat/ratchet"
)

// Identity is the stored form of storage.Identity.
type Identity struct {
	ID       ratchet.ID
	Founders []ratchet.ID
}

// Meta is the stored form of a member's term, its vote and the index of the newest committed membership change.
type Meta struct {
	View    uint64
	Vote    ratchet.ID
	Settled uint64
}

// Entry is the stored form of a log entry.
type Entry struct {
	View    uint64
	Body    []byte
	Members []ratchet.ID
}

// Snapshot is the stored form of a snapshot.
type Snapshot struct {
	Index, View uint64
	Members     []ratchet.ID
	State       []byte
}

// FromIdentity returns the stored form of an identity.
func FromIdentity(id consensus.ID, founders []consensus.ID) Identity {
	return Identity{ID: ratchet.ID(id), Founders: convertIDs[ratchet.ID](founders)}
}

// Value returns the id and the founders of the identity.
func (i Identity) Value() (id consensus.ID, founders []consensus.ID) {
	return consensus.ID(i.ID), convertIDs[consensus.ID](i.Founders)
}

// FromMeta returns the stored form of a hard state.
func FromMeta(hardState consensus.HardState) Meta {
	return Meta{View: hardState.Term, Vote: ratchet.ID(hardState.Vote), Settled: hardState.CommittedConfigIndex}
}

// Value returns the hard state.
func (m Meta) Value() consensus.HardState {
	return consensus.HardState{Term: m.View, Vote: consensus.ID(m.Vote), CommittedConfigIndex: m.Settled}
}

// FromEntry returns the stored form of a log entry.
func FromEntry(entry consensus.Entry) Entry {
	return Entry{View: entry.Term, Body: entry.Data, Members: convertIDs[ratchet.ID](entry.Members)}
}

// Value returns the log entry.
func (e Entry) Value() consensus.Entry {
	return consensus.Entry{Term: e.View, Data: e.Body, Members: convertIDs[consensus.ID](e.Members)}
}

// FromSnapshot returns the stored form of a snapshot.
func FromSnapshot(snapshot consensus.Snapshot) Snapshot {
	return Snapshot{Index: snapshot.Index, View: snapshot.Term, Members: convertIDs[ratchet.ID](snapshot.Members), State: snapshot.Data}
}

// Value returns the snapshot.
func (s Snapshot) Value() consensus.Snapshot {
	return consensus.Snapshot{Index: s.Index, Term: s.View, Members: convertIDs[consensus.ID](s.Members), Data: s.State}
}

// convertIDs converts between ids and their stored form. It keeps nil, which means no membership change.
func convertIDs[To, From ~string](ids []From) []To {
	if ids == nil {
		return nil
	}
	converted := make([]To, 0, len(ids))
	for _, id := range ids {
		converted = append(converted, To(id))
	}
	return converted
}
