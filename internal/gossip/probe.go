package gossip

import (
	"maps"
	"slices"
)

// deadProbeOneIn is the chance that a dead proxy is probed when its turn comes; it may have returned.
const deadProbeOneIn = 4

// probe is a ping without an ack so far. It is sent for this proxy's own failure detector, to a seed, or for another proxy.
type probe struct {
	sentAt       int64
	name         string   // of the proxy that is probed; empty for a seed and for another proxy's probe
	ackFrom      []string // addresses that may ack: the target's, and those that were sent a PingRequest for it
	indirectSent bool     // the PingRequests were sent

	requester       string // address of the proxy that sent a PingRequest, if any
	requesterSerial uint64 // of that PingRequest
}

// ping sends a ping for a probe. Beyond maxMembers outstanding probes, its ack is not waited for.
func (m *Membership) ping(address string, p *probe) Outgoing {
	m.lastSerial++
	m.Probes++
	p.ackFrom = []string{address}
	if len(m.probes) < maxMembers {
		m.probes[m.lastSerial] = p
	}
	return Outgoing{address, m.newMessage(Ping, m.lastSerial)}
}

// handlePingRequest pings a target for another proxy.
func (m *Membership) handlePingRequest(message Message) []Outgoing {
	if message.Target == "" || message.Target == m.self.Address {
		return nil
	}
	p := &probe{sentAt: m.now, requester: message.From, requesterSerial: message.Serial}
	return []Outgoing{m.ping(message.Target, p)}
}

func (m *Membership) handleAck(message Message) []Outgoing {
	p := m.probes[message.Serial]
	if p == nil || !slices.Contains(p.ackFrom, message.From) {
		m.DiscardedAcks++
		return nil
	}
	delete(m.probes, message.Serial)
	if p.requester == "" {
		return nil
	}
	return []Outgoing{{p.requester, m.newMessage(Ack, p.requesterSerial)}}
}

// tickProbes sends the indirect pings that are due (SWIM 3.1), and suspects the targets of probes that failed.
func (m *Membership) tickProbes() (out []Outgoing) {
	for _, serial := range slices.Sorted(maps.Keys(m.probes)) {
		p := m.probes[serial]
		target := m.members[p.name]
		ownProbe := target != nil && p.requester == ""
		switch {
		case m.now >= p.sentAt+m.ProbePeriodMs:
			delete(m.probes, serial)
			if ownProbe && target.State == Alive {
				m.setState(target, Suspect)
			}
		case ownProbe && !p.indirectSent && m.now >= p.sentAt+m.AckTimeoutMs:
			out = append(out, m.sendIndirect(serial, p, target)...)
		}
	}
	return out
}

func (m *Membership) sendIndirect(serial uint64, p *probe, target *member) (out []Outgoing) {
	p.indirectSent = true
	for _, helper := range m.chooseAlive(m.IndirectProbes, p.name) {
		request := m.newMessage(PingRequest, serial)
		request.Target = target.Address
		p.ackFrom = append(p.ackFrom, helper.Address)
		out = append(out, Outgoing{helper.Address, request})
	}
	return out
}

// startProbe pings the next target if a protocol period has passed.
func (m *Membership) startProbe() []Outgoing {
	if m.now < m.nextProbeAt {
		return nil
	}
	m.nextProbeAt = m.now + m.ProbePeriodMs
	target := m.nextTarget()
	if target == nil {
		return nil
	}
	return []Outgoing{m.ping(target.Address, &probe{name: target.Name, sentAt: m.now})}
}

// nextTarget returns the proxy to probe next: all in a random order, then all in another (SWIM 4.3). It returns nil if there is
// none.
func (m *Membership) nextTarget() *member {
	for range 2 { // the rest of this round, and a new one
		for len(m.targets) > 0 {
			target := m.members[m.targets[0]]
			m.targets = m.targets[1:]
			if target != nil && (target.State != Dead || m.random(deadProbeOneIn) == 0) {
				return target
			}
		}
		m.targets = m.sortedNames()
		for i := len(m.targets) - 1; i > 0; i-- {
			j := m.random(i + 1)
			m.targets[i], m.targets[j] = m.targets[j], m.targets[i]
		}
	}
	return nil
}

// chooseAlive returns up to count random proxies that are alive, except one.
func (m *Membership) chooseAlive(count int, except string) (chosen []*member) {
	names := m.sortedNames()
	for len(chosen) < count && len(names) > 0 {
		i := m.random(len(names))
		candidate := m.members[names[i]]
		names = slices.Delete(names, i, i+1)
		if candidate.State == Alive && candidate.Name != except {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}
