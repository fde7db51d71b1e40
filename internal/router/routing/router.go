package routing

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
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

// stallPulses is the number of pulses without a step that count as a stall.
const stallPulses = 2

// noVersion stands for no list in Router.version; versions are not negative.
const noVersion = -1

// Router owns the decision module. Its methods may be called from any goroutine while Run runs, except those that
// implement policy.Caller (policy_caller.go): the module calls them from Run's goroutine.
type Router struct {
	start       *setup.Start
	log         *zap.Logger
	queue       *eventloop.Queue
	clock       *clock.Clock
	pool        *transport.HostPool
	broadcast   func(body string) // to the other routers
	requestList func()            // nil where the list comes without being requested
	trace       *record.Recorder  // nil while nothing is captured
	preview     *preview          // nil where no settings are previewed

	// Of Run's goroutine alone.
	policy       *policy.Router
	hosts        map[string]*host // by name
	nodes        map[*policy.Host]*host
	replicaSets  map[int64]bool // that the list has named
	groups       map[*policy.CommandGroup]int
	commands     map[string]*command // by the clients' ids
	slots        map[*transport.Slot]*command
	timeouts     eventloop.Timers[*request]
	wakeAt       time.Time // when the module wants to be woken; zero for never
	lastStep     time.Time
	startedAt    time.Time
	hasList      bool
	awaitingList []*transport.Slot // empty queries from before the first list

	version atomic.Int64 // of the current list

	Counters
}

var errStopped = errors.New("the router has stopped")

// New returns a router that knows the list of the last run, if start has one. broadcast sends to the other routers.
// recorder may be nil. It fails if that list cannot be read.
func New(start *setup.Start, pool *transport.HostPool, broadcast func(string), recorder *record.Recorder, log *zap.Logger) (*Router, error) {
	r := &Router{
		start: start, log: log, queue: eventloop.NewQueue(start.Limits.CommandQueueSize), clock: clock.New(time.Now), pool: pool,
		broadcast: broadcast, trace: recorder,
		hosts: map[string]*host{}, nodes: map[*policy.Host]*host{}, replicaSets: map[int64]bool{},
		groups:   map[*policy.CommandGroup]int{},
		commands: map[string]*command{}, slots: map[*transport.Slot]*command{},
		startedAt: time.Now(),
	}
	r.version.Store(noVersion)
	for i, group := range start.Deployment.Groups {
		r.groups[group] = i
	}
	now := r.clock.Now()
	recorder.SetTime(now)
	r.policy, r.preview = policy.New(r, start.Deployment, now), newPreview(start, now)
	if !start.InitialList.Has("targets") {
		return r, nil
	}
	return r, r.applyList(start.InitialList, false)
}

// SetListRequester sets what requests the list. It must be called before Run.
func (r *Router) SetListRequester(requestList func()) { r.requestList = requestList }

// Version returns the version of the current list, or 0 before the first.
func (r *Router) Version() int64 { return max(0, r.version.Load()) }

// Run owns the module until ctx ends, and then returns nil.
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

// detectStall lets the sockets be read first after the process stood still, so that lists and answers that came
// meanwhile are taken in before anything is sent or times out.
func (r *Router) detectStall() {
	if time.Since(r.lastStep) > stallPulses*r.start.Limits.StepInterval {
		r.Stalls.Add(1)
		r.trace.Stall(policy.TenthMs(time.Since(r.lastStep) / clock.Tenth))
		time.Sleep(r.start.Limits.StallRecoveryDelay)
	}
	r.lastStep = time.Now()
}

// nextWakeUp returns when something is due, and at the latest a pulse from now, by which stalls are noticed.
func (r *Router) nextWakeUp() time.Time {
	next := r.lastStep.Add(r.start.Limits.StepInterval)
	if !r.wakeAt.IsZero() && r.wakeAt.Before(next) {
		next = r.wakeAt
	}
	if first := r.timeouts.First(); first != nil && first.Deadline.Before(next) {
		next = first.Deadline
	}
	return next
}

// step does one thing that is due, by priority: lists, outcomes, time-outs, the module's wake-up, commands. It returns
// false if nothing was due.
func (r *Router) step() bool {
	r.lastStep = time.Now()
	if r.runQueued(eventloop.PriorityControl) || r.runQueued(eventloop.PriorityOutcomes) {
		return true
	}
	if first := r.timeouts.First(); first != nil && !r.lastStep.Before(first.Deadline) {
		r.timeOut(first.Value)
		return true
	}
	if !r.wakeAt.IsZero() && !r.lastStep.Before(r.wakeAt) {
		r.wakePolicy()
		return true
	}
	if len(r.awaitingList) > 0 && r.lastStep.Sub(r.startedAt) > r.start.Limits.FirstListTimeout {
		for _, slot := range r.awaitingList {
			slot.Fail(protocol.CannotConnectNow, "no list of hosts yet")
		}
		r.awaitingList = nil
	}
	return r.runQueued(eventloop.PriorityCommands)
}

// runQueued runs the first of the queue's functions of a priority; false if there is none.
func (r *Router) runQueued(priority eventloop.Priority) bool {
	run := r.queue.Take(priority)
	if run == nil {
		return false
	}
	run()
	return true
}

// wakePolicy wakes the module, as it has asked for.
func (r *Router) wakePolicy() {
	r.wakeAt = time.Time{}
	r.advanceClock()
	r.trace.WakeUp()
	if r.policy.WakeUp(); r.wakeAt.IsZero() { // by the module's clock, which may lag, it was too early
		r.scheduleWakeUp(r.start.Deployment.Tick)
	}
}

// scheduleWakeUp wakes the module after a time, unless that happens sooner.
func (r *Router) scheduleWakeUp(after policy.TenthMs) {
	if at := time.Now().Add(clock.Span(after)); r.wakeAt.IsZero() || at.Before(r.wakeAt) {
		r.wakeAt = at
	}
}

// advanceClock sets the module's time for the calls that follow.
func (r *Router) advanceClock() policy.TenthMs {
	now := r.clock.Now()
	r.policy.SetTime(now)
	if r.trace != nil {
		r.trace.SetTime(now)
		r.trace.SystemClock(time.Now().UnixNano() / int64(clock.Tenth))
	}
	return now
}

// recovering runs a step and recovers from a panic of the module: all commands fail, since any may have run, and a new
// module starts with the list, as after a restart.
func (r *Router) recovering(step func() bool) (more bool) {
	defer func() {
		if cause := recover(); cause != nil {
			r.Panics.Add(1)
			r.log.Error("the module panicked; all commands taken fail, and it starts anew",
				zap.String("panic", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
			r.restartPolicy()
			more = true
		}
	}()
	return step()
}

// restartPolicy fails all commands and starts a new module with the hosts of the list.
func (r *Router) restartPolicy() {
	r.failPending()
	r.wakeAt = time.Time{}
	now := r.clock.Now()
	r.trace.SetTime(now)
	r.trace.ReplaceModule()
	r.policy = policy.New(r, r.start.Deployment, now)
	for _, h := range r.hosts {
		r.introduce(h)
		r.announceHost(h)
	}
	r.finishList(false)
}

// FailPending fails all commands that are not answered yet, and returns once that is done. It is for the end of the
// program.
func (r *Router) FailPending() {
	done := make(chan struct{})
	if r.queue.Put(eventloop.PriorityOutcomes, func() { r.failPending(); close(done) }) {
		select {
		case <-done:
		case <-r.queue.Closed:
		}
	}
}

// failPending abandons all requests and fails all commands.
func (r *Router) failPending() {
	for _, timer := range r.timeouts.All() {
		timer.Value.ended = true
		timer.Value.call.Abandon()
	}
	for _, c := range r.commands {
		if c.slot != nil {
			r.Failed.Add(1)
			c.slot.Fail(protocol.SystemError, "the router has given up on the command")
		}
	}
	r.timeouts.Clear()
	clear(r.commands)
	clear(r.slots)
	clear(r.nodes)
}

// HandlePeerMessage takes a message that another router has broadcast.
func (r *Router) HandlePeerMessage(body string) {
	r.queue.Put(eventloop.PriorityCommands, func() {
		r.advanceClock()
		r.trace.ReceivePeerUpdate(body)
		r.policy.ReceivePeerUpdate(body)
	})
}

// Reloaded records, where a trace is captured, that the configuration was read again and whether it was valid.
func (r *Router) Reloaded(ok bool) {
	if r.trace != nil {
		r.queue.Put(eventloop.PriorityControl, func() {
			r.advanceClock()
			r.trace.Reload(ok)
		})
	}
}
