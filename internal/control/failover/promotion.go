package failover

import (
	"maps"
	"slices"
)

// Promotion is a request to the platform to promote a host. Like HostQuery, each one is unique.
type Promotion struct {
	Service, Host, Owner string
	FencingToken         uint64 // the platform rejects a token older than the newest it has seen
	LeaderTerm, Serial   uint64
}

// PromotionOutcome is the result of a promotion request.
type PromotionOutcome uint8

// Promotion outcomes.
const (
	PromotionSucceeded   PromotionOutcome = iota // accepted; the host will become primary
	PromotionRejected                            // stale fencing token, or the host is not running
	PromotionUnknown                             // the request may have been executed
	PromotionNotExecuted                         // the request was not executed and may be retried
)

// PromotionFinished records the outcome of a promotion request. It returns false and ignores the outcome if that request is
// not pending.
func (c *Coordinator) PromotionFinished(promotion Promotion, outcome PromotionOutcome, nowMs int64) bool {
	service := c.services[promotion.Service]
	if service == nil || !service.promotionPending || service.promotion != promotion {
		return false
	}
	c.schedule.wake(service.name)
	service.promotionPending, service.promotionEndedAt = false, nowMs
	switch outcome {
	case PromotionSucceeded:
		c.Counters.Promoted++
	case PromotionRejected:
		service.promotedHost = ""
		delete(service.unresolvedPromotions, promotion.Host)
		service.rejectedAt[promotion.Host] = nowMs
	case PromotionNotExecuted:
		service.promotedHost = ""
		delete(service.unresolvedPromotions, promotion.Host)
	case PromotionUnknown: // times out unclearPromotionTimeoutMs after now instead of promotionTimeoutMs
		c.RecordUncertainPromotion(service.name, promotion.Host, service.promotionSentAt)
		service.promotionEndedAt = nowMs - promotionTimeoutMs + unclearPromotionTimeoutMs
	}
	return true
}

// requestPromotion asks the platform to promote a host, unless a request or a proposal is pending or the last request for
// this host is less than promotionRetryMs old.
func (e *evaluation) requestPromotion(host string) {
	service := e.service
	if service.promotionPending || service.proposedAt > 0 || e.promotionRequestedRecently(host) {
		return
	}
	service.promotionPending, service.promotedHost, service.promotionSentAt = true, host, e.nowMs
	service.requestsSent++
	service.unresolvedPromotions[host] = e.nowMs + promotionTimeoutMs
	service.promotion = Promotion{
		Service:      service.name,
		Host:         host,
		Owner:        e.coordinator.memberID,
		FencingToken: e.primary.FencingToken,
		LeaderTerm:   e.coordinator.leaderTerm,
		Serial:       e.coordinator.nextSerial(),
	}
	e.actions.Promotions = append(e.actions.Promotions, service.promotion)
}

// promotionRequestedRecently reports whether the last request was for this host and is less than promotionRetryMs old.
func (e *evaluation) promotionRequestedRecently(host string) bool {
	service := e.service
	return service.promotionSentAt > 0 && e.nowMs < service.promotionSentAt+promotionRetryMs && service.promotedHost == host
}

// unresolvedPromotion returns a host other than except whose promotion, requested by this member or by a previous leader, may
// still take effect, or an empty string if there is none. While there is one, except must not be appointed: if the other host
// became primary, the writes that except had acknowledged until then would be lost.
func (e *evaluation) unresolvedPromotion(except string) string {
	for _, host := range slices.Sorted(maps.Keys(e.service.unresolvedPromotions)) {
		switch {
		case e.nowMs >= e.service.unresolvedPromotions[host], !e.isRegistered(host):
			delete(e.service.unresolvedPromotions, host)
		case host != except:
			return host
		}
	}
	e.expireUncertainPromotions()
	for _, host := range slices.Sorted(maps.Keys(e.service.uncertainPromotions)) {
		if host != except {
			return host
		}
	}
	nominee := e.primary.Nominee
	isInherited := nominee != "" && nominee != e.service.nominatedHost && e.isRegistered(nominee)
	if isInherited && nominee != except && e.nowMs < e.coordinator.leaderSince+promotionTimeoutMs {
		return nominee
	}
	return ""
}

// pollPromotedHost queries the host being promoted to see whether it has become primary.
func (e *evaluation) pollPromotedHost() {
	service := e.service
	if last, ok := service.lastResults[service.promotedHost]; ok && last.sentAt >= service.promotionSentAt && !last.answered() {
		service.promotedHostFailed = true
	}
	intervalMs := int64(promotedPollIntervalMs)
	if e.isPromotionDue() {
		intervalMs = fastPollIntervalMs
	}
	e.query(service.promotedHost, Stat, 0, intervalMs)
}

// isPromotionDue reports whether the host being promoted is expected to be primary by now: its heartbeat says so, or most of
// the duration of the last promotion has passed.
func (e *evaluation) isPromotionDue() bool {
	sentAt := e.service.promotionSentAt
	if last := e.coordinator.heartbeats[e.service.promotedHost]; last.isPrimary && last.receivedAt >= sentAt {
		return true
	}
	lastMs := e.state.LastPromotionMs
	return lastMs > 0 && e.nowMs >= sentAt+lastMs*promotionDueNumerator/promotionDueDenominator
}
