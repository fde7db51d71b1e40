package policy

import (
	"cmp"
	"slices"
)

// EndDispatch reports how the dispatch in flight ended, the position that the host stated (-1: none), and the
// latency. over says that the command needs no answer any more.
func (c *Command) EndDispatch(outcome Outcome, position TenthMs, role Role, cost TenthMs, over bool) {
	host, set, router := c.Host, c.set, c.set.router
	if host == nil {
		return
	}
	host.updateRole(role, c.sentAt) // as of the dispatch: what was sent later knows better
	if c.group.Need == Write && outcome == Answered {
		router.recordWrite(c.session, position)
		position -= 10 // commits are rounded up
	}
	if position >= 0 && role != UnknownRole {
		host.updatePosition(position)
	}
	host.recordOutcome(c, outcome, cost)
	if c.group.Need != Write {
		host.inferPosition(c, outcome)
	}
	if outcome.mayHaveRun() {
		c.mayHaveRunAt = cmp.Or(c.mayHaveRunAt, c.sentAt)
	}
	c.tried, c.done = append(c.tried, host), c.done || over || outcome == Answered
	retry := !c.done && c.mayRetry(outcome)
	c.Host = nil
	switch {
	case c.done:
	case !retry:
		c.giveUp()
	case !c.route():
		c.enqueue()
	}
	set.serveQueue()
}

// mayHaveRun says whether a command that failed this way may have had its effect.
func (o Outcome) mayHaveRun() bool {
	return o == Errored || o == TimedOut || o == Reset || o == Cancelled
}

// inferPosition learns from a read where the host itself checks that it has the needed position.
func (h *Host) inferPosition(c *Command, outcome Outcome) {
	router := h.set.router
	switch {
	case outcome == Answered && router.Guarded && c.neededPosition > h.position && h.role != Primary:
		h.positionKnown, h.position, h.positionAt = true, c.neededPosition, router.now
		h.lag = min(h.lag, c.sentAt-router.Zero-c.neededPosition)
	case outcome == Misrouted:
		h.lag, h.positionAt = max(h.lag, router.now-router.Zero-c.neededPosition+1), router.now
	}
}

// recordOutcome learns of the host's health from how a dispatch ended.
func (h *Host) recordOutcome(c *Command, outcome Outcome, cost TenthMs) {
	h.inFlight = slices.DeleteFunc(h.inFlight, func(other *Command) bool { return other == c })
	h.recordConns(c, outcome, cost)
	switch outcome {
	case Unreachable:
		h.recordUnreached(c)
	case Answered:
		h.recordContact()
		h.recordLatency(c, cost)
	case Errored:
		h.recordContact()
	case Overloaded:
		h.recordContact()
		h.backOff()
		h.shareState(peerRejecting)
	case Misrouted:
		h.recordContact()
		h.shareState(peerLatencyUnknown)
	}
}

// recordConns keeps count of the open connections.
func (h *Host) recordConns(c *Command, outcome Outcome, cost TenthMs) {
	router := h.set.router
	switch {
	case outcome != Unreachable && c.opensConn:
		h.openConns++
	case outcome == Reset:
		h.openConns = 0
	case outcome == Unreachable && c.opensConn && cost >= router.ConnectFor*9/10:
		h.slowConnectUntil = router.now + connectHold // down, cut off or slow to connect: what is open will do
	}
}

// recordUnreached tells a host that is down or cut off from one that is up, but takes no more connections.
func (h *Host) recordUnreached(c *Command) {
	router := h.set.router
	switch {
	case h.quickSentAt+second < c.sentAt && h.lastAnswerAt <= c.sentAt: // nothing else is answered either
		h.unreachable, h.down = router.Probes, router.Told
		h.eject(second / 10)
	case router.now < h.slowConnectUntil: // it answers on open connections
		h.recordContact()
	default:
		h.retryAt = max(h.retryAt, router.now+second/100) // a command must not spend all its dispatches at once
		h.freeConns(scarceConnsHold)
		h.shareState(peerConnsExhausted)
	}
}

// recordContact notes a sign of life. A host that was ejected is back, with little concurrency at first.
func (h *Host) recordContact() {
	router := h.set.router
	h.freeConns(0)
	router.answerGaps.record(router.now, float64(router.now-h.lastAnswerAt))
	h.lastAnswerAt = router.now
	if h.down && router.noPlanner { // it may have restarted, and no planner is there to say so
		h.restarted(router.now)
	}
	h.down = false
	if h.ejected {
		h.ejected, h.backoff, h.retryAt, h.limit = false, 0, 0, min(h.limit, recoveredLimit)
	}
}

// recordLatency learns from the latency of an answer.
func (h *Host) recordLatency(c *Command, cost TenthMs) {
	router, group := h.set.router, c.group
	ratio := float64(cost) / float64(group.Target)
	h.backoff, group.samples = 0, min(group.samples+1, 500)
	group.meanLatency += (float64(cost) - group.meanLatency) / group.samples
	router.meanLatency += (group.meanLatency - router.meanLatency) / 100
	if !h.cold() {
		h.model.workDone += c.work()
	}
	h.rate(ratio, c.sentAt, len(h.inFlight))
	if h.lateness <= lateRatio && float64(len(h.inFlight)+1) >= h.limit/2 {
		h.limit += 1 / h.limit
	}
	h.shareState(ratio)
}
