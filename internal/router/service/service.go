// Package service runs one router: either standalone, with its own watch of discovery, or as a forwarder, which gets the host list
// and the hosts' health from planners. It creates the router's components, owns their goroutines, and handles signals.
package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/router/catalog"
	"ferrypitch/internal/router/routing"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/plannerclient"
	"ferrypitch/internal/router/trace/file"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/router/transport"
)

// service holds the components of a running router.
type service struct {
	start   *setup.Start
	limits  *setup.Limits
	log     *zap.Logger
	budget  *transport.BufferBudget
	hosts   *transport.HostPool
	router  *routing.Router
	clients *transport.Clients
	watch   *transport.Watch      // nil for a forwarder
	forward *plannerclient.Client // nil for a standalone router
	trace   *file.Writer          // nil if no trace is captured
	peers   *transport.Peers      // nil if routers exchange no messages

	reloads, rejectedReloads int // of the configuration; used only by the goroutine of handleSignals
}

// Run runs a router until a signal stops it or a component fails. With a forwarder's section it runs as a forwarder; with a trace
// section it captures a trace. An error caused by the configuration names the key.
func Run(operator *setup.Operator, signals, reload <-chan os.Signal, log *zap.Logger) error {
	start := operator.Start
	listener, err := net.Listen("tcp", start.Listen)
	if err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	defer listener.Close()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	tasks, ctx := errgroup.WithContext(ctx)
	p, err := newService(ctx, operator, log)
	if err != nil {
		return err
	}
	tasks.Go(func() error { return p.router.Run(ctx) })
	if operator.Forward != nil {
		if p.forward, err = newForwarder(start, operator.Forward, p.router, log); err != nil {
			end()
			return errors.Join(err, tasks.Wait())
		}
	}
	p.startTasks(ctx, tasks, listener)
	log.Info("started", zap.Stringer("listen", listener.Addr()), zap.Int("clients", p.limits.MaxClientConns),
		zap.Int("hosts", p.limits.MaxHostConns))
	finishTrace := StartTrace(p.trace)
	p.handleSignals(ctx, signals, reload)
	end()
	err = tasks.Wait()
	p.hosts.Wait()
	err = errors.Join(err, finishTrace())
	log.Info("counts", p.counters()...)
	return err
}

// newService creates all components but the forwarder, which needs a running router. Connections to hosts live until ctx ends.
func newService(ctx context.Context, operator *setup.Operator, log *zap.Logger) (*service, error) {
	start := operator.Start
	limits := &start.Limits
	p := &service{start: start, limits: limits, log: log, budget: transport.NewBufferBudget(limits)}
	broadcast := func(string) {}
	var err error
	if start.Deployment.PeerUpdatesEnabled {
		if p.peers, err = transport.NewPeers(start); err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
		broadcast = p.peers.Broadcast
	}
	p.hosts = transport.NewHostPool(ctx, limits, p.budget)
	var recorder *record.Recorder
	if section := operator.Trace; section != nil {
		if p.trace, err = NewTraceWriter(start, section, log); err != nil {
			return nil, fmt.Errorf("trace: %w", err)
		}
		recorder = record.New(p.trace, section.BlockBytes, section.SamplePerMille, section.Key, section.CaptureCandidates)
	}
	if p.router, err = routing.New(start, p.hosts, broadcast, recorder, log); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	p.clients = transport.NewClients(limits, p.budget, p.router)
	if operator.Forward == nil {
		p.watch = p.newWatch()
	}
	return p, nil
}

// newWatch returns the watch of discovery's host list. If the deployment has a list timeout, the watch starts only when the router
// requests the list.
func (p *service) newWatch() *transport.Watch {
	onError := func(err error) { p.log.Warn("the watch of the list ended", zap.Error(err)) }
	watch := transport.NewWatch(p.limits, p.budget, p.start.Discovery, p.router.Version, p.router.HandleListLine, onError)
	if p.start.Deployment.ListTimeout > 0 {
		watch.OnRequest(p.router.ListRequestFailed)
		p.router.SetListRequester(watch.Request)
	}
	return watch
}

// newForwarder returns the forwarder that links a router to its planners. The initial list becomes its first view.
func newForwarder(start *setup.Start, section *setup.ForwarderSection, router *routing.Router, log *zap.Logger) (*plannerclient.Client, error) {
	f := plannerclient.New(section, start.Name, NewIncarnation(), start.Deployment.RouterCount, router, log)
	if start.InitialView.Has("targets") {
		version, complete, hosts, err := catalog.Read(start.InitialView)
		if err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		f.LoadList(version, complete, hosts)
	}
	f.RestoreView()
	return f, nil
}

// startTasks starts the goroutines of all components but the router. They end with ctx.
func (p *service) startTasks(ctx context.Context, tasks *errgroup.Group, listener net.Listener) {
	if p.forward != nil {
		tasks.Go(func() error { return p.forward.Run(ctx) })
	} else {
		tasks.Go(func() error { return p.watch.Run(ctx) })
	}
	tasks.Go(func() error { return p.clients.Serve(ctx, listener) })
	if p.peers != nil {
		tasks.Go(func() error { return p.peers.Receive(ctx, p.router.HandlePeerMessage) })
		tasks.Go(func() error { return p.peers.Send(ctx) })
	}
}
