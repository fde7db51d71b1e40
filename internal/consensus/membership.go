package consensus

import (
	"cmp"
	"slices"
	"strings"
)

// maxLearners is the maximum number of learners that a leader tracks.
const maxLearners = 32

// ID identifies a member for as long as it keeps its disk. It is an address or, if the member joined as a learner, an
// address followed by "+" and a random suffix.
type ID string

// Address returns the network address of the member.
func (id ID) Address() string {
	address, _, _ := strings.Cut(string(id), "+")
	return address
}

// SharesAddressWith reports whether two different IDs share an address. Their processes cannot run at the same time,
// so if the process of this ID is running, that of the other has ended.
func (id ID) SharesAddressWith(other ID) bool { return id != other && id.Address() == other.Address() }

// configuration is the set of voting members in effect from the entry at index on (4.1).
type configuration struct {
	index   uint64
	members []ID
}

// hasQuorum reports whether satisfies returns true for a majority of the members.
func (c configuration) hasQuorum(satisfies func(ID) bool) bool {
	count := 0
	for _, member := range c.members {
		if satisfies(member) {
			count++
		}
	}
	return 2*count > len(c.members)
}

// latestConfiguration returns the newest configuration in the log, committed or not: a configuration takes effect
// when it is appended (4.1).
func (n *Node) latestConfiguration() configuration { return n.configurations[len(n.configurations)-1] }

// Members returns the voting members of the newest configuration in the log. The caller must not modify the slice.
func (n *Node) Members() []ID { return n.latestConfiguration().members }

// activeConfigurations returns the newest committed configuration and all later ones. Decisions need a majority of
// each (4.3).
func (n *Node) activeConfigurations() []configuration {
	committed := max(n.commitIndex, n.hardState.CommittedConfigIndex)
	first := 0
	for first+1 < len(n.configurations) && n.configurations[first+1].index <= committed {
		first++
	}
	return n.configurations[first:]
}

// addConfigurations records the configurations among the entries that follow index.
func (n *Node) addConfigurations(index uint64, entries []Entry) {
	for _, entry := range entries {
		index++
		if len(entry.Members) > 0 {
			n.configurations = append(n.configurations, configuration{index, entry.Members})
		}
	}
}

// commitConfigurations discards the configurations before the newest committed one, and persists the index of that
// one: without it, a restarted node would need votes from removed members.
func (n *Node) commitConfigurations() {
	for len(n.configurations) > 1 && n.configurations[1].index <= n.commitIndex {
		n.configurations = n.configurations[1:]
		if index := n.configurations[0].index; index > n.hardState.CommittedConfigIndex {
			n.hardState.CommittedConfigIndex = index
			n.persistHardState()
		}
	}
}

// configurationDurable reports whether no membership change is in progress and a majority has persisted that the last
// one is committed. Before that, the loss of a member could leave only members that would still need votes from
// removed ones.
func (n *Node) configurationDurable() bool {
	active := n.activeConfigurations()
	return len(active) == 1 && active[0].hasQuorum(func(id ID) bool {
		if id == n.id {
			return n.persistedConfigIndex >= active[0].index
		}
		p := n.peers[id]
		return p != nil && p.persistedConfigIndex >= active[0].index
	})
}

// HasQuorum reports whether satisfies returns true for a majority of the members of each active
// configuration.
func (n *Node) HasQuorum(satisfies func(ID) bool) bool { return n.hasQuorum(satisfies) }

// IsVoter reports whether an ID is a voting member in an active configuration.
func (n *Node) IsVoter(id ID) bool { return n.isMember(id) }

// hasQuorum reports whether satisfies returns true for a majority of the members of each active
// configuration.
func (n *Node) hasQuorum(satisfies func(ID) bool) bool {
	for _, config := range n.activeConfigurations() {
		if !config.hasQuorum(satisfies) {
			return false
		}
	}
	return true
}

// allMembers reports whether satisfies returns true for all members of all active configurations. It returns false if
// there are no members.
func (n *Node) allMembers(satisfies func(ID) bool) bool {
	count := 0
	for _, config := range n.activeConfigurations() {
		for _, member := range config.members {
			count++
			if !satisfies(member) {
				return false
			}
		}
	}
	return count > 0
}

// isMember reports whether an ID is in an active configuration.
func (n *Node) isMember(id ID) bool {
	for _, config := range n.activeConfigurations() {
		if slices.Contains(config.members, id) {
			return true
		}
	}
	return false
}

// tickJoin broadcasts a request that the leader track this node. It does so twice per lease, so that a new leader,
// which knows no learners, hears from them before mustDeferShutdown stops waiting for them.
func (n *Node) tickJoin() {
	if n.nowMs >= n.nextJoinAtMs {
		n.nextJoinAtMs = n.nowMs + n.LeaseMs/2
		n.JoinRequests++
		n.send(Message{Type: MsgJoin, Index: n.log.lastIndex()})
		if n.joinContact != "" {
			n.send(Message{Type: MsgJoin, To: n.joinContact, Index: n.log.lastIndex()})
		}
	}
}

// stepJoin handles a join request: a leader starts to track the node that asks to join. That node knows only its seeds,
// and none of them may be the leader or able to reach it, so a follower forwards the request once.
func (n *Node) stepJoin(m Message) {
	joiner := m.From
	if m.Joiner != "" {
		joiner = m.Joiner
	} else if n.role == follower && n.leaderID != "" {
		n.JoinsForwarded++
		n.send(Message{Type: MsgJoin, To: n.leaderID, Joiner: joiner, Index: m.Index})
		return
	}
	if n.role != leader || n.isMember(joiner) || n.leadership.transferInProgress {
		return
	}
	if joiner.Address() == n.id.Address() { // an earlier process at this address
		n.DiscardedMessages++
		return
	}
	if n.peers[joiner] == nil && !n.addLearner(joiner, m.Index) {
		return
	}
	p := n.peers[joiner]
	n.sendHeartbeat(joiner)
	n.replicate(joiner, p)
}

// addLearner starts to track a node that asks to join, in place of any earlier learner at its address. lastIndex is the
// last index of its log. It returns false if too many learners are tracked already.
func (n *Node) addLearner(joiner ID, lastIndex uint64) bool {
	others := 0
	for id, p := range n.peers {
		switch {
		case !p.learner:
		case id.Address() == joiner.Address():
			delete(n.peers, id)
		default:
			others++
		}
	}
	if others >= maxLearners {
		n.DiscardedMessages++
		return false
	}
	n.LearnersAdded++
	n.peers[joiner] = &progress{nextIndex: min(lastIndex, n.log.lastIndex()) + 1, heardAtMs: n.nowMs, learner: true}
	return true
}

// responsiveLearners returns the learners heard from within LeaseMs, ordered by log length, longest first.
func (n *Node) responsiveLearners() (learners []ID) {
	for _, id := range n.peerIDs() {
		if p := n.peers[id]; p.learner && n.nowMs <= p.heardAtMs+n.LeaseMs {
			learners = append(learners, id)
		}
	}
	slices.SortStableFunc(learners, func(a, b ID) int { return cmp.Compare(n.peers[b].matchIndex, n.peers[a].matchIndex) })
	return learners
}

// promoteLearner makes a learner that holds all committed entries a voting member (4.2.1). Membership changes one at
// a time.
func (n *Node) promoteLearner() {
	if len(n.activeConfigurations()) > 1 || !n.HoldsLease(n.nowMs) {
		return
	}
	for _, id := range n.responsiveLearners() {
		if n.peers[id].matchIndex < n.commitIndex {
			continue
		}
		if members, ok := n.membersWithLearner(id); ok {
			n.appendEntry(Entry{Term: n.hardState.Term, Members: members})
			return
		}
	}
}

// membersWithLearner returns the members after the promotion of a learner. The learner replaces an earlier member at
// its address, a leaving member, or a silent one; otherwise it is added while there are fewer than MaxMembers, since
// more members would only enlarge the majorities. It returns false if there is no vacancy.
func (n *Node) membersWithLearner(learner ID) ([]ID, bool) {
	current := n.Members()
	next := slices.DeleteFunc(slices.Clone(current), func(member ID) bool {
		return member != n.id && learner.SharesAddressWith(member)
	})
	if len(next) == len(current) {
		replaced := n.replaceableMemberIndex(next)
		switch {
		case replaced >= 0:
			next = slices.Delete(next, replaced, replaced+1)
		case len(current) >= n.MaxMembers:
			return nil, false
		}
	}
	next = append(next, learner)
	slices.Sort(next)
	return next, true
}

// replaceableMemberIndex returns the position of a leaving member, or else of one that has been silent for more than
// RemovalTimeoutMs, or -1.
func (n *Node) replaceableMemberIndex(members []ID) int {
	if leaving := slices.IndexFunc(members, n.isLeaving); leaving >= 0 {
		return leaving
	}
	return slices.IndexFunc(members, func(member ID) bool {
		p := n.peers[member]
		return member != n.id && p != nil && n.nowMs > p.heardAtMs+n.RemovalTimeoutMs
	})
}
