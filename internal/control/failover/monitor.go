package failover

import (
	"ferrypitch/internal/statemachine"
)

// monitorSteps look after a service that has a primary.
var monitorSteps = []step{
	(*evaluation).revokeLostPrimary,
	(*evaluation).revokeForNewerPrimary,
	(*evaluation).markMissingReplicas,
	(*evaluation).removeEndedHosts,
	(*evaluation).resumeReplicas,
	(*evaluation).startSwitchover,
}

// discoverPrimary finds the primary of a service that never had one in the log: a host whose heartbeat says that it leads
// is asked for its term, and the one with the highest is appointed.
func (e *evaluation) discoverPrimary() {
	newest, newestTerm := "", uint64(0)
	for _, host := range e.hostIDs {
		if !e.coordinator.heartbeats[host].isPrimary {
			continue
		}
		last, ok := e.service.lastResults[host]
		if !ok || e.nowMs >= last.receivedAt+claimTTLMs || !last.answered() || !last.Status.IsPrimary {
			e.query(host, Stat, 0, queryIntervalMs)
			continue
		}
		if newest == "" || last.Status.Timeline > newestTerm {
			newest, newestTerm = host, last.Status.Timeline
		}
	}
	if newest != "" {
		e.proposeAppointment(statemachine.AppointPrimary{Service: e.service.name, Host: newest, Term: newestTerm})
	}
}

func (e *evaluation) revokeLostPrimary() stepResult {
	e.service.resetTransition()
	if e.isRegistered(e.primary.Host) && !e.primaryLost() {
		return proceed
	}
	e.coordinator.Counters.Lost++
	e.proposeRevocation()
	return stop
}

// revokeForNewerPrimary begins a failover to a host that leads in a later term: a promotion took effect after the failover
// that asked for it was over.
func (e *evaluation) revokeForNewerPrimary() stepResult {
	for _, host := range e.hostIDs {
		last := e.coordinator.heartbeats[host]
		if host == e.primary.Host || !last.isPrimary || last.at < e.coordinator.leaderSince {
			continue
		}
		status, ok := e.service.statusSince(host, Stat, e.nowMs-newerPrimaryTTLMs)
		if ok && status.IsPrimary && status.Timeline > e.primary.Term && e.isPlausibleTerm(status.Timeline) {
			e.proposeRevocation()
			return stop
		}
		e.query(host, Stat, 0, idleQueryIntervalMs)
	}
	return proceed
}

// startSwitchover nominates a successor for a primary that drains. While the log of a removed host is unaccounted for, or
// replicas may run that are not known yet, the service stays where it is.
func (e *evaluation) startSwitchover() stepResult {
	if e.registrationsDue() || !e.state.Hosts[e.primary.Host].Draining || len(e.state.UnaccountedHostIDs(e.service.name)) > 0 {
		return stop
	}
	successor := e.chooseSuccessor()
	if successor == "" {
		return stop
	}
	e.coordinator.Counters.Switchovers++
	e.service.nominated = successor
	e.proposeNomination(successor)
	return stop
}
