package follower

import (
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

// Planner is the state of the link to one planner.
type Planner struct {
	Address string // host and port, as given to New

	follower       *Follower
	replica        view.Replica
	connected      bool
	dialing        bool
	nextDialAt     policy.TenthMs
	backoff        policy.TenthMs
	lastChangeAt   policy.TenthMs
	reportInterval policy.TenthMs   // that the planner asked for
	lateness       map[string]uint8 // by host, as this planner states it
}

// Connected begins a link. The planner sends a full view unasked.
func (p *Planner) Connected(now policy.TenthMs) {
	p.follower.advance(now)
	p.connected, p.dialing = true, false
	p.lastChangeAt = p.follower.now
	p.reportInterval = 0
	p.replica = view.Replica{}
}

// Disconnected ends a link, or a failed attempt to dial. The backoff doubles up to its
// limit; a random part of it is left out, so that forwarders do not all return to
// a planner at once.
func (p *Planner) Disconnected(now policy.TenthMs) {
	f := p.follower
	f.advance(now)
	p.connected, p.dialing = false, false
	p.nextDialAt = f.now + policy.TenthMs((0.5+f.randomFraction()/2)*float64(p.backoff))
	p.backoff = min(2*p.backoff, f.config.MaxBackoff)
	f.clearLateness(p)
}

// ApplyChange applies a change that a planner sent. It reports whether the caller
// must request a full view, since the change does not fit what is known.
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

// applyLateness stores the lateness that the planner states for hosts.
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

// silenceTimeout is how long the planner may send nothing.
func (p *Planner) silenceTimeout() policy.TenthMs {
	return max(p.follower.config.PlannerTimeout, missedIntervals*p.reportInterval)
}

// isCurrent reports whether the planner's view is complete and recent.
func (p *Planner) isCurrent() bool {
	return p.connected && p.replica.Complete() && p.follower.now < p.lastChangeAt+p.silenceTimeout()
}
