package routing

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

// testClient is a client connection to the router.
type testClient struct {
	t    *testing.T
	conn net.Conn
	in   []byte // bytes read but not parsed yet
}

// dial connects a client and starts its session.
func dial(t *testing.T, address string) *testClient {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	c := &testClient{t: t, conn: conn}
	conn.Write(protocol.AppendStartup(nil, "svc", "main"))
	c.answer()
	return c
}

func (c *testClient) query(statement string) {
	c.conn.Write(protocol.AppendQuery(nil, []byte(statement)))
}

// answer reads the messages of one answer and returns their kinds and the SQLSTATE of its error, if there is one.
func (c *testClient) answer() (kinds, code string) {
	for b := make([]byte, 1<<10); ; {
		kind, body, n, _ := protocol.NextMessage(c.in, 1<<10)
		if n == 0 {
			k, err := c.conn.Read(b)
			if err != nil {
				c.t.Fatal(err)
			}
			c.in = append(c.in, b[:k]...)
			continue
		}
		if kinds += string(kind); kind == protocol.ErrorResponse {
			code = protocol.ErrorCode(body)
		}
		if c.in = c.in[n:]; kind == protocol.ReadyForQuery {
			return kinds, code
		}
	}
}

// startWithDrainingHost returns the configuration of a router with one command group, of writes, and one draining host, so that
// commands are queued.
func startWithDrainingHost(t *testing.T) *setup.Start {
	order := &policy.CommandGroup{IdempotencyClass: policy.NotIdempotent, ConsistencyLevel: policy.Write, ResponseTarget: 5000, Timeout: 900000, Benefit: 1}
	known, err := setup.Decode("", []byte(`{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1",
		"pod_group":1,"state":"draining"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	const second = time.Second
	return &setup.Start{
		InitialList: known,
		Deployment:  policy.Deployment{Tick: 50, RouterCount: 1, MaxDispatches: 4, Groups: []*policy.CommandGroup{order}},
		Formats:     setup.Formats{Groups: map[string]*policy.CommandGroup{"order": order}, PositionField: -1},
		Limits: setup.Limits{
			MaxClientConns: 9, MaxHostConns: 9, CommandQueueSize: 9, MaxPipelined: 9, MaxClientMessage: 1 << 10, InitialBuffer: 1 << 10,
			CommandReadTimeout: 20 * second, ClientWriteTimeout: 20 * second, FirstListTimeout: 20 * second, StepInterval: second / 20,
		},
	}
}

// serve runs a router and its client server. It returns the address for clients and a function that stops both.
func serve(t *testing.T, start *setup.Start) (r *Router, address string, stop func()) {
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	budget := transport.NewBufferBudget(&start.Limits)
	r, err := New(start, transport.NewHostPool(ctx, &start.Limits, budget), func(string) {}, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clients, done := transport.NewClients(&start.Limits, budget, r), make(chan error, 2)
	go func() { done <- clients.Serve(ctx, listener) }()
	go func() { done <- r.Run(ctx) }()
	return r, listener.Addr().String(), func() {
		end()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	}
}

func TestPanicFailsOpenCommandsAndTheRouterServesOn(t *testing.T) {
	r, address, stop := serve(t, startWithDrainingHost(t))
	client := dial(t, address)
	client.query("/* id=0,c=order,d=80,cluster=1 */ INSERT INTO records (k, v) VALUES ('k', '\\x') RETURNING v")
	if _, code := client.answer(); code != protocol.TooManyConnections {
		t.Errorf("the code after a timeout in the queue is %q", code)
	}
	remaining := make(chan int)
	r.queue.Put(eventloop.PriorityOutcomes, func() { remaining <- len(r.commands) + len(r.slots) })
	if n := <-remaining; n != 0 {
		t.Errorf("%d entries are left of a command that timed out in the queue", n)
	}
	client.query("/* id=1,c=order,d=900000,cluster=1 */ INSERT INTO records (k, v) VALUES ('k', '\\x') RETURNING v")
	for r.Taken.Load() < 2 { // no host accepts commands, so the command is queued
		time.Sleep(time.Millisecond)
	}
	r.queue.Put(eventloop.PriorityCommands, func() { panic("a fault of the module") })
	if _, code := client.answer(); code != protocol.SystemError {
		t.Errorf("the queued command fails with %q", code)
	}
	client.query("")
	if kinds, _ := client.answer(); kinds != "IZ" {
		t.Errorf("an empty query is answered by %q", kinds)
	}
	stop()
	if r.Panics.Load() != 1 || r.Failed.Load() != 1 || len(r.nodes) != 1 || len(r.commands)+len(r.slots)+len(r.timeouts.All()) != 0 {
		t.Errorf("%d panics, %d failed, %d nodes, %d commands", r.Panics.Load(), r.Failed.Load(), len(r.nodes), len(r.commands))
	}
}

func TestThousandsOfGenerationsOfHostsAreForgotten(t *testing.T) {
	s := &setup.Start{Deployment: policy.Deployment{Tick: 10, RouterCount: 1, MaxDispatches: 4}, Formats: setup.Formats{PositionField: -1}}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	r, err := New(s, transport.NewHostPool(ctx, &s.Limits, transport.NewBufferBudget(&s.Limits)), func(string) {}, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	at := time.Now()
	r.clock = clock.New(func() time.Time { return at })
	for i := range 5000 {
		o, err := setup.Decode("", fmt.Appendf(nil, `{"rev":%d,"all":false,"targets":[
			{"uid":"h%d","endpoint":"127.0.0.1:1","pod_group":1,"state":"up"},
			{"uid":"h%d","endpoint":"127.0.0.1:1","pod_group":1,"state":"removed"}]}`, i+1, i%100, (i+97)%100))
		if err == nil {
			err = r.applyList(o, false)
		}
		if err != nil {
			t.Fatal(err)
		}
		at = at.Add(time.Second)
		r.advanceClock()
		r.policy.WakeUp()
	}
	if len(r.hosts) != 3 || len(r.nodes) != 3 || r.HostsAdded.Load()-r.HostsRemoved.Load() != 3 {
		t.Errorf("%d hosts, %d nodes; %d added, %d forgotten", len(r.hosts), len(r.nodes), r.HostsAdded.Load(), r.HostsRemoved.Load())
	}
}

func TestStallIsDetectedAndSocketsAreReadFirst(t *testing.T) {
	r := &Router{start: &setup.Start{Limits: setup.Limits{StepInterval: time.Minute, StallRecoveryDelay: time.Millisecond}}}
	r.lastStep = time.Now().Add(-time.Hour)
	at := time.Now()
	if r.detectStall(); r.Stalls.Load() != 1 || time.Since(at) < time.Millisecond {
		t.Errorf("%d stalls after an hour", r.Stalls.Load())
	}
	if r.detectStall(); r.Stalls.Load() != 1 {
		t.Error("a step without a delay counts as a stall")
	}
	if next := r.nextWakeUp(); next.After(time.Now().Add(time.Minute)) {
		t.Errorf("the next wake-up is at %v", next)
	}
}

func TestListsComeBeforeOutcomesAndThoseBeforeCommands(t *testing.T) {
	q, order := eventloop.NewQueue(2), ""
	for _, p := range []eventloop.Priority{
		eventloop.PriorityCommands, eventloop.PriorityOutcomes, eventloop.PriorityOutcomes, eventloop.PriorityOutcomes, eventloop.PriorityControl,
	} {
		q.Put(p, func() { order += string(rune('0' + p)) })
	}
	for _, p := range []eventloop.Priority{eventloop.PriorityControl, eventloop.PriorityOutcomes, eventloop.PriorityCommands} {
		for run := q.Take(p); run != nil; run = q.Take(p) {
			run()
		}
	}
	if order != "01112" {
		t.Error(order)
	}
	q.Put(eventloop.PriorityCommands, func() {})
	q.Put(eventloop.PriorityCommands, func() {})
	waited := make(chan bool)
	go func() { waited <- q.Put(eventloop.PriorityCommands, func() {}) }()
	select {
	case <-waited:
		t.Error("a full queue accepts a command")
	default:
	}
	q.Take(eventloop.PriorityCommands)
	if !<-waited || q.Len() != 2 {
		t.Error("the command that waited for space is lost")
	}
	q.Close()
	if q.Put(eventloop.PriorityOutcomes, func() {}) {
		t.Error("a closed queue accepts a function")
	}
}
