// Package forward runs a forwarder's side of the links to the planners.
//
// One goroutine, Run, owns the follower and executes the actions that it
// returns. Each link has a goroutine that dials and reads; what it receives
// reaches the owner as functions on a channel. What changes in the view is passed
// to the router, and what the router observed of hosts is reported to the
// planners. One more goroutine stores the view for the next start.
package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/follower"
	"ferrypitch/internal/router/tier/line"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// eventQueueLength is how many events of links may wait for the owner.
	eventQueueLength = 64
	// minTickDelay keeps the owner from spinning when the next tick is overdue.
	minTickDelay = time.Millisecond
	// tenthsPerMillisecond converts policy.Tenth, tenths of a millisecond.
	tenthsPerMillisecond = 10
)

var errPlannerSilent = errors.New("the planner says nothing")

// Router is what the view is for. Both methods are called by the owner's goroutine.
type Router interface {
	// UpdateHosts passes what changed in the view: hosts, names of removed hosts, the
	// number of routers that share the hosts, and whether no planner is current.
	UpdateHosts(hosts []view.Host, dropped []string, routers int, blind bool)
	// TakeObservations returns what was observed of hosts since the last call.
	TakeObservations() []link.Observation
}

// Forwarder is one forwarder's client of the planners.
type Forwarder struct {
	settings       *setup.ForwarderSection
	name           string
	incarnation    uint64
	router         Router
	log            *zap.Logger
	clock          *clock.Clock
	core           *follower.Follower
	events         chan func()
	conns          map[*follower.Planner]*line.Conn
	snapshots      chan []byte // encoded views for the goroutine that stores them
	nextSnapshotAt policy.TenthMs

	// Counters, which any goroutine may read. ViewAgeMs is in milliseconds, -1
	// while no planner has sent a change.
	SnapshotFailures, OpenLinks, Changes, FullViews, InvalidChanges, Reports, ViewAgeMs, RouterCount atomic.Int64
	// NoPlanner says that no planner is current.
	NoPlanner atomic.Bool
}

// New makes a forwarder. incarnation differs from that of any other process;
// routers is the number of routers to assume until a planner states one.
func New(settings *setup.ForwarderSection, name string, incarnation uint64, routers int, router Router, log *zap.Logger) *Forwarder {
	forwardClock := clock.New(time.Now)
	config := follower.Config{
		InitialBackoff: tenths(settings.RetryDelay),
		MaxBackoff:     tenths(settings.MaxRetryDelay),
		ReportInterval: tenths(settings.ReportInterval),
		PlannerTimeout: tenths(settings.PlannerTimeout),
	}
	f := &Forwarder{
		settings: settings, name: name, incarnation: incarnation, router: router, log: log,
		clock:     forwardClock,
		core:      follower.New(incarnation, config, settings.Planners, routers, forwardClock.Now()),
		events:    make(chan func(), eventQueueLength),
		conns:     map[*follower.Planner]*line.Conn{},
		snapshots: make(chan []byte, 1),
	}
	f.ViewAgeMs.Store(-1)
	f.NoPlanner.Store(true)
	return f
}

func tenths(duration time.Duration) policy.TenthMs {
	return policy.TenthMs(duration / clock.Resolution)
}

// LoadList applies the list that a forwarder starts with. It must be called before Run.
func (f *Forwarder) LoadList(revision int64, whole bool, hosts []view.Host) {
	f.core.LoadList(revision, whole, hosts)
}

// enqueue passes an event to the owner, unless the context ends first.
func (f *Forwarder) enqueue(ctx context.Context, event func()) {
	select {
	case f.events <- event:
	case <-ctx.Done():
	}
}

// Run follows the planners until the context ends, and returns once all its
// goroutines have ended. The error is always nil.
func (f *Forwarder) Run(ctx context.Context) error {
	links, ctx := errgroup.WithContext(ctx)
	links.Go(func() error { f.writeSnapshots(ctx); return nil })
	f.runOwner(ctx, links)
	return links.Wait()
}

// runOwner is the loop of the goroutine that owns the follower.
func (f *Forwarder) runOwner(ctx context.Context, links *errgroup.Group) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, conn := range f.conns {
				conn.CloseWithError(ctx.Err())
			}
			return
		case event := <-f.events:
			event()
		case <-timer.C:
		}
		next := f.tick(ctx, links)
		timer.Reset(max(minTickDelay, clock.ToDuration(next-f.clock.Now())))
	}
}

// tick executes what is due and returns the time of the next tick.
func (f *Forwarder) tick(ctx context.Context, links *errgroup.Group) policy.TenthMs {
	actions := f.core.Tick(f.clock.Now())
	for _, planner := range actions.Disconnect {
		if conn := f.conns[planner]; conn != nil {
			conn.CloseWithError(errPlannerSilent)
		}
	}
	for _, planner := range actions.Dial {
		links.Go(func() error { f.followPlanner(ctx, planner); return nil })
	}
	if actions.Changed {
		f.router.UpdateHosts(actions.ChangedHosts, actions.RemovedHosts, actions.RouterCount, actions.NoPlanner)
		if f.NoPlanner.Load() != actions.NoPlanner {
			f.log.Info("planners", zap.Bool("no_planner", actions.NoPlanner), zap.Int("routers", actions.RouterCount))
		}
		f.offerSnapshot(f.clock.Now())
	}
	if actions.SendReport {
		f.sendReport()
	}
	f.NoPlanner.Store(actions.NoPlanner)
	f.RouterCount.Store(int64(actions.RouterCount))
	if age := f.core.ViewAge(); age >= 0 {
		f.ViewAgeMs.Store(age / tenthsPerMillisecond)
	}
	return actions.NextTick
}

// sendReport sends all connected planners what the router observed.
func (f *Forwarder) sendReport() {
	body := link.EncodeBody(link.Report{Interval: tenths(f.settings.ReportInterval), Observations: f.router.TakeObservations()})
	for _, conn := range f.conns {
		conn.Send(link.KindReport, body)
	}
	f.Reports.Add(1)
}

// LogFields returns the counters for a log line.
func (f *Forwarder) LogFields() []zap.Field {
	return []zap.Field{
		zap.Int64("planners", f.OpenLinks.Load()),
		zap.Bool("blind", f.NoPlanner.Load()),
		zap.Int64("view_age_ms", f.ViewAgeMs.Load()),
		zap.Int64("routers", f.RouterCount.Load()),
		zap.Int64("changes", f.Changes.Load()),
		zap.Int64("whole_views", f.FullViews.Load()),
		zap.Int64("faulty_changes", f.InvalidChanges.Load()),
		zap.Int64("reports", f.Reports.Load()),
		zap.Int64("views_not_kept", f.SnapshotFailures.Load()),
	}
}
