package policy

import (
	"strings"
	"testing"
)

func TestSessionReadGoesToReplicaPastItsToken(t *testing.T) {
	env := newTestEnv(t, 3, func(d *Deployment) { d.PositionsReported = false })
	write := env.submit(Write, NotIdempotent, "s", 0)
	if write.Host != env.hosts[0] {
		t.Fatalf("write was sent to %v, not to the primary", write.Host)
	}
	env.advance(500)
	write.EndDispatch(Answered, env.now, Primary, 500, true)
	if command := env.submit(ReadYourWrites, Idempotent, "s", 0); command.Host != env.hosts[0] {
		t.Error("a read was not sent to the primary though no replica was known to have reached the token")
	}
	env.hosts[1].updatePosition(env.now + 10)
	for range 3 {
		if command := env.submit(ReadYourWrites, Idempotent, "s", 0); command.Host != env.hosts[1] {
			t.Error("a read was not sent to the replica that had reached the token")
		}
	}
	if command := env.submit(ReadYourWrites, Idempotent, "other", 0); command.Host == env.hosts[0] {
		t.Error("a session that wrote nothing was sent to the primary")
	}
}

func TestSessionTokensGrowAndSurviveEviction(t *testing.T) {
	env := newTestEnv(t, 2, func(d *Deployment) { d.LocalSessionTokens = true })
	env.router.recordWrite("s", 900)
	env.router.recordWrite("s", 500)
	if got := env.router.sessionToken("s"); got != 900 {
		t.Errorf("token went back to %d", got)
	}
	for i := range 3 * maxSessionTokens {
		env.router.recordWrite(strings.Repeat("x", 1+i%7)+string(rune(i)), 100)
	}
	if got, held := env.router.sessionToken("s"), len(env.router.sessionTokens); got < 900 || held > maxSessionTokens {
		t.Errorf("an evicted session may read at %d after a write at 900; %d tokens are stored", got, held)
	}
}

func TestClientWriteTimeCountsAsToken(t *testing.T) {
	env := newTestEnv(t, 2, func(d *Deployment) { d.PositionsReported = false })
	env.advance(2000)
	env.hosts[1].updatePosition(env.now - 1000)
	if command := env.submit(ReadYourWrites, Idempotent, "s", 900); command.Host != env.hosts[0] {
		t.Error("a replica 100 ms behind took a read whose session wrote 90 ms ago")
	}
	if command := env.submit(ReadYourWrites, Idempotent, "s", 1100); command.Host != env.hosts[1] {
		t.Error("a replica that had reached the write was not used")
	}
}

func TestStalenessBoundIsCheckedAtEachDispatch(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	env.hosts[0].updateRole(Replica, env.now)
	env.hosts[0].limit, env.hosts[1].limit = 0, 0
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	env.advance(1000)
	env.hosts[1].position = env.now - 5101
	env.hosts[1].limit = 9
	env.advance(100)
	env.failIf(command.Host != nil, "a queued read was sent to a replica past its staleness bound")
}

func TestDispatchTimeoutLeavesTimeForAnotherHost(t *testing.T) {
	env := newTestEnv(t, 3, nil)
	env.submit(BoundedStaleness, Idempotent, "", 0)
	if want := boundedRead.Timeout - usualBound; env.dispatchTimeout != want {
		t.Errorf("the dispatch timeout is %d, not %d", env.dispatchTimeout, want)
	}
	env.router.Groups[0].latency.deviation = usualLatency // all hosts are slow: a second dispatch would add load
	if env.submit(BoundedStaleness, Idempotent, "", 0); env.dispatchTimeout != 0 {
		t.Errorf("with slow hosts the dispatch timeout is %d", env.dispatchTimeout)
	}
	if env.submit(Write, NotIdempotent, "s", 0); env.dispatchTimeout != 0 {
		t.Errorf("the dispatch timeout of a write that must not run twice is %d", env.dispatchTimeout)
	}
}

func TestWriteFindsPrimary(t *testing.T) {
	env := newTestEnv(t, 3, nil)
	env.hosts[0].updateRole(Replica, env.now)
	command := env.submit(Write, NotIdempotent, "s", 0)
	for i := 0; i < 3 && command.Host != nil && command.Host != env.hosts[2]; i++ {
		env.advance(100)
		command.EndDispatch(Misrouted, env.now-10, Replica, 10, false)
		env.advance(300)
	}
	env.failIf(command.Host != env.hosts[2], "the write was not sent to the members one after the other")
	command.EndDispatch(Answered, env.now, Primary, 10, true)
	if next := env.submit(Write, NotIdempotent, "s", 0); next.Host != env.hosts[2] {
		t.Error("the next write was not sent directly to the primary")
	}
}

func TestSendByIsWhenDataIsTooOld(t *testing.T) {
	env := newTestEnv(t, 2, func(d *Deployment) { d.PositionsReported = false })
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	env.failIf(command.Host != env.hosts[1] || command.SendBy != env.now+5000, "a bounded read has no deadline for sending")
	env.advance(5100)
	command.EndDispatch(Expired, -1, UnknownRole, 5000, false)
	env.failIf(command.Host != env.hosts[0] || command.SendBy != 0,
		"a read that expired before it was sent to the replica was not sent to the primary")
}

// A client's retry has less time than its first attempt had. Whether others had more must not decide what becomes of it.
func TestRetryIsTreatedLikeFirstAttempt(t *testing.T) {
	for _, timeOfOthers := range []TenthMs{4500, 8000} {
		env := newTestEnv(t, 1, nil)
		host, group := env.hosts[0], env.router.Groups[0]
		for range 5 {
			env.answer(env.router.Submit("first", group, 1, "", env.now+timeOfOthers, 0), usualLatency)
		}
		host.limit = 2 / 0.7 // reads may use so much of the limit of the primary
		for range 2 {
			env.router.Submit("repeat", group, 1, "", env.now+4500, 0)
		}
		if len(host.inFlight) != 2 {
			t.Errorf("where others have %d, %d of two commands with 4500 left are sent", timeOfOthers, len(host.inFlight))
		}
	}
}

func TestExpectedPositionSufficesWhereHostsCheckReads(t *testing.T) {
	env := newTestEnv(t, 2, func(next *Deployment) { next.HostsCheckPosition = true })
	env.advance(9000)
	env.hosts[1].positionAt = env.now
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	if command.Host != env.hosts[1] {
		t.Fatal("a replica that was up to date was not used because its position is old")
	}
	command.EndDispatch(Misrouted, -1, Replica, 10, false)
	env.failIf(command.Host != env.hosts[0], "after Misrouted the read was not sent to the primary")
	if next := env.submit(BoundedStaleness, Idempotent, "", 0); next.Host != env.hosts[0] {
		t.Error("Misrouted did not update the replica's lag")
	}
}

func TestPrimaryLimitIsReservedForWrites(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	host := env.hosts[0]
	host.limit = 10
	for range 12 {
		env.submit(ReadYourWrites, Idempotent, "s", 100)
	}
	if len(host.inFlight) != 7 {
		t.Errorf("%d reads took the primary's limit of 10", len(host.inFlight))
	}
	if command := env.submit(Write, NotIdempotent, "s", 0); command.Host != host {
		t.Error("reads left no capacity for a write")
	}
	host.latencyRatio, host.inFlight = 1.5*overloadRatio, nil
	if command := env.submit(ReadYourWrites, Idempotent, "s", 100); command.Host != nil {
		t.Error("a read was sent to an overloaded primary")
	}
	if command := env.submit(Strong, Idempotent, "", 0); command.Host != host {
		t.Error("a Strong read was not sent to an overloaded primary")
	}
}

func TestWaitAtHostCountsTowardPosition(t *testing.T) {
	for _, wait := range []TenthMs{0, 1000} {
		env := newTestEnv(t, 2, func(d *Deployment) { d.HostsCheckPosition, d.PositionWait = true, wait })
		env.advance(3000)
		env.hosts[1].updatePosition(env.now - 300) // 30 ms behind
		got := env.hosts[1].hasReached(env.now)
		env.failIf(got != (wait > 0), "the delay that hosts allow for catching up was not counted")
	}
}
