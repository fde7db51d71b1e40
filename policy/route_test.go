package policy

import (
	"strings"
	"testing"
)

func TestSessionReadGoesToReplicaPastItsToken(t *testing.T) {
	env := newTestEnv(t, 3, func(d *Deployment) { d.Reports = false })
	write := env.submit(Write, NotIdempotent, "s", 0)
	if write.Host != env.hosts[0] {
		t.Fatalf("write went to %v, not to the primary", write.Host)
	}
	env.advance(500)
	write.EndDispatch(Answered, env.now, Primary, 500, true)
	if command := env.submit(ReadYourWrites, Idempotent, "s", 0); command.Host != env.hosts[0] {
		t.Error("a read before any replica was known at the token left the primary")
	}
	env.hosts[1].updatePosition(env.now + 10)
	for range 3 {
		if command := env.submit(ReadYourWrites, Idempotent, "s", 0); command.Host != env.hosts[1] {
			t.Error("a read did not go to the replica known past the token")
		}
	}
	if command := env.submit(ReadYourWrites, Idempotent, "other", 0); command.Host == env.hosts[0] {
		t.Error("a session that wrote nothing was sent to the primary")
	}
}

func TestSessionTokensGrowAndSurviveEviction(t *testing.T) {
	env := newTestEnv(t, 2, func(d *Deployment) { d.Kept = true })
	env.router.recordWrite("s", 900)
	env.router.recordWrite("s", 500)
	if got := env.router.sessionToken("s"); got != 900 {
		t.Errorf("token went back to %d", got)
	}
	for i := range 3 * maxSessionTokens {
		env.router.recordWrite(strings.Repeat("x", 1+i%7)+string(rune(i)), 100)
	}
	if got, held := env.router.sessionToken("s"), len(env.router.sessionTokens); got < 900 || held > maxSessionTokens {
		t.Errorf("a forgotten session may read at %d, it has written at 900; %d tokens are held", got, held)
	}
}

func TestClientWriteTimeCountsAsToken(t *testing.T) {
	env := newTestEnv(t, 2, func(d *Deployment) { d.Reports = false })
	env.advance(2000)
	env.hosts[1].updatePosition(env.now - 1000)
	if command := env.submit(ReadYourWrites, Idempotent, "s", 900); command.Host != env.hosts[0] {
		t.Error("a replica 100 ms behind took a read whose session wrote 90 ms ago")
	}
	if command := env.submit(ReadYourWrites, Idempotent, "s", 1100); command.Host != env.hosts[1] {
		t.Error("a replica past the write was not used")
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
	env.failIf(command.Host != nil, "a held read went to a replica past its bound")
}

func TestDispatchTimeoutLeavesTimeForAnotherHost(t *testing.T) {
	env := newTestEnv(t, 3, nil)
	env.router.Groups[0].meanLatency = 200
	env.submit(BoundedStaleness, Idempotent, "", 0)
	if env.dispatchTimeout != env.router.Groups[0].Target/2 {
		t.Errorf("the answer is waited for until %d", env.dispatchTimeout)
	}
	env.router.Groups[0].meanLatency = 400 // all are slow: asking again would make it worse
	if env.submit(BoundedStaleness, Idempotent, "", 0); env.dispatchTimeout != 0 {
		t.Errorf("with slow hosts it is waited for until %d", env.dispatchTimeout)
	}
	if env.submit(Write, NotIdempotent, "s", 0); env.dispatchTimeout != 0 {
		t.Errorf("a write that must not run twice is waited for until %d", env.dispatchTimeout)
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
	env.failIf(command.Host != env.hosts[2], "the write did not try the members one after the other")
	command.EndDispatch(Answered, env.now, Primary, 10, true)
	if next := env.submit(Write, NotIdempotent, "s", 0); next.Host != env.hosts[2] {
		t.Error("the next write did not go straight to the primary found")
	}
}

func TestSendByIsWhenDataIsTooOld(t *testing.T) {
	env := newTestEnv(t, 2, func(d *Deployment) { d.Reports = false })
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	env.failIf(command.Host != env.hosts[1] || command.SendBy != env.now+5000, "a bounded read may be sent whenever it can")
	env.advance(5100)
	command.EndDispatch(Expired, -1, UnknownRole, 5000, false)
	env.failIf(command.Host != env.hosts[0] || command.SendBy != 0,
		"what came too late for the replica did not go to the primary")
}

func TestRetryHasTargetOfFirstAttempt(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	group := env.router.Groups[0]
	for range 5 {
		env.router.Submit("first", group, 1, "", env.now+6000, 0, false)
	}
	for _, left := range []TenthMs{4500, 7000} { // a retry has all the time that is left, less or more than a first attempt
		command := env.router.Submit("repeat", group, 1, "", env.now+left, 0, false)
		if want := env.now + left - group.Timeout + group.Target; command.targetAt != want {
			t.Errorf("with %d left the target is %d from now, not %d", left, command.targetAt-env.now, want-env.now)
		}
	}
}

func TestExpectedPositionSufficesWhereHostsCheckReads(t *testing.T) {
	env := newTestEnv(t, 2, func(next *Deployment) { next.Guarded = true })
	env.advance(9000)
	env.hosts[1].positionAt = env.now
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	if command.Host != env.hosts[1] {
		t.Fatal("a replica that was up to date went unused since its position aged")
	}
	command.EndDispatch(Misrouted, -1, Replica, 10, false)
	env.failIf(command.Host != env.hosts[0], "after a miss the read did not go to the primary")
	if next := env.submit(BoundedStaleness, Idempotent, "", 0); next.Host != env.hosts[0] {
		t.Error("the miss taught nothing")
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
		t.Error("reads left no room for a write")
	}
	host.latencyRatio, host.inFlight = 1.5*overloadRatio, nil
	if command := env.submit(ReadYourWrites, Idempotent, "s", 100); command.Host != nil {
		t.Error("a read went to an overloaded primary")
	}
	if command := env.submit(Strong, Idempotent, "", 0); command.Host != host {
		t.Error("a current read has no other place than the primary")
	}
}

func TestWaitAtHostCountsTowardPosition(t *testing.T) {
	for _, wait := range []TenthMs{0, 1000} {
		env := newTestEnv(t, 2, func(d *Deployment) { d.Guarded, d.Wait = true, wait })
		env.advance(3000)
		env.hosts[1].updatePosition(env.now - 300) // 30 ms behind
		got := env.hosts[1].hasReached(env.now)
		env.failIf(got != (wait > 0), "a replica that waits for a read until it has caught up is used otherwise")
	}
}
