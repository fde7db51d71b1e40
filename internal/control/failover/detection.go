package failover

// heartbeat is the last heartbeat received from a host. A probe that the primary answered counts as one.
type heartbeat struct {
	receivedAt int64
	isPrimary  bool
}

// Heartbeat records a host's heartbeat, which tells whether the host is its service's primary. The host's service is
// re-evaluated on the host's first heartbeat, the first one after a heartbeat timeout, and one whose isPrimary changed.
func (c *Coordinator) Heartbeat(host string, isPrimary bool, nowMs int64) {
	previous, heard := c.heartbeats[host]
	c.heartbeats[host] = heartbeat{nowMs, isPrimary}
	if !heard || previous.isPrimary != isPrimary || nowMs >= previous.receivedAt+c.heartbeatTimeoutMs() {
		c.schedule.changedHosts = append(c.schedule.changedHosts, host)
	}
}

// ForgetHost discards the state of a host that was removed.
func (c *Coordinator) ForgetHost(host string) {
	delete(c.heartbeats, host)
	for _, service := range c.services {
		delete(service.missingSince, host)
		delete(service.refusingSince, host)
		delete(service.uncertainCommands, hostCommand{host, Pause})
		delete(service.uncertainCommands, hostCommand{host, Resume})
	}
}

// SuspectPrimary records a proxy's report, received at nowMs, that it cannot reach a service's primary.
func (c *Coordinator) SuspectPrimary(proxy, serviceName, host string, nowMs int64) {
	service := c.service(serviceName)
	service.setSuspectedHost(host)
	if len(service.suspicions) == 0 {
		c.Counters.Suspected++
	}
	service.suspicions[proxy] = nowMs
	c.schedule.wake(serviceName)
}

// lastHeardAt returns when a host last sent a heartbeat or answered a probe as primary. All hosts count as heard from when
// this member became leader.
func (c *Coordinator) lastHeardAt(host string) int64 {
	return max(c.heartbeats[host].receivedAt, c.leaderSince)
}

// isSilent reports whether a host's last heartbeat is older than the heartbeat timeout.
func (e *evaluation) isSilent(host string) bool {
	return e.nowMs >= e.coordinator.lastHeardAt(host)+e.coordinator.heartbeatTimeoutMs()
}

// setSuspectedHost makes host the subject of the failure detection, which starts again if it was about another host.
func (s *serviceState) setSuspectedHost(host string) {
	if s.suspectedHost != host {
		s.suspectedHost, s.failedProbes = host, 0
		clear(s.suspicions)
	}
}

// expireSuspicions discards the proxies' reports that are older than suspicionTTLMs.
func (s *serviceState) expireSuspicions(nowMs int64) {
	for proxy, reportedAt := range s.suspicions {
		if nowMs > reportedAt+suspicionTTLMs {
			delete(s.suspicions, proxy)
		}
	}
}

// probeOutcome is the result of the last probe of a suspected primary.
type probeOutcome uint8

const (
	probePending    probeOutcome = iota // no result yet, or one that was already evaluated
	probeAlive                          // the host answered
	probeNotPrimary                     // the host answered that it is no longer primary
	probeFailed                         // the host did not answer
)

// primaryLost advances the failure detection of the primary and reports whether the primary is lost. The primary is probed
// while a proxy cannot reach it or its heartbeats have timed out. It is lost once failedProbeThreshold probes in a row have
// failed, or once it answers that it is no longer primary.
func (e *evaluation) primaryLost() bool {
	service := e.service
	service.setSuspectedHost(e.primary.Host)
	service.expireSuspicions(e.nowMs)
	if len(service.suspicions) == 0 && !e.isSilent(e.primary.Host) {
		service.failedProbes, service.suspectedSince = 0, 0
		return false
	}
	if service.suspectedSince == 0 {
		service.suspectedSince = e.nowMs
	}
	if hedged := service.hedgedQuery; hedged != nil && e.nowMs >= hedged.sentAt+pendingQueryTimeoutMs {
		service.hedgedQuery = nil
	}
	switch e.probeResult() {
	case probeAlive:
		e.clearSuspicion()
		e.coordinator.Heartbeat(e.primary.Host, e.coordinator.heartbeats[e.primary.Host].isPrimary, e.nowMs)
		return false
	case probeNotPrimary:
		e.clearSuspicion()
		return true
	case probeFailed:
		service.failedProbes++
	case probePending:
	}
	if service.failedProbes >= failedProbeThreshold {
		service.failedProbes = 0
		return true
	}
	e.probePrimary()
	return false
}

// probeResult returns the outcome of the last probe that was sent since the primary is suspected. It returns each outcome once, and
// probePending otherwise.
func (e *evaluation) probeResult() probeOutcome {
	service := e.service
	last, ok := service.lastResults[e.primary.Host]
	if !ok || !last.isOf(Stat) || last.sentAt < service.suspectedSince || last.sentAt <= service.evaluatedProbeSentAt {
		return probePending
	}
	service.evaluatedProbeSentAt = last.sentAt
	switch {
	case !last.answered():
		return probeFailed
	case last.Code == "" && last.Status.Timeline == e.primary.Term && !last.Status.IsPrimary:
		return probeNotPrimary
	}
	return probeAlive
}

// clearSuspicion ends the failure detection of a primary that has answered a probe.
func (e *evaluation) clearSuspicion() {
	e.coordinator.Counters.Cleared++
	e.service.failedProbes, e.service.suspectedSince = 0, 0
	clear(e.service.suspicions)
}

// probePrimary probes the primary, or sends a hedged second probe if the pending one is slow to answer.
func (e *evaluation) probePrimary() {
	service := e.service
	pending := service.pendingQueries[e.primary.Host]
	if pending != nil && pending.query.Command == Stat && service.hedgedQuery == nil &&
		e.nowMs >= pending.sentAt+hedgeDelayMs && e.nowMs < pending.sentAt+queryTimeoutMs {
		service.hedgedQuery = e.send(e.primary.Host, Stat, 0)
		return
	}
	e.query(e.primary.Host, Stat, 0, suspectProbeIntervalMs)
}
