package tiernet

import (
	"flag"
	"slices"
	"strings"
	"testing"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

var seeds = flag.Int("seeds", 100, "number of worlds to run")

var smallSize = Size{Forwarders: 5, Planners: 3, Sets: 2, Members: 3, Rate: 600, Duration: 12 * second, Faults: 8}

func requireNoViolation(t *testing.T, w *World, seed int) {
	t.Helper()
	if len(w.Violations) > 0 {
		t.Fatalf("seed %d:\n%s\nafter\n%s", seed, strings.Join(w.Violations, "\n"), strings.Join(w.FaultLog, "\n"))
	}
	if w.Received < 100 || w.Answered+w.Throttled+w.Failed > w.Received {
		t.Fatalf("seed %d: %d received, %d answered, %d throttled, %d failed", seed, w.Received, w.Answered, w.Throttled, w.Failed)
	}
}

func TestNoSeedOfKillsPartitionsAndDelaysBreaksARule(t *testing.T) {
	answered, received := 0, 0
	for seed := range *seeds {
		size := smallSize
		if seed%50 == 49 {
			size.Forwarders = 40
		}
		w := New(uint64(seed), size)
		w.Run()
		requireNoViolation(t, w, seed)
		answered, received = answered+w.Answered, received+w.Received
	}
	t.Logf("%d worlds, %.3f of %d commands answered", *seeds, float64(answered)/float64(received), received)
	if answered*10 < received*7 {
		t.Errorf("only %d of %d commands are answered", answered, received)
	}
}

// newSettledWorld returns a world without random faults that has run until all forwarders know all hosts.
func newSettledWorld(seed uint64, span policy.TenthMs) *World {
	size := smallSize
	size.Faults, size.Duration = 0, span
	w := New(seed, size)
	w.After(loadDelay, w.sendCommand)
	w.RunFor(5 * second)
	return w
}

// finish runs a world to its end, and requires that there is no violation.
func (w *World) finish(t *testing.T) {
	t.Helper()
	w.RunFor(w.Duration + settleTime - (w.Now - startTime))
	requireNoViolation(t, w, -1)
}

func TestAMinuteWithoutPlannersAndAPrimaryChangeInTheMiddle(t *testing.T) {
	w := newSettledWorld(1, 70*second)
	w.killAllPlanners(60 * second)
	w.After(30*second, func() { w.crashHost(w.sets[0].primary, 20*second) })
	w.RunFor(50 * second)
	before := w.Answered
	w.RunFor(5 * second)
	if served := w.Answered - before; float64(served) < 0.9*5*w.Rate {
		t.Errorf("only %d answered in 5 s, long after the change of the primary", served)
	}
	if len(w.sets[0].firstWriteDone) != len(w.forwarders) {
		t.Errorf("%d of %d forwarders follow the new primary", len(w.sets[0].firstWriteDone), len(w.forwarders))
	}
	w.finish(t)
}

func TestTwoPlannersThatNameDifferentPrimaries(t *testing.T) {
	w := newSettledWorld(2, 20*second)
	old := w.sets[0].primary
	restartWithSkew := func(skew policy.TenthMs, planners ...*plannerProcess) {
		for _, p := range planners {
			p.kill()
			p.clockSkew = skew
			p.restart(false)
		}
	}
	requireNewPrimary := func() {
		for _, f := range w.forwarders {
			if p, _ := f.follower.View().Primary(1); p != w.sets[0].primary.name {
				t.Errorf("%s follows %s, not %s", f.name, p, w.sets[0].primary.name)
			}
		}
	}
	// The clock of planner 2 is behind, so it ignores new information and keeps naming the old primary.
	restartWithSkew(-60*second, w.planners[2])
	w.RunFor(second)
	w.hangHost(old, 4*second)
	w.RunFor(5 * second)
	requireNewPrimary()
	// Now planner 2 is right, and the other planners have clocks that are behind.
	restartWithSkew(0, w.planners[2])
	restartWithSkew(-60*second, w.planners[:2]...)
	w.RunFor(second)
	w.hangHost(w.sets[0].primary, 4*second)
	w.RunFor(5 * second)
	requireNewPrimary()
	w.finish(t)
}

func TestADrainAnnouncedByOnePlannerJustBeforeItDies(t *testing.T) {
	w := newSettledWorld(3, 15*second)
	for _, p := range w.planners[1:] {
		p.staleList = true // these planners get no newer list
	}
	h := w.hosts[1]
	w.setListState(h, policy.Draining)
	for w.forwarders[0].drainedAt[h.name] == 0 {
		w.RunFor(10 * millisecond)
	}
	w.planners[0].kill()
	w.RunFor(8 * second)
	notified := 0
	for _, f := range w.forwarders {
		if f.drainedAt[h.name] != 0 {
			notified++
		}
	}
	if notified == 0 {
		t.Error("no forwarder knows of the drain after the death of the planner that announced it")
	}
	w.finish(t)
}

func TestAnHourOldPlannerBringsNoHostBack(t *testing.T) {
	w := newSettledWorld(4, 20*second)
	h := w.hosts[2]
	h.kill()
	w.hostList = slices.DeleteFunc(w.hostList, func(e view.Host) bool { return e.Name == h.name })
	w.publishList()
	for _, p := range w.planners {
		p.fetchList()
	}
	w.RunFor(second)
	w.planners[1].kill()
	w.planners[1].restart(true)
	w.RunFor(4 * second)
	for _, f := range w.forwarders {
		if f.moduleHosts[h.name] != nil {
			t.Errorf("%s has the removed host %s again", f.name, h.name)
		}
	}
	w.finish(t)
}

func TestAColdHostWhilePlannersDieInTurnAndForwardersJoin(t *testing.T) {
	for seed := range uint64(10) {
		w := newSettledWorld(100+seed, 25*second)
		w.crashHost(w.hosts[1], second)
		w.crashHost(w.hosts[4], second)
		for i, p := range w.planners {
			w.After(policy.TenthMs(i)*second, p.kill)
			w.After(policy.TenthMs(i)*second+1500*millisecond, func() { p.restart(false) })
		}
		for i, f := range w.forwarders[:3] {
			w.After(second+policy.TenthMs(i)*700*millisecond, func() {
				f.kill()
				w.After(50*millisecond, f.start)
			})
		}
		w.finish(t)
	}
}

func TestAForwarderPartitionedFromOnePlannerHasTheOthers(t *testing.T) {
	w := newSettledWorld(5, 15*second)
	f := w.forwarders[0]
	f.partitionedFrom[0] = true
	w.RunFor(4 * second)
	if f.follower.NoPlanner() || f.follower.ViewAge() > second {
		t.Error("the forwarder has lost all planners")
	}
	if f.follower.SilentLinks == 0 {
		t.Error("the half-open link was never closed")
	}
	for i := range 2 {
		if n := w.planners[i].planner.LeaseCount(); i == 1 && n != len(w.forwarders) {
			t.Errorf("planner %d counts %d forwarders", i, n)
		}
	}
	w.finish(t)
}

func TestAForwarderThatStartsWithNoPlannerIsNotReady(t *testing.T) {
	w := newSettledWorld(6, 10*second)
	for _, p := range w.planners {
		p.kill()
	}
	f := w.forwarders[0]
	f.kill()
	f.start()
	w.RunFor(second)
	if f.follower.HasHosts() || len(f.moduleHosts) > 0 {
		t.Error("the forwarder has a view without a planner")
	}
	w.planners[1].restart(false)
	w.RunFor(7 * second)
	if !f.follower.HasHosts() {
		t.Error("the forwarder is not ready although a planner runs")
	}
	w.finish(t)
}

// percentilesMs sorts spans, and returns their median and 99th percentile in milliseconds.
func percentilesMs(spans []policy.TenthMs) (median, p99 policy.TenthMs) {
	slices.Sort(spans)
	return inMs(spans[len(spans)/2]), inMs(spans[len(spans)*99/100])
}

// TestANewPrimaryIsNamedSoon measures how soon forwarders learn of a new primary, with and without planners. With planners,
// the 99th percentile must not exceed 500 ms.
func TestANewPrimaryIsNamedSoon(t *testing.T) {
	var naming, following, withoutPlanners []policy.TenthMs
	for seed := range uint64(10) {
		for _, killPlanners := range []bool{false, true} {
			w := New(200+seed, Size{Forwarders: 40, Planners: 3, Sets: 2, Members: 3, Rate: 400, Duration: 12 * second})
			w.After(loadDelay, w.sendCommand)
			w.RunFor(4 * second)
			if killPlanners {
				w.killAllPlanners(30 * second)
			}
			w.crashHost(w.sets[0].primary, 20*second)
			w.finish(t)
			if killPlanners {
				withoutPlanners = append(withoutPlanners, w.FirstWriteTimes...)
			} else {
				naming, following = append(naming, w.PrimaryViewTimes...), append(following, w.FirstWriteTimes...)
			}
		}
	}
	namingMedian, namingP99 := percentilesMs(naming)
	followingMedian, followingP99 := percentilesMs(following)
	aloneMedian, aloneP99 := percentilesMs(withoutPlanners)
	t.Logf("named to half and 99 %% of forwarders after %d and %d ms; first write there after %d and %d ms, with no planner %d and %d",
		namingMedian, namingP99, followingMedian, followingP99, aloneMedian, aloneP99)
	if len(naming) != 400 || namingP99 > 500 {
		t.Errorf("%d of 400 forwarders have the new primary in their views, p99 %d ms", len(naming), namingP99)
	}
}
