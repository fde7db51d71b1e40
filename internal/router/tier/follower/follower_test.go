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

// fakePlanner is a planner's view with its changes.
type fakePlanner struct {
	view.View
	incarnation, sequence uint64
}

func (s *fakePlanner) whole() view.Change { return s.FullChange(s.incarnation, s.sequence) }

func (s *fakePlanner) next() view.Change {
	s.sequence++
	return s.TakeChanges(s.incarnation, s.sequence)
}

func (s *fakePlanner) list(rev int64, whole bool, hosts ...view.Host) {
	s.ApplyList(view.Version{Revision: rev}, whole, hosts)
}

func TestBackoffDoublesAndDiffersBetweenForwarders(t *testing.T) {
	fourthWaits := map[policy.TenthMs]bool{}
	for seed := range uint64(20) {
		follower, now, waits := New(seed, config, []string{"p"}, 1, start), start, []policy.TenthMs(nil)
		for at := now; len(waits) < 9; now += 5 * ms {
			if actions := follower.Tick(now); len(actions.Dial) > 0 {
				waits = append(waits, now-at)
				at = now
				actions.Dial[0].Disconnected(now)
			}
		}
		fourthWaits[waits[3]] = true
		if waits[1] > 60*ms || waits[8] < 2*second || waits[8] > 6*second {
			t.Errorf("waits of %v", waits)
		}
	}
	if len(fourthWaits) < 10 {
		t.Errorf("20 forwarders come back at %d moments", len(fourthWaits))
	}
}

func TestRestartedPlannerWithoutStateRemovesNothing(t *testing.T) {
	follower := New(1, config, []string{"p"}, 1, start)
	planner, fake := follower.Planners()[0], &fakePlanner{incarnation: 1}
	fake.list(5, true, view.Host{Name: "a", Address: "x"}, view.Host{Name: "b", Address: "y", Standing: policy.Draining})
	fake.AddEvidence(view.Evidence{Name: "a", Position: start - ms, Role: policy.Primary, RolePosition: start - ms}, start)
	fake.RouterCount = 4
	planner.Connected(start)
	planner.ApplyChange(start, fake.whole())
	if actions := follower.Tick(start); len(actions.ChangedHosts) != 2 || actions.RouterCount != 4 || actions.NoPlanner {
		t.Fatalf("%+v", actions)
	}
	planner.Disconnected(start + ms)
	planner.Connected(start + 2*ms)
	empty := &fakePlanner{incarnation: 2}
	planner.ApplyChange(start+3*ms, empty.whole())
	follower.Tick(start + 3*ms)
	a, _ := follower.View().Host("a")
	if b, _ := follower.View().Host("b"); a.Role != policy.Primary || b.Standing != policy.Draining {
		t.Errorf("%+v %+v", a, b)
	}
	empty.list(4, true, view.Host{Name: "a", Address: "x"}, view.Host{Name: "b", Address: "y"})
	planner.ApplyChange(start+4*ms, empty.next())
	if b, _ := follower.View().Host("b"); b.Standing != policy.Draining {
		t.Error("an older list ends the drain")
	}
}

func TestViewIsRetainedAndAgesWithoutPlanners(t *testing.T) {
	follower := New(1, config, []string{"p", "q"}, 9, start)
	if actions := follower.Tick(start); !actions.Changed || !actions.NoPlanner || actions.RouterCount != 9 || follower.ViewAge() != -1 || follower.HasHosts() {
		t.Errorf("at start: %+v", actions)
	}
	planner, fake := follower.Planners()[0], &fakePlanner{incarnation: 1}
	fake.list(5, true, view.Host{Name: "a", Address: "x"})
	fake.RouterCount = 4
	planner.Connected(start)
	planner.ApplyChange(start, fake.whole())
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
	fake.list(5, true, view.Host{Name: "a"})
	planner.Connected(start)
	planner.ApplyChange(start, fake.whole())
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
	for i, late := range []uint8{3, 9} {
		fake := &fakePlanner{incarnation: uint64(i + 1)}
		fake.list(5, true, view.Host{Name: "a"})
		fake.SetLateness("a", late)
		follower.Planners()[i].Connected(start)
		follower.Planners()[i].ApplyChange(start, fake.whole())
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
	fake.list(5, true, view.Host{Name: "a"})
	planner.Connected(start)
	planner.ApplyChange(start, fake.whole())
	fake.list(6, false, view.Host{Name: "b"})
	fake.next() // is lost
	fake.list(7, false, view.Host{Name: "c"})
	if want := planner.ApplyChange(start+ms, fake.next()); !want || follower.GapResyncs != 1 {
		t.Error("a gap is not noticed")
	}
	if want := planner.ApplyChange(start+2*ms, fake.whole()); want || follower.View().Len() != 3 {
		t.Errorf("%d hosts after the full view", follower.View().Len())
	}
}

func TestStoredViewIsReplacedByNewerLists(t *testing.T) {
	fake := &fakePlanner{incarnation: 9}
	fake.list(5, true, view.Host{Name: "a", Address: "x"}, view.Host{Name: "b", Address: "y", Standing: policy.Draining}, view.Host{Name: "gone"})
	fake.AddEvidence(view.Evidence{Name: "a", Position: start + 60*second, Role: policy.Primary, RolePosition: start + 60*second}, start+90*second)
	follower := New(1, config, []string{"p"}, 1, start)
	follower.RestoreView(fake.whole())
	a, _ := follower.View().Host("a")
	b, _ := follower.View().Host("b")
	if !follower.HasHosts() || a.Address != "x" || a.Role == policy.Primary || b.Standing != policy.Draining || !follower.NoPlanner() {
		t.Errorf("%+v %+v", a, b)
	}
	later := &fakePlanner{incarnation: 2}
	later.list(7, true, view.Host{Name: "a", Address: "z"}, view.Host{Name: "b", Address: "y"})
	follower.Planners()[0].Connected(start)
	follower.Planners()[0].ApplyChange(start, later.whole())
	a, _ = follower.View().Host("a")
	b, _ = follower.View().Host("b")
	if _, there := follower.View().Host("gone"); there || a.Address != "z" || b.Standing != policy.Active {
		t.Errorf("%v %+v %+v", there, a, b)
	}
	torn := fake.whole()
	torn.Hosts = torn.Hosts[:1]
	other := New(1, config, nil, 1, start)
	if other.RestoreView(torn); other.HasHosts() {
		t.Error("a view that does not match its digest is used")
	}
}
