// Package gossip is how routers know each other: each probes a few
// others in turn, asks third parties for a second opinion on one that does not answer, suspects before it removes, and
// passes on what it learned with its probes. What a router costs does not grow with the number of routers.
//
//	Heard (a message), Tick  ->  Feeler  ->  messages to send;  Live, Control: what is known
//
// Pure: the caller brings time in milliseconds, chance and messages.
package gossip

import (
	"maps"
	"slices"
)

// State of a router, as another sees it.
type State uint8

// States. Of two words with one incarnation the later state here binds.
const (
	Alive State = iota
	Suspect
	Dead
)

// Update is a word on one router.
type Update struct {
	Name, Address string
	Incarnation   uint64 // raised by the router itself, to contradict a suspicion
	State         State
}

// MessageType of a message.
type MessageType uint8

// Kinds.
const (
	Ping MessageType = iota + 1
	Ack
	PingRequest // ping another, and tell
)

// Message goes over datagrams; it may be lost.
type Message struct {
	Type           MessageType
	From           string // an address
	Serial         uint64
	Target         string // of Please: an address
	Updates        []Update
	ControlMembers []string // addresses of the control plane's members
	ControlVersion uint64   // of Control: the place in the log where it was so
}

// Outgoing is a message and where it goes.
type Outgoing struct {
	To      string
	Message Message
}

// Config are times in milliseconds and counts.
type Config struct {
	ProbePeriodMs      int64 // between probes
	AckTimeoutMs       int64 // after which third parties are asked
	SuspicionTimeoutMs int64 // how long a router is suspected before it is removed
	RemovedRetentionMs int64 // how long a removed one is remembered
	IndirectProbes     int   // how many third parties are asked
	MaxUpdates         int   // words that a message carries at most
}

// DefaultConfig are terms for tens to hundreds of routers.
func DefaultConfig() Config {
	return Config{ProbePeriodMs: 1000, AckTimeoutMs: 250, SuspicionTimeoutMs: 5000, RemovedRetentionMs: 60000, IndirectProbes: 3, MaxUpdates: 6}
}

type router struct {
	Update
	since int64 // in this state
	told  int   // how often this word was passed on
}

type probe struct {
	name    string
	at      int64
	asked   bool // third parties were
	done    bool
	from    []string // who may answer: the one that is probed, and those that probe it for this router
	forWhom string   // of a Please: who wants to know
	serial  uint64   // theirs
}

// Membership is one router's view of the others. The zero value is not of use; New.
type Membership struct {
	Config
	self    Update
	chance  func(n int) int
	now     int64
	next    int64
	serial  uint64
	routers map[string]*router
	order   []string // who is probed next
	probes  map[uint64]*probe
	control []string
	version uint64

	Removed, Refuted, Probes int64
	DiscardedAcks            int64 // answers to nothing that is out, or from another than was asked
}

// New starts a router that knows nobody. life is greater in each life of its process; chance draws below n.
func New(name, address string, life uint64, t Config, chance func(n int) int, now int64) *Membership {
	return &Membership{Config: t, self: Update{Name: name, Address: address, Incarnation: life}, chance: chance, now: now,
		serial: life, // no life uses the numbers of another
		next:   now + int64(chance(int(t.ProbePeriodMs))), routers: map[string]*router{}, probes: map[uint64]*probe{}}
}

// AddSeeds takes in addresses of routers, from whomever; they are probed to learn who is there.
func (f *Membership) AddSeeds(addresses []string, now int64) (out []Outgoing) {
	f.clock(now)
	for _, a := range addresses {
		if a == f.self.Address || slices.ContainsFunc(f.all(), func(r *router) bool { return r.Address == a }) {
			continue
		}
		out = append(out, f.ping(a, &probe{name: "", at: f.now}))
	}
	return out
}

func (f *Membership) all() []*router { return slices.Collect(maps.Values(f.routers)) }

// AliveNames are the names of routers that are not removed, this one included, in order.
func (f *Membership) AliveNames() []string {
	names := []string{f.self.Name}
	for name, r := range f.routers {
		if r.State != Dead {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Lookup is what is held of a router.
func (f *Membership) Lookup(name string) (Update, bool) {
	r := f.routers[name]
	if r == nil {
		return Update{}, false
	}
	return r.Update, true
}

// SetControlMembers notes who the members of the control plane are, as of a place in the log; the newest word binds, whoever
// brings it.
func (f *Membership) SetControlMembers(members []string, version uint64) {
	if version > f.version && len(members) > 0 && len(members) <= 32 {
		f.control, f.version = slices.Clone(members), version
	}
}

// ControlMembers is the newest word on the members of the control plane.
func (f *Membership) ControlMembers() ([]string, uint64) { return f.control, f.version }

func (f *Membership) clock(now int64) { f.now = max(f.now, now) }

// most that is held of routers and of probes, whatever is heard.
const most = 1024

// hear takes in one word.
func (f *Membership) hear(n Update) {
	if n.Name == "" || n.Address == "" || len(n.Name) > 128 || len(n.Address) > 64 || n.State > Dead {
		return
	}
	if n.Name == f.self.Name {
		if n.State != Alive && n.Incarnation >= f.self.Incarnation { // it is not so
			f.Refuted++
			f.self.Incarnation = n.Incarnation + 1
		}
		return
	}
	r := f.routers[n.Name]
	switch {
	case r == nil:
		if n.State == Dead || len(f.routers) >= most {
			return
		}
		f.routers[n.Name] = &router{Update: n, since: f.now}
	case n.Incarnation < r.Incarnation, n.Incarnation == r.Incarnation && n.State <= r.State:
		return
	default:
		if n.State == Dead && r.State != Dead {
			f.Removed++
		}
		*r = router{Update: n, since: f.now}
	}
}

// load are the words that were passed on least, this router's own first.
func (f *Membership) load() []Update {
	words := []Update{f.self}
	all := f.all()
	slices.SortFunc(all, func(a, b *router) int {
		if a.told != b.told {
			return a.told - b.told
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	limit := 3
	for n := len(f.routers); n > 1; n /= 2 { // each word goes out some log n times
		limit++
	}
	for _, r := range all {
		if len(words) >= f.MaxUpdates {
			break
		}
		if r.told < limit {
			r.told++
			words = append(words, r.Update)
		}
	}
	for i := 0; len(words) < f.MaxUpdates && i < len(all); i++ { // what all know fills up, in turn, for those that are new
		r := all[f.chance(len(all))]
		if !slices.Contains(words, r.Update) {
			words = append(words, r.Update)
		}
	}
	return words
}

func (f *Membership) message(kind MessageType, serial uint64) Message {
	return Message{Type: kind, From: f.self.Address, Serial: serial, Updates: f.load(), ControlMembers: f.control, ControlVersion: f.version}
}

func (f *Membership) ping(address string, p *probe) Outgoing {
	f.serial++
	f.Probes++
	p.from = []string{address}
	if len(f.probes) < most {
		f.probes[f.serial] = p
	}
	return Outgoing{address, f.message(Ping, f.serial)}
}

// HandleMessage takes in a message.
func (f *Membership) HandleMessage(m Message, now int64) (out []Outgoing) {
	f.clock(now)
	if len(m.Updates) > 64 {
		m.Updates = m.Updates[:64]
	}
	for _, n := range m.Updates {
		f.hear(n)
	}
	f.SetControlMembers(m.ControlMembers, m.ControlVersion)
	switch m.Type {
	case Ping:
		out = append(out, Outgoing{m.From, f.message(Ack, m.Serial)})
	case PingRequest:
		if m.Target != "" && m.Target != f.self.Address {
			out = append(out, f.ping(m.Target, &probe{at: f.now, forWhom: m.From, serial: m.Serial}))
		}
	case Ack:
		p := f.probes[m.Serial]
		if p == nil || !slices.Contains(p.from, m.From) {
			f.DiscardedAcks++
			break
		}
		delete(f.probes, m.Serial)
		p.done = true
		if p.forWhom != "" {
			out = append(out, Outgoing{p.forWhom, f.message(Ack, p.serial)})
		}
	}
	return out
}

// Tick goes on to a time.
func (f *Membership) Tick(now int64) (out []Outgoing) {
	f.clock(now)
	for _, serial := range slices.Sorted(maps.Keys(f.probes)) {
		p := f.probes[serial]
		switch r := f.routers[p.name]; {
		case f.now >= p.at+f.ProbePeriodMs:
			delete(f.probes, serial)
			if r != nil && r.State == Alive && p.forWhom == "" {
				*r = router{Update: Update{r.Name, r.Address, r.Incarnation, Suspect}, since: f.now}
			}
		case r != nil && !p.asked && p.forWhom == "" && f.now >= p.at+f.AckTimeoutMs:
			p.asked = true
			for _, third := range f.pick(f.IndirectProbes, p.name) {
				m := f.message(PingRequest, serial)
				m.Target = r.Address
				p.from = append(p.from, third.Address)
				out = append(out, Outgoing{third.Address, m})
			}
		}
	}
	for name, r := range f.routers {
		switch {
		case r.State == Suspect && f.now >= r.since+f.SuspicionTimeoutMs:
			f.Removed++
			*r = router{Update: Update{r.Name, r.Address, r.Incarnation, Dead}, since: f.now}
		case r.State == Dead && f.now >= r.since+f.RemovedRetentionMs:
			delete(f.routers, name)
		}
	}
	if f.now >= f.next {
		f.next = f.now + f.ProbePeriodMs
		if r := f.turn(); r != nil {
			out = append(out, f.ping(r.Address, &probe{name: r.Name, at: f.now}))
		}
	}
	return out
}

// NextTick is when Tick is to be called at the latest.
func (f *Membership) NextTick() int64 {
	next := f.next
	for _, p := range f.probes {
		if !p.asked {
			next = min(next, p.at+f.AckTimeoutMs)
		}
	}
	return max(next, f.now+20)
}

// turn is whom to probe: all in a drawn order, then in another.
func (f *Membership) turn() *router {
	for range 2 {
		for len(f.order) > 0 {
			name := f.order[0]
			f.order = f.order[1:]
			if r := f.routers[name]; r != nil && (r.State != Dead || f.chance(4) == 0) { // a removed one may be back
				return r
			}
		}
		f.order = slices.Sorted(maps.Keys(f.routers))
		for i := len(f.order) - 1; i > 0; i-- {
			j := f.chance(i + 1)
			f.order[i], f.order[j] = f.order[j], f.order[i]
		}
	}
	return nil
}

// pick draws routers that are alive, but for one.
func (f *Membership) pick(n int, but string) (some []*router) {
	names := slices.Sorted(maps.Keys(f.routers))
	for len(some) < n && len(names) > 0 {
		i := f.chance(len(names))
		r := f.routers[names[i]]
		names = slices.Delete(names, i, i+1)
		if r.State == Alive && r.Name != but {
			some = append(some, r)
		}
	}
	return some
}
