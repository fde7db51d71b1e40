package control

import (
	"ferrypitch/internal/config"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
)

// tenantQuota holds the token lender that a leader uses to enforce the rate limits of tenants across all proxies.
type tenantQuota struct {
	lender *quota.Lender  // of the term led last; nil before the first
	limits *config.Config // configuration from which the lender's limits were taken
}

// toleranceOf returns the amount by which the settings allow a tenant's operations to exceed its limit.
func toleranceOf(bounds settings.Bounds) quota.Tolerance {
	return quota.Tolerance{WindowS: bounds.QuotaWindowS, Excess: bounds.QuotaExcess, Slack: bounds.QuotaSlack}
}

// startLender creates the token lender for a term that this member leads.
func (s *Server) startLender(term uint64, nowMs int64) {
	s.quota = tenantQuota{lender: quota.NewLender(term, toleranceOf(s.settings.Bounds))}
	s.updateLenderLimits(nowMs)
}

// tickLender applies a changed configuration to the lender without waiting for a proxy's request, because a tenant's tokens
// accumulate from the time at which its limit is set.
func (s *Server) tickLender(nowMs int64) {
	if s.leading {
		s.updateLenderLimits(nowMs)
	}
}

// updateLenderLimits sets the lender's limits to those of the current configuration.
func (s *Server) updateLenderLimits(nowMs int64) {
	configured := s.state.Config()
	if configured == nil || configured == s.quota.limits {
		return
	}
	limits := map[string]quota.Limit{}
	for i := range configured.Tenants {
		if tenant := &configured.Tenants[i]; tenant.HasRateLimit() {
			limits[tenant.Name] = quota.Limit{RatePerS: *tenant.RatePerS, Burst: tenant.Burst}
		}
	}
	s.quota.limits = configured
	s.quota.lender.SetLimits(limits, nowMs)
}

// handleQuotaRequest processes a proxy's usage reports and lends it tokens. If this member does not hold the leader lease, it does
// not respond, because another member may be lending.
func (s *Server) handleQuotaRequest(conn *ProxyConn, request *quota.Request) {
	if !s.holdsLease() {
		s.QuotaRequestsIgnored.Add(1)
		return
	}
	s.QuotaRequests.Add(1)
	now := s.clock.Now()
	s.updateLenderLimits(now)
	lender := s.quota.lender
	borrower := quota.Borrower{Node: conn.node, Incarnation: conn.incarnation}
	response := &quota.Response{Serial: request.Serial, Term: lender.Term()}
	response.Answers = lender.Serve(borrower, request.Term, request.Asks, now)
	conn.sendOrClose(&rpc.Frame{Version: s.protocolVersion, NeedsVersion: rpc.VersionQuotas, QuotaResponse: response})
}
