// doc.go says how the module is called and what its mechanisms are; its interface is api.go.

package policy

import "slices"

const (
	second             = TenthMs(10000)
	evaluationInterval = second / 20
	stallThreshold     = second / 20 // a wake this long overdue shows that this router stood still
	queueTicks         = 4           // between two looks at a queue, in ticks
	connectHold        = 2 * second  // no new connection to a host that is slow to connect
	scarceConnsHold    = 5 * second  // no idle connection to a host that takes no more
	modelWindow        = 10 * second // warm work is a mean over this; the most in a shorter time is chance
	recoveredLimit     = 2           // concurrency of a host that started or is back
	silenceDeviations  = 12.0        // standard deviations beyond the mean gap that are an unusual silence
	silenceSamples     = 16          // gaps that are needed to know what is unusual
	lateRatio          = 0.3         // of the response target: a mean latency that shows overload
	spillShare         = 0.125       // of reads that the primary may take if it has less to do
	maxSessionTokens   = 1 << 12
	windowSeconds      = 8 // the span that a window sums up
	faultLimit         = 6 // fault points at which the command itself is taken to be at fault
)

// New starts a router.
func New(caller Caller, deployment Deployment, now TenthMs) *Router {
	r := &Router{
		Deployment: deployment, caller: caller, now: now, evaluatedAt: now, positionTTL: second / 2,
		sets: map[int64]*replicaSet{}, hostsByID: map[string]*Host{}, models: map[string]*hostModel{},
		tokens: map[string]TenthMs{},
	}
	for _, group := range r.Groups {
		if group.Need == BoundedStaleness {
			r.positionTTL = min(r.positionTTL, group.Bound/2)
		}
		r.InitGroup(group)
		r.meanLatency += group.meanLatency / float64(len(r.Groups))
	}
	r.Streams, r.Tick = max(r.Streams, 1), max(r.Tick, 10)
	r.peerCredit = r.random() * float64(128*r.Routers)
	if r.Peers { // a few routers can tell all of the positions before commands pay for probes
		r.probeCredit = 4 * r.random()
	}
	if r.probeSpend = 0.005; r.Probes && r.Reports && !r.Guarded && !r.Peers && !r.Told {
		r.probesForReads, r.probeSpend = true, 0.02
	}
	if r.AskWithin > 0 { // spread over a few seconds: nothing is broken if the list comes later
		r.listRequestAt, r.listRetryDelay = now+1+TenthMs(r.random()*float64(r.AskWithin/4)), r.AskWithin/8
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

// scheduleWake asks for a call of WakeUp, unless one comes sooner.
func (r *Router) scheduleWake(after TenthMs) {
	if r.wakeAt <= r.now || r.wakeAt > r.now+after {
		r.wakeAt = r.now + after
		r.caller.Wake(after)
	}
}

// WakeUp does what is due: soon again while commands are queued, else seldom, as there may be many hosts.
func (r *Router) WakeUp() {
	next := evaluationInterval
	for _, set := range r.orderedSets { // those without a host too
		if len(set.queue) > 0 {
			set.serveQueue()
			next = queueTicks * r.Tick
		}
	}
	if r.listRequestAt > 0 && r.now >= r.listRequestAt { // once more where no answer ever comes
		r.listRequested, r.listRequestAt = true, r.now+r.AskWithin
		r.caller.Watch()
	}
	if r.now >= r.evaluatedAt+evaluationInterval {
		r.evaluateHosts(float64(r.now - r.evaluatedAt))
	}
	if r.now >= r.wakeAt-r.Tick/2 { // else it is one left over
		r.wakeAt = 0
		r.scheduleWake(next)
	}
}

// evaluateHosts updates what is known of all hosts, after a span of tenths.
func (r *Router) evaluateHosts(span float64) {
	r.evaluatedAt, r.hosts = r.now, slices.DeleteFunc(r.hosts, (*Host).dropIfRemoved)
	silence := r.unusualSilence()
	for _, host := range r.hosts {
		r.evaluate(host, silence)
		if host.listState == Active && !host.ejected && !host.cold() {
			host.model.warmSize += host.size
		}
	}
	for _, model := range r.models {
		model.update(span)
	}
	r.probeHosts()
}

// unusualSilence is how long a host with commands in flight may be silent, given the gaps between answers.
func (r *Router) unusualSilence() TenthMs {
	if count, mean, deviation := r.answerGaps.summary(r.now); count >= silenceSamples {
		return TenthMs(mean+silenceDeviations*deviation) + 2*r.Tick
	}
	return TenthMs((1 + silenceDeviations) * r.meanLatency)
}

// evaluate ages what is known of a host's load, and ejects the host if it is silent for too long.
func (r *Router) evaluate(host *Host, silence TenthMs) {
	if r.now >= host.peakSince+r.IdleFor/2 {
		host.openConns = min(host.openConns, (host.peakInFlight+r.Streams-1)/r.Streams)
		host.peakInFlight, host.peakSince = len(host.inFlight), r.now
	}
	host.lateness += (lateRatio/2 - host.lateness) / 400 // a host that is spared is tried again
	host.share = min(1, host.share*1.0035)
	inFlight, silentSince := TenthMs(len(host.inFlight)), max(host.lastAnswerAt, r.stalledUntil)
	if inFlight > 0 && r.now-silentSince > silence*max(1, 4-inFlight) {
		host.eject(silence)
	}
	for _, command := range host.inFlight {
		wasOverdue := command.overdue
		command.overdue = r.now >= command.sentAt+command.group.Target
		if wasOverdue || !command.overdue || command.sentAt <= host.quickSentAt {
			continue // if a command sent later was answered in good time, the answer is lost, and the host is well
		}
		host.rate(1, 0, len(host.inFlight)-1)
		host.shareState(1)
		if inFlight == 1 && silentSince <= command.sentAt && host != host.set.primary {
			host.eject(second) // all that this router knows of it
		}
	}
}

// update takes in the work of a span of tenths.
func (m *hostModel) update(span float64) {
	if m.warmSize > 0 {
		m.measuredFor = min(m.measuredFor+span, float64(modelWindow))
		m.warmRate += (m.workDone/m.warmSize/span - m.warmRate) * span / m.measuredFor
		m.workDone, m.warmSize = 0, 0
	}
}
