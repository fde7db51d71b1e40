package control

import (
	"errors"
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/rpc"
)

const (
	connReadTimeout   = 4 * time.Second // for the first frame of a connection, and between two frames of a proxy
	memberReadTimeout = time.Hour       // between two frames of a member, which may have nothing to send
	proxySendTimeout  = 2 * time.Second
)

// serveConn serves a connection of a member or a proxy until it ends.
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

// receive returns the next frame that this version understands. It refuses others, and tells their sender why.
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

// serveProxy serves a proxy until its connection ends. Frames to it pass through a queue, since the event loop must not block.
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
		p.queue.Put(eventloop.PriorityControl, func() { p.server.ProxyDrained(proxy) })
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

// sendFrames waits for a proxy that reads slowly, in place of the event loop. A failed send closes the connection, which ends
// its reader too; the proxy reconnects and catches up.
func sendFrames(conn *rpc.Conn, outgoing *proxyQueue, closed <-chan struct{}, drained func()) {
	for frame := outgoing.take(closed); frame != nil; frame = outgoing.take(closed) {
		if conn.Send(frame, proxySendTimeout) != nil {
			_ = conn.Close()
			return
		}
		if outgoing.caughtUp() {
			drained()
		}
	}
}
