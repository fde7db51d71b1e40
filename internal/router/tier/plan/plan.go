// Package plan is a planner's sockets: one goroutine owns the planner's core;
// discovery's watch, probes and the forwarders' links hand it what comes in.
package plan

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/router/catalog"
	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/line"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/planner"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/router/transport"
	"ferrypitch/policy"
)

// Plan is one planner.
type Plan struct {
	start        *setup.Start
	settings     *setup.Plan
	incarnation  uint64
	log          *zap.Logger
	clock        *clock.Clock
	core         *planner.Planner
	buffers      *transport.Room
	pool         *transport.Hosts
	hosts        map[string]*transport.Host
	conns        map[*planner.Forwarder]*line.Conn
	trace        *record.Planner // nil while nothing is captured
	events       chan func()
	listRevision atomic.Int64

	AcceptedLinks, RejectedLinks, BrokenLinks, Probes, FullViews, Changes, Bytes, Reports, AppliedLists, StaleLists atomic.Int64
	openLinks, leaseCount, duplicateLeases, timedOutLinks, failedProbes, coldWork, hostCount                        atomic.Int64
}

// New makes a planner of a life that no other has; trace may be nil.
func New(start *setup.Start, section *setup.Plan, life uint64, trace *record.Planner, log *zap.Logger) *Plan {
	p := &Plan{start: start, settings: section, incarnation: life, trace: trace, log: log, clock: clock.New(time.Now),
		buffers: transport.NewRoom(&start.Limits), hosts: map[string]*transport.Host{},
		conns: map[*planner.Forwarder]*line.Conn{}, events: make(chan func(), 1024)}
	t := func(d time.Duration) int64 { return int64(d / clock.Tenth) }
	terms := planner.Terms{Gen: section.Generation, Beat: t(section.Beat), Probe: t(section.Probe), Search: t(section.Search),
		Probes: section.Probes, PerSecond: section.PerSecond, Forwarders: section.Forwarders, Reports: section.Reports,
		Frames: section.Frames, Bytes: section.Bytes}
	if !start.Deployment.Probes {
		terms.Probes = 0
	}
	p.core = planner.New(life, terms, p.clock.Now())
	return p
}

func (p *Plan) enqueue(ctx context.Context, do func()) {
	select {
	case p.events <- do:
	case <-ctx.Done():
	}
}

// Run serves forwarders on the listener until the context ends.
func (p *Plan) Run(ctx context.Context, listener net.Listener) error {
	tasks, ctx := errgroup.WithContext(ctx)
	p.pool = transport.NewHosts(ctx, &p.start.Limits, p.buffers)
	watch := transport.NewWatch(&p.start.Limits, p.buffers, p.start.Discovery, p.listRevision.Load, func(text []byte, _ bool) error {
		return p.applyList(ctx, text)
	}, func(err error) { p.log.Warn("the watch of the list ended", zap.Error(err)) })
	tasks.Go(func() error { return watch.Run(ctx) })
	tasks.Go(func() error { return p.accept(ctx, listener) })
	tasks.Go(func() error { return p.runOwner(ctx) })
	err := tasks.Wait()
	p.pool.Wait()
	return err
}

// applyList hands over one line of discovery's, and returns when it is known.
func (p *Plan) applyList(ctx context.Context, text []byte) error {
	o, err := setup.Decode("", text)
	if err != nil {
		return err
	}
	rev, whole, entries, err := catalog.Read(o)
	if err != nil {
		return err
	}
	known := make(chan struct{})
	p.enqueue(ctx, func() {
		defer close(known)
		held := p.core.Listed(p.clock.Now(), rev, whole, entries)
		p.trace.List(rev, whole, len(entries), held)
		if !held {
			p.StaleLists.Add(1)
			p.log.Warn("a list that is older than the one held", zap.Int64("rev", rev))
			return
		}
		p.listRevision.Store(rev)
		p.AppliedLists.Add(1)
		p.log.Info("list", zap.Int64("rev", rev), zap.Bool("whole", whole), zap.Int("entries", len(entries)))
		p.updateHostPool()
	})
	select {
	case <-known:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// updateHostPool has a place for each host's connections, and none for those that are held no more.
func (p *Plan) updateHostPool() {
	held := map[string]bool{}
	for _, h := range p.core.View().Hosts() {
		if h.Standing != policy.In {
			continue
		}
		held[h.Name] = true
		if p.hosts[h.Name] == nil {
			p.hosts[h.Name] = p.pool.Add(h.Address)
		}
		p.hosts[h.Name].Move(h.Address)
	}
	for name, h := range p.hosts {
		if !held[name] {
			h.Remove()
			delete(p.hosts, name)
		}
	}
	p.hostCount.Store(int64(len(held)))
}

// runOwner is the goroutine of the core.
func (p *Plan) runOwner(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.trace.Flush()
			return nil
		case do := <-p.events:
			p.traceTime()
			do()
			for range len(p.events) { // what is there already costs one tick
				(<-p.events)()
			}
		case <-timer.C:
		}
		p.traceTime()
		do := p.core.Tick(p.clock.Now())
		for _, name := range do.Probe {
			p.probe(ctx, name)
		}
		for _, f := range do.Cut {
			if l := p.conns[f]; l != nil {
				delete(p.conns, f)
				l.CloseWithError(errors.New("the forwarder says nothing"))
			}
		}
		if do.Change != nil {
			p.broadcast(&do)
		}
		p.openLinks.Store(int64(len(p.conns)))
		p.leaseCount.Store(int64(p.core.Routers()))
		p.duplicateLeases.Store(p.core.DuplicateLeases)
		p.timedOutLinks.Store(p.core.TimedOutLinks)
		p.failedProbes.Store(p.core.FailedProbes)
		p.coldWork.Store(p.core.ColdWork)
		timer.Reset(max(time.Millisecond, clock.Span(do.Next-p.clock.Now())))
	}
}

func (p *Plan) traceTime() {
	if p.trace != nil {
		p.trace.Now(p.clock.Now(), time.Now().UnixNano()/int64(clock.Tenth))
	}
}

// broadcast encodes a change once for all.
func (p *Plan) broadcast(do *planner.Todo) {
	p.trace.Change(do.Change, len(do.Whole), len(p.conns))
	skip := map[*planner.Forwarder]bool{}
	if len(do.Whole) > 0 {
		body := link.Body(p.core.Whole())
		for _, f := range do.Whole {
			skip[f] = true
			if l := p.conns[f]; l != nil {
				l.Send(link.KindChange, body)
				p.FullViews.Add(1)
				p.Bytes.Add(int64(len(body)))
			}
		}
	}
	body := link.Body(do.Change)
	for f, l := range p.conns {
		if !skip[f] {
			l.Send(link.KindChange, body)
			p.Changes.Add(1)
			p.Bytes.Add(int64(len(body)))
		}
	}
}

func (p *Plan) probe(ctx context.Context, name string) {
	h := p.hosts[name]
	if h == nil {
		p.core.Probed(p.clock.Now(), name, false, -1, policy.Unknown, 0)
		return
	}
	statement := "SELECT 1"
	if p.start.Deployment.Reports {
		statement = "SHOW server_load"
	}
	p.Probes.Add(1)
	p.trace.Probe(name)
	asked, at := p.clock.Now(), time.Now()
	until := at.Add(p.start.Limits.Connect)
	var once sync.Once
	done := func(a transport.Answer) {
		once.Do(func() {
			p.enqueue(ctx, func() {
				now := p.clock.Now()
				ahead := float64(now)/10 + 2
				pos, role := setup.Words(a.Position, a.Role, ahead)
				if pos < 0 && p.start.Deployment.Reports {
					t := p.start.Terms
					at, is, ok := t.Report(func(i int) (float64, bool) { return protocol.Field(a.Value, t.Fields[i]) })
					if ok {
						pos, role = at, is
					}
				}
				p.trace.Probed(name, a.Outcome == policy.Answered, pos, role, now-asked)
				p.core.Probed(now, name, a.Outcome == policy.Answered, pos, role, asked)
			})
		})
	}
	call := h.Send([]byte(statement), until, until, false, done)
	time.AfterFunc(time.Until(until), func() {
		if o, ok := call.Abandon(); ok {
			done(transport.Answer{Outcome: o})
		}
	})
}

// accept takes forwarders. Those that have not shown the key are few, and have little time.
func (p *Plan) accept(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	var links errgroup.Group
	defer links.Wait()
	greeting := make(chan struct{}, p.settings.Greeting)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil { // out of descriptors, say: it must not spin
			select {
			case <-ctx.Done():
			case <-time.After(p.start.Limits.Again):
			}
			continue
		}
		p.AcceptedLinks.Add(1)
		select {
		case greeting <- struct{}{}:
		default:
			p.RejectedLinks.Add(1)
			conn.Close()
			continue
		}
		links.Go(func() error {
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			var f *planner.Forwarder
			conn.SetDeadline(time.Now().Add(p.settings.Greet))
			l, err := line.PlannerHandshake(conn, &p.settings.Key, p.start.Name, p.incarnation, p.settings.Queue, p.settings.Frame, p.settings.Write,
				func(g link.Greeting) bool { f = p.admit(ctx, g); return f != nil })
			<-greeting
			if err != nil {
				p.RejectedLinks.Add(1)
				p.log.Warn("a forwarder is refused", zap.String("from", conn.RemoteAddr().String()), zap.Error(err))
				if f != nil {
					p.enqueue(ctx, f.Left)
				}
				return nil
			}
			l.StartWriter()
			p.enqueue(ctx, func() {
				p.conns[f] = l
				f.Begun()
				p.trace.Forwarder(l.Peer.Name, l.Peer.Incarnation, true, "")
			})
			err = p.readFrames(ctx, f, l)
			l.CloseWithError(err)
			l.Wait()
			p.enqueue(ctx, func() {
				delete(p.conns, f)
				f.Left()
				p.trace.Forwarder(l.Peer.Name, l.Peer.Incarnation, false, err.Error())
			})
			if ctx.Err() == nil {
				p.log.Info("a forwarder left", zap.String("name", l.Peer.Name), zap.Error(err))
			}
			return nil
		})
	}
}

func (p *Plan) admit(ctx context.Context, g link.Greeting) *planner.Forwarder {
	got := make(chan *planner.Forwarder, 1)
	p.enqueue(ctx, func() { got <- p.core.Greeted(p.clock.Now(), g.Name, g.Incarnation) })
	select {
	case f := <-got:
		return f
	case <-ctx.Done():
		return nil
	}
}

func (p *Plan) readFrames(ctx context.Context, f *planner.Forwarder, l *line.Conn) error {
	for {
		kind, body, err := l.ReadFrame()
		if err != nil {
			p.BrokenLinks.Add(1)
			return err
		}
		switch kind {
		case link.KindReport:
			r, err := link.DecodeReport(body)
			if err != nil {
				p.BrokenLinks.Add(1)
				return err
			}
			p.Reports.Add(1)
			p.enqueue(ctx, func() {
				p.trace.Report(l.Peer.Name, r)
				f.Reported(p.clock.Now(), r)
			})
		case link.KindViewRequest:
			p.enqueue(ctx, func() { f.Wanted(p.clock.Now()) })
		}
	}
}

// Fields are the counts for a line of the log.
func (p *Plan) Fields() []zap.Field {
	return []zap.Field{zap.Int64("forwarders_open", p.openLinks.Load()), zap.Int64("forwarders_counted", p.leaseCount.Load()),
		zap.Int64("names_twice", p.duplicateLeases.Load()), zap.Int64("links_overdue", p.timedOutLinks.Load()),
		zap.Int64("links_accepted", p.AcceptedLinks.Load()), zap.Int64("links_refused", p.RejectedLinks.Load()),
		zap.Int64("links_broken", p.BrokenLinks.Load()), zap.Int64("hosts", p.hostCount.Load()), zap.Int64("lists", p.AppliedLists.Load()),
		zap.Int64("stale_lists", p.StaleLists.Load()), zap.Int64("probes", p.Probes.Load()),
		zap.Int64("probes_unanswered", p.failedProbes.Load()), zap.Int64("changes", p.Changes.Load()),
		zap.Int64("whole_views", p.FullViews.Load()), zap.Int64("bytes", p.Bytes.Load()), zap.Int64("reports", p.Reports.Load()),
		zap.Float64("cold_work", float64(p.coldWork.Load())/1000)}
}
