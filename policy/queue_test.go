package policy

import "testing"

func TestWriteIsQueuedForQuarterOfItsTime(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.hosts[0].UpdateListing(Draining, false, "", "", 1, 0)
	command := env.submit(Write, NotIdempotent, "s", 0)
	env.advance(7000)
	env.failIf(env.finalAnswer[command] != "", "the write was not queued during a change of primary")
	env.advance(1000)
	if env.finalAnswer[command] != "throttled" || env.retryAfter == 0 {
		t.Errorf("a quarter into the timeout the write's final answer is %q, retry delay %d", env.finalAnswer[command], env.retryAfter)
	}
}

func TestUnsentReadIsGivenUpByHalfItsTime(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	env.hosts[0].limit, env.hosts[1].limit = 0, 0
	command := env.router.Submit("short", env.router.Groups[0], 1, "", env.now+3000, 0, false)
	env.advance(1000)
	env.failIf(env.finalAnswer[command] != "", "the read was not queued")
	env.advance(500)
	env.failIf(env.finalAnswer[command] != "throttled", "an undispatched read was queued for more than half of its timeout")
}

func TestQueueOrderIsPriorityThenNewest(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	host := env.hosts[0]
	host.limit = 0
	older := env.submit(BoundedStaleness, Idempotent, "", 0)
	env.advance(200)
	newer := env.submit(BoundedStaleness, Idempotent, "", 0)
	write := env.submit(Write, NotIdempotent, "s", 0)
	host.limit = 2
	env.advance(100)
	if write.Host != host || newer.Host != host || older.Host != nil {
		t.Errorf("dispatched: write %v, newest %v, oldest %v", write.Host != nil, newer.Host != nil, older.Host != nil)
	}
	env.advance(4000)
	if env.finalAnswer[older] != "throttled" {
		t.Errorf("the final answer of a read past its target is %q", env.finalAnswer[older])
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
		"a command of a disconnected client was processed")
}

func TestCommandOfEmptyReplicaSetIsAnswered(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	command := env.router.Submit("1", env.router.Groups[0], 99, "", env.now+8000, 0, false)
	env.advance(4000)
	env.failIf(env.finalAnswer[command] != "throttled", "a command of a replica set without hosts stays queued")
}

func TestCommandWithoutTimeLeftIsAnsweredAtOnce(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.hosts[0].limit = 0
	command := env.router.Submit("late", env.router.Groups[0], 1, "", env.now, 0, true)
	if env.finalAnswer[command] != "throttled" || !command.IsFinished() {
		t.Errorf("the final answer is %q", env.finalAnswer[command])
	}
}
