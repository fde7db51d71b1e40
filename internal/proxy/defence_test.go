package proxy

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/wire"
	"ferrypitch/policy"
)

// Each defence, taken out, must be caught by the worlds: else they prove nothing.
func TestTheWorldsCatchEachDefenceTakenOut(t *testing.T) {
	if testing.Short() {
		t.Skip("played in full runs: a seed plays the same each time")
	}
	every := func(w *world, do func(r *router)) {
		var again func()
		again = func() {
			for _, r := range w.routers {
				do(r)
			}
			w.After(5*ms, again)
		}
		w.After(0, again)
	}
	for name, out := range map[string]struct {
		breaks  string
		take    func(w *world)
		council bool
	}{
		"a lead passes on while others still act on the old one": {"STALE LOST", func(w *world) {
			w.control.clear = func(uint64) bool { return true }
			w.After(1500*ms, func() { w.routers[0].cut = true })
			w.After(1600*ms, w.drain)
			w.After(5*s, func() { w.routers[0].cut = false })
		}, false},
		"a lease that never ends": {"STALE LOST", func(w *world) {
			every(w, func(r *router) { r.h.lease.Renewed(1 << 50) })
		}, false},
		"a replica that has less is promoted": {"LOST STALE", func(w *world) {
			w.control.answer = func(q failover.HostQuery, r *failover.QueryResult) {
				if q.Command == failover.Pause {
					r.Status.Received = wire.Position{Term: 1} // all look alike
				}
			}
		}, false},
		"replicas are not stopped before they are asked": {"LOST STALE", func(w *world) {
			w.control.answer = func(q failover.HostQuery, r *failover.QueryResult) {
				if q.Command == failover.Pause {
					w.db.Host(q.Host).Paused = 0
				}
			}
		}, false},
		"a write whose answer is lost is sent again": {"TWICE", func(w *world) {
			every(w, func(r *router) {
				for _, k := range r.h.routes {
					k.writeGroup.Effect = policy.Replayable
				}
			})
		}, false},
		"a session's own writes are forgotten": {"STALE", func(w *world) {
			every(w, func(r *router) {
				for s := range r.h.sessions {
					s.Token = wire.Position{}
				}
				for _, k := range r.h.routes {
					if k.readsOwnWrites {
						k.readsOwnWrites = false
						k.readGroup.Need, k.readGroup.Bound = policy.Bounded, k.stalenessBound
					}
				}
			})
		}, false},
		"floors count as newer than they are": {"STALE", func(w *world) {
			every(w, func(r *router) {
				for _, k := range r.h.routes {
					k.stalenessBound = max(k.stalenessBound, 0) * 8
				}
			})
			every(w, func(r *router) {
				for _, k := range r.h.routes {
					k.stalenessBound = min(k.stalenessBound, 8000*ms)
				}
			})
		}, false},
		"a connection keeps what another session set": {"PINNED", func(w *world) {
			every(w, func(r *router) {
				for _, n := range r.h.pools {
					for k := range n.conns {
						if len(k.state.ValuesKey) > 0 {
							k.state.ValuesKey = ""
						}
					}
				}
			})
		}, false},
		"replicas that were PAUSEd are not told to go on": {"PAUSED", func(w *world) {
			w.council.answer = func(q failover.HostQuery, h *database.Host) bool { return q.Command == failover.Resume }
		}, true},
		"what a replica that left may alone have had is forgotten": {"LOST STALE", func(w *world) {
			w.council.address = func(string) string { return "10.1.0.1:1000" } // any new host seems to have its log
			w.After(1500*ms, func() {
				w.db.Hosts[1].Deaf = true
				w.council.drain(w.db.Hosts[2])
			})
			w.After(4700*ms, func() { w.db.Hosts[0].Crash(true, 6*s) })
			w.After(4750*ms, func() { w.council.beat(w.db.Hosts[1]) })
		}, true},
		"a member whose disk is lost counts as before": {"ORDER", func(w *world) {
			c := w.council
			c.sameName = true
			w.After(1900*ms, func() { c.members[0].cut = true })
			w.After(4500*ms, func() {
				c.members[1].crash(true)
				c.members[2].crash(true)
				c.members[1].wiped()
				c.members[0].heal(1)
			})
			w.After(9*s, c.members[2].start)
		}, true},
		"a router's clock runs slower than leases allow": {"STALE LOST", func(w *world) {
			r := w.routers[0]
			r.rate = -500
			w.After(900*ms, r.kill)
			w.After(3500*ms, func() {
				r.cut = true
				w.drain()
			})
			w.After(9*s, func() { r.cut = false })
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range 400 {
				build := newWorld
				if out.council {
					build = newCouncilWorld
				}
				w := build(uint64(seed), 3, 9)
				out.take(w)
				w.play()
				for _, b := range w.Violations {
					for _, rule := range strings.Fields(out.breaks) {
						if strings.Contains(b, rule) {
							t.Logf("caught by seed %d: %s", seed, b)
							return
						}
					}
				}
			}
			require.Fail(t, "400 worlds saw nothing")
		})
	}
}
