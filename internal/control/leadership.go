package control

import (
	"maps"
	"slices"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/lease"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// updateLeadership makes this member start or stop acting as the leader. It starts when its consensus node holds the leader lease
// (Raft dissertation, section 6.4.1) and stops when the node is no longer leader. In between the lease may expire and be renewed,
// so each action of the leader first checks holdsLease. A diverged member stops, and transfers the leadership if it can.
func (s *Server) updateLeadership() {
	now := s.clock.Now()
	defer s.publishLease()
	holds := s.consensus.HoldsLease(now)
	switch {
	case holds && s.diverged && s.consensus.CanTransferLeadership():
		s.processReady(s.consensus.TransferLeadership(now))
	case holds && !s.leading && !s.diverged:
		s.becomeLeader(now)
	case s.leading && (s.diverged || !s.consensus.IsLeader()):
		s.loseLeadership()
	}
}

// becomeLeader creates the state of the leader: failover coordinator, grantor of proxy leases and token lender.
func (s *Server) becomeLeader(now int64) {
	term := s.consensus.Term()
	s.leading = true
	s.TermsLed.Add(1)
	s.leaderTimeOffsetMs = s.state.LeaderTimeMs - now
	s.grantor = lease.NewGrantor(now)
	s.digests.votes, s.digests.majority = nil, statemachine.Digest{}
	s.coordinator = failover.New(s.settings.Node, term, s.settings.BeatMs, now)
	s.coordinator.RegistrationGraceUntil = now + max(0, failover.RegistrationGraceMs-s.state.LeaderTimeMs)
	s.coordinator.OnEvent = func(event failover.Event) {
		s.log.Info(event.Kind.String(), "service", event.Service, "host", event.Host)
	}
	s.recordUncertainPromotions(now)
	s.startLender(term, now)
	s.log.Info("became leader", "term", term, "members", s.consensus.Members())
}

// loseLeadership disconnects all proxies, so that they look for the new leader, and completes all pending proposals with
// errOutcomeUnknown.
func (s *Server) loseLeadership() {
	s.leading = false
	s.log.Info("lost leadership", "term", s.consensus.Term())
	for _, proxy := range s.proxies.ordered {
		proxy.close()
	}
	s.proxies = newServedProxies()
	s.transfers.waiting = nil
	s.dropAddressChecks()
	pending := s.pendingProposals
	s.pendingProposals = map[uint64]pendingProposal{}
	for _, index := range slices.Sorted(maps.Keys(pending)) {
		pending[index].done(errOutcomeUnknown)
	}
}

// tickFailover evaluates all services that are due, if this member holds the leader lease.
func (s *Server) tickFailover() { s.runFailover((*failover.Coordinator).Tick) }

// handleFailoverEvents evaluates the services for which events were received, if this member holds the leader lease.
func (s *Server) handleFailoverEvents() { s.runFailover((*failover.Coordinator).HandleEvents) }

// failoverEvaluation is the signature of the coordinator's methods that evaluate services.
type failoverEvaluation func(c *failover.Coordinator, state *statemachine.State, allCaughtUp func(uint64) bool, nowMs int64) failover.Actions

// runFailover evaluates services and executes the resulting proposals, queries and promotions.
func (s *Server) runFailover(evaluate failoverEvaluation) {
	now := s.clock.Now()
	if !s.holdsLease() {
		return
	}
	var proxies []string // names of the proxies that may hold leases; sorted on first use, for all services together
	caughtUp := func(index uint64) bool {
		if proxies == nil {
			proxies = s.state.ProxyNames()
		}
		return s.grantor.AllCaughtUp(index, proxies, now)
	}
	s.coordinator.WritesAreConfirmed = s.proxies.allSupport(rpc.VersionConfirmations, s.state.ProxyNames())
	actions := evaluate(s.coordinator, s.state, caughtUp, now)
	for _, change := range actions.Proposals {
		s.propose(change, func(error) {})
	}
	for _, query := range actions.Queries {
		s.HostQueries.Add(1)
		host, known := s.state.KnownHost(query.Host)
		if !known { // the host was removed long ago
			s.coordinator.QueryFinished(failover.QueryResult{Query: query, ConnectionRefused: true}, now)
			continue
		}
		s.environment.QueryHost(query, host)
	}
	for _, promotion := range actions.Promotions {
		s.Promotions.Add(1)
		s.environment.Promote(promotion)
	}
}

// QueryFinished processes the result of a query that was passed to Environment.QueryHost.
func (s *Server) QueryFinished(result failover.QueryResult) {
	if s.finishAddressCheck(result) {
		return
	}
	if !s.leading || !s.coordinator.QueryFinished(result, s.clock.Now()) {
		s.discard(resultUnsolicited)
		return
	}
	s.handleFailoverEvents()
}

// PromotionFinished processes the outcome of a promotion that was passed to Environment.Promote.
func (s *Server) PromotionFinished(promotion failover.Promotion, outcome failover.PromotionOutcome) {
	if !s.leading || !s.coordinator.PromotionFinished(promotion, outcome, s.clock.Now()) {
		s.discard(resultUnsolicited)
		return
	}
	s.handleFailoverEvents()
}
