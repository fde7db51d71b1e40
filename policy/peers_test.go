package policy

import "testing"

func TestRejectingHostBacksOffForAllRouters(t *testing.T) {
	many := func(d *Deployment) { d.Peers, d.Routers = true, 200 }
	env, peer, before := newTestEnv(t, 1, many), newTestEnv(t, 1, many), TenthMs(0)
	env.router.peerCredit = 1e6
	env.advance(1000)
	peer.advance(1000)
	for range 3 {
		command := env.submit(Write, NotIdempotent, "s", 0)
		command.EndDispatch(Overloaded, env.now-20, Primary, 20, false)
		host := env.hosts[0]
		if command.Attempts != 1 || command.Host != nil || host.retryAt-env.now <= before {
			t.Fatalf("sent %d times, left alone for %d after %d", command.Attempts, host.retryAt-env.now, before)
		}
		before = host.retryAt - env.now
		command.Abandon()
		env.advance(before)
	}
	peer.router.ReceivePeerUpdate(env.messages[0])
	env.failIf(peer.hosts[0].retryAt <= peer.now, "a host that others found full was not left alone")
}

func TestRoutersShareHostState(t *testing.T) {
	many := func(d *Deployment) { d.Peers, d.Routers = true, 200 }
	env, peer := newTestEnv(t, 2, many), newTestEnv(t, 2, many)
	env.router.peerCredit = 1e6
	env.advance(3000)
	command := env.submit(Write, NotIdempotent, "s", 0)
	command.EndDispatch(Answered, env.now-20, Primary, 100, true)
	if len(env.messages) != 1 {
		t.Fatalf("an answer was shared %d times", len(env.messages))
	}
	env.hosts[0].publishState(0.1)
	if env.router.peerCredit = 0; len(env.messages) != 1 {
		t.Error("what was just shared was shared again")
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
	env.failIf(peer.hosts[1].position != before || peer.hosts[1].share < 1, "a message that no router can have sent was heeded")
	env.advance(1000)
	if env.hosts[0].publishState(0.1); len(env.messages) != 1 {
		t.Error("more was shared than may be spent")
	}
}

func TestPeerUpdatesOfBusyHostLeaveRoomForOthers(t *testing.T) {
	for _, routers := range []int{3, 300} {
		env := newTestEnv(t, 2, func(d *Deployment) { d.Peers, d.Routers, d.PeerPrice = true, routers, 0.012 })
		env.router.peerCredit = 1e6
		busy, seldom := env.hosts[0], env.hosts[1]
		env.advance(3000)
		for range 50 { // in half a second: all that hear of one host alone would read there alone
			busy.updatePosition(env.now)
			busy.publishState(1)
			env.advance(100)
		}
		seldom.publishState(0.1)
		if count := len(env.messages); routers == 300 && (count < 2 || count > 4) || routers == 3 && count < 10 {
			t.Errorf("%d routers: %d messages, of one host that answers all the time and one that did once", routers, count)
		}
	}
}

func TestRejectionsAreSharedAtOnce(t *testing.T) {
	env := newTestEnv(t, 2, func(d *Deployment) { d.Peers, d.Routers, d.PeerPrice = true, 300, 0.012 })
	env.router.peerCredit = 1e6
	env.advance(3000)
	for _, part := range []float64{0.1, peerConnsExhausted, peerRejecting} {
		env.hosts[1].publishState(part)
		env.advance(400)
	}
	if len(env.messages) != 3 {
		t.Errorf("%d messages of a host that answers, then turns away connections, then commands", len(env.messages))
	}
}

func TestReportAgeIsNotLag(t *testing.T) {
	env := newTestEnv(t, 3, func(d *Deployment) { d.Guarded = true })
	for range 40 { // reports are 0.6 s old, as the primary's show
		env.advance(1000)
		for i, host := range env.hosts {
			host.ReportLoad(env.now-6000, Role(min(i+1, 2)))
		}
	}
	env.advance(100)
	need := env.now - 1000
	env.failIf(!env.hosts[1].hasReached(need), "a replica is taken to be behind, since its report is old")
	env.advance(1000)
	env.hosts[2].ReportLoad(env.now-6900, Replica) // 0.1 s further in 1.1 s
	env.failIf(env.hosts[2].hasReached(env.now-800), "a replica that falls behind is taken to have caught up")
}
