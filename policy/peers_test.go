package policy

import "testing"

func TestRejectingHostBacksOffForAllRouters(t *testing.T) {
	manyRouters := func(d *Deployment) { d.PeerUpdatesEnabled, d.RouterCount = true, 200 }
	env, peer, before := newTestEnv(t, 1, manyRouters), newTestEnv(t, 1, manyRouters), TenthMs(0)
	env.router.peerCredit = 1e6
	env.advance(1000)
	peer.advance(1000)
	for range 3 {
		env.hosts[0].share = 1 // the test is about the backoff alone
		command := env.submit(Write, NotIdempotent, "s", 0)
		command.EndDispatch(Overloaded, env.now-20, Primary, 20, false)
		host := env.hosts[0]
		if command.Attempts != 1 || command.Host != nil || host.retryAt-env.now <= before {
			t.Fatalf("sent %d times, backoff %d after %d", command.Attempts, host.retryAt-env.now, before)
		}
		before = host.retryAt - env.now
		command.Abandon()
		env.advance(before)
	}
	peer.router.ReceivePeerUpdate(env.messages[0])
	env.failIf(peer.hosts[0].retryAt <= peer.now, "a host that rejected commands of another router was not backed off from")
}

func TestRoutersShareHostState(t *testing.T) {
	manyRouters := func(d *Deployment) { d.PeerUpdatesEnabled, d.RouterCount = true, 200 }
	env, peer := newTestEnv(t, 2, manyRouters), newTestEnv(t, 2, manyRouters)
	env.router.peerCredit = 1e6
	env.advance(3000)
	command := env.submit(Write, NotIdempotent, "s", 0)
	command.EndDispatch(Answered, env.now-20, Primary, 100, true)
	if len(env.messages) != 1 {
		t.Fatalf("an answer was published %d times", len(env.messages))
	}
	env.hosts[0].publishState(0.1)
	if env.router.peerCredit = 0; len(env.messages) != 1 {
		t.Error("state that was just published was published again")
	}
	peer.advance(3000)
	peer.hosts[0].positionKnown, peer.hosts[0].position, peer.router.sets[1].primary = false, 0, nil
	peer.router.ReceivePeerUpdate(env.messages[0])
	host, position := peer.hosts[0], env.hosts[0].position/10*10
	if !host.positionKnown || host.position != position || peer.router.sets[1].primary != host {
		t.Errorf("received %q, position %d, primary %v", env.messages[0], host.position, peer.router.sets[1].primary)
	}
	before := peer.hosts[1].position
	for _, body := range []string{
		"", ".", "x", peer.hosts[1].peerID(), peer.hosts[1].peerID() + ".", peer.hosts[1].peerID() + ".-1",
		peer.hosts[1].peerID() + ".zzzzzzzzzz", peer.hosts[1].peerID() + ".zzzzzzzzzzzzzzzzz", "nobody.1a",
	} {
		peer.router.ReceivePeerUpdate(body)
	}
	env.failIf(peer.hosts[1].position != before || peer.hosts[1].share < 1, "an invalid message was applied")
	env.advance(1000)
	if env.hosts[0].publishState(0.1); len(env.messages) != 1 {
		t.Error("a message was sent without credit")
	}
}

func TestPeerUpdatesOfBusyHostLeaveRoomForOthers(t *testing.T) {
	for _, routers := range []int{3, 300} {
		env := newTestEnv(t, 2, func(d *Deployment) { d.PeerUpdatesEnabled, d.RouterCount = true, routers })
		env.router.peerCredit = 1e6
		busy, rare := env.hosts[0], env.hosts[1]
		env.advance(3000)
		for range 50 { // within half a second; if routers heard of one host only, they would all read there
			busy.updatePosition(env.now)
			busy.publishState(1)
			env.advance(100)
		}
		rare.publishState(0.1)
		if count := len(env.messages); routers == 300 && (count < 2 || count > 4) || routers == 3 && count < 10 {
			t.Errorf("%d routers: %d messages about a host that answers all the time and one that answered once", routers, count)
		}
	}
}

func TestRejectionsAreSharedAtOnce(t *testing.T) {
	env := newTestEnv(t, 2, func(d *Deployment) { d.PeerUpdatesEnabled, d.RouterCount = true, 300 })
	env.router.peerCredit = 1e6
	env.advance(3000)
	for _, ratio := range []float64{0.1, peerConnsExhausted, peerRejecting} {
		env.hosts[1].publishState(ratio)
		env.advance(400)
	}
	if len(env.messages) != 3 {
		t.Errorf("%d messages about a host that answers, then refuses connections, then rejects commands", len(env.messages))
	}
}

func TestReportAgeIsNotLag(t *testing.T) {
	env := newTestEnv(t, 3, func(d *Deployment) { d.HostsCheckPosition = true })
	for range 40 { // reports are 0.6 s old, as those of the primary show
		env.advance(1000)
		for i, host := range env.hosts {
			host.ReportLoad(env.now-6000, Role(min(i+1, 2)))
		}
	}
	env.advance(100)
	required := env.now - 1000
	env.failIf(!env.hosts[1].hasReached(required), "the age of a report was counted as lag of the replica")
	env.advance(1000)
	env.hosts[2].ReportLoad(env.now-6900, Replica) // advanced by 0.1 s in 1.1 s
	env.failIf(env.hosts[2].hasReached(env.now-800), "a replica that falls behind counts as caught up")
}
