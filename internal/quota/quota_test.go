package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// defect is a set of hooks through which a simulation disables a safeguard. The zero value disables none.
type defect struct {
	onNewLeader  func(*Lender)
	onServed     func(*Lender)
	onAnswered   func(accounts *Accounts, nowMs int64)
	onDisconnect func(*Lender, Borrower)
}

func (d defect) newLeader(lender *Lender) {
	if d.onNewLeader != nil {
		d.onNewLeader(lender)
	}
}

func (d defect) served(lender *Lender) {
	if d.onServed != nil {
		d.onServed(lender)
	}
}

func (d defect) answered(accounts *Accounts, nowMs int64) {
	if d.onAnswered != nil {
		d.onAnswered(accounts, nowMs)
	}
}

func (d defect) disconnected(lender *Lender, borrower Borrower) {
	if d.onDisconnect != nil && lender != nil {
		d.onDisconnect(lender, borrower)
	}
}

// With lost and delayed messages, leader changes, and proxies that restart, are suspended or partitioned, no window contains more
// operations than the tolerance allows.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{RatePerS: rapid.Float64Range(1, 250).Draw(t, "rate"), Burst: rapid.Float64Range(0, 250).Draw(t, "burst")}
		proxies := rapid.IntRange(1, 20).Draw(t, "proxies")
		sim := simulateFaults(rapid.Uint64().Draw(t, "seed"), limit, proxies, defect{})
		if maximum, allowed := sim.maxOperationsInWindow(), testTolerance.MaxInWindow(limit); float64(maximum) > allowed {
			t.Fatalf("%d operations in a window, %.1f are allowed", maximum, allowed)
		}
	})
}

// Each safeguard is necessary: with it disabled, some simulation run exceeds the limit.
func TestEachSafeguardOfTheLenderIsNeeded(t *testing.T) {
	forEachTenant := func(apply func(*tenant)) func(*Lender) {
		return func(lender *Lender) {
			for _, t := range lender.tenants {
				apply(t)
			}
		}
	}
	for name, disabled := range map[string]defect{
		"a new leader does not wait for loans of its predecessor to expire": {onNewLeader: forEachTenant(func(t *tenant) { t.earlierLoansExpiredAt, t.free = 0, t.capacity })},
		"the lender expires a loan before the proxy does": {onServed: forEachTenant(func(t *tenant) {
			for i := range t.loans {
				t.loans[i].expiresAt = min(t.loans[i].expiresAt, t.advancedTo+loanLifetimeMs/10)
			}
		})},
		"lent tokens are not counted": {onServed: forEachTenant(func(t *tenant) { t.outstanding = 0 })},
		"a token's lifetime is extended when the response arrives": {onAnswered: func(accounts *Accounts, nowMs int64) {
			for i := range accounts.pending {
				accounts.pending[i].sentAt = nowMs + 2*loanLifetimeMs
			}
		}},
		"a lost connection frees the proxy's tokens": {onDisconnect: func(lender *Lender, b Borrower) { lender.tenants[tenantName].freeLoansOf(b) }},
	} {
		t.Run(name, func(t *testing.T) {
			limit := Limit{RatePerS: 50, Burst: 50}
			for seed := range uint64(300) {
				sim := simulateFaults(seed, limit, 4, disabled)
				if float64(sim.maxOperationsInWindow()) > testTolerance.MaxInWindow(limit) {
					return
				}
			}
			t.Fatal("no simulation run exceeds the limit")
		})
	}
}

// freeLoansOf counts a proxy's lent tokens as unspent, which the lender must not do.
func (t *tenant) freeLoansOf(borrower Borrower) {
	t.free += float64(t.reduceLoans(borrower, t.outstanding))
}

// A tenant whose demand far exceeds its limit is granted nearly its full rate through one, some or all proxies, and never more
// than the tolerance allows.
func TestHotTenantGetsItsRate(t *testing.T) {
	for _, limit := range []Limit{{RatePerS: 3, Burst: 3}, {RatePerS: 16, Burst: 16}, {RatePerS: 231, Burst: 231}} {
		for _, proxyCount := range []int{1, 16, 63} {
			for _, overload := range []float64{7.5, 20} {
				t.Run(fmt.Sprintf("%g a second, %d proxies, %g times", limit.RatePerS, proxyCount, overload), func(t *testing.T) {
					sim := newSimulation(1, limit, 63)
					for _, p := range sim.proxies[:proxyCount] {
						p.operationsPerS = limit.RatePerS / 1.6 * overload / float64(proxyCount)
					}
					sim.run(5000)
					before := len(sim.sentTimes)
					sim.run(20_000)
					require.GreaterOrEqual(t, float64(len(sim.sentTimes)-before), 0.95*20*limit.RatePerS)
					requireWithinLimit(t, sim)
				})
			}
		}
	}
}

// At most 1 % of the operations are refused or time out when a tenant's usual demand is spread over all proxies.
func TestUsualDemandIsServed(t *testing.T) {
	for _, limit := range []Limit{{RatePerS: 3, Burst: 3}, {RatePerS: 16, Burst: 16}, {RatePerS: 231, Burst: 231}} {
		t.Run(fmt.Sprintf("%g a second", limit.RatePerS), func(t *testing.T) {
			sim := newSimulation(1, limit, 63)
			sim.run(4000)
			for _, p := range sim.proxies {
				p.operationsPerS = limit.RatePerS / 1.6 / 63
			}
			sim.run(60_000)
			require.LessOrEqual(t, float64(sim.refused+sim.timedOut), 0.01*float64(len(sim.sentTimes)))
		})
	}
}

// serveAsk serves one ask of a proxy for the test tenant.
func serveAsk(lender *Lender, node string, term uint64, ask Ask, nowMs int64) Answer {
	ask.Tenant = tenantName
	return lender.Serve(Borrower{Node: node}, term, []Ask{ask}, nowMs)[0]
}

// lenderWithFullCapacity returns a lender with a limit of 100 operations per second, at a time when all loans of an earlier lender
// have expired and the full capacity is free.
func lenderWithFullCapacity() (lender *Lender, nowMs int64) {
	lender = NewLender(7, testTolerance)
	lender.SetLimits(map[string]Limit{tenantName: {RatePerS: 100, Burst: 100}}, 0)
	return lender, 10_000
}

func TestTokensOfAnEarlierTermAreNotTakenBack(t *testing.T) {
	lender, now := lenderWithFullCapacity()
	all := serveAsk(lender, "a", 7, Ask{Want: 1000, Urgent: 1000}, now).Granted
	require.Equal(t, int(testTolerance.capacity(Limit{RatePerS: 100, Burst: 100})), all)
	require.Zero(t, serveAsk(lender, "b", 6, Ask{Returned: all, Want: 10, Urgent: 10}, now).Granted)
	require.Zero(t, serveAsk(lender, "a", 6, Ask{Returned: all, Want: 10, Urgent: 10}, now).Granted)
	require.Equal(t, 10, serveAsk(lender, "a", 7, Ask{Returned: all, Want: 10, Urgent: 10}, now).Granted)
}

func TestLowerLimitHoldsAtOnce(t *testing.T) {
	lender, now := lenderWithFullCapacity()
	lower := Limit{RatePerS: 1, Burst: 1}
	lender.SetLimits(map[string]Limit{tenantName: lower}, now)
	require.LessOrEqual(t, float64(serveAsk(lender, "a", 7, Ask{Want: 1000, Urgent: 1000}, now).Granted), testTolerance.capacity(lower))
	lender.SetLimits(map[string]Limit{}, now)
	require.Empty(t, lender.Serve(Borrower{}, 7, []Ask{{Tenant: tenantName, Want: 1}}, now), "a tenant without a limit")
	lender.SetLimits(map[string]Limit{tenantName: lower}, now)
	require.LessOrEqual(t, float64(serveAsk(lender, "a", 7, Ask{Want: 99, Urgent: 99}, now).Granted), testTolerance.newTermCapacity(lower), "a tenant that is limited again starts with the reduced capacity")
}

// A proxy that requests all tokens leaves a share to other waiting proxies, and prefetching leaves the reserve.
func TestHotProxyLeavesTokensToOthers(t *testing.T) {
	lender, now := lenderWithFullCapacity()
	all := serveAsk(lender, "hot", 7, Ask{Want: 1000, Urgent: 1000}, now).Granted
	require.Zero(t, serveAsk(lender, "hot", 7, Ask{Used: all}, now).Granted)
	require.True(t, serveAsk(lender, "small", 7, Ask{Want: 1, Urgent: 1}, now).AtLimit)
	now += 100
	require.Equal(t, 9, serveAsk(lender, "hot", 7, Ask{Want: 1000, Urgent: 1000}, now).Granted, "all except the shortfall of the other proxy")
	require.Equal(t, 1, serveAsk(lender, "small", 7, Ask{Want: 1, Urgent: 1}, now).Granted)

	lender, now = lenderWithFullCapacity()
	ahead := serveAsk(lender, "a", 7, Ask{Want: 1000}, now)
	require.False(t, ahead.AtLimit)
	require.Equal(t, 20, serveAsk(lender, "b", 7, Ask{Want: 20, Urgent: 20}, now).Granted)
}

func TestMalformedAsksAreIgnored(t *testing.T) {
	lender, now := lenderWithFullCapacity()
	for _, ask := range []Ask{{Used: -1}, {Returned: -5}, {Overdrawn: -9}, {Want: -1}, {Urgent: -1}, {Want: 1, Urgent: 2}} {
		ask.Tenant = tenantName
		require.Empty(t, lender.Serve(Borrower{}, 7, []Ask{ask}, now))
	}
}

// Guards against dropping the tokens of a response that arrives after the next request was sent: they stayed lent but unused.
func TestLateAnswerIsNotThrownAway(t *testing.T) {
	accounts := NewAccounts()
	accounts.SetLimitedTenants([]string{"t"})
	_, verdict := accounts.Admit("t", 0)
	require.Equal(t, Wait, verdict)
	first := accounts.Request(0)
	require.NotNil(t, accounts.Request(requestTimeoutMs))
	accounts.HandleResponse(&Response{Serial: first.Serial, Term: 1, Answers: []Answer{{Tenant: "t", Granted: 2}}}, requestTimeoutMs+10)
	_, verdict = accounts.Retry("t", requestTimeoutMs+10)
	require.Equal(t, Admitted, verdict)
	_, verdict = accounts.Admit("t", TokenLifetimeMs)
	require.Equal(t, Wait, verdict, "the lifetime of the tokens counts from the request that was answered")
}

// Guards against losing the count of overdrawn operations when the connection on which it was reported is lost.
func TestOverdrawnOperationsAreReportedAgainOnTheNextLink(t *testing.T) {
	accounts := NewAccounts()
	accounts.SetLimitedTenants([]string{"t"})
	accounts.Spend("t", Reservation{}, 0)
	require.Equal(t, 1, accounts.Request(0).Asks[0].Overdrawn)
	accounts.HandleDisconnect()
	require.Equal(t, 1, accounts.Request(10).Asks[0].Overdrawn)
}

// A token that expires at the lender before the report arrives must not be returned: the lender would credit the return to another
// loan, and a token would be free twice.
func TestTokensAboutToExpireAreNotGivenBack(t *testing.T) {
	accounts := NewAccounts()
	accounts.SetLimitedTenants([]string{"t"})
	accounts.Admit("t", 0)
	request := accounts.Request(0)
	accounts.HandleResponse(&Response{Serial: request.Serial, Term: 1, Answers: []Answer{{Tenant: "t", Granted: 3}}}, 5)
	accounts.Retry("t", 5)
	late := accounts.Request(TokenLifetimeMs - minReturnedLifetimeMs + 1)
	require.True(t, late == nil || late.Asks[0].Returned == 0)
}
