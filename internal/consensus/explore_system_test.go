package consensus

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// founderCount is the number of initial members. The other replicas are learners.
const founderCount = 3

// system is the state of three members and two learners at one point in time. On its default path, messages are
// delivered and writes are synced in order, and when no event is pending, time advances by a heartbeat interval. At
// each point the system may deviate from that path, a bounded number of times: a message or a sync is delayed, a
// message is lost, time passes or a lease expires before messages are delivered, a machine loses power or its disk or
// is lost, a member leaves, or an entry is proposed. An explorer visits all reachable systems with real nodes, and
// identical systems once.
type system struct {
	replicas          []*replica // copy on write: an event replaces a replica instead of changing it
	pending           []pendingEvent
	nowMs             int64
	committed         []string        // committed entries by index
	configurations    map[uint64][]ID // committed configurations by index
	unrecoveredMember ID              // lost member whose loss the group has not recovered from
	lostAtMs          int64           // when unrecoveredMember was lost
	unreplacedMember  ID              // member that may shut down without a replacement
	tooManyLosses     bool            // more simultaneous losses than the group tolerates; nothing is asserted from then on
	faults            faultCounts
	partition         replicaSet // replicas that cannot communicate with the others; 0 if there is no partition
	proposals         int
	heartbeats        int
	previous          *system
	event             string // event that led from previous to this system
}

// faultCounts counts the faults and proposals that are limited on each path.
type faultCounts struct{ powerLosses, losses, leaves, leaseExpiries, proposals int8 }

// replicaSet is a set of replica positions.
type replicaSet uint8

func setOf(positions ...int) (set replicaSet) {
	for _, i := range positions {
		set |= 1 << i
	}
	return set
}

func (r replicaSet) has(i int) bool { return r&(1<<i) != 0 }

// replica is a machine with its process and disk.
type replica struct {
	id       ID
	founders []ID
	node     *Node // nil if lost or shut down
	disk     RestoredState
	unsynced []Write
	hash     uint64
	diskHash uint64
}

// pendingEvent is a message in flight or a pending disk sync.
type pendingEvent struct {
	replica int
	message *Message // nil for a sync
	hash    uint64
}

// cloneNode copies a node with all state that a call may change. The entries of a Message or Write are immutable.
func cloneNode(node *Node) *Node {
	clone := *node
	clone.log.entries = slices.Clone(node.log.entries)
	clone.pendingWrites = slices.Clone(node.pendingWrites)
	clone.configurations = slices.Clone(node.configurations)
	clone.election.votes = maps.Clone(node.election.votes)
	clone.election.coldStarts = maps.Clone(node.election.coldStarts)
	clone.peers = maps.Clone(node.peers)
	for id, p := range clone.peers {
		peer := *p
		clone.peers[id] = &peer
	}
	return &clone
}

// successor returns a copy of the system to which an event can be applied.
func (s *system) successor(event string) *system {
	next := *s
	next.replicas, next.pending, next.committed = slices.Clone(s.replicas), slices.Clone(s.pending), slices.Clip(s.committed)
	next.previous, next.event = s, event
	return &next
}

// leaderIndex returns the position of the leader, or -1 if there is none.
func (s *system) leaderIndex() int {
	return slices.IndexFunc(s.replicas, func(r *replica) bool { return r.node != nil && r.node.IsLeader() })
}

// followerIndex returns the position of a founder that is not the leader, given that a founder is.
func (s *system) followerIndex() int { return (s.leaderIndex() + 1) % founderCount }

// isMember reports whether any node considers an ID a member.
func (s *system) isMember(id ID) bool {
	return slices.ContainsFunc(s.replicas, func(r *replica) bool { return r.node != nil && r.node.isMember(id) })
}

// latestConfigurationIndex returns the index of the newest committed configuration.
func (s *system) latestConfigurationIndex() uint64 {
	return slices.Max(slices.Collect(maps.Keys(s.configurations)))
}

// noteUnreplaced records that a member may shut down without a replacement. This counts as a loss, and as one too
// many if another member was lost within the last two heartbeat intervals, so that the leader could not know.
func (s *system) noteUnreplaced(id ID) {
	s.unreplacedMember = id
	switch {
	case s.unrecoveredMember == "":
		s.unrecoveredMember, s.lostAtMs = id, s.nowMs
	case s.unrecoveredMember != id && s.nowMs <= s.lostAtMs+2*heartbeatMs:
		s.tooManyLosses = true
	}
}

// recovered reports whether the group has recovered from the last loss: all members of the newest configuration are
// running, a majority of them has persisted it as committed, and no change in progress would make the lost one a
// member again.
func (s *system) recovered() bool {
	newest := s.latestConfigurationIndex()
	for _, event := range s.pending {
		if event.message != nil && includesMember(event.message.Entries, event.message.Index+1, newest, s.unrecoveredMember) {
			return false
		}
	}
	present, informed := 0, 0
	for _, r := range s.replicas {
		if r.node == nil {
			continue
		}
		if includesMember(r.node.log.entries, 1, newest, s.unrecoveredMember) || includesMember(r.disk.Entries, 1, newest, s.unrecoveredMember) {
			return false
		}
		if !slices.Contains(s.configurations[newest], r.id) || r.id == s.unreplacedMember {
			continue
		}
		present++
		if r.disk.HardState.CommittedConfigIndex >= newest {
			informed++
		}
	}
	return present == len(s.configurations[newest]) && 2*informed > present
}

// includesMember reports whether any configuration after an index includes a member. The entries begin at firstIndex.
func includesMember(entries []Entry, firstIndex, after uint64, member ID) bool {
	skip := min(uint64(len(entries)), after+1-min(firstIndex, after+1))
	return slices.ContainsFunc(entries[skip:], func(entry Entry) bool { return slices.Contains(entry.Members, member) })
}

// describe summarizes the contents of the disks.
func (s *system) describe() string {
	var descriptions []string
	for _, r := range s.replicas {
		if r.node != nil {
			descriptions = append(descriptions, fmt.Sprintf("%s: term %d, %d entries, committed configuration %d, members %v", r.id,
				r.disk.HardState.Term, len(r.disk.Entries), r.disk.HardState.CommittedConfigIndex, r.node.Members()))
		}
	}
	return strings.Join(descriptions, "; ")
}

// path returns the events that led to the system.
func (s *system) path() []string {
	var events []string
	for ; s != nil; s = s.previous {
		if s.event != "" {
			events = append(events, fmt.Sprintf("%d ms: %s, with %d pending, leader %d", s.nowMs, s.event, len(s.pending), s.leaderIndex()))
		}
	}
	slices.Reverse(events)
	return events
}
