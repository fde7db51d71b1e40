package policy

import "slices"

// shareState tells the other routers a host's position, role and latency ratio, unless one just did: each of
// hundreds sees a host too seldom. A message that costs more than a command pays for waits until what all
// know has aged, except for rejections, which would attract all reads. Nothing depends on it.
func (h *Host) shareState(ratio float64) {
	router := h.set.router
	if !router.Peers || !h.positionKnown || h.role == UnknownRole ||
		router.now < h.sharedAt+router.positionTTL/8 {
		return
	}
	canWait := ratio <= peerLatencyUnknown
	if ratio < peerLatencyUnknown {
		ratio = min(peerLatencyUnknown-1, 10*ratio+0.5)
	}
	body := peerUpdate{h.peerID(), h.position, h.role, TenthMs(ratio)}.encode()
	cost := float64(len(body) * (router.Routers - 1))
	paid := cost <= router.peerBytesPerCommand() || !canWait || router.now >= h.sharedAt+router.positionTTL
	if paid && cost <= router.peerCredit {
		router.peerCredit, h.sharedAt = router.peerCredit-cost, router.now
		router.caller.Tell(body)
	}
}

// peerBytesPerCommand is how many bytes a command pays for: two and a half hundredths of its worth.
func (r *Router) peerBytesPerCommand() float64 { return 256 * 0.025 / max(r.PeerPrice, 0.008) }

// ReceivePeerUpdate takes the message of another router. One that no router can have sent is ignored.
func (r *Router) ReceivePeerUpdate(body string) {
	update, ok := decodePeerUpdate(body)
	host := r.hostsByID[update.hostID]
	if !ok || host == nil || update.position > r.now-r.Zero {
		return
	}
	host.sharedAt = r.now
	host.ReportLoad(update.position, update.role)
	switch update.latency {
	case peerRejecting:
		host.backOff()
	case peerConnsExhausted:
		host.freeConns(scarceConnsHold)
	default:
		host.rateToldLatency(update.latency)
	}
}

// ReportLoad takes a load report, which may be old. Those of primaries, which stand at the present, show how
// old reports are; the rest of a replica's distance is its lag.
func (h *Host) ReportLoad(position TenthMs, role Role) {
	router, isNew := h.set.router, position > h.position
	age := float64(router.now - router.Zero - position)
	if role == Primary && age >= 0 {
		router.meanReportAge += (age - router.meanReportAge) / 8
	}
	if h.updatePosition(position); isNew {
		h.lag = max(0, h.lag-TenthMs(router.meanReportAge))
	}
	h.updateRole(role, position+router.Zero)
}

// ApplyPlannerUpdate takes a planner's update: a position, a role with the position stated with it, and a
// latency. This router's own answers go first unless the position shows that the update is newer. Else a
// primary is tried next, once the one that is followed does not answer.
func (h *Host) ApplyPlannerUpdate(position TenthMs, role Role, roleAt, latency TenthMs) {
	set, router := h.set, h.set.router
	if position > h.position && position <= router.now-router.Zero {
		h.updatePosition(position)
	}
	if roleAt += router.Zero; roleAt <= router.now && roleAt > h.roleAt {
		h.updateRole(role, roleAt)
	}
	if role == Primary && set.primary != h {
		set.nextCandidate = slices.Index(set.members, h)
	}
	h.rateToldLatency(latency)
}

// rateToldLatency takes a latency in tenths of the response target that another process saw.
func (h *Host) rateToldLatency(tenths TenthMs) {
	if tenths < peerLatencyUnknown {
		h.rate(float64(tenths)/10, h.set.router.now-second/10, len(h.inFlight))
	}
}
