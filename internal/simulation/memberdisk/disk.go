// Package memberdisk simulates the disk of a control-plane member: synced writes are durable, and unsynced writes may be lost
// when the process or the machine fails.
package memberdisk

import (
	"slices"

	"ferrypitch/internal/consensus"
)

// Disk is the disk of one member. The zero value is an empty disk.
type Disk struct {
	durable  consensus.RestoredState
	unsynced []consensus.Write
}

// FromState returns a disk that holds state durably.
func FromState(state consensus.RestoredState) Disk { return Disk{durable: state} }

// Durable returns the synced state. The caller must not modify it.
func (d *Disk) Durable() *consensus.RestoredState { return &d.durable }

// Restart drops unsynced writes, and returns a copy of the state that a restarted process reads from the disk.
func (d *Disk) Restart() consensus.RestoredState {
	d.unsynced = nil
	return d.Copy().durable
}

// Copy returns a disk with a copy of the synced state, without the unsynced writes.
func (d *Disk) Copy() Disk {
	durable := d.durable
	durable.Entries = slices.Clone(durable.Entries)
	return Disk{durable: durable}
}

// Write queues writes. They are not durable until they are synced.
func (d *Disk) Write(writes []consensus.Write) { d.unsynced = append(d.unsynced, writes...) }

// Sync makes all writes up to sequence number through durable.
func (d *Disk) Sync(through uint64) {
	for len(d.unsynced) > 0 && d.unsynced[0].Seq <= through {
		d.durable.ApplyWrite(d.unsynced[0])
		d.unsynced = d.unsynced[1:]
	}
}

// SyncAll makes all writes durable, and returns the sequence number of the last one, or 0 if there were none.
func (d *Disk) SyncAll() (through uint64) {
	if len(d.unsynced) == 0 {
		return 0
	}
	through = d.unsynced[len(d.unsynced)-1].Seq
	d.Sync(through)
	return through
}

// Crash simulates a crash. It calls keepNext for each unsynced write in order, keeps the write if the call returns true, and
// loses that write and all later ones once it returns false.
func (d *Disk) Crash(keepNext func() bool) {
	for len(d.unsynced) > 0 && keepNext() {
		d.Sync(d.unsynced[0].Seq)
	}
	d.unsynced = nil
}

// Erase erases the disk.
func (d *Disk) Erase() { *d = Disk{} }
