// Ferrypitch routes the commands of a sharded, replicated database.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/routing"
	"ferrypitch/internal/setup"
	"ferrypitch/internal/transport"
)

func main() {
	signals, reload := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Notify(reload, syscall.SIGHUP) // never the end of the program, and no other signal's place
	start, err := setup.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ferrypitch:", err)
		os.Exit(2)
	}
	log, err := zap.NewProduction()
	if err != nil {
		fmt.Fprintln(os.Stderr, "ferrypitch:", err)
		os.Exit(2)
	}
	log = log.Named(start.Name)
	if err := run(start, signals, reload, log); err != nil {
		log.Error("ended", zap.Error(err))
		os.Exit(1)
	}
}

// program is what a running router is made of.
type program struct {
	start   *setup.Start
	limits  *setup.Limits
	log     *zap.Logger
	room    *transport.Room
	hosts   *transport.Hosts
	router  *routing.Router
	clients *transport.Clients
	watch   *transport.Watch
	peers   *transport.Peers // nil where routers don't talk

	reloads, refused int // of the configuration, only attend's
}

// run lives from the first socket to the last.
func run(start *setup.Start, signals, reload <-chan os.Signal, log *zap.Logger) (err error) {
	p := program{start: start, limits: &start.Limits, log: log, room: transport.NewRoom(&start.Limits)}
	runtime.GOMAXPROCS(p.limits.Cores)
	debug.SetMemoryLimit(p.limits.Memory)
	listener, err := net.Listen("tcp", start.Listen)
	if err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	defer listener.Close()
	tell := func(string) {}
	if start.Deployment.Peers {
		if p.peers, err = transport.NewPeers(start); err != nil {
			return fmt.Errorf("peer_listen: %w", err)
		}
		tell = p.peers.Tell
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	tasks, ctx := errgroup.WithContext(ctx)
	p.hosts = transport.NewHosts(ctx, p.limits, p.room)
	if p.router, err = routing.New(start, p.hosts, tell, log); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	p.clients = transport.NewClients(p.limits, p.room, p.router)
	p.watch = transport.NewWatch(p.limits, p.room, start.Discovery, p.router.Rev, p.router.List, func(err error) {
		log.Warn("the watch of the list ended", zap.Error(err))
	})
	tasks.Go(func() error { return p.router.Run(ctx) })
	tasks.Go(func() error { return p.watch.Run(ctx) })
	tasks.Go(func() error { return p.clients.Serve(ctx, listener) })
	if p.peers != nil {
		tasks.Go(func() error { return p.peers.Receive(ctx, p.router.Heard) })
		tasks.Go(func() error { return p.peers.Send(ctx) })
	}
	log.Info("started", zap.Stringer("listen", listener.Addr()), zap.Int("clients", p.limits.Clients),
		zap.Int("hosts", p.limits.Hosts))
	p.attend(ctx, signals, reload)
	end()
	err = tasks.Wait()
	p.hosts.Wait()
	log.Info("counts", p.counts()...)
	return err
}

// attend waits for the signal to stop, and stops: connections are taken and kept for as long
// as new ones may come, then closed as they are between commands. What is still owed when the
// time is up fails.
func (p *program) attend(ctx context.Context, signals, reload <-chan os.Signal) {
	var arrived, drain, stop <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				p.log.Info("counts", p.counts()...)
			} else if stop == nil {
				p.log.Info("stopping", zap.String("signal", s.String()))
				arrived, drain, stop = time.After(p.limits.Arrive), time.After(p.limits.Linger), time.After(p.limits.End)
			}
		case <-reload:
			p.reload()
		case <-arrived:
			p.clients.Close()
		case <-drain:
			if drain = time.After(p.limits.Again); p.clients.Drain() == 0 {
				return
			}
		case <-stop:
			p.router.Stop()
			for till := time.Now().Add(p.limits.Again); p.clients.Drain() > 0 && time.Now().Before(till); {
				time.Sleep(time.Millisecond) // for the last answers to be written
			}
			return
		}
	}
}

// reload takes in what the file says now. What is wrong with it changes nothing.
func (p *program) reload() {
	next, kept, err := p.start.Again(os.Getenv)
	if err != nil {
		p.refused++
		p.log.Warn("the configuration stays as it was", zap.Error(err))
		return
	}
	p.reloads++
	p.log.Info("configuration read again", zap.String("discovery", next.Discovery),
		zap.Strings("from the next start only", kept))
	p.watch.Move(next.Discovery)
	p.start = next
}

func (p *program) counts() []zap.Field {
	fields := append(p.router.Fields(),
		zap.Int64("clients_accepted", p.clients.Accepted.Load()), zap.Int("clients_open", p.clients.Open()),
		zap.Int64("clients_made_way", p.clients.Evicted.Load()), zap.Int64("clients_torn", p.clients.Torn.Load()),
		zap.Int64("clients_slow", p.clients.Slow.Load()), zap.Int64("clients_wild", p.clients.Wild.Load()),
		zap.Int64("clients_no_room", p.clients.Cramped.Load()), zap.Int64("clients_left", p.clients.Gone.Load()),
		zap.Int64("commands_shed", p.clients.Shed.Load()), zap.Int64("messages_foreign", p.clients.Foreign.Load()),
		zap.Int64("hosts_opened", p.hosts.Opened.Load()), zap.Int64("hosts_reused", p.hosts.Reused.Load()),
		zap.Int64("hosts_not_up", p.hosts.Broken.Load()), zap.Int64("hosts_no_descriptor", p.hosts.Refused.Load()),
		zap.Int("host_connections", p.hosts.Open()), zap.Int64("answers_spoilt", p.hosts.Spoilt.Load()),
		zap.Int64("answers_stray", p.hosts.Stray.Load()), zap.Int64("buffers", p.room.Used()),
		zap.Int("reloads", p.reloads), zap.Int("reloads_refused", p.refused),
		zap.Int64("watches", p.watch.Started.Load()), zap.Int64("list_lines", p.watch.Lines.Load()))
	if p.peers != nil {
		fields = append(fields, zap.Int64("datagrams_sent", p.peers.Sent.Load()),
			zap.Int64("datagrams_heard", p.peers.Heard.Load()), zap.Int64("datagrams_dropped", p.peers.Dropped.Load()))
	}
	return fields
}
