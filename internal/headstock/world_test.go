package headstock

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/arbor"
	"ferrypitch/internal/belt"
	"ferrypitch/internal/hoist"
	"ferrypitch/internal/lab/stage"
	"ferrypitch/internal/nameplate"
	"ferrypitch/internal/rack"
	"ferrypitch/internal/scribe"
	"ferrypitch/internal/vise"
	"ferrypitch/rules"
)

// A world is whole routers without their sockets, hosts that replicate, one control plane that fails over and grants,
// and clients, on one thread with seeded chance. After each statement the rules of the wire are asserted: no stale
// read, no write twice, none lost, each promise kept, each statement on its own transaction's connection with the
// values that its client was told.
type world struct {
	*stage.Stage
	epoch   time.Time
	hosts   []*db
	routers []*router
	control *control
	clients []*client
	commits []*commit         // acknowledged to clients, by when
	tries   map[string]string // data of a write -> what its client was told
	Served  int
	opens   int
}

const (
	ms = 10 // units
	s  = 10000
)

type commit struct {
	at      int64
	service string
	pos     scribe.Position
	data    string
	session *client
	life    int
}

func newWorld(seed uint64, routers, clients int) *world {
	w := &world{Stage: stage.New(seed, 1<<40, ms), epoch: time.Unix(1e9, 0), tries: map[string]string{}}
	w.control = newControl(w)
	for i := range 3 {
		h := &db{w: w, id: fmt.Sprintf("h%d", i), up: true, term: 1, lag: w.Between(2*ms, 30*ms), leader: i == 0, conns: map[*dbConn]bool{}}
		w.hosts = append(w.hosts, h)
		h.beat()
		h.pull()
	}
	w.control.begin()
	for i := range routers {
		r := &router{w: w, name: fmt.Sprintf("r%d", i)}
		w.routers = append(w.routers, r)
		r.start()
	}
	for i := range clients {
		c := &client{w: w, i: i, kind: []string{"lead", "bound", "own"}[i%3]}
		w.clients = append(w.clients, c)
		w.In(w.Between(600*ms, 900*ms), c.connect)
	}
	return w
}

func (w *world) time() time.Time { return w.epoch.Add(time.Duration(w.Now) * 100 * time.Microsecond) }

// control is the control plane: one member that never fails, and what it says may come late or not at all.
type control struct {
	w     *world
	state *rack.State
	log   [][]byte
	jaw   *vise.Jaw
	hoist *hoist.Hoist
	clear func(uint64) bool

	answer func(hoist.Question, *hoist.Reply) // a defence taken out
}

func (c *control) millis() int64 { return c.w.Now / ms }

func newControl(w *world) *control {
	c := &control{w: w, state: &rack.State{}}
	c.jaw, c.hoist = vise.New(c.millis()-10*vise.Span), hoist.New("anvil", 1200, c.millis())
	c.hoist.Log = func(service, what, host string) { w.Note("%s: %s %s", service, what, host) }
	c.clear = func(i uint64) bool { return c.jaw.Clear(i, c.state.RouterNames(), c.millis()) }
	return c
}

const plan = `{"Generation":1,"Routes":[
{"Name":"a","Host":"lead","PathPrefix":"/","Kind":"leader","DeadlineMs":1000,"TargetMs":150,"Priority":1,"Service":"db","MaxTries":2},
{"Name":"b","Host":"bound","PathPrefix":"/","Kind":"bounded_staleness","DeadlineMs":2000,"TargetMs":300,"Priority":2,"Service":"db","MaxTries":2,"StalenessMs":600},
{"Name":"c","Host":"own","PathPrefix":"/","Kind":"owned","DeadlineMs":1000,"TargetMs":150,"Priority":2,"Service":"db","MaxTries":2,"StalenessMs":900}],
"Services":[{"Name":"db","MaxConns":60,"SyncReplicas":1}],"Limits":{"TxnIdleMs":2000}}`

func (c *control) begin() {
	for _, h := range c.w.hosts {
		c.apply(rack.Change{Enter: &rack.Host{ID: h.id, Service: "db", Address: h.id}})
	}
	c.apply(rack.Change{Configure: &rack.Configure{Body: []byte(plan)}})
	c.tick()
}

// apply orders a change, and tells the routers.
func (c *control) apply(x rack.Change) {
	b := rack.Encode(x)
	c.log = append(c.log, b)
	if err := c.state.Apply(uint64(len(c.log)), x); err != nil {
		panic(err)
	}
	switch {
	case x.Recall != nil:
		c.hoist.Applied("db")
	case x.Named != nil:
		c.w.Note("named in the log: %s", x.Named.Host)
		c.hoist.Applied("db")
	case x.Lead != nil:
		c.hoist.Applied("db")
		c.w.Note("%s leads by the log, term %d", x.Lead.Host, x.Lead.Term)
	}
	for _, r := range c.w.routers {
		r.follow()
	}
}

func (c *control) tick() {
	w := c.w
	w.In(20*ms, c.tick)
	c.tend()
}

func (c *control) tend() {
	w := c.w
	do := c.hoist.Tick(c.state, c.clear, c.millis())
	for _, x := range do.Propose {
		w.In(w.Between(2*ms, 12*ms), func() { c.apply(x) })
	}
	for _, q := range do.Questions {
		c.ask(q)
	}
	for _, p := range do.Promote {
		w.Note("%s is named to the platform", p.Host)
		w.In(w.Between(2*ms, 20*ms), func() {
			o, host := hoist.Done, w.host(p.Host)
			switch {
			case !host.up:
				o = hoist.Rejected
			case w.Odds(10):
				o = hoist.Later
			default:
				w.In(w.Between(80*ms, 400*ms), host.promote)
				if w.Odds(5) {
					o = hoist.Unclear
				}
			}
			w.In(w.Between(2*ms, 8*ms), func() { c.hoist.Called(p.Service, p.Host, o, c.millis()) })
		})
	}
}

func (c *control) ask(q hoist.Question) {
	w, h := c.w, c.w.host(q.Host)
	w.In(w.Between(1*ms, 4*ms), func() {
		r := hoist.Reply{Serial: q.Serial}
		back := w.Between(1*ms, 4*ms)
		switch {
		case !h.up:
			r.Refused = true
		case h.dark || h.frozenTo(w.Now):
			r.Silent, back = true, 350*ms
		default:
			if q.Verb == hoist.Pause && q.Term > h.term && !h.leader {
				h.paused = q.Term
			}
			if q.Verb == hoist.Resume {
				h.paused = 0
			}
			if q.Verb == hoist.StepDown && q.Term > h.term {
				if h.leader {
					h.stepped()
				}
			}
			r.Status = scribe.Status{Leader: h.leader, Term: h.term, Received: h.pos(len(h.log)), Held: h.paused}
			if c.answer != nil {
				c.answer(q, &r)
			}
		}
		w.In(back, func() {
			c.hoist.Replied(r, c.millis())
			c.tend()
		})
	})
}

func (w *world) host(id string) *db {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	panic(id)
}

// db is a database host.
type db struct {
	w        *world
	id       string
	up, dark bool
	deaf     bool
	leader   bool
	slow     int64
	frozen   int64
	term     uint64
	paused   uint64
	log      []entry
	applied  int
	lag      int64
	conns    map[*dbConn]bool
	acks     []ack
}

type entry struct {
	term uint64
	data []string
}

type ack struct {
	n    int
	term uint64
	done func()
}

func (h *db) frozenTo(now int64) bool { return now < h.frozen }

func (h *db) pos(n int) scribe.Position {
	if n == 0 {
		return scribe.Position{Term: 1}
	}
	return scribe.Position{Term: h.log[n-1].term, Number: uint64(n)}
}

// has says whether what was applied holds a position.
func (h *db) has(p scribe.Position) bool {
	n := int(p.Number)
	return n <= h.seen() && (n == 0 || h.log[n-1].term == p.Term)
}

func (h *db) seen() int {
	if h.leader {
		return len(h.log)
	}
	return h.applied
}

func (h *db) beat() {
	w := h.w
	w.In(w.Between(1100*ms, 1300*ms), h.beat)
	h.tell()
}

func (h *db) tell() {
	if w := h.w; h.up && !h.dark {
		leader := h.leader
		w.In(w.Between(1*ms, 4*ms), func() { w.control.hoist.Beat(h.id, leader, w.control.millis()) })
	}
}

// pull has a replica receive from whoever leads the greatest term that it can reach.
func (h *db) pull() {
	w := h.w
	w.In(w.Between(2*ms, 8*ms), h.pull)
	if !h.up || h.leader || h.deaf || h.paused > 0 || h.dark {
		return
	}
	var from *db
	for _, o := range w.hosts {
		if o.up && !o.dark && o.leader && o.term >= h.term && (from == nil || o.term > from.term) {
			from = o
		}
	}
	if from == nil {
		return
	}
	h.term = from.term
	same := 0
	for same < len(h.log) && same < len(from.log) && h.log[same].term == from.log[same].term {
		same++
	}
	h.log = append(h.log[:same:same], from.log[same:]...)
	h.applied = min(h.applied, same)
	n, lag := len(h.log), h.lag
	w.In(lag, func() {
		if h.up && n <= len(h.log) {
			h.applied = max(h.applied, n)
		}
	})
	term := from.term
	w.In(w.Between(1*ms, 3*ms), func() {
		if !from.up || from.term != term {
			return
		}
		left := from.acks[:0]
		for _, a := range from.acks {
			if a.term == term && a.n <= n {
				a.done()
			} else {
				left = append(left, a)
			}
		}
		from.acks = left
	})
}

// promote makes a host the leader of the next term with what it had received.
func (h *db) promote() {
	w := h.w
	if !h.up || h.leader {
		return
	}
	term := h.term
	for _, o := range w.hosts {
		term = max(term, o.term)
	}
	h.term, h.leader, h.paused = term+1, true, 0
	w.Note("%s is promoted to term %d with %d entries", h.id, h.term, len(h.log))
	for _, o := range w.hosts {
		if o == h {
			continue
		}
		o.paused = 0
		if old := o; o.leader { // it goes on for a while
			w.In(w.Between(0, s), func() {
				if old.up && old.leader && old.term < h.term {
					old.stepped()
				}
			})
		}
	}
	h.tell()
}

func (h *db) stepped() {
	h.leader, h.acks, h.applied = false, nil, len(h.log)
	h.tell()
}

func (h *db) crash(dark bool) {
	w := h.w
	if !h.up {
		return
	}
	w.Note("%s crashes, dark %v, leader %v", h.id, dark, h.leader)
	h.up, h.dark, h.acks = false, dark, nil
	for c := range h.conns {
		delete(h.conns, c)
		c.state, c.pending = 'I', nil
		if !dark {
			c.broke()
		}
	}
	w.In(w.Between(500*ms, 4*s), func() {
		h.up, h.dark, h.paused = true, false, 0
		for _, o := range w.hosts {
			if o.leader && o.term > h.term {
				h.leader, h.applied = false, len(h.log)
			}
		}
		w.Note("%s is back, leader %v", h.id, h.leader)
		h.tell()
	})
}

// dbConn is a connection at a host.
type dbConn struct {
	h       *db
	r       *router
	life    int
	k       *hostConn
	in      []byte
	state   byte
	read    bool // its transaction only reads
	owner   *client
	pending []string
	began   int // what it saw
	values  map[string]string
	names   map[string]string
	closed  bool
	order   int64 // answers keep their order
}

// wire of a host's connection, at the router.
func (c *dbConn) write(b []byte) (int, bool) {
	w := c.h.w
	if c.closed {
		return 0, false
	}
	b = slices.Clone(b)
	c.later(w.Between(ms/2, 3*ms), func() { c.feed(b) })
	return len(b), true
}

// later keeps the order of what goes over one connection.
func (c *dbConn) later(after int64, do func()) {
	w := c.h.w
	c.order = max(c.order+1, w.Now+after)
	w.In(c.order-w.Now, do)
}

func (c *dbConn) stop()   {}
func (c *dbConn) finish() {}
func (c *dbConn) close() {
	c.closed = true
	c.h.w.In(c.h.w.Between(1*ms, 3*ms), func() { delete(c.h.conns, c); c.state, c.pending = 'I', nil })
}

// broke has the router see the connection end.
func (c *dbConn) broke() {
	w := c.h.w
	w.In(w.Between(ms/2, 3*ms), func() {
		c.r.run(c.life, func(h *Headstock) { h.broken(c.k) })
	})
}

func (c *dbConn) feed(b []byte) {
	h := c.h
	if !h.up || h.dark || !h.conns[c] {
		return
	}
	if h.frozenTo(h.w.Now) {
		c.later(h.frozen-h.w.Now, func() { c.feed(b) })
		return
	}
	c.in = append(c.in, b...)
	for {
		line, n, err := scribe.Line(c.in, 0)
		if err != nil {
			h.w.Broke("%s is sent what is no line: %v", h.id, err)
		}
		if n == 0 {
			return
		}
		f := strings.SplitN(string(line), " ", 3)
		c.in = c.in[n:]
		if f[0] != "QUERY" || len(f) < 3 {
			h.w.Broke("%s is sent %q", h.id, line)
			return
		}
		c.query(f[1], f[2])
	}
}

func (c *dbConn) answer(after int64, lines string, code scribe.Code) {
	h := c.h
	w := h.w
	var a scribe.Answer
	take := func(line string) {
		if _, err := a.Take([]byte(line), []byte(line+"\r\n")); err != nil {
			panic(err)
		}
	}
	for _, l := range strings.Split(lines, "\n") {
		if l != "" {
			take(l)
		}
	}
	if code != "" {
		take("ERROR " + string(code) + " " + h.id)
	}
	take(fmt.Sprintf("IDLE %c %s", c.state, h.pos(h.seen())))
	if w.Odds(300) { // an answer is lost
		c.closed = true
		delete(h.conns, c)
		c.state, c.pending = 'I', nil
		c.broke()
		return
	}
	c.later(after+w.Between(ms/2, 3*ms), func() {
		if !h.dark && !c.closed {
			c.r.run(c.life, func(r *Headstock) { r.arrived(c.k, &a, w.time()) })
		}
	})
}

// query runs a statement.
func (c *dbConn) query(id, text string) {
	h, w := c.h, c.h.w
	verb, rest, _ := strings.Cut(text, " ")
	var fence *scribe.Position
	if verb == "FENCE" {
		at, then, _ := strings.Cut(rest, " ")
		p, err := scribe.ReadPosition([]byte(at))
		if err != nil {
			panic(err)
		}
		fence, text = &p, then
		verb, rest, _ = strings.Cut(then, " ")
	}
	who := w.owner(id)
	if who != nil && !strings.HasPrefix(id, fmt.Sprintf("c%d.%d.", who.i, who.life)) {
		who = &client{w: w, i: -1, kind: who.kind, values: c.values, names: c.names} // its session is over
		if c.state == 'T' {
			c.owner = who
		}
		if verb == "EXECUTE" {
			name, _, _ := strings.Cut(rest, " ")
			who.asked.name, who.names = "", map[string]string{"": c.names[name]}
		}
	}
	if id != "-" && who == nil {
		w.Broke("UNASKED: %s runs %s %s", h.id, id, text)
		return
	}
	if verb == "EXECUTE" {
		name, then, _ := strings.Cut(rest, " ")
		shape, ok := c.names[name]
		if !ok {
			w.Broke("PINNED: a name that is not prepared: %s", text)
			return
		}
		if want := who.names[who.asked.name]; shape != want {
			w.Broke("PINNED: %s runs %q for %q", h.id, shape, want)
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = then
	}
	if who != nil && verb != "COMMIT" && verb != "ABORT" {
		if !maps.Equal(c.values, who.values) {
			w.Broke("PINNED: values %v for %v", c.values, who.values)
		}
		if c.state == 'T' && c.owner != who {
			w.Broke("PINNED: a statement of %d in a transaction of another", who.i)
		}
	}
	switch verb {
	case "SET":
		k, v, _ := strings.Cut(rest, " ")
		c.values[k] = v
		c.answer(0, "DONE -", "")
	case "RESET":
		if c.state == 'T' {
			w.Broke("RESET inside a transaction")
		}
		c.values, c.names = map[string]string{}, map[string]string{}
		c.answer(0, "DONE -", "")
	case "PREPARE":
		k, v, _ := strings.Cut(rest, " ")
		c.names[k] = v
		c.answer(0, "DONE -", "")
	case "CLOSE":
		delete(c.names, rest)
		c.answer(0, "DONE -", "")
	case "BEGIN":
		switch {
		case fence != nil && !h.has(*fence):
			c.answer(0, "", scribe.Lagging)
		case rest == "" && !h.leader:
			c.answer(0, "", scribe.ReadOnly)
		default:
			c.state, c.read, c.owner, c.pending = 'T', rest == "FETCH", who, nil
			c.answer(0, "DONE -", "")
		}
	case "ABORT":
		c.state, c.pending = 'I', nil
		c.answer(0, "DONE -", "")
	case "COMMIT":
		failed := c.state == 'E'
		writes := c.pending
		c.state, c.pending = 'I', nil
		switch {
		case failed:
			c.answer(0, "", scribe.Aborted)
		case len(writes) == 0:
			c.answer(0, "DONE x."+id, "")
		case !h.leader:
			c.answer(0, "", scribe.ReadOnly)
		default:
			c.commit(id, writes)
		}
	case "FETCH":
		switch {
		case fence != nil && !h.has(*fence):
			c.fail(scribe.Lagging)
		case c.state == 'T' && !c.read && !h.leader:
			c.fail(scribe.ReadOnly)
		default:
			c.h.check(who)
			c.answer(w.Between(1*ms, 8*ms)+h.slow, "ROW "+rest+"\nDONE x."+id, "")
		}
	case "STORE":
		_, data, _ := strings.Cut(rest, " ")
		switch {
		case !h.leader || c.state == 'T' && c.read:
			c.fail(scribe.ReadOnly)
		case c.state == 'T':
			c.pending = append(c.pending, data)
			c.answer(w.Between(1*ms, 5*ms)+h.slow, "DONE x."+id, "")
		case w.Odds(60):
			c.answer(0, "", scribe.Retry)
		default:
			c.commit(id, []string{data})
		}
	default:
		w.Broke("%s runs %q", h.id, text)
	}
}

func (c *dbConn) fail(code scribe.Code) {
	if c.state == 'T' {
		c.state, c.pending = 'E', nil
	}
	c.answer(0, "", code)
}

// commit is answered once a replica has received it.
func (c *dbConn) commit(id string, data []string) {
	h := c.h
	h.log = append(h.log, entry{h.term, data})
	h.acks = append(h.acks, ack{len(h.log), h.term, func() { c.answer(0, "DONE x."+id, "") }})
}

// check asserts that a read misses nothing that it must see.
func (h *db) check(who *client) {
	w := h.w
	if who.first == 0 { // of its transaction, or the statement itself
		return
	}
	for i := len(w.commits) - 1; i >= 0; i-- {
		c := w.commits[i]
		bound := int64(0)
		switch who.kind {
		case "bound":
			bound = 600 * ms
		case "own":
			if bound = 900 * ms; c.session == who && c.life == who.life {
				bound = 0
			}
		}
		if c.at < who.first-2*s {
			return
		}
		if c.at < who.first-bound && !h.has(c.pos) {
			w.Broke("STALE: a read of %d (%s) at %s of %s misses %s, acknowledged %.1f ms before it", who.i, who.kind, h.pos(h.seen()), h.id, c.pos, float64(who.first-c.at)/ms)
			return
		}
	}
}

// router is a whole lathe without its sockets.
type router struct {
	w      *world
	name   string
	life   int
	h      *Headstock
	up     bool
	cut    bool // from the control plane
	frozen int64
	sent   uint64 // news
	order  int64
	dueAt  int64
}

func (r *router) start() {
	w := r.w
	r.life++
	r.up, r.cut, r.frozen, r.sent, r.dueAt = true, false, 0, 0, 0
	r.h = newHeadstock(&nameplate.Plate{Node: r.name, Zone: "z"}, hclog.NewNullLogger(), arbor.NewSteady(w.time), w.Chance.Uint64())
	life := r.life
	r.h.dial = func(n *host, asked rules.Tenth, lead uint64) { r.dial(life, n, asked, lead) }
	r.h.say = func(f *belt.Frame) {
		if f != nil && f.Suspect != nil && !r.cut {
			w.In(w.Between(1*ms, 4*ms), func() {
				w.control.hoist.Suspect(r.name, f.Suspect.Service, f.Suspect.Host, w.control.millis())
				w.control.tend()
			})
		}
		if f == nil {
			r.renew(life)
		}
	}
	if _, known := w.control.state.Routers[r.name]; !known {
		w.control.apply(rack.Change{Router: &rack.Router{Node: r.name}})
	}
	r.follow()
	r.renews(life)
}

// run runs in the router's process, later if it is frozen.
func (r *router) run(life int, do func(h *Headstock)) {
	w := r.w
	if !r.up || r.life != life {
		return
	}
	if w.Now < r.frozen {
		w.In(r.frozen-w.Now, func() { r.run(life, do) })
		return
	}
	r.h.queue.Put(arbor.Outcomes, func() { do(r.h) })
	for r.h.step() {
	}
	if at := max(w.Now+1, int64(r.h.dueAt().Sub(w.epoch)/(100*time.Microsecond))); r.dueAt <= w.Now || at < r.dueAt {
		r.dueAt = at
		w.In(at-w.Now, func() { r.run(life, func(*Headstock) {}) })
	}
}

// follow sends a router the news that it lacks, in order.
func (r *router) follow() {
	w, life := r.w, r.life
	all := w.control.log
	if !r.up || r.cut || r.sent == uint64(len(all)) {
		return
	}
	n := &belt.News{Entries: slices.Clone(all[r.sent:]), Index: uint64(len(all))}
	r.sent = n.Index
	r.order = max(r.order, w.Now+w.Between(1*ms, 4*ms))
	w.In(r.order-w.Now, func() {
		if r.life == life && r.cut {
			r.sent = min(r.sent, n.Index-uint64(len(n.Entries)))
			return
		}
		r.run(life, func(h *Headstock) {
			h.news(n)
			h.nudge()
		})
	})
}

func (r *router) renews(life int) {
	if !r.up || r.life != life {
		return
	}
	r.w.In(300*ms, func() { r.renews(life) })
	r.follow()
	r.renew(life)
}

func (r *router) renew(life int) {
	w := r.w
	if r.cut || w.Now < r.frozen {
		return
	}
	asked, applied := r.h.clock.Now(), r.h.state.Index
	w.In(w.Between(1*ms, 4*ms), func() {
		if r.life != life || !r.up || r.cut {
			return
		}
		c := w.control
		c.jaw.Renew(r.name, uint64(life), applied, c.millis())
		l := &belt.Lease{Granted: true, Index: c.state.Index, Routers: len(w.routers)}
		c.tend()
		r.order = max(r.order, w.Now+w.Between(1*ms, 4*ms))
		w.In(r.order-w.Now, func() { r.run(life, func(h *Headstock) { h.leased(l, asked) }) })
	})
}

func (r *router) dial(life int, n *host, asked rules.Tenth, lead uint64) {
	w, h := r.w, r.w.host(n.ID)
	w.opens++
	k := &hostConn{host: n, opened: asked}
	w.In(w.Between(2*ms, 15*ms), func() {
		if !h.up || h.dark {
			after := int64(2 * ms)
			err := error(refusedError{})
			if h.dark {
				after, err = 1500*ms, fmt.Errorf("timed out")
			}
			w.In(after, func() { r.run(life, func(*Headstock) { n.opened(k, scribe.Answer{}, err, lead) }) })
			return
		}
		c := &dbConn{h: h, r: r, life: life, k: k, state: 'I', values: map[string]string{}, names: map[string]string{}}
		h.conns[c] = true
		k.out = c
		a := scribe.Answer{State: 'I', Position: h.pos(h.seen())}
		w.In(w.Between(1*ms, 3*ms), func() { r.run(life, func(*Headstock) { n.opened(k, a, nil, lead) }) })
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
	for _, h := range w.hosts {
		for c := range h.conns {
			if c.r == r {
				delete(h.conns, c)
				c.closed, c.pending = true, nil
			}
		}
	}
	for _, c := range w.clients {
		if c.router == r {
			c.gone()
		}
	}
	w.In(w.Between(100*ms, 2*s), r.start)
}

// client is one session after another.
type client struct {
	w      *world
	i      int
	kind   string
	life   int
	router *router
	rlife  int
	s      *session
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

func (w *world) owner(id string) *client {
	for _, c := range w.clients {
		if strings.HasPrefix(id, fmt.Sprintf("c%d.", c.i)) {
			return c
		}
	}
	return nil
}

// wire of a client's connection, at the router.
type clientWire struct {
	c    *client
	life int
}

func (x clientWire) write(b []byte) (int, bool) {
	w := x.c.w
	b = slices.Clone(b)
	w.In(3*ms, func() { // each way has the same delay, so the order stays
		if x.c.life == x.life {
			x.c.feed(b)
		}
	})
	return len(b), true
}
func (x clientWire) stop()   { x.c.w.In(1, func() { x.c.left(x.life) }) }
func (x clientWire) finish() { x.c.w.In(3*ms+1, func() { x.c.over(x.life) }) }
func (x clientWire) close()  { x.c.w.In(3*ms+1, func() { x.c.over(x.life) }) }

func (c *client) connect() {
	w := c.w
	c.life++
	c.values, c.names, c.inTx, c.wrote, c.in, c.first = map[string]string{}, map[string]string{}, false, nil, nil, 0
	c.router = w.routers[w.Chance.IntN(len(w.routers))]
	if !c.router.up {
		w.In(w.Between(50*ms, 300*ms), c.connect)
		return
	}
	c.rlife = c.router.life
	life := c.life
	c.s = &session{h: c.router.h, out: clientWire{c, life}}
	c.asked, c.sentAt = asked{verb: "CONNECT"}, w.Now
	sess := c.s
	w.In(3*ms, func() { c.router.run(c.rlife, func(h *Headstock) { h.begin(sess, c.kind) }) })
	c.watch(life, c.asked, 2500*ms)
}

// watch asserts that an answer comes.
func (c *client) watch(life int, what asked, within int64) {
	w := c.w
	r, rlife := c.router, c.rlife
	w.In(within, func() {
		if c.life == life && c.asked == what && r.up && r.life == rlife && r.frozen < w.Now-within {
			w.Broke("%s of %d at %s is not answered", what.verb, c.i, r.name)
		}
	})
}

func (c *client) left(life int) {
	if c.life == life {
		sess := c.s
		c.router.run(c.rlife, func(h *Headstock) { h.left(sess) })
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
	c.w.In(c.w.Between(20*ms, 400*ms), c.connect)
}

func (c *client) feed(b []byte) {
	c.in = append(c.in, b...)
	var a scribe.Answer
	for rest := c.in; ; {
		line, n, err := scribe.Line(rest, 0)
		if err != nil {
			c.w.Broke("%d is sent what is no line", c.i)
		}
		if n == 0 {
			return
		}
		whole, err := a.Take(line, rest[:n])
		if err != nil {
			c.w.Broke("%d is sent %q: %v", c.i, line, err)
		}
		rest = rest[n:]
		if whole || a.Code == scribe.NoDB || c.asked.verb == "CONNECT" && a.Code != "" {
			c.in = slices.Clone(rest)
			c.answered(&a)
			return
		}
	}
}

func (c *client) answered(a *scribe.Answer) {
	w, what := c.w, c.asked
	if what.verb == "" {
		w.Broke("%d is answered without having asked: %+v", c.i, a)
		return
	}
	c.asked = asked{}
	if what.verb == "CONNECT" {
		if a.Code == "" {
			w.In(w.Between(1*ms, 20*ms), c.act(c.life))
		}
		return
	}
	ok := a.Code == ""
	if ok && (what.verb == "FETCH" || what.verb == "STORE" || what.verb == "COMMIT") {
		if !strings.Contains(string(a.Lines), "DONE x."+what.id) {
			w.Broke("MIXED: %d is answered %q for %s", c.i, a.Lines, what.id)
		}
		w.Served++
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
			c.told([]string{what.data}, a)
		}
	case "COMMIT":
		if len(c.wrote) > 0 {
			c.told(c.wrote, a)
		}
	case "ABORT":
		c.promised(c.wrote)
	}
	if a.State != 'T' {
		if a.Code.Promise() && what.verb != "COMMIT" && c.inTx {
			c.promised(c.wrote)
		}
		if c.inTx && a.State == 'E' {
			w.In(w.Between(1*ms, 5*ms), func() { c.send(c.life, asked{verb: "ABORT"}, "ABORT") })
			return
		}
		c.inTx, c.wrote, c.first = false, nil, 0
	}
	w.In(w.Between(1*ms, 60*ms), c.act(c.life))
}

func (c *client) told(data []string, a *scribe.Answer) {
	w := c.w
	for _, d := range data {
		switch {
		case a.Code == "":
			w.tries[d] = "kept"
		case a.Code.Promise():
			w.tries[d] = "promised"
		}
	}
	if a.Code == "" {
		w.commits = append(w.commits, &commit{w.Now, "db", a.Position, data[0], c, c.life})
		w.find(w.commits[len(w.commits)-1])
	}
}

// find sets where a commit stands in the log that acknowledged it.
func (w *world) find(c *commit) {
	for _, h := range w.hosts {
		for i, e := range h.log {
			if slices.Contains(e.data, c.data) {
				c.pos = scribe.Position{Term: e.term, Number: uint64(i + 1)}
				return
			}
		}
	}
	w.Broke("LOST: %s was acknowledged and is in no log", c.data)
}

func (c *client) promised(data []string) {
	for _, d := range data {
		c.w.tries[d] = "promised"
	}
}

// act does what comes next in a session.
func (c *client) act(life int) func() {
	return func() {
		w := c.w
		if c.life != life || c.asked.verb != "" {
			return
		}
		if !c.inTx && w.Odds(25) { // it leaves, and another comes
			c.left(life)
			c.gone()
			return
		}
		if c.inTx && w.Odds(40) { // in the middle of a transaction
			c.left(life)
			c.gone()
			return
		}
		c.id++
		data := fmt.Sprintf("d%d.%d", c.i, c.id)
		thing := fmt.Sprintf("t%d", w.Chance.IntN(9))
		if !c.inTx || c.first == 0 {
			c.first = w.Now
		}
		switch n := w.Chance.IntN(20); {
		case n == 0:
			k := fmt.Sprintf("v%d", w.Chance.IntN(2))
			c.send(life, asked{verb: "SET", name: k, data: data}, "SET "+k+" "+data)
		case n == 1:
			k := fmt.Sprintf("p%d", w.Chance.IntN(2))
			shape := []string{"FETCH q", "STORE z"}[w.Chance.IntN(2)] + fmt.Sprint(w.Chance.IntN(3))
			c.send(life, asked{verb: "PREPARE", name: k, data: shape}, "PREPARE "+k+" "+shape)
		case n < 5 && !c.inTx:
			text := "BEGIN"
			if w.Odds(2) {
				text = "BEGIN FETCH"
			}
			c.send(life, asked{verb: "BEGIN"}, text)
		case n < 9 && c.inTx:
			if w.Odds(4) {
				c.send(life, asked{verb: "ABORT"}, "ABORT")
			} else {
				c.send(life, asked{verb: "COMMIT"}, "COMMIT")
			}
		case n < 12 && c.names["p0"] != "":
			if scribe.Writes(c.names["p0"]) {
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
		w.tries[a.data] = ""
	}
	r, err := scribe.ReadRequest([]byte("QUERY " + a.id + " " + text))
	if err != nil {
		panic(err)
	}
	sess, at := c.s, w.time().Add(3*time.Millisecond)
	w.In(3*ms, func() { c.router.run(c.rlife, func(h *Headstock) { h.message(sess, message{r, nil, at}) }) })
	c.watch(life, a, 4*s)
}

// strike is one fault.
func (w *world) strike() {
	if w.Now > w.Zero+8*s {
		return
	}
	w.In(w.Between(200*ms, 2*s), w.strike)
	down := 0
	for _, h := range w.hosts {
		if !h.up {
			down++
		}
	}
	h := w.hosts[w.Chance.IntN(len(w.hosts))]
	r := w.routers[w.Chance.IntN(len(w.routers))]
	switch w.Chance.IntN(9) {
	case 0, 1:
		for _, l := range w.hosts {
			if l.leader && l.up {
				h = l
			}
		}
		if down == 0 || w.Odds(4) {
			h.crash(w.Odds(2))
		}
	case 2:
		if down == 0 {
			h.crash(w.Odds(2))
		}
	case 3:
		deaf := 0
		for _, o := range w.hosts {
			if o.deaf {
				deaf++
			}
		}
		if deaf == 0 && !h.leader {
			w.Note("%s receives nothing", h.id)
			h.deaf = true
			w.In(w.Between(500*ms, 3*s), func() { h.deaf = false })
		}
	case 4:
		r.kill()
	case 5:
		w.Note("%s freezes", r.name)
		r.frozen = w.Now + w.Between(50*ms, 4*s)
	case 6:
		w.Note("%s is cut off from the control plane", r.name)
		r.cut = true
		w.In(w.Between(200*ms, 4*s), func() { r.cut = false })
	case 7:
		w.Note("%s stands still", h.id)
		h.frozen = w.Now + w.Between(20*ms, 1200*ms)
	case 8:
		if l := w.control.state.Leads["db"]; l.Host != "" && !l.Moving && !w.control.state.Hosts[l.Host].Draining {
			w.Note("%s drains", l.Host)
			drained := w.control.state.Hosts[l.Host]
			drained.Draining = true
			w.control.apply(rack.Change{Enter: &drained})
			w.In(3*s, func() { // it is replaced: the same machine serves again under its name
				w.control.apply(rack.Change{Leave: drained.ID})
				w.control.state.Gone = nil
				drained.Draining = false
				w.control.apply(rack.Change{Enter: &drained})
				for _, r := range w.routers { // they forget who left, too
					r.run(r.life, func(h *Headstock) { h.state.Gone = nil })
				}
			})
		}
	}
}

// over asserts, once all is calm again, what the log of the primary must and must not hold.
func (w *world) over() {
	var lead *db
	for _, h := range w.hosts {
		if h.leader && h.up && (lead == nil || h.term > lead.term) {
			lead = h
		}
	}
	if lead == nil {
		w.Broke("nobody leads in the end: %+v", w.control.state.Leads["db"])
		return
	}
	times := map[string]int{}
	for _, e := range lead.log {
		for _, d := range e.data {
			times[d]++
		}
	}
	for d, told := range w.tries {
		switch n := times[d]; {
		case n > 1:
			w.Broke("TWICE: %s is in the log %d times", d, n)
		case told == "kept" && n == 0:
			w.Broke("LOST: %s was acknowledged", d)
		case told == "promised" && n > 0:
			w.Broke("REFUSED: %s is kept, its client was promised that it is not", d)
		}
	}
}
