package proxy

import (
	"bytes"
	"encoding/gob"
	"net"
	"time"

	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/gossip"
)

const (
	maxDatagramBytes = 8 << 10

	// gossipRetryInterval is the pause after a failed read, since the next read may fail immediately too.
	gossipRetryInterval = 50 * time.Millisecond

	// gossipWriteTimeout bounds the time that the event loop spends on sending a datagram.
	gossipWriteTimeout = time.Millisecond
)

// receiveGossip passes datagrams from other proxies to the event loop until the server's context is canceled.
func (s *Server) receiveGossip() {
	datagram := make([]byte, maxDatagramBytes)
	for {
		length, from, err := s.gossipConn.ReadFrom(datagram)
		if s.ctx.Err() != nil {
			return
		}
		if err != nil {
			select {
			case <-s.ctx.Done():
			case <-time.After(gossipRetryInterval):
			}
			continue
		}
		var message gossip.Message
		if gob.NewDecoder(bytes.NewReader(datagram[:length])).Decode(&message) != nil || message.From != from.String() {
			s.counters.malformedInputs.Add(1)
			continue
		}
		s.queue.Put(eventloop.PriorityOutcomes, func() {
			s.sendGossip(s.membership.HandleMessage(message, s.clock.Now()))
		})
	}
}

// sendGossip sends datagrams. A datagram that can't be sent within gossipWriteTimeout is dropped; gossip tolerates lost datagrams.
func (s *Server) sendGossip(outgoing []gossip.Outgoing) {
	for _, out := range outgoing {
		to, err := net.ResolveUDPAddr("udp4", out.To)
		if err != nil {
			continue
		}
		var datagram bytes.Buffer
		if gob.NewEncoder(&datagram).Encode(out.Message) == nil && datagram.Len() <= maxDatagramBytes {
			s.gossipConn.SetWriteDeadline(time.Now().Add(gossipWriteTimeout))
			s.gossipConn.WriteTo(datagram.Bytes(), to)
		}
	}
}

// tickGossip sends the probes and updates that are due. seeds are the IP addresses of proxies received from the control plane.
func (s *Server) tickGossip(seeds []string) {
	if s.membership == nil {
		return
	}
	now := s.clock.Now()
	if len(seeds) > 0 {
		addresses := make([]string, len(seeds))
		for i, ip := range seeds {
			addresses[i] = s.settings.PeerAddress(ip)
		}
		s.sendGossip(s.membership.AddSeeds(addresses, now))
	}
	if now >= s.nextGossipAt {
		s.sendGossip(s.membership.Tick(now))
		s.nextGossipAt = s.membership.NextTick()
	}
}
