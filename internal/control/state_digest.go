package control

import (
	"maps"
	"slices"

	"ferrypitch/internal/consensus"
	"ferrypitch/internal/rpc"
	"ferrypitch/internal/statemachine"
)

// Members compare digests of their states to detect corruption of memory or of a stored snapshot, also on the leader, whose
// changes are based on its own state. Each member sends the leader digests of its state at certain indices. The leader determines
// the digest of the majority at each index and rejects the states that differ; if its own differs, it steps down. A member whose
// state was rejected replaces it with a snapshot from the leader.

const (
	digestIntervalMs = 1000 // interval between digests of the current state, whatever its index
	// digestCheckpointInterval is the number of entries between the indices at which every member takes a digest. It ensures that
	// members have digests at the same indices while changes are frequent.
	digestCheckpointInterval = 256
	maxOwnDigests            = 16 // digests of this member that are retained
	maxDigestVotes           = 16 // indices for which a leader retains digests
	maxDigestsPerFrame       = 4  // the newest ones are sent
)

// digestVotes holds the digests that voting members reported for one index.
type digestVotes struct {
	index    uint64
	byMember map[consensus.ID]statemachine.Digest
}

// stateDigests holds the digests of a member's own state and, on the leader, those reported by other members.
type stateDigests struct {
	own      []statemachine.Digest // oldest first
	nextAtMs int64
	votes    []digestVotes       // on the leader: reported digests by index, oldest first
	majority statemachine.Digest // on the leader: newest digest on which a majority agrees; zero if none yet
}

// at returns this member's own digest at an index.
func (d *stateDigests) at(index uint64) (statemachine.Digest, bool) {
	i := slices.IndexFunc(d.own, func(digest statemachine.Digest) bool { return digest.Index == index })
	if i < 0 {
		return statemachine.Digest{}, false
	}
	return d.own[i], true
}

// add records a digest of this member. It replaces an earlier one at the same index.
func (d *stateDigests) add(digest statemachine.Digest) {
	d.own = slices.DeleteFunc(d.own, func(other statemachine.Digest) bool { return other.Index == digest.Index })
	d.own = append(d.own, digest)
	if len(d.own) > maxOwnDigests {
		d.own = d.own[1:]
	}
}

// addVote records the digest of a member and returns all digests reported for its index.
func (d *stateDigests) addVote(member consensus.ID, digest statemachine.Digest) digestVotes {
	i := slices.IndexFunc(d.votes, func(votes digestVotes) bool { return votes.index == digest.Index })
	if i < 0 {
		d.votes = append(d.votes, digestVotes{index: digest.Index, byMember: map[consensus.ID]statemachine.Digest{}})
		if len(d.votes) > maxDigestVotes {
			d.votes = d.votes[1:]
		}
		i = len(d.votes) - 1
	}
	d.votes[i].byMember[member] = digest
	return d.votes[i]
}

// checkpointDigest takes a digest if the current index is a multiple of digestCheckpointInterval.
func (s *Server) checkpointDigest() {
	if s.state.Index%digestCheckpointInterval == 0 && !s.diverged {
		s.digests.add(s.state.Digest())
	}
}

// tickDigests takes a digest of the state in memory every digestIntervalMs and reports the newest digests to the leader.
func (s *Server) tickDigests(now int64) {
	if now < s.digests.nextAtMs || s.diverged || s.state.Index == 0 {
		return
	}
	s.digests.nextAtMs = now + digestIntervalMs
	s.digests.add(s.state.Digest())
	leader := s.consensus.RecentLeader(now)
	newest := s.digests.own[max(0, len(s.digests.own)-maxDigestsPerFrame):]
	switch {
	case s.leading:
		s.recordDigests(s.id, newest)
	case leader != "" && leader != s.id && s.peerVersions[leader] >= rpc.VersionDigestsAndChunks:
		s.send(leader.Address(), &rpc.Frame{StateDigests: &rpc.StateDigests{From: s.id, Digests: slices.Clone(newest)}})
	}
}

// handleStateDigests processes the digests of a member. Digests that do not come from the member's address are discarded.
func (s *Server) handleStateDigests(from string, digests *rpc.StateDigests) {
	if digests.From.Address() != from || len(digests.Digests) > maxDigestsPerFrame {
		s.discard(messageWrongSender)
		return
	}
	if s.leading {
		s.recordDigests(digests.From, digests.Digests)
	}
}

// recordDigests records digests of a member and rejects the states that differ from that of the majority.
func (s *Server) recordDigests(member consensus.ID, digests []statemachine.Digest) {
	if !s.consensus.IsVoter(member) {
		s.checkLearnerDigests(member, digests)
		return
	}
	for _, digest := range digests {
		votes := s.digests.addVote(member, digest)
		majority, ok := s.majorityDigest(votes)
		if !ok {
			continue
		}
		if majority.Index > s.digests.majority.Index {
			s.digests.majority = majority
		}
		for _, id := range slices.Sorted(maps.Keys(votes.byMember)) {
			if votes.byMember[id] != majority {
				s.rejectState(id, majority)
			}
		}
	}
}

// checkLearnerDigests rejects the state of a learner if it differs from the leader's.
func (s *Server) checkLearnerDigests(learner consensus.ID, digests []statemachine.Digest) {
	for _, digest := range digests {
		if own, ok := s.digests.at(digest.Index); ok && own != digest {
			s.rejectState(learner, own)
		}
	}
}

// majorityDigest returns the digest on which a majority of the voting members agrees at an index.
func (s *Server) majorityDigest(votes digestVotes) (majority statemachine.Digest, ok bool) {
	for _, candidate := range votes.byMember {
		agrees := func(id consensus.ID) bool {
			digest, reported := votes.byMember[id]
			return reported && digest == candidate
		}
		if s.consensus.HasQuorum(agrees) {
			return candidate, true
		}
	}
	return statemachine.Digest{}, false
}

// rejectState makes a member, which may be this one, replace its state.
func (s *Server) rejectState(member consensus.ID, majority statemachine.Digest) {
	if member == s.id {
		s.replaceRejectedState(majority)
		return
	}
	rejected := &rpc.StateRejected{To: member, Term: s.consensus.Term(), Digest: majority}
	s.send(member.Address(), &rpc.Frame{StateRejected: rejected})
}

// handleStateRejected processes the leader's message that this member's state differs from that of the majority. Messages that do
// not come from the leader of the current term are discarded.
func (s *Server) handleStateRejected(from string, rejected *rpc.StateRejected) {
	leader := s.consensus.RecentLeader(s.clock.Now())
	if rejected.To != s.id || rejected.Term != s.consensus.Term() || leader == "" || leader.Address() != from {
		s.discard(messageWrongSender)
		return
	}
	s.replaceRejectedState(rejected.Digest)
}

// newDigestFor returns the newest majority digest if it was not sent to the proxy yet, and nil otherwise. This member's own
// digest must not be sent: if its state is wrong, proxies must not adopt it.
func (s *Server) newDigestFor(conn *ProxyConn) *statemachine.Digest {
	majority := s.digests.majority
	if majority.Index == 0 || majority.Index == conn.digestIndex {
		return nil
	}
	conn.digestIndex = majority.Index
	return &majority
}

// verifyConfig verifies that the configuration in memory is the one that was applied. It is called before a change is based on
// the configuration, because other members would reject such a change. If the configuration is corrupt, the state is discarded.
func (s *Server) verifyConfig() (intact bool) {
	if s.state.ConfigBodyIntact() {
		return true
	}
	s.StateDivergences.Add(1)
	s.log.Error("configuration in memory differs from the applied one; fetching the state from the leader", "index", s.state.Index)
	s.fetchState()
	return false
}

// replaceRejectedState discards this member's state, which differs from that of the majority at an index, and fetches the
// leader's. A leader steps down first.
func (s *Server) replaceRejectedState(majority statemachine.Digest) {
	own, known := s.digests.at(majority.Index)
	if s.diverged || !known || own == majority {
		return
	}
	s.StateDivergences.Add(1)
	s.log.Error("state differs from that of a majority, fetching it anew",
		"index", majority.Index, "ranges", own.DifferingRanges(majority), "is_leader", s.leading)
	s.digests = stateDigests{}
	s.fetchState()
}
