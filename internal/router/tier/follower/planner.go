package follower

import (
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// Planner is the state of the link to a planner.
type Planner struct {
	Address string // host and port, as given to New

	follower       *Follower
	replica        view.Replica
	connected      bool
	dialing        bool
	nextDialAt     policy.TenthMs
	backoff        policy.TenthMs
	lastChangeAt   policy.TenthMs
	reportInterval policy.TenthMs   // interval requested by the planner
	lateness       map[string]uint8 // lateness of each host as reported by this planner
}

// Connected reports that the link is established. The planner sends a full view without a request.
func (p *Planner) Connected(now policy.TenthMs) {
	p.follower.advance(now)
	p.connected, p.dialing = true, false
	p.lastChangeAt = p.follower.now
	p.reportInterval = 0
	p.replica = view.Replica{}
}

// Disconnected reports the end of the link or a failed attempt to dial. The backoff
// doubles up to MaxBackoff. The delay is reduced by a random part, so that not all
// forwarders reconnect to a planner at the same time.
func (p *Planner) Disconnected(now policy.TenthMs) {
	f := p.follower
	f.advance(now)
	p.connected, p.dialing = false, false
	p.nextDialAt = f.now + policy.TenthMs((0.5+f.randomFraction()/2)*float64(p.backoff))
	p.backoff = min(2*p.backoff, f.config.MaxBackoff)
	f.clearLateness(p)
}

// ApplyChange applies a change received from the planner. It reports whether the
// caller must request a full view because the change cannot be applied.
func (p *Planner) ApplyChange(now policy.TenthMs, change view.Change) (needFullView bool) {
	f := p.follower
	f.advance(now)
	p.lastChangeAt, f.lastChangeAt = f.now, f.now
	p.reportInterval = change.ReportInterval
	p.backoff = f.config.InitialBackoff
	applied, err := p.replica.Apply(change)
	if err != nil {
		f.countResync(err)
		return true
	}
	if !applied {
		return false
	}
	if change.Full {
		f.view.Merge(&p.replica.View, view.MaxPosition(f.now))
	} else {
		f.view.Merge(p.replica.ChangedPart(change), view.MaxPosition(f.now))
	}
	p.applyLateness(change.Hosts)
	return false
}

// applyLateness stores the lateness that the planner reports for hosts.
func (p *Planner) applyLateness(hosts []view.Host) {
	for _, host := range hosts {
		if p.lateness[host.Name] == host.Lateness {
			continue
		}
		if p.lateness == nil {
			p.lateness = map[string]uint8{}
		}
		p.lateness[host.Name] = host.Lateness
		p.follower.changedLateness[host.Name] = true
	}
}

// silenceTimeout returns the time without a change after which the link has timed out.
func (p *Planner) silenceTimeout() policy.TenthMs {
	return max(p.follower.config.PlannerTimeout, missedIntervals*p.reportInterval)
}

// isCurrent reports whether the planner is connected and its view is complete and recent.
func (p *Planner) isCurrent() bool {
	return p.connected && p.replica.Complete() && p.follower.now < p.lastChangeAt+p.silenceTimeout()
}
