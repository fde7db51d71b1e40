// Package planner decides for one planner what is known of the fleet, whom to
// probe, which forwarders count, and what they are told when. It has no sockets
// and no clock: calls bring what came in with the time in tenths, Tick returns
// what is to be done. Nothing that it says need be right: forwarders keep the
// rules on any view, and believe of a host only what the host could have said.
package planner

import (
	"cmp"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"

	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const second = policy.Tenth(10000)

// Terms are what one planner keeps to; times in tenths.
type Terms struct {
	Gen        uint64       // of discovery's versions
	Beat       policy.Tenth // the shortest time between two changes
	Probe      policy.Tenth // after which a host that nobody has heard of is asked
	Search     policy.Tenth // between askings where a set's primary is not known or silent
	Probes     int          // that may be out at once
	PerSecond  int          // probes a second at most
	Forwarders int          // taken at most
	Reports    int          // of all forwarders a second
	Frames     int          // to all forwarders a second
	Bytes      int          // of positions to all forwarders a second
}

// Planner is the state of one.
type Planner struct {
	Terms
	life, seq, seed uint64
	draws           uint64
	now, beatAt     policy.Tenth
	turnAt, fillAt  policy.Tenth // of lateness' buckets; of the probes' allowance
	credit          float64
	out             int
	view            view.View
	hosts           map[string]*host
	forwarders      map[*Forwarder]bool
	leases          map[lease]policy.Tenth // until when a forwarder counts

	Doubles, Overdue, Silent, Cold int64 // leases of a name that held one, a restart's too; links cut; probes without answer; work sent to cold hosts
}

type lease struct {
	name string
	life uint64
}

// host is what a planner holds of a host beside the view.
type host struct {
	name               string
	set                int64
	said               view.Evidence
	heardAt, askedAt   policy.Tenth // when anybody last heard of it; when it was last asked
	wordAt             policy.Tenth // when its last word came, of any kind
	published          policy.Tenth
	wait               policy.Tenth // between askings while it is silent; 0: it answers
	probing, waiting   bool         // waiting: said is ahead of the view
	count, sum         uint32       // this bucket
	late               uint8
	role               policy.Role // that was published
	lastCount, lastSum uint32      // and the one before
	boot               policy.Tenth
	cold               map[uint64]int64 // by forwarders' lives
}

// New starts a planner that knows nothing.
func New(life uint64, t Terms, now policy.Tenth) *Planner {
	return &Planner{Terms: t, life: life, seed: life, now: now, beatAt: now, turnAt: now, fillAt: now,
		hosts: map[string]*host{}, forwarders: map[*Forwarder]bool{}, leases: map[lease]policy.Tenth{}}
}

// View is the view as it stands; not to be changed.
func (p *Planner) View() *view.View { return &p.view }

// Routers is how many forwarders hold a lease.
func (p *Planner) Routers() int { return len(p.leases) }

// Open is how many forwarders are connected.
func (p *Planner) Open() int { return len(p.forwarders) }

func (p *Planner) clock(now policy.Tenth) { p.now = max(p.now, now) }

// chance is a number from 0 to 1, by the planner's life and a counter.
func (p *Planner) chance() float64 {
	p.draws++
	return float64(crc32.ChecksumIEEE(strconv.AppendUint(strconv.AppendUint(nil, p.seed, 36), p.draws, 10))) / (1 << 32)
}

// Listed takes in a list of discovery's, and says whether it was not older than the one held.
func (p *Planner) Listed(now policy.Tenth, rev int64, whole bool, entries []view.Host) bool {
	p.clock(now)
	for i := range entries {
		entries[i].Boot = max(0, min(entries[i].Boot, now)) // a clock that is ahead keeps nothing cold for longer
	}
	if !p.view.List(view.Version{Gen: p.Gen, Rev: rev}, whole, entries) {
		return false
	}
	for name := range p.hosts {
		if _, known := p.view.Host(name); !known {
			delete(p.hosts, name)
		}
	}
	for _, e := range entries {
		if h, known := p.view.Host(e.Name); known && h.Standing == policy.In {
			p.host(h)
		} else {
			delete(p.hosts, e.Name)
		}
	}
	if p.view.Gone() > 64+p.view.Len()/4 {
		p.view.Settle()
	}
	return true
}

func (p *Planner) host(h view.Host) {
	mine := p.hosts[h.Name]
	if mine == nil {
		mine = &host{name: h.Name, set: h.Set, said: view.Evidence{Name: h.Name}, cold: map[uint64]int64{}}
		p.hosts[h.Name] = mine
	}
	if h.Boot > mine.boot { // what was said before a start says nothing of what came after
		mine.boot, mine.wait, mine.askedAt, mine.heardAt = h.Boot, 0, 0, 0
		clear(mine.cold)
	}
}

// Probed ends a probe that was asked for at a time. pos is -1 where there is none.
func (p *Planner) Probed(now policy.Tenth, name string, ok bool, pos policy.Tenth, role policy.Role, asked policy.Tenth) {
	p.clock(now)
	p.out--
	h := p.hosts[name]
	if h == nil {
		return
	}
	h.probing = false
	if !ok {
		p.Silent++
		h.wait = min(max(p.Search, 2*h.wait), 4*p.Probe)
		return
	}
	h.wait, h.heardAt = 0, p.now
	if pos >= 0 && pos <= p.ahead() {
		h.waiting = h.said.Said(pos, role, asked >= h.wordAt) || h.waiting
		h.wordAt = p.now
	}
}

// ahead is the greatest position that can be true: of a commit now, rounded up.
func (p *Planner) ahead() policy.Tenth { return p.now + 20 }

// Forwarder is the handle of a connected one.
type Forwarder struct {
	p       *Planner
	id      lease
	heardAt policy.Tenth
	want    bool
}

// Greeted takes a forwarder that showed the key, or nil when there are too many. It
// counts from its first frame on, which a repeated greeting can't bring.
func (p *Planner) Greeted(now policy.Tenth, name string, life uint64) *Forwarder {
	p.clock(now)
	if len(p.forwarders) >= p.Forwarders {
		return nil
	}
	f := &Forwarder{p: p, id: lease{name, life}, heardAt: p.now}
	p.forwarders[f] = true
	return f
}

// Begun says that the connection can carry a view; it is sent one.
func (f *Forwarder) Begun() { f.want = true }

// Left ends a connection. Its lease runs on: it may be cut off from here alone.
func (f *Forwarder) Left() { delete(f.p.forwarders, f) }

// Wanted is a forwarder's wish for a whole view.
func (f *Forwarder) Wanted(now policy.Tenth) {
	f.p.clock(now)
	f.want = true
	f.renew()
}

// renew counts a forwarder by name and life: after a restart both count until the old lease ends, and two of
// one name count twice, since each takes its share.
func (f *Forwarder) renew() {
	p := f.p
	f.heardAt = p.now
	if _, held := p.leases[f.id]; !held {
		for other := range p.leases {
			if other.name == f.id.name {
				p.Doubles++
				break
			}
		}
	}
	p.leases[f.id] = p.now + 3*p.every() + second
}

// Reported takes in what a forwarder heard of hosts. What no host can have said is passed over.
func (f *Forwarder) Reported(now policy.Tenth, r link.Report) {
	p := f.p
	p.clock(now)
	f.renew()
	for _, s := range r.Heard {
		h := p.hosts[s.Name]
		if h == nil {
			continue
		}
		if s.Pos >= 0 && s.Pos <= p.ahead() && s.RoleAt >= 0 && s.RoleAt <= p.ahead() {
			was := h.said
			if h.said.Join(s.Evidence); h.said != was {
				h.waiting = true
			}
		}
		if s.Count > 0 {
			h.heardAt, h.wait = p.now, 0
			h.count += min(s.Count, 1<<16)
			h.sum += min(s.Sum, 10000*min(s.Count, 1<<16))
		}
		if s.Boot > 0 && s.Boot == h.boot {
			if more := s.Cold - h.cold[f.id.life]; more > 0 {
				h.cold[f.id.life] = s.Cold
				p.Cold += more
			}
		}
	}
}

// every is how often forwarders report: so often that all together keep to Reports a second.
func (p *Planner) every() policy.Tenth {
	return max(2*p.beat(), policy.Tenth(len(p.forwarders))*second/policy.Tenth(p.Reports))
}

// beat is the time between two changes: so long that all together keep to Frames a second.
func (p *Planner) beat() policy.Tenth {
	return max(p.Beat, policy.Tenth(len(p.forwarders))*second/policy.Tenth(p.Frames))
}

// spread is the time between two positions told of one host, so long that all keep to Bytes a second.
func (p *Planner) spread() policy.Tenth {
	const entry = 96 // bytes, about
	return policy.Tenth(float64(len(p.hosts)*len(p.forwarders)*entry) * float64(second) / float64(p.Bytes))
}

// Todo is what a Tick asks for.
type Todo struct {
	Probe  []string
	Change *view.Change // to all who are not in Whole
	Whole  []*Forwarder // are sent the view as it is after Change
	Cut    []*Forwarder // have said nothing for longer than a lease
	Next   policy.Tenth // when to tick again at the latest
}

// Tick goes on to a time.
func (p *Planner) Tick(now policy.Tenth) (do Todo) {
	p.clock(now)
	for id, until := range p.leases {
		if p.now >= until {
			delete(p.leases, id)
		}
	}
	for f := range p.forwarders {
		if p.now >= f.heardAt+4*p.every()+second { // half-open, or hanging
			p.Overdue++
			delete(p.forwarders, f)
			do.Cut = append(do.Cut, f)
		}
	}
	do.Probe = p.probe()
	if p.now >= p.beatAt {
		p.beatAt = p.now + p.beat()
		p.publish()
		p.seq++
		c := p.view.Changes(p.life, p.seq)
		c.Every = p.every()
		do.Change = &c
		for f := range p.forwarders {
			if f.want {
				f.want = false
				do.Whole = append(do.Whole, f)
			}
		}
	}
	do.Next = min(p.beatAt, p.now+p.Search/2)
	return do
}

// Whole is the view for those that Tick named.
func (p *Planner) Whole() view.Change {
	c := p.view.Whole(p.life, p.seq)
	c.Every = p.every()
	return c
}

// publish moves into the view what is known: a primary's coming and going at once, all else as often as there is
// room for.
func (p *Planner) publish() {
	turn := p.now >= p.turnAt
	if turn {
		p.turnAt = p.now + max(second, p.every())
	}
	spread := p.spread()
	for _, h := range p.hosts {
		if turn {
			late := uint8(0)
			if n := h.count + h.lastCount; n > 0 {
				late = 1 + uint8(min(12, (h.sum+h.lastSum)/n/100))
			}
			h.waiting = h.waiting || late != h.late
			h.late, h.lastCount, h.lastSum, h.count, h.sum = late, h.count, h.sum, 0, 0
		}
		if !h.waiting {
			continue
		}
		turned := h.role != h.said.Role && (h.role == policy.Primary || h.said.Role == policy.Primary)
		if turned || p.now >= h.published+spread {
			p.view.Believe(h.said, p.ahead())
			p.view.Lateness(h.name, h.late)
			h.published, h.waiting, h.role = p.now, false, h.said.Role
		}
	}
	p.view.Routers = len(p.leases)
}

// probe names the hosts to ask now: where a set's primary is not known or does not answer, its members, often;
// else whoever nobody has heard of for some time. What forwarders hear of is not asked.
func (p *Planner) probe() (ask []string) {
	p.credit = min(float64(p.PerSecond)/4, p.credit+float64(p.PerSecond)*float64(p.now-p.fillAt)/float64(second))
	p.fillAt = p.now
	room := min(p.Probes-p.out, int(p.credit))
	if room <= 0 {
		return nil
	}
	headless := p.headless()
	before := func(a, b *host) int {
		return cmp.Or(p.first(headless, b)-p.first(headless, a), cmp.Compare(a.askedAt, b.askedAt), strings.Compare(a.name, b.name))
	}
	var due []*host // the first few, in order
	for _, h := range p.hosts {
		rest := p.Probe
		switch {
		case headless[h.set] && h.said.Role != policy.Primary:
			rest = p.Search
		case h.wait > 0:
			rest = h.wait
		}
		if h.probing || h.askedAt != 0 && p.now < max(h.heardAt, h.askedAt)+rest ||
			len(due) == room && before(h, due[room-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(due, h, before)
		if due = slices.Insert(due, at, h); len(due) > room {
			due = due[:room]
		}
	}
	for _, h := range due {
		p.out++
		p.credit--
		h.probing = true
		h.askedAt = max(1, p.now-policy.Tenth(p.chance()*float64(p.Search)/4)) // planners don't ask in step
		ask = append(ask, h.name)
	}
	return ask
}

func (p *Planner) first(headless map[int64]bool, h *host) int {
	switch {
	case headless[h.set]:
		return 2
	case h.wait == 0:
		return 1
	}
	return 0
}

// headless are the sets in which no host is followed as the primary, or only one that does not answer.
func (p *Planner) headless() map[int64]bool {
	best, is := map[int64]*host{}, map[int64]bool{}
	for _, h := range p.hosts {
		if is[h.set] = true; h.said.Role != policy.Primary {
			continue
		}
		if b := best[h.set]; b == nil || h.said.RoleAt > b.said.RoleAt || h.said.RoleAt == b.said.RoleAt && h.name < b.name {
			best[h.set] = h
		}
	}
	for set, h := range best {
		is[set] = h.wait > 0 || p.now > h.heardAt+2*p.Probe
	}
	return is
}
