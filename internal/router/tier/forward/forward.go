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
	section *setup.Forward
	name    string
	life    uint64
	router  Router
	log     *zap.Logger
	clock   *clock.Clock
	core    *follower.Follower
	in      chan func()
	lines   map[*follower.Planner]*line.Line
	keeping chan []byte // to the writer of kept views
	keepAt  int64

	Unkept, Links, Changes, Wholes, Faults, Reports, Age, Routers atomic.Int64 // Age in milliseconds, -1: never heard
	Blind                                                         atomic.Bool
}

// New makes a forwarder of a life that no other has; known is the list that it starts with, if any.
func New(section *setup.Forward, name string, life uint64, routers int, router Router, log *zap.Logger) *Forward {
	f := &Forward{section: section, name: name, life: life, router: router, log: log, clock: clock.New(time.Now),
		in: make(chan func(), 64), lines: map[*follower.Planner]*line.Line{},
		keeping: make(chan []byte, 1)}
	t := func(d time.Duration) int64 { return int64(d / clock.Tenth) }
	f.core = follower.New(life, follower.Terms{Again: t(section.Again), Most: t(section.Most), Report: t(section.Report),
		Silent: t(section.Silent)}, section.Planners, routers, f.clock.Now())
	f.Age.Store(-1)
	f.Blind.Store(true)
	return f
}

// Known takes in the list that a forwarder starts with, before Run.
func (f *Forward) Known(rev int64, whole bool, hosts []view.Host) { f.core.Known(rev, whole, hosts) }

// Kept takes in what an earlier life kept, before Run. What is wrong with it costs no more than not having it.
func (f *Forward) Kept() {
	if f.section.Keep == "" {
		return
	}
	body, err := snapshotfile.Read(snapshotfile.Disk{}, f.section.Keep)
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

// keep writes views until the context ends. Only the newest waits; a disk that fails costs the next start, not service.
func (f *Forward) keep(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case body := <-f.keeping:
			if err := snapshotfile.Write(snapshotfile.Disk{}, f.section.Keep, body); err != nil {
				if f.Unkept.Add(1); !failing {
					f.log.Warn("the view is not kept", zap.Error(err))
				}
				failing = true
				continue
			}
			failing = false
		}
	}
}

// offer gives the writer the view as it is, unless it is still writing.
func (f *Forward) offer(now int64) {
	if f.section.Keep == "" || now < f.keepAt || !f.core.Ready() || len(f.keeping) > 0 {
		return
	}
	f.keepAt = now + int64(f.section.Kept/clock.Tenth)
	f.keeping <- link.Body(f.core.View().Whole(f.life, 0))
}

// put hands the owner what to do.
func (f *Forward) put(ctx context.Context, do func()) {
	select {
	case f.in <- do:
	case <-ctx.Done():
	}
}

// Run follows the planners until the context ends.
func (f *Forward) Run(ctx context.Context) error {
	links, ctx := errgroup.WithContext(ctx)
	defer links.Wait()
	links.Go(func() error { f.keep(ctx); return nil })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, l := range f.lines {
				l.End(ctx.Err())
			}
			return nil
		case do := <-f.in:
			do()
		case <-timer.C:
		}
		do := f.core.Tick(f.clock.Now())
		for _, p := range do.Cut {
			if l := f.lines[p]; l != nil {
				l.End(errors.New("the planner says nothing"))
			}
		}
		for _, p := range do.Dial {
			links.Go(func() error { f.follow(ctx, p); return nil })
		}
		if do.Told {
			f.router.Told(do.Hosts, do.Dropped, do.Routers, do.Blind)
			if f.Blind.Load() != do.Blind {
				f.log.Info("planners", zap.Bool("none is there", do.Blind), zap.Int("routers", do.Routers))
			}
		}
		if do.Told {
			f.offer(f.clock.Now())
		}
		if do.Report {
			f.report()
		}
		f.Blind.Store(do.Blind)
		f.Routers.Store(int64(do.Routers))
		if age := f.core.Age(); age >= 0 {
			f.Age.Store(age / 10)
		}
		timer.Reset(max(time.Millisecond, clock.Span(do.Next-f.clock.Now())))
	}
}

func (f *Forward) report() {
	body := link.Body(link.Report{Every: int64(f.section.Report / clock.Tenth), Heard: f.router.Report()})
	for _, l := range f.lines {
		l.Send(link.KindReport, body)
	}
	f.Reports.Add(1)
}

// follow is one link, from its dialling to its end.
func (f *Forward) follow(ctx context.Context, p *follower.Planner) {
	err := f.link(ctx, p)
	f.put(ctx, func() {
		if f.lines[p] != nil {
			f.Links.Add(-1)
			delete(f.lines, p)
		}
		p.Lost(f.clock.Now())
	})
	if ctx.Err() == nil {
		f.log.Warn("a planner is not followed", zap.String("planner", p.Address), zap.Error(err))
	}
}

func (f *Forward) link(ctx context.Context, p *follower.Planner) error {
	conn, err := (&net.Dialer{Timeout: f.section.Dial}).DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(f.section.Dial))
	l, err := line.Call(conn, &f.section.Key, f.name, f.life, f.section.Queue, f.section.Frame, f.section.Write)
	if err != nil {
		return err
	}
	l.Start()
	defer l.Wait()
	defer l.End(net.ErrClosed)
	f.put(ctx, func() {
		f.lines[p] = l
		f.Links.Add(1)
		p.Connected(f.clock.Now())
	})
	for {
		kind, body, err := l.Read()
		if err != nil {
			return err
		}
		if kind != link.KindChange {
			continue // of a later version that shares this one's frames
		}
		c, err := link.ReadChange(body)
		if err != nil {
			f.Faults.Add(1)
			return err
		}
		f.Changes.Add(1)
		if c.Whole {
			f.Wholes.Add(1)
		}
		f.put(ctx, func() {
			if f.lines[p] == l && p.Changed(f.clock.Now(), c) {
				l.Send(link.KindWant, nil)
			}
		})
	}
}

// Fields are the counts for a line of the log.
func (f *Forward) Fields() []zap.Field {
	return []zap.Field{zap.Int64("planners", f.Links.Load()), zap.Bool("blind", f.Blind.Load()),
		zap.Int64("view_age_ms", f.Age.Load()), zap.Int64("routers", f.Routers.Load()), zap.Int64("changes", f.Changes.Load()),
		zap.Int64("whole_views", f.Wholes.Load()), zap.Int64("faulty_changes", f.Faults.Load()),
		zap.Int64("reports", f.Reports.Load()), zap.Int64("views_not_kept", f.Unkept.Load())}
}
