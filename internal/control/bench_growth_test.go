package control

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/statemachine"
)

// BenchmarkLogGrowth measures the cost of changes for three members, by number of routes and changes: bytes sent, bytes and syncs
// per disk, snapshot size, the final size of the log, and the memory of one member's state.
func BenchmarkLogGrowth(b *testing.B) {
	for _, routes := range []int{10, 100, 900, 2000} {
		for _, changes := range []int64{10, 100, 400, 2000} {
			b.Run(fmt.Sprintf("routes=%d/changes=%d", routes, changes), func(b *testing.B) {
				for b.Loop() {
					measureLogGrowth(b, routes, changes)
				}
			})
		}
	}
}

func measureLogGrowth(b *testing.B, routes int, changes int64) {
	c := newByteCostCluster(1, routes, 5)
	for c.acknowledged < 1 {
		c.RunFor(10)
	}
	sent, stored, syncs := int64(0), int64(0), int64(0)
	for _, m := range c.members {
		sent, stored, syncs = sent-m.sentBytes, stored-m.storedBytes, syncs-m.syncs
	}
	for c.acknowledged <= changes {
		c.RunFor(10)
	}
	c.stopped = true
	c.RunFor(500)
	for _, m := range c.members {
		sent, stored, syncs = sent+m.sentBytes, stored+m.storedBytes, syncs+m.syncs
	}
	entries, logBytes := c.members[0].server.consensus.LogSizeSinceSnapshot()
	snapshot := c.members[0].server.state.Snapshot()
	perChange := float64(changes)
	b.ReportMetric(float64(sent)/perChange, "sent_B/change")
	b.ReportMetric(float64(stored)/3/perChange, "stored_B/change")
	b.ReportMetric(float64(syncs)/3/perChange, "syncs/change")
	b.ReportMetric(float64(len(snapshot)), "snapshot_B")
	b.ReportMetric(float64(entries), "log_entries")
	b.ReportMetric(float64(logBytes), "log_B")
	b.ReportMetric(stateBytes(b, snapshot), "state_B")
}

// stateBytes measures the heap size of one state.
func stateBytes(b *testing.B, snapshot []byte) float64 {
	const states = 16
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var restored []*statemachine.State
	for range states {
		state, err := statemachine.Restore(snapshot)
		require.NoError(b, err)
		restored = append(restored, state)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(restored)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / states
}
