package planner

import (
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// A lease lasts leaseIntervals report intervals plus one second, so that it
	// survives a report that is lost or late.
	leaseIntervals = 3
	// A link is closed after silentIntervals report intervals plus one second without a frame.
	silentIntervals = 4

	// Limits on one host's values in a report: the number of responses, and the mean
	// lateness of a response in hundredths of half the unloaded latency.
	maxReportedResponses   = 1 << 16
	maxLatenessPerResponse = 10000
)

// leaseKey identifies a forwarder's process. Processes with the same name hold
// separate leases, since each uses a share of the hosts' capacity. After a restart
// the old process counts until its lease expires.
type leaseKey struct {
	name        string
	incarnation uint64
}

// Forwarder is the state of a connected forwarder.
type Forwarder struct {
	planner       *Planner
	key           leaseKey
	lastFrameAt   policy.TenthMs
	needsFullView bool
}

// LeaseCount returns the number of forwarders that hold a lease and so share the hosts.
func (p *Planner) LeaseCount() int { return len(p.leases) }

// ForwarderCount returns the number of connected forwarders.
func (p *Planner) ForwarderCount() int { return len(p.forwarders) }

// AddForwarder adds an authenticated forwarder, or returns nil if MaxForwarders are
// connected. The forwarder gets a lease only with its first frame: a greeting may
// be a replay, a frame cannot be.
func (p *Planner) AddForwarder(now policy.TenthMs, name string, incarnation uint64) *Forwarder {
	p.advance(now)
	if len(p.forwarders) >= p.config.MaxForwarders {
		return nil
	}
	forwarder := &Forwarder{planner: p, key: leaseKey{name, incarnation}, lastFrameAt: p.now}
	p.forwarders[forwarder] = true
	return forwarder
}

// LinkReady reports that the connection is ready for frames. The forwarder is sent the full view with the next change.
func (f *Forwarder) LinkReady() { f.needsFullView = true }

// Disconnected reports the end of the connection. The lease stays valid until it
// expires, since the forwarder may still serve clients and have lost only this link.
func (f *Forwarder) Disconnected() { delete(f.planner.forwarders, f) }

// RequestFullView handles a request of the forwarder for the full view.
func (f *Forwarder) RequestFullView(now policy.TenthMs) {
	f.planner.advance(now)
	f.needsFullView = true
	f.renewLease()
}

// HandleReport handles a report of the forwarder.
func (f *Forwarder) HandleReport(now policy.TenthMs, report link.Report) {
	f.planner.advance(now)
	f.renewLease()
	for _, observation := range report.Observations {
		if observed := f.planner.hosts[observation.Name]; observed != nil {
			f.applyObservation(observed, observation)
		}
	}
}

// applyObservation applies a forwarder's observation of one host. Evidence with
// implausible positions is ignored, and so is cold work of another start of the host.
func (f *Forwarder) applyObservation(observed *host, observation link.Observation) {
	p := f.planner
	if p.isPlausible(observation.Evidence) && observed.evidence.Merge(observation.Evidence) {
		observed.unpublished = true
	}
	if observation.Responses > 0 {
		responses := min(observation.Responses, maxReportedResponses)
		observed.lastResponseAt, observed.backoff = p.now, 0
		observed.responses += responses
		observed.latenessSum += min(observation.LatenessSum, maxLatenessPerResponse*responses)
	}
	if observation.BootedAt <= 0 || observation.BootedAt != observed.bootedAt {
		return
	}
	if added := observation.ColdWork - observed.coldWork[f.key.incarnation]; added > 0 {
		observed.coldWork[f.key.incarnation] = observation.ColdWork
		p.ColdWork += added
	}
}

// isPlausible reports whether both positions are in the range that a host can have reported by now.
func (p *Planner) isPlausible(evidence view.Evidence) bool {
	limit := view.MaxPosition(p.now)
	return evidence.Position >= 0 && evidence.Position <= limit && evidence.RolePosition >= 0 && evidence.RolePosition <= limit
}

// renewLease extends the forwarder's lease after a frame was received.
func (f *Forwarder) renewLease() {
	p := f.planner
	f.lastFrameAt = p.now
	if _, held := p.leases[f.key]; !held && p.hasLeaseForName(f.key.name) {
		p.DuplicateLeases++
	}
	p.leases[f.key] = p.now + leaseIntervals*p.reportInterval() + second
}

func (p *Planner) hasLeaseForName(name string) bool {
	for key := range p.leases {
		if key.name == name {
			return true
		}
	}
	return false
}

func (p *Planner) expireLeases() {
	for key, expiresAt := range p.leases {
		if p.now >= expiresAt {
			delete(p.leases, key)
		}
	}
}

// removeSilentForwarders removes and returns the forwarders whose timeout without a
// frame has passed: the forwarder hangs, or its link is half-open.
func (p *Planner) removeSilentForwarders() []*Forwarder {
	var removed []*Forwarder
	for forwarder := range p.forwarders {
		if p.now >= forwarder.lastFrameAt+silentIntervals*p.reportInterval()+second {
			p.TimedOutLinks++
			delete(p.forwarders, forwarder)
			removed = append(removed, forwarder)
		}
	}
	return removed
}

// takeFullViewRequests returns the forwarders that need the full view and clears their requests.
func (p *Planner) takeFullViewRequests() []*Forwarder {
	var requests []*Forwarder
	for forwarder := range p.forwarders {
		if forwarder.needsFullView {
			forwarder.needsFullView = false
			requests = append(requests, forwarder)
		}
	}
	return requests
}
