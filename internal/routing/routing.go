// Package routing owns the decision module: one goroutine calls it, and is
// reached by a queue only. It keeps the ids of hosts and commands, and carries
// out what the module asks for. It decides nothing.
package routing

import (
	"container/heap"
	"context"
	"fmt"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/protocol"
	"ferrypitch/internal/setup"
	"ferrypitch/internal/transport"
	"ferrypitch/rules"
)

// Router is the module and what it is known by outside.
type Router struct {
	start *setup.Start
	log   *zap.Logger
	queue *queue
	clock *clock
	pool  *transport.Hosts
	tell  func(body string)

	rules  *rules.Router
	hosts  map[string]*host
	nodes  map[*rules.Node]*host
	cmds   map[string]*command
	slots  map[*transport.Slot]*command
	due    deadlines
	wakeAt time.Time
	names  int64
	asking []*transport.Slot // empty queries that wait for a first list
	rev    atomic.Int64
	listed bool
	since  time.Time

	Counts
}

// host is a database host as the list has it.
type host struct {
	node  *rules.Node
	conns *transport.Host
	set   int64
	row   []any // what the module was last told, for a module that starts anew
	probe bool
}

// command is one that was taken.
type command struct {
	handle    *rules.Cmd
	slot      *transport.Slot
	statement []byte
	until     time.Time // when its last answer is due
	call      *transport.Call
	sentAt    time.Time
	callUntil time.Time
	again     bool
	index     int // among the deadlines
}

// New makes a router that knows the list of the last run, if there was one.
func New(s *setup.Start, pool *transport.Hosts, tell func(string), log *zap.Logger) (*Router, error) {
	r := &Router{start: s, log: log, queue: newQueue(s.Limits.Backlog), clock: newClock(time.Now), pool: pool,
		tell: tell, hosts: map[string]*host{}, nodes: map[*rules.Node]*host{}, cmds: map[string]*command{},
		slots: map[*transport.Slot]*command{}, since: time.Now()}
	r.rev.Store(-1)
	r.begin()
	if !s.Known.Has("targets") {
		return r, nil
	}
	return r, r.list(s.Known)
}

// begin starts a module.
func (r *Router) begin() {
	r.rules = rules.New(r, r.start.Deployment, r.clock.now())
}

// Rev is the version of the list that is held.
func (r *Router) Rev() int64 { return max(0, r.rev.Load()) }

// Command, Empty, Left, List and Heard are called from other goroutines.

func (r *Router) Command(s *transport.Slot, statement []byte, at time.Time) {
	group, key, set, wait, after, again, err := protocol.Comment(statement)
	if err != nil {
		r.Refused.Add(1)
		s.Fail(protocol.Unknown, err.Error())
		return
	}
	g := r.start.Terms.Groups[group]
	if g == nil {
		r.Refused.Add(1)
		s.Fail(protocol.Unknown, "no command group of the name "+strconv.Quote(group))
		return
	}
	until := at.Add(time.Duration(wait*float64(time.Millisecond)) - r.start.Limits.Early)
	if !r.queue.put(commands, func() { r.take(s, statement, g, key, set, until, after, again) }) {
		s.Fail(protocol.Failed, "the router has stopped")
	}
}

func (r *Router) Empty(s *transport.Slot) {
	r.queue.put(commands, func() {
		if r.listed {
			s.Empty()
		} else {
			r.asking = append(r.asking, s)
		}
	})
}

func (r *Router) Left(s *transport.Slot) {
	r.queue.put(outcomes, func() {
		if c := r.slots[s]; c != nil {
			r.Gone.Add(1)
			delete(r.slots, s)
			c.slot = nil
			c.handle.Left()
			r.settle(c)
		}
	})
}

// List takes one line of discovery's.
func (r *Router) List(line []byte) {
	r.queue.put(lists, func() {
		o, err := setup.Decode("", line)
		if err == nil {
			err = r.list(o)
		}
		if err != nil {
			r.Faults.Add(1)
			r.log.Warn("a list that is not understood", zap.Error(err))
		}
	})
}

func (r *Router) Heard(body string) {
	r.queue.put(commands, func() {
		r.moment()
		r.rules.Heard(body)
	})
}

// Run owns the module until the context ends.
func (r *Router) Run(ctx context.Context) error {
	defer r.queue.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.queue.ready:
		case <-timer.C:
		}
		for r.guarded(r.step) {
		}
		next := r.wakeAt
		if len(r.due) > 0 && (next.IsZero() || r.due[0].ends().Before(next)) {
			next = r.due[0].ends()
		}
		if !r.listed && len(r.asking) > 0 {
			next = time.Now().Add(r.start.Limits.Again)
		}
		if !next.IsZero() {
			timer.Reset(max(0, time.Until(next)))
		}
	}
}

// step does what comes first of all that is due now, and says whether there was anything.
func (r *Router) step() bool {
	if do := r.queue.take(lists); do != nil {
		do()
		return true
	}
	if do := r.queue.take(outcomes); do != nil {
		do()
		return true
	}
	now := time.Now()
	if len(r.due) > 0 && !now.Before(r.due[0].ends()) {
		r.expire(r.due[0])
		return true
	}
	if !r.wakeAt.IsZero() && !now.Before(r.wakeAt) {
		r.wakeAt = time.Time{}
		r.moment()
		r.rules.Woke()
		return true
	}
	if len(r.asking) > 0 && !r.listed && now.Sub(r.since) > r.start.Limits.Ready {
		for _, s := range r.asking {
			s.Fail(protocol.NotNow, "no list of hosts yet")
		}
		r.asking = nil
	}
	if do := r.queue.take(commands); do != nil {
		do()
		return true
	}
	return false
}

// guarded answers a panic of the module: it is logged, all commands taken fail, since any may
// have run, and a new module starts with the list, as after a restart.
func (r *Router) guarded(step func() bool) (more bool) {
	defer func() {
		if p := recover(); p != nil {
			r.Faults.Add(1)
			r.log.Error("the module panicked; all commands taken fail, and it starts anew",
				zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
			r.restart()
			more = true
		}
	}()
	return step()
}

func (r *Router) restart() {
	for _, c := range r.cmds {
		if c.call != nil {
			c.call.Abandon()
			c.call = nil
		}
		if c.slot != nil {
			r.Failed.Add(1)
			c.slot.Fail(protocol.Failed, "the router has lost track of the command")
		}
	}
	clear(r.cmds)
	clear(r.slots)
	clear(r.nodes)
	r.due, r.wakeAt = nil, time.Time{}
	r.begin()
	for uid, h := range r.hosts {
		h.probe = false
		h.node = r.rules.Host(uid, h.set)
		r.nodes[h.node] = h
		h.listed()
	}
	r.rules.ListDone(false)
}

// moment tells the module the time of the calls that follow.
func (r *Router) moment() rules.Tenth {
	now := r.clock.now()
	r.rules.Clock(now)
	return now
}

// list takes in a list, whole or the changes since the last.
func (r *Router) list(o setup.Object) (err error) {
	defer setup.Catch(&err)
	rev, whole := o.Integer("rev"), o.Flag("all")
	targets := o.Objects("targets")
	if rev < r.rev.Load() {
		r.Stale.Add(1)
		return nil
	}
	r.moment()
	for _, e := range targets {
		uid, endpoint := e.Text("uid"), e.Text("endpoint")
		h := r.hosts[uid]
		if h == nil {
			h = &host{set: e.Integer("pod_group"), conns: r.pool.Add(endpoint)}
			h.node = r.rules.Host(uid, h.set)
			r.hosts[uid], r.nodes[h.node] = h, h
		}
		h.conns.Move(endpoint)
		standing := map[string]rules.Standing{"draining": rules.Draining, "removed": rules.Gone}[e.Text("state")]
		h.row = []any{standing, e.MaybeText("role") == "leader", e.MaybeText("az"), e.MaybeText("model"),
			e.MaybeNumber("capacity_hint"), setup.Up(e.MaybeNumber("boot_ms"))}
		h.listed()
	}
	r.rules.ListDone(whole)
	r.rev.Store(rev)
	r.Lists.Add(1)
	r.log.Info("list", zap.Int64("rev", rev), zap.Bool("whole", whole), zap.Int("entries", len(targets)))
	r.listed = true
	for _, s := range r.asking {
		s.Empty()
	}
	r.asking = nil
	return nil
}

// take brings a command to the module.
func (r *Router) take(s *transport.Slot, statement []byte, g *rules.CmdGroup, key string, set int64,
	until time.Time, written float64, again bool) {
	now := r.moment()
	since := rules.Tenth(0)
	if written > 0 { // a commit's time is rounded up, so this errs towards fresh
		since = max(1, now-setup.Up(written))
	}
	r.names++
	c := &command{slot: s, statement: statement, until: until, index: -1}
	name := strconv.FormatInt(r.names, 36)
	r.cmds[name], r.slots[s] = c, c
	r.Taken.Add(1)
	c.handle = r.rules.Take(name, g, set, key, after(now, time.Until(until)), since, nil, again)
	r.settle(c)
}

// expire ends a dispatch that has had its time.
func (r *Router) expire(c *command) {
	if c.call == nil {
		r.due.remove(c)
		return
	}
	o, ok := c.call.Abandon()
	if !ok {
		r.due.remove(c) // its outcome is in the queue
		return
	}
	r.ended(c, transport.Answer{Outcome: o, At: time.Now()})
}

// ended brings the outcome of a command's dispatch to the module.
func (r *Router) ended(c *command, a transport.Answer) {
	now := r.moment()
	_ = now
	r.due.remove(c)
	c.call = nil
	n := c.handle.Node
	r.report(n, a.Load)
	pos, role := rules.Tenth(-1), rules.Unknown
	if v, err := strconv.ParseFloat(a.Position, 64); err == nil && v > 0 {
		pos = setup.Down(v)
	}
	switch a.Role {
	case "leader":
		role = rules.Primary
	case "follower":
		role = rules.Replica
	}
	r.Outcomes[a.Outcome].Add(1)
	if a.Outcome == rules.Answered && c.slot != nil {
		r.Answered.Add(1)
		c.slot.Answer(a.Frames)
		r.final(c)
	}
	c.handle.Ended(a.Outcome, pos, role, rules.Tenth(a.At.Sub(c.sentAt)/tenth), c.slot == nil)
	r.settle(c)
}

// report hands on what a load report says.
func (r *Router) report(n *rules.Node, load string) {
	t := r.start.Terms
	pos, role, ok := t.Report(func(i int) (float64, bool) { return protocol.Field(load, t.Fields[i]) })
	if n != nil && ok {
		n.Reported(pos, role)
	}
}

// final notes that a command has its last answer.
func (r *Router) final(c *command) {
	delete(r.slots, c.slot)
	c.slot = nil
}

// settle forgets a command for which nothing more will come.
func (r *Router) settle(c *command) {
	if c.handle != nil && c.handle.Over() {
		delete(r.cmds, c.handle.Name)
	}
}

// Dispatch, Throttle, Fail, Probe, Close, Tell and Wake are what the module asks for.

func (r *Router) Dispatch(handle *rules.Cmd, n *rules.Node, timeout rules.Tenth) {
	c := r.cmds[handle.Name]
	c.sentAt = time.Now()
	c.callUntil = c.until
	if at := c.sentAt.Add(span(timeout)); timeout > 0 && at.Before(c.callUntil) {
		c.callUntil = at
	}
	r.Dispatched.Add(1)
	var call *transport.Call
	call = r.nodes[n].conns.Send(c.statement, c.callUntil, true, func(a transport.Answer) {
		r.queue.put(outcomes, func() {
			if c.call == call {
				r.ended(c, a)
			}
		})
	})
	c.call = call
	heap.Push(&r.due, c)
}

func (r *Router) Throttle(handle *rules.Cmd, comeback rules.Tenth) {
	c := r.cmds[handle.Name]
	if c.slot != nil {
		r.Throttled.Add(1)
		c.slot.Throttle(comeback / 10)
		r.final(c)
	}
}

func (r *Router) Fail(handle *rules.Cmd) {
	c := r.cmds[handle.Name]
	if c.slot != nil {
		r.Failed.Add(1)
		c.slot.Fail(protocol.Failed, "no answer from a host")
		r.final(c)
	}
}

func (r *Router) Probe(n *rules.Node) {
	h := r.nodes[n]
	if h.probe {
		return
	}
	h.probe = true
	r.Probes.Add(1)
	statement := "SELECT 1"
	if r.start.Deployment.Reports {
		statement = "SHOW server_load"
	}
	until := time.Now().Add(r.start.Limits.Connect)
	var call *transport.Call
	var ended atomic.Bool
	done := func(a transport.Answer) {
		if ended.Swap(true) {
			return
		}
		r.queue.put(outcomes, func() {
			if r.nodes[n] != h || !h.probe {
				return
			}
			h.probe = false
			r.moment()
			load := a.Value
			if load == "" {
				load = a.Load
			}
			r.report(n, load)
			n.Probed(a.Outcome == rules.Answered)
		})
	}
	call = h.conns.Send([]byte(statement), until, false, done)
	time.AfterFunc(time.Until(until), func() {
		if o, ok := call.Abandon(); ok {
			done(transport.Answer{Outcome: o})
		}
	})
}

func (r *Router) Close(n *rules.Node) { r.nodes[n].conns.CloseIdle() }

func (r *Router) Tell(body string) { r.tell(body) }

func (r *Router) Wake(after rules.Tenth) {
	if at := time.Now().Add(span(after)); r.wakeAt.IsZero() || at.Before(r.wakeAt) {
		r.wakeAt = at
	}
}

// listed tells the module of a host, as the list has it.
func (h *host) listed() {
	h.node.Listed(h.row[0].(rules.Standing), h.row[1].(bool), h.row[2].(string), h.row[3].(string),
		h.row[4].(float64), h.row[5].(rules.Tenth))
}

// deadlines is a heap of commands by when what is out for them ends.
type deadlines []*command

func (c *command) ends() time.Time { return c.callUntil }

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].callUntil.Before(d[j].callUntil) }
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}
func (d *deadlines) Push(v any) {
	c := v.(*command)
	c.index = len(*d)
	*d = append(*d, c)
}
func (d *deadlines) Pop() any {
	old := *d
	c := old[len(old)-1]
	*d = old[:len(old)-1]
	c.index = -1
	return c
}

func (d *deadlines) remove(c *command) {
	if c.index >= 0 {
		heap.Remove(d, c.index)
	}
}
