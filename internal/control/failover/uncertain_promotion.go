package failover

// A request for a promotion that got no clear answer may be carried out later: after a repeated request has succeeded, after the
// host was appointed, and under another leader. If another primary serves by then, the late promotion takes its place with a log
// that may lack acknowledged writes, and where the platform checks no fencing tokens nothing rejects it. So such a request is
// remembered by itself, until it cannot be carried out any more.

// RecordUncertainPromotion records that a promotion of a host that was requested at requestedAtMs, by this leader or an earlier
// one, may still be carried out.
func (c *Coordinator) RecordUncertainPromotion(serviceName, host string, requestedAtMs int64) {
	uncertain := c.service(serviceName).uncertainPromotions
	uncertain[host] = max(uncertain[host], requestedAtMs+latePromotionMs)
}

// keepPendingPromotion records the pending request as uncertain, if there is one, since its outcome is ignored from now on. If it is
// the only request and its host is the primary, it was carried out.
func (s *serviceState) keepPendingPromotion(primary string) {
	host := s.promotion.Host
	if s.promotionPending && (s.requestsSent > 1 || host != primary) {
		s.uncertainPromotions[host] = max(s.uncertainPromotions[host], s.promotionSentAt+latePromotionMs)
	}
}

// expireUncertainPromotions removes the requests that cannot be carried out any more: those that are too old, and those for hosts
// that were removed.
func (e *evaluation) expireUncertainPromotions() {
	for host, until := range e.service.uncertainPromotions {
		if e.nowMs >= until || !e.isRegistered(host) {
			delete(e.service.uncertainPromotions, host)
		}
	}
}

// awaitsUncertainPromotions reports whether a promotion may still be carried out late. A planned switchover, which can wait, does
// not start before.
func (e *evaluation) awaitsUncertainPromotions() bool {
	e.expireUncertainPromotions()
	return len(e.service.uncertainPromotions) > 0
}
