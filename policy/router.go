// See doc.go for an overview of the package and api.go for its interface.

package policy

import "slices"

const (
	second              = TenthMs(10000)
	evaluationInterval  = second / 20
	stallThreshold      = second / 20 // a WakeUp that is overdue by more shows that this process was stalled
	queueCheckTicks     = 4           // interval between two passes over a queue, in ticks
	slowConnectHold     = 2 * second  // no new connections to a host that is slow to accept them
	connsExhaustedHold  = 5 * second  // no idle connections to a host that has none left
	firstAnswerTimeout  = second      // how long a host may be silent while the usual latency is not known
	recoveryLimit       = 2           // initial concurrency limit of a host that restarted or recovered
	silenceDeviations   = 12.0        // standard deviations above the mean gap at which silence is unusual
	minSilence          = second / 10 // shorter silence is not unusual where few gaps are known
	silenceSamples      = 16          // minimum number of gaps for that estimate
	overloadRatio       = 2.0         // mean latency that indicates overload, as a multiple of the unloaded latency
	maxLatencyRatio     = 6.0         // greatest latency that counts in a mean, as a multiple of the unloaded latency
	spillProbability    = 0.125       // probability that a read goes to the primary if that has less load than the replica
	maxSessionTokens    = 1 << 12
	probesPerCommand    = 0.1 // probes that a command pays for: they take hosts' time from commands
	maxProbeCredit      = 16
	peerBytesPerCommand = 256.0              // bytes to other routers that a command pays for: one message of the greatest size
	windowSeconds       = silenceSamples / 2 // at two answers a second, a window holds enough samples
	faultLimit          = 6                  // fault points at which the command itself is assumed to cause the failures
)

// New creates a router.
func New(caller Caller, deployment Deployment, now TenthMs) *Router {
	r := &Router{
		Deployment: deployment, caller: caller, now: now, evaluatedAt: now, positionTTL: second / 2,
		sets: map[int64]*replicaSet{}, hostsByID: map[string]*Host{}, models: map[string]*hostModel{},
		sessionTokens: map[string]TenthMs{},
	}
	for _, group := range r.Groups {
		if group.ConsistencyLevel == BoundedStaleness {
			r.positionTTL = min(r.positionTTL, group.MaxStaleness/2)
		}
	}
	r.StreamsPerConn, r.Tick = max(r.StreamsPerConn, 1), max(r.Tick, 10)
	r.peerCredit = r.random() * r.maxPeerCredit()
	if r.PeerUpdatesEnabled { // a few routers can publish all positions before commands have paid for probes
		r.probeCredit = 4 * r.random()
	}
	r.probesForReads = r.ProbesEnabled && r.PositionsReported && !r.HostsCheckPosition && !r.PeerUpdatesEnabled && !r.UsesPlanners
	if r.ListTimeout > 0 { // spread over a few seconds, since a late list does no harm
		r.nextListRequestAt, r.listRetryDelay = now+1+TenthMs(r.random()*float64(r.ListTimeout/4)), r.ListTimeout/8
	}
	r.scheduleWake(2 * r.Tick)
	return r
}

// SetTime sets the time of the calls that follow.
func (r *Router) SetTime(now TenthMs) {
	if now > max(r.now, r.wakeAt)+stallThreshold {
		r.stalledUntil = now
	}
	r.now = max(r.now, now)
}

// scheduleWake schedules a call of WakeUp, unless an earlier one is scheduled.
func (r *Router) scheduleWake(after TenthMs) {
	if r.wakeAt <= r.now || r.wakeAt > r.now+after {
		r.wakeAt = r.now + after
		r.caller.ScheduleWakeUp(after)
	}
}

// WakeUp runs due work. It runs often while commands are queued, else rarely, since there may be many hosts.
func (r *Router) WakeUp() {
	next := evaluationInterval
	for _, set := range r.orderedSets { // including sets without hosts
		if len(set.queue) > 0 {
			set.serveQueue()
			next = queueCheckTicks * r.Tick
		}
	}
	if r.nextListRequestAt > 0 && r.now >= r.nextListRequestAt { // requests it again if no answer arrives
		r.listRequested, r.nextListRequestAt = true, r.now+r.ListTimeout
		r.caller.RequestHostList()
	}
	if r.now >= r.evaluatedAt+evaluationInterval {
		r.evaluateHosts(float64(r.now - r.evaluatedAt))
	}
	if r.now >= r.wakeAt-r.Tick/2 { // else an earlier WakeUp that was replaced
		r.wakeAt = 0
		r.scheduleWake(next)
	}
}

// evaluateHosts evaluates all hosts; span is the time since the last evaluation, in tenths of a millisecond.
func (r *Router) evaluateHosts(span float64) {
	r.evaluatedAt, r.hosts = r.now, slices.DeleteFunc(r.hosts, (*Host).dropIfRemoved)
	silence := r.silenceTimeout()
	for _, host := range r.hosts {
		r.evaluate(host, silence)
		if host.listState == Active && !host.ejected && !host.isCold() {
			host.model.warmSize += host.size
		}
	}
	for _, model := range r.models {
		model.update(span, r.warmRateSpan())
	}
	r.probeHosts()
}

// silenceTimeout returns how long a host with commands in flight may be silent. It is estimated from the gaps between answers.
func (r *Router) silenceTimeout() TenthMs {
	if count, mean, deviation := r.answerGaps.summary(r.now); count >= silenceSamples {
		return TenthMs(mean+silenceDeviations*deviation) + 2*r.Tick
	}
	if r.meanLatency == 0 {
		return firstAnswerTimeout
	}
	return max(minSilence, TenthMs((1+silenceDeviations)*r.meanLatency))
}

// evaluate decays the load estimates of a host, and ejects the host if it has been silent for too long.
func (r *Router) evaluate(host *Host, silence TenthMs) {
	if r.now >= host.peakStartedAt+r.IdleConnTimeout/2 {
		host.openConns = min(host.openConns, (host.peakInFlight+r.StreamsPerConn-1)/r.StreamsPerConn)
		host.peakInFlight, host.peakStartedAt = len(host.inFlight), r.now
	}
	host.latencyRatio += (overloadRatio/2 - host.latencyRatio) / 400 // lets an avoided host receive commands again
	host.share = min(1, host.share*1.0035)
	inFlight, silentSince := TenthMs(len(host.inFlight)), max(host.lastAnswerAt, r.stalledUntil)
	if inFlight > 0 && r.now-silentSince > silence*max(1, 4-inFlight) {
		host.eject(silence)
	}
	for _, command := range host.inFlight {
		wasOverdue := command.overdue
		command.overdue = r.now >= command.overdueAt
		if wasOverdue || !command.overdue || command.sentAt <= host.lastFastSentAt {
			continue // a later command was answered fast: this answer was lost and the host is healthy
		}
		host.updateLoad(maxLatencyRatio, 0, len(host.inFlight)-1)
		host.publishState(maxLatencyRatio)
		if inFlight == 1 && silentSince <= command.sentAt && host != host.set.primary {
			host.eject(second) // the only evidence about the host
		}
	}
}

// warmRateSpan returns the time over which hostModel.warmRate is a mean, in tenths of a millisecond: as long as hosts are cold, since
// it is what a cold host's work is compared with.
func (r *Router) warmRateSpan() float64 { return float64(max(r.ColdDuration, second)) }

// update adds the work of the last span, in tenths of a millisecond, to warmRate, a mean over warmRateSpan.
func (m *hostModel) update(span, warmRateSpan float64) {
	if m.warmSize > 0 {
		m.measuredSpan = min(m.measuredSpan+span, warmRateSpan)
		m.warmRate += (m.workDone/m.warmSize/span - m.warmRate) * span / m.measuredSpan
		m.workDone, m.warmSize = 0, 0
	}
}
