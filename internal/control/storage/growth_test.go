package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/consensus"
)

// BenchmarkGrowth measures, by snapshot size and number of entries, the file growth per entry and the duration of Open.
func BenchmarkGrowth(b *testing.B) {
	const maxFileBytes, entryBytes = 40_000_000, 85
	for _, stateBytes := range []int{100, 300_000} {
		for _, entries := range []int{10, 400} {
			if stateBytes*entries > maxFileBytes {
				continue
			}
			b.Run(fmt.Sprintf("state=%d/entries=%d", stateBytes, entries), func(b *testing.B) {
				folder := b.TempDir()
				path := filepath.Join(folder, fileName)
				wal, _, _, err := Open(folder, newFounder)
				require.NoError(b, err)
				snapshot := consensus.Snapshot{Index: 1, Term: 1, Data: make([]byte, stateBytes)}
				require.NoError(b, wal.Save([]consensus.Write{{Snapshot: &snapshot, CompactThrough: 1}}))
				before, err := os.Stat(path)
				require.NoError(b, err)
				for i := range entries {
					added := []consensus.Entry{entry(1, string(make([]byte, entryBytes)))}
					require.NoError(b, wal.Save([]consensus.Write{{FirstIndex: uint64(i + 2), Entries: added}}))
				}
				after, err := os.Stat(path)
				require.NoError(b, err)
				require.NoError(b, wal.Close())
				for b.Loop() {
					wal, _, restored, err := Open(folder, newFounder)
					require.NoError(b, err)
					require.Len(b, restored.Entries, entries)
					require.NoError(b, wal.Close())
				}
				b.ReportMetric(float64(after.Size()-before.Size())/float64(entries), "B/entry")
				b.ReportMetric(float64(after.Size()), "file_B")
			})
		}
	}
}
