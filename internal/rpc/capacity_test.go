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
	body := func(c statemachine.Change) [][]byte { return [][]byte{statemachine.Encode(c)} }
	members := []string{"10.1.0.11", "10.2.0.8", "10.3.0.9"}
	host := statesize.Host(10)
	state := statesize.Full.State()
	beat := []byte(`{"Service":"lecture-core-3","Address":"10.11.0.4:5432","Zone":"waco-hall","Generation":"g1","Capacity":7,` +
		`"State":"serving","ColdLeftMs":0,"DbRole":"replica","CallSeq":123456}`)
	mark := Mark{From: "10.2.0.8", Life: 1 << 60, View: 3, Serial: 12345}
	for _, c := range []struct {
		name  string
		frame Frame
	}{
		{"hello", Frame{Hello: &Hello{Node: statesize.Router(7), Life: 1 << 60, Zone: "waco-hall", From: 12345}}},
		{"welcome", Frame{Welcome: &Welcome{Node: "core-waco-hall-0", Leads: true, Members: members, Routers: append(members, members...)[:5]}}},
		{"renew", Frame{Renew: &Renew{Serial: 12345, Applied: 12345, Sessions: 3250}}},
		{"lease", Frame{Lease: &Lease{Serial: 12345, Granted: true, Index: 12345, Routers: 1200}}},
		{"suspect", Frame{Suspect: &Suspect{Service: host.Service, Host: host.ID}}},
		{"news/lead", Frame{News: &News{Index: 12345, Members: members,
			Entries: body(statemachine.Change{Lead: &statemachine.NewLead{Service: host.Service, Host: host.ID, Term: 3, Took: 300}})}}},
		{"news/host", Frame{News: &News{Index: 12345, Members: members, Entries: body(statemachine.Change{Enter: &host})}}},
		{"news/configuration", Frame{News: &News{Index: 12345, Members: members,
			Entries: body(statesize.Full.Order(state))}}},
		{"news/snapshot", Frame{News: &News{Index: 12345, Members: members, Snapshot: state.Snapshot()}}},
		{"heartbeat", Frame{Core: &consensus.Message{Kind: consensus.Heartbeat, From: "10.1.0.11", To: "10.2.0.8", View: 3, Sent: 1 << 40, Commit: 12345}}},
		{"append", Frame{Core: &consensus.Message{Kind: consensus.Append, From: "10.1.0.11", To: "10.2.0.8", View: 3, Index: 12344, Prev: 3, Commit: 12344,
			Entries: []consensus.Entry{{View: 3, Body: body(statemachine.Change{Enter: &host})[0]}}}}},
		{"accept", Frame{Core: &consensus.Message{Kind: consensus.Accept, From: "10.2.0.8", To: "10.1.0.11", View: 3, Index: 12345}}},
		{"beat-passed-on", Frame{Ask: &Ask{Mark: mark, To: "10.1.0.11", Method: "POST", Path: "/Instances.Heartbeat/" + host.ID, Body: beat}}},
		{"beat-answered", Frame{Answer: &Answer{Mark: mark, By: "10.1.0.11", Status: 200, Body: []byte(strings.Repeat("x", 32))}}},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := &still{}
			k := Wrap(s)
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
					k := Wrap(s)
					held[i] = k
					for _, f := range []*Frame{{Lease: &Lease{Serial: 1}}, {Renew: &Renew{Serial: 1}}, {News: &News{Snapshot: make([]byte, news)}}} {
						if k.Send(f, time.Second) != nil {
							b.Fatal("not sent")
						}
						if f.News != nil { // what is read is the other side's
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
