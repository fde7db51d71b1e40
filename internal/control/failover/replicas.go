package failover

import (
	"ferrypitch/internal/statemachine"
)

// markMissingReplicas finds replicas whose processes are gone, so that a failover does not have to wait for them: those that
// were removed removedHostShutdownMs ago, and those whose machines have refused connections for refusalPeriodMs. Before such a
// replica is marked, another must have received everything it had: see markMissingOnceOvertaken. A replica that does not answer,
// without refusing connections, never counts as gone, nor does one at whose address another host runs: that host has its log.
func (e *evaluation) markMissingReplicas() stepResult {
	service := e.service
	for _, host := range e.state.UnaccountedHostIDs(service.name) {
		if service.removedHostEndsAt[host] == 0 {
			service.removedHostEndsAt[host] = e.nowMs + removedHostShutdownMs
		}
		e.markMissingOnceOvertaken(host, service.removedHostEndsAt[host])
	}
	for _, host := range e.hostIDs {
		if host == e.primary.Host || e.state.Hosts[host].Missing || !e.isSilent(host) {
			delete(service.refusingSince, host)
			continue
		}
		e.query(host, Stat, 0, idleQueryIntervalMs)
		last, ok := service.lastResults[host]
		if !ok || !last.ConnectionRefused || e.nowMs > last.receivedAt+refusalTTLMs {
			delete(service.refusingSince, host)
			continue
		}
		if service.refusingSince[host] == 0 {
			service.refusingSince[host] = e.nowMs
		}
		if e.nowMs >= service.refusingSince[host]+refusalPeriodMs {
			e.markMissingOnceOvertaken(host, last.receivedAt)
		}
	}
	return proceed
}

// removeTerminatedHosts removes hosts that left without draining first, once they have been missing for terminatedHostRemovalMs.
// Their processes have then terminated: a heartbeat would have cleared the mark.
func (e *evaluation) removeTerminatedHosts() stepResult {
	for _, host := range e.hostIDs {
		if host == e.primary.Host || !e.state.Hosts[host].Missing || !e.state.IsLeaving(host) {
			delete(e.service.missingSince, host)
			continue
		}
		if e.service.missingSince[host] == 0 {
			e.service.missingSince[host] = e.nowMs
		}
		if e.nowMs >= e.service.missingSince[host]+terminatedHostRemovalMs {
			delete(e.service.missingSince, host)
			e.propose(statemachine.Change{RemoveHost: host})
			return stop
		}
	}
	return proceed
}

// markMissingOnceOvertaken records in the log that a host's process was gone at endedAt and that its log is not needed: another
// replica has reached a position that the primary reported after endedAt. Whether a process runs at the address again is asked in
// each failover.
func (e *evaluation) markMissingOnceOvertaken(gone string, endedAt int64) {
	primaryStatus, ok := e.service.statusSince(e.primary.Host, Stat, endedAt)
	if !ok {
		e.query(e.primary.Host, Stat, 0, queryIntervalMs)
		return
	}
	if !primaryStatus.IsPrimary {
		return
	}
	primaryAskedAt := e.service.lastResults[e.primary.Host].sentAt
	for _, host := range e.hostIDs {
		if host == gone || host == e.primary.Host || e.state.Hosts[host].Missing {
			continue
		}
		status, ok := e.service.statusSince(host, Stat, primaryAskedAt)
		if ok && !status.ReceivedPosition.Before(primaryStatus.ReceivedPosition) {
			e.emit(ReplicaMarkedMissing, gone)
			e.coordinator.Counters.MarkedMissing++
			delete(e.service.refusingSince, gone)
			delete(e.service.removedHostEndsAt, gone)
			e.propose(statemachine.Change{MarkMissing: gone})
			return
		}
		e.query(host, Stat, 0, queryIntervalMs)
	}
}

// resumeReplicas resumes the replicas that a failover or switchover paused. A replica that is not running receives again when
// it starts. One that does not answer is retried, and delays the next switchover for replicaWaitMs: a Resume still in flight
// must not undo the next Pause.
func (e *evaluation) resumeReplicas() stepResult {
	if !e.primary.ReplicasPaused {
		return proceed
	}
	service := e.service
	if service.resumeChangeIndex != e.primary.ChangedIndex {
		service.resumeChangeIndex, service.resumeStartedAt = e.primary.ChangedIndex, e.nowMs
	}
	overdue := e.nowMs > service.resumeStartedAt+replicaWaitMs
	intervalMs := int64(queryIntervalMs)
	if overdue {
		intervalMs = overdueQueryIntervalMs
	}
	allResumed := true
	for _, host := range e.hostIDs {
		if !e.mayBePaused(host) {
			continue
		}
		allResumed = false
		e.query(host, Resume, 0, intervalMs)
	}
	switch {
	case allResumed:
		e.coordinator.Counters.Resumed++
		e.propose(statemachine.Change{ReplicationResumed: service.name})
		return stop
	case overdue:
		return proceed
	}
	return stop
}

// mayBePaused reports whether a host is a replica that the last failover or switchover may have paused and that is not known
// to have resumed.
func (e *evaluation) mayBePaused(host string) bool {
	if host == e.primary.Host || e.state.Hosts[host].AddedIndex > e.primary.ChangedIndex {
		return false
	}
	last, ok := e.service.lastResults[host]
	if !ok || !last.isOf(Resume) || last.sentAt < e.service.resumeStartedAt {
		return true
	}
	if last.HasEnded() {
		return false
	}
	return !last.succeeded() || last.Status.PausedTimeline != 0 || !e.cannotBeUndone(host, Pause, last.sentAt)
}
