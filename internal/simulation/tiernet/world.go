// Package tiernet plays planners and forwarders in one goroutine on a seeded
// virtual network: the pure cores and the real decision module, stand-in hosts
// and discovery, with time handed in. After every step the five rules are
// asserted; a failing seed is the report of a fault. Nothing here is measured in
// real time.
package tiernet

import (
	"fmt"
	"slices"
	"strconv"

	"ferrypitch/internal/router/tier/follower"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/planner"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/internal/simulation/scheduler"
	"ferrypitch/policy"
)

const (
	ms     = policy.Tenth(10)
	second = policy.Tenth(10000)
	zero   = 1000 * second // when a world begins
)

// Size is what a world has.
type Size struct {
	Forwarders, Planners, Sets, Members int
	Rate                                float64 // commands a second, over all forwarders
	For                                 policy.Tenth
	Faults                              int
}

// World is one run.
type World struct {
	Size
	*scheduler.Scheduler
	hosts      []*host
	sets       []*set
	planners   []*plan
	forwarders []*forward
	list       []view.Host
	rev        int64
	history    [][]view.Host // whole lists by version
	commands   int
	ran        map[string]int
	sessions   map[string]policy.Tenth                                   // their last commit that a client knows of
	captured   func(f string, life int, d policy.Deployment) record.Sink // where forwarders' traces go; nil: nowhere

	Taken, Answered, Throttled, Failed, Probes int
	Followed                                   []policy.Tenth // from an election to a forwarder's first write answered by the new primary
	Named                                      []policy.Tenth // from an election to the moment at which a forwarder's view names it
}

// New makes a world of a seed, in which nothing has happened.
func New(seed uint64, size Size) *World { return NewCaptured(seed, size, nil) }

// NewCaptured makes one whose forwarders record what their modules decide.
func NewCaptured(seed uint64, size Size, to func(f string, life int, d policy.Deployment) record.Sink) *World {
	w := &World{Size: size, captured: to, Scheduler: scheduler.New(seed, zero, ms), ran: map[string]int{},
		sessions: map[string]policy.Tenth{}}
	for s := range size.Sets {
		set := &set{w: w, id: int64(s + 1)}
		w.sets = append(w.sets, set)
		for m := range size.Members {
			h := &host{w: w, name: fmt.Sprintf("%d%c", s+1, 'a'+m), set: set, up: true, lag: w.Between(2*ms, 40*ms)}
			if set.hosts = append(set.hosts, h); m == 0 {
				set.primary, h.was = h, true
			}
			w.hosts = append(w.hosts, h)
			w.list = append(w.list, view.Host{Name: h.name, Address: h.name, Set: set.id, Size: 1})
		}
	}
	w.relist()
	for i := range size.Planners {
		w.planners = append(w.planners, &plan{w: w, i: i})
		w.planners[i].start()
	}
	for i := range size.Forwarders {
		f := &forward{w: w, name: "f" + strconv.Itoa(i), cut: map[int]bool{}}
		w.forwarders = append(w.forwarders, f)
		f.start()
	}
	return w
}

// Run plays to the end, with load and faults, and then lets what is out end.
func (w *World) Run() {
	w.After(500*ms, w.arrive)
	for range w.Faults {
		w.After(w.Between(second, w.For*3/4), w.fault)
	}
	w.RunFor(w.For + 4*second)
	for _, f := range w.forwarders {
		for id := range f.open {
			w.Violate("%s: %s has no final answer", f.name, id)
		}
	}
}

// arrive brings a command to a forwarder.
func (w *World) arrive() {
	if w.Now > zero+w.For {
		return
	}
	w.After(policy.Tenth(w.Rand.ExpFloat64()/w.Rate*float64(second)), w.arrive)
	f := w.forwarders[w.Rand.IntN(len(w.forwarders))]
	if f.up {
		f.take()
	}
}

type set struct {
	w       *World
	id      int64
	hosts   []*host
	primary *host
	end     policy.Tenth // of the log, while no primary is there
	elected policy.Tenth
	follows map[*forward]bool // since the last election: those whose writes go there
	named   map[*forward]bool // and those whose view says so
}

// elect makes another host the primary, the furthest that is up.
func (s *set) elect() {
	var best *host
	for _, h := range s.hosts {
		if h.up && !h.hung && (best == nil || h.pos() > best.pos()) {
			best = h
		}
	}
	if best == nil || s.primary != nil {
		return
	}
	s.w.Note("set %d elects %s", s.id, best.name)
	s.primary, best.was, s.elected = best, true, s.w.Now
	s.follows, s.named = map[*forward]bool{}, map[*forward]bool{}
}

type host struct {
	w         *World
	name      string
	set       *set
	up, hung  bool
	was       bool // primary, once
	lag       policy.Tenth
	boot, had policy.Tenth // when it last started; up to where it ever had the log
	stuck     []func()     // arrived while it hung
	recent    []arrival
}

type arrival struct {
	at   policy.Tenth
	told bool // by a forwarder that had been told of the start
}

// pos is up to where it has the log, which never goes back. A primary elected from a replica catches up at once.
func (h *host) pos() policy.Tenth {
	now := h.w.Now
	if h.set.primary == nil {
		now = h.set.end
	}
	if h.set.primary != h {
		now -= h.lag
	}
	h.had = max(h.had, now)
	return h.had
}

func (h *host) role() policy.Role {
	if h.set.primary == h {
		return policy.Primary
	}
	return policy.Replica
}

// The rule on cold hosts, in the world's figures.
const (
	coldFrom = 0.25
	coldFor  = 8 * second
	fall     = 4.0
	fallSpan = 1500 * ms
)

// cold notes work that reached a host, and asserts the fourth rule. What a warm host can do is a little more
// than what warm ones are asked here, so that the bound binds.
func (h *host) cold(f *forward) {
	w := h.w
	if h.boot == 0 || w.Now > h.boot+coldFor {
		return
	}
	h.recent = append(h.recent, arrival{w.Now, f.boots[h.name] >= h.boot})
	for len(h.recent) > 0 && h.recent[0].at < w.Now-fallSpan {
		h.recent = h.recent[1:]
	}
	told := 0
	for _, a := range h.recent {
		if a.told {
			told++
		}
	}
	part := coldFrom + (1-coldFrom)*float64(w.Now-fallSpan-h.boot)/float64(coldFor)
	can := w.Rate / float64(len(w.hosts)) * 1.33 * max(coldFrom, part) * float64(fallSpan) / float64(second)
	if n := float64(len(h.recent)); n > fall*can+6 && 3*told >= 2*len(h.recent) {
		w.Violate("%s is pushed over: %d in %d ms, it can do %.1f", h.name, len(h.recent), fallSpan/10, can)
		h.recent = nil
	}
}

// kill ends a host; a successor is elected after some time.
func (h *host) kill() {
	w, s := h.w, h.set
	if !h.up {
		return
	}
	w.Note("%s dies", h.name)
	h.up, h.hung, h.stuck = false, false, nil
	if s.primary == h {
		h.had = w.Now
		s.primary, s.end = nil, w.Now
		w.After(w.Between(200*ms, 1500*ms), s.elect)
	}
}

func (h *host) back() {
	if h.up {
		return
	}
	h.w.Note("%s is back, cold", h.name)
	h.up, h.boot, h.recent = true, h.w.Now, nil
	if h.set.primary == nil && h.set.end < h.w.Now-2*second {
		h.w.After(0, h.set.elect)
	}
	h.w.state(h, policy.In)
}

// state has discovery list a host otherwise; planners hear of it each in their time.
func (w *World) state(h *host, standing policy.Standing) {
	for i := range w.list {
		if w.list[i].Name == h.name {
			w.list[i].Standing, w.list[i].Boot = standing, h.boot
		}
	}
	w.relist()
	for _, p := range w.planners {
		p.hear()
	}
}

func (w *World) relist() {
	w.rev++
	w.history = append(w.history, append([]view.Host{}, w.list...))
}

// plan is a planner's process.
type plan struct {
	w     *World
	i     int
	core  *planner.Planner
	life  uint64
	up    bool
	old   bool         // its discovery stands still
	skew  policy.Tenth // of its clock
	links map[*forward]*planner.Forwarder
	ticks int
}

func (p *plan) clock() policy.Tenth { return p.w.Now + p.skew }

func (p *plan) start() {
	w := p.w
	p.life++
	p.up, p.links = true, map[*forward]*planner.Forwarder{}
	p.core = planner.New(uint64(p.i+1)<<32|p.life, planner.Terms{Beat: 100 * ms, Probe: 500 * ms, Search: 50 * ms, Probes: 16, PerSecond: 200,
		Forwarders: 100, Reports: 1000, Frames: 20000, Bytes: 20_000_000}, p.clock())
	life := p.life
	rev := w.rev
	if p.old {
		rev = 1
	}
	p.core.Listed(p.clock(), rev, true, append([]view.Host{}, w.history[rev-1]...))
	p.tick(life)
}

func (p *plan) hear() {
	w, life := p.w, p.life
	if p.old {
		return
	}
	rev := w.rev
	w.After(w.Between(5*ms, 300*ms), func() {
		if p.up && p.life == life {
			p.core.Listed(p.clock(), rev, true, append([]view.Host{}, w.history[rev-1]...))
		}
	})
}

func (p *plan) tick(life uint64) {
	w := p.w
	if !p.up || p.life != life {
		return
	}
	do := p.core.Tick(p.clock())
	for _, name := range do.Probe {
		p.probe(name, life)
	}
	for _, c := range do.Cut {
		for f, mine := range p.links {
			if mine == c {
				delete(p.links, f)
				f.lost(p, false)
			}
		}
	}
	if do.Change != nil {
		whole := map[*planner.Forwarder]bool{}
		for _, f := range do.Whole {
			whole[f] = true
		}
		all := p.core.Whole()
		for _, f := range w.forwarders {
			mine := p.links[f]
			if mine == nil {
				continue
			}
			c := *do.Change
			if whole[mine] {
				c = all
			}
			times := 1
			switch w.Rand.IntN(200) { // what a link never does, and a follower must bear all the same
			case 0:
				times = 0
			case 1:
				times = 2
			}
			for range times {
				f.told(p, c)
			}
		}
	}
	w.After(max(ms, do.Next-p.clock()), func() { p.tick(life) })
}

func (p *plan) probe(name string, life uint64) {
	w := p.w
	w.Probes++
	h := w.host(name)
	asked := p.clock()
	ended := func(ok bool, pos policy.Tenth, role policy.Role) func() {
		return func() {
			if p.up && p.life == life {
				p.core.Probed(p.clock(), name, ok, pos, role, asked)
			}
		}
	}
	w.After(w.Between(ms/2, 3*ms), func() {
		switch {
		case !h.up:
			w.After(ms, ended(false, -1, policy.Unknown))
		case h.hung:
			w.After(250*ms, ended(false, -1, policy.Unknown))
		default:
			w.After(w.Between(ms/2, 3*ms), ended(true, h.pos(), h.role()))
		}
	})
}

func (p *plan) kill() {
	if !p.up {
		return
	}
	p.w.Note("planner %d dies", p.i)
	p.up = false
	for f := range p.links {
		f.lost(p, true)
	}
	p.links = nil
}

func (w *World) host(name string) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	panic(name)
}

// forward is a forwarder's process.
type forward struct {
	w       *World
	name    string
	life    int
	up      bool
	core    *follower.Follower
	rules   *policy.Router
	nodes   map[string]*policy.Node
	names   map[*policy.Node]string
	open    map[string]*command
	groups  []*policy.CmdGroup
	cut     map[int]bool // from planners
	drains  map[string]policy.Tenth
	boots   map[string]policy.Tenth
	demoted map[string]bool // by an answer
	heard   map[string]*link.Heard
	lates   map[string]policy.Tenth
	trace   *record.Recorder // nil unless the world captures
}

type command struct {
	handle  *policy.Cmd
	until   policy.Tenth
	session string
	need    policy.Tenth // a position that its read must see; bounded ones by when they are sent
	group   *policy.CmdGroup
	final   bool
	out     int // serial of the dispatch that is out; 0: none
}

func (f *forward) start() {
	w := f.w
	f.life++
	f.up = true
	f.nodes, f.names, f.open = map[string]*policy.Node{}, map[*policy.Node]string{}, map[string]*command{}
	f.drains, f.boots, f.demoted = map[string]policy.Tenth{}, map[string]policy.Tenth{}, map[string]bool{}
	f.heard, f.lates = map[string]*link.Heard{}, map[string]policy.Tenth{}
	f.groups = []*policy.CmdGroup{
		{Need: policy.Bounded, Bound: second, Target: 250 * ms, Timeout: second, Benefit: 1, LateShare: 0.3},
		{Need: policy.Session, Target: 250 * ms, Timeout: second, Benefit: 1, LateShare: 0.3},
		{Effect: policy.Mutating, Need: policy.Write, Target: 400 * ms, Timeout: 3 * second, Benefit: 3, LateShare: 0.3}}
	seed := w.Rand.Uint64()
	d := policy.Deployment{Seed: uint32(seed), Tick: 5 * ms, Routers: w.Forwarders, Dispatches: 6, Told: true,
		Comeback: 500 * ms, FallFactor: fall, FallSpan: fallSpan, ColdFrom: coldFrom, ColdFor: coldFor, Groups: f.groups}
	if w.captured != nil {
		f.trace = record.New(w.captured(f.name, f.life, d), 64<<10, 1000, [32]byte{}, true)
		f.trace.Now(w.Now)
	}
	f.rules = policy.New(f, d, w.Now)
	var addresses []string
	for i := range w.planners {
		addresses = append(addresses, strconv.Itoa(i))
	}
	f.core = follower.New(seed, follower.Terms{Again: 50 * ms, Most: 5 * second, Report: 200 * ms, Silent: 2 * second}, addresses,
		w.Forwarders, w.Now)
	f.tick(f.life)
}

func (f *forward) kill() {
	f.w.Note("%s dies", f.name)
	f.up = false
	for _, p := range f.w.planners {
		if mine := p.links[f]; mine != nil {
			mine.Left()
			delete(p.links, f)
		}
	}
	clear(f.open) // lost with it, which is no router's final answer
}

func (f *forward) planner(i int) *follower.Planner { return f.core.Planners()[i] }

// lost tells of the end of a link; a cut one tells nothing.
func (f *forward) lost(p *plan, reset bool) {
	life := f.life
	if f.cut[p.i] && !reset {
		return
	}
	f.w.After(f.w.Between(ms/2, 3*ms), func() {
		if f.up && f.life == life {
			f.planner(p.i).Lost(f.w.Now)
		}
	})
}

func (f *forward) told(p *plan, c view.Change) {
	w, life, theirs := f.w, f.life, p.life
	if f.cut[p.i] {
		return
	}
	w.After(w.Between(ms/2, 4*ms), func() {
		if !f.up || f.life != life || f.cut[p.i] {
			return
		}
		if f.planner(p.i).Changed(w.Now, c) {
			w.After(w.Between(ms/2, 3*ms), func() {
				if mine := p.links[f]; mine != nil && p.life == theirs {
					mine.Wanted(p.clock())
				}
			})
		}
		f.step()
	})
}

func (f *forward) tick(life int) {
	if f.up && f.life == life {
		f.w.After(max(ms, f.step()-f.w.Now), func() { f.tick(life) })
	}
}

// step does what is due, as after all that comes in.
func (f *forward) step() (next policy.Tenth) {
	w, life := f.w, f.life
	do := f.core.Tick(w.Now)
	for _, p := range do.Cut {
		i, _ := strconv.Atoi(p.Address)
		if mine := w.planners[i].links[f]; mine != nil {
			mine.Left()
			delete(w.planners[i].links, f)
		}
		p.Lost(w.Now)
	}
	for _, p := range do.Dial {
		i, _ := strconv.Atoi(p.Address)
		there := w.planners[i]
		w.After(w.Between(ms, 6*ms), func() {
			if !f.up || f.life != life {
				return
			}
			if !there.up || f.cut[i] {
				p.Lost(w.Now)
				return
			}
			mine := there.core.Greeted(there.clock(), f.name, uint64(f.life))
			if mine == nil {
				p.Lost(w.Now)
				return
			}
			there.links[f] = mine
			mine.Begun()
			p.Connected(w.Now)
		})
	}
	if do.Told {
		f.apply(do)
	}
	if do.Report {
		f.report()
	}
	return do.Next
}

// apply is what the routing owner does with what is told.
func (f *forward) apply(do follower.Todo) {
	w := f.w
	f.moment()
	hosts := do.Hosts
	for _, name := range do.Dropped {
		if f.nodes[name] != nil {
			hosts = append(hosts, view.Host{Name: name, Standing: policy.Gone, Size: 1})
		}
	}
	for _, h := range hosts {
		n := f.nodes[h.Name]
		if n == nil && h.Standing == policy.Gone {
			continue
		}
		if n == nil {
			n = f.rules.Host(h.Name, h.Set)
			f.nodes[h.Name], f.names[n] = n, h.Name
			f.trace.Host(n, h.Set)
		}
		f.trace.Listed(n, h.Standing, h.Leader, h.Zone, h.Kind, h.Size, h.Boot)
		n.Listed(h.Standing, h.Leader, h.Zone, h.Kind, h.Size, h.Boot)
		f.boots[h.Name] = max(f.boots[h.Name], h.Boot)
		if h.Standing == policy.In {
			delete(f.drains, h.Name)
		} else if f.drains[h.Name] == 0 {
			f.drains[h.Name] = w.Now
		}
	}
	f.trace.ListDone(false)
	f.rules.ListDone(false)
	f.trace.Count(do.Routers, do.Blind)
	f.rules.Count(do.Routers, do.Blind)
	for _, h := range hosts {
		if n := f.nodes[h.Name]; n != nil {
			late := policy.Lateness(h.Late)
			f.trace.Told(n, h.Pos, h.Role, h.RoleAt, late)
			n.Told(h.Pos, h.Role, h.RoleAt, late)
			if s := w.host(h.Name).set; s.named != nil && !s.named[f] && h.Role == policy.Primary && s.primary == w.host(h.Name) {
				s.named[f] = true
				w.Named = append(w.Named, w.Now-s.elected)
			}
		}
	}
}

// moment tells the module the time of the calls that follow.
func (f *forward) moment() {
	f.rules.Clock(f.w.Now)
	f.trace.Now(f.w.Now)
}

func (f *forward) report() {
	var r link.Report
	for _, h := range f.heard {
		r.Heard = append(r.Heard, *h)
		h.Count, h.Sum = 0, 0
	}
	for _, p := range f.w.planners {
		if f.cut[p.i] || p.links[f] == nil {
			continue
		}
		theirs := p.life
		f.w.After(f.w.Between(ms/2, 3*ms), func() {
			if mine := p.links[f]; mine != nil && p.life == theirs {
				mine.Reported(p.clock(), r)
			}
		})
	}
}

// take brings one command, as the routing owner would.
func (f *forward) take() {
	w := f.w
	w.commands++
	w.Taken++
	id := "c" + strconv.Itoa(w.commands)
	g := f.groups[w.Rand.IntN(len(f.groups))]
	session := "s" + strconv.Itoa(w.Rand.IntN(40))
	set := w.sets[len(session)%len(w.sets)]
	if n, err := strconv.Atoi(session[1:]); err == nil {
		set = w.sets[n%len(w.sets)]
	}
	f.moment()
	since := policy.Tenth(0)
	need := policy.Tenth(0)
	if g.Need == policy.Session {
		if need = w.sessions[session]; need > 0 {
			since = max(1, w.Now-need)
		}
	}
	c := &command{until: w.Now + g.Timeout - 4*ms, session: session, need: need, group: g}
	life := f.life
	w.After(g.Timeout, func() {
		if f.life == life && f.up && !c.final {
			w.Violate("%s: %s is not answered within its client timeout", f.name, id)
		}
	})
	f.open[id] = c
	f.trace.Take(id, slices.Index(f.groups, g), set.id, session, c.until, since, false)
	c.handle = f.rules.Take(id, g, set.id, session, c.until, since, false)
	f.trace.Taken(c.handle)
	f.settle(c.handle)
}
