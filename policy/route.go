package policy

import (
	"math"
	"slices"
)

// Submit dispatches, queues or rejects a new command. deadline is the client's deadline, sinceWrite the time since
// the last write of its session (0: not known). A client's retry is a command like any other, with the time that is left.
func (r *Router) Submit(name string, group *CommandGroup, set int64, session string, deadline, sinceWrite TenthMs) *Command {
	c := &Command{
		Name: name, set: r.replicaSet(set), group: group, session: session, timeoutAt: deadline, shareDraw: r.random(),
	}
	r.probeCredit = min(r.probeCredit+probesPerCommand, maxProbeCredit)
	r.peerCredit = min(r.peerCredit+peerBytesPerCommand, r.maxPeerCredit())
	if group.ConsistencyLevel == ReadYourWrites {
		c.minPosition = r.sessionToken(session)
	}
	if group.ConsistencyLevel == Strong || group.ConsistencyLevel == ReadYourWrites && sinceWrite > 0 { // 0: no write is known
		c.minPosition = max(c.minPosition, r.now-r.PositionEpoch-sinceWrite)
	}
	switch {
	case r.now+r.Tick >= deadline:
		c.giveUp()
	case !c.route():
		c.enqueue()
	}
	return c
}

// route dispatches a command. It returns false if no host can take the command now.
func (c *Command) route() bool {
	switch c.group.ConsistencyLevel {
	case Write:
		return c.routeWrite()
	case Strong:
		return c.routeToPrimary(c.minPosition)
	case BoundedStaleness:
		return c.routeRead(c.set.router.now - c.set.router.PositionEpoch - c.group.MaxStaleness)
	}
	return c.routeRead(c.minPosition)
}

// routeRead dispatches a read to a replica that has reached the position, or else to the primary.
func (c *Command) routeRead(position TenthMs) bool {
	host := c.set.leastLoaded(c, func(host *Host) bool { return host.hasReached(position) })
	switch {
	case host == nil && c.set.probeForRead(c, position):
		return false
	case host == nil:
		return c.routeToPrimary(position)
	case !c.withinShare(host.share):
		return false // load shed by an overloaded replica must not move to the other hosts
	case c.spillsToPrimary(host):
		host = c.set.primary
	}
	return c.dispatch(host, position)
}

// spillsToPrimary reports whether to send a read to the primary instead of the replica. Such reads get half of its limit.
func (c *Command) spillsToPrimary(replica *Host) bool {
	primary := c.set.primary
	return primary != nil && c.set.router.random() < spillProbability && primary.accepts(c, 0.5) &&
		primary.latencyRatio < 1.3*replica.latencyRatio && primary.load() <= replica.load()
}

// routeToPrimary dispatches a read to the primary, which reserves part of its limit for writes.
func (c *Command) routeToPrimary(position TenthMs) bool {
	primary := c.set.primary
	return primary != nil && primary.accepts(c, 0.7) && c.withinShare(primary.share) &&
		(c.group.ConsistencyLevel == Strong || primary.latencyRatio < 1.5*overloadRatio) && c.dispatch(primary, position)
}

// routeWrite dispatches a write to the primary. If none is known, or it is ejected, one member is tried every few ticks.
func (c *Command) routeWrite() bool {
	set, router := c.set, c.set.router
	if primary := set.primary; primary != nil && !primary.ejected || router.ExplicitPrimary {
		return primary != nil && primary.accepts(c, 1) && c.withinShare(primary.share) && c.dispatch(primary, 0)
	}
	if router.now < set.nextCandidateAt || 2*c.Attempts >= router.MaxDispatches {
		return false
	}
	for range set.members {
		host := set.members[set.nextCandidate%len(set.members)]
		if set.nextCandidate++; !host.ejected && !slices.Contains(c.triedHosts, host) && host.accepts(c, 1) {
			set.nextCandidateAt = router.now + queueCheckTicks*router.Tick
			return c.dispatch(host, 0)
		}
	}
	return false
}

// probeForRead probes a replica if none is known to have the position, and reports whether a probe is pending. The read waits for
// it as long as an answer takes on average: the primary would have given one by then.
// Otherwise hundreds of routers without shared updates would send nearly all reads to the primary.
func (s *replicaSet) probeForRead(c *Command, position TenthMs) bool {
	router := s.router
	if !router.probesForReads || router.now < s.probeWaitUntil {
		return router.probesForReads
	}
	if c.probeCount >= 2 || router.probeCredit < 1 {
		return false
	}
	host := s.leastLoaded(c, func(host *Host) bool {
		return !host.probing && !host.ejected && host != c.lastProbedHost && !host.hasReached(position) &&
			c.withinShare(host.share)
	})
	if host == nil {
		return false
	}
	c.probeCount++
	router.probeCredit--
	c.lastProbedHost, s.probedReplica, s.probeWaitUntil = host, host, router.now+max(TenthMs(c.group.latency.mean), router.Tick)
	router.startProbe(host)
	return true
}

// leastLoaded returns the suitable replica with the least load. The more routers there are, the more random the
// selection is, so that they do not all switch to one host at once.
func (s *replicaSet) leastLoaded(c *Command, suitable func(*Host) bool) (best *Host) {
	chanceWeight, least := 1.01-1/float64(s.router.RouterCount), 0.0
	for _, host := range s.members {
		if host == s.primary || !suitable(host) || slices.Contains(c.triedHosts, host) || !host.accepts(c, 1) {
			continue
		}
		load := host.load() / host.share * math.Pow(-math.Log(1-s.router.random()), chanceWeight)
		if best == nil || load < least {
			best, least = host, load
		}
	}
	return best
}

// dispatch sends the command to a host. position is the position that the command requires; 0: none.
func (c *Command) dispatch(host *Host, position TenthMs) bool {
	router := c.set.router
	if len(host.inFlight) == 0 {
		host.lastAnswerAt = router.now
	}
	if host.ejected {
		host.backoff = min(2*host.backoff, 2*second)
		host.retryAt = router.now + host.backoff
	}
	c.opensConn = !host.hasFreeStream()
	host.inFlight, host.coldBudget = append(host.inFlight, c), host.coldBudget-c.work()
	host.peakInFlight = max(host.peakInFlight, len(host.inFlight))
	c.Host, c.sentAt, c.neededPosition, c.SendBy = host, router.now, position, 0
	c.Attempts, c.queued, c.overdue = c.Attempts+1, false, false
	if c.overdueAt = c.timeoutAt; c.group.latency.samples > 0 {
		c.overdueAt = router.now + c.group.latency.overdue()
	}
	if c.group.ConsistencyLevel == BoundedStaleness && host != c.set.primary && !router.HostsCheckPosition {
		c.SendBy = host.position + router.PositionEpoch + c.group.MaxStaleness // connecting may delay it
	}
	router.caller.Dispatch(c, host, c.attemptTimeout())
	return true
}

// attemptTimeout returns how long to wait for an answer: until another host can only just answer in the client's time. 0, the
// whole time, if the command must not run twice, or if its answer could well come later than that.
func (c *Command) attemptTimeout() TenthMs {
	latency := &c.group.latency
	timeout := c.timeoutAt - c.set.router.now - latency.bound()
	if c.group.IdempotencyClass != Idempotent || latency.samples == 0 || timeout < latency.bound() {
		return 0
	}
	return timeout
}

// recordWrite stores the highest write position of a session, in bounded memory.
func (r *Router) recordWrite(session string, position TenthMs) {
	if len(r.sessionTokens) >= maxSessionTokens {
		r.evictedTokenMax = r.now - r.PositionEpoch
		clear(r.sessionTokens)
	}
	r.sessionTokens[session] = max(position, r.sessionToken(session))
}

func (r *Router) sessionToken(session string) TenthMs {
	if position, ok := r.sessionTokens[session]; ok || !r.LocalSessionTokens {
		return position
	}
	return r.evictedTokenMax
}
