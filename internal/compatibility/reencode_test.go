package compatibility

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/snapshotfile"
	"ferrypitch/internal/statemachine"
)

// commandsOf splits a member's disk into buntdb commands. It sorts them, since buntdb writes the commands of a commit in any order.
// An incomplete command at the end of the file is one of the elements.
func commandsOf(t *testing.T, content []byte) (commands []string) {
	t.Helper()
	for len(content) > 0 {
		size := commandBytes(content)
		commands = append(commands, string(content[:size]))
		content = content[size:]
	}
	slices.Sort(commands)
	return commands
}

// commandBytes returns the size of the first command in bytes, or the size of the whole content if the command is incomplete.
func commandBytes(content []byte) int {
	line, _, _ := bytes.Cut(content, []byte("\r\n"))
	parts, err := strconv.Atoi(strings.TrimPrefix(string(line), "*"))
	if err != nil {
		return len(content)
	}
	size := len(line) + 2
	for range parts {
		line, _, _ := bytes.Cut(content[min(size, len(content)):], []byte("\r\n"))
		length, err := strconv.Atoi(strings.TrimPrefix(string(line), "$"))
		if err != nil {
			return len(content)
		}
		size += len(line) + 2 + length + 2
	}
	return min(size, len(content))
}

// The current code writes the same bytes as the revision that wrote the fixtures: every record of every disk, the view, and the
// trace. It runs in a separate process, since gob numbers types in the order in which a process first uses them.
func TestFixturesAreWrittenAgainByteForByte(t *testing.T) {
	folder := t.TempDir()
	const oldest = "oldest.ratchet.db" // written in a format that the current code no longer writes; the generator only renders it
	content, err := os.ReadFile(filepath.Join("testdata", oldest))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(folder, oldest), content, 0o600))
	self, err := os.Executable()
	require.NoError(t, err)
	output, err := exec.Command(self, "-write-fixtures", "-fixtures-folder", folder).CombinedOutput()
	require.NoError(t, err, string(output))

	files, err := os.ReadDir("testdata")
	require.NoError(t, err)
	compared := 0
	for _, file := range files {
		name := file.Name()
		if name == "README.md" || name == ".gitattributes" {
			continue
		}
		want, err := os.ReadFile(filepath.Join("testdata", name))
		require.NoError(t, err)
		got, err := os.ReadFile(filepath.Join(folder, name))
		require.NoError(t, err)
		if strings.HasSuffix(name, ".db") {
			require.Equal(t, commandsOf(t, want), commandsOf(t, got), name)
			require.Greater(t, len(commandsOf(t, want)), 5, name)
		} else {
			require.Equal(t, string(want), string(got), name)
		}
		compared++
	}
	require.Equal(t, 2*len(disks)+5, compared)
}

// A change that was read in the newest format, and the view, are encoded again to the same bytes.
func TestReadValuesAreEncodedToTheSameBytes(t *testing.T) {
	changes := 0
	for _, name := range disks {
		contents, err := readDisk(copyDisk(t, name))
		require.NoError(t, err)
		for i, entry := range contents.restored.Entries {
			if update := contents.changes[i].UpdateConfig; update == nil || entry.Data[0] != 0 {
				continue // skips gob, whose bytes depend on the process, and updates in the format of older logs
			}
			require.Equal(t, entry.Data, statemachine.EncodeChange(contents.changes[i]), "%s, entry %d", name, i)
			changes++
		}
	}
	require.Equal(t, 12, changes)

	viewFile := filepath.Join("testdata", "forward.keep")
	want, err := os.ReadFile(viewFile)
	require.NoError(t, err)
	body, err := snapshotfile.Read(snapshotfile.Disk{}, viewFile)
	require.NoError(t, err)
	rewritten := filepath.Join(t.TempDir(), "written")
	require.NoError(t, snapshotfile.Write(snapshotfile.Disk{}, rewritten, body))
	got, err := os.ReadFile(rewritten)
	require.NoError(t, err)
	require.Equal(t, want, got)
}
