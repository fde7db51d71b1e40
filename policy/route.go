package policy

import (
	"math"
	"slices"
)

// Submit dispatches, queues or rejects a command that came in. timeout is when its client gives up, since the
// span from its session's last write to now (0: not known), again whether the client calls it a retry.
func (r *Router) Submit(
	name string, group *CommandGroup, set int64, session string, timeout, since TenthMs, again bool,
) *Command {
	c := &Command{
		Name: name, set: r.replicaSet(set), group: group, session: session, submittedAt: r.now,
		targetAt: r.now + group.Target, timeoutAt: timeout, benefit: group.Benefit, draw: r.random(),
	}
	if group.isRetry(timeout-r.now, 2*r.Tick, again) { // its target counts from the client's first attempt
		c.targetAt = min(c.targetAt, timeout-group.Timeout+group.Target)
	}
	if c.targetAt <= r.now {
		c.benefit *= group.LateShare
	}
	r.meanPriority += (c.priority() - r.meanPriority) / 64
	r.probeCredit = min(r.probeCredit+r.probeSpend/max(r.ProbePrice, r.probeSpend), 16)
	r.peerCredit = min(r.peerCredit+r.peerBytesPerCommand(), 128*float64(r.Routers))
	if group.Need == ReadYourWrites {
		c.minPosition = r.sessionToken(session)
	}
	if group.Need == Strong || group.Need == ReadYourWrites && since > 0 { // since is 0 for the first
		c.minPosition = max(c.minPosition, r.now-r.Zero-since)
	}
	if !c.route() {
		c.enqueue()
	}
	return c
}

// isRetry tells a client's retry, which has the time left to the client, from first attempts, which all have
// the same; a majority teaches which. Guards against overload that retries keep up.
func (g *CommandGroup) isRetry(left, tolerance TenthMs, again bool) bool {
	if max(left-g.firstTryTime, g.firstTryTime-left) <= tolerance {
		g.firstTryVotes = min(g.firstTryVotes+1, 64)
		return false
	}
	if g.firstTryVotes--; g.firstTryVotes >= 0 || again {
		return true
	}
	g.firstTryTime, g.firstTryVotes = left, 0
	return false
}

// route dispatches a command, or says that no host can take it now.
func (c *Command) route() bool {
	switch c.group.Need {
	case Write:
		return c.routeWrite()
	case Strong:
		return c.routeToPrimary(c.minPosition)
	case BoundedStaleness:
		return c.routeRead(c.set.router.now - c.set.router.Zero - c.group.Bound)
	}
	return c.routeRead(c.minPosition)
}

// routeRead dispatches a read to a replica that has the position, else to the primary.
func (c *Command) routeRead(position TenthMs) bool {
	host := c.set.leastLoaded(c, func(host *Host) bool { return host.hasReached(position) })
	switch {
	case host == nil && c.set.probeForRead(c, position):
		return false
	case host == nil:
		return c.routeToPrimary(position)
	case !c.withinShare(host.share):
		return false // what an overloaded replica sheds must not fall on the others
	case c.spillsFrom(host):
		host = c.set.primary
	}
	return c.dispatch(host, position)
}

// spillsFrom says whether the primary, with half of its limit for this, takes a read in place of a replica.
func (c *Command) spillsFrom(replica *Host) bool {
	primary := c.set.primary
	return primary != nil && c.set.router.random() < spillShare && primary.accepts(c, 0.5) &&
		primary.lateness < 1.3*replica.lateness && primary.load() <= replica.load()
}

// routeToPrimary dispatches a read to the primary, which keeps part of its limit for writes.
func (c *Command) routeToPrimary(position TenthMs) bool {
	primary := c.set.primary
	return primary != nil && primary.accepts(c, 0.7) && c.withinShare(primary.share) &&
		(c.group.Need == Strong || primary.lateness < 1.5*lateRatio) && c.dispatch(primary, position)
}

// routeWrite dispatches to the primary. If none is known, or it is silent, members are tried every few ticks.
func (c *Command) routeWrite() bool {
	set, router := c.set, c.set.router
	if primary := set.primary; primary != nil && !primary.ejected || router.Led {
		return primary != nil && primary.accepts(c, 1) && c.withinShare(primary.share) && c.dispatch(primary, 0)
	}
	if router.now < set.nextTryAt || 2*c.Attempts >= router.Dispatches {
		return false
	}
	for range set.members {
		host := set.members[set.nextCandidate%len(set.members)]
		if set.nextCandidate++; !host.ejected && !slices.Contains(c.tried, host) && host.accepts(c, 1) {
			set.nextTryAt = router.now + queueTicks*router.Tick
			return c.dispatch(host, 0)
		}
	}
	return false
}

// probeForRead probes a replica if none is known to have the position, and says whether an answer is awaited.
// Hundreds of routers that share nothing would know too little of replicas, and the primary would take all.
func (s *replicaSet) probeForRead(c *Command, position TenthMs) bool {
	router := s.router
	if !router.probesForReads || router.now < s.probedUntil {
		return router.probesForReads
	}
	if c.probes >= 2 || router.probeCredit < 1 {
		return false
	}
	host := s.leastLoaded(c, func(host *Host) bool {
		return !host.probing && !host.ejected && host != c.lastProbed && !host.hasReached(position) &&
			c.withinShare(host.share)
	})
	if host == nil {
		return false
	}
	c.probes++
	router.probeCredit--
	c.lastProbed, s.probed, s.probedUntil = host, host, router.now+c.group.Target/16
	router.startProbe(host)
	return true
}

// leastLoaded is the suitable replica with the least load. The more routers there are, the more chance
// decides, so that they do not all move to one host at once.
func (s *replicaSet) leastLoaded(c *Command, suitable func(*Host) bool) (best *Host) {
	chanceWeight, least := 1.01-1/float64(s.router.Routers), 0.0
	for _, host := range s.members {
		if host == s.primary || !suitable(host) || slices.Contains(c.tried, host) || !host.accepts(c, 1) {
			continue
		}
		load := host.load() / host.share * math.Pow(-math.Log(1-s.router.random()), chanceWeight)
		if best == nil || load < least {
			best, least = host, load
		}
	}
	return best
}

// dispatch sends the command to a host, which needs the position.
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
	if c.group.Need == BoundedStaleness && host != c.set.primary && !router.Guarded { // may wait to connect
		c.SendBy = host.position + router.Zero + c.group.Bound
	}
	wait := (c.targetAt - router.now) / 2 // past this a usually much faster answer is lost: ask elsewhere
	if c.group.Effect != Idempotent || wait < TenthMs(5*c.group.meanLatency) {
		wait = 0
	}
	router.caller.Dispatch(c, host, wait)
	return true
}

// recordWrite keeps the greatest write position of a session, in bounded memory.
func (r *Router) recordWrite(session string, position TenthMs) {
	if len(r.tokens) >= maxSessionTokens {
		r.tokenFloor = r.now - r.Zero
		clear(r.tokens)
	}
	r.tokens[session] = max(position, r.sessionToken(session))
}

func (r *Router) sessionToken(session string) TenthMs {
	if position, ok := r.tokens[session]; ok || !r.Kept {
		return position
	}
	return r.tokenFloor
}
