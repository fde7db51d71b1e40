// Package memberdisk simulates the disk of a member of the control plane: what is written lasts once it is synced, and what is not
// may be lost with the process or the power.
package memberdisk

import (
	"slices"

	"ferrypitch/internal/consensus"
)

// Disk is the disk of one member. The zero value is an empty one.
type Disk struct {
	durable  consensus.RestoredState
	unsynced []consensus.Write
}

// Of returns a disk that holds a state.
func Of(state consensus.RestoredState) Disk { return Disk{durable: state} }

// Durable is what the disk holds for good. It is not to be changed.
func (d *Disk) Durable() *consensus.RestoredState { return &d.durable }

// Restart returns what a process finds that starts now. What was not synced is gone.
func (d *Disk) Restart() consensus.RestoredState {
	d.unsynced = nil
	return d.Copy().durable
}

// Copy returns a disk with what lasts of this one.
func (d *Disk) Copy() Disk {
	durable := d.durable
	durable.Entries = slices.Clone(durable.Entries)
	return Disk{durable: durable}
}

// Write takes in writes that are not synced yet.
func (d *Disk) Write(writes []consensus.Write) { d.unsynced = append(d.unsynced, writes...) }

// Sync makes all writes up to a sequence number last.
func (d *Disk) Sync(through uint64) {
	for len(d.unsynced) > 0 && d.unsynced[0].Seq <= through {
		d.durable.ApplyWrite(d.unsynced[0])
		d.unsynced = d.unsynced[1:]
	}
}

// SyncAll makes all writes last, and returns the sequence number of the newest; 0: there was none.
func (d *Disk) SyncAll() (through uint64) {
	if len(d.unsynced) == 0 {
		return 0
	}
	through = d.unsynced[len(d.unsynced)-1].Seq
	d.Sync(through)
	return through
}

// Crash loses what is not synced, from the first write on that keepNext does not keep.
func (d *Disk) Crash(keepNext func() bool) {
	for len(d.unsynced) > 0 && keepNext() {
		d.Sync(d.unsynced[0].Seq)
	}
	d.unsynced = nil
}

// Lose empties the disk.
func (d *Disk) Lose() { *d = Disk{} }
