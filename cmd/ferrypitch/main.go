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
	if err := run(start, log); err != nil {
		log.Error("ended", zap.Error(err))
		os.Exit(1)
	}
}

func run(start *setup.Start, log *zap.Logger) error {
	l := &start.Limits
	runtime.GOMAXPROCS(l.Cores)
	debug.SetMemoryLimit(l.Memory)
	listener, err := net.Listen("tcp", start.Listen)
	if err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	tasks, ctx := errgroup.WithContext(ctx)
	room := transport.NewRoom(l)
	hosts := transport.NewHosts(ctx, l, room)
	var router *routing.Router
	tell := func(string) {}
	if start.Deployment.Peers {
		peers, err := transport.NewPeers(start, func(body string) { router.Heard(body) })
		if err != nil {
			return fmt.Errorf("peer_listen: %w", err)
		}
		tell = peers.Tell
		defer func() { tasks.Wait() }()
		tasks.Go(func() error { return peers.Send(ctx) })
		defer tasks.Go(func() error { return peers.Run(ctx) })
	}
	if router, err = routing.New(start, hosts, tell, log); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	clients := transport.NewClients(l, room, router)
	watch := transport.NewWatch(l, room, start.Discovery, router.Rev, router.List, func(err error) {
		log.Warn("the watch of the list ended", zap.Error(err))
	})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	tasks.Go(func() error { return router.Run(ctx) })
	tasks.Go(func() error { return clients.Serve(ctx, listener) })
	tasks.Go(func() error { return watch.Run(ctx) })
	log.Info("started", zap.String("listen", start.Listen))
	for {
		select {
		case <-ctx.Done():
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				log.Info("counts", router.Fields()...)
				continue
			}
			log.Info("stopping", zap.String("signal", s.String()))
			time.Sleep(l.Linger)
			clients.Drain()
			for till := time.Now().Add(l.End - l.Linger); clients.Open() > 0 && time.Now().Before(till); {
				time.Sleep(10 * time.Millisecond)
			}
			end()
		}
		break
	}
	err = tasks.Wait()
	hosts.Wait()
	log.Info("counts", router.Fields()...)
	return err
}
