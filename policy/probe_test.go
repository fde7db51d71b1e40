package policy

import (
	"slices"
	"testing"
)

func TestRecoveredHostStartsWithSmallLimit(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	command := env.submitUntilSentTo(env.hosts[1])
	command.EndDispatch(Unreachable, -1, UnknownRole, 100, false)
	env.advance(10000)
	if !slices.Contains(env.probes, env.hosts[1]) {
		t.Fatal("a host that can't be reached was not probed")
	}
	env.hosts[1].EndProbe(true)
	env.failIf(env.hosts[1].unreachable || env.hosts[1].limit > 2,
		"a host that was away and is back, listed or not, is not tried gently")
}

func TestManyStartingRoutersShareProbes(t *testing.T) {
	alone, crowd := 0, 0
	for seed := range 100 {
		for _, peers := range []bool{false, true} {
			env := &testEnv{t: t, now: 1000000, finalAnswer: map[*Command]string{}}
			env.router = New(env, Deployment{
				Seed: uint32(seed), Tick: 10, Routers: 100, Probes: true, Reports: true, Peers: peers,
			}, env.now)
			for i := range 20 {
				env.router.AddHost(string(rune('a'+i)), 1).UpdateListing(Active, false, "", "", 1, 0)
			}
			env.router.EndList(true)
			if peers {
				crowd += len(env.probes)
			} else {
				alone += len(env.probes)
			}
		}
	}
	if alone != 2000 || crowd < 10 || crowd > 100 {
		t.Errorf("of 20 hosts 100 routers that hear nothing of each other probe %d, those that do %d", alone, crowd)
	}
}

func TestReplicaIsProbedBeforePrimaryTakesItsReads(t *testing.T) {
	env := newTestEnv(t, 3, func(d *Deployment) { d.Routers, d.ProbePrice = 120, 0.02 })
	env.router.probeCredit = 8
	env.advance(6000) // what is known of replicas is past the bound
	env.probes = nil
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	env.failIf(len(env.probes) != 1 || command.Host != nil, "no replica is asked where it stands")
	asked := env.probes[0]
	asked.ReportLoad(env.now-6000, Replica) // an old report
	asked.EndProbe(true)
	env.failIf(len(env.probes) != 2 || env.probes[1] == asked || command.Host != nil, "the other replica is not asked next")
	env.probes[1].ReportLoad(env.now-1000, Replica)
	env.probes[1].EndProbe(true)
	env.failIf(command.Host != env.probes[1], "the read did not go to the replica that said it is new enough")

	env.answer(command, 100)
	env.advance(6000)
	env.probes = nil
	command = env.submit(BoundedStaleness, Idempotent, "", 0)
	env.advance(2500) // neither says anything
	env.failIf(len(env.probes) != 2, "what does not answer is asked on and on")
	env.failIf(command.Host != env.hosts[0], "a read that no replica answers for does not go to the primary")
}

func TestProbesForReadsArePaidFor(t *testing.T) {
	env := newTestEnv(t, 3, func(d *Deployment) { d.Routers, d.ProbePrice = 120, 0.2 })
	env.probes = nil
	for range 50 {
		env.advance(6000)
		command := env.submit(BoundedStaleness, Idempotent, "", 0)
		for _, host := range env.hosts[1:] {
			host.EndProbe(true)
		}
		env.failIf(command.Host != env.hosts[0], "a read that nobody was asked for does not go to the primary")
		if command.Host != nil {
			env.answer(command, 100)
		}
	}
	env.failIf(len(env.probes) < 3 || len(env.probes) > 8, "fifty commands are to pay for five probes")
}
