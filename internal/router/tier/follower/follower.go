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
	seed, draws       uint64
	now               policy.Tenth
	planners          []*Planner
	view              view.View
	changed           map[string]bool // lateness that moved
	routers           int
	blind             bool
	heardAt, reportAt policy.Tenth
	told              bool

	Gaps, Digests, Restarts, Silences int64 // whole views asked for, by why; links left
}

// Planner is the handle of one planner.
type Planner struct {
	Address string
	f       *Follower
	copy    view.Copy
	up      bool
	dialing bool
	dialAt  policy.Tenth
	wait    policy.Tenth
	heardAt policy.Tenth
	every   policy.Tenth
	late    map[string]uint8
}

// New starts a forwarder that dials all planners. routers is the count until one tells.
func New(seed uint64, t Terms, planners []string, routers int, now policy.Tenth) *Follower {
	f := &Follower{Terms: t, seed: seed, now: now, routers: routers, blind: true, changed: map[string]bool{}}
	for _, a := range planners {
		f.planners = append(f.planners, &Planner{Address: a, f: f, wait: t.Again})
	}
	return f
}

// Known takes in the list that a forwarder is given at start.
func (f *Follower) Known(rev int64, whole bool, hosts []view.Host) {
	f.view.List(view.Version{Rev: rev}, whole, hosts)
}

// Kept takes in a view that an earlier life kept: joined like a planner's, so that whatever is newer goes before it,
// and what no host can have said by now is passed over.
func (f *Follower) Kept(c view.Change) {
	var kept view.Copy
	c.Whole = true
	if _, err := kept.Follow(c); err == nil {
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
func (f *Follower) Blind() bool { return f.blind }

// Age is how long ago any planner last spoke; -1: never.
func (f *Follower) Age() policy.Tenth {
	if f.heardAt == 0 {
		return -1
	}
	return f.now - f.heardAt
}

func (f *Follower) clock(now policy.Tenth) { f.now = max(f.now, now) }

func (f *Follower) chance() float64 {
	f.draws++
	return float64(crc32.ChecksumIEEE(strconv.AppendUint(strconv.AppendUint(nil, f.seed, 36), f.draws, 10))) / (1 << 32)
}

// Connected begins a link; the planner sends a whole view unasked.
func (p *Planner) Connected(now policy.Tenth) {
	p.f.clock(now)
	p.up, p.dialing, p.heardAt, p.every = true, false, p.f.now, 0
	p.copy = view.Copy{}
}

// Lost ends a link, or a dialling. Waits double, by a part that chance decides,
// lest all forwarders come back to a planner at once.
func (p *Planner) Lost(now policy.Tenth) {
	f := p.f
	f.clock(now)
	p.up, p.dialing = false, false
	p.dialAt = f.now + policy.Tenth((0.5+f.chance()/2)*float64(p.wait))
	p.wait = min(2*p.wait, f.Most)
	f.forget(p)
}

// Changed takes in what a planner says. want: a whole view is to be asked for.
func (p *Planner) Changed(now policy.Tenth, c view.Change) (want bool) {
	f := p.f
	f.clock(now)
	p.heardAt, f.heardAt, p.every, p.wait = f.now, f.now, c.Every, f.Again
	switch fresh, err := p.copy.Follow(c); {
	case err == view.ErrDigest:
		f.Digests++
		return true
	case err == view.ErrLife:
		f.Restarts++
		return true
	case err != nil:
		f.Gaps++
		return true
	case !fresh:
		return false
	}
	ahead := f.now + 20 // positions of the future are nobody's
	if c.Whole {
		f.view.Join(&p.copy.View, ahead)
	} else {
		f.view.Join(p.copy.Part(c), ahead)
	}
	for _, h := range c.Hosts {
		if p.late[h.Name] != h.Late {
			if p.late == nil {
				p.late = map[string]uint8{}
			}
			p.late[h.Name] = h.Late
			f.changed[h.Name] = true
		}
	}
	return false
}

// forget lets go of what one planner held of lateness, which counts only while it is there.
func (f *Follower) forget(p *Planner) {
	for name := range p.late {
		f.changed[name] = true
	}
	p.late = nil
}

// silent is how long a planner may say nothing.
func (p *Planner) silent() policy.Tenth { return max(p.f.Silent, 3*p.every) }

// there says that a planner's word is fresh.
func (p *Planner) there() bool { return p.up && p.copy.Whole() && p.f.now < p.heardAt+p.silent() }

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
	f.clock(now)
	do.Next = f.now + f.Report
	routers, blind, every := 0, true, f.Report
	for _, p := range f.planners {
		if p.up && f.now >= p.heardAt+p.silent() { // half-open: cut off, hung, or a host that vanished
			f.Silences++
			do.Cut = append(do.Cut, p)
			continue
		}
		if p.there() {
			blind, every, routers = false, max(every, p.every), max(routers, p.copy.Routers)
		}
		if !p.up && !p.dialing {
			if f.now >= p.dialAt {
				p.dialing = true
				do.Dial = append(do.Dial, p)
			} else {
				do.Next = min(do.Next, p.dialAt)
			}
		}
	}
	if routers == 0 {
		routers = f.routers // the last that was told, while nobody tells
	}
	if f.now >= f.reportAt {
		f.reportAt, do.Report = f.now+every, !blind
	}
	for _, name := range f.names() {
		if h, held := f.view.Host(name); held {
			h.Late = f.lateness(name)
			do.Hosts = append(do.Hosts, h)
		} else {
			do.Dropped = append(do.Dropped, name)
		}
	}
	do.Told = !f.told || len(do.Hosts)+len(do.Dropped) > 0 || routers != f.routers || blind != f.blind
	f.routers, f.blind, f.told = routers, blind, true
	do.Routers, do.Blind = routers, blind
	return do
}

func (f *Follower) names() []string {
	names := f.view.Names()
	for name := range f.changed {
		names = append(names, name)
	}
	clear(f.changed)
	slices.Sort(names)
	return slices.Compact(names)
}

// lateness is the worst that a planner says.
func (f *Follower) lateness(name string) (late uint8) {
	for _, p := range f.planners {
		late = max(late, p.late[name])
	}
	return late
}
