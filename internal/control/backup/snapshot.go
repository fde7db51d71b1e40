package backup

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/gravitational/trace"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/snapshotfile"
	"ferrypitch/internal/statemachine"
)

// Path is where a member answers GET with a Snapshot as JSON.
const Path = "/Member.Snapshot"

// format is the newest form of a Snapshot that this release knows.
const format = 1

// Snapshot is the state of a control plane at an index. Its names are stored.
type Snapshot struct {
	Format  int
	Index   uint64         // of the newest entry of the log that it holds
	Term    uint64         // of the leader that took it
	Version int64          // of the configuration
	Members []consensus.ID // voting members
	State   []byte         // as statemachine.State.Snapshot gives it, with a digest
}

// Reasons why a snapshot is not taken, written or restored, for errors.Is. None goes away by trying again.
var (
	ErrBroken  = errors.New("not a complete snapshot of a control plane")
	ErrNewer   = errors.New("snapshot of a newer release")
	ErrExists  = errors.New("there is a file of this name")
	ErrForeign = errors.New("snapshot of another system")
	ErrNewest  = errors.New("the data directory holds what the snapshot lacks")
)

// New takes a snapshot of a state.
func New(state *statemachine.State, term uint64, members []consensus.ID) *Snapshot {
	return &Snapshot{Format: format, Index: state.Index, Term: term, Version: state.Generation, Members: members, State: state.Snapshot()}
}

// Decode reads a snapshot from JSON and checks it. Errors are ErrBroken and ErrNewer.
func Decode(body []byte) (*Snapshot, error) {
	var snapshot Snapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return &snapshot, snapshot.check()
}

// check says whether a snapshot is whole.
func (s *Snapshot) check() error {
	if s.Format > format {
		return fmt.Errorf("%w: format %d, this release knows %d", ErrNewer, s.Format, format)
	}
	state, err := statemachine.Restore(s.State)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	case s.Format < 1 || s.Index == 0 || state.Index != s.Index || state.Generation != s.Version || len(s.Members) == 0:
		return fmt.Errorf("%w: index %d, state at %d, version %d, %d members", ErrBroken, s.Index, state.Index, s.Version, len(s.Members))
	}
	return nil
}

// Write writes a snapshot to a file that must not exist. After an error there is no file of that name.
func Write(path string, snapshot *Snapshot) error { return write(snapshotfile.Disk{}, path, snapshot) }

func write(files snapshotfile.FileSystem, path string, snapshot *Snapshot) error {
	switch _, err := os.Lstat(path); {
	case err == nil:
		return fmt.Errorf("%s: %w", path, ErrExists)
	case !errors.Is(err, fs.ErrNotExist):
		return trace.ConvertSystemError(err)
	}
	body, err := json.Marshal(snapshot)
	if err != nil {
		return err
	}
	if err := snapshotfile.Write(files, path, body); err != nil {
		_ = os.Remove(path + snapshotfile.TemporarySuffix) // what was written of it, if the disk is full
		return trace.ConvertSystemError(err)
	}
	return nil
}

// Read reads a snapshot from a file. Errors are ErrBroken and ErrNewer, and those of the operating system, converted by package trace.
func Read(path string) (*Snapshot, error) {
	body, err := snapshotfile.Read(snapshotfile.Disk{}, path)
	switch {
	case errors.Is(err, snapshotfile.ErrNewer):
		return nil, fmt.Errorf("%s: %w", path, ErrNewer)
	case errors.Is(err, snapshotfile.ErrBroken):
		return nil, fmt.Errorf("%s: %w", path, ErrBroken)
	case err != nil:
		return nil, trace.ConvertSystemError(err)
	}
	snapshot, err := Decode(body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return snapshot, nil
}
