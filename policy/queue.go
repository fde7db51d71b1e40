package policy

import "slices"

// enqueue queues a command, or gives it up if no host can answer it in its client's time.
func (c *Command) enqueue() {
	set := c.set
	c.sendBefore = c.timeoutAt - c.group.latency.bound()
	at := slices.IndexFunc(set.queue, c.precedes)
	if at < 0 {
		at = len(set.queue)
	}
	if !c.canBeAnswered(set.countSameHosts(c, set.queue[:at])) {
		c.giveUp()
		return
	}
	c.queued = true
	set.router.scheduleWake(queueCheckTicks * set.router.Tick)
	set.queue = slices.Insert(set.queue, at, c)
}

// precedes reports whether a command is served before one that is queued: the one of the higher priority, and among equals
// the one that must be sent sooner to be answered in its client's time.
func (c *Command) precedes(queued *Command) bool {
	if c.group.priority != queued.group.priority {
		return c.group.priority < queued.group.priority
	}
	return c.sendBefore < queued.sendBefore
}

// serveQueue dispatches the commands that hosts can take now, and gives up those that can't be answered in time any more.
func (s *replicaSet) serveQueue() {
	var ahead [2]int // commands that stay in the queue: reads for replicas, and commands for the primary
	s.queue = slices.DeleteFunc(s.queue, func(c *Command) bool {
		kind := c.hostKind()
		switch {
		case c.done || !c.queued:
			return true
		case c.hasTimeFor(0) && c.route():
			return true
		case !c.canBeAnswered(ahead[kind]):
			c.giveUp()
			return true
		}
		ahead[kind]++
		return false
	})
}

// The values of Command.hostKind.
const (
	anyHost = iota
	primaryOnly
)

// hostKind returns which hosts can answer a command.
func (c *Command) hostKind() int {
	if c.group.ConsistencyLevel >= Strong {
		return primaryOnly
	}
	return anyHost
}

// countSameHosts returns how many of the queued commands wait for the same hosts as a command.
func (s *replicaSet) countSameHosts(c *Command, queue []*Command) (count int) {
	for _, queued := range queue {
		if queued.queued && !queued.done && queued.hostKind() == c.hostKind() {
			count++
		}
	}
	return count
}

// canBeAnswered reports whether a queued command can still be answered in its client's time: whether the time left is enough
// to wait for the given number of commands ahead of it, or for the primary, and for an answer to come.
func (c *Command) canBeAnswered(ahead int) bool {
	return c.hasTimeFor(max(queueCheckTicks*c.set.router.Tick, c.expectedWait(ahead)))
}

// hasTimeFor reports whether an answer comes in the client's time, as nearly all do, if the command is sent after a wait.
func (c *Command) hasTimeFor(wait TenthMs) bool {
	return c.set.router.now+wait+c.group.latency.bound() < c.timeoutAt
}

// TimeToAnswer returns how long before its deadline a command of the group must be submitted to be queued if no host is free.
func (r *Router) TimeToAnswer(group *CommandGroup) TenthMs {
	return queueCheckTicks*r.Tick + group.latency.bound()
}

// expectedWait returns how long a command waits until hosts have taken the commands ahead of it, as far as that is known.
func (c *Command) expectedWait(ahead int) TenthMs {
	set, router := c.set, c.set.router
	wait := TenthMs(0)
	if slots := set.concurrency(c.hostKind()); slots > 0 {
		wait = TenthMs(float64(ahead) * c.group.latency.mean / slots)
	}
	if c.hostKind() == primaryOnly && router.ExplicitPrimary && (set.primary == nil || set.primary.ejected) {
		wait = max(wait, set.primaryExpectedAt-router.now)
	}
	return wait
}

// concurrency returns how many commands the hosts of a kind work on at once, as far as this router may use them.
func (s *replicaSet) concurrency(kind int) (slots float64) {
	for _, host := range s.members {
		usable := host.listState == Active && !host.unreachable && !host.ejected
		if usable && (kind == anyHost || host == s.primary) {
			slots += host.limit * host.share
		}
	}
	return slots
}

// giveUp rejects a command that no host takes. The client may retry it if a retry is safe.
func (c *Command) giveUp() {
	router, group := c.set.router, c.group
	c.done, c.queued = true, false
	if c.mayHaveRunAt == 0 || group.IdempotencyClass == Idempotent || group.IdempotencyClass == Keyed && group.DedupAcrossSets {
		router.caller.RejectRetryable(c, c.retryAfter())
	} else {
		router.caller.Fail(c)
	}
}

// retryAfter returns when a client may retry with a prospect of an answer: after the commands that wait now. No host becomes
// free sooner than an answer takes.
func (c *Command) retryAfter() TenthMs {
	wait := c.expectedWait(c.set.countSameHosts(c, c.set.queue))
	return min(c.set.router.MaxRetryAfter, max(wait, c.group.latency.bound(), queueCheckTicks*c.set.router.Tick))
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
