package control

import (
	"maps"
	"slices"

	"ferrypitch/internal/control/failover"
	"ferrypitch/internal/lease"
	"ferrypitch/internal/statemachine"
)

// updateLeadership begins and ends acting as the leader. A member acts only under the leader lease of its consensus node (Raft
// 6.4.1), and, once it does, until the node follows another leader: what it may do in between is checked by holdsLease.
func (s *Server) updateLeadership() {
	now := s.clock.Now()
	defer s.publishLease()
	holds := s.consensus.HoldsLease(now)
	switch {
	case holds && s.diverged && s.consensus.CanTransferLeadership():
		s.carryOut(s.consensus.TransferLeadership(now))
	case holds && !s.leading && !s.diverged:
		s.becomeLeader(now)
	case s.leading && (s.diverged || !s.consensus.IsLeader()):
		s.loseLeadership()
	}
}

func (s *Server) becomeLeader(now int64) {
	term := s.consensus.Term()
	s.leading = true
	s.TermsLed.Add(1)
	s.ledTimeOffsetMs = s.state.LeaderTimeMs - now
	s.grantor = lease.NewGrantor(now)
	s.digests.votes, s.digests.agreed = nil, statemachine.Digest{}
	s.coordinator = failover.New(s.settings.Node, term, s.settings.BeatMs, now)
	s.coordinator.RegistrationGraceUntil = now + max(0, failover.RegistrationGraceMs-s.state.LeaderTimeMs)
	s.coordinator.OnEvent = func(event failover.Event) {
		s.log.Info(event.Kind.String(), "service", event.Service, "host", event.Host)
	}
	s.beginLending(term, now)
	s.log.Info("became leader", "term", term, "members", s.consensus.Members())
}

// loseLeadership disconnects all proxies, which look for the new leader, and ends all pending proposals.
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

// tickFailover evaluates all services that are due, while this member holds the leader's lease.
func (s *Server) tickFailover() { s.runFailover((*failover.Coordinator).Tick) }

// handleFailoverEvents evaluates the services of which something was heard, while this member holds the leader's lease.
func (s *Server) handleFailoverEvents() { s.runFailover((*failover.Coordinator).HandleEvents) }

// failoverEvaluation is a method of the coordinator that evaluates services.
type failoverEvaluation func(c *failover.Coordinator, state *statemachine.State, allCaughtUp func(uint64) bool, nowMs int64) failover.Actions

// runFailover evaluates services and carries out what fail-over asks for.
func (s *Server) runFailover(evaluate failoverEvaluation) {
	now := s.clock.Now()
	if !s.holdsLease() {
		return
	}
	var proxies []string // collected once, where they are needed
	caughtUp := func(index uint64) bool {
		if proxies == nil {
			proxies = s.state.ProxyNames()
		}
		return s.grantor.AllCaughtUp(index, proxies, now)
	}
	actions := evaluate(s.coordinator, s.state, caughtUp, now)
	for _, change := range actions.Proposals {
		s.propose(change, func(error) {})
	}
	for _, query := range actions.Queries {
		s.HostQueries.Add(1)
		host, known := s.state.Hosts[query.Host]
		if !known { // it was removed
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

// QueryFinished processes the result of a query that the Environment was given.
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

// PromotionFinished processes the outcome of a promotion that the Environment was given.
func (s *Server) PromotionFinished(promotion failover.Promotion, outcome failover.PromotionOutcome) {
	if !s.leading || !s.coordinator.PromotionFinished(promotion, outcome, s.clock.Now()) {
		s.discard(resultUnsolicited)
		return
	}
	s.handleFailoverEvents()
}
