package consensus

import (
	"fmt"
	"testing"
)

// benchGroup is a group in which messages are delivered and writes are persisted without delay.
type benchGroup struct {
	nodes            map[ID]*Node
	nowMs            int64
	messages, writes int
	committed        int
}

// newBenchGroup returns a group and its leader.
func newBenchGroup(members int) (group *benchGroup, leader *Node) {
	g := &benchGroup{nodes: map[ID]*Node{}}
	var ids []ID
	for i := range members {
		ids = append(ids, ID(fmt.Sprintf("10.1.0.%d", 11+i)))
	}
	for i, id := range ids {
		random := func() float64 { return float64(i) / 100 }
		g.nodes[id] = New(id, DefaultConfig((members-1)/2), RestoredState{}, ids, random, 0)
	}
	for {
		g.nowMs += 50
		for _, id := range ids {
			node := g.nodes[id]
			g.handleReady(id, node.Tick(g.nowMs))
			if node.HoldsLease(g.nowMs) {
				return g, node
			}
		}
	}
}

func (g *benchGroup) handleReady(id ID, ready Ready) {
	g.committed += len(ready.Committed)
	if n := len(ready.Writes); n > 0 {
		g.writes++
		g.handleReady(id, g.nodes[id].Persisted(ready.Writes[n-1].Seq, g.nowMs))
	}
	for _, m := range ready.Messages {
		for to, node := range g.nodes {
			if to != id && (m.To == "" || m.To == to) {
				g.messages++
				g.handleReady(to, node.Step(m, g.nowMs))
			}
		}
	}
}

// compact makes all members take a snapshot.
func (g *benchGroup) compact() {
	for id, node := range g.nodes {
		g.handleReady(id, node.Compact(node.appliedIndex, nil, 200, g.nowMs))
	}
}

// Measures one entry, from its proposal to its commit on every member. All members are computed in this process.
func BenchmarkCommit(b *testing.B) {
	const snapshotEvery = 400 // entries
	for _, members := range []int{3, 5, 7, 15} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g, leader := newBenchGroup(members)
			g.messages, g.writes, g.committed = 0, 0, 0
			data := make([]byte, 200)
			proposals := 0
			for b.Loop() {
				_, ready := leader.Propose(data, g.nowMs)
				g.handleReady(leader.id, ready)
				proposals++
				if proposals%snapshotEvery == 0 {
					g.compact()
				}
			}
			if g.committed < proposals*members/2 {
				b.Fatalf("%d proposals, %d commitments", proposals, g.committed)
			}
			b.ReportMetric(float64(g.messages)/float64(proposals), "messages/op")
			b.ReportMetric(float64(g.writes)/float64(proposals), "writes/op")
		})
	}
}

// Measures one round of heartbeats and responses.
func BenchmarkHeartbeat(b *testing.B) {
	for _, members := range []int{3, 5, 7, 15} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g, leader := newBenchGroup(members)
			g.messages = 0
			rounds := 0
			for b.Loop() {
				g.nowMs += leader.HeartbeatMs
				g.handleReady(leader.id, leader.Tick(g.nowMs))
				rounds++
			}
			if !leader.HoldsLease(g.nowMs) {
				b.Fatal("the leader has lost its lease")
			}
			b.ReportMetric(float64(g.messages)/float64(rounds), "messages/op")
		})
	}
}
