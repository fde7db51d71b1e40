package control

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"ferrypitch/internal/control/statemachine"
)

// The small model: one version after another, each built on the one before. It knows nothing of logs or members.

type route struct {
	name     string
	deadline int
}

// An order is a whole configuration or an amendment, as an operator means it.
type order struct {
	base, gen int64
	amend     bool
	routes    []route // all of them, or those to put in
	remove    string
	broken    bool // its body can't be read
}

func (o *order) body() []byte {
	items := make([]string, len(o.routes))
	for i, r := range o.routes {
		items[i] = fmt.Sprintf(`{"Name":%q,"Host":%q,"Kind":"leader","DeadlineMs":%d,"Service":"db"}`, r.name, r.name, r.deadline)
	}
	list := strings.Join(items, ",")
	switch {
	case o.broken:
		return fmt.Appendf(nil, `{"Generation":%d,"Routes":[%s`, o.gen, list)
	case o.amend:
		return fmt.Appendf(nil, `{"Generation":%d,"Upsert":{"Routes":[%s]},"Remove":{"Routes":[%q]}}`, o.gen, list, o.remove)
	}
	return fmt.Appendf(nil, `{"Generation":%d,"Routes":[%s],"Services":[{"Name":"db"}]}`, o.gen, list)
}

// key is the same for orders that are the same but for their base.
func (o *order) key() string { return string(o.body()) }

// A version is what one order made of the one before.
type version struct {
	prev   *version
	gen    int64
	routes []route
	base   int64
	key    string
	sum    uint64
}

func (v *version) text() string {
	whole := order{gen: v.gen, routes: v.routes}
	return string(whole.body())
}

// taken says whether an order is among those that led here.
func (v *version) taken(o *order) bool {
	for ; v.prev != nil && v.base >= o.base; v = v.prev {
		if v.base == o.base {
			return v.key == o.key()
		}
	}
	return false
}

func (v *version) valid(o *order) bool {
	return !o.broken && o.gen > v.gen && (!o.amend || v.prev != nil)
}

func (v *version) next(o *order) *version {
	n := &version{prev: v, gen: o.gen, routes: o.routes, base: o.base, key: o.key()}
	if o.amend {
		n.routes = slices.DeleteFunc(slices.Clone(v.routes), func(r route) bool { return r.name == o.remove })
		for _, r := range o.routes {
			if i := slices.IndexFunc(n.routes, func(x route) bool { return x.name == r.name }); i >= 0 {
				n.routes[i] = r
			} else {
				n.routes = append(n.routes, r)
			}
		}
	}
	h := fnv.New64a()
	fmt.Fprint(h, v.sum, n.base, n.key)
	n.sum = h.Sum64()
	return n
}

type answer struct {
	status int // 0: none that is clear
	body   string
}

var model = porcupine.Model{
	Init:  func() any { return &version{} },
	Equal: func(a, b any) bool { return a.(*version).sum == b.(*version).sum },
	Hash:  func(a any) uint64 { return a.(*version).sum },
	Step: func(state, input, output any) (bool, any) {
		v, a := state.(*version), output.(answer)
		o, isOrder := input.(*order)
		if !isOrder {
			return a.status == http.StatusNotFound && v.prev == nil || a.status == http.StatusOK && v.prev != nil && a.body == v.text(), v
		}
		taken, fits := v.taken(o), v.gen == o.base
		switch a.status {
		case http.StatusOK, 0: // one without an answer is judged only where it was taken in the end
			if !taken && fits && v.valid(o) {
				return true, v.next(o)
			}
			return taken, v
		case http.StatusPreconditionFailed:
			return !taken && !fits, v
		case http.StatusBadRequest:
			return !taken && !v.valid(o), v
		}
		return false, v
	},
	DescribeOperation: func(input, output any) string {
		a := output.(answer)
		if o, isOrder := input.(*order); isOrder {
			return fmt.Sprintf("on %d: %s -> %d %s", o.base, o.body(), a.status, a.body)
		}
		return fmt.Sprintf("read -> %d %s", a.status, a.body)
	},
}

// A call is one of an operator, sent until it has a clear answer or is given up.
type sent struct {
	w        *history
	operator int
	order    *order // nil: a read
	at       int64
	tries    int
	over     bool
	done     func(answer)
}

// A history is what operators asked in a world, and what they were told.
type history struct {
	*world
	ops    []porcupine.Operation
	orders []*order
	known  []int64 // by operator: the newest version that it has heard of
	stale  []bool  // by operator: its last order built on another version
	until  int64
	clear  map[int]int // answers, by status
}

func newHistory(seed uint64) *history {
	members := 3 + int(seed%4/3)
	h := &history{world: newWorld(seed, members), known: make([]int64, 4), stale: make([]bool, 4), clear: map[int]int{}}
	h.until = h.Now + 20*second
	for i := range h.known {
		h.After(h.Between(100*milli, second), func() { h.act(i) })
	}
	if !h.OneIn(10) {
		h.After(second, func() { h.strike(h.until) })
	}
	return h
}

// act has an operator make a call, and another after its answer.
func (h *history) act(i int) {
	if h.Now > h.until {
		return
	}
	again := func(a answer) {
		h.stale[i] = a.status == http.StatusPreconditionFailed
		h.After(h.Between(0, 300*milli), func() { h.act(i) })
	}
	o := &order{base: h.known[i], gen: h.known[i] + h.Between(1, 3)}
	for _, r := range []string{"a", "b", "c", "d"} {
		if h.OneIn(2) {
			o.routes = append(o.routes, route{r, int(h.Between(1, 9))})
		}
	}
	switch n := h.Rand.IntN(100); {
	case n < 30 || h.stale[i] && n < 80:
		h.send(i, nil, again)
		return
	case n < 45 && len(h.orders) > 0: // one of before, as it was; mostly of late
		o = h.orders[max(len(h.orders)-1-h.Rand.IntN(8), 0)]
		if h.OneIn(4) {
			o = h.orders[h.Rand.IntN(len(h.orders))]
		}
	case n < 50 && len(h.orders) > 0: // the same body on another version
		same := *h.orders[h.Rand.IntN(len(h.orders))]
		same.base, o = h.known[i], &same
	case n < 53:
		o.broken = true
	case n < 56:
		o.base = max(0, o.base-h.Between(1, 3))
	case n < 59:
		o.gen = max(0, o.base-h.Between(0, 2))
	case n < 79:
		o.amend, o.remove = true, string(rune('a'+h.Rand.IntN(4)))
		o.routes = slices.DeleteFunc(o.routes, func(r route) bool { return r.name == o.remove })
	}
	h.orders = append(h.orders, o)
	if h.OneIn(8) { // raced by another operator at another member
		h.send((i+1)%len(h.known), o, func(answer) {})
	}
	h.send(i, o, again)
}

func (h *history) send(operator int, o *order, done func(answer)) {
	c := &sent{w: h, operator: operator, order: o, at: h.Now, done: done}
	c.try()
}

func (c *sent) try() {
	h := c.w
	if c.over {
		return
	}
	if c.tries++; c.tries > 6 {
		c.end(answer{})
		return
	}
	m := h.members[h.Rand.IntN(len(h.members))]
	there, life := h.Between(milli/2, 3*milli), m.life
	if h.OneIn(20) {
		there = h.Between(3*milli, 600*milli) // it may come after others of its kind
	}
	method, path, base, body := http.MethodGet, "/Config.Read", "", []byte(nil)
	if c.order != nil {
		method, path, base, body = http.MethodPost, "/Config.Replace", fmt.Sprint(c.order.base), c.order.body()
		if c.order.amend {
			path = "/Config.Amend"
		}
	}
	h.After(there, func() {
		m.do(life, func() {
			m.f.HandleCall(method, path, base, body, func(status int, body []byte) {
				if h.OneIn(10) {
					return // it is lost on its way
				}
				h.After(h.Between(milli/2, 3*milli), func() { c.told(answer{status, string(body)}) })
			})
		})
	})
	h.After(h.Between(200*milli, second), c.try)
}

func (c *sent) told(a answer) {
	switch {
	case c.over:
	case a.status >= 500 || a.status == http.StatusTooManyRequests:
		c.w.After(c.w.Between(10*milli, 200*milli), c.try)
	default:
		c.end(a)
	}
}

func (c *sent) end(a answer) {
	h := c.w
	c.over = true
	h.clear[a.status]++
	op := porcupine.Operation{ClientId: c.operator, Call: c.at, Return: h.Now, Output: a}
	if a.status == 0 {
		op.Return = math.MaxInt64
	}
	var now struct{ Generation int64 }
	switch {
	case c.order != nil:
		op.Input = c.order
		if a.status == http.StatusOK {
			h.known[c.operator] = max(h.known[c.operator], c.order.gen)
		}
	case a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &now) == nil:
		h.known[c.operator] = max(h.known[c.operator], now.Generation)
	}
	if c.order != nil || a.status != 0 {
		h.ops = append(h.ops, op)
	}
	c.done(a)
}

// judge plays a world to its end, in which all is well again, and has its history judged.
func (h *history) judge() {
	h.play(h.until - h.Now + 8*second)
	served := 0
	for i := range h.known {
		h.send(i, nil, func(a answer) {
			if a.status != 0 {
				served++
			}
		})
	}
	h.play(8 * second)
	if served < len(h.known) {
		h.Violate("%d of %d reads were answered once all was well", served, len(h.known))
	}
	l := h.leader()
	if l == nil {
		h.Violate("nobody leads once all is well")
		return
	}
	if led := l.f.state.LedTimeMs; led > (h.Now-h.Zero)/milli {
		h.Violate("led time runs ahead: %d ms of %d", led, (h.Now-h.Zero)/milli)
	}
	for _, m := range h.members {
		if m.f.state.Index == l.f.state.Index && m.f.state.Checksum() != l.f.state.Checksum() {
			h.Violate("%s holds other than %s", m.ip, l.ip)
		}
	}
	// What has no answer and was never taken need not be placed: it may never have had an effect.
	known := map[statemachine.RequestID]bool{}
	for _, t := range l.f.state.AppliedUpdates {
		known[t.RequestID] = true
	}
	judged := slices.DeleteFunc(slices.Clone(h.ops), func(op porcupine.Operation) bool {
		o, isOrder := op.Input.(*order)
		return isOrder && op.Output.(answer).status == 0 &&
			!known[(&statemachine.ConfigUpdate{BaseVersion: o.base, IsAmendment: o.amend, Body: o.body()}).RequestID()]
	})
	switch porcupine.CheckOperationsTimeout(model, judged, 20*time.Second) {
	case porcupine.Illegal:
		h.Violate("no order of these calls explains their answers:\n%s", told(judged))
	case porcupine.Unknown:
		h.Violate("no verdict on %d calls", len(judged))
	}
}

func told(ops []porcupine.Operation) string {
	var b strings.Builder
	for _, op := range ops {
		fmt.Fprintf(&b, "%d-%d operator %d %s\n", op.Call/milli, op.Return/milli, op.ClientId, model.DescribeOperation(op.Input, op.Output))
	}
	return b.String()
}
