package rpc

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	meshQueueFrames    = 256                    // capacity of the queue for one address
	meshConnectTimeout = 500 * time.Millisecond // timeout for connecting to an address
	meshRetryInterval  = 100 * time.Millisecond // backoff after a failed connect; frames are dropped meanwhile
	meshSendTimeout    = 2 * time.Second        // timeout for writing one frame
	meshReadTimeout    = time.Hour              // long, because peers send nothing but refusals on these connections
)

// Mesh sends frames to members by address. Frames to the same address keep their order. A frame that cannot be sent is dropped;
// the protocols above retry.
type Mesh struct {
	ctx     context.Context
	localIP string
	tasks   sync.WaitGroup // one sender for each address and one reader for each connection

	mu      sync.Mutex
	senders map[string]*meshSender // by address

	Dropped atomic.Int64 // number of frames that were not sent
	Refused atomic.Int64 // number of frames that receivers refused because they need a newer version
}

// NewMesh returns a mesh that connects from the address localIP and runs until ctx is done.
func NewMesh(ctx context.Context, localIP string) *Mesh {
	return &Mesh{ctx: ctx, localIP: localIP, senders: map[string]*meshSender{}}
}

// Wait blocks until all goroutines of the mesh have ended, which they do once its context is done.
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

// meshSender sends the frames for one address, in a goroutine of its own. Only that goroutine accesses conn and connectFailedAt.
type meshSender struct {
	mesh            *Mesh
	address         string
	queue           chan *Frame
	conn            *meshConn // nil if not connected
	connectFailedAt time.Time // time of the last failed connect
}

// meshConn is a connection that records whether the peer has closed it.
type meshConn struct {
	*Conn
	peerClosed atomic.Bool
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

// send sends a frame over the existing connection, or over a new one if the existing one is closed or fails: the peer process may
// have been restarted. A frame whose write failed is incomplete at the peer, so sending it again does not duplicate it.
func (s *meshSender) send(frame *Frame) {
	if s.conn != nil && (s.conn.peerClosed.Load() || !s.trySend(frame)) {
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
	if time.Since(s.connectFailedAt) < meshRetryInterval {
		return false
	}
	socket, err := DialHedged(s.mesh.ctx, s.mesh.localIP, s.address, meshConnectTimeout)
	if err != nil {
		s.connectFailedAt = time.Now()
		return false
	}
	conn := &meshConn{Conn: NewConn(socket)}
	s.conn = conn
	s.mesh.tasks.Go(func() { s.mesh.closeOnEOF(conn) })
	return true
}

// closeOnEOF reads from a connection until it fails, which it does when the peer closes it, and then closes it. The only frames
// received are refusals.
func (m *Mesh) closeOnEOF(conn *meshConn) {
	for {
		frame, err := conn.Receive(meshReadTimeout)
		if err != nil {
			conn.peerClosed.Store(true)
			_ = conn.Close()
			return
		}
		if frame.Refusal != nil {
			m.Refused.Add(1)
		}
	}
}
