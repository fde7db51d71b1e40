package policy

import "testing"

func TestCommandWaitsAsLongAsAnAnswerCanComeInItsTime(t *testing.T) {
	for _, test := range []struct {
		name    string
		submit  func(env *testEnv) *Command
		timeout TenthMs
	}{
		{"write", func(env *testEnv) *Command { return env.submit(Write, NotIdempotent, "s", 0) }, mutatingWrite.Timeout},
		{"read", func(env *testEnv) *Command { return env.submit(BoundedStaleness, Idempotent, "", 0) }, boundedRead.Timeout},
		{"fresh read", func(env *testEnv) *Command { return env.submit(Strong, Idempotent, "", 0) }, freshRead.Timeout},
	} {
		env := newTestEnv(t, 1, nil)
		env.hosts[0].UpdateListing(Draining, false, "", "", 1, 0)
		command := test.submit(env)
		latestStart := test.timeout - usualBound - queueCheckTicks*env.router.Tick
		env.advance(latestStart - 100)
		env.failIf(env.finalAnswer[command] != "", test.name+": given up while a host could still answer in time")
		env.advance(200)
		if env.finalAnswer[command] != "throttled" || env.retryAfter == 0 {
			t.Errorf("%s: too late for an answer, its final answer is %q, retry delay %d", test.name, env.finalAnswer[command], env.retryAfter)
		}
	}
}

// A host that comes back late serves whoever still has the time.
func TestCommandIsServedByHostThatComesBackLate(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.hosts[0].limit = 0
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	env.advance(boundedRead.Timeout * 55 / 100)
	env.hosts[0].limit = 1
	env.advance(100)
	env.failIf(command.Host != env.hosts[0], "a read with enough time left was not served")
}

func TestCommandBehindLongerQueueThanItsTimeIsRefusedAtOnce(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	host := env.hosts[0]
	host.limit = 2
	for range 2 + 54 { // two run at once, each for 100 ms, so 54 more start within 2.7 s; an answer takes 0.3 s at most
		command := env.submit(Write, NotIdempotent, "s", 0)
		env.failIf(env.finalAnswer[command] != "", "a write that can be answered in time was refused")
	}
	command := env.submit(Write, NotIdempotent, "s", 0)
	env.failIf(env.finalAnswer[command] != "throttled", "a write that can't be answered in time waits")
	env.failIf(env.retryAfter != env.router.MaxRetryAfter, "the client was not told to wait for the queue to become shorter")
}

func TestQueueOrderIsPriorityThenLeastTime(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	host, group := env.hosts[0], env.router.Groups[0]
	urgent := *group
	group.SetPriority(1)
	host.limit = 0
	older := env.router.Submit("older", group, 1, "", env.now+8000, 0)
	env.advance(200)
	newer := env.router.Submit("newer", group, 1, "", env.now+8000, 0)
	short := env.router.Submit("short", group, 1, "", env.now+6000, 0) // a client with less time, by its own choice or on a retry
	first := env.router.Submit("first", &urgent, 1, "", env.now+8000, 0)
	for i, want := range []*Command{first, short, older, newer} {
		host.limit = float64(i+1) / 0.7 // reads may use so much of the limit of the primary
		env.router.sets[1].serveQueue()
		if want.Host != host {
			t.Fatalf("%s was not served as number %d", want.Name, i+1)
		}
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
	command := env.router.Submit("1", env.router.Groups[0], 99, "", env.now+8000, 0)
	env.advance(8000 - usualBound)
	env.failIf(env.finalAnswer[command] != "throttled", "a command of a replica set without hosts stays queued")
}

func TestCommandWithoutTimeLeftIsAnsweredAtOnce(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.hosts[0].limit = 0
	command := env.router.Submit("late", env.router.Groups[0], 1, "", env.now, 0)
	if env.finalAnswer[command] != "throttled" || !command.IsFinished() {
		t.Errorf("the final answer is %q", env.finalAnswer[command])
	}
}
