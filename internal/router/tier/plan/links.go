package plan

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"ferrypitch/internal/router/tier/line"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/planner"
	"ferrypitch/internal/router/tier/view"
)

// acceptLinks accepts connections until the context ends. Those that have not
// shown the key yet are bounded in number and in time.
func (p *Server) acceptLinks(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	var links sync.WaitGroup
	defer links.Wait()
	handshakes := make(chan struct{}, p.settings.MaxHandshakes)
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
		case err != nil: // for instance, out of file descriptors
			p.pauseAccepting(ctx)
			continue
		}
		p.AcceptedLinks.Add(1)
		select {
		case handshakes <- struct{}{}:
			links.Go(func() { p.serveLink(ctx, socket, handshakes) })
		default:
			p.RejectedLinks.Add(1)
			socket.Close()
		}
	}
}

// pauseAccepting keeps acceptLinks from spinning on an error that lasts.
func (p *Server) pauseAccepting(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(p.start.Limits.RetryDelay):
	}
}

// serveLink runs one link until it ends. It releases its place in handshakes once
// the greetings are exchanged.
func (p *Server) serveLink(ctx context.Context, socket net.Conn, handshakes <-chan struct{}) {
	defer socket.Close()
	defer context.AfterFunc(ctx, func() { socket.Close() })()
	conn, forwarder, err := p.handshake(ctx, socket)
	<-handshakes
	if err != nil {
		p.RejectedLinks.Add(1)
		p.log.Warn("a forwarder is refused", zap.String("from", socket.RemoteAddr().String()), zap.Error(err))
		if forwarder != nil {
			p.enqueue(ctx, forwarder.Disconnected)
		}
		return
	}
	conn.StartWriter()
	p.enqueue(ctx, func() {
		p.conns[forwarder] = conn
		forwarder.Started()
		p.trace.LinkState(conn.Peer.Name, conn.Peer.Incarnation, true, "")
	})
	err = p.readFrames(ctx, forwarder, conn)
	conn.CloseWithError(err)
	conn.Wait()
	p.enqueue(ctx, func() {
		delete(p.conns, forwarder)
		forwarder.Disconnected()
		p.trace.LinkState(conn.Peer.Name, conn.Peer.Incarnation, false, err.Error())
	})
	if ctx.Err() == nil {
		p.log.Info("a forwarder left", zap.String("name", conn.Peer.Name), zap.Error(err))
	}
}

// handshake exchanges greetings. With an error the forwarder may still be set: it
// was admitted, and the connection failed after that.
func (p *Server) handshake(ctx context.Context, socket net.Conn) (*line.Conn, *planner.Forwarder, error) {
	var forwarder *planner.Forwarder
	accept := func(greeting link.Greeting) bool {
		forwarder = p.admit(ctx, greeting)
		return forwarder != nil
	}
	socket.SetDeadline(time.Now().Add(p.settings.HandshakeTimeout))
	conn, err := line.PlannerHandshake(socket, &p.settings.Key, p.start.Name, p.incarnation,
		p.settings.MaxQueuedFrames, p.settings.MaxFrameBytes, p.settings.WriteTimeout, accept)
	return conn, forwarder, err
}

// admit asks the core for a place for the forwarder, and returns nil if there is none.
func (p *Server) admit(ctx context.Context, greeting link.Greeting) *planner.Forwarder {
	admitted := make(chan *planner.Forwarder, 1)
	p.enqueue(ctx, func() {
		admitted <- p.core.AddForwarder(p.clock.Now(), greeting.Name, greeting.Incarnation)
	})
	select {
	case forwarder := <-admitted:
		return forwarder
	case <-ctx.Done():
		return nil
	}
}

// readFrames passes a forwarder's frames to the owner until the link ends, and
// returns why it did. Frames of unknown kinds are ignored.
func (p *Server) readFrames(ctx context.Context, forwarder *planner.Forwarder, conn *line.Conn) error {
	for {
		frame, err := conn.ReadFrame()
		if err != nil {
			p.BrokenLinks.Add(1)
			return err
		}
		switch frame.Kind {
		case link.KindReport:
			report, err := link.DecodeReport(frame.Body)
			if err != nil {
				p.BrokenLinks.Add(1)
				return err
			}
			p.Reports.Add(1)
			p.enqueue(ctx, func() {
				p.trace.Report(conn.Peer.Name, report)
				forwarder.HandleReport(p.clock.Now(), report)
			})
		case link.KindViewRequest:
			p.enqueue(ctx, func() { forwarder.RequestFullView(p.clock.Now()) })
		}
	}
}

// broadcast sends a change to all connected forwarders, and instead of it the full
// view to those that need it. Each is encoded once.
func (p *Server) broadcast(change *view.Change, fullViewTo []*planner.Forwarder) {
	p.trace.Change(change, len(fullViewTo), len(p.conns))
	hasFullView := map[*planner.Forwarder]bool{}
	if len(fullViewTo) > 0 {
		body := link.EncodeBody(p.core.FullView())
		for _, forwarder := range fullViewTo {
			hasFullView[forwarder] = true
			if conn := p.conns[forwarder]; conn != nil {
				conn.Send(link.KindChange, body)
				p.FullViews.Add(1)
				p.SentBytes.Add(int64(len(body)))
			}
		}
	}
	body := link.EncodeBody(change)
	for forwarder, conn := range p.conns {
		if !hasFullView[forwarder] {
			conn.Send(link.KindChange, body)
			p.Changes.Add(1)
			p.SentBytes.Add(int64(len(body)))
		}
	}
}
