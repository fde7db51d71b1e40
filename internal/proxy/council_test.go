package proxy

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/control"
	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/wire"
)

// A council is the control plane as it is: three members with their log, disks that forget what was not synced, and
// fail-over, on the world's network. The platform is slow, refuses, or gives no clear answer; where it checks fences, it
// refuses older ones.
type council struct {
	w        *world
	members  []*member
	fencing  bool
	fences   map[string]uint64
	holders  map[uint64]string // by fence
	seq      int64
	calls    int
	draining map[string]bool
	renamed  int
	ties     int
	lives    int                // of disks and machines that came after the first
	places   map[string]*member // who is at an address; members are those that callers and routers are told of
	operator *operator
	struck   [12]int // faults of members, by kind

	takes func() int64 // of a promotion at the platform; nil: by chance

	// defences taken out
	answer   func(failover.HostQuery, *database.Host) bool // a question's answer is made up
	address  func(id string) string
	sameName bool // a member whose disk is lost counts as before
}

type member struct {
	c      *council
	ip     string
	f      *control.Server
	up     bool
	frozen bool
	life   int
	id     storage.Identity
	disk   consensus.RestoredState
	queue  []consensus.Write
	held   []func()
	cut    bool // from the other members
	deaf   bool // hears none of them, and is heard
	mute   bool // is heard by none of them, and hears
	blind  bool // from hosts and the platform
	resets int  // of its connections to members: what was on its way is lost
	rate   int64
	links  map[*tie]bool
	order  map[string]int64
	outAt  int64 // when it was last in trouble, and what that cost is made good
}

func newCouncilWorld(seed uint64, routers, clients int) *world {
	w := bareWorld(seed)
	c := &council{
		w: w, fencing: w.OneIn(2), fences: map[string]uint64{}, holders: map[uint64]string{}, draining: map[string]bool{},
		address: func(id string) string { return "10.1.0.1:100" + id[1:2] },
	}
	w.council, c.places, w.apart = c, map[string]*member{}, 10
	var founders []consensus.ID
	for i := range 3 {
		founders = append(founders, consensus.ID(fmt.Sprintf("10.0.0.%d", i+1)))
	}
	for i := range 3 {
		m := &member{c: c, ip: string(founders[i]), id: storage.Identity{ID: founders[i], Founders: founders}, rate: w.rate()}
		c.members, c.places[m.ip] = append(c.members, m), m
		m.start()
	}
	for i := range 3 {
		w.db.Add(fmt.Sprintf("h%d", i))
	}
	c.configure(0)
	w.people(routers, clients)
	c.operator = newOperator(c)
	return w
}

// configure is the operator at first: it sends the configuration until it is taken.
func (c *council) configure(turn int) {
	w, taken := c.w, false
	w.After(100*ms, func() {
		m := c.members[turn%3]
		m.do(m.life, func() {
			m.f.HandleCall(http.MethodPost, "/Config.Replace", "0", []byte(plan), func(status int, _ []byte) { taken = taken || status == http.StatusOK })
		})
		w.After(300*ms, func() {
			if !taken {
				c.configure(turn + 1)
			}
		})
	})
}

func (m *member) start() {
	w := m.c.w
	m.life++
	m.up, m.frozen, m.cut, m.deaf, m.mute, m.blind, m.held, m.queue = true, false, false, false, false, false, nil, nil
	m.links, m.order = map[*tie]bool{}, map[string]int64{}
	plate := &settings.Settings{Node: "n" + m.ip, Ip: m.ip, Zone: "z", BeatMs: 1200}
	plate.FaultBudget.Machines = 1
	plate.Listen.Control = m.ip + ":8080"
	for _, o := range m.c.members {
		plate.SeedPeers = append(plate.SeedPeers, o.ip+":8080")
	}
	kept := m.disk
	kept.Entries = slices.Clone(kept.Entries)
	log := hclog.NewNullLogger()
	if *only >= 0 {
		log = hclog.New(&hclog.LoggerOptions{Output: noting{w, m.ip}, DisableTime: true})
	}
	f, err := control.New(plate, log, eventloop.NewSteadyClock(w.clock(m.rate)), m.id, kept, w.Rand.Float64, uint64(m.life))
	if err != nil {
		panic(err)
	}
	life := m.life
	m.f = f
	f.SetEnvironment(control.Environment{
		Send:      func(ip string, frame *rpc.Frame) { m.send(ip, frame) },
		Persist:   func(x []consensus.Write) { m.store(life, x) },
		QueryHost: func(q failover.HostQuery, _ statemachine.Host) { m.ask(life, q) },
		Promote:   func(p failover.Promotion) { m.promote(life, p) },
	})
	m.tick(life)
}

// do runs in the member's process, later if it stands still.
func (m *member) do(life int, what func()) {
	switch {
	case !m.up || m.life != life:
	case m.frozen:
		m.held = append(m.held, what)
	default:
		what()
	}
}

func (m *member) tick(life int) {
	m.do(life, func() {
		next := int64(50 * ms)
		if m.f.Tick() {
			next = 17 * ms
		}
		m.c.w.After(next, func() { m.tick(life) })
	})
}

// send brings a frame to another member; what goes over one connection keeps its order.
func (m *member) send(ip string, f *rpc.Frame) {
	w, to := m.c.w, m.c.places[ip]
	if to == nil || to == m {
		return
	}
	m.order[ip] = max(m.order[ip]+1, w.Now+w.Between(ms/2, 3*ms))
	life, resets, theirs := to.life, m.resets, to.resets
	w.After(m.order[ip]-w.Now, func() {
		if m.cut || m.mute || to.cut || to.deaf || m.resets != resets || to.resets != theirs {
			return
		}
		to.do(life, func() { to.f.HandleFrame(m.ip, f) })
	})
}

func (m *member) store(life int, x []consensus.Write) {
	w := m.c.w
	m.queue = append(m.queue, x...)
	seq := x[len(x)-1].Seq
	took := w.Between(ms/2, 8*ms)
	if w.OneIn(100) {
		took = w.Between(50*ms, 600*ms)
	}
	w.After(took, func() {
		m.do(life, func() {
			for len(m.queue) > 0 && m.queue[0].Seq <= seq {
				m.disk.ApplyWrite(m.queue[0])
				m.queue = m.queue[1:]
			}
			m.f.Persisted(seq)
		})
	})
}

// ask brings a question to a host.
func (m *member) ask(life int, q failover.HostQuery) {
	w := m.c.w
	w.After(w.Between(1*ms, 4*ms), func() {
		r := failover.QueryResult{Query: q}
		back := w.Between(1*ms, 4*ms)
		switch h := w.db.Host(q.Host); {
		case h == nil || !h.Up && !h.Dark && !m.blind:
			r.ConnectionRefused = true
		case !h.Up || h.Dark || m.blind || w.Now < w.frozen[h.ID]:
			r.TimedOut, back = true, 350*ms
			if h.Up && !h.Dark && !m.blind {
				w.runsLate(q, h)
			}
		case m.c.answer != nil && m.c.answer(q, h):
			r.Status = wire.HostStatus{Term: h.Term, Received: h.At(len(h.Log))}
		default:
			r.Status = h.Control(q.Command.Text(), q.Term)
		}
		w.After(back, func() { m.do(life, func() { m.f.QueryFinished(r) }) })
	})
}

// promote calls the platform, which asserts that a fence has one holder.
func (m *member) promote(life int, p failover.Promotion) {
	w, c := m.c.w, m.c
	c.calls++
	w.Note("%s names %s to the platform, fence %d", m.ip, p.Host, p.FencingToken)
	if was := c.holders[p.FencingToken]; was != "" && was != p.Owner {
		w.Violate("a fence of %s is used by %s", was, p.Owner)
	}
	c.holders[p.FencingToken] = p.Owner
	way := w.Between(2*ms, 20*ms)
	if c.takes == nil && w.OneIn(6) {
		way = w.Between(100*ms, 2*s) // it is slow
	}
	o, blind := failover.PromotionSucceeded, m.blind
	answer := func() { m.do(life, func() { m.f.PromotionFinished(p, o) }) }
	if blind {
		o = failover.PromotionNotExecuted
		w.After(600*ms, answer)
		return
	}
	w.After(way, func() {
		host := w.db.Host(p.Host)
		switch {
		case c.fencing && p.FencingToken < c.fences[p.Service], host == nil || !host.Up:
			o = failover.PromotionRejected
		case c.takes == nil && w.OneIn(10):
			o = failover.PromotionNotExecuted
		default:
			c.fences[p.Service] = max(c.fences[p.Service], p.FencingToken)
			took := w.Between(80*ms, 400*ms)
			if c.takes != nil {
				took = c.takes()
			}
			w.After(took, func() { host.Promote() })
			if c.takes == nil && w.OneIn(5) {
				o = failover.PromotionUnknown
			}
		}
		if way > 900*ms {
			return
		}
		w.After(w.Between(2*ms, 8*ms), answer)
	})
	if way > 900*ms { // it waits no longer
		o = failover.PromotionUnknown
		w.After(900*ms, func() { m.do(life, func() { m.f.PromotionFinished(p, failover.PromotionUnknown) }) })
	}
}

// beat is a host's: to members in turn, until one acknowledges it.
func (c *council) beat(h *database.Host) {
	w := c.w
	c.seq++
	b := control.HeartbeatRequest{Service: "db", Address: c.address(h.ID), Zone: "z", Capacity: 5, State: "serving", DbRole: "follower", CallSeq: c.seq}
	if h.Leader {
		b.DbRole = "leader"
	}
	if c.draining[h.ID] {
		b.State = "draining"
	}
	body, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	c.call(h.ID, "/Instances.Heartbeat/"+h.ID, body, w.Rand.IntN(3), 4)
}

func (c *council) call(id, path string, body []byte, turn, tries int) {
	w, taken := c.w, false
	w.After(w.Between(1*ms, 4*ms), func() {
		if h := w.db.Host(id); h == nil || h.Dark {
			return
		}
		m := c.members[turn%3]
		m.do(m.life, func() {
			m.f.HandleCall(http.MethodPost, path, "", body, func(status int, _ []byte) {
				taken = taken || status == http.StatusOK && !w.OneIn(10) // else its answer is lost, and it is sent again
			})
		})
		w.After(w.Between(200*ms, s), func() {
			if !taken && tries > 0 {
				c.call(id, path, body, turn+1, tries-1)
			}
		})
	})
}

// drain has a host leave; a new host at its place takes its log.
func (c *council) drain(h *database.Host) {
	w := c.w
	if h == nil || len(c.draining) > 0 {
		return
	}
	w.Note("%s drains", h.ID)
	old := h.ID
	c.draining[old] = true
	c.beat(h)
	w.After(3*s, func() {
		c.call(old, "/Instances.Leave/"+old, nil, w.Rand.IntN(3), 4)
		w.After(100*ms, func() {
			h.Crash(false, w.Between(200*ms, 900*ms))
			c.renamed++
			delete(c.draining, old)
			h.ID = fmt.Sprintf("%s.%d", old[:2], c.renamed)
			w.Note("%s comes in the place of %s", h.ID, old)
		})
	})
}

// strikes are faults of members beside all other faults.
func (c *council) strikes() {
	if c.w.Now > c.w.Zero+8*s {
		return
	}
	c.strike()
	c.w.After(c.w.Between(200*ms, 1500*ms), c.strikes)
}

// strike is a fault of one member, while all others are well.
func (c *council) strike() {
	w := c.w
	for _, m := range c.members {
		if m.outAt > 0 && w.Now < m.outAt+3*s {
			return
		}
	}
	at := w.Rand.IntN(3)
	if w.OneIn(2) {
		for i, l := range c.members {
			if l.up && l.leads() {
				at = i
			}
		}
	}
	m := c.members[at]
	back := w.Between(50*ms, 3*s)
	m.outAt = w.Now + back
	life := m.life
	heals := func() { m.heal(life) }
	kind := w.Rand.IntN(len(c.struck))
	c.struck[kind]++
	switch kind {
	case 0, 1:
		power := w.OneIn(2)
		w.Note("member %s dies, power %v", m.ip, power)
		m.crash(power)
		w.After(back, m.start)
	case 2:
		if w.OneIn(3) {
			back += w.Between(s, 4*s)
			m.outAt = w.Now + back
		}
		w.Note("member %s stands still for %d ms", m.ip, back/ms)
		m.frozen = true
		w.After(back, func() { m.thaw(life) })
	case 3:
		w.Note("member %s is cut off from the others", m.ip)
		m.cut = true
		w.After(back, heals)
	case 4:
		w.Note("member %s is cut off from hosts and the platform", m.ip)
		m.blind = true
		w.After(back, heals)
	case 5:
		w.Note("member %s hears no other", m.ip)
		m.deaf = true
		w.After(back, heals)
	case 6:
		w.Note("member %s is heard by no other", m.ip)
		m.mute = true
		w.After(back, heals)
	case 7:
		w.Note("connections of member %s are reset, now and then", m.ip)
		c.reset(m, life, w.Now+back)
	case 8:
		w.Note("member %s is to end, and starts anew", m.ip)
		m.end(func() {
			m.outAt = w.Now + back
			w.After(back, m.start)
		})
	case 9:
		w.Note("member %s dies, and its disk is lost", m.ip)
		m.crash(true)
		m.outAt += 2 * s
		w.After(back, m.wiped)
	case 10:
		w.Note("member %s dies for good", m.ip)
		m.crash(true)
		m.outAt += 3 * s
		w.After(back, func() { c.replace(at) })
	case 11:
		next := c.replace(at)
		m.outAt = w.Now + 6*s
		w.After(2*s+back, func() {
			w.Note("member %s is to end, %s stands by", m.ip, next.ip)
			m.end(func() {})
		})
	}
}

// wiped starts a member with an empty disk.
func (m *member) wiped() {
	m.disk = consensus.RestoredState{}
	if !m.c.sameName {
		m.id = m.c.newcomer(m.ip)
	}
	m.start()
}

// newcomer is who a member with an empty disk is.
func (c *council) newcomer(ip string) storage.Identity {
	c.lives++
	return storage.Identity{ID: consensus.ID(fmt.Sprintf("%s+%08x", ip, c.lives))}
}

// replace starts a machine at a new address, and callers and routers are told of it in the place of another.
func (c *council) replace(at int) *member {
	w := c.w
	ip := fmt.Sprintf("10.0.1.%d", c.lives+1)
	m := &member{c: c, ip: ip, id: c.newcomer(ip), rate: w.rate(), outAt: w.Now + 5*s}
	w.Note("member %s comes in the place of %s", ip, c.members[at].ip)
	c.members[at], c.places[ip] = m, m
	m.start()
	return m
}

// end is SIGTERM: the member serves on until it says that it may stop, or for 6 s.
func (m *member) end(then func()) {
	w, life, until := m.c.w, m.life, m.c.w.Now+6*s
	over := false
	m.do(life, func() { m.f.BeginShutdown() })
	var look func()
	look = func() {
		if !m.up || m.life != life || over {
			return
		}
		m.do(life, func() { over = over || m.f.ShutdownComplete() })
		if !over && w.Now < until {
			w.After(50*ms, look)
			return
		}
		over = true
		w.After(100*ms, func() {
			if m.life == life && m.up {
				w.Note("member %s ends", m.ip)
				m.crash(false)
				then()
			}
		})
	}
	w.After(50*ms, look)
}

// reset breaks a member's connections to others and to routers; they connect anew.
func (c *council) reset(m *member, life int, until int64) {
	w := c.w
	if !m.up || m.life != life || w.Now > until {
		return
	}
	m.resets++
	for _, l := range m.served() {
		if w.OneIn(2) {
			l.part()
		}
	}
	w.After(w.Between(5*ms, 400*ms), func() { c.reset(m, life, until) })
}

// served are a member's links, the oldest first.
func (m *member) served() []*tie {
	return slices.SortedFunc(maps.Keys(m.links), func(a, b *tie) int { return cmp.Compare(a.opened, b.opened) })
}

func (m *member) leads() (is bool) {
	if m.frozen {
		return false
	}
	m.f.HandleCall(http.MethodGet, "/Member.Status", "", nil, func(_ int, body []byte) {
		var st control.Status
		if json.Unmarshal(body, &st) == nil {
			is = st.Consensus.HoldsLease
		}
	})
	return is
}

func (m *member) crash(power bool) {
	w := m.c.w
	m.up = false
	if !power {
		for _, x := range m.queue {
			if w.OneIn(2) {
				break
			}
			m.disk.ApplyWrite(x)
		}
	}
	m.queue = nil
	for _, l := range m.served() {
		if !power {
			l.part()
		}
	}
}

func (m *member) heal(life int) {
	if m.life == life {
		m.cut, m.deaf, m.mute, m.blind = false, false, false, false
	}
}

func (m *member) thaw(life int) {
	if !m.up || m.life != life {
		return
	}
	m.frozen = false
	for len(m.held) > 0 && m.up && !m.frozen {
		do := m.held[0]
		m.held = m.held[1:]
		do()
	}
}

// tie is a router's connection to a member.
type tie struct {
	r      *router
	life   int
	m      *member
	mlife  int
	at     *control.ProxyConn
	over   bool
	torn   bool
	leads  bool
	heard  int64
	opened int // by when
	serial uint64
	asked  map[uint64]int64
	there  int64 // order of what goes to the member
	here   int64
}

// seek has a router go from member to member.
func (r *router) seek(life int) {
	w := r.w
	if !r.up || r.life != life {
		return
	}
	r.turn++
	r.open(life, w.council.members[r.turn%3])
}

func (r *router) open(life int, m *member) {
	w := r.w
	w.council.ties++
	l := &tie{r: r, opened: w.council.ties, life: life, m: m, mlife: m.life, asked: map[uint64]int64{}, heard: w.Now}
	r.link = l
	if !m.up || m.frozen || r.cut {
		w.After(200*ms, l.part)
		return
	}
	from := uint64(0)
	r.run(life, func(h *Server) { from = h.resumeIndex() })
	m.links[l] = true
	l.toMember(func() {
		l.at = m.f.AcceptProxy(&rpc.ProxyHello{Node: r.name, Incarnation: uint64(life), Zone: "z", AppliedIndex: from}, r.name, l.send, func() { w.After(2*ms, l.part) })
	})
	l.deaf()
}

func (l *tie) toMember(do func()) {
	w := l.r.w
	l.there = max(l.there+1, w.Now+w.Between(ms/2, 3*ms))
	w.After(l.there-w.Now, func() {
		if l.torn = l.torn || l.r.cut; !l.over && !l.torn { // what was held up holds up all behind it
			l.m.do(l.mlife, do)
		}
	})
}

// send is the member's side.
func (l *tie) send(f *rpc.Frame) bool {
	w, r := l.r.w, l.r
	l.here = max(l.here+1, w.Now+w.Between(ms/2, 3*ms))
	w.After(l.here-w.Now, func() {
		if l.torn = l.torn || r.cut; !l.over && !l.torn {
			r.run(l.life, func(h *Server) { l.take(h, f) })
		}
	})
	return true
}

// take is what link.follow does with a frame.
func (l *tie) take(h *Server, f *rpc.Frame) {
	w, r := l.r.w, l.r
	if l.over {
		return
	}
	l.heard = w.Now
	switch {
	case f.ProxyWelcome != nil && !f.ProxyWelcome.IsLeader:
		l.over = true
		delete(l.m.links, l)
		for _, m := range w.council.members {
			if m.ip == f.ProxyWelcome.Leader {
				w.After(1, func() { r.open(l.life, m) })
				return
			}
		}
		w.After(60*ms, func() { r.seek(l.life) })
	case f.ProxyWelcome != nil:
		l.leads = true
		w.After(1, l.renews)
	case f.LogUpdate != nil:
		if h.applyLogUpdate(f.LogUpdate) != nil {
			l.part()
			return
		}
		h.reportRevocationApplied()
	case f.LeaseResponse != nil && !f.LeaseResponse.Granted:
		w.After(1, l.part)
	case f.LeaseResponse != nil:
		at := l.asked[f.LeaseResponse.Serial]
		delete(l.asked, f.LeaseResponse.Serial)
		h.leaseGranted(f.LeaseResponse, at)
	}
}

// part ends a link, and the router looks for another.
func (l *tie) part() {
	if l.over {
		return
	}
	l.over = true
	delete(l.m.links, l)
	if m, at := l.m, l.at; at != nil {
		l.r.w.After(2*ms, func() { m.do(l.mlife, func() { m.f.ProxyDisconnected(at) }) })
	}
	l.r.w.After(60*ms, func() { l.r.seek(l.life) })
}

func (l *tie) deaf() {
	w := l.r.w
	w.After(20*ms, func() {
		switch {
		case l.over:
		case w.Now > l.heard+controlSilenceTimeout.Milliseconds()*ms && w.Now > l.r.frozen:
			l.part()
		default:
			l.deaf()
		}
	})
}

func (l *tie) renews() {
	if !l.over && l.r.up && l.r.life == l.life {
		l.renew()
		l.r.w.After(300*ms, l.renews)
	}
}

func (l *tie) renew() {
	l.r.run(l.life, func(h *Server) {
		l.serial++
		n := &rpc.LeaseRequest{Serial: l.serial, AppliedIndex: h.state.Index}
		l.asked[l.serial] = h.clock.Now()
		l.toMember(func() { l.m.f.HandleProxyFrame(l.at, &rpc.Frame{LeaseRequest: n}) })
	})
}

// tell is what a router has to say; nil: how far it has applied the log.
func (r *router) tell(f *rpc.Frame) {
	l := r.link
	switch {
	case l == nil || l.over || !l.leads:
	case f == nil:
		r.w.After(0, l.renew)
	default:
		l.toMember(func() { l.m.f.HandleProxyFrame(l.at, f) })
	}
}

// noting has what a member logs among the faults, where one seed is looked at.
type noting struct {
	w  *world
	ip string
}

func (n noting) Write(b []byte) (int, error) {
	n.w.Note("%s: %s", n.ip, strings.TrimSpace(string(b)))
	return len(b), nil
}
