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

// Path is the HTTP path at which a member serves a Snapshot as JSON.
const Path = "/Member.Snapshot"

// format is the newest Snapshot format that this release supports.
const format = 1

// Snapshot is the state of a control plane at a log index. Its field names are part of the stored format.
type Snapshot struct {
	Format  int
	Index   uint64         // index of the newest log entry it includes
	Term    uint64         // term of the leader that took it
	Version int64          // version of the configuration
	Members []consensus.ID // voting members
	State   []byte         // the result of statemachine.State.Snapshot, which includes a digest
}

// Errors that reject a snapshot when it is decoded, written or restored, for use with errors.Is. Retrying does not help.
var (
	ErrCorrupt      = errors.New("not a complete snapshot of a control plane")
	ErrNewerVersion = errors.New("snapshot of a newer release")
	ErrExists       = errors.New("file already exists")
	ErrOtherSystem  = errors.New("snapshot of another system")
	ErrNewerData    = errors.New("the data directory holds newer data than the snapshot")
)

// New returns a snapshot of a state.
func New(state *statemachine.State, term uint64, members []consensus.ID) *Snapshot {
	return &Snapshot{Format: format, Index: state.Index, Term: term, Version: state.Generation, Members: members, State: state.Snapshot()}
}

// Decode decodes a snapshot from JSON and validates it. Errors are ErrCorrupt and ErrNewerVersion.
func Decode(body []byte) (*Snapshot, error) {
	var snapshot Snapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return &snapshot, snapshot.check()
}

// check validates that a snapshot is complete, consistent and of a supported format.
func (s *Snapshot) check() error {
	if s.Format > format {
		return fmt.Errorf("%w: format %d, this release supports up to %d", ErrNewerVersion, s.Format, format)
	}
	state, err := statemachine.Restore(s.State)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	case s.Format < 1 || s.Index == 0 || state.Index != s.Index || state.Generation != s.Version || len(s.Members) == 0:
		return fmt.Errorf("%w: index %d, state at %d, version %d, %d members", ErrCorrupt, s.Index, state.Index, s.Version, len(s.Members))
	}
	return nil
}

// Write writes a snapshot to a file that must not exist yet. After an error it leaves no new file.
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
		_ = os.Remove(path + snapshotfile.TemporarySuffix) // a partial file, for example after the disk was full
		return trace.ConvertSystemError(err)
	}
	return nil
}

// Read reads a snapshot from a file and validates it. Errors are ErrCorrupt, ErrNewerVersion, and those of the operating system,
// converted by package trace.
func Read(path string) (*Snapshot, error) {
	body, err := snapshotfile.Read(snapshotfile.Disk{}, path)
	switch {
	case errors.Is(err, snapshotfile.ErrNewerVersion):
		return nil, fmt.Errorf("%s: %w", path, ErrNewerVersion)
	case errors.Is(err, snapshotfile.ErrCorrupt):
		return nil, fmt.Errorf("%s: %w", path, ErrCorrupt)
	case err != nil:
		return nil, trace.ConvertSystemError(err)
	}
	snapshot, err := Decode(body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return snapshot, nil
}
