package tiernet

import (
	"flag"
	"slices"
	"strings"
	"testing"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

var seeds = flag.Int("seeds", 100, "worlds to play")

var small = Size{Forwarders: 5, Planners: 3, Sets: 2, Members: 3, Rate: 600, For: 12 * second, Faults: 8}

func played(t *testing.T, w *World, seed int) {
	t.Helper()
	if len(w.Violations) > 0 {
		t.Fatalf("seed %d:\n%s\nafter\n%s", seed, strings.Join(w.Violations, "\n"), strings.Join(w.FaultLog, "\n"))
	}
	if w.Taken < 100 || w.Answered+w.Throttled+w.Failed > w.Taken {
		t.Fatalf("seed %d: %d taken, %d answered, %d throttled, %d failed", seed, w.Taken, w.Answered, w.Throttled, w.Failed)
	}
}

func TestNoSeedOfKillsCutsAndDelaysBreaksARule(t *testing.T) {
	answered, taken := 0, 0
	for seed := range *seeds {
		size := small
		if seed%50 == 49 {
			size.Forwarders = 40
		}
		w := New(uint64(seed), size)
		w.Run()
		played(t, w, seed)
		answered, taken = answered+w.Answered, taken+w.Taken
	}
	t.Logf("%d worlds, %.3f of %d commands answered", *seeds, float64(answered)/float64(taken), taken)
	if answered*10 < taken*7 {
		t.Errorf("only %d of %d commands are answered", answered, taken)
	}
}

// calm is a world without faults of chance, at a moment when all is known.
func calm(seed uint64, span policy.Tenth) *World {
	size := small
	size.Faults, size.For = 0, span
	w := New(seed, size)
	w.After(500*ms, w.arrive)
	w.RunFor(5 * second)
	return w
}

// over plays to the end and asserts.
func (w *World) over(t *testing.T) {
	t.Helper()
	w.RunFor(w.For + 4*second - (w.Now - zero))
	played(t, w, -1)
}

func TestAMinuteWithoutPlannersAndAPrimaryChangeInTheMiddle(t *testing.T) {
	w := calm(1, 70*second)
	w.noPlanners(60 * second)
	w.After(30*second, func() { w.dies(w.sets[0].primary, 20*second) })
	w.RunFor(50 * second)
	before := w.Answered
	w.RunFor(5 * second)
	if served := w.Answered - before; float64(served) < 0.9*5*w.Rate {
		t.Errorf("%d answered in 5 s, long after the change", served)
	}
	if len(w.sets[0].follows) != len(w.forwarders) {
		t.Errorf("%d of %d forwarders follow the new primary", len(w.sets[0].follows), len(w.forwarders))
	}
	w.over(t)
}

func TestTwoPlannersThatNameDifferentPrimaries(t *testing.T) {
	w := calm(2, 20*second)
	old := w.sets[0].primary
	// Planner 2 has a clock that is behind: it believes nothing new and goes on naming the old one.
	behind := func(by policy.Tenth, planners ...*plan) {
		for _, p := range planners {
			p.kill()
			p.skew = by
			p.again(false)
		}
	}
	behind(-60*second, w.planners[2])
	w.RunFor(second)
	w.hangs(old, 4*second)
	w.RunFor(5 * second)
	for _, f := range w.forwarders {
		if p, _ := f.core.View().Primary(1); p != w.sets[0].primary.name {
			t.Errorf("%s follows %s, not %s", f.name, p, w.sets[0].primary.name)
		}
	}
	// Now that one is right, and the others, clocks behind, are not.
	behind(0, w.planners[2])
	behind(-60*second, w.planners[:2]...)
	w.RunFor(second)
	w.hangs(w.sets[0].primary, 4*second)
	w.RunFor(5 * second)
	for _, f := range w.forwarders {
		if p, _ := f.core.View().Primary(1); p != w.sets[0].primary.name {
			t.Errorf("%s follows %s, not %s", f.name, p, w.sets[0].primary.name)
		}
	}
	w.over(t)
}

func TestADrainToldByOnePlannerJustBeforeItDies(t *testing.T) {
	w := calm(3, 15*second)
	for _, p := range w.planners[1:] {
		p.old = true // they hear of nothing new
	}
	h := w.hosts[1]
	w.state(h, policy.Draining)
	for w.forwarders[0].drains[h.name] == 0 {
		w.RunFor(10 * ms)
	}
	w.planners[0].kill()
	w.RunFor(8 * second)
	told := 0
	for _, f := range w.forwarders {
		if f.drains[h.name] != 0 {
			told++
		}
	}
	if told == 0 {
		t.Error("the drain was forgotten with the planner that told it")
	}
	w.over(t)
}

func TestAnHourOldPlannerBringsNoHostBack(t *testing.T) {
	w := calm(4, 20*second)
	h := w.hosts[2]
	h.kill()
	w.list = slices.DeleteFunc(w.list, func(e view.Host) bool { return e.Name == h.name })
	w.relist()
	for _, p := range w.planners {
		p.hear()
	}
	w.RunFor(second)
	w.planners[1].kill()
	w.planners[1].again(true)
	w.RunFor(4 * second)
	for _, f := range w.forwarders {
		if f.nodes[h.name] != nil {
			t.Errorf("%s has %s again", f.name, h.name)
		}
	}
	w.over(t)
}

func TestAColdHostWhilePlannersDieInTurnAndForwardersJoin(t *testing.T) {
	for seed := range uint64(10) {
		w := calm(100+seed, 25*second)
		w.dies(w.hosts[1], second)
		w.dies(w.hosts[4], second)
		for i, p := range w.planners {
			w.After(policy.Tenth(i)*second, p.kill)
			w.After(policy.Tenth(i)*second+1500*ms, func() { p.again(false) })
		}
		for i, f := range w.forwarders[:3] {
			w.After(second+policy.Tenth(i)*700*ms, func() {
				f.kill()
				w.After(50*ms, f.start)
			})
		}
		w.over(t)
	}
}

func TestAForwarderCutFromOnePlannerHasTheOthers(t *testing.T) {
	w := calm(5, 15*second)
	f := w.forwarders[0]
	f.cut[0] = true
	w.RunFor(4 * second)
	if f.core.Blind() || f.core.Age() > second {
		t.Error("it has lost all")
	}
	if f.core.Silences == 0 {
		t.Error("the half-open link was never left")
	}
	for i := range 2 {
		if n := w.planners[i].core.Routers(); i == 1 && n != len(w.forwarders) {
			t.Errorf("planner %d counts %d", i, n)
		}
	}
	w.over(t)
}

func TestAForwarderThatStartsWithNoPlannerIsNotReady(t *testing.T) {
	w := calm(6, 10*second)
	for _, p := range w.planners {
		p.kill()
	}
	f := w.forwarders[0]
	f.kill()
	f.start()
	w.RunFor(second)
	if f.core.Ready() || len(f.nodes) > 0 {
		t.Error("it has a view of nobody's")
	}
	w.planners[1].again(false)
	w.RunFor(7 * second)
	if !f.core.Ready() {
		t.Error("it is not ready once a planner is there")
	}
	w.over(t)
}

// TestANewPrimaryIsNamedSoon states how soon forwarders know of a new primary, with planners and without.
func TestANewPrimaryIsNamedSoon(t *testing.T) {
	half := func(all []policy.Tenth) (half, most policy.Tenth) {
		slices.Sort(all)
		return all[len(all)/2] / 10, all[len(all)*99/100] / 10
	}
	var named, followed, alone []policy.Tenth
	for seed := range uint64(10) {
		for _, blind := range []bool{false, true} {
			w := New(200+seed, Size{Forwarders: 40, Planners: 3, Sets: 2, Members: 3, Rate: 400, For: 12 * second})
			w.After(500*ms, w.arrive)
			w.RunFor(4 * second)
			if blind {
				w.noPlanners(30 * second)
			}
			w.dies(w.sets[0].primary, 20*second)
			w.over(t)
			if blind {
				alone = append(alone, w.Followed...)
			} else {
				named, followed = append(named, w.Named...), append(followed, w.Followed...)
			}
		}
	}
	nameHalf, nameMost := half(named)
	followHalf, followMost := half(followed)
	aloneHalf, aloneMost := half(alone)
	t.Logf("named to half and 99 %% of forwarders after %d and %d ms; first write there after %d and %d ms, with no planner %d and %d",
		nameHalf, nameMost, followHalf, followMost, aloneHalf, aloneMost)
	if len(named) != 400 || nameMost > 500 {
		t.Errorf("named to %d of 400, the last after %d ms", len(named), nameMost)
	}
}
