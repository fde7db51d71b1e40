package control

import (
	"maps"
	"slices"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// Members compare digests of their states, so that one whose memory or whose stored snapshot is wrong finds out: also a leader, whose
// changes build on its own state. Each member tells the leader digests at some indices; the leader finds what a majority has there,
// rejects the states of the others, and steps down if its own is among them. A rejected state is replaced by the leader's snapshot.

const (
	digestIntervalMs = 1000 // between two digests of a state that does not change
	// digestCheckpoint is the distance of the indices at which every member takes a digest, so that there are equal indices to
	// compare while changes come in quick succession.
	digestCheckpoint = 256
	keptDigests      = 16 // of this member's own
	keptDigestVotes  = 16 // indices at which a leader compares
	sentDigests      = 4  // the newest, in one frame
)

// digestVotes are the digests that members have told of one index.
type digestVotes struct {
	index    uint64
	byMember map[consensus.ID]statemachine.Digest
}

// stateDigests is what a member knows of the digests of its own state and, as the leader, of others.
type stateDigests struct {
	own      []statemachine.Digest // the newest last
	nextAtMs int64
	votes    []digestVotes       // of a leader
	agreed   statemachine.Digest // of a leader: the newest that a majority has; zero: none yet
}

// at returns this member's digest at an index.
func (d *stateDigests) at(index uint64) (statemachine.Digest, bool) {
	i := slices.IndexFunc(d.own, func(digest statemachine.Digest) bool { return digest.Index == index })
	if i < 0 {
		return statemachine.Digest{}, false
	}
	return d.own[i], true
}

// add notes a digest of this member, in place of an older one at the same index.
func (d *stateDigests) add(digest statemachine.Digest) {
	d.own = slices.DeleteFunc(d.own, func(other statemachine.Digest) bool { return other.Index == digest.Index })
	d.own = append(d.own, digest)
	if len(d.own) > keptDigests {
		d.own = d.own[1:]
	}
}

// vote notes a member's digest, and returns all that are known at its index.
func (d *stateDigests) vote(member consensus.ID, digest statemachine.Digest) digestVotes {
	i := slices.IndexFunc(d.votes, func(votes digestVotes) bool { return votes.index == digest.Index })
	if i < 0 {
		d.votes = append(d.votes, digestVotes{index: digest.Index, byMember: map[consensus.ID]statemachine.Digest{}})
		if len(d.votes) > keptDigestVotes {
			d.votes = d.votes[1:]
		}
		i = len(d.votes) - 1
	}
	d.votes[i].byMember[member] = digest
	return d.votes[i]
}

// checkpointDigest takes a digest at an index at which all members do.
func (s *Server) checkpointDigest() {
	if s.state.Index%digestCheckpoint == 0 && !s.diverged {
		s.digests.add(s.state.Digest())
	}
}

// tickDigests takes a digest of the state as it is in memory, and tells the leader.
func (s *Server) tickDigests(now int64) {
	if now < s.digests.nextAtMs || s.diverged || s.state.Index == 0 {
		return
	}
	s.digests.nextAtMs = now + digestIntervalMs
	s.digests.add(s.state.Digest())
	leader := s.consensus.RecentLeader(now)
	newest := s.digests.own[max(0, len(s.digests.own)-sentDigests):]
	switch {
	case s.leading:
		s.countDigests(s.id, newest)
	case leader != "" && leader != s.id && s.peerVersions[leader] >= rpc.VersionDigestsAndChunks:
		s.send(leader.Address(), &rpc.Frame{StateDigests: &rpc.StateDigests{From: s.id, Digests: slices.Clone(newest)}})
	}
}

// handleStateDigests takes in the digests of a member. They count only where they come from its address.
func (s *Server) handleStateDigests(from string, digests *rpc.StateDigests) {
	if digests.From.Address() != from || len(digests.Digests) > sentDigests {
		s.discard(messageWrongSender)
		return
	}
	if s.leading {
		s.countDigests(digests.From, digests.Digests)
	}
}

// countDigests notes digests of a member, and rejects the states that differ from a majority's.
func (s *Server) countDigests(member consensus.ID, digests []statemachine.Digest) {
	if !s.consensus.IsVoter(member) {
		s.compareWithOwn(member, digests)
		return
	}
	for _, digest := range digests {
		votes := s.digests.vote(member, digest)
		agreed, ok := s.majorityDigest(votes)
		if !ok {
			continue
		}
		if agreed.Index > s.digests.agreed.Index {
			s.digests.agreed = agreed
		}
		for _, id := range slices.Sorted(maps.Keys(votes.byMember)) {
			if votes.byMember[id] != agreed {
				s.rejectState(id, agreed)
			}
		}
	}
}

// compareWithOwn rejects the state of a learner that differs from the leader's.
func (s *Server) compareWithOwn(learner consensus.ID, digests []statemachine.Digest) {
	for _, digest := range digests {
		if own, ok := s.digests.at(digest.Index); ok && own != digest {
			s.rejectState(learner, own)
		}
	}
}

// majorityDigest returns the digest that a majority of the voting members has at an index.
func (s *Server) majorityDigest(votes digestVotes) (agreed statemachine.Digest, ok bool) {
	for _, candidate := range votes.byMember {
		has := func(id consensus.ID) bool {
			digest, told := votes.byMember[id]
			return told && digest == candidate
		}
		if s.consensus.HasQuorum(has) {
			return candidate, true
		}
	}
	return statemachine.Digest{}, false
}

// rejectState has a member, which may be this one, take its state anew.
func (s *Server) rejectState(member consensus.ID, agreed statemachine.Digest) {
	if member == s.id {
		s.stateRejected(agreed)
		return
	}
	rejected := &rpc.StateRejected{To: member, Term: s.consensus.Term(), Digest: agreed}
	s.send(member.Address(), &rpc.Frame{StateRejected: rejected})
}

// handleStateRejected takes in that this member's state differs from a majority's. It counts only from the leader of the term.
func (s *Server) handleStateRejected(from string, rejected *rpc.StateRejected) {
	leader := s.consensus.RecentLeader(s.clock.Now())
	if rejected.To != s.id || rejected.Term != s.consensus.Term() || leader == "" || leader.Address() != from {
		s.discard(messageWrongSender)
		return
	}
	s.stateRejected(rejected.Digest)
}

// newDigestFor returns the newest digest that a majority has, if a proxy was not sent it yet. This member's own would not do: if its
// state is wrong, proxies must not take it.
func (s *Server) newDigestFor(conn *ProxyConn) *statemachine.Digest {
	agreed := s.digests.agreed
	if agreed.Index == 0 || agreed.Index == conn.digestIndex {
		return nil
	}
	conn.digestIndex = agreed.Index
	return &agreed
}

// checkOwnConfig finds out whether the configuration is in memory as it was applied, before a change builds on it: replicas would
// refuse the change. It gives up a state that is not.
func (s *Server) checkOwnConfig() (intact bool) {
	if s.state.ConfigBodyIntact() {
		return true
	}
	s.StateDivergences.Add(1)
	s.log.Error("configuration in memory is not what was applied, fetching the state anew", "index", s.state.Index)
	s.fetchState()
	return false
}

// stateRejected gives up a state that differs from a majority's at an index, and fetches the leader's. A leader steps down first.
func (s *Server) stateRejected(agreed statemachine.Digest) {
	own, known := s.digests.at(agreed.Index)
	if s.diverged || !known || own == agreed {
		return
	}
	s.StateDivergences.Add(1)
	s.log.Error("state differs from that of a majority, fetching it anew",
		"index", agreed.Index, "ranges", own.DifferingRanges(agreed), "is_leader", s.leading)
	s.digests = stateDigests{}
	s.fetchState()
}
