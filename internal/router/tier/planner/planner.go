// Package planner decides for one planner what is known of the fleet, which hosts
// to probe, which forwarders share the hosts, and what is sent to them when.
//
// A caller reports each event (a list, the end of a probe, what a forwarder sent)
// by a method, with the time of the event, and then calls Tick, which returns the
// actions that are due. What comes in is merged into the evidence of each host.
// At an interval the evidence is published into a view.View, whose changes go to
// all forwarders; the intervals grow with the number of forwarders, so that the
// load of all of them together stays within the configured rates.
//
// Forwarders depend on no planner to be right: they keep their rules on any view,
// and accept of a host only what the host can have said.
//
// The package is pure: it has no sockets and no clock. All times are
// policy.Tenth, tenths of a millisecond.
package planner

import (
	"hash/crc32"
	"strconv"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const second = policy.TenthMs(10000)

const (
	// Hosts that have left are removed once they are more than
	// minTombstones plus a fraction (one in goneFraction) of all.
	minTombstones    = 64
	tombstoneDivisor = 4
)

// Config holds the intervals and limits of one planner. None has a default here.
type Config struct {
	Generation             uint64         // the generation of discovery's versions
	ChangeInterval         policy.TenthMs // the shortest interval between two changes
	ProbeInterval          policy.TenthMs // after which a host that no forwarder has heard of is probed
	PrimaryProbeInterval   policy.TenthMs // between probes of a host in a set whose primary is unknown or does not respond
	MaxProbesInFlight      int            // the most probes in flight
	ProbesPerSecond        int            // the most probes a second
	MaxForwarders          int            // the most connected forwarders
	ReportsPerSecond       int            // the most reports a second from all forwarders together
	FramesPerSecond        int            // the most frames a second to all forwarders together
	PositionBytesPerSecond int            // the most bytes of positions a second to all forwarders together
}

// Planner is the state of one planner. It is not safe for concurrent use.
type Planner struct {
	config      Config
	incarnation uint64 // also the seed of its random numbers
	sequence    uint64 // of the last change
	randomDraws uint64
	now         policy.TenthMs

	nextChangeAt    policy.TenthMs
	nextLatenessAt  policy.TenthMs // when the responses counted become the lateness that is published
	creditUpdatedAt policy.TenthMs // when probeCredit was last increased
	probeCredit     float64        // probes that may be sent now
	probesInFlight  int

	view       view.View
	hosts      map[string]*host // those in service
	forwarders map[*Forwarder]bool
	leases     map[leaseKey]policy.TenthMs // when each ends

	// Counters: leases of a name that already held one (a restart does too), links
	// closed since nothing came, probes without a response, and work sent to hosts
	// after their start, in thousandths of a command of the usual mix.
	DuplicateLeases, TimedOutLinks, FailedProbes, ColdWork int64
}

// host is the state of a host beside the view.
type host struct {
	name     string
	set      int64
	bootedAt policy.TenthMs

	evidence         view.Evidence
	positionProbedAt policy.TenthMs // when the last probe that named a position ended
	unpublished      bool           // evidence or lateness differs from the view
	publishedAt      policy.TenthMs

	publishedRole  policy.Role
	lastResponseAt policy.TenthMs // to a probe or to any forwarder
	probedAt       policy.TenthMs // 0: not since its start
	probing        bool
	backoff        policy.TenthMs // between probes while it does not respond; 0: it responds

	responses, latenessSum                 uint32 // in the current interval of lateness
	previousResponses, previousLatenessSum uint32 // in the one before
	lateness                               uint8

	coldWork map[uint64]int64 // as each forwarder reported it, by incarnation
}

// New starts a planner that knows nothing. incarnation differs from that of any
// other planner, before and now.
func New(incarnation uint64, config Config, now policy.TenthMs) *Planner {
	return &Planner{
		config: config, incarnation: incarnation,
		now: now, nextChangeAt: now, nextLatenessAt: now, creditUpdatedAt: now,
		hosts: map[string]*host{}, forwarders: map[*Forwarder]bool{}, leases: map[leaseKey]policy.TenthMs{},
	}
}

// View returns the published view. The caller must not change it.
func (p *Planner) View() *view.View { return &p.view }

// advance moves the time forward; a time that is older than the last changes nothing.
func (p *Planner) advance(now policy.TenthMs) { p.now = max(p.now, now) }

// randomFraction returns a number in [0, 1) that depends on the incarnation and the number of draws alone.
func (p *Planner) randomFraction() float64 {
	p.randomDraws++
	text := strconv.AppendUint(nil, p.incarnation, 36)
	text = strconv.AppendUint(text, p.randomDraws, 10)
	return float64(crc32.ChecksumIEEE(text)) / (1 << 32)
}

// ApplyList applies a list of discovery: a whole one, or what changed since another.
// It returns false if the list is older than the newest one applied. It may change
// the entries.
func (p *Planner) ApplyList(now policy.TenthMs, revision int64, complete bool, entries []view.Host) bool {
	p.advance(now)
	for i := range entries {
		// The clock of discovery may be ahead; that must not keep a host cold for longer.
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
		if listed, known := p.view.Host(entry.Name); known && listed.Standing == policy.Active {
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

// trackHost begins to track a host, or notes that it has started anew: what was
// known before a start says nothing of what came after.
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

// Actions is what a Tick asks its caller to do.
type Actions struct {
	Probes     []string       // hosts to probe; the end of each must be reported
	Change     *view.Change   // to be sent to all forwarders but those that are sent the full view; nil: none is due
	FullView   []*Forwarder   // to be sent the full view as it is after the change
	Disconnect []*Forwarder   // silent on an open link; the caller closes it
	NextTick   policy.TenthMs // the latest time of the next Tick
}

// Tick advances to a time and returns what is due.
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

// nextChange publishes what is known and returns what it changed.
func (p *Planner) nextChange() *view.Change {
	p.nextChangeAt = p.now + p.changeInterval()
	p.publish()
	p.sequence++
	change := p.view.TakeChanges(p.incarnation, p.sequence)
	change.ReportInterval = p.reportInterval()
	return &change
}

// FullView returns the full view, for the forwarders that Tick named.
func (p *Planner) FullView() view.Change {
	change := p.view.FullChange(p.incarnation, p.sequence)
	change.ReportInterval = p.reportInterval()
	return change
}
