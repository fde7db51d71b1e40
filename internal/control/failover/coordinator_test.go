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
type table struct {
	t       *testing.T
	h       *Coordinator
	state   *statemachine.State
	now     int64
	index   uint64
	hosts   map[string]*answers
	replies []due
	calls   []Promotion
	outcome func(n int) PromotionOutcome // of the nth call, from 0
	leadsAt int64                        // when a lead was last given
	recalls int
	late    func(q HostQuery) int64 // a question that runs so much later, and whose answer never comes; 0: it is none
	clear   func(index uint64) bool // nil: no router acts on anything older
	out     int                     // answers that are on their way
	strays  int                     // and those that were ignored
}

type answers struct {
	wire.HostStatus
	up, dark bool
	asked    []Command
}

type due struct {
	at int64
	do func()
}

func newTable(t *testing.T) *table {
	b := &table{t: t, now: 1 << 20, state: &statemachine.State{}, hosts: map[string]*answers{}, outcome: func(int) PromotionOutcome { return PromotionSucceeded }}
	b.h = New("control", 1, 1200, b.now)
	for i := range 3 {
		id := fmt.Sprintf("h%d", i)
		b.hosts[id] = &answers{HostStatus: wire.HostStatus{Leader: i == 0, Term: 4, Received: wire.Position{Term: 4, Number: 100}}, up: true}
		b.apply(statemachine.Change{AddHost: &statemachine.Host{ID: id, Service: "db", Address: id}})
	}
	b.apply(statemachine.Change{AppointPrimary: &statemachine.AppointPrimary{Service: "db", Host: "h0", Term: 4}})
	return b
}

func (b *table) apply(c statemachine.Change) {
	b.index++
	require.NoError(b.t, b.state.Apply(b.index, c))
	b.h.ChangesApplied()
	if c.AppointPrimary != nil {
		b.leadsAt = b.now
	}
	if c.RevokePrimary != nil {
		b.recalls++
	}
}

// run goes on for a span of milliseconds.
func (b *table) run(span int64) {
	for end := b.now + span; b.now < end; b.now += 10 {
		slices.SortStableFunc(b.replies, func(x, y due) int { return int(x.at - y.at) })
		for len(b.replies) > 0 && b.replies[0].at <= b.now {
			do := b.replies[0].do
			b.replies = b.replies[1:]
			do()
		}
		for id, a := range b.hosts {
			if a.up && b.now%1200 < 10 {
				b.h.Heartbeat(id, a.Leader, b.now)
			}
		}
		do := b.h.Tick(b.state, func(i uint64) bool { return b.clear == nil || b.clear(i) }, b.now)
		for _, c := range do.Proposals {
			b.replies = append(b.replies, due{b.now + 10, func() { b.apply(c) }})
		}
		for _, q := range do.Queries {
			b.ask(q)
		}
		for _, p := range do.Promotions {
			n := len(b.calls)
			b.out++
			b.calls = append(b.calls, p)
			b.replies = append(b.replies, due{b.now + 10, func() { b.counted(b.h.PromotionFinished(p, b.outcome(n), b.now)) }})
		}
	}
}

func (b *table) ask(q HostQuery) {
	a := b.hosts[q.Host]
	b.out++
	r, after := QueryResult{Query: q}, int64(10)
	switch {
	case a == nil || !a.up && !a.dark:
		r.ConnectionRefused = true
	case a.dark:
		r.TimedOut, after = true, patience
	case b.late != nil && b.late(q) > 0:
		r.TimedOut, after = true, patience
		b.replies = append(b.replies, due{b.now + b.late(q), func() { a.take(q) }})
		if q.Serial%4 == 0 { // nor is it told that none came
			b.out--
			return
		}
	default:
		a.take(q)
		r.Status = a.HostStatus
	}
	b.replies = append(b.replies, due{b.now + after, func() { b.counted(b.h.QueryFinished(r, b.now)) }})
}

func (a *answers) take(q HostQuery) {
	a.asked = append(a.asked, q.Command)
	switch {
	case q.Command == Pause && !a.Leader:
		a.Held = q.Term
	case q.Command == Resume:
		a.Held = 0
	case q.Command == StepDown && q.Term > a.Term:
		a.Leader = false
	}
}

func (b *table) counted(is bool) {
	b.out--
	if !is {
		b.strays++
	}
}

// promote has the platform's call take effect.
func (b *table) promote(id string) {
	term := uint64(0)
	for _, a := range b.hosts {
		term, a.Held = max(term, a.Term), 0
	}
	a := b.hosts[id]
	a.Leader, a.Term = true, term+1
}

func (b *table) crash(dark bool) { b.hosts["h0"].up, b.hosts["h0"].dark = false, dark }

func TestAPrimaryThatIsGoneIsReplacedByTheOneThatHasMost(t *testing.T) {
	for _, dark := range []bool{false, true} {
		b := newTable(t)
		b.run(500)
		b.hosts["h1"].Received.Number = 90
		b.crash(dark)
		b.h.SuspectPrimary("r0", "db", "h0", b.now)
		began := b.now
		b.run(200 + map[bool]int64{true: patience + hasten}[dark])
		require.Len(t, b.calls, 1, "dark %v: named %d ms after it was suspected", dark, b.now-began)
		require.Equal(t, "h2", b.calls[0].Host)
		b.promote("h2")
		b.run(200)
		require.Equal(t, "h2", b.state.Primaries["db"].Host)
		b.run(300)
		require.Contains(t, b.hosts["h1"].asked, Resume, "it was PAUSEd")
	}
}

// What hosts say that can't be right takes no good primary out of service.
func TestNothingOddThatHostsSayStopsAGoodPrimary(t *testing.T) {
	for name, odd := range map[string]func(b *table){
		"a STAT with a lower term":          func(b *table) { b.hosts["h0"].Term = 2 },
		"another that says that it leads":   func(b *table) { b.hosts["h1"].Leader = true },
		"another that leads an older term":  func(b *table) { b.hosts["h1"].Leader, b.hosts["h1"].Term = true, 3 },
		"a term beyond all reason":          func(b *table) { b.hosts["h1"].Leader, b.hosts["h1"].Term = true, 1<<63-1 },
		"positions that go back":            func(b *table) { b.hosts["h1"].Received.Number, b.hosts["h0"].Received.Number = 3, 50 },
		"beats of one that was never there": func(b *table) { b.h.Heartbeat("h9", true, b.now) },
		"a router that suspects on and on":  func(b *table) { b.h.SuspectPrimary("r0", "db", "h0", b.now) },
		"a replica that is silent":          func(b *table) { b.hosts["h2"].up, b.hosts["h2"].dark = false, true },
		"a replica that is gone":            func(b *table) { b.hosts["h2"].up = false },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTable(t)
			for range 60 {
				odd(b)
				b.run(200)
			}
			require.Zero(t, b.recalls, "its lead was taken back")
			require.Empty(t, b.calls)
		})
	}
}

// A host with a term beyond all reason is not what a real fail-over waits for, nor is it followed.
func TestATermBeyondAllReasonDoesNotSpoilAFailOver(t *testing.T) {
	b := newTable(t)
	b.hosts["h1"].Term = 1<<63 - 1
	b.crash(false)
	b.h.SuspectPrimary("r0", "db", "h0", b.now)
	b.run(300)
	require.Len(t, b.calls, 1)
	named := b.hosts[b.calls[0].Host]
	named.Leader, named.Term = true, 5
	b.run(300)
	require.Equal(t, b.calls[0].Host, b.state.Primaries["db"].Host)
	require.EqualValues(t, 5, b.state.Primaries["db"].Term)
}

// The platform's answers, one after another: refused with 429, 409, none that is clear. One that may have been carried
// out is waited for, and no other is named meanwhile.
func TestThePlatformsAnswers(t *testing.T) {
	b := newTable(t)
	b.outcome = func(n int) PromotionOutcome {
		return []PromotionOutcome{PromotionNotExecuted, PromotionRejected, PromotionUnknown, PromotionSucceeded}[min(n, 3)]
	}
	b.crash(false)
	b.h.SuspectPrimary("r0", "db", "h0", b.now)
	b.run(4000)
	require.GreaterOrEqual(t, len(b.calls), 3)
	named := b.calls[2].Host
	n := len(b.calls)
	b.promote(named)
	b.run(1000)
	require.Equal(t, named, b.state.Primaries["db"].Host, "what had no clear answer was carried out, and is found")
	require.Len(t, b.calls, n, "no other was named")
	for i := 1; i < len(b.calls); i++ {
		require.GreaterOrEqual(t, b.calls[i].FencingToken, b.calls[i-1].FencingToken)
	}
}

// A promote is acknowledged, and the host dies before it leads: after a while the other is taken.
func TestAHostThatDiesAfterItWasNamedIsGivenUp(t *testing.T) {
	b := newTable(t)
	b.crash(false)
	b.h.SuspectPrimary("r0", "db", "h0", b.now)
	b.run(300)
	require.Len(t, b.calls, 1)
	named := b.calls[0].Host
	b.hosts[named].up = false
	b.run(settles + 2000)
	require.Contains(t, b.h.Transitions(b.state, b.now)["db"].WaitingFor, named, "what it received is asked for first")
	b.hosts[named].up = true
	b.hosts[named].Received.Number = 80
	b.run(1500)
	require.Greater(t, len(b.calls), 1)
	require.NotEqual(t, named, b.calls[len(b.calls)-1].Host)
}

// The holder of the duty dies at each step of a move; its successor finds out what was done and carries on.
func TestASuccessorOfTheHolderCarriesOn(t *testing.T) {
	for after := int64(0); after < 400; after += 20 {
		b := newTable(t)
		b.crash(false)
		b.h.SuspectPrimary("r0", "db", "h0", b.now)
		b.run(after)
		b.replies = slices.DeleteFunc(b.replies, func(d due) bool { return true }) // what was on its way to it is lost
		b.h = New("other", 2, 1200, b.now)
		if len(b.calls) > 0 {
			at := b.now + 200
			b.replies = append(b.replies, due{at, func() { b.promote(b.calls[0].Host) }})
		} else {
			b.replies = append(b.replies, due{b.now + 10, func() { b.h.SuspectPrimary("r0", "db", "h0", b.now) }})
		}
		n := len(b.calls)
		b.run(2500)
		if n == 0 {
			require.NotEmpty(t, b.calls, "after %d ms", after)
			require.Equal(t, "other", b.calls[0].Owner)
			b.promote(b.calls[len(b.calls)-1].Host)
			b.run(1500)
		} else {
			for _, p := range b.calls {
				require.Equal(t, b.calls[0].Host, p.Host, "after %d ms: one that may have been called is called again, and no other", after)
			}
		}
		require.Equal(t, b.calls[0].Host, b.state.Primaries["db"].Host, "after %d ms", after)
		for id, a := range b.hosts {
			require.False(t, a.up && !a.Leader && a.Held > 0, "after %d ms: %s stays PAUSEd", after, id)
		}
	}
}

// A planned move: nothing is stopped, the successor leads, the old one steps down.
func TestAPrimaryThatDrainsHandsOver(t *testing.T) {
	b := newTable(t)
	b.run(1300)
	host := b.state.Hosts["h0"]
	host.Draining = true
	b.apply(statemachine.Change{AddHost: &host})
	b.run(300)
	require.Len(t, b.calls, 1)
	require.Zero(t, b.recalls, "the old one serves on until the successor leads")
	to := b.calls[0].Host
	b.hosts[to].Leader, b.hosts[to].Term = true, 5
	b.run(400)
	require.Equal(t, to, b.state.Primaries["db"].Host)
	require.False(t, b.hosts["h0"].Leader)
}
