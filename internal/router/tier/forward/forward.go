// Package forward is a forwarder's side of the links: one goroutine owns the
// follower, each link has one that dials and reads, and what is new in the view
// goes to the router's own queue.
package forward

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
	"ferrypitch/internal/router/tier/follower"
	"ferrypitch/internal/router/tier/line"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/internal/snapshotfile"
)

// Router is told what is new, and asked for what was heard.
type Router interface {
	Told(hosts []view.Host, dropped []string, routers int, blind bool)
	Report() []link.Heard
}

// Forward keeps one forwarder's view.
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
	snapshots      chan []byte // to the writer of kept views
	nextSnapshotAt int64

	SnapshotFailures, OpenLinks, Changes, FullViews, InvalidChanges, Reports, ViewAgeMs, RouterCount atomic.Int64 // Age in milliseconds, -1: never heard
	NoPlanner                                                                                        atomic.Bool
}

// New makes a forwarder of a life that no other has; known is the list that it starts with, if any.
func New(section *setup.Forward, name string, life uint64, routers int, router Router, log *zap.Logger) *Forward {
	f := &Forward{settings: section, name: name, incarnation: life, router: router, log: log, clock: clock.New(time.Now),
		events: make(chan func(), 64), conns: map[*follower.Planner]*line.Conn{},
		snapshots: make(chan []byte, 1)}
	t := func(d time.Duration) int64 { return int64(d / clock.Tenth) }
	f.core = follower.New(life, follower.Terms{Again: t(section.Again), Most: t(section.Most), Report: t(section.Report),
		Silent: t(section.Silent)}, section.Planners, routers, f.clock.Now())
	f.ViewAgeMs.Store(-1)
	f.NoPlanner.Store(true)
	return f
}

// Known takes in the list that a forwarder starts with, before Run.
func (f *Forward) Known(rev int64, whole bool, hosts []view.Host) { f.core.LoadList(rev, whole, hosts) }

// Kept takes in what an earlier life kept, before Run. What is wrong with it costs no more than not having it.
func (f *Forward) Kept() {
	if f.settings.Keep == "" {
		return
	}
	body, err := snapshotfile.Read(snapshotfile.Disk{}, f.settings.Keep)
	if snapshotfile.None(err) {
		return
	}
	var c view.Change
	if err == nil {
		c, err = link.ReadChange(body)
	}
	if err != nil {
		f.log.Warn("the kept view is not used", zap.Error(err))
		return
	}
	f.core.Kept(c)
	f.log.Info("began with a kept view", zap.Int("hosts", len(c.Hosts)))
}

// writeSnapshots writes views until the context ends. Only the newest waits; a disk that fails costs the next start, not service.
func (f *Forward) writeSnapshots(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case body := <-f.snapshots:
			if err := snapshotfile.Write(snapshotfile.Disk{}, f.settings.Keep, body); err != nil {
				if f.SnapshotFailures.Add(1); !failing {
					f.log.Warn("the view is not kept", zap.Error(err))
				}
				failing = true
				continue
			}
			failing = false
		}
	}
}

// offerSnapshot gives the writer the view as it is, unless it is still writing.
func (f *Forward) offerSnapshot(now int64) {
	if f.settings.Keep == "" || now < f.nextSnapshotAt || !f.core.Ready() || len(f.snapshots) > 0 {
		return
	}
	f.nextSnapshotAt = now + int64(f.settings.Kept/clock.Tenth)
	f.snapshots <- link.Body(f.core.View().Whole(f.incarnation, 0))
}

// enqueue hands the owner what to do.
func (f *Forward) enqueue(ctx context.Context, do func()) {
	select {
	case f.events <- do:
	case <-ctx.Done():
	}
}

// Run follows the planners until the context ends.
func (f *Forward) Run(ctx context.Context) error {
	links, ctx := errgroup.WithContext(ctx)
	defer links.Wait()
	links.Go(func() error { f.writeSnapshots(ctx); return nil })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, l := range f.conns {
				l.CloseWithError(ctx.Err())
			}
			return nil
		case do := <-f.events:
			do()
		case <-timer.C:
		}
		do := f.core.Tick(f.clock.Now())
		for _, p := range do.Cut {
			if l := f.conns[p]; l != nil {
				l.CloseWithError(errors.New("the planner says nothing"))
			}
		}
		for _, p := range do.Dial {
			links.Go(func() error { f.followPlanner(ctx, p); return nil })
		}
		if do.Told {
			f.router.Told(do.Hosts, do.Dropped, do.Routers, do.Blind)
			if f.NoPlanner.Load() != do.Blind {
				f.log.Info("planners", zap.Bool("none is there", do.Blind), zap.Int("routers", do.Routers))
			}
		}
		if do.Told {
			f.offerSnapshot(f.clock.Now())
		}
		if do.Report {
			f.sendReport()
		}
		f.NoPlanner.Store(do.Blind)
		f.RouterCount.Store(int64(do.Routers))
		if age := f.core.Age(); age >= 0 {
			f.ViewAgeMs.Store(age / 10)
		}
		timer.Reset(max(time.Millisecond, clock.Span(do.Next-f.clock.Now())))
	}
}

func (f *Forward) sendReport() {
	body := link.Body(link.Report{Every: int64(f.settings.Report / clock.Tenth), Heard: f.router.Report()})
	for _, l := range f.conns {
		l.Send(link.KindReport, body)
	}
	f.Reports.Add(1)
}

// followPlanner is one link, from its dialling to its end.
func (f *Forward) followPlanner(ctx context.Context, p *follower.Planner) {
	err := f.runLink(ctx, p)
	f.enqueue(ctx, func() {
		if f.conns[p] != nil {
			f.OpenLinks.Add(-1)
			delete(f.conns, p)
		}
		p.Lost(f.clock.Now())
	})
	if ctx.Err() == nil {
		f.log.Warn("a planner is not followed", zap.String("planner", p.Address), zap.Error(err))
	}
}

func (f *Forward) runLink(ctx context.Context, p *follower.Planner) error {
	conn, err := (&net.Dialer{Timeout: f.settings.Dial}).DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(f.settings.Dial))
	l, err := line.ForwarderHandshake(conn, &f.settings.Key, f.name, f.incarnation, f.settings.Queue, f.settings.Frame, f.settings.Write)
	if err != nil {
		return err
	}
	l.StartWriter()
	defer l.Wait()
	defer l.CloseWithError(net.ErrClosed)
	f.enqueue(ctx, func() {
		f.conns[p] = l
		f.OpenLinks.Add(1)
		p.Connected(f.clock.Now())
	})
	for {
		kind, body, err := l.ReadFrame()
		if err != nil {
			return err
		}
		if kind != link.KindChange {
			continue // of a later version that shares this one's frames
		}
		c, err := link.ReadChange(body)
		if err != nil {
			f.InvalidChanges.Add(1)
			return err
		}
		f.Changes.Add(1)
		if c.Whole {
			f.FullViews.Add(1)
		}
		f.enqueue(ctx, func() {
			if f.conns[p] == l && p.Changed(f.clock.Now(), c) {
				l.Send(link.KindViewRequest, nil)
			}
		})
	}
}

// Fields are the counts for a line of the log.
func (f *Forward) Fields() []zap.Field {
	return []zap.Field{zap.Int64("planners", f.OpenLinks.Load()), zap.Bool("blind", f.NoPlanner.Load()),
		zap.Int64("view_age_ms", f.ViewAgeMs.Load()), zap.Int64("routers", f.RouterCount.Load()), zap.Int64("changes", f.Changes.Load()),
		zap.Int64("whole_views", f.FullViews.Load()), zap.Int64("faulty_changes", f.InvalidChanges.Load()),
		zap.Int64("reports", f.Reports.Load()), zap.Int64("views_not_kept", f.SnapshotFailures.Load())}
}
