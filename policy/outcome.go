package policy

import (
	"cmp"
	"slices"
)

// EndDispatch reports the outcome of the dispatch in flight, the position (-1: none) and role that the host reported,
// and the latency. finished means that the command needs no further answer.
func (c *Command) EndDispatch(outcome Outcome, position TenthMs, role Role, latency TenthMs, finished bool) {
	host, set, router := c.Host, c.set, c.set.router
	if host == nil {
		return
	}
	host.updateRole(role, c.sentAt) // as of the send time: later dispatches have precedence
	if c.group.ConsistencyLevel == Write && outcome == Answered {
		router.recordWrite(c.session, position)
		position -= 10 // the position of a commit is rounded up, by less than 1 ms
	}
	if position >= 0 && role != UnknownRole {
		host.updatePosition(position)
	}
	host.recordOutcome(c, outcome, latency)
	if c.group.ConsistencyLevel != Write {
		host.inferPosition(c, outcome)
	}
	if outcome.mayHaveRun() {
		c.mayHaveRunAt = cmp.Or(c.mayHaveRunAt, c.sentAt)
	}
	c.triedHosts, c.done = append(c.triedHosts, host), c.done || finished || outcome == Answered
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

// mayHaveRun reports whether a command that failed with this outcome may have taken effect.
func (o Outcome) mayHaveRun() bool {
	return o == Errored || o == TimedOut || o == Reset || o == Cancelled
}

// inferPosition updates the host's position or lag from a read whose required position the host itself checked.
func (h *Host) inferPosition(c *Command, outcome Outcome) {
	router := h.set.router
	switch {
	case outcome == Answered && router.HostsCheckPosition && c.neededPosition > h.position && h.role != Primary:
		h.positionKnown, h.position, h.positionAt = true, c.neededPosition, router.now
		h.lag = min(h.lag, c.sentAt-router.PositionEpoch-c.neededPosition)
	case outcome == Misrouted:
		h.lag, h.positionAt = max(h.lag, router.now-router.PositionEpoch-c.neededPosition+1), router.now
	}
}

// recordOutcome updates the host's health from the outcome of a dispatch.
func (h *Host) recordOutcome(c *Command, outcome Outcome, latency TenthMs) {
	h.inFlight = slices.DeleteFunc(h.inFlight, func(other *Command) bool { return other == c })
	h.recordConns(c, outcome, latency)
	switch outcome {
	case Unreachable:
		h.recordUnreachable(c)
	case Answered:
		h.recordContact()
		h.recordLatency(c, latency)
	case Errored:
		h.recordContact()
	case Overloaded:
		h.recordContact()
		h.backOff()
		h.publishState(peerRejecting)
	case Misrouted:
		h.recordContact()
		h.publishState(peerLatencyUnknown)
	}
}

// recordConns updates the number of open connections.
func (h *Host) recordConns(c *Command, outcome Outcome, latency TenthMs) {
	router := h.set.router
	switch {
	case outcome != Unreachable && c.opensConn:
		h.openConns++
	case outcome == Reset:
		h.openConns = 0
	case outcome == Unreachable && c.opensConn && latency >= router.ConnectTimeout*9/10:
		h.slowConnectUntil = router.now + slowConnectHold // down, cut off or slow: use open connections only
	}
}

// recordUnreachable distinguishes a host that is down or cut off from one that is up but out of connections.
func (h *Host) recordUnreachable(c *Command) {
	router := h.set.router
	switch {
	case h.lastFastSentAt+second < c.sentAt && h.lastAnswerAt <= c.sentAt: // no other command was answered either
		h.unreachable, h.down = router.ProbesEnabled, router.UsesPlanners
		h.eject(second / 10)
	case router.now < h.slowConnectUntil: // it still answers on open connections
		h.recordContact()
	default:
		h.retryAt = max(h.retryAt, router.now+second/100) // a command must not use up its dispatches at once
		h.closeIdleConns(connsExhaustedHold)
		h.publishState(peerConnsExhausted)
	}
}

// recordContact records an answer of the host. An ejected host recovers, with a small limit at first.
func (h *Host) recordContact() {
	router := h.set.router
	h.closeIdleConns(0)
	router.answerGaps.record(router.now, float64(router.now-h.lastAnswerAt))
	h.lastAnswerAt = router.now
	if h.down && router.noPlanner { // it may have restarted, and no planner would report that
		h.recordRestart(router.now)
	}
	h.down = false
	if h.ejected {
		h.ejected, h.backoff, h.retryAt, h.limit = false, 0, 0, min(h.limit, recoveryLimit)
	}
}

// recordLatency updates the latency and load statistics from an answer.
func (h *Host) recordLatency(c *Command, latency TenthMs) {
	router, group := h.set.router, c.group
	group.latency.record(latency, router.now)
	if router.meanLatency == 0 {
		router.meanLatency = group.latency.mean
	}
	router.meanLatency += (group.latency.mean - router.meanLatency) / 100
	ratio := group.latency.ratio(latency)
	h.backoff = 0
	if !h.isCold() {
		h.model.workDone += c.work()
	}
	h.updateLoad(ratio, c.sentAt, len(h.inFlight))
	if h.latencyRatio <= overloadRatio && float64(len(h.inFlight)+1) >= h.limit/2 {
		h.limit += 1 / h.limit
	}
	h.publishState(ratio)
}
