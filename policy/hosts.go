package policy

import (
	"cmp"
	"slices"
)

// AddHost adds a host from the host list to the replica set with the given ID.
func (r *Router) AddHost(name string, set int64) *Host {
	h := &Host{
		Name: name, set: r.replicaSet(set), limit: 4, size: 1, share: 1, latencyRatio: overloadRatio / 2, latencyUpdatedAt: r.now,
	}
	r.hostsByID[h.peerID()], r.hosts, h.set.members = h, append(r.hosts, h), append(h.set.members, h)
	slices.SortFunc(h.set.members, func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
	return h
}

// UpdateListing applies the host's entry in the host list: its state, whether it was the primary, its zone,
// hardware model, relative capacity and last start. A drain or removal takes effect immediately.
func (h *Host) UpdateListing(
	listState ListState, primary bool, zone, model string, size float64, startedAt TenthMs,
) {
	set, router := h.set, h.set.router
	h.inCurrentList, h.zone, h.size = true, zone, max(size, 0.1)
	if h.model = cmp.Or(h.model, router.models[model]); h.model == nil {
		h.model = &hostModel{}
		router.models[model] = h.model
		if router.UsesPlanners { // mean from 0: the sum over all routers does not depend on traffic shifts
			h.model.measuredSpan = router.warmRateSpan()
		}
	}
	h.recordRestart(startedAt)
	if listState == Removed && router.KeepUnlistedHosts && h.listState == Active {
		return // absence from such a list does not prove that the host is down
	}
	h.listState = listState
	if primary && set.primary == nil {
		set.nextCandidate = slices.Index(set.members, h)
	}
	if listState != Active && set.primary == h {
		set.primary = nil
	}
}

// recordRestart resets a host that restarted. It begins with a small limit and a random part of its cold budget.
func (h *Host) recordRestart(at TenthMs) {
	if at <= h.startedAt {
		return
	}
	h.startedAt, h.limit, h.share, h.ejected, h.down = at, recoveryLimit, 1, false, false
	h.retryAt, h.slowConnectUntil, h.openConns = 0, 0, 0
	h.coldBudget, h.coldBudgetFilledAt = h.set.router.random(), h.set.router.now
}

// EndList completes the processing of a list. Hosts that are missing from a complete list are removed.
func (r *Router) EndList(complete bool) {
	for _, host := range r.hosts {
		if complete && !host.inCurrentList {
			host.UpdateListing(Removed, false, host.zone, "", host.size, host.startedAt)
		}
		host.inCurrentList = false
	}
	if r.listRequested {
		r.nextListRequestAt = 0
	}
	r.probeHosts()
}

// ListUnavailable reports that a list request was refused or the subscription ended. The list is requested
// again with backoff and jitter, so that hundreds of routers do not overload a busy service.
func (r *Router) ListUnavailable() {
	r.listRequested, r.nextListRequestAt = false, r.now+TenthMs((0.5+r.random())*float64(r.listRetryDelay))
	r.listRetryDelay = min(2*r.listRetryDelay, r.ListTimeout/2)
}

// dropIfRemoved drops a host that left the list, once it has no commands or probes in flight.
func (h *Host) dropIfRemoved() bool {
	if h.listState != Removed || h.probing || len(h.inFlight) > 0 {
		return false
	}
	delete(h.set.router.hostsByID, h.peerID())
	h.set.members = slices.DeleteFunc(h.set.members, func(member *Host) bool { return member == h })
	h.set.router.caller.ReleaseHost(h)
	return true
}

// accepts reports whether the host may receive the command now, within a fraction of its limits.
func (h *Host) accepts(c *Command, limitFraction float64) bool {
	router := h.set.router
	switch {
	case h.listState != Active || h.unreachable || router.now < h.retryAt:
		return false
	case h.isCold() && !h.withinColdBudget(c, limitFraction):
		return false
	case h.ejected: // single trial commands test whether it recovered
		return (c.group.IdempotencyClass == Idempotent || router.ExplicitPrimary) && len(c.triedHosts) == 0
	}
	return float64(h.activeCount()) < h.limit*limitFraction && (router.now >= h.slowConnectUntil || h.hasFreeStream())
}

// hasFreeStream reports whether an open connection can carry one more command.
func (h *Host) hasFreeStream() bool { return len(h.inFlight) < h.openConns*h.set.router.StreamsPerConn }

// withinShare reports whether a host with that share takes the command, by its random number.
func (c *Command) withinShare(share float64) bool { return c.shareDraw < share }

// isCold reports whether the host started recently.
func (h *Host) isCold() bool {
	return h.startedAt != 0 && h.set.router.now < h.startedAt+h.set.router.ColdDuration
}

// withinColdBudget limits a cold host to a fraction of the work of warm hosts. Each router counts only its own work, so the
// sum is limited too. To avoid bursts, the budget starts at random below one command, and never exceeds the greater of one
// command and a quarter of the work allowed in ColdOverloadWindow.
func (h *Host) withinColdBudget(c *Command, limitFraction float64) bool {
	router := h.set.router
	warmth := float64(router.now-router.ColdOverloadWindow-h.startedAt) / float64(router.ColdDuration)
	coldPart := router.ColdCapacity + (1-router.ColdCapacity)*max(0, warmth)
	rate := 0.75 * router.ColdOverloadFactor * coldPart * h.model.warmRate * h.size
	filled := h.coldBudget + rate*float64(router.now-h.coldBudgetFilledAt)
	h.coldBudget, h.coldBudgetFilledAt = min(filled, max(1, rate*float64(router.ColdOverloadWindow)/4)), router.now
	return h.coldBudget*limitFraction >= max(1, c.work()) // work that requires the primary has precedence
}

// work returns the cost of a command relative to the average command.
func (c *Command) work() float64 {
	if c.group.latency.samples == 0 || c.set.router.meanLatency == 0 {
		return 1
	}
	return c.group.latency.mean / c.set.router.meanLatency
}

// hasReached reports whether a host has reached a position. If hosts check it themselves, one that is expected to have
// reached it, or is idle without a position update for a second, qualifies: a rejection costs one dispatch, and the
// position of a host that gets no commands would stay unknown.
func (h *Host) hasReached(position TenthMs) bool {
	router := h.set.router
	if position <= 0 || h.positionKnown && h.position >= position {
		return true
	}
	expected := router.now - router.PositionEpoch - h.lag + router.PositionWait*2/5
	return router.HostsCheckPosition && (h.positionKnown && expected >= position ||
		router.now >= h.positionAt+second && len(h.inFlight) == 0)
}

// load returns the commands in flight, weighted by latency, per unit of size, to compare hosts.
func (h *Host) load() float64 {
	return float64(h.activeCount()+1) * (h.latencyRatio + overloadRatio/4) / h.size
}

// activeCount returns the number of commands in flight whose answers are not assumed lost.
func (h *Host) activeCount() (active int) {
	for _, c := range h.inFlight {
		if !c.overdue || h.latencyRatio > overloadRatio && h.set.router.now < 2*c.overdueAt-c.sentAt {
			active++
		}
	}
	return active
}

// updateLoad records a latency as a multiple of the unloaded latency; a sample after a long gap has more weight. Slow
// answers reduce the limit or, if this router, one of hundreds, has few other commands in flight, the share.
func (h *Host) updateLoad(ratio float64, sentAt TenthMs, othersInFlight int) {
	now := h.set.router.now
	weight := min(0.5, max(0.125, float64(now-h.latencyUpdatedAt)/float64(2*second)))
	h.latencyUpdatedAt = now
	if ratio < overloadRatio {
		h.lastFastSentAt = max(h.lastFastSentAt, sentAt)
	}
	h.latencyRatio += (min(ratio, maxLatencyRatio) - h.latencyRatio) * weight
	if growth := 1 + weight*max(-1, 1-ratio/overloadRatio); growth > 1 || float64(othersInFlight) < h.limit/4 {
		h.share = min(1, max(4/float64(h.set.router.RouterCount), h.share*growth))
	}
	if h.latencyRatio > overloadRatio && now >= h.nextLimitCutAt {
		h.limit, h.nextLimitCutAt = max(1, h.limit*0.85), now+second/10
	}
}

// backOff avoids a rejecting host, longer each time: with fast rejections it would attract more commands.
func (h *Host) backOff() {
	h.updateLoad(maxLatencyRatio, 0, len(h.inFlight))
	h.backoff = min(max(2*h.backoff, second/50), second/2)
	h.retryAt = h.set.router.now + TenthMs((2+2*h.set.router.random())*float64(h.backoff)/3)
}

// closeIdleConns closes idle connections, for some time, to a host that has none left for other routers.
func (h *Host) closeIdleConns(duration TenthMs) {
	now := h.set.router.now
	if h.connsExhaustedUntil = max(h.connsExhaustedUntil, now+duration); now < h.connsExhaustedUntil && len(h.inFlight) == 0 {
		h.openConns = 0
		h.set.router.caller.CloseIdleConns(h)
	}
}

// eject stops sending to a silent host, except for occasional trial commands.
func (h *Host) eject(minBackoff TenthMs) {
	if !h.ejected {
		h.ejected, h.backoff = true, max(minBackoff, second/10)
		h.retryAt = h.set.router.now + h.backoff
	}
}

// updateRole records the role that the host reported as of a time.
func (h *Host) updateRole(role Role, at TenthMs) {
	if at < h.roleAt || role == UnknownRole {
		return
	}
	set := h.set
	h.role, h.roleAt = role, at
	if role == Replica && set.primary == h {
		set.primary = nil
	} else if role == Primary && h.listState == Active && (set.primary == nil || at >= set.primary.roleAt) {
		set.primary = h
	}
}

// updatePosition records a position. Positions are lower bounds and never decrease.
func (h *Host) updatePosition(position TenthMs) {
	if router := h.set.router; !h.positionKnown || position >= h.position {
		h.positionKnown, h.position, h.positionAt = true, position, router.now
		h.lag = max(0, router.now-router.PositionEpoch-position)
	}
}
