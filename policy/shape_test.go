package policy

import "testing"

// Stories of deployments of another build: many routers without a word of each other, hosts seen seldom.

func TestWhatNeverComesBackShrinksTheShare(t *testing.T) {
	for _, routers := range []int{2, 120} {
		f := start(t, 2, func(d *Deployment) { d.Routers = routers })
		n := f.nodes[1]
		f.wait(20000) // long unheard of: what comes weighs more
		f.fresh()
		f.takeUntil(n)
		f.wait(3000)
		f.never(routers == 120 && n.share > 0.6, "a host that answers nothing in time is sent all that comes for it")
		f.never(routers == 2 && n.share < 1, "one of two routers has its cap for that")
	}
}

func TestAReportsAgeIsNoLag(t *testing.T) {
	f := start(t, 3, func(d *Deployment) { d.Guarded = true })
	for range 40 { // reports are 0.6 s old, as the primary's show
		f.wait(1000)
		for i, n := range f.nodes {
			n.Reported(f.at-6000, Role(min(i+1, 2)))
		}
	}
	f.wait(100)
	need := f.at - 1000
	f.never(!f.nodes[1].hasReached(need), "a replica is taken to be behind, since its report is old")
	f.wait(1000)
	f.nodes[2].Reported(f.at-6900, Replica) // 0.1 s further in 1.1 s
	f.never(f.nodes[2].hasReached(f.at-800), "a replica that falls behind is taken to have caught up")
}

func TestAReplicaIsAskedBeforeThePrimaryTakesItsReads(t *testing.T) {
	f := start(t, 3, func(d *Deployment) { d.Routers, d.ProbePrice = 120, 0.02 })
	f.r.probeCredit = 8
	f.wait(6000) // what is known of replicas is past the bound
	f.probes = nil
	c := f.take(Bounded, Replayable, "", 0)
	f.never(len(f.probes) != 1 || c.Node != nil, "no replica is asked where it stands")
	asked := f.probes[0]
	asked.Reported(f.at-6000, Replica) // an old report
	asked.Probed(true)
	f.never(len(f.probes) != 2 || f.probes[1] == asked || c.Node != nil, "the other replica is not asked next")
	f.probes[1].Reported(f.at-1000, Replica)
	f.probes[1].Probed(true)
	f.never(c.Node != f.probes[1], "the read did not go to the replica that said it is new enough")

	f.answer(c, 100)
	f.wait(6000)
	f.probes = nil
	c = f.take(Bounded, Replayable, "", 0)
	f.wait(2500) // neither says anything
	f.never(len(f.probes) != 2, "what does not answer is asked on and on")
	f.never(c.Node != f.nodes[0], "a read that no replica answers for does not go to the primary")
}

func TestAskingIsPaidFor(t *testing.T) {
	f := start(t, 3, func(d *Deployment) { d.Routers, d.ProbePrice = 120, 0.2 })
	f.probes = nil
	for range 50 {
		f.wait(6000)
		c := f.take(Bounded, Replayable, "", 0)
		for _, n := range f.nodes[1:] {
			n.Probed(true)
		}
		if f.never(c.Node != f.nodes[0], "a read that nobody was asked for does not go to the primary"); c.Node != nil {
			f.answer(c, 100)
		}
	}
	f.never(len(f.probes) < 3 || len(f.probes) > 8, "fifty commands are to pay for five probes")
}

func TestAListThatComesOnRequestIsAskedForAndNoCrowdAsksAtOnce(t *testing.T) {
	first := map[Tenth]bool{}
	for seed := range uint32(20) {
		f := start(t, 2, func(d *Deployment) { d.Seed, d.AskWithin = seed*7919, 100000 })
		f.wait(26000)
		if len(f.watches) != 1 {
			t.Fatalf("the list was asked for %d times in its first 2.6 s", len(f.watches))
		}
		first[f.watches[0]/2000] = true
		var gaps [4]Tenth
		for i := range gaps { // each is refused; what is held serves on
			f.r.Unlisted()
			at := f.at
			for asked := len(f.watches); len(f.watches) == asked; {
				f.wait(100)
			}
			gaps[i] = f.at - at
		}
		f.never(gaps[0] > 20000 || gaps[3] < 25000 || gaps[3] > 75100, "calls after a refusal don't lie ever further apart")
		f.wait(101000) // a call that is never answered
		f.never(len(f.watches) != 6, "what is never answered is not asked again")
		f.r.ListDone(false)
		f.wait(300000)
		f.never(len(f.watches) != 6, "a list that comes is asked for again")
	}
	f := start(t, 2, nil)
	f.wait(300000)
	f.never(len(first) < 6, "all ask at one time")
	f.never(len(f.watches) > 0, "a list that comes by itself is asked for")
}

func TestAHostSlowToConnectKeepsItsOpenConnections(t *testing.T) {
	f := start(t, 2, nil)
	n := f.nodes[1]
	for range 2 { // the first brings a connection up, the second uses it
		f.answer(f.takeUntil(n), 300)
		f.fresh()
	}
	c, d := f.takeUntil(n), f.takeUntil(n)
	f.wait(100)
	c.Ended(Answered, f.at-20, Replica, 100, true)
	f.wait(2400)
	d.Ended(Unreached, -1, Unknown, 2500, false) // no connection in all the time that there is
	f.never(n.unreachable || len(f.closed) > 0, "a host that answered is taken for dead, or what is open to it is closed")
	f.fresh()
	sent := f.count(n)
	e := f.takeUntil(n)
	f.never(f.count(n) == sent, "an open connection is not used")
	f.fresh()
	for range 9 {
		f.take(Bounded, Replayable, "", 0)
	}
	f.never(f.count(n) > sent+1, "one more connection is opened to a host that is slow to connect")
	e.Ended(Answered, f.at-20, Replica, 100, true)
	f.wait(20100)
	for range 2 {
		f.fresh()
		f.takeUntil(n) // a new one is opened again
	}
}

func TestAHostThatOwesItsOnlyCommandPastTheTargetIsLeft(t *testing.T) {
	f := start(t, 3, func(d *Deployment) { d.Routers = 120 })
	c := f.takeUntil(f.nodes[1])
	f.wait(3100) // its target; the silence that is unusual is longer
	f.fresh()
	f.nodes[1].share = 1
	before := f.count(f.nodes[1])
	for range 5 {
		if d := f.take(Bounded, Replayable, "", 0); d.Node != nil {
			f.answer(d, 100)
		}
	}
	f.never(f.count(f.nodes[1]) > before, "a host that answers nothing is sent the next command too")
	c.Ended(TimedOut, -1, Unknown, 8000, true)
	f.wait(20000)
	f.fresh()
	f.answer(f.takeUntil(f.nodes[1]), 100)
	f.never(f.nodes[1].ejected, "a host that answers again is still left")
}

func TestAWaitAtTheHostIsReckonedWith(t *testing.T) {
	for _, wait := range []Tenth{0, 1000} {
		f := start(t, 2, func(d *Deployment) { d.Guarded, d.Wait = true, wait })
		f.wait(3000)
		f.nodes[1].updatePosition(f.at - 300) // 30 ms behind
		got := f.nodes[1].hasReached(f.at)
		f.never(got != (wait > 0), "a replica that waits for a read until it has caught up is used otherwise")
	}
}
