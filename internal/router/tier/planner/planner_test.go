package planner

import (
	"fmt"
	"testing"

	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/policy"
)

const (
	ms    = policy.TenthMs(10)
	start = 1000 * second
)

var config = Config{
	ChangeInterval: 100 * ms, ProbeInterval: 500 * ms, PrimaryProbeInterval: 50 * ms, MaxProbesInFlight: 8, ProbesPerSecond: 100, MaxForwarders: 5000, ReportsPerSecond: 1000,
	FramesPerSecond: 20000, PositionBytesPerSecond: 20_000_000,
}

// newPlanner returns a planner with a replica set of three hosts, of which a reports to be the primary.
func newPlanner() (*Planner, policy.TenthMs) {
	planner := New(7, config, start)
	planner.ApplyList(start, 1, true, []view.Host{{Name: "a", Set: 1}, {Name: "b", Set: 1}, {Name: "c", Set: 1}})
	for _, name := range planner.Tick(start + 200*ms).Probes {
		role := policy.Replica
		if name == "a" {
			role = policy.Primary
		}
		planner.ProbeFinished(start+210*ms, name, true, start, role, start+200*ms)
	}
	return planner, start + 210*ms
}

// reportOf returns a report of one response from a host at a position.
func reportOf(name string, position policy.TenthMs, role policy.Role) link.Report {
	return link.Report{Observations: []link.Observation{{Evidence: view.Evidence{Name: name, Position: position, Role: role, RolePosition: position}, Responses: 1, LatenessSum: 200}}}
}

func TestHostsWithReportedResponsesAreNotProbed(t *testing.T) {
	planner, now := newPlanner()
	forwarder := planner.AddForwarder(now, "f", 1)
	for i := range 50 {
		now += 100 * ms
		forwarder.HandleReport(now, reportOf("a", now-ms, policy.Primary))
		forwarder.HandleReport(now, reportOf("b", now-ms, policy.Replica))
		for _, name := range planner.Tick(now).Probes {
			if i > 5 && name != "c" {
				t.Fatalf("%s is probed", name)
			}
			planner.ProbeFinished(now, name, true, now-ms, policy.Replica, now)
		}
	}
	if h, _ := planner.View().Host("b"); h.Position < now-200*ms || h.Lateness != 3 {
		t.Errorf("%+v", h)
	}
}

func TestSetWithUnresponsivePrimaryIsProbedOften(t *testing.T) {
	planner, now := newPlanner()
	probeCounts := map[string]int{}
	for range 100 {
		now += 10 * ms
		for _, name := range planner.Tick(now).Probes {
			probeCounts[name]++
			planner.ProbeFinished(now+ms, name, name != "a", now, policy.Replica, now)
		}
	}
	if probeCounts["b"] < 5 || probeCounts["c"] < 5 || probeCounts["a"] > probeCounts["b"] {
		t.Errorf("probes in one second: %v", probeCounts)
	}
	planner.ProbeFinished(now+2*ms, "b", true, now+ms, policy.Primary, now+ms)
	planner.probesInFlight++
	if actions := planner.Tick(now + 200*ms); actions.Change == nil || len(actions.Change.Hosts) == 0 {
		t.Error("the new primary is not published immediately")
	}
	if primary, _ := planner.View().Primary(1); primary != "b" {
		t.Errorf("the primary is %q", primary)
	}
}

func TestForwardersCountByLeaseOfEachProcess(t *testing.T) {
	planner, now := newPlanner()
	oldProcess, newProcess := planner.AddForwarder(now, "f", 1), planner.AddForwarder(now, "f", 2)
	if planner.Tick(now); planner.LeaseCount() != 0 {
		t.Error("a forwarder holds a lease after a greeting alone, which may be a replay")
	}
	oldProcess.RequestFullView(now)
	newProcess.RequestFullView(now)
	if planner.Tick(now); planner.LeaseCount() != 2 || planner.DuplicateLeases != 1 {
		t.Errorf("%d leases, %d duplicates", planner.LeaseCount(), planner.DuplicateLeases)
	}
	oldProcess.Disconnected() // the lease stays valid until it expires
	if planner.Tick(now + second); planner.LeaseCount() != 2 {
		t.Errorf("%d leases after the disconnection", planner.LeaseCount())
	}
	for now += 100 * ms; now < start+10*second; now += 100 * ms {
		newProcess.RequestFullView(now)
		planner.Tick(now)
	}
	if planner.LeaseCount() != 1 {
		t.Errorf("%d leases after the expiry", planner.LeaseCount())
	}
}

func TestHalfOpenLinkIsClosed(t *testing.T) {
	planner, now := newPlanner()
	forwarder := planner.AddForwarder(now, "f", 1)
	forwarder.RequestFullView(now)
	for end := now + 4*second; now < end; now += 100 * ms {
		if disconnected := planner.Tick(now).Disconnect; len(disconnected) > 0 {
			if disconnected[0] != forwarder || planner.ForwarderCount() != 0 {
				t.Error("another forwarder is disconnected, or it is still counted")
			}
			return
		}
	}
	t.Error("the forwarder is not disconnected")
}

func TestForwardersOverCapacityAreRejected(t *testing.T) {
	planner := New(1, Config{MaxForwarders: 1, ReportsPerSecond: 1, FramesPerSecond: 1, PositionBytesPerSecond: 1}, start)
	if planner.AddForwarder(start, "a", 1) == nil || planner.AddForwarder(start, "b", 2) != nil {
		t.Error("MaxForwarders is not enforced")
	}
}

func TestImplausibleEvidenceIsIgnored(t *testing.T) {
	planner, now := newPlanner()
	forwarder := planner.AddForwarder(now, "f", 1)
	forwarder.HandleReport(now, reportOf("b", now+second, policy.Primary))
	forwarder.HandleReport(now, link.Report{Observations: []link.Observation{{Evidence: view.Evidence{Name: "nobody", Position: 1}}}})
	planner.Tick(now + 200*ms)
	if h, _ := planner.View().Host("b"); h.Role == policy.Primary || h.Position > now {
		t.Errorf("%+v", h)
	}
}

func TestColdWorkIsSummedPerStartOfTheHost(t *testing.T) {
	planner, now := newPlanner()
	forwarder := planner.AddForwarder(now, "f", 1)
	planner.ApplyList(now, 2, false, []view.Host{{Name: "b", Set: 1, BootedAt: now}})
	report := func(bootedAt, coldWork int64) {
		forwarder.HandleReport(now, link.Report{Observations: []link.Observation{{Evidence: view.Evidence{Name: "b"}, BootedAt: bootedAt, ColdWork: coldWork}}})
	}
	report(now, 3000)
	report(now, 5000)
	report(now-ms, 90000) // another start of the host
	if planner.ColdWork != 5000 {
		t.Errorf("%d", planner.ColdWork)
	}
}

// BenchmarkPlanner simulates one second of a planner per iteration, in which each forwarder reports at the requested
// interval and positions advance. It measures the cost of that second and the planner's traffic.
func BenchmarkPlanner(b *testing.B) {
	for _, hosts := range []int{100, 10000} {
		for _, forwarders := range []int{40, 400, 4000} {
			b.Run(fmt.Sprintf("hosts=%d/forwarders=%d", hosts, forwarders), func(b *testing.B) {
				load := newLoad(hosts, forwarders)
				b.ResetTimer()
				for range b.N {
					load.runSecond()
				}
				b.ReportMetric(float64(load.bytes)/float64(b.N), "bytes/s")
				b.ReportMetric(float64(load.frames)/float64(b.N), "frames/s")
				b.ReportMetric(float64(load.reports)/float64(b.N), "reports/s")
			})
		}
	}
}

// load is a planner with forwarders that report at the interval that the planner requests.
type load struct {
	planner    *Planner
	hosts      []view.Host
	forwarders []*Forwarder
	reportAt   []policy.TenthMs // time of each forwarder's next report
	now        policy.TenthMs

	bytes, frames, reports int
}

func newLoad(hosts, forwarders int) *load {
	l := &load{planner: New(7, config, start), reportAt: make([]policy.TenthMs, forwarders), now: start}
	for i := range hosts {
		l.hosts = append(l.hosts, view.Host{
			Name: fmt.Sprintf("host-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:6543", i/250, i%250), Set: int64(i / 3), Size: 1,
		})
	}
	l.planner.ApplyList(start, 1, true, l.hosts)
	for i := range forwarders {
		l.forwarders = append(l.forwarders, l.planner.AddForwarder(start, fmt.Sprintf("f%d", i), uint64(i+1)))
	}
	return l
}

func (l *load) runSecond() {
	for end := l.now + second; l.now < end; l.now += 25 * ms {
		for i := range l.forwarders {
			if l.now >= l.reportAt[i] {
				l.reportAt[i] = l.now + l.planner.reportInterval()
				l.report(i)
			}
		}
		l.tick()
	}
}

// report sends a forwarder's report of responses from ten hosts.
func (l *load) report(forwarder int) {
	l.reports++
	report := link.Report{}
	for i := range 10 {
		host := l.hosts[(forwarder*7+i*13)%len(l.hosts)]
		report.Observations = append(report.Observations, reportOf(host.Name, l.now-ms, policy.Replica).Observations...)
	}
	l.forwarders[forwarder].HandleReport(l.now, report)
}

func (l *load) tick() {
	actions := l.planner.Tick(l.now)
	for _, name := range actions.Probes {
		l.planner.ProbeFinished(l.now, name, true, l.now-ms, policy.Replica, l.now)
	}
	if actions.Change != nil {
		l.bytes += len(link.EncodeBody(actions.Change)) * len(l.forwarders)
		l.frames += len(l.forwarders)
	}
}
