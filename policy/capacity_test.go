package policy

import (
	"fmt"
	"testing"
)

// none is a caller that does nothing.
type none struct{}

func (none) Dispatch(*Cmd, *Node, Tenth) {}
func (none) Throttle(*Cmd, Tenth)        {}
func (none) Fail(*Cmd)                   {}
func (none) Probe(*Node)                 {}
func (none) Close(*Node)                 {}
func (none) Forget(*Node)                {}
func (none) Tell(string)                 {}
func (none) Wake(Tenth)                  {}
func (none) Watch()                      {}

// The choice of a host for a read, and the answer's account, with so many databases of three known; and the look at all
// of them that comes each 50 ms.
func BenchmarkChoice(b *testing.B) {
	for _, databases := range []int{1, 65, 217, 650, 2600} {
		g := &CmdGroup{Need: Bounded, Bound: 15000, Target: 3000, Timeout: 8000, Benefit: 1}
		r := New(none{}, Deployment{
			Tick: 50, Routers: 12, Dispatches: 3, Guarded: true, Kept: true, Probes: true, Led: true, Streams: 1,
			IdleFor: 450000, ConnectFor: 15000, Comeback: 2000, FallFactor: 1e6, ColdFrom: 1, ProbePrice: 0.01, Groups: []*CmdGroup{g},
		}, 1000000)
		at := Tenth(1000000)
		var nodes []*Node
		for n := range 3 * databases {
			node := r.Host(fmt.Sprintf("h%d", n), int64(n/3+1))
			node.Listed(In, false, "", "", 1, 0)
			nodes = append(nodes, node)
		}
		r.ListDone(true)
		for n, node := range nodes {
			node.Probed(true)
			node.Reported(at, Replica)
			node.Leads(n%3 == 0)
		}
		b.Run(fmt.Sprintf("databases=%d/read", databases), func(b *testing.B) {
			n := 0
			for b.Loop() {
				at++
				r.Clock(at)
				c := r.Take("c", g, int64(n%databases+1), "", at+8000, 0, false)
				if n++; c.Node != nil {
					c.Ended(Answered, at, Replica, 10, true)
				}
			}
		})
		b.Run(fmt.Sprintf("databases=%d/look", databases), func(b *testing.B) {
			for b.Loop() {
				at += 500
				r.Clock(at)
				r.Woke()
			}
		})
	}
}
