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
	incarnation, sequence, seed uint64
	randomDraws                 uint64
	now, nextChangeAt           policy.Tenth
	nextLatenessAt, creditedAt  policy.Tenth // of lateness' buckets; of the probes' allowance
	probeCredit                 float64
	probesInFlight              int
	view                        view.View
	hosts                       map[string]*host
	forwarders                  map[*Forwarder]bool
	leases                      map[leaseKey]policy.Tenth // until when a forwarder counts

	DuplicateLeases, TimedOutLinks, FailedProbes, ColdWork int64 // leases of a name that held one, a restart's too; links cut; probes without answer; work sent to cold hosts
}

type leaseKey struct {
	name        string
	incarnation uint64
}

// host is what a planner holds of a host beside the view.
type host struct {
	name                                   string
	set                                    int64
	evidence                               view.Evidence
	lastResponseAt, probedAt               policy.Tenth // when anybody last heard of it; when it was last asked
	evidenceAt                             policy.Tenth // when its last word came, of any kind
	publishedAt                            policy.Tenth
	backoff                                policy.Tenth // between askings while it is silent; 0: it answers
	probing, unpublished                   bool         // waiting: said is ahead of the view
	responses, latenessSum                 uint32       // this bucket
	lateness                               uint8
	publishedRole                          policy.Role // that was published
	previousResponses, previousLatenessSum uint32      // and the one before
	bootedAt                               policy.Tenth
	coldWork                               map[uint64]int64 // by forwarders' lives
}

// New starts a planner that knows nothing.
func New(life uint64, t Terms, now policy.Tenth) *Planner {
	return &Planner{Terms: t, incarnation: life, seed: life, now: now, nextChangeAt: now, nextLatenessAt: now, creditedAt: now,
		hosts: map[string]*host{}, forwarders: map[*Forwarder]bool{}, leases: map[leaseKey]policy.Tenth{}}
}

// View is the view as it stands; not to be changed.
func (p *Planner) View() *view.View { return &p.view }

// Routers is how many forwarders hold a lease.
func (p *Planner) Routers() int { return len(p.leases) }

// ForwarderCount is how many forwarders are connected.
func (p *Planner) ForwarderCount() int { return len(p.forwarders) }

func (p *Planner) advance(now policy.Tenth) { p.now = max(p.now, now) }

// randomFraction is a number from 0 to 1, by the planner's life and a counter.
func (p *Planner) randomFraction() float64 {
	p.randomDraws++
	return float64(crc32.ChecksumIEEE(strconv.AppendUint(strconv.AppendUint(nil, p.seed, 36), p.randomDraws, 10))) / (1 << 32)
}

// Listed takes in a list of discovery's, and says whether it was not older than the one held.
func (p *Planner) Listed(now policy.Tenth, rev int64, whole bool, entries []view.Host) bool {
	p.advance(now)
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
			p.trackHost(h)
		} else {
			delete(p.hosts, e.Name)
		}
	}
	if p.view.GoneCount() > 64+p.view.Len()/4 {
		p.view.Compact()
	}
	return true
}

func (p *Planner) trackHost(h view.Host) {
	mine := p.hosts[h.Name]
	if mine == nil {
		mine = &host{name: h.Name, set: h.Set, evidence: view.Evidence{Name: h.Name}, coldWork: map[uint64]int64{}}
		p.hosts[h.Name] = mine
	}
	if h.Boot > mine.bootedAt { // what was said before a start says nothing of what came after
		mine.bootedAt, mine.backoff, mine.probedAt, mine.lastResponseAt = h.Boot, 0, 0, 0
		clear(mine.coldWork)
	}
}

// Probed ends a probe that was asked for at a time. pos is -1 where there is none.
func (p *Planner) Probed(now policy.Tenth, name string, ok bool, pos policy.Tenth, role policy.Role, asked policy.Tenth) {
	p.advance(now)
	p.probesInFlight--
	h := p.hosts[name]
	if h == nil {
		return
	}
	h.probing = false
	if !ok {
		p.FailedProbes++
		h.backoff = min(max(p.Search, 2*h.backoff), 4*p.Probe)
		return
	}
	h.backoff, h.lastResponseAt = 0, p.now
	if pos >= 0 && pos <= p.maxPosition() {
		h.unpublished = h.evidence.Said(pos, role, asked >= h.evidenceAt) || h.unpublished
		h.evidenceAt = p.now
	}
}

// maxPosition is the greatest position that can be true: of a commit now, rounded up.
func (p *Planner) maxPosition() policy.Tenth { return p.now + 20 }

// Forwarder is the handle of a connected one.
type Forwarder struct {
	planner       *Planner
	key           leaseKey
	lastFrameAt   policy.Tenth
	needsFullView bool
}

// Greeted takes a forwarder that showed the key, or nil when there are too many. It
// counts from its first frame on, which a repeated greeting can't bring.
func (p *Planner) Greeted(now policy.Tenth, name string, life uint64) *Forwarder {
	p.advance(now)
	if len(p.forwarders) >= p.Forwarders {
		return nil
	}
	f := &Forwarder{planner: p, key: leaseKey{name, life}, lastFrameAt: p.now}
	p.forwarders[f] = true
	return f
}

// Begun says that the connection can carry a view; it is sent one.
func (f *Forwarder) Begun() { f.needsFullView = true }

// Left ends a connection. Its lease runs on: it may be cut off from here alone.
func (f *Forwarder) Left() { delete(f.planner.forwarders, f) }

// Wanted is a forwarder's wish for a whole view.
func (f *Forwarder) Wanted(now policy.Tenth) {
	f.planner.advance(now)
	f.needsFullView = true
	f.renewLease()
}

// renewLease counts a forwarder by name and life: after a restart both count until the old lease ends, and two of
// one name count twice, since each takes its share.
func (f *Forwarder) renewLease() {
	p := f.planner
	f.lastFrameAt = p.now
	if _, held := p.leases[f.key]; !held {
		for other := range p.leases {
			if other.name == f.key.name {
				p.DuplicateLeases++
				break
			}
		}
	}
	p.leases[f.key] = p.now + 3*p.reportInterval() + second
}

// Reported takes in what a forwarder heard of hosts. What no host can have said is passed over.
func (f *Forwarder) Reported(now policy.Tenth, r link.Report) {
	p := f.planner
	p.advance(now)
	f.renewLease()
	for _, s := range r.Heard {
		h := p.hosts[s.Name]
		if h == nil {
			continue
		}
		if s.Pos >= 0 && s.Pos <= p.maxPosition() && s.RoleAt >= 0 && s.RoleAt <= p.maxPosition() {
			was := h.evidence
			if h.evidence.Merge(s.Evidence); h.evidence != was {
				h.unpublished = true
			}
		}
		if s.Count > 0 {
			h.lastResponseAt, h.backoff = p.now, 0
			h.responses += min(s.Count, 1<<16)
			h.latenessSum += min(s.Sum, 10000*min(s.Count, 1<<16))
		}
		if s.Boot > 0 && s.Boot == h.bootedAt {
			if more := s.Cold - h.coldWork[f.key.incarnation]; more > 0 {
				h.coldWork[f.key.incarnation] = s.Cold
				p.ColdWork += more
			}
		}
	}
}

// reportInterval is how often forwarders report: so often that all together keep to Reports a second.
func (p *Planner) reportInterval() policy.Tenth {
	return max(2*p.changeInterval(), policy.Tenth(len(p.forwarders))*second/policy.Tenth(p.Reports))
}

// changeInterval is the time between two changes: so long that all together keep to Frames a second.
func (p *Planner) changeInterval() policy.Tenth {
	return max(p.Beat, policy.Tenth(len(p.forwarders))*second/policy.Tenth(p.Frames))
}

// positionInterval is the time between two positions told of one host, so long that all keep to Bytes a second.
func (p *Planner) positionInterval() policy.Tenth {
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
	p.advance(now)
	for id, until := range p.leases {
		if p.now >= until {
			delete(p.leases, id)
		}
	}
	for f := range p.forwarders {
		if p.now >= f.lastFrameAt+4*p.reportInterval()+second { // half-open, or hanging
			p.TimedOutLinks++
			delete(p.forwarders, f)
			do.Cut = append(do.Cut, f)
		}
	}
	do.Probe = p.startProbes()
	if p.now >= p.nextChangeAt {
		p.nextChangeAt = p.now + p.changeInterval()
		p.publish()
		p.sequence++
		c := p.view.TakeChanges(p.incarnation, p.sequence)
		c.Every = p.reportInterval()
		do.Change = &c
		for f := range p.forwarders {
			if f.needsFullView {
				f.needsFullView = false
				do.Whole = append(do.Whole, f)
			}
		}
	}
	do.Next = min(p.nextChangeAt, p.now+p.Search/2)
	return do
}

// Whole is the view for those that Tick named.
func (p *Planner) Whole() view.Change {
	c := p.view.Whole(p.incarnation, p.sequence)
	c.Every = p.reportInterval()
	return c
}

// publish moves into the view what is known: a primary's coming and going at once, all else as often as there is
// room for.
func (p *Planner) publish() {
	turn := p.now >= p.nextLatenessAt
	if turn {
		p.nextLatenessAt = p.now + max(second, p.reportInterval())
	}
	spread := p.positionInterval()
	for _, h := range p.hosts {
		if turn {
			late := uint8(0)
			if n := h.responses + h.previousResponses; n > 0 {
				late = 1 + uint8(min(12, (h.latenessSum+h.previousLatenessSum)/n/100))
			}
			h.unpublished = h.unpublished || late != h.lateness
			h.lateness, h.previousResponses, h.previousLatenessSum, h.responses, h.latenessSum = late, h.responses, h.latenessSum, 0, 0
		}
		if !h.unpublished {
			continue
		}
		turned := h.publishedRole != h.evidence.Role && (h.publishedRole == policy.Primary || h.evidence.Role == policy.Primary)
		if turned || p.now >= h.publishedAt+spread {
			p.view.Believe(h.evidence, p.maxPosition())
			p.view.Lateness(h.name, h.lateness)
			h.publishedAt, h.unpublished, h.publishedRole = p.now, false, h.evidence.Role
		}
	}
	p.view.Routers = len(p.leases)
}

// startProbes names the hosts to ask now: where a set's primary is not known or does not answer, its members, often;
// else whoever nobody has heard of for some time. What forwarders hear of is not asked.
func (p *Planner) startProbes() (ask []string) {
	p.probeCredit = min(float64(p.PerSecond)/4, p.probeCredit+float64(p.PerSecond)*float64(p.now-p.creditedAt)/float64(second))
	p.creditedAt = p.now
	room := min(p.Probes-p.probesInFlight, int(p.probeCredit))
	if room <= 0 {
		return nil
	}
	headless := p.setsWithoutPrimary()
	before := func(a, b *host) int {
		return cmp.Or(p.probeUrgency(headless, b)-p.probeUrgency(headless, a), cmp.Compare(a.probedAt, b.probedAt), strings.Compare(a.name, b.name))
	}
	var due []*host // the first few, in order
	for _, h := range p.hosts {
		rest := p.Probe
		switch {
		case headless[h.set] && h.evidence.Role != policy.Primary:
			rest = p.Search
		case h.backoff > 0:
			rest = h.backoff
		}
		if h.probing || h.probedAt != 0 && p.now < max(h.lastResponseAt, h.probedAt)+rest ||
			len(due) == room && before(h, due[room-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(due, h, before)
		if due = slices.Insert(due, at, h); len(due) > room {
			due = due[:room]
		}
	}
	for _, h := range due {
		p.probesInFlight++
		p.probeCredit--
		h.probing = true
		h.probedAt = max(1, p.now-policy.Tenth(p.randomFraction()*float64(p.Search)/4)) // planners don't ask in step
		ask = append(ask, h.name)
	}
	return ask
}

func (p *Planner) probeUrgency(headless map[int64]bool, h *host) int {
	switch {
	case headless[h.set]:
		return 2
	case h.backoff == 0:
		return 1
	}
	return 0
}

// setsWithoutPrimary are the sets in which no host is followed as the primary, or only one that does not answer.
func (p *Planner) setsWithoutPrimary() map[int64]bool {
	best, is := map[int64]*host{}, map[int64]bool{}
	for _, h := range p.hosts {
		if is[h.set] = true; h.evidence.Role != policy.Primary {
			continue
		}
		if b := best[h.set]; b == nil || h.evidence.RoleAt > b.evidence.RoleAt || h.evidence.RoleAt == b.evidence.RoleAt && h.name < b.name {
			best[h.set] = h
		}
	}
	for set, h := range best {
		is[set] = h.backoff > 0 || p.now > h.lastResponseAt+2*p.Probe
	}
	return is
}
