package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"ferrypitch/internal/control/consensus"
)

// BenchmarkGrowth tells what a file costs by entries and their size: bytes and time of one more, and of a new life.
func BenchmarkGrowth(b *testing.B) {
	for _, size := range []int{100, 300_000} {
		for _, n := range []int{10, 400} {
			if size*n > 40_000_000 {
				continue
			}
			b.Run(fmt.Sprintf("state=%d/entries=%d", size, n), func(b *testing.B) {
				folder := b.TempDir()
				d, _, _, _ := Open(folder, fresh)
				s := consensus.Snapshot{Index: 1, Term: 1, Data: make([]byte, size)}
				d.Save([]consensus.Write{{Snapshot: &s, CompactThrough: 1}})
				before, _ := os.Stat(filepath.Join(folder, "ratchet.db"))
				for i := range n {
					d.Save([]consensus.Write{{FirstIndex: uint64(i + 2), Entries: []consensus.Entry{entry(1, string(make([]byte, 85)))}}})
				}
				after, _ := os.Stat(filepath.Join(folder, "ratchet.db"))
				d.Close()
				for b.Loop() {
					d, _, kept, err := Open(folder, fresh)
					if err != nil || len(kept.Entries) != n {
						b.Fatal(err, len(kept.Entries))
					}
					d.Close()
				}
				b.ReportMetric(float64(after.Size()-before.Size())/float64(n), "B/entry")
				b.ReportMetric(float64(after.Size()), "file_B")
			})
		}
	}
}
