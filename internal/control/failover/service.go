package failover

import "ferrypitch/internal/wire"

// serviceState is the coordinator's state of one service, in addition to the replicated state. Times are the nowMs of calls.
type serviceState struct {
	name       string
	proposedAt int64 // when the pending proposal was made; 0: none pending

	evaluatedIndex   uint64 // State.ServiceChangedIndex at the last evaluation
	nextEvaluationAt int64  // when the service is due without an event; 0: at each tick

	// Failure detection.
	suspectedHost        string           // the primary that suspicions and failedProbes are about
	suspicions           map[string]int64 // by proxy: when it last could not reach the primary
	suspectedSince       int64            // when probing of the primary started; 0: not being probed
	failedProbes         int              // consecutive failed probes
	evaluatedProbeSentAt int64            // send time of the last probe whose result was evaluated

	// Replicas whose processes are gone.
	refusingSince     map[string]int64 // by listed replica: since when it has refused connections
	removedHostEndsAt map[string]int64 // by removed replica: when its process has ended
	missingSince      map[string]int64 // by missing host that left without draining first: when this coordinator first saw it missing

	// Queries.
	pendingQueries    map[string]*pendingQuery // by host
	hedgedQuery       *pendingQuery            // a second probe of a suspected primary, in parallel with the pending one
	lastResults       map[string]hostResult    // by host
	uncertainCommands map[hostCommand]int64    // commands that may still be executed: when their host last failed to answer

	// The current failover or switchover; reset when it ends.
	startedAt          int64         // when this member started or took over the failover or switchover; 0: none in progress
	proxiesCaughtUpAt  int64         // since when no proxy uses the revoked primary; 0: some may
	nominatedHost      string        // the host that this member nominated
	promotedHost       string        // the host of the last promotion request, unless the request is known to have had no effect
	promotedHostFailed bool          // promotedHost failed to answer a query sent after the request
	requestsSent       int           // promotion requests sent
	awaitedHosts       []string      // hosts whose positions are still needed
	awaitedPosition    wire.Position // acknowledged position that no known host has reached; zero if there is none
	positionAwaited    bool          // AcknowledgedWritesAwaited was emitted

	acknowledged acknowledgedWrites // of the primary that was revoked last
	appointed    candidate          // the primary that this member appointed last, with the end of its log at that time

	nomineeConfirmation nomineeConfirmation // of the switchover in progress

	// Promotion requests; kept after a failover ends.
	promotion        Promotion // the last request
	promotionPending bool      // the last request has no outcome yet
	promotionSentAt  int64
	promotionEndedAt int64
	// unresolvedPromotions holds, by host, until when a requested promotion may still take effect.
	unresolvedPromotions map[string]int64
	uncertainPromotions  map[string]int64 // by host: until when a request without a clear answer may still be carried out
	rejectedAt           map[string]int64 // by host: when its promotion was rejected, or when it failed to answer as nominee

	// Resuming of replicas after a failover or switchover.
	resumeChangeIndex uint64 // log index of the change of primary after which replicas resume
	resumeStartedAt   int64
}

// service returns the state of a service, and creates it at the first call.
func (c *Coordinator) service(name string) *serviceState {
	service := c.services[name]
	if service == nil {
		service = &serviceState{
			name:                 name,
			suspicions:           map[string]int64{},
			refusingSince:        map[string]int64{},
			removedHostEndsAt:    map[string]int64{},
			missingSince:         map[string]int64{},
			pendingQueries:       map[string]*pendingQuery{},
			lastResults:          map[string]hostResult{},
			uncertainCommands:    map[hostCommand]int64{},
			rejectedAt:           map[string]int64{},
			unresolvedPromotions: map[string]int64{},
			uncertainPromotions:  map[string]int64{},
		}
		c.services[name] = service
	}
	return service
}

// resetTransition clears the state of a failover or switchover that has ended, with primary as the primary.
func (s *serviceState) resetTransition(primary string) {
	s.keepPendingPromotion(primary)
	s.requestsSent = 0
	s.startedAt, s.proxiesCaughtUpAt = 0, 0
	s.nominatedHost, s.nomineeConfirmation = "", nomineeConfirmation{}
	s.promotedHost, s.promotedHostFailed, s.promotionPending = "", false, false
	s.awaitedHosts = nil
	s.awaitedPosition, s.positionAwaited = wire.Position{}, false
}

// isProbing reports whether the primary is suspected or a query to any host is pending.
func (s *serviceState) isProbing() bool {
	return len(s.suspicions) > 0 || len(s.pendingQueries) > 0 || s.failedProbes > 0
}

// recentlyRejected reports whether a host is excluded as nominee because it was rejected within rejectionPeriodMs.
func (s *serviceState) recentlyRejected(host string, nowMs int64) bool {
	return s.rejectedAt[host] > 0 && nowMs < s.rejectedAt[host]+rejectionPeriodMs
}
