package proxy

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/config"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/gossip"
	"ferrypitch/internal/lease"
	"ferrypitch/internal/proxy/connlimit"
	"ferrypitch/internal/proxy/position"
	"ferrypitch/internal/proxy/session"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/policy"
)

const (
	connectFor = 1500 * time.Millisecond
	idleFor    = 45 * time.Second
	pulse      = 50 * time.Millisecond
	aside      = 500 * time.Millisecond // a router that is out of touch for so long lets its sessions go
	quietFor   = 150 * time.Millisecond // a primary that owes answers and gives none for so long is suspect
)

type timer = *eventloop.Timer[func()]

// Server is one router.
type Server struct {
	plate *settings.Settings
	log   hclog.Logger
	clock eventloop.SteadyClock
	queue *eventloop.Queue
	ctx   context.Context
	tasks sync.WaitGroup
	life  uint64

	module     *policy.Router
	now        policy.Tenth
	wakeAt     time.Time
	due        eventloop.Timers[func()]
	later      []func() // what the module asked for, once it has returned
	state      *statemachine.State
	screw      lease.Holder
	routers    int
	hosts      map[string]*host
	nodes      map[*policy.Node]*host
	services   map[string]*service
	routes     map[string]*route
	calls      map[string]*call
	sessions   map[*clientSession]struct{}
	early      []early // sessions that came before this router was in touch
	serial     uint64
	plan       *config.Config
	leaving    bool // SIGTERM has come
	past       bool // the platform knows: sessions end as soon as they rest
	trimAt     time.Time
	touchedAt  time.Time // when this router was last in touch
	astray     bool      // the state here is not the one that the log builds; a snapshot is asked for
	handedBack bool      // a lead was, since it was last told how far the log was applied

	link           *link
	feeler         *gossip.Membership // nil: other routers are not looked for
	feelAt         int64
	datagrams      net.PacketConn
	dial           func(n *host, asked policy.Tenth, lead uint64) // ends in host.opened
	say            func(*rpc.Frame)                               // to the member that leads, if there is one
	ready          atomic.Bool
	listenerClosed chan struct{}

	Counters
}

// Counters are of what a router did.
type Counters struct {
	Accepted, Torn, NoDB, Taken, Dispatched, Refused, Throttled, Failed, Gone                             atomic.Int64
	Opened, Broken, ConnsRefused, Setups, SetupFaults, Stray, Lapsed, TakenBack, Overdue, Held, Floorless atomic.Int64
	Suspects, Renewals, Leases, Links, Versions, Gaps, Diverged                                           atomic.Int64
	Outcomes                                                                                              [policy.Missed + 1]atomic.Int64
	Told                                                                                                  [errcode.KindCount]atomic.Int64 // answers of its own
}

// service is a set of hosts with one primary.
type service struct {
	name  string
	set   int64
	gauge position.Tracker
	lead  statemachine.Primary
	conns int  // the most at each host, of all routers
	used  bool // a session has asked for it
}

// route is one of the configuration in force.
type route struct {
	config.Route
	service            *service
	deadline           time.Duration
	bound              policy.Tenth // 0: a read must see all
	owned              bool
	read, fresh, write *policy.CmdGroup
}

// asLead gives the lead under which a host may be treated as the primary at this moment; 0: it may not.
func (s *service) asLead(n *host, h *Server) uint64 {
	if s.lead.Host != n.ID || s.lead.Revoked || !h.screw.Valid(h.clock.Now()) {
		return 0
	}
	return s.lead.ChangedAt
}

// same says that a lead has not been taken back.
func (s *service) same(lead uint64) bool { return s.lead.ChangedAt == lead && !s.lead.Revoked }

// holds says that a lead may be acted on at this moment.
func (s *service) holds(lead uint64, h *Server) bool {
	return s.same(lead) && h.screw.Valid(h.clock.Now())
}

// inTouch says that the configuration held is known to be in force.
func (h *Server) inTouch() bool { return h.plan != nil && h.screw.Valid(h.clock.Now()) }

// share is this router's of a host's connections.
func (h *Server) share(n *host) connlimit.Share {
	routers := h.routers
	if h.feeler != nil {
		routers = max(routers, len(h.feeler.AliveNames()))
	}
	share := connlimit.ShareOf(n.service.conns, routers)
	if h.clock.Since().Milliseconds() < connlimit.WarmUpMs {
		share = share.Halved()
	}
	return share
}

// Run lives until a signal to stop.
func Run(plate *settings.Settings, signals, reload <-chan os.Signal, log hclog.Logger) error {
	if plate.Listen.Front == "" {
		return trace.BadParameter("Listen.Front: missing; this program serves clients")
	}
	if plate.Listen.Readiness == "" {
		return trace.BadParameter("Listen.Readiness: missing; the platform asks there")
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	h := newHeadstock(plate, log, eventloop.NewSteadyClock(time.Now), rand.Uint64())
	h.ctx = ctx
	h.link = &link{h: h, out: make(chan *rpc.Frame, 256)}
	h.dial, h.say = h.dialer, h.link.say
	var err error
	if h.datagrams, err = net.ListenPacket("udp4", plate.PeerAddress(plate.Ip)); err != nil {
		return trace.Wrap(err, "PortRange")
	}
	h.feeler = gossip.New(plate.Node, plate.PeerAddress(plate.Ip), uint64(time.Now().UnixNano()), gossip.DefaultConfig(), rand.IntN, h.clock.Now())
	lc := net.ListenConfig{KeepAlive: 15 * time.Second}
	front, err := lc.Listen(ctx, "tcp", plate.Listen.Front)
	if err != nil {
		return trace.Wrap(err, "Listen.Front")
	}
	readiness, err := net.Listen("tcp", plate.Listen.Readiness)
	if err != nil {
		return trace.Wrap(err, "Listen.Readiness")
	}
	probe := &http.Server{Handler: http.HandlerFunc(h.readiness), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 20 * time.Second,
		MaxHeaderBytes: 8 << 10}
	context.AfterFunc(ctx, func() { probe.Close(); front.Close(); h.datagrams.Close() })
	h.tasks.Go(func() { probe.Serve(readiness) })
	h.tasks.Go(func() { h.accept(front) })
	h.tasks.Go(h.link.run)
	h.tasks.Go(func() { h.feel(h.datagrams) })
	owner := make(chan struct{})
	go func() { h.own(); close(owner) }()
	log.Info("started", "node", plate.Node, "front", plate.Listen.Front)
	h.attend(signals, reload, front)
	end()
	<-owner
	for s := range h.sessions {
		s.out.close()
	}
	for _, n := range h.hosts {
		for k := range n.all {
			k.out.close()
		}
	}
	done := make(chan struct{})
	go func() { h.tasks.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(300 * time.Millisecond):
	}
	log.Info("ended", "taken", h.Taken.Load(), "refused", h.Refused.Load(), "failed", h.Failed.Load(), "opened", h.Opened.Load())
	return nil
}

// newHeadstock readies a router without its sockets.
func newHeadstock(plate *settings.Settings, log hclog.Logger, clock eventloop.SteadyClock, seed uint64) *Server {
	h := &Server{plate: plate, log: log, clock: clock, queue: eventloop.NewQueue(2048), life: seed | 1,
		state: &statemachine.State{}, routers: 12, hosts: map[string]*host{}, nodes: map[*policy.Node]*host{}, services: map[string]*service{},
		routes: map[string]*route{}, calls: map[string]*call{}, sessions: map[*clientSession]struct{}{}, listenerClosed: make(chan struct{})}
	h.module = policy.New(h, policy.Deployment{Seed: uint32(seed), Tick: 50, Routers: 1, Zone: plate.Zone, Dispatches: 3, Guarded: true,
		Kept: true, Probes: true, Led: true, Streams: 1, IdleFor: policy.Tenth(idleFor / (100 * time.Microsecond)),
		ConnectFor: policy.Tenth(connectFor / (100 * time.Microsecond)), Comeback: 2000, FallFactor: 1e6, ColdFrom: 1, ProbePrice: 0.01}, h.moment())
	return h
}

// readiness answers the platform.
func (h *Server) readiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/readiness" {
		if !h.answerCall(w, r) {
			http.NotFound(w, r)
		}
		return
	}
	if !h.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// moment tells the module the time.
func (h *Server) moment() policy.Tenth {
	h.now = policy.Tenth(eventloop.ClockOrigin)*10 + policy.Tenth(h.clock.Since()/(100*time.Microsecond))
	if h.module != nil {
		h.module.Clock(h.now)
	}
	return h.now
}

// own is the goroutine that owns all state.
func (h *Server) own() {
	defer h.queue.Close()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.queue.Ready:
		case <-t.C:
		}
		for h.step() {
		}
		t.Reset(max(0, time.Until(h.dueAt())))
	}
}

// dueAt is when something is due.
func (h *Server) dueAt() time.Time {
	next := h.clock.Time().Add(pulse)
	if first := h.due.First(); first != nil && first.Deadline.Before(next) {
		next = first.Deadline
	}
	if !h.wakeAt.IsZero() && h.wakeAt.Before(next) {
		next = h.wakeAt
	}
	return next
}

// step does what comes first of all that is due.
func (h *Server) step() bool {
	defer h.after()
	for r := eventloop.PriorityLists; r <= eventloop.PriorityOutcomes; r++ {
		if do := h.queue.Take(r); do != nil {
			do()
			return true
		}
	}
	now := h.clock.Time()
	if first := h.due.First(); first != nil && !now.Before(first.Deadline) {
		h.due.Remove(first)
		first.Value()
		return true
	}
	if !h.wakeAt.IsZero() && !now.Before(h.wakeAt) {
		h.wakeAt = time.Time{}
		h.moment()
		if h.module.Woke(); h.wakeAt.IsZero() {
			h.Wake(50)
		}
		return true
	}
	if now.After(h.trimAt) {
		h.trimAt = now.Add(pulse)
		h.rounds(now)
	}
	if do := h.queue.Take(eventloop.PriorityCommands); do != nil {
		do()
		return true
	}
	return false
}

// after does what the module asked for in the call that has ended.
func (h *Server) after() {
	for len(h.later) > 0 {
		do := h.later[0]
		h.later = h.later[1:]
		do()
	}
	h.later = nil
}

// rounds are what is looked at now and then.
func (h *Server) rounds(now time.Time) {
	ready := h.inTouch() && !h.leaving && len(h.hosts) > 0
	if ready != h.ready.Load() {
		h.ready.Store(ready)
		h.log.Info("ready", "is", ready)
	}
	h.greetEarly(now)
	h.meet(nil)
	h.moment()
	for _, id := range slices.Sorted(maps.Keys(h.hosts)) {
		h.hosts[id].trim(now)
		h.hosts[id].listen(now)
		h.hosts[id].miss(h.now)
		if n := h.hosts[id]; n.standing == policy.In && n.drained(now) {
			h.settleHosts()
		}
	}
	if h.inTouch() {
		h.touchedAt = now
	} else if now.Sub(h.touchedAt) > aside { // others may be in touch: clients are let go there
		for _, s := range h.all() {
			if s.call == nil && s.IdleState() == 'I' {
				h.end(s)
			}
		}
	}
	if h.plan == nil || h.plan.Limits.TxnIdleMs <= 0 {
		return
	}
	rest := settings.Duration(h.plan.Limits.TxnIdleMs)
	for _, s := range h.all() {
		if s.IdleState() != 'I' && s.call == nil && s.pin != nil && now.Sub(s.restAt) > rest {
			k := s.pin
			s.pin = nil
			s.ConnectionLost()
			h.roll(k)
		}
	}
}

// all are the sessions, the oldest first.
func (h *Server) all() []*clientSession {
	return slices.SortedFunc(maps.Keys(h.sessions), func(a, b *clientSession) int { return cmp.Compare(a.serial, b.serial) })
}

// giveUp answers all that is out, as this router ends: what had not gone out has not run.
func (h *Server) giveUp() {
	for _, s := range h.all() {
		c := s.call
		if c == nil {
			continue
		}
		kind := errcode.WriteNotSent
		switch {
		case c.step.Action == session.UsePinnedConn && c.step.Commit && c.sent && s.MayHaveWritten, c.name != "" && (c.sent || c.maybe) && c.step.Writes && !c.step.Begins:
			kind = errcode.InDoubt
		case c.step.Action == session.UsePinnedConn:
			kind = errcode.RolledBack
		}
		if s.IdleState() != 'I' {
			s.ConnectionLost()
		}
		s.ending, s.parted = true, true
		h.reply(c, h.tell(kind, 0))
	}
}

// Probe has the module learn whether a host is there, and where it stands: a connection is opened, or one is there.
func (h *Server) Probe(n *policy.Node) {
	k := h.nodes[n]
	if k.probing = true; h.share(k).Scarce() && !k.service.used {
		return // all routers at once would take more than there are: it is opened with the first that needs the service
	}
	if k.opening == 0 {
		k.open()
	}
}

// Close closes a host's idle connections.
func (h *Server) Close(n *policy.Node) {
	for _, k := range slices.Clone(h.nodes[n].idle) {
		h.close(k)
	}
}

// Forget drops a host that left.
func (h *Server) Forget(n *policy.Node) {
	if k := h.nodes[n]; k != nil {
		k.retire()
		delete(h.nodes, n)
		if h.hosts[k.ID] == k {
			delete(h.hosts, k.ID)
		}
	}
}

// Watch and Tell are of the deployments that have a list on request and routers that tell each other.
func (h *Server) Watch()      {}
func (h *Server) Tell(string) {}

// Wake has the module called.
func (h *Server) Wake(after policy.Tenth) {
	if at := h.clock.Time().Add(time.Duration(after) * 100 * time.Microsecond); h.wakeAt.IsZero() || at.Before(h.wakeAt) {
		h.wakeAt = at
	}
}

// attend waits for signals. After the one to stop, the platform is told that this router is not ready, and sends
// clients for two more looks; what they bring is served; transactions have half of the grace in which to end.
func (h *Server) attend(signals, reload <-chan os.Signal, front net.Listener) {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-reload:
			p, err := settings.Read()
			if err != nil {
				h.log.Error("the settings are not taken", "error", err)
				continue
			}
			h.queue.Put(eventloop.PriorityLists, func() { h.plate.SeedPeers, h.plate.Bounds = p.SeedPeers, p.Bounds })
			h.log.Info("settings read again", "seeds", p.SeedPeers)
		case <-signals:
			h.log.Info("ends")
			grace := settings.Duration(h.plate.Bounds.GraceS * 1000)
			began := time.Now()
			h.queue.Put(eventloop.PriorityLists, func() { h.leaving = true; h.rounds(h.clock.Time()) })
			for {
				time.Sleep(100 * time.Millisecond)
				left := make(chan int, 1)
				h.queue.Put(eventloop.PriorityLists, func() {
					if time.Since(began) > min(2500*time.Millisecond, grace/2) {
						h.past = true
						for s := range h.sessions {
							if s.call == nil && s.IdleState() == 'I' {
								h.end(s)
							}
						}
					}
					left <- len(h.sessions)
				})
				n := <-left
				if spent := time.Since(began); spent > grace*3/4 || n == 0 && spent > min(2500*time.Millisecond, grace/2) {
					done := make(chan struct{})
					h.queue.Put(eventloop.PriorityLists, func() { h.giveUp(); close(done) })
					<-done
					return
				}
			}
		}
	}
}
