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

// testTimeout ends a test that hangs; no test passes by running into it.
const testTimeout = 20 * time.Second

// startHost starts a host that passes each connection to serve, and returns it with its pool of at most maxConns connections.
func startHost(t *testing.T, maxConns int, serve func(conn net.Conn)) (*HostPool, *Host) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := &setup.Limits{MaxHostConns: maxConns, InitialBuffer: 1 << 10, BufferBudget: 1 << 20, MaxHostMessage: 1 << 16, ConnectTimeout: testTimeout, HostIdleTimeout: testTimeout}
	ctx, end := context.WithCancel(context.Background())
	pool := NewHostPool(ctx, limits, NewBufferBudget(limits))
	t.Cleanup(func() {
		end()
		l.Close()
		pool.Wait()
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
	return pool, pool.Add(l.Addr().String())
}

// readSome reads once and reports whether it succeeded.
func readSome(conn net.Conn) bool {
	b := make([]byte, 1<<16)
	_, err := conn.Read(b)
	return err == nil
}

// rowAnswer returns an answer of one row with a value of one byte.
func rowAnswer(value byte) []byte {
	b := append([]byte{protocol.RowDescription, 0, 0, 0, 25, 0, 1, 0}, make([]byte, 18)...)
	b = append(b, protocol.DataRow, 0, 0, 0, 11, 0, 1, 0, 0, 0, 1, value)
	return protocol.AppendReadyForQuery(append(b, protocol.CommandComplete, 0, 0, 0, 6, 'S', 0))
}

// acceptStartup reads a startup message and answers it.
func acceptStartup(conn net.Conn) {
	readSome(conn)
	conn.Write(protocol.AppendStartupResponse(nil))
}

// send starts a call and returns it with the channel that receives its answer.
func (h *Host) send(sendBy time.Time) (*Call, chan Answer) {
	got := make(chan Answer, 2)
	return h.Send([]byte("x"), time.Now().Add(testTimeout), sendBy, false, func(a Answer) { got <- a }), got
}

// outcome sends a call and returns its outcome.
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
		"garbage after an error": {func(c net.Conn) {
			acceptStartup(c)
			readSome(c)
			c.Write(append(protocol.AppendError(nil, "", "53300", "", ""), "noise"...))
			readSome(c)
		}, policy.Reset},
		"garbage after a complete row": {func(c net.Conn) {
			acceptStartup(c)
			readSome(c)
			c.Write(append(rowAnswer('a')[:45], "noise"...))
			readSome(c)
		}, policy.Answered},
		"an empty answer": {func(c net.Conn) {
			acceptStartup(c)
			readSome(c)
			c.Write(protocol.AppendReadyForQuery(nil))
			readSome(c)
		}, policy.Reset},
	} {
		_, host := startHost(t, 9, test.serve)
		if got := host.outcome(); got != test.want {
			t.Errorf("%s: %d, not %d", name, got, test.want)
		}
	}
	_, host := startHost(t, 9, nil)
	host.SetAddress("127.0.0.1:1")
	if got := host.outcome(); got != policy.Unreachable {
		t.Errorf("refused: %d", got)
	}
}

func TestAbandonTellsWhetherTheCallWasSentAndClosesTheConnection(t *testing.T) {
	received, readError, closed := make(chan bool), make(chan error), make(chan bool)
	_, host := startHost(t, 9, func(c net.Conn) {
		readSome(c)
		received <- true
		_, err := c.Read(make([]byte, 1))
		readError <- err
	})
	call, _ := host.send(time.Now().Add(testTimeout))
	<-received
	if o, ok := call.Abandon(); o != policy.Unreachable || !ok {
		t.Errorf("during startup: %d %t", o, ok)
	}
	if err := <-readError; err == nil {
		t.Error("data was sent on an abandoned connection")
	}
	_, host = startHost(t, 9, func(c net.Conn) {
		acceptStartup(c)
		readSome(c)
		received <- true
		_, _ = io.Copy(io.Discard, c) // until the connection is closed or reset
		closed <- true
	})
	call, got := host.send(time.Now().Add(testTimeout))
	<-received
	if o, ok := call.Abandon(); o != policy.TimedOut || !ok {
		t.Errorf("after sending: %d %t", o, ok)
	}
	<-closed
	if _, ok := call.Abandon(); ok || len(got) != 0 {
		t.Error("the call ended twice")
	}
}

func TestCallAbandonedBeforeItsConnectionStartsEndsOnce(t *testing.T) {
	pool, host := startHost(t, 100, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }) // the startup is never answered
	for range 100 {
		call, got := host.send(time.Now().Add(testTimeout))
		if o, ok := call.Abandon(); o != policy.Unreachable || !ok || len(got) != 0 {
			t.Errorf("outcome %d %t", o, ok)
		}
	}
	for pool.OpenConns() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestNothingIsSentAfterSendBy(t *testing.T) {
	sent := make(chan bool, 1)
	_, host := startHost(t, 9, func(c net.Conn) {
		acceptStartup(c)
		sent <- readSome(c)
	})
	_, got := host.send(time.Now())
	if a := <-got; a.Outcome != policy.Expired || <-sent {
		t.Errorf("outcome %d", a.Outcome)
	}
}

func TestUnsolicitedAnswerReachesNoOtherCommand(t *testing.T) {
	_, host := startHost(t, 9, func(c net.Conn) {
		acceptStartup(c)
		for readSome(c) {
			c.Write(append(rowAnswer('a'), rowAnswer('b')...))
		}
	})
	for range 5 {
		_, got := host.send(time.Now().Add(testTimeout))
		if a := <-got; a.Outcome == policy.Answered && a.Value != "a" {
			t.Fatalf("%q", a.Value)
		}
	}
}

func TestDataFromBeforeACommandWasSentIsNotItsAnswer(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // so that the reader rarely runs before the writer
	writeNext, done := make(chan bool), make(chan bool)
	pool, host := startHost(t, 99, func(c net.Conn) {
		acceptStartup(c)
		readSome(c)
		c.Write(rowAnswer('a'))
		<-writeNext
		c.Write(rowAnswer('b'))
		done <- true
		readSome(c)
	})
	for range 50 {
		if got := host.outcome(); got != policy.Answered {
			t.Fatalf("outcome %d", got)
		}
		writeNext <- true
		<-done
		_, got := host.send(time.Now().Add(testTimeout))
		if a := <-got; a.Outcome == policy.Answered && a.Value != "a" {
			t.Fatalf("%q", a.Value)
		}
		writeNext <- true
		<-done
	}
	if pool.UnsolicitedData.Load()+pool.Opened.Load() < 100 {
		t.Errorf("%d unsolicited on %d connections", pool.UnsolicitedData.Load(), pool.Opened.Load())
	}
}

func TestRemovedHostKeepsNoConnection(t *testing.T) {
	wait := make(chan bool)
	pool, host := startHost(t, 99, func(c net.Conn) {
		acceptStartup(c)
		for readSome(c) {
			<-wait
			c.Write(rowAnswer('a'))
		}
	})
	_, got := host.send(time.Now().Add(testTimeout))
	host.Remove()
	wait <- true
	if a := <-got; a.Outcome != policy.Answered {
		t.Errorf("the call in flight ended as %d", a.Outcome)
	}
	for pool.OpenConns() > 0 { // the connection must be closed
		time.Sleep(time.Millisecond)
	}
	if len(pool.hosts) != 0 || len(host.idle) != 0 {
		t.Errorf("%d hosts are left, %d connections", len(pool.hosts), len(host.idle))
	}
}

func TestMostRecentConnectionIsReusedAndAClosedOneNever(t *testing.T) {
	ends := make(chan bool)
	pool, host := startHost(t, 9, func(c net.Conn) {
		acceptStartup(c)
		readSome(c)
		c.Write(rowAnswer('a'))
		readSome(c)
		c.Write(rowAnswer('b'))
		<-ends
	})
	if first, second := host.outcome(), host.outcome(); first+second != 0 || pool.Opened.Load() != 1 || pool.Reused.Load() != 1 {
		t.Errorf("%d %d on %d connections", first, second, pool.Opened.Load())
	}
	ends <- true
	for pool.OpenConns() > 0 { // the close is noticed without a call
		time.Sleep(time.Millisecond)
	}
	if got := host.outcome(); got != policy.Answered || pool.Opened.Load() != 2 {
		t.Errorf("%d on connection %d", got, pool.Opened.Load())
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
	pool, host := startHost(t, 1, serve)
	if host.outcome() != policy.Answered {
		t.Fatal("not answered")
	}
	other := pool.Add(host.address)
	if got := other.outcome(); got != policy.Answered {
		t.Errorf("the idle connection was not evicted: %d", got)
	}
	other.send(time.Now().Add(testTimeout)) // keeps the only descriptor in use
	if got := host.outcome(); got != policy.Expired || pool.NoDescriptor.Load() != 1 {
		t.Errorf("without a descriptor: %d", got)
	}
}
