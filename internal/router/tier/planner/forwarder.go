package planner

import (
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// A lease lasts leaseIntervals report intervals and a second, so that a report
	// may be lost or late.
	leaseIntervals = 3
	// A link without frames is closed after silentIntervals report intervals and a second.
	silentIntervals = 4

	// Bounds on what one report may say of a host: the responses, and the sum of
	// their lateness, in thousandths of the response target each.
	maxReportedResponses   = 1 << 16
	maxLatenessPerResponse = 10000
)

// leaseKey identifies a forwarder's process. After a restart both processes count
// until the old lease ends, and two processes of one name count as two, since each
// takes its share of the hosts.
type leaseKey struct {
	name        string
	incarnation uint64
}

// Forwarder is the link to one connected forwarder.
type Forwarder struct {
	planner       *Planner
	key           leaseKey
	lastFrameAt   policy.TenthMs
	needsFullView bool
}

// LeaseCount returns how many forwarders hold a lease, and so share the hosts.
func (p *Planner) LeaseCount() int { return len(p.leases) }

// ForwarderCount returns how many forwarders are connected.
func (p *Planner) ForwarderCount() int { return len(p.forwarders) }

// AddForwarder adds a forwarder that has shown the key, or returns nil if there are too
// many. It gets a lease only with its first frame: a greeting could be a replay,
// but a frame could not.
func (p *Planner) AddForwarder(now policy.TenthMs, name string, incarnation uint64) *Forwarder {
	p.advance(now)
	if len(p.forwarders) >= p.config.MaxForwarders {
		return nil
	}
	forwarder := &Forwarder{planner: p, key: leaseKey{name, incarnation}, lastFrameAt: p.now}
	p.forwarders[forwarder] = true
	return forwarder
}

// Started says that the connection can carry frames. The next change sends it the full view.
func (f *Forwarder) Started() { f.needsFullView = true }

// Disconnected ends the connection. The lease runs on: the forwarder may still serve
// clients and be disconnected from this planner alone.
func (f *Forwarder) Disconnected() { delete(f.planner.forwarders, f) }

// RequestFullView handles the forwarder's request for the full view.
func (f *Forwarder) RequestFullView(now policy.TenthMs) {
	f.planner.advance(now)
	f.needsFullView = true
	f.renewLease()
}

// HandleReport handles what the forwarder observed of hosts.
func (f *Forwarder) HandleReport(now policy.TenthMs, report link.Report) {
	f.planner.advance(now)
	f.renewLease()
	for _, observation := range report.Observations {
		if observed := f.planner.hosts[observation.Name]; observed != nil {
			f.applyObservation(observed, observation)
		}
	}
}

// applyObservation adds what a forwarder observed of one host. Positions that no
// host can have reached are ignored, and so is work of another start of the host.
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

// isPlausible reports whether a host can have said this by now.
func (p *Planner) isPlausible(evidence view.Evidence) bool {
	limit := view.MaxPosition(p.now)
	return evidence.Position >= 0 && evidence.Position <= limit && evidence.RolePosition >= 0 && evidence.RolePosition <= limit
}

// renewLease notes a frame of the forwarder, which extends its lease.
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

// removeSilentForwarders removes and returns the forwarders that have sent nothing
// for so long that they hang, or their links are half-open.
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

// takeFullViewRequests returns the forwarders that need the full view, once.
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
