package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
)

// files are the files of a folder, by name.
type files map[string]string

func writeFiles(t *testing.T, folder string, all files) {
	t.Helper()
	for name, content := range all {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600))
	}
}

func readFiles(t *testing.T, folder string) files {
	t.Helper()
	all := files{}
	for _, name := range fileNames(t, folder) {
		content, err := os.ReadFile(filepath.Join(folder, name))
		require.NoError(t, err)
		all[name] = string(content)
	}
	return all
}

// contentAfterSteps returns what a member's file has after its identity was stored, and after each of saveSteps.
func contentAfterSteps(t *testing.T, identity Identity) (contents []string) {
	t.Helper()
	folder := t.TempDir()
	wal, _, _, err := Open(folder, func() Identity { return identity })
	require.NoError(t, err)
	contents = append(contents, readFiles(t, folder)[fileName])
	for _, step := range saveSteps {
		require.NoError(t, wal.Save([]consensus.Write{step.write}))
		contents = append(contents, readFiles(t, folder)[fileName])
	}
	require.NoError(t, wal.Close())
	return contents
}

var errPowerLoss = errors.New("power loss")

// volatileFolder changes the names in a real folder, and knows what a loss of power may leave of them: the names that were
// synced, with any of the later changes, each not made, made, or, where it is a rename, made by half: with both names there.
type volatileFolder struct {
	folder     string
	synced     files
	unsynced   [][]func(files) // for each change the forms in which it may have reached the disk
	steps      int
	failAtStep int // the power fails at this step; 0: never
}

func (f *volatileFolder) step() error {
	if f.steps++; f.steps == f.failAtStep {
		return errPowerLoss
	}
	return nil
}

func (f *volatileFolder) Rename(from, to string) error {
	if err := f.step(); err != nil {
		return err
	}
	from, to = filepath.Base(from), filepath.Base(to)
	link := func(names files) {
		if content, found := names[from]; found {
			names[to] = content
		}
	}
	f.unsynced = append(f.unsynced, []func(files){func(files) {}, link, func(names files) { link(names); delete(names, from) }})
	return os.Rename(filepath.Join(f.folder, from), filepath.Join(f.folder, to))
}

func (f *volatileFolder) Remove(path string) error {
	if err := f.step(); err != nil {
		return err
	}
	f.unsynced = append(f.unsynced, []func(files){func(files) {}, func(names files) { delete(names, filepath.Base(path)) }})
	return os.Remove(path)
}

func (f *volatileFolder) SyncFolder(string) error {
	if err := f.step(); err != nil {
		return err
	}
	for _, forms := range f.unsynced {
		forms[len(forms)-1](f.synced)
	}
	f.unsynced = nil
	return nil
}

// afterPowerLoss returns each set of files that may be there after the power failed now.
func (f *volatileFolder) afterPowerLoss() []files {
	all := []files{maps.Clone(f.synced)}
	for _, forms := range f.unsynced {
		var next []files
		for _, names := range all {
			for _, form := range forms {
				changed := maps.Clone(names)
				form(changed)
				next = append(next, changed)
			}
		}
		all = next
	}
	return all
}

// takeoverCase is a folder and what Open must find in it.
type takeoverCase struct {
	name       string
	before     files
	want       string // as describe writes it
	member     consensus.ID
	superseded string // content of the file that is put aside; empty: none is
	steps      int    // of the takeover: calls that change or sync names
}

func takeoverCases(t *testing.T) []takeoverCase {
	t.Helper()
	contents := contentAfterSteps(t, newFounder())
	const early, late = 5, 6 // no step between them removes anything, so the state after both is that of late
	later := contentAfterSteps(t, Identity{ID: "a+later"})
	torn := contents[late+1][:len(contents[late+1])-5]
	return []takeoverCase{
		{"old name only", files{legacyFileName: contents[late]}, saveSteps[late-1].want, "a", "", 2},
		{"old name only, torn", files{legacyFileName: torn}, saveSteps[late-1].want, "a", "", 2},
		{"new name only", files{fileName: contents[late]}, saveSteps[late-1].want, "a", "", 0},
		{"the same twice", files{fileName: contents[late], legacyFileName: contents[late]}, saveSteps[late-1].want, "a", "", 2},
		{"new name has more", files{fileName: contents[late], legacyFileName: contents[early]}, saveSteps[late-1].want, "a", "", 2},
		{"old name has more", files{fileName: contents[early], legacyFileName: contents[late]}, saveSteps[late-1].want, "a", "", 2},
		{"old name has more and is torn", files{fileName: contents[early], legacyFileName: torn}, saveSteps[late-1].want, "a", "", 2},
		{"new name is torn", files{fileName: torn, legacyFileName: contents[early]}, saveSteps[late-1].want, "a", "", 2},
		{
			"new name is torn, old name has more",
			files{fileName: contents[early] + "*3\r\n$3\r\nset\r\n$4\r\nme", legacyFileName: contents[late]},
			saveSteps[late-1].want, "a", "", 2,
		},
		{"old name is empty", files{fileName: contents[late], legacyFileName: ""}, saveSteps[late-1].want, "a", "", 2},
		{"new name is empty", files{fileName: "", legacyFileName: contents[late]}, saveSteps[late-1].want, "a", "", 2},
		{
			"an older release began as a new member",
			files{fileName: contents[late], legacyFileName: later[early]},
			saveSteps[early-1].want, "a+later", contents[late], 4,
		},
	}
}

// requireTakenOver opens a folder and checks that the right file counts, that it is served on, and that nothing was lost.
func requireTakenOver(t *testing.T, folder string, c takeoverCase, context string) {
	t.Helper()
	got, id := reopened(t, folder)
	require.Equal(t, c.want, got, context)
	require.Equal(t, c.member, id, context)
	after := readFiles(t, folder)
	require.NotContains(t, after, legacyFileName, context)
	require.Equal(t, c.superseded, after[fileName+supersededSuffix], context)
	require.NotContains(t, after, fileName+brokenSuffix, context)

	wal, _, restored, err := Open(folder, newFounder)
	require.NoError(t, err)
	next := restored.Snapshot.Index + uint64(len(restored.Entries)) + 1
	require.NoError(t, wal.Save([]consensus.Write{{FirstIndex: next, Entries: []consensus.Entry{entry(9, "added")}}}))
	require.NoError(t, wal.Close())
	got, _ = reopened(t, folder)
	require.Contains(t, got, "9added", context)
}

func TestTakeoverOfTheOldFileName(t *testing.T) {
	for _, c := range takeoverCases(t) {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			writeFiles(t, folder, c.before)
			requireTakenOver(t, folder, c, c.name)
		})
	}
}

// Wherever a takeover is cut short, by the end of the process or by a loss of power, and wherever the next one is cut short
// again, the same state is there afterwards.
func TestTakeoverCutShortAtAnyStepLosesNothing(t *testing.T) {
	states := 0
	for _, c := range takeoverCases(t) {
		t.Run(c.name, func(t *testing.T) {
			steps := exploreTakeover(t, c.before, 2, func(context string, left files) {
				states++
				folder := t.TempDir()
				writeFiles(t, folder, left)
				requireTakenOver(t, folder, c, fmt.Sprint(context, ": ", slices.Sorted(maps.Keys(left))))
			})
			require.Equal(t, c.steps, steps)
		})
	}
	require.Greater(t, states, 100, "states were reached")
	t.Logf("%d states", states)
}

// exploreTakeover cuts a takeover short before each of its steps and after the last, and calls check with what may be left
// each time; interruptions is how often in a row. It returns how many steps the first takeover has.
func exploreTakeover(t *testing.T, before files, interruptions int, check func(context string, left files)) (steps int) {
	t.Helper()
	for failAtStep := 1; ; failAtStep++ {
		folder := t.TempDir()
		writeFiles(t, folder, before)
		names := &volatileFolder{folder: folder, synced: maps.Clone(before), failAtStep: failAtStep}
		err := takeOverLegacyFile(names, folder)
		for _, left := range append(names.afterPowerLoss(), readFiles(t, folder)) {
			check(fmt.Sprintf("cut at step %d, %d more", failAtStep, interruptions-1), left)
			if interruptions > 1 {
				exploreTakeover(t, left, interruptions-1, check)
			}
		}
		if err == nil {
			return names.steps
		}
		require.ErrorIs(t, err, errPowerLoss)
	}
}

// A rename that no sync made durable may come undone while the member has gone on writing.
func TestTakeoverThatComesUndoneLosesNoLaterWrite(t *testing.T) {
	folder := t.TempDir()
	contents := contentAfterSteps(t, newFounder())
	writeFiles(t, folder, files{legacyFileName: contents[2]})
	wal, _, _, err := Open(folder, newFounder)
	require.NoError(t, err)
	for _, step := range saveSteps[2:] {
		require.NoError(t, wal.Save([]consensus.Write{step.write}))
	}
	require.NoError(t, wal.Close())
	require.NoError(t, os.Rename(filepath.Join(folder, fileName), filepath.Join(folder, legacyFileName)))
	got, id := reopened(t, folder)
	require.EqualValues(t, "a", id)
	require.Equal(t, saveSteps[len(saveSteps)-1].want, got)
}

// Where it can't be told which file is newer, neither is opened, changed or renamed, and the error says why.
func TestConflictingFilesAreRefused(t *testing.T) {
	one, other := contentAfterSteps(t, newFounder()), contentAfterSteps(t, newFounder())
	const foreign = "not a file of this package"
	for name, c := range map[string]struct {
		before files
		member consensus.ID
	}{
		"both went on after a copy": {files{fileName: one[4], legacyFileName: other[1] + one[4][len(one[3]):]}, "a"},
		"new name can't be read":    {files{fileName: foreign, legacyFileName: one[4]}, ""},
		"old name can't be read":    {files{fileName: one[4], legacyFileName: foreign}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			writeFiles(t, folder, c.before)
			for range 2 {
				_, _, _, err := Open(folder, newFounder)
				var conflict *ConflictingFilesError
				require.ErrorAs(t, err, &conflict)
				require.Equal(t, ConflictingFilesError{filepath.Join(folder, fileName), filepath.Join(folder, legacyFileName), c.member}, *conflict)
				require.ErrorContains(t, err, legacyFileName)
				_, _, err = ReadFolder(folder)
				require.ErrorAs(t, err, &conflict)
				require.Equal(t, c.before, readFiles(t, folder))
			}
			// What the error asks for helps.
			require.NoError(t, os.Remove(filepath.Join(folder, legacyFileName)))
			_, id := reopened(t, folder)
			require.Equal(t, c.before[fileName] == foreign, id == "learner")
		})
	}
}

// ReadFolder finds what Open finds, and changes nothing.
func TestReadFolderChangesNothing(t *testing.T) {
	for _, c := range takeoverCases(t) {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			writeFiles(t, folder, c.before)
			identity, restored, err := ReadFolder(folder)
			require.NoError(t, err)
			require.Equal(t, c.member, identity.ID)
			require.Equal(t, c.want, describe(restored))
			require.Equal(t, c.before, readFiles(t, folder))
		})
	}
	folder := t.TempDir()
	_, _, err := ReadFolder(folder)
	require.ErrorIs(t, err, fs.ErrNotExist)
	require.Empty(t, readFiles(t, folder))
	writeFiles(t, folder, files{fileName: "not a file of this package"})
	identity, restored, err := ReadFolder(folder)
	require.NoError(t, err)
	require.Zero(t, identity)
	require.Zero(t, restored)
	require.Equal(t, []string{fileName}, fileNames(t, folder))
}
