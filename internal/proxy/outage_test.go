package proxy

import (
	"flag"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/fake/database"
)

var outages = flag.Int("outages", 12, "worlds for each kind of fail-over")

// The time between two acknowledged writes of a service through each kind of fail-over, where the platform takes 300 ms for
// a promotion: go test ./internal/proxy -run Outage -outages 50 -v prints the table of docs/results.md.
func TestOutageByKindOfFailOver(t *testing.T) {
	if testing.Short() {
		t.Skip("played in full runs")
	}
	lead := func(w *world) *database.Host { return w.db.Lead() }
	other := func(w *world) *database.Host {
		for _, h := range w.db.Hosts {
			if !h.Leader {
				return h
			}
		}
		return nil
	}
	holder := func(w *world) *member {
		for _, m := range w.council.members {
			if m.up && m.leads() {
				return m
			}
		}
		return w.council.members[0]
	}
	for _, kind := range []struct {
		name   string
		most   int64 // of the worst, in milliseconds
		strike func(w *world)
	}{
		{"nothing happens", 400, func(*world) {}},
		{"the primary's process ends", 1000, func(w *world) { lead(w).Crash(false, 8*s) }},
		{"the primary goes dark", 1500, func(w *world) { lead(w).Crash(true, 8*s) }},
		{"it ends and is back at once", 1200, func(w *world) { lead(w).Crash(false, 300*ms) }},
		{"it drains", 400, func(w *world) { w.council.drain(lead(w)) }},
		{"it drains, and a replica is down", 2600, func(w *world) {
			other(w).Crash(false, 8*s)
			w.After(100*ms, func() { w.council.drain(lead(w)) })
		}},
		{"it ends, and a router is cut off", 2500, func(w *world) {
			w.routers[0].cut = true
			w.After(6*s, func() { w.routers[0].cut = false })
			lead(w).Crash(false, 8*s)
		}},
		{"it ends, and the holder of the duty right after", 4500, func(w *world) {
			m := holder(w)
			lead(w).Crash(false, 8*s)
			w.After(w.Between(40*ms, 300*ms), func() {
				m.crash(true)
				w.After(3*s, m.start)
			})
		}},
		{"it ends, and one member is frozen", 4500, func(w *world) {
			m := holder(w)
			m.frozen = true
			life := m.life
			lead(w).Crash(false, 8*s)
			w.After(4*s, func() { m.thaw(life) })
		}},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			var gaps []int64
			worst, at := int64(-1), 0
			for seed := range *outages {
				w := newCouncilWorld(uint64(seed)+50000, 3, 18)
				w.db.Losses, w.db.Refused = 0, 0
				w.council.takes = func() int64 { return 300 * ms }
				w.After(4*s, func() {
					w.gap = 0
					kind.strike(w)
				})
				w.RunFor(11 * s)
				if gaps = append(gaps, w.gap/ms); w.gap > worst {
					worst, at = w.gap, seed
				}
				w.judge.CheckFinalLog()
				require.Empty(t, w.Violations, "seed %d: %s", seed, w.report())
			}
			slices.Sort(gaps)
			t.Logf("median %d ms, worst %d ms of %d (world %d)", gaps[len(gaps)/2], gaps[len(gaps)-1], len(gaps), at)
			require.Less(t, gaps[len(gaps)-1], kind.most)
		})
	}
}
