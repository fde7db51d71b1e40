package tierprocess

import (
	"context"
	"math/rand/v2"
	"time"

	"ferrypitch/internal/fake/postgres"
	"ferrypitch/internal/simulation/program"
	"ferrypitch/internal/simulation/tierfleet"
	"ferrypitch/internal/simulation/workload"
)

// faultStream is the stream of the random generator of faults. The seed and the stream determine all random choices.
const faultStream = 11

// Timing of faults.
const (
	faultInterval   = 500 * time.Millisecond
	plannerDownTime = 700 * time.Millisecond
	hostDownTime    = time.Second
	drainTime       = 2 * time.Second
	promotionDelay  = 400 * time.Millisecond // from the death of a primary to the promotion of another host
	takeoverTime    = 3 * time.Second        // how long after a promotion the forwarders' first writes are recorded
)

// sleep waits for a span. It returns false if ctx ends first.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// injectFaults kills and restarts planners, forwarders and hosts in turn, one at a time, until ctx ends. Every other fault of
// a host is a drain.
func (r *run) injectFaults(ctx context.Context) error {
	random := rand.New(rand.NewPCG(r.Seed, faultStream))
	hosts := r.fleet.Hosts.Hosts()
	for n := 0; sleep(ctx, faultInterval); n++ {
		var err error
		switch n % 4 {
		case 0, 2:
			err = r.restartPlanner(ctx, n/2)
		case 1:
			err = killAndRestart(r.forwarders[random.IntN(len(r.forwarders))])
		case 3:
			host := hosts[random.IntN(len(hosts))]
			err = r.disruptReplica(ctx, host, n%8 == 3)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func killAndRestart(process *program.Process) error {
	process.Kill()
	return process.Restart()
}

// restartPlanner kills one planner and restarts it after plannerDownTime. During an outage of all planners it does nothing, and
// if an outage begins meanwhile, the end of the outage restarts the planner.
func (r *run) restartPlanner(ctx context.Context, turn int) error {
	if len(r.planners) == 0 || r.plannersAreDown() {
		return nil
	}
	planner := r.planners[turn%len(r.planners)]
	planner.Kill()
	sleep(ctx, plannerDownTime)
	if r.plannersAreDown() {
		return nil
	}
	return planner.Restart()
}

// disruptReplica drains a replica, or kills and restarts it. It does nothing to a primary. During an outage of all planners, no
// planner can notify the forwarders of a drain, and commands that they send after it would count as violations. The host is
// killed then, even if a drain is asked for.
func (r *run) disruptReplica(ctx context.Context, host *postgres.Host, drain bool) error {
	if r.fleet.Hosts.Primary(host.Set) == host {
		return nil
	}
	if drain && !r.plannersAreDown() {
		r.fleet.Announce(host, tierfleet.StateDraining)
		sleep(ctx, drainTime)
		r.fleet.Announce(host, tierfleet.StateUp)
		return nil
	}
	host.Kill()
	sleep(ctx, hostDownTime)
	return r.restartHost(host)
}

func (r *run) restartHost(host *postgres.Host) error {
	if err := host.Restart(); err != nil {
		return err
	}
	r.fleet.Announce(host, tierfleet.StateUp)
	return nil
}

// injectPlannerOutage kills all planners in the middle of the run and restarts them after PlannerOutage.
func (r *run) injectPlannerOutage(ctx context.Context) error {
	if r.PlannerOutage == 0 || !sleep(ctx, (r.For-r.PlannerOutage)/2) {
		return nil
	}
	r.mu.Lock()
	r.outageUntil = time.Now().Add(r.PlannerOutage)
	r.mu.Unlock()
	for _, planner := range r.planners {
		planner.Kill()
	}
	sleep(ctx, r.PlannerOutage)
	for _, planner := range r.planners {
		if err := planner.Restart(); err != nil {
			return err
		}
	}
	return nil
}

// plannersAreDown reports whether an outage of all planners is in progress.
func (r *run) plannersAreDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.outageUntil)
}

// changePrimaries kills primaries, spread evenly over the run, and promotes another host of the set each time.
func (r *run) changePrimaries(ctx context.Context) error {
	for n := range r.PrimaryChanges {
		if !sleep(ctx, r.For/time.Duration(r.PrimaryChanges+1)) {
			return nil
		}
		old := r.fleet.Hosts.Primary(int64(n%r.Sets + 1))
		old.Kill()
		sleep(ctx, promotionDelay)
		if successor := r.otherHostInSet(old); successor != nil {
			r.beginTakeover(successor)
			successor.Promote()
			sleep(ctx, takeoverTime)
			r.endTakeover(successor)
		}
		if err := r.restartHost(old); err != nil {
			return err
		}
	}
	return nil
}

// otherHostInSet returns the first other host of the same set, or nil if there is none.
func (r *run) otherHostInSet(host *postgres.Host) *postgres.Host {
	for _, other := range r.fleet.Hosts.Hosts() {
		if other.Set == host.Set && other != host {
			return other
		}
	}
	return nil
}

func (r *run) beginTakeover(primary *postgres.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeovers[primary.Name] = &takeover{promotedAt: time.Now(), firstWrites: map[string]time.Duration{}}
}

func (r *run) endTakeover(primary *postgres.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = append(r.finished, r.takeovers[primary.Name])
	delete(r.takeovers, primary.Name)
}

// recordFirstWrite records the time of the first write of each forwarder that a new primary answered.
func (r *run) recordFirstWrite(forwarder, host, group string, at time.Time) {
	if group != workload.GroupWrite {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	takeover, ok := r.takeovers[host]
	if !ok || !at.After(takeover.promotedAt) {
		return
	}
	if _, noted := takeover.firstWrites[forwarder]; !noted {
		takeover.firstWrites[forwarder] = at.Sub(takeover.promotedAt)
	}
}
