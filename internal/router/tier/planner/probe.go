package planner

import (
	"cmp"
	"slices"
	"strings"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// burstDivisor is the part of a second's probes (one in burstDivisor) that may be sent at once.
	burstDivisor = 4
	// maxBackoffIntervals bounds the backoff of a host that does not respond, in probe intervals.
	maxBackoffIntervals = 4
	// stalePrimaryIntervals is after how many probe intervals without a response a set is searched for another primary.
	stalePrimaryIntervals = 2
	// probeJitterDivisor is the part of the search interval (one in probeJitterDivisor) by which probes are spread at random.
	probeJitterDivisor = 4
)

// The order in which hosts are probed if not all can be.
const (
	urgencyUnresponsive = iota
	urgencyResponsive
	urgencyNoPrimary // its set has no primary that responds
)

// ProbeFinished ends a probe that Tick asked for and that was sent at a time. position is
// -1 if the response named none.
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

// startProbes returns the hosts to probe now: often the replicas of a set whose
// primary is unknown or does not respond, else those that no forwarder has had a
// response from for some time.
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
		// The random part keeps several planners from probing in step.
		jitter := policy.TenthMs(p.randomFraction() * float64(p.config.PrimaryProbeInterval) / probeJitterDivisor)
		host.probedAt = max(1, p.now-jitter)
		names = append(names, host.name)
	}
	return names
}

// allowedProbes returns how many probes the limits allow now.
func (p *Planner) allowedProbes() int {
	perSecond := float64(p.config.ProbesPerSecond)
	earned := perSecond * float64(p.now-p.creditUpdatedAt) / float64(second)
	p.probeCredit = min(perSecond/burstDivisor, p.probeCredit+earned)
	p.creditUpdatedAt = p.now
	return min(p.config.MaxProbesInFlight-p.probesInFlight, int(p.probeCredit))
}

// dueHosts returns the most urgent hosts that are due, at most limit of them, in
// the order in which they are to be probed.
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

// isDue reports whether a host's probe interval has passed.
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

func (h *host) probeUrgency(withoutPrimary map[int64]bool) int {
	switch {
	case withoutPrimary[h.set]:
		return urgencyNoPrimary
	case h.backoff == 0:
		return urgencyResponsive
	}
	return urgencyUnresponsive
}

// setsWithoutPrimary returns, for every set, whether no host says that it is the
// primary, or the one that said so last does not respond.
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

// isNewerPrimary reports whether the host said at a newer position than another
// that it is the primary. Equal positions are ordered by name.
func (h *host) isNewerPrimary(other *host) bool {
	switch {
	case other == nil:
		return true
	case h.evidence.RolePosition != other.evidence.RolePosition:
		return h.evidence.RolePosition > other.evidence.RolePosition
	}
	return h.name < other.name
}
