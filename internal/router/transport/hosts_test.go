package transport

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

// testTimeout ends a test that hangs; none passes by it.
const testTimeout = 20 * time.Second

// startHost listens as a host that hands each connection to serve, and returns a pool of at most maxConns connections with it.
func startHost(t *testing.T, maxConns int, serve func(conn net.Conn)) (*HostPool, *Host) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := &setup.Limits{MaxHostConns: maxConns, InitialBuffer: 1 << 10, BufferBudget: 1 << 20, MaxHostMessage: 1 << 16, ConnectTimeout: testTimeout, HostIdleTimeout: testTimeout}
	ctx, end := context.WithCancel(context.Background())
	h := NewHostPool(ctx, limits, NewBufferBudget(limits))
	t.Cleanup(func() {
		end()
		l.Close()
		h.Wait()
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return h, h.Add(l.Addr().String())
}

// readSome reads once, and reports whether anything came.
func readSome(conn net.Conn) bool {
	b := make([]byte, 1<<16)
	_, err := conn.Read(b)
	return err == nil
}

// rowAnswer is the answer of one row with a value of one byte.
func rowAnswer(value byte) []byte {
	b := append([]byte{protocol.RowDescription, 0, 0, 0, 25, 0, 1, 0}, make([]byte, 18)...)
	b = append(b, protocol.DataRow, 0, 0, 0, 11, 0, 1, 0, 0, 0, 1, value)
	return protocol.AppendReady(append(b, protocol.CommandComplete, 0, 0, 0, 6, 'S', 0))
}

// acceptStartup reads a startup message and answers it.
func acceptStartup(conn net.Conn) {
	readSome(conn)
	conn.Write(protocol.AppendGreeting(nil))
}

// send sends a call, and returns it with the channel of its answer.
func (h *Host) send(sendBy time.Time) (*Call, chan Answer) {
	got := make(chan Answer, 2)
	return h.Send([]byte("x"), time.Now().Add(testTimeout), sendBy, false, func(a Answer) { got <- a }), got
}

// outcome sends a call and returns how it ended.
func (h *Host) outcome() policy.Outcome {
	_, got := h.send(time.Now().Add(testTimeout))
	return (<-got).Outcome
}

func TestOutcomeTellsWhetherTheCommandMayHaveRun(t *testing.T) {
	for name, test := range map[string]struct {
		serve func(net.Conn)
		want  policy.Outcome
	}{
		"broken during startup":      {func(c net.Conn) { readSome(c) }, policy.Unreachable},
		"too many connections":       {func(c net.Conn) { c.Write(protocol.AppendError(nil, "FATAL", "53300", "", "")) }, policy.Overloaded},
		"starting":                   {func(c net.Conn) { c.Write(protocol.AppendError(nil, "FATAL", "57P03", "", "")) }, policy.Unreachable},
		"broken after the last byte": {func(c net.Conn) { acceptStartup(c); readSome(c) }, policy.Reset},
		"broken within the answer":   {func(c net.Conn) { acceptStartup(c); readSome(c); c.Write(rowAnswer('a')[:12]) }, policy.Reset},
		"broken after a complete error": {func(c net.Conn) {
			acceptStartup(c)
			readSome(c)
			c.Write(protocol.AppendError(nil, "", "53300", "", ""))
		}, policy.Overloaded},
		"answered":                      {func(c net.Conn) { acceptStartup(c); readSome(c); c.Write(rowAnswer('a')); readSome(c) }, policy.Answered},
		"an answer of another protocol": {func(c net.Conn) { acceptStartup(c); readSome(c); c.Write([]byte("HTTP/1.1 400\r\n\r\n")) }, policy.Reset},
		"a row twice": {func(c net.Conn) {
			acceptStartup(c)
			readSome(c)
			c.Write(append(rowAnswer('a')[:38], rowAnswer('a')[26:]...))
			readSome(c)
		}, policy.Reset},
		"a row before its description": {func(c net.Conn) { acceptStartup(c); readSome(c); c.Write(rowAnswer('a')[26:]); readSome(c) }, policy.Reset},
		"a description of no column": {func(c net.Conn) {
			acceptStartup(c)
			readSome(c)
			c.Write([]byte("T\x00\x00\x00\x06\x00\x00"))
			readSome(c)
		}, policy.Reset},
		"a row of 3 GB": {func(c net.Conn) {
			acceptStartup(c)
			readSome(c)
			c.Write(append(rowAnswer('a')[:26], "D\xb2\xd0\x5e\x00"...))
			readSome(c)
		}, policy.Reset},
		"an error without a code": {func(c net.Conn) {
			acceptStartup(c)
			readSome(c)
			c.Write([]byte("E\x00\x00\x00\x05\x00"))
			readSome(c)
		}, policy.Reset},
		"noise after an error": {func(c net.Conn) {
			acceptStartup(c)
			readSome(c)
			c.Write(append(protocol.AppendError(nil, "", "53300", "", ""), "noise"...))
			readSome(c)
		}, policy.Reset},
		"noise after a complete row": {func(c net.Conn) {
			acceptStartup(c)
			readSome(c)
			c.Write(append(rowAnswer('a')[:45], "noise"...))
			readSome(c)
		}, policy.Answered},
		"nothing in the answer": {func(c net.Conn) { acceptStartup(c); readSome(c); c.Write(protocol.AppendReady(nil)); readSome(c) }, policy.Reset},
	} {
		_, n := startHost(t, 9, test.serve)
		if got := n.outcome(); got != test.want {
			t.Errorf("%s: %d, not %d", name, got, test.want)
		}
	}
	_, n := startHost(t, 9, nil)
	n.SetAddress("127.0.0.1:1")
	if got := n.outcome(); got != policy.Unreachable {
		t.Errorf("refused: %d", got)
	}
}

func TestAbandonTellsWhetherTheCallWasSentAndClosesTheConnection(t *testing.T) {
	came, gone, closed := make(chan bool), make(chan error), make(chan bool)
	_, n := startHost(t, 9, func(c net.Conn) {
		readSome(c)
		came <- true
		_, err := c.Read(make([]byte, 1))
		gone <- err
	})
	call, _ := n.send(time.Now().Add(testTimeout))
	<-came
	if o, ok := call.Abandon(); o != policy.Unreachable || !ok {
		t.Errorf("during startup: %d %t", o, ok)
	}
	if err := <-gone; err == nil {
		t.Error("something was sent on an abandoned connection")
	}
	_, n = startHost(t, 9, func(c net.Conn) {
		acceptStartup(c)
		readSome(c)
		came <- true
		_, _ = io.Copy(io.Discard, c) // until it is closed or reset
		closed <- true
	})
	call, got := n.send(time.Now().Add(testTimeout))
	<-came
	if o, ok := call.Abandon(); o != policy.TimedOut || !ok {
		t.Errorf("once sent: %d %t", o, ok)
	}
	<-closed
	if _, ok := call.Abandon(); ok || len(got) != 0 {
		t.Error("it ended twice")
	}
}

func TestCallAbandonedBeforeItsConnectionStartsEndsOnce(t *testing.T) {
	h, n := startHost(t, 100, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }) // it never comes up
	for range 100 {
		call, got := n.send(time.Now().Add(testTimeout))
		if o, ok := call.Abandon(); o != policy.Unreachable || !ok || len(got) != 0 {
			t.Errorf("outcome %d %t", o, ok)
		}
	}
	for h.OpenConns() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestNothingIsSentAfterSendBy(t *testing.T) {
	sent := make(chan bool, 1)
	_, n := startHost(t, 9, func(c net.Conn) {
		acceptStartup(c)
		sent <- readSome(c)
	})
	_, got := n.send(time.Now())
	if a := <-got; a.Outcome != policy.Expired || <-sent {
		t.Errorf("outcome %d", a.Outcome)
	}
}

func TestUnsolicitedAnswerReachesNoOtherCommand(t *testing.T) {
	_, n := startHost(t, 9, func(c net.Conn) {
		acceptStartup(c)
		for readSome(c) {
			c.Write(append(rowAnswer('a'), rowAnswer('b')...))
		}
	})
	for range 5 {
		_, got := n.send(time.Now().Add(testTimeout))
		if a := <-got; a.Outcome == policy.Answered && a.Value != "a" {
			t.Fatalf("%q", a.Value)
		}
	}
}

func TestDataFromBeforeACommandWasSentIsNotItsAnswer(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the reader seldom runs first
	let, done := make(chan bool), make(chan bool)
	h, n := startHost(t, 99, func(c net.Conn) {
		acceptStartup(c)
		readSome(c)
		c.Write(rowAnswer('a'))
		<-let
		c.Write(rowAnswer('b'))
		done <- true
		readSome(c)
	})
	for range 50 {
		if got := n.outcome(); got != policy.Answered {
			t.Fatalf("outcome %d", got)
		}
		let <- true
		<-done
		_, got := n.send(time.Now().Add(testTimeout))
		if a := <-got; a.Outcome == policy.Answered && a.Value != "a" {
			t.Fatalf("%q", a.Value)
		}
		let <- true
		<-done
	}
	if h.UnsolicitedData.Load()+h.Opened.Load() < 100 {
		t.Errorf("%d unsolicited on %d connections", h.UnsolicitedData.Load(), h.Opened.Load())
	}
}

func TestRemovedHostKeepsNoConnection(t *testing.T) {
	wait := make(chan bool)
	h, n := startHost(t, 99, func(c net.Conn) {
		acceptStartup(c)
		for readSome(c) {
			<-wait
			c.Write(rowAnswer('a'))
		}
	})
	_, got := n.send(time.Now().Add(testTimeout))
	n.Remove()
	wait <- true
	if a := <-got; a.Outcome != policy.Answered {
		t.Errorf("the call in flight ended as %d", a.Outcome)
	}
	for h.OpenConns() > 0 { // its connection is not kept
		time.Sleep(time.Millisecond)
	}
	if len(h.hosts) != 0 || len(n.idle) != 0 {
		t.Errorf("%d hosts are left, %d connections", len(h.hosts), len(n.idle))
	}
}

func TestMostRecentConnectionIsReusedAndAClosedOneNever(t *testing.T) {
	ends := make(chan bool)
	h, n := startHost(t, 9, func(c net.Conn) {
		acceptStartup(c)
		readSome(c)
		c.Write(rowAnswer('a'))
		readSome(c)
		c.Write(rowAnswer('b'))
		<-ends
	})
	if first, second := n.outcome(), n.outcome(); first+second != 0 || h.Opened.Load() != 1 || h.Reused.Load() != 1 {
		t.Errorf("%d %d on %d connections", first, second, h.Opened.Load())
	}
	ends <- true
	for h.OpenConns() > 0 { // seen without being used
		time.Sleep(time.Millisecond)
	}
	if got := n.outcome(); got != policy.Answered || h.Opened.Load() != 2 {
		t.Errorf("%d on connection %d", got, h.Opened.Load())
	}
}

func TestOldestIdleConnectionIsEvictedWithoutADescriptor(t *testing.T) {
	wait := make(chan bool)
	defer close(wait)
	serve := func(c net.Conn) {
		acceptStartup(c)
		readSome(c)
		c.Write(rowAnswer('a'))
		readSome(c)
		<-wait
	}
	h, n := startHost(t, 1, serve)
	if n.outcome() != policy.Answered {
		t.Fatal("not answered")
	}
	other := h.Add(n.address)
	if got := other.outcome(); got != policy.Answered {
		t.Errorf("the idle one was not evicted: %d", got)
	}
	other.send(time.Now().Add(testTimeout)) // stays out
	if got := n.outcome(); got != policy.Expired || h.NoDescriptor.Load() != 1 {
		t.Errorf("no descriptor is left: %d", got)
	}
}
