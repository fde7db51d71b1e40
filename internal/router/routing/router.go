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

// stallIntervals is the number of step intervals without a step that count as a stall.
const stallIntervals = 2

// noVersion is the value of Router.version before the first list; versions are not negative.
const noVersion = -1

// Router runs the routing policy and connects it to clients, hosts, discovery and the other routers. Its methods may be called
// from any goroutine while Run runs, except those that implement policy.Caller (policy_caller.go): the policy calls them from
// the goroutine of Run.
type Router struct {
	start       *setup.Start
	log         *zap.Logger
	queue       *eventloop.Queue
	clock       *clock.Clock
	pool        *transport.HostPool
	broadcast   func(body string) // sends a message to the other routers
	requestList func()            // nil if the host list arrives without a request
	trace       *record.Recorder  // nil if no trace is captured
	preview     *preview          // nil if no settings are previewed

	// Used only by the goroutine of Run.
	policy       *policy.Router
	hosts        map[string]*host             // by name
	nodes        map[*policy.Host]*host       // by the policy's handle
	replicaSets  map[int64]bool               // replica sets that have appeared in the host list
	groups       map[*policy.CommandGroup]int // index in the deployment, for traces
	commands     map[string]*command          // open commands by the id that the client chose
	slots        map[*transport.Slot]*command // commands that are not answered
	timeouts     eventloop.Timers[*request]   // deadlines of the requests in flight
	wakeAt       time.Time                    // time of the policy's next WakeUp; zero for none
	lastStep     time.Time
	startedAt    time.Time
	hasList      bool
	awaitingList []*transport.Slot // empty queries that wait for the first list

	version atomic.Int64 // of the current list

	Counters
}

var errStopped = errors.New("the router has stopped")

// New returns a router that begins with the host list of the previous run, if start has one. broadcast sends a message to the
// other routers. recorder may be nil. New fails if that list is invalid.
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

// SetListRequester sets the function that requests the host list from discovery. It must be called before Run.
func (r *Router) SetListRequester(requestList func()) { r.requestList = requestList }

// Version returns the version of the current host list, or 0 before the first.
func (r *Router) Version() int64 { return max(0, r.version.Load()) }

// Run runs the event loop until ctx ends, and then returns nil. All calls to the policy come from its goroutine.
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
		for r.runRecovering(r.step) {
		}
		timer.Reset(max(0, time.Until(r.nextWakeUp())))
	}
}

// detectStall waits for StallRecoveryDelay after the process was stalled, so that the goroutines of the sockets read the lists
// and answers that arrived meanwhile before anything is sent or times out.
func (r *Router) detectStall() {
	if time.Since(r.lastStep) > stallIntervals*r.start.Limits.StepInterval {
		r.Stalls.Add(1)
		r.trace.Stall(policy.TenthMs(time.Since(r.lastStep) / clock.Resolution))
		time.Sleep(r.start.Limits.StallRecoveryDelay)
	}
	r.lastStep = time.Now()
}

// nextWakeUp returns the time of the next timeout or wake-up, but at most one step interval after the last step, which stall
// detection needs.
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

// step handles one due event, in order of priority: host lists, outcomes, timeouts, the policy's wake-up, commands. It returns
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

// runQueued runs the first queued function of a priority. It returns false if there is none.
func (r *Router) runQueued(priority eventloop.Priority) bool {
	run := r.queue.Take(priority)
	if run == nil {
		return false
	}
	run()
	return true
}

// wakePolicy performs the wake-up that the policy has scheduled.
func (r *Router) wakePolicy() {
	r.wakeAt = time.Time{}
	r.advanceClock()
	r.trace.WakeUp()
	if r.policy.WakeUp(); r.wakeAt.IsZero() { // too early by the policy's clock, which may lag behind the monotonic clock
		r.scheduleWakeUp(r.start.Deployment.Tick)
	}
}

// scheduleWakeUp schedules a wake-up of the policy, unless an earlier one is scheduled.
func (r *Router) scheduleWakeUp(after policy.TenthMs) {
	if at := time.Now().Add(clock.ToDuration(after)); r.wakeAt.IsZero() || at.Before(r.wakeAt) {
		r.wakeAt = at
	}
}

// advanceClock sets the policy's time to now, for the calls that follow.
func (r *Router) advanceClock() policy.TenthMs {
	now := r.clock.Now()
	r.policy.SetTime(now)
	if r.trace != nil {
		r.trace.SetTime(now)
		r.trace.SystemClock(time.Now().UnixNano() / int64(clock.Resolution))
	}
	return now
}

// runRecovering runs a step and recovers from a panic of the policy: all open commands fail, since any may have been executed,
// and a new policy starts with the current host list, as after a restart of the process.
func (r *Router) runRecovering(step func() bool) (more bool) {
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

// restartPolicy fails all commands and creates a new policy with the current hosts.
func (r *Router) restartPolicy() {
	r.failPending()
	r.wakeAt = time.Time{}
	now := r.clock.Now()
	r.trace.SetTime(now)
	r.trace.ReplaceModule()
	r.policy = policy.New(r, r.start.Deployment, now)
	for _, h := range r.hosts {
		r.registerHost(h)
		r.updateListing(h)
	}
	r.endList(false)
}

// FailPending fails all unanswered commands and returns when that is done. It is called during shutdown.
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

// HandlePeerMessage passes a message that another router has broadcast to the policy.
func (r *Router) HandlePeerMessage(body string) {
	r.queue.Put(eventloop.PriorityCommands, func() {
		r.advanceClock()
		r.trace.ReceivePeerUpdate(body)
		r.policy.ReceivePeerUpdate(body)
	})
}

// RecordReload records in the trace, if one is captured, that the configuration was reloaded and whether it was valid.
func (r *Router) RecordReload(ok bool) {
	if r.trace != nil {
		r.queue.Put(eventloop.PriorityControl, func() {
			r.advanceClock()
			r.trace.Reload(ok)
		})
	}
}
