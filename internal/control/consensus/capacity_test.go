package consensus

import (
	"fmt"
	"testing"
)

// commit is a group without a network: what is sent comes at once, what is written is on disk at once.
type commit struct {
	cores            map[ID]*Node
	now              int64
	messages, writes int
	delivered        int
}

func (g *commit) carry(id ID, o Ready) {
	g.delivered += len(o.Committed)
	if n := len(o.Writes); n > 0 {
		g.writes++
		g.carry(id, g.cores[id].Persisted(o.Writes[n-1].Seq, g.now))
	}
	for _, m := range o.Messages {
		for to, c := range g.cores {
			if to != id && (m.To == "" || m.To == to) {
				g.messages++
				g.carry(to, c.Step(m, g.now))
			}
		}
	}
}

func newCommit(members int) (*commit, *Node) {
	g := &commit{cores: map[ID]*Node{}}
	var all []ID
	for i := range members {
		all = append(all, ID(fmt.Sprintf("10.1.0.%d", 11+i)))
	}
	for i, id := range all {
		g.cores[id] = New(id, DefaultConfig((members-1)/2), RestoredState{}, all, func() float64 { return float64(i) / 100 }, 0)
	}
	for {
		g.now += 50
		for _, id := range all {
			if g.carry(id, g.cores[id].Tick(g.now)); g.cores[id].HoldsLease(g.now) {
				return g, g.cores[id]
			}
		}
	}
}

// A change through all members of a group: the sum of what they compute, and their messages and writes.
func BenchmarkCommit(b *testing.B) {
	for _, members := range []int{3, 5, 7, 15} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g, leads := newCommit(members)
			g.messages, g.writes, g.delivered = 0, 0, 0
			body := make([]byte, 200)
			n := 0
			for b.Loop() {
				_, o := leads.Propose(body, g.now)
				g.carry(leads.id, o)
				if n++; n%400 == 0 {
					for id, c := range g.cores {
						g.carry(id, c.Compact(c.appliedIndex, nil, 200, g.now))
					}
				}
			}
			if g.delivered < n*members/2 {
				b.Fatalf("%d changes, %d deliveries", n, g.delivered)
			}
			b.ReportMetric(float64(g.messages)/float64(n), "messages/op")
			b.ReportMetric(float64(g.writes)/float64(n), "writes/op")
		})
	}
}

// A round of heartbeats and their replies.
func BenchmarkHeartbeat(b *testing.B) {
	for _, members := range []int{3, 5, 7, 15} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g, leads := newCommit(members)
			g.messages = 0
			n := 0
			for b.Loop() {
				g.now += leads.HeartbeatMs
				g.carry(leads.id, leads.Tick(g.now))
				n++
			}
			if !leads.HoldsLease(g.now) {
				b.Fatal("it leads no more")
			}
			b.ReportMetric(float64(g.messages)/float64(n), "messages/op")
		})
	}
}
