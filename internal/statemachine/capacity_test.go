package statemachine_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/statesize"
	"ferrypitch/internal/statemachine"
)

// The figures of docs/CAPACITY.md: what the replicated state costs, by the size of the deployment.

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

// What a proxy or a member does with a snapshot, and how much memory the restored state has.
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

// A complete configuration in which one route differs: what it costs to check and encode the update, and below, what it costs
// each member and each proxy to apply it.
func BenchmarkEncodeConfigUpdate(b *testing.B) {
	forEachSize(b, func(b *testing.B, size statesize.Size) {
		state := size.State()
		for b.Loop() {
			b.ReportMetric(float64(len(statemachine.EncodeChange(size.ConfigUpdate(state)))), "bytes")
		}
		b.ReportMetric(float64(len(state.ConfigBody)), "bytes-sent")
	})
}

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

// A host is added to a state that has all others.
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

// This is asked for at each renewal of a lease.
func BenchmarkLatestRevocation(b *testing.B) {
	forEachSize(b, func(b *testing.B, size statesize.Size) {
		state := size.State()
		for b.Loop() {
			state.LatestRevocation()
		}
	})
}
