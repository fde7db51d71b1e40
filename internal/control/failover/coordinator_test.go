package failover

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/wire"
)

// A table is one service's hosts as they answer, a platform, and the log, on a clock of its own. Chance plays no part:
// each test sets what goes wrong.
type harness struct {
	t           *testing.T
	coordinator *Coordinator
	state       *statemachine.State
	now         int64
	index       uint64
	hosts       map[string]*fakeHost
	events      []timedEvent
	promotions  []Promotion
	outcome     func(n int) PromotionOutcome // of the nth call, from 0
	appointedAt int64                        // when a lead was last given
	revocations int
	lateBy      func(q HostQuery) int64 // a question that runs so much later, and whose answer never comes; 0: it is none
	allCaughtUp func(index uint64) bool // nil: no router acts on anything older
	outstanding int                     // answers that are on their way
	discarded   int                     // and those that were ignored
}

type fakeHost struct {
	wire.HostStatus
	up, silent bool
	commands   []Command
}

type timedEvent struct {
	at  int64
	run func()
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: 1 << 20, state: &statemachine.State{}, hosts: map[string]*fakeHost{}, outcome: func(int) PromotionOutcome { return PromotionSucceeded }}
	h.coordinator = New("control", 1, 1200, h.now)
	for i := range 3 {
		hostID := fmt.Sprintf("h%d", i)
		h.hosts[hostID] = &fakeHost{HostStatus: wire.HostStatus{Leader: i == 0, Term: 4, Received: wire.Position{Term: 4, Number: 100}}, up: true}
		h.apply(statemachine.Change{AddHost: &statemachine.Host{ID: hostID, Service: "db", Address: hostID}})
	}
	h.apply(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: "db", Host: "h0", Term: 4}})
	return h
}

func (h *harness) apply(c statemachine.Change) {
	h.index++
	require.NoError(h.t, h.state.Apply(h.index, c))
	h.coordinator.ChangesApplied()
	if c.AppointPrimary != nil {
		h.appointedAt = h.now
	}
	if c.RevokePrimary != nil {
		h.revocations++
	}
}

// run goes on for a span of milliseconds.
func (h *harness) run(span int64) {
	for end := h.now + span; h.now < end; h.now += 10 {
		slices.SortStableFunc(h.events, func(x, y timedEvent) int { return int(x.at - y.at) })
		for len(h.events) > 0 && h.events[0].at <= h.now {
			do := h.events[0].run
			h.events = h.events[1:]
			do()
		}
		for id, a := range h.hosts {
			if a.up && h.now%1200 < 10 {
				h.coordinator.Heartbeat(id, a.Leader, h.now)
			}
		}
		do := h.coordinator.Tick(h.state, func(i uint64) bool { return h.allCaughtUp == nil || h.allCaughtUp(i) }, h.now)
		for _, c := range do.Proposals {
			h.events = append(h.events, timedEvent{h.now + 10, func() { h.apply(c) }})
		}
		for _, q := range do.Queries {
			h.query(q)
		}
		for _, p := range do.Promotions {
			n := len(h.promotions)
			h.outstanding++
			h.promotions = append(h.promotions, p)
			h.events = append(h.events, timedEvent{h.now + 10, func() { h.countResult(h.coordinator.PromotionFinished(p, h.outcome(n), h.now)) }})
		}
	}
}

func (h *harness) query(query HostQuery) {
	host := h.hosts[query.Host]
	h.outstanding++
	result, delay := QueryResult{Query: query}, int64(10)
	switch {
	case host == nil || !host.up && !host.silent:
		result.ConnectionRefused = true
	case host.silent:
		result.TimedOut, delay = true, queryTimeoutMs
	case h.lateBy != nil && h.lateBy(query) > 0:
		result.TimedOut, delay = true, queryTimeoutMs
		h.events = append(h.events, timedEvent{h.now + h.lateBy(query), func() { host.execute(query) }})
		if query.Serial%4 == 0 { // nor is it told that none came
			h.outstanding--
			return
		}
	default:
		host.execute(query)
		result.Status = host.HostStatus
	}
	h.events = append(h.events, timedEvent{h.now + delay, func() { h.countResult(h.coordinator.QueryFinished(result, h.now)) }})
}

func (host *fakeHost) execute(query HostQuery) {
	host.commands = append(host.commands, query.Command)
	switch {
	case query.Command == Pause && !host.Leader:
		host.Held = query.Term
	case query.Command == Resume:
		host.Held = 0
	case query.Command == StepDown && query.Term > host.Term:
		host.Leader = false
	}
}

func (h *harness) countResult(accepted bool) {
	h.outstanding--
	if !accepted {
		h.discarded++
	}
}

// promote has the platform's call take effect.
func (h *harness) promote(hostID string) {
	term := uint64(0)
	for _, host := range h.hosts {
		term, host.Held = max(term, host.Term), 0
	}
	host := h.hosts[hostID]
	host.Leader, host.Term = true, term+1
}

func (h *harness) crash(silent bool) { h.hosts["h0"].up, h.hosts["h0"].silent = false, silent }

func TestFailoverPromotesTheMostAdvancedReplica(t *testing.T) {
	for _, silent := range []bool{false, true} {
		h := newHarness(t)
		h.run(500)
		h.hosts["h1"].Received.Number = 90
		h.crash(silent)
		h.coordinator.SuspectPrimary("r0", "db", "h0", h.now)
		suspectedAt := h.now
		h.run(200 + map[bool]int64{true: queryTimeoutMs + hedgeDelayMs}[silent])
		require.Len(t, h.promotions, 1, "dark %v: named %d ms after it was suspected", silent, h.now-suspectedAt)
		require.Equal(t, "h2", h.promotions[0].Host)
		h.promote("h2")
		h.run(200)
		require.Equal(t, "h2", h.state.Primaries["db"].Host)
		h.run(300)
		require.Contains(t, h.hosts["h1"].commands, Resume, "it was PAUSEd")
	}
}

// What hosts say that can't be right takes no good primary out of service.
func TestImplausibleReportsDoNotRevokeAHealthyPrimary(t *testing.T) {
	for name, report := range map[string]func(h *harness){
		"a STAT with a lower term":          func(h *harness) { h.hosts["h0"].Term = 2 },
		"another that says that it leads":   func(h *harness) { h.hosts["h1"].Leader = true },
		"another that leads an older term":  func(h *harness) { h.hosts["h1"].Leader, h.hosts["h1"].Term = true, 3 },
		"a term beyond all reason":          func(h *harness) { h.hosts["h1"].Leader, h.hosts["h1"].Term = true, 1<<63-1 },
		"positions that go back":            func(h *harness) { h.hosts["h1"].Received.Number, h.hosts["h0"].Received.Number = 3, 50 },
		"beats of one that was never there": func(h *harness) { h.coordinator.Heartbeat("h9", true, h.now) },
		"a router that suspects on and on":  func(h *harness) { h.coordinator.SuspectPrimary("r0", "db", "h0", h.now) },
		"a replica that is silent":          func(h *harness) { h.hosts["h2"].up, h.hosts["h2"].silent = false, true },
		"a replica that is gone":            func(h *harness) { h.hosts["h2"].up = false },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for range 60 {
				report(h)
				h.run(200)
			}
			require.Zero(t, h.revocations, "its lead was taken back")
			require.Empty(t, h.promotions)
		})
	}
}

// A host with a term beyond all reason is not what a real fail-over waits for, nor is it followed.
func TestImplausibleTermDoesNotBlockFailover(t *testing.T) {
	h := newHarness(t)
	h.hosts["h1"].Term = 1<<63 - 1
	h.crash(false)
	h.coordinator.SuspectPrimary("r0", "db", "h0", h.now)
	h.run(300)
	require.Len(t, h.promotions, 1)
	promoted := h.hosts[h.promotions[0].Host]
	promoted.Leader, promoted.Term = true, 5
	h.run(300)
	require.Equal(t, h.promotions[0].Host, h.state.Primaries["db"].Host)
	require.EqualValues(t, 5, h.state.Primaries["db"].Term)
}

// The platform's answers, one after another: refused with 429, 409, none that is clear. One that may have been carried
// out is waited for, and no other is named meanwhile.
func TestPromotionOutcomes(t *testing.T) {
	h := newHarness(t)
	h.outcome = func(count int) PromotionOutcome {
		return []PromotionOutcome{PromotionNotExecuted, PromotionRejected, PromotionUnknown, PromotionSucceeded}[min(count, 3)]
	}
	h.crash(false)
	h.coordinator.SuspectPrimary("r0", "db", "h0", h.now)
	h.run(4000)
	require.GreaterOrEqual(t, len(h.promotions), 3)
	promoted := h.promotions[2].Host
	count := len(h.promotions)
	h.promote(promoted)
	h.run(1000)
	require.Equal(t, promoted, h.state.Primaries["db"].Host, "what had no clear answer was carried out, and is found")
	require.Len(t, h.promotions, count, "no other was named")
	for i := 1; i < len(h.promotions); i++ {
		require.GreaterOrEqual(t, h.promotions[i].FencingToken, h.promotions[i-1].FencingToken)
	}
}

// A promote is acknowledged, and the host dies before it leads: after a while the other is taken.
func TestHostThatFailsAfterPromotionIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.crash(false)
	h.coordinator.SuspectPrimary("r0", "db", "h0", h.now)
	h.run(300)
	require.Len(t, h.promotions, 1)
	promoted := h.promotions[0].Host
	h.hosts[promoted].up = false
	h.run(promotionTimeoutMs + 2000)
	require.Contains(t, h.coordinator.Transitions(h.state, h.now)["db"].WaitingFor, promoted, "what it received is asked for first")
	h.hosts[promoted].up = true
	h.hosts[promoted].Received.Number = 80
	h.run(1500)
	require.Greater(t, len(h.promotions), 1)
	require.NotEqual(t, promoted, h.promotions[len(h.promotions)-1].Host)
}

// The holder of the duty dies at each step of a move; its successor finds out what was done and carries on.
func TestNextLeaderResumesFailover(t *testing.T) {
	for after := int64(0); after < 400; after += 20 {
		h := newHarness(t)
		h.crash(false)
		h.coordinator.SuspectPrimary("r0", "db", "h0", h.now)
		h.run(after)
		h.events = slices.DeleteFunc(h.events, func(d timedEvent) bool { return true }) // what was on its way to it is lost
		h.coordinator = New("other", 2, 1200, h.now)
		if len(h.promotions) > 0 {
			at := h.now + 200
			h.events = append(h.events, timedEvent{at, func() { h.promote(h.promotions[0].Host) }})
		} else {
			h.events = append(h.events, timedEvent{h.now + 10, func() { h.coordinator.SuspectPrimary("r0", "db", "h0", h.now) }})
		}
		promotionsBefore := len(h.promotions)
		h.run(2500)
		if promotionsBefore == 0 {
			require.NotEmpty(t, h.promotions, "after %d ms", after)
			require.Equal(t, "other", h.promotions[0].Owner)
			h.promote(h.promotions[len(h.promotions)-1].Host)
			h.run(1500)
		} else {
			for _, p := range h.promotions {
				require.Equal(t, h.promotions[0].Host, p.Host, "after %d ms: one that may have been called is called again, and no other", after)
			}
		}
		require.Equal(t, h.promotions[0].Host, h.state.Primaries["db"].Host, "after %d ms", after)
		for id, a := range h.hosts {
			require.False(t, a.up && !a.Leader && a.Held > 0, "after %d ms: %s stays PAUSEd", after, id)
		}
	}
}

// A planned move: nothing is stopped, the successor leads, the old one steps down.
func TestDrainingPrimaryIsSwitchedOver(t *testing.T) {
	h := newHarness(t)
	h.run(1300)
	host := h.state.Hosts["h0"]
	host.Draining = true
	h.apply(statemachine.Change{AddHost: &host})
	h.run(300)
	require.Len(t, h.promotions, 1)
	require.Zero(t, h.revocations, "the old one serves on until the successor leads")
	successor := h.promotions[0].Host
	h.hosts[successor].Leader, h.hosts[successor].Term = true, 5
	h.run(400)
	require.Equal(t, successor, h.state.Primaries["db"].Host)
	require.False(t, h.hosts["h0"].Leader)
}
