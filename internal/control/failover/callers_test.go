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
func TestAnswersOfAnOlderLeadAreIgnored(t *testing.T) {
	old, met := 0, 0
	for after := int64(0); after < 500; after += 10 {
		for _, gap := range []int64{0, 10, 50} {
			b := newTable(t)
			b.run(1200)
			b.crash(true)
			b.h.SuspectPrimary("r0", "db", "h0", b.now)
			b.run(after)
			before, asked := b.out, b.h.serial
			for i := range b.replies {
				b.replies[i].at += gap
			}
			old += before
			b.h = New("control", 2, 1200, b.now)
			b.h.SuspectPrimary("r0", "db", "h0", b.now)
			b.run(gap + patience + 20)
			if b.h.serial >= asked && asked > 0 {
				met++
			}
			require.Equal(t, before, b.strays, "after %d ms: an answer of the older lead counts", after)
			b.run(300)
			if len(b.calls) > 0 {
				b.promote(b.calls[len(b.calls)-1].Host)
			}
			b.run(3000)
			require.NotEqual(t, "h0", b.state.Primaries["db"].Host, "after %d ms", after)
		}
	}
	require.Greater(t, old, 100)
	require.Greater(t, met, 100)
}

// Only the answer to the call that is out counts: none that came before, is of another host, fence, view or number.
func TestOnlyTheCallThatIsOutIsAnswered(t *testing.T) {
	b := newTable(t)
	b.outcome = func(int) PromotionOutcome { return PromotionUnknown }
	b.crash(false)
	b.h.SuspectPrimary("r0", "db", "h0", b.now)
	for len(b.calls) < 2 {
		b.run(10)
		require.Less(t, b.now, int64(1<<20)+20000)
	}
	first, second := b.calls[0], b.calls[1]
	require.NotEqual(t, first, second)
	require.Equal(t, first.Host, second.Host)
	for name, p := range map[string]Promotion{"the call before": first,
		"another host":    {second.Service, "h9", second.Owner, second.FencingToken, second.LeaderTerm, second.Serial},
		"another service": {"other", second.Host, second.Owner, second.FencingToken, second.LeaderTerm, second.Serial},
		"another fence":   {second.Service, second.Host, second.Owner, second.FencingToken + 1, second.LeaderTerm, second.Serial},
		"another view":    {second.Service, second.Host, second.Owner, second.FencingToken, second.LeaderTerm + 1, second.Serial},
		"another number":  {second.Service, second.Host, second.Owner, second.FencingToken, second.LeaderTerm, second.Serial + 1},
	} {
		require.False(t, b.h.PromotionFinished(p, PromotionSucceeded, b.now), name)
	}
	require.Zero(t, b.h.Counters.Promoted)
	require.True(t, b.h.PromotionFinished(second, PromotionSucceeded, b.now))
	require.False(t, b.h.PromotionFinished(second, PromotionSucceeded, b.now), "twice")
	require.EqualValues(t, 1, b.h.Counters.Promoted)

	q := HostQuery{"db", "h1", Stat, 0, 1, 1 << 30}
	b.h.services["db"].questions["h1"] = &asked{q, b.now}
	for name, change := range map[string]func(q *HostQuery){
		"another verb": func(q *HostQuery) { q.Command = Resume }, "another term": func(q *HostQuery) { q.Term = 9 },
		"another view": func(q *HostQuery) { q.LeaderTerm = 2 }, "another number": func(q *HostQuery) { q.Serial-- },
		"another host": func(q *HostQuery) { q.Host = "h2" }, "another service": func(q *HostQuery) { q.Service = "none" },
	} {
		o := q
		change(&o)
		require.False(t, b.h.QueryFinished(QueryResult{Query: o}, b.now), name)
	}
	require.True(t, b.h.QueryFinished(QueryResult{Query: q}, b.now))
	require.False(t, b.h.QueryFinished(QueryResult{Query: q}, b.now), "twice")
}

// Two planned moves, one right after the other. What the first one's end says to replicas is without an answer now and then,
// and runs while the second goes on, whose holder may be another: nothing that was acknowledged is lost by it.
func TestAnOrderThatRunsLateCostsNothingThatWasAcknowledged(t *testing.T) {
	late, frozen, moved := 0, 0, 0
	for seed := range 400 {
		chance := rand.New(rand.NewPCG(uint64(seed), 5))
		b := newTable(t)
		b.now += chance.Int64N(1200)
		acknowledged, done, calm := uint64(100), 0, false
		seen := map[uint64]int64{} // when routers were told of each recall
		b.clear = func(i uint64) bool {
			if seen[i] == 0 {
				seen[i] = b.now
			}
			return b.now >= seen[i]+int64(i*37+uint64(seed))%900
		}
		still, thaws, spells := "", int64(0), [3]int64{}
		b.late = func(q HostQuery) int64 {
			by := 10 + int64(q.Serial*131+uint64(seed)*17)%900
			switch {
			case q.Host == still && b.now < thaws: // it stands still, and does all that it was told at once
				frozen++
				return thaws - b.now + by/3
			case calm || q.Command != []Command{Resume, Pause}[seed%2] || (q.Serial*7+uint64(seed))%5 > 2:
				return 0
			}
			late++
			return by
		}
		step := func() {
			b.run(10)
			lead := b.state.Primaries["db"]
			for _, id := range []string{"h0", "h1", "h2"} {
				a := b.hosts[id]
				if !a.Leader || id != lead.Host || lead.Revoked && b.clear(lead.ChangedAt) {
					continue
				}
				a.Received = wire.Position{Term: a.Term, Number: a.Received.Number + 1}
				for n, other := range []string{"h0", "h1", "h2"} { // one that receives is enough; each is behind for spells
					if b.now >= spells[n] && chance.IntN(30) == 0 {
						spells[n] = b.now + 30 + chance.Int64N(400)
					}
					r := b.hosts[other]
					if other != id && !r.Leader && r.Held == 0 && b.now >= spells[n] {
						r.Received = a.Received
						acknowledged = a.Received.Number
					}
				}
			}
			for ; done < len(b.calls); done++ {
				p := b.calls[done]
				b.replies = append(b.replies, due{b.now + 100, func() {
					if b.hosts[p.Host].Leader {
						return
					}
					require.GreaterOrEqual(t, b.hosts[p.Host].Received.Number, acknowledged, "seed %d: LOST by the promotion of %s", seed, p.Host)
					at := b.hosts[p.Host].Received.Number
					b.promote(p.Host)
					for id, a := range b.hosts {
						if a.Received.Number > at {
							a.Received.Number = at
						}
						if id != p.Host && a.Term < b.hosts[p.Host].Term && !a.Leader {
							a.Term = b.hosts[p.Host].Term
						}
					}
				}})
			}
		}
		play := func(span int64) {
			for until := b.now + span; b.now < until; {
				step()
			}
		}
		for range 3 {
			play(200 + chance.Int64N(1500))
			from := b.state.Primaries["db"].Host
			if still = fmt.Sprintf("h%d", chance.IntN(3)); still != from && chance.IntN(3) == 0 {
				thaws = b.now + 300 + chance.Int64N(3000)
				play(chance.Int64N(1500))
			}
			if chance.IntN(3) == 0 {
				b.h = New("control", b.h.view+1, 1200, b.now) // another takes the duty over
			}
			host := b.state.Hosts[from]
			host.Draining = true
			b.apply(statemachine.Change{AddHost: &host})
			for until := b.now + 25000; b.now < until && b.state.Primaries["db"].Host == from; {
				step()
				if chance.IntN(300) == 0 {
					b.h = New("control", b.h.view+1, 1200, b.now)
				}
			}
			if b.state.Primaries["db"].Host != from {
				moved++
			}
			host.Draining = false // the next that comes in its place
			b.state.Hosts[from] = host
		}
		calm = true
		play(9000)
		for id, a := range b.hosts {
			require.False(t, !a.Leader && a.Held > 0, "seed %d: %s stays PAUSEd", seed, id)
		}
	}
	require.Greater(t, late, 1000)
	require.Greater(t, frozen, 1000)
	require.Greater(t, moved, 1000)
}
