package policy

import "testing"

func TestWriteIsQueuedForQuarterOfItsTime(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.hosts[0].UpdateListing(Draining, false, "", "", 1, 0)
	command := env.submit(Write, NotIdempotent, "s", 0)
	env.advance(7000)
	env.failIf(env.finalAnswer[command] != "", "the write was not held over a change of primary")
	env.advance(1000)
	if env.finalAnswer[command] != "throttled" || env.retryAfter == 0 {
		t.Errorf("after a quarter of its time the write is %q, back in %d", env.finalAnswer[command], env.retryAfter)
	}
}

func TestUnsentReadIsGivenUpByHalfItsTime(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	env.hosts[0].limit, env.hosts[1].limit = 0, 0
	command := env.router.Submit("short", env.router.Groups[0], 1, "", env.now+3000, 0, false)
	env.advance(1000)
	env.failIf(env.finalAnswer[command] != "", "the read was not held")
	env.advance(500)
	env.failIf(env.finalAnswer[command] != "throttled", "a read never sent was held for more than half of its time")
}

func TestQueueOrderIsPriorityThenNewest(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	host := env.hosts[0]
	host.limit = 0
	old := env.submit(BoundedStaleness, Idempotent, "", 0)
	env.advance(200)
	young := env.submit(BoundedStaleness, Idempotent, "", 0)
	write := env.submit(Write, NotIdempotent, "s", 0)
	host.limit = 2
	env.advance(100)
	if write.Host != host || young.Host != host || old.Host != nil {
		t.Errorf("sent: write %v, newest %v, oldest %v", write.Host != nil, young.Host != nil, old.Host != nil)
	}
	env.advance(4000)
	if env.finalAnswer[old] != "throttled" {
		t.Errorf("a read past its use is %q", env.finalAnswer[old])
	}
}

func TestCommandOfGoneClientIsDropped(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.hosts[0].limit = 0
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	command.Abandon()
	env.hosts[0].limit = 9
	env.advance(9000)
	env.failIf(command.Attempts != 0 || env.finalAnswer[command] != "" || !command.IsFinished(),
		"something was done for a client that left")
}

func TestCommandOfEmptyReplicaSetIsAnswered(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	command := env.router.Submit("1", env.router.Groups[0], 99, "", env.now+8000, 0, false)
	env.advance(4000)
	env.failIf(env.finalAnswer[command] != "throttled", "a set that no host is known of keeps its commands")
}

func TestCommandWithoutTimeLeftIsAnsweredAtOnce(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.hosts[0].limit = 0
	command := env.router.Submit("late", env.router.Groups[0], 1, "", env.now, 0, true)
	if env.finalAnswer[command] != "throttled" || !command.IsFinished() {
		t.Errorf("it is %q", env.finalAnswer[command])
	}
}
