package proxy

import (
	"bytes"
	"encoding/gob"
	"net"
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/gossip"
)

const mostDatagram = 8 << 10

// feel hears the datagrams of other routers until the end.
func (h *Server) feel(conn net.PacketConn) {
	b := make([]byte, mostDatagram)
	for {
		n, from, err := conn.ReadFrom(b)
		if h.ctx.Err() != nil {
			return
		}
		if err != nil {
			select {
			case <-h.ctx.Done():
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		var m gossip.Message
		if gob.NewDecoder(bytes.NewReader(b[:n])).Decode(&m) != nil || m.From != from.String() {
			h.Torn.Add(1)
			continue
		}
		h.queue.Put(eventloop.PriorityOutcomes, func() { h.pass(h.feeler.HandleMessage(m, h.clock.Now())) })
	}
}

// pass sends what the feeler asks for; a datagram that can't go at once is lost, as any may be.
func (h *Server) pass(all []gossip.Outgoing) {
	for _, o := range all {
		to, err := net.ResolveUDPAddr("udp4", o.To)
		if err != nil {
			continue
		}
		var b bytes.Buffer
		if gob.NewEncoder(&b).Encode(o.Message) == nil && b.Len() <= mostDatagram {
			h.datagrams.SetWriteDeadline(time.Now().Add(time.Millisecond))
			h.datagrams.WriteTo(b.Bytes(), to)
		}
	}
}

// meet has the feeler do what is due, and know of routers that the control plane named.
func (h *Server) meet(addresses []string) {
	if h.feeler == nil {
		return
	}
	now := h.clock.Now()
	if len(addresses) > 0 {
		var all []string
		for _, ip := range addresses {
			all = append(all, h.plate.PeerAddress(ip))
		}
		h.pass(h.feeler.AddSeeds(all, now))
	}
	if now >= h.feelAt {
		h.pass(h.feeler.Tick(now))
		h.feelAt = h.feeler.NextTick()
	}
}
