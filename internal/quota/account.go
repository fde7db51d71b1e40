package quota

import (
	"math"
	"slices"
)

const (
	// demandTimeConstantMs is the time constant of the moving average of a tenant's demand, in milliseconds.
	demandTimeConstantMs = 2000

	// prefetchMs is how many milliseconds of demand a proxy requests tokens for in advance.
	prefetchMs = 1000

	// idleDemandPerMs is the demand, in operations per millisecond, below which a proxy prefetches no tokens.
	idleDemandPerMs = 0.1 / millisecondsPerSecond

	// renewBeforeMs is the remaining lifetime, in milliseconds, below which a token is returned in exchange for a new one.
	renewBeforeMs = 1000

	// minReturnedLifetimeMs is the remaining lifetime, in milliseconds, that a token must exceed to be returned. If the lender
	// had already expired the token when the report arrives, it would credit the return to another loan.
	minReturnedLifetimeMs = requestTimeoutMs

	// surplusFactor times the target number of tokens may be held before the excess is returned. Conversely, no request is
	// sent just to prefetch while at least the target divided by this factor is held.
	surplusFactor = 2
)

// account is a proxy's state for one tenant: the tokens that it holds, what it has yet to report, and its demand.
type account struct {
	batches      []tokenBatch // in order of expiry, earliest first
	used         int          // tokens of the current term that were spent but not yet reported
	overdrawn    int          // operations sent without a token but not yet reported
	waiting      int          // operations waiting for a token
	refused      int          // operations refused since the last request
	atLimitUntil int64        // time until which operations without a token are refused
	retryAfterMs int64        // retry delay for clients whose operations are refused

	demandPerMs     float64 // moving average of arriving operations
	demandUpdatedAt int64   // when demandPerMs was last updated
}

// tokenBatch is a number of tokens that were granted in one answer and expire together.
type tokenBatch struct {
	term      uint64 // term of the lender
	expiresAt int64
	count     int
}

// recordDemand adds an arriving operation to the moving average of the demand.
func (a *account) recordDemand(nowMs int64) {
	a.decayDemand(nowMs)
	a.demandPerMs += 1.0 / demandTimeConstantMs
}

// decayDemand applies the exponential decay of the demand up to nowMs.
func (a *account) decayDemand(nowMs int64) {
	if elapsed := nowMs - a.demandUpdatedAt; elapsed > 0 {
		a.demandPerMs *= math.Exp(-float64(elapsed) / demandTimeConstantMs)
		a.demandUpdatedAt = nowMs
	}
}

// takeToken removes and returns the token that expires first; false if there is none.
func (a *account) takeToken(nowMs int64) (tokenBatch, bool) {
	a.dropExpired(nowMs)
	if len(a.batches) == 0 {
		return tokenBatch{}, false
	}
	taken := a.batches[0]
	a.batches[0].count--
	if a.batches[0].count == 0 {
		a.batches = a.batches[1:]
	}
	taken.count = 1
	return taken, true
}

func (a *account) dropExpired(nowMs int64) {
	for len(a.batches) > 0 && a.batches[0].expiresAt <= nowMs {
		a.batches = a.batches[1:]
	}
}

// addBatch inserts tokens in order of expiry. An empty or expired batch is ignored.
func (a *account) addBatch(tokens tokenBatch, nowMs int64) {
	if tokens.count <= 0 || tokens.expiresAt <= nowMs {
		return
	}
	at := len(a.batches)
	for at > 0 && a.batches[at-1].expiresAt > tokens.expiresAt {
		at--
	}
	a.batches = slices.Insert(a.batches, at, tokens)
}

// ask reports usage, returns tokens that expire soon or exceed the demand, and requests the tokens that the demand needs. It
// returns false if there is nothing to report or request. Tokens of an earlier term are not returned, because their lender no
// longer exists.
func (a *account) ask(tenant string, term uint64, nowMs int64) (Ask, bool) {
	a.dropExpired(nowMs)
	a.decayDemand(nowMs)
	targetTokens := a.targetTokens()
	kept, returned := a.removeReturned(term, targetTokens*surplusFactor, nowMs)
	urgent := a.waiting + a.refused
	ask := Ask{Tenant: tenant, Used: a.used, Returned: returned, Overdrawn: a.overdrawn, Urgent: urgent}
	ask.Want = urgent + max(0, targetTokens-kept)
	if ask.Used == 0 && ask.Returned == 0 && ask.Overdrawn == 0 && urgent == 0 && kept*surplusFactor >= targetTokens {
		return Ask{}, false
	}
	a.used, a.overdrawn, a.refused = 0, 0, 0
	return ask, true
}

// targetTokens returns how many tokens the proxy should hold for the recent demand.
func (a *account) targetTokens() int {
	if a.demandPerMs < idleDemandPerMs {
		return 0
	}
	return int(math.Ceil(a.demandPerMs * prefetchMs))
}

// removeReturned removes the tokens to return: those that expire within renewBeforeMs and those beyond maxTokens. Tokens that
// expire within minReturnedLifetimeMs and tokens of earlier terms are kept.
func (a *account) removeReturned(term uint64, maxTokens int, nowMs int64) (kept, returned int) {
	for i := len(a.batches) - 1; i >= 0; i-- {
		tokens := &a.batches[i]
		keep := tokens.count
		switch {
		case tokens.term != term, tokens.expiresAt-nowMs <= minReturnedLifetimeMs:
		case tokens.expiresAt-nowMs <= renewBeforeMs:
			keep = 0
		default:
			keep = max(0, min(tokens.count, maxTokens-kept))
		}
		returned += tokens.count - keep
		kept += keep
		tokens.count = keep
	}
	a.batches = slices.DeleteFunc(a.batches, func(tokens tokenBatch) bool { return tokens.count == 0 })
	return kept, returned
}
