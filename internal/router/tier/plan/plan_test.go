package plan

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ferrypitch/internal/fake/discovery"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/line"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitLimit is how long a test waits before it fails.
const waitLimit = 20 * time.Second

var key, otherKey = [32]byte{1}, [32]byte{2}

// startPlanner runs a planner on a discovery of so many hosts, none of which responds.
func startPlanner(t *testing.T, hosts int, change func(*setup.PlannerSection)) (address string, p *Server, log *observer.ObservedLogs) {
	t.Helper()
	d, err := discovery.New()
	if err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		d.Update(discovery.Entry{UID: "h" + strings.Repeat("x", 60) + string(rune('a'+i%26)) + string(rune('a'+i/26)), Endpoint: "127.0.0.1:1", Set: 1, State: "up"})
	}
	section := &setup.PlannerSection{
		Key: key, MaxForwarders: 4, MaxProbesInFlight: 4, ProbesPerSecond: 10, ReportsPerSecond: 100, FramesPerSecond: 1000, PositionBytesPerSecond: 1 << 20,
		ChangeInterval: 10 * time.Millisecond, ProbeInterval: time.Second, PrimaryProbeInterval: 50 * time.Millisecond, HandshakeTimeout: 300 * time.Millisecond, MaxHandshakes: 2,
		MaxQueuedFrames: 4, WriteTimeout: 300 * time.Millisecond, MaxFrameBytes: link.MaxReportBytes,
	}
	if change != nil {
		change(section)
	}
	start := &setup.Start{Name: "p", Discovery: d.Address(), Limits: setup.Limits{
		MaxHostConns: 8, InitialBuffer: 1 << 10, BufferBudget: 1 << 22, MaxHostMessage: 1 << 16,
		MaxListLine: 1 << 20, ConnectTimeout: time.Second, HostIdleTimeout: waitLimit, DiscoveryTimeout: waitLimit, RetryDelay: 10 * time.Millisecond,
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core, log := observer.New(zap.InfoLevel)
	p = New(start, section, 7, nil, zap.New(core))
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- p.Run(ctx, l) }()
	t.Cleanup(func() {
		end()
		if err := <-ended; err != nil {
			t.Errorf("the planner ended: %v", err)
		}
		d.Stop()
	})
	return l.Addr().String(), p, log
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// connect is a forwarder's side of the handshake.
func connect(conn net.Conn, sharedKey *[32]byte) (*line.Conn, error) {
	return line.ForwarderHandshake(conn, sharedKey, "f", 3, 4, link.MaxFrameBytes, time.Second)
}

// waitForLog waits for a log line with a message, whose error contains a text.
func waitForLog(t *testing.T, log *observer.ObservedLogs, message, text string) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, e := range log.FilterMessage(message).All() {
			if err, _ := e.ContextMap()["error"].(string); strings.Contains(err, text) {
				return
			}
		}
	}
	t.Errorf("%q with %q is not logged", message, text)
}

func TestForwarderReceivesFullViewThenChanges(t *testing.T) {
	address, _, _ := startPlanner(t, 3, nil)
	conn, err := connect(dial(t, address), &key)
	if err != nil {
		t.Fatal(err)
	}
	var replica view.Replica
	for replica.Sequence() < 5 || replica.Len() < 3 || !replica.Complete() {
		frame, err := conn.ReadFrame()
		if err != nil {
			t.Fatal(err)
		}
		change, err := link.DecodeChange(frame.Body)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := replica.Apply(change); err != nil {
			t.Fatal(err)
		}
	}
}

func TestAnotherKeyOrVersionIsRejectedWithReason(t *testing.T) {
	address, p, log := startPlanner(t, 1, nil)
	if _, err := connect(dial(t, address), &otherKey); err == nil {
		t.Error("another key is accepted")
	}
	waitForLog(t, log, "a forwarder is refused", "another key")
	conn := dial(t, address)
	conn.Write(link.AppendGreeting(nil, link.Greeting{Version: 9, Name: "f"}, &key))
	answer, _ := io.ReadAll(conn)
	if g, _, err := link.ParseGreeting(answer, &key); err != nil || g.Refusal != link.RefusalVersion {
		t.Errorf("%+v %v", g, err)
	}
	waitForLog(t, log, "a forwarder is refused", "version 9")
	if p.RejectedLinks.Load() != 2 {
		t.Errorf("%d refused", p.RejectedLinks.Load())
	}
}

func TestForwardersOverCapacityAreRejectedWithReason(t *testing.T) {
	address, _, _ := startPlanner(t, 1, func(s *setup.PlannerSection) { s.MaxForwarders = 1 })
	if _, err := connect(dial(t, address), &key); err != nil {
		t.Fatal(err)
	}
	if _, err := connect(dial(t, address), &key); err == nil || !strings.Contains(err.Error(), "as many forwarders") {
		t.Errorf("%v", err)
	}
}

func TestSlowReaderIsDisconnectedWithoutEffectOnOthers(t *testing.T) {
	address, _, log := startPlanner(t, 600, nil)
	narrow := dial(t, address)
	// Otherwise the kernel decides how long it takes until the buffer is full.
	if err := narrow.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	slow, err := connect(narrow, &key)
	if err != nil {
		t.Fatal(err)
	}
	slow.StartWriter()
	quick, err := connect(dial(t, address), &key)
	if err != nil {
		t.Fatal(err)
	}
	quick.StartWriter()
	defer slow.CloseWithError(nil)
	defer quick.CloseWithError(nil)
	go func() {
		for { // requests the full view again and again, and reads nothing
			slow.Send(link.KindViewRequest, nil)
			select {
			case <-time.After(5 * time.Millisecond):
			case <-t.Context().Done():
				return
			}
		}
	}()
	// A forwarder that sends nothing for a second is disconnected, and it may take as long until the slow one is.
	go func() {
		for {
			select {
			case <-time.After(300 * time.Millisecond):
				quick.Send(link.KindViewRequest, nil)
			case <-t.Context().Done():
				return
			}
		}
	}()
	slowDisconnected := make(chan struct{})
	go func() {
		waitForLog(t, log, "a forwarder left", "reads too slowly")
		close(slowDisconnected)
	}()
	for read := 0; ; read++ {
		if _, err := quick.ReadFrame(); err != nil {
			t.Fatalf("after %d frames: %v", read, err)
		}
		select {
		case <-slowDisconnected:
			return
		default:
		}
	}
}

func TestIncompleteGreetingTimesOut(t *testing.T) {
	address, _, _ := startPlanner(t, 1, nil)
	unfinished := []net.Conn{dial(t, address), dial(t, address)}
	for _, c := range unfinished {
		c.Write([]byte("fpl"))
	}
	for _, c := range unfinished {
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && err == nil {
			t.Errorf("%v", err)
		}
	}
	if _, err := connect(dial(t, address), &key); err != nil {
		t.Errorf("afterwards: %v", err)
	}
}
