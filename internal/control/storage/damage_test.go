package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
)

// An open folder cannot be opened a second time until it is closed.
func TestFolderIsLockedWhileOpen(t *testing.T) {
	folder := t.TempDir()
	wal, _, _, err := Open(folder, newFounder)
	require.NoError(t, err)
	_, _, _, err = Open(folder, newFounder)
	require.ErrorIs(t, err, ErrLocked)
	require.ErrorContains(t, err, folder)
	require.NoError(t, wal.Close())
	_, id := reopen(t, folder)
	require.EqualValues(t, "a", id)
}

// Open removes the temporary file of an interrupted compaction.
func TestLeftoverCopyIsRemoved(t *testing.T) {
	folder := t.TempDir()
	wal, _, _, err := Open(folder, newFounder)
	require.NoError(t, err)
	require.NoError(t, wal.Close())
	require.NoError(t, os.WriteFile(filepath.Join(folder, fileName+temporarySuffix), []byte("half"), 0o600))
	_, id := reopen(t, folder)
	require.EqualValues(t, "a", id)
	require.Equal(t, []string{fileName}, fileNames(t, folder))
}

// filledWAL returns an open WAL after all of saveSteps.
func filledWAL(t *testing.T, folder string) *WAL {
	t.Helper()
	wal, _, _, err := Open(folder, newFounder)
	require.NoError(t, err)
	for _, step := range saveSteps {
		require.NoError(t, wal.Save([]consensus.Write{step.write}))
	}
	return wal
}

// Scrub detects changed bytes on disk and repairs the file, so that nothing is missing after the next start.
func TestScrubRepairsDamageOnDisk(t *testing.T) {
	folder := t.TempDir()
	wal := filledWAL(t, folder)
	want := saveSteps[len(saveSteps)-1].want
	damaged, err := wal.Scrub()
	require.NoError(t, err)
	require.False(t, damaged, "the file is not damaged yet")
	size := len(readFile(t, wal.path))
	found, places := 0, 0
	for place := 0; place < size; place += 7 {
		content := readFile(t, wal.path)
		if place >= len(content) {
			break
		}
		places++
		file, err := os.OpenFile(wal.path, os.O_WRONLY, 0)
		require.NoError(t, err)
		_, err = file.WriteAt([]byte{content[place] ^ 0x15}, int64(place))
		require.NoError(t, err)
		require.NoError(t, file.Close())
		damaged, err := wal.Scrub()
		require.NoError(t, err)
		if damaged {
			found++
			require.Equal(t, len(readFile(t, wal.path)), validPrefix(readFile(t, wal.path)))
		} else { // the byte is part of a record's key, which no checksum covers: restore it
			require.NoError(t, os.WriteFile(wal.path, content, 0o600))
		}
	}
	require.Greater(t, found, places*9/10, "of %d changed bytes", places)
	require.NoError(t, wal.Save([]consensus.Write{{FirstIndex: 11, Entries: []consensus.Entry{entry(4, "s")}}}))
	require.NoError(t, wal.Close())
	got, id := reopen(t, folder)
	require.EqualValues(t, "a", id)
	require.Equal(t, want[:len(want)-1]+" 4s]", got)
}
