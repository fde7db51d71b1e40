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

// Server is the process of one planner.
type Server struct {
	start       *setup.Start
	settings    *setup.PlannerSection
	incarnation uint64
	log         *zap.Logger
	clock       *clock.Clock
	buffers     *transport.BufferBudget
	events      chan func()
	trace       *record.Planner // nil while nothing is captured

	// Owned by the goroutine of runOwner.
	core  *planner.Planner
	hosts map[string]*transport.Host
	conns map[*planner.Forwarder]*line.Conn

	pool         *transport.HostPool // set by Run
	listRevision atomic.Int64

	// Counters, which any goroutine may read.
	AcceptedLinks, RejectedLinks, BrokenLinks atomic.Int64
	Probes, AppliedLists, StaleLists          atomic.Int64
	FullViews, Changes, SentBytes, Reports    atomic.Int64 // frames sent, the bytes of their bodies, frames received

	// Copies of the core's counters for LogFields.
	openLinks, leaseCount, duplicateLeases, timedOutLinks, failedProbes, coldWork, hostCount atomic.Int64
}

// New makes a planner. incarnation differs from that of any other process; trace
// may be nil.
func New(start *setup.Start, settings *setup.PlannerSection, incarnation uint64, trace *record.Planner, log *zap.Logger) *Server {
	planClock := clock.New(time.Now)
	config := planner.Config{
		Generation:             settings.Generation,
		ChangeInterval:         tenths(settings.ChangeInterval),
		ProbeInterval:          tenths(settings.ProbeInterval),
		PrimaryProbeInterval:   tenths(settings.PrimaryProbeInterval),
		MaxProbesInFlight:      settings.MaxProbesInFlight,
		ProbesPerSecond:        settings.ProbesPerSecond,
		MaxForwarders:          settings.MaxForwarders,
		ReportsPerSecond:       settings.ReportsPerSecond,
		FramesPerSecond:        settings.FramesPerSecond,
		PositionBytesPerSecond: settings.PositionBytesPerSecond,
	}
	if !start.Deployment.ProbesEnabled {
		config.MaxProbesInFlight = 0
	}
	return &Server{
		start: start, settings: settings, incarnation: incarnation, trace: trace, log: log,
		clock:   planClock,
		buffers: transport.NewBufferBudget(&start.Limits),
		events:  make(chan func(), eventQueueLength),
		core:    planner.New(incarnation, config, planClock.Now()),
		hosts:   map[string]*transport.Host{},
		conns:   map[*planner.Forwarder]*line.Conn{},
	}
}

func tenths(duration time.Duration) policy.TenthMs {
	return policy.TenthMs(duration / clock.Resolution)
}

// Run serves forwarders on the listener until the context ends, and returns once
// all its goroutines have ended.
func (p *Server) Run(ctx context.Context, listener net.Listener) error {
	tasks, ctx := errgroup.WithContext(ctx)
	p.pool = transport.NewHostPool(ctx, &p.start.Limits, p.buffers)
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
func (p *Server) enqueue(ctx context.Context, event func()) {
	select {
	case p.events <- event:
	case <-ctx.Done():
	}
}

// runOwner is the loop of the goroutine that owns the core.
func (p *Server) runOwner(ctx context.Context) {
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
		timer.Reset(max(minTickDelay, clock.ToDuration(next-p.clock.Now())))
	}
}

// traceTime records the time of the events that follow.
func (p *Server) traceTime() {
	if p.trace != nil {
		p.trace.SetTime(p.clock.Now(), time.Now().UnixNano()/int64(clock.Resolution))
	}
}

// tick executes what is due and returns the time of the next tick.
func (p *Server) tick(ctx context.Context) policy.TenthMs {
	actions := p.core.Tick(p.clock.Now())
	for _, name := range actions.Probes {
		p.probe(ctx, name)
	}
	for _, forwarder := range actions.Disconnect {
		if conn := p.conns[forwarder]; conn != nil {
			delete(p.conns, forwarder)
			conn.CloseWithError(errForwarderSilent)
		}
	}
	if actions.Change != nil {
		p.broadcast(actions.Change, actions.FullView)
	}
	p.copyCounters()
	return actions.NextTick
}

func (p *Server) copyCounters() {
	p.openLinks.Store(int64(len(p.conns)))
	p.leaseCount.Store(int64(p.core.LeaseCount()))
	p.duplicateLeases.Store(p.core.DuplicateLeases)
	p.timedOutLinks.Store(p.core.TimedOutLinks)
	p.failedProbes.Store(p.core.FailedProbes)
	p.coldWork.Store(p.core.ColdWork)
}

// LogFields returns the counters for a log line.
func (p *Server) LogFields() []zap.Field {
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
		zap.Int64("bytes", p.SentBytes.Load()),
		zap.Int64("reports", p.Reports.Load()),
		zap.Float64("cold_work", float64(p.coldWork.Load())/workPerCommand),
	}
}
