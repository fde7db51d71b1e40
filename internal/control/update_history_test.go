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

// The model is a sequence of versions, each based on the previous one. It is independent of logs and members.

type route struct {
	name     string
	deadline int
}

// update is a complete configuration or an amendment that an operator requests.
type update struct {
	baseVersion, generation int64
	amendment               bool
	routes                  []route // all routes, or those that an amendment adds
	remove                  string  // name of the route that an amendment removes
	malformed               bool    // whether the body is invalid JSON
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

// key returns a key that is the same for updates that differ only in their base version.
func (u *update) key() string { return string(u.body()) }

// modelVersion is the version that results from an update of the previous version.
type modelVersion struct {
	previous    *modelVersion
	generation  int64
	routes      []route
	baseVersion int64
	key         string
	digest      uint64
}

func (v *modelVersion) configBody() string {
	complete := update{generation: v.generation, routes: v.routes}
	return string(complete.body())
}

// applied reports whether an update is among those that led to this version.
func (v *modelVersion) applied(u *update) bool {
	for ; v.previous != nil && v.baseVersion >= u.baseVersion; v = v.previous {
		if v.baseVersion == u.baseVersion {
			return v.key == u.key()
		}
	}
	return false
}

func (v *modelVersion) valid(u *update) bool {
	return !u.malformed && u.generation > v.generation && (!u.amendment || v.previous != nil)
}

func (v *modelVersion) next(u *update) *modelVersion {
	result := &modelVersion{previous: v, generation: u.generation, routes: u.routes, baseVersion: u.baseVersion, key: u.key()}
	if u.amendment {
		result.routes = slices.DeleteFunc(slices.Clone(v.routes), func(r route) bool { return r.name == u.remove })
		for _, r := range u.routes {
			if i := slices.IndexFunc(result.routes, func(x route) bool { return x.name == r.name }); i >= 0 {
				result.routes[i] = r
			} else {
				result.routes = append(result.routes, r)
			}
		}
	}
	h := fnv.New64a()
	fmt.Fprint(h, v.digest, result.baseVersion, result.key)
	result.digest = h.Sum64()
	return result
}

type modelResponse struct {
	status int // 0 if the outcome is unknown
	body   string
}

var linearizabilityModel = porcupine.Model{
	Init:  func() any { return &modelVersion{} },
	Equal: func(a, b any) bool { return a.(*modelVersion).digest == b.(*modelVersion).digest },
	Hash:  func(a any) uint64 { return a.(*modelVersion).digest },
	Step: func(state, input, output any) (bool, any) {
		v, a := state.(*modelVersion), output.(modelResponse)
		u, isUpdate := input.(*update)
		if !isUpdate {
			return a.status == http.StatusNotFound && v.previous == nil ||
				a.status == http.StatusOK && v.previous != nil && a.body == v.configBody(), v
		}
		alreadyApplied, baseMatches := v.applied(u), v.generation == u.baseVersion
		switch a.status {
		case http.StatusOK, 0: // updates without a response are included only if they were eventually applied
			if !alreadyApplied && baseMatches && v.valid(u) {
				return true, v.next(u)
			}
			return alreadyApplied, v
		case http.StatusPreconditionFailed:
			return !alreadyApplied && !baseMatches, v
		case http.StatusBadRequest:
			return !alreadyApplied && !v.valid(u), v
		}
		return false, v
	},
	DescribeOperation: func(input, output any) string {
		a := output.(modelResponse)
		if u, isUpdate := input.(*update); isUpdate {
			return fmt.Sprintf("on %d: %s -> %d %s", u.baseVersion, u.body(), a.status, a.body)
		}
		return fmt.Sprintf("read -> %d %s", a.status, a.body)
	},
}

// operatorCall is a call of an operator. It is retried until its outcome is known, at most 6 times in total.
type operatorCall struct {
	history   *updateHistory
	operator  int
	update    *update // nil for a read
	startedAt int64
	attempts  int
	done      bool
	respond   func(modelResponse)
}

// updateHistory records the operators' calls to a cluster and the responses.
type updateHistory struct {
	*cluster
	operations   []porcupine.Operation
	updates      []*update
	knownVersion []int64 // newest version known to each operator
	conflicted   []bool  // whether the last update of each operator was rejected with status 412
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

// operate makes calls in sequence as an operator.
func (h *updateHistory) operate(operator int) {
	if h.Now > h.endsAt {
		return
	}
	continueOperating := func(response modelResponse) {
		h.conflicted[operator] = response.status == http.StatusPreconditionFailed
		h.After(h.Between(0, 300*unitsPerMs), func() { h.operate(operator) })
	}
	u := h.randomUpdate(operator)
	if u == nil {
		h.send(operator, nil, continueOperating)
		return
	}
	h.updates = append(h.updates, u)
	if h.OneIn(8) { // another operator makes the same update concurrently
		h.send((operator+1)%len(h.knownVersion), u, func(modelResponse) {})
	}
	h.send(operator, u, continueOperating)
}

// randomUpdate returns the next update of an operator, or nil for a read.
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
	case n < 50 && len(h.updates) > 0: // the same body on another base version
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

// repeatedUpdate returns an earlier update, usually a recent one.
func (h *updateHistory) repeatedUpdate() *update {
	u := h.updates[max(len(h.updates)-1-h.Rand.IntN(8), 0)]
	if h.OneIn(4) {
		u = h.updates[h.Rand.IntN(len(h.updates))]
	}
	return u
}

func (h *updateHistory) send(operator int, u *update, done func(modelResponse)) {
	c := &operatorCall{history: h, operator: operator, update: u, startedAt: h.Now, respond: done}
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
		latency = h.Between(3*unitsPerMs, 600*unitsPerMs) // later calls may arrive first
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

func (c *operatorCall) receive(response modelResponse) {
	switch {
	case c.done:
	case response.status >= 500 || response.status == http.StatusTooManyRequests:
		c.history.After(c.history.Between(10*unitsPerMs, 200*unitsPerMs), c.attempt)
	default:
		c.finish(response)
	}
}

func (c *operatorCall) finish(response modelResponse) {
	h := c.history
	c.done = true
	h.responses[response.status]++
	op := porcupine.Operation{ClientId: c.operator, Call: c.startedAt, Return: h.Now, Output: response}
	if response.status == 0 {
		op.Return = math.MaxInt64
	}
	var current struct{ Generation int64 }
	switch {
	case c.update != nil:
		op.Input = c.update
		if response.status == http.StatusOK {
			h.knownVersion[c.operator] = max(h.knownVersion[c.operator], c.update.generation)
		}
	case response.status == http.StatusOK && json.Unmarshal([]byte(response.body), &current) == nil:
		h.knownVersion[c.operator] = max(h.knownVersion[c.operator], current.Generation)
	}
	if c.update != nil || response.status != 0 {
		h.operations = append(h.operations, op)
	}
	c.respond(response)
}

// runAndCheck runs the cluster until all faults have ended and checks the history.
func (h *updateHistory) runAndCheck() {
	h.runGuarded(h.endsAt - h.Now + 8*unitsPerSecond)
	served := 0
	for i := range h.knownVersion {
		h.send(i, nil, func(response modelResponse) {
			if response.status != 0 {
				served++
			}
		})
	}
	h.runGuarded(8 * unitsPerSecond)
	if served < len(h.knownVersion) {
		h.RecordViolation("%d of %d reads got a response after all faults", served, len(h.knownVersion))
	}
	currentLeader := h.leader()
	if currentLeader == nil {
		h.RecordViolation("no leader after all faults")
		return
	}
	if leaderTimeMs := currentLeader.server.state.LeaderTimeMs; leaderTimeMs > (h.Now-h.StartTime)/unitsPerMs {
		h.RecordViolation("leader time is %d ms after %d ms", leaderTimeMs, (h.Now-h.StartTime)/unitsPerMs)
	}
	for _, m := range h.members {
		if m.server.state.Index == currentLeader.server.state.Index && m.server.state.Checksum() != currentLeader.server.state.Checksum() {
			h.RecordViolation("the states of %s and %s differ", m.ip, currentLeader.ip)
		}
	}
	// Updates without a response that were never applied are excluded from the check.
	applied := map[statemachine.RequestID]bool{}
	for _, appliedUpdate := range currentLeader.server.state.AppliedUpdates {
		applied[appliedUpdate.RequestID] = true
	}
	checked := slices.DeleteFunc(slices.Clone(h.operations), func(op porcupine.Operation) bool {
		u, isUpdate := op.Input.(*update)
		return isUpdate && op.Output.(modelResponse).status == 0 &&
			!applied[(&statemachine.ConfigUpdate{BaseVersion: u.baseVersion, IsAmendment: u.amendment, Body: u.body()}).RequestID()]
	})
	switch porcupine.CheckOperationsTimeout(linearizabilityModel, checked, 20*time.Second) {
	case porcupine.Illegal:
		h.RecordViolation("not linearizable:\n%s", describeOperations(checked))
	case porcupine.Unknown:
		h.RecordViolation("linearizability check of %d calls timed out", len(checked))
	}
}

func describeOperations(ops []porcupine.Operation) string {
	var b strings.Builder
	for _, op := range ops {
		fmt.Fprintf(&b, "%d-%d operator %d %s\n", op.Call/unitsPerMs, op.Return/unitsPerMs, op.ClientId, linearizabilityModel.DescribeOperation(op.Input, op.Output))
	}
	return b.String()
}
