package failover

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// Times used by the harness, in milliseconds.
const (
	testStartMs             = 1 << 20
	testTickMs              = 10
	testDelayMs             = 10 // delay of answers, outcomes and applied proposals
	testHeartbeatIntervalMs = 1200
)

// harness runs a coordinator with a simulated clock, platform and log, and one service with the hosts h0 (the primary), h1 and
// h2. Nothing is random: each test injects its faults.
type harness struct {
	t                *testing.T
	coordinator      *Coordinator
	state            *statemachine.State
	now              int64
	index            uint64
	hosts            map[string]*fakeHost
	events           []timedEvent
	promotions       []Promotion
	promotionOutcome func(n int) PromotionOutcome // outcome of the nth promotion, counted from 0
	revocations      int
	observedEvents   []Event
	lateBy           func(query HostQuery) int64 // if not 0, the query times out and is executed this many milliseconds late
	allCaughtUp      func(index uint64) bool     // nil: all proxies are always caught up
	outstanding      int                         // results and outcomes not yet delivered to the coordinator
	discarded        int                         // results and outcomes that the coordinator ignored
	skipped          int                         // ticks that did not evaluate the service
}

type fakeHost struct {
	wire.HostStatus
	up       bool
	silent   bool // while not up: connections time out instead of being refused
	replaced bool // while not up: another host runs at the address
	commands []Command
}

type timedEvent struct {
	at  int64
	run func()
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		t:                t,
		now:              testStartMs,
		state:            &statemachine.State{},
		hosts:            map[string]*fakeHost{},
		promotionOutcome: func(int) PromotionOutcome { return PromotionSucceeded },
	}
	h.startLeader("control", 1)
	for i := range 3 {
		hostID := fmt.Sprintf("h%d", i)
		status := wire.HostStatus{IsPrimary: i == 0, Timeline: 4, ReceivedPosition: wire.Position{Timeline: 4, Number: 100}}
		h.hosts[hostID] = &fakeHost{HostStatus: status, up: true}
		h.apply(statemachine.Change{AddHost: &statemachine.Host{ID: hostID, Service: "db", Address: hostID}})
	}
	h.apply(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: "db", Host: "h0", Term: 4}})
	return h
}

// startLeader replaces the coordinator, as when a member becomes leader of the control plane.
func (h *harness) startLeader(memberID string, leaderTerm uint64) {
	h.coordinator = New(memberID, leaderTerm, testHeartbeatIntervalMs, h.now)
	h.coordinator.OnEvent = func(e Event) { h.observedEvents = append(h.observedEvents, e) }
}

// startNextLeader replaces the coordinator by one in the next term.
func (h *harness) startNextLeader() { h.startLeader("control", h.coordinator.leaderTerm+1) }

func (h *harness) primary() statemachine.Primary { return h.state.Primaries["db"] }

func (h *harness) apply(change statemachine.Change) {
	h.index++
	require.NoError(h.t, h.state.Apply(h.index, change))
	h.coordinator.ClearPendingProposals()
	if change.RevokePrimary != nil {
		h.revocations++
	}
}

func (h *harness) after(delayMs int64, run func()) {
	h.events = append(h.events, timedEvent{h.now + delayMs, run})
}

// run advances the clock by a number of milliseconds, one tick at a time.
func (h *harness) run(durationMs int64) {
	for end := h.now + durationMs; h.now < end; h.now += testTickMs {
		h.runDueEvents()
		for id, host := range h.hosts {
			if host.up && h.now%testHeartbeatIntervalMs < testTickMs {
				h.coordinator.Heartbeat(id, host.IsPrimary, h.now)
			}
		}
		h.tick()
	}
}

func (h *harness) runDueEvents() {
	slices.SortStableFunc(h.events, func(x, y timedEvent) int { return int(x.at - y.at) })
	for len(h.events) > 0 && h.events[0].at <= h.now {
		next := h.events[0]
		h.events = h.events[1:]
		next.run()
	}
}

func (h *harness) tick() {
	allCaughtUp := func(index uint64) bool { return h.allCaughtUp == nil || h.allCaughtUp(index) }
	h.requireNothingIsSkipped(allCaughtUp)
	actions := h.coordinator.Tick(h.state, allCaughtUp, h.now)
	for _, change := range actions.Proposals {
		h.after(testDelayMs, func() { h.apply(change) })
	}
	for _, query := range actions.Queries {
		h.query(query)
	}
	for _, promotion := range actions.Promotions {
		h.requestPromotion(promotion)
	}
}

// requireNothingIsSkipped evaluates the service if the next tick would skip it, and requires that this yields no actions.
func (h *harness) requireNothingIsSkipped(allCaughtUp func(index uint64) bool) {
	h.coordinator.wakeChangedServices(h.state)
	if h.coordinator.isDue(h.state, "db", h.now) {
		return
	}
	h.skipped++
	var actions Actions
	skipped := evaluation{coordinator: h.coordinator, state: h.state, allCaughtUp: allCaughtUp, nowMs: h.now, actions: &actions}
	skipped.evaluate("db")
	require.Empty(h.t, actions, "the scheduler skips a service that has actions")
}

func (h *harness) requestPromotion(promotion Promotion) {
	n := len(h.promotions)
	h.promotions = append(h.promotions, promotion)
	h.outstanding++
	h.after(testDelayMs, func() { h.countResult(h.coordinator.PromotionFinished(promotion, h.promotionOutcome(n), h.now)) })
}

func (h *harness) query(query HostQuery) {
	host := h.hosts[query.Host]
	h.outstanding++
	result, delay := QueryResult{Query: query}, int64(testDelayMs)
	switch {
	case host != nil && !host.up && host.replaced:
		result.Replaced, result.Code = true, wire.CodeWrongNode
	case host == nil || !host.up && !host.silent:
		result.ConnectionRefused = true
	case host.silent:
		result.TimedOut, delay = true, queryTimeoutMs
	case h.lateBy != nil && h.lateBy(query) > 0:
		result.TimedOut, delay = true, queryTimeoutMs
		h.after(h.lateBy(query), func() { host.execute(query) })
		if query.Serial%4 == 0 { // the coordinator does not receive the timeout either
			h.outstanding--
			return
		}
	default:
		host.execute(query)
		result.Status = host.HostStatus
	}
	h.after(delay, func() { h.countResult(h.coordinator.QueryFinished(result, h.now)) })
}

func (f *fakeHost) execute(query HostQuery) {
	f.commands = append(f.commands, query.Command)
	switch {
	case query.Command == Pause && !f.IsPrimary:
		f.PausedTimeline = query.Term
	case query.Command == Resume:
		f.PausedTimeline = 0
	case query.Command == StepDown && query.Term > f.Timeline:
		f.IsPrimary = false
	}
}

func (h *harness) countResult(accepted bool) {
	h.outstanding--
	if !accepted {
		h.discarded++
	}
}

// promote makes a promotion take effect: the host becomes primary in a new term, and all replicas are resumed.
func (h *harness) promote(hostID string) {
	term := uint64(0)
	for _, host := range h.hosts {
		term = max(term, host.Timeline)
		host.PausedTimeline = 0
	}
	host := h.hosts[hostID]
	host.IsPrimary, host.Timeline = true, term+1
}

// stopPrimary stops h0. If silent, connections to it time out, otherwise they are refused.
func (h *harness) stopPrimary(silent bool) { h.hosts["h0"].up, h.hosts["h0"].silent = false, silent }

// suspectPrimary reports to the coordinator that a proxy cannot reach h0.
func (h *harness) suspectPrimary() { h.coordinator.SuspectPrimary("r0", "db", "h0", h.now) }

// drain marks a host as draining in the log and returns the updated host.
func (h *harness) drain(hostID string) statemachine.Host {
	host := h.state.Hosts[hostID]
	host.Draining = true
	h.apply(statemachine.Change{AddHost: &host})
	return host
}
