package policy

import "testing"

// told has a router live by a view, with no probes.
func told(routers int) func(*Deployment) {
	return func(d *Deployment) { d.Told, d.Probes, d.Reports, d.Routers = true, false, false, routers }
}

func TestNewerWordsOfAHostGoBeforeOlderAndOwnAnswersBeforeBoth(t *testing.T) {
	f := start(t, 3, told(1))
	f.wait(1000)
	a, b := f.nodes[0], f.nodes[1]
	b.Told(f.at-500, Primary, f.at-500, peerLatencyUnknown)
	if f.r.replicaSet(1).primary != b {
		t.Fatal("the newer word is not followed")
	}
	a.Told(f.at-700, Primary, f.at-700, peerLatencyUnknown) // the old one's, relayed late
	b.Told(f.at+9999, Primary, f.at+9999, peerLatencyUnknown)
	if f.r.replicaSet(1).primary != b || b.position > f.at {
		t.Error("an older word, or one of the future, is followed")
	}
	c := f.take(Write, Mutating, "s", 0)
	sentAt := f.at
	f.wait(100)
	c.Ended(Missed, -1, Replica, 100, true)
	if b.Told(sentAt-1, Primary, sentAt-1, peerLatencyUnknown); f.r.replicaSet(1).primary == b {
		t.Error("a word from before its own refusal makes it the primary again")
	}
	if b.Told(sentAt+50, Primary, sentAt+50, peerLatencyUnknown); f.r.replicaSet(1).primary != b {
		t.Error("a word from after its refusal does not")
	}
}

func TestAPrimaryThatCannotBeShownToBeNewerIsAskedNext(t *testing.T) {
	f := start(t, 3, told(1))
	f.answer(f.take(Write, Mutating, "s", 0), 100)
	c := f.nodes[2]
	c.Told(f.at-5000, Primary, f.at-5000, peerLatencyUnknown) // its log stands where the old primary left it
	if f.r.replicaSet(1).primary != f.nodes[0] {
		t.Fatal("it is followed against a newer answer")
	}
	f.nodes[0].eject(second)
	if w := f.take(Write, Mutating, "s", 0); w.Node != c {
		t.Errorf("asked %v", w.Node)
	}
}

func TestWithNoPlannerAHostThatTookNoConnectionComesBackCold(t *testing.T) {
	for _, blind := range []bool{false, true} {
		f := start(t, 2, told(1))
		f.answers(20, 100)
		f.r.Count(1, blind)
		f.wait(2 * second)
		f.fresh()
		b := f.nodes[1]
		c := f.takeUntil(b)
		b.quickSentAt, b.lastAnswerAt = 0, 0
		c.Ended(Unreached, -1, Unknown, 0, false)
		f.never(!b.ejected || !b.down, "a host that takes no connection is not left")
		f.wait(second)
		f.fresh()
		f.answer(f.takeUntil(b), 100)
		if b.cold() != blind {
			t.Errorf("blind %v, cold %v", blind, b.cold())
		}
	}
}

// TestTrafficThatMovesRaisesNoBudget is why forwarders need no grants: what each may send to a cold host is a
// part of a mean of its own warm work that starts from nothing, and means of sums are sums of means.
func TestTrafficThatMovesRaisesNoBudget(t *testing.T) {
	sum := func(from, to *fake) float64 { return from.nodes[0].model.warmRate + to.nodes[0].model.warmRate }
	from := start(t, 2, told(2))
	serve := func(f *fake, span Tenth) {
		for end := f.at + span; f.at < end; {
			f.answers(4, 100)
			f.wait(max(0, 2*second/10-400))
		}
	}
	serve(from, 40*second)
	to := start(t, 2, told(2))
	before := sum(from, to)
	for range 10 { // all of it moves to one that has just begun
		at := to.at
		serve(to, second)
		from.wait(to.at - at)
		if now := sum(from, to); now > 1.1*before || now < before/2 {
			t.Fatalf("%.4g for both together, %.4g before", now, before)
		}
	}
	if fresh := start(t, 2, told(2)); fresh.nodes[0].model.warmRate != 0 {
		t.Error("a restart brings a budget with it")
	}
}
