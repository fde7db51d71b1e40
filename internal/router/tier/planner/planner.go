// Package planner is the state machine of a planner. It maintains the view of the
// fleet and decides which hosts to probe, which forwarders hold leases, and when
// changes are sent to forwarders.
//
// The caller reports each event (a list, the result of a probe, a frame of a
// forwarder) by calling a method with the time of the event, and then calls Tick,
// which returns the actions that are due. Events update the evidence of each host.
// The evidence is published periodically to a view.View, whose changes are sent to
// all forwarders. The intervals grow with the number of forwarders, so that the
// total load stays within the configured rates.
//
// Forwarders do not rely on the correctness of a planner: they apply their rules
// on any view, and ignore evidence that a host cannot have reported.
//
// The package does no I/O and reads no clock. All times are policy.TenthMs, tenths
// of a millisecond.
package planner

import (
	"hash/crc32"
	"strconv"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const second = policy.TenthMs(10000)

const (
	// The view is compacted once it has more than minTombstones + n/tombstoneDivisor
	// tombstones, where n is the number of all hosts.
	minTombstones    = 64
	tombstoneDivisor = 4
)

// Config holds the intervals and limits of a planner. No field has a default value.
type Config struct {
	Generation             uint64         // generation of the list versions, see view.Version
	ChangeInterval         policy.TenthMs // minimum interval between two changes
	ProbeInterval          policy.TenthMs // time without a response after which a host is probed
	PrimaryProbeInterval   policy.TenthMs // interval between probes of a host whose set has no responsive primary
	MaxProbesInFlight      int            // maximum number of probes in flight; 0 disables probes
	ProbesPerSecond        int            // maximum rate of probes
	MaxForwarders          int            // maximum number of connected forwarders
	ReportsPerSecond       int            // maximum rate of reports from all forwarders together
	FramesPerSecond        int            // maximum rate of frames to all forwarders together
	PositionBytesPerSecond int            // maximum rate of position bytes to all forwarders together
}

// Planner is the state of a planner. It is not safe for concurrent use.
type Planner struct {
	config      Config
	incarnation uint64 // differs after each restart; also seeds the random numbers
	sequence    uint64 // sequence number of the last change
	randomDraws uint64
	now         policy.TenthMs

	nextChangeAt    policy.TenthMs
	nextLatenessAt  policy.TenthMs // when the lateness of the hosts is next computed
	creditUpdatedAt policy.TenthMs // when probeCredit was last updated
	probeCredit     float64        // tokens of the rate limit; a probe takes one
	probesInFlight  int

	view       view.View
	hosts      map[string]*host // active hosts
	forwarders map[*Forwarder]bool
	leases     map[leaseKey]policy.TenthMs // expiry time of each lease

	// Counters: leases granted to a name that already held one (also after a restart
	// of the forwarder), links closed after a timeout, probes without a response, and
	// work sent to hosts after their start, in thousandths of a command of average
	// cost.
	DuplicateLeases, TimedOutLinks, FailedProbes, ColdWork int64
}

// host is the state of an active host that is not part of the view.
type host struct {
	name     string
	set      int64
	bootedAt policy.TenthMs

	evidence         view.Evidence
	positionProbedAt policy.TenthMs // end of the last probe whose response had a position
	unpublished      bool           // evidence or lateness has changed since it was published
	publishedAt      policy.TenthMs

	publishedRole  policy.Role
	lastResponseAt policy.TenthMs // last response to a probe or to any forwarder
	probedAt       policy.TenthMs // start of the last probe; 0 if none since the host's start
	probing        bool
	backoff        policy.TenthMs // delay between probes of an unresponsive host; 0 if the host responds

	responses, latenessSum                 uint32 // in the current lateness interval
	previousResponses, previousLatenessSum uint32 // in the previous lateness interval
	lateness                               uint8

	coldWork map[uint64]int64 // reported by each forwarder, by the forwarder's incarnation
}

// New returns a planner without any hosts. incarnation must be unique among all
// planner processes, including earlier ones.
func New(incarnation uint64, config Config, now policy.TenthMs) *Planner {
	return &Planner{
		config: config, incarnation: incarnation,
		now: now, nextChangeAt: now, nextLatenessAt: now, creditUpdatedAt: now,
		hosts: map[string]*host{}, forwarders: map[*Forwarder]bool{}, leases: map[leaseKey]policy.TenthMs{},
	}
}

// View returns the published view. The caller must not change it.
func (p *Planner) View() *view.View { return &p.view }

// advance moves the time forward. A time before the current one is ignored.
func (p *Planner) advance(now policy.TenthMs) { p.now = max(p.now, now) }

// randomFraction returns a pseudorandom number in [0, 1), determined by the incarnation and the number of draws.
func (p *Planner) randomFraction() float64 {
	p.randomDraws++
	text := strconv.AppendUint(nil, p.incarnation, 36)
	text = strconv.AppendUint(text, p.randomDraws, 10)
	return float64(crc32.ChecksumIEEE(text)) / (1 << 32)
}

// ApplyList applies a list from discovery, which is complete or holds only the
// entries that changed. It returns false if the list is older than the newest
// applied one. It may modify the entries.
func (p *Planner) ApplyList(now policy.TenthMs, revision int64, complete bool, entries []view.Host) bool {
	p.advance(now)
	for i := range entries {
		// Discovery's clock may be ahead, which must not prolong the time that a host counts as cold.
		entries[i].BootedAt = max(0, min(entries[i].BootedAt, now))
	}
	if !p.view.ApplyList(view.Version{Generation: p.config.Generation, Revision: revision}, complete, entries) {
		return false
	}
	for name := range p.hosts {
		if _, known := p.view.Host(name); !known {
			delete(p.hosts, name)
		}
	}
	for _, entry := range entries {
		if listed, known := p.view.Host(entry.Name); known && listed.ListedState == policy.Active {
			p.trackHost(listed)
		} else {
			delete(p.hosts, entry.Name)
		}
	}
	if p.view.TombstoneCount() > minTombstones+p.view.Len()/tombstoneDivisor {
		p.view.Compact()
	}
	return true
}

// trackHost creates the state of a host. If the host has restarted, it resets the
// state that applies to one start only.
func (p *Planner) trackHost(listed view.Host) {
	tracked := p.hosts[listed.Name]
	if tracked == nil {
		tracked = &host{
			name: listed.Name, set: listed.Set, evidence: view.Evidence{Name: listed.Name}, coldWork: map[uint64]int64{},
		}
		p.hosts[listed.Name] = tracked
	}
	if listed.BootedAt > tracked.bootedAt {
		tracked.bootedAt = listed.BootedAt
		tracked.backoff, tracked.probedAt, tracked.lastResponseAt = 0, 0, 0
		clear(tracked.coldWork)
	}
}

// Actions are the actions that the caller of Tick must execute.
type Actions struct {
	Probes     []string       // names of hosts to probe; the caller reports each result with ProbeFinished
	Change     *view.Change   // sent to all forwarders except those in FullView; nil if no change is due
	FullView   []*Forwarder   // forwarders to send the full view after the change
	Disconnect []*Forwarder   // forwarders that have timed out; the caller closes their links
	NextTick   policy.TenthMs // latest time of the next Tick
}

// Tick advances the time and returns the actions that are due.
func (p *Planner) Tick(now policy.TenthMs) Actions {
	p.advance(now)
	p.expireLeases()
	actions := Actions{Disconnect: p.removeSilentForwarders(), Probes: p.startProbes()}
	if p.now >= p.nextChangeAt {
		actions.Change = p.nextChange()
		actions.FullView = p.takeFullViewRequests()
	}
	actions.NextTick = min(p.nextChangeAt, p.now+p.config.PrimaryProbeInterval/2)
	return actions
}

// nextChange publishes the evidence and returns the change of the view.
func (p *Planner) nextChange() *view.Change {
	p.nextChangeAt = p.now + p.changeInterval()
	p.publish()
	p.sequence++
	change := p.view.TakeChanges(p.incarnation, p.sequence)
	change.ReportInterval = p.reportInterval()
	return &change
}

// FullView returns the full view, for the forwarders in Actions.FullView.
func (p *Planner) FullView() view.Change {
	change := p.view.FullChange(p.incarnation, p.sequence)
	change.ReportInterval = p.reportInterval()
	return change
}
