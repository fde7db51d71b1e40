// Package service is a running router, alone or as a forwarder: its parts, their
// lifetimes, and its signals.
package service

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"math"
	"math/big"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/router/catalog"
	"ferrypitch/internal/router/clock"
	"ferrypitch/internal/router/routing"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/forward"
	"ferrypitch/internal/router/trace/file"
	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/router/transport"
)

// program is what a running router is made of.
type program struct {
	start   *setup.Start
	limits  *setup.Limits
	log     *zap.Logger
	room    *transport.Room
	hosts   *transport.Hosts
	router  *routing.Router
	clients *transport.Clients
	watch   *transport.Watch // nil for a forwarder
	forward *forward.Forward // nil for any other
	trace   *file.Writer     // nil while nothing is captured
	peers   *transport.Peers // nil where routers don't talk

	reloads, refused int // of the configuration, only attend's
}

// Run lives from the first socket to the last. With a forwarder's section it lives by the views of planners, with a
// trace's it captures.
func Run(o *setup.Operator, signals, reload <-chan os.Signal, log *zap.Logger) (err error) {
	start, section := o.Start, o.Forward
	p := program{start: start, limits: &start.Limits, log: log, room: transport.NewRoom(&start.Limits)}
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
		tell = p.peers.Broadcast
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	tasks, ctx := errgroup.WithContext(ctx)
	p.hosts = transport.NewHosts(ctx, p.limits, p.room)
	var recorder *record.Recorder
	if o.Trace != nil {
		if p.trace, err = Capture(start, o.Trace, log); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		recorder = record.New(p.trace, o.Trace.Block, o.Trace.Part, o.Trace.Key, o.Trace.Detail)
	}
	if p.router, err = routing.New(start, p.hosts, tell, recorder, log); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	p.clients = transport.NewClients(p.limits, p.room, p.router)
	if section == nil {
		p.watch = transport.NewWatch(p.limits, p.room, start.Discovery, p.router.Version, p.router.HandleListLine, func(err error) {
			log.Warn("the watch of the list ended", zap.Error(err))
		})
		if start.Deployment.AskWithin > 0 {
			p.watch.OnRequest(p.router.ListRequestFailed)
			p.router.SetListRequester(p.watch.Request)
		}
	}
	tasks.Go(func() error { return p.router.Run(ctx) })
	if section != nil {
		if p.forward, err = forwarder(start, section, p.router, log); err != nil {
			end()
			return errors.Join(err, tasks.Wait())
		}
		tasks.Go(func() error { return p.forward.Run(ctx) })
	} else {
		tasks.Go(func() error { return p.watch.Run(ctx) })
	}
	tasks.Go(func() error { return p.clients.Serve(ctx, listener) })
	if p.peers != nil {
		tasks.Go(func() error { return p.peers.Receive(ctx, p.router.HandlePeerMessage) })
		tasks.Go(func() error { return p.peers.Send(ctx) })
	}
	log.Info("started", zap.Stringer("listen", listener.Addr()), zap.Int("clients", p.limits.Clients),
		zap.Int("hosts", p.limits.Hosts))
	written := make(chan error, 1)
	last, finish := context.WithCancel(context.Background()) // capture outlives what it captures
	defer finish()
	if p.trace != nil {
		go func() { written <- p.trace.Run(last) }()
	}
	p.attend(ctx, signals, reload)
	end()
	err = tasks.Wait()
	p.hosts.Wait()
	if finish(); p.trace != nil {
		err = errors.Join(err, <-written)
	}
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
			if p.watch != nil { // a forwarder has no discovery to follow elsewhere
				p.reload()
			}
		case <-arrived:
			p.clients.StopAccepting()
		case <-drain:
			if drain = time.After(p.limits.Again); p.clients.Drain() == 0 {
				return
			}
		case <-stop:
			p.router.FailPending()
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
	p.router.Reloaded(err == nil)
	if err != nil {
		p.refused++
		p.log.Warn("the configuration stays as it was", zap.Error(err))
		return
	}
	p.reloads++
	p.log.Info("configuration read again", zap.String("discovery", next.Discovery),
		zap.Strings("from the next start only", kept))
	p.watch.SetAddress(next.Discovery)
	p.start = next
}

func (p *program) counts() []zap.Field {
	fields := append(p.router.LogFields(),
		zap.Int64("clients_accepted", p.clients.Accepted.Load()), zap.Int("clients_open", p.clients.OpenConns()),
		zap.Int64("clients_made_way", p.clients.Evicted.Load()), zap.Int64("clients_torn", p.clients.Malformed.Load()),
		zap.Int64("clients_slow", p.clients.TimedOut.Load()), zap.Int64("clients_wild", p.clients.RejectedOnly.Load()),
		zap.Int64("clients_no_room", p.clients.OutOfBuffers.Load()), zap.Int64("clients_left", p.clients.Disconnected.Load()),
		zap.Int64("commands_shed", p.clients.Shed.Load()), zap.Int64("messages_foreign", p.clients.Unsupported.Load()),
		zap.Int64("hosts_opened", p.hosts.Opened.Load()), zap.Int64("hosts_reused", p.hosts.Reused.Load()),
		zap.Int64("hosts_not_up", p.hosts.StartupFailed.Load()), zap.Int64("hosts_no_descriptor", p.hosts.NoDescriptor.Load()),
		zap.Int("host_connections", p.hosts.OpenConns()), zap.Int64("answers_spoilt", p.hosts.InvalidAnswers.Load()),
		zap.Int64("answers_stray", p.hosts.UnsolicitedData.Load()), zap.Int64("buffers", p.room.Used()),
		zap.Int("reloads", p.reloads), zap.Int("reloads_refused", p.refused))
	if p.watch != nil {
		fields = append(fields, zap.Int64("watches", p.watch.Started.Load()), zap.Int64("list_lines", p.watch.Lines.Load()))
	}
	if p.trace != nil {
		fields = append(fields, p.trace.Fields()...)
	}
	if p.forward != nil {
		fields = append(fields, p.forward.Fields()...)
	}
	if p.peers != nil {
		fields = append(fields, zap.Int64("datagrams_sent", p.peers.Sent.Load()),
			zap.Int64("datagrams_heard", p.peers.Received.Load()), zap.Int64("datagrams_dropped", p.peers.Dropped.Load()),
			zap.Int64("datagram_bursts", p.peers.Batches.Load()))
	}
	return fields
}

// forwarder is a router's link to its planners; the list that it was given is the first view.
func forwarder(start *setup.Start, section *setup.Forward, router *routing.Router, log *zap.Logger) (*forward.Forward, error) {
	f := forward.New(section, start.Name, Life(), start.Deployment.Routers, router, log)
	if start.Given.Has("targets") {
		rev, whole, hosts, err := catalog.Read(start.Given)
		if err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		f.Known(rev, whole, hosts)
	}
	f.Kept()
	return f, nil
}

// Capture makes what writes traces; nothing is written before its Run.
func Capture(start *setup.Start, section *setup.Trace, log *zap.Logger) (*file.Writer, error) {
	deployment, err := record.Deployment(start.Deployment)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(start.Deployment.Groups))
	for name, g := range start.Terms.Groups {
		if i := slices.Index(start.Deployment.Groups, g); i >= 0 {
			names[i] = name
		}
	}
	groups, err := record.Groups(names)
	if err != nil {
		return nil, err
	}
	header := format.Header{Router: start.Name, Life: Life(), Began: time.Now().UnixNano() / int64(clock.Tenth), Build: build(),
		Part: section.Part, Schema: record.Schema, More: map[string][]byte{"deployment": deployment, "groups": groups}}
	return file.New(file.Terms{Dir: section.Dir, Name: start.Name, Size: section.Size, Age: section.Age, Budget: section.Budget,
		Flush: section.Flush, Blocks: section.Blocks}, file.Disk{}, header, time.Now, log), nil
}

// build is the revision that the program was built from, as far as it knows.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

// Life is a number that no other process has.
func Life() uint64 {
	n, err := rand.Int(rand.Reader, new(big.Int).SetUint64(math.MaxUint64))
	if err != nil {
		panic(err) // the system's source never fails
	}
	return n.Uint64() | 1
}
