package failover

import (
	"ferrypitch/internal/wire"
)

// switchoverSteps hand a service over to the nominee while the primary serves on. They end with the revocation, whether
// the nominee leads or something went wrong; failoverSteps then find out which.
var switchoverSteps = []step{
	(*evaluation).beginSwitchover,
	(*evaluation).abortIfHostLost,
	(*evaluation).takeOverSwitchover,
	(*evaluation).revokeOncePromoted,
	(*evaluation).abortIfStalled,
	(*evaluation).awaitSwitchoverPromotion,
	(*evaluation).replaceFailedNominee,
	(*evaluation).catchUpNominee,
	(*evaluation).awaitEarlierLeadersCommands,
	(*evaluation).promotePausedNominee,
}

// chooseSuccessor returns the host to nominate in place of a primary that drains: the first in order of id that is neither
// draining nor missing nor silent, one in the primary's zone before others. Empty: there is none.
func (e *evaluation) chooseSuccessor() string {
	chosen := ""
	zone := e.state.Hosts[e.primary.Host].Zone
	for _, id := range e.hostIDs {
		if id == e.primary.Host || !e.maySucceed(id) {
			continue
		}
		if chosen == "" || e.state.Hosts[id].Zone == zone && e.state.Hosts[chosen].Zone != zone {
			chosen = id
		}
	}
	return chosen
}

func (e *evaluation) maySucceed(id string) bool {
	host := e.state.Hosts[id]
	// Unlike in failure detection, a host that was never heard by this member does not count as heard.
	heardLately := e.nowMs <= e.coordinator.heartbeats[id].at+e.coordinator.heartbeatTimeoutMs()
	return !host.Draining && !host.Missing && heardLately && !e.service.recentlyRejected(id, e.nowMs)
}

func (e *evaluation) beginSwitchover() stepResult {
	e.begin(SwitchoverStarted, e.primary.Nominee)
	return proceed
}

// abortSwitchover revokes the primary. Failover then finds out how far the nominee had come, with writes stopped.
func (e *evaluation) abortSwitchover() stepResult {
	e.proposeRevocation()
	return stop
}

func (e *evaluation) abortIfHostLost() stepResult {
	if e.primaryLost() || !e.isRegistered(e.primary.Nominee) {
		return e.abortSwitchover()
	}
	return proceed
}

// takeOverSwitchover makes this member the owner of a switchover that another leader began.
func (e *evaluation) takeOverSwitchover() stepResult {
	if e.ownsTransition() {
		return proceed
	}
	e.proposeNomination(e.primary.Nominee)
	return stop
}

func (e *evaluation) revokeOncePromoted() stepResult {
	nominee, startedAt := e.primary.Nominee, e.service.startedAt
	status, ok := e.service.statusSince(nominee, Stat, startedAt)
	leadsByStatus := ok && status.IsPrimary && status.Timeline > e.primary.Term
	last := e.coordinator.heartbeats[nominee]
	leadsByHeartbeat := last.isPrimary && last.at >= startedAt
	if leadsByStatus || leadsByHeartbeat {
		e.proposeRevocation()
		return stop
	}
	return proceed
}

func (e *evaluation) abortIfStalled() stepResult {
	timedOut := e.service.promotedHost == "" && e.nowMs > e.service.startedAt+switchoverTimeoutMs
	if timedOut || e.state.Hosts[e.primary.Nominee].Draining {
		return e.abortSwitchover()
	}
	return proceed
}

// awaitSwitchoverPromotion waits until the promoted nominee leads. The other replicas are paused again meanwhile: one that
// restarted receives, and would have more than the nominee.
func (e *evaluation) awaitSwitchoverPromotion() stepResult {
	service := e.service
	if service.promotedHost == "" {
		return proceed
	}
	for _, host := range e.hostIDs {
		if host != e.primary.Host && host != e.primary.Nominee {
			e.query(host, Pause, e.primary.Term+1, promotedPollIntervalMs)
		}
	}
	e.pollPromotedHost()
	if !service.promotionPending && e.nowMs > service.promotionEndedAt+promotionTimeoutMs {
		return e.abortSwitchover()
	}
	return stop
}

// replaceFailedNominee nominates another host for one that gives no answer.
func (e *evaluation) replaceFailedNominee() stepResult {
	service := e.service
	last, ok := service.lastResults[e.primary.Nominee]
	if !ok || last.sentAt < service.startedAt || last.answered() {
		return proceed
	}
	service.rejectedAt[e.primary.Nominee] = e.nowMs
	service.nominated = e.chooseSuccessor()
	e.proposeNomination(service.nominated)
	return stop
}

func (e *evaluation) catchUpNominee() stepResult {
	e.queryNominee()
	return proceed
}

// queryNominee asks the nominee for its position, and resumes it where an earlier attempt left it paused.
func (e *evaluation) queryNominee() {
	nominee := e.primary.Nominee
	if status, ok := e.service.statusSince(nominee, Stat, e.service.startedAt); ok && status.PausedTimeline > 0 {
		e.query(nominee, Resume, 0, fastPollIntervalMs)
		return
	}
	e.query(nominee, Stat, 0, fastPollIntervalMs)
}

// awaitEarlierLeadersCommands waits until no command of the leader before this one can still be executed.
func (e *evaluation) awaitEarlierLeadersCommands() stepResult {
	if e.nowMs < e.coordinator.leaderSince+staleCommandMs {
		return stop
	}
	return proceed
}

// promotePausedNominee pauses all other replicas, so that from then on nothing is acknowledged that the nominee has not
// received, and has the nominee promoted once it has all that they have and follows the primary.
func (e *evaluation) promotePausedNominee() stepResult {
	paused := e.pauseReplicas()
	switch {
	case paused.mayAcknowledge:
		return e.abortSwitchover()
	case paused.pending && e.nowMs > e.service.startedAt+replicaWaitMs:
		return e.abortSwitchover()
	case paused.pending:
		return stop
	}
	if e.nomineeFollows(paused) {
		e.requestPromotion(e.primary.Nominee)
		return stop
	}
	if e.nowMs > e.service.startedAt+replicaWaitMs {
		return e.abortSwitchover()
	}
	return stop
}

// nomineeFollows says whether the nominee has received all that the paused replicas have, and what the primary has written since
// they were paused: so it receives what the primary writes, and no other replica that may come up is needed for acknowledgements.
func (e *evaluation) nomineeFollows(paused pausedReplicas) bool {
	service, primary, nominee := e.service, e.primary.Host, e.primary.Nominee
	written, ok := service.statusSince(primary, Stat, max(service.startedAt, paused.pausedAt, e.nowMs-queryIntervalMs))
	if !ok {
		e.query(primary, Stat, 0, catchUpPollIntervalMs)
		return false
	}
	received, ok := service.statusSince(nominee, Stat, service.startedAt)
	if !ok || received.Received.Before(paused.position) || received.Received.Before(written.Received) {
		e.query(nominee, Stat, 0, catchUpPollIntervalMs)
		return false
	}
	return true
}

// pausedReplicas is how far the replicas other than the nominee are paused.
type pausedReplicas struct {
	mayAcknowledge bool          // one cannot be kept paused, and may acknowledge writes before the nominee leads
	pending        bool          // some have not answered yet
	position       wire.Position // the most advanced of those that are paused
	pausedAt       int64         // when the last of their commands was sent
}

func (e *evaluation) pauseReplicas() (paused pausedReplicas) {
	service := e.service
	for _, host := range e.hostIDs {
		if host == e.primary.Host || host == e.primary.Nominee {
			continue
		}
		status, ok := service.statusSince(host, Pause, service.startedAt)
		last := service.lastResults[host]
		switch {
		case !ok && last.isOf(Pause) && last.sentAt >= service.startedAt: // it failed, and may be back too early
			return pausedReplicas{mayAcknowledge: true}
		case !ok:
			e.query(host, Pause, e.primary.Term+1, queryIntervalMs)
			paused.pending = true
		case !e.cannotBeUndone(host, Resume, last.sentAt):
			return pausedReplicas{mayAcknowledge: true}
		default:
			paused.pausedAt = max(paused.pausedAt, last.sentAt)
			if paused.position.Before(status.Received) {
				paused.position = status.Received
			}
		}
	}
	return paused
}
