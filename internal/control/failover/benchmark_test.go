package failover_test

import (
	"testing"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/simulation/statesize"
)

// BenchmarkTick measures a tick over all services when there is nothing to do. Ticks run at each heartbeat, at each lease
// request and 20 times a second.
func BenchmarkTick(b *testing.B) {
	for _, size := range statesize.Sizes {
		b.Run(size.String(), func(b *testing.B) {
			state, coordinator := size.State(), failover.New("control", 1, 1200, 0)
			for n := range size.Hosts() {
				coordinator.Heartbeat(statesize.HostAt(n).ID, n%3 == 0, 1)
			}
			for b.Loop() {
				if actions := coordinator.Tick(state, func(uint64) bool { return true }, 2); len(actions.Proposals)+len(actions.Queries) > 0 {
					b.Fatal("nothing is wrong", actions)
				}
			}
		})
	}
}
