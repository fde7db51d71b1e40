package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"ferrypitch/internal/router/setup"
)

const (
	peerSendQueue = 64   // datagrams that wait to be sent; further ones are dropped
	maxBatch      = 1024 // datagrams that are read together
)

// Peers exchanges datagrams with the other routers. They may be lost.
type Peers struct {
	limits           *setup.Limits
	conn             *net.UDPConn
	broadcastAddress netip.AddrPort
	allowed          map[netip.AddrPort]bool
	outgoing         chan string

	Sent     atomic.Int64
	Received atomic.Int64
	Batches  atomic.Int64 // reads of one or more datagrams together
	Dropped  atomic.Int64 // from others than peers, too long, or more than can be sent
}

// NewPeers opens the socket. Datagrams of this router itself, or of none of its peers, are dropped.
func NewPeers(start *setup.Start) (*Peers, error) {
	listen, err := netip.ParseAddrPort(start.PeerListen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	p := &Peers{
		limits: &start.Limits, conn: conn, allowed: map[netip.AddrPort]bool{}, outgoing: make(chan string, peerSendQueue),
	}
	if p.broadcastAddress, err = netip.ParseAddrPort(start.PeersAll); err != nil {
		return nil, err
	}
	for _, text := range start.Peers {
		if peer, err := netip.ParseAddrPort(text); err == nil && peer != listen {
			p.allowed[peer] = true
		}
	}
	return p, nil
}

// Broadcast sends to all peers, unless the body is too long or too many wait to be sent already. It does not block.
func (p *Peers) Broadcast(body string) {
	if len(body) <= p.limits.MaxDatagram {
		select {
		case p.outgoing <- body:
			return
		default:
		}
	}
	p.Dropped.Add(1)
}

// Receive calls handle with each datagram of a peer until ctx ends, and closes the socket. With hundreds of routers a
// datagram comes every few milliseconds: they are read in batches, since waking up for each costs several times what
// reading it does.
func (p *Peers) Receive(ctx context.Context, handle func(body string)) error {
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	raw, err := p.conn.SyscallConn()
	if err != nil {
		return err
	}
	datagram := make([]byte, p.limits.MaxDatagram+1) // one byte more shows that a datagram is too long
	for {
		err := raw.Read(func(fd uintptr) bool { return p.readBatch(int(fd), datagram, handle) })
		if ctx.Err() != nil {
			return nil
		}
		p.Batches.Add(1)
		pause := p.limits.DatagramBatchDelay
		if err != nil { // it must not spin
			pause = p.limits.RetryDelay
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// readBatch reads the datagrams that have come, and reports whether there were any. It is bounded, so that a flood does
// not keep the caller from noticing the end of its context.
func (p *Peers) readBatch(fd int, datagram []byte, handle func(body string)) (received bool) {
	for range maxBatch {
		n, sender, err := syscall.Recvfrom(fd, datagram, syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return received
		case err != nil:
			p.Dropped.Add(1)
			return true
		}
		received = true
		if n == 0 || n > p.limits.MaxDatagram || !p.allowed[senderAddress(sender)] {
			p.Dropped.Add(1)
			continue
		}
		p.Received.Add(1)
		handle(string(datagram[:n]))
	}
	return received
}

// senderAddress converts a socket address; the result is invalid for families other than IP.
func senderAddress(sender syscall.Sockaddr) netip.AddrPort {
	switch address := sender.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(address.Addr).Unmap(), uint16(address.Port))
	}
	return netip.AddrPort{}
}

// Send sends what Broadcast took, until ctx ends.
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
