package proxy

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/eventloop"
	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/lease"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
	"ferrypitch/internal/simulation/checker"
	"ferrypitch/internal/simulation/scheduler"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// A world is whole routers without their sockets, hosts that replicate, one control plane that fails over and grants,
// and clients, on one thread with seeded chance. After each statement the rules of the wire are asserted: no stale
// read, no write twice, none lost, each promise kept, each statement on its own transaction's connection with the
// values that its client was told.
type world struct {
	resets int // one write in so many meets a reset of its connection; 0: none
	*scheduler.Scheduler
	epoch   time.Time
	db      *database.Group
	frozen  map[string]int64 // hosts that stand still, until when
	routers []*router
	control *controlPlane // the control plane: this, or
	council *council      // its members as they are
	clients []*client
	judge   *checker.Checker
	Served  int
	apart   int64 // how far clocks are off at most, in thousandths
	opens   int
	wrote   int64 // when a write was last acknowledged
	gap     int64 // the longest time between two
}

const (
	ms = 10 // units
	s  = 10000
)

func newWorld(seed uint64, routers, clients int) *world {
	w := bareWorld(seed)
	w.control = newControlPlane(w)
	for i := range 3 {
		w.db.Add(fmt.Sprintf("h%d", i))
	}
	w.control.begin()
	w.people(routers, clients)
	return w
}

func bareWorld(seed uint64) *world {
	w := &world{Scheduler: scheduler.New(seed, 1<<40, ms), epoch: time.Unix(1e9, 0), frozen: map[string]int64{}}
	w.db = &database.Group{Scheduler: w.Scheduler, Note: w.Note, Read: w.fresh, Losses: 300, Refused: 60, Told: w.told}
	w.judge = &checker.Checker{Bounds: map[string]int64{"bound": 600 * ms, "own": 900 * ms}, Own: map[string]bool{"own": true}, Group: w.db, Violate: w.Violate}
	return w
}

// people brings routers and clients.
func (w *world) people(routers, clients int) {
	for i := range routers {
		r := &router{w: w, name: fmt.Sprintf("r%d", i), rate: w.rate()}
		w.routers = append(w.routers, r)
		r.start()
	}
	for i := range clients {
		c := &client{w: w, i: i, kind: []string{"lead", "bound", "own"}[i%3]}
		w.clients = append(w.clients, c)
		w.After(w.Between(600*ms, 900*ms), c.connect)
	}
}

func (w *world) told(h *database.Host) {
	leader := h.Leader
	if w.council != nil {
		w.council.beat(h)
		return
	}
	w.After(w.Between(1*ms, 4*ms), func() {
		w.control.hoist.Heartbeat(h.ID, leader, w.control.millis())
		if is := w.control.state.Hosts[h.ID]; is.Missing {
			is.Missing = false
			w.control.apply(statemachine.Change{AddHost: &is})
		}
	})
}

// clock is a steady clock that runs off by so many thousandths.
func (w *world) clock(rate int64) func() time.Time {
	return func() time.Time {
		return w.time().Add(time.Duration((w.Now-w.Zero)*rate/1000) * 100 * time.Microsecond)
	}
}

// rate draws how far a clock is off, where clocks run apart.
func (w *world) rate() int64 {
	if w.apart == 0 {
		return 0
	}
	return w.Between(-w.apart, w.apart)
}

func (w *world) time() time.Time { return w.epoch.Add(time.Duration(w.Now) * 100 * time.Microsecond) }

// controlPlane is the control plane: one member that never fails, and what it says may come late or not at all.
type controlPlane struct {
	w     *world
	state *statemachine.State
	log   [][]byte
	jaw   *lease.Grantor
	hoist *failover.Coordinator
	clear func(uint64) bool

	answer func(failover.HostQuery, *failover.QueryResult) // a defence taken out
}

func (c *controlPlane) millis() int64 { return c.w.Now / ms }

func newControlPlane(w *world) *controlPlane {
	c := &controlPlane{w: w, state: &statemachine.State{}}
	c.jaw, c.hoist = lease.NewGrantor(c.millis()-10*lease.GrantMs), failover.New("control", 1, 1200, c.millis())
	c.hoist.OnEvent = func(e failover.Event) { w.Note("%s", e) }
	c.clear = func(i uint64) bool { return c.jaw.AllCaughtUp(i, c.state.ProxyNames(), c.millis()) }
	return c
}

const plan = `{"Generation":1,"Routes":[
{"Name":"a","Host":"lead","PathPrefix":"/","Kind":"leader","DeadlineMs":1000,"TargetMs":150,"Priority":1,"Service":"db","MaxTries":2},
{"Name":"b","Host":"bound","PathPrefix":"/","Kind":"bounded_staleness","DeadlineMs":2000,"TargetMs":300,"Priority":2,"Service":"db","MaxTries":2,"StalenessMs":600},
{"Name":"c","Host":"own","PathPrefix":"/","Kind":"owned","DeadlineMs":1000,"TargetMs":150,"Priority":2,"Service":"db","MaxTries":2,"StalenessMs":900}],
"Services":[{"Name":"db","MaxConns":60,"SyncReplicas":1}],"Limits":{"TxnIdleMs":2000}}`

func (c *controlPlane) begin() {
	for _, h := range c.w.db.Hosts {
		c.apply(statemachine.Change{AddHost: &statemachine.Host{ID: h.ID, Service: "db", Address: h.ID}})
	}
	c.apply(statemachine.Change{UpdateConfig: &statemachine.ConfigUpdate{Body: []byte(plan)}})
	c.tick()
}

// apply orders a change, and tells the routers.
func (c *controlPlane) apply(x statemachine.Change) {
	b := statemachine.EncodeChange(x)
	c.log = append(c.log, b)
	if err := c.state.Apply(uint64(len(c.log)), x); err != nil {
		panic(err)
	}
	switch {
	case x.RevokePrimary != nil:
		c.hoist.ChangeApplied("db")
	case x.MarkMissing != "", x.ReplicationResumed != "":
		c.hoist.ChangeApplied("db")
	case x.NominatePrimary != nil:
		c.w.Note("named in the log: %s", x.NominatePrimary.Host)
		c.hoist.ChangeApplied("db")
	case x.AppointPrimary != nil:
		c.hoist.ChangeApplied("db")
		c.w.Note("%s leads by the log, term %d", x.AppointPrimary.Host, x.AppointPrimary.Term)
	}
	for _, r := range c.w.routers {
		r.follow()
	}
}

func (c *controlPlane) tick() {
	w := c.w
	w.After(20*ms, c.tick)
	c.tend()
}

func (c *controlPlane) tend() {
	w := c.w
	do := c.hoist.Tick(c.state, c.clear, c.millis())
	for _, x := range do.Proposals {
		w.After(w.Between(2*ms, 12*ms), func() { c.apply(x) })
	}
	for _, q := range do.Queries {
		c.ask(q)
	}
	for _, p := range do.Promotions {
		w.Note("%s is named to the platform", p.Host)
		w.After(w.Between(2*ms, 20*ms), func() {
			o, host := failover.PromotionSucceeded, w.db.Host(p.Host)
			switch {
			case !host.Up:
				o = failover.PromotionRejected
			case w.OneIn(10):
				o = failover.PromotionNotExecuted
			default:
				w.After(w.Between(80*ms, 400*ms), func() { host.Promote() })
				if w.OneIn(5) {
					o = failover.PromotionUnknown
				}
			}
			w.After(w.Between(2*ms, 8*ms), func() { c.hoist.PromotionFinished(p, o, c.millis()) })
		})
	}
}

func (c *controlPlane) ask(q failover.HostQuery) {
	w, h := c.w, c.w.db.Host(q.Host)
	w.After(w.Between(1*ms, 4*ms), func() {
		r := failover.QueryResult{Query: q}
		back := w.Between(1*ms, 4*ms)
		switch {
		case !h.Up && !h.Dark:
			r.ConnectionRefused = true
		case !h.Up || h.Dark || w.Now < w.frozen[h.ID]:
			r.TimedOut, back = true, 350*ms
			if h.Up && !h.Dark {
				w.runsLate(q, h)
			}
		default:
			r.Status = h.Control(q.Command.Text(), q.Term)
			if c.answer != nil {
				c.answer(q, &r)
			}
		}
		w.After(back, func() {
			c.hoist.QueryFinished(r, c.millis())
			c.tend()
		})
	})
}

// runsLate has a host that stands still do what it was told once it goes on, in no order.
func (w *world) runsLate(q failover.HostQuery, h *database.Host) {
	crashes := h.Crashes
	w.After(w.frozen[h.ID]-w.Now+int64(q.Serial*97%300)*ms, func() {
		if h.Up && h.Crashes == crashes {
			h.Control(q.Command.Text(), q.Term)
		}
	})
}

// dbConn is a router's connection to a host.
type dbConn struct {
	*database.Conn
	r      *router
	life   int
	k      *hostConn
	in     []byte
	closed bool
	mute   bool  // what it says comes no more
	order  int64 // what goes over one connection keeps its order
}

// wire of a host's connection, at the router.
func (c *dbConn) write(b []byte) (int, bool) {
	if c.closed {
		return 0, false
	}
	b = slices.Clone(b)
	w := c.r.w
	if w.resets > 0 && w.OneIn(w.resets) {
		return c.reset(b)
	}
	c.later(w.Between(ms/2, 3*ms), func() { c.feed(b) })
	return len(b), true
}

func (c *dbConn) later(after int64, do func()) {
	w := c.r.w
	c.order = max(c.order+1, w.Now+after)
	w.After(c.order-w.Now, do)
}

func (c *dbConn) stop()   {}
func (c *dbConn) finish() {}
func (c *dbConn) close() {
	c.closed = true
	c.r.w.After(c.r.w.Between(1*ms, 3*ms), c.Close)
}

// broke has the router see the connection end.
func (c *dbConn) broke() {
	w := c.r.w
	w.After(w.Between(ms/2, 3*ms), func() {
		c.r.run(c.life, func(h *Server) { h.broken(c.k) })
	})
}

// answered brings an answer to the router.
func (c *dbConn) answered(after int64, a wire.Response) {
	w := c.r.w
	c.later(after+w.Between(ms/2, 3*ms), func() {
		if !c.H.Dark && !c.closed && !c.mute {
			c.r.run(c.life, func(r *Server) { r.arrived(c.k, &a, r.clock.Time()) })
		}
	})
}

func (c *dbConn) feed(b []byte) {
	h, w := c.H, c.r.w
	if !h.Up || h.Dark || !h.Conns[c.Conn] {
		return
	}
	if until := w.frozen[h.ID]; w.Now < until {
		c.later(until-w.Now, func() { c.feed(b) })
		return
	}
	c.in = append(c.in, b...)
	for {
		line, n, err := wire.CutLine(c.in, 0)
		if err != nil {
			w.Violate("%s is sent what is no line: %v", h.ID, err)
		}
		if n == 0 {
			return
		}
		f := strings.SplitN(string(line), " ", 3)
		c.in = c.in[n:]
		if f[0] != "QUERY" || len(f) < 3 {
			w.Violate("%s is sent %q", h.ID, line)
			return
		}
		c.check(f[1], f[2])
		c.Query(f[1], f[2])
	}
}

// check asserts that a statement is its client's, on the connection of its transaction, with its values and names.
func (c *dbConn) check(id, text string) {
	w := c.r.w
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "FENCE" {
		_, rest, _ = strings.Cut(rest, " ")
		verb, rest, _ = strings.Cut(rest, " ")
	}
	if id == "-" {
		if verb == "RESET" && c.State == 'T' {
			w.Violate("RESET inside a transaction")
		}
		return
	}
	who, now := w.owner(id)
	switch {
	case who == nil:
		w.Violate("UNASKED: %s runs %s %s", c.H.ID, id, text)
	case !now: // its session is over
	case verb == "EXECUTE":
		name, _, _ := strings.Cut(rest, " ")
		if shape, want := c.Names[name], who.names[who.asked.name]; shape != want {
			w.Violate("PINNED: %s runs %q for %q", c.H.ID, shape, want)
		}
		fallthrough
	case verb != "COMMIT" && verb != "ABORT":
		if !c.Same(who.values) {
			w.Violate("PINNED: values %v for %v", c.Values, who.values)
		}
		if owner, _ := w.owner(c.Began); c.State == 'T' && owner != who {
			w.Violate("PINNED: a statement of %d in a transaction of another", who.i)
		}
	}
}

// fresh asserts that a read misses nothing that it must see.
func (w *world) fresh(h *database.Host, _ *database.Conn, id string) {
	if who, now := w.owner(id); who != nil && now && who.first > 0 {
		w.judge.CheckRead(h, checker.Reader{Kind: who.kind, Session: who.session(), First: who.first})
	}
}

func (c *client) session() string { return fmt.Sprintf("%d.%d", c.i, c.life) }

// router is a whole proxy without its sockets.
type router struct {
	w      *world
	name   string
	life   int
	h      *Server
	up     bool
	cut    bool // from the control plane
	rate   int64
	frozen int64
	sent   uint64 // news
	link   *tie   // to a member of the council
	turn   int
	order  int64
	dueAt  int64
}

func (r *router) start() {
	w := r.w
	r.life++
	r.up, r.cut, r.frozen, r.sent, r.dueAt = true, false, 0, 0, 0
	r.h = newHeadstock(&settings.Settings{Node: r.name, Zone: "z"}, hclog.NewNullLogger(), eventloop.NewSteadyClock(w.clock(r.rate)), w.Rand.Uint64())
	life := r.life
	if w.council != nil {
		defer r.seek(life)
	}
	r.h.dial = func(n *host, asked policy.Tenth, lead uint64) { r.dial(life, n, asked, lead) }
	r.h.say = func(f *rpc.Frame) {
		if w.council != nil {
			r.tell(f)
			return
		}
		if f != nil && f.SuspectReport != nil && !r.cut {
			w.After(w.Between(1*ms, 4*ms), func() {
				w.control.hoist.SuspectPrimary(r.name, f.SuspectReport.Service, f.SuspectReport.Host, w.control.millis())
				w.control.tend()
			})
		}
		if f == nil {
			r.renew(life)
		}
	}
	if w.council != nil {
		return
	}
	if _, known := w.control.state.Proxies[r.name]; !known {
		w.control.apply(statemachine.Change{Proxy: &statemachine.ProxyMembership{Node: r.name}})
	}
	r.follow()
	r.renews(life)
}

// run runs in the router's process, later if it is frozen.
func (r *router) run(life int, do func(h *Server)) {
	w := r.w
	if !r.up || r.life != life {
		return
	}
	if w.Now < r.frozen {
		w.After(r.frozen-w.Now, func() { r.run(life, do) })
		return
	}
	r.h.queue.Put(eventloop.PriorityOutcomes, func() { do(r.h) })
	for r.h.step() {
	}
	after := int64(r.h.dueAt().Sub(r.h.clock.Time())/(100*time.Microsecond)) * 1000 / (1000 + r.rate)
	if at := w.Now + max(1, after); r.dueAt <= w.Now || at < r.dueAt {
		r.dueAt = at
		w.After(at-w.Now, func() { r.run(life, func(*Server) {}) })
	}
}

// follow sends a router the news that it lacks, in order.
func (r *router) follow() {
	w, life := r.w, r.life
	all := w.control.log
	if !r.up || r.cut || r.sent == uint64(len(all)) {
		return
	}
	n := &rpc.LogUpdate{Entries: slices.Clone(all[r.sent:]), LastIndex: uint64(len(all))}
	r.sent = n.LastIndex
	r.order = max(r.order, w.Now+w.Between(1*ms, 4*ms))
	w.After(r.order-w.Now, func() {
		if r.life == life && r.cut {
			r.sent = min(r.sent, n.LastIndex-uint64(len(n.Entries)))
			return
		}
		r.run(life, func(h *Server) {
			h.news(n)
			h.nudge()
		})
	})
}

func (r *router) renews(life int) {
	if !r.up || r.life != life {
		return
	}
	r.w.After(300*ms, func() { r.renews(life) })
	r.follow()
	r.renew(life)
}

func (r *router) renew(life int) {
	w := r.w
	if r.cut || w.Now < r.frozen {
		return
	}
	asked, applied := r.h.clock.Now(), r.h.state.Index
	w.After(w.Between(1*ms, 4*ms), func() {
		if r.life != life || !r.up || r.cut {
			return
		}
		c := w.control
		if !c.jaw.Grant(r.name, uint64(life), applied, c.state.LatestRevocation(), c.millis()) {
			c.tend()
			return
		}
		l := &rpc.LeaseResponse{Granted: true, CommitIndex: c.state.Index, ProxyCount: len(w.routers)}
		c.tend()
		r.order = max(r.order, w.Now+w.Between(1*ms, 4*ms))
		w.After(r.order-w.Now, func() { r.run(life, func(h *Server) { h.leased(l, asked) }) })
	})
}

func (r *router) dial(life int, n *host, asked policy.Tenth, lead uint64) {
	w, id := r.w, n.ID
	w.opens++
	k := &hostConn{host: n, opened: asked}
	w.After(w.Between(2*ms, 15*ms), func() {
		h := w.db.Host(id)
		if h == nil { // another uses its address
			r.run(life, func(*Server) { n.opened(k, wire.Response{Code: wire.CodeWrongNode}, nil, lead) })
			return
		}
		if !h.Up || h.Dark {
			after := int64(2 * ms)
			err := error(refusedError{})
			if h.Dark {
				after, err = 1500*ms, fmt.Errorf("timed out")
			}
			w.After(after, func() { r.run(life, func(*Server) { n.opened(k, wire.Response{}, err, lead) }) })
			return
		}
		c := &dbConn{Conn: h.Connect(), r: r, life: life, k: k}
		c.Answer, c.Broke = c.answered, c.broke
		k.out = c
		a := wire.Response{State: 'I', Position: h.At(h.Seen())}
		w.After(w.Between(1*ms, 3*ms), func() { r.run(life, func(*Server) { n.opened(k, a, nil, lead) }) })
	})
}

type refusedError struct{}

func (refusedError) Error() string { return "connection refused" }

func (r *router) kill() {
	w := r.w
	if !r.up {
		return
	}
	w.Note("%s is killed", r.name)
	r.up = false
	if r.link != nil {
		r.link.part()
	}
	for _, id := range slices.Sorted(maps.Keys(r.h.hosts)) {
		for _, k := range r.h.hosts[id].conns() {
			k.out.close()
		}
	}
	for _, c := range w.clients {
		if c.router == r {
			c.gone()
		}
	}
	w.After(w.Between(100*ms, 2*s), r.start)
}

// client is one session after another.
type client struct {
	w      *world
	i      int
	kind   string
	life   int
	router *router
	rlife  int
	s      *clientSession
	in     []byte
	values map[string]string
	names  map[string]string
	id     int
	asked  asked
	first  int64 // when its statement, or its transaction, began
	inTx   bool
	wrote  []string // in this transaction
	lost   bool     // no answer is awaited any more
	sentAt int64
	steps  int
}

type asked struct {
	id, verb, name, data string
}

// owner is whose statement an id names, and whether the session that sent it is there.
func (w *world) owner(id string) (c *client, now bool) {
	who, rest, _ := strings.Cut(strings.TrimPrefix(id, "c"), ".")
	i, err := strconv.Atoi(who)
	if err != nil || i >= len(w.clients) {
		return nil, false
	}
	life, _, _ := strings.Cut(rest, ".")
	return w.clients[i], life == strconv.Itoa(w.clients[i].life)
}

// wire of a client's connection, at the router.
type clientWire struct {
	c    *client
	life int
}

func (x clientWire) write(b []byte) (int, bool) {
	w := x.c.w
	b = slices.Clone(b)
	w.After(3*ms, func() { // each way has the same delay, so the order stays
		if x.c.life == x.life {
			x.c.feed(b)
		}
	})
	return len(b), true
}
func (x clientWire) stop()   { x.c.w.After(1, func() { x.c.left(x.life) }) }
func (x clientWire) finish() { x.c.w.After(3*ms+1, func() { x.c.over(x.life) }) }
func (x clientWire) close()  { x.c.w.After(3*ms+1, func() { x.c.over(x.life) }) }

func (c *client) connect() {
	w := c.w
	c.life++
	c.values, c.names, c.inTx, c.wrote, c.in, c.first = map[string]string{}, map[string]string{}, false, nil, nil, 0
	c.router = w.routers[w.Rand.IntN(len(w.routers))]
	if !c.router.up {
		w.After(w.Between(50*ms, 300*ms), c.connect)
		return
	}
	c.rlife = c.router.life
	life := c.life
	c.s = &clientSession{h: c.router.h, out: clientWire{c, life}}
	c.asked, c.sentAt = asked{verb: "CONNECT"}, w.Now
	sess, router, rlife := c.s, c.router, c.rlife
	w.After(3*ms, func() { router.run(rlife, func(h *Server) { h.begin(sess, c.kind) }) })
	c.watch(life, c.asked, 2500*ms)
}

// watch asserts that an answer comes.
func (c *client) watch(life int, what asked, within int64) {
	w := c.w
	r, rlife := c.router, c.rlife
	w.After(within, func() {
		if c.life == life && c.asked == what && r.up && r.life == rlife && r.frozen < w.Now-within {
			w.Violate("%s of %d at %s is not answered", what.verb, c.i, r.name)
		}
	})
}

func (c *client) left(life int) {
	if c.life == life {
		sess := c.s
		c.router.run(c.rlife, func(h *Server) { h.left(sess) })
	}
}

// over is the router's end of the connection.
func (c *client) over(life int) {
	if c.life == life {
		c.gone()
	}
}

// gone begins anew; what was asked got no answer, which promises nothing.
func (c *client) gone() {
	c.life++
	c.asked = asked{}
	life := c.life
	c.w.After(c.w.Between(20*ms, 400*ms), func() {
		if c.life == life { // it may be gone twice before it comes again
			c.connect()
		}
	})
}

func (c *client) feed(b []byte) {
	c.in = append(c.in, b...)
	var a wire.Response
	for rest := c.in; ; {
		line, n, err := wire.CutLine(rest, 0)
		if err != nil {
			c.w.Violate("%d is sent what is no line", c.i)
		}
		if n == 0 {
			return
		}
		whole, err := a.AddLine(line, rest[:n])
		if err != nil {
			c.w.Violate("%d is sent %q: %v", c.i, line, err)
		}
		rest = rest[n:]
		if whole || a.Code == wire.CodeNoDB || c.asked.verb == "CONNECT" && a.Code != "" {
			c.in = slices.Clone(rest)
			c.answered(&a)
			return
		}
	}
}

func (c *client) answered(a *wire.Response) {
	w, what := c.w, c.asked
	if what.verb == "" {
		w.Violate("%d is answered without having asked: %+v", c.i, a)
		return
	}
	c.asked = asked{}
	if what.verb == "CONNECT" {
		if a.Code == "" {
			w.After(w.Between(1*ms, 20*ms), c.act(c.life))
		}
		return
	}
	ok := a.Code == ""
	if ok && (what.verb == "FETCH" || what.verb == "STORE" || what.verb == "COMMIT") {
		if !strings.Contains(string(a.Lines), "DONE x."+what.id) {
			w.Violate("MIXED: %d is answered %q for %s", c.i, a.Lines, what.id)
		}
		w.Served++
		if what.verb == "STORE" && !c.inTx {
			if w.wrote > 0 {
				w.gap = max(w.gap, w.Now-w.wrote)
			}
			w.wrote = w.Now
		}
	}
	switch what.verb {
	case "SET":
		if ok {
			c.values[what.name] = what.data
		}
	case "PREPARE":
		if ok {
			c.names[what.name] = what.data
		}
	case "BEGIN":
		c.inTx = ok
	case "STORE":
		switch {
		case c.inTx && ok:
			c.wrote = append(c.wrote, what.data)
		case !c.inTx:
			w.judge.ReportAnswer(c.session(), []string{what.data}, a.Code, w.Now)
		}
	case "COMMIT":
		if len(c.wrote) > 0 {
			w.judge.ReportAnswer(c.session(), c.wrote, a.Code, w.Now)
		}
	case "ABORT":
		w.judge.ReportNothingKept(c.wrote)
	}
	if a.State != 'T' {
		if a.Code.NothingKept() && what.verb != "COMMIT" && c.inTx {
			w.judge.ReportNothingKept(c.wrote)
		}
		if c.inTx && a.State == 'E' {
			w.After(w.Between(1*ms, 5*ms), func() { c.send(c.life, asked{verb: "ABORT"}, "ABORT") })
			return
		}
		c.inTx, c.wrote, c.first = false, nil, 0
	}
	w.After(w.Between(1*ms, 60*ms), c.act(c.life))
}

// act does what comes next in a session.
func (c *client) act(life int) func() {
	return func() {
		w := c.w
		if c.life != life || c.asked.verb != "" {
			return
		}
		if !c.inTx && w.OneIn(25) { // it leaves, and another comes
			c.left(life)
			c.gone()
			return
		}
		if c.inTx && w.OneIn(40) { // in the middle of a transaction
			c.left(life)
			c.gone()
			return
		}
		c.id++
		data := fmt.Sprintf("d%d.%d", c.i, c.id)
		thing := fmt.Sprintf("t%d", w.Rand.IntN(9))
		if !c.inTx || c.first == 0 {
			c.first = w.Now
		}
		switch n := w.Rand.IntN(20); {
		case n == 0:
			k := fmt.Sprintf("v%d", w.Rand.IntN(2))
			c.send(life, asked{verb: "SET", name: k, data: data}, "SET "+k+" "+data)
		case n == 1:
			k := fmt.Sprintf("p%d", w.Rand.IntN(2))
			shape := []string{"FETCH q", "STORE z"}[w.Rand.IntN(2)] + fmt.Sprint(w.Rand.IntN(3))
			c.send(life, asked{verb: "PREPARE", name: k, data: shape}, "PREPARE "+k+" "+shape)
		case n < 5 && !c.inTx:
			text := "BEGIN"
			if w.OneIn(2) {
				text = "BEGIN FETCH"
			}
			c.send(life, asked{verb: "BEGIN"}, text)
		case n < 9 && c.inTx:
			if w.OneIn(4) {
				c.send(life, asked{verb: "ABORT"}, "ABORT")
			} else {
				c.send(life, asked{verb: "COMMIT"}, "COMMIT")
			}
		case n < 12 && c.names["p0"] != "":
			if wire.ShapeWrites(c.names["p0"]) {
				c.send(life, asked{verb: "STORE", name: "p0", data: data}, "EXECUTE p0 "+thing+" "+data)
			} else {
				c.send(life, asked{verb: "FETCH", name: "p0"}, "EXECUTE p0 "+thing)
			}
		case n < 15:
			c.send(life, asked{verb: "STORE", data: data}, "STORE "+thing+" "+data)
		default:
			c.send(life, asked{verb: "FETCH"}, "FETCH "+thing)
		}
	}
}

func (c *client) send(life int, a asked, text string) {
	w := c.w
	if c.life != life {
		return
	}
	c.id++
	a.id = fmt.Sprintf("c%d.%d.%d", c.i, c.life, c.id)
	c.asked = a
	if a.verb == "STORE" {
		w.judge.ReportAttempt(a.data)
	}
	r, err := wire.ParseRequest([]byte("QUERY " + a.id + " " + text))
	if err != nil {
		panic(err)
	}
	sess, router, rlife := c.s, c.router, c.rlife
	w.After(3*ms, func() {
		at := w.clock(router.rate)()
		router.run(rlife, func(h *Server) { h.message(sess, message{r, nil, at}) })
	})
	c.watch(life, a, 4*s)
}

// drain has the primary leave, and come back under its name.
func (w *world) drain() {
	if w.council != nil {
		h := w.db.Lead()
		if w.OneIn(3) {
			h = w.db.Hosts[w.Rand.IntN(3)]
		}
		w.council.drain(h)
		return
	}
	if l := w.control.state.Primaries["db"]; l.Host != "" && !l.Revoked && !w.control.state.Hosts[l.Host].Draining {
		w.Note("%s drains", l.Host)
		drained := w.control.state.Hosts[l.Host]
		drained.Draining = true
		w.control.apply(statemachine.Change{AddHost: &drained})
		w.After(3*s, func() { // it is replaced: the same machine serves again under its name
			w.control.apply(statemachine.Change{RemoveHost: drained.ID})
			w.control.state.RemovedHosts = nil
			drained.Draining = false
			w.control.apply(statemachine.Change{AddHost: &drained})
			for _, r := range w.routers { // they forget who left, too
				r.run(r.life, func(h *Server) { h.state.RemovedHosts = nil })
			}
		})
	}
}

// strike is one fault.
func (w *world) strike() {
	if w.Now > w.Zero+8*s {
		return
	}
	w.After(w.Between(200*ms, 2*s), w.strike)
	down, deaf := 0, 0
	for _, h := range w.db.Hosts {
		if !h.Up {
			down++
		}
		if h.Deaf {
			deaf++
		}
	}
	h := w.db.Hosts[w.Rand.IntN(len(w.db.Hosts))]
	r := w.routers[w.Rand.IntN(len(w.routers))]
	kinds := 9
	if w.council != nil {
		kinds = 10
	}
	switch w.Rand.IntN(kinds) {
	case 0, 1:
		if l := w.db.Lead(); l != nil && (down == 0 || w.OneIn(4)) {
			l.Crash(w.OneIn(2), w.Between(500*ms, 4*s))
		}
	case 2:
		if down == 0 {
			back, dark := w.Between(500*ms, 4*s), w.OneIn(2)
			if !dark && !h.Leader && w.OneIn(2) {
				back = 6 * s // long enough to count as gone
			}
			h.Crash(dark, back)
		}
	case 3:
		if deaf == 0 && !h.Leader {
			w.Note("%s receives nothing", h.ID)
			h.Deaf = true
			w.After(w.Between(500*ms, 3*s), func() { h.Deaf = false })
		}
	case 4:
		r.kill()
	case 5:
		w.Note("%s freezes", r.name)
		r.frozen = w.Now + w.Between(50*ms, 4*s)
	case 6:
		w.Note("%s is cut off from the control plane", r.name)
		r.cut = true
		w.After(w.Between(200*ms, 4*s), func() { r.cut = false })
	case 7:
		w.Note("%s stands still", h.ID)
		w.frozen[h.ID] = w.Now + w.Between(20*ms, 1200*ms)
	case 8:
		w.drain()
	case 9:
		if r.link != nil {
			w.Note("the link of %s is reset", r.name)
			r.link.part()
		}
	}
}
