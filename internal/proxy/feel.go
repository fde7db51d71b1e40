package proxy

import (
	"bytes"
	"encoding/gob"
	"net"
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/gossip"
)

const maxDatagramBytes = 8 << 10

// receiveGossip hears the datagrams of other routers until the end.
func (h *Server) receiveGossip(conn net.PacketConn) {
	b := make([]byte, maxDatagramBytes)
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
			h.MalformedInputs.Add(1)
			continue
		}
		h.queue.Put(eventloop.PriorityOutcomes, func() { h.sendGossip(h.membership.HandleMessage(m, h.clock.Now())) })
	}
}

// sendGossip sends what the feeler asks for; a datagram that can't go at once is lost, as any may be.
func (h *Server) sendGossip(all []gossip.Outgoing) {
	for _, o := range all {
		to, err := net.ResolveUDPAddr("udp4", o.To)
		if err != nil {
			continue
		}
		var b bytes.Buffer
		if gob.NewEncoder(&b).Encode(o.Message) == nil && b.Len() <= maxDatagramBytes {
			h.gossipConn.SetWriteDeadline(time.Now().Add(time.Millisecond))
			h.gossipConn.WriteTo(b.Bytes(), to)
		}
	}
}

// tickGossip has the feeler do what is due, and know of routers that the control plane named.
func (h *Server) tickGossip(addresses []string) {
	if h.membership == nil {
		return
	}
	now := h.clock.Now()
	if len(addresses) > 0 {
		var all []string
		for _, ip := range addresses {
			all = append(all, h.settings.PeerAddress(ip))
		}
		h.sendGossip(h.membership.AddSeeds(all, now))
	}
	if now >= h.nextGossipAt {
		h.sendGossip(h.membership.Tick(now))
		h.nextGossipAt = h.membership.NextTick()
	}
}
