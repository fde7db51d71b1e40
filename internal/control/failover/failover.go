package failover

import (
	"ferrypitch/internal/statemachine"
	"ferrypitch/internal/wire"
)

// failoverSteps replace a revoked primary.
var failoverSteps = []step{
	(*evaluation).takeOverFailover,
	(*evaluation).beginFailover,
	(*evaluation).forgetRemovedHost,
	(*evaluation).installNewPrimary,
	(*evaluation).awaitPromotion,
	(*evaluation).awaitProxies,
	(*evaluation).promoteCaughtUpNominee,
	(*evaluation).promoteMostAdvanced,
}

// takeOverFailover makes this member the owner of a failover that a previous leader started.
func (e *evaluation) takeOverFailover() stepResult {
	if e.ownsTransition() {
		return proceed
	}
	e.proposeRevocation()
	return stop
}

// beginFailover records the start of the failover on this member.
func (e *evaluation) beginFailover() stepResult {
	e.beginTransition(FailoverStarted, e.primary.Host)
	return proceed
}

// forgetRemovedHost abandons the promotion of a host that was removed: a new host at its address has another id.
func (e *evaluation) forgetRemovedHost() stepResult {
	if !e.service.promotionPending && !e.isRegistered(e.service.promotedHost) {
		e.service.promotedHost = ""
	}
	return proceed
}

// installNewPrimary appoints a host that reports itself primary, whichever leader requested its promotion. It first waits until
// no other promotion can take effect, the old primary was told to step down, and no proxy uses the old primary.
func (e *evaluation) installNewPrimary() stepResult {
	host, status := e.newestPrimary()
	if host == "" {
		return proceed
	}
	if other := e.unresolvedPromotion(host); other != "" {
		e.query(other, Stat, 0, promotedPollIntervalMs)
		return stop
	}
	e.query(e.primary.Host, StepDown, status.Timeline, queryIntervalMs)
	if !e.proxiesHaveApplied(e.primary.ChangedIndex) || !e.stepDownAttempted() {
		return stop
	}
	if e.oldPrimaryIsAhead(status) {
		return proceed
	}
	delete(e.service.unresolvedPromotions, host)
	e.service.appointed = candidate{host, status.ReceivedPosition}
	e.emit(NewPrimaryObserved, host)
	appointment := statemachine.AppointPrimary{Service: e.service.name, Host: host, Term: status.Timeline}
	if e.service.promotedHost == host {
		appointment.PromotionMs = max(1, e.service.lastResults[host].sentAt-e.service.promotionSentAt)
	}
	e.proposeAppointment(appointment)
	return stop
}

// newestPrimary returns the host that reported itself primary in the highest plausible term after the old primary's. host
// is empty if there is none.
func (e *evaluation) newestPrimary() (host string, status wire.HostStatus) {
	minTerm := e.primary.Term + 1
	if !e.isRegistered(e.primary.Host) {
		minTerm = e.primary.Term // a new host at its address may continue as primary in the same term, with its log
	}
	for _, id := range e.hostIDs {
		last, ok := e.service.lastResults[id]
		if !ok || last.sentAt < e.service.startedAt-newPrimaryReportTTLMs || !last.succeeded() || !last.Status.IsPrimary {
			continue
		}
		if term := last.Status.Timeline; term >= max(minTerm, status.Timeline+1) && term < minTerm+maxTermGap {
			host, status = id, last.Status
		}
	}
	return host, status
}

// stepDownAttempted reports whether the old primary has answered a StepDown or is not answering.
func (e *evaluation) stepDownAttempted() bool {
	last, ok := e.service.lastResults[e.primary.Host]
	if !ok {
		return e.nowMs >= e.service.startedAt+queryTimeoutMs
	}
	return !last.answered() || last.isOf(StepDown) && last.sentAt >= e.service.startedAt
}

// oldPrimaryIsAhead reports whether the old primary has received writes that the new one lacks and that may have been
// acknowledged: if the new primary did not answer after its promotion, the old one may have continued to serve. The new
// primary has acknowledged nothing yet, since no proxy holds a lease on it, so another host may still be chosen.
func (e *evaluation) oldPrimaryIsAhead(newPrimary wire.HostStatus) bool {
	old, ok := e.steppedDownStatus()
	return ok && e.service.promotedHostFailed && e.inPrimaryTerm(newPrimary.ReceivedPosition).Before(e.inPrimaryTerm(old.ReceivedPosition))
}

// steppedDownStatus returns the old primary's status after it stepped down. Its log then holds every acknowledged write.
func (e *evaluation) steppedDownStatus() (wire.HostStatus, bool) {
	status, ok := e.service.statusSince(e.primary.Host, StepDown, e.service.startedAt)
	return status, ok && !status.IsPrimary
}

// awaitPromotion waits while a requested promotion may still take effect; until then no other host is chosen.
func (e *evaluation) awaitPromotion() stepResult {
	service := e.service
	if service.promotedHost == "" || !service.promotionPending && e.nowMs >= service.promotionEndedAt+promotionTimeoutMs {
		return proceed
	}
	e.pollPromotedHost()
	return stop
}

// awaitProxies waits until no proxy uses the revoked primary any more.
func (e *evaluation) awaitProxies() stepResult {
	if !e.proxiesHaveApplied(e.primary.ChangedIndex) {
		return stop
	}
	if e.service.proxiesCaughtUpAt == 0 {
		e.service.proxiesCaughtUpAt = e.nowMs
	}
	return proceed
}

// promoteCaughtUpNominee completes a switchover that had to stop writes: it promotes the nominee once the nominee has
// received everything that is in the log of the old primary, which has not stepped down. After replicaWaitMs, or if the old primary does not
// answer, the steps of an unplanned failover run instead.
func (e *evaluation) promoteCaughtUpNominee() stepResult {
	service := e.service
	isOwnSwitchover := service.nominatedHost != "" && service.nominatedHost == e.primary.Nominee && service.promotedHost == ""
	if !isOwnSwitchover || e.nowMs >= service.startedAt+replicaWaitMs {
		return proceed
	}
	if last, ok := service.lastResults[e.primary.Host]; ok && !last.answered() {
		return proceed
	}
	e.query(e.primary.Host, Stat, 0, fastPollIntervalMs)
	e.queryNominee()
	old, oldKnown := service.statusSince(e.primary.Host, Stat, service.proxiesCaughtUpAt)
	nominee, nomineeKnown := service.statusSince(e.primary.Nominee, Stat, service.proxiesCaughtUpAt)
	if oldKnown && nomineeKnown && old.IsPrimary && nominee.ReceivedPosition.Contains(old.ReceivedPosition) {
		e.requestPromotion(e.primary.Nominee)
	}
	return stop
}

// promoteMostAdvanced pauses all replicas, collects their positions, and nominates and promotes the most advanced host.
func (e *evaluation) promoteMostAdvanced() stepResult {
	chosen, complete := e.choosePromotion()
	switch {
	case !complete || e.service.recentlyRejected(chosen.host, e.nowMs):
		e.coordinator.Counters.WaitingTicks++
	case chosen.host != e.primary.Nominee:
		e.nominate(chosen.host)
	default:
		e.requestPromotion(chosen.host)
	}
	return stop
}

// nominate records a host in the log before its promotion is requested. If the log already has a nominee of a previous leader,
// which may have requested its promotion, nominate first waits inheritedNomineeWaitMs for that host to become primary.
func (e *evaluation) nominate(host string) {
	service, earlier := e.service, e.primary.Nominee
	if e.isRegistered(earlier) && service.nominatedHost != earlier && e.nowMs < service.startedAt+inheritedNomineeWaitMs {
		return
	}
	service.nominatedHost = host
	e.proposeNomination(host)
}

// candidate is a host that may be promoted, with its position. The zero value means no host.
type candidate struct {
	host     string
	position wire.Position
}

// choosePromotion returns the most advanced host whose position is known. complete reports whether that host has every write that
// can have been acknowledged, so that it may be promoted.
func (e *evaluation) choosePromotion() (chosen candidate, complete bool) {
	e.query(e.primary.Host, StepDown, e.nextTerm(), queryIntervalMs)
	chosen = e.collectPositions()
	complete = chosen.host != "" && len(e.service.awaitedHosts) == 0 && e.hasAcknowledgedWrites(chosen)
	if complete && !e.inRegistrationGrace() {
		return chosen, true
	}
	// The old primary has every acknowledged write, so its position can replace those of replicas that do not answer.
	old, ok := e.steppedDownStatus()
	if !ok {
		return chosen, false
	}
	if e.isRegistered(e.primary.Host) {
		chosen = e.moreAdvanced(chosen, candidate{e.primary.Host, old.ReceivedPosition})
	}
	return chosen, chosen.host != "" && !chosen.position.Before(e.inPrimaryTerm(old.ReceivedPosition))
}

// inRegistrationGrace reports whether replicas may be running that have not sent their first heartbeat. Such a replica may be
// the only one that received an acknowledged write.
func (e *evaluation) inRegistrationGrace() bool {
	return e.nowMs < e.coordinator.RegistrationGraceUntil
}

// collectPositions pauses the replicas and returns the most advanced of those already paused. It stores the hosts whose
// positions are still needed in awaitedHosts.
func (e *evaluation) collectPositions() (mostAdvanced candidate) {
	service := e.service
	service.awaitedHosts = nil
	for _, host := range e.hostIDs {
		if host == e.primary.Host {
			continue
		}
		status, ok := e.pausedStatus(host)
		if ok {
			mostAdvanced = e.moreAdvanced(mostAdvanced, candidate{host, status.ReceivedPosition})
			continue
		}
		e.query(host, Pause, e.nextTerm(), queryIntervalMs)
		if !e.isConfirmedGone(host) {
			service.awaitedHosts = append(service.awaitedHosts, host)
		}
	}
	e.awaitUnaccountedHosts(mostAdvanced)
	e.awaitHostsAtFormerAddresses(mostAdvanced)
	return mostAdvanced
}

// awaitUnaccountedHosts adds the removed hosts to awaitedHosts that may alone have received acknowledged writes. A host that was removed
// before its appointment as primary was applied is one of them, unless the most advanced replica has the log with which it was
// appointed: what it acknowledged as primary, another has received.
func (e *evaluation) awaitUnaccountedHosts(mostAdvanced candidate) {
	service := e.service
	for _, id := range e.state.UnaccountedHostIDs(service.name) {
		wasAppointed := id == e.primary.Host && id == service.appointed.host && service.appointed.position.Known()
		if !wasAppointed || mostAdvanced.host == "" || mostAdvanced.position.Before(e.inPrimaryTerm(service.appointed.position)) {
			service.awaitedHosts = append(service.awaitedHosts, id)
		}
	}
}

// awaitHostsAtFormerAddresses adds the removed hosts to awaitedHosts at whose addresses a process may have received more than the
// most advanced replica. An address that gives no answer belongs to a machine that is gone, as its host was removed.
func (e *evaluation) awaitHostsAtFormerAddresses(mostAdvanced candidate) {
	service := e.service
	for _, former := range e.state.FormerHosts(service.name) {
		last, ok := service.lastResults[former.ID]
		isRecent := ok && last.isOf(Pause) && last.sentAt >= service.proxiesCaughtUpAt
		e.query(former.ID, Pause, e.nextTerm(), queryIntervalMs)
		mayRun := last.Replaced || last.answered() && mostAdvanced.position.Before(last.Status.ReceivedPosition)
		if !isRecent || mayRun {
			service.awaitedHosts = append(service.awaitedHosts, former.ID)
		}
	}
}

// isConfirmedGone reports whether nothing runs at the address of a replica that is marked as missing. The mark alone does not
// show this: a process that started there since, with the replica's log, may have received acknowledged writes before its first
// heartbeat. So the address must have refused a connection after the last write that a proxy can have sent.
func (e *evaluation) isConfirmedGone(host string) bool {
	last, ok := e.service.lastResults[host]
	return e.state.Hosts[host].Missing && ok && last.ConnectionRefused && last.sentAt >= e.service.proxiesCaughtUpAt
}

// pausedStatus returns a replica's status if it is paused and cannot have received an acknowledged write since then.
func (e *evaluation) pausedStatus(host string) (wire.HostStatus, bool) {
	status, ok := e.service.statusSince(host, Pause, e.service.startedAt)
	if !ok {
		return wire.HostStatus{}, false
	}
	pausedAt := e.service.lastResults[host].sentAt
	return status, pausedAt >= e.service.proxiesCaughtUpAt || e.cannotBeUndone(host, Resume, pausedAt)
}

// moreAdvanced returns the candidate with the greater position. If the positions are equal, it prefers one that is not draining,
// or the current nominee.
func (e *evaluation) moreAdvanced(best, other candidate) candidate {
	other.position = e.inPrimaryTerm(other.position)
	switch {
	case best.host == "", best.position.Before(other.position):
		return other
	case best.position == other.position && (e.onlyOtherDrains(other.host, best.host) || other.host == e.primary.Nominee):
		return other
	}
	return best
}

// onlyOtherDrains reports whether other is draining and host is not.
func (e *evaluation) onlyOtherDrains(host, other string) bool {
	return !e.state.Hosts[host].Draining && e.state.Hosts[other].Draining
}

// nextTerm returns a term above the old primary's and above all plausible terms reported during this failover.
func (e *evaluation) nextTerm() uint64 {
	term := e.primary.Term + 1
	for _, last := range e.service.lastResults {
		if last.sentAt >= e.service.startedAt && e.isPlausibleTerm(last.Status.Timeline) {
			term = max(term, last.Status.Timeline+1)
		}
	}
	return term
}
