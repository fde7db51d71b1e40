package policy

import "slices"

// publishState sends a host's position, role and latency ratio (or a special value of peerUpdate.latency) to the other
// routers, unless one of them just did: each of hundreds has too few samples. A message beyond one command's budget waits
// until the last one has aged, except for rejections: they are fast and would attract all reads. Loss of messages is harmless.
func (h *Host) publishState(ratio float64) {
	router := h.set.router
	if !router.PeerUpdatesEnabled || !h.positionKnown || h.role == UnknownRole ||
		router.now < h.lastPublishedAt+router.positionTTL/8 {
		return
	}
	canWait := ratio <= peerLatencyUnknown
	if ratio < peerLatencyUnknown {
		ratio = min(peerLatencyUnknown-1, peerLatencySteps*ratio+0.5)
	}
	body := peerUpdate{h.peerID(), h.position, h.role, TenthMs(ratio)}.encode()
	cost := float64(len(body) * (router.RouterCount - 1))
	paid := cost <= peerBytesPerCommand || !canWait || router.now >= h.lastPublishedAt+router.positionTTL
	if paid && cost <= router.peerCredit {
		router.peerCredit, h.lastPublishedAt = router.peerCredit-cost, router.now
		router.caller.Broadcast(body)
	}
}

// maxPeerCredit returns the number of bytes that are enough for half a message of the greatest size to each router.
func (r *Router) maxPeerCredit() float64 { return peerBytesPerCommand / 2 * float64(r.RouterCount) }

// ReceivePeerUpdate applies a message from another router. Malformed and implausible messages are ignored.
func (r *Router) ReceivePeerUpdate(body string) {
	update, ok := decodePeerUpdate(body)
	host := r.hostsByID[update.hostID]
	if !ok || host == nil || update.position > r.now-r.PositionEpoch {
		return
	}
	host.lastPublishedAt = r.now
	host.ReportLoad(update.position, update.role)
	switch update.latency {
	case peerRejecting:
		host.backOff()
	case peerConnsExhausted:
		host.closeIdleConns(connsExhaustedHold)
	default:
		host.applyRemoteLatency(update.latency)
	}
}

// ReportLoad applies a load report, which may be old. A primary has no lag, so the ages of its positions are those of
// the reports; the age of a replica's position minus the mean age of reports is its lag.
func (h *Host) ReportLoad(position TenthMs, role Role) {
	router, isNew := h.set.router, position > h.position
	age := float64(router.now - router.PositionEpoch - position)
	if role == Primary && age >= 0 {
		router.meanReportAge += (age - router.meanReportAge) / 8
	}
	if h.updatePosition(position); isNew {
		h.lag = max(0, h.lag-TenthMs(router.meanReportAge))
	}
	h.updateRole(role, position+router.PositionEpoch)
}

// ApplyPlannerUpdate applies a planner's update: a position, a role with the position at which it was stated, and
// a latency. This router's own answers take precedence unless the update's position is newer. An older update
// about a primary only makes that host the next candidate, for when the current primary does not answer.
func (h *Host) ApplyPlannerUpdate(position TenthMs, role Role, roleAt, latency TenthMs) {
	set, router := h.set, h.set.router
	if position > h.position && position <= router.now-router.PositionEpoch {
		h.updatePosition(position)
	}
	if roleAt += router.PositionEpoch; roleAt <= router.now && roleAt > h.roleAt {
		h.updateRole(role, roleAt)
	}
	if role == Primary && set.primary != h {
		set.nextCandidate = slices.Index(set.members, h)
	}
	h.applyRemoteLatency(latency)
}

// applyRemoteLatency records a latency that another process measured, in steps of peerUpdate.latency.
func (h *Host) applyRemoteLatency(steps TenthMs) {
	if steps < peerLatencyUnknown {
		h.updateLoad(float64(steps)/peerLatencySteps, h.set.router.now-second/10, len(h.inFlight))
	}
}
