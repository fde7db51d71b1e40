package proxy

import (
	"slices"
	"time"

	"ferrypitch/internal/config"
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
)

// admission enforces the rate limits of tenants. An operation, which costs one token, is a statement outside transactions that goes
// to a host, or a whole transaction, which is charged at its BEGIN.
type admission struct {
	accounts       *quota.Accounts
	hasLender      bool         // this proxy is connected to the leader, which lends tokens
	lenderVersion  uint32       // protocol version of the last leader
	tokenWaiters   []*statement // statements waiting for a token, the oldest first
	nextReportAtMs int64        // when reportQuota sends the next report, in milliseconds of the clock
}

// quotaCharge is the quota state of one statement.
type quotaCharge struct {
	reserved    bool // a token is reserved until the statement is sent
	reservation quota.Reservation
	charged     bool  // the tenant was charged; cleared once an attempt may have run, so that the next one is charged again
	timer       timer // ends the wait for a token
}

func newAdmission() admission {
	return admission{accounts: quota.NewAccounts()}
}

// replaceLimits sets which tenants are limited, from a new configuration.
func (s *Server) replaceLimits(tenants []config.Tenant) {
	var limited []string
	for i := range tenants {
		if tenants[i].HasRateLimit() {
			limited = append(limited, tenants[i].Name)
		}
	}
	s.accounts.SetLimitedTenants(limited)
}

// isQuotaLimited reports whether a statement counts against its tenant's limit. None does while the leader runs a release that does
// not lend tokens.
func (s *Server) isQuotaLimited(stmt *statement) bool {
	return s.lenderVersion >= rpc.VersionQuotas && s.accounts.IsLimited(stmt.tenant)
}

// submitWithinQuota submits a statement outside transactions if this proxy has a token of its tenant, rejects it if the tenant
// is at its limit, and otherwise queues it until the lender answers.
func (s *Server) submitWithinQuota(stmt *statement) {
	if !s.isQuotaLimited(stmt) {
		s.submit(stmt)
		return
	}
	reservation, verdict := s.accounts.Admit(stmt.tenant, s.clock.Now())
	switch verdict {
	case quota.Admitted:
		s.submitReserved(stmt, reservation)
	case quota.Refused:
		s.rejectAtLimit(stmt)
	case quota.Wait:
		s.awaitToken(stmt)
	}
}

func (s *Server) submitReserved(stmt *statement, reservation quota.Reservation) {
	stmt.quota.reserved, stmt.quota.reservation = true, reservation
	s.submit(stmt)
}

func (s *Server) rejectAtLimit(stmt *statement) {
	s.counters.quotaRefused.Add(1)
	s.reject(stmt, errcode.QuotaExceeded, s.accounts.RetryAfterMs(stmt.tenant))
}

// awaitToken queues a statement until the lender answers, as long as a host can still answer the statement before its deadline. Without
// a lender it is rejected at once, since it can't be known whether its tenant is at the limit.
func (s *Server) awaitToken(stmt *statement) {
	if !s.hasLender {
		s.accounts.Abandon(stmt.tenant)
		s.rejectWithoutToken(stmt)
		return
	}
	s.counters.quotaWaits.Add(1)
	s.tokenWaiters = append(s.tokenWaiters, stmt)
	stmt.quota.timer = s.timers.Add(s.latestSubmission(stmt), func() { s.expireTokenWait(stmt) })
	s.requestTokens()
}

// latestSubmission returns the time until which a statement can be submitted to the policy and still be answered before its deadline.
func (s *Server) latestSubmission(stmt *statement) time.Time {
	group := stmt.route.readGroup
	if stmt.step.MayWrite {
		group = stmt.route.writeGroup
	}
	return stmt.deadline.Add(-toDuration(s.policy.TimeToAnswer(group)))
}

// expireTokenWait rejects a statement that has waited too long for a token.
func (s *Server) expireTokenWait(stmt *statement) {
	s.removeTokenWaiter(stmt)
	s.accounts.Abandon(stmt.tenant)
	s.rejectWithoutToken(stmt)
}

func (s *Server) rejectWithoutToken(stmt *statement) {
	s.counters.quotaUnknown.Add(1)
	s.reject(stmt, errcode.NoValidLease, stmt.route.retryAfterMs())
}

// removeTokenWaiter removes a statement from the queue for tokens. It reports whether the statement was in it.
func (s *Server) removeTokenWaiter(stmt *statement) bool {
	at := slices.Index(s.tokenWaiters, stmt)
	if at < 0 {
		return false
	}
	s.tokenWaiters = slices.Delete(s.tokenWaiters, at, at+1)
	s.timers.Remove(stmt.quota.timer)
	return true
}

// chargeOperation charges a statement's tenant when the statement has been sent. A retry is charged again only if an
// earlier attempt may have run.
func (s *Server) chargeOperation(stmt *statement) {
	if stmt.isPinned() || stmt.quota.charged || !s.isQuotaLimited(stmt) {
		return
	}
	s.accounts.Spend(stmt.tenant, stmt.quota.reservation, s.clock.Now())
	stmt.quota = quotaCharge{charged: true}
}

// releaseToken returns the token of a statement that ended without being sent.
func (s *Server) releaseToken(stmt *statement) {
	if s.removeTokenWaiter(stmt) {
		s.accounts.Abandon(stmt.tenant)
	}
	if stmt.quota.reserved {
		s.accounts.Release(stmt.tenant, stmt.quota.reservation, s.clock.Now())
		stmt.quota = quotaCharge{}
	}
}

// requestTokens reports usage to the lender and requests tokens, unless there is nothing to send or a response is outstanding.
func (s *Server) requestTokens() {
	if !s.hasLender || s.lenderVersion < rpc.VersionQuotas {
		return
	}
	now := s.clock.Now()
	if request := s.accounts.Request(now); request != nil {
		s.counters.quotaRequests.Add(1)
		s.nextReportAtMs = now + s.accounts.ReportIntervalMs(now)
		s.leader.requestQuota(request)
	}
}

// reportQuota sends the periodic report to the lender when it is due.
func (s *Server) reportQuota() {
	if s.clock.Now() >= s.nextReportAtMs {
		s.requestTokens()
	}
}

// handleQuotaResponse adds the tokens that the lender has granted and serves the statements that wait for them.
func (s *Server) handleQuotaResponse(response *quota.Response) {
	now := s.clock.Now()
	s.accounts.HandleResponse(response, now)
	for _, stmt := range slices.Clone(s.tokenWaiters) {
		if !slices.Contains(s.tokenWaiters, stmt) { // ended as a consequence of an earlier one in this loop
			continue
		}
		reservation, verdict := s.accounts.Retry(stmt.tenant, now)
		if verdict == quota.Wait {
			continue
		}
		s.removeTokenWaiter(stmt)
		if verdict == quota.Admitted {
			s.submitReserved(stmt, reservation)
		} else {
			s.rejectAtLimit(stmt)
		}
	}
	if len(s.tokenWaiters) > 0 {
		s.requestTokens()
	}
}

// setLender records that this proxy is connected to a leader, and the leader's protocol version.
func (s *Server) setLender(version uint32) {
	s.hasLender, s.lenderVersion = true, version
	s.accounts.HandleDisconnect() // requests to the previous leader get no response
}

// clearLender records that this proxy is no longer connected to a leader. No answer comes to the statements that wait for a token, so
// their clients are told at once to try elsewhere.
func (s *Server) clearLender() {
	s.hasLender = false
	s.accounts.HandleDisconnect()
	for len(s.tokenWaiters) > 0 {
		s.expireTokenWait(s.tokenWaiters[0])
	}
}
