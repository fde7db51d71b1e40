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
		t.Fatal("an unreachable host was not probed")
	}
	env.hosts[1].EndProbe(true)
	env.failIf(env.hosts[1].unreachable || env.hosts[1].limit > 2,
		"a recovered host does not start with a small limit")
}

func TestManyStartingRoutersShareProbes(t *testing.T) {
	separateProbes, sharedProbes := 0, 0
	for seed := range 100 {
		for _, peers := range []bool{false, true} {
			env := &testEnv{t: t, now: 1000000, finalAnswer: map[*Command]string{}}
			env.router = New(env, Deployment{
				Seed: uint32(seed), Tick: 10, RouterCount: 100, ProbesEnabled: true, PositionsReported: true, PeerUpdatesEnabled: peers,
			}, env.now)
			for i := range 20 {
				env.router.AddHost(string(rune('a'+i)), 1).UpdateListing(Active, false, "", "", 1, 0)
			}
			env.router.EndList(true)
			if peers {
				sharedProbes += len(env.probes)
			} else {
				separateProbes += len(env.probes)
			}
		}
	}
	if separateProbes != 2000 || sharedProbes < 10 || sharedProbes > 100 {
		t.Errorf("100 routers sent %d probes to 20 hosts without peer updates, %d with them", separateProbes, sharedProbes)
	}
}

func TestReplicaIsProbedBeforePrimaryTakesItsReads(t *testing.T) {
	env := newTestEnv(t, 3, func(d *Deployment) { d.RouterCount = 120 })
	env.router.probeCredit = 8
	env.advance(6000) // the known positions of replicas are past the staleness bound
	env.probes = nil
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	env.failIf(len(env.probes) != 1 || command.Host != nil, "no replica was probed")
	firstProbed := env.probes[0]
	firstProbed.ReportLoad(env.now-6000, Replica) // too old for the read
	firstProbed.EndProbe(true)
	env.failIf(len(env.probes) != 2 || env.probes[1] == firstProbed || command.Host != nil, "the other replica was not probed next")
	env.probes[1].ReportLoad(env.now-1000, Replica)
	env.probes[1].EndProbe(true)
	env.failIf(command.Host != env.probes[1], "the read was not sent to the replica that reported a recent position")

	env.answer(command, 100)
	env.advance(6000)
	env.probes = nil
	command = env.submit(BoundedStaleness, Idempotent, "", 0)
	env.advance(2500) // neither probe ends
	env.failIf(len(env.probes) != 2, "a read led to more than two probes")
	env.failIf(command.Host != env.hosts[0], "a read for which no probe ended was not sent to the primary")
}

func TestProbesForReadsArePaidFor(t *testing.T) {
	env := newTestEnv(t, 3, func(d *Deployment) { d.RouterCount = 120 })
	env.probes = nil
	for range 50 {
		env.advance(6000)
		command := env.submit(BoundedStaleness, Idempotent, "", 0)
		for _, host := range env.hosts[1:] {
			host.EndProbe(true)
		}
		env.failIf(command.Host != env.hosts[0], "a read without a recent replica was not sent to the primary")
		if command.Host != nil {
			env.answer(command, 100)
		}
	}
	env.failIf(len(env.probes) < 3 || len(env.probes) > 8, "fifty commands should pay for about five probes")
}
