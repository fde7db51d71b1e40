package statemachine_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/statesize"
	"ferrypitch/internal/statemachine"
)

// These benchmarks measure the cost of the replicated state by deployment size, for docs/CAPACITY.md.

func forEachSize(b *testing.B, run func(b *testing.B, size statesize.Size)) {
	for _, size := range statesize.Sizes {
		b.Run(size.String(), func(b *testing.B) { run(b, size) })
	}
}

func BenchmarkSnapshot(b *testing.B) {
	forEachSize(b, func(b *testing.B, size statesize.Size) {
		state := size.State()
		for b.Loop() {
			b.ReportMetric(float64(len(state.Snapshot())), "bytes")
		}
	})
}

// BenchmarkRestore measures the time to restore a snapshot, as proxies and members do, and the heap size of the restored state.
func BenchmarkRestore(b *testing.B) {
	forEachSize(b, func(b *testing.B, size statesize.Size) {
		snapshot := size.State().Snapshot()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		restored, err := statemachine.Restore(snapshot)
		require.NoError(b, err)
		runtime.GC()
		runtime.ReadMemStats(&after)
		for b.Loop() {
			_, err := statemachine.Restore(snapshot)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		runtime.KeepAlive(restored)
	})
}

// BenchmarkEncodeConfigUpdate measures the leader's cost to check and encode a complete configuration in which one route changed.
func BenchmarkEncodeConfigUpdate(b *testing.B) {
	forEachSize(b, func(b *testing.B, size statesize.Size) {
		state := size.State()
		for b.Loop() {
			b.ReportMetric(float64(len(statemachine.EncodeChange(size.ConfigUpdate(state)))), "bytes")
		}
		b.ReportMetric(float64(len(state.ConfigBody)), "bytes-sent")
	})
}

// BenchmarkApplyConfigUpdate measures the cost for each member and each proxy to apply such an update.
func BenchmarkApplyConfigUpdate(b *testing.B) {
	forEachSize(b, func(b *testing.B, size statesize.Size) {
		state := size.State()
		other := size.State()
		var bodies [][]byte
		for i := range 20 {
			c := size.ConfigUpdate(other)
			bodies = append(bodies, statemachine.EncodeChange(c))
			require.NoError(b, other.Apply(other.Index+uint64(i)+1, c))
		}
		next := 0
		for b.Loop() {
			if next == len(bodies) {
				b.StopTimer()
				state, next = size.State(), 0
				b.StartTimer()
			}
			c, err := statemachine.DecodeChange(bodies[next])
			require.NoError(b, err)
			require.NoError(b, state.Apply(state.Index+1, c))
			next++
		}
	})
}

// BenchmarkAddHost measures adding a host to a state that already has all other hosts.
func BenchmarkAddHost(b *testing.B) {
	forEachSize(b, func(b *testing.B, size statesize.Size) {
		state := size.State()
		h := statesize.HostAt(size.Hosts())
		body := statemachine.EncodeChange(statemachine.Change{AddHost: &h})
		for b.Loop() {
			c, err := statemachine.DecodeChange(body)
			require.NoError(b, err)
			require.NoError(b, state.Apply(state.Index+1, c))
			delete(state.Hosts, h.ID)
		}
		b.ReportMetric(float64(len(body)), "bytes")
	})
}

func BenchmarkAppointPrimary(b *testing.B) {
	forEachSize(b, func(b *testing.B, size statesize.Size) {
		state := size.State()
		body := statemachine.EncodeChange(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: statesize.ServiceName(3), Host: statesize.HostAt(10).ID, Term: 2}})
		for b.Loop() {
			c, err := statemachine.DecodeChange(body)
			require.NoError(b, err)
			require.NoError(b, state.Apply(state.Index+1, c))
		}
		b.ReportMetric(float64(len(body)), "bytes")
	})
}

// BenchmarkLatestRevocation measures LatestRevocation, which is called for each lease renewal.
func BenchmarkLatestRevocation(b *testing.B) {
	forEachSize(b, func(b *testing.B, size statesize.Size) {
		state := size.State()
		for b.Loop() {
			state.LatestRevocation()
		}
	})
}
