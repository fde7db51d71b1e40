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

// files maps the file names of a folder to their contents.
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

// contentAfterSteps returns the content of a member's file after its identity was stored and after each of saveSteps.
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

// volatileFolder changes names in a real folder and models what a power loss may leave: the synced names, with any combination of
// the later changes. Each of those is missing, applied or, for a rename, half applied, with both names present.
type volatileFolder struct {
	folder     string
	synced     files
	unsynced   [][]func(files) // for each change, the ways in which it may have reached the disk
	steps      int
	failAtStep int // this step fails with a power loss; 0: never
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

// afterPowerLoss returns every set of files that a power loss at this point may leave.
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

// migrationCase is the content of a folder and the expected result of Open.
type migrationCase struct {
	name       string
	before     files
	want       string // state in the format of describe
	member     consensus.ID
	superseded string // content of the superseded file; empty: there is none
	steps      int    // calls of the migration that change or sync names
}

func migrationCases(t *testing.T) []migrationCase {
	t.Helper()
	contents := contentAfterSteps(t, newFounder())
	const early, late = 5, 6 // no step between them deletes anything, so both files together have the state of late
	later := contentAfterSteps(t, Identity{ID: "a+later"})
	torn := contents[late+1][:len(contents[late+1])-5]
	return []migrationCase{
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

// requireMigrated opens a folder and requires that the right file is used, that it accepts writes, and that nothing is lost.
func requireMigrated(t *testing.T, folder string, c migrationCase, context string) {
	t.Helper()
	got, id := reopen(t, folder)
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
	got, _ = reopen(t, folder)
	require.Contains(t, got, "9added", context)
}

func TestLegacyFileIsMigrated(t *testing.T) {
	for _, c := range migrationCases(t) {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			writeFiles(t, folder, c.before)
			requireMigrated(t, folder, c, c.name)
		})
	}
}

// A migration interrupted at any step, by the end of the process or a power loss, with the next one interrupted at any step again,
// always leads to the same state.
func TestMigrationInterruptedAtAnyStepLosesNothing(t *testing.T) {
	states := 0
	for _, c := range migrationCases(t) {
		t.Run(c.name, func(t *testing.T) {
			steps := exploreMigration(t, c.before, 2, func(context string, left files) {
				states++
				folder := t.TempDir()
				writeFiles(t, folder, left)
				requireMigrated(t, folder, c, fmt.Sprint(context, ": ", slices.Sorted(maps.Keys(left))))
			})
			require.Equal(t, c.steps, steps)
		})
	}
	require.Greater(t, states, 100, "states were reached")
	t.Logf("%d states", states)
}

// exploreMigration interrupts a migration before each of its steps and after the last, and calls check with every result that may
// be left. interruptions is the number of consecutive interruptions. It returns the number of steps of the first migration.
func exploreMigration(t *testing.T, before files, interruptions int, check func(context string, left files)) (steps int) {
	t.Helper()
	for failAtStep := 1; ; failAtStep++ {
		folder := t.TempDir()
		writeFiles(t, folder, before)
		names := &volatileFolder{folder: folder, synced: maps.Clone(before), failAtStep: failAtStep}
		err := migrateLegacyFile(names, folder)
		for _, left := range append(names.afterPowerLoss(), readFiles(t, folder)) {
			check(fmt.Sprintf("cut at step %d, %d more", failAtStep, interruptions-1), left)
			if interruptions > 1 {
				exploreMigration(t, left, interruptions-1, check)
			}
		}
		if err == nil {
			return names.steps
		}
		require.ErrorIs(t, err, errPowerLoss)
	}
}

// A rename that was not synced may be undone by a power loss after the member has written more.
func TestUndoneMigrationLosesNoLaterWrite(t *testing.T) {
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
	got, id := reopen(t, folder)
	require.EqualValues(t, "a", id)
	require.Equal(t, saveSteps[len(saveSteps)-1].want, got)
}

// If it is not known which file is newer, Open fails with an explanation and neither opens, changes nor renames a file.
func TestConflictingFilesAreRefused(t *testing.T) {
	one, other := contentAfterSteps(t, newFounder()), contentAfterSteps(t, newFounder())
	const foreign = "not a file of this package"
	for name, c := range map[string]struct {
		before files
		member consensus.ID
	}{
		"both changed after a copy": {files{fileName: one[4], legacyFileName: other[1] + one[4][len(one[3]):]}, "a"},
		"new name is unreadable":    {files{fileName: foreign, legacyFileName: one[4]}, ""},
		"old name is unreadable":    {files{fileName: one[4], legacyFileName: foreign}, ""},
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
			// Removing one file, as the error message asks, resolves the conflict.
			require.NoError(t, os.Remove(filepath.Join(folder, legacyFileName)))
			_, id := reopen(t, folder)
			require.Equal(t, c.before[fileName] == foreign, id == "learner")
		})
	}
}

// ReadFolder returns the same as Open and changes nothing.
func TestReadFolderChangesNothing(t *testing.T) {
	for _, c := range migrationCases(t) {
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
