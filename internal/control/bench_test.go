package control

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/statesize"
	"ferrypitch/internal/statemachine"
)

// soleLeader is the only member of a cluster, with a state, connected proxies and live hosts. The frames that it sends are
// counted but not encoded: internal/rpc measures the cost of encoding.
type soleLeader struct {
	*Server
	frames   int
	proxies  []*ProxyConn
	unsynced []consensus.Write
	tickAtMs int64
}

func newSoleLeader(b testing.TB, size statesize.Size) *soleLeader {
	nodeSettings := &settings.Settings{Node: "core-waco-hall-0", Ip: "10.1.0.11", Zone: "waco-hall", BeatMs: 1200}
	nodeSettings.Listen.Control = "10.1.0.11:8782"
	id := storage.Identity{ID: "10.1.0.11", Founders: []consensus.ID{"10.1.0.11"}}
	server, err := New(nodeSettings, hclog.NewNullLogger(), eventloop.NewMonotonicClock(time.Now), id, consensus.RestoredState{}, func() float64 { return 0 }, 1)
	if err != nil {
		b.Fatal(err)
	}
	s := &soleLeader{Server: server}
	server.SetEnvironment(Environment{
		Send: func(string, *rpc.Frame) {}, QueryHost: func(failover.HostQuery, statemachine.Host) {}, Promote: func(failover.Promotion) {},
		Persist: func(writes []consensus.Write) { s.unsynced = append(s.unsynced, writes...) },
	})
	for !server.leading {
		server.Tick()
		s.sync()
		time.Sleep(5 * time.Millisecond)
	}
	index := server.state.Index
	server.state = size.State()
	server.state.Index = index
	for n := range size.Hosts() {
		server.coordinator.Heartbeat(statesize.HostAt(n).ID, n%3 == 0, server.clock.Now()+1<<40) // none times out during the benchmark
	}
	for n := range size.Proxies {
		hello := &rpc.ProxyHello{Node: statesize.ProxyName(n), Incarnation: 1, Zone: "waco-hall", AppliedIndex: index}
		s.proxies = append(s.proxies, server.AcceptProxy(hello, fmt.Sprintf("10.1.%d.%d", n/250, 1+n%250),
			func(*rpc.Frame) bool { s.frames++; return true }, func() {}))
	}
	return s
}

// sync reports all writes as synced.
func (s *soleLeader) sync() {
	for len(s.unsynced) > 0 {
		seq := s.unsynced[len(s.unsynced)-1].Seq
		s.unsynced = nil
		s.Persisted(seq)
	}
}

// keepLeading ticks as often as the event loop does, outside the measured time, because the leader lease would expire otherwise.
func (s *soleLeader) keepLeading(b *testing.B) {
	now := s.clock.Now()
	if now < s.tickAtMs {
		return
	}
	s.tickAtMs = now + tickInterval.Milliseconds()
	b.StopTimer()
	s.Tick()
	s.sync()
	b.StartTimer()
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, s *soleLeader)) {
	for _, size := range statesize.Sizes {
		b.Run(size.String(), func(b *testing.B) {
			s := newSoleLeader(b, size)
			s.frames = 0
			run(b, s)
			b.ReportMetric(float64(s.frames)/float64(b.N), "frames/op")
		})
	}
}

// BenchmarkLeaseRenewal measures the renewal of a proxy's lease.
func BenchmarkLeaseRenewal(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *soleLeader) {
		for b.Loop() {
			s.keepLeading(b)
			s.HandleProxyFrame(s.proxies[7], &rpc.Frame{LeaseRequest: &rpc.LeaseRequest{Serial: 1, AppliedIndex: s.state.Index, Sessions: 100}})
		}
	})
}

// BenchmarkHeartbeat measures a heartbeat of a host whose reported data has not changed.
func BenchmarkHeartbeat(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *soleLeader) {
		h := statesize.HostAt(10)
		body := fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Generation":%q,"Capacity":7,"State":"serving","DbRole":"replica","CallSeq":1}`,
			h.Service, h.Address, h.Zone, h.Generation)
		for b.Loop() {
			s.keepLeading(b)
			s.HandleCall(http.MethodPost, hostHeartbeat.path+h.ID, "", body, func(status int, b2 []byte) {
				if status != http.StatusOK {
					b.Fatal(status, string(b2))
				}
			})
		}
	})
}

// BenchmarkChange measures a change from its proposal to the frames for all proxies.
func BenchmarkChange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *soleLeader) {
		term := uint64(1)
		for b.Loop() {
			s.keepLeading(b)
			term++
			s.propose(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: statesize.ServiceName(3), Host: statesize.HostAt(9).ID, Term: term}}, func(error) {})
			s.sync()
		}
	})
}

// BenchmarkProxyWelcome measures accepting a proxy without state, including its snapshot.
func BenchmarkProxyWelcome(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *soleLeader) {
		for b.Loop() {
			proxy := s.AcceptProxy(&rpc.ProxyHello{Node: statesize.ProxyName(7), Incarnation: 1, Zone: "waco-hall"}, "10.1.0.8", func(*rpc.Frame) bool { s.frames++; return true }, func() {})
			s.ProxyDisconnected(proxy)
		}
	})
}
