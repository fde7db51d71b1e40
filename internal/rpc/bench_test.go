package rpc

import (
	"bytes"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/simulation/statesize"
	"ferrypitch/internal/statemachine"
)

// loopbackConn is a connection that returns on Read what was written to it.
type loopbackConn struct {
	net.Conn
	bytes.Buffer
}

func (c *loopbackConn) Read(b []byte) (int, error)       { return c.Buffer.Read(b) }
func (c *loopbackConn) Write(b []byte) (int, error)      { return c.Buffer.Write(b) }
func (c *loopbackConn) SetReadDeadline(time.Time) error  { return nil }
func (c *loopbackConn) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkFrame measures the time to encode and decode each type of frame, its size on a connection that has carried one before
// ("bytes"), and its size on a new connection, where gob also sends type information ("bytes-first").
func BenchmarkFrame(b *testing.B) {
	body := func(c statemachine.Change) [][]byte { return [][]byte{statemachine.EncodeChange(c)} }
	members := []string{"10.1.0.11", "10.2.0.8", "10.3.0.9"}
	host := statesize.HostAt(10)
	state := statesize.Full.State()
	heartbeat := []byte(`{"Service":"lecture-core-3","Address":"10.11.0.4:5432","Zone":"waco-hall","Generation":"g1","Capacity":7,` +
		`"State":"serving","ColdLeftMs":0,"DbRole":"replica","CallSeq":123456}`)
	callID := CallID{From: "10.2.0.8", Incarnation: 1 << 60, Term: 3, Serial: 12345}
	var quotaAsks []quota.Ask // for four tenants
	var quotaAnswers []quota.Answer
	for _, tenant := range []string{"rale44", "bovo910", "leno691", "huzi103"} {
		quotaAsks = append(quotaAsks, quota.Ask{Tenant: tenant, Used: 2, Returned: 1, Want: 3})
		quotaAnswers = append(quotaAnswers, quota.Answer{Tenant: tenant, Granted: 3})
	}
	for _, c := range []struct {
		name  string
		frame Frame
	}{
		{"hello", Frame{ProxyHello: &ProxyHello{Node: statesize.ProxyName(7), Incarnation: 1 << 60, Zone: "waco-hall", AppliedIndex: 12345}}},
		{"welcome", Frame{ProxyWelcome: &ProxyWelcome{Node: "core-waco-hall-0", IsLeader: true, Members: members, Proxies: append(members, members...)[:5]}}},
		{"lease-request", Frame{LeaseRequest: &LeaseRequest{Serial: 12345, AppliedIndex: 12345, Sessions: 3250}}},
		{"lease-response", Frame{LeaseResponse: &LeaseResponse{Serial: 12345, Granted: true, CommitIndex: 12345, ProxyCount: 1200}}},
		{"quota-request", Frame{Version: ProtocolVersion, NeedsVersion: VersionQuotas, QuotaRequest: &quota.Request{Serial: 12345, Term: 3, Asks: quotaAsks}}},
		{"quota-response", Frame{Version: ProtocolVersion, NeedsVersion: VersionQuotas, QuotaResponse: &quota.Response{Serial: 12345, Term: 3, Answers: quotaAnswers}}},
		{"suspect", Frame{SuspectReport: &SuspectReport{Service: host.Service, Host: host.ID}}},
		{"update/primary", Frame{LogUpdate: &LogUpdate{
			LastIndex: 12345, Members: members,
			Entries: body(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: host.Service, Host: host.ID, Term: 3, PromotionMs: 300}}),
		}}},
		{"update/host", Frame{LogUpdate: &LogUpdate{LastIndex: 12345, Members: members, Entries: body(statemachine.Change{AddHost: &host})}}},
		{"update/configuration", Frame{LogUpdate: &LogUpdate{
			LastIndex: 12345, Members: members,
			Entries: body(statesize.Full.ConfigUpdate(state)),
		}}},
		{"update/snapshot", Frame{LogUpdate: &LogUpdate{LastIndex: 12345, Members: members, Snapshot: state.Snapshot()}}},
		{"heartbeat", Frame{Consensus: &consensus.Message{Type: consensus.MsgHeartbeat, From: "10.1.0.11", To: "10.2.0.8", Term: 3, SentAtMs: 1 << 40, CommitIndex: 12345}}},
		{"append", Frame{Consensus: &consensus.Message{
			Type: consensus.MsgAppend, From: "10.1.0.11", To: "10.2.0.8", Term: 3, Index: 12344, PrevTerm: 3, CommitIndex: 12344,
			Entries: []consensus.Entry{{Term: 3, Data: body(statemachine.Change{AddHost: &host})[0]}},
		}}},
		{"append-accepted", Frame{Consensus: &consensus.Message{Type: consensus.MsgAppendAccepted, From: "10.2.0.8", To: "10.1.0.11", Term: 3, Index: 12345}}},
		{"forward-request", Frame{ForwardRequest: &ForwardRequest{CallID: callID, To: "10.1.0.11", Method: "POST", Path: "/Instances.Heartbeat/" + host.ID, Body: heartbeat}}},
		{"forward-response", Frame{ForwardResponse: &ForwardResponse{CallID: callID, By: "10.1.0.11", Status: 200, Body: []byte(strings.Repeat("x", 32))}}},
	} {
		b.Run(c.name, func(b *testing.B) {
			loopback := &loopbackConn{}
			conn := NewConn(loopback)
			roundTrip := func() (n int) {
				if err := conn.Send(&c.frame, time.Second); err != nil {
					b.Fatal(err)
				}
				n = loopback.Len()
				if _, err := conn.Receive(time.Second); err != nil {
					b.Fatal(err)
				}
				return n
			}
			first, next := roundTrip(), roundTrip()
			for b.Loop() {
				roundTrip()
			}
			b.ReportMetric(float64(first), "bytes-first")
			b.ReportMetric(float64(next), "bytes")
		})
	}
}

// BenchmarkConn measures the heap that a connection holds, without its goroutines, after it has carried a lease request, a lease
// response and a log update of the given size.
func BenchmarkConn(b *testing.B) {
	const connections = 50
	for _, updateBytes := range []int{0, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("update=%d", updateBytes), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				open := make([]*Conn, connections)
				for i := range open {
					open[i] = newUsedConn(b, updateBytes)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(open)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/connections, "heap-bytes/conn")
		})
	}
}

// newUsedConn returns a connection that has sent and received a lease request and response, and has sent a log update of
// updateBytes.
func newUsedConn(b *testing.B, updateBytes int) *Conn {
	loopback := &loopbackConn{}
	conn := NewConn(loopback)
	conn.SetPeerVersion(ProtocolVersion)
	for _, frame := range []*Frame{
		{LeaseResponse: &LeaseResponse{Serial: 1}}, {LeaseRequest: &LeaseRequest{Serial: 1}}, {LogUpdate: &LogUpdate{Snapshot: make([]byte, updateBytes)}},
	} {
		if conn.Send(frame, time.Second) != nil {
			b.Fatal("Send failed")
		}
		if frame.LogUpdate != nil { // the peer would read it
			loopback.Buffer = bytes.Buffer{}
		} else if _, err := conn.Receive(time.Second); err != nil {
			b.Fatal(err)
		}
	}
	return conn
}
