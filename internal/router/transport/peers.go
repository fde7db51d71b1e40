package transport

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"ferrypitch/internal/router/setup"
)

// Peers carries datagrams between the routers.
type Peers struct {
	limits  *setup.Limits
	conn    *net.UDPConn
	all     netip.AddrPort
	from    map[netip.AddrPort]bool
	out     chan string
	Sent    atomic.Int64
	Heard   atomic.Int64
	Bursts  atomic.Int64 // how often some were read together
	Dropped atomic.Int64 // foreign, too long, or more than can be sent
}

// NewPeers listens. Datagrams of this router itself, or of none of its peers, are dropped.
func NewPeers(s *setup.Start) (*Peers, error) {
	listen, err := netip.ParseAddrPort(s.PeerListen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	p := &Peers{limits: &s.Limits, conn: conn, from: map[netip.AddrPort]bool{}, out: make(chan string, 64)}
	if p.all, err = netip.ParseAddrPort(s.PeersAll); err != nil {
		return nil, err
	}
	for _, text := range s.Peers {
		if a, err := netip.ParseAddrPort(text); err == nil && a != listen {
			p.from[a] = true
		}
	}
	return p, nil
}

// Tell sends to all others, unless too much waits to be sent already.
func (p *Peers) Tell(body string) {
	if len(body) <= p.limits.Datagram {
		select {
		case p.out <- body:
			return
		default:
		}
	}
	p.Dropped.Add(1)
}

// Receive hands on what the others say, until the context ends. With hundreds of routers a datagram comes every few
// milliseconds: they are taken in together, since being woken for each costs several times what reading it does.
func (p *Peers) Receive(ctx context.Context, heard func(body string)) error {
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	raw, err := p.conn.SyscallConn()
	if err != nil {
		return err
	}
	b := make([]byte, p.limits.Datagram+1)
	for {
		err := raw.Read(func(fd uintptr) bool { return p.burst(int(fd), b, heard) })
		if ctx.Err() != nil {
			return nil
		}
		p.Bursts.Add(1)
		wait := p.limits.Gather
		if err != nil { // it must not spin
			wait = p.limits.Again
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// burst reads what has come, and says whether anything had. It is bounded: a flood must not keep it from the context's end.
func (p *Peers) burst(fd int, b []byte, heard func(body string)) (any bool) {
	for range 1024 {
		n, sender, err := syscall.Recvfrom(fd, b, syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return any
		case err != nil:
			p.Dropped.Add(1)
			return true
		}
		any = true
		var from netip.AddrPort
		switch a := sender.(type) {
		case *syscall.SockaddrInet4:
			from = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
		case *syscall.SockaddrInet6:
			from = netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
		}
		if n == 0 || n > p.limits.Datagram || !p.from[from] {
			p.Dropped.Add(1)
			continue
		}
		p.Heard.Add(1)
		heard(string(b[:n]))
	}
	return any
}

// Send sends until the context ends.
func (p *Peers) Send(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case body := <-p.out:
			if _, err := p.conn.WriteToUDPAddrPort([]byte(body), p.all); err != nil {
				p.Dropped.Add(1)
			} else {
				p.Sent.Add(1)
			}
		}
	}
}
