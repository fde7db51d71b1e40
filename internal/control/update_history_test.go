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

	"ferrypitch/internal/statemachine"
)

// The model: a sequence of versions, each built on the one before. It knows nothing of logs or members.

type route struct {
	name     string
	deadline int
}

// update is a whole configuration or an amendment, as an operator means it.
type update struct {
	baseVersion, generation int64
	amendment               bool
	routes                  []route // all, or those that an amendment adds
	remove                  string
	malformed               bool // its body is not JSON
}

func (u *update) body() []byte {
	items := make([]string, len(u.routes))
	for i, r := range u.routes {
		items[i] = fmt.Sprintf(`{"Name":%q,"Host":%q,"Kind":"leader","DeadlineMs":%d,"Service":"db"}`, r.name, r.name, r.deadline)
	}
	list := strings.Join(items, ",")
	switch {
	case u.malformed:
		return fmt.Appendf(nil, `{"Generation":%d,"Routes":[%s`, u.generation, list)
	case u.amendment:
		return fmt.Appendf(nil, `{"Generation":%d,"Upsert":{"Routes":[%s]},"Remove":{"Routes":[%q]}}`, u.generation, list, u.remove)
	}
	return fmt.Appendf(nil, `{"Generation":%d,"Routes":[%s],"Services":[{"Name":"db"}]}`, u.generation, list)
}

// key is the same for updates that differ only in their base.
func (u *update) key() string { return string(u.body()) }

// modelVersion is the result of an update of the previous version.
type modelVersion struct {
	previous    *modelVersion
	generation  int64
	routes      []route
	baseVersion int64
	key         string
	digest      uint64
}

func (v *modelVersion) text() string {
	complete := update{generation: v.generation, routes: v.routes}
	return string(complete.body())
}

// applied reports whether an update is among those that led to this version.
func (v *modelVersion) applied(o *update) bool {
	for ; v.previous != nil && v.baseVersion >= o.baseVersion; v = v.previous {
		if v.baseVersion == o.baseVersion {
			return v.key == o.key()
		}
	}
	return false
}

func (v *modelVersion) valid(o *update) bool {
	return !o.malformed && o.generation > v.generation && (!o.amendment || v.previous != nil)
}

func (v *modelVersion) next(o *update) *modelVersion {
	n := &modelVersion{previous: v, generation: o.generation, routes: o.routes, baseVersion: o.baseVersion, key: o.key()}
	if o.amendment {
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
	fmt.Fprint(h, v.digest, n.baseVersion, n.key)
	n.digest = h.Sum64()
	return n
}

type modelResponse struct {
	status int // 0: the outcome is unknown
	body   string
}

var linearizabilityModel = porcupine.Model{
	Init:  func() any { return &modelVersion{} },
	Equal: func(a, b any) bool { return a.(*modelVersion).digest == b.(*modelVersion).digest },
	Hash:  func(a any) uint64 { return a.(*modelVersion).digest },
	Step: func(state, input, output any) (bool, any) {
		v, a := state.(*modelVersion), output.(modelResponse)
		o, isOrder := input.(*update)
		if !isOrder {
			return a.status == http.StatusNotFound && v.previous == nil || a.status == http.StatusOK && v.previous != nil && a.body == v.text(), v
		}
		taken, fits := v.applied(o), v.generation == o.baseVersion
		switch a.status {
		case http.StatusOK, 0: // one without a response is judged only if it was applied in the end
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
		a := output.(modelResponse)
		if o, isOrder := input.(*update); isOrder {
			return fmt.Sprintf("on %d: %s -> %d %s", o.baseVersion, o.body(), a.status, a.body)
		}
		return fmt.Sprintf("read -> %d %s", a.status, a.body)
	},
}

// operatorCall is a call of an operator, repeated until its outcome is known or it is given up.
type operatorCall struct {
	history   *updateHistory
	operator  int
	update    *update // nil: a read
	startedAt int64
	attempts  int
	done      bool
	respond   func(modelResponse)
}

// updateHistory is the history of operators' calls and their responses in a cluster.
type updateHistory struct {
	*cluster
	operations   []porcupine.Operation
	updates      []*update
	knownVersion []int64 // by operator: the newest it knows
	conflicted   []bool  // by operator: the last update was rejected with status 412
	endsAt       int64
	responses    map[int]int // by status
}

func newUpdateHistory(seed uint64) *updateHistory {
	members := 3 + int(seed%4/3)
	h := &updateHistory{cluster: newCluster(seed, members), knownVersion: make([]int64, 4), conflicted: make([]bool, 4), responses: map[int]int{}}
	h.endsAt = h.Now + 20*unitsPerSecond
	for i := range h.knownVersion {
		h.After(h.Between(100*unitsPerMs, unitsPerSecond), func() { h.operate(i) })
	}
	if !h.OneIn(10) {
		h.After(unitsPerSecond, func() { h.injectFault(h.endsAt) })
	}
	return h
}

// operate makes one call after another as an operator.
func (h *updateHistory) operate(i int) {
	if h.Now > h.endsAt {
		return
	}
	again := func(a modelResponse) {
		h.conflicted[i] = a.status == http.StatusPreconditionFailed
		h.After(h.Between(0, 300*unitsPerMs), func() { h.operate(i) })
	}
	u := h.randomUpdate(i)
	if u == nil {
		h.send(i, nil, again)
		return
	}
	h.updates = append(h.updates, u)
	if h.OneIn(8) { // another operator makes it at the same time, at another member
		h.send((i+1)%len(h.knownVersion), u, func(modelResponse) {})
	}
	h.send(i, u, again)
}

// randomUpdate returns the next update of an operator; nil for a read.
func (h *updateHistory) randomUpdate(operator int) *update {
	known := h.knownVersion[operator]
	u := &update{baseVersion: known, generation: known + h.Between(1, 3)}
	for _, name := range []string{"a", "b", "c", "d"} {
		if h.OneIn(2) {
			u.routes = append(u.routes, route{name, int(h.Between(1, 9))})
		}
	}
	switch n := h.Rand.IntN(100); {
	case n < 30 || h.conflicted[operator] && n < 80:
		return nil
	case n < 45 && len(h.updates) > 0:
		return h.repeatedUpdate()
	case n < 50 && len(h.updates) > 0: // the same body on another version
		same := *h.updates[h.Rand.IntN(len(h.updates))]
		same.baseVersion = known
		return &same
	case n < 53:
		u.malformed = true
	case n < 56:
		u.baseVersion = max(0, u.baseVersion-h.Between(1, 3))
	case n < 59:
		u.generation = max(0, u.baseVersion-h.Between(0, 2))
	case n < 79:
		u.amendment, u.remove = true, string(rune('a'+h.Rand.IntN(4)))
		u.routes = slices.DeleteFunc(u.routes, func(r route) bool { return r.name == u.remove })
	}
	return u
}

// repeatedUpdate returns an update that was made before, mostly a recent one.
func (h *updateHistory) repeatedUpdate() *update {
	u := h.updates[max(len(h.updates)-1-h.Rand.IntN(8), 0)]
	if h.OneIn(4) {
		u = h.updates[h.Rand.IntN(len(h.updates))]
	}
	return u
}

func (h *updateHistory) send(operator int, o *update, done func(modelResponse)) {
	c := &operatorCall{history: h, operator: operator, update: o, startedAt: h.Now, respond: done}
	c.attempt()
}

func (c *operatorCall) attempt() {
	h := c.history
	if c.done {
		return
	}
	if c.attempts++; c.attempts > 6 {
		c.finish(modelResponse{})
		return
	}
	m := h.members[h.Rand.IntN(len(h.members))]
	latency, incarnation := h.Between(unitsPerMs/2, 3*unitsPerMs), m.Incarnation()
	if h.OneIn(20) {
		latency = h.Between(3*unitsPerMs, 600*unitsPerMs) // it may be overtaken by others
	}
	method, path, base, body := http.MethodGet, "/Config.Read", "", []byte(nil)
	if c.update != nil {
		method, path, base, body = http.MethodPost, "/Config.Replace", fmt.Sprint(c.update.baseVersion), c.update.body()
		if c.update.amendment {
			path = "/Config.Amend"
		}
	}
	h.After(latency, func() {
		m.Run(incarnation, func() {
			m.server.HandleCall(method, path, base, body, func(status int, body []byte) {
				if h.OneIn(10) {
					return // the response is lost
				}
				h.After(h.Between(unitsPerMs/2, 3*unitsPerMs), func() { c.receive(modelResponse{status, string(body)}) })
			})
		})
	})
	h.After(h.Between(200*unitsPerMs, unitsPerSecond), c.attempt)
}

func (c *operatorCall) receive(a modelResponse) {
	switch {
	case c.done:
	case a.status >= 500 || a.status == http.StatusTooManyRequests:
		c.history.After(c.history.Between(10*unitsPerMs, 200*unitsPerMs), c.attempt)
	default:
		c.finish(a)
	}
}

func (c *operatorCall) finish(a modelResponse) {
	h := c.history
	c.done = true
	h.responses[a.status]++
	op := porcupine.Operation{ClientId: c.operator, Call: c.startedAt, Return: h.Now, Output: a}
	if a.status == 0 {
		op.Return = math.MaxInt64
	}
	var now struct{ Generation int64 }
	switch {
	case c.update != nil:
		op.Input = c.update
		if a.status == http.StatusOK {
			h.knownVersion[c.operator] = max(h.knownVersion[c.operator], c.update.generation)
		}
	case a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &now) == nil:
		h.knownVersion[c.operator] = max(h.knownVersion[c.operator], now.Generation)
	}
	if c.update != nil || a.status != 0 {
		h.operations = append(h.operations, op)
	}
	c.respond(a)
}

// runAndCheck runs the cluster until all faults have ended, and checks the history.
func (h *updateHistory) runAndCheck() {
	h.runGuarded(h.endsAt - h.Now + 8*unitsPerSecond)
	served := 0
	for i := range h.knownVersion {
		h.send(i, nil, func(a modelResponse) {
			if a.status != 0 {
				served++
			}
		})
	}
	h.runGuarded(8 * unitsPerSecond)
	if served < len(h.knownVersion) {
		h.Violate("%d of %d reads got a response after all faults", served, len(h.knownVersion))
	}
	l := h.leader()
	if l == nil {
		h.Violate("no leader after all faults")
		return
	}
	if led := l.server.state.LeaderTimeMs; led > (h.Now-h.StartTime)/unitsPerMs {
		h.Violate("led time is %d ms after %d ms", led, (h.Now-h.StartTime)/unitsPerMs)
	}
	for _, m := range h.members {
		if m.server.state.Index == l.server.state.Index && m.server.state.Checksum() != l.server.state.Checksum() {
			h.Violate("the states of %s and %s differ", m.ip, l.ip)
		}
	}
	// An update without a response that was never applied has no place in the order.
	known := map[statemachine.RequestID]bool{}
	for _, t := range l.server.state.AppliedUpdates {
		known[t.RequestID] = true
	}
	judged := slices.DeleteFunc(slices.Clone(h.operations), func(op porcupine.Operation) bool {
		o, isOrder := op.Input.(*update)
		return isOrder && op.Output.(modelResponse).status == 0 &&
			!known[(&statemachine.ConfigUpdate{BaseVersion: o.baseVersion, IsAmendment: o.amendment, Body: o.body()}).RequestID()]
	})
	switch porcupine.CheckOperationsTimeout(linearizabilityModel, judged, 20*time.Second) {
	case porcupine.Illegal:
		h.Violate("not linearizable:\n%s", describeOperations(judged))
	case porcupine.Unknown:
		h.Violate("no verdict on %d calls in time", len(judged))
	}
}

func describeOperations(ops []porcupine.Operation) string {
	var b strings.Builder
	for _, op := range ops {
		fmt.Fprintf(&b, "%d-%d operator %d %s\n", op.Call/unitsPerMs, op.Return/unitsPerMs, op.ClientId, linearizabilityModel.DescribeOperation(op.Input, op.Output))
	}
	return b.String()
}
