package plannerserver

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
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/linkconn"
	"ferrypitch/internal/router/tier/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitLimit is the time after which a waiting test fails.
const waitLimit = 20 * time.Second

var key, otherKey = [32]byte{1}, [32]byte{2}

// startPlanner runs a planner with a fake discovery service that lists the given number of hosts, none of which
// responds. change may modify the settings.
func startPlanner(t *testing.T, hosts int, change func(*setup.PlannerSection)) (address string, server *Server, log *observer.ObservedLogs) {
	t.Helper()
	fakeDiscovery, err := discovery.New()
	if err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		fakeDiscovery.Update(discovery.Entry{UID: "h" + strings.Repeat("x", 60) + string(rune('a'+i%26)) + string(rune('a'+i/26)), Endpoint: "127.0.0.1:1", Set: 1, State: "up"})
	}
	section := &setup.PlannerSection{
		Key: key, MaxForwarders: 4, MaxProbesInFlight: 4, ProbesPerSecond: 10, ReportsPerSecond: 100, FramesPerSecond: 1000, PositionBytesPerSecond: 1 << 20,
		ChangeInterval: 10 * time.Millisecond, ProbeInterval: time.Second, PrimaryProbeInterval: 50 * time.Millisecond, HandshakeTimeout: 300 * time.Millisecond, MaxHandshakes: 2,
		MaxQueuedFrames: 4, WriteTimeout: 300 * time.Millisecond, MaxFrameBytes: link.MaxReportBytes,
	}
	if change != nil {
		change(section)
	}
	start := &setup.Start{Name: "p", Discovery: fakeDiscovery.Address(), Limits: setup.Limits{
		MaxHostConns: 8, InitialBuffer: 1 << 10, BufferBudget: 1 << 22, MaxHostMessage: 1 << 16,
		MaxListLine: 1 << 20, ConnectTimeout: time.Second, HostIdleTimeout: waitLimit, DiscoveryTimeout: waitLimit, RetryDelay: 10 * time.Millisecond,
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core, log := observer.New(zap.InfoLevel)
	server = New(start, section, 7, nil, zap.New(core))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- server.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("the planner returned an error: %v", err)
		}
		fakeDiscovery.Stop()
	})
	return listener.Addr().String(), server, log
}

// dial connects to the planner without a handshake.
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

// connect performs the forwarder's side of the handshake.
func connect(conn net.Conn, sharedKey *[32]byte) (*linkconn.Conn, error) {
	return linkconn.ForwarderHandshake(conn, sharedKey, "f", 3, 4, link.MaxFrameBytes, time.Second)
}

// waitForLog waits for a log entry with the given message whose error contains text.
func waitForLog(t *testing.T, log *observer.ObservedLogs, message, text string) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, entry := range log.FilterMessage(message).All() {
			if err, _ := entry.ContextMap()["error"].(string); strings.Contains(err, text) {
				return
			}
		}
	}
	t.Errorf("no log entry %q whose error contains %q", message, text)
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
	address, server, log := startPlanner(t, 1, nil)
	if _, err := connect(dial(t, address), &otherKey); err == nil {
		t.Error("a forwarder with another key is accepted")
	}
	waitForLog(t, log, "rejected a forwarder", "another key")
	conn := dial(t, address)
	conn.Write(link.AppendGreeting(nil, link.Greeting{Version: 9, Name: "f"}, &key))
	response, _ := io.ReadAll(conn)
	if greeting, _, err := link.ParseGreeting(response, &key); err != nil || greeting.Refusal != link.RefusalVersion {
		t.Errorf("%+v %v", greeting, err)
	}
	waitForLog(t, log, "rejected a forwarder", "version 9")
	if server.RejectedLinks.Load() != 2 {
		t.Errorf("%d links rejected", server.RejectedLinks.Load())
	}
}

func TestForwardersOverCapacityAreRejectedWithReason(t *testing.T) {
	address, _, _ := startPlanner(t, 1, func(section *setup.PlannerSection) { section.MaxForwarders = 1 })
	if _, err := connect(dial(t, address), &key); err != nil {
		t.Fatal(err)
	}
	if _, err := connect(dial(t, address), &key); err == nil || !strings.Contains(err.Error(), "forwarder limit reached") {
		t.Errorf("%v", err)
	}
}

func TestSlowReaderIsDisconnectedWithoutEffectOnOthers(t *testing.T) {
	address, _, log := startPlanner(t, 600, nil)
	slowSocket := dial(t, address)
	// A small buffer fills up quickly; the kernel's default size would determine the duration of the test.
	if err := slowSocket.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	slow, err := connect(slowSocket, &key)
	if err != nil {
		t.Fatal(err)
	}
	slow.StartWriter()
	fast, err := connect(dial(t, address), &key)
	if err != nil {
		t.Fatal(err)
	}
	fast.StartWriter()
	defer slow.CloseWithError(nil)
	defer fast.CloseWithError(nil)
	go func() {
		for { // keeps requesting the full view and reads nothing
			slow.Send(link.KindViewRequest, nil)
			select {
			case <-time.After(5 * time.Millisecond):
			case <-t.Context().Done():
				return
			}
		}
	}()
	// A forwarder that sends nothing for a second is disconnected. The disconnection of the slow reader may take as
	// long, so the other one must send frames meanwhile.
	go func() {
		for {
			select {
			case <-time.After(300 * time.Millisecond):
				fast.Send(link.KindViewRequest, nil)
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
	for frames := 0; ; frames++ {
		if _, err := fast.ReadFrame(); err != nil {
			t.Fatalf("after %d frames: %v", frames, err)
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
	incomplete := []net.Conn{dial(t, address), dial(t, address)}
	for _, conn := range incomplete {
		conn.Write([]byte("fpl"))
	}
	for _, conn := range incomplete {
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && err == nil {
			t.Errorf("%v", err)
		}
	}
	if _, err := connect(dial(t, address), &key); err != nil {
		t.Errorf("handshake after the timeout: %v", err)
	}
}
