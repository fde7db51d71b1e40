package planner

import (
	"fmt"
	"testing"

	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	ms    = policy.Tenth(10)
	start = 1000 * second
)

var terms = Terms{Beat: 100 * ms, Probe: 500 * ms, Search: 50 * ms, Probes: 8, PerSecond: 100, Forwarders: 5000, Reports: 1000,
	Frames: 20000, Bytes: 20_000_000}

// fresh is a planner with a set of three hosts, of which a says that it is the primary.
func fresh() (*Planner, policy.Tenth) {
	p := New(7, terms, start)
	p.Listed(start, 1, true, []view.Host{{Name: "a", Set: 1}, {Name: "b", Set: 1}, {Name: "c", Set: 1}})
	for _, name := range p.Tick(start + 200*ms).Probe {
		role := policy.Replica
		if name == "a" {
			role = policy.Primary
		}
		p.Probed(start+210*ms, name, true, start, role, start+200*ms)
	}
	return p, start + 210*ms
}

func heard(name string, pos policy.Tenth, role policy.Role) link.Report {
	return link.Report{Heard: []link.Heard{{Evidence: view.Evidence{Name: name, Pos: pos, Role: role, RoleAt: pos}, Count: 1, Sum: 200}}}
}

func TestWhatForwardersHearOfIsNotProbed(t *testing.T) {
	p, now := fresh()
	f := p.Greeted(now, "f", 1)
	for i := range 50 {
		now += 100 * ms
		f.Reported(now, heard("a", now-ms, policy.Primary))
		f.Reported(now, heard("b", now-ms, policy.Replica))
		for _, name := range p.Tick(now).Probe {
			if i > 5 && name != "c" {
				t.Fatalf("%s is probed", name)
			}
			p.Probed(now, name, true, now-ms, policy.Replica, now)
		}
	}
	if h, _ := p.View().Host("b"); h.Pos < now-200*ms || h.Late != 3 {
		t.Errorf("%+v", h)
	}
}

func TestASetWhosePrimaryIsSilentIsSearchedOften(t *testing.T) {
	p, now := fresh()
	asked := map[string]int{}
	for range 100 {
		now += 10 * ms
		for _, name := range p.Tick(now).Probe {
			asked[name]++
			p.Probed(now+ms, name, name != "a", now, policy.Replica, now)
		}
	}
	if asked["b"] < 5 || asked["c"] < 5 || asked["a"] > asked["b"] {
		t.Errorf("asked %v in a second", asked)
	}
	p.Probed(now+2*ms, "b", true, now+ms, policy.Primary, now+ms)
	p.probesInFlight++
	if c := p.Tick(now + 200*ms); c.Change == nil || len(c.Change.Hosts) == 0 {
		t.Error("the new primary is not told at once")
	}
	if primary, _ := p.View().Primary(1); primary != "b" {
		t.Errorf("the primary is %q", primary)
	}
}

func TestForwardersCountByLeaseAndTwoOfOneNameCountTwice(t *testing.T) {
	p, now := fresh()
	one, two := p.Greeted(now, "f", 1), p.Greeted(now, "f", 2)
	if p.Tick(now); p.Routers() != 0 {
		t.Error("a greeting alone counts, which could be one that is sent again")
	}
	one.Wanted(now)
	two.Wanted(now)
	if p.Tick(now); p.Routers() != 2 || p.DuplicateLeases != 1 {
		t.Errorf("%d count, %d of one name", p.Routers(), p.DuplicateLeases)
	}
	one.Left() // cut off from here alone, perhaps: it counts for a while
	if p.Tick(now + second); p.Routers() != 2 {
		t.Errorf("%d count", p.Routers())
	}
	for now += 100 * ms; now < start+10*second; now += 100 * ms {
		two.Wanted(now)
		p.Tick(now)
	}
	if p.Routers() != 1 {
		t.Errorf("%d count after the lease", p.Routers())
	}
}

func TestAHalfOpenLinkIsCut(t *testing.T) {
	p, now := fresh()
	f := p.Greeted(now, "f", 1)
	f.Wanted(now)
	for end := now + 4*second; now < end; now += 100 * ms {
		if cut := p.Tick(now).Cut; len(cut) > 0 {
			if cut[0] != f || p.ForwarderCount() != 0 {
				t.Error("another was cut")
			}
			return
		}
	}
	t.Error("it is kept for good")
}

func TestMoreThanAreTakenAreRefused(t *testing.T) {
	p := New(1, Terms{Forwarders: 1, Reports: 1, Frames: 1, Bytes: 1}, start)
	if p.Greeted(start, "a", 1) == nil || p.Greeted(start, "b", 2) != nil {
		t.Error("the limit does not hold")
	}
}

func TestWhatNoHostCanHaveSaidIsPassedOver(t *testing.T) {
	p, now := fresh()
	f := p.Greeted(now, "f", 1)
	f.Reported(now, heard("b", now+second, policy.Primary))
	f.Reported(now, link.Report{Heard: []link.Heard{{Evidence: view.Evidence{Name: "nobody", Pos: 1}}}})
	p.Tick(now + 200*ms)
	if h, _ := p.View().Host("b"); h.Role == policy.Primary || h.Pos > now {
		t.Errorf("%+v", h)
	}
}

func TestColdWorkIsSummedByLivesAndStartsAnewWithTheHost(t *testing.T) {
	p, now := fresh()
	f := p.Greeted(now, "f", 1)
	p.Listed(now, 2, false, []view.Host{{Name: "b", Set: 1, Boot: now}})
	cold := func(boot, work int64) {
		f.Reported(now, link.Report{Heard: []link.Heard{{Evidence: view.Evidence{Name: "b"}, Boot: boot, Cold: work}}})
	}
	cold(now, 3000)
	cold(now, 5000)
	cold(now-ms, 90000) // of another start
	if p.ColdWork != 5000 {
		t.Errorf("%d", p.ColdWork)
	}
}

// BenchmarkPlanner plays a second of a planner's life: every forwarder reports what it heard, every host's
// position moves. It states bytes a second, and what one second costs.
func BenchmarkPlanner(b *testing.B) {
	for _, hosts := range []int{100, 10000} {
		for _, forwarders := range []int{40, 400, 4000} {
			b.Run(fmt.Sprintf("hosts=%d/forwarders=%d", hosts, forwarders), func(b *testing.B) {
				p := New(7, terms, start)
				var list []view.Host
				for i := range hosts {
					list = append(list, view.Host{Name: fmt.Sprintf("host-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:6543", i/250, i%250),
						Set: int64(i / 3), Size: 1})
				}
				p.Listed(start, 1, true, list)
				var all []*Forwarder
				for i := range forwarders {
					all = append(all, p.Greeted(start, fmt.Sprintf("f%d", i), uint64(i+1)))
				}
				now, bytes, frames, reports := policy.Tenth(start), 0, 0, 0
				due := make([]policy.Tenth, forwarders)
				b.ResetTimer()
				for range b.N {
					for end := now + second; now < end; now += 25 * ms {
						for i, f := range all {
							if now < due[i] {
								continue
							}
							due[i] = now + p.reportInterval()
							reports++
							r := link.Report{}
							for k := range 10 {
								h := list[(i*7+k*13)%hosts]
								r.Heard = append(r.Heard, heard(h.Name, now-ms, policy.Replica).Heard...)
							}
							f.Reported(now, r)
						}
						do := p.Tick(now)
						for _, name := range do.Probe {
							p.Probed(now, name, true, now-ms, policy.Replica, now)
						}
						if do.Change != nil {
							n := len(link.Body(do.Change))
							bytes += n * forwarders
							frames += forwarders
						}
					}
				}
				b.ReportMetric(float64(bytes)/float64(b.N), "bytes/s")
				b.ReportMetric(float64(frames)/float64(b.N), "frames/s")
				b.ReportMetric(float64(reports)/float64(b.N), "reports/s")
			})
		}
	}
}
