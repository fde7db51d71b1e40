// Package follower decides for one forwarder which planners to dial and when,
// and what of their views is accepted.
//
// A caller reports each event (a connection, a change, a lost link) by the
// methods of Planner, with the time of the event, and then calls Tick, which
// returns the actions that are due. Every change is merged into one view. The
// merge is commutative and idempotent, so that neither the loss of a planner nor
// the order of arrival takes anything away.
//
// The package is pure: it has no sockets and no clock. All times are
// policy.Tenth, tenths of a millisecond.
package follower

import (
	"errors"
	"hash/crc32"
	"slices"
	"strconv"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	second = policy.TenthMs(10000)

	// missedIntervals is how many report intervals that a planner named may pass
	// without a change before its link counts as silent.
	missedIntervals = 3
)

// Config holds the intervals and limits of one forwarder. None has a default here.
type Config struct {
	InitialBackoff policy.TenthMs // the first delay before a planner is dialled again; it doubles with each failure
	MaxBackoff     policy.TenthMs // the upper bound of that delay
	ReportInterval policy.TenthMs // between two reports, unless a planner asks for a longer interval
	PlannerTimeout policy.TenthMs // after which a link without changes is closed; a planner's own interval may lengthen it
}

// Follower is the state of one forwarder. It is not safe for concurrent use.
type Follower struct {
	config          Config
	seed            uint64
	randomDraws     uint64
	now             policy.TenthMs
	planners        []*Planner
	view            view.View
	changedLateness map[string]bool // hosts whose lateness changed since the last Tick
	routerCount     int
	noPlanner       bool
	lastChangeAt    policy.TenthMs // 0: no change has come yet
	nextReportAt    policy.TenthMs
	hasTicked       bool // a Tick has returned the state at least once

	// Counters of full views that were requested, by cause: a missing change, a
	// digest that differs, a planner that restarted.
	GapResyncs, DigestResyncs, RestartResyncs int64
	// SilentLinks counts links that were closed because the planner sent nothing.
	SilentLinks int64
}

// New starts a forwarder that dials all planners, given by address. routers is
// the number of routers to assume until a planner states one.
func New(seed uint64, config Config, planners []string, routers int, now policy.TenthMs) *Follower {
	f := &Follower{
		config: config, seed: seed, now: now, routerCount: routers, noPlanner: true,
		changedLateness: map[string]bool{},
	}
	for _, address := range planners {
		f.planners = append(f.planners, &Planner{Address: address, follower: f, backoff: config.InitialBackoff})
	}
	return f
}

// LoadList applies the host list that a forwarder is given at start.
func (f *Follower) LoadList(revision int64, complete bool, hosts []view.Host) {
	f.view.ApplyList(view.Version{Revision: revision}, complete, hosts)
}

// RestoreView merges a view that an earlier process stored. Whatever a planner knows to
// be newer replaces it, and positions that no host can have reached by now are
// ignored. A view that does not match its digest is not used.
func (f *Follower) RestoreView(change view.Change) {
	var stored view.Replica
	change.Full = true
	if _, err := stored.Apply(change); err == nil {
		f.view.Merge(&stored.View, view.MaxPosition(f.now))
	}
}

// View returns the merged view. The caller must not change it.
func (f *Follower) View() *view.View { return &f.view }

// Planners returns the planners in the order of the addresses given to New.
func (f *Follower) Planners() []*Planner { return f.planners }

// HasHosts reports whether any host is known.
func (f *Follower) HasHosts() bool { return f.view.Len() > 0 }

// NoPlanner reports whether no planner was current at the last Tick.
func (f *Follower) NoPlanner() bool { return f.noPlanner }

// ViewAge returns the time since any planner last sent a change, or -1 if none has.
func (f *Follower) ViewAge() policy.TenthMs {
	if f.lastChangeAt == 0 {
		return -1
	}
	return f.now - f.lastChangeAt
}

// advance moves the time forward; a time that is older than the last changes nothing.
func (f *Follower) advance(now policy.TenthMs) { f.now = max(f.now, now) }

// randomFraction returns a number in [0, 1) that depends on the seed and the number of draws alone.
func (f *Follower) randomFraction() float64 {
	f.randomDraws++
	text := strconv.AppendUint(nil, f.seed, 36)
	text = strconv.AppendUint(text, f.randomDraws, 10)
	return float64(crc32.ChecksumIEEE(text)) / (1 << 32)
}

// clearLateness withdraws the lateness that one planner stated, which counts only
// while the planner is connected.
func (f *Follower) clearLateness(planner *Planner) {
	for name := range planner.lateness {
		f.changedLateness[name] = true
	}
	planner.lateness = nil
}

// Actions is what a Tick asks its caller to do.
type Actions struct {
	Dial         []*Planner     // to be dialled now
	Disconnect   []*Planner     // silent on an open link; the caller closes it and reports the planner as lost
	SendReport   bool           // a report of what was observed is due at all connected planners
	ChangedHosts []view.Host    // changed since the last Tick, with their lateness
	RemovedHosts []string       // names of hosts that were removed since the last Tick
	Changed      bool           // the hosts, the routers or the lack of planners differ from the last Tick, or this is the first
	RouterCount  int            // routers that share the hosts' capacity
	NoPlanner    bool           // no planner is current
	NextTick     policy.TenthMs // the latest time of the next Tick
}

// Tick advances to a time and returns what is due.
func (f *Follower) Tick(now policy.TenthMs) Actions {
	f.advance(now)
	actions := Actions{NoPlanner: true, NextTick: f.now + f.config.ReportInterval}
	reportInterval := f.config.ReportInterval
	for _, planner := range f.planners {
		if planner.connected && f.now >= planner.lastChangeAt+planner.silenceTimeout() {
			// The link is half-open, or the planner hangs.
			f.SilentLinks++
			actions.Disconnect = append(actions.Disconnect, planner)
			continue
		}
		if planner.isCurrent() {
			actions.NoPlanner = false
			actions.RouterCount = max(actions.RouterCount, planner.replica.RouterCount)
			reportInterval = max(reportInterval, planner.reportInterval)
		}
		f.dialIfDue(planner, &actions)
	}
	if actions.RouterCount == 0 {
		actions.RouterCount = f.routerCount // the last number stated holds until there is another
	}
	if f.now >= f.nextReportAt {
		f.nextReportAt = f.now + reportInterval
		actions.SendReport = !actions.NoPlanner
	}
	f.collectChanges(&actions)
	return actions
}

// dialIfDue asks for a connection to a planner that has none, once its backoff has passed.
func (f *Follower) dialIfDue(planner *Planner, actions *Actions) {
	switch {
	case planner.connected || planner.dialing:
	case f.now >= planner.nextDialAt:
		planner.dialing = true
		actions.Dial = append(actions.Dial, planner)
	default:
		actions.NextTick = min(actions.NextTick, planner.nextDialAt)
	}
}

// collectChanges adds what differs from the last Tick. What planners state of the fleet as a whole is already set.
func (f *Follower) collectChanges(actions *Actions) {
	for _, name := range f.takeChangedNames() {
		if host, known := f.view.Host(name); known {
			host.Lateness = f.worstLateness(name)
			actions.ChangedHosts = append(actions.ChangedHosts, host)
		} else {
			actions.RemovedHosts = append(actions.RemovedHosts, name)
		}
	}
	actions.Changed = !f.hasTicked || len(actions.ChangedHosts)+len(actions.RemovedHosts) > 0 ||
		actions.RouterCount != f.routerCount || actions.NoPlanner != f.noPlanner
	f.routerCount, f.noPlanner, f.hasTicked = actions.RouterCount, actions.NoPlanner, true
}

// takeChangedNames returns, sorted, the hosts that changed since the last call.
func (f *Follower) takeChangedNames() []string {
	names := f.view.TakeChangedNames()
	for name := range f.changedLateness {
		names = append(names, name)
	}
	clear(f.changedLateness)
	slices.Sort(names)
	return slices.Compact(names)
}

// worstLateness returns the greatest lateness that any planner states for a host.
func (f *Follower) worstLateness(name string) (lateness uint8) {
	for _, planner := range f.planners {
		lateness = max(lateness, planner.lateness[name])
	}
	return lateness
}

// countResync counts the cause of a change that could not be applied.
func (f *Follower) countResync(cause error) {
	switch {
	case errors.Is(cause, view.ErrDigestMismatch):
		f.DigestResyncs++
	case errors.Is(cause, view.ErrRestarted):
		f.RestartResyncs++
	default:
		f.GapResyncs++
	}
}
