package plannerserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/linkconn"
	"ferrypitch/internal/router/tier/planner"
	"ferrypitch/internal/router/tier/view"
)

// acceptLinks accepts connections until the context is canceled. At most
// MaxHandshakes unauthenticated connections are open at a time, each no longer than
// HandshakeTimeout; further ones are closed.
func (s *Server) acceptLinks(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	var links sync.WaitGroup
	defer links.Wait()
	handshakes := make(chan struct{}, s.settings.MaxHandshakes)
	for {
		socket, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				socket.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // for example, the process is out of file descriptors
			s.pauseAccepting(ctx)
			continue
		}
		s.AcceptedLinks.Add(1)
		select {
		case handshakes <- struct{}{}:
			links.Go(func() { s.serveLink(ctx, socket, handshakes) })
		default:
			s.RejectedLinks.Add(1)
			socket.Close()
		}
	}
}

// pauseAccepting delays the next accept, so that acceptLinks does not spin on a persistent error.
func (s *Server) pauseAccepting(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(s.start.Limits.RetryDelay):
	}
}

// serveLink serves one link until it ends. It releases its slot in handshakes after
// the handshake.
func (s *Server) serveLink(ctx context.Context, socket net.Conn, handshakes <-chan struct{}) {
	defer socket.Close()
	defer context.AfterFunc(ctx, func() { socket.Close() })()
	conn, forwarder, err := s.handshake(ctx, socket)
	<-handshakes
	if err != nil {
		s.RejectedLinks.Add(1)
		s.log.Warn("rejected a forwarder", zap.String("from", socket.RemoteAddr().String()), zap.Error(err))
		if forwarder != nil {
			s.enqueue(ctx, forwarder.Disconnected)
		}
		return
	}
	conn.StartWriter()
	s.enqueue(ctx, func() {
		s.conns[forwarder] = conn
		forwarder.LinkReady()
		s.trace.LinkState(conn.Peer.Name, conn.Peer.Incarnation, true, "")
	})
	err = s.readFrames(ctx, forwarder, conn)
	conn.CloseWithError(err)
	conn.Wait()
	s.enqueue(ctx, func() {
		delete(s.conns, forwarder)
		forwarder.Disconnected()
		s.trace.LinkState(conn.Peer.Name, conn.Peer.Incarnation, false, err.Error())
	})
	if ctx.Err() == nil {
		s.log.Info("a forwarder left", zap.String("name", conn.Peer.Name), zap.Error(err))
	}
}

// handshake exchanges greetings. The forwarder is also set if the connection fails
// after the forwarder was admitted.
func (s *Server) handshake(ctx context.Context, socket net.Conn) (*linkconn.Conn, *planner.Forwarder, error) {
	var forwarder *planner.Forwarder
	accept := func(greeting link.Greeting) bool {
		forwarder = s.admit(ctx, greeting)
		return forwarder != nil
	}
	socket.SetDeadline(time.Now().Add(s.settings.HandshakeTimeout))
	conn, err := linkconn.PlannerHandshake(socket, &s.settings.Key, s.start.Name, s.incarnation,
		s.settings.MaxQueuedFrames, s.settings.MaxFrameBytes, s.settings.WriteTimeout, accept)
	return conn, forwarder, err
}

// admit adds the forwarder to the state machine. It returns nil if the forwarder limit is
// reached or the context is canceled.
func (s *Server) admit(ctx context.Context, greeting link.Greeting) *planner.Forwarder {
	admitted := make(chan *planner.Forwarder, 1)
	s.enqueue(ctx, func() {
		admitted <- s.core.AddForwarder(s.clock.Now(), greeting.Name, greeting.Incarnation)
	})
	select {
	case forwarder := <-admitted:
		return forwarder
	case <-ctx.Done():
		return nil
	}
}

// readFrames sends the content of a forwarder's frames to the owner until the link
// fails, and returns the error. Frames of unknown kinds are ignored.
func (s *Server) readFrames(ctx context.Context, forwarder *planner.Forwarder, conn *linkconn.Conn) error {
	for {
		frame, err := conn.ReadFrame()
		if err != nil {
			s.BrokenLinks.Add(1)
			return err
		}
		switch frame.Kind {
		case link.KindReport:
			report, err := link.DecodeReport(frame.Body)
			if err != nil {
				s.BrokenLinks.Add(1)
				return err
			}
			s.Reports.Add(1)
			s.enqueue(ctx, func() {
				s.trace.Report(conn.Peer.Name, report)
				forwarder.HandleReport(s.clock.Now(), report)
			})
		case link.KindViewRequest:
			s.enqueue(ctx, func() { forwarder.RequestFullView(s.clock.Now()) })
		}
	}
}

// broadcast sends the full view to the forwarders that need it and the change to all
// others. Each of the two is encoded only once.
func (s *Server) broadcast(change *view.Change, fullViewTo []*planner.Forwarder) {
	s.trace.Change(change, len(fullViewTo), len(s.conns))
	hasFullView := map[*planner.Forwarder]bool{}
	if len(fullViewTo) > 0 {
		body := link.EncodeBody(s.core.FullView())
		for _, forwarder := range fullViewTo {
			hasFullView[forwarder] = true
			if conn := s.conns[forwarder]; conn != nil {
				conn.Send(link.KindChange, body)
				s.FullViews.Add(1)
				s.SentBytes.Add(int64(len(body)))
			}
		}
	}
	body := link.EncodeBody(change)
	for forwarder, conn := range s.conns {
		if !hasFullView[forwarder] {
			conn.Send(link.KindChange, body)
			s.Changes.Add(1)
			s.SentBytes.Add(int64(len(body)))
		}
	}
}
