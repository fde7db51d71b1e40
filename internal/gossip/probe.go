package gossip

import (
	"maps"
	"slices"
)

// deadProbeOneIn is the inverse probability that a dead proxy is probed when its turn comes. Dead proxies are still probed because
// they may have been restarted.
const deadProbeOneIn = 4

// probe is a ping that has not been acknowledged yet. It is sent by this proxy's own failure detector, to a seed, or on behalf of
// another proxy.
type probe struct {
	sentAt       int64
	name         string   // name of the probed proxy; empty if sent to a seed or on behalf of another proxy
	ackFrom      []string // addresses from which an ack is accepted: the target and the receivers of PingRequests
	indirectSent bool     // PingRequests were sent

	requester       string // address of the proxy on whose behalf the ping was sent; empty if none
	requesterSerial uint64 // serial of the PingRequest of the requester
}

// ping returns a ping for a probe. If maxMembers probes are outstanding, the probe is not tracked and its ack will be discarded.
func (m *Membership) ping(address string, p *probe) Outgoing {
	m.lastSerial++
	m.Probes++
	p.ackFrom = []string{address}
	if len(m.probes) < maxMembers {
		m.probes[m.lastSerial] = p
	}
	return Outgoing{address, m.newMessage(Ping, m.lastSerial)}
}

// handlePingRequest pings a target on behalf of another proxy.
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

// tickProbes sends the PingRequests that are due (SWIM 3.1), and marks the targets of failed probes as suspected.
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
			out = append(out, m.sendPingRequests(serial, p, target)...)
		}
	}
	return out
}

func (m *Membership) sendPingRequests(serial uint64, p *probe, target *member) (out []Outgoing) {
	p.indirectSent = true
	for _, helper := range m.chooseAlive(m.IndirectProbes, p.name) {
		request := m.newMessage(PingRequest, serial)
		request.Target = target.Address
		p.ackFrom = append(p.ackFrom, helper.Address)
		out = append(out, Outgoing{helper.Address, request})
	}
	return out
}

// startProbe pings the next target if the next protocol period has begun.
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

// nextTarget returns the proxy to probe next, or nil if there is none. Each round probes all proxies, in a new random order (SWIM
// 4.3).
func (m *Membership) nextTarget() *member {
	for range 2 { // the rest of this round, then a new round
		for len(m.probeQueue) > 0 {
			target := m.members[m.probeQueue[0]]
			m.probeQueue = m.probeQueue[1:]
			if target != nil && (target.State != Dead || m.randomBelow(deadProbeOneIn) == 0) {
				return target
			}
		}
		m.probeQueue = m.sortedNames()
		for i := len(m.probeQueue) - 1; i > 0; i-- {
			j := m.randomBelow(i + 1)
			m.probeQueue[i], m.probeQueue[j] = m.probeQueue[j], m.probeQueue[i]
		}
	}
	return nil
}

// chooseAlive returns up to count random alive proxies, other than the one named except.
func (m *Membership) chooseAlive(count int, except string) (chosen []*member) {
	names := m.sortedNames()
	for len(chosen) < count && len(names) > 0 {
		i := m.randomBelow(len(names))
		candidate := m.members[names[i]]
		names = slices.Delete(names, i, i+1)
		if candidate.State == Alive && candidate.Name != except {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}
