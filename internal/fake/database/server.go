package database

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Server serves the hosts of one service over sockets, sends their heartbeats to the control plane, and simulates the platform
// that promotes hosts.
type Server struct {
	*Group
	// Promotions counts the promotions that the platform has carried out. The scheduler's lock protects it.
	Promotions int

	scheduler     *RealTimeScheduler
	config        ServerConfig
	platform      http.Server
	ctx           context.Context // ends sockets and calls to the control plane
	tasks         sync.WaitGroup
	addresses     map[string]string // of hosts by id
	callSeq       int64             // sequence number of the last heartbeat
	replacedHosts int               // number of hosts replaced so far
}

// ServerConfig configures a Server. All addresses are HOST:PORT.
type ServerConfig struct {
	// Service is the name of the service.
	Service string
	// Hosts holds the listen addresses of the hosts, which are named h0, h1 and so on in this order.
	Hosts []string
	// Platform is the listen address of the platform, which accepts POST /promotion.
	Platform string
	// ControlPlane holds the addresses of the control-plane members in the order in which heartbeats try them.
	ControlPlane []string
}

// Serve starts the hosts and the platform, which run until ctx ends. It returns an error if listening fails.
func Serve(ctx context.Context, scheduler *RealTimeScheduler, config ServerConfig) (*Server, error) {
	s := &Server{scheduler: scheduler, config: config, ctx: ctx, addresses: map[string]string{}}
	scheduler.Lock()
	defer scheduler.Unlock()
	s.Group = &Group{Scheduler: scheduler, Logf: func(string, ...any) {}, OnHeartbeat: s.postHeartbeat}
	for _, address := range config.Hosts {
		if err := s.Join(address); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", config.Platform)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	s.platform.Handler = http.HandlerFunc(s.handlePromotion)
	context.AfterFunc(ctx, func() { s.platform.Close() })
	s.tasks.Go(func() {
		_ = s.platform.Serve(listener) // always an error, here that of Close
	})
	return s, nil
}

// Wait waits until the server's goroutines have returned. The context must have ended.
func (s *Server) Wait() { s.tasks.Wait() }

func (s *Server) accept(listener net.Listener, host *Host) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		stop := context.AfterFunc(s.ctx, func() { socket.Close() })
		s.tasks.Go(func() {
			defer stop()
			defer socket.Close()
			s.serve(socket, host)
		})
	}
}
