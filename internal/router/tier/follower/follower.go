// Package follower is the state machine of a forwarder's links to the planners. It
// decides when to dial which planner, and merges the views of all planners.
//
// The caller reports each event (a connection, a change, a lost link) by calling a
// method of Planner with the time of the event, and then calls Tick, which returns
// the actions that are due. Each change is merged into one view. The merge is
// commutative and idempotent, so neither the loss of a planner nor the order of
// arrival loses information.
//
// The package does no I/O and reads no clock. All times are policy.TenthMs, tenths
// of a millisecond.
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

	// missedIntervals is the number of the planner's report intervals without a change
	// after which its link has timed out, if PlannerTimeout is not longer.
	missedIntervals = 3
)

// Config holds the intervals and limits of a forwarder. No field has a default value.
type Config struct {
	InitialBackoff policy.TenthMs // first delay before a planner is dialed again; doubles with each failure
	MaxBackoff     policy.TenthMs // upper bound of that delay
	ReportInterval policy.TenthMs // interval between two reports, unless a planner requests a longer one
	PlannerTimeout policy.TenthMs // time without a change after which a link is closed; long report intervals extend it
}

// Follower is the state of a forwarder. It is not safe for concurrent use.
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
	lastChangeAt    policy.TenthMs // 0 if no change has been received
	nextReportAt    policy.TenthMs
	hasTicked       bool // Tick has been called at least once

	// Counters of requested full views by cause: a missing change, a digest mismatch
	// and a restart of the planner.
	GapResyncs, DigestResyncs, RestartResyncs int64
	// SilentLinks counts links that were closed because no change arrived in time.
	SilentLinks int64
}

// New returns the state of a forwarder that connects to the planners at the given
// addresses. initialRouterCount is the number of routers to assume until a planner
// reports it.
func New(seed uint64, config Config, planners []string, initialRouterCount int, now policy.TenthMs) *Follower {
	f := &Follower{
		config: config, seed: seed, now: now, routerCount: initialRouterCount, noPlanner: true,
		changedLateness: map[string]bool{},
	}
	for _, address := range planners {
		f.planners = append(f.planners, &Planner{Address: address, follower: f, backoff: config.InitialBackoff})
	}
	return f
}

// LoadList applies the host list that the forwarder has at start.
func (f *Follower) LoadList(revision int64, complete bool, hosts []view.Host) {
	f.view.ApplyList(view.Version{Revision: revision}, complete, hosts)
}

// RestoreView merges a view that an earlier process stored. Newer state from
// planners replaces it, and positions that no host can have reached by now are
// ignored. A view that does not match its digest is ignored.
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

// HasHosts reports whether the merged view has any host.
func (f *Follower) HasHosts() bool { return f.view.Len() > 0 }

// NoPlanner reports whether no planner had a current view at the last Tick.
func (f *Follower) NoPlanner() bool { return f.noPlanner }

// ViewAge returns the time since the last change from any planner, or -1 if there was none.
func (f *Follower) ViewAge() policy.TenthMs {
	if f.lastChangeAt == 0 {
		return -1
	}
	return f.now - f.lastChangeAt
}

// advance moves the time forward. A time before the current one is ignored.
func (f *Follower) advance(now policy.TenthMs) { f.now = max(f.now, now) }

// randomFraction returns a pseudorandom number in [0, 1), determined by the seed and the number of draws.
func (f *Follower) randomFraction() float64 {
	f.randomDraws++
	text := strconv.AppendUint(nil, f.seed, 36)
	text = strconv.AppendUint(text, f.randomDraws, 10)
	return float64(crc32.ChecksumIEEE(text)) / (1 << 32)
}

// clearLateness removes the lateness reported by a planner, which is valid only
// while the planner is connected.
func (f *Follower) clearLateness(planner *Planner) {
	for name := range planner.lateness {
		f.changedLateness[name] = true
	}
	planner.lateness = nil
}

// Actions are the actions that the caller of Tick must execute, and the state to pass to the router.
type Actions struct {
	Dial         []*Planner     // planners to dial now
	Disconnect   []*Planner     // planners that have timed out; the caller closes the link and calls Disconnected
	SendReport   bool           // a report to all connected planners is due
	ChangedHosts []view.Host    // hosts added or changed since the last Tick, with their lateness
	RemovedHosts []string       // names of hosts removed since the last Tick
	Changed      bool           // hosts, RouterCount or NoPlanner differ from the last Tick, or this is the first Tick
	RouterCount  int            // number of routers that share the hosts' capacity
	NoPlanner    bool           // no planner has a current view
	NextTick     policy.TenthMs // latest time of the next Tick
}

// Tick advances the time and returns the actions that are due.
func (f *Follower) Tick(now policy.TenthMs) Actions {
	f.advance(now)
	actions := Actions{NoPlanner: true, NextTick: f.now + f.config.ReportInterval}
	reportInterval := f.config.ReportInterval
	for _, planner := range f.planners {
		if planner.connected && f.now >= planner.lastChangeAt+planner.silenceTimeout() {
			// The link is half-open or the planner hangs.
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
		actions.RouterCount = f.routerCount // keep the last known number
	}
	if f.now >= f.nextReportAt {
		f.nextReportAt = f.now + reportInterval
		actions.SendReport = !actions.NoPlanner
	}
	f.collectChanges(&actions)
	return actions
}

// dialIfDue requests a connection to a planner that has none once its backoff has passed.
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

// collectChanges adds the differences from the last Tick. It expects RouterCount and NoPlanner to be set.
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

// takeChangedNames returns the sorted names of the hosts that changed since the last call.
func (f *Follower) takeChangedNames() []string {
	names := f.view.TakeChangedNames()
	for name := range f.changedLateness {
		names = append(names, name)
	}
	clear(f.changedLateness)
	slices.Sort(names)
	return slices.Compact(names)
}

// worstLateness returns the highest lateness that any planner reports for a host.
func (f *Follower) worstLateness(name string) (lateness uint8) {
	for _, planner := range f.planners {
		lateness = max(lateness, planner.lateness[name])
	}
	return lateness
}

// countResync counts a requested full view by its cause, the error of Replica.Apply.
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
