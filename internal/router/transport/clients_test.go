package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
)

// rejectingHandler rejects all commands.
type rejectingHandler struct{ CommandHandler }

func (rejectingHandler) HandleEmptyQuery(s *Slot) { s.AnswerEmptyQuery() }

func (rejectingHandler) ClientDisconnected(*Slot) {}

func (rejectingHandler) HandleCommand(s *Slot, _ []byte, _ time.Time) {
	s.Reject(protocol.SyntaxError, "not served")
}

// startClients starts a client server with the limits, and returns it with a function that connects to it.
func startClients(t *testing.T, limits *setup.Limits) (*Clients, func() net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits.InitialBuffer, limits.BufferBudget, limits.MaxClientMessage, limits.MaxPipelined = 1<<10, 1<<20, 1<<16, 9
	limits.LingerTimeout, limits.ClientWriteTimeout, limits.RetryDelay = testTimeout, testTimeout, time.Millisecond
	s := NewClients(limits, NewBufferBudget(limits), rejectingHandler{})
	ctx, end := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Serve(ctx, listener) }()
	t.Cleanup(func() {
		end()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
		if s.budget.Used() != 0 || s.OpenConns() != 0 {
			t.Errorf("%d bytes and %d connections are left at the end", s.budget.Used(), s.OpenConns())
		}
	})
	return s, func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		return c
	}
}

// awaitNoConns waits until all connections have ended and are counted.
func (s *Clients) awaitNoConns() {
	for s.OpenConns() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// lastErrorCode returns the SQLSTATE of the last error received before the connection ends, or "" for none.
func lastErrorCode(c net.Conn) (code string) {
	in, b := []byte(nil), make([]byte, 1<<12)
	for {
		n, err := c.Read(b)
		in = append(in, b[:n]...)
		for kind, body, n, _ := protocol.NextMessage(in, 1<<16); n > 0; kind, body, n, _ = protocol.NextMessage(in, 1<<16) {
			if kind == protocol.ErrorResponse {
				code = protocol.ErrorCode(body)
			}
			in = in[n:]
		}
		if errors.Is(err, io.EOF) {
			return code
		}
		if err != nil {
			return err.Error()
		}
	}
}

func TestClientsWithMalformedInputAreToldWhyAndClosed(t *testing.T) {
	s, dial := startClients(t, &setup.Limits{
		MaxClientConns: 99, SpareClientConns: 9, MaxRejectedInARow: 3,
		NewConnGrace: testTimeout, CommandReadTimeout: testTimeout,
	})
	hello := string(protocol.AppendStartup(nil, "svc", "main"))
	query := string(protocol.AppendQuery(nil, []byte("nothing of use")))
	for name, test := range map[string][2]string{
		"garbage":                 {"frob and more of it", protocol.ProtocolViolation},
		"a startup too long":      {"\x00\x04\x93\xe8\x00\x03\x00\x00" + strings.Repeat("k", 300000), protocol.ProtocolViolation},
		"an unknown version":      {"\x00\x00\x00\x08\x00\x09\x00\x00", protocol.FeatureNotSupported},
		"a negative length":       {hello + "Q\xff\xff\xff\xfc/* id", protocol.ProtocolViolation},
		"a zero length":           {hello + "Q\x00\x00\x00\x00/* id", protocol.ProtocolViolation},
		"an excessive length":     {hello + "XXQ\x00\x00\x00r/* id", protocol.ProtocolViolation},
		"an unknown message kind": {hello + "?\x00\x00\x00\x09frob\x00", protocol.ProtocolViolation},
		"repeated rejections":     {hello + strings.Repeat(query, 600), protocol.ProtocolViolation},
		"60 MB":                   {hello + "Q\x03\x93\x87\x04" + strings.Repeat("v", 60<<20), protocol.ProtocolViolation},
	} {
		c := dial()
		go func() {
			_, _ = io.Copy(c, strings.NewReader(test[0])) // until the server closes the connection
		}()
		if code := lastErrorCode(c); code != test[1] {
			t.Errorf("%s: %q", name, code)
		}
		c.Close()
	}
	s.awaitNoConns()
	if s.Malformed.Load() != 8 || s.RejectedOnly.Load() != 1 {
		t.Errorf("%d malformed, %d rejected only", s.Malformed.Load(), s.RejectedOnly.Load())
	}
}

func TestSilentAndPartialClientsTimeOut(t *testing.T) {
	s, dial := startClients(t, &setup.Limits{
		MaxClientConns: 99, SpareClientConns: 9, MaxRejectedInARow: 9,
		NewConnGrace: testTimeout, CommandReadTimeout: 50 * time.Millisecond,
	})
	hello := string(protocol.AppendStartup(nil, "svc", "main"))
	idle := dial() // there is no time limit between commands
	idle.Write([]byte(hello + string(protocol.AppendQuery(nil, nil))))
	for name, input := range map[string]string{
		"nothing": "", "half a startup": hello[:5], "no command": hello,
		"half a command": hello + "Q\x00\x00\x00r/* id=1", "half a second": hello + string(protocol.AppendQuery(nil, nil)) + "Q",
	} {
		c := dial()
		c.Write([]byte(input))
		if code := lastErrorCode(c); code != protocol.CannotConnectNow {
			t.Errorf("%s: %q", name, code)
		}
		c.Close()
	}
	for range 10 { // more than MaxRejectedInARow
		idle.Write(protocol.AppendQuery(nil, []byte("x")))
	}
	code := lastErrorCode(idle)
	idle.Close()
	s.awaitNoConns()
	if code != protocol.ProtocolViolation || s.RejectedOnly.Load() != 1 || s.TimedOut.Load() != 5 {
		t.Errorf("%q, %d rejected only, %d timed out", code, s.RejectedOnly.Load(), s.TimedOut.Load())
	}
}

func TestClientsWithoutCommandsAreEvictedFirst(t *testing.T) {
	s, dial := startClients(t, &setup.Limits{
		MaxClientConns: 4, SpareClientConns: 4, MaxRejectedInARow: 9,
		CommandReadTimeout: testTimeout, EvictionIdleTime: testTimeout,
	})
	var silent []net.Conn
	for range 200 { // the clients keep them open
		silent = append(silent, dial())
	}
	for range 200 {
		c := dial()
		c.Write(append(protocol.AppendStartup(nil, "svc", "main"), protocol.AppendQuery(nil, nil)...))
		if !readSome(c) {
			t.Fatal("the client is not served")
		}
	}
	if code := lastErrorCode(silent[0]); code != "" || s.Evicted.Load() < 200 || s.OpenConns() > 8 {
		t.Errorf("%q, %d evicted, %d open", code, s.Evicted.Load(), s.OpenConns())
	}
}

func TestProvenIdleConnectionsAreEvictedWhereOthersAreTooNew(t *testing.T) {
	s, dial := startClients(t, &setup.Limits{
		MaxClientConns: 8, SpareClientConns: 8, MaxRejectedInARow: 9,
		NewConnGrace: testTimeout, CommandReadTimeout: testTimeout,
	})
	s.handler = notNowHandler{}
	hello := append(protocol.AppendStartup(nil, "svc", "main"), protocol.AppendQuery(nil, []byte("x"))...)
	var first net.Conn
	for range 4 { // clients that keep their connections idle and open no more
		c := dial()
		c.Write(hello)
		for in, b := []byte(nil), make([]byte, 1<<10); strings.Count(string(in), "Z\x00\x00\x00\x05I") < 2; {
			n, err := c.Read(b)
			if in = append(in, b[:n]...); err != nil {
				t.Fatal(err)
			}
		}
		if first == nil {
			first = c
		}
	}
	for pending := true; pending; { // the writer may not have recorded yet that the answer was written
		pending = false
		s.mu.Lock()
		for c := range s.open {
			c.mu.Lock()
			pending = pending || c.hasPending()
			c.mu.Unlock()
		}
		s.mu.Unlock()
		runtime.Gosched()
	}
	for range 9 {
		dial() // sends nothing and is too new to be evicted
	}
	if code := lastErrorCode(first); code != "" || s.Evicted.Load() == 0 {
		t.Errorf("%q, %d evicted", code, s.Evicted.Load())
	}
}

// notNowHandler accepts all commands and fails them with CannotConnectNow.
type notNowHandler struct{ rejectingHandler }

func (notNowHandler) HandleCommand(s *Slot, _ []byte, _ time.Time) {
	s.CommandAccepted()
	s.Fail(protocol.CannotConnectNow, "not now")
}
