package policy

import (
	"slices"
	"testing"
)

func TestThreeResetsAreTheCommandsFault(t *testing.T) {
	env := newTestEnv(t, 6, nil)
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	for range 5 {
		if command.Host != nil {
			command.EndDispatch(Reset, -1, UnknownRole, 10, false)
		}
	}
	if command.Attempts != 3 || env.finalAnswer[command] != "throttled" {
		t.Errorf("%d dispatches, then %q", command.Attempts, env.finalAnswer[command])
	}
}

func TestOneLostAnswerDoesNotEjectHost(t *testing.T) {
	for inFlight, wantEjected := range map[int]bool{1: false, 4: true} {
		env := newTestEnv(t, 2, nil)
		env.router.Groups[4].latency = latencyStats{samples: 500, mean: 300, deviation: 100, recent: 300, unloaded: 300}
		env.answerReads(60, 300)
		primary := env.hosts[0]
		for range inFlight {
			env.submit(Write, NotIdempotent, "s", 0)
		}
		env.advance(1000)
		if primary.ejected != wantEjected {
			t.Errorf("with %d in flight ejected is %t", inFlight, primary.ejected)
		}
	}
}

func TestRefusedConnectionDoesNotSpendAllDispatches(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.hosts[0].lastFastSentAt = env.now // the host is assumed to be up
	command := env.submit(Write, NotIdempotent, "s", 0)
	for range 9 {
		if command.Host != nil {
			command.EndDispatch(Unreachable, -1, UnknownRole, 1, false)
		}
	}
	if command.Attempts != 1 || env.finalAnswer[command] != "" {
		t.Errorf("%d dispatches, then %q", command.Attempts, env.finalAnswer[command])
	}
	env.advance(200)
	env.failIf(command.Attempts != 2, "the command was not dispatched again")
}

func TestRetryByEffectAndOutcome(t *testing.T) {
	for _, test := range []struct {
		idempotency Idempotency
		outcome     Outcome
		retried     bool   // whether another dispatch follows if time is left
		finalAnswer string // final answer if none follows
	}{
		{Idempotent, Errored, true, "throttled"},
		{Idempotent, Cancelled, true, "throttled"},
		{Idempotent, Overloaded, true, "throttled"},
		{Idempotent, Unreachable, true, "throttled"},
		{Keyed, Errored, true, "failed"},
		{Keyed, Reset, true, "failed"},
		{Keyed, Cancelled, true, "failed"},
		{Keyed, TimedOut, true, "failed"},
		{Keyed, Overloaded, true, "throttled"},
		{Keyed, Expired, true, "throttled"},
		{NotIdempotent, Errored, false, "failed"},
		{NotIdempotent, Reset, false, "failed"},
		{NotIdempotent, Cancelled, false, "failed"},
		{NotIdempotent, TimedOut, false, "failed"},
		{NotIdempotent, Overloaded, true, "throttled"},
		{NotIdempotent, Unreachable, true, "throttled"},
		{NotIdempotent, Expired, true, "throttled"},
		{NotIdempotent, Misrouted, true, "throttled"},
	} {
		for _, timeLeft := range []bool{true, false} {
			retried, finalAnswer := endOneDispatch(t, test.idempotency, test.outcome, timeLeft)
			if retried != (test.retried && timeLeft) {
				t.Errorf("%+v time left %v: retried: %v", test, timeLeft, retried)
			}
			if (!timeLeft || !test.retried) && finalAnswer != test.finalAnswer {
				t.Errorf("%+v time left %v: final answer %q", test, timeLeft, finalAnswer)
			}
		}
	}
}

// endOneDispatch ends the first dispatch of a command, with or without time left. It returns whether another dispatch follows,
// and the final answer.
func endOneDispatch(t *testing.T, idempotency Idempotency, outcome Outcome, timeLeft bool) (retried bool, finalAnswer string) {
	env := newTestEnv(t, 4, nil)
	consistency := Write
	if idempotency == Idempotent {
		consistency = BoundedStaleness
	}
	command := env.submit(consistency, idempotency, "s", 0)
	if !timeLeft {
		env.now = command.timeoutAt - 50
		env.router.SetTime(env.now)
	}
	command.EndDispatch(outcome, -1, UnknownRole, 100, false)
	if timeLeft {
		for i := 0; i < 40 && command.Host == nil && env.finalAnswer[command] == ""; i++ {
			env.hosts[1].updateRole(Primary, env.now) // so that a write has a host whichever was tried first
			env.advance(100)
		}
	}
	return command.Host != nil, env.finalAnswer[command]
}

func TestKeyedCommandIsNotRetriedPastKeyMemory(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	command := env.submit(Write, Keyed, "s", 0)
	env.advance(20000)
	command.EndDispatch(TimedOut, -1, UnknownRole, 20000, false)
	env.advance(300)
	if command.Host != nil || env.finalAnswer[command] != "failed" {
		t.Errorf("a retry was sent after the key's retention, or the final answer is %q", env.finalAnswer[command])
	}
}

func TestSilentHostIsEjectedAndRetriedGently(t *testing.T) {
	env := newTestEnv(t, 3, nil)
	env.router.Groups[0].latency = latencyStats{samples: 500, mean: 300, deviation: 100, recent: 300, unloaded: 300}
	env.answerReads(60, 300)
	silent := env.hosts[1]
	silent.latencyRatio = 0 // so that the next read goes to it
	unanswered := env.submitUntilSentTo(silent)
	env.advance(1500)
	env.refreshPositions()
	if !silent.ejected {
		t.Fatal("a silent host was not ejected")
	}
	unanswered.EndDispatch(Reset, -1, UnknownRole, 1500, false)
	env.failIf(unanswered.Host == nil || unanswered.Host == silent, "the read was not sent to another host")
	env.advance(20000)
	env.refreshPositions()
	env.dispatched = nil
	for range 6 {
		env.submit(BoundedStaleness, Idempotent, "", 0)
	}
	if trials := env.dispatchesTo(silent); trials != 1 {
		t.Errorf("%d of 6 reads were sent to the silent host", trials)
	}
}

func TestErrorIsRetriedOnceElsewhere(t *testing.T) {
	env := newTestEnv(t, 5, nil)
	command := env.submit(BoundedStaleness, Idempotent, "", 0)
	for range 3 {
		if command.Host != nil {
			command.EndDispatch(Errored, env.now-20, Replica, 10, false)
		}
	}
	if command.Attempts != 2 || env.dispatched[0] == env.dispatched[1] || env.finalAnswer[command] != "throttled" {
		t.Errorf("%d dispatches to %v, then %q", command.Attempts, env.dispatched, env.finalAnswer[command])
	}
}

func TestOwnStallIsNotHostSilence(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	stalled := newTestEnv(t, 1, nil)
	env.submit(BoundedStaleness, Idempotent, "", 0)
	env.advance(100)
	env.router.SetTime(env.now + 90000)
	env.router.WakeUp()
	for _, host := range env.hosts {
		env.failIf(host.ejected, "a host was ejected for silence during the router's own stall")
	}
	stalled.hosts[0].limit = 0
	expired := stalled.submit(BoundedStaleness, Idempotent, "", 0)
	stalled.now += 9000
	stalled.router.SetTime(stalled.now)
	stalled.submit(BoundedStaleness, Idempotent, "", 0) // schedules a wake-up of its own
	stalled.router.WakeUp()
	env.failIf(stalled.finalAnswer[expired] == "", "a command that became overdue during the router's stall is still queued")
}

func TestHostOutOfConnectionsIsUp(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	host := env.hosts[1]
	host.lastFastSentAt = env.now
	command := env.submitUntilSentTo(host)
	env.advance(100)
	command.EndDispatch(Unreachable, -1, UnknownRole, 100, false)
	if host.unreachable || command.Host == host {
		t.Error("a host with recent answers is marked unreachable, or got the same command again")
	}
	for _, other := range slices.Clone(host.inFlight) {
		other.EndDispatch(Answered, env.now-20, Replica, 100, true)
	}
	env.failIf(!slices.Contains(env.closed, host), "an idle connection to a host without free connections was kept")
}

func TestSlowConnectingHostKeepsItsOpenConnections(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	host := env.hosts[1]
	for range 2 { // the first opens a connection, the second uses it
		env.answer(env.submitUntilSentTo(host), 300)
		env.refreshPositions()
	}
	command, other := env.submitUntilSentTo(host), env.submitUntilSentTo(host)
	env.advance(100)
	command.EndDispatch(Answered, env.now-20, Replica, 100, true)
	env.advance(2400)
	other.EndDispatch(Unreachable, -1, UnknownRole, 2500, false) // the connection attempt timed out
	env.failIf(host.unreachable || len(env.closed) > 0, "a host that answered is marked unreachable, or its connections were closed")
	env.refreshPositions()
	sent := env.dispatchesTo(host)
	third := env.submitUntilSentTo(host)
	env.failIf(env.dispatchesTo(host) == sent, "an open connection was not used")
	env.refreshPositions()
	for range 9 {
		env.submit(BoundedStaleness, Idempotent, "", 0)
	}
	env.failIf(env.dispatchesTo(host) > sent+1, "a new connection was opened to a host that is slow to connect")
	third.EndDispatch(Answered, env.now-20, Replica, 100, true)
	env.advance(20100)
	for range 2 {
		env.refreshPositions()
		env.submitUntilSentTo(host) // opens a new connection
	}
}

func TestHostThatOwesItsOnlyCommandIsEjected(t *testing.T) {
	env := newTestEnv(t, 3, func(next *Deployment) { next.RouterCount = 120 })
	command := env.submitUntilSentTo(env.hosts[1])
	env.advance(6100) // past six times the unloaded latency, but shorter than an unusual silence
	env.refreshPositions()
	env.hosts[1].share = 1
	before := env.dispatchesTo(env.hosts[1])
	for range 5 {
		if next := env.submit(BoundedStaleness, Idempotent, "", 0); next.Host != nil {
			env.answer(next, 100)
		}
	}
	env.failIf(env.dispatchesTo(env.hosts[1]) > before, "a host that did not answer got another command")
	command.EndDispatch(TimedOut, -1, UnknownRole, 8000, true)
	env.advance(20000)
	env.refreshPositions()
	env.answer(env.submitUntilSentTo(env.hosts[1]), 100)
	env.failIf(env.hosts[1].ejected, "a host that answers again is still ejected")
}

func TestFewFastAnswersDoNotMakeAHostSilent(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	primary := env.hosts[0]
	env.router.meanLatency = 0
	for _, group := range env.router.Groups {
		group.latency = latencyStats{}
	}
	for range 3 {
		env.answer(env.submit(Write, NotIdempotent, "s", 0), 10)
	}
	env.submit(Write, NotIdempotent, "s", 0)
	env.advance(2000)
	env.failIf(primary.ejected, "a host that answered within a millisecond three times was ejected for 200 ms of silence")
}
