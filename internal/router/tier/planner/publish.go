package planner

import (
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// minChangesPerReport is the least number of change intervals between two reports of a forwarder.
	minChangesPerReport = 2

	// positionBytes is about what the position of one host takes in a frame.
	positionBytes = 96

	// Lateness is published in tenths of the response target, up to maxLateness, plus one.
	maxLateness         = 12
	thousandthsPerTenth = 100
)

// reportInterval is how often forwarders report, so that all together keep to the
// configured reports a second.
func (p *Planner) reportInterval() policy.TenthMs {
	return max(minChangesPerReport*p.changeInterval(), p.intervalForRate(p.config.ReportsPerSecond))
}

// changeInterval is the time between two changes, so that all forwarders together
// are sent no more than the configured frames a second.
func (p *Planner) changeInterval() policy.TenthMs {
	return max(p.config.ChangeInterval, p.intervalForRate(p.config.FramesPerSecond))
}

// intervalForRate is the time that one message of each forwarder takes at a rate of all.
func (p *Planner) intervalForRate(perSecond int) policy.TenthMs {
	return policy.TenthMs(len(p.forwarders)) * second / policy.TenthMs(perSecond)
}

// positionInterval is the time between two positions of one host, so that all
// positions to all forwarders keep to the configured bytes a second.
func (p *Planner) positionInterval() policy.TenthMs {
	bytes := float64(len(p.hosts) * len(p.forwarders) * positionBytes)
	return policy.TenthMs(bytes * float64(second) / float64(p.config.PositionBytesPerSecond))
}

// publish moves what is known into the view: a change of the primary at once, all
// else at the position interval.
func (p *Planner) publish() {
	latenessDue := p.now >= p.nextLatenessAt
	if latenessDue {
		p.nextLatenessAt = p.now + max(second, p.reportInterval())
	}
	interval := p.positionInterval()
	for _, host := range p.hosts {
		if latenessDue {
			host.updateLateness()
		}
		if host.unpublished && (host.primaryChanged() || p.now >= host.publishedAt+interval) {
			p.publishHost(host)
		}
	}
	p.view.RouterCount = len(p.leases)
}

func (p *Planner) publishHost(host *host) {
	p.view.AddEvidence(host.evidence, view.MaxPosition(p.now))
	p.view.SetLateness(host.name, host.lateness)
	host.publishedAt, host.unpublished = p.now, false
	host.publishedRole = host.evidence.Role
}

// primaryChanged reports whether the host has become a primary, or ceased to be one, since it was published.
func (h *host) primaryChanged() bool {
	if h.publishedRole == h.evidence.Role {
		return false
	}
	return h.publishedRole == policy.Primary || h.evidence.Role == policy.Primary
}

// updateLateness ends an interval of lateness: the mean of this one and the one
// before is to be published.
func (h *host) updateLateness() {
	lateness := uint8(0)
	if responses := h.responses + h.previousResponses; responses > 0 {
		mean := (h.latenessSum + h.previousLatenessSum) / responses
		lateness = 1 + uint8(min(maxLateness, mean/thousandthsPerTenth))
	}
	if lateness != h.lateness {
		h.lateness, h.unpublished = lateness, true
	}
	h.previousResponses, h.previousLatenessSum = h.responses, h.latenessSum
	h.responses, h.latenessSum = 0, 0
}
