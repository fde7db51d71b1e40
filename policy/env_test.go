package policy

import "testing"

// testEnv is a router with a few hosts, and its Caller, which records the calls.
type testEnv struct {
	t               *testing.T
	router          *Router
	now             TenthMs
	dispatched      []*Host // hosts of all dispatches so far
	finalAnswer     map[*Command]string
	retryAfter      TenthMs
	dispatchTimeout TenthMs // timeout of the last dispatch
	commands        int     // number of submitted commands
	probes          []*Host
	closed          []*Host // hosts whose idle connections were closed
	messages        []string
	hosts           []*Host

	released     []*Host
	listRequests []TenthMs
}

func (e *testEnv) Dispatch(command *Command, host *Host, timeout TenthMs) {
	e.dispatchTimeout = timeout
	if e.finalAnswer[command] != "" {
		e.t.Errorf("%s: dispatched after its final answer", command.Name)
	}
	e.dispatched = append(e.dispatched, host)
}

func (e *testEnv) RejectRetryable(command *Command, retryAfter TenthMs) {
	e.retryAfter = retryAfter
	e.finish(command, "throttled")
}
func (e *testEnv) Fail(command *Command)     { e.finish(command, "failed") }
func (e *testEnv) Probe(host *Host)          { e.probes = append(e.probes, host) }
func (e *testEnv) CloseIdleConns(host *Host) { e.closed = append(e.closed, host) }
func (e *testEnv) ReleaseHost(host *Host)    { e.released = append(e.released, host) }
func (e *testEnv) Broadcast(body string)     { e.messages = append(e.messages, body) }
func (e *testEnv) ScheduleWakeUp(TenthMs)    {}
func (e *testEnv) RequestHostList()          { e.listRequests = append(e.listRequests, e.now) }

func (e *testEnv) finish(command *Command, answer string) {
	if e.finalAnswer[command] != "" {
		e.t.Errorf("%s: %s after it was %s", command.Name, answer, e.finalAnswer[command])
	}
	e.finalAnswer[command] = answer
}

// The command groups of the tests, in the order of Deployment.Groups.
var (
	boundedRead = CommandGroup{
		ConsistencyLevel: BoundedStaleness, MaxStaleness: 5000, ResponseTarget: 3000, Timeout: 8000, Benefit: 1,
	}
	sessionRead = CommandGroup{ConsistencyLevel: ReadYourWrites, ResponseTarget: 3000, Timeout: 8000, Benefit: 1}
	freshRead   = CommandGroup{ConsistencyLevel: Strong, ResponseTarget: 3000, Timeout: 8000, Benefit: 1}
	keyedWrite  = CommandGroup{
		IdempotencyClass: Keyed, ConsistencyLevel: Write, ResponseTarget: 5000, Timeout: 30000, KeyRetention: 20000, Benefit: 3,
		LateBenefitFraction: 0.5,
	}
	mutatingWrite = CommandGroup{
		IdempotencyClass: NotIdempotent, ConsistencyLevel: Write, ResponseTarget: 5000, Timeout: 30000, Benefit: 3,
		LateBenefitFraction: 0.5,
	}
)

// The latency of all command groups at the start of a test, and the time within which nearly all answers come, in tenths of a
// millisecond.
const (
	usualLatency = 1000
	usualBound   = usualLatency + boundDeviations*usualLatency/2
)

// newTestEnv creates a router with hosts a (primary), b, c... whose positions are known, as are the usual latencies.
func newTestEnv(t *testing.T, hosts int, change func(*Deployment)) *testEnv {
	env := &testEnv{t: t, now: 1000000, finalAnswer: map[*Command]string{}}
	bounded, session, fresh, keyed, mutating := boundedRead, sessionRead, freshRead, keyedWrite, mutatingWrite
	deployment := Deployment{
		Tick: 50, RouterCount: 1, MaxDispatches: 8, ProbesEnabled: true, PositionsReported: true,
		MaxRetryAfter: 10000, StreamsPerConn: 1,
		IdleConnTimeout: 150000, ConnectTimeout: 2500, ColdOverloadFactor: 2, ColdOverloadWindow: 10000,
		ColdCapacity: 0.2, ColdDuration: 150000,
		Groups: []*CommandGroup{&bounded, &session, &fresh, &keyed, &mutating},
	}
	if change != nil {
		change(&deployment)
	}
	env.router = New(env, deployment, env.now)
	env.router.meanLatency = usualLatency
	for _, group := range deployment.Groups {
		group.latency = latencyStats{
			samples: 100, mean: usualLatency, deviation: usualLatency / 2, recent: usualLatency, unloaded: usualLatency, updatedAt: env.now,
		}
	}
	for i := range hosts {
		host := env.router.AddHost(string(rune('a'+i)), 1)
		host.UpdateListing(Active, i == 0, "", "", 1, 0)
		env.hosts = append(env.hosts, host)
	}
	env.router.EndList(true)
	for _, host := range env.hosts {
		host.EndProbe(true)
		host.ReportLoad(env.now, Replica)
	}
	env.hosts[0].updateRole(Primary, env.now)
	env.hosts[0].latencyRatio = overloadRatio * 0.9 // so that no reads spill to the primary
	return env
}

// advance moves the time forward, and calls WakeUp every 10 ms.
func (e *testEnv) advance(span TenthMs) {
	for end := e.now + span; e.now < end; {
		e.now += 100
		e.router.SetTime(e.now)
		e.router.WakeUp()
	}
}

// submit submits a command of the group with that consistency and idempotency.
func (e *testEnv) submit(consistency Consistency, idempotency Idempotency, session string, sinceWrite TenthMs) *Command {
	for _, group := range e.router.Groups {
		if group.ConsistencyLevel == consistency && group.IdempotencyClass == idempotency {
			e.commands++
			return e.router.Submit(string(rune('0'+e.commands)), group, 1, session, e.now+group.Timeout, sinceWrite)
		}
	}
	panic("no such command group")
}

// answer ends a command's dispatch as Answered after some time.
func (e *testEnv) answer(command *Command, after TenthMs) {
	e.advance(after)
	role := Replica
	if command.Host == command.set.primary {
		role = Primary
	}
	command.EndDispatch(Answered, e.now-20, role, after, true)
}

// failIf marks the test as failed if the condition holds, and continues.
func (e *testEnv) failIf(condition bool, message string) {
	if e.t.Helper(); condition {
		e.t.Error(message)
	}
}

// answerReads submits and answers bounded reads, and keeps all positions known.
func (e *testEnv) answerReads(count int, after TenthMs) {
	for range count {
		if command := e.submit(BoundedStaleness, Idempotent, "", 0); command.Host != nil {
			e.answer(command, after)
		}
		e.refreshPositions()
	}
}

// refreshPositions reports all hosts as up to date.
func (e *testEnv) refreshPositions() {
	for _, host := range e.hosts {
		host.updatePosition(e.now)
	}
}

// submitUntilSentTo submits bounded reads until one is dispatched to the host; the others are answered.
func (e *testEnv) submitUntilSentTo(host *Host) *Command {
	for range 50 {
		command := e.submit(BoundedStaleness, Idempotent, "", 0)
		if command.Host == host {
			return command
		} else if command.Host != nil {
			e.answer(command, 100)
		}
		e.refreshPositions()
	}
	panic("no read was dispatched to the host")
}

// dispatchesTo returns the number of dispatches to a host so far.
func (e *testEnv) dispatchesTo(host *Host) (dispatched int) {
	for _, target := range e.dispatched {
		if target == host {
			dispatched++
		}
	}
	return dispatched
}
