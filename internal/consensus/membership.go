package consensus

import (
	"cmp"
	"slices"
	"strings"
)

// maxLearners is how many learners a leader tracks.
const maxLearners = 32

// ID identifies a member for as long as it has the same disk: an address or, if the member joined as a learner, an address
// and a random suffix behind "+".
type ID string

// Address returns the address where the member is reached.
func (id ID) Address() string {
	address, _, _ := strings.Cut(string(id), "+")
	return address
}

// TakesPlaceOf says whether the processes of two IDs cannot run at the same time, since they listen at the same address: that of
// this ID runs, so that of the other has ended.
func (id ID) TakesPlaceOf(other ID) bool { return id != other && id.Address() == other.Address() }

// configuration is the set of voting members from an entry on (4.1).
type configuration struct {
	index   uint64
	members []ID
}

func (c configuration) hasQuorum(has func(ID) bool) bool {
	count := 0
	for _, member := range c.members {
		if has(member) {
			count++
		}
	}
	return 2*count > len(c.members)
}

// latestConfiguration is the newest one in the log, committed or not: it counts from when it is appended (4.1).
func (n *Node) latestConfiguration() configuration { return n.configurations[len(n.configurations)-1] }

// Members returns the voting members by the newest configuration in the log. The slice must not be changed.
func (n *Node) Members() []ID { return n.latestConfiguration().members }

// activeConfigurations are the newest committed one and all behind it. Majorities of each are needed (4.3).
func (n *Node) activeConfigurations() []configuration {
	committed := max(n.commitIndex, n.hardState.CommittedConfigIndex)
	first := 0
	for first+1 < len(n.configurations) && n.configurations[first+1].index <= committed {
		first++
	}
	return n.configurations[first:]
}

// addConfigurations notes the configurations among entries that follow the log's entry at index.
func (n *Node) addConfigurations(index uint64, entries []Entry) {
	for _, entry := range entries {
		index++
		if len(entry.Members) > 0 {
			n.configurations = append(n.configurations, configuration{index, entry.Members})
		}
	}
}

// commitConfigurations forgets those before the newest committed one. Its index is written to disk: a node that did not
// know it after a restart would need votes of members that are removed.
func (n *Node) commitConfigurations() {
	for len(n.configurations) > 1 && n.configurations[1].index <= n.commitIndex {
		n.configurations = n.configurations[1:]
		if index := n.configurations[0].index; index > n.hardState.CommittedConfigIndex {
			n.hardState.CommittedConfigIndex = index
			n.persistHardState()
		}
	}
}

// configurationDurable says that no change of members is under way, and that a majority has on disk that the last one was
// committed. Before that, the loss of a member could leave only such as would still need votes of those removed.
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

// HasQuorum says whether a majority of the members, in each active configuration, has something.
func (n *Node) HasQuorum(has func(ID) bool) bool { return n.hasQuorum(has) }

// IsVoter says whether an ID is a voting member of an active configuration.
func (n *Node) IsVoter(id ID) bool { return n.isMember(id) }

// hasQuorum says whether a majority of each active configuration has something.
func (n *Node) hasQuorum(has func(ID) bool) bool {
	for _, config := range n.activeConfigurations() {
		if !config.hasQuorum(has) {
			return false
		}
	}
	return true
}

// everyMember says whether all members of all active configurations have something; false if there are no members.
func (n *Node) everyMember(has func(ID) bool) bool {
	count := 0
	for _, config := range n.activeConfigurations() {
		for _, member := range config.members {
			count++
			if !has(member) {
				return false
			}
		}
	}
	return count > 0
}

// isMember says whether an ID is in an active configuration.
func (n *Node) isMember(id ID) bool {
	for _, config := range n.activeConfigurations() {
		if slices.Contains(config.members, id) {
			return true
		}
	}
	return false
}

// tickJoin asks a leader, wherever it is, to track this node: twice a lease, so that a new leader, which knows no learners,
// hears of them before mustStay stops waiting for them.
func (n *Node) tickJoin() {
	if n.nowMs >= n.nextJoinAtMs {
		n.nextJoinAtMs = n.nowMs + n.LeaseMs/2
		n.send(Message{Type: MsgJoin, Index: n.log.lastIndex()})
	}
}

// stepJoin has a leader track a learner. Its sender knows only its seeds, of which none need lead or reach the leader, so
// a follower forwards the message, once.
func (n *Node) stepJoin(m Message) {
	if n.role == follower && n.leaderID != "" && m.To == "" {
		m.To = n.leaderID
		n.ready.Messages = append(n.ready.Messages, m)
		return
	}
	if n.role != leader || n.isMember(m.From) || n.leadership.transferring {
		return
	}
	if n.peers[m.From] == nil && !n.addLearner(m) {
		return
	}
	p := n.peers[m.From]
	n.sendHeartbeat(m.From)
	n.replicate(m.From, p)
}

// addLearner tracks the sender of a MsgJoin, in place of earlier learners at its address, unless there are too many.
func (n *Node) addLearner(m Message) bool {
	others := 0
	for id, p := range n.peers {
		switch {
		case !p.learner:
		case id.Address() == m.From.Address():
			delete(n.peers, id)
		default:
			others++
		}
	}
	if others >= maxLearners {
		n.DiscardedMessages++
		return false
	}
	n.peers[m.From] = &progress{nextIndex: min(m.Index, n.log.lastIndex()) + 1, heardAtMs: n.nowMs, learner: true}
	return true
}

// responsiveLearners returns the learners that were heard lately, those with the longest logs first.
func (n *Node) responsiveLearners() (learners []ID) {
	for _, id := range n.peerIDs() {
		if p := n.peers[id]; p.learner && n.nowMs <= p.heardAtMs+n.LeaseMs {
			learners = append(learners, id)
		}
	}
	slices.SortStableFunc(learners, func(a, b ID) int { return cmp.Compare(n.peers[b].matchIndex, n.peers[a].matchIndex) })
	return learners
}

// promoteLearner makes a learner that holds all committed entries a member (4.2.1), one change at a time.
func (n *Node) promoteLearner() {
	if len(n.activeConfigurations()) > 1 || !n.HoldsLease(n.nowMs) {
		return
	}
	for _, id := range n.responsiveLearners() {
		if n.peers[id].matchIndex < n.commitIndex {
			continue
		}
		if members, ok := n.membersWith(id); ok {
			n.appendEntry(Entry{Term: n.hardState.Term, Members: members})
			return
		}
	}
}

// membersWith returns the members with a learner among them: in the place of an earlier member at its address, of one
// that is leaving, or of one that is silent, or in addition while there are fewer than MaxMembers. Beyond that, an
// addition would only enlarge the majorities. It returns false if there is no place.
func (n *Node) membersWith(learner ID) ([]ID, bool) {
	current := n.Members()
	next := slices.DeleteFunc(slices.Clone(current), func(member ID) bool {
		return member != n.id && learner.TakesPlaceOf(member)
	})
	if len(next) == len(current) {
		replaced := n.replaceableMember(next)
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

// replaceableMember returns the place of a member that is leaving, else of one that has been silent for long, else -1.
func (n *Node) replaceableMember(members []ID) int {
	if leaving := slices.IndexFunc(members, n.isLeaving); leaving >= 0 {
		return leaving
	}
	return slices.IndexFunc(members, func(member ID) bool {
		p := n.peers[member]
		return member != n.id && p != nil && n.nowMs > p.heardAtMs+n.RemovalTimeoutMs
	})
}
