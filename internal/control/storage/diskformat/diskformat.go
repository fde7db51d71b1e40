// Package diskformat holds the form in which a member's part of the log rests on disk.
//
// encoding/gob writes the names of types and fields into the file and drops, without an error, what it reads under a name
// that the type does not have. So no name here ever changes, whatever the values are called elsewhere: a field that is no
// longer needed stays, and a new one gets a name that was never used.
package diskformat

import "ferrypitch/internal/control/consensus"

// Identity is the stored form of storage.Identity.
type Identity struct {
	ID       consensus.ID
	Founders []consensus.ID
}

// Meta is the stored form of a member's term, vote and newest committed change of members.
type Meta struct {
	View    uint64
	Vote    consensus.ID
	Settled uint64
}

// Entry is the stored form of a log entry.
type Entry struct {
	View    uint64
	Body    []byte
	Members []consensus.ID
}

// Snapshot is the stored form of a snapshot.
type Snapshot struct {
	Index, View uint64
	Members     []consensus.ID
	State       []byte
}

// FromMeta gives the stored form.
func FromMeta(m consensus.HardState) Meta {
	return Meta{View: m.Term, Vote: m.Vote, Settled: m.CommittedConfigIndex}
}

// Value is what the stored form stands for.
func (m Meta) Value() consensus.HardState {
	return consensus.HardState{Term: m.View, Vote: m.Vote, CommittedConfigIndex: m.Settled}
}

// FromEntry gives the stored form.
func FromEntry(e consensus.Entry) Entry {
	return Entry{View: e.Term, Body: e.Data, Members: e.Members}
}

// Value is what the stored form stands for.
func (e Entry) Value() consensus.Entry {
	return consensus.Entry{Term: e.View, Data: e.Body, Members: e.Members}
}

// FromSnapshot gives the stored form.
func FromSnapshot(s consensus.Snapshot) Snapshot {
	return Snapshot{Index: s.Index, View: s.Term, Members: s.Members, State: s.Data}
}

// Value is what the stored form stands for.
func (s Snapshot) Value() consensus.Snapshot {
	return consensus.Snapshot{Index: s.Index, Term: s.View, Members: s.Members, Data: s.State}
}
