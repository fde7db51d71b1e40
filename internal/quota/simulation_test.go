package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
)

const tenantName = "waco-college"

var testTolerance = Tolerance{WindowS: 5, Excess: 0.1, Slack: 20}

// simulation consists of proxies, a changing leader and the connections between them. It advances in steps of one millisecond of
// real time.
type simulation struct {
	random      *rand.Rand
	now         int64
	limit       Limit
	lender      *Lender
	clock       driftingClock // clock of the leader
	leaderCount uint64
	proxies     []*testProxy
	events      map[int64][]func()
	sentTimes   []int64 // when operations were sent to hosts
	refused     int     // operations refused because the tenant was at its limit
	timedOut    int     // operations that waited until their deadline
	defect      defect

	lossShare  float64 // share of messages that are lost
	maxDelayMs int64   // maximum delay of a message
	maxQueueMs int64   // maximum delay between admitting and sending an operation
}

// driftingClock is a clock with a rate and an offset relative to real time.
type driftingClock struct{ rate, offset float64 }

func (c driftingClock) at(now int64) int64 { return int64(float64(now)*c.rate + c.offset) }

// testProxy is a proxy with its clock, accounts and load.
type testProxy struct {
	simulation        *simulation
	borrower          Borrower
	accounts          *Accounts
	clock             driftingClock
	isDisconnected    bool
	suspendedUntil    int64 // time until which the process is suspended
	operationsPerS    float64
	waitDeadlines     []int64 // deadlines of waiting operations, earliest first
	nextReportAt      int64
	accumulatesTokens bool // it requests all tokens that it can get and spends none
}

func newSimulation(seed uint64, limit Limit, proxies int) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, events: map[int64][]func(){}, maxDelayMs: 8}
	sim.replaceLeader(0)
	for i := range proxies {
		p := &testProxy{simulation: sim, borrower: Borrower{Node: string(rune('a' + i))}}
		sim.proxies = append(sim.proxies, p)
		p.restart()
	}
	return sim
}

// randomClock returns a clock with a rate error of up to 1 % and a random offset.
func (sim *simulation) randomClock() driftingClock {
	return driftingClock{rate: 0.99 + 0.02*sim.random.Float64(), offset: sim.random.Float64() * 1e6}
}

func (sim *simulation) limits() map[string]Limit { return map[string]Limit{tenantName: sim.limit} }

// replaceLeader ends the term of the current lender and starts the next term after gapMs.
func (sim *simulation) replaceLeader(gapMs int64) {
	sim.lender = nil
	sim.leaderCount++
	term := sim.leaderCount
	sim.schedule(gapMs+1, func() {
		if sim.leaderCount != term {
			return
		}
		sim.clock = sim.randomClock()
		sim.lender = NewLender(term, testTolerance)
		sim.lender.SetLimits(sim.limits(), sim.clock.at(sim.now))
		sim.defect.newLeader(sim.lender)
		for _, p := range sim.proxies {
			p.accounts.HandleDisconnect()
		}
	})
}

// schedule runs a function after a delay.
func (sim *simulation) schedule(delayMs int64, event func()) {
	sim.events[sim.now+delayMs] = append(sim.events[sim.now+delayMs], event)
}

// sendMessage calls receive after a random delay, or never if the message is lost.
func (sim *simulation) sendMessage(receive func()) {
	if sim.random.Float64() >= sim.lossShare {
		sim.schedule(1+sim.random.Int64N(sim.maxDelayMs), receive)
	}
}

func (sim *simulation) run(ms int64) {
	for range ms {
		sim.now++
		due := sim.events[sim.now]
		delete(sim.events, sim.now)
		for _, event := range due {
			event()
		}
		for _, p := range sim.proxies {
			if sim.now >= p.suspendedUntil {
				p.step()
			}
		}
	}
}

func (p *testProxy) nowMs() int64 { return p.clock.at(p.simulation.now) }

func (p *testProxy) restart() {
	p.borrower.Incarnation++
	p.accounts, p.clock, p.waitDeadlines, p.isDisconnected = NewAccounts(), p.simulation.randomClock(), nil, false
	p.accounts.SetLimitedTenants([]string{tenantName})
}

// step simulates one millisecond of a proxy: operations arrive, waiting ones time out, and reports are sent when due.
func (p *testProxy) step() {
	demandPerS := p.operationsPerS
	if p.accumulatesTokens {
		demandPerS = 0
		p.accounts.tenants[tenantName].demandPerMs, p.accounts.tenants[tenantName].refused = 1, 1000
	}
	for expected := demandPerS / 1000; p.simulation.random.Float64() < expected; expected-- {
		reservation, verdict := p.accounts.Admit(tenantName, p.nowMs())
		p.applyVerdict(reservation, verdict)
		if verdict == Wait {
			p.waitDeadlines = append(p.waitDeadlines, p.simulation.now+60)
		}
	}
	for len(p.waitDeadlines) > 0 && p.waitDeadlines[0] <= p.simulation.now {
		p.waitDeadlines = p.waitDeadlines[1:]
		p.accounts.Abandon(tenantName)
		p.simulation.timedOut++
	}
	if len(p.waitDeadlines) > 0 || p.simulation.now >= p.nextReportAt {
		p.nextReportAt = p.simulation.now + p.accounts.ReportIntervalMs(p.nowMs())
		p.report()
	}
}

// applyVerdict sends an admitted operation, immediately or after a queueing delay, and counts a refused one.
func (p *testProxy) applyVerdict(reservation Reservation, verdict Verdict) {
	sim, accounts := p.simulation, p.accounts
	switch {
	case verdict == Refused:
		sim.refused++
	case verdict == Wait:
	case sim.maxQueueMs == 0:
		accounts.Spend(tenantName, reservation, p.nowMs())
		sim.sentTimes = append(sim.sentTimes, sim.now)
	default:
		sim.schedule(1+sim.random.Int64N(sim.maxQueueMs), func() { p.sendQueued(accounts, reservation) })
	}
}

// sendQueued sends an operation that was queued for a host. One in ten is abandoned instead, and so is one whose token has
// expired.
func (p *testProxy) sendQueued(accounts *Accounts, reservation Reservation) {
	sim := p.simulation
	expired := reservation.token.expiresAt <= p.nowMs()
	if p.accounts != accounts || sim.now < p.suspendedUntil || expired || sim.random.IntN(10) == 0 {
		accounts.Release(tenantName, reservation, p.nowMs())
		return
	}
	accounts.Spend(tenantName, reservation, p.nowMs())
	sim.sentTimes = append(sim.sentTimes, sim.now)
}

// report sends the next request to the leader and passes on its response.
func (p *testProxy) report() {
	sim, accounts := p.simulation, p.accounts
	request := accounts.Request(p.nowMs())
	if request == nil || p.isDisconnected {
		return
	}
	sim.sendMessage(func() {
		if sim.lender == nil || p.isDisconnected {
			return
		}
		lender := sim.lender
		response := &Response{Serial: request.Serial, Term: lender.Term()}
		response.Answers = lender.Serve(p.borrower, request.Term, request.Asks, sim.clock.at(sim.now))
		sim.defect.served(lender)
		sim.sendMessage(func() { p.receive(accounts, response) })
	})
}

func (p *testProxy) receive(accounts *Accounts, response *Response) {
	if p.simulation.now < p.suspendedUntil {
		p.simulation.schedule(p.suspendedUntil-p.simulation.now, func() { p.receive(accounts, response) })
		return
	}
	if p.isDisconnected || p.accounts != accounts {
		return
	}
	p.simulation.defect.answered(accounts, p.nowMs())
	accounts.HandleResponse(response, p.nowMs())
	for range p.waitDeadlines {
		reservation, verdict := accounts.Retry(tenantName, p.nowMs())
		if verdict == Wait {
			return
		}
		p.waitDeadlines = p.waitDeadlines[1:]
		p.applyVerdict(reservation, verdict)
	}
}

// injectFault injects a random fault at the leader or at proxies, or changes the demand.
func (sim *simulation) injectFault() {
	p := sim.proxies[sim.random.IntN(len(sim.proxies))]
	switch sim.random.IntN(7) {
	case 0:
		sim.replaceLeader(sim.random.Int64N(1500))
	case 1:
		p.restart()
	case 2:
		p.suspendedUntil = sim.now + sim.random.Int64N(6000)
	case 3:
		p.disconnect(sim.random.Int64N(6000))
	case 5:
		for _, other := range sim.proxies {
			other.disconnect(sim.random.Int64N(1000))
		}
	case 4:
		p.operationsPerS = sim.random.Float64() * 10 * sim.limit.RatePerS
	default: // the whole demand moves to one proxy
		for _, other := range sim.proxies {
			other.operationsPerS = 0
		}
		p.operationsPerS = sim.limit.RatePerS * 20
	}
}

// disconnect disconnects a proxy from the leader for ms milliseconds.
func (p *testProxy) disconnect(ms int64) {
	p.isDisconnected = true
	p.simulation.defect.disconnected(p.simulation.lender, p.borrower)
	p.simulation.schedule(1+ms, func() { p.isDisconnected = false })
}

// maxOperationsInWindow returns the maximum number of operations in any window.
func (sim *simulation) maxOperationsInWindow() (maximum int) {
	slices.Sort(sim.sentTimes)
	first := 0
	for i, at := range sim.sentTimes {
		for sim.sentTimes[first] <= at-int64(testTolerance.WindowS*millisecondsPerSecond) {
			first++
		}
		maximum = max(maximum, i-first+1)
	}
	return maximum
}

// simulateFaults runs a simulation in which proxies accumulate tokens and then spend them all at once, with faults in between.
func simulateFaults(seed uint64, limit Limit, proxies int, disabled defect) *simulation {
	sim := newSimulation(seed, limit, proxies)
	sim.defect = disabled
	sim.lossShare, sim.maxDelayMs, sim.maxQueueMs = 0.1*sim.random.Float64(), 1+sim.random.Int64N(300), sim.random.Int64N(300)
	sim.run(4000)
	for range 8 {
		sim.setAccumulatesTokens(sim.random.IntN(4) > 0)
		sim.run(sim.random.Int64N(8000))
		sim.injectFault()
		sim.run(sim.random.Int64N(1500))
		sim.setAccumulatesTokens(false)
		for _, p := range sim.proxies {
			p.operationsPerS = limit.RatePerS * 40 / float64(proxies)
		}
		sim.run(sim.random.Int64N(1500))
		sim.injectFault()
		sim.run(3000 + sim.random.Int64N(3000))
	}
	return sim
}

func (sim *simulation) setAccumulatesTokens(accumulatesTokens bool) {
	for _, p := range sim.proxies {
		p.accumulatesTokens = accumulatesTokens
	}
}

// requireWithinLimit fails the test if a window contains more operations than the tolerance allows.
func requireWithinLimit(t testing.TB, sim *simulation) {
	t.Helper()
	if maximum, allowed := sim.maxOperationsInWindow(), testTolerance.MaxInWindow(sim.limit); float64(maximum) > allowed {
		t.Fatalf("%d operations in a window, %.1f are allowed", maximum, allowed)
	}
}
