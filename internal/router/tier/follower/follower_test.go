package follower

import (
	"testing"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	ms    = policy.TenthMs(10)
	start = 1000 * second
)

var config = Config{InitialBackoff: 50 * ms, MaxBackoff: 5 * second, ReportInterval: 200 * ms, PlannerTimeout: 2 * second}

// fakePlanner holds the view of a planner and creates its changes.
type fakePlanner struct {
	view.View
	incarnation, sequence uint64
}

func (p *fakePlanner) fullView() view.Change { return p.FullChange(p.incarnation, p.sequence) }

func (p *fakePlanner) nextChange() view.Change {
	p.sequence++
	return p.TakeChanges(p.incarnation, p.sequence)
}

func (p *fakePlanner) applyList(revision int64, complete bool, hosts ...view.Host) {
	p.ApplyList(view.Version{Revision: revision}, complete, hosts)
}

func TestBackoffDoublesAndDiffersBetweenForwarders(t *testing.T) {
	fourthDelays := map[policy.TenthMs]bool{}
	for seed := range uint64(20) {
		follower, now, delays := New(seed, config, []string{"p"}, 1, start), start, []policy.TenthMs(nil)
		for lastDialAt := now; len(delays) < 9; now += 5 * ms {
			if actions := follower.Tick(now); len(actions.Dial) > 0 {
				delays = append(delays, now-lastDialAt)
				lastDialAt = now
				actions.Dial[0].Disconnected(now)
			}
		}
		fourthDelays[delays[3]] = true
		if delays[1] > 60*ms || delays[8] < 2*second || delays[8] > 6*second {
			t.Errorf("delays between dials: %v", delays)
		}
	}
	if len(fourthDelays) < 10 {
		t.Errorf("20 forwarders have only %d different delays", len(fourthDelays))
	}
}

func TestRestartedPlannerWithoutStateRemovesNothing(t *testing.T) {
	follower := New(1, config, []string{"p"}, 1, start)
	planner, fake := follower.Planners()[0], &fakePlanner{incarnation: 1}
	fake.applyList(5, true, view.Host{Name: "a", Address: "x"}, view.Host{Name: "b", Address: "y", ListedState: policy.Draining})
	fake.AddEvidence(view.Evidence{Name: "a", Position: start - ms, Role: policy.Primary, RolePosition: start - ms}, start)
	fake.RouterCount = 4
	planner.Connected(start)
	planner.ApplyChange(start, fake.fullView())
	if actions := follower.Tick(start); len(actions.ChangedHosts) != 2 || actions.RouterCount != 4 || actions.NoPlanner {
		t.Fatalf("%+v", actions)
	}
	planner.Disconnected(start + ms)
	planner.Connected(start + 2*ms)
	empty := &fakePlanner{incarnation: 2}
	planner.ApplyChange(start+3*ms, empty.fullView())
	follower.Tick(start + 3*ms)
	a, _ := follower.View().Host("a")
	if b, _ := follower.View().Host("b"); a.Role != policy.Primary || b.ListedState != policy.Draining {
		t.Errorf("%+v %+v", a, b)
	}
	empty.applyList(4, true, view.Host{Name: "a", Address: "x"}, view.Host{Name: "b", Address: "y"})
	planner.ApplyChange(start+4*ms, empty.nextChange())
	if b, _ := follower.View().Host("b"); b.ListedState != policy.Draining {
		t.Error("an older list makes a draining host active again")
	}
}

func TestViewIsRetainedAndAgesWithoutPlanners(t *testing.T) {
	follower := New(1, config, []string{"p", "q"}, 9, start)
	if actions := follower.Tick(start); !actions.Changed || !actions.NoPlanner || actions.RouterCount != 9 || follower.ViewAge() != -1 || follower.HasHosts() {
		t.Errorf("at start: %+v", actions)
	}
	planner, fake := follower.Planners()[0], &fakePlanner{incarnation: 1}
	fake.applyList(5, true, view.Host{Name: "a", Address: "x"})
	fake.RouterCount = 4
	planner.Connected(start)
	planner.ApplyChange(start, fake.fullView())
	follower.Tick(start)
	planner.Disconnected(start + second)
	actions := follower.Tick(start + 60*second)
	if !actions.NoPlanner || actions.RouterCount != 4 || follower.ViewAge() != 60*second || !follower.HasHosts() || len(actions.RemovedHosts) > 0 {
		t.Errorf("%+v, age %d", actions, follower.ViewAge())
	}
}

func TestSilentPlannerIsDisconnected(t *testing.T) {
	follower := New(1, config, []string{"p"}, 1, start)
	planner, fake := follower.Planners()[0], &fakePlanner{incarnation: 1}
	fake.applyList(5, true, view.Host{Name: "a"})
	planner.Connected(start)
	planner.ApplyChange(start, fake.fullView())
	for now := start; now < start+2*second; now += 100 * ms {
		if actions := follower.Tick(now); len(actions.Disconnect) > 0 {
			t.Fatalf("disconnected after %d ms", (now-start)/10)
		}
	}
	if actions := follower.Tick(start + 2*second); len(actions.Disconnect) != 1 || !actions.NoPlanner {
		t.Errorf("%+v", actions)
	}
}

func TestLatenessIsTheWorstOfConnectedPlanners(t *testing.T) {
	follower := New(1, config, []string{"p", "q"}, 1, start)
	for i, lateness := range []uint8{3, 9} {
		fake := &fakePlanner{incarnation: uint64(i + 1)}
		fake.applyList(5, true, view.Host{Name: "a"})
		fake.SetLateness("a", lateness)
		follower.Planners()[i].Connected(start)
		follower.Planners()[i].ApplyChange(start, fake.fullView())
	}
	if actions := follower.Tick(start); len(actions.ChangedHosts) != 1 || actions.ChangedHosts[0].Lateness != 9 {
		t.Errorf("%+v", actions.ChangedHosts)
	}
	follower.Planners()[1].Disconnected(start + ms)
	if actions := follower.Tick(start + ms); len(actions.ChangedHosts) != 1 || actions.ChangedHosts[0].Lateness != 3 {
		t.Errorf("%+v", actions.ChangedHosts)
	}
}

func TestMissingChangeRequestsFullView(t *testing.T) {
	follower := New(1, config, []string{"p"}, 1, start)
	planner, fake := follower.Planners()[0], &fakePlanner{incarnation: 1}
	fake.applyList(5, true, view.Host{Name: "a"})
	planner.Connected(start)
	planner.ApplyChange(start, fake.fullView())
	fake.applyList(6, false, view.Host{Name: "b"})
	fake.nextChange() // lost
	fake.applyList(7, false, view.Host{Name: "c"})
	if needFullView := planner.ApplyChange(start+ms, fake.nextChange()); !needFullView || follower.GapResyncs != 1 {
		t.Error("a missing change is not detected")
	}
	if needFullView := planner.ApplyChange(start+2*ms, fake.fullView()); needFullView || follower.View().Len() != 3 {
		t.Errorf("%d hosts after the full view", follower.View().Len())
	}
}

func TestStoredViewIsReplacedByNewerLists(t *testing.T) {
	fake := &fakePlanner{incarnation: 9}
	fake.applyList(5, true, view.Host{Name: "a", Address: "x"}, view.Host{Name: "b", Address: "y", ListedState: policy.Draining}, view.Host{Name: "gone"})
	fake.AddEvidence(view.Evidence{Name: "a", Position: start + 60*second, Role: policy.Primary, RolePosition: start + 60*second}, start+90*second)
	follower := New(1, config, []string{"p"}, 1, start)
	follower.RestoreView(fake.fullView())
	a, _ := follower.View().Host("a")
	b, _ := follower.View().Host("b")
	if !follower.HasHosts() || a.Address != "x" || a.Role == policy.Primary || b.ListedState != policy.Draining || !follower.NoPlanner() {
		t.Errorf("%+v %+v", a, b)
	}
	later := &fakePlanner{incarnation: 2}
	later.applyList(7, true, view.Host{Name: "a", Address: "z"}, view.Host{Name: "b", Address: "y"})
	follower.Planners()[0].Connected(start)
	follower.Planners()[0].ApplyChange(start, later.fullView())
	a, _ = follower.View().Host("a")
	b, _ = follower.View().Host("b")
	if _, known := follower.View().Host("gone"); known || a.Address != "z" || b.ListedState != policy.Active {
		t.Errorf("%v %+v %+v", known, a, b)
	}
	truncated := fake.fullView()
	truncated.Hosts = truncated.Hosts[:1]
	other := New(1, config, nil, 1, start)
	if other.RestoreView(truncated); other.HasHosts() {
		t.Error("a view that does not match its digest is used")
	}
}
