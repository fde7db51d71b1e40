package control

import (
	"errors"
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
)

const (
	connReadTimeout   = 4 * time.Second // for the first frame of a connection, and between frames from a proxy
	memberReadTimeout = time.Hour       // between frames from a member, which may have nothing to send
	proxySendTimeout  = 2 * time.Second
)

// serveConn serves a connection from a member or a proxy until it is closed.
func (p *process) serveConn(conn *rpc.Conn) {
	first, err := p.receive(conn, connReadTimeout)
	if err != nil {
		return
	}
	if first.ProxyHello != nil {
		p.serveProxy(conn, first.ProxyHello)
		return
	}
	for frame := first; err == nil; frame, err = p.receive(conn, memberReadTimeout) {
		p.enqueueMemberFrame(conn.RemoteIP(), frame)
	}
}

// receive returns the next frame that this version supports. It refuses unsupported frames and reports the reason to the sender.
func (p *process) receive(conn *rpc.Conn, timeout time.Duration) (*rpc.Frame, error) {
	for {
		frame, err := conn.Receive(timeout)
		var unsupported *rpc.UnsupportedFrameError
		if !errors.As(err, &unsupported) {
			return frame, err
		}
		p.server.FramesRefused.Add(1)
		p.log.Error("frame refused", "from", conn.RemoteIP(), "reason", unsupported)
		if err := conn.Refuse(unsupported); err != nil {
			return nil, err
		}
	}
}

// serveProxy serves a proxy until its connection is closed. Outgoing frames pass through a queue because the event loop must not
// block.
func (p *process) serveProxy(conn *rpc.Conn, hello *rpc.ProxyHello) {
	outgoing, closed := newProxyQueue(hello.Version), make(chan struct{})
	closeConn := func() {
		close(closed)
		_ = conn.Close()
	}
	accepted := make(chan *ProxyConn, 1)
	if !p.queue.Put(eventloop.PriorityControl, func() {
		accepted <- p.server.AcceptProxy(hello, conn.RemoteIP(), outgoing.put, closeConn)
	}) {
		return
	}
	var proxy *ProxyConn
	select {
	case proxy = <-accepted:
	case <-p.queue.Closed:
		return
	}
	conn.SetPeerVersion(rpc.PeerVersion(hello.Version))
	go sendFrames(conn, outgoing, closed, func() {
		p.queue.Put(eventloop.PriorityControl, func() { p.server.ProxyQueueDrained(proxy) })
	})
	for {
		frame, err := p.receive(conn, connReadTimeout)
		if err != nil {
			break
		}
		p.queue.Put(eventloop.PriorityControl, func() { p.server.HandleProxyFrame(proxy, frame) })
	}
	p.queue.Put(eventloop.PriorityControl, func() { p.server.ProxyDisconnected(proxy) })
}

// sendFrames writes queued frames to a proxy in a goroutine of its own, so that a slow reader does not block the event loop. A
// failed send closes the connection, which also stops the reader; the proxy then reconnects and catches up. onDrained is called
// when the queue of a proxy that refused an update is empty again.
func sendFrames(conn *rpc.Conn, outgoing *proxyQueue, closed <-chan struct{}, onDrained func()) {
	for frame := outgoing.take(closed); frame != nil; frame = outgoing.take(closed) {
		if conn.Send(frame, proxySendTimeout) != nil {
			_ = conn.Close()
			return
		}
		if outgoing.drainedAfterRefusal() {
			onDrained()
		}
	}
}
