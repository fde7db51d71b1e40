package policy

import "testing"

func TestFormerPrimaryIsReplicaOnceItSaysSo(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	command := env.submit(Strong, Idempotent, "", 0)
	env.advance(100)
	command.EndDispatch(Errored, env.now-100, Replica, 100, false)
	env.failIf(env.router.sets[1].primary != nil || command.Host != nil,
		"a host that said it is a replica is still read as the primary")
	env.hosts[1].updateRole(Primary, env.now)
	env.advance(100)
	env.failIf(command.Host != env.hosts[1], "the held read did not go to the new primary")
}

func TestRoleOfLaterDispatchWins(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	first := env.submit(Write, NotIdempotent, "s", 0)
	env.advance(100)
	second := env.submit(Write, NotIdempotent, "s", 0)
	env.advance(100)
	second.EndDispatch(Misrouted, env.now-10, Replica, 10, false)
	first.EndDispatch(Answered, env.now-10, Primary, 200, true) // it was, when that was sent
	env.failIf(env.router.sets[1].primary != nil, "a host that said since that it is a replica is taken for the primary")
}

func TestColdPrimaryIsKeptForWrites(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	host := env.hosts[0]
	host.model.warmRate = 0.01
	host.UpdateListing(Active, true, "", "", 1, env.now)
	host.updateRole(Primary, env.now)
	host.limit, host.coldBudget = 100, 1.4
	command := env.submit(ReadYourWrites, Idempotent, "s", 100)
	env.failIf(command.Host != nil, "a read took what is spare at a cold primary")
	if command := env.submit(Write, NotIdempotent, "s", 0); command.Host != host {
		t.Error("a write did not get what is spare at a cold primary")
	}
}

func TestNothingIsSentToDrainingOrRemovedHost(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	env.hosts[1].UpdateListing(Draining, false, "", "", 1, 0)
	if command := env.submit(BoundedStaleness, Idempotent, "", 0); command.Host == env.hosts[1] {
		t.Error("a read went to a draining host")
	}
	env.hosts[1].UpdateListing(Active, false, "", "", 1, env.now)
	env.hosts[1].updatePosition(env.now)
	env.hosts[0].UpdateListing(Active, false, "", "", 1, 0)
	env.router.EndList(true)
	env.failIf(env.hosts[1].listState != Active, "a host that is back is not used")
	env.hosts[0].UpdateListing(Active, true, "", "", 1, 0)
	env.router.EndList(true)
	env.failIf(env.hosts[1].listState != Removed, "a host that a complete list lacks still counts")
}

func TestColdHostGetsPartOfWarmWork(t *testing.T) {
	env := newTestEnv(t, 3, nil)
	cold := env.hosts[1]
	for _, host := range env.hosts {
		host.limit = 1000
	}
	env.answerReads(400, 100) // the warm ones do 50 a second each
	cold.UpdateListing(Active, false, "", "", 1, env.now)
	cold.limit, env.dispatched = 1000, nil
	for _, host := range []*Host{env.hosts[0], env.hosts[2]} {
		host.updateRole(Replica, env.now)
		host.UpdateListing(Draining, false, "", "", 1, 0)
	}
	most := 2 * 0.2 * cold.model.warmRate * 10000
	for i := range 400 { // for two seconds
		env.submit(BoundedStaleness, Idempotent, "", 0)
		if i%2 == 0 {
			env.advance(100)
			cold.updatePosition(env.now)
		}
	}
	if got := float64(len(env.dispatched)); got > 2*most || got < most/2 {
		t.Errorf("a cold host was sent %v in two seconds, it can take %.1f", got, 2*most)
	}
}

func TestManyRoutersDoNotOverloadColdHost(t *testing.T) {
	sent := 0
	for i := range 200 {
		env := newTestEnv(t, 2, func(d *Deployment) { d.Routers, d.Seed = 200, uint32(i) })
		env.hosts[1].UpdateListing(Active, false, "", "", 1, env.now)
		env.hosts[1].model.warmRate, env.hosts[1].model.measuredSpan = 0.00005, 100000 // half a command a second, as each sees it
		for range 10 {
			env.submit(BoundedStaleness, Idempotent, "", 0)
			env.hosts[1].updatePosition(env.now + 1000)
			env.advance(100)
		}
		sent += env.dispatchesTo(env.hosts[1])
	}
	if sent > 40 || sent == 0 { // a tenth of a second of 2 x 0.2 x 100 commands a second, and chance
		t.Errorf("200 routers together sent a cold host %d commands at once", sent)
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
	low := host.limit
	env.advance(300000) // it is spared, then tried again
	for range 100 {
		first, other := env.submit(BoundedStaleness, Idempotent, "", 0), env.submit(BoundedStaleness, Idempotent, "", 0)
		env.answer(first, 100)
		env.answer(other, 0)
	}
	if host.limit <= low {
		t.Errorf("limit is %v after many quick answers, it was %v", host.limit, low)
	}
}

func TestLostAnswersDoNotUseUpLimit(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.hosts[0].limit = 2
	env.submit(Write, NotIdempotent, "s", 0)
	env.submit(Write, NotIdempotent, "s", 0)
	command := env.submit(Write, NotIdempotent, "s", 0)
	env.hosts[0].lastAnswerAt, env.hosts[0].lastFastSentAt = env.now+6000, env.now+6000 // it answers others all the while
	env.advance(5200)
	env.failIf(command.Host == nil, "writes whose answers were lost kept the others from the primary")
}

func TestShareShrinksWhereLimitIsTooCoarse(t *testing.T) {
	for _, routers := range []int{1, 200} {
		env := newTestEnv(t, 2, func(d *Deployment) { d.Routers = routers })
		host := env.hosts[1]
		for range 40 {
			host.updateLoad(1, 0, 0)
		}
		env.failIf(routers == 200 && host.share > 0.05, "an overloaded host gets most of what comes for it")
		env.failIf(routers == 1 && host.share < 1, "a router alone has its limit for that")
		for range 200 {
			host.updateLoad(0.1, env.now, 0)
		}
		env.failIf(host.share < 1, "a host that does well again does not get all")
	}
}

func TestEmptyListIsIgnoredWhereOnlyDrainBinds(t *testing.T) {
	env := newTestEnv(t, 3, func(d *Deployment) { d.DrainAlone = true })
	env.router.EndList(true) // an empty list
	env.hosts[1].UpdateListing(Draining, false, "", "", 1, 0)
	env.failIf(env.hosts[1].listState != Draining, "a drain was not heeded")
	if command := env.submit(Write, NotIdempotent, "s", 0); command.Host != env.hosts[0] {
		t.Error("a list that calls all hosts gone kept a write from the primary")
	}
}

func TestUnansweredCommandsReduceShare(t *testing.T) {
	for _, routers := range []int{2, 120} {
		env := newTestEnv(t, 2, func(d *Deployment) { d.Routers = routers })
		host := env.hosts[1]
		env.advance(20000) // long unheard of: what comes weighs more
		env.refreshPositions()
		env.submitUntilSentTo(host)
		env.advance(3000)
		env.failIf(routers == 120 && host.share > 0.6, "a host that answers nothing in time is sent all that comes for it")
		env.failIf(routers == 2 && host.share < 1, "one of two routers has its limit for that")
	}
}

func TestListRequestsAreSpreadAndBackOff(t *testing.T) {
	first := map[TenthMs]bool{}
	for seed := range uint32(20) {
		env := newTestEnv(t, 2, func(d *Deployment) { d.Seed, d.AskWithin = seed*7919, 100000 })
		env.advance(26000)
		if len(env.listRequests) != 1 {
			t.Fatalf("the list was asked for %d times in its first 2.6 s", len(env.listRequests))
		}
		first[env.listRequests[0]/2000] = true
		var gaps [4]TenthMs
		for i := range gaps { // each is refused; what is held serves on
			env.router.ListUnavailable()
			at := env.now
			for asked := len(env.listRequests); len(env.listRequests) == asked; {
				env.advance(100)
			}
			gaps[i] = env.now - at
		}
		env.failIf(gaps[0] > 20000 || gaps[3] < 25000 || gaps[3] > 75100, "calls after a refusal don't lie ever further apart")
		env.advance(101000) // a call that is never answered
		env.failIf(len(env.listRequests) != 6, "what is never answered is not asked again")
		env.router.EndList(false)
		env.advance(300000)
		env.failIf(len(env.listRequests) != 6, "a list that comes is asked for again")
	}
	env := newTestEnv(t, 2, nil)
	env.advance(300000)
	env.failIf(len(first) < 6, "all ask at one time")
	env.failIf(len(env.listRequests) > 0, "a list that comes by itself is asked for")
}
