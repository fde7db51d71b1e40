package quota

import "math"

const (
	// TokenLifetimeMs is how long after the request a proxy may spend a token, in milliseconds. A longer lifetime lets proxies continue
	// during a change of the leader; a shorter one frees the tokens of a disconnected proxy sooner.
	TokenLifetimeMs = 3000

	// loanLifetimeMs is how long the lender counts a token as lent, in milliseconds. The added margin covers clocks whose rates differ
	// by up to clockDrift.
	loanLifetimeMs = TokenLifetimeMs + 200

	// clockDrift is the tolerated relative difference between the rates of two clocks, with a safety margin.
	clockDrift = 0.03

	millisecondsPerSecond = 1000
)

// Limit is a tenant's limit across all proxies.
type Limit struct {
	RatePerS float64 // operations per second
	Burst    float64 // operations in a burst beyond the rate
}

// Tolerance defines how far the operations in a window may exceed a tenant's limit.
type Tolerance struct {
	WindowS float64 // length of the window, in seconds
	Excess  float64 // fraction of the limit
	Slack   float64 // number of operations, in addition to Excess
}

// MaxInWindow returns the maximum number of operations in any window.
func (t Tolerance) MaxInWindow(limit Limit) float64 {
	return (limit.RatePerS*t.WindowS+limit.Burst)*(1+t.Excess) + t.Slack
}

// headroom returns how many operations beyond the limit the tolerance leaves after clock drift is deducted.
func (t Tolerance) headroom(limit Limit) float64 {
	exact := limit.RatePerS*t.WindowS + limit.Burst
	return max(0, t.MaxInWindow(limit)-exact-limit.RatePerS*t.WindowS*clockDrift-1)
}

// Shares of the headroom for the capacity, for the refill rate and for the lender of a new term.
const (
	capacityShare = 0.4  // capacity beyond the burst: without it tenants of low rates would have fewer tokens than there are proxies
	rateShare     = 0.1  // refill beyond the rate, over a window
	newTermShare  = 0.25 // for each change of the leader; two may occur within a window plus a token's lifetime
)

// capacity returns the maximum number of tokens that are free or lent at once.
func (t Tolerance) capacity(limit Limit) float64 {
	return math.Max(1, limit.Burst+t.headroom(limit)*capacityShare)
}

// newTermCapacity returns the capacity while tokens of an earlier lender, up to its full capacity, may still be spent.
func (t Tolerance) newTermCapacity(limit Limit) float64 {
	return t.headroom(limit) * newTermShare
}

// refillRatePerMs returns the refill rate in tokens per millisecond.
func (t Tolerance) refillRatePerMs(limit Limit) float64 {
	if limit.RatePerS <= 0 || t.WindowS <= 0 {
		return limit.RatePerS / millisecondsPerSecond
	}
	return (limit.RatePerS + t.headroom(limit)*rateShare/t.WindowS) / millisecondsPerSecond
}
