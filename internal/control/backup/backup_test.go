package backup

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/snapshotfile"
	"ferrypitch/internal/statemachine"
)

var founders = []consensus.ID{"10.0.0.1", "10.0.0.2", "10.0.0.3"}

// exampleState returns a state at index 40 with a configuration, a host, a primary and a proxy.
func exampleState(t *testing.T) *statemachine.State {
	t.Helper()
	state := &statemachine.State{}
	body := `{"Generation":7,"Routes":[{"Name":"r","Host":"db","Kind":"leader","DeadlineMs":100,"Service":"s"}],"Services":[{"Name":"s"}]}`
	for index, change := range map[uint64]statemachine.Change{
		1: {UpdateConfig: &statemachine.ConfigUpdate{Body: []byte(body)}},
	} {
		require.NoError(t, state.Apply(index, change))
	}
	require.NoError(t, state.Apply(2, statemachine.Change{AddHost: &statemachine.Host{ID: "h1", Service: "s", Address: "10.1.0.1:1"}}))
	require.NoError(t, state.Apply(3, statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: "s", Host: "h1", Term: 4}}))
	require.NoError(t, state.Apply(40, statemachine.Change{UpdateProxy: &statemachine.ProxyMembership{Name: "p1"}}))
	return state
}

func options() Options { return Options{Self: founders[0], Founders: founders} }

func TestSnapshotIsWrittenAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "system.snapshot")
	snapshot := New(exampleState(t), 9, founders)
	require.NoError(t, Write(path, snapshot))
	read, err := Read(path)
	require.NoError(t, err)
	require.Equal(t, snapshot, read)
	require.ErrorIs(t, Write(path, snapshot), ErrExists)
}

// A file that is truncated at any byte or has a flipped bit in any byte is rejected.
func TestDamagedFilesAreRefused(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "good")
	require.NoError(t, Write(path, New(exampleState(t), 9, founders)))
	good, err := os.ReadFile(path)
	require.NoError(t, err)
	damaged := filepath.Join(folder, "damaged")
	for size := range good {
		require.NoError(t, os.WriteFile(damaged, good[:size], 0o600))
		_, err := Read(damaged)
		require.ErrorIs(t, err, ErrCorrupt, "cut at %d of %d", size, len(good))
	}
	for offset := range good {
		flipped := bytes.Clone(good)
		flipped[offset] ^= 1 << (offset % 8)
		require.NoError(t, os.WriteFile(damaged, flipped, 0o600))
		_, err := Read(damaged)
		require.Error(t, err, "byte %d", offset)
		require.True(t, errors.Is(err, ErrCorrupt) || errors.Is(err, ErrNewerVersion), "byte %d: %v", offset, err)
	}
	_, err = Read(filepath.Join(folder, "missing"))
	require.True(t, trace.IsNotFound(err), "%v", err)
}

// Snapshots answered by a member are validated like files.
func TestInvalidSnapshotResponsesAreRejected(t *testing.T) {
	for name, change := range map[string]func(s *Snapshot){
		"a newer format":    func(s *Snapshot) { s.Format = format + 1 },
		"no format":         func(s *Snapshot) { s.Format = 0 },
		"another index":     func(s *Snapshot) { s.Index++ },
		"another version":   func(s *Snapshot) { s.Version++ },
		"no members":        func(s *Snapshot) { s.Members = nil },
		"no state":          func(s *Snapshot) { s.State = nil },
		"a truncated state": func(s *Snapshot) { s.State = s.State[:len(s.State)/2] },
	} {
		snapshot := New(exampleState(t), 9, founders)
		change(snapshot)
		want := ErrCorrupt
		if snapshot.Format > format {
			want = ErrNewerVersion
		}
		require.ErrorIs(t, snapshot.check(), want, name)
		_, err := Restore(t.TempDir(), snapshot, options())
		require.ErrorIs(t, err, want, name)
	}
	for _, body := range []string{"", "null", "[]", `{"Format":1}`, "<html>"} {
		_, err := Decode([]byte(body))
		require.ErrorIs(t, err, ErrCorrupt, "%q", body)
	}
}

// fullDisk is a disk that is full after a number of bytes.
type fullDisk struct {
	snapshotfile.Disk
	remaining int
}

type fullFile struct {
	snapshotfile.File
	disk *fullDisk
}

func (d *fullDisk) Create(path string) (snapshotfile.File, error) {
	file, err := d.Disk.Create(path)
	return &fullFile{file, d}, err
}

func (f *fullFile) Write(data []byte) (int, error) {
	if len(data) <= f.disk.remaining {
		f.disk.remaining -= len(data)
		return f.File.Write(data)
	}
	written, err := f.File.Write(data[:f.disk.remaining])
	return written, errors.Join(err, syscall.ENOSPC)
}

// If the disk is full, neither a complete nor a partial file stays.
func TestFullDiskLeavesNoFile(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "system.snapshot")
	require.Error(t, write(&fullDisk{remaining: 100}, path, New(exampleState(t), 9, founders)))
	names, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Empty(t, names)
}

// A restored control plane starts with the state of the snapshot, at an index and a term that the old one cannot have reached.
func TestRestoredDirectoryIsThatOfAFounder(t *testing.T) {
	state := exampleState(t)
	for _, self := range founders {
		folder := filepath.Join(t.TempDir(), "disk")
		restored, err := Restore(folder, New(state, 9, founders), Options{Self: self, Founders: founders})
		require.NoError(t, err)
		require.Equal(t, &Restored{
			Member: self, Founders: founders, Index: 40 + indexGap, Term: 9 + termGap, Version: 7, Hosts: 1, Proxies: 1,
		}, restored)
		identity, disk, err := storage.ReadFolder(folder)
		require.NoError(t, err)
		require.Equal(t, storage.Identity{ID: self, Founders: founders}, identity)
		require.Equal(t, founders, disk.Snapshot.Members)
		require.Empty(t, disk.Entries)
		back, err := statemachine.Restore(disk.Snapshot.Data)
		require.NoError(t, err)
		require.Equal(t, state.Digest().Ranges, back.Digest().Ranges)
		require.EqualValues(t, 40+indexGap, back.Index)
	}
}

// fillFolder creates the data directory of a member whose log ends at lastIndex, and returns it open.
func fillFolder(t *testing.T, folder string, lastIndex uint64) *storage.WAL {
	t.Helper()
	wal, _, _, err := storage.Open(folder, func() storage.Identity { return storage.Identity{ID: "10.0.0.1", Founders: founders} })
	require.NoError(t, err)
	for index := uint64(1); index <= lastIndex; index++ {
		entry := consensus.Entry{Term: 1, Data: fmt.Appendf(nil, "e%d", index)}
		require.NoError(t, wal.Save([]consensus.Write{{Seq: index, FirstIndex: index, Entries: []consensus.Entry{entry}}}))
	}
	return wal
}

// Existing data is replaced only if the snapshot covers it or DiscardIndex is its last index. It is kept under another name.
func TestNewerDataIsDiscardedOnlyIfConfirmed(t *testing.T) {
	snapshot := New(exampleState(t), 9, founders)
	for _, test := range []struct {
		existing, discard uint64
		refused           bool
	}{{0, 0, false}, {40, 0, false}, {41, 0, true}, {41, 40, true}, {41, 42, true}, {41, 41, false}} {
		folder := t.TempDir()
		if test.existing > 0 {
			require.NoError(t, fillFolder(t, folder, test.existing).Close())
		}
		o := options()
		o.DiscardIndex = test.discard
		restored, err := Restore(folder, snapshot, o)
		_, disk, readErr := storage.ReadFolder(folder)
		require.NoError(t, readErr)
		if test.refused {
			require.ErrorIs(t, err, ErrNewerData, "%+v", test)
			require.Len(t, disk.Entries, int(test.existing), "%+v: the directory is unchanged", test)
			continue
		}
		require.NoError(t, err, "%+v", test)
		require.Equal(t, test.discard, restored.Discarded)
		require.EqualValues(t, 40+indexGap, disk.Snapshot.Index)
		if test.existing > 0 {
			_, err := os.Stat(filepath.Join(folder, "consensus.db.superseded"))
			require.NoError(t, err, "%+v: the old file is kept", test)
		}
	}
}

func TestRestoreIsRefused(t *testing.T) {
	snapshot := New(exampleState(t), 9, founders)
	_, err := Restore(t.TempDir(), snapshot, Options{Self: "10.0.0.9", Founders: founders})
	require.True(t, trace.IsBadParameter(err), "%v", err)

	foreign := Options{Self: "10.7.0.1", Founders: []consensus.ID{"10.7.0.1", "10.7.0.2", "10.7.0.3"}}
	_, err = Restore(t.TempDir(), snapshot, foreign)
	require.ErrorIs(t, err, ErrOtherSystem)
	foreign.OtherSystem = true
	_, err = Restore(t.TempDir(), snapshot, foreign)
	require.NoError(t, err)

	folder := t.TempDir()
	wal := fillFolder(t, folder, 3)
	_, err = Restore(folder, snapshot, options())
	require.ErrorIs(t, err, storage.ErrLocked, "a member runs on the folder")
	require.NoError(t, wal.Close())

	broken := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(broken, "consensus.db"), []byte("what is this"), 0o600))
	_, err = Restore(broken, snapshot, options())
	require.ErrorIs(t, err, ErrNewerData)
}

// No input makes Decode panic or accept a state that does not match its digest.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Format":1,"Index":1,"Term":1,"Version":1,"Members":["a"],"State":"AHJhY2sx"}`))
	f.Add([]byte(`{"Format":2}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		snapshot, err := Decode(body)
		if err == nil && len(snapshot.State) == 0 {
			t.Fatal("an empty state was accepted")
		}
		random := rand.New(rand.NewPCG(1, uint64(len(body))))
		if len(body) > 0 {
			cut := body[:random.IntN(len(body))]
			_, _ = Decode(cut) // an error, or a snapshot; no panic
		}
	})
}
