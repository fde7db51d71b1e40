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
	settings *settings.Settings
	log      hclog.Logger
	clock    eventloop.SteadyClock
	queue    *eventloop.Queue
	ctx      context.Context
	tasks    *errgroup.Group

	id               consensus.ID
	environment      Environment
	consensus        *consensus.Node
	wal              *storage.WAL
	diskWrites       chan []consensus.Write
	state            *statemachine.State
	grantor          *lease.Grantor
	coordinator      *failover.Coordinator
	leading          bool // this member has begun to act as the one that leads
	mesh             *rpc.Mesh
	proxies          map[*ProxyConn]struct{}
	proxiesAccepted  uint64                     // routers, in this life
	pendingProposals map[uint64]pendingProposal // proposals, by index
	forwarder
	lastCallSeq     map[string]int64 // the newest call of each host
	ending          bool
	diverged        bool                  // the state here is not the one that the log builds; it is restored from the leader's
	leaveDeadlineMs int64                 // the latest that its seat is waited for to be handed on
	loggedMembers   []consensus.ID        // the members as last logged
	committed       []consensus.Committed // not applied yet

	applying bool

	ledTimeOffsetMs int64 // what makes this member's clock led time (rack.Change), while it leads
	pendingUpdates  pendingUpdates

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
	Calls, CallsRejected, Heartbeats, CallsForwarded, Proposals, LeasesGranted, LeasesRejected, LeasesPostponed, HostQueries, Promotions, TermsLed, DiskErrors, StateDivergences atomic.Int64

	Discarded [discardReasonCount]atomic.Int64 // what was ignored or refused, by why
}

// counters are by name, with those of fail-over while this member leads.
func (f *Server) counters() map[string]int64 {
	all := map[string]int64{"calls": f.Calls.Load(), "refusals": f.CallsRejected.Load(), "beats": f.Heartbeats.Load(), "passed_on": f.CallsForwarded.Load(),
		"proposals": f.Proposals.Load(), "leases": f.LeasesGranted.Load(), "leases_refused": f.LeasesRejected.Load(), "leases_held_back": f.LeasesPostponed.Load(),
		"questions":  f.HostQueries.Load(),
		"promotions": f.Promotions.Load(), "views_led": f.TermsLed.Load(), "disk_faults": f.DiskErrors.Load(),
		"state_diverged": f.StateDivergences.Load(), "snapshots_begun": f.consensus.SnapshotTransfers, "snapshots_installed": f.consensus.SnapshotsInstalled,
		"snapshot_parts_sent": f.consensus.ChunksSent, "snapshot_parts_ignored": f.consensus.ChunksIgnored, "log_messages_stray": f.consensus.DiscardedMessages,
		"link_bytes_sent": rpc.BytesSent.Load(), "link_bytes_received": rpc.BytesReceived.Load()}
	for why, name := range discardCounterNames {
		all[name] = f.Discarded[why].Load()
	}
	if f.mesh != nil {
		all["frames_dropped"] = f.mesh.Dropped.Load()
	}
	if f.leading {
		c := f.coordinator.Counters
		all["primaries_suspected"], all["primaries_cleared"], all["leads_lost"] = c.Suspected, c.Cleared, c.Lost
		all["leads_handed_over"], all["hosts_promoted"], all["rounds_waited"] = c.Planned, c.Promoted, c.Waiting
		all["replicas_resumed"], all["replicas_gone"] = c.Resumed, c.Missing
	}
	return all
}

type pendingProposal struct {
	view uint64
	done func(error)
}

var errOutcomeUnknown = errors.New("the view changed; whether it was taken is not known here")

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
	d, id, kept, err := openDataDir(plate)
	if err != nil {
		return err
	}
	defer d.Close()
	f, err := New(plate, log, eventloop.NewSteadyClock(time.Now), id, kept, rand.Float64, rand.Uint64())
	if err != nil {
		return err
	}
	f.ctx, f.tasks, f.wal, f.diskWrites = ctx, tasks, d, make(chan []consensus.Write, 1024)
	f.mesh = rpc.NewMesh(ctx, plate.Ip)
	tongs := newHostClient(f)
	f.SetEnvironment(Environment{
		Send:      func(ip string, frame *rpc.Frame) { f.mesh.Send(plate.PeerAddress(ip), frame) },
		QueryHost: tongs.query,
		Promote:   f.promote,
		Persist:   func(w []consensus.Write) { f.diskWrites <- w },
	})
	wait, err := rpc.Listen(ctx, plate.PeerAddress(plate.Ip), f.serveConn)
	if err != nil {
		return trace.Wrap(err, "PortRange")
	}
	listener, err := net.Listen("tcp", plate.Listen.Control)
	if err != nil {
		return trace.Wrap(err, "Listen.Control")
	}
	tasks.Go(func() error { f.persistLoop(); return nil })
	tasks.Go(func() error { return f.serveAPI(listener) })
	tasks.Go(func() error { return f.runEventLoop() })
	log.Info("started", "member", f.id, "members", f.consensus.Members(), "index", f.consensus.LastIndex(), "view", f.consensus.Term())
	f.handleSignals(signals, reload)
	end()
	err = tasks.Wait()
	wait()
	f.mesh.Wait()
	log.Info("ended", "calls", f.Calls.Load(), "beats", f.Heartbeats.Load(), "proposals", f.Proposals.Load())
	return err
}

// openDataDir opens the disk, and says who this member is and what it held.
func openDataDir(p *settings.Settings) (*storage.WAL, storage.Identity, consensus.RestoredState, error) {
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
	f := &Server{settings: plate, log: log, clock: clock, queue: eventloop.NewQueue(512), proxies: map[*ProxyConn]struct{}{},
		pendingProposals: map[uint64]pendingProposal{}, forwarder: newForwarder(life), lastCallSeq: map[string]int64{}, id: id.ID}
	f.consensus = consensus.New(id.ID, consensus.DefaultConfig(plate.FaultBudget.Machines), kept, id.Founders, chance, clock.Now())
	var err error
	f.state, err = statemachine.Restore(kept.Snapshot.Data)
	return f, err
}

// SetEnvironment gives a member its reach.
func (f *Server) SetEnvironment(r Environment) { f.environment = r }

// Tick is to be called every 50 ms, and thrice as often while it says that fail-over has something to do.
func (f *Server) Tick() (busy bool) {
	now := f.clock.Now()
	f.carryOut(f.consensus.Tick(now))
	f.runFailover()
	f.expireForwarded(now)
	return f.leading && f.coordinator.Active(f.state)
}

// Persisted tells that writes up to one are on disk.
func (f *Server) Persisted(seq uint64) { f.carryOut(f.consensus.Persisted(seq, f.clock.Now())) }

// runEventLoop is the goroutine that owns all state.
func (f *Server) runEventLoop() error {
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

// carryOut carries out what the log asks for.
func (f *Server) carryOut(o consensus.Ready) {
	if len(o.Writes) > 0 {
		f.environment.Persist(o.Writes)
	}
	for _, m := range o.Messages {
		m := m
		if m.To != "" {
			f.environment.Send(m.To.Address(), &rpc.Frame{Consensus: &m})
			continue
		}
		for _, ip := range f.peerAddresses() {
			f.environment.Send(ip, &rpc.Frame{Consensus: &m})
		}
	}
	f.committed = append(f.committed, o.Committed...)
	if !f.applying { // whoever is told of one change may propose another: all are applied in their order
		f.applying = true
		for len(f.committed) > 0 {
			all := f.committed
			f.committed = nil
			f.applyCommitted(all)
		}
		f.applying = false
	}
	f.updateLeadership()
}

// peerAddresses are the addresses of members and seeds, without this one's.
func (f *Server) peerAddresses() (all []string) {
	for _, m := range f.consensus.Members() {
		all = append(all, m.Address())
	}
	all = append(all, f.settings.SeedHosts()...)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(ip string) bool { return ip == f.settings.Ip })
}

func (f *Server) memberAddresses() (all []string) {
	for _, m := range f.consensus.Members() {
		all = append(all, m.Address())
	}
	return all
}

// updateLeadership begins and ends acting as the member that leads.
func (f *Server) updateLeadership() {
	now := f.clock.Now()
	switch holds := f.consensus.HoldsLease(now); {
	case holds && f.diverged:
		f.carryOut(f.consensus.TransferLeadership(now))
	case holds && !f.leading:
		f.leading = true
		f.TermsLed.Add(1)
		f.ledTimeOffsetMs = f.state.LedTimeMs - now
		f.grantor, f.coordinator = lease.NewGrantor(now), failover.New(f.settings.Node, f.consensus.Term(), f.settings.BeatMs, now)
		f.coordinator.Log = func(service, what, host string) { f.log.Info(what, "service", service, "host", host) }
		f.log.Info("leads", "view", f.consensus.Term(), "members", f.consensus.Members())
	case (!f.consensus.IsLeader() || f.diverged) && f.leading:
		f.leading = false
		f.log.Info("leads no more", "view", f.consensus.Term())
		for _, r := range f.sortedProxies() {
			r.close()
		}
		clear(f.proxies)
		waiting := f.pendingProposals
		f.pendingProposals = map[uint64]pendingProposal{}
		for _, index := range slices.Sorted(maps.Keys(waiting)) {
			waiting[index].done(errOutcomeUnknown)
		}
	}
}

func (f *Server) applyCommitted(all []consensus.Committed) {
	news := &rpc.LogUpdate{Members: f.memberAddresses()}
	for _, d := range all {
		if d.Snapshot != nil {
			s, err := statemachine.Restore(d.Snapshot.Data)
			if err != nil {
				f.log.Error("a snapshot can't be read", "error", err)
				f.fetchState()
				continue
			}
			s.Index = d.Index
			f.state, f.diverged = s, false
			news.Snapshot, news.Entries, news.LastIndex = d.Snapshot.Data, nil, d.Index
			continue
		}
		if f.diverged {
			continue
		}
		c, err := f.apply(f.state, d)
		if errors.Is(err, statemachine.ErrDiverged) {
			f.StateDivergences.Add(1)
			f.log.Error("this member's state is not what a change builds on; it is built anew", "index", d.Index)
			var built bool
			if err, built = f.rebuild(d.Index); !built {
				f.fetchState()
				continue
			}
		}
		if c != nil {
			f.changeApplied(*c)
		}
		news.Entries, news.LastIndex = append(news.Entries, d.Data), d.Index
		if w, ok := f.pendingProposals[d.Index]; ok {
			delete(f.pendingProposals, d.Index)
			if w.view != d.Term {
				err = errOutcomeUnknown
			}
			w.done(err)
		}
	}
	if f.diverged {
		return
	}
	if m := f.consensus.Members(); !slices.Equal(m, f.loggedMembers) {
		f.loggedMembers = m
		f.log.Info("the members", "members", m, "index", f.state.Index)
	}
	for _, r := range f.sortedProxies() {
		r.sendUpdate(f, news)
	}
	entries, bytes := f.consensus.SinceSnapshot()
	if base := f.consensus.LatestSnapshot(); entries > maxLogEntries || bytes > max(minLogBytes, 2*len(base.Data)) {
		f.carryOut(f.consensus.Compact(f.state.Index, f.state.Snapshot(), 200, f.clock.Now()))
	}
}

// A snapshot takes the place of the log once it has so many entries, or so many bytes and twice those of the last one.
const (
	maxLogEntries = 400
	minLogBytes   = 512 << 10
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
	base := f.consensus.LatestSnapshot()
	bodies, ok := f.consensus.CommittedAfter(base.Index)
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

// fetchState has this member lead no more, and asks for the state of the one that does.
func (f *Server) fetchState() {
	f.diverged = true
	f.carryOut(f.consensus.RequestSnapshot(f.clock.Now()))
}

// changeApplied tells fail-over and hosts' accounts of a change.
func (f *Server) changeApplied(c statemachine.Change) {
	switch {
	case c.RemoveHost != "":
		delete(f.lastCallSeq, c.RemoveHost)
		if f.leading {
			f.coordinator.ForgetHost(c.RemoveHost)
		}
	case c.AddHost != nil: // another may have been at its address
		for id := range f.lastCallSeq {
			if _, there := f.state.Hosts[id]; !there && id != c.AddHost.ID {
				delete(f.lastCallSeq, id)
			}
		}
	case !f.leading:
	case c.RevokePrimary != nil:
		f.coordinator.ChangeApplied(c.RevokePrimary.Service)
	case c.MarkMissing != "":
		f.coordinator.ChangesApplied()
	case c.ReplicationResumed != "":
		f.coordinator.ChangeApplied(c.ReplicationResumed)
	case c.NominatePrimary != nil:
		f.coordinator.ChangeApplied(c.NominatePrimary.Service)
	case c.AppointPrimary != nil:
		f.log.Info("a service is led", "service", c.AppointPrimary.Service, "host", c.AppointPrimary.Host, "term", c.AppointPrimary.Term)
		f.coordinator.ChangeApplied(c.AppointPrimary.Service)
	}
}

// propose puts a change in the log; done is told once it is delivered, or that this is not known.
func (f *Server) propose(c statemachine.Change, done func(error)) {
	now := f.clock.Now()
	c.LedTimeMs = now + f.ledTimeOffsetMs
	index, out := f.consensus.Propose(statemachine.EncodeChange(c), now)
	if index == 0 {
		done(errOutcomeUnknown)
		return
	}
	f.Proposals.Add(1)
	f.pendingProposals[index] = pendingProposal{f.consensus.Term(), done}
	f.carryOut(out)
}

// runFailover has fail-over look at all services.
func (f *Server) runFailover() {
	now := f.clock.Now()
	if !f.leading || !f.consensus.HoldsLease(now) {
		return
	}
	do := f.coordinator.Tick(f.state, func(index uint64) bool { return f.grantor.AllCaughtUp(index, f.state.ProxyNames(), now) }, now)
	for _, c := range do.Proposals {
		f.propose(c, func(error) {})
	}
	for _, q := range do.Queries {
		f.HostQueries.Add(1)
		h, known := f.state.Hosts[q.Host]
		if !known { // it has left
			f.coordinator.QueryFinished(failover.QueryResult{Query: q, ConnectionRefused: true}, now)
			continue
		}
		f.environment.QueryHost(q, h)
	}
	for _, p := range do.Promotions {
		f.Promotions.Add(1)
		f.environment.Promote(p)
	}
}

// persistLoop is the goroutine that waits for the disk. What is queued meanwhile is stored with one sync.
func (f *Server) persistLoop() {
	for {
		select {
		case <-f.ctx.Done():
			return
		case writes := <-f.diskWrites:
			for more := true; more; {
				select {
				case w := <-f.diskWrites:
					writes = append(writes, w...)
				default:
					more = false
				}
			}
			for {
				err := f.wal.Save(writes)
				if err == nil {
					break
				}
				f.DiskErrors.Add(1)
				f.log.Error("the disk refuses a write; it is tried again", "error", err)
				select {
				case <-f.ctx.Done():
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
			seq := writes[len(writes)-1].Seq
			f.queue.Put(eventloop.PriorityOutcomes, func() { f.Persisted(seq) })
			if err := f.wal.Compact(2 << 20); err != nil {
				f.log.Error("the file can't be made small", "error", err)
			}
		}
	}
}

// handleSignals waits for signals.
func (f *Server) handleSignals(signals, reload <-chan os.Signal) {
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-reload:
			f.queue.Put(eventloop.PriorityLists, f.reloadSettings)
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
	grace := int64(f.settings.Bounds.GraceS * 1000)
	if grace == 0 {
		grace = 6000
	}
	f.ending, f.leaveDeadlineMs = true, f.clock.Now()+grace/2
	f.log.Info("is to end", "leads", f.consensus.IsLeader(), "members", f.consensus.Members())
	f.carryOut(f.consensus.Leave(f.clock.Now()))
}

// ShutdownComplete says that another has its seat, or none stands by to take it, and another leads, and what is under way is
// answered; or that too much time has gone.
func (f *Server) ShutdownComplete() bool {
	now := f.clock.Now()
	over, handed := f.consensus.LeaveProgress()
	switch {
	case over && now < f.leaveDeadlineMs:
		f.leaveDeadlineMs = now
		f.log.Info("may end", "seat_handed_on", handed, "members", f.consensus.Members())
	case !over && now < f.leaveDeadlineMs:
		return false
	case !over: // no majority answers, or no learner holds all: its view at least is for another
		f.carryOut(f.consensus.TransferLeadership(now))
	}
	return !f.consensus.IsLeader() && len(f.pending) == 0 || now > f.leaveDeadlineMs+1500
}

// reloadSettings takes the settings in anew. Addresses of this machine stay as they were at its start.
func (f *Server) reloadSettings() {
	p, err := settings.Read()
	if err != nil {
		f.log.Error("the settings are not taken", "error", err)
		return
	}
	f.settings.SeedPeers, f.settings.Provider, f.settings.FaultBudget = p.SeedPeers, p.Provider, p.FaultBudget
	f.log.Info("settings read again", "seeds", p.SeedPeers)
}
