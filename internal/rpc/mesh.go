package rpc

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	meshQueueFrames    = 256                    // frames that wait for one address
	meshConnectTimeout = 500 * time.Millisecond // for one connection
	meshRetryInterval  = 100 * time.Millisecond // after a failure, frames are dropped for so long without an attempt to connect
	meshSendTimeout    = 2 * time.Second        // for one frame
	meshReadTimeout    = time.Hour              // nothing is received on these connections but their end
)

// Mesh sends frames to members by their addresses. Frames to one address keep their order. A frame that cannot be sent is
// dropped: the protocols above send it again.
type Mesh struct {
	ctx     context.Context
	localIP string
	tasks   sync.WaitGroup // a sender for each address and a reader for each connection

	mu      sync.Mutex
	senders map[string]*meshSender // by address

	Dropped atomic.Int64 // frames that were not sent
	Refused atomic.Int64 // frames that their receivers refused, since they need a newer version
}

// NewMesh returns a mesh that sends from the address localIP until ctx ends.
func NewMesh(ctx context.Context, localIP string) *Mesh {
	return &Mesh{ctx: ctx, localIP: localIP, senders: map[string]*meshSender{}}
}

// Wait returns once all goroutines of the mesh have ended after its context.
func (m *Mesh) Wait() { m.tasks.Wait() }

// Send queues a frame for an address and returns at once. It drops the frame if the queue is full.
func (m *Mesh) Send(address string, frame *Frame) {
	select {
	case m.sender(address).queue <- frame:
	default:
		m.Dropped.Add(1)
	}
}

func (m *Mesh) sender(address string) *meshSender {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.senders[address]
	if s == nil {
		s = &meshSender{mesh: m, address: address, queue: make(chan *Frame, meshQueueFrames)}
		m.senders[address] = s
		m.tasks.Go(s.run)
	}
	return s
}

// meshSender sends the frames for one address in a goroutine of its own. Only that goroutine uses conn and failedAt.
type meshSender struct {
	mesh     *Mesh
	address  string
	queue    chan *Frame
	conn     *meshConn // nil: not connected
	failedAt time.Time // when connecting last failed
}

// meshConn is a connection that knows when the other side has ended it.
type meshConn struct {
	*Conn
	ended atomic.Bool
}

func (s *meshSender) run() {
	for {
		select {
		case <-s.mesh.ctx.Done():
			if s.conn != nil {
				_ = s.conn.Close()
			}
			return
		case frame := <-s.queue:
			s.send(frame)
		}
	}
}

// send sends a frame over the connection that there is, or over a new one if that has ended: the process at the other side may have
// been restarted since. A frame that was written to an ended connection was read by nobody.
func (s *meshSender) send(frame *Frame) {
	if s.conn != nil && (s.conn.ended.Load() || !s.trySend(frame)) {
		_ = s.conn.Close()
		s.conn = nil
	} else if s.conn != nil {
		return
	}
	if !s.connect() {
		s.mesh.Dropped.Add(1)
		return
	}
	if !s.trySend(frame) {
		_ = s.conn.Close()
		s.conn = nil
		s.mesh.Dropped.Add(1)
	}
}

func (s *meshSender) trySend(frame *Frame) bool { return s.conn.Send(frame, meshSendTimeout) == nil }

func (s *meshSender) connect() bool {
	if time.Since(s.failedAt) < meshRetryInterval {
		return false
	}
	socket, err := DialHedged(s.mesh.ctx, s.mesh.localIP, s.address, meshConnectTimeout)
	if err != nil {
		s.failedAt = time.Now()
		return false
	}
	conn := &meshConn{Conn: NewConn(socket)}
	s.conn = conn
	s.mesh.tasks.Go(func() { s.mesh.closeAtEOF(conn) })
	return true
}

// closeAtEOF closes a connection when the other side does. Nothing else is received on it but refusals.
func (m *Mesh) closeAtEOF(conn *meshConn) {
	for {
		frame, err := conn.Receive(meshReadTimeout)
		if err != nil {
			conn.ended.Store(true)
			_ = conn.Close()
			return
		}
		if frame.Refusal != nil {
			m.Refused.Add(1)
		}
	}
}
