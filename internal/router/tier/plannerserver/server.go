// Package plannerserver implements the server of a planner: it accepts the links of
// forwarders, watches discovery and probes hosts.
//
// One goroutine, runOwner, owns the state machine of package planner and executes
// the actions that it returns. The watch, the probes and the links run in other
// goroutines, which send events to the owner as functions on a channel.
package plannerserver

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
	"ferrypitch/internal/router/tier/linkconn"
	"ferrypitch/internal/router/tier/planner"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

const (
	// eventQueueLength is the capacity of the owner's event queue.
	eventQueueLength = 1024
	// minTickDelay is the minimum delay between ticks, so that the owner does not spin when a tick is overdue.
	minTickDelay = time.Millisecond
	// workPerCommand converts cold work, in thousandths of a command of average cost, to commands.
	workPerCommand = 1000
)

var errForwarderSilent = errors.New("timeout: no frame from the forwarder")

// Server is the server of a planner.
type Server struct {
	start       *setup.Start
	settings    *setup.PlannerSection
	incarnation uint64
	log         *zap.Logger
	clock       *clock.Clock
	buffers     *transport.BufferBudget
	events      chan func()
	trace       *record.Planner // nil if no trace is recorded

	// Accessed only by the goroutine of runOwner.
	core  *planner.Planner
	hosts map[string]*transport.Host
	conns map[*planner.Forwarder]*linkconn.Conn

	pool         *transport.HostPool // set by Run
	listRevision atomic.Int64

	// Counters. Any goroutine may read them.
	AcceptedLinks, RejectedLinks, BrokenLinks atomic.Int64
	Probes, AppliedLists, StaleLists          atomic.Int64
	FullViews, Changes, SentBytes, Reports    atomic.Int64 // frames sent by kind, bytes of their bodies, and reports received

	// Copies of the owner's counters for LogFields.
	openLinks, leaseCount, duplicateLeases, timedOutLinks, failedProbes, coldWork, hostCount atomic.Int64
}

// New returns a planner's server. incarnation must be unique among all planner
// processes. trace may be nil.
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
		conns:   map[*planner.Forwarder]*linkconn.Conn{},
	}
}

// tenths converts a duration to tenths of a millisecond.
func tenths(duration time.Duration) policy.TenthMs {
	return policy.TenthMs(duration / clock.Resolution)
}

// Run serves forwarders on the listener until the context is canceled or a task
// fails, and returns once all its goroutines have ended.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	tasks, ctx := errgroup.WithContext(ctx)
	s.pool = transport.NewHostPool(ctx, &s.start.Limits, s.buffers)
	applyList := func(text []byte, _ bool) error { return s.applyList(ctx, text) }
	onWatchError := func(err error) { s.log.Warn("the watch of the list ended", zap.Error(err)) }
	watch := transport.NewWatch(&s.start.Limits, s.buffers, s.start.Discovery, s.listRevision.Load, applyList, onWatchError)
	tasks.Go(func() error { return watch.Run(ctx) })
	tasks.Go(func() error { return s.acceptLinks(ctx, listener) })
	tasks.Go(func() error { s.runOwner(ctx); return nil })
	err := tasks.Wait()
	s.pool.Wait()
	return err
}

// enqueue sends an event to the owner, unless the context is canceled first.
func (s *Server) enqueue(ctx context.Context, event func()) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// runOwner is the event loop of the goroutine that owns the state machine.
func (s *Server) runOwner(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			s.trace.Flush()
			return
		case event := <-s.events:
			s.traceTime()
			event()
			for range len(s.events) { // one tick for all queued events
				(<-s.events)()
			}
		case <-timer.C:
		}
		s.traceTime()
		next := s.tick(ctx)
		timer.Reset(max(minTickDelay, clock.ToDuration(next-s.clock.Now())))
	}
}

// traceTime sets the time of the trace events that follow.
func (s *Server) traceTime() {
	if s.trace != nil {
		s.trace.SetTime(s.clock.Now(), time.Now().UnixNano()/int64(clock.Resolution))
	}
}

// tick executes the actions that are due and returns the time of the next tick.
func (s *Server) tick(ctx context.Context) policy.TenthMs {
	actions := s.core.Tick(s.clock.Now())
	for _, name := range actions.Probes {
		s.probe(ctx, name)
	}
	for _, forwarder := range actions.Disconnect {
		if conn := s.conns[forwarder]; conn != nil {
			delete(s.conns, forwarder)
			conn.CloseWithError(errForwarderSilent)
		}
	}
	if actions.Change != nil {
		s.broadcast(actions.Change, actions.FullView)
	}
	s.copyCounters()
	return actions.NextTick
}

// copyCounters updates the counters that LogFields reads.
func (s *Server) copyCounters() {
	s.openLinks.Store(int64(len(s.conns)))
	s.leaseCount.Store(int64(s.core.LeaseCount()))
	s.duplicateLeases.Store(s.core.DuplicateLeases)
	s.timedOutLinks.Store(s.core.TimedOutLinks)
	s.failedProbes.Store(s.core.FailedProbes)
	s.coldWork.Store(s.core.ColdWork)
}

// LogFields returns the counters as fields of a log entry. Any goroutine may call it.
func (s *Server) LogFields() []zap.Field {
	return []zap.Field{
		zap.Int64("forwarders_open", s.openLinks.Load()),
		zap.Int64("forwarders_counted", s.leaseCount.Load()),
		zap.Int64("names_twice", s.duplicateLeases.Load()),
		zap.Int64("links_overdue", s.timedOutLinks.Load()),
		zap.Int64("links_accepted", s.AcceptedLinks.Load()),
		zap.Int64("links_refused", s.RejectedLinks.Load()),
		zap.Int64("links_broken", s.BrokenLinks.Load()),
		zap.Int64("hosts", s.hostCount.Load()),
		zap.Int64("lists", s.AppliedLists.Load()),
		zap.Int64("stale_lists", s.StaleLists.Load()),
		zap.Int64("probes", s.Probes.Load()),
		zap.Int64("probes_unanswered", s.failedProbes.Load()),
		zap.Int64("changes", s.Changes.Load()),
		zap.Int64("whole_views", s.FullViews.Load()),
		zap.Int64("bytes", s.SentBytes.Load()),
		zap.Int64("reports", s.Reports.Load()),
		zap.Float64("cold_work", float64(s.coldWork.Load())/workPerCommand),
	}
}
