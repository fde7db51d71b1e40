package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"ferrypitch/internal/router/setup"
)

func TestDatagramsOfOthersThanPeersAreDropped(t *testing.T) {
	listenUDP := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, foreign, free := listenUDP(), listenUDP(), listenUDP()
	listen := free.LocalAddr().String()
	free.Close()
	p, err := NewPeers(&setup.Start{
		PeerListen: listen, PeersBroadcast: peer.LocalAddr().String(),
		Peers: []string{listen, peer.LocalAddr().String()}, Limits: setup.Limits{MaxDatagram: 256, RetryDelay: time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	received, done := make(chan string, 9), make(chan error, 2)
	to := p.conn.LocalAddr()
	foreign.WriteTo([]byte("foreign"), to)
	peer.WriteTo(make([]byte, 300), to)
	for range 5 {
		peer.WriteTo([]byte("word"), to)
	}
	go func() { done <- p.Receive(ctx, func(body string) { received <- body }) }()
	go func() { done <- p.Send(ctx) }()
	for range 5 {
		if body := <-received; body != "word" || p.Dropped.Load() != 2 {
			t.Errorf("%q, %d dropped", body, p.Dropped.Load())
		}
	}
	if p.Batches.Load() > 1 {
		t.Error("datagrams that were received together were read in more than one batch")
	}
	p.Broadcast(string(make([]byte, 257)))
	p.Broadcast("sent")
	b := make([]byte, 300)
	if n, _, _ := peer.ReadFrom(b); string(b[:n]) != "sent" {
		t.Errorf("%q was sent", b[:n])
	}
	end()
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
