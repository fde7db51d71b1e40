package control

import (
	"errors"
	"time"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/statemachine"
)

// errOutcomeUnknown is the result of a proposal that may or may not be committed. The caller may retry: changes are idempotent by
// their request ID or base version.
var errOutcomeUnknown = errors.New("leadership changed; it is unknown whether the change was committed")

// proposalResult is called once with the result of a proposal: nil, the error of applying it, or errOutcomeUnknown.
type proposalResult func(err error)

// pendingProposal is a proposal that waits for the log entry at its index to be applied.
type pendingProposal struct {
	term       uint64 // an entry with another term at the same index is a different change
	proposedAt time.Time
	done       proposalResult
}

// propose appends a change to the log. It stamps the change with the leader's time because members must not read their own clocks
// when they apply it. done may be called before propose returns.
func (s *Server) propose(change statemachine.Change, done proposalResult) {
	now := s.clock.Now()
	change.LeaderTimeMs = now + s.leaderTimeOffsetMs
	index, ready := s.consensus.Propose(statemachine.EncodeChange(change), now)
	if index == 0 {
		done(errOutcomeUnknown)
		return
	}
	s.Proposals.Add(1)
	s.pendingProposals[index] = pendingProposal{term: s.consensus.Term(), proposedAt: s.clock.Time(), done: done}
	s.processReady(ready)
}

// completeProposal completes the proposal that waits for the index of an entry. err is the result of applying the entry. If the
// entry at that index has another term, it is not the proposed one and the outcome is unknown.
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
