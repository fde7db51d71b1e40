// Package rpc is the link between the system's own processes: frames of
// encoding/gob over TCP, each with its length in front.
//
//	Conn      one connection, either way: Send and Receive
//	Mesh      sends to any address by connections of its own, which it opens and gives up by itself
//	Listen    takes connections
//
// A shell: sockets and goroutines, no decisions.
package rpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ferrypitch/internal/control/consensus"
)

// MaxFrameBytes is the longest frame in bytes.
const MaxFrameBytes = 24 << 20

// Frame is one message; one of its fields is set.
type Frame struct {
	Consensus       *consensus.Message // between members
	ForwardRequest  *ForwardRequest    // a member passes on what came to it
	ForwardResponse *ForwardResponse
	ProxyHello      *ProxyHello // a router opens a connection
	ProxyWelcome    *ProxyWelcome
	LogUpdate       *LogUpdate
	LeaseRequest    *LeaseRequest
	LeaseResponse   *LeaseResponse
	SuspectReport   *SuspectReport
}

// CallID names one call passed on for good: no other of any member or life has it.
type CallID struct {
	From        consensus.ID // who asks, and where the answer goes
	Incarnation uint64       // drawn at its start
	Term        uint64       // in which it knows whom it asks as the leader
	Serial      uint64       // rises within a life
}

// ForwardRequest passes a call of a host or an operator on to the member that leads.
type ForwardRequest struct {
	CallID
	To           consensus.ID
	Method, Path string
	BaseVersion  string // X-Base-Version
	Body         []byte
}

// ForwardResponse is how it went, to just that call.
type ForwardResponse struct {
	CallID
	By     consensus.ID
	Status int
	Body   []byte
}

// ProxyHello is a router's first frame.
type ProxyHello struct {
	Node         string
	Incarnation  uint64
	Zone         string
	AppliedIndex uint64 // it has applied the log up to here
}

// ProxyWelcome is the member's answer. Only one that leads serves routers.
type ProxyWelcome struct {
	Node     string
	IsLeader bool
	Leader   string   // where to go otherwise; empty: not known
	Members  []string // addresses of all
	Proxies  []string // addresses of some that are there
}

// LogUpdate is the log from a place on, or a snapshot. Index is the last entry's.
type LogUpdate struct {
	Snapshot  []byte
	Entries   [][]byte
	LastIndex uint64
	Members   []string
}

// LeaseRequest asks for a lease, and tells what the router sees.
type LeaseRequest struct {
	Serial           uint64
	AppliedIndex     uint64
	PrimaryPositions []PrimaryPosition
	Sessions         int
}

// PrimaryPosition is the position of a service's primary, in the answer to a question sent Ago milliseconds before the frame.
type PrimaryPosition struct {
	Service      string
	Term, Number uint64
	AgeMs        int64
}

// LeaseResponse grants what a Renew asked for. Routers is how many hold leases.
type LeaseResponse struct {
	Serial      uint64
	Granted     bool
	CommitIndex uint64 // delivered, when it was granted
	ProxyCount  int
	Members     []string
}

// SuspectReport tells that a primary can't be reached.
type SuspectReport struct {
	Service, Host string
	Refused       bool
}

// ErrFrameTooLong is a frame longer than is taken.
var ErrFrameTooLong = errors.New("a frame longer than is taken")

// BytesSent and Received count bytes of all connections of this process.
var BytesSent, BytesReceived atomic.Int64

// Conn is one connection. Send is safe for use by several goroutines, Receive by one.
type Conn struct {
	conn net.Conn
	mu   sync.Mutex
	buf  bytes.Buffer
	enc  *gob.Encoder
	in   *frames
	dec  *gob.Decoder
}

// NewConn makes a connection of a socket.
func NewConn(c net.Conn) *Conn {
	k := &Conn{conn: c}
	k.enc = gob.NewEncoder(&k.buf)
	k.in = &frames{from: c}
	k.dec = gob.NewDecoder(k.in)
	return k
}

// frames gives gob the bytes of frames, and checks each length before anything is allocated for it.
type frames struct {
	from io.Reader
	left int
	most int
	one  [4096]byte
	r, w int
}

func (f *frames) fill() error {
	n, err := f.from.Read(f.one[:])
	BytesReceived.Add(int64(n))
	f.r, f.w = 0, n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

func (f *frames) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(f, b[:])
	return b[0], err
}

func (f *frames) Read(b []byte) (int, error) {
	if f.left == 0 {
		var head [4]byte
		for i := range head {
			if f.r == f.w {
				if err := f.fill(); err != nil {
					return 0, err
				}
			}
			head[i] = f.one[f.r]
			f.r++
		}
		size := binary.BigEndian.Uint32(head[:])
		if size == 0 || size > MaxFrameBytes {
			return 0, ErrFrameTooLong
		}
		f.left = int(size)
	}
	if f.r == f.w {
		if err := f.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(b[:min(len(b), f.left)], f.one[f.r:f.w])
	f.r, f.left = f.r+n, f.left-n
	return n, nil
}

// Send writes a frame within a time.
func (c *Conn) Send(f *Frame, within time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buf.Reset()
	c.buf.Write([]byte{0, 0, 0, 0})
	if err := c.enc.Encode(f); err != nil {
		return err
	}
	b := c.buf.Bytes()
	if len(b)-4 > MaxFrameBytes {
		return ErrFrameTooLong
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	c.conn.SetWriteDeadline(time.Now().Add(within))
	n, err := c.conn.Write(b)
	BytesSent.Add(int64(n))
	if c.buf.Cap() > 64<<10 {
		c.buf = bytes.Buffer{}
	}
	return err
}

// Receive reads a frame within a time.
func (c *Conn) Receive(within time.Duration) (*Frame, error) {
	c.conn.SetReadDeadline(time.Now().Add(within))
	f := &Frame{}
	err := c.dec.Decode(f)
	return f, err
}

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }

// Remote is the other side's address, without its port.
func (c *Conn) Remote() string {
	host, _, _ := net.SplitHostPort(c.conn.RemoteAddr().String())
	return host
}

// SocketControl has the kernel give a connection up whose bytes are not acknowledged for a while: a machine without power or
// behind a cut says nothing.
func SocketControl(within time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(within.Milliseconds()))
		})
	}
}

// Dial opens a connection from an address of this machine.
func Dial(ctx context.Context, from, to string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within, KeepAlive: -1, Control: SocketControl(3 * time.Second)}
	if ip := net.ParseIP(from); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d.DialContext(ctx, "tcp", to)
}

// again is how long an attempt to connect is waited for alone.
const again = 90 * time.Millisecond

// DialHedged opens a connection to another of our own processes. One without power drops what opens a connection, and that is
// sent again after a second only, by when it may long be back: so further attempts begin beside the first, and the first
// that succeeds counts.
func DialHedged(ctx context.Context, from, to string, within time.Duration) (net.Conn, error) {
	ctx, end := context.WithTimeout(ctx, within)
	defer end()
	type attempt struct {
		conn net.Conn
		err  error
	}
	done := make(chan attempt, 1+int(within/again))
	out := 0
	begin := func() {
		out++
		go func() { // ends with the context at the latest
			c, err := Dial(ctx, from, to, within)
			done <- attempt{c, err}
		}()
	}
	begin()
	t := time.NewTicker(again)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if out < cap(done) {
				begin()
			}
		case a := <-done:
			out--
			if a.err != nil && out > 0 && ctx.Err() == nil && !errors.Is(a.err, syscall.ECONNREFUSED) {
				continue
			}
			if left := out; left > 0 {
				end()
				go func() { // whatever else succeeds is closed
					for range left {
						if a := <-done; a.conn != nil {
							a.conn.Close()
						}
					}
				}()
			}
			return a.conn, a.err
		}
	}
}

// Mesh sends frames to members. What can't be sent is dropped; whoever sends it sends again.
type Mesh struct {
	ctx     context.Context
	ip      string
	tasks   sync.WaitGroup
	mu      sync.Mutex
	peers   map[string]*peer
	Dropped atomic.Int64
}

type peer struct {
	queue chan *Frame
	idle  time.Time
}

// NewMesh lives until ctx ends.
func NewMesh(ctx context.Context, ip string) *Mesh {
	return &Mesh{ctx: ctx, ip: ip, peers: map[string]*peer{}}
}

// Wait waits for its goroutines, once the context has ended.
func (m *Mesh) Wait() { m.tasks.Wait() }

// Send queues a frame for an address.
func (m *Mesh) Send(address string, f *Frame) {
	m.mu.Lock()
	p := m.peers[address]
	if p == nil {
		p = &peer{queue: make(chan *Frame, 256)}
		m.peers[address] = p
		m.tasks.Go(func() { m.run(address, p) })
	}
	m.mu.Unlock()
	select {
	case p.queue <- f:
	default:
		m.Dropped.Add(1)
	}
}

func (m *Mesh) run(address string, p *peer) {
	var conn *Conn
	var failed time.Time
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-m.ctx.Done():
			return
		case f := <-p.queue:
			if conn == nil {
				if time.Since(failed) < 100*time.Millisecond {
					m.Dropped.Add(1)
					continue
				}
				c, err := DialHedged(m.ctx, m.ip, address, 500*time.Millisecond)
				if err != nil {
					failed = time.Now()
					m.Dropped.Add(1)
					continue
				}
				conn = NewConn(c)
				opened := conn
				m.tasks.Go(func() { // nothing comes on it but its end
					for {
						if _, err := opened.Receive(time.Hour); err != nil {
							opened.Close()
							return
						}
					}
				})
			}
			if err := conn.Send(f, 2*time.Second); err != nil {
				conn.Close()
				conn, failed = nil, time.Now()
				m.Dropped.Add(1)
			}
		}
	}
}

// Listen takes connections and hands each to a goroutine until ctx ends.
func Listen(ctx context.Context, address string, handle func(c *Conn)) (wait func(), err error) {
	lc := net.ListenConfig{KeepAlive: -1, Control: SocketControl(3 * time.Second)}
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	var tasks sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for c := range open {
			c.Close()
		}
	})
	tasks.Go(func() {
		defer stop()
		for {
			c, err := l.Accept()
			if ctx.Err() != nil {
				if err == nil {
					c.Close()
				}
				return
			}
			if err != nil {
				select {
				case <-ctx.Done():
				case <-time.After(50 * time.Millisecond):
				}
				continue
			}
			mu.Lock()
			open[c] = true
			mu.Unlock()
			tasks.Go(func() {
				defer func() {
					c.Close()
					mu.Lock()
					delete(open, c)
					mu.Unlock()
				}()
				handle(NewConn(c))
			})
		}
	})
	return tasks.Wait, nil
}
