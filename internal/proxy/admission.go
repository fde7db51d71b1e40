package proxy

import (
	"slices"
	"time"

	"ferrypitch/internal/config"
	"ferrypitch/internal/errcode"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
)

const (
	// maxAdmissionWait is how long a statement may wait for a token of its tenant. An answer of the lender takes a few milliseconds.
	maxAdmissionWait = 60 * time.Millisecond

	// admissionWaitShare of its latency target is the longest that a statement waits.
	admissionWaitShare = 1.0 / 4
)

// admission keeps the operations of tenants within their limits. An operation is a statement outside transactions that goes to a
// host, or a transaction, which its BEGIN stands for.
type admission struct {
	accounts      *quota.Accounts
	hasLender     bool         // the leader is followed
	lenderVersion uint32       // of the protocol that the last leader spoke
	waiting       []*statement // for a token, the oldest first
	nextReportAt  int64        // milliseconds of the clock
}

// quotaCharge is what a statement's tenant was charged for it.
type quotaCharge struct {
	reserved    bool // a token is kept until the statement is sent
	reservation quota.Reservation
	charged     bool // it was sent since the last time that an attempt may have run
	timer       timer
}

func newAdmission() admission {
	return admission{accounts: quota.NewAccounts()}
}

// replaceLimits takes the limits of a configuration's tenants.
func (s *Server) replaceLimits(tenants []config.Tenant) {
	var limited []string
	for i := range tenants {
		if tenants[i].HasRateLimit() {
			limited = append(limited, tenants[i].Name)
		}
	}
	s.accounts.SetLimited(limited)
}

// counted says whether a statement is held to its tenant's limit. It is not while the leader is of a release that lends no tokens.
func (s *Server) counted(stmt *statement) bool {
	return s.lenderVersion >= rpc.VersionQuotas && s.accounts.Limited(stmt.tenant)
}

// submitWithinQuota submits a statement outside transactions if its tenant has a token here, and else holds it until the lender has
// answered.
func (s *Server) submitWithinQuota(stmt *statement) {
	if !s.counted(stmt) {
		s.submit(stmt)
		return
	}
	reservation, verdict := s.accounts.Admit(stmt.tenant, s.clock.Now())
	switch verdict {
	case quota.Admitted:
		s.submitReserved(stmt, reservation)
	case quota.Refused:
		s.refuseAtLimit(stmt)
	case quota.Wait:
		s.awaitToken(stmt)
	}
}

func (s *Server) submitReserved(stmt *statement, reservation quota.Reservation) {
	stmt.quota.reserved, stmt.quota.reservation = true, reservation
	s.submit(stmt)
}

func (s *Server) refuseAtLimit(stmt *statement) {
	s.counters.quotaRefused.Add(1)
	s.reject(stmt, errcode.QuotaExceeded, s.accounts.RetryAfterMs(stmt.tenant))
}

// awaitToken holds a statement for a short time. Without a leader nobody can say whether its tenant is at the limit.
func (s *Server) awaitToken(stmt *statement) {
	if !s.hasLender {
		s.accounts.Abandon(stmt.tenant)
		s.rejectWithoutToken(stmt)
		return
	}
	s.counters.quotaWaits.Add(1)
	s.waiting = append(s.waiting, stmt)
	stmt.quota.timer = s.timers.Add(s.clock.Time().Add(stmt.route.admissionWait()), func() { s.expireWait(stmt) })
	s.requestTokens()
}

func (r *route) admissionWait() time.Duration {
	target := r.TargetMs
	if target <= 0 {
		target = r.DeadlineMs * defaultTargetShare
	}
	return min(maxAdmissionWait, time.Duration(target*admissionWaitShare*float64(time.Millisecond)))
}

// expireWait answers a statement whose wait has been too long.
func (s *Server) expireWait(stmt *statement) {
	s.stopWaiting(stmt)
	s.accounts.Abandon(stmt.tenant)
	s.rejectWithoutToken(stmt)
}

func (s *Server) rejectWithoutToken(stmt *statement) {
	s.counters.quotaUnknown.Add(1)
	s.reject(stmt, errcode.NoValidLease, stmt.route.comebackMs())
}

// stopWaiting takes a statement from those that wait; false: it does not wait.
func (s *Server) stopWaiting(stmt *statement) bool {
	at := slices.Index(s.waiting, stmt)
	if at < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, at, at+1)
	s.timers.Remove(stmt.quota.timer)
	return true
}

// chargeOperation charges a statement's tenant when the statement has been sent, once for all attempts of which none may have run.
func (s *Server) chargeOperation(stmt *statement) {
	if stmt.isPinned() || stmt.quota.charged || !s.counted(stmt) {
		return
	}
	s.accounts.Spend(stmt.tenant, stmt.quota.reservation, s.clock.Now())
	stmt.quota = quotaCharge{charged: true}
}

// releaseToken gives back the token of a statement that is over and was never sent.
func (s *Server) releaseToken(stmt *statement) {
	if s.stopWaiting(stmt) {
		s.accounts.Abandon(stmt.tenant)
	}
	if stmt.quota.reserved {
		s.accounts.Release(stmt.tenant, stmt.quota.reservation, s.clock.Now())
		stmt.quota = quotaCharge{}
	}
}

// requestTokens sends the lender what there is to report and to ask for, unless an answer is awaited.
func (s *Server) requestTokens() {
	if !s.hasLender || s.lenderVersion < rpc.VersionQuotas {
		return
	}
	now := s.clock.Now()
	if request := s.accounts.Request(now); request != nil {
		s.counters.quotaRequests.Add(1)
		s.nextReportAt = now + s.accounts.ReportIntervalMs(now)
		s.leader.requestQuota(request)
	}
}

// reportQuota sends the periodic report.
func (s *Server) reportQuota() {
	if s.clock.Now() >= s.nextReportAt {
		s.requestTokens()
	}
}

// quotaAnswered takes the lender's tokens and serves the statements that wait for them.
func (s *Server) quotaAnswered(response *quota.Response) {
	now := s.clock.Now()
	s.accounts.Answered(response, now)
	for _, stmt := range slices.Clone(s.waiting) {
		if !slices.Contains(s.waiting, stmt) { // the answer to another one has ended it
			continue
		}
		reservation, verdict := s.accounts.Retry(stmt.tenant, now)
		if verdict == quota.Wait {
			continue
		}
		s.stopWaiting(stmt)
		if verdict == quota.Admitted {
			s.submitReserved(stmt, reservation)
		} else {
			s.refuseAtLimit(stmt)
		}
	}
	if len(s.waiting) > 0 {
		s.requestTokens()
	}
}

// lenderFound says that a leader is followed, and which version of the protocol it speaks.
func (s *Server) lenderFound(version uint32) {
	s.hasLender, s.lenderVersion = true, version
	s.accounts.LinkLost() // what was asked of another
}

// lenderLost says that no leader is followed any more.
func (s *Server) lenderLost() {
	s.hasLender = false
	s.accounts.LinkLost()
}
