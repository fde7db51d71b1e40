package failover

import (
	"ferrypitch/internal/wire"
)

// switchoverSteps move a service to the nominee while the primary continues to serve. They end with the revocation of the
// primary, either because the nominee is primary or because the switchover failed; failoverSteps then determine which.
var switchoverSteps = []step{
	(*evaluation).beginSwitchover,
	(*evaluation).abortIfHostLost,
	(*evaluation).abortIfUnheardHostRuns,
	(*evaluation).takeOverSwitchover,
	(*evaluation).revokeOncePromoted,
	(*evaluation).abortIfStalled,
	(*evaluation).awaitSwitchoverPromotion,
	(*evaluation).replaceFailedNominee,
	(*evaluation).catchUpNominee,
	(*evaluation).awaitEarlierLeadersCommands,
	(*evaluation).awaitNomineeConfirmation,
	(*evaluation).pauseReplicasAndPromote,
}

// chooseSuccessor returns the host to nominate in place of a draining primary: the first by id that is not draining, not
// missing and not silent, preferring hosts in the primary's zone. It returns an empty string if there is none.
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

// maySucceed reports whether a host may be nominated in place of a draining primary.
func (e *evaluation) maySucceed(id string) bool {
	host := e.state.Hosts[id]
	// Unlike in failure detection, a host that has sent no heartbeat to this member does not count as alive.
	heartbeatIsRecent := e.nowMs <= e.coordinator.heartbeats[id].receivedAt+e.coordinator.heartbeatTimeoutMs()
	return !host.Draining && !host.Missing && heartbeatIsRecent && !e.service.recentlyRejected(id, e.nowMs)
}

// beginSwitchover records the start of the switchover on this member.
func (e *evaluation) beginSwitchover() stepResult {
	e.beginTransition(SwitchoverStarted, e.primary.Nominee)
	return proceed
}

// abortSwitchover revokes the primary, which stops writes. The failover steps then complete the switchover or choose another host.
func (e *evaluation) abortSwitchover() stepResult {
	e.proposeRevocation()
	return stop
}

// abortIfHostLost aborts the switchover if the primary is lost or the nominee was removed.
func (e *evaluation) abortIfHostLost() stepResult {
	if e.primaryLost() || !e.isRegistered(e.primary.Nominee) {
		return e.abortSwitchover()
	}
	return proceed
}

// abortIfUnheardHostRuns aborts the switchover if a process runs at the address of a removed host and has sent no heartbeat yet: it
// cannot be paused, and may acknowledge writes that the nominee does not receive.
func (e *evaluation) abortIfUnheardHostRuns() stepResult {
	for _, former := range e.state.FormerHosts(e.service.name) {
		e.query(former.ID, Stat, 0, promotedPollIntervalMs)
		if last := e.service.lastResults[former.ID]; last.Replaced && last.sentAt >= e.service.startedAt {
			return e.abortSwitchover()
		}
	}
	return proceed
}

// takeOverSwitchover makes this member the owner of a switchover that a previous leader started.
func (e *evaluation) takeOverSwitchover() stepResult {
	if e.ownsTransition() {
		return proceed
	}
	e.proposeNomination(e.primary.Nominee)
	return stop
}

// revokeOncePromoted revokes the old primary once the nominee reports that it is primary.
func (e *evaluation) revokeOncePromoted() stepResult {
	nominee, startedAt := e.primary.Nominee, e.service.startedAt
	status, ok := e.service.statusSince(nominee, Stat, startedAt)
	isPrimaryByStatus := ok && status.IsPrimary && status.Timeline > e.primary.Term
	last := e.coordinator.heartbeats[nominee]
	isPrimaryByHeartbeat := last.isPrimary && last.receivedAt >= startedAt
	if isPrimaryByStatus || isPrimaryByHeartbeat {
		e.proposeRevocation()
		return stop
	}
	return proceed
}

// abortIfStalled aborts the switchover if it has requested no promotion within switchoverTimeoutMs or the nominee is draining.
func (e *evaluation) abortIfStalled() stepResult {
	timedOut := e.service.promotedHost == "" && e.nowMs > e.service.startedAt+switchoverTimeoutMs
	if timedOut || e.state.Hosts[e.primary.Nominee].Draining {
		return e.abortSwitchover()
	}
	return proceed
}

// awaitSwitchoverPromotion waits until the promoted nominee is primary. Meanwhile it keeps pausing the other replicas: a
// replica that restarted receives again and would get ahead of the nominee.
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

// replaceFailedNominee nominates another host if the nominee does not answer.
func (e *evaluation) replaceFailedNominee() stepResult {
	service := e.service
	last, ok := service.lastResults[e.primary.Nominee]
	if !ok || last.sentAt < service.startedAt || last.answered() {
		return proceed
	}
	service.rejectedAt[e.primary.Nominee] = e.nowMs
	service.nominatedHost = e.chooseSuccessor()
	e.proposeNomination(service.nominatedHost)
	return stop
}

// catchUpNominee lets the nominee catch up with the primary while the following steps wait.
func (e *evaluation) catchUpNominee() stepResult {
	e.queryNominee()
	return proceed
}

// queryNominee queries the nominee's position, or resumes the nominee if an earlier attempt left it paused.
func (e *evaluation) queryNominee() {
	nominee := e.primary.Nominee
	if status, ok := e.service.statusSince(nominee, Stat, e.service.startedAt); ok && status.PausedTimeline > 0 {
		e.query(nominee, Resume, 0, fastPollIntervalMs)
		return
	}
	e.query(nominee, Stat, 0, fastPollIntervalMs)
}

// awaitEarlierLeadersCommands waits until no command of the previous leader can still be executed.
func (e *evaluation) awaitEarlierLeadersCommands() stepResult {
	if e.nowMs < e.coordinator.leaderSince+staleCommandMs {
		return stop
	}
	return proceed
}

// nomineeConfirmation tells since when no write is acknowledged to a client that the nominee has not confirmed.
type nomineeConfirmation struct {
	nominee string
	index   uint64 // of the log: a proxy that has applied it knows the nominee
	since   int64  // 0: some proxy may not have applied index yet
}

// awaitNomineeConfirmation waits until each proxy acknowledges only writes that the nominee has confirmed. From then on the nominee
// may become primary at any moment, whichever replicas the primary acknowledges writes for: also those that nobody has heard of.
// If proxies of an earlier release don't do so, or one does not learn of the nominee in time, writes are stopped instead.
func (e *evaluation) awaitNomineeConfirmation() stepResult {
	confirmation := &e.service.nomineeConfirmation
	if confirmation.nominee != e.primary.Nominee {
		*confirmation = nomineeConfirmation{nominee: e.primary.Nominee, index: e.state.ServiceChangedIndex(e.service.name)}
	}
	_, nomineeAnswers := e.service.statusSince(e.primary.Nominee, Stat, e.service.startedAt)
	switch {
	case !nomineeAnswers:
		return stop
	case !e.coordinator.WritesAreConfirmed:
		return e.abortSwitchover()
	case confirmation.since > 0:
		return proceed
	case e.proxiesHaveApplied(confirmation.index):
		confirmation.since = e.nowMs
		return proceed
	case e.nowMs > e.service.startedAt+replicaWaitMs:
		return e.abortSwitchover()
	}
	return stop
}

// pauseReplicasAndPromote pauses all replicas except the nominee, so that they don't get ahead of it. It promotes the nominee once
// the nominee has everything they have and is caught up with the primary.
func (e *evaluation) pauseReplicasAndPromote() stepResult {
	paused := e.pauseReplicas()
	switch {
	case paused.mayAcknowledge:
		return e.abortSwitchover()
	case paused.pending && e.nowMs > e.service.startedAt+replicaWaitMs:
		return e.abortSwitchover()
	case paused.pending:
		return stop
	}
	if e.nomineeIsCaughtUp(paused) {
		e.requestPromotion(e.primary.Nominee)
		return stop
	}
	if e.nowMs > e.service.startedAt+replicaWaitMs {
		return e.abortSwitchover()
	}
	return stop
}

// nomineeIsCaughtUp reports whether the nominee has received everything the paused replicas have and everything the primary
// had written at a time after they were paused and after the proxies began to wait for the nominee's confirmation. The nominee then
// has every write that was acknowledged to a client without its confirmation.
func (e *evaluation) nomineeIsCaughtUp(paused pauseProgress) bool {
	service, primary, nominee := e.service, e.primary.Host, e.primary.Nominee
	written, ok := service.statusSince(primary, Stat, max(service.nomineeConfirmation.since, paused.pausedAt, e.nowMs-queryIntervalMs))
	if !ok {
		e.query(primary, Stat, 0, catchUpPollIntervalMs)
		return false
	}
	received, ok := service.statusSince(nominee, Stat, service.startedAt)
	if !ok || received.ReceivedPosition.Before(paused.position) || !received.ReceivedPosition.Contains(written.ReceivedPosition) {
		e.query(nominee, Stat, 0, catchUpPollIntervalMs)
		return false
	}
	return true
}

// pauseProgress tells how far the pausing of the replicas other than the nominee has come.
type pauseProgress struct {
	mayAcknowledge bool          // a replica may not stay paused, so it may acknowledge writes before the nominee is primary
	pending        bool          // some replicas have not answered yet
	position       wire.Position // the most advanced position among the paused replicas
	pausedAt       int64         // when the last of their Pause commands was sent
}

// pauseReplicas pauses all replicas except the nominee, and returns how far that has come.
func (e *evaluation) pauseReplicas() (paused pauseProgress) {
	service := e.service
	for _, host := range e.hostIDs {
		if host == e.primary.Host || host == e.primary.Nominee {
			continue
		}
		status, ok := service.statusSince(host, Pause, service.startedAt)
		last := service.lastResults[host]
		switch {
		case !ok && last.isOf(Pause) && last.sentAt >= service.startedAt: // the Pause failed, and the replica may receive again too early
			return pauseProgress{mayAcknowledge: true}
		case !ok:
			e.query(host, Pause, e.primary.Term+1, queryIntervalMs)
			paused.pending = true
		case !e.cannotBeUndone(host, Resume, last.sentAt):
			return pauseProgress{mayAcknowledge: true}
		default:
			paused.pausedAt = max(paused.pausedAt, last.sentAt)
			if paused.position.Before(status.ReceivedPosition) {
				paused.position = status.ReceivedPosition
			}
		}
	}
	return paused
}
