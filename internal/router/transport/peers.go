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
	limits           *setup.Limits
	conn             *net.UDPConn
	broadcastAddress netip.AddrPort
	allowed          map[netip.AddrPort]bool
	outgoing         chan string
	Sent             atomic.Int64
	Received         atomic.Int64
	Batches          atomic.Int64 // how often some were read together
	Dropped          atomic.Int64 // foreign, too long, or more than can be sent
}

// NewPeers listens. Datagrams of this router itself, or of none of its peers, are dropped.
func NewPeers(start *setup.Start) (*Peers, error) {
	listen, err := netip.ParseAddrPort(start.PeerListen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	p := &Peers{limits: &start.Limits, conn: conn, allowed: map[netip.AddrPort]bool{}, outgoing: make(chan string, 64)}
	if p.broadcastAddress, err = netip.ParseAddrPort(start.PeersAll); err != nil {
		return nil, err
	}
	for _, text := range start.Peers {
		if a, err := netip.ParseAddrPort(text); err == nil && a != listen {
			p.allowed[a] = true
		}
	}
	return p, nil
}

// Broadcast sends to all others, unless too much waits to be sent already.
func (p *Peers) Broadcast(body string) {
	if len(body) <= p.limits.Datagram {
		select {
		case p.outgoing <- body:
			return
		default:
		}
	}
	p.Dropped.Add(1)
}

// Receive hands on what the others say, until the context ends. With hundreds of routers a datagram comes every few
// milliseconds: they are taken in together, since being woken for each costs several times what reading it does.
func (p *Peers) Receive(ctx context.Context, handle func(body string)) error {
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	raw, err := p.conn.SyscallConn()
	if err != nil {
		return err
	}
	datagram := make([]byte, p.limits.Datagram+1)
	for {
		err := raw.Read(func(fd uintptr) bool { return p.readBatch(int(fd), datagram, handle) })
		if ctx.Err() != nil {
			return nil
		}
		p.Batches.Add(1)
		pause := p.limits.Gather
		if err != nil { // it must not spin
			pause = p.limits.Again
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// readBatch reads what has come, and says whether anything had. It is bounded: a flood must not keep it from the context's end.
func (p *Peers) readBatch(fd int, datagram []byte, handle func(body string)) (received bool) {
	for range 1024 {
		n, sender, err := syscall.Recvfrom(fd, datagram, syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return received
		case err != nil:
			p.Dropped.Add(1)
			return true
		}
		received = true
		var from netip.AddrPort
		switch address := sender.(type) {
		case *syscall.SockaddrInet4:
			from = netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
		case *syscall.SockaddrInet6:
			from = netip.AddrPortFrom(netip.AddrFrom16(address.Addr).Unmap(), uint16(address.Port))
		}
		if n == 0 || n > p.limits.Datagram || !p.allowed[from] {
			p.Dropped.Add(1)
			continue
		}
		p.Received.Add(1)
		handle(string(datagram[:n]))
	}
	return received
}

// Send sends until the context ends.
func (p *Peers) Send(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case body := <-p.outgoing:
			if _, err := p.conn.WriteToUDPAddrPort([]byte(body), p.broadcastAddress); err != nil {
				p.Dropped.Add(1)
			} else {
				p.Sent.Add(1)
			}
		}
	}
}
