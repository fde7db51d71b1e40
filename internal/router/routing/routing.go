// Package routing owns the decision module: one goroutine calls it, and is
// reached by a queue only. It keeps the ids of hosts and commands, and carries
// out what the module asks for. It decides nothing.
package routing

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

// Router is the module and what it is known by outside.
type Router struct {
	start *setup.Start
	log   *zap.Logger
	queue *eventloop.Queue
	clock *clock.Clock
	pool  *transport.Hosts
	tell  func(body string)
	watch func()           // asks for the list, where it comes only on request
	trace *record.Recorder // nil while nothing is captured
	shape *watching        // nil where no settings are watched

	rules  *policy.Router
	hosts  map[string]*host
	nodes  map[*policy.Node]*host
	sets   map[int64]bool // that the list has named
	groups map[*policy.CmdGroup]int
	cmds   map[string]*command
	slots  map[*transport.Slot]*command // of commands that are owed an answer
	due    eventloop.Timers[*sending]
	wakeAt time.Time
	stepAt time.Time // when the owner last went on
	listed bool
	began  time.Time
	asking []*transport.Slot // empty queries that wait for a first list
	rev    atomic.Int64

	Counts
}

// command is one that was taken.
type command struct {
	handle    *policy.Cmd
	slot      *transport.Slot // nil when no answer is owed
	statement []byte
	until     time.Time // when its last answer is due
	out       *sending
}

var errStopped = errors.New("the router has stopped")

// New makes a router that knows the list of the last run, if there was one. trace may be nil.
func New(s *setup.Start, pool *transport.Hosts, tell func(string), trace *record.Recorder, log *zap.Logger) (*Router, error) {
	r := &Router{start: s, log: log, queue: eventloop.NewQueue(s.Limits.Backlog), clock: clock.New(time.Now), pool: pool,
		tell: tell, trace: trace, hosts: map[string]*host{}, nodes: map[*policy.Node]*host{}, sets: map[int64]bool{}, groups: map[*policy.CmdGroup]int{}, cmds: map[string]*command{},
		slots: map[*transport.Slot]*command{}, began: time.Now()}
	r.rev.Store(-1)
	for i, g := range s.Deployment.Groups {
		r.groups[g] = i
	}
	now := r.clock.Now()
	trace.Now(now)
	r.rules, r.shape = policy.New(r, s.Deployment, now), watch(s, now)
	if !s.Known.Has("targets") {
		return r, nil
	}
	return r, r.list(s.Known, false)
}

// Watching says what asks for the list, before Run.
func (r *Router) Watching(ask func()) { r.watch = ask }

// Rev is the version of the list that is held.
func (r *Router) Rev() int64 { return max(0, r.rev.Load()) }

// Command, Empty, Left, List, Unlisted and Heard are called from other goroutines.

func (r *Router) HandleCommand(s *transport.Slot, statement []byte, at time.Time) {
	id, group, key, set, wait, after, again, writes, err := protocol.Comment(statement)
	g := r.start.Terms.Groups[group]
	switch {
	case err != nil:
		r.refuse(s, err.Error())
		return
	case g == nil:
		r.refuse(s, "no command group of the name "+strconv.Quote(group[:min(len(group), 64)]))
		return
	case writes != (g.Need == policy.Write):
		r.refuse(s, "a statement that its command group does not have")
		return
	}
	longest := clock.Span(g.Timeout) // nobody waits for longer, whatever is said
	until := at.Add(min(time.Duration(min(wait, 1e9)*float64(time.Millisecond)), longest) - r.start.Limits.Early)
	if !r.queue.Put(eventloop.PriorityCommands, func() { r.command(s, statement, g, id, key, set, until, after, again) }) {
		s.Fail(protocol.Failed, errStopped.Error())
	}
}

// refuse answers what is no command; it costs less than serving one.
func (r *Router) refuse(s *transport.Slot, why string) {
	r.Refused.Add(1)
	s.Reject(protocol.Unknown, why)
}

func (r *Router) HandleEmptyQuery(s *transport.Slot) {
	r.queue.Put(eventloop.PriorityCommands, func() {
		if r.listed {
			s.AnswerEmptyQuery()
		} else {
			r.asking = append(r.asking, s)
		}
	})
}

func (r *Router) ClientDisconnected(s *transport.Slot) {
	r.queue.Put(eventloop.PriorityOutcomes, func() {
		if c := r.slots[s]; c != nil {
			r.Gone.Add(1)
			r.final(c)
			r.trace.Left(c.handle)
			c.handle.Left()
			r.settle(c.handle)
		}
	})
}

// List takes one line of discovery's, and returns when the module knows it. anew: of an address
// that speaks for the first time.
func (r *Router) List(line []byte, anew bool) error {
	told := make(chan error, 1)
	if !r.queue.Put(eventloop.PriorityLists, func() {
		o, err := setup.Decode("", line)
		if err == nil {
			err = r.list(o, anew)
		}
		told <- err
	}) {
		return errStopped
	}
	select {
	case err := <-told:
		return err
	case <-r.queue.Ended:
		return errStopped
	}
}

// Unlisted tells that a list that was asked for did not come, or comes no more. What is held serves on.
func (r *Router) Unlisted() {
	r.queue.Put(eventloop.PriorityLists, func() {
		r.Unlists.Add(1)
		r.moment()
		r.trace.Unlisted()
		r.rules.Unlisted()
	})
}

func (r *Router) Heard(body string) {
	r.queue.Put(eventloop.PriorityCommands, func() {
		r.moment()
		r.trace.Heard(body)
		r.rules.Heard(body)
	})
}

// Reloaded notes, for whoever captures, that the configuration was read again, and whether it was good.
func (r *Router) Reloaded(ok bool) {
	if r.trace != nil {
		r.queue.Put(eventloop.PriorityLists, func() {
			r.moment()
			r.trace.Reload(ok)
		})
	}
}

// Stop fails what is owed, when time is up.
func (r *Router) Stop() {
	done := make(chan struct{})
	if r.queue.Put(eventloop.PriorityOutcomes, func() { r.failAll(); close(done) }) {
		select {
		case <-done:
		case <-r.queue.Ended:
		}
	}
}

// Run owns the module until the context ends.
func (r *Router) Run(ctx context.Context) error {
	defer r.queue.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	r.stepAt = time.Now()
	for {
		select {
		case <-ctx.Done():
			r.trace.Flush()
			return nil
		case <-r.queue.Ready:
		case <-timer.C:
		}
		r.catchUp()
		for r.guarded(r.step) {
		}
		timer.Reset(max(0, time.Until(r.next())))
	}
}

// catchUp lets the sockets be read first when this router has stood still, so that lists and
// answers that came in that time are heard before anything is sent or given up.
func (r *Router) catchUp() {
	if time.Since(r.stepAt) > 2*r.start.Limits.Pulse {
		r.Stalls.Add(1)
		r.trace.Stall(policy.Tenth(time.Since(r.stepAt) / clock.Tenth))
		time.Sleep(r.start.Limits.Settle)
	}
	r.stepAt = time.Now()
}

// next is when something is due, and a pulse from now at the latest, which tells of a stall.
func (r *Router) next() time.Time {
	next := r.stepAt.Add(r.start.Limits.Pulse)
	if !r.wakeAt.IsZero() && r.wakeAt.Before(next) {
		next = r.wakeAt
	}
	if first := r.due.First(); first != nil && first.Deadline.Before(next) {
		next = first.Deadline
	}
	return next
}

// step does what comes first of all that is due now, and says whether there was anything.
func (r *Router) step() bool {
	r.stepAt = time.Now()
	if do := r.queue.Take(eventloop.PriorityLists); do != nil {
		do()
		return true
	}
	if do := r.queue.Take(eventloop.PriorityOutcomes); do != nil {
		do()
		return true
	}
	if first := r.due.First(); first != nil && !r.stepAt.Before(first.Deadline) {
		r.expire(first.Value)
		return true
	}
	if !r.wakeAt.IsZero() && !r.stepAt.Before(r.wakeAt) {
		r.wakeAt = time.Time{}
		r.moment()
		r.trace.Woke()
		if r.rules.Woke(); r.wakeAt.IsZero() { // it took the clock to be early
			r.wake(r.start.Deployment.Tick)
		}
		return true
	}
	if len(r.asking) > 0 && r.stepAt.Sub(r.began) > r.start.Limits.Ready {
		for _, s := range r.asking {
			s.Fail(protocol.NotNow, "no list of hosts yet")
		}
		r.asking = nil
	}
	if do := r.queue.Take(eventloop.PriorityCommands); do != nil {
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
			r.Panics.Add(1)
			r.log.Error("the module panicked; all commands taken fail, and it starts anew",
				zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
			r.failAll()
			r.wakeAt = time.Time{}
			now := r.clock.Now()
			r.trace.Now(now)
			r.trace.Anew()
			r.rules = policy.New(r, r.start.Deployment, now)
			for _, h := range r.hosts {
				r.introduce(h)
				r.listHost(h)
			}
			r.listDone(false)
			more = true
		}
	}()
	return step()
}

// failAll gives up on all that is out, and answers what is owed.
func (r *Router) failAll() {
	for _, t := range r.due.All() {
		t.Value.over = true
		t.Value.call.Abandon()
	}
	for _, c := range r.cmds {
		if c.slot != nil {
			r.Failed.Add(1)
			c.slot.Fail(protocol.Failed, "the router has given up on the command")
		}
	}
	r.due.Clear()
	clear(r.cmds)
	clear(r.slots)
	clear(r.nodes)
}

// moment tells the module the time of the calls that follow.
func (r *Router) moment() policy.Tenth {
	now := r.clock.Now()
	r.rules.Clock(now)
	if r.trace != nil {
		r.trace.Now(now)
		r.trace.System(time.Now().UnixNano() / int64(clock.Tenth))
	}
	return now
}

// command brings a command to the module.
func (r *Router) command(s *transport.Slot, statement []byte, g *policy.CmdGroup, id, key string, set int64,
	until time.Time, written float64, again bool) {
	switch {
	case r.listed && !r.sets[set]: // the module would keep every number that clients make up
		r.refuse(s, "no host of replica set "+strconv.FormatInt(set, 10)+" has been listed")
		return
	case r.cmds[id] != nil: // each has its own; the first may have had its effect
		r.refuse(s, "the id of a command that is open")
		return
	}
	s.CommandAccepted()
	now := r.moment()
	since := policy.Tenth(0)
	if written > 0 { // a commit's time is rounded up, so this errs towards fresh
		since = max(1, now-setup.Up(written))
	}
	c := &command{slot: s, statement: statement, until: until}
	r.cmds[id], r.slots[s] = c, c
	r.Taken.Add(1)
	timeout := now + policy.Tenth(time.Until(until)/clock.Tenth)
	taken := r.shape.command(r.rules, g, set, key, timeout, since, again)
	r.trace.Take(id, r.groups[g], set, key, timeout, since, again)
	c.handle = r.rules.Take(id, g, set, key, timeout, since, again)
	r.trace.Taken(c.handle)
	taken(c.handle)
	r.settle(c.handle)
}

// ended brings the outcome of a command's dispatch to the module.
func (r *Router) ended(c *command, a transport.Answer) {
	c.out = nil
	r.Outcomes[a.Outcome].Add(1)
	if a.Outcome == policy.Answered && c.slot != nil {
		r.Answered.Add(1)
		c.slot.Answer(a.Frames)
		r.final(c)
	}
	r.report(c.handle.Node, a.LoadReport)
	pos, role := setup.Words(a.Position, a.Role, r.ahead())
	took := policy.Tenth(a.Elapsed / clock.Tenth)
	if h := r.nodes[c.handle.Node]; h != nil && r.start.Deployment.Told {
		now := r.clock.Now()
		h.answered(c.handle, a.Outcome, pos, role, now-took, now, took)
	}
	r.trace.Ended(c.handle, a.Outcome, pos, role, took, c.slot == nil)
	c.handle.Ended(a.Outcome, pos, role, took, c.slot == nil)
	r.settle(c.handle)
}

// report hands on what a load report says.
func (r *Router) report(n *policy.Node, load string) {
	t := r.start.Terms
	pos, role, ok := t.Report(func(i int) (float64, bool) { return protocol.Field(load, t.Fields[i]) })
	if n != nil && ok && pos >= 0 && float64(pos) <= 10*r.ahead() {
		r.trace.Reported(n, pos, role)
		n.Reported(pos, role)
	}
}

// ahead is the greatest position that can be true, in milliseconds: that of a commit now, rounded up.
// Guards against stale reads by positions of the future.
func (r *Router) ahead() float64 { return float64(r.clock.Now())/10 + 2 }

// final notes that a command is owed no answer any more.
func (r *Router) final(c *command) {
	delete(r.slots, c.slot)
	c.slot = nil
}

// settle forgets a command for which nothing more will come, in whichever call it got its answer.
func (r *Router) settle(handle *policy.Cmd) {
	if handle.Over() {
		r.trace.Settled(handle)
		delete(r.cmds, handle.Name)
	}
}

// Dispatch, Throttle, Fail, Probe, Close, Tell and Wake are what the module asks for.

func (r *Router) Dispatch(handle *policy.Cmd, n *policy.Node, timeout policy.Tenth) {
	c, now := r.cmds[handle.Name], time.Now()
	until, by := c.until, now.Add(r.start.Limits.Connect)
	if at := now.Add(clock.Span(timeout)); timeout > 0 && at.Before(until) {
		until = at
	}
	if handle.SendBy > 0 {
		if at := now.Add(clock.Span(handle.SendBy - r.clock.Now())); at.Before(by) {
			by = at
		}
	}
	r.Dispatched.Add(1)
	r.trace.Dispatch(handle, n, timeout)
	if r.start.Deployment.Told {
		r.nodes[n].sent(handle)
	}
	c.out = r.send(r.nodes[n], c.statement, until, by, true, func(a transport.Answer) { r.ended(c, a) })
}

func (r *Router) Throttle(handle *policy.Cmd, comeback policy.Tenth) {
	r.trace.Throttle(handle, comeback)
	r.shape.throttled(comeback)
	if c := r.cmds[handle.Name]; c.slot != nil {
		r.Throttled.Add(1)
		c.slot.Throttle(comeback / 10)
		r.final(c)
		r.settle(handle)
	}
}

func (r *Router) Fail(handle *policy.Cmd) {
	r.trace.Fail(handle)
	if c := r.cmds[handle.Name]; c.slot != nil {
		r.Failed.Add(1)
		c.slot.Fail(protocol.Failed, "no answer from a host")
		r.final(c)
		r.settle(handle)
	}
}

func (r *Router) Probe(n *policy.Node) {
	statement := "SELECT 1"
	if r.start.Deployment.Reports {
		statement = "SHOW server_load"
	}
	until := time.Now().Add(r.start.Limits.Connect)
	r.Probes.Add(1)
	r.trace.Probe(n)
	r.send(r.nodes[n], []byte(statement), until, until, false, func(a transport.Answer) {
		if a.Outcome == policy.Answered {
			r.report(n, a.Value)
		}
		r.trace.Probed(n, a.Outcome == policy.Answered)
		n.Probed(a.Outcome == policy.Answered)
	})
}

func (r *Router) Close(n *policy.Node) {
	r.trace.Close(n)
	r.nodes[n].conns.CloseIdle()
}

func (r *Router) Forget(n *policy.Node) {
	r.Forgotten.Add(1)
	r.trace.Forget(n)
	r.nodes[n].conns.Remove()
	delete(r.nodes, n)
	delete(r.hosts, n.Name)
}

func (r *Router) Watch() {
	r.Asks.Add(1)
	r.trace.Watch()
	r.watch()
}

func (r *Router) Tell(body string) {
	r.trace.Tell(body)
	r.tell(body)
}

func (r *Router) Wake(after policy.Tenth) {
	r.trace.Wake(after)
	r.wake(after)
}

func (r *Router) wake(after policy.Tenth) {
	if at := time.Now().Add(clock.Span(after)); r.wakeAt.IsZero() || at.Before(r.wakeAt) {
		r.wakeAt = at
	}
}
