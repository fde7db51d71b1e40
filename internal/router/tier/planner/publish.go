package planner

import (
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// minChangesPerReport is the minimum number of change intervals between two reports of a forwarder.
	minChangesPerReport = 2

	// positionBytes is the approximate encoded size of one host's position in a frame.
	positionBytes = 96

	// Lateness is published in halves of the unloaded latency, at most maxLateness, plus one.
	maxLateness       = 12
	hundredthsPerStep = 100
)

// reportInterval returns the interval at which each forwarder reports, so that all
// forwarders together do not exceed ReportsPerSecond.
func (p *Planner) reportInterval() policy.TenthMs {
	return max(minChangesPerReport*p.changeInterval(), p.intervalForRate(p.config.ReportsPerSecond))
}

// changeInterval returns the interval between two changes, so that the frames to
// all forwarders together do not exceed FramesPerSecond.
func (p *Planner) changeInterval() policy.TenthMs {
	return max(p.config.ChangeInterval, p.intervalForRate(p.config.FramesPerSecond))
}

// intervalForRate returns the interval between a forwarder's messages at which all forwarders together reach a rate.
func (p *Planner) intervalForRate(perSecond int) policy.TenthMs {
	return policy.TenthMs(len(p.forwarders)) * second / policy.TenthMs(perSecond)
}

// positionInterval returns the interval between two publications of a host's
// position, so that all positions sent to all forwarders do not exceed
// PositionBytesPerSecond.
func (p *Planner) positionInterval() policy.TenthMs {
	bytes := float64(len(p.hosts) * len(p.forwarders) * positionBytes)
	return policy.TenthMs(bytes * float64(second) / float64(p.config.PositionBytesPerSecond))
}

// publish copies changed evidence and lateness to the view: changes of a primary
// immediately, all others at the position interval.
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

// primaryChanged reports whether the host has gained or lost the role of primary since it was last published.
func (h *host) primaryChanged() bool {
	if h.publishedRole == h.evidence.Role {
		return false
	}
	return h.publishedRole == policy.Primary || h.evidence.Role == policy.Primary
}

// updateLateness ends a lateness interval. The lateness to publish is the mean over
// this interval and the previous one.
func (h *host) updateLateness() {
	lateness := uint8(0)
	if responses := h.responses + h.previousResponses; responses > 0 {
		mean := (h.latenessSum + h.previousLatenessSum) / responses
		lateness = 1 + uint8(min(maxLateness, mean/hundredthsPerStep))
	}
	if lateness != h.lateness {
		h.lateness, h.unpublished = lateness, true
	}
	h.previousResponses, h.previousLatenessSum = h.responses, h.latenessSum
	h.responses, h.latenessSum = 0, 0
}
