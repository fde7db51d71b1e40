package quota

import (
	"maps"
	"slices"
)

// Intervals between a proxy's usage reports, in milliseconds; see ReportIntervalMs.
const (
	reportIntervalMs        = 250
	newTermReportIntervalMs = 50
)

// maxRefusalMs is the longest time, in milliseconds, for which a proxy refuses operations before it requests tokens again.
const maxRefusalMs = 600

const (
	// requestTimeoutMs is how long a proxy waits for a response before it sends the next request, in milliseconds.
	requestTimeoutMs = 400

	// maxPendingRequests limits the unanswered requests that are tracked. Tokens granted to an older request have expired.
	maxPendingRequests = TokenLifetimeMs / requestTimeoutMs
)

// Verdict is the admission decision for an operation.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota // it may be sent
	Wait                    // it has to wait for tokens from the lender
	Refused                 // the tenant is at its limit
)

// Reservation is a token held by an admitted operation that is not yet sent. The zero value holds no token.
type Reservation struct{ token tokenBatch }

// Request is a proxy's message to the lender. Its field names are part of the wire format.
type Request struct {
	Serial uint64
	Term   uint64 // term of the lender that the proxy's tokens are from
	Asks   []Ask
}

// Response is the lender's answer to the request with the same serial. Its field names are part of the wire format.
type Response struct {
	Serial  uint64
	Term    uint64 // term of the lender
	Answers []Answer
}

// Accounts is the proxy's side of the quota protocol: it holds the tokens of all limited tenants and admits operations. Create it
// with NewAccounts. It is not safe for concurrent use.
type Accounts struct {
	term          uint64              // latest term in which a lender has answered
	tenants       map[string]*account // tenants with a limit, keyed by name
	serial        uint64              // serial number of the latest request
	termStartedAt int64               // when the first response of the term arrived
	pending       []pendingRequest    // requests without a response, in order of serial
}

// pendingRequest is a request that is not answered yet.
type pendingRequest struct {
	serial uint64
	sentAt int64
	asks   []Ask
}

// NewAccounts returns Accounts without limited tenants.
func NewAccounts() *Accounts { return &Accounts{tenants: map[string]*account{}} }

// SetLimitedTenants replaces the set of tenants that have a limit. Tenants that remain keep their tokens.
func (c *Accounts) SetLimitedTenants(names []string) {
	tenants := make(map[string]*account, len(names))
	for _, name := range names {
		tenants[name] = c.tenants[name]
		if tenants[name] == nil {
			tenants[name] = &account{}
		}
	}
	c.tenants = tenants
}

// IsLimited reports whether a tenant has a limit.
func (c *Accounts) IsLimited(tenant string) bool { return c.tenants[tenant] != nil }

// Admit decides whether an arriving operation may be sent. After Wait, the caller must call Retry until its verdict is not Wait, or
// Abandon.
func (c *Accounts) Admit(tenant string, nowMs int64) (Reservation, Verdict) {
	a := c.tenants[tenant]
	if a == nil {
		return Reservation{}, Admitted
	}
	a.recordDemand(nowMs)
	if token, ok := a.takeToken(nowMs); ok {
		return Reservation{token}, Admitted
	}
	if nowMs < a.atLimitUntil {
		a.refused++
		return Reservation{}, Refused
	}
	a.waiting++
	return Reservation{}, Wait
}

// Retry decides again whether a waiting operation may be sent.
func (c *Accounts) Retry(tenant string, nowMs int64) (Reservation, Verdict) {
	a := c.tenants[tenant]
	if a == nil {
		return Reservation{}, Admitted
	}
	token, ok := a.takeToken(nowMs)
	switch {
	case ok:
		a.stopWaiting()
		return Reservation{token}, Admitted
	case nowMs < a.atLimitUntil:
		a.stopWaiting()
		return Reservation{}, Refused
	}
	return Reservation{}, Wait
}

// Abandon removes an operation from those waiting, after its caller has given up.
func (c *Accounts) Abandon(tenant string) {
	if a := c.tenants[tenant]; a != nil {
		a.stopWaiting()
	}
}

func (a *account) stopWaiting() { a.waiting = max(0, a.waiting-1) }

// Spend spends the reserved token for an operation that is sent now. If the reservation is empty or has expired, it takes another
// token. If there is none, the operation counts as overdrawn, and the lender deducts it from the tenant's free tokens.
func (c *Accounts) Spend(tenant string, reserved Reservation, nowMs int64) {
	a := c.tenants[tenant]
	if a == nil {
		return
	}
	token, ok := reserved.token, reserved.token.expiresAt > nowMs
	if !ok {
		token, ok = a.takeToken(nowMs)
	}
	switch {
	case !ok:
		a.overdrawn++
	case token.term == c.term:
		a.used++
	}
}

// Release puts back the reserved token of an operation that was not sent.
func (c *Accounts) Release(tenant string, reserved Reservation, nowMs int64) {
	if a := c.tenants[tenant]; a != nil {
		a.addBatch(reserved.token, nowMs)
	}
}

// RetryAfterMs returns in how many milliseconds a tenant at its limit is expected to have tokens again.
func (c *Accounts) RetryAfterMs(tenant string) int64 {
	if a := c.tenants[tenant]; a != nil {
		return a.retryAfterMs
	}
	return 0
}

// Request returns the next request to the lender, or nil if there is nothing to report or request, or if a request is still
// within its timeout. It must be sent no earlier than nowMs, from which the lifetime of the granted tokens counts.
func (c *Accounts) Request(nowMs int64) *Request {
	if len(c.pending) > 0 && nowMs-c.pending[len(c.pending)-1].sentAt < requestTimeoutMs {
		return nil
	}
	var asks []Ask
	for _, name := range slices.Sorted(maps.Keys(c.tenants)) {
		if ask, ok := c.tenants[name].ask(name, c.term, nowMs); ok {
			asks = append(asks, ask)
		}
	}
	if len(asks) == 0 {
		return nil
	}
	c.serial++
	if len(c.pending) == maxPendingRequests {
		c.requeueOverdrawn(c.pending[:1])
		c.pending = c.pending[1:]
	}
	c.pending = append(c.pending, pendingRequest{serial: c.serial, sentAt: nowMs, asks: asks})
	return &Request{Serial: c.serial, Term: c.term, Asks: asks}
}

// takePending removes and returns the pending request with a serial. Responses arrive in the order of their requests, so earlier
// pending requests will not be answered and are dropped too.
func (c *Accounts) takePending(serial uint64) (request pendingRequest, ok bool) {
	position := slices.IndexFunc(c.pending, func(request pendingRequest) bool { return request.serial == serial })
	if position < 0 {
		return pendingRequest{}, false
	}
	request = c.pending[position]
	c.requeueOverdrawn(c.pending[:position])
	c.pending = c.pending[position+1:]
	return request, true
}

// requeueOverdrawn schedules the overdrawn operations of requests that may not have arrived to be reported again. Reporting them
// twice is safe: it only reduces the tenant's free tokens.
func (c *Accounts) requeueOverdrawn(requests []pendingRequest) {
	for _, request := range requests {
		for _, ask := range request.asks {
			if a := c.tenants[ask.Tenant]; a != nil {
				a.overdrawn += ask.Overdrawn
			}
		}
	}
}

// HandleResponse adds the tokens granted in a response. Their lifetime counts from when the request was sent.
func (c *Accounts) HandleResponse(response *Response, nowMs int64) {
	request, ok := c.takePending(response.Serial)
	if !ok || response.Term < c.term {
		return
	}
	if response.Term > c.term {
		c.beginTerm(response.Term, nowMs)
	}
	for _, answer := range response.Answers {
		a := c.tenants[answer.Tenant]
		if a == nil {
			continue
		}
		a.addBatch(tokenBatch{term: c.term, expiresAt: request.sentAt + TokenLifetimeMs, count: answer.Granted}, nowMs)
		a.atLimitUntil = 0
		if answer.AtLimit {
			a.atLimitUntil, a.retryAfterMs = nowMs+min(answer.RetryAfterMs, maxRefusalMs), answer.RetryAfterMs
		}
	}
}

// beginTerm switches to a new lender and resets the usage of the earlier lender's tokens, which the new one does not track.
func (c *Accounts) beginTerm(term uint64, nowMs int64) {
	c.term, c.termStartedAt = term, nowMs
	for _, a := range c.tenants {
		a.used = 0
	}
}

// ReportIntervalMs returns the interval between usage reports, in milliseconds. It is shorter at the start of a term: the new
// lender has few tokens until those of the earlier lender have expired, and frequent reports tell it sooner which are spent.
func (c *Accounts) ReportIntervalMs(nowMs int64) int64 {
	if c.term == 0 || nowMs-c.termStartedAt < loanLifetimeMs {
		return newTermReportIntervalMs
	}
	return reportIntervalMs
}

// HandleDisconnect drops all pending requests, because no response to them will arrive.
func (c *Accounts) HandleDisconnect() {
	c.requeueOverdrawn(c.pending)
	c.pending = nil
}

// AtLimit returns the sorted names of the tenants that are at their limit according to the lender.
func (c *Accounts) AtLimit(nowMs int64) []string {
	var names []string
	for name, a := range c.tenants {
		if nowMs < a.atLimitUntil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
