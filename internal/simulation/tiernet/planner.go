package tiernet

import (
	"ferrypitch/internal/router/tier/planner"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	// probeTimeout is how long a planner waits for a hung host.
	probeTimeout = 250 * millisecond
	// refusalDelay is the time until a host that is down refuses a planner's connection.
	refusalDelay = millisecond
	// Range of the time until a planner receives a new revision of the discovery list.
	minListDelay = 5 * millisecond
	maxListDelay = 300 * millisecond
	// faultyChanges is the number of sent changes of which, on average, one is lost and one is sent twice.
	faultyChanges = 200
)

// noPosition is the position of a host that did not answer.
const noPosition = policy.TenthMs(-1)

// plannerProcess simulates a planner's process. It runs the real planner, and has the planner's ends of the links to forwarders.
type plannerProcess struct {
	w           *World
	index       int
	planner     *planner.Planner
	incarnation uint64
	up          bool
	staleList   bool           // the planner has revision 1 of the list and gets no newer one
	clockSkew   policy.TenthMs // how far its clock is ahead of the simulated time
	links       map[*forwarderProcess]*planner.Forwarder
}

func (p *plannerProcess) clock() policy.TenthMs { return p.w.Now + p.clockSkew }

func (p *plannerProcess) start() {
	p.incarnation++
	p.up, p.links = true, map[*forwarderProcess]*planner.Forwarder{}
	seed := uint64(p.index+1)<<32 | p.incarnation
	p.planner = planner.New(seed, planner.Config{
		ChangeInterval:         100 * millisecond,
		ProbeInterval:          500 * millisecond,
		PrimaryProbeInterval:   50 * millisecond,
		MaxProbesInFlight:      16,
		ProbesPerSecond:        200,
		MaxForwarders:          100,
		ReportsPerSecond:       1000,
		FramesPerSecond:        20000,
		PositionBytesPerSecond: 20_000_000,
	}, p.clock())
	revision := p.w.revision()
	if p.staleList {
		revision = 1
	}
	p.applyList(revision)
	p.tick(p.incarnation)
}

// restart restarts a planner that is down. With staleList it has only the first revision of the list of hosts.
func (p *plannerProcess) restart(staleList bool) {
	if !p.up {
		p.w.LogFault("planner %d starts", p.index)
		p.staleList = staleList
		p.start()
	}
}

func (p *plannerProcess) kill() {
	if !p.up {
		return
	}
	p.w.LogFault("planner %d dies", p.index)
	p.up = false
	for _, f := range p.w.forwarders {
		if p.links[f] != nil {
			f.notifyDisconnect(p, true)
		}
	}
	p.links = nil
}

// isRunning reports whether an incarnation of the planner still runs.
func (p *plannerProcess) isRunning(incarnation uint64) bool {
	return p.up && p.incarnation == incarnation
}

// fetchList has the planner receive the newest list after a random delay.
func (p *plannerProcess) fetchList() {
	if p.staleList {
		return
	}
	incarnation, revision := p.incarnation, p.w.revision()
	p.w.After(p.w.Between(minListDelay, maxListDelay), func() {
		if p.isRunning(incarnation) {
			p.applyList(revision)
		}
	})
}

func (p *plannerProcess) applyList(revision int64) {
	p.planner.ApplyList(p.clock(), revision, true, p.w.listAt(revision))
}

// tick carries out the planner's due actions, now and whenever more are due, until the incarnation ends.
func (p *plannerProcess) tick(incarnation uint64) {
	if !p.isRunning(incarnation) {
		return
	}
	due := p.planner.Tick(p.clock())
	for _, name := range due.Probes {
		p.probe(p.w.host(name))
	}
	for _, link := range due.Disconnect {
		p.closeLink(link)
	}
	if due.Change != nil {
		p.sendChange(*due.Change, due.FullView)
	}
	p.w.After(max(millisecond, due.NextTick-p.clock()), func() { p.tick(incarnation) })
}

func (p *plannerProcess) closeLink(closed *planner.Forwarder) {
	for _, forwarder := range p.w.forwarders {
		if p.links[forwarder] == closed {
			delete(p.links, forwarder)
			forwarder.notifyDisconnect(p, false)
		}
	}
}

// sendChange sends a change to all forwarders, or the full view to those that need it. Some changes are lost or sent twice.
// Links don't do this, but a forwarder must tolerate it.
func (p *plannerProcess) sendChange(change view.Change, needFull []*planner.Forwarder) {
	needsFull := map[*planner.Forwarder]bool{}
	for _, link := range needFull {
		needsFull[link] = true
	}
	full := p.planner.FullView()
	for _, forwarder := range p.w.forwarders {
		link := p.links[forwarder]
		if link == nil {
			continue
		}
		sent, times := change, 1
		if needsFull[link] {
			sent = full
		}
		switch p.w.Rand.IntN(faultyChanges) {
		case 0:
			times = 0
		case 1:
			times = 2
		}
		for range times {
			forwarder.receiveChange(p, sent)
		}
	}
}

// probe checks a host's health.
func (p *plannerProcess) probe(h *host) {
	w, incarnation, sentAt := p.w, p.incarnation, p.clock()
	w.Probes++
	result := func(ok bool, position policy.TenthMs, role policy.Role) func() {
		return func() {
			if p.isRunning(incarnation) {
				p.planner.ProbeFinished(p.clock(), h.name, ok, position, role, sentAt)
			}
		}
	}
	w.afterNetwork(func() {
		switch {
		case !h.up:
			w.After(refusalDelay, result(false, noPosition, policy.UnknownRole))
		case h.hung:
			w.After(probeTimeout, result(false, noPosition, policy.UnknownRole))
		default:
			delay := w.Between(minNetworkDelay, maxNetworkDelay)
			w.After(delay, result(true, h.position(), h.role()))
		}
	})
}
