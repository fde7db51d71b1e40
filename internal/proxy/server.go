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
	connectTimeout       = 1500 * time.Millisecond
	hostConnIdleTimeout  = 45 * time.Second
	sweepInterval        = 50 * time.Millisecond
	staleConfigGrace     = 500 * time.Millisecond // a router that is out of touch for so long lets its sessions go
	silentPrimaryTimeout = 150 * time.Millisecond // a primary that owes answers and gives none for so long is suspect
)

type timer = *eventloop.Timer[func()]

// Server is one router.
type Server struct {
	settings    *settings.Settings
	log         hclog.Logger
	clock       eventloop.SteadyClock
	queue       *eventloop.Queue
	ctx         context.Context
	tasks       sync.WaitGroup
	incarnation uint64

	balancer             *policy.Router
	policyNow            policy.Tenth
	wakeAt               time.Time
	timers               eventloop.Timers[func()]
	deferred             []func() // what the module asked for, once it has returned
	state                *statemachine.State
	lease                lease.Holder
	proxyCount           int
	pools                map[string]*hostPool
	poolByNode           map[*policy.Node]*hostPool
	services             map[string]*service
	routes               map[string]*route
	statements           map[string]*statement
	sessions             map[*clientSession]struct{}
	waitingClients       []waitingClient // sessions that came before this router was in touch
	lastID               uint64
	config               *config.Config
	shuttingDown         bool // SIGTERM has come
	closeIdleSessions    bool // the platform knows: sessions end as soon as they rest
	nextSweepAt          time.Time
	leaseValidAt         time.Time // when this router was last in touch
	diverged             bool      // the state here is not the one that the log builds; a snapshot is asked for
	revocationUnreported bool      // a lead was, since it was last told how far the log was applied

	controlLink    *controlLink
	membership     *gossip.Membership // nil: other routers are not looked for
	nextGossipAt   int64
	gossipConn     net.PacketConn
	dial           func(n *hostPool, asked policy.Tenth, lead uint64) // ends in host.opened
	sendToLeader   func(*rpc.Frame)                                   // to the member that leads, if there is one
	ready          atomic.Bool
	listenerClosed chan struct{}

	Counters
}

// Counters are of what a router did.
type Counters struct {
	SessionsAccepted, MalformedInputs, UnknownDatabase, Statements, Dispatches, Rejected, Throttled, Failed, ClientDisconnects                                                            atomic.Int64
	ConnsDialed, ConnsFailed, ConnsRefused, SetupStatements, SetupErrors, UnexpectedResponses, LeaseExpiredBeforeSend, AcksAfterRevocation, ResponsesLost, StatementsQueued, FloorUnknown atomic.Int64
	SuspectReports, LeaseRequests, LeasesGranted, ControlLinks, ConfigUpdates, LogGaps, StateDiverged                                                                                     atomic.Int64
	Outcomes                                                                                                                                                                              [policy.Missed + 1]atomic.Int64
	ErrorsSent                                                                                                                                                                            [errcode.KindCount]atomic.Int64 // answers of its own
}

// service is a set of hosts with one primary.
type service struct {
	name      string
	policySet int64
	positions position.Tracker
	primary   statemachine.Primary
	maxConns  int  // the most at each host, of all routers
	used      bool // a session has asked for it
}

// route is one of the configuration in force.
type route struct {
	config.Route
	service                           *service
	deadline                          time.Duration
	stalenessBound                    policy.Tenth // 0: a read must see all
	readsOwnWrites                    bool
	readGroup, freshGroup, writeGroup *policy.CmdGroup
}

// currentEpoch gives the lead under which a host may be treated as the primary at this moment; 0: it may not.
func (s *service) currentEpoch(n *hostPool, h *Server) uint64 {
	if s.primary.Host != n.ID || s.primary.Revoked || !h.lease.Valid(h.clock.Now()) {
		return 0
	}
	return s.primary.ChangedAt
}

// inEpoch says that a lead has not been taken back.
func (s *service) inEpoch(lead uint64) bool { return s.primary.ChangedAt == lead && !s.primary.Revoked }

// mayActAsPrimary says that a lead may be acted on at this moment.
func (s *service) mayActAsPrimary(lead uint64, h *Server) bool {
	return s.inEpoch(lead) && h.lease.Valid(h.clock.Now())
}

// configCurrent says that the configuration held is known to be in force.
func (h *Server) configCurrent() bool { return h.config != nil && h.lease.Valid(h.clock.Now()) }

// connShare is this router's of a host's connections.
func (h *Server) connShare(n *hostPool) connlimit.Share {
	routers := h.proxyCount
	if h.membership != nil {
		routers = max(routers, len(h.membership.AliveNames()))
	}
	share := connlimit.ShareOf(n.service.maxConns, routers)
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
	h := newServer(plate, log, eventloop.NewSteadyClock(time.Now), rand.Uint64())
	h.ctx = ctx
	h.controlLink = &controlLink{server: h, outgoing: make(chan *rpc.Frame, 256)}
	h.dial, h.sendToLeader = h.dialHost, h.controlLink.send
	var err error
	if h.gossipConn, err = net.ListenPacket("udp4", plate.PeerAddress(plate.Ip)); err != nil {
		return trace.Wrap(err, "PortRange")
	}
	h.membership = gossip.New(plate.Node, plate.PeerAddress(plate.Ip), uint64(time.Now().UnixNano()), gossip.DefaultConfig(), rand.IntN, h.clock.Now())
	lc := net.ListenConfig{KeepAlive: 15 * time.Second}
	front, err := lc.Listen(ctx, "tcp", plate.Listen.Front)
	if err != nil {
		return trace.Wrap(err, "Listen.Front")
	}
	readiness, err := net.Listen("tcp", plate.Listen.Readiness)
	if err != nil {
		return trace.Wrap(err, "Listen.Readiness")
	}
	probe := &http.Server{
		Handler: http.HandlerFunc(h.serveReadiness), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 20 * time.Second,
		MaxHeaderBytes: 8 << 10,
	}
	context.AfterFunc(ctx, func() { probe.Close(); front.Close(); h.gossipConn.Close() })
	h.tasks.Go(func() { probe.Serve(readiness) })
	h.tasks.Go(func() { h.accept(front) })
	h.tasks.Go(h.controlLink.run)
	h.tasks.Go(func() { h.receiveGossip(h.gossipConn) })
	owner := make(chan struct{})
	go func() { h.runEventLoop(); close(owner) }()
	log.Info("started", "node", plate.Node, "front", plate.Listen.Front)
	h.handleSignals(signals, reload, front)
	end()
	<-owner
	for s := range h.sessions {
		s.out.close()
	}
	for _, n := range h.pools {
		for k := range n.conns {
			k.out.close()
		}
	}
	done := make(chan struct{})
	go func() { h.tasks.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(300 * time.Millisecond):
	}
	log.Info("ended", "taken", h.Statements.Load(), "refused", h.Rejected.Load(), "failed", h.Failed.Load(), "opened", h.ConnsDialed.Load())
	return nil
}

// newServer readies a router without its sockets.
func newServer(plate *settings.Settings, log hclog.Logger, clock eventloop.SteadyClock, seed uint64) *Server {
	h := &Server{
		settings: plate, log: log, clock: clock, queue: eventloop.NewQueue(2048), incarnation: seed | 1,
		state: &statemachine.State{}, proxyCount: 12, pools: map[string]*hostPool{}, poolByNode: map[*policy.Node]*hostPool{}, services: map[string]*service{},
		routes: map[string]*route{}, statements: map[string]*statement{}, sessions: map[*clientSession]struct{}{}, listenerClosed: make(chan struct{}),
	}
	h.balancer = policy.New(h, policy.Deployment{
		Seed: uint32(seed), Tick: 50, Routers: 1, Zone: plate.Zone, Dispatches: 3, Guarded: true,
		Kept: true, Probes: true, Led: true, Streams: 1, IdleFor: policy.Tenth(hostConnIdleTimeout / (100 * time.Microsecond)),
		ConnectFor: policy.Tenth(connectTimeout / (100 * time.Microsecond)), Comeback: 2000, FallFactor: 1e6, ColdFrom: 1, ProbePrice: 0.01,
	}, h.refreshPolicyTime())
	return h
}

// serveReadiness answers the platform.
func (h *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/readiness" {
		if !h.serveEndpoint(w, r) {
			http.NotFound(w, r)
		}
		return
	}
	if !h.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// refreshPolicyTime tells the module the time.
func (h *Server) refreshPolicyTime() policy.Tenth {
	h.policyNow = policy.Tenth(eventloop.ClockOrigin)*10 + policy.Tenth(h.clock.Since()/(100*time.Microsecond))
	if h.balancer != nil {
		h.balancer.Clock(h.policyNow)
	}
	return h.policyNow
}

// runEventLoop is the goroutine that owns all state.
func (h *Server) runEventLoop() {
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
		t.Reset(max(0, time.Until(h.nextDeadline())))
	}
}

// nextDeadline is when something is due.
func (h *Server) nextDeadline() time.Time {
	next := h.clock.Time().Add(sweepInterval)
	if first := h.timers.First(); first != nil && first.Deadline.Before(next) {
		next = first.Deadline
	}
	if !h.wakeAt.IsZero() && h.wakeAt.Before(next) {
		next = h.wakeAt
	}
	return next
}

// step does what comes first of all that is due.
func (h *Server) step() bool {
	defer h.runDeferred()
	for r := eventloop.PriorityLists; r <= eventloop.PriorityOutcomes; r++ {
		if do := h.queue.Take(r); do != nil {
			do()
			return true
		}
	}
	now := h.clock.Time()
	if first := h.timers.First(); first != nil && !now.Before(first.Deadline) {
		h.timers.Remove(first)
		first.Value()
		return true
	}
	if !h.wakeAt.IsZero() && !now.Before(h.wakeAt) {
		h.wakeAt = time.Time{}
		h.refreshPolicyTime()
		if h.balancer.Woke(); h.wakeAt.IsZero() {
			h.Wake(50)
		}
		return true
	}
	if now.After(h.nextSweepAt) {
		h.nextSweepAt = now.Add(sweepInterval)
		h.sweep(now)
	}
	if do := h.queue.Take(eventloop.PriorityCommands); do != nil {
		do()
		return true
	}
	return false
}

// runDeferred does what the module asked for in the call that has ended.
func (h *Server) runDeferred() {
	for len(h.deferred) > 0 {
		do := h.deferred[0]
		h.deferred = h.deferred[1:]
		do()
	}
	h.deferred = nil
}

// sweep are what is looked at now and then.
func (h *Server) sweep(now time.Time) {
	ready := h.configCurrent() && !h.shuttingDown && len(h.pools) > 0
	if ready != h.ready.Load() {
		h.ready.Store(ready)
		h.log.Info("ready", "is", ready)
	}
	h.greetWaitingClients(now)
	h.tickGossip(nil)
	h.refreshPolicyTime()
	for _, id := range slices.Sorted(maps.Keys(h.pools)) {
		h.pools[id].closeExcessIdle(now)
		h.pools[id].reportIfSilent(now)
		h.pools[id].endLostTransactions(h.policyNow)
		if n := h.pools[id]; n.standing == policy.In && n.drainExpired(now) {
			h.reconcileHosts()
		}
	}
	if h.configCurrent() {
		h.leaseValidAt = now
	} else if now.Sub(h.leaseValidAt) > staleConfigGrace { // others may be in touch: clients are let go there
		for _, s := range h.sessionsByAge() {
			if s.statement == nil && s.IdleState() == 'I' {
				h.endSession(s)
			}
		}
	}
	if h.config == nil || h.config.Limits.TxnIdleMs <= 0 {
		return
	}
	rest := settings.Duration(h.config.Limits.TxnIdleMs)
	for _, s := range h.sessionsByAge() {
		if s.IdleState() != 'I' && s.statement == nil && s.pinnedConn != nil && now.Sub(s.idleSince) > rest {
			k := s.pinnedConn
			s.pinnedConn = nil
			s.ConnectionLost()
			h.rollBack(k)
		}
	}
}

// sessionsByAge are the sessions, the oldest first.
func (h *Server) sessionsByAge() []*clientSession {
	return slices.SortedFunc(maps.Keys(h.sessions), func(a, b *clientSession) int { return cmp.Compare(a.id, b.id) })
}

// failPendingStatements answers all that is out, as this router ends: what had not gone out has not run.
func (h *Server) failPendingStatements() {
	for _, s := range h.sessionsByAge() {
		c := s.statement
		if c == nil {
			continue
		}
		kind := errcode.WriteNotSent
		switch {
		case c.step.Action == session.UsePinnedConn && c.step.Commit && c.sent && s.MayHaveWritten, c.commandID != "" && (c.sent || c.mayHaveRun) && c.step.Writes && !c.step.Begins:
			kind = errcode.InDoubt
		case c.step.Action == session.UsePinnedConn:
			kind = errcode.RolledBack
		}
		if s.IdleState() != 'I' {
			s.ConnectionLost()
		}
		s.ending, s.readerEnded = true, true
		h.finishStatement(c, h.errorReply(kind, 0))
	}
}

// Probe has the module learn whether a host is there, and where it stands: a connection is opened, or one is there.
func (h *Server) Probe(n *policy.Node) {
	k := h.poolByNode[n]
	if k.probePending = true; h.connShare(k).Scarce() && !k.service.used {
		return // all routers at once would take more than there are: it is opened with the first that needs the service
	}
	if k.opening == 0 {
		k.dial()
	}
}

// Close closes a host's idle connections.
func (h *Server) Close(n *policy.Node) {
	for _, k := range slices.Clone(h.poolByNode[n].idle) {
		h.closeConn(k)
	}
}

// Forget drops a host that left.
func (h *Server) Forget(n *policy.Node) {
	if k := h.poolByNode[n]; k != nil {
		k.retire()
		delete(h.poolByNode, n)
		if h.pools[k.ID] == k {
			delete(h.pools, k.ID)
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

// handleSignals waits for signals. After the one to stop, the platform is told that this router is not ready, and sends
// clients for two more looks; what they bring is served; transactions have half of the grace in which to end.
func (h *Server) handleSignals(signals, reload <-chan os.Signal, front net.Listener) {
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
			h.queue.Put(eventloop.PriorityLists, func() { h.settings.SeedPeers, h.settings.Bounds = p.SeedPeers, p.Bounds })
			h.log.Info("settings read again", "seeds", p.SeedPeers)
		case <-signals:
			h.log.Info("ends")
			grace := settings.Duration(h.settings.Bounds.GraceS * 1000)
			began := time.Now()
			h.queue.Put(eventloop.PriorityLists, func() { h.shuttingDown = true; h.sweep(h.clock.Time()) })
			for {
				time.Sleep(100 * time.Millisecond)
				left := make(chan int, 1)
				h.queue.Put(eventloop.PriorityLists, func() {
					if time.Since(began) > min(2500*time.Millisecond, grace/2) {
						h.closeIdleSessions = true
						for s := range h.sessions {
							if s.statement == nil && s.IdleState() == 'I' {
								h.endSession(s)
							}
						}
					}
					left <- len(h.sessions)
				})
				n := <-left
				if spent := time.Since(began); spent > grace*3/4 || n == 0 && spent > min(2500*time.Millisecond, grace/2) {
					done := make(chan struct{})
					h.queue.Put(eventloop.PriorityLists, func() { h.failPendingStatements(); close(done) })
					<-done
					return
				}
			}
		}
	}
}
