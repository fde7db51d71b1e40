package policy

import "testing"

// withPlanner configures a router to use planner updates, without probes.
func withPlanner(routers int) func(*Deployment) {
	return func(d *Deployment) {
		d.UsesPlanners, d.ProbesEnabled, d.PositionsReported, d.RouterCount = true, false, false, routers
	}
}

func TestPlannerUpdateYieldsToNewerAndOwnAnswers(t *testing.T) {
	env := newTestEnv(t, 3, withPlanner(1))
	env.advance(1000)
	former, primary := env.hosts[0], env.hosts[1]
	primary.ApplyPlannerUpdate(env.now-500, Primary, env.now-500, peerLatencyUnknown)
	if env.router.replicaSet(1).primary != primary {
		t.Fatal("the newer update was not applied")
	}
	former.ApplyPlannerUpdate(env.now-700, Primary, env.now-700, peerLatencyUnknown) // arrives late
	primary.ApplyPlannerUpdate(env.now+9999, Primary, env.now+9999, peerLatencyUnknown)
	if env.router.replicaSet(1).primary != primary || primary.position > env.now {
		t.Error("an older update, or one with a future position, was applied")
	}
	command := env.submit(Write, NotIdempotent, "s", 0)
	sentAt := env.now
	env.advance(100)
	command.EndDispatch(Misrouted, -1, Replica, 100, true)
	primary.ApplyPlannerUpdate(sentAt-1, Primary, sentAt-1, peerLatencyUnknown)
	if env.router.replicaSet(1).primary == primary {
		t.Error("an update older than the host's own rejection made it the primary again")
	}
	primary.ApplyPlannerUpdate(sentAt+50, Primary, sentAt+50, peerLatencyUnknown)
	if env.router.replicaSet(1).primary != primary {
		t.Error("an update newer than the host's rejection did not make it the primary")
	}
}

func TestUnprovenPrimaryIsTriedNext(t *testing.T) {
	env := newTestEnv(t, 3, withPlanner(1))
	env.answer(env.submit(Write, NotIdempotent, "s", 0), 100)
	candidate := env.hosts[2]
	// Its position is the last one of the former primary.
	candidate.ApplyPlannerUpdate(env.now-5000, Primary, env.now-5000, peerLatencyUnknown)
	if env.router.replicaSet(1).primary != env.hosts[0] {
		t.Fatal("the update overrode a newer answer")
	}
	env.hosts[0].eject(second)
	if write := env.submit(Write, NotIdempotent, "s", 0); write.Host != candidate {
		t.Errorf("the write was sent to %v", write.Host)
	}
}

func TestHostThatWasDownIsColdWithoutPlanner(t *testing.T) {
	for _, noPlanner := range []bool{false, true} {
		env := newTestEnv(t, 2, withPlanner(1))
		env.answerReads(20, 100)
		env.router.SetRouterCount(1, noPlanner)
		env.advance(2 * second)
		env.refreshPositions()
		host := env.hosts[1]
		command := env.submitUntilSentTo(host)
		host.lastFastSentAt, host.lastAnswerAt = 0, 0
		command.EndDispatch(Unreachable, -1, UnknownRole, 0, false)
		env.failIf(!host.ejected || !host.down, "a host that refuses connections was not ejected")
		env.advance(second)
		env.refreshPositions()
		env.answer(env.submitUntilSentTo(host), 100)
		if host.isCold() != noPlanner {
			t.Errorf("noPlanner %v, cold %v", noPlanner, host.isCold())
		}
	}
}

// The cold budgets of all routers together must not grow when traffic moves from one router to another. No coordination is
// needed: each budget derives from a mean of the router's own work that starts from 0, and the sum of means is the mean of sums.
func TestMovingTrafficDoesNotRaiseColdBudget(t *testing.T) {
	sum := func(from, to *testEnv) float64 { return from.hosts[0].model.warmRate + to.hosts[0].model.warmRate }
	from := newTestEnv(t, 2, withPlanner(2))
	serve := func(env *testEnv, span TenthMs) {
		for end := env.now + span; env.now < end; {
			env.answerReads(4, 100)
			env.advance(max(0, 2*second/10-400))
		}
	}
	serve(from, 40*second)
	to := newTestEnv(t, 2, withPlanner(2))
	before := sum(from, to)
	for range 10 { // all traffic moves to a router that just started
		startedAt := to.now
		serve(to, second)
		from.advance(to.now - startedAt)
		if now := sum(from, to); now > 1.1*before || now < before/2 {
			t.Fatalf("sum of both routers %.4g, %.4g before", now, before)
		}
	}
	if fresh := newTestEnv(t, 2, withPlanner(2)); fresh.hosts[0].model.warmRate != 0 {
		t.Error("a restarted router begins with a cold budget")
	}
}
