package policy

import "slices"

// enqueue queues a command. Among equal priorities the newest is first, so that old commands do not make all others late.
func (c *Command) enqueue() {
	if !c.shouldQueue() {
		c.giveUp()
		return
	}
	set := c.set
	c.queued = true
	set.router.scheduleWake(queueCheckTicks * set.router.Tick)
	at := slices.IndexFunc(append(set.queue, c), func(q *Command) bool { return q.priority() <= c.priority() })
	set.queue = slices.Insert(set.queue, at, c)
}

// priority returns the benefit of a command per unit of time that it occupies a host.
func (c *Command) priority() float64 { return c.benefit / max(1, c.group.latency.mean) }

// serveQueue dispatches the commands that hosts can take now, and gives up those that waited too long.
func (s *replicaSet) serveQueue() {
	s.queue = slices.DeleteFunc(s.queue, func(c *Command) bool {
		if !c.done && c.queued && !c.shouldQueue() {
			c.giveUp()
		}
		return c.done || !c.queued || c.route()
	})
}

// shouldQueue reports whether an answer may still be useful. A write is given up after a quarter of its client's
// timeout, an undispatched read after half, and sooner where no primary is expected, so that the client can retry.
func (c *Command) shouldQueue() bool {
	set, router, group := c.set, c.set.router, c.group
	now, nextCheck := router.now, queueCheckTicks*router.Tick
	quarterOfTimeout := c.submittedAt + (c.timeoutAt-c.submittedAt)/4
	if router.ExplicitPrimary && group.ConsistencyLevel >= Strong && (set.primary == nil || set.primary.ejected) &&
		(set.primaryExpectedAt < now || set.primaryExpectedAt > quarterOfTimeout) {
		return now < c.submittedAt+(c.targetAt-c.submittedAt)/8
	}
	if group.ConsistencyLevel == Write {
		return now < quarterOfTimeout && now+nextCheck < c.timeoutAt
	}
	return now+max(TenthMs(group.latency.mean), nextCheck) < min(c.targetAt, c.timeoutAt) &&
		(c.Attempts > 0 || now+nextCheck < (c.submittedAt+c.timeoutAt)/2)
}

// giveUp rejects a command that no host takes. The client may retry it if a retry is safe.
func (c *Command) giveUp() {
	router, group := c.set.router, c.group
	c.done, c.queued = true, false
	if c.mayHaveRunAt == 0 || group.IdempotencyClass == Idempotent || group.IdempotencyClass == Keyed && group.DedupAcrossSets {
		router.caller.RejectRetryable(c, min(router.MaxRetryAfter, group.Timeout/4))
	} else {
		router.caller.Fail(c)
	}
}

// mayRetry reports whether one more dispatch is allowed. A command that got errors from two hosts, or
// three connection resets, is assumed to cause them.
func (c *Command) mayRetry(outcome Outcome) bool {
	router, group := c.set.router, c.group
	c.faultPoints += [...]int{Errored: 3, Reset: 2, Misrouted: 0}[outcome]
	if c.faultPoints >= faultLimit || c.Attempts >= router.MaxDispatches || router.now+router.Tick >= c.timeoutAt {
		return false
	}
	return c.mayHaveRunAt == 0 || group.IdempotencyClass == Idempotent ||
		group.IdempotencyClass == Keyed && router.now+router.Tick < c.mayHaveRunAt+group.KeyRetention
}
