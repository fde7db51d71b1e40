// Package plan runs a planner: it accepts the links of forwarders, watches
// discovery and probes hosts.
//
// One goroutine owns the planner's core and executes the actions that it returns.
// The watch, the probes and each link have goroutines of their own, which pass
// what comes in to the owner as functions on a channel.
package plan

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/line"
	"ferrypitch/internal/router/tier/planner"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

const (
	// eventQueueLength is how many events may wait for the owner.
	eventQueueLength = 1024
	// minTickDelay keeps the owner from spinning when the next tick is overdue.
	minTickDelay = time.Millisecond
	// workPerCommand is the unit of cold work: thousandths of a command of the usual mix.
	workPerCommand = 1000
)

var errForwarderSilent = errors.New("the forwarder says nothing")

// Plan is the process of one planner.
type Plan struct {
	start       *setup.Start
	settings    *setup.Plan
	incarnation uint64
	log         *zap.Logger
	clock       *clock.Clock
	buffers     *transport.Room
	events      chan func()
	trace       *record.Planner // nil while nothing is captured

	// Owned by the goroutine of runOwner.
	core  *planner.Planner
	hosts map[string]*transport.Host
	conns map[*planner.Forwarder]*line.Conn

	pool         *transport.Hosts // set by Run
	listRevision atomic.Int64

	// Counters, which any goroutine may read.
	AcceptedLinks, RejectedLinks, BrokenLinks atomic.Int64
	Probes, AppliedLists, StaleLists          atomic.Int64
	FullViews, Changes, Bytes, Reports        atomic.Int64 // frames sent, the bytes of their bodies, frames received

	// Copies of the core's counters for LogFields.
	openLinks, leaseCount, duplicateLeases, timedOutLinks, failedProbes, coldWork, hostCount atomic.Int64
}

// New makes a planner. incarnation differs from that of any other process; trace
// may be nil.
func New(start *setup.Start, settings *setup.Plan, incarnation uint64, trace *record.Planner, log *zap.Logger) *Plan {
	planClock := clock.New(time.Now)
	config := planner.Terms{
		Gen:        settings.Generation,
		Beat:       tenths(settings.Beat),
		Probe:      tenths(settings.Probe),
		Search:     tenths(settings.Search),
		Probes:     settings.Probes,
		PerSecond:  settings.PerSecond,
		Forwarders: settings.Forwarders,
		Reports:    settings.Reports,
		Frames:     settings.Frames,
		Bytes:      settings.Bytes,
	}
	if !start.Deployment.Probes {
		config.Probes = 0
	}
	return &Plan{
		start: start, settings: settings, incarnation: incarnation, trace: trace, log: log,
		clock:   planClock,
		buffers: transport.NewRoom(&start.Limits),
		events:  make(chan func(), eventQueueLength),
		core:    planner.New(incarnation, config, planClock.Now()),
		hosts:   map[string]*transport.Host{},
		conns:   map[*planner.Forwarder]*line.Conn{},
	}
}

func tenths(duration time.Duration) policy.Tenth { return policy.Tenth(duration / clock.Tenth) }

// Run serves forwarders on the listener until the context ends, and returns once
// all its goroutines have ended.
func (p *Plan) Run(ctx context.Context, listener net.Listener) error {
	tasks, ctx := errgroup.WithContext(ctx)
	p.pool = transport.NewHosts(ctx, &p.start.Limits, p.buffers)
	applyList := func(text []byte, _ bool) error { return p.applyList(ctx, text) }
	watchEnded := func(err error) { p.log.Warn("the watch of the list ended", zap.Error(err)) }
	watch := transport.NewWatch(&p.start.Limits, p.buffers, p.start.Discovery, p.listRevision.Load, applyList, watchEnded)
	tasks.Go(func() error { return watch.Run(ctx) })
	tasks.Go(func() error { return p.acceptLinks(ctx, listener) })
	tasks.Go(func() error { p.runOwner(ctx); return nil })
	err := tasks.Wait()
	p.pool.Wait()
	return err
}

// enqueue passes an event to the owner, unless the context ends first.
func (p *Plan) enqueue(ctx context.Context, event func()) {
	select {
	case p.events <- event:
	case <-ctx.Done():
	}
}

// runOwner is the loop of the goroutine that owns the core.
func (p *Plan) runOwner(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.trace.Flush()
			return
		case event := <-p.events:
			p.traceTime()
			event()
			for range len(p.events) { // all that wait already cost one tick
				(<-p.events)()
			}
		case <-timer.C:
		}
		p.traceTime()
		next := p.tick(ctx)
		timer.Reset(max(minTickDelay, clock.Span(next-p.clock.Now())))
	}
}

// traceTime records the time of the events that follow.
func (p *Plan) traceTime() {
	if p.trace != nil {
		p.trace.Now(p.clock.Now(), time.Now().UnixNano()/int64(clock.Tenth))
	}
}

// tick executes what is due and returns the time of the next tick.
func (p *Plan) tick(ctx context.Context) policy.Tenth {
	actions := p.core.Tick(p.clock.Now())
	for _, name := range actions.Probe {
		p.probe(ctx, name)
	}
	for _, forwarder := range actions.Cut {
		if conn := p.conns[forwarder]; conn != nil {
			delete(p.conns, forwarder)
			conn.CloseWithError(errForwarderSilent)
		}
	}
	if actions.Change != nil {
		p.broadcast(actions.Change, actions.Whole)
	}
	p.copyCounters()
	return actions.Next
}

func (p *Plan) copyCounters() {
	p.openLinks.Store(int64(len(p.conns)))
	p.leaseCount.Store(int64(p.core.Routers()))
	p.duplicateLeases.Store(p.core.DuplicateLeases)
	p.timedOutLinks.Store(p.core.TimedOutLinks)
	p.failedProbes.Store(p.core.FailedProbes)
	p.coldWork.Store(p.core.ColdWork)
}

// Fields returns the counters for a log line.
func (p *Plan) Fields() []zap.Field {
	return []zap.Field{
		zap.Int64("forwarders_open", p.openLinks.Load()),
		zap.Int64("forwarders_counted", p.leaseCount.Load()),
		zap.Int64("names_twice", p.duplicateLeases.Load()),
		zap.Int64("links_overdue", p.timedOutLinks.Load()),
		zap.Int64("links_accepted", p.AcceptedLinks.Load()),
		zap.Int64("links_refused", p.RejectedLinks.Load()),
		zap.Int64("links_broken", p.BrokenLinks.Load()),
		zap.Int64("hosts", p.hostCount.Load()),
		zap.Int64("lists", p.AppliedLists.Load()),
		zap.Int64("stale_lists", p.StaleLists.Load()),
		zap.Int64("probes", p.Probes.Load()),
		zap.Int64("probes_unanswered", p.failedProbes.Load()),
		zap.Int64("changes", p.Changes.Load()),
		zap.Int64("whole_views", p.FullViews.Load()),
		zap.Int64("bytes", p.Bytes.Load()),
		zap.Int64("reports", p.Reports.Load()),
		zap.Float64("cold_work", float64(p.coldWork.Load())/workPerCommand),
	}
}
