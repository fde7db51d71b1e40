package proxy

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/gossip"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/statesize"
	"ferrypitch/internal/wire"
)

// following is a router that holds a state and has no sessions; none of its connections opens.
func following(e statesize.Size) *Server {
	h := newServer(&settings.Settings{Node: "edge-waco-hall-0", Zone: "waco-hall"}, hclog.NewNullLogger(), eventloop.NewSteadyClock(time.Now), 1)
	h.ctx = context.Background()
	h.sendToLeader = func(*rpc.Frame) {}
	h.dial = func(conn *hostConn) {
		h.deferred.add(func() { conn.pool.connOpened(conn, wire.Response{}, errors.New("not here")) })
	}
	s := e.State()
	if err := h.applyLogUpdate(&rpc.LogUpdate{Snapshot: s.Snapshot(), LastIndex: s.Index}); err != nil {
		panic(err)
	}
	for h.step() {
	}
	return h
}

func sizes(b *testing.B, run func(b *testing.B, h *Server, e statesize.Size)) {
	for _, e := range statesize.All {
		b.Run(e.String(), func(b *testing.B) { run(b, following(e), e) })
	}
}

// A change of one lead, from its frame to the module.
func BenchmarkNews(b *testing.B) {
	sizes(b, func(b *testing.B, h *Server, e statesize.Size) {
		term := uint64(1)
		for b.Loop() {
			term++
			c := statemachine.EncodeChange(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: statesize.Service(3), Host: statesize.Host(9 + int(term)%3).ID, Term: term}})
			if err := h.applyLogUpdate(&rpc.LogUpdate{Entries: [][]byte{c}, LastIndex: h.state.Index + 1}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// What is looked at with each lease and each 50 ms.
func BenchmarkRounds(b *testing.B) {
	sizes(b, func(b *testing.B, h *Server, e statesize.Size) {
		for b.Loop() {
			h.sweep(h.clock.Time())
		}
	})
}

// The module's look at its hosts, each 50 ms.
func BenchmarkLook(b *testing.B) {
	sizes(b, func(b *testing.B, h *Server, e statesize.Size) {
		at := h.refreshPolicyTime()
		for b.Loop() {
			at += 500
			h.balancer.Clock(at)
			h.balancer.Woke()
			h.deferred = actionQueue{}
		}
	})
}

// A start with a snapshot, and what a router holds of memory then.
func BenchmarkStart(b *testing.B) {
	sizes(b, func(b *testing.B, _ *Server, e statesize.Size) {
		s := e.State()
		snapshot := s.Snapshot()
		begin := func() *Server {
			h := newServer(&settings.Settings{Node: "edge-waco-hall-0", Zone: "waco-hall"}, hclog.NewNullLogger(), eventloop.NewSteadyClock(time.Now), 1)
			h.dial = func(*hostConn) {}
			if err := h.applyLogUpdate(&rpc.LogUpdate{Snapshot: snapshot, LastIndex: s.Index}); err != nil {
				b.Fatal(err)
			}
			return h
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		held := begin()
		runtime.GC()
		runtime.ReadMemStats(&after)
		for b.Loop() {
			begin()
		}
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		runtime.KeepAlive(held)
	})
}

// A datagram between routers, made, encoded and decoded; each router sends about four a second.
func BenchmarkDatagram(b *testing.B) {
	for _, e := range statesize.All {
		b.Run(e.String(), func(b *testing.B) {
			at := func(n int) string { return fmt.Sprintf("10.1.%d.%d:7440", n/250, 1+n%250) }
			f := gossip.New(statesize.Router(0), at(0), 1, gossip.DefaultConfig(), func(n int) int { return n / 2 }, 0)
			f.SetControlMembers([]string{"10.1.0.11", "10.2.0.8", "10.3.0.9"}, 12345)
			for n := 1; n < e.Routers; n++ {
				f.HandleMessage(gossip.Message{Type: gossip.Ack, From: at(n), Updates: []gossip.Update{{Name: statesize.Router(n), Address: at(n), Incarnation: 1 << 60}}}, 0)
			}
			size := 0
			for b.Loop() {
				out := f.HandleMessage(gossip.Message{Type: gossip.Ping, From: at(1), Serial: 7}, 1)
				var w bytes.Buffer
				if err := gob.NewEncoder(&w).Encode(out[0].Message); err != nil {
					b.Fatal(err)
				}
				size = w.Len()
				var m gossip.Message
				if err := gob.NewDecoder(&w).Decode(&m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(len(f.AliveNames())), "known")
		})
	}
}
