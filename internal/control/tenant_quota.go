package control

import (
	"ferrypitch/internal/config"
	"ferrypitch/internal/quota"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/settings"
)

// tenantQuota lends the tokens of tenants to proxies while this member leads.
type tenantQuota struct {
	lender *quota.Lender  // of the present term; nil before the first
	limits *config.Config // whose limits the lender has
}

// toleranceOf is by how much the settings let a tenant's operations exceed its limit.
func toleranceOf(bounds settings.Bounds) quota.Tolerance {
	return quota.Tolerance{WindowS: bounds.QuotaWindowS, Excess: bounds.QuotaExcess, Slack: bounds.QuotaSlack}
}

// beginLending starts the lender of a term that this member leads.
func (s *Server) beginLending(term uint64, nowMs int64) {
	s.quota = tenantQuota{lender: quota.NewLender(term, toleranceOf(s.settings.Bounds))}
	s.refreshLimits(nowMs)
}

// tickLending brings the lender in line with the configuration before the first proxy asks: a tenant's tokens grow from then on.
func (s *Server) tickLending(nowMs int64) {
	if s.leading {
		s.refreshLimits(nowMs)
	}
}

// refreshLimits brings the lender in line with the configuration in force.
func (s *Server) refreshLimits(nowMs int64) {
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

// handleQuotaRequest lends a proxy tokens. Without the leader's lease there is no answer: another member may lend.
func (s *Server) handleQuotaRequest(conn *ProxyConn, request *quota.Request) {
	if !s.holdsLease() {
		s.QuotaRequestsIgnored.Add(1)
		return
	}
	s.QuotaRequests.Add(1)
	now := s.clock.Now()
	s.refreshLimits(now)
	lender := s.quota.lender
	borrower := quota.Borrower{Node: conn.node, Incarnation: conn.incarnation}
	response := &quota.Response{Serial: request.Serial, Term: lender.Term()}
	response.Answers = lender.Serve(borrower, request.Term, request.Asks, now)
	conn.deliver(&rpc.Frame{Version: s.protocolVersion, NeedsVersion: rpc.VersionQuotas, QuotaResponse: response})
}
