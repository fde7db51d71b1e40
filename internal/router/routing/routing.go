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
	start       *setup.Start
	log         *zap.Logger
	queue       *eventloop.Queue
	clock       *clock.Clock
	pool        *transport.Hosts
	broadcast   func(body string)
	requestList func()           // asks for the list, where it comes only on request
	trace       *record.Recorder // nil while nothing is captured
	preview     *preview         // nil where no settings are watched

	policy       *policy.Router
	hosts        map[string]*host
	nodes        map[*policy.Node]*host
	sets         map[int64]bool // that the list has named
	groups       map[*policy.CmdGroup]int
	commands     map[string]*command
	slots        map[*transport.Slot]*command // of commands that are owed an answer
	timeouts     eventloop.Timers[*request]
	wakeAt       time.Time
	lastStep     time.Time // when the owner last went on
	hasList      bool
	startedAt    time.Time
	awaitingList []*transport.Slot // empty queries that wait for a first list
	version      atomic.Int64

	Counters
}

// command is one that was taken.
type command struct {
	handle    *policy.Cmd
	slot      *transport.Slot // nil when no answer is owed
	statement []byte
	deadline  time.Time // when its last answer is due
	inFlight  *request
}

var errStopped = errors.New("the router has stopped")

// New makes a router that knows the list of the last run, if there was one. trace may be nil.
func New(s *setup.Start, pool *transport.Hosts, tell func(string), trace *record.Recorder, log *zap.Logger) (*Router, error) {
	r := &Router{start: s, log: log, queue: eventloop.NewQueue(s.Limits.Backlog), clock: clock.New(time.Now), pool: pool,
		broadcast: tell, trace: trace, hosts: map[string]*host{}, nodes: map[*policy.Node]*host{}, sets: map[int64]bool{}, groups: map[*policy.CmdGroup]int{}, commands: map[string]*command{},
		slots: map[*transport.Slot]*command{}, startedAt: time.Now()}
	r.version.Store(-1)
	for i, g := range s.Deployment.Groups {
		r.groups[g] = i
	}
	now := r.clock.Now()
	trace.Now(now)
	r.policy, r.preview = policy.New(r, s.Deployment, now), newPreview(s, now)
	if !s.Known.Has("targets") {
		return r, nil
	}
	return r, r.applyList(s.Known, false)
}

// SetListRequester says what asks for the list, before Run.
func (r *Router) SetListRequester(ask func()) { r.requestList = ask }

// Version is the version of the list that is held.
func (r *Router) Version() int64 { return max(0, r.version.Load()) }

// Command, Empty, Left, List, Unlisted and Heard are called from other goroutines.

func (r *Router) HandleCommand(s *transport.Slot, statement []byte, at time.Time) {
	id, group, key, set, wait, after, again, writes, err := protocol.Comment(statement)
	g := r.start.Terms.Groups[group]
	switch {
	case err != nil:
		r.reject(s, err.Error())
		return
	case g == nil:
		r.reject(s, "no command group of the name "+strconv.Quote(group[:min(len(group), 64)]))
		return
	case writes != (g.Need == policy.Write):
		r.reject(s, "a statement that its command group does not have")
		return
	}
	longest := clock.Span(g.Timeout) // nobody waits for longer, whatever is said
	until := at.Add(min(time.Duration(min(wait, 1e9)*float64(time.Millisecond)), longest) - r.start.Limits.Early)
	if !r.queue.Put(eventloop.PriorityCommands, func() { r.takeCommand(s, statement, g, id, key, set, until, after, again) }) {
		s.Fail(protocol.Failed, errStopped.Error())
	}
}

// reject answers what is no command; it costs less than serving one.
func (r *Router) reject(s *transport.Slot, why string) {
	r.Rejected.Add(1)
	s.Reject(protocol.Unknown, why)
}

func (r *Router) HandleEmptyQuery(s *transport.Slot) {
	r.queue.Put(eventloop.PriorityCommands, func() {
		if r.hasList {
			s.AnswerEmptyQuery()
		} else {
			r.awaitingList = append(r.awaitingList, s)
		}
	})
}

func (r *Router) ClientDisconnected(s *transport.Slot) {
	r.queue.Put(eventloop.PriorityOutcomes, func() {
		if c := r.slots[s]; c != nil {
			r.Disconnected.Add(1)
			r.forgetSlot(c)
			r.trace.Left(c.handle)
			c.handle.Left()
			r.forgetIfOver(c.handle)
		}
	})
}

// HandleListLine takes one line of discovery's, and returns when the module knows it. anew: of an address
// that speaks for the first time.
func (r *Router) HandleListLine(line []byte, anew bool) error {
	told := make(chan error, 1)
	if !r.queue.Put(eventloop.PriorityLists, func() {
		o, err := setup.Decode("", line)
		if err == nil {
			err = r.applyList(o, anew)
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

// ListRequestFailed tells that a list that was asked for did not come, or comes no more. What is held serves on.
func (r *Router) ListRequestFailed() {
	r.queue.Put(eventloop.PriorityLists, func() {
		r.ListRequestsFailed.Add(1)
		r.advanceClock()
		r.trace.Unlisted()
		r.policy.Unlisted()
	})
}

func (r *Router) HandlePeerMessage(body string) {
	r.queue.Put(eventloop.PriorityCommands, func() {
		r.advanceClock()
		r.trace.Heard(body)
		r.policy.Heard(body)
	})
}

// Reloaded notes, for whoever captures, that the configuration was read again, and whether it was good.
func (r *Router) Reloaded(ok bool) {
	if r.trace != nil {
		r.queue.Put(eventloop.PriorityLists, func() {
			r.advanceClock()
			r.trace.Reload(ok)
		})
	}
}

// FailPending fails what is owed, when time is up.
func (r *Router) FailPending() {
	done := make(chan struct{})
	if r.queue.Put(eventloop.PriorityOutcomes, func() { r.failPending(); close(done) }) {
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
	r.lastStep = time.Now()
	for {
		select {
		case <-ctx.Done():
			r.trace.Flush()
			return nil
		case <-r.queue.Ready:
		case <-timer.C:
		}
		r.detectStall()
		for r.recovering(r.step) {
		}
		timer.Reset(max(0, time.Until(r.nextWakeUp())))
	}
}

// detectStall lets the sockets be read first when this router has stood still, so that lists and
// answers that came in that time are heard before anything is sent or given up.
func (r *Router) detectStall() {
	if time.Since(r.lastStep) > 2*r.start.Limits.Pulse {
		r.Stalls.Add(1)
		r.trace.Stall(policy.Tenth(time.Since(r.lastStep) / clock.Tenth))
		time.Sleep(r.start.Limits.Settle)
	}
	r.lastStep = time.Now()
}

// nextWakeUp is when something is due, and a pulse from now at the latest, which tells of a stall.
func (r *Router) nextWakeUp() time.Time {
	next := r.lastStep.Add(r.start.Limits.Pulse)
	if !r.wakeAt.IsZero() && r.wakeAt.Before(next) {
		next = r.wakeAt
	}
	if first := r.timeouts.First(); first != nil && first.Deadline.Before(next) {
		next = first.Deadline
	}
	return next
}

// step does what comes first of all that is due now, and says whether there was anything.
func (r *Router) step() bool {
	r.lastStep = time.Now()
	if do := r.queue.Take(eventloop.PriorityLists); do != nil {
		do()
		return true
	}
	if do := r.queue.Take(eventloop.PriorityOutcomes); do != nil {
		do()
		return true
	}
	if first := r.timeouts.First(); first != nil && !r.lastStep.Before(first.Deadline) {
		r.timeOut(first.Value)
		return true
	}
	if !r.wakeAt.IsZero() && !r.lastStep.Before(r.wakeAt) {
		r.wakeAt = time.Time{}
		r.advanceClock()
		r.trace.Woke()
		if r.policy.Woke(); r.wakeAt.IsZero() { // it took the clock to be early
			r.scheduleWakeUp(r.start.Deployment.Tick)
		}
		return true
	}
	if len(r.awaitingList) > 0 && r.lastStep.Sub(r.startedAt) > r.start.Limits.Ready {
		for _, s := range r.awaitingList {
			s.Fail(protocol.NotNow, "no list of hosts yet")
		}
		r.awaitingList = nil
	}
	if do := r.queue.Take(eventloop.PriorityCommands); do != nil {
		do()
		return true
	}
	return false
}

// recovering answers a panic of the module: it is logged, all commands taken fail, since any may
// have run, and a new module starts with the list, as after a restart.
func (r *Router) recovering(step func() bool) (more bool) {
	defer func() {
		if p := recover(); p != nil {
			r.Panics.Add(1)
			r.log.Error("the module panicked; all commands taken fail, and it starts anew",
				zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
			r.failPending()
			r.wakeAt = time.Time{}
			now := r.clock.Now()
			r.trace.Now(now)
			r.trace.Anew()
			r.policy = policy.New(r, r.start.Deployment, now)
			for _, h := range r.hosts {
				r.introduce(h)
				r.listHost(h)
			}
			r.finishList(false)
			more = true
		}
	}()
	return step()
}

// failPending gives up on all that is out, and answers what is owed.
func (r *Router) failPending() {
	for _, t := range r.timeouts.All() {
		t.Value.ended = true
		t.Value.call.Abandon()
	}
	for _, c := range r.commands {
		if c.slot != nil {
			r.Failed.Add(1)
			c.slot.Fail(protocol.Failed, "the router has given up on the command")
		}
	}
	r.timeouts.Clear()
	clear(r.commands)
	clear(r.slots)
	clear(r.nodes)
}

// advanceClock tells the module the time of the calls that follow.
func (r *Router) advanceClock() policy.Tenth {
	now := r.clock.Now()
	r.policy.Clock(now)
	if r.trace != nil {
		r.trace.Now(now)
		r.trace.System(time.Now().UnixNano() / int64(clock.Tenth))
	}
	return now
}

// takeCommand brings a command to the module.
func (r *Router) takeCommand(s *transport.Slot, statement []byte, g *policy.CmdGroup, id, key string, set int64,
	until time.Time, written float64, again bool) {
	switch {
	case r.hasList && !r.sets[set]: // the module would keep every number that clients make up
		r.reject(s, "no host of replica set "+strconv.FormatInt(set, 10)+" has been listed")
		return
	case r.commands[id] != nil: // each has its own; the first may have had its effect
		r.reject(s, "the id of a command that is open")
		return
	}
	s.CommandAccepted()
	now := r.advanceClock()
	since := policy.Tenth(0)
	if written > 0 { // a commit's time is rounded up, so this errs towards fresh
		since = max(1, now-setup.Up(written))
	}
	c := &command{slot: s, statement: statement, deadline: until}
	r.commands[id], r.slots[s] = c, c
	r.Taken.Add(1)
	timeout := now + policy.Tenth(time.Until(until)/clock.Tenth)
	taken := r.preview.command(r.policy, g, set, key, timeout, since, again)
	r.trace.Take(id, r.groups[g], set, key, timeout, since, again)
	c.handle = r.policy.Take(id, g, set, key, timeout, since, again)
	r.trace.Taken(c.handle)
	taken(c.handle)
	r.forgetIfOver(c.handle)
}

// commandEnded brings the outcome of a command's dispatch to the module.
func (r *Router) commandEnded(c *command, a transport.Answer) {
	c.inFlight = nil
	r.Outcomes[a.Outcome].Add(1)
	if a.Outcome == policy.Answered && c.slot != nil {
		r.Answered.Add(1)
		c.slot.Answer(a.Frames)
		r.forgetSlot(c)
	}
	r.applyLoadReport(c.handle.Node, a.LoadReport)
	pos, role := setup.Words(a.Position, a.Role, r.maxPositionMs())
	took := policy.Tenth(a.Elapsed / clock.Tenth)
	if h := r.nodes[c.handle.Node]; h != nil && r.start.Deployment.Told {
		now := r.clock.Now()
		h.noteAnswer(c.handle, a.Outcome, pos, role, now-took, now, took)
	}
	r.trace.Ended(c.handle, a.Outcome, pos, role, took, c.slot == nil)
	c.handle.Ended(a.Outcome, pos, role, took, c.slot == nil)
	r.forgetIfOver(c.handle)
}

// applyLoadReport hands on what a load report says.
func (r *Router) applyLoadReport(n *policy.Node, load string) {
	t := r.start.Terms
	pos, role, ok := t.Report(func(i int) (float64, bool) { return protocol.Field(load, t.Fields[i]) })
	if n != nil && ok && pos >= 0 && float64(pos) <= 10*r.maxPositionMs() {
		r.trace.Reported(n, pos, role)
		n.Reported(pos, role)
	}
}

// maxPositionMs is the greatest position that can be true, in milliseconds: that of a commit now, rounded up.
// Guards against stale reads by positions of the future.
func (r *Router) maxPositionMs() float64 { return float64(r.clock.Now())/10 + 2 }

// forgetSlot notes that a command is owed no answer any more.
func (r *Router) forgetSlot(c *command) {
	delete(r.slots, c.slot)
	c.slot = nil
}

// forgetIfOver forgets a command for which nothing more will come, in whichever call it got its answer.
func (r *Router) forgetIfOver(handle *policy.Cmd) {
	if handle.Over() {
		r.trace.Settled(handle)
		delete(r.commands, handle.Name)
	}
}

// Dispatch, Throttle, Fail, Probe, Close, Tell and Wake are what the module asks for.

func (r *Router) Dispatch(handle *policy.Cmd, n *policy.Node, timeout policy.Tenth) {
	c, now := r.commands[handle.Name], time.Now()
	until, by := c.deadline, now.Add(r.start.Limits.Connect)
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
		r.nodes[n].noteDispatch(handle)
	}
	c.inFlight = r.send(r.nodes[n], c.statement, until, by, true, func(a transport.Answer) { r.commandEnded(c, a) })
}

func (r *Router) Throttle(handle *policy.Cmd, comeback policy.Tenth) {
	r.trace.Throttle(handle, comeback)
	r.preview.throttled(comeback)
	if c := r.commands[handle.Name]; c.slot != nil {
		r.Throttled.Add(1)
		c.slot.Throttle(comeback / 10)
		r.forgetSlot(c)
		r.forgetIfOver(handle)
	}
}

func (r *Router) Fail(handle *policy.Cmd) {
	r.trace.Fail(handle)
	if c := r.commands[handle.Name]; c.slot != nil {
		r.Failed.Add(1)
		c.slot.Fail(protocol.Failed, "no answer from a host")
		r.forgetSlot(c)
		r.forgetIfOver(handle)
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
			r.applyLoadReport(n, a.Value)
		}
		r.trace.Probed(n, a.Outcome == policy.Answered)
		n.Probed(a.Outcome == policy.Answered)
	})
}

func (r *Router) Close(n *policy.Node) {
	r.trace.Close(n)
	r.nodes[n].connections.CloseIdle()
}

func (r *Router) Forget(n *policy.Node) {
	r.HostsForgotten.Add(1)
	r.trace.Forget(n)
	r.nodes[n].connections.Remove()
	delete(r.nodes, n)
	delete(r.hosts, n.Name)
}

func (r *Router) Watch() {
	r.ListRequests.Add(1)
	r.trace.Watch()
	r.requestList()
}

func (r *Router) Tell(body string) {
	r.trace.Tell(body)
	r.broadcast(body)
}

func (r *Router) Wake(after policy.Tenth) {
	r.trace.Wake(after)
	r.scheduleWakeUp(after)
}

func (r *Router) scheduleWakeUp(after policy.Tenth) {
	if at := time.Now().Add(clock.Span(after)); r.wakeAt.IsZero() || at.Before(r.wakeAt) {
		r.wakeAt = at
	}
}
