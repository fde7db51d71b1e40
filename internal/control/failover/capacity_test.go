package failover_test

import (
	"testing"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/simulation/statesize"
)

// A look at all services where nothing is wrong: at each beat, at each renewal of a lease and 20 times a second.
func BenchmarkTick(b *testing.B) {
	for _, e := range statesize.All {
		b.Run(e.String(), func(b *testing.B) {
			s, h := e.State(), failover.New("control", 1, 1200, 0)
			for n := range e.Hosts() {
				h.Heartbeat(statesize.Host(n).ID, n%3 == 0, 1)
			}
			for b.Loop() {
				if do := h.Tick(s, func(uint64) bool { return true }, 2); len(do.Proposals)+len(do.Queries) > 0 {
					b.Fatal("nothing is wrong", do)
				}
			}
		})
	}
}
