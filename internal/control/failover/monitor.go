package failover

import (
	"ferrypitch/internal/statemachine"
)

// monitorSteps run while a service has a primary and no nominee.
var monitorSteps = []step{
	(*evaluation).revokeLostPrimary,
	(*evaluation).revokeForNewerPrimary,
	(*evaluation).markMissingReplicas,
	(*evaluation).removeTerminatedHosts,
	(*evaluation).resumeReplicas,
	(*evaluation).startSwitchover,
}

// discoverPrimary finds the primary of a service that has none in the log yet: it queries the hosts whose heartbeats report
// them as primary and appoints the one with the highest term.
func (e *evaluation) discoverPrimary() {
	newest, newestTerm := "", uint64(0)
	for _, host := range e.hostIDs {
		if !e.coordinator.heartbeats[host].isPrimary {
			continue
		}
		last, ok := e.service.lastResults[host]
		if !ok || e.nowMs >= last.receivedAt+primaryReportTTLMs || !last.answered() || !last.Status.IsPrimary {
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

// revokeLostPrimary starts a failover if the primary was removed or failure detection finds it lost.
func (e *evaluation) revokeLostPrimary() stepResult {
	e.service.resetTransition(e.primary.Host)
	if e.isRegistered(e.primary.Host) && !e.primaryLost() {
		return proceed
	}
	e.coordinator.Counters.Lost++
	e.proposeRevocation()
	return stop
}

// revokeForNewerPrimary starts a failover to a host that is primary in a later term: its promotion took effect after the
// failover that requested it had ended.
func (e *evaluation) revokeForNewerPrimary() stepResult {
	for _, host := range e.hostIDs {
		last := e.coordinator.heartbeats[host]
		if host == e.primary.Host || !last.isPrimary || last.receivedAt < e.coordinator.leaderSince {
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

// startSwitchover nominates a successor for a draining primary. It waits while the log of a removed host is unaccounted for,
// while unregistered replicas may be running, or while an earlier promotion may still be carried out.
func (e *evaluation) startSwitchover() stepResult {
	if e.inRegistrationGrace() || !e.state.Hosts[e.primary.Host].Draining || len(e.state.UnaccountedHostIDs(e.service.name)) > 0 {
		return stop
	}
	if e.awaitsUncertainPromotions() {
		return stop
	}
	successor := e.chooseSuccessor()
	if successor == "" {
		return stop
	}
	e.coordinator.Counters.Switchovers++
	e.service.nominatedHost = successor
	e.proposeNomination(successor)
	return stop
}
