package quota

import (
	"maps"
	"slices"
)

// tenant is the lender's token bucket of one tenant.
type tenant struct {
	refillPerMs           float64 // rate at which free is refilled
	capacity              float64 // maximum number of tokens that are free or lent
	newTermCapacity       float64 // replaces capacity until earlierLoansExpiredAt
	earlierLoansExpiredAt int64   // when all tokens that an earlier lender may have lent have expired

	free        float64 // number of free tokens; negative if overdrawn
	advancedTo  int64   // time up to which refills and expiries are applied
	outstanding int     // number of tokens in loans
	loans       []loan  // in order of expiry, earliest first
	shortfalls  map[Borrower]shortfall
}

// shortfall is the number of urgent tokens that a proxy was not granted.
type shortfall struct {
	recordedAt int64
	count      int
}

// loan is a number of tokens that a proxy may still spend.
type loan struct {
	borrower  Borrower
	expiresAt int64
	count     int
}

func newTenant(nowMs int64) *tenant {
	return &tenant{earlierLoansExpiredAt: nowMs + loanLifetimeMs, advancedTo: nowMs, shortfalls: map[Borrower]shortfall{}}
}

func (t *tenant) setLimit(limit Limit, tolerance Tolerance) {
	t.refillPerMs = tolerance.refillRatePerMs(limit)
	t.capacity = tolerance.capacity(limit)
	t.newTermCapacity = min(t.capacity, tolerance.newTermCapacity(limit))
	t.refill(t.advancedTo) // applies a lower capacity immediately
}

// advance applies refills and expiries up to nowMs and returns how many tokens have expired. Loans expire one by one in order,
// because a loan occupies its part of the capacity until it expires, so that free can't be refilled into it.
func (t *tenant) advance(nowMs int64) (expired int) {
	for len(t.loans) > 0 && t.loans[0].expiresAt <= nowMs {
		t.refillUntil(t.loans[0].expiresAt)
		expired += t.loans[0].count
		t.outstanding -= t.loans[0].count
		t.loans = t.loans[1:]
	}
	t.refillUntil(nowMs)
	return expired
}

// refillUntil refills up to nowMs, in two steps if the capacity changes at earlierLoansExpiredAt in between.
func (t *tenant) refillUntil(nowMs int64) {
	if t.advancedTo < t.earlierLoansExpiredAt && t.earlierLoansExpiredAt < nowMs {
		t.refill(t.earlierLoansExpiredAt)
	}
	t.refill(nowMs)
}

// refill adds free tokens at the refill rate up to nowMs, within the capacity that applies at advancedTo.
func (t *tenant) refill(nowMs int64) {
	capacity := t.capacity
	if t.advancedTo < t.earlierLoansExpiredAt {
		capacity = t.newTermCapacity
	}
	elapsed := max(0, nowMs-t.advancedTo)
	room := capacity - float64(t.outstanding)
	t.free = min(t.free+t.refillPerMs*float64(elapsed), max(room, min(t.free, 0)))
	t.advancedTo = max(t.advancedTo, nowMs)
}

// reduceLoans removes up to count tokens from a proxy's loans, earliest expiry first, and returns how many were removed.
func (t *tenant) reduceLoans(borrower Borrower, count int) (removed int) {
	for i := range t.loans {
		if t.loans[i].borrower == borrower {
			part := min(t.loans[i].count, count-removed)
			t.loans[i].count -= part
			removed += part
		}
	}
	if removed > 0 {
		t.outstanding -= removed
		t.loans = slices.DeleteFunc(t.loans, func(l loan) bool { return l.count == 0 })
	}
	return removed
}

// otherShortfalls returns how many other proxies have a recent shortfall, and the sum of these shortfalls.
func (t *tenant) otherShortfalls(borrower Borrower, nowMs int64) (proxies, missing int) {
	maps.DeleteFunc(t.shortfalls, func(_ Borrower, short shortfall) bool { return nowMs-short.recordedAt > shortfallLifetimeMs })
	for other, short := range t.shortfalls {
		if other != borrower {
			proxies++
			missing += short.count
		}
	}
	return proxies, missing
}

// retryAfterMs returns how long it takes until there is a token for each waiting operation. A client that retried sooner would
// take the token of another client's first attempt, and be answered late.
func (t *tenant) retryAfterMs(waiting int) int64 {
	if t.refillPerMs <= 0 {
		return maxRetryAfterMs
	}
	return int64(min(maxRetryAfterMs, max(minRetryAfterMs, float64(waiting)/t.refillPerMs)))
}
