package control

import (
	"errors"
	"time"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/statemachine"
)

// errOutcomeUnknown is the result of a proposal that may or may not be committed. A caller may repeat it: changes are
// idempotent by their request ID or base version.
var errOutcomeUnknown = errors.New("leadership changed; whether the change is committed is unknown")

// proposalResult is called once with the result of a proposal: nil, an error of applying it, or errOutcomeUnknown.
type proposalResult func(err error)

// pendingProposal waits for the log entry at its index.
type pendingProposal struct {
	term       uint64 // an entry of another term at that index is another change
	proposedAt time.Time
	done       proposalResult
}

// propose appends a change to the log. It stamps it with the leader's time, since replicas must not read their own clocks when
// they apply it. done may be called before propose returns.
func (s *Server) propose(change statemachine.Change, done proposalResult) {
	now := s.clock.Now()
	change.LeaderTimeMs = now + s.ledTimeOffsetMs
	index, ready := s.consensus.Propose(statemachine.EncodeChange(change), now)
	if index == 0 {
		done(errOutcomeUnknown)
		return
	}
	s.Proposals.Add(1)
	s.pendingProposals[index] = pendingProposal{term: s.consensus.Term(), proposedAt: s.clock.Time(), done: done}
	s.carryOut(ready)
}

// completeProposal ends the proposal that waits for the index of an entry. err is the result of applying the entry; it says
// nothing about the proposal if another leader's entry took that index.
func (s *Server) completeProposal(entry consensus.Committed, err error) {
	proposal, ok := s.pendingProposals[entry.Index]
	if !ok {
		return
	}
	delete(s.pendingProposals, entry.Index)
	if proposal.term != entry.Term {
		err = errOutcomeUnknown
	} else {
		s.CommitDurations.Observe(s.clock.Time().Sub(proposal.proposedAt))
	}
	proposal.done(err)
}
