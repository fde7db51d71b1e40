package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/lease"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
)

// Server is one member.
type Server struct {
	plate *settings.Settings
	log   hclog.Logger
	clock eventloop.SteadyClock
	queue *eventloop.Queue
	ctx   context.Context
	tasks *errgroup.Group

	id      consensus.ID
	reach   Environment
	core    *consensus.Node
	drawer  *storage.WAL
	disk    chan []consensus.Write
	state   *statemachine.State
	jaw     *lease.Grantor
	hoist   *failover.Coordinator
	leads   bool // this member has begun to act as the one that leads
	mesh    *rpc.Mesh
	routers map[*ProxyConn]struct{}
	met     uint64            // routers, in this life
	waiting map[uint64]waiter // proposals, by index
	passing
	seqs    map[string]int64 // the newest call of each host
	ending  bool
	astray  bool                  // the state here is not the one that the log builds; it is restored from the leader's
	endBy   int64                 // the latest that its seat is waited for to be handed on
	seats   []consensus.ID        // the members as last logged
	arrived []consensus.Committed // not applied yet

	delivering bool

	led    int64 // what makes this member's clock led time (rack.Change), while it leads
	orders orders

	Counters
}

// Environment is all that a member does outside itself; none of it waits. Run wires it to sockets and a disk, seeded worlds to
// a network of their own.
type Environment struct {
	Send      func(ip string, f *rpc.Frame)                   // to another member, may be lost
	QueryHost func(q failover.HostQuery, h statemachine.Host) // of a host; ends in Replied
	Promote   func(p failover.Promotion)                      // the platform's; ends in Called
	Persist   func(w []consensus.Write)                       // in their order; ends in Saved
}

// Counters are what a member did.
type Counters struct {
	Calls, Refusals, Beats, Passed, Proposals, Leases, LeasesRefused, LeasesHeld, Questions, Promotions, Views, DiskFaults, Diverged atomic.Int64

	Strays [strays]atomic.Int64 // what was ignored or refused, by why
}

// counts are by name, with those of fail-over while this member leads.
func (f *Server) counts() map[string]int64 {
	all := map[string]int64{"calls": f.Calls.Load(), "refusals": f.Refusals.Load(), "beats": f.Beats.Load(), "passed_on": f.Passed.Load(),
		"proposals": f.Proposals.Load(), "leases": f.Leases.Load(), "leases_refused": f.LeasesRefused.Load(), "leases_held_back": f.LeasesHeld.Load(),
		"questions":  f.Questions.Load(),
		"promotions": f.Promotions.Load(), "views_led": f.Views.Load(), "disk_faults": f.DiskFaults.Load(),
		"state_diverged": f.Diverged.Load(), "snapshots_begun": f.core.SnapshotTransfers, "snapshots_installed": f.core.SnapshotsInstalled,
		"snapshot_parts_sent": f.core.ChunksSent, "snapshot_parts_ignored": f.core.ChunksIgnored, "log_messages_stray": f.core.DiscardedMessages,
		"link_bytes_sent": rpc.BytesSent.Load(), "link_bytes_received": rpc.BytesReceived.Load()}
	for why, name := range strayNames {
		all[name] = f.Strays[why].Load()
	}
	if f.mesh != nil {
		all["frames_dropped"] = f.mesh.Dropped.Load()
	}
	if f.leads {
		c := f.hoist.Counters
		all["primaries_suspected"], all["primaries_cleared"], all["leads_lost"] = c.Suspected, c.Cleared, c.Lost
		all["leads_handed_over"], all["hosts_promoted"], all["rounds_waited"] = c.Planned, c.Promoted, c.Waiting
		all["replicas_resumed"], all["replicas_gone"] = c.Resumed, c.Missing
	}
	return all
}

type waiter struct {
	view uint64
	done func(error)
}

var errUnclear = errors.New("the view changed; whether it was taken is not known here")

// Run lives until a signal to stop.
func Run(plate *settings.Settings, signals, reload <-chan os.Signal, log hclog.Logger) error {
	if plate.Listen.Control == "" {
		return trace.BadParameter("Listen.Control: missing; this program serves the control plane")
	}
	if plate.DataDir == "" {
		return trace.BadParameter("DataDir: missing; this program keeps state on disk")
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	tasks, ctx := errgroup.WithContext(ctx)
	d, id, kept, err := restore(plate)
	if err != nil {
		return err
	}
	defer d.Close()
	f, err := New(plate, log, eventloop.NewSteadyClock(time.Now), id, kept, rand.Float64, rand.Uint64())
	if err != nil {
		return err
	}
	f.ctx, f.tasks, f.drawer, f.disk = ctx, tasks, d, make(chan []consensus.Write, 1024)
	f.mesh = rpc.NewMesh(ctx, plate.Ip)
	tongs := newTongs(f)
	f.SetEnvironment(Environment{
		Send:      func(ip string, frame *rpc.Frame) { f.mesh.Send(plate.PeerAddress(ip), frame) },
		QueryHost: tongs.ask,
		Promote:   f.promote,
		Persist:   func(w []consensus.Write) { f.disk <- w },
	})
	wait, err := rpc.Listen(ctx, plate.PeerAddress(plate.Ip), f.accept)
	if err != nil {
		return trace.Wrap(err, "PortRange")
	}
	listener, err := net.Listen("tcp", plate.Listen.Control)
	if err != nil {
		return trace.Wrap(err, "Listen.Control")
	}
	tasks.Go(func() error { f.write(); return nil })
	tasks.Go(func() error { return f.serve(listener) })
	tasks.Go(func() error { return f.own() })
	log.Info("started", "member", f.id, "members", f.core.Members(), "index", f.core.LastIndex(), "view", f.core.Term())
	f.attend(signals, reload)
	end()
	err = tasks.Wait()
	wait()
	f.mesh.Wait()
	log.Info("ended", "calls", f.Calls.Load(), "beats", f.Beats.Load(), "proposals", f.Proposals.Load())
	return err
}

// restore opens the disk, and says who this member is and what it held.
func restore(p *settings.Settings) (*storage.WAL, storage.Identity, consensus.RestoredState, error) {
	self := consensus.ID(p.Ip)
	var founders []consensus.ID
	for _, ip := range p.SeedHosts() {
		founders = append(founders, consensus.ID(ip))
	}
	slices.Sort(founders)
	return storage.Open(p.DataDir, func() storage.Identity {
		if p.Bootstrap && slices.Contains(founders, self) {
			return storage.Identity{ID: self, Founders: founders}
		}
		return storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%08x", p.Ip, rand.Uint32()))}
	})
}

// New readies a member from what its disk held; Wire comes before its first call. All calls are its owner's. life is drawn
// anew for each life of its process.
func New(plate *settings.Settings, log hclog.Logger, clock eventloop.SteadyClock, id storage.Identity, kept consensus.RestoredState,
	chance func() float64, life uint64) (*Server, error) {
	f := &Server{plate: plate, log: log, clock: clock, queue: eventloop.NewQueue(512), routers: map[*ProxyConn]struct{}{},
		waiting: map[uint64]waiter{}, passing: newPassing(life), seqs: map[string]int64{}, id: id.ID}
	f.core = consensus.New(id.ID, consensus.DefaultConfig(plate.FaultBudget.Machines), kept, id.Founders, chance, clock.Now())
	var err error
	f.state, err = statemachine.Restore(kept.Snapshot.Data)
	return f, err
}

// SetEnvironment gives a member its reach.
func (f *Server) SetEnvironment(r Environment) { f.reach = r }

// Tick is to be called every 50 ms, and thrice as often while it says that fail-over has something to do.
func (f *Server) Tick() (busy bool) {
	now := f.clock.Now()
	f.carry(f.core.Tick(now))
	f.tend()
	f.expire(now)
	return f.leads && f.hoist.Active(f.state)
}

// Persisted tells that writes up to one are on disk.
func (f *Server) Persisted(seq uint64) { f.carry(f.core.Persisted(seq, f.clock.Now())) }

// own is the goroutine that owns all state.
func (f *Server) own() error {
	defer f.queue.Close()
	const tick = 50 * time.Millisecond
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return nil
		case <-f.queue.Ready:
		case <-timer.C:
			if f.Tick() {
				timer.Reset(tick / 3)
			} else {
				timer.Reset(tick)
			}
		}
		for {
			do := f.queue.Take(eventloop.PriorityLists)
			if do == nil {
				do = f.queue.Take(eventloop.PriorityOutcomes)
			}
			if do == nil {
				do = f.queue.Take(eventloop.PriorityCommands)
			}
			if do == nil {
				break
			}
			do()
		}
	}
}

// carry carries out what the log asks for.
func (f *Server) carry(o consensus.Ready) {
	if len(o.Writes) > 0 {
		f.reach.Persist(o.Writes)
	}
	for _, m := range o.Messages {
		m := m
		if m.To != "" {
			f.reach.Send(m.To.Address(), &rpc.Frame{Consensus: &m})
			continue
		}
		for _, ip := range f.known() {
			f.reach.Send(ip, &rpc.Frame{Consensus: &m})
		}
	}
	f.arrived = append(f.arrived, o.Committed...)
	if !f.delivering { // whoever is told of one change may propose another: all are applied in their order
		f.delivering = true
		for len(f.arrived) > 0 {
			all := f.arrived
			f.arrived = nil
			f.deliver(all)
		}
		f.delivering = false
	}
	f.lead()
}

// known are the addresses of members and seeds, without this one's.
func (f *Server) known() (all []string) {
	for _, m := range f.core.Members() {
		all = append(all, m.Address())
	}
	all = append(all, f.plate.SeedHosts()...)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(ip string) bool { return ip == f.plate.Ip })
}

func (f *Server) members() (all []string) {
	for _, m := range f.core.Members() {
		all = append(all, m.Address())
	}
	return all
}

// lead begins and ends acting as the member that leads.
func (f *Server) lead() {
	now := f.clock.Now()
	switch holds := f.core.HoldsLease(now); {
	case holds && f.astray:
		f.carry(f.core.TransferLeadership(now))
	case holds && !f.leads:
		f.leads = true
		f.Views.Add(1)
		f.led = f.state.LedTimeMs - now
		f.jaw, f.hoist = lease.NewGrantor(now), failover.New(f.plate.Node, f.core.Term(), f.plate.BeatMs, now)
		f.hoist.OnEvent = func(e failover.Event) { f.log.Info(e.Kind.String(), "service", e.Service, "host", e.Host) }
		f.log.Info("leads", "view", f.core.Term(), "members", f.core.Members())
	case (!f.core.IsLeader() || f.astray) && f.leads:
		f.leads = false
		f.log.Info("leads no more", "view", f.core.Term())
		for _, r := range f.served() {
			r.close()
		}
		clear(f.routers)
		waiting := f.waiting
		f.waiting = map[uint64]waiter{}
		for _, index := range slices.Sorted(maps.Keys(waiting)) {
			waiting[index].done(errUnclear)
		}
	}
}

func (f *Server) deliver(all []consensus.Committed) {
	news := &rpc.LogUpdate{Members: f.members()}
	for _, d := range all {
		if d.Snapshot != nil {
			s, err := statemachine.Restore(d.Snapshot.Data)
			if err != nil {
				f.log.Error("a snapshot can't be read", "error", err)
				f.stray()
				continue
			}
			s.Index = d.Index
			f.state, f.astray = s, false
			news.Snapshot, news.Entries, news.LastIndex = d.Snapshot.Data, nil, d.Index
			continue
		}
		if f.astray {
			continue
		}
		c, err := f.apply(f.state, d)
		if errors.Is(err, statemachine.ErrDiverged) {
			f.Diverged.Add(1)
			f.log.Error("this member's state is not what a change builds on; it is built anew", "index", d.Index)
			var built bool
			if err, built = f.rebuild(d.Index); !built {
				f.stray()
				continue
			}
		}
		if c != nil {
			f.note(*c)
		}
		news.Entries, news.LastIndex = append(news.Entries, d.Data), d.Index
		if w, ok := f.waiting[d.Index]; ok {
			delete(f.waiting, d.Index)
			if w.view != d.Term {
				err = errUnclear
			}
			w.done(err)
		}
	}
	if f.astray {
		return
	}
	if m := f.core.Members(); !slices.Equal(m, f.seats) {
		f.seats = m
		f.log.Info("the members", "members", m, "index", f.state.Index)
	}
	for _, r := range f.served() {
		r.news(f, news)
	}
	entries, bytes := f.core.SinceSnapshot()
	if base := f.core.LatestSnapshot(); entries > logEntries || bytes > max(logBytes, 2*len(base.Data)) {
		f.carry(f.core.Compact(f.state.Index, f.state.Snapshot(), 200, f.clock.Now()))
	}
}

// A snapshot takes the place of the log once it has so many entries, or so many bytes and twice those of the last one.
const (
	logEntries = 400
	logBytes   = 512 << 10
)

// apply has a state take in an entry, if it holds a change.
func (f *Server) apply(s *statemachine.State, d consensus.Committed) (*statemachine.Change, error) {
	if len(d.Data) == 0 {
		s.Index = max(s.Index, d.Index)
		return nil, nil
	}
	c, err := statemachine.DecodeChange(d.Data)
	if err != nil {
		f.log.Error("a change can't be read", "index", d.Index, "error", err)
		s.Index = max(s.Index, d.Index)
		return nil, err
	}
	return &c, s.Apply(d.Index, c)
}

// rebuild makes the state up to an entry anew of this member's own snapshot and log; err is what that entry met.
func (f *Server) rebuild(to uint64) (err error, built bool) {
	base := f.core.LatestSnapshot()
	bodies, ok := f.core.CommittedAfter(base.Index)
	s, bad := statemachine.Restore(base.Data)
	if bad != nil || !ok {
		return bad, false
	}
	s.Index = base.Index
	for i, body := range bodies[:to-base.Index] {
		if _, err = f.apply(s, consensus.Committed{Index: base.Index + uint64(i) + 1, Data: body}); errors.Is(err, statemachine.ErrDiverged) {
			return err, false
		}
	}
	f.state = s
	return err, true
}

// stray has this member lead no more, and asks for the state of the one that does.
func (f *Server) stray() {
	f.astray = true
	f.carry(f.core.RequestSnapshot(f.clock.Now()))
}

// note tells fail-over and hosts' accounts of a change.
func (f *Server) note(c statemachine.Change) {
	switch {
	case c.RemoveHost != "":
		delete(f.seqs, c.RemoveHost)
		if f.leads {
			f.hoist.ForgetHost(c.RemoveHost)
		}
	case c.AddHost != nil: // another may have been at its address
		for id := range f.seqs {
			if _, there := f.state.Hosts[id]; !there && id != c.AddHost.ID {
				delete(f.seqs, id)
			}
		}
	case !f.leads:
	case c.RevokePrimary != nil:
		f.hoist.ChangeApplied(c.RevokePrimary.Service)
	case c.MarkMissing != "":
		f.hoist.ChangesApplied()
	case c.ReplicationResumed != "":
		f.hoist.ChangeApplied(c.ReplicationResumed)
	case c.NominatePrimary != nil:
		f.hoist.ChangeApplied(c.NominatePrimary.Service)
	case c.AppointPrimary != nil:
		f.log.Info("a service is led", "service", c.AppointPrimary.Service, "host", c.AppointPrimary.Host, "term", c.AppointPrimary.Term)
		f.hoist.ChangeApplied(c.AppointPrimary.Service)
	}
}

// propose puts a change in the log; done is told once it is delivered, or that this is not known.
func (f *Server) propose(c statemachine.Change, done func(error)) {
	now := f.clock.Now()
	c.LedTimeMs = now + f.led
	index, out := f.core.Propose(statemachine.EncodeChange(c), now)
	if index == 0 {
		done(errUnclear)
		return
	}
	f.Proposals.Add(1)
	f.waiting[index] = waiter{f.core.Term(), done}
	f.carry(out)
}

// tend has fail-over look at all services.
func (f *Server) tend() {
	now := f.clock.Now()
	if !f.leads || !f.core.HoldsLease(now) {
		return
	}
	do := f.hoist.Tick(f.state, func(index uint64) bool { return f.jaw.AllCaughtUp(index, f.state.ProxyNames(), now) }, now)
	for _, c := range do.Proposals {
		f.propose(c, func(error) {})
	}
	for _, q := range do.Queries {
		f.Questions.Add(1)
		h, known := f.state.Hosts[q.Host]
		if !known { // it has left
			f.hoist.QueryFinished(failover.QueryResult{Query: q, ConnectionRefused: true}, now)
			continue
		}
		f.reach.QueryHost(q, h)
	}
	for _, p := range do.Promotions {
		f.Promotions.Add(1)
		f.reach.Promote(p)
	}
}

// write is the goroutine that waits for the disk. What is queued meanwhile is stored with one sync.
func (f *Server) write() {
	for {
		select {
		case <-f.ctx.Done():
			return
		case writes := <-f.disk:
			for more := true; more; {
				select {
				case w := <-f.disk:
					writes = append(writes, w...)
				default:
					more = false
				}
			}
			for {
				err := f.drawer.Save(writes)
				if err == nil {
					break
				}
				f.DiskFaults.Add(1)
				f.log.Error("the disk refuses a write; it is tried again", "error", err)
				select {
				case <-f.ctx.Done():
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
			seq := writes[len(writes)-1].Seq
			f.queue.Put(eventloop.PriorityOutcomes, func() { f.Persisted(seq) })
			if err := f.drawer.Compact(2 << 20); err != nil {
				f.log.Error("the file can't be made small", "error", err)
			}
		}
	}
}

// attend waits for signals.
func (f *Server) attend(signals, reload <-chan os.Signal) {
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-reload:
			f.queue.Put(eventloop.PriorityLists, f.reread)
		case <-signals:
			f.queue.Put(eventloop.PriorityLists, f.BeginShutdown)
			for over := make(chan bool, 1); ; {
				time.Sleep(30 * time.Millisecond)
				if !f.queue.Put(eventloop.PriorityLists, func() { over <- f.ShutdownComplete() }) || <-over {
					time.Sleep(100 * time.Millisecond)
					return
				}
			}
		}
	}
}

// BeginShutdown has this member hand on its seat and its view. It may stop once it is Ended; until then it serves on.
func (f *Server) BeginShutdown() {
	grace := int64(f.plate.Bounds.GraceS * 1000)
	if grace == 0 {
		grace = 6000
	}
	f.ending, f.endBy = true, f.clock.Now()+grace/2
	f.log.Info("is to end", "leads", f.core.IsLeader(), "members", f.core.Members())
	f.carry(f.core.Leave(f.clock.Now()))
}

// ShutdownComplete says that another has its seat, or none stands by to take it, and another leads, and what is under way is
// answered; or that too much time has gone.
func (f *Server) ShutdownComplete() bool {
	now := f.clock.Now()
	over, handed := f.core.LeaveProgress()
	switch {
	case over && now < f.endBy:
		f.endBy = now
		f.log.Info("may end", "seat_handed_on", handed, "members", f.core.Members())
	case !over && now < f.endBy:
		return false
	case !over: // no majority answers, or no learner holds all: its view at least is for another
		f.carry(f.core.TransferLeadership(now))
	}
	return !f.core.IsLeader() && len(f.passed) == 0 || now > f.endBy+1500
}

// reread takes the settings in anew. Addresses of this machine stay as they were at its start.
func (f *Server) reread() {
	p, err := settings.Read()
	if err != nil {
		f.log.Error("the settings are not taken", "error", err)
		return
	}
	f.plate.SeedPeers, f.plate.Provider, f.plate.FaultBudget = p.SeedPeers, p.Provider, p.FaultBudget
	f.log.Info("settings read again", "seeds", p.SeedPeers)
}
