package policy

import (
	"cmp"
	"slices"
)

// AddHost adds a host that the list names, to the replica set with the number.
func (r *Router) AddHost(name string, set int64) *Host {
	h := &Host{
		Name: name, set: r.replicaSet(set), limit: 4, size: 1, share: 1, lateness: lateRatio / 2, ratedAt: r.now,
	}
	r.hostsByID[h.peerID()], r.hosts, h.set.members = h, append(r.hosts, h), append(h.set.members, h)
	slices.SortFunc(h.set.members, func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
	return h
}

// UpdateListing takes the host's entry in a list: whether it was the primary then, its hardware model,
// relative capacity and last start. A drain or a removal counts from now.
func (h *Host) UpdateListing(
	listState ListState, primary bool, zone, model string, size float64, startedAt TenthMs,
) {
	set, router := h.set, h.set.router
	h.inList, h.zone, h.size = true, zone, max(size, 0.1)
	if h.model = cmp.Or(h.model, router.models[model]); h.model == nil {
		h.model = &hostModel{}
		router.models[model] = h.model
		if router.Told { // a mean from nothing: the sum over all routers is the same however traffic moves
			h.model.measuredFor = float64(modelWindow)
		}
	}
	h.restarted(startedAt)
	if listState == Removed && router.DrainAlone && h.listState == Active {
		return // such a list doesn't prove that the host is down
	}
	h.listState = listState
	if primary && set.primary == nil {
		set.nextCandidate = slices.Index(set.members, h)
	}
	if listState != Active && set.primary == h {
		set.primary = nil
	}
}

// restarted takes in a start. A cold host begins with a small limit and a random part of its budget.
func (h *Host) restarted(at TenthMs) {
	if at <= h.startedAt {
		return
	}
	h.startedAt, h.limit, h.share, h.ejected, h.down = at, recoveredLimit, 1, false, false
	h.retryAt, h.slowConnectUntil, h.openConns = 0, 0, 0
	h.coldBudget, h.coldBudgetAt = h.set.router.random(), h.set.router.now
}

// EndList ends a list. What a complete one lacks is gone.
func (r *Router) EndList(complete bool) {
	for _, host := range r.hosts {
		if complete && !host.inList {
			host.UpdateListing(Removed, false, host.zone, "", host.size, host.startedAt)
		}
		host.inList = false
	}
	if r.listRequested {
		r.listRequestAt = 0
	}
	r.probeHosts()
}

// ListUnavailable says that the request for a list was refused, or that it comes no more. It is requested
// again with backoff and jitter: hundreds of routers must not keep a busy service busy.
func (r *Router) ListUnavailable() {
	r.listRequested, r.listRequestAt = false, r.now+TenthMs((0.5+r.random())*float64(r.listRetryDelay))
	r.listRetryDelay = min(2*r.listRetryDelay, r.AskWithin/2)
}

// dropIfRemoved drops a host that left the list, once nothing is in flight.
func (h *Host) dropIfRemoved() bool {
	if h.listState != Removed || h.probing || len(h.inFlight) > 0 {
		return false
	}
	delete(h.set.router.hostsByID, h.peerID())
	h.set.members = slices.DeleteFunc(h.set.members, func(member *Host) bool { return member == h })
	h.set.router.caller.Forget(h)
	return true
}

// accepts says whether the host may be sent the command now, with a part of its limit for such commands.
func (h *Host) accepts(c *Command, part float64) bool {
	router := h.set.router
	switch {
	case h.listState != Active || h.unreachable || router.now < h.retryAt:
		return false
	case h.cold() && !h.withinColdBudget(c, part):
		return false
	case h.ejected: // one trial at a time finds out whether it is back
		return (c.group.Effect == Idempotent || router.Led) && len(c.tried) == 0
	case router.now >= c.targetAt && c.group.LateShare == 0:
		part /= 2 // it can earn nothing any more
	}
	return float64(h.activeCount()) < h.limit*part && (router.now >= h.slowConnectUntil || h.hasFreeStream())
}

// hasFreeStream says whether an open connection can take one more command.
func (h *Host) hasFreeStream() bool { return len(h.inFlight) < h.openConns*h.set.router.Streams }

// withinShare says whether a host with that share gets the command, by its priority and its draw.
func (c *Command) withinShare(share float64) bool {
	return share >= 1 || c.draw*c.set.router.meanPriority <= share*c.priority()
}

// cold says whether the host started lately.
func (h *Host) cold() bool {
	return h.startedAt != 0 && h.set.router.now < h.startedAt+h.set.router.ColdFor
}

// withinColdBudget keeps a cold host to its part of what warm ones do. Each router counts its own work, so
// the sum keeps to it too. Less than one command is saved up, from a random start, lest all send at once.
func (h *Host) withinColdBudget(c *Command, part float64) bool {
	router := h.set.router
	warmth := float64(router.now-router.FallSpan-h.startedAt) / float64(router.ColdFor)
	coldPart := router.ColdFrom + (1-router.ColdFrom)*max(0, warmth)
	rate := 0.75 * router.FallFactor * coldPart * h.model.warmRate * h.size
	filled := h.coldBudget + rate*float64(router.now-h.coldBudgetAt)
	h.coldBudget, h.coldBudgetAt = min(filled, max(1, rate*float64(router.FallSpan)/4)), router.now
	return h.coldBudget*part >= max(1, c.work()) // what only a primary can do goes first
}

// work is how much a command asks for, in commands of the usual mix.
func (c *Command) work() float64 { return c.group.meanLatency / max(c.set.router.meanLatency, 1) }

// hasReached says whether a host has a position. Where hosts check that themselves, one expected to have it,
// or not heard of for long, will do: a wrong guess costs one dispatch, and an unused host would stay unknown.
func (h *Host) hasReached(position TenthMs) bool {
	router := h.set.router
	if position <= 0 || h.positionKnown && h.position >= position {
		return true
	}
	expected := router.now - router.Zero - h.lag + router.Wait*2/5
	return router.Guarded && (h.positionKnown && expected >= position ||
		router.now >= h.positionAt+second && len(h.inFlight) == 0)
}

// load compares hosts: commands in flight, weighted by latency, for each unit of size.
func (h *Host) load() float64 {
	return float64(h.activeCount()+1) * (h.lateness + lateRatio/4) / h.size
}

// activeCount is how many commands are in flight whose answers are not taken for lost.
func (h *Host) activeCount() (active int) {
	for _, c := range h.inFlight {
		if !c.overdue || h.lateness > lateRatio && h.set.router.now < c.sentAt+2*c.group.Target {
			active++
		}
	}
	return active
}

// rate takes in a latency as a part of the response target; the fewer there are, the more each weighs. Late
// ones reduce the limit, or, where one of hundreds of routers has few others in flight, the share.
func (h *Host) rate(ratio float64, sentAt TenthMs, others int) {
	now := h.set.router.now
	weight := min(0.5, max(0.125, float64(now-h.ratedAt)/float64(2*second)))
	h.ratedAt = now
	if ratio < 0.5 {
		h.quickSentAt = max(h.quickSentAt, sentAt)
	}
	h.lateness += (min(ratio, 1) - h.lateness) * weight
	if growth := 1 + weight*max(-1, 1-ratio/lateRatio); growth > 1 || float64(others) < h.limit/4 {
		h.share = min(1, max(4/float64(h.set.router.Routers), h.share*growth))
	}
	if h.lateness > lateRatio && now >= h.limitCutAt {
		h.limit, h.limitCutAt = max(1, h.limit*0.85), now+second/10
	}
}

// backOff leaves a host that rejects commands alone, longer each time: fast rejections attract ever more.
func (h *Host) backOff() {
	h.rate(1, 0, len(h.inFlight))
	h.backoff = min(max(2*h.backoff, second/50), second/2)
	h.retryAt = h.set.router.now + TenthMs((2+2*h.set.router.random())*float64(h.backoff)/3)
}

// freeConns closes idle connections, for some time more, to a host that has none left for other routers.
func (h *Host) freeConns(more TenthMs) {
	now := h.set.router.now
	if h.connsScarceUntil = max(h.connsScarceUntil, now+more); now < h.connsScarceUntil && len(h.inFlight) == 0 {
		h.openConns = 0
		h.set.router.caller.Close(h)
	}
}

// eject stops sending to a silent host, but for a trial now and then.
func (h *Host) eject(wait TenthMs) {
	if !h.ejected {
		h.ejected, h.backoff = true, max(wait, second/10)
		h.retryAt = h.set.router.now + h.backoff
	}
}

// updateRole takes in what the host said of its role at a time.
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

// updatePosition takes in a position. Positions are lower bounds and never go back.
func (h *Host) updatePosition(position TenthMs) {
	if router := h.set.router; !h.positionKnown || position >= h.position {
		h.positionKnown, h.position, h.positionAt = true, position, router.now
		h.lag = max(0, router.now-router.Zero-position)
	}
}
