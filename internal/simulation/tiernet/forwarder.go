package tiernet

import (
	"maps"
	"slices"
	"strconv"

	"ferrypitch/internal/router/tier/follower"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/planner"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/internal/router/trace/record"
	"ferrypitch/policy"
)

// Ranges of the delays of links.
const (
	minChangeDelay = millisecond / 2
	maxChangeDelay = 4 * millisecond
	minDialDelay   = millisecond
	maxDialDelay   = 6 * millisecond
)

// Settings of traces.
const (
	traceBlockBytes = 64 << 10
	traceAll        = 1000 // sampled sessions per mille: all of them
)

// forwarderProcess simulates a forwarder's process. It runs the real follower of the planners and the real decision module, and
// does the work of the program's routing goroutine.
type forwarderProcess struct {
	w               *World
	name            string
	incarnation     int
	up              bool
	partitionedFrom map[int]bool // planners that the forwarder is partitioned from, by index
	follower        *follower.Follower
	module          *policy.Router
	trace           *record.Recorder // nil unless the world writes traces
	groups          []*policy.CommandGroup
	commands        map[string]*command // by id; unanswered or with a dispatch in flight

	moduleHosts     map[string]*policy.Host // the module's hosts, by name
	moduleHostNames map[*policy.Host]string

	// Fields below are by host name.
	drainedAt    map[string]policy.TenthMs    // when the forwarder learned that a host is drained or removed
	knownStarts  map[string]policy.TenthMs    // the last start of a host that the forwarder knows of
	demoted      map[string]bool              // the host's last answer with a position said that the host is not the primary
	observations map[string]*link.Observation // collected for the next report
	lastObserved map[string]policy.TenthMs    // when an answer last contained a position
}

// newGroups returns the command groups of a forwarder: reads with a staleness bound, reads that see the session's last write,
// and writes.
func newGroups() []*policy.CommandGroup {
	return []*policy.CommandGroup{
		{ConsistencyLevel: policy.BoundedStaleness, MaxStaleness: second, ResponseTarget: 250 * millisecond, Timeout: second, Benefit: 1, LateBenefitFraction: 0.3},
		{ConsistencyLevel: policy.ReadYourWrites, ResponseTarget: 250 * millisecond, Timeout: second, Benefit: 1, LateBenefitFraction: 0.3},
		{
			IdempotencyClass: policy.NotIdempotent, ConsistencyLevel: policy.Write, ResponseTarget: 400 * millisecond, Timeout: 3 * second, Benefit: 3, LateBenefitFraction: 0.3,
		},
	}
}

func (f *forwarderProcess) start() {
	w := f.w
	f.incarnation++
	f.up = true
	f.commands = map[string]*command{}
	f.moduleHosts, f.moduleHostNames = map[string]*policy.Host{}, map[*policy.Host]string{}
	f.drainedAt, f.knownStarts, f.demoted = map[string]policy.TenthMs{}, map[string]policy.TenthMs{}, map[string]bool{}
	f.observations, f.lastObserved = map[string]*link.Observation{}, map[string]policy.TenthMs{}
	f.groups = newGroups()
	seed := w.Rand.Uint64()
	f.startModule(uint32(seed))
	f.startFollower(seed)
	f.runTicks(f.incarnation)
}

func (f *forwarderProcess) startModule(seed uint32) {
	deployment := policy.Deployment{
		Seed:               seed,
		Tick:               5 * millisecond,
		RouterCount:        f.w.Forwarders,
		MaxDispatches:      6,
		UsesPlanners:       true,
		MaxRetryAfter:      500 * millisecond,
		ColdOverloadFactor: overloadFactor,
		ColdOverloadWindow: overloadWindow,
		ColdCapacity:       coldStartFraction,
		ColdDuration:       warmUpTime,
		Groups:             f.groups,
	}
	if f.w.newSink != nil {
		sink := f.w.newSink(f.name, f.incarnation, deployment)
		f.trace = record.New(sink, traceBlockBytes, traceAll, [32]byte{}, true)
		f.trace.SetTime(f.w.Now)
	}
	f.module = policy.New(f, deployment, f.w.Now)
}

func (f *forwarderProcess) startFollower(seed uint64) {
	var addresses []string
	for i := range f.w.planners {
		addresses = append(addresses, strconv.Itoa(i))
	}
	f.follower = follower.New(seed, follower.Config{
		InitialBackoff: 50 * millisecond,
		MaxBackoff:     5 * second,
		ReportInterval: 200 * millisecond,
		PlannerTimeout: 2 * second,
	}, addresses, f.w.Forwarders, f.w.Now)
}

// kill ends a forwarder. Its commands are dropped without a final answer, which is not a violation.
func (f *forwarderProcess) kill() {
	f.w.LogFault("%s dies", f.name)
	f.up = false
	for _, p := range f.w.planners {
		f.closeLink(p)
	}
	clear(f.commands)
}

// isRunning reports whether an incarnation of the forwarder still runs.
func (f *forwarderProcess) isRunning(incarnation int) bool {
	return f.up && f.incarnation == incarnation
}

// closeLink closes a planner's end of the link to it.
func (f *forwarderProcess) closeLink(p *plannerProcess) {
	if link := p.links[f]; link != nil {
		link.Disconnected()
		delete(p.links, f)
	}
}

// sendToPlanner calls do with the planner's end of the link after the network delay, unless the link has been closed by then.
func (f *forwarderProcess) sendToPlanner(p *plannerProcess, incarnation uint64, do func(link *planner.Forwarder)) {
	f.w.afterNetwork(func() {
		if link := p.links[f]; link != nil && p.incarnation == incarnation {
			do(link)
		}
	})
}

// notifyDisconnect tells the forwarder after the network delay that a link was closed. Over a partitioned link it only learns of
// a reset by the planner's machine.
func (f *forwarderProcess) notifyDisconnect(p *plannerProcess, reset bool) {
	incarnation := f.incarnation
	if f.partitionedFrom[p.index] && !reset {
		return
	}
	f.w.afterNetwork(func() {
		if f.isRunning(incarnation) {
			f.follower.Planners()[p.index].Disconnected(f.w.Now)
		}
	})
}

// receiveChange applies a change of a planner's view after a delay. It requests the full view if an earlier change is missing.
func (f *forwarderProcess) receiveChange(p *plannerProcess, change view.Change) {
	incarnation, plannerIncarnation := f.incarnation, p.incarnation
	if f.partitionedFrom[p.index] {
		return
	}
	f.w.After(f.w.Between(minChangeDelay, maxChangeDelay), func() {
		if !f.isRunning(incarnation) || f.partitionedFrom[p.index] {
			return
		}
		if f.follower.Planners()[p.index].ApplyChange(f.w.Now, change) {
			f.sendToPlanner(p, plannerIncarnation, func(link *planner.Forwarder) { link.RequestFullView(p.clock()) })
		}
		f.tick()
	})
}

// runTicks runs tick now and whenever it is due until the incarnation ends.
func (f *forwarderProcess) runTicks(incarnation int) {
	if f.isRunning(incarnation) {
		f.w.After(max(millisecond, f.tick()-f.w.Now), func() { f.runTicks(incarnation) })
	}
}

// tick carries out the follower's due actions, and returns the time of the next ones.
func (f *forwarderProcess) tick() (next policy.TenthMs) {
	due := f.follower.Tick(f.w.Now)
	for _, remote := range due.Disconnect {
		f.closeLink(f.plannerAt(remote))
		remote.Disconnected(f.w.Now)
	}
	for _, remote := range due.Dial {
		f.dial(remote)
	}
	if due.Changed {
		f.applyView(due)
	}
	if due.SendReport {
		f.sendReport()
	}
	return due.NextTick
}

// plannerAt returns the process of a planner, whose address is its index.
func (f *forwarderProcess) plannerAt(remote *follower.Planner) *plannerProcess {
	index, err := strconv.Atoi(remote.Address)
	if err != nil {
		panic(err)
	}
	return f.w.planners[index]
}

// dial opens a link to a planner.
func (f *forwarderProcess) dial(remote *follower.Planner) {
	w, incarnation, process := f.w, f.incarnation, f.plannerAt(remote)
	w.After(w.Between(minDialDelay, maxDialDelay), func() {
		if !f.isRunning(incarnation) {
			return
		}
		if !process.up || f.partitionedFrom[process.index] {
			remote.Disconnected(w.Now)
			return
		}
		link := process.planner.AddForwarder(process.clock(), f.name, uint64(f.incarnation))
		if link == nil {
			remote.Disconnected(w.Now)
			return
		}
		process.links[f] = link
		link.LinkReady()
		remote.Connected(w.Now)
	})
}

// sendReport sends the observations since the last report to all planners.
func (f *forwarderProcess) sendReport() {
	var report link.Report
	for _, name := range slices.Sorted(maps.Keys(f.observations)) {
		h := f.observations[name]
		report.Observations = append(report.Observations, *h)
		h.Responses, h.LatenessSum = 0, 0
	}
	for _, p := range f.w.planners {
		if f.partitionedFrom[p.index] || p.links[f] == nil {
			continue
		}
		f.sendToPlanner(p, p.incarnation, func(link *planner.Forwarder) { link.HandleReport(p.clock(), report) })
	}
}
