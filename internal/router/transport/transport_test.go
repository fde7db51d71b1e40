package transport

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
	"ferrypitch/policy"
)

const long = 20 * time.Second

// pool starts the connections to one host, which hands each that comes to serve.
func pool(t *testing.T, most int, serve func(conn net.Conn)) (*Hosts, *Host) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := &setup.Limits{Hosts: most, Buffer: 1 << 10, Buffers: 1 << 20, Answer: 1 << 16, Connect: long, Idle: long}
	ctx, end := context.WithCancel(context.Background())
	h := NewHosts(ctx, limits, NewRoom(limits))
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

func next(conn net.Conn) bool {
	b := make([]byte, 1<<16)
	_, err := conn.Read(b)
	return err == nil
}

func reply(value byte) []byte {
	b := append([]byte{protocol.RowDescription, 0, 0, 0, 25, 0, 1, 0}, make([]byte, 18)...)
	b = append(b, protocol.DataRow, 0, 0, 0, 11, 0, 1, 0, 0, 0, 1, value)
	return protocol.AppendReady(append(b, protocol.CommandComplete, 0, 0, 0, 6, 'S', 0))
}

func greeted(conn net.Conn) {
	next(conn)
	conn.Write(protocol.AppendGreeting(nil))
}

func (h *Host) ask(by time.Time) (*Call, chan Answer) {
	got := make(chan Answer, 2)
	return h.Send([]byte("x"), time.Now().Add(long), by, false, func(a Answer) { got <- a }), got
}

func (h *Host) asked() policy.Outcome {
	_, got := h.ask(time.Now().Add(long))
	return (<-got).Outcome
}

func TestHowAConnectionEndsTellsWhetherTheCommandRan(t *testing.T) {
	for name, story := range map[string]struct {
		serve func(net.Conn)
		want  policy.Outcome
	}{
		"broken while it comes up":    {func(c net.Conn) { next(c) }, policy.Unreached},
		"too many connections":        {func(c net.Conn) { c.Write(protocol.AppendError(nil, "FATAL", "53300", "", "")) }, policy.Full},
		"starting":                    {func(c net.Conn) { c.Write(protocol.AppendError(nil, "FATAL", "57P03", "", "")) }, policy.Unreached},
		"broken after the last byte":  {func(c net.Conn) { greeted(c); next(c) }, policy.Reset},
		"broken in the answer":        {func(c net.Conn) { greeted(c); next(c); c.Write(reply('a')[:12]) }, policy.Reset},
		"broken behind a whole error": {func(c net.Conn) { greeted(c); next(c); c.Write(protocol.AppendError(nil, "", "53300", "", "")) }, policy.Full},
		"answered":                    {func(c net.Conn) { greeted(c); next(c); c.Write(reply('a')); next(c) }, policy.Answered},
		"an answer of no form":        {func(c net.Conn) { greeted(c); next(c); c.Write([]byte("HTTP/1.1 400\r\n\r\n")) }, policy.Reset},
		"a row twice": {func(c net.Conn) {
			greeted(c)
			next(c)
			c.Write(append(reply('a')[:38], reply('a')[26:]...))
			next(c)
		}, policy.Reset},
		"a row before its description": {func(c net.Conn) { greeted(c); next(c); c.Write(reply('a')[26:]); next(c) }, policy.Reset},
		"a description of no column":   {func(c net.Conn) { greeted(c); next(c); c.Write([]byte("T\x00\x00\x00\x06\x00\x00")); next(c) }, policy.Reset},
		"a row of 3 GB": {func(c net.Conn) {
			greeted(c)
			next(c)
			c.Write(append(reply('a')[:26], "D\xb2\xd0\x5e\x00"...))
			next(c)
		}, policy.Reset},
		"an error without a code": {func(c net.Conn) { greeted(c); next(c); c.Write([]byte("E\x00\x00\x00\x05\x00")); next(c) }, policy.Reset},
		"noise behind an error": {func(c net.Conn) {
			greeted(c)
			next(c)
			c.Write(append(protocol.AppendError(nil, "", "53300", "", ""), "noise"...))
			next(c)
		}, policy.Reset},
		"noise behind a whole row": {func(c net.Conn) { greeted(c); next(c); c.Write(append(reply('a')[:45], "noise"...)); next(c) }, policy.Answered},
		"nothing in the answer":    {func(c net.Conn) { greeted(c); next(c); c.Write(protocol.AppendReady(nil)); next(c) }, policy.Reset},
	} {
		_, n := pool(t, 9, story.serve)
		if got := n.asked(); got != story.want {
			t.Errorf("%s: %d, not %d", name, got, story.want)
		}
	}
	_, n := pool(t, 9, nil)
	n.Move("127.0.0.1:1")
	if got := n.asked(); got != policy.Unreached {
		t.Errorf("refused: %d", got)
	}
}

func TestGivingUpTellsWhetherItWasSentAndClosesTheConnection(t *testing.T) {
	came, gone := make(chan bool), make(chan error)
	_, n := pool(t, 9, func(c net.Conn) {
		next(c)
		came <- true
		_, err := c.Read(make([]byte, 1))
		gone <- err
	})
	call, got := n.ask(time.Now().Add(long))
	<-came
	if o, ok := call.Abandon(); o != policy.Unreached || !ok {
		t.Errorf("while it comes up: %d %t", o, ok)
	}
	if err := <-gone; err == nil {
		t.Error("something was sent on a connection given up on")
	}
	_, n = pool(t, 9, func(c net.Conn) {
		greeted(c)
		next(c)
		came <- true
		_, err := io.Copy(io.Discard, c)
		gone <- err
	})
	call, got = n.ask(time.Now().Add(long))
	<-came
	if o, ok := call.Abandon(); o != policy.TimedOut || !ok {
		t.Errorf("once sent: %d %t", o, ok)
	}
	<-gone
	if _, ok := call.Abandon(); ok || len(got) != 0 {
		t.Error("it ended twice")
	}
}

func TestACallGivenUpOnBeforeItsConnectionBeginsEndsOnce(t *testing.T) {
	h, n := pool(t, 100, func(c net.Conn) { io.Copy(io.Discard, c) }) // it never comes up
	for range 100 {
		call, got := n.ask(time.Now().Add(long))
		if o, ok := call.Abandon(); o != policy.Unreached || !ok || len(got) != 0 {
			t.Errorf("outcome %d %t", o, ok)
		}
	}
	for h.OpenConns() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestNothingIsSentOnceItsDecisionIsOld(t *testing.T) {
	sent := make(chan bool, 1)
	_, n := pool(t, 9, func(c net.Conn) {
		greeted(c)
		sent <- next(c)
	})
	_, got := n.ask(time.Now())
	if a := <-got; a.Outcome != policy.Moot || <-sent {
		t.Errorf("outcome %d", a.Outcome)
	}
}

func TestAnAnswerNobodyAskedForReachesNoOtherCommand(t *testing.T) {
	_, n := pool(t, 9, func(c net.Conn) {
		greeted(c)
		for next(c) {
			c.Write(append(reply('a'), reply('b')...))
		}
	})
	for range 5 {
		_, got := n.ask(time.Now().Add(long))
		if a := <-got; a.Outcome == policy.Answered && a.Value != "a" {
			t.Fatalf("%q", a.Value)
		}
	}
}

func TestWhatCameBeforeACommandWasSentIsNotItsAnswer(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the reader seldom runs first
	let, done := make(chan bool), make(chan bool)
	h, n := pool(t, 99, func(c net.Conn) {
		greeted(c)
		next(c)
		c.Write(reply('a'))
		<-let
		c.Write(reply('b'))
		done <- true
		next(c)
	})
	for range 50 {
		if got := n.asked(); got != policy.Answered {
			t.Fatalf("outcome %d", got)
		}
		let <- true
		<-done
		_, got := n.ask(time.Now().Add(long))
		if a := <-got; a.Outcome == policy.Answered && a.Value != "a" {
			t.Fatalf("%q", a.Value)
		}
		let <- true
		<-done
	}
	if h.UnsolicitedData.Load()+h.Opened.Load() < 100 {
		t.Errorf("%d strays on %d connections", h.UnsolicitedData.Load(), h.Opened.Load())
	}
}

func TestARemovedHostLeavesNothing(t *testing.T) {
	wait := make(chan bool)
	h, n := pool(t, 99, func(c net.Conn) {
		greeted(c)
		for next(c) {
			<-wait
			c.Write(reply('a'))
		}
	})
	_, got := n.ask(time.Now().Add(long))
	n.Remove()
	wait <- true
	if a := <-got; a.Outcome != policy.Answered {
		t.Errorf("what was out ended as %d", a.Outcome)
	}
	for h.OpenConns() > 0 { // its connection is not kept
		time.Sleep(time.Millisecond)
	}
	if len(h.hosts) != 0 || len(n.idle) != 0 {
		t.Errorf("%d hosts are held, %d connections", len(h.hosts), len(n.idle))
	}
}

// mute takes nothing that clients bring.
type mute struct{ CommandHandler }

func (mute) HandleEmptyQuery(s *Slot) { s.AnswerEmptyQuery() }
func (mute) ClientDisconnected(*Slot)    {}
func (mute) HandleCommand(s *Slot, statement []byte, _ time.Time) {
	s.Reject(protocol.Unknown, "not served")
}

// front serves clients by the limits.
func front(t *testing.T, l *setup.Limits) (*Clients, func() net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Buffer, l.Buffers, l.Message, l.Ahead = 1<<10, 1<<20, 1<<16, 9
	l.Part, l.Stuck, l.Again = long, long, time.Millisecond
	s := NewClients(l, NewRoom(l), mute{})
	ctx, end := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Serve(ctx, listener) }()
	t.Cleanup(func() {
		end()
		<-done
		if s.budget.Used() != 0 || s.OpenConns() != 0 {
			t.Errorf("%d bytes and %d connections are held at the end", s.budget.Used(), s.OpenConns())
		}
	})
	return s, func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(long))
		return c
	}
}

// empty waits for all connections to be gone, and counted.
func (s *Clients) empty() {
	for s.OpenConns() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// told is the code of the last error that comes before the end; "" where there is none.
func told(c net.Conn) (code string) {
	in, b := []byte(nil), make([]byte, 1<<12)
	for {
		n, err := c.Read(b)
		in = append(in, b[:n]...)
		for kind, body, n, _ := protocol.Next(in, 1<<16); n > 0; kind, body, n, _ = protocol.Next(in, 1<<16) {
			if kind == protocol.ErrorResponse {
				code = protocol.Code(body)
			}
			in = in[n:]
		}
		if err == io.EOF {
			return code
		}
		if err != nil {
			return err.Error()
		}
	}
}

func TestWhatCannotBeReadIsToldWhyAndCloses(t *testing.T) {
	s, dial := front(t, &setup.Limits{Clients: 99, Spare: 9, Refusals: 3, Unused: long, Whole: long})
	hello := string(protocol.AppendStartup(nil, "svc", "main"))
	query := string(protocol.AppendQuery(nil, []byte("nothing of use")))
	for name, story := range map[string][2]string{
		"noise":                    {"frob and more of it", protocol.Bad},
		"a startup too long":       {"\x00\x04\x93\xe8\x00\x03\x00\x00" + strings.Repeat("k", 300000), protocol.Bad},
		"a version of its own":     {"\x00\x00\x00\x08\x00\x09\x00\x00", protocol.NoSuch},
		"a negative length":        {hello + "Q\xff\xff\xff\xfc/* id", protocol.Bad},
		"a length of nothing":      {hello + "Q\x00\x00\x00\x00/* id", protocol.Bad},
		"a length beyond all":      {hello + "XXQ\x00\x00\x00r/* id", protocol.Bad},
		"a message not known":      {hello + "?\x00\x00\x00\x09frob\x00", protocol.Bad},
		"the same again and again": {hello + strings.Repeat(query, 600), protocol.Bad},
		"60 MB":                    {hello + "Q\x03\x93\x87\x04" + strings.Repeat("v", 60<<20), protocol.Bad},
	} {
		c := dial()
		go io.Copy(c, strings.NewReader(story[0])) // it goes on sending until it is told
		if code := told(c); code != story[1] {
			t.Errorf("%s: %q", name, code)
		}
		c.Close()
	}
	s.empty()
	if s.Malformed.Load() != 8 || s.RejectedOnly.Load() != 1 {
		t.Errorf("%d torn, %d wild", s.Malformed.Load(), s.RejectedOnly.Load())
	}
}

func TestSilentAndHalfClientsHaveTheirTimeAndNoMore(t *testing.T) {
	s, dial := front(t, &setup.Limits{Clients: 99, Spare: 9, Refusals: 9, Unused: long, Whole: 50 * time.Millisecond})
	hello := string(protocol.AppendStartup(nil, "svc", "main"))
	idle := dial() // between commands there is no limit
	idle.Write([]byte(hello + string(protocol.AppendQuery(nil, nil))))
	for name, said := range map[string]string{"nothing": "", "half a startup": hello[:5], "no command": hello,
		"half a command": hello + "Q\x00\x00\x00r/* id=1", "half a second": hello + string(protocol.AppendQuery(nil, nil)) + "Q"} {
		c := dial()
		c.Write([]byte(said))
		if code := told(c); code != protocol.NotNow {
			t.Errorf("%s: %q", name, code)
		}
		c.Close()
	}
	for range 10 { // more than it may, and heard to the last
		idle.Write(protocol.AppendQuery(nil, []byte("x")))
	}
	code := told(idle)
	idle.Close()
	s.empty()
	if code != protocol.Bad || s.RejectedOnly.Load() != 1 || s.TimedOut.Load() != 5 {
		t.Errorf("%q, %d wild, %d slow", code, s.RejectedOnly.Load(), s.TimedOut.Load())
	}
}

func TestThoseWhoAskForNothingMakeWayFirst(t *testing.T) {
	s, dial := front(t, &setup.Limits{Clients: 4, Spare: 4, Refusals: 9, Whole: long, Free: long})
	var silent []net.Conn
	for range 200 { // all are held open by their clients
		silent = append(silent, dial())
	}
	for range 200 {
		c := dial()
		c.Write(append(protocol.AppendStartup(nil, "svc", "main"), protocol.AppendQuery(nil, nil)...))
		if b := make([]byte, 1); next(c) == false || b == nil {
			t.Fatal("it is not served")
		}
	}
	if code := told(silent[0]); code != "" || s.Evicted.Load() < 200 || s.OpenConns() > 8 {
		t.Errorf("%q, %d made way, %d are open", code, s.Evicted.Load(), s.OpenConns())
	}
}

func TestIdleConnectionsOfUseMakeWayBesideThoseOfNone(t *testing.T) {
	s, dial := front(t, &setup.Limits{Clients: 8, Spare: 8, Refusals: 9, Unused: long, Whole: long})
	s.handler = kind{}
	hello := append(protocol.AppendStartup(nil, "svc", "main"), protocol.AppendQuery(nil, []byte("x"))...)
	var first net.Conn
	for range 4 { // they leave their connections idle, and may have no more of them
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
	for owed := true; owed; { // its writer may not have noted yet that an answer is out
		owed = false
		s.mu.Lock()
		for c := range s.open {
			c.mu.Lock()
			owed = owed || c.hasPending()
			c.mu.Unlock()
		}
		s.mu.Unlock()
		runtime.Gosched()
	}
	for range 9 {
		dial() // says nothing, and is too new to make way
	}
	if code := told(first); code != "" || s.Evicted.Load() == 0 {
		t.Errorf("%q, %d made way", code, s.Evicted.Load())
	}
}

// kind takes all commands, and answers that now is no time for them.
type kind struct{ mute }

func (kind) HandleCommand(s *Slot, _ []byte, _ time.Time) {
	s.CommandAccepted()
	s.Fail(protocol.NotNow, "not now")
}

func TestTheConnectionUsedLastIsUsedNextAndAClosedOneNever(t *testing.T) {
	ends := make(chan bool)
	h, n := pool(t, 9, func(c net.Conn) {
		greeted(c)
		next(c)
		c.Write(reply('a'))
		next(c)
		c.Write(reply('b'))
		<-ends
	})
	if first, second := n.asked(), n.asked(); first+second != 0 || h.Opened.Load() != 1 || h.Reused.Load() != 1 {
		t.Errorf("%d %d on %d connections", first, second, h.Opened.Load())
	}
	ends <- true
	for h.OpenConns() > 0 { // seen without being used
		time.Sleep(time.Millisecond)
	}
	if got := n.asked(); got != policy.Answered || h.Opened.Load() != 2 {
		t.Errorf("%d on connection %d", got, h.Opened.Load())
	}
}

func TestWithoutADescriptorTheOldestIdleConnectionMakesWay(t *testing.T) {
	wait := make(chan bool)
	defer close(wait)
	serve := func(c net.Conn) {
		greeted(c)
		next(c)
		c.Write(reply('a'))
		next(c)
		<-wait
	}
	h, n := pool(t, 1, serve)
	if n.asked() != policy.Answered {
		t.Fatal("not answered")
	}
	other := h.Add(n.address)
	if got := other.asked(); got != policy.Answered {
		t.Errorf("the idle one did not make way: %d", got)
	}
	other.ask(time.Now().Add(long)) // stays out
	if got := n.asked(); got != policy.Moot || h.NoDescriptor.Load() != 1 {
		t.Errorf("no descriptor is left: %d", got)
	}
}

func TestDatagramsOfOthersThanPeersAreDropped(t *testing.T) {
	hear := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, foreign, free := hear(), hear(), hear()
	listen := free.LocalAddr().String()
	free.Close()
	p, err := NewPeers(&setup.Start{PeerListen: listen, PeersAll: peer.LocalAddr().String(),
		Peers: []string{listen, peer.LocalAddr().String()}, Limits: setup.Limits{Datagram: 256, Again: time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	heard, done := make(chan string, 9), make(chan error, 2)
	to := p.conn.LocalAddr()
	foreign.WriteTo([]byte("foreign"), to)
	peer.WriteTo(make([]byte, 300), to)
	for range 5 {
		peer.WriteTo([]byte("word"), to)
	}
	go func() { done <- p.Receive(ctx, func(body string) { heard <- body }) }()
	go func() { done <- p.Send(ctx) }()
	for range 5 {
		if body := <-heard; body != "word" || p.Dropped.Load() != 2 {
			t.Errorf("%q, %d dropped", body, p.Dropped.Load())
		}
	}
	if p.Batches.Load() > 1 {
		t.Error("what had come together woke the router more than once")
	}
	p.Broadcast(string(make([]byte, 257)))
	p.Broadcast("told")
	b := make([]byte, 300)
	if n, _, _ := peer.ReadFrom(b); string(b[:n]) != "told" {
		t.Errorf("%q was told", b[:n])
	}
	end()
	<-done
	<-done
}
