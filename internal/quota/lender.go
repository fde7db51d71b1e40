package quota

import (
	"maps"
	"slices"
)

const (
	// shortfallLifetimeMs is how long a proxy that was granted fewer tokens than were urgent counts as waiting, in milliseconds.
	shortfallLifetimeMs = 600

	// prefetchReserveShare is the share of the capacity that is reserved for urgent tokens and never lent for prefetching.
	prefetchReserveShare = 1.0 / 3

	// Bounds of Answer.RetryAfterMs.
	minRetryAfterMs = 100
	maxRetryAfterMs = 5000
)

// Borrower is one incarnation of a proxy.
type Borrower struct {
	Node        string
	Incarnation uint64
}

// Lender is the control plane's side of the quota protocol: it lends the tokens of all tenants during one term of the leader. It
// must be used only while the leader holds its leader lease. It is not safe for concurrent use.
type Lender struct {
	term      uint64
	tolerance Tolerance
	tenants   map[string]*tenant

	LentTokens    int64 // total number of tokens lent
	ExpiredTokens int64 // lent tokens that were neither reported as used nor returned before they expired
}

// NewLender returns the lender of a term. It lends nothing before SetLimits is called.
func NewLender(term uint64, tolerance Tolerance) *Lender {
	return &Lender{term: term, tolerance: tolerance, tenants: map[string]*tenant{}}
}

// Term returns the leader's term in which the lender was created.
func (l *Lender) Term() uint64 { return l.term }

// SetLimits replaces the limits, which are keyed by tenant. A new tenant starts with a reduced capacity, because an earlier lender
// may have lent tokens that this one does not know of. A tenant without a limit is removed.
func (l *Lender) SetLimits(limits map[string]Limit, nowMs int64) {
	maps.DeleteFunc(l.tenants, func(name string, _ *tenant) bool {
		_, limited := limits[name]
		return !limited
	})
	for name, limit := range limits {
		if current := l.tenants[name]; current != nil {
			l.advance(current, nowMs)
			current.setLimit(limit, l.tolerance)
			continue
		}
		added := newTenant(nowMs)
		added.setLimit(limit, l.tolerance)
		added.free = added.newTermCapacity
		l.tenants[name] = added
	}
}

// Serve processes a proxy's usage reports and lends it the requested tokens as far as they are available. term is that of the
// lender that the reported tokens are from. The answers are in the order of the asks; malformed asks and those of tenants without
// a limit get no answer.
func (l *Lender) Serve(borrower Borrower, term uint64, asks []Ask, nowMs int64) []Answer {
	var answers []Answer
	for _, ask := range asks {
		current := l.tenants[ask.Tenant]
		if current == nil || ask.malformed() {
			continue
		}
		l.advance(current, nowMs)
		if term == l.term {
			current.reduceLoans(borrower, ask.Used)
			current.free += float64(current.reduceLoans(borrower, ask.Returned))
		}
		current.free -= float64(ask.Overdrawn)
		answers = append(answers, l.lend(current, borrower, ask, nowMs))
	}
	return answers
}

// malformed reports whether a count is negative or Urgent exceeds Want.
func (a Ask) malformed() bool {
	return min(a.Used, a.Returned, a.Overdrawn, a.Want, a.Urgent) < 0 || a.Urgent > a.Want
}

// lend grants urgent tokens as far as they are available, and tokens to prefetch only from those that exceed the reserve. While
// other proxies wait for tokens, it leaves a share to them.
func (l *Lender) lend(t *tenant, borrower Borrower, ask Ask, nowMs int64) Answer {
	others, othersMissing := t.otherShortfalls(borrower, nowMs)
	available := max(0, int(t.free))
	if others > 0 && available > 1 {
		available = max(1, available/(others+1), available-othersMissing)
	}
	granted := min(ask.Urgent, available)
	prefetchable := min(available, int(t.free-t.capacity*prefetchReserveShare)) - granted
	granted += max(0, min(ask.Want-ask.Urgent, prefetchable))
	answer := Answer{Tenant: ask.Tenant, Granted: granted, AtLimit: granted < ask.Urgent}
	delete(t.shortfalls, borrower)
	if answer.AtLimit {
		t.shortfalls[borrower] = shortfall{recordedAt: nowMs, count: ask.Urgent - granted}
		answer.RetryAfterMs = t.retryAfterMs(othersMissing + ask.Urgent - granted)
	}
	if granted > 0 {
		t.free -= float64(granted)
		t.outstanding += granted
		t.loans = append(t.loans, loan{borrower: borrower, expiresAt: nowMs + loanLifetimeMs, count: granted})
		l.LentTokens += int64(granted)
	}
	return answer
}

// advance brings a tenant up to nowMs and counts the tokens that expire.
func (l *Lender) advance(t *tenant, nowMs int64) { l.ExpiredTokens += int64(t.advance(nowMs)) }

// AtLimit returns the sorted names of the tenants for whose tokens at least one proxy is waiting.
func (l *Lender) AtLimit(nowMs int64) []string {
	var names []string
	for name, t := range l.tenants {
		if waiting, _ := t.otherShortfalls(Borrower{}, nowMs); waiting > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
