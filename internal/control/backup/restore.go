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

// Gaps between the snapshot and the start of the restored control plane. They exceed the progress that the old control plane can
// have made since the snapshot was taken.
const (
	indexGap = 1 << 32 // also applies to fencing tokens, which are indices
	termGap  = 1 << 16
)

// Options configure how a snapshot is restored.
type Options struct {
	Self     consensus.ID   // the member that the data directory is for; one of Founders
	Founders []consensus.ID // founders of the new control plane, sorted; each restores the same snapshot
	// OtherSystem allows restoring a snapshot that has no founder among its members.
	OtherSystem bool
	// DiscardIndex confirms that existing data which ends at this index may be discarded; 0 means that the data directory must
	// hold nothing newer than the snapshot.
	DiscardIndex uint64
}

// Restored describes a restored data directory.
type Restored struct {
	Member    consensus.ID
	Founders  []consensus.ID
	Index     uint64 // index at which the log starts
	Term      uint64
	Version   int64 // version of the configuration
	Hosts     int
	Proxies   int
	Discarded uint64 // last index of the discarded data; 0: none was discarded
}

// Restore creates the data directory of one founder of a new control plane, or replaces the data in an existing one. Data of a
// stopped member is renamed, not deleted, and data newer than the snapshot is replaced only if options.DiscardIndex confirms it.
// Errors are ErrOtherSystem, ErrNewerData, storage.ErrLocked while a member runs on the directory, and those of the operating
// system. After an error the directory is unchanged.
func Restore(folder string, snapshot *Snapshot, options Options) (*Restored, error) {
	if err := snapshot.check(); err != nil {
		return nil, err
	}
	if !slices.Contains(options.Founders, options.Self) {
		return nil, trace.BadParameter("%s is not one of the founders %v, which are the seeds in the settings", options.Self, options.Founders)
	}
	if !options.OtherSystem && !slices.ContainsFunc(snapshot.Members, options.isFounderAddress) {
		return nil, fmt.Errorf("%w: its members were %v, the founders are %v", ErrOtherSystem, snapshot.Members, options.Founders)
	}
	existingIndex, err := existingLastIndex(folder)
	if err != nil {
		return nil, err
	}
	if existingIndex > snapshot.Index && existingIndex != options.DiscardIndex {
		return nil, fmt.Errorf("%w: it ends at index %d, the snapshot at %d", ErrNewerData, existingIndex, snapshot.Index)
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
	if existingIndex > snapshot.Index {
		restored.Discarded = existingIndex
	}
	return restored, install(folder, state, restored)
}

func (o *Options) isFounderAddress(member consensus.ID) bool {
	return slices.ContainsFunc(o.Founders, func(founder consensus.ID) bool { return founder.Address() == member.Address() })
}

// existingLastIndex returns the last log index of a stopped member's data in a folder; 0 if there is none.
func existingLastIndex(folder string) (uint64, error) {
	identity, restored, err := storage.ReadFolder(folder)
	switch {
	case trace.IsNotFound(err):
		return 0, nil
	case err != nil:
		return 0, err
	case identity.ID == "":
		return 0, fmt.Errorf("%w or is unreadable; move its file out of %s", ErrNewerData, folder)
	}
	return restored.Snapshot.Index + uint64(len(restored.Entries)), nil
}

// install writes the new data to a staging folder and then replaces the old data with it.
func install(folder string, state *statemachine.State, restored *Restored) error {
	staging := filepath.Clean(folder) + ".restoring"
	if err := os.RemoveAll(staging); err != nil {
		return trace.ConvertSystemError(err)
	}
	err := buildFolder(staging, state, restored)
	if err == nil {
		err = storage.Replace(folder, staging)
	}
	_ = os.RemoveAll(staging) // its content was moved, or is not used after an error
	return err
}

// buildFolder creates a data directory whose log starts with a snapshot.
func buildFolder(folder string, state *statemachine.State, restored *Restored) error {
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
