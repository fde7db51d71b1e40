package policy

import (
	"fmt"
	"testing"
)

// BenchmarkChoice measures the routing of a read together with the processing of its answer, and the evaluation of all hosts
// every 50 ms, for several numbers of databases with three hosts each.
func BenchmarkChoice(b *testing.B) {
	for _, databases := range []int{1, 65, 217, 650, 2600} {
		group := &CommandGroup{ConsistencyLevel: BoundedStaleness, MaxStaleness: 15000, ResponseTarget: 3000, Timeout: 8000, Benefit: 1}
		now := TenthMs(1000000)
		router := New(noopCaller{}, Deployment{
			Tick: 50, RouterCount: 12, MaxDispatches: 3, HostsCheckPosition: true, LocalSessionTokens: true,
			ProbesEnabled: true, ExplicitPrimary: true, StreamsPerConn: 1,
			IdleConnTimeout: 450000, ConnectTimeout: 15000, MaxRetryAfter: 2000, ColdOverloadFactor: 1e6, ColdCapacity: 1, ProbeCost: 0.01,
			Groups: []*CommandGroup{group},
		}, now)
		var hosts []*Host
		for i := range 3 * databases {
			host := router.AddHost(fmt.Sprintf("h%d", i), int64(i/3+1))
			host.UpdateListing(Active, false, "", "", 1, 0)
			hosts = append(hosts, host)
		}
		router.EndList(true)
		for i, host := range hosts {
			host.EndProbe(true)
			host.ReportLoad(now, Replica)
			host.SetPrimary(i%3 == 0)
		}
		b.Run(fmt.Sprintf("databases=%d/read", databases), func(b *testing.B) {
			commands := 0
			for b.Loop() {
				now++
				router.SetTime(now)
				command := router.Submit("c", group, int64(commands%databases+1), "", now+8000, 0)
				if commands++; command.Host != nil {
					command.EndDispatch(Answered, now, Replica, 10, true)
				}
			}
		})
		b.Run(fmt.Sprintf("databases=%d/look", databases), func(b *testing.B) {
			for b.Loop() {
				now += 500
				router.SetTime(now)
				router.WakeUp()
			}
		})
	}
}
