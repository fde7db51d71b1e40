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
	// Told passes what changed in the view: hosts, names of removed hosts, the
	// number of routers that share the hosts, and whether no planner is current.
	Told(hosts []view.Host, dropped []string, routers int, blind bool)
	// Report returns what was observed of hosts since the last call.
	Report() []link.Heard
}

// Forward is one forwarder's client of the planners.
type Forward struct {
	settings       *setup.Forward
	name           string
	incarnation    uint64
	router         Router
	log            *zap.Logger
	clock          *clock.Clock
	core           *follower.Follower
	events         chan func()
	conns          map[*follower.Planner]*line.Conn
	snapshots      chan []byte // encoded views for the goroutine that stores them
	nextSnapshotAt policy.Tenth

	// Counters, which any goroutine may read. ViewAgeMs is in milliseconds, -1
	// while no planner has sent a change.
	SnapshotFailures, OpenLinks, Changes, FullViews, InvalidChanges, Reports, ViewAgeMs, RouterCount atomic.Int64
	// NoPlanner says that no planner is current.
	NoPlanner atomic.Bool
}

// New makes a forwarder. incarnation differs from that of any other process;
// routers is the number of routers to assume until a planner states one.
func New(settings *setup.Forward, name string, incarnation uint64, routers int, router Router, log *zap.Logger) *Forward {
	forwardClock := clock.New(time.Now)
	config := follower.Terms{
		Again:  tenths(settings.Again),
		Most:   tenths(settings.Most),
		Report: tenths(settings.Report),
		Silent: tenths(settings.Silent),
	}
	f := &Forward{
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

func tenths(duration time.Duration) policy.Tenth { return policy.Tenth(duration / clock.Tenth) }

// Known applies the list that a forwarder starts with. It must be called before Run.
func (f *Forward) Known(revision int64, whole bool, hosts []view.Host) {
	f.core.LoadList(revision, whole, hosts)
}

// enqueue passes an event to the owner, unless the context ends first.
func (f *Forward) enqueue(ctx context.Context, event func()) {
	select {
	case f.events <- event:
	case <-ctx.Done():
	}
}

// Run follows the planners until the context ends, and returns once all its
// goroutines have ended. The error is always nil.
func (f *Forward) Run(ctx context.Context) error {
	links, ctx := errgroup.WithContext(ctx)
	links.Go(func() error { f.writeSnapshots(ctx); return nil })
	f.runOwner(ctx, links)
	return links.Wait()
}

// runOwner is the loop of the goroutine that owns the follower.
func (f *Forward) runOwner(ctx context.Context, links *errgroup.Group) {
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
		timer.Reset(max(minTickDelay, clock.Span(next-f.clock.Now())))
	}
}

// tick executes what is due and returns the time of the next tick.
func (f *Forward) tick(ctx context.Context, links *errgroup.Group) policy.Tenth {
	actions := f.core.Tick(f.clock.Now())
	for _, planner := range actions.Cut {
		if conn := f.conns[planner]; conn != nil {
			conn.CloseWithError(errPlannerSilent)
		}
	}
	for _, planner := range actions.Dial {
		links.Go(func() error { f.followPlanner(ctx, planner); return nil })
	}
	if actions.Told {
		f.router.Told(actions.Hosts, actions.Dropped, actions.Routers, actions.Blind)
		if f.NoPlanner.Load() != actions.Blind {
			f.log.Info("planners", zap.Bool("no_planner", actions.Blind), zap.Int("routers", actions.Routers))
		}
		f.offerSnapshot(f.clock.Now())
	}
	if actions.Report {
		f.sendReport()
	}
	f.NoPlanner.Store(actions.Blind)
	f.RouterCount.Store(int64(actions.Routers))
	if age := f.core.Age(); age >= 0 {
		f.ViewAgeMs.Store(age / tenthsPerMillisecond)
	}
	return actions.Next
}

// sendReport sends all connected planners what the router observed.
func (f *Forward) sendReport() {
	body := link.Body(link.Report{Every: tenths(f.settings.Report), Heard: f.router.Report()})
	for _, conn := range f.conns {
		conn.Send(link.KindReport, body)
	}
	f.Reports.Add(1)
}

// Fields returns the counters for a log line.
func (f *Forward) Fields() []zap.Field {
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
