package policy

import "testing"

func TestFormerPrimaryIsReplicaOnceItSaysSo(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	command := env.submit(Strong, Idempotent, "", 0)
	env.advance(100)
	command.EndDispatch(Errored, env.now-100, Replica, 100, false)
	env.failIf(env.router.sets[1].primary != nil || command.Host != nil,
		"a host that reported to be a replica still serves reads as the primary")
	env.hosts[1].updateRole(Primary, env.now)
	env.advance(100)
	env.failIf(command.Host != env.hosts[1], "the queued read was not sent to the new primary")
}

func TestRoleOfLaterDispatchWins(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	first := env.submit(Write, NotIdempotent, "s", 0)
	env.advance(100)
	second := env.submit(Write, NotIdempotent, "s", 0)
	env.advance(100)
	second.EndDispatch(Misrouted, env.now-10, Replica, 10, false)
	first.EndDispatch(Answered, env.now-10, Primary, 200, true) // it was the primary when this was sent
	env.failIf(env.router.sets[1].primary != nil, "an older dispatch overrode the later report that the host is a replica")
}

func TestColdPrimaryIsKeptForWrites(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	host := env.hosts[0]
	host.model.warmRate = 0.01
	host.UpdateListing(Active, true, "", "", 1, env.now)
	host.updateRole(Primary, env.now)
	host.limit, host.coldBudget = 100, 1.4
	command := env.submit(ReadYourWrites, Idempotent, "s", 100)
	env.failIf(command.Host != nil, "a read used the cold budget of a primary")
	if command := env.submit(Write, NotIdempotent, "s", 0); command.Host != host {
		t.Error("a write did not get the cold budget of a primary")
	}
}

func TestNothingIsSentToDrainingOrRemovedHost(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	env.hosts[1].UpdateListing(Draining, false, "", "", 1, 0)
	if command := env.submit(BoundedStaleness, Idempotent, "", 0); command.Host == env.hosts[1] {
		t.Error("a read was sent to a draining host")
	}
	env.hosts[1].UpdateListing(Active, false, "", "", 1, env.now)
	env.hosts[1].updatePosition(env.now)
	env.hosts[0].UpdateListing(Active, false, "", "", 1, 0)
	env.router.EndList(true)
	env.failIf(env.hosts[1].listState != Active, "a host that is active again is not used")
	env.hosts[0].UpdateListing(Active, true, "", "", 1, 0)
	env.router.EndList(true)
	env.failIf(env.hosts[1].listState != Removed, "a host that is missing from a complete list was not removed")
}

func TestColdHostGetsPartOfWarmWork(t *testing.T) {
	env := newTestEnv(t, 3, nil)
	cold := env.hosts[1]
	for _, host := range env.hosts {
		host.limit = 1000
	}
	env.answerReads(400, 100) // each warm host serves 50 reads per second
	cold.UpdateListing(Active, false, "", "", 1, env.now)
	cold.limit, env.dispatched = 1000, nil
	for _, host := range []*Host{env.hosts[0], env.hosts[2]} {
		host.updateRole(Replica, env.now)
		host.UpdateListing(Draining, false, "", "", 1, 0)
	}
	most := 2 * 0.2 * cold.model.warmRate * 10000
	for i := range 400 { // takes two seconds
		env.submit(BoundedStaleness, Idempotent, "", 0)
		if i%2 == 0 {
			env.advance(100)
			cold.updatePosition(env.now)
		}
	}
	if got := float64(len(env.dispatched)); got > 2*most || got < most/2 {
		t.Errorf("a cold host got %v reads in two seconds, its capacity is %.1f", got, 2*most)
	}
}

func TestManyRoutersDoNotOverloadColdHost(t *testing.T) {
	dispatched := 0
	for i := range 200 {
		env := newTestEnv(t, 2, func(d *Deployment) { d.RouterCount, d.Seed = 200, uint32(i) })
		env.hosts[1].UpdateListing(Active, false, "", "", 1, env.now)
		env.hosts[1].model.warmRate, env.hosts[1].model.measuredSpan = 0.00005, 100000 // half a command per second for each router
		for range 10 {
			env.submit(BoundedStaleness, Idempotent, "", 0)
			env.hosts[1].updatePosition(env.now + 1000)
			env.advance(100)
		}
		dispatched += env.dispatchesTo(env.hosts[1])
	}
	if dispatched > 40 || dispatched == 0 { // 0.1 s at 2 x 0.2 x 100 commands per second, plus random variation
		t.Errorf("200 routers sent %d commands to a cold host at once", dispatched)
	}
}

func TestLateAnswersReduceLimit(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	host, before := env.hosts[0], env.hosts[0].limit
	for range 10 {
		env.answer(env.submit(BoundedStaleness, Idempotent, "", 0), 2500)
	}
	if host.limit >= before {
		t.Errorf("limit is %v after late answers, it was %v", host.limit, before)
	}
	reduced := host.limit
	env.advance(300000) // the host gets no commands, then some again
	for range 100 {
		first, second := env.submit(BoundedStaleness, Idempotent, "", 0), env.submit(BoundedStaleness, Idempotent, "", 0)
		env.answer(first, 100)
		env.answer(second, 0)
	}
	if host.limit <= reduced {
		t.Errorf("limit is %v after many fast answers, it was %v", host.limit, reduced)
	}
}

func TestLostAnswersDoNotUseUpLimit(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.hosts[0].limit = 2
	env.submit(Write, NotIdempotent, "s", 0)
	env.submit(Write, NotIdempotent, "s", 0)
	command := env.submit(Write, NotIdempotent, "s", 0)
	env.hosts[0].lastAnswerAt, env.hosts[0].lastFastSentAt = env.now+7000, env.now+7000 // it keeps answering other commands
	env.advance(6200)                                                                   // past six times the unloaded latency
	env.failIf(command.Host == nil, "writes with lost answers kept other writes from the primary")
}

func TestShareShrinksWhereLimitIsTooCoarse(t *testing.T) {
	for _, routers := range []int{1, 200} {
		env := newTestEnv(t, 2, func(d *Deployment) { d.RouterCount = routers })
		host := env.hosts[1]
		for range 40 {
			host.updateLoad(maxLatencyRatio, 0, 0)
		}
		env.failIf(routers == 200 && host.share > 0.05, "the share of an overloaded host was not reduced")
		env.failIf(routers == 1 && host.share < 1, "the share was reduced with a single router, where the limit suffices")
		for range 200 {
			host.updateLoad(overloadRatio/3, env.now, 0)
		}
		env.failIf(host.share < 1, "the share of a recovered host did not return to 1")
	}
}

func TestEmptyListIsIgnoredWhereOnlyDrainBinds(t *testing.T) {
	env := newTestEnv(t, 3, func(d *Deployment) { d.KeepUnlistedHosts = true })
	env.router.EndList(true) // the list has no entries
	env.hosts[1].UpdateListing(Draining, false, "", "", 1, 0)
	env.failIf(env.hosts[1].listState != Draining, "a drain was ignored")
	if command := env.submit(Write, NotIdempotent, "s", 0); command.Host != env.hosts[0] {
		t.Error("an empty list kept a write from the primary")
	}
}

func TestUnansweredCommandsReduceShare(t *testing.T) {
	for _, routers := range []int{2, 120} {
		env := newTestEnv(t, 2, func(d *Deployment) { d.RouterCount = routers })
		host := env.hosts[1]
		env.advance(20000) // after a long time without samples, the next one has more weight
		env.refreshPositions()
		env.submitUntilSentTo(host)
		env.advance(6000)
		env.failIf(routers == 120 && host.share > 0.6, "the share of a host that does not answer in time was not reduced")
		env.failIf(routers == 2 && host.share < 1, "the share was reduced with two routers, where the limit suffices")
	}
}

func TestListRequestsAreSpreadAndBackOff(t *testing.T) {
	firstRequests := map[TenthMs]bool{}
	for seed := range uint32(20) {
		env := newTestEnv(t, 2, func(d *Deployment) { d.Seed, d.ListTimeout = seed*7919, 100000 })
		env.advance(26000)
		if len(env.listRequests) != 1 {
			t.Fatalf("the list was requested %d times in the first 2.6 s", len(env.listRequests))
		}
		firstRequests[env.listRequests[0]/2000] = true
		var gaps [4]TenthMs
		for i := range gaps { // each request is refused; the known hosts stay in use
			env.router.ListUnavailable()
			at := env.now
			for before := len(env.listRequests); len(env.listRequests) == before; {
				env.advance(100)
			}
			gaps[i] = env.now - at
		}
		env.failIf(gaps[0] > 20000 || gaps[3] < 25000 || gaps[3] > 75100, "the delays between refused requests do not grow as expected")
		env.advance(101000) // a request that is never answered
		env.failIf(len(env.listRequests) != 6, "an unanswered request was not repeated")
		env.router.EndList(false)
		env.advance(300000)
		env.failIf(len(env.listRequests) != 6, "a list that arrived was requested again")
	}
	env := newTestEnv(t, 2, nil)
	env.advance(300000)
	env.failIf(len(firstRequests) < 6, "the first requests are not spread over time")
	env.failIf(len(env.listRequests) > 0, "a list was requested though it is delivered without a request")
}
