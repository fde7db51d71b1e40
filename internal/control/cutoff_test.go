package control

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"

	"ferrypitch/internal/control/consensus"
	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/control/storage"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/lease"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/scheduler"
)

var cutSeeds = flag.Int("cutseeds", 100, "worlds of members that are cut off")

// A cutWorld is members of the control plane whose clocks run apart, on a network that cuts one way or both, silently,
// with resets or with refusals, and brings some messages many seconds late; operators that send orders, the same again
// where no answer comes, and read; and routers that ask for leases. Faults come with no budget: whatever is lost, at
// most one member holds, no answer, refusal or confirmation is wrong, and no lease outlives its account.
type cutWorld struct {
	*scheduler.Scheduler
	members   []*cutMember
	routers   []*cutRouter
	operators []*cutOperator
	drift     float64
	out       string // a defence taken out
	calm      bool
	still     bool     // operators send nothing more
	held      []func() // messages that come once the cuts are over

	chain    []link // versions that were taken, in order; the first is none
	confirms int
	refused  int
	reads    int
	answers  int // late ones: those of a member that stood still between judging and answering
	leased   int
}

type link struct {
	gen   int64
	sum   [16]byte
	at    int64 // first seen at a member
	known int64 // first told to a caller; 0: not yet
}

type cutMember struct {
	w       *cutWorld
	ip      string
	f       *Server
	up      bool
	frozen  bool
	life    int
	rate    float64
	began   int64
	id      storage.Identity
	disk    consensus.RestoredState
	queue   []consensus.Write
	seen    uint64 // the index that was looked at last
	pending []func()
	cut     map[string]string // to whom nothing gets, and how: silent or late
	ties    map[*cutTie]bool
}

func newCutWorld(seed uint64, size, routers int, drift float64, out string) *cutWorld {
	w := &cutWorld{Scheduler: scheduler.New(seed, 1<<30, 1), drift: drift, out: out, chain: []link{{known: 1}}}
	var founders []consensus.ID
	for i := range size {
		founders = append(founders, consensus.ID(fmt.Sprintf("10.0.0.%d", i+1)))
	}
	for i := range size {
		m := &cutMember{w: w, ip: string(founders[i]), id: storage.Identity{ID: founders[i], Founders: founders}, cut: map[string]string{}}
		w.members = append(w.members, m)
	}
	for _, m := range w.members {
		m.start()
	}
	for i := range routers {
		r := &cutRouter{w: w, name: fmt.Sprintf("r%d", i), rate: w.rate()}
		w.routers = append(w.routers, r)
		r.start()
	}
	for i := range 3 {
		o := &cutOperator{w: w, i: i}
		w.operators = append(w.operators, o)
		w.After(w.Between(300, 900), o.next)
	}
	return w
}

func (w *cutWorld) rate() float64 { return 1 + w.drift*(2*w.Rand.Float64()-1) }

func (m *cutMember) start() {
	w := m.w
	m.life++
	m.up, m.frozen, m.pending, m.queue, m.ties = true, false, nil, nil, map[*cutTie]bool{}
	m.rate, m.began, m.seen = w.rate(), w.Now, 0
	plate := &settings.Settings{Node: "n" + m.ip, Ip: m.ip, Zone: "z", BeatMs: 1200}
	plate.FaultBudget.Machines = len(w.members) / 2
	plate.Listen.Control = m.ip + ":8080"
	for _, o := range w.members[:3] {
		plate.SeedPeers = append(plate.SeedPeers, o.ip+":8080")
	}
	kept := m.disk
	kept.Entries = slices.Clone(kept.Entries)
	f, err := New(plate, hclog.NewNullLogger(), eventloop.NewSteadyClock(m.time), m.id, kept, w.Rand.Float64, uint64(m.life))
	if err != nil {
		panic(err)
	}
	life := m.life
	m.f = f
	f.SetEnvironment(Environment{
		Send:      m.send,
		Persist:   func(x []consensus.Write) { m.store(life, x) },
		QueryHost: func(failover.HostQuery, statemachine.Host) {},
		Promote:   func(failover.Promotion) {},
	})
	m.tick(life)
}

// time is the member's steady clock.
func (m *cutMember) time() time.Time {
	return time.Unix(1e9, 0).Add(time.Duration(float64(m.w.Now-m.began) * m.rate * 1e6))
}

func (m *cutMember) do(life int, what func()) {
	switch {
	case !m.up || m.life != life:
	case m.frozen:
		m.pending = append(m.pending, what)
	default:
		what()
		m.w.check()
	}
}

func (m *cutMember) tick(life int) {
	w := m.w
	after := int64(50 / m.rate)
	if w.OneIn(40) {
		after += w.Between(0, 150) // timers are late
	}
	w.After(after, func() {
		m.do(life, func() {
			m.f.Tick()
			m.tick(life)
		})
	})
}

func (m *cutMember) send(ip string, f *rpc.Frame) {
	w := m.w
	for _, to := range w.members {
		if to.ip == ip && to != m {
			w.deliver(m, to, f)
		}
	}
}

func (w *cutWorld) deliver(m, to *cutMember, f *rpc.Frame) {
	how := m.cut[to.ip]
	took := w.Between(1, 4)
	if !w.calm && w.OneIn(60) {
		took = w.Between(5, 900)
	}
	if !w.calm && w.OneIn(150) {
		took = w.Between(900, 20000) // long after what it answers
	}
	bring := func() {
		if f.Consensus != nil && w.out != "" {
			msg := *f.Consensus
			f = &rpc.Frame{Consensus: &msg}
			switch {
			case w.out == "sent" && msg.Type == consensus.MsgHeartbeatResponse: // counted from the answer
				f.Consensus.SentAtMs = 1 << 60
			case w.out == "lease" && msg.Type == consensus.MsgVoteRequest:
				f.Consensus.LeadershipTransfer = true
			}
		}
		to.do(to.life, func() { to.f.HandleFrame(m.ip, f) })
	}
	switch {
	case how == "late" && !w.OneIn(3):
		w.held = append(w.held, bring)
	case how != "":
	default:
		w.After(took, bring)
	}
}

func (m *cutMember) store(life int, x []consensus.Write) {
	w := m.w
	m.queue = append(m.queue, x...)
	seq := x[len(x)-1].Seq
	took := w.Between(0, 5)
	if !w.calm && w.OneIn(80) {
		took = w.Between(50, 600)
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

func (m *cutMember) crash(power bool) {
	m.up = false
	for _, x := range m.queue {
		if power || m.w.OneIn(2) {
			break
		}
		m.disk.ApplyWrite(x)
	}
	m.queue = nil
	for t := range m.ties {
		t.part()
	}
}

func (m *cutMember) freeze(span int64) {
	w, life := m.w, m.life
	if m.frozen || !m.up {
		return
	}
	m.frozen = true
	w.After(span, func() {
		if !m.up || m.life != life {
			return
		}
		m.frozen = false
		for len(m.pending) > 0 && m.up && !m.frozen {
			do := m.pending[0]
			m.pending = m.pending[1:]
			m.do(life, do)
		}
	})
}

// take brings a call to a member; the answer may be held up by a freeze of the process that has judged already.
func (m *cutMember) take(method, path, base string, body []byte, answer func(int, []byte)) {
	w, life := m.w, m.life
	w.After(w.Between(1, 4), func() {
		m.do(life, func() {
			told := func(status int, b []byte) {
				if !w.calm && w.OneIn(60) {
					w.answers++
					m.freeze(w.Between(20, 3000))
				}
				m.do(life, func() { w.After(w.Between(1, 4), func() { answer(status, b) }) })
			}
			if w.out == "holds" && m.f.leading { // whoever led last judges
				c, id, _ := findEndpoint(method, path)
				c.handle(m.f, id, apiCall{method, path, base, body}, told)
				return
			}
			m.f.HandleCall(method, path, base, body, told)
		})
	})
}

// check looks at all members after each step: the versions taken form one chain, one member at most holds, and no
// router acts on what the one that holds counts as handed back.
func (w *cutWorld) check() {
	holder := (*cutMember)(nil)
	for _, m := range w.members {
		if !m.up {
			continue
		}
		w.follow(m)
		if m.f.consensus.HoldsLease(m.f.clock.Now()) { // one that stands still, too: it may go on at any moment
			if holder != nil {
				w.Violate("%s and %s both hold a view", holder.ip, m.ip)
			}
			holder = m
		}
	}
	if holder == nil || !holder.f.leading {
		return
	}
	f := holder.f
	now, index := f.clock.Now(), f.state.Index
	for _, r := range w.routers {
		if r.applied < index && r.tight() && f.grantor.AllCaughtUp(index, f.state.ProxyNames(), now) {
			w.Violate("%s acts on %d under a lease, %s holds %d for handed back", r.name, r.applied, holder.ip, index)
		}
	}
}

func (w *cutWorld) follow(m *cutMember) {
	if m.seen == m.f.state.Index {
		return
	}
	m.seen = m.f.state.Index
	all := m.f.state.AppliedUpdates
	if len(all) == 0 {
		return
	}
	first := max(1, slices.IndexFunc(w.chain, func(l link) bool { return l.sum == all[0].Digest })) // older ones are forgotten
	for i, t := range all {
		gen := m.f.state.Generation // what the next one builds on
		if i+1 < len(all) {
			gen = all[i+1].BaseVersion
		}
		switch at := first + i; {
		case at >= len(w.chain):
			w.chain = append(w.chain, link{gen: gen, sum: t.Digest, at: w.Now})
		case w.chain[at].gen != gen || w.chain[at].sum != t.Digest:
			w.Violate("%s took %d in place %d, where %d was", m.ip, gen, at, w.chain[at].gen)
		}
	}
}

// newest is the last version that was told to any caller by a moment, as a place in the chain.
func (w *cutWorld) newest(by int64) int {
	for i := len(w.chain) - 1; i > 0; i-- {
		if k := w.chain[i].known; k > 0 && k <= by {
			return i
		}
	}
	return 0
}

func (w *cutWorld) tell(i int) {
	if w.chain[i].known == 0 {
		w.chain[i].known = w.Now
	}
}

// cutOperator sends one order after another, each until it has a clear answer, and reads between.
type cutOperator struct {
	w      *cutWorld
	i      int
	orders int
	base   int64
	after  int // calls that came back
}

func (o *cutOperator) next() {
	if o.w.still {
		return
	}
	o.read(func() {
		o.orders++
		gen := o.base + o.w.Between(1, 3)
		body := fmt.Sprintf(`{"Generation":%d,"Routes":[{"Name":"o%d.%d","Host":"h","PathPrefix":"/","Kind":"leader","DeadlineMs":500,"TargetMs":100,"Priority":1,"Service":"db","MaxTries":1}],"Services":[{"Name":"db","MaxConns":5}]}`, gen, o.i, o.orders)
		o.order(o.base, gen, []byte(body), 0, o.w.Now)
	})
}

// call makes a call to some member; no answer within a second is none.
func (o *cutOperator) call(method, path, base string, body []byte, done func(came int64, status int, b []byte)) {
	w := o.w
	came, over := w.Now, false
	end := func(status int, b []byte) {
		if !over {
			over = true
			done(came, status, b)
		}
	}
	m := w.members[w.Rand.IntN(len(w.members))]
	if m.up {
		m.take(method, path, base, body, func(status int, b []byte) {
			w.judge(path, base, body, came, status, b)
			if w.calm || !w.OneIn(8) { // it may be lost on its way
				end(status, b)
			}
		})
	} else {
		w.After(2, func() { end(0, nil) })
	}
	w.After(1000, func() { end(0, nil) })
}

// judge compares an answer with what was true while its call was under way, whether it reaches the caller or not.
func (w *cutWorld) judge(path, base string, body []byte, came int64, status int, b []byte) {
	of := sumOf(body)
	if path == "/Config.Read" {
		of = sumOf(b)
	}
	switch {
	case status == http.StatusServiceUnavailable:
	case path == "/Config.Read" && status == http.StatusNotFound:
		if w.newest(came) > 0 {
			w.Violate("STALE: a read finds nothing, after %d was told", w.chain[w.newest(came)].gen)
		}
	case path == "/Config.Read":
		w.reads++
		i := slices.IndexFunc(w.chain, func(l link) bool { return l.sum == of })
		if i < 0 || i < w.newest(came) {
			w.Violate("STALE: a read that came at %d gives place %d, %d was told", came-w.Zero, i, w.newest(came))
			return
		}
		w.tell(i)
	case status == http.StatusOK:
		i := slices.IndexFunc(w.chain, func(l link) bool { return l.sum == of })
		if i < 0 {
			w.Violate("LOST: an order is confirmed and was not taken")
			return
		}
		w.confirms++
		w.tell(i)
	case status == http.StatusPreconditionFailed:
		w.refused++
		taken := slices.IndexFunc(w.chain, func(l link) bool { return l.sum == of })
		if taken > 0 && w.chain[taken].at <= came {
			w.Violate("REFUSED: an order that was taken")
		}
		was := slices.IndexFunc(w.chain, func(l link) bool { return fmt.Sprint(l.gen) == base })
		if was < 0 || was == len(w.chain)-1 { // the version that it builds on was in place all the time
			w.Violate("REFUSED: 412 to an order on %s, which is the newest", base)
		}
	default:
		w.Violate("REFUSED: %d to %s: %s", status, path, b)
	}
}

func sumOf(body []byte) (sum [16]byte) {
	h := blake3.New()
	h.Write(body)
	copy(sum[:], h.Sum(nil))
	return sum
}

func (o *cutOperator) read(done func()) {
	o.call(http.MethodGet, "/Config.Read", "", nil, func(_ int64, status int, b []byte) {
		switch status {
		case http.StatusOK:
			var c struct{ Generation int64 }
			if json.Unmarshal(b, &c) == nil {
				o.base = c.Generation
			}
			done()
		case http.StatusNotFound:
			o.base = 0
			done()
		default:
			o.w.After(o.w.Between(20, 200), func() { o.read(done) })
		}
	})
}

func (o *cutOperator) order(base, gen int64, body []byte, turn int, since int64) {
	w := o.w
	o.call(http.MethodPost, "/Config.Replace", fmt.Sprint(base), body, func(_ int64, status int, _ []byte) {
		switch {
		case status == http.StatusOK || status == http.StatusPreconditionFailed || status == http.StatusBadRequest:
			w.After(w.Between(20, 700), o.next)
		default:
			w.After(w.Between(20, 100+50*int64(min(turn, 8))), func() { o.order(base, gen, body, turn+1, since) })
		}
	})
}

// cutRouter follows a member that leads, and asks for leases.
type cutRouter struct {
	w       *cutWorld
	name    string
	rate    float64
	life    uint64
	screw   lease.Holder
	state   *statemachine.State
	applied uint64
	tie     *cutTie
	turn    int
	cut     map[string]bool
}

func (r *cutRouter) start() {
	r.life++
	r.screw, r.state, r.applied, r.cut = lease.Holder{}, &statemachine.State{}, 0, map[string]bool{}
	r.seek(r.life)
}

func (r *cutRouter) now() int64  { return 1<<30 + int64(float64(r.w.Now-r.w.Zero)*r.rate) }
func (r *cutRouter) tight() bool { return r.screw.Valid(r.now()) }

func (r *cutRouter) seek(life uint64) {
	if r.life != life {
		return
	}
	r.turn++
	r.open(r.w.members[r.turn%len(r.w.members)])
}

type cutTie struct {
	r     *cutRouter
	m     *cutMember
	life  uint64
	mlife int
	at    *ProxyConn
	over  bool
	heard int64
	asked map[uint64]int64
	n     uint64
	there int64
	here  int64
}

func (r *cutRouter) open(m *cutMember) {
	w := r.w
	t := &cutTie{r: r, m: m, life: r.life, mlife: m.life, heard: w.Now, asked: map[uint64]int64{}}
	r.tie = t
	if !m.up {
		w.After(30, t.part)
		return
	}
	m.ties[t] = true
	hello := &rpc.ProxyHello{Node: r.name, Incarnation: r.life, Zone: "z", AppliedIndex: r.applied}
	t.toMember(func() { t.at = m.f.AcceptProxy(hello, r.name, t.send, func() { w.After(2, t.part) }) })
	if w.OneIn(10) && !w.calm { // the same once more, by a connection that was held up
		life := m.life
		w.After(w.Between(100, 20000), func() {
			m.do(life, func() { m.f.AcceptProxy(hello, r.name, func(*rpc.Frame) bool { return true }, func() {}) })
		})
	}
	t.deaf()
}

// toMember keeps order; what a cut holds up may come much later, even when the router has gone elsewhere.
func (t *cutTie) toMember(do func()) {
	w := t.r.w
	took := w.Between(1, 3)
	if t.r.cut[t.m.ip] {
		took = w.Between(200, 1500)
	}
	t.there = max(t.there+1, w.Now+took)
	w.After(t.there-w.Now, func() { t.m.do(t.mlife, do) })
}

func (t *cutTie) send(f *rpc.Frame) bool {
	w := t.r.w
	took := w.Between(1, 3)
	if t.r.cut[t.m.ip] {
		took = w.Between(200, 1500)
	}
	t.here = max(t.here+1, w.Now+took)
	w.After(t.here-w.Now, func() {
		if !t.over && t.r.life == t.life {
			t.take(f)
			w.check()
		}
	})
	return true
}

func (t *cutTie) take(f *rpc.Frame) {
	w, r := t.r.w, t.r
	t.heard = w.Now
	switch {
	case f.ProxyWelcome != nil && !f.ProxyWelcome.IsLeader:
		t.over = true
		w.After(30, func() { r.seek(t.life) })
	case f.ProxyWelcome != nil:
		t.renews()
	case f.LogUpdate != nil && f.LogUpdate.Snapshot != nil:
		s, err := statemachine.Restore(f.LogUpdate.Snapshot)
		if err != nil {
			panic(err)
		}
		if f.LogUpdate.LastIndex >= r.applied {
			r.state, r.applied = s, f.LogUpdate.LastIndex
		}
	case f.LogUpdate != nil:
		first := f.LogUpdate.LastIndex - uint64(len(f.LogUpdate.Entries)) + 1
		if first > r.applied+1 {
			t.part()
			return
		}
		for i, b := range f.LogUpdate.Entries {
			if at := first + uint64(i); at > r.applied {
				if c, err := statemachine.DecodeChange(b); err == nil && len(b) > 0 {
					r.state.Apply(at, c)
				}
				r.applied = at
			}
		}
	case f.LeaseResponse != nil && !f.LeaseResponse.Granted:
		t.part()
	case f.LeaseResponse != nil && f.LeaseResponse.CommitIndex <= r.applied:
		asked := t.asked[f.LeaseResponse.Serial]
		r.screw.Renewed(asked)
		w.leased++
	}
	r.ready()
}

// ready asserts that a router under a lease holds all that was told to anybody before it can have asked for it.
func (r *cutRouter) ready() {
	w := r.w
	if !r.tight() {
		return
	}
	if i := w.newest(w.Now - 1800); i > 0 && r.state.Generation < w.chain[i].gen {
		w.Violate("READY: %s is under a lease with %d, %d was told 1.8 s ago", r.name, r.state.Generation, w.chain[i].gen)
	}
}

func (t *cutTie) part() {
	if t.over {
		return
	}
	t.over = true
	delete(t.m.ties, t)
	if at := t.at; at != nil {
		t.toMember(func() { t.m.f.ProxyDisconnected(at) })
	}
	t.r.w.After(30, func() { t.r.seek(t.life) })
}

func (t *cutTie) deaf() {
	w := t.r.w
	w.After(50, func() {
		switch {
		case t.over || t.r.life != t.life:
		case w.Now > t.heard+700:
			t.part()
		default:
			t.r.ready()
			t.deaf()
		}
	})
}

func (t *cutTie) renews() {
	if t.over || t.r.life != t.life {
		return
	}
	t.n++
	n := &rpc.LeaseRequest{Serial: t.n, AppliedIndex: t.r.applied}
	t.asked[t.n] = t.r.now()
	t.toMember(func() { t.m.f.HandleProxyFrame(t.at, &rpc.Frame{LeaseRequest: n}) })
	t.r.w.After(int64(300/t.r.rate), t.renews)
}

// strike is one fault. With "wild" there is no budget.
func (w *cutWorld) strike(wild bool) {
	w.After(w.Between(150, 1500), func() { w.strike(wild) })
	if w.calm {
		return
	}
	out := 0
	for _, m := range w.members {
		if !m.up || m.frozen || len(m.cut) > 0 {
			out++
		}
	}
	if !wild && out >= len(w.members)/2 {
		return
	}
	m := w.members[w.Rand.IntN(len(w.members))]
	if w.OneIn(2) {
		for _, l := range w.members {
			if l.up && l.f.consensus.IsLeader() {
				m = l
			}
		}
	}
	if !m.up {
		return
	}
	switch w.Rand.IntN(10) {
	case 0:
		for _, o := range w.members { // one, or all that this one may have asked
			if o == m || o.up && wild && w.OneIn(3) {
				w.Note("%s ends", o.ip)
				o.crash(w.OneIn(2))
				w.After(w.Between(60, 400), o.start)
			}
		}
	case 1:
		w.Note("%s ends for long", m.ip)
		m.crash(true)
		w.After(w.Between(400, 4000), m.start)
	case 2:
		span := w.Between(50, 4000)
		w.Note("%s stands still for %d", m.ip, span)
		m.freeze(span)
	case 3, 4, 5, 6:
		m.cutOff(w.Between(100, 5000))
	case 7:
		w.Note("%s hands over", m.ip)
		m.do(m.life, func() { m.f.carryOut(m.f.consensus.TransferLeadership(m.f.clock.Now())) })
	case 8, 9:
		r := w.routers[w.Rand.IntN(len(w.routers))]
		if w.OneIn(2) {
			w.Note("%s starts anew", r.name)
			if t := r.tie; t != nil {
				t.over = true
			}
			r.start()
			return
		}
		w.Note("%s and %s are cut off", r.name, m.ip)
		r.cut[m.ip] = true
		w.After(w.Between(100, 4000), func() { delete(r.cut, m.ip) })
	}
}

// cutOff cuts a member off from some or all others, one way or both.
func (m *cutMember) cutOff(span int64) {
	w := m.w
	how, way := []string{"silent", "late"}[w.Rand.IntN(2)], w.Rand.IntN(3)
	w.Note("%s is cut off, %s, way %d, for %d", m.ip, how, way, span)
	only := w.members[w.Rand.IntN(len(w.members))]
	if only == m || w.OneIn(2) {
		only = nil
	}
	for _, o := range w.members {
		if o == m || only != nil && o != only {
			continue
		}
		if way != 1 {
			m.cut[o.ip] = how
		}
		if way != 0 {
			o.cut[m.ip] = how
		}
	}
	w.After(span, func() {
		w.Note("%s is joined", m.ip)
		clear(m.cut)
		for _, o := range w.members {
			delete(o.cut, m.ip)
		}
		held := w.held
		w.held = nil
		for _, bring := range held {
			w.After(w.Between(1, 30), bring)
		}
	})
}

func (w *cutWorld) run(span int64, wild bool) {
	w.After(1500, func() { w.strike(wild) })
	w.RunFor(span)
	w.calm = true
	for _, m := range w.members {
		clear(m.cut)
	}
	w.RunFor(6000)
	before := w.confirms
	w.RunFor(4000)
	if w.confirms < before+3 {
		w.Violate("%d orders are confirmed in 4 s of calm", w.confirms-before)
	}
	for i, l := range w.chain { // what was told is there
		if l.known == 0 || i == 0 {
			continue
		}
		for _, m := range w.members {
			if m.up && m.f.leading && !slices.ContainsFunc(m.f.state.AppliedUpdates, func(t statemachine.AppliedUpdate) bool { return t.Digest == l.sum }) && i > len(w.chain)-100 {
				w.Violate("LOST: %d was told and is gone", l.gen)
			}
		}
	}
}

func (w *cutWorld) report() string {
	return strings.Join(w.Violations, "\n") + "\nafter\n" + strings.Join(w.FaultLog, "\n")
}

func cutWorlds() int {
	if testing.Short() {
		return max(1, *cutSeeds/10)
	}
	return *cutSeeds
}

func TestNoMemberThatIsCutOffAnswers(t *testing.T) {
	t.Parallel()
	confirms, refused, reads, answers, leased := 0, 0, 0, 0, 0
	for seed := range cutWorlds() {
		size := 3
		if seed%5 == 4 {
			size = 5
		}
		w := newCutWorld(uint64(seed), size, 2, 0.05, "")
		span := int64(9000)
		if seed%10 == 7 { // one long cut that heals in the middle of orders
			w.After(2000, func() { w.members[w.Rand.IntN(size)].cutOff(20000) })
			span = 24000
		}
		w.run(span, seed%2 == 0)
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d:\n%s", seed, w.report())
		}
		confirms, refused, reads, answers, leased = confirms+w.confirms, refused+w.refused, reads+w.reads, answers+w.answers, leased+w.leased
	}
	n := cutWorlds()
	t.Logf("%d worlds: %d orders confirmed, %d refused, %d reads, %d late answers, %d leases", n, confirms, refused, reads, answers, leased)
	require.Greater(t, confirms, 10*n)
	require.Greater(t, refused, n/2)
	require.Greater(t, reads, 10*n)
	require.Greater(t, leased, 20*n)
}

// Each defence, taken out, is caught; so is a clock that runs further off than a tenth.
func TestTheCutWorldsCatchEachDefenceTakenOut(t *testing.T) {
	t.Parallel()
	all := []string{"holds", "drift", "sent", "lease"}
	if testing.Short() {
		all = all[:1]
	}
	for _, out := range all {
		caught := ""
		for seed := 0; seed < 1000 && caught == ""; seed++ {
			drift := 0.05
			if out == "drift" {
				drift = 0.3
			}
			w := newCutWorld(uint64(seed), 3, 2, drift, out)
			func() {
				defer func() {
					if p := recover(); p != nil { // an assertion of the log itself
						w.Violate("both hold: %v", p)
					}
				}()
				w.run(9000, true)
			}()
			for _, b := range w.Violations {
				if !strings.Contains(b, "of calm") {
					caught = fmt.Sprintf("seed %d: %s", seed, b)
					break
				}
			}
		}
		require.NotEmpty(t, caught, "%s: the worlds saw nothing", out)
		t.Logf("%s: caught by %s", out, caught)
	}
}
