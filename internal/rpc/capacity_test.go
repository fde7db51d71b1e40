package rpc

import (
	"bytes"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/simulation/statesize"
)

// still is a connection whose bytes stay here.
type still struct {
	net.Conn
	bytes.Buffer
}

func (s *still) Read(b []byte) (int, error)       { return s.Buffer.Read(b) }
func (s *still) Write(b []byte) (int, error)      { return s.Buffer.Write(b) }
func (s *still) SetReadDeadline(time.Time) error  { return nil }
func (s *still) SetWriteDeadline(time.Time) error { return nil }

// Each kind of frame: its bytes on a connection that has carried one before, and the first one's, and what it costs to
// encode and to decode.
func BenchmarkFrame(b *testing.B) {
	body := func(c statemachine.Change) [][]byte { return [][]byte{statemachine.EncodeChange(c)} }
	members := []string{"10.1.0.11", "10.2.0.8", "10.3.0.9"}
	host := statesize.Host(10)
	state := statesize.Full.State()
	beat := []byte(`{"Service":"lecture-core-3","Address":"10.11.0.4:5432","Zone":"waco-hall","Generation":"g1","Capacity":7,` +
		`"State":"serving","ColdLeftMs":0,"DbRole":"replica","CallSeq":123456}`)
	mark := CallID{From: "10.2.0.8", Incarnation: 1 << 60, Term: 3, Serial: 12345}
	for _, c := range []struct {
		name  string
		frame Frame
	}{
		{"hello", Frame{ProxyHello: &ProxyHello{Node: statesize.Router(7), Incarnation: 1 << 60, Zone: "waco-hall", AppliedIndex: 12345}}},
		{"welcome", Frame{ProxyWelcome: &ProxyWelcome{Node: "core-waco-hall-0", IsLeader: true, Members: members, Proxies: append(members, members...)[:5]}}},
		{"renew", Frame{LeaseRequest: &LeaseRequest{Serial: 12345, AppliedIndex: 12345, Sessions: 3250}}},
		{"lease", Frame{LeaseResponse: &LeaseResponse{Serial: 12345, Granted: true, CommitIndex: 12345, ProxyCount: 1200}}},
		{"suspect", Frame{SuspectReport: &SuspectReport{Service: host.Service, Host: host.ID}}},
		{"news/lead", Frame{LogUpdate: &LogUpdate{LastIndex: 12345, Members: members,
			Entries: body(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: host.Service, Host: host.ID, Term: 3, PromotionMs: 300}})}}},
		{"news/host", Frame{LogUpdate: &LogUpdate{LastIndex: 12345, Members: members, Entries: body(statemachine.Change{AddHost: &host})}}},
		{"news/configuration", Frame{LogUpdate: &LogUpdate{LastIndex: 12345, Members: members,
			Entries: body(statesize.Full.Order(state))}}},
		{"news/snapshot", Frame{LogUpdate: &LogUpdate{LastIndex: 12345, Members: members, Snapshot: state.Snapshot()}}},
		{"heartbeat", Frame{Consensus: &consensus.Message{Type: consensus.MsgHeartbeat, From: "10.1.0.11", To: "10.2.0.8", Term: 3, SentAtMs: 1 << 40, CommitIndex: 12345}}},
		{"append", Frame{Consensus: &consensus.Message{Type: consensus.MsgAppend, From: "10.1.0.11", To: "10.2.0.8", Term: 3, Index: 12344, PrevTerm: 3, CommitIndex: 12344,
			Entries: []consensus.Entry{{Term: 3, Data: body(statemachine.Change{AddHost: &host})[0]}}}}},
		{"accept", Frame{Consensus: &consensus.Message{Type: consensus.MsgAppendAccepted, From: "10.2.0.8", To: "10.1.0.11", Term: 3, Index: 12345}}},
		{"beat-passed-on", Frame{ForwardRequest: &ForwardRequest{CallID: mark, To: "10.1.0.11", Method: "POST", Path: "/Instances.Heartbeat/" + host.ID, Body: beat}}},
		{"beat-answered", Frame{ForwardResponse: &ForwardResponse{CallID: mark, By: "10.1.0.11", Status: 200, Body: []byte(strings.Repeat("x", 32))}}},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := &still{}
			k := NewConn(s)
			once := func() (n int) {
				if err := k.Send(&c.frame, time.Second); err != nil {
					b.Fatal(err)
				}
				n = s.Len()
				if _, err := k.Receive(time.Second); err != nil {
					b.Fatal(err)
				}
				return n
			}
			first, next := once(), once()
			for b.Loop() {
				once()
			}
			b.ReportMetric(float64(first), "bytes-first")
			b.ReportMetric(float64(next), "bytes")
		})
	}
}

// What a connection holds of memory, without its goroutines: one that has carried renewals and leases, and one that has
// carried news of a length besides.
func BenchmarkConn(b *testing.B) {
	const many = 50
	for _, news := range []int{0, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("news=%d", news), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				held := make([]*Conn, many)
				for i := range held {
					s := &still{}
					k := NewConn(s)
					held[i] = k
					for _, f := range []*Frame{{LeaseResponse: &LeaseResponse{Serial: 1}}, {LeaseRequest: &LeaseRequest{Serial: 1}}, {LogUpdate: &LogUpdate{Snapshot: make([]byte, news)}}} {
						if k.Send(f, time.Second) != nil {
							b.Fatal("not sent")
						}
						if f.LogUpdate != nil { // what is read is the other side's
							s.Buffer = bytes.Buffer{}
						} else if _, err := k.Receive(time.Second); err != nil {
							b.Fatal(err)
						}
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(held)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/many, "heap-bytes/conn")
		})
	}
}
