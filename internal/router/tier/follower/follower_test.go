package follower

import (
	"testing"

	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	ms    = policy.Tenth(10)
	start = 1000 * second
)

var config = Terms{Again: 50 * ms, Most: 5 * second, Report: 200 * ms, Silent: 2 * second}

// fakePlanner is a planner's view with its changes.
type fakePlanner struct {
	view.View
	incarnation, sequence uint64
}

func (s *fakePlanner) whole() view.Change { return s.Whole(s.incarnation, s.sequence) }

func (s *fakePlanner) next() view.Change {
	s.sequence++
	return s.TakeChanges(s.incarnation, s.sequence)
}

func (s *fakePlanner) list(rev int64, whole bool, hosts ...view.Host) {
	s.List(view.Version{Rev: rev}, whole, hosts)
}

func TestBackoffDoublesAndDiffersBetweenForwarders(t *testing.T) {
	fourthWaits := map[policy.Tenth]bool{}
	for seed := range uint64(20) {
		f, now, waits := New(seed, config, []string{"p"}, 1, start), start, []policy.Tenth(nil)
		for at := now; len(waits) < 9; now += 5 * ms {
			if actions := f.Tick(now); len(actions.Dial) > 0 {
				waits = append(waits, now-at)
				at = now
				actions.Dial[0].Lost(now)
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
	f := New(1, config, []string{"p"}, 1, start)
	p, s := f.Planners()[0], &fakePlanner{incarnation: 1}
	s.list(5, true, view.Host{Name: "a", Address: "x"}, view.Host{Name: "b", Address: "y", Standing: policy.Draining})
	s.Believe(view.Evidence{Name: "a", Pos: start - ms, Role: policy.Primary, RoleAt: start - ms}, start)
	s.Routers = 4
	p.Connected(start)
	p.Changed(start, s.whole())
	if actions := f.Tick(start); len(actions.Hosts) != 2 || actions.Routers != 4 || actions.Blind {
		t.Fatalf("%+v", actions)
	}
	p.Lost(start + ms)
	p.Connected(start + 2*ms)
	empty := &fakePlanner{incarnation: 2}
	p.Changed(start+3*ms, empty.whole())
	f.Tick(start + 3*ms)
	a, _ := f.View().Host("a")
	if b, _ := f.View().Host("b"); a.Role != policy.Primary || b.Standing != policy.Draining {
		t.Errorf("%+v %+v", a, b)
	}
	empty.list(4, true, view.Host{Name: "a", Address: "x"}, view.Host{Name: "b", Address: "y"})
	p.Changed(start+4*ms, empty.next())
	if b, _ := f.View().Host("b"); b.Standing != policy.Draining {
		t.Error("an older list ends the drain")
	}
}

func TestViewIsRetainedAndAgesWithoutPlanners(t *testing.T) {
	f := New(1, config, []string{"p", "q"}, 9, start)
	if actions := f.Tick(start); !actions.Told || !actions.Blind || actions.Routers != 9 || f.Age() != -1 || f.Ready() {
		t.Errorf("at start: %+v", actions)
	}
	p, s := f.Planners()[0], &fakePlanner{incarnation: 1}
	s.list(5, true, view.Host{Name: "a", Address: "x"})
	s.Routers = 4
	p.Connected(start)
	p.Changed(start, s.whole())
	f.Tick(start)
	p.Lost(start + second)
	actions := f.Tick(start + 60*second)
	if !actions.Blind || actions.Routers != 4 || f.Age() != 60*second || !f.Ready() || len(actions.Dropped) > 0 {
		t.Errorf("%+v, age %d", actions, f.Age())
	}
}

func TestSilentPlannerIsDisconnected(t *testing.T) {
	f := New(1, config, []string{"p"}, 1, start)
	p, s := f.Planners()[0], &fakePlanner{incarnation: 1}
	s.list(5, true, view.Host{Name: "a"})
	p.Connected(start)
	p.Changed(start, s.whole())
	for now := start; now < start+2*second; now += 100 * ms {
		if actions := f.Tick(now); len(actions.Cut) > 0 {
			t.Fatalf("disconnected after %d ms", (now-start)/10)
		}
	}
	if actions := f.Tick(start + 2*second); len(actions.Cut) != 1 || !actions.Blind {
		t.Errorf("%+v", actions)
	}
}

func TestLatenessIsTheWorstOfConnectedPlanners(t *testing.T) {
	f := New(1, config, []string{"p", "q"}, 1, start)
	for i, late := range []uint8{3, 9} {
		s := &fakePlanner{incarnation: uint64(i + 1)}
		s.list(5, true, view.Host{Name: "a"})
		s.Lateness("a", late)
		f.Planners()[i].Connected(start)
		f.Planners()[i].Changed(start, s.whole())
	}
	if actions := f.Tick(start); len(actions.Hosts) != 1 || actions.Hosts[0].Late != 9 {
		t.Errorf("%+v", actions.Hosts)
	}
	f.Planners()[1].Lost(start + ms)
	if actions := f.Tick(start + ms); len(actions.Hosts) != 1 || actions.Hosts[0].Late != 3 {
		t.Errorf("%+v", actions.Hosts)
	}
}

func TestMissingChangeRequestsFullView(t *testing.T) {
	f := New(1, config, []string{"p"}, 1, start)
	p, s := f.Planners()[0], &fakePlanner{incarnation: 1}
	s.list(5, true, view.Host{Name: "a"})
	p.Connected(start)
	p.Changed(start, s.whole())
	s.list(6, false, view.Host{Name: "b"})
	s.next() // is lost
	s.list(7, false, view.Host{Name: "c"})
	if want := p.Changed(start+ms, s.next()); !want || f.GapResyncs != 1 {
		t.Error("a gap is not noticed")
	}
	if want := p.Changed(start+2*ms, s.whole()); want || f.View().Len() != 3 {
		t.Errorf("%d hosts after the full view", f.View().Len())
	}
}

func TestStoredViewIsReplacedByNewerLists(t *testing.T) {
	s := &fakePlanner{incarnation: 9}
	s.list(5, true, view.Host{Name: "a", Address: "x"}, view.Host{Name: "b", Address: "y", Standing: policy.Draining}, view.Host{Name: "gone"})
	s.Believe(view.Evidence{Name: "a", Pos: start + 60*second, Role: policy.Primary, RoleAt: start + 60*second}, start+90*second)
	f := New(1, config, []string{"p"}, 1, start)
	f.Kept(s.whole())
	a, _ := f.View().Host("a")
	b, _ := f.View().Host("b")
	if !f.Ready() || a.Address != "x" || a.Role == policy.Primary || b.Standing != policy.Draining || !f.Blind() {
		t.Errorf("%+v %+v", a, b)
	}
	later := &fakePlanner{incarnation: 2}
	later.list(7, true, view.Host{Name: "a", Address: "z"}, view.Host{Name: "b", Address: "y"})
	f.Planners()[0].Connected(start)
	f.Planners()[0].Changed(start, later.whole())
	a, _ = f.View().Host("a")
	b, _ = f.View().Host("b")
	if _, there := f.View().Host("gone"); there || a.Address != "z" || b.Standing != policy.In {
		t.Errorf("%v %+v %+v", there, a, b)
	}
	torn := s.whole()
	torn.Hosts = torn.Hosts[:1]
	other := New(1, config, nil, 1, start)
	if other.Kept(torn); other.Ready() {
		t.Error("a view that does not match its digest is used")
	}
}
