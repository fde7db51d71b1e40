package failover

import (
	"cmp"
	"maps"
	"slices"

	"ferrypitch/internal/statemachine"
)

// schedule tracks which services are due for evaluation. An idle service is due when a host's heartbeat may have timed out or
// on an event: its state changes, a host sends a new, resumed or changed heartbeat, a proxy suspects its primary, or a query or
// promotion finishes. All other services are evaluated at each tick.
type schedule struct {
	state        *statemachine.State // state of the last evaluation
	changedHosts []string            // hosts with a new, resumed or changed heartbeat since the last evaluation
	woken        map[string]bool     // services with an event since their last evaluation
	active       map[string]bool     // services that are evaluated at each tick
	awaitedIndex map[string]uint64   // by service: log index of the change that proxies must apply before its failover continues
}

func newSchedule() schedule {
	return schedule{woken: map[string]bool{}, active: map[string]bool{}, awaitedIndex: map[string]uint64{}}
}

// wake makes a service due at the next call of Tick or HandleEvents.
func (s *schedule) wake(service string) { s.woken[service] = true }

// wakeChangedServices wakes the services of changedHosts, and makes all services due if the state was replaced.
func (c *Coordinator) wakeChangedServices(state *statemachine.State) {
	if c.schedule.state != state {
		c.schedule.state = state
		for _, service := range c.services {
			service.nextEvaluationAt = 0
		}
	}
	for _, host := range c.schedule.changedHosts {
		if known, found := state.Hosts[host]; found {
			c.schedule.wake(known.Service)
		}
	}
	c.schedule.changedHosts = c.schedule.changedHosts[:0]
}

// Tick evaluates the services that are due. allCaughtUp reports whether no proxy uses state older than an index of the log: each
// has applied the log up to there, or holds no lease.
func (c *Coordinator) Tick(state *statemachine.State, allCaughtUp func(index uint64) bool, nowMs int64) (actions Actions) {
	c.wakeChangedServices(state)
	e := evaluation{coordinator: c, state: state, allCaughtUp: allCaughtUp, nowMs: nowMs, actions: &actions}
	for _, name := range state.ServiceNames() {
		if c.isDue(state, name, nowMs) {
			e.evaluate(name)
		}
	}
	clear(c.schedule.woken)
	return actions
}

// HandleEvents evaluates the services with an event since their last evaluation, and those that no longer have to wait for
// proxies. The caller calls it after each event, and Tick periodically.
func (c *Coordinator) HandleEvents(state *statemachine.State, allCaughtUp func(index uint64) bool, nowMs int64) (actions Actions) {
	c.wakeChangedServices(state)
	c.wakeCaughtUp(allCaughtUp)
	if len(c.schedule.woken) == 0 {
		return actions
	}
	e := evaluation{coordinator: c, state: state, allCaughtUp: allCaughtUp, nowMs: nowMs, actions: &actions}
	for _, name := range slices.Sorted(maps.Keys(c.schedule.woken)) {
		if _, isListed := slices.BinarySearch(state.ServiceNames(), name); isListed {
			e.evaluate(name)
		} else {
			delete(c.schedule.awaitedIndex, name)
		}
	}
	clear(c.schedule.woken)
	return actions
}

// wakeCaughtUp wakes the services whose awaited change all proxies have applied. Proxies apply changes in order, so the loop
// stops at the first index that they have not all applied.
func (c *Coordinator) wakeCaughtUp(allCaughtUp func(index uint64) bool) {
	if len(c.schedule.awaitedIndex) == 0 {
		return
	}
	byIndex := func(a, b string) int { return cmp.Compare(c.schedule.awaitedIndex[a], c.schedule.awaitedIndex[b]) }
	for _, service := range slices.SortedFunc(maps.Keys(c.schedule.awaitedIndex), byIndex) {
		if !allCaughtUp(c.schedule.awaitedIndex[service]) {
			return
		}
		c.schedule.wake(service)
	}
}

// isDue reports whether a tick has to evaluate a service.
func (c *Coordinator) isDue(state *statemachine.State, name string, nowMs int64) bool {
	service := c.services[name]
	return service == nil || nowMs >= service.nextEvaluationAt || state.ServiceChangedIndex(name) != service.evaluatedIndex || c.schedule.woken[name]
}

// reschedule records when the evaluated service is due again.
func (e *evaluation) reschedule() {
	active := e.coordinator.schedule.active
	e.service.evaluatedIndex = e.state.ServiceChangedIndex(e.service.name)
	if !e.isIdle() {
		e.service.nextEvaluationAt = 0
		active[e.service.name] = true
		return
	}
	delete(active, e.service.name)
	e.service.nextEvaluationAt = e.firstSilenceAt()
}

// isIdle reports whether the monitoring steps have nothing to do for the service until a host's heartbeat times out.
func (e *evaluation) isIdle() bool {
	primary, registered := e.state.Hosts[e.primary.Host]
	isStable := registered && !primary.Draining && !e.primary.Revoked && e.primary.Nominee == "" && !e.primary.ReplicasPaused
	if !isStable || e.service.isProbing() || len(e.state.UnaccountedHostIDs(e.service.name)) > 0 {
		return false
	}
	for _, host := range e.hostIDs {
		reportsPrimary := host != e.primary.Host && e.coordinator.heartbeats[host].isPrimary
		if reportsPrimary || e.state.Hosts[host].Missing && e.state.IsLeaving(host) {
			return false
		}
	}
	return true
}

// firstSilenceAt returns when the first heartbeat timeout among the service's hosts occurs if no more heartbeats arrive. Missing
// replicas are not considered.
func (e *evaluation) firstSilenceAt() int64 {
	earliestHeardAt := e.coordinator.lastHeardAt(e.primary.Host)
	for _, host := range e.hostIDs {
		if !e.state.Hosts[host].Missing {
			earliestHeardAt = min(earliestHeardAt, e.coordinator.lastHeardAt(host))
		}
	}
	return earliestHeardAt + e.coordinator.heartbeatTimeoutMs()
}

// proxiesHaveApplied reports whether all proxies have applied a change. If not, the service is woken once they have.
func (e *evaluation) proxiesHaveApplied(index uint64) bool {
	if e.allCaughtUp(index) {
		return true
	}
	e.coordinator.schedule.awaitedIndex[e.service.name] = index
	return false
}
