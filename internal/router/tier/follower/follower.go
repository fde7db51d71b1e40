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
	second = policy.Tenth(10000)

	// missedIntervals is how many report intervals that a planner named may pass
	// without a change before its link counts as silent.
	missedIntervals = 3
)

// Terms holds the intervals and limits of one forwarder. None has a default here.
type Terms struct {
	Again  policy.Tenth // the first delay before a planner is dialled again; it doubles with each failure
	Most   policy.Tenth // the upper bound of that delay
	Report policy.Tenth // between two reports, unless a planner asks for a longer interval
	Silent policy.Tenth // after which a link without changes is closed; a planner's own interval may lengthen it
}

// Follower is the state of one forwarder. It is not safe for concurrent use.
type Follower struct {
	config          Terms
	seed            uint64
	randomDraws     uint64
	now             policy.Tenth
	planners        []*Planner
	view            view.View
	changedLateness map[string]bool // hosts whose lateness changed since the last Tick
	routerCount     int
	noPlanner       bool
	lastChangeAt    policy.Tenth // 0: no change has come yet
	nextReportAt    policy.Tenth
	reported        bool // a Tick has returned the state at least once

	// Counters of full views that were requested, by cause: a missing change, a
	// digest that differs, a planner that restarted.
	GapResyncs, DigestResyncs, RestartResyncs int64
	// Silences counts links that were closed because the planner sent nothing.
	Silences int64
}

// New starts a forwarder that dials all planners, given by address. routers is
// the number of routers to assume until a planner states one.
func New(seed uint64, config Terms, planners []string, routers int, now policy.Tenth) *Follower {
	f := &Follower{
		config: config, seed: seed, now: now, routerCount: routers, noPlanner: true,
		changedLateness: map[string]bool{},
	}
	for _, address := range planners {
		f.planners = append(f.planners, &Planner{Address: address, follower: f, backoff: config.Again})
	}
	return f
}

// LoadList applies the host list that a forwarder is given at start.
func (f *Follower) LoadList(revision int64, whole bool, hosts []view.Host) {
	f.view.List(view.Version{Rev: revision}, whole, hosts)
}

// Kept merges a view that an earlier process stored. Whatever a planner knows to
// be newer replaces it, and positions that no host can have reached by now are
// ignored. A view that does not match its digest is not used.
func (f *Follower) Kept(change view.Change) {
	var stored view.Replica
	change.Whole = true
	if _, err := stored.Apply(change); err == nil {
		f.view.Join(&stored.View, view.MaxPosition(f.now))
	}
}

// View returns the merged view. The caller must not change it.
func (f *Follower) View() *view.View { return &f.view }

// Planners returns the planners in the order of the addresses given to New.
func (f *Follower) Planners() []*Planner { return f.planners }

// Ready reports whether any host is known.
func (f *Follower) Ready() bool { return f.view.Len() > 0 }

// Blind reports whether no planner was current at the last Tick.
func (f *Follower) Blind() bool { return f.noPlanner }

// Age returns the time since any planner last sent a change, or -1 if none has.
func (f *Follower) Age() policy.Tenth {
	if f.lastChangeAt == 0 {
		return -1
	}
	return f.now - f.lastChangeAt
}

// advance moves the time forward; a time that is older than the last changes nothing.
func (f *Follower) advance(now policy.Tenth) { f.now = max(f.now, now) }

// randomFraction returns a number in [0, 1) that depends on the seed and the number of draws alone.
func (f *Follower) randomFraction() float64 {
	f.randomDraws++
	text := strconv.AppendUint(nil, f.seed, 36)
	text = strconv.AppendUint(text, f.randomDraws, 10)
	return float64(crc32.ChecksumIEEE(text)) / (1 << 32)
}

// dropLateness withdraws the lateness that one planner stated, which counts only
// while the planner is connected.
func (f *Follower) dropLateness(planner *Planner) {
	for name := range planner.lateness {
		f.changedLateness[name] = true
	}
	planner.lateness = nil
}

// Todo is what a Tick asks its caller to do.
type Todo struct {
	Dial    []*Planner   // to be dialled now
	Cut     []*Planner   // silent on an open link; the caller closes it and reports the planner as lost
	Report  bool         // a report of what was observed is due at all connected planners
	Hosts   []view.Host  // changed since the last Tick, with their lateness
	Dropped []string     // names of hosts that were removed since the last Tick
	Told    bool         // the hosts, the routers or the lack of planners differ from the last Tick, or this is the first
	Routers int          // routers that share the hosts' capacity
	Blind   bool         // no planner is current
	Next    policy.Tenth // the latest time of the next Tick
}

// Tick advances to a time and returns what is due.
func (f *Follower) Tick(now policy.Tenth) Todo {
	f.advance(now)
	actions := Todo{Blind: true, Next: f.now + f.config.Report}
	reportInterval := f.config.Report
	for _, planner := range f.planners {
		if planner.connected && f.now >= planner.lastChangeAt+planner.silenceTimeout() {
			// The link is half-open, or the planner hangs.
			f.Silences++
			actions.Cut = append(actions.Cut, planner)
			continue
		}
		if planner.isCurrent() {
			actions.Blind = false
			actions.Routers = max(actions.Routers, planner.replica.Routers)
			reportInterval = max(reportInterval, planner.reportInterval)
		}
		f.dialIfDue(planner, &actions)
	}
	if actions.Routers == 0 {
		actions.Routers = f.routerCount // the last number stated holds until there is another
	}
	if f.now >= f.nextReportAt {
		f.nextReportAt = f.now + reportInterval
		actions.Report = !actions.Blind
	}
	f.collectChanges(&actions)
	return actions
}

// dialIfDue asks for a connection to a planner that has none, once its backoff has passed.
func (f *Follower) dialIfDue(planner *Planner, actions *Todo) {
	switch {
	case planner.connected || planner.dialing:
	case f.now >= planner.nextDialAt:
		planner.dialing = true
		actions.Dial = append(actions.Dial, planner)
	default:
		actions.Next = min(actions.Next, planner.nextDialAt)
	}
}

// collectChanges adds what differs from the last Tick. What planners state of the fleet as a whole is already set.
func (f *Follower) collectChanges(actions *Todo) {
	for _, name := range f.takeChangedNames() {
		if host, known := f.view.Host(name); known {
			host.Late = f.worstLateness(name)
			actions.Hosts = append(actions.Hosts, host)
		} else {
			actions.Dropped = append(actions.Dropped, name)
		}
	}
	actions.Told = !f.reported || len(actions.Hosts)+len(actions.Dropped) > 0 ||
		actions.Routers != f.routerCount || actions.Blind != f.noPlanner
	f.routerCount, f.noPlanner, f.reported = actions.Routers, actions.Blind, true
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
