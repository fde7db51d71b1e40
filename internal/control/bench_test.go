package control

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/statesize"
)

// soleLeader is a member that leads alone and holds a state, with all its routers linked and all hosts heard. What it sends is
// counted, and not encoded: internal/rpc has the price of a frame.
type soleLeader struct {
	*Server
	frames   int
	routers  []*ProxyConn
	unsynced []consensus.Write
}

func newSoleLeader(b *testing.B, e statesize.Size) *soleLeader {
	plate := &settings.Settings{Node: "core-waco-hall-0", Ip: "10.1.0.11", Zone: "waco-hall", BeatMs: 1200}
	plate.Listen.Control = "10.1.0.11:8782"
	id := storage.Identity{ID: "10.1.0.11", Founders: []consensus.ID{"10.1.0.11"}}
	f, err := New(plate, hclog.NewNullLogger(), eventloop.NewSteadyClock(time.Now), id, consensus.RestoredState{}, func() float64 { return 0 }, 1)
	if err != nil {
		b.Fatal(err)
	}
	s := &soleLeader{Server: f}
	f.SetEnvironment(Environment{
		Send: func(string, *rpc.Frame) {}, QueryHost: func(failover.HostQuery, statemachine.Host) {}, Promote: func(failover.Promotion) {},
		Persist: func(w []consensus.Write) { s.unsynced = append(s.unsynced, w...) },
	})
	for !f.leading {
		f.Tick()
		s.sync()
		time.Sleep(5 * time.Millisecond)
	}
	index := f.state.Index
	f.state = e.State()
	f.state.Index = index
	for n := range e.Hosts() {
		f.coordinator.Heartbeat(statesize.Host(n).ID, n%3 == 0, f.clock.Now()+1<<40) // none falls silent while it is measured
	}
	for n := range e.Routers {
		hello := &rpc.ProxyHello{Node: statesize.Router(n), Incarnation: 1, Zone: "waco-hall", AppliedIndex: index}
		s.routers = append(s.routers, f.AcceptProxy(hello, fmt.Sprintf("10.1.%d.%d", n/250, 1+n%250),
			func(*rpc.Frame) bool { s.frames++; return true }, func() {}))
	}
	return s
}

// sync has what was written be on disk.
func (s *soleLeader) sync() {
	for len(s.unsynced) > 0 {
		seq := s.unsynced[len(s.unsynced)-1].Seq
		s.unsynced = nil
		s.Persisted(seq)
	}
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, s *soleLeader)) {
	for _, e := range statesize.All {
		b.Run(e.String(), func(b *testing.B) {
			s := newSoleLeader(b, e)
			s.frames = 0
			run(b, s)
			b.ReportMetric(float64(s.frames)/float64(b.N), "frames/op")
		})
	}
}

// One renewal of a lease, as the owner of the state takes it in.
func BenchmarkLeaseRenewal(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *soleLeader) {
		for b.Loop() {
			s.HandleProxyFrame(s.routers[7], &rpc.Frame{LeaseRequest: &rpc.LeaseRequest{Serial: 1, AppliedIndex: s.state.Index, Sessions: 100}})
		}
	})
}

// One beat of a host that tells nothing new.
func BenchmarkHeartbeat(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *soleLeader) {
		h := statesize.Host(10)
		body := fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Generation":%q,"Capacity":7,"State":"serving","DbRole":"replica","CallSeq":1}`,
			h.Service, h.Address, h.Zone, h.Generation)
		for b.Loop() {
			s.HandleCall(http.MethodPost, hostHeartbeat.path+h.ID, "", body, func(status int, b2 []byte) {
				if status != http.StatusOK {
					b.Fatal(status, string(b2))
				}
			})
		}
	})
}

// One change, from its proposal to a frame in each router's queue.
func BenchmarkChange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *soleLeader) {
		term := uint64(1)
		for b.Loop() {
			term++
			s.propose(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: statesize.Service(3), Host: statesize.Host(9).ID, Term: term}}, func(error) {})
			s.sync()
		}
	})
}

// A router that has nothing is greeted with a snapshot.
func BenchmarkProxyWelcome(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *soleLeader) {
		for b.Loop() {
			r := s.AcceptProxy(&rpc.ProxyHello{Node: statesize.Router(7), Incarnation: 1, Zone: "waco-hall"}, "10.1.0.8", func(*rpc.Frame) bool { s.frames++; return true }, func() {})
			s.ProxyDisconnected(r)
		}
	})
}
