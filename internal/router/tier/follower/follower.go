// Package follower decides for one forwarder which planners to dial and when,
// and what of their views is believed: the join of all that any of them ever
// said, which no loss of a planner takes away and no order of arrival changes.
// It has no sockets and no clock: calls bring what came in with the time in
// tenths, Tick returns what is to be done.
package follower

import (
	"hash/crc32"
	"slices"
	"strconv"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const second = policy.Tenth(10000)

// Terms are what one forwarder keeps to; times in tenths.
type Terms struct {
	Again  policy.Tenth // the first wait before dialling anew; it doubles
	Most   policy.Tenth // up to this
	Report policy.Tenth // between reports, unless planners ask for longer
	Silent policy.Tenth // a planner that says nothing for so long is left, unless it said it speaks seldom
}

// Follower is the state of one forwarder.
type Follower struct {
	Terms
	seed, randomDraws          uint64
	now                        policy.Tenth
	planners                   []*Planner
	view                       view.View
	changedLateness            map[string]bool // lateness that moved
	routerCount                int
	noPlanner                  bool
	lastChangeAt, nextReportAt policy.Tenth
	reported                   bool

	GapResyncs, DigestResyncs, RestartResyncs, Silences int64 // whole views asked for, by why; links left
}

// Planner is the handle of one planner.
type Planner struct {
	Address        string
	follower       *Follower
	replica        view.Replica
	connected      bool
	dialing        bool
	nextDialAt     policy.Tenth
	backoff        policy.Tenth
	lastChangeAt   policy.Tenth
	reportInterval policy.Tenth
	lateness       map[string]uint8
}

// New starts a forwarder that dials all planners. routers is the count until one tells.
func New(seed uint64, t Terms, planners []string, routers int, now policy.Tenth) *Follower {
	f := &Follower{Terms: t, seed: seed, now: now, routerCount: routers, noPlanner: true, changedLateness: map[string]bool{}}
	for _, a := range planners {
		f.planners = append(f.planners, &Planner{Address: a, follower: f, backoff: t.Again})
	}
	return f
}

// LoadList takes in the list that a forwarder is given at start.
func (f *Follower) LoadList(rev int64, whole bool, hosts []view.Host) {
	f.view.List(view.Version{Rev: rev}, whole, hosts)
}

// Kept takes in a view that an earlier life kept: joined like a planner's, so that whatever is newer goes before it,
// and what no host can have said by now is passed over.
func (f *Follower) Kept(c view.Change) {
	var kept view.Replica
	c.Whole = true
	if _, err := kept.Apply(c); err == nil {
		f.view.Join(&kept.View, f.now+20)
	}
}

// View is the join of all that was told; not to be changed.
func (f *Follower) View() *view.View { return &f.view }

// Planners are the handles, in the order of their addresses in New.
func (f *Follower) Planners() []*Planner { return f.planners }

// Ready says whether there is anything to decide on.
func (f *Follower) Ready() bool { return f.view.Len() > 0 }

// Blind says that no planner is there.
func (f *Follower) Blind() bool { return f.noPlanner }

// Age is how long ago any planner last spoke; -1: never.
func (f *Follower) Age() policy.Tenth {
	if f.lastChangeAt == 0 {
		return -1
	}
	return f.now - f.lastChangeAt
}

func (f *Follower) advance(now policy.Tenth) { f.now = max(f.now, now) }

func (f *Follower) randomFraction() float64 {
	f.randomDraws++
	return float64(crc32.ChecksumIEEE(strconv.AppendUint(strconv.AppendUint(nil, f.seed, 36), f.randomDraws, 10))) / (1 << 32)
}

// Connected begins a link; the planner sends a whole view unasked.
func (p *Planner) Connected(now policy.Tenth) {
	p.follower.advance(now)
	p.connected, p.dialing, p.lastChangeAt, p.reportInterval = true, false, p.follower.now, 0
	p.replica = view.Replica{}
}

// Lost ends a link, or a dialling. Waits double, by a part that chance decides,
// lest all forwarders come back to a planner at once.
func (p *Planner) Lost(now policy.Tenth) {
	f := p.follower
	f.advance(now)
	p.connected, p.dialing = false, false
	p.nextDialAt = f.now + policy.Tenth((0.5+f.randomFraction()/2)*float64(p.backoff))
	p.backoff = min(2*p.backoff, f.Most)
	f.dropLateness(p)
}

// Changed takes in what a planner says. want: a whole view is to be asked for.
func (p *Planner) Changed(now policy.Tenth, c view.Change) (want bool) {
	f := p.follower
	f.advance(now)
	p.lastChangeAt, f.lastChangeAt, p.reportInterval, p.backoff = f.now, f.now, c.Every, f.Again
	switch fresh, err := p.replica.Apply(c); {
	case err == view.ErrDigestMismatch:
		f.DigestResyncs++
		return true
	case err == view.ErrRestarted:
		f.RestartResyncs++
		return true
	case err != nil:
		f.GapResyncs++
		return true
	case !fresh:
		return false
	}
	ahead := f.now + 20 // positions of the future are nobody's
	if c.Whole {
		f.view.Join(&p.replica.View, ahead)
	} else {
		f.view.Join(p.replica.TouchedPart(c), ahead)
	}
	for _, h := range c.Hosts {
		if p.lateness[h.Name] != h.Late {
			if p.lateness == nil {
				p.lateness = map[string]uint8{}
			}
			p.lateness[h.Name] = h.Late
			f.changedLateness[h.Name] = true
		}
	}
	return false
}

// dropLateness lets go of what one planner held of lateness, which counts only while it is there.
func (f *Follower) dropLateness(p *Planner) {
	for name := range p.lateness {
		f.changedLateness[name] = true
	}
	p.lateness = nil
}

// silenceTimeout is how long a planner may say nothing.
func (p *Planner) silenceTimeout() policy.Tenth { return max(p.follower.Silent, 3*p.reportInterval) }

// isCurrent says that a planner's word is fresh.
func (p *Planner) isCurrent() bool {
	return p.connected && p.replica.Complete() && p.follower.now < p.lastChangeAt+p.silenceTimeout()
}

// Todo is what a Tick asks for.
type Todo struct {
	Dial    []*Planner
	Cut     []*Planner  // are silent on an open link; Lost is to be called for them
	Report  bool        // what was heard is due at all planners that are connected
	Hosts   []view.Host // changed, as the view has them, with lateness
	Dropped []string
	Told    bool // Hosts, Dropped, Routers or Blind are new
	Routers int
	Blind   bool
	Next    policy.Tenth
}

// Tick goes on to a time.
func (f *Follower) Tick(now policy.Tenth) (do Todo) {
	f.advance(now)
	do.Next = f.now + f.Report
	routers, blind, every := 0, true, f.Report
	for _, p := range f.planners {
		if p.connected && f.now >= p.lastChangeAt+p.silenceTimeout() { // half-open: cut off, hung, or a host that vanished
			f.Silences++
			do.Cut = append(do.Cut, p)
			continue
		}
		if p.isCurrent() {
			blind, every, routers = false, max(every, p.reportInterval), max(routers, p.replica.Routers)
		}
		if !p.connected && !p.dialing {
			if f.now >= p.nextDialAt {
				p.dialing = true
				do.Dial = append(do.Dial, p)
			} else {
				do.Next = min(do.Next, p.nextDialAt)
			}
		}
	}
	if routers == 0 {
		routers = f.routerCount // the last that was told, while nobody tells
	}
	if f.now >= f.nextReportAt {
		f.nextReportAt, do.Report = f.now+every, !blind
	}
	for _, name := range f.takeChangedNames() {
		if h, held := f.view.Host(name); held {
			h.Late = f.worstLateness(name)
			do.Hosts = append(do.Hosts, h)
		} else {
			do.Dropped = append(do.Dropped, name)
		}
	}
	do.Told = !f.reported || len(do.Hosts)+len(do.Dropped) > 0 || routers != f.routerCount || blind != f.noPlanner
	f.routerCount, f.noPlanner, f.reported = routers, blind, true
	do.Routers, do.Blind = routers, blind
	return do
}

func (f *Follower) takeChangedNames() []string {
	names := f.view.TakeChangedNames()
	for name := range f.changedLateness {
		names = append(names, name)
	}
	clear(f.changedLateness)
	slices.Sort(names)
	return slices.Compact(names)
}

// worstLateness is the worst that a planner says.
func (f *Follower) worstLateness(name string) (late uint8) {
	for _, p := range f.planners {
		late = max(late, p.lateness[name])
	}
	return late
}
