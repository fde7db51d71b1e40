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
	peerSendQueueSize = 64   // datagrams queued for sending; more are dropped
	maxBatchDatagrams = 1024 // datagrams read in one batch
)

// Peers exchanges datagrams with the other routers. Delivery is not guaranteed.
type Peers struct {
	limits           *setup.Limits
	conn             *net.UDPConn
	broadcastAddress netip.AddrPort
	allowed          map[netip.AddrPort]bool // senders whose datagrams are accepted
	outgoing         chan string

	Sent     atomic.Int64 // datagrams sent
	Received atomic.Int64 // datagrams accepted
	Batches  atomic.Int64 // batches of one or more datagrams read
	Dropped  atomic.Int64 // datagrams from unknown senders, empty or too long, or not sent because of an error or a full queue
}

// NewPeers opens the socket. Datagrams from this router itself or from addresses that are not peers are dropped.
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
		limits: &start.Limits, conn: conn, allowed: map[netip.AddrPort]bool{}, outgoing: make(chan string, peerSendQueueSize),
	}
	if p.broadcastAddress, err = netip.ParseAddrPort(start.PeersBroadcast); err != nil {
		return nil, err
	}
	for _, text := range start.Peers {
		if peer, err := netip.ParseAddrPort(text); err == nil && peer != listen {
			p.allowed[peer] = true
		}
	}
	return p, nil
}

// Broadcast queues a datagram to all peers, or drops it if it is too long or the queue is full. It does not block.
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

// Receive calls handle with each datagram from a peer until ctx ends, and then closes the socket. With hundreds of routers a
// datagram arrives every few milliseconds. They are read in batches, since a wake-up per datagram costs several times as much
// as reading it.
func (p *Peers) Receive(ctx context.Context, handle func(body string)) error {
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	raw, err := p.conn.SyscallConn()
	if err != nil {
		return err
	}
	datagram := make([]byte, p.limits.MaxDatagram+1) // the extra byte reveals datagrams that are too long
	for {
		err := raw.Read(func(fd uintptr) bool { return p.readBatch(int(fd), datagram, handle) })
		if ctx.Err() != nil {
			return nil
		}
		p.Batches.Add(1)
		pause := p.limits.DatagramBatchDelay
		if err != nil { // avoid a busy loop
			pause = p.limits.RetryDelay
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// readBatch reads the datagrams that have arrived, and reports whether there were any. It reads at most maxBatchDatagrams, so
// that a flood of datagrams does not keep the caller from noticing the end of its context.
func (p *Peers) readBatch(fd int, datagram []byte, handle func(body string)) (received bool) {
	for range maxBatchDatagrams {
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

// senderAddress converts a socket address. The result is invalid for address families other than IP.
func senderAddress(sender syscall.Sockaddr) netip.AddrPort {
	switch address := sender.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(address.Addr).Unmap(), uint16(address.Port))
	}
	return netip.AddrPort{}
}

// Send sends the datagrams that Broadcast has queued, until ctx ends.
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
