package gossip

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/scheduler"
)

// world is routers on a network that loses datagrams.
type world struct {
	*scheduler.Scheduler
	nodes map[string]*node
	names []string
	cut   func(from, to string) bool
	sent  int
}

type node struct {
	w    *world
	name string
	f    *Membership
	life int
	up   bool
}

func newWorld(seed uint64, n int) *world {
	w := &world{Scheduler: scheduler.New(seed, 1<<30, 1), nodes: map[string]*node{}, cut: func(string, string) bool { return false }}
	for i := range n {
		name := fmt.Sprintf("r%02d", i)
		w.names = append(w.names, name)
		w.nodes[name] = &node{w: w, name: name}
		w.nodes[name].start()
	}
	return w
}

func (n *node) start() {
	n.life++
	n.up = true
	n.f = New(n.name, n.name, uint64(n.life)<<32, DefaultConfig(), n.w.Rand.IntN, n.w.Now)
	n.send(n.f.AddSeeds([]string{"r00", "r01"}, n.w.Now))
	n.tick(n.life)
}

func (n *node) tick(life int) {
	if n.up && n.life == life {
		n.send(n.f.Tick(n.w.Now))
		n.w.After(max(1, n.f.NextTick()-n.w.Now), func() { n.tick(life) })
	}
}

func (n *node) send(all []Outgoing) {
	w := n.w
	for _, o := range all {
		w.sent++
		to := w.nodes[o.To]
		if w.OneIn(20) || to == nil || w.cut(n.name, o.To) {
			continue
		}
		w.After(w.Between(1, 5), func() {
			if to.up {
				to.send(to.f.HandleMessage(o.Message, w.Now))
			}
		})
	}
}

func (w *world) agree(t *testing.T, want []string) {
	t.Helper()
	for _, name := range w.names {
		if n := w.nodes[name]; n.up {
			require.Equal(t, want, n.f.AliveNames(), "at %s", name)
		}
	}
}

func TestAllLearnOfAllThoughDatagramsAreLost(t *testing.T) {
	for seed := range 60 {
		w := newWorld(uint64(seed), 12)
		w.RunFor(25000)
		w.agree(t, w.names)
	}
}

func TestOneThatDiesIsRemovedEverywhereAndTakenBackWhenItReturns(t *testing.T) {
	for seed := range 60 {
		w := newWorld(uint64(seed), 9)
		w.RunFor(20000)
		dead := w.nodes["r05"]
		dead.up = false
		left := slices.DeleteFunc(slices.Clone(w.names), func(n string) bool { return n == "r05" })
		w.RunFor(20000)
		w.agree(t, left)
		dead.start()
		w.RunFor(25000)
		w.agree(t, w.names)
	}
}

func TestASecondOpinionKeepsOneThatOnlySomeCanNotReach(t *testing.T) {
	removed := int64(0)
	for seed := range 40 {
		w := newWorld(uint64(seed), 8)
		w.RunFor(15000)
		before := int64(0)
		for _, n := range w.nodes {
			before += n.f.Removed
		}
		w.cut = func(from, to string) bool { // one pair, both ways
			return from == "r02" && to == "r06" || from == "r06" && to == "r02"
		}
		w.RunFor(20000)
		for _, n := range w.nodes {
			removed += n.f.Removed
		}
		removed -= before
		w.agree(t, w.names)
	}
	require.Zero(t, removed, "routers that third parties reach were removed")
}

func TestWhatARouterSendsDoesNotGrowWithTheirNumber(t *testing.T) {
	rate := func(n int) float64 {
		w := newWorld(1, n)
		w.RunFor(20000)
		before := w.sent
		w.RunFor(20000)
		return float64(w.sent-before) / float64(n) / 20
	}
	few, many := rate(9), rate(120)
	require.Less(t, many, 1.5*few, "%.2f messages a second with 9 routers, %.2f with 120", few, many)
}

func TestTheNewestWordOnControlBinds(t *testing.T) {
	w := newWorld(7, 6)
	w.RunFor(5000)
	w.nodes["r03"].f.SetControlMembers([]string{"a", "b", "c"}, 7)
	w.nodes["r04"].f.SetControlMembers([]string{"old"}, 3)
	w.RunFor(20000)
	for _, n := range w.nodes {
		members, version := n.f.ControlMembers()
		require.EqualValues(t, 7, version)
		require.Equal(t, []string{"a", "b", "c"}, members)
	}
}
