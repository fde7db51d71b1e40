package policy

import (
	"slices"
	"strings"
	"testing"
)

func TestSessionReadsFollowTheirToken(t *testing.T) {
	f := start(t, 3, func(d *Deployment) { d.Reports = false })
	w := f.take(Write, Mutating, "s", 0)
	if w.Node != f.nodes[0] {
		t.Fatalf("write went to %v, not to the primary", w.Node)
	}
	f.wait(500)
	w.Ended(Answered, f.at, Primary, 500, true)
	if c := f.take(Session, Replayable, "s", 0); c.Node != f.nodes[0] {
		t.Error("a read before any replica was known at the token left the primary")
	}
	f.nodes[1].updatePosition(f.at + 10)
	for range 3 {
		if c := f.take(Session, Replayable, "s", 0); c.Node != f.nodes[1] {
			t.Error("a read did not go to the replica known past the token")
		}
	}
	if c := f.take(Session, Replayable, "other", 0); c.Node == f.nodes[0] {
		t.Error("a session that wrote nothing was sent to the primary")
	}
}

func TestTokensOnlyGrowAndOutliveTheirRoom(t *testing.T) {
	f := start(t, 2, func(d *Deployment) { d.Kept = true })
	f.r.recordWrite("s", 900)
	f.r.recordWrite("s", 500)
	if got := f.r.sessionToken("s"); got != 900 {
		t.Errorf("token went back to %d", got)
	}
	for i := range 3 * maxSessionTokens {
		f.r.recordWrite(strings.Repeat("x", 1+i%7)+string(rune(i)), 100)
	}
	if got, held := f.r.sessionToken("s"), len(f.r.tokens); got < 900 || held > maxSessionTokens {
		t.Errorf("a forgotten session may read at %d, it has written at 900; %d tokens are held", got, held)
	}
}

func TestBroughtWriteTimeIsAToken(t *testing.T) {
	f := start(t, 2, func(d *Deployment) { d.Reports = false })
	f.wait(2000)
	f.nodes[1].updatePosition(f.at - 1000)
	if c := f.take(Session, Replayable, "s", 900); c.Node != f.nodes[0] {
		t.Error("a replica 100 ms behind took a read whose session wrote 90 ms ago")
	}
	if c := f.take(Session, Replayable, "s", 1100); c.Node != f.nodes[1] {
		t.Error("a replica past the write was not used")
	}
}

func TestABoundIsCheckedAtEachDispatch(t *testing.T) {
	f := start(t, 2, nil)
	f.nodes[0].updateRole(Replica, f.at)
	f.nodes[0].limit, f.nodes[1].limit = 0, 0
	c := f.take(Bounded, Replayable, "", 0)
	f.wait(1000)
	f.nodes[1].position = f.at - 5101
	f.nodes[1].limit = 9
	f.wait(100)
	f.never(c.Node != nil, "a held read went to a replica past its bound")
}

func TestFormerPrimaryIsAReplicaFromItsFirstWord(t *testing.T) {
	f := start(t, 2, nil)
	c := f.take(Fresh, Replayable, "", 0)
	f.wait(100)
	c.Ended(Errored, f.at-100, Replica, 100, false)
	f.never(f.r.sets[1].primary != nil || c.Node != nil, "a host that said it is a replica is still read as the primary")
	f.nodes[1].updateRole(Primary, f.at)
	f.wait(100)
	f.never(c.Node != f.nodes[1], "the held read did not go to the new primary")
}

func TestAnAnswerToWhatWasSentLaterKnowsTheRoleBetter(t *testing.T) {
	f := start(t, 2, nil)
	first := f.take(Write, Mutating, "s", 0)
	f.wait(100)
	second := f.take(Write, Mutating, "s", 0)
	f.wait(100)
	second.Ended(Missed, f.at-10, Replica, 10, false)
	first.Ended(Answered, f.at-10, Primary, 200, true) // it was, when that was sent
	f.never(f.r.sets[1].primary != nil, "a host that said since that it is a replica is taken for the primary")
}

func TestALostAnswerIsAskedForElsewhereInTime(t *testing.T) {
	f := start(t, 3, nil)
	f.r.Groups[0].meanLatency = 200
	f.take(Bounded, Replayable, "", 0)
	if f.limit != f.r.Groups[0].Target/2 {
		t.Errorf("the answer is waited for until %d", f.limit)
	}
	f.r.Groups[0].meanLatency = 400 // all are slow: asking again would make it worse
	if f.take(Bounded, Replayable, "", 0); f.limit != 0 {
		t.Errorf("with slow hosts it is waited for until %d", f.limit)
	}
	if f.take(Write, Mutating, "s", 0); f.limit != 0 {
		t.Errorf("a write that must not run twice is waited for until %d", f.limit)
	}
}

func TestWhatThreeHostsBreakOffIsTheCommandsFault(t *testing.T) {
	f := start(t, 6, nil)
	c := f.take(Bounded, Replayable, "", 0)
	for range 5 {
		if c.Node != nil {
			c.Ended(Reset, -1, Unknown, 10, false)
		}
	}
	if c.Sent != 3 || f.final[c] != "throttled" {
		t.Errorf("%d dispatches, then %q", c.Sent, f.final[c])
	}
}

func TestAColdPrimaryIsKeptForWrites(t *testing.T) {
	f := start(t, 1, nil)
	n := f.nodes[0]
	n.model.warmRate = 0.01
	n.Listed(In, true, "", "", 1, f.at)
	n.updateRole(Primary, f.at)
	n.limit, n.coldBudget = 100, 1.4
	c := f.take(Session, Replayable, "s", 100)
	f.never(c.Node != nil, "a read took what is spare at a cold primary")
	if c := f.take(Write, Mutating, "s", 0); c.Node != n {
		t.Error("a write did not get what is spare at a cold primary")
	}
}

func TestOneLostAnswerDoesNotMakeAHostSilent(t *testing.T) {
	for many, left := range map[int]bool{1: false, 4: true} {
		f := start(t, 2, nil)
		f.r.Groups[4].meanLatency = 300
		f.answers(60, 300)
		p := f.nodes[0]
		for range many {
			f.take(Write, Mutating, "s", 0)
		}
		f.wait(1000)
		if p.ejected != left {
			t.Errorf("with %d out it is left: %t", many, p.ejected)
		}
	}
}

func TestARefusedConnectionDoesNotSpendAllDispatchesAtOnce(t *testing.T) {
	f := start(t, 1, nil)
	f.nodes[0].quickSentAt = f.at // it is up, for all that is known
	c := f.take(Write, Mutating, "s", 0)
	for range 9 {
		if c.Node != nil {
			c.Ended(Unreached, -1, Unknown, 1, false)
		}
	}
	if c.Sent != 1 || f.final[c] != "" {
		t.Errorf("%d dispatches, then %q", c.Sent, f.final[c])
	}
	f.wait(200)
	f.never(c.Sent != 2, "it was not tried again")
}

func TestWriteFindsThePrimary(t *testing.T) {
	f := start(t, 3, nil)
	f.nodes[0].updateRole(Replica, f.at)
	c := f.take(Write, Mutating, "s", 0)
	for i := 0; i < 3 && c.Node != nil && c.Node != f.nodes[2]; i++ {
		f.wait(100)
		c.Ended(Missed, f.at-10, Replica, 10, false)
		f.wait(300)
	}
	f.never(c.Node != f.nodes[2], "the write did not try the members one after the other")
	c.Ended(Answered, f.at, Primary, 10, true)
	if d := f.take(Write, Mutating, "s", 0); d.Node != f.nodes[2] {
		t.Error("the next write did not go straight to the primary found")
	}
}

func TestWriteIsHeldForASmallPartOfItsTime(t *testing.T) {
	f := start(t, 1, nil)
	f.nodes[0].Listed(Draining, false, "", "", 1, 0)
	c := f.take(Write, Mutating, "s", 0)
	f.wait(7000)
	f.never(f.final[c] != "", "the write was not held over a change of primary")
	f.wait(1000)
	if f.final[c] != "throttled" || f.back == 0 {
		t.Errorf("after a quarter of its time the write is %q, back in %d", f.final[c], f.back)
	}
}

func TestAReadThatNoHostWasSentFreesItsClientByHalfItsTime(t *testing.T) {
	f := start(t, 2, nil)
	f.nodes[0].limit, f.nodes[1].limit = 0, 0
	c := f.r.Take("short", f.r.Groups[0], 1, "", f.at+3000, 0, false)
	f.wait(1000)
	f.never(f.final[c] != "", "the read was not held")
	f.wait(500)
	f.never(f.final[c] != "throttled", "a read never sent was held for more than half of its time")
}

func TestADispatchNamesTheMomentAtWhichItsDataIsTooOld(t *testing.T) {
	f := start(t, 2, func(d *Deployment) { d.Reports = false })
	c := f.take(Bounded, Replayable, "", 0)
	f.never(c.Node != f.nodes[1] || c.SendBy != f.at+5000, "a bounded read may be sent whenever it can")
	f.wait(5100)
	c.Ended(Moot, -1, Unknown, 5000, false)
	f.never(c.Node != f.nodes[0] || c.SendBy != 0, "what came too late for the replica did not go to the primary")
}

func TestEffects(t *testing.T) {
	for _, story := range []struct {
		effect Effect
		o      Outcome
		again  bool   // another dispatch follows when there is time
		end    string // the final answer when there is none
	}{
		{Replayable, Errored, true, "throttled"},
		{Replayable, Cancelled, true, "throttled"},
		{Replayable, Full, true, "throttled"},
		{Replayable, Unreached, true, "throttled"},
		{Keyed, Errored, true, "failed"},
		{Keyed, Reset, true, "failed"},
		{Keyed, Cancelled, true, "failed"},
		{Keyed, TimedOut, true, "failed"},
		{Keyed, Full, true, "throttled"},
		{Keyed, Moot, true, "throttled"},
		{Mutating, Errored, false, "failed"},
		{Mutating, Reset, false, "failed"},
		{Mutating, Cancelled, false, "failed"},
		{Mutating, TimedOut, false, "failed"},
		{Mutating, Full, true, "throttled"},
		{Mutating, Unreached, true, "throttled"},
		{Mutating, Moot, true, "throttled"},
		{Mutating, Missed, true, "throttled"},
	} {
		for _, early := range []bool{true, false} {
			f := start(t, 4, nil)
			need := Write
			if story.effect == Replayable {
				need = Bounded
			}
			c := f.take(need, story.effect, "s", 0)
			if !early {
				f.at = c.timeoutAt - 50
				f.r.Clock(f.at)
			}
			c.Ended(story.o, -1, Unknown, 100, false)
			if early {
				for i := 0; i < 40 && c.Node == nil && f.final[c] == ""; i++ {
					f.nodes[1].updateRole(Primary, f.at) // wherever it went, there is a place for it
					f.wait(100)
				}
			}
			if again := c.Node != nil; again != (story.again && early) {
				t.Errorf("%+v early %v: sent again: %v", story, early, again)
			}
			if want := story.end; (!early || !story.again) && f.final[c] != want {
				t.Errorf("%+v early %v: it ended as %q", story, early, f.final[c])
			}
		}
	}
}

func TestKeyedIsNotSentPastTheMemoryOfItsMark(t *testing.T) {
	f := start(t, 2, nil)
	c := f.take(Write, Keyed, "s", 0)
	f.wait(20000)
	c.Ended(TimedOut, -1, Unknown, 20000, false)
	f.wait(300)
	if c.Node != nil || f.final[c] != "failed" {
		t.Errorf("after the memory of its mark a repeat went out, or %q", f.final[c])
	}
}

func TestNothingGoesToWhatDrainsOrIsGone(t *testing.T) {
	f := start(t, 2, nil)
	f.nodes[1].Listed(Draining, false, "", "", 1, 0)
	if c := f.take(Bounded, Replayable, "", 0); c.Node == f.nodes[1] {
		t.Error("a read went to a draining host")
	}
	f.nodes[1].Listed(In, false, "", "", 1, f.at)
	f.nodes[1].updatePosition(f.at)
	f.nodes[0].Listed(In, false, "", "", 1, 0)
	f.r.ListDone(true)
	f.never(f.nodes[1].standing != In, "a host that is back is not used")
	f.nodes[0].Listed(In, true, "", "", 1, 0)
	f.r.ListDone(true)
	f.never(f.nodes[1].standing != Gone, "a host that a complete list lacks still counts")
}

func TestAColdHostGetsItsPartOfWhatWarmOnesDo(t *testing.T) {
	f := start(t, 3, nil)
	cold := f.nodes[1]
	for _, n := range f.nodes {
		n.limit = 1000
	}
	f.answers(400, 100) // the warm ones do 50 a second each
	cold.Listed(In, false, "", "", 1, f.at)
	cold.limit, f.sent = 1000, nil
	for _, n := range []*Node{f.nodes[0], f.nodes[2]} {
		n.updateRole(Replica, f.at)
		n.Listed(Draining, false, "", "", 1, 0)
	}
	most := 2 * 0.2 * cold.model.warmRate * 10000
	for i := range 400 { // for two seconds
		f.take(Bounded, Replayable, "", 0)
		if i%2 == 0 {
			f.wait(100)
			cold.updatePosition(f.at)
		}
	}
	if got := float64(len(f.sent)); got > 2*most || got < most/2 {
		t.Errorf("a cold host was sent %v in two seconds, it can take %.1f", got, 2*most)
	}
}

func TestManyRoutersTogetherDoNotPushAColdHostOver(t *testing.T) {
	sent := 0
	for i := range 200 {
		f := start(t, 2, func(d *Deployment) { d.Routers, d.Seed = 200, uint32(i) })
		f.nodes[1].Listed(In, false, "", "", 1, f.at)
		f.nodes[1].model.warmRate, f.nodes[1].model.measuredFor = 0.00005, 100000 // half a command a second, as each sees it
		for range 10 {
			f.take(Bounded, Replayable, "", 0)
			f.nodes[1].updatePosition(f.at + 1000)
			f.wait(100)
		}
		sent += f.count(f.nodes[1])
	}
	if sent > 40 || sent == 0 { // a tenth of a second of 2 x 0.2 x 100 commands a second, and chance
		t.Errorf("200 routers together sent a cold host %d commands at once", sent)
	}
}

func TestASilentHostIsLeftAndTriedAgainGently(t *testing.T) {
	f := start(t, 3, nil)
	f.r.Groups[0].meanLatency, f.r.Groups[0].samples = 300, 500
	f.answers(60, 300)
	silent := f.nodes[1]
	stuck := f.takeUntil(silent)
	f.wait(1500)
	f.fresh()
	if !silent.ejected {
		t.Fatal("a silent host was not left")
	}
	stuck.Ended(Reset, -1, Unknown, 1500, false)
	f.never(stuck.Node == nil || stuck.Node == silent, "the read was not sent elsewhere")
	f.wait(20000)
	f.fresh()
	f.sent = nil
	for range 6 {
		f.take(Bounded, Replayable, "", 0)
	}
	if again := f.count(silent); again != 1 {
		t.Errorf("%d of 6 reads tried the silent host", again)
	}
}

func TestAHostThatCameBackIsTriedGently(t *testing.T) {
	f := start(t, 2, nil)
	c := f.takeUntil(f.nodes[1])
	c.Ended(Unreached, -1, Unknown, 100, false)
	f.wait(10000)
	if !slices.Contains(f.probes, f.nodes[1]) {
		t.Fatal("a host that can't be reached was not probed")
	}
	f.nodes[1].Probed(true)
	f.never(f.nodes[1].unreachable || f.nodes[1].limit > 2, "a host that was away and is back, listed or not, is not tried gently")
}

func TestACrowdedHostLosesItsCap(t *testing.T) {
	f := start(t, 1, nil)
	n, before := f.nodes[0], f.nodes[0].limit
	for range 10 {
		f.answer(f.take(Bounded, Replayable, "", 0), 2500)
	}
	if n.limit >= before {
		t.Errorf("cap is %v after late answers, it was %v", n.limit, before)
	}
	low := n.limit
	f.wait(300000) // it is spared, then tried again
	for range 100 {
		a, b := f.take(Bounded, Replayable, "", 0), f.take(Bounded, Replayable, "", 0)
		f.answer(a, 100)
		f.answer(b, 0)
	}
	if n.limit <= low {
		t.Errorf("cap is %v after many quick answers, it was %v", n.limit, low)
	}
}

func TestTheWorthiestThenTheNewestGoFirst(t *testing.T) {
	f := start(t, 1, nil)
	n := f.nodes[0]
	n.limit = 0
	old := f.take(Bounded, Replayable, "", 0)
	f.wait(200)
	young := f.take(Bounded, Replayable, "", 0)
	w := f.take(Write, Mutating, "s", 0)
	n.limit = 2
	f.wait(100)
	if w.Node != n || young.Node != n || old.Node != nil {
		t.Errorf("sent: write %v, newest %v, oldest %v", w.Node != nil, young.Node != nil, old.Node != nil)
	}
	f.wait(4000)
	if f.final[old] != "throttled" {
		t.Errorf("a read past its use is %q", f.final[old])
	}
}

func TestARepeatHasTheTargetOfItsFirstTry(t *testing.T) {
	f := start(t, 1, nil)
	g := f.r.Groups[0]
	for range 5 {
		f.r.Take("first", g, 1, "", f.at+6000, 0, false)
	}
	for _, left := range []Tenth{4500, 7000} { // the last try has all that is left, less or more than a first
		c := f.r.Take("repeat", g, 1, "", f.at+left, 0, false)
		if want := f.at + left - g.Timeout + g.Target; c.targetAt != want {
			t.Errorf("with %d left the target is %d from now, not %d", left, c.targetAt-f.at, want-f.at)
		}
	}
}

func TestAClientThatLeftIsNotServed(t *testing.T) {
	f := start(t, 1, nil)
	f.nodes[0].limit = 0
	c := f.take(Bounded, Replayable, "", 0)
	c.Left()
	f.nodes[0].limit = 9
	f.wait(9000)
	f.never(c.Sent != 0 || f.final[c] != "" || !c.Over(), "something was done for a client that left")
}

func TestWhereHostsCheckReadsAnExpectedPositionWillDo(t *testing.T) {
	f := start(t, 2, func(d *Deployment) { d.Guarded = true })
	f.wait(9000)
	f.nodes[1].positionAt = f.at
	c := f.take(Bounded, Replayable, "", 0)
	if c.Node != f.nodes[1] {
		t.Fatal("a replica that was up to date went unused since its position aged")
	}
	c.Ended(Missed, -1, Replica, 10, false)
	f.never(c.Node != f.nodes[0], "after a miss the read did not go to the primary")
	if d := f.take(Bounded, Replayable, "", 0); d.Node != f.nodes[0] {
		t.Error("the miss taught nothing")
	}
}

func TestAHostThatTurnsAwayUnseenIsLeftAloneForLongerByAll(t *testing.T) {
	many := func(d *Deployment) { d.Peers, d.Routers = true, 200 }
	f, g, before := start(t, 1, many), start(t, 1, many), Tenth(0)
	f.r.peerCredit = 1e6
	f.wait(1000)
	g.wait(1000)
	for range 3 {
		c := f.take(Write, Mutating, "s", 0)
		c.Ended(Full, f.at-20, Primary, 20, false)
		n := f.nodes[0]
		if c.Sent != 1 || c.Node != nil || n.retryAt-f.at <= before {
			t.Fatalf("sent %d times, left alone for %d after %d", c.Sent, n.retryAt-f.at, before)
		}
		before = n.retryAt - f.at
		c.Left()
		f.wait(before)
	}
	g.r.Heard(f.told[0])
	f.never(g.nodes[0].retryAt <= g.at, "a host that others found full was not left alone")
}

func TestLostAnswersDoNotFillACap(t *testing.T) {
	f := start(t, 1, nil)
	f.nodes[0].limit = 2
	f.take(Write, Mutating, "s", 0)
	f.take(Write, Mutating, "s", 0)
	c := f.take(Write, Mutating, "s", 0)
	f.nodes[0].lastAnswerAt, f.nodes[0].quickSentAt = f.at+6000, f.at+6000 // it answers others all the while
	f.wait(5200)
	f.never(c.Node == nil, "writes whose answers were lost kept the others from the primary")
}

func TestThePrimaryIsKeptForWhatOnlyItCanDo(t *testing.T) {
	f := start(t, 1, nil)
	n := f.nodes[0]
	n.limit = 10
	for range 12 {
		f.take(Session, Replayable, "s", 100)
	}
	if len(n.inFlight) != 7 {
		t.Errorf("%d reads took the primary's cap of 10", len(n.inFlight))
	}
	if c := f.take(Write, Mutating, "s", 0); c.Node != n {
		t.Error("reads left no place for a write")
	}
	n.lateness, n.inFlight = 1.5*lateRatio, nil
	if c := f.take(Session, Replayable, "s", 100); c.Node != nil {
		t.Error("a read went to a crowded primary")
	}
	if c := f.take(Fresh, Replayable, "", 0); c.Node != n {
		t.Error("a current read has no other place than the primary")
	}
}

func TestManyRoutersTellEachOther(t *testing.T) {
	many := func(d *Deployment) { d.Peers, d.Routers = true, 200 }
	f, g := start(t, 2, many), start(t, 2, many)
	f.r.peerCredit = 1e6
	f.wait(3000)
	c := f.take(Write, Mutating, "s", 0)
	c.Ended(Answered, f.at-20, Primary, 100, true)
	if len(f.told) != 1 {
		t.Fatalf("an answer was told %d times", len(f.told))
	}
	f.nodes[0].shareState(0.1)
	if f.r.peerCredit = 0; len(f.told) != 1 {
		t.Error("what was just told was told again")
	}
	g.wait(3000)
	g.nodes[0].positionKnown, g.nodes[0].position, g.r.sets[1].primary = false, 0, nil
	g.r.Heard(f.told[0])
	if n := g.nodes[0]; !n.positionKnown || n.position != f.nodes[0].position/10*10 || g.r.sets[1].primary != n {
		t.Errorf("heard %q, position %d, primary %v", f.told[0], n.position, g.r.sets[1].primary)
	}
	before := g.nodes[1].position
	for _, body := range []string{
		"", ".", "x", g.nodes[1].peerID(), g.nodes[1].peerID() + ".", g.nodes[1].peerID() + ".-1",
		g.nodes[1].peerID() + ".zzzzzzzzzz", g.nodes[1].peerID() + ".zzzzzzzzzzzzzzzzz", "nobody.1a",
	} {
		g.r.Heard(body)
	}
	f.never(g.nodes[1].position != before || g.nodes[1].share < 1, "a message that no router can have sent was heeded")
	f.wait(1000)
	if f.nodes[0].shareState(0.1); len(f.told) != 1 {
		t.Error("more was told than may be spent")
	}
}

func TestOneOfHundredsShedsWhereItsCapTellsNothing(t *testing.T) {
	for _, routers := range []int{1, 200} {
		f := start(t, 2, func(d *Deployment) { d.Routers = routers })
		n := f.nodes[1]
		for range 40 {
			n.rate(1, 0, 0)
		}
		f.never(routers == 200 && n.share > 0.05, "a jammed host gets most of what comes for it")
		f.never(routers == 1 && n.share < 1, "a router alone has its cap for that")
		for range 200 {
			n.rate(0.1, f.at, 0)
		}
		f.never(n.share < 1, "a host that does well again does not get all")
	}
}

func TestAnErrorIsTriedOnceElsewhere(t *testing.T) {
	f := start(t, 5, nil)
	c := f.take(Bounded, Replayable, "", 0)
	for range 3 {
		if c.Node != nil {
			c.Ended(Errored, f.at-20, Replica, 10, false)
		}
	}
	if c.Sent != 2 || f.sent[0] == f.sent[1] || f.final[c] != "throttled" {
		t.Errorf("%d dispatches to %v, then %q", c.Sent, f.sent, f.final[c])
	}
}

func TestOwnStandstillIsNoHostsSilence(t *testing.T) {
	f := start(t, 2, nil)
	held := start(t, 1, nil)
	f.take(Bounded, Replayable, "", 0)
	f.wait(100)
	f.r.Clock(f.at + 90000)
	f.r.Woke()
	for _, n := range f.nodes {
		f.never(n.ejected, "a host was taken for silent while the router stood still")
	}
	held.nodes[0].limit = 0
	old := held.take(Bounded, Replayable, "", 0)
	held.at += 9000
	held.r.Clock(held.at)
	held.take(Bounded, Replayable, "", 0) // asks for a wake of its own
	held.r.Woke()
	f.never(held.final[old] == "", "what became overdue while the router stood still waits on")
}

func TestACommandOfASetWithoutHostsIsAnswered(t *testing.T) {
	f := start(t, 1, nil)
	c := f.r.Take("1", f.r.Groups[0], 99, "", f.at+8000, 0, false)
	f.wait(4000)
	f.never(f.final[c] != "throttled", "a set that no host is known of keeps its commands")
}

func TestWhatComesWithNoTimeLeftIsAnsweredAtOnce(t *testing.T) {
	f := start(t, 1, nil)
	f.nodes[0].limit = 0
	c := f.r.Take("late", f.r.Groups[0], 1, "", f.at, 0, true)
	if f.final[c] != "throttled" || !c.Over() {
		t.Errorf("it is %q", f.final[c])
	}
}

func TestAHostThatTakesNoMoreConnectionsIsUp(t *testing.T) {
	f := start(t, 2, nil)
	n := f.nodes[1]
	n.quickSentAt = f.at
	c := f.takeUntil(n)
	f.wait(100)
	c.Ended(Unreached, -1, Unknown, 100, false)
	if n.unreachable || c.Node == n {
		t.Error("a host that others had answers from was taken for dead, or asked again for the same command")
	}
	for _, d := range slices.Clone(n.inFlight) {
		d.Ended(Answered, f.at-20, Replica, 100, true)
	}
	f.never(!slices.Contains(f.closed, n), "an idle connection was kept where others wait for one")
}

func TestAWrongListWhereOnlyADrainBindsChangesNothing(t *testing.T) {
	f := start(t, 3, func(d *Deployment) { d.DrainAlone = true })
	f.r.ListDone(true) // an empty list
	f.nodes[1].Listed(Draining, false, "", "", 1, 0)
	f.never(f.nodes[1].standing != Draining, "a drain was not heeded")
	if c := f.take(Write, Mutating, "s", 0); c.Node != f.nodes[0] {
		t.Error("a list that calls all hosts gone kept a write from the primary")
	}
}

func TestWordsOfOneHostLeaveRoomForThoseOfTheOthers(t *testing.T) {
	for _, routers := range []int{3, 300} {
		f := start(t, 2, func(d *Deployment) { d.Peers, d.Routers, d.PeerPrice = true, routers, 0.012 })
		f.r.peerCredit = 1e6
		busy, seldom := f.nodes[0], f.nodes[1]
		f.wait(3000)
		for range 50 { // in half a second: all that hear of one host alone would read there alone
			busy.updatePosition(f.at)
			busy.shareState(1)
			f.wait(100)
		}
		seldom.shareState(0.1)
		if n := len(f.told); routers == 300 && (n < 2 || n > 4) || routers == 3 && n < 10 {
			t.Errorf("%d routers: %d words, of one host that answers all the time and one that did once", routers, n)
		}
	}
}

func TestACrowdThatStartsDoesNotProbeEveryHostFromEveryRouter(t *testing.T) {
	alone, crowd := 0, 0
	for seed := range 100 {
		for _, peers := range []bool{false, true} {
			f := &fake{t: t, at: 1000000, final: map[*Cmd]string{}}
			f.r = New(f, Deployment{Seed: uint32(seed), Tick: 10, Routers: 100, Probes: true, Reports: true, Peers: peers}, f.at)
			for i := range 20 {
				f.r.Host(string(rune('a'+i)), 1).Listed(In, false, "", "", 1, 0)
			}
			f.r.ListDone(true)
			if peers {
				crowd += len(f.probes)
			} else {
				alone += len(f.probes)
			}
		}
	}
	if alone != 2000 || crowd < 10 || crowd > 100 {
		t.Errorf("of 20 hosts 100 routers that hear nothing of each other probe %d, those that do %d", alone, crowd)
	}
}

func TestThatAHostTakesNoMoreConnectionsIsToldAtOnce(t *testing.T) {
	f := start(t, 2, func(d *Deployment) { d.Peers, d.Routers, d.PeerPrice = true, 300, 0.012 })
	f.r.peerCredit = 1e6
	f.wait(3000)
	for _, part := range []float64{0.1, peerConnsExhausted, peerRejecting} {
		f.nodes[1].shareState(part)
		f.wait(400)
	}
	if len(f.told) != 3 {
		t.Errorf("%d words of a host that answers, then turns away connections, then commands", len(f.told))
	}
}
