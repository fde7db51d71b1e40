package control

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/statemachine"
)

// BenchmarkLogGrowth tells what changes cost three members, by routes and changes: bytes that the one that leads sends, bytes
// and syncs on each disk, the size of a snapshot, what stands in the log in the end, and the memory of one member's state.
func BenchmarkLogGrowth(b *testing.B) {
	for _, routes := range []int{10, 100, 900, 2000} {
		for _, changes := range []int64{10, 100, 400, 2000} {
			b.Run(fmt.Sprintf("routes=%d/changes=%d", routes, changes), func(b *testing.B) {
				for b.Loop() {
					w := newByteCostCluster(1, routes, 5)
					for w.acknowledged < 1 {
						w.RunFor(10)
					}
					sent, stored, syncs := int64(0), int64(0), int64(0)
					for _, p := range w.members {
						sent, stored, syncs = sent-p.sentBytes, stored-p.storedBytes, syncs-p.syncs
					}
					for w.acknowledged <= changes {
						w.RunFor(10)
					}
					w.stopped = true
					w.RunFor(500)
					for _, p := range w.members {
						sent, stored, syncs = sent+p.sentBytes, stored+p.storedBytes, syncs+p.syncs
					}
					entries, bytes := w.members[0].server.consensus.SinceSnapshot()
					snapshot := w.members[0].server.state.Snapshot()
					var before, after runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&before)
					var states []*statemachine.State
					for range 16 {
						s, err := statemachine.Restore(snapshot)
						require.NoError(b, err)
						states = append(states, s)
					}
					runtime.GC()
					runtime.ReadMemStats(&after)
					n := float64(changes)
					b.ReportMetric(float64(sent)/n, "sent_B/change")
					b.ReportMetric(float64(stored)/3/n, "stored_B/change")
					b.ReportMetric(float64(syncs)/3/n, "syncs/change")
					b.ReportMetric(float64(len(snapshot)), "snapshot_B")
					b.ReportMetric(float64(entries), "log_entries")
					b.ReportMetric(float64(bytes), "log_B")
					b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/16, "state_B")
					runtime.KeepAlive(states)
				}
			})
		}
	}
}
