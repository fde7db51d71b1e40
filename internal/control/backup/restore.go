package backup

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/gravitational/trace"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/statemachine"
)

// Gaps by which a restored control plane begins above the old one, more than that can have gone on since the snapshot was taken.
const (
	indexGap = 1 << 32 // also of fencing tokens, which are indices
	termGap  = 1 << 16
)

// Options say how a snapshot is restored.
type Options struct {
	Self     consensus.ID   // the member that the data directory is for; one of Founders
	Founders []consensus.ID // of the new control plane, sorted; each restores the same snapshot
	// OtherSystem allows a snapshot none of whose members is a founder.
	OtherSystem bool
	// DiscardIndex names the last index of what the data directory holds, where that is to be given up; 0: the directory must hold
	// nothing that the snapshot lacks.
	DiscardIndex uint64
}

// Restored is what a restored data directory holds.
type Restored struct {
	Member    consensus.ID
	Founders  []consensus.ID
	Index     uint64 // at which the log begins
	Term      uint64
	Version   int64 // of the configuration
	Hosts     int
	Proxies   int
	Discarded uint64 // last index of what the directory held before and was given up; 0: nothing
}

// Restore makes the data directory of one founder of a new control plane. The directory is made where it is missing. What a stopped
// member left in it is kept beside, under another name, and given up only as Options say. Errors: ErrForeign, ErrNewest, storage.ErrLocked
// while a member runs on the directory, and those of the operating system; after an error the directory is as it was.
func Restore(folder string, snapshot *Snapshot, options Options) (*Restored, error) {
	if err := snapshot.check(); err != nil {
		return nil, err
	}
	if !slices.Contains(options.Founders, options.Self) {
		return nil, trace.BadParameter("%s is not among the founders %v, which are the seeds of the settings", options.Self, options.Founders)
	}
	if !options.OtherSystem && !slices.ContainsFunc(snapshot.Members, options.isFounderAddress) {
		return nil, fmt.Errorf("%w: its members were %v, the founders are %v", ErrForeign, snapshot.Members, options.Founders)
	}
	left, err := lastIndexIn(folder)
	if err != nil {
		return nil, err
	}
	if left > snapshot.Index && left != options.DiscardIndex {
		return nil, fmt.Errorf("%w: it goes up to index %d, the snapshot to %d", ErrNewest, left, snapshot.Index)
	}
	state, err := statemachine.Restore(snapshot.State)
	if err != nil {
		return nil, err
	}
	restored := &Restored{
		Member: options.Self, Founders: options.Founders,
		Index: snapshot.Index + indexGap, Term: snapshot.Term + termGap,
		Version: state.Generation, Hosts: len(state.Hosts), Proxies: len(state.Proxies),
	}
	if left > snapshot.Index {
		restored.Discarded = left
	}
	return restored, install(folder, state, restored)
}

func (o *Options) isFounderAddress(member consensus.ID) bool {
	return slices.ContainsFunc(o.Founders, func(founder consensus.ID) bool { return founder.Address() == member.Address() })
}

// lastIndexIn is up to where a stopped member's log in a folder goes; 0: there is none.
func lastIndexIn(folder string) (uint64, error) {
	identity, restored, err := storage.ReadFolder(folder)
	switch {
	case trace.IsNotFound(err):
		return 0, nil
	case err != nil:
		return 0, err
	case identity.ID == "":
		return 0, fmt.Errorf("%w, or not: it can't be read; move it out of %s", ErrNewest, folder)
	}
	return restored.Snapshot.Index + uint64(len(restored.Entries)), nil
}

// install writes the new data beside the old, and then puts it in its place.
func install(folder string, state *statemachine.State, restored *Restored) error {
	building := filepath.Clean(folder) + ".restoring"
	if err := os.RemoveAll(building); err != nil {
		return trace.ConvertSystemError(err)
	}
	err := build(building, state, restored)
	if err == nil {
		err = storage.Replace(folder, building)
	}
	_ = os.RemoveAll(building) // nothing in it counts any more
	return err
}

// build makes a data directory that begins with a snapshot.
func build(folder string, state *statemachine.State, restored *Restored) error {
	identity := storage.Identity{ID: restored.Member, Founders: restored.Founders}
	wal, _, _, err := storage.Open(folder, func() storage.Identity { return identity })
	if err != nil {
		return err
	}
	state.Index = restored.Index
	err = wal.Save([]consensus.Write{{
		Seq:       1,
		HardState: &consensus.HardState{Term: restored.Term, CommittedConfigIndex: restored.Index},
		Snapshot: &consensus.Snapshot{
			Index: restored.Index, Term: restored.Term, Members: restored.Founders, Data: state.Snapshot(),
		},
		CompactThrough: restored.Index,
	}})
	if closeErr := wal.Close(); err == nil {
		err = closeErr
	}
	return err
}
