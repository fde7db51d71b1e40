package planner

import (
	"cmp"
	"slices"
	"strings"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// burstDivisor limits a burst of probes to ProbesPerSecond/burstDivisor.
	burstDivisor = 4
	// maxBackoffIntervals is the maximum backoff of an unresponsive host, in probe intervals.
	maxBackoffIntervals = 4
	// stalePrimaryIntervals is the number of probe intervals without a response after which a primary counts as
	// unresponsive and the set is probed for another one.
	stalePrimaryIntervals = 2
	// probeJitterDivisor limits the jitter of probes to PrimaryProbeInterval/probeJitterDivisor.
	probeJitterDivisor = 4
)

// Priority of probes when the limits do not allow all that are due; a higher value comes first.
const (
	urgencyUnresponsive = iota
	urgencyResponsive
	urgencyNoPrimary // the set has no responsive primary
)

// ProbeFinished reports the result of a probe that Tick requested and that was sent at
// sentAt. position is -1 if the response contained none.
func (p *Planner) ProbeFinished(now policy.TenthMs, name string, responded bool, position policy.TenthMs, role policy.Role, sentAt policy.TenthMs) {
	p.advance(now)
	p.probesInFlight--
	probed := p.hosts[name]
	if probed == nil {
		return
	}
	probed.probing = false
	if !responded {
		p.FailedProbes++
		probed.backoff = min(max(p.config.PrimaryProbeInterval, 2*probed.backoff), maxBackoffIntervals*p.config.ProbeInterval)
		return
	}
	probed.backoff, probed.lastResponseAt = 0, p.now
	if position >= 0 && position <= view.MaxPosition(p.now) {
		if probed.evidence.Observe(position, role, sentAt >= probed.positionProbedAt) {
			probed.unpublished = true
		}
		probed.positionProbedAt = p.now
	}
}

// startProbes returns the names of the hosts to probe now and marks them as being
// probed. In a set without a responsive primary, hosts that do not report to be the
// primary are probed every PrimaryProbeInterval. Other hosts are probed once they
// have not responded to a forwarder or a probe for ProbeInterval.
func (p *Planner) startProbes() []string {
	allowed := p.allowedProbes()
	if allowed <= 0 {
		return nil
	}
	var names []string
	for _, host := range p.dueHosts(allowed) {
		p.probesInFlight++
		p.probeCredit--
		host.probing = true
		// The jitter keeps planners from probing in lockstep.
		jitter := policy.TenthMs(p.randomFraction() * float64(p.config.PrimaryProbeInterval) / probeJitterDivisor)
		host.probedAt = max(1, p.now-jitter)
		names = append(names, host.name)
	}
	return names
}

// allowedProbes returns the number of probes that the limits allow now.
func (p *Planner) allowedProbes() int {
	perSecond := float64(p.config.ProbesPerSecond)
	earned := perSecond * float64(p.now-p.creditUpdatedAt) / float64(second)
	p.probeCredit = min(perSecond/burstDivisor, p.probeCredit+earned)
	p.creditUpdatedAt = p.now
	return min(p.config.MaxProbesInFlight-p.probesInFlight, int(p.probeCredit))
}

// dueHosts returns at most limit hosts whose probes are due, the most urgent first.
func (p *Planner) dueHosts(limit int) []*host {
	withoutPrimary := p.setsWithoutPrimary()
	order := func(a, b *host) int {
		return cmp.Or(
			cmp.Compare(b.probeUrgency(withoutPrimary), a.probeUrgency(withoutPrimary)),
			cmp.Compare(a.probedAt, b.probedAt),
			strings.Compare(a.name, b.name),
		)
	}
	var due []*host
	for _, candidate := range p.hosts {
		if !p.isDue(candidate, withoutPrimary) {
			continue
		}
		if len(due) == limit && order(candidate, due[limit-1]) > 0 {
			continue
		}
		position, _ := slices.BinarySearchFunc(due, candidate, order)
		due = slices.Insert(due, position, candidate)
		due = due[:min(len(due), limit)]
	}
	return due
}

// isDue reports whether a host's probe interval or backoff has passed and no probe
// of it is in flight.
func (p *Planner) isDue(host *host, withoutPrimary map[int64]bool) bool {
	if host.probing {
		return false
	}
	if host.probedAt == 0 {
		return true
	}
	interval := p.config.ProbeInterval
	switch {
	case withoutPrimary[host.set] && host.evidence.Role != policy.Primary:
		interval = p.config.PrimaryProbeInterval
	case host.backoff > 0:
		interval = host.backoff
	}
	return p.now >= max(host.lastResponseAt, host.probedAt)+interval
}

// probeUrgency returns the priority of the host's next probe.
func (h *host) probeUrgency(withoutPrimary map[int64]bool) int {
	switch {
	case withoutPrimary[h.set]:
		return urgencyNoPrimary
	case h.backoff == 0:
		return urgencyResponsive
	}
	return urgencyUnresponsive
}

// setsWithoutPrimary returns for each replica set whether it lacks a responsive
// primary: no host reports to be the primary, or the latest one that did is
// unresponsive.
func (p *Planner) setsWithoutPrimary() map[int64]bool {
	withoutPrimary := map[int64]bool{}
	primaries := map[int64]*host{}
	for _, host := range p.hosts {
		withoutPrimary[host.set] = true
		if host.evidence.Role == policy.Primary && host.isNewerPrimary(primaries[host.set]) {
			primaries[host.set] = host
		}
	}
	for set, primary := range primaries {
		withoutPrimary[set] = primary.backoff > 0 || p.now > primary.lastResponseAt+stalePrimaryIntervals*p.config.ProbeInterval
	}
	return withoutPrimary
}

// isNewerPrimary reports whether the host reported its role at a newer position
// than the other one. Equal positions are ordered by name.
func (h *host) isNewerPrimary(other *host) bool {
	switch {
	case other == nil:
		return true
	case h.evidence.RolePosition != other.evidence.RolePosition:
		return h.evidence.RolePosition > other.evidence.RolePosition
	}
	return h.name < other.name
}
