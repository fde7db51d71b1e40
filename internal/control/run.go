package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/metrics"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/statemachine"
)

const (
	tickInterval     = 50 * time.Millisecond // the maximum that Server.Tick allows
	busyTickInterval = tickInterval / 3      // while a failover is in progress

	eventQueueLength = 512

	shutdownPollInterval = 30 * time.Millisecond
	shutdownLinger       = 100 * time.Millisecond // delay before exit, in which the last responses and messages are sent
)

// process runs a Server: it owns the goroutines, the sockets and the data directory. Its goroutines pass their input for the
// Server to the event loop through the queue.
type process struct {
	ctx      context.Context
	tasks    *errgroup.Group
	settings *settings.Settings
	log      hclog.Logger
	server   *Server
	queue    *eventloop.Queue
	wal      *storage.WAL
	writes   *writeQueue // to persistLoop
	mesh     *rpc.Mesh
	hosts    *hostClient
	platform *platformClient
}

// Run runs one member until a signal arrives on signals and the member has shut down, or until it fails. A signal on reload makes
// it reload the settings. Metrics are served at the endpoint, if it is set.
func Run(settings *settings.Settings, endpoint metrics.Endpoint, signals, reload <-chan os.Signal, log hclog.Logger) error {
	if settings.Listen.Control == "" {
		return trace.BadParameter("Listen.Control: missing; this program serves the control plane")
	}
	if settings.DataDir == "" {
		return trace.BadParameter("DataDir: missing; this program keeps state on disk")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tasks, ctx := errgroup.WithContext(ctx)
	wal, identity, restored, err := openDataDir(settings)
	if err != nil {
		return err
	}
	defer func() {
		if err := wal.Close(); err != nil {
			log.Error("closing the write-ahead log failed", "error", err)
		}
	}()
	server, err := New(settings, log, eventloop.NewMonotonicClock(time.Now), identity, restored, rand.Float64, rand.Uint64())
	if err != nil {
		return err
	}
	p := &process{
		ctx:      ctx,
		tasks:    tasks,
		settings: settings,
		log:      log,
		server:   server,
		queue:    eventloop.NewQueue(eventQueueLength),
		wal:      wal,
		writes:   newWriteQueue(),
		mesh:     rpc.NewMesh(ctx, settings.Ip),
		hosts:    newHostClient(ctx, settings.Ip, server.HoldsLeaseInTerm),
		platform: &platformClient{localIP: settings.Ip, log: log, holdsLease: server.HoldsLeaseInTerm},
	}
	server.SetEnvironment(p.environment())
	waitForConns, err := p.start()
	if err != nil {
		return err
	}
	if endpoint.IsSet() {
		tasks.Go(func() error {
			metrics.Serve(ctx, settings.Ip, endpoint, metricsNamespace, p.metricsSource, log)
			return nil
		})
	}
	log.Info("started", "member", server.id, "members", server.consensus.Members(), "index", server.consensus.LastIndex(), "term", server.consensus.Term())
	p.handleSignals(signals, reload)
	cancel()
	err = tasks.Wait()
	waitForConns()
	p.mesh.Wait()
	log.Info("stopped", "calls", server.Calls.Load(), "heartbeats", server.Heartbeats.Load(), "proposals", server.Proposals.Load())
	return err
}

// start opens the sockets and starts the goroutines.
func (p *process) start() (waitForConns func(), err error) {
	waitForConns, err = rpc.Listen(p.ctx, p.settings.PeerAddress(p.settings.Ip), p.serveConn)
	if err != nil {
		return nil, trace.Wrap(err, "PortRange")
	}
	listener, err := net.Listen("tcp", p.settings.Listen.Control)
	if err != nil {
		return nil, trace.Wrap(err, "Listen.Control")
	}
	p.tasks.Go(func() error { p.persistLoop(); return nil })
	p.tasks.Go(func() error {
		return serveHTTP(p.ctx, listener, &apiHandler{ctx: p.ctx, server: p.server, queue: p.queue})
	})
	p.tasks.Go(func() error { p.runEventLoop(); return nil })
	return waitForConns, nil
}

// Founders returns the sorted initial members of a new control plane, which are those at the addresses of SeedPeers.
func Founders(settings *settings.Settings) (founders []consensus.ID) {
	for _, ip := range settings.SeedHosts() {
		founders = append(founders, consensus.ID(ip))
	}
	slices.Sort(founders)
	return founders
}

// openDataDir opens the write-ahead log and returns this member's identity and the state restored from the log. A founder of a
// new system uses its address as its ID. Any other process without data gets a random ID and starts as a learner, because votes
// and acknowledgements that it gave as a member may have been lost with its disk.
func openDataDir(settings *settings.Settings) (*storage.WAL, storage.Identity, consensus.RestoredState, error) {
	self, founders := consensus.ID(settings.Ip), Founders(settings)
	return storage.Open(settings.DataDir, func() storage.Identity {
		if settings.Bootstrap && slices.Contains(founders, self) {
			return storage.Identity{ID: self, Founders: founders}
		}
		return storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%08x", settings.Ip, rand.Uint32()))}
	})
}

// environment connects the Server to sockets and disk. Its functions run in the event loop.
func (p *process) environment() Environment {
	return Environment{
		Send:          func(ip string, frame *rpc.Frame) { p.mesh.Send(p.settings.PeerAddress(ip), frame) },
		QueryHost:     p.queryHost,
		Promote:       p.promote,
		Persist:       p.writes.put,
		DroppedFrames: p.mesh.Dropped.Load,
		RefusedFrames: p.mesh.Refused.Load,
	}
}

// queryHost sends a command to a host in a goroutine of its own. The timeout starts at the decision, so that a process that was
// suspended in the meantime does not send the command.
func (p *process) queryHost(query failover.HostQuery, host statemachine.Host) {
	deadline := time.Now().Add(hostQueryTimeout)
	p.tasks.Go(func() error {
		result := p.hosts.query(query, host, deadline)
		p.queue.Put(eventloop.PriorityOutcomes, func() { p.server.QueryFinished(result) })
		return nil
	})
}

// promote calls the platform in a goroutine of its own. The timeout starts at the decision.
func (p *process) promote(promotion failover.Promotion) {
	address := p.settings.Provider.Address
	p.log.Info("requesting promotion", "service", promotion.Service, "host", promotion.Host, "fencing_token", promotion.FencingToken)
	ctx, cancel := context.WithTimeout(p.ctx, promotionTimeout)
	p.tasks.Go(func() error {
		defer cancel()
		outcome := p.platform.requestPromotion(ctx, address, promotion)
		p.queue.Put(eventloop.PriorityOutcomes, func() { p.server.PromotionFinished(promotion, outcome) })
		return nil
	})
}

// runEventLoop is the goroutine that uses the Server: it runs the queued events and the Server's timer. The timer takes
// precedence over events, because consensus heartbeats must be sent no matter how many events are queued.
func (p *process) runEventLoop() {
	defer p.queue.Close()
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-timer.C:
			timer.Reset(p.tick())
			continue
		default:
		}
		if event := p.nextEvent(); event != nil {
			event()
			continue
		}
		select {
		case <-p.ctx.Done():
			return
		case <-p.queue.Ready:
		case <-timer.C:
			timer.Reset(p.tick())
		}
	}
}

// tick advances the Server's timers and returns the time until the next tick.
func (p *process) tick() time.Duration {
	if p.server.Tick() {
		return busyTickInterval
	}
	return tickInterval
}

// eventPriorities is the order in which the event loop processes queued events: messages from members and outcomes of I/O, then
// proxy leases, then commands, then host heartbeats, which are repeated anyway.
var eventPriorities = [...]eventloop.Priority{
	eventloop.PriorityOutcomes, eventloop.PriorityControl, eventloop.PriorityCommands, eventloop.PriorityReports,
}

// nextEvent returns the queued event with the highest priority, or nil. All priorities are checked for each event, so that a new
// event with a higher priority does not wait for a backlog of commands.
func (p *process) nextEvent() func() {
	for _, priority := range eventPriorities {
		if event := p.queue.Take(priority); event != nil {
			return event
		}
	}
	return nil
}

// handleSignals processes signals. It returns once the member has shut down or the context is canceled.
func (p *process) handleSignals(signals, reload <-chan os.Signal) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-reload:
			p.queue.Put(eventloop.PriorityControl, p.reloadSettings)
		case <-signals:
			p.shutDown()
			return
		}
	}
}

// shutDown makes the Server transfer its voting membership and leadership, and waits until it has.
func (p *process) shutDown() {
	p.queue.Put(eventloop.PriorityControl, p.server.BeginShutdown)
	for {
		time.Sleep(shutdownPollInterval)
		complete, running := eventloop.Call(p.queue, eventloop.PriorityControl, p.server.ShutdownComplete)
		if !running || complete {
			time.Sleep(shutdownLinger)
			return
		}
	}
}

// reloadSettings applies the settings that may change while the process runs. It runs in the event loop, the only goroutine that
// reads them.
func (p *process) reloadSettings() {
	reloaded, err := settings.Read()
	if err != nil {
		p.log.Error("reloading the settings failed", "error", err)
		return
	}
	p.settings.SeedPeers, p.settings.Provider, p.settings.FaultBudget = reloaded.SeedPeers, reloaded.Provider, reloaded.FaultBudget
	p.log.Info("settings reloaded", "seeds", reloaded.SeedPeers)
}
