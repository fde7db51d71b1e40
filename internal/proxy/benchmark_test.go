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

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/gossip"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/statesize"
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

var benchmarkSettings = &settings.Settings{Node: "edge-waco-hall-0", Zone: "waco-hall"}

// noLeader is a leaderLink without a leader: it drops all requests.
type noLeader struct{}

func (noLeader) reportSuspect(*rpc.SuspectReport) {}

func (noLeader) requestQuota(*quota.Request) {}
func (noLeader) renewLease()                 {}

// newBenchmarkServer returns a proxy with a replicated state of the given size and without sessions. All its dials fail.
func newBenchmarkServer(b *testing.B, size statesize.Size) *Server {
	b.Helper()
	server := newServer(benchmarkSettings, hclog.NewNullLogger(), eventloop.NewMonotonicClock(time.Now), 1, tenancy.Secret{})
	server.ctx = context.Background()
	server.leader = noLeader{}
	server.dial = func(conn *hostConn) {
		server.deferred.add(func() { conn.pool.connOpened(conn, wire.Response{}, errors.New("not here")) })
	}
	state := size.State()
	if err := server.applyLogUpdate(&rpc.LogUpdate{Snapshot: state.Snapshot(), LastIndex: state.Index}); err != nil {
		b.Fatal(err)
	}
	for server.step() {
	}
	return server
}

func forEachSize(b *testing.B, run func(b *testing.B, server *Server)) {
	for _, size := range statesize.Sizes {
		b.Run(size.String(), func(b *testing.B) { run(b, newBenchmarkServer(b, size)) })
	}
}

// BenchmarkLogUpdate applies a log update that changes one primary.
func BenchmarkLogUpdate(b *testing.B) {
	forEachSize(b, func(b *testing.B, server *Server) {
		term := uint64(1)
		for b.Loop() {
			term++
			appoint := &statemachine.AppointPrimary{Service: statesize.ServiceName(3), Host: statesize.HostAt(9 + int(term)%3).ID, Term: term}
			entry := statemachine.EncodeChange(statemachine.Change{AppointPrimary: appoint})
			if err := server.applyLogUpdate(&rpc.LogUpdate{Entries: [][]byte{entry}, LastIndex: server.replica.state.Index + 1}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkSweep runs the sweep, as a proxy does with each lease and every sweepInterval.
func BenchmarkSweep(b *testing.B) {
	forEachSize(b, func(b *testing.B, server *Server) {
		for b.Loop() {
			server.sweep(server.clock.Time())
		}
	})
}

// BenchmarkPolicyWake wakes the policy every 50 ms to check its hosts.
func BenchmarkPolicyWake(b *testing.B) {
	forEachSize(b, func(b *testing.B, server *Server) {
		now := server.refreshPolicyTime()
		for b.Loop() {
			now += toTenths(50 * time.Millisecond)
			server.policy.SetTime(now)
			server.policy.WakeUp()
			server.deferred = actionQueue{}
		}
	})
}

// BenchmarkSnapshotRestore starts a proxy from a snapshot, and reports the heap memory that the proxy uses afterwards.
func BenchmarkSnapshotRestore(b *testing.B) {
	for _, size := range statesize.Sizes {
		b.Run(size.String(), func(b *testing.B) {
			state := size.State()
			snapshot := state.Snapshot()
			start := func() *Server {
				server := newServer(benchmarkSettings, hclog.NewNullLogger(), eventloop.NewMonotonicClock(time.Now), 1, tenancy.Secret{})
				server.dial = func(*hostConn) {}
				if err := server.applyLogUpdate(&rpc.LogUpdate{Snapshot: snapshot, LastIndex: state.Index}); err != nil {
					b.Fatal(err)
				}
				return server
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			measured := start()
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				start()
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(measured)
		})
	}
}

// BenchmarkGossipDatagram creates, encodes and decodes a datagram between proxies. Each proxy sends about four per second.
func BenchmarkGossipDatagram(b *testing.B) {
	for _, size := range statesize.Sizes {
		b.Run(size.String(), func(b *testing.B) {
			address := func(n int) string { return fmt.Sprintf("10.1.%d.%d:7440", n/250, 1+n%250) }
			membership := gossip.New(statesize.ProxyName(0), address(0), 1, gossip.DefaultConfig(), func(n int) int { return n / 2 }, 0)
			membership.SetControlMembers([]string{"10.1.0.11", "10.2.0.8", "10.3.0.9"}, 12345)
			for n := 1; n < size.Proxies; n++ {
				update := gossip.Update{Name: statesize.ProxyName(n), Address: address(n), Incarnation: 1 << 60}
				membership.HandleMessage(gossip.Message{Type: gossip.Ack, From: address(n), Updates: []gossip.Update{update}}, 0)
			}
			encodedBytes := 0
			for b.Loop() {
				out := membership.HandleMessage(gossip.Message{Type: gossip.Ping, From: address(1), Serial: 7}, 1)
				var datagram bytes.Buffer
				if err := gob.NewEncoder(&datagram).Encode(out[0].Message); err != nil {
					b.Fatal(err)
				}
				encodedBytes = datagram.Len()
				var decoded gossip.Message
				if err := gob.NewDecoder(&datagram).Decode(&decoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(encodedBytes), "bytes")
			b.ReportMetric(float64(len(membership.AliveNames())), "known")
		})
	}
}
