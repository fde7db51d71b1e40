package proxy

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/metrics"
	"ferrypitch/internal/proxy/tenancy"
	"ferrypitch/internal/settings"
)

const (
	clientKeepAlive = 15 * time.Second

	// Limits on requests to the readiness server, which the platform and operators send.
	readinessHeaderTimeout  = 2 * time.Second
	readinessIdleTimeout    = 20 * time.Second
	readinessMaxHeaderBytes = 8 << 10

	// stopTimeout is how long Run waits for goroutines to return after their sockets have been closed.
	stopTimeout = 300 * time.Millisecond
)

// Run serves clients until a signal arrives on signals, and then shuts down gracefully. On a signal on reload it reloads the
// settings. If endpoint is set, it serves metrics there. An error names the setting that is missing or whose socket can't be opened.
func Run(cfg *settings.Settings, endpoint metrics.Endpoint, signals, reload <-chan os.Signal, log hclog.Logger) error {
	if cfg.Listen.Front == "" {
		return trace.BadParameter("Listen.Front: missing; the proxy accepts clients at this address")
	}
	if cfg.Listen.Readiness == "" {
		return trace.BadParameter("Listen.Readiness: missing; the platform checks readiness at this address")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var secret tenancy.Secret
	_, _ = cryptorand.Read(secret[:]) // never fails
	s := newServer(cfg, log, eventloop.NewMonotonicClock(time.Now), rand.Uint64(), secret)
	s.ctx = ctx
	link := newControlLink(s)
	s.dial, s.leader = s.dialHost, link
	if err := s.listen(); err != nil {
		return err
	}
	s.tasks.Go(link.run)
	if endpoint.IsSet() {
		s.tasks.Go(func() { metrics.Serve(ctx, cfg.Ip, endpoint, metricsNamespace, s.metricsSource, log) })
	}
	eventLoopEnded := make(chan struct{})
	go func() { s.runEventLoop(); close(eventLoopEnded) }()
	log.Info("started", "node", cfg.Node, "front", cfg.Listen.Front)
	s.handleSignals(signals, reload)
	stop()
	<-eventLoopEnded
	s.closeConns()
	s.waitForTasks()
	log.Info("stopped", "statements", s.counters.statements.Load(), "rejected", s.counters.rejected.Load(),
		"failed", s.counters.failed.Load(), "dialed", s.counters.connsDialed.Load())
	return nil
}

// listen opens the sockets and starts their readers. The sockets are closed when ctx is canceled, including those opened before an
// error.
func (s *Server) listen() (err error) {
	if s.gossipConn, err = net.ListenPacket("udp4", s.settings.PeerAddress(s.settings.Ip)); err != nil {
		return trace.Wrap(err, "PortRange")
	}
	s.closeAtStop(s.gossipConn)
	s.membership = s.newMembership()
	listenConfig := net.ListenConfig{KeepAlive: clientKeepAlive}
	clients, err := listenConfig.Listen(s.ctx, "tcp", s.settings.Listen.Front)
	if err != nil {
		return trace.Wrap(err, "Listen.Front")
	}
	s.closeAtStop(clients)
	readiness, err := net.Listen("tcp", s.settings.Listen.Readiness)
	if err != nil {
		return trace.Wrap(err, "Listen.Readiness")
	}
	httpServer := &http.Server{
		Handler:           http.HandlerFunc(s.serveReadiness),
		ReadHeaderTimeout: readinessHeaderTimeout,
		IdleTimeout:       readinessIdleTimeout,
		MaxHeaderBytes:    readinessMaxHeaderBytes,
	}
	s.closeAtStop(httpServer)
	s.tasks.Go(func() {
		if err := httpServer.Serve(readiness); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("readiness server failed", "error", err)
		}
	})
	s.tasks.Go(func() { s.accept(clients) })
	s.tasks.Go(s.receiveGossip)
	return nil
}

// closeAtStop closes a socket when ctx is canceled, which ends its reader.
func (s *Server) closeAtStop(socket io.Closer) {
	context.AfterFunc(s.ctx, func() {
		_ = socket.Close() // fails only if it is already closed
	})
}

// closeConns closes the connections of clients and to hosts. It must be called after the event loop has ended.
func (s *Server) closeConns() {
	for client := range s.sessions.open {
		client.out.close()
	}
	for _, pool := range s.pools {
		for conn := range pool.conns {
			conn.out.close()
		}
	}
}

func (s *Server) waitForTasks() {
	done := make(chan struct{})
	go func() { s.tasks.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(stopTimeout):
	}
}
