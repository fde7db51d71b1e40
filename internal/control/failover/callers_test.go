package failover

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/statemachine"
	"ferrypitch/internal/wire"
)

// A member leads anew, and asks the same questions under the same numbers as in its last lead: what was on its way from
// then is ignored, each answer of it, and the move ends as it would.
func TestResultsOfEarlierLeadershipAreDiscarded(t *testing.T) {
	totalOutstanding, serialsReused := 0, 0
	for after := int64(0); after < 500; after += 10 {
		for _, gap := range []int64{0, 10, 50} {
			h := newHarness(t)
			h.run(1200)
			h.crash(true)
			h.coordinator.SuspectPrimary("r0", "db", "h0", h.now)
			h.run(after)
			outstanding, lastSerial := h.outstanding, h.coordinator.lastSerial
			for i := range h.events {
				h.events[i].at += gap
			}
			totalOutstanding += outstanding
			h.coordinator = New("control", 2, 1200, h.now)
			h.coordinator.SuspectPrimary("r0", "db", "h0", h.now)
			h.run(gap + queryTimeoutMs + 20)
			if h.coordinator.lastSerial >= lastSerial && lastSerial > 0 {
				serialsReused++
			}
			require.Equal(t, outstanding, h.discarded, "after %d ms: an answer of the older lead counts", after)
			h.run(300)
			if len(h.promotions) > 0 {
				h.promote(h.promotions[len(h.promotions)-1].Host)
			}
			h.run(3000)
			require.NotEqual(t, "h0", h.state.Primaries["db"].Host, "after %d ms", after)
		}
	}
	require.Greater(t, totalOutstanding, 100)
	require.Greater(t, serialsReused, 100)
}

// Only the answer to the call that is out counts: none that came before, is of another host, fence, view or number.
func TestOnlyTheOutstandingCallIsCompleted(t *testing.T) {
	h := newHarness(t)
	h.outcome = func(int) PromotionOutcome { return PromotionUnknown }
	h.crash(false)
	h.coordinator.SuspectPrimary("r0", "db", "h0", h.now)
	for len(h.promotions) < 2 {
		h.run(10)
		require.Less(t, h.now, int64(1<<20)+20000)
	}
	first, second := h.promotions[0], h.promotions[1]
	require.NotEqual(t, first, second)
	require.Equal(t, first.Host, second.Host)
	for name, p := range map[string]Promotion{
		"the call before": first,
		"another host":    {second.Service, "h9", second.Owner, second.FencingToken, second.LeaderTerm, second.Serial},
		"another service": {"other", second.Host, second.Owner, second.FencingToken, second.LeaderTerm, second.Serial},
		"another fence":   {second.Service, second.Host, second.Owner, second.FencingToken + 1, second.LeaderTerm, second.Serial},
		"another view":    {second.Service, second.Host, second.Owner, second.FencingToken, second.LeaderTerm + 1, second.Serial},
		"another number":  {second.Service, second.Host, second.Owner, second.FencingToken, second.LeaderTerm, second.Serial + 1},
	} {
		require.False(t, h.coordinator.PromotionFinished(p, PromotionSucceeded, h.now), name)
	}
	require.Zero(t, h.coordinator.Counters.Promoted)
	require.True(t, h.coordinator.PromotionFinished(second, PromotionSucceeded, h.now))
	require.False(t, h.coordinator.PromotionFinished(second, PromotionSucceeded, h.now), "twice")
	require.EqualValues(t, 1, h.coordinator.Counters.Promoted)

	q := HostQuery{"db", "h1", Stat, 0, 1, 1 << 30}
	h.coordinator.services["db"].pendingQueries["h1"] = &pendingQuery{q, h.now}
	for name, change := range map[string]func(q *HostQuery){
		"another verb": func(q *HostQuery) { q.Command = Resume }, "another term": func(q *HostQuery) { q.Term = 9 },
		"another view": func(q *HostQuery) { q.LeaderTerm = 2 }, "another number": func(q *HostQuery) { q.Serial-- },
		"another host": func(q *HostQuery) { q.Host = "h2" }, "another service": func(q *HostQuery) { q.Service = "none" },
	} {
		o := q
		change(&o)
		require.False(t, h.coordinator.QueryFinished(QueryResult{Query: o}, h.now), name)
	}
	require.True(t, h.coordinator.QueryFinished(QueryResult{Query: q}, h.now))
	require.False(t, h.coordinator.QueryFinished(QueryResult{Query: q}, h.now), "twice")
}

// Two planned moves, one right after the other. What the first one's end says to replicas is without an answer now and then,
// and runs while the second goes on, whose holder may be another: nothing that was acknowledged is lost by it.
func TestLateCommandsLoseNoAcknowledgedWrite(t *testing.T) {
	delayed, frozenCommands, switchovers := 0, 0, 0
	for seed := range 400 {
		random := rand.New(rand.NewPCG(uint64(seed), 5))
		h := newHarness(t)
		h.now += random.Int64N(1200)
		acknowledged, handled, noDelays := uint64(100), 0, false
		revokedAt := map[uint64]int64{} // when routers were told of each recall
		h.allCaughtUp = func(i uint64) bool {
			if revokedAt[i] == 0 {
				revokedAt[i] = h.now
			}
			return h.now >= revokedAt[i]+int64(i*37+uint64(seed))%900
		}
		frozenHost, frozenUntil, behindUntil := "", int64(0), [3]int64{}
		h.lateBy = func(q HostQuery) int64 {
			delay := 10 + int64(q.Serial*131+uint64(seed)*17)%900
			switch {
			case q.Host == frozenHost && h.now < frozenUntil: // it stands still, and does all that it was told at once
				frozenCommands++
				return frozenUntil - h.now + delay/3
			case noDelays || q.Command != []Command{Resume, Pause}[seed%2] || (q.Serial*7+uint64(seed))%5 > 2:
				return 0
			}
			delayed++
			return delay
		}
		step := func() {
			h.run(10)
			primary := h.state.Primaries["db"]
			for _, id := range []string{"h0", "h1", "h2"} {
				a := h.hosts[id]
				if !a.Leader || id != primary.Host || primary.Revoked && h.allCaughtUp(primary.ChangedAt) {
					continue
				}
				a.Received = wire.Position{Term: a.Term, Number: a.Received.Number + 1}
				for n, other := range []string{"h0", "h1", "h2"} { // one that receives is enough; each is behind for spells
					if h.now >= behindUntil[n] && random.IntN(30) == 0 {
						behindUntil[n] = h.now + 30 + random.Int64N(400)
					}
					r := h.hosts[other]
					if other != id && !r.Leader && r.Held == 0 && h.now >= behindUntil[n] {
						r.Received = a.Received
						acknowledged = a.Received.Number
					}
				}
			}
			for ; handled < len(h.promotions); handled++ {
				p := h.promotions[handled]
				h.events = append(h.events, timedEvent{h.now + 100, func() {
					if h.hosts[p.Host].Leader {
						return
					}
					require.GreaterOrEqual(t, h.hosts[p.Host].Received.Number, acknowledged, "seed %d: LOST by the promotion of %s", seed, p.Host)
					at := h.hosts[p.Host].Received.Number
					h.promote(p.Host)
					for id, a := range h.hosts {
						if a.Received.Number > at {
							a.Received.Number = at
						}
						if id != p.Host && a.Term < h.hosts[p.Host].Term && !a.Leader {
							a.Term = h.hosts[p.Host].Term
						}
					}
				}})
			}
		}
		runFor := func(span int64) {
			for until := h.now + span; h.now < until; {
				step()
			}
		}
		for range 3 {
			runFor(200 + random.Int64N(1500))
			oldPrimary := h.state.Primaries["db"].Host
			if frozenHost = fmt.Sprintf("h%d", random.IntN(3)); frozenHost != oldPrimary && random.IntN(3) == 0 {
				frozenUntil = h.now + 300 + random.Int64N(3000)
				runFor(random.Int64N(1500))
			}
			if random.IntN(3) == 0 {
				h.coordinator = New("control", h.coordinator.leaderTerm+1, 1200, h.now) // another takes the duty over
			}
			host := h.state.Hosts[oldPrimary]
			host.Draining = true
			h.apply(statemachine.Change{AddHost: &host})
			for until := h.now + 25000; h.now < until && h.state.Primaries["db"].Host == oldPrimary; {
				step()
				if random.IntN(300) == 0 {
					h.coordinator = New("control", h.coordinator.leaderTerm+1, 1200, h.now)
				}
			}
			if h.state.Primaries["db"].Host != oldPrimary {
				switchovers++
			}
			host.Draining = false // the next that comes in its place
			h.state.Hosts[oldPrimary] = host
		}
		noDelays = true
		runFor(9000)
		for id, a := range h.hosts {
			require.False(t, !a.Leader && a.Held > 0, "seed %d: %s stays PAUSEd", seed, id)
		}
	}
	require.Greater(t, delayed, 1000)
	require.Greater(t, frozenCommands, 1000)
	require.Greater(t, switchovers, 1000)
}
