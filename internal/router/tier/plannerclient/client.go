// Package plannerclient implements a forwarder's client of the planners.
//
// The goroutine of Run owns the state machine of package follower and executes the
// actions that it returns. Each link has a goroutine that dials and reads, and
// sends events to the owner as functions on a channel. The owner passes changes of
// the view to the router, and reports the router's observations of hosts to the
// planners. Another goroutine stores the view on disk for the next start.
package plannerclient

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
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/linkconn"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// eventQueueLength is the capacity of the owner's event queue.
	eventQueueLength = 64
	// minTickDelay is the minimum delay between ticks, so that the owner does not spin when a tick is overdue.
	minTickDelay = time.Millisecond
	// tenthsPerMillisecond converts policy.TenthMs, tenths of a millisecond, to milliseconds.
	tenthsPerMillisecond = 10
)

var errPlannerSilent = errors.New("timeout: no change from the planner")

// Router receives the view and provides observations. Both methods are called by the owner's goroutine.
type Router interface {
	// UpdateHosts applies changes of the view: changed hosts, the names of removed
	// hosts, the number of routers that share the hosts, and whether no planner has a
	// current view.
	UpdateHosts(changed []view.Host, removed []string, routerCount int, noPlanner bool)
	// TakeObservations returns the observations of hosts since the last call.
	TakeObservations() []link.Observation
}

// Client is a forwarder's client of the planners.
type Client struct {
	settings       *setup.ForwarderSection
	name           string
	incarnation    uint64
	router         Router
	log            *zap.Logger
	clock          *clock.Clock
	core           *follower.Follower
	events         chan func()
	conns          map[*follower.Planner]*linkconn.Conn
	snapshots      chan []byte // encoded views for the goroutine of writeSnapshots
	nextSnapshotAt policy.TenthMs

	// Counters. Any goroutine may read them. ViewAgeMs is -1 until a planner has sent
	// a change.
	SnapshotFailures, OpenLinks, Changes, FullViews, InvalidChanges, Reports, ViewAgeMs, RouterCount atomic.Int64
	// NoPlanner is true while no planner has a current view.
	NoPlanner atomic.Bool
}

// New returns a forwarder's client. incarnation must be unique among all forwarder
// processes. initialRouterCount is the number of routers to assume until a planner
// reports it.
func New(settings *setup.ForwarderSection, name string, incarnation uint64, initialRouterCount int,
	router Router, log *zap.Logger,
) *Client {
	forwardClock := clock.New(time.Now)
	config := follower.Config{
		InitialBackoff: tenths(settings.RetryDelay),
		MaxBackoff:     tenths(settings.MaxRetryDelay),
		ReportInterval: tenths(settings.ReportInterval),
		PlannerTimeout: tenths(settings.PlannerTimeout),
	}
	c := &Client{
		settings: settings, name: name, incarnation: incarnation, router: router, log: log,
		clock:     forwardClock,
		core:      follower.New(incarnation, config, settings.Planners, initialRouterCount, forwardClock.Now()),
		events:    make(chan func(), eventQueueLength),
		conns:     map[*follower.Planner]*linkconn.Conn{},
		snapshots: make(chan []byte, 1),
	}
	c.ViewAgeMs.Store(-1)
	c.NoPlanner.Store(true)
	return c
}

// tenths converts a duration to tenths of a millisecond.
func tenths(duration time.Duration) policy.TenthMs {
	return policy.TenthMs(duration / clock.Resolution)
}

// LoadList applies the host list that the forwarder has at start. It must be called before Run.
func (c *Client) LoadList(revision int64, complete bool, hosts []view.Host) {
	c.core.LoadList(revision, complete, hosts)
}

// enqueue sends an event to the owner, unless the context is canceled first.
func (c *Client) enqueue(ctx context.Context, event func()) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// Run maintains the links to the planners until the context is canceled, and
// returns once all its goroutines have ended. The error is always nil.
func (c *Client) Run(ctx context.Context) error {
	links, ctx := errgroup.WithContext(ctx)
	links.Go(func() error { c.writeSnapshots(ctx); return nil })
	c.runOwner(ctx, links)
	return links.Wait()
}

// runOwner is the event loop of the goroutine that owns the state machine.
func (c *Client) runOwner(ctx context.Context, links *errgroup.Group) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, conn := range c.conns {
				conn.CloseWithError(ctx.Err())
			}
			return
		case event := <-c.events:
			event()
		case <-timer.C:
		}
		next := c.tick(ctx, links)
		timer.Reset(max(minTickDelay, clock.ToDuration(next-c.clock.Now())))
	}
}

// tick executes the actions that are due and returns the time of the next tick.
func (c *Client) tick(ctx context.Context, links *errgroup.Group) policy.TenthMs {
	actions := c.core.Tick(c.clock.Now())
	for _, planner := range actions.Disconnect {
		if conn := c.conns[planner]; conn != nil {
			conn.CloseWithError(errPlannerSilent)
		}
	}
	for _, planner := range actions.Dial {
		links.Go(func() error { c.followPlanner(ctx, planner); return nil })
	}
	if actions.Changed {
		c.router.UpdateHosts(actions.ChangedHosts, actions.RemovedHosts, actions.RouterCount, actions.NoPlanner)
		if c.NoPlanner.Load() != actions.NoPlanner {
			c.log.Info("planners", zap.Bool("no_planner", actions.NoPlanner), zap.Int("routers", actions.RouterCount))
		}
		c.offerSnapshot(c.clock.Now())
	}
	if actions.SendReport {
		c.sendReport()
	}
	c.NoPlanner.Store(actions.NoPlanner)
	c.RouterCount.Store(int64(actions.RouterCount))
	if age := c.core.ViewAge(); age >= 0 {
		c.ViewAgeMs.Store(age / tenthsPerMillisecond)
	}
	return actions.NextTick
}

// sendReport sends the router's observations to all connected planners.
func (c *Client) sendReport() {
	body := link.EncodeBody(link.Report{Interval: tenths(c.settings.ReportInterval), Observations: c.router.TakeObservations()})
	for _, conn := range c.conns {
		conn.Send(link.KindReport, body)
	}
	c.Reports.Add(1)
}

// LogFields returns the counters as fields of a log entry. Any goroutine may call it.
func (c *Client) LogFields() []zap.Field {
	return []zap.Field{
		zap.Int64("planners", c.OpenLinks.Load()),
		zap.Bool("blind", c.NoPlanner.Load()),
		zap.Int64("view_age_ms", c.ViewAgeMs.Load()),
		zap.Int64("routers", c.RouterCount.Load()),
		zap.Int64("changes", c.Changes.Load()),
		zap.Int64("whole_views", c.FullViews.Load()),
		zap.Int64("faulty_changes", c.InvalidChanges.Load()),
		zap.Int64("reports", c.Reports.Load()),
		zap.Int64("views_not_kept", c.SnapshotFailures.Load()),
	}
}
