package statemachine_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/simulation/statesize"
)

// The figures of docs/CAPACITY.md: what the replicated state costs at a size.

func sizes(b *testing.B, run func(b *testing.B, e statesize.Size)) {
	for _, e := range statesize.Sizes {
		b.Run(e.String(), func(b *testing.B) { run(b, e) })
	}
}

func BenchmarkSnapshot(b *testing.B) {
	sizes(b, func(b *testing.B, e statesize.Size) {
		s := e.State()
		for b.Loop() {
			b.ReportMetric(float64(len(s.Snapshot())), "bytes")
		}
	})
}

// What a router or a member does with a snapshot, and what the state that comes of it holds of memory.
func BenchmarkRestore(b *testing.B) {
	sizes(b, func(b *testing.B, e statesize.Size) {
		snapshot := e.State().Snapshot()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		held, err := statemachine.Restore(snapshot)
		require.NoError(b, err)
		runtime.GC()
		runtime.ReadMemStats(&after)
		for b.Loop() {
			statemachine.Restore(snapshot)
		}
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		runtime.KeepAlive(held)
	})
}

// A whole configuration in which one route differs: what its order costs where it is checked, and what it costs each
// member and each router that applies it.
func BenchmarkOrder(b *testing.B) {
	sizes(b, func(b *testing.B, e statesize.Size) {
		s := e.State()
		for b.Loop() {
			b.ReportMetric(float64(len(statemachine.EncodeChange(e.ConfigUpdate(s)))), "bytes")
		}
		b.ReportMetric(float64(len(s.ConfigBody)), "bytes-sent")
	})
}

func BenchmarkConfigure(b *testing.B) {
	sizes(b, func(b *testing.B, e statesize.Size) {
		s := e.State()
		other := e.State()
		var bodies [][]byte
		for i := range 20 {
			c := e.ConfigUpdate(other)
			bodies = append(bodies, statemachine.EncodeChange(c))
			require.NoError(b, other.Apply(other.Index+uint64(i)+1, c))
		}
		n := 0
		for b.Loop() {
			if n == len(bodies) {
				b.StopTimer()
				s, n = e.State(), 0
				b.StartTimer()
			}
			c, err := statemachine.DecodeChange(bodies[n])
			require.NoError(b, err)
			require.NoError(b, s.Apply(s.Index+1, c))
			n++
		}
	})
}

// A host enters a state that holds all others.
func BenchmarkEnter(b *testing.B) {
	sizes(b, func(b *testing.B, e statesize.Size) {
		s := e.State()
		h := statesize.HostAt(e.Hosts())
		body := statemachine.EncodeChange(statemachine.Change{AddHost: &h})
		for b.Loop() {
			c, err := statemachine.DecodeChange(body)
			require.NoError(b, err)
			require.NoError(b, s.Apply(s.Index+1, c))
			delete(s.Hosts, h.ID)
		}
		b.ReportMetric(float64(len(body)), "bytes")
	})
}

func BenchmarkLead(b *testing.B) {
	sizes(b, func(b *testing.B, e statesize.Size) {
		s := e.State()
		body := statemachine.EncodeChange(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: statesize.ServiceName(3), Host: statesize.HostAt(10).ID, Term: 2}})
		for b.Loop() {
			c, err := statemachine.DecodeChange(body)
			require.NoError(b, err)
			require.NoError(b, s.Apply(s.Index+1, c))
		}
		b.ReportMetric(float64(len(body)), "bytes")
	})
}

// Each renewal of a lease asks for this.
func BenchmarkRecalled(b *testing.B) {
	sizes(b, func(b *testing.B, e statesize.Size) {
		s := e.State()
		for b.Loop() {
			s.LatestRevocation()
		}
	})
}
