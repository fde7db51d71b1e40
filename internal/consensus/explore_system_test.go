package consensus

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// founderCount is how many replicas are members at first. The others are learners.
const founderCount = 3

// system is three members and two learners at one moment. Its usual course: messages arrive and writes are synced in
// their order, and when nothing is pending, a heartbeat interval passes. At each moment the system may deviate from that
// course, a bounded number of times: a message is late or lost, a disk is late, time passes or a lease ends before
// messages arrive, a machine loses power, its disk, or is lost, a member leaves, an entry is proposed. An explorer visits
// all systems that come about, with real nodes; those that are alike in every respect once.
type system struct {
	replicas       []*replica // never changed: an event puts a copy in its place
	pending        []pendingEvent
	nowMs          int64
	committed      []string        // by index
	configurations map[uint64][]ID // those committed, by index
	unrecovered    ID              // a member whose loss has not been made up for
	lostAtMs       int64
	unreplaced     ID   // a member that may shut down without a replacement
	tooManyLosses  bool // at once; nothing is asserted any more
	faults         faultCounts
	cutOff         replicaSet // these and the others don't hear each other
	proposals      int
	heartbeats     int
	previous       *system
	event          string // that led here from previous
}

// faultCounts counts the deviations of which a course has only so many.
type faultCounts struct{ powerLosses, losses, leaves, leaseEnds, proposals int8 }

// replicaSet is a set of replicas, by their places.
type replicaSet uint8

func setOf(places ...int) (set replicaSet) {
	for _, i := range places {
		set |= 1 << i
	}
	return set
}

func (r replicaSet) has(i int) bool { return r&(1<<i) != 0 }

// replica is a machine with its process and disk.
type replica struct {
	id       ID
	founders []ID
	node     *Node // nil: lost, or shut down
	disk     RestoredState
	unsynced []Write
	hash     uint64
	diskHash uint64
}

// pendingEvent is a message in flight, or the sync of a disk.
type pendingEvent struct {
	replica int
	message *Message // nil: a sync
	hash    uint64
}

// cloneNode copies all that a call may change. The entries of a Message or Write are never changed.
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

// successor returns a copy of the system, for an event to change.
func (s *system) successor(event string) *system {
	next := *s
	next.replicas, next.pending, next.committed = slices.Clone(s.replicas), slices.Clone(s.pending), slices.Clip(s.committed)
	next.previous, next.event = s, event
	return &next
}

// leaderIndex returns the place of the replica that leads; -1 if none does.
func (s *system) leaderIndex() int {
	return slices.IndexFunc(s.replicas, func(r *replica) bool { return r.node != nil && r.node.IsLeader() })
}

// followerIndex returns the place of a founder that doesn't lead, while a founder does.
func (s *system) followerIndex() int { return (s.leaderIndex() + 1) % founderCount }

// isMember says whether any node counts an ID among the members.
func (s *system) isMember(id ID) bool {
	return slices.ContainsFunc(s.replicas, func(r *replica) bool { return r.node != nil && r.node.isMember(id) })
}

// latestConfigurationIndex returns the index of the newest committed configuration.
func (s *system) latestConfigurationIndex() uint64 {
	return slices.Max(slices.Collect(maps.Keys(s.configurations)))
}

// noteUnreplaced notes that a member may shut down without a replacement. That is a loss from now on, and one too many if
// another was lost so lately that it could not be known.
func (s *system) noteUnreplaced(id ID) {
	s.unreplaced = id
	switch {
	case s.unrecovered == "":
		s.unrecovered, s.lostAtMs = id, s.nowMs
	case s.unrecovered != id && s.nowMs <= s.lostAtMs+2*heartbeatMs:
		s.tooManyLosses = true
	}
}

// recovered says whether the last loss is made up for: all members by the newest configuration are there, a majority of
// them has it on disk as committed, and no change is under way that would make the lost one a member again.
func (s *system) recovered() bool {
	newest := s.latestConfigurationIndex()
	for _, event := range s.pending {
		if event.message != nil && namesMember(event.message.Entries, event.message.Index+1, newest, s.unrecovered) {
			return false
		}
	}
	present, informed := 0, 0
	for _, r := range s.replicas {
		if r.node == nil {
			continue
		}
		if namesMember(r.node.log.entries, 1, newest, s.unrecovered) || namesMember(r.disk.Entries, 1, newest, s.unrecovered) {
			return false
		}
		if !slices.Contains(s.configurations[newest], r.id) || r.id == s.unreplaced {
			continue
		}
		present++
		if r.disk.HardState.CommittedConfigIndex >= newest {
			informed++
		}
	}
	return present == len(s.configurations[newest]) && 2*informed > present
}

// namesMember says whether a configuration behind an index, among entries that begin at firstIndex, has a member.
func namesMember(entries []Entry, firstIndex, after uint64, member ID) bool {
	skip := min(uint64(len(entries)), after+1-min(firstIndex, after+1))
	return slices.ContainsFunc(entries[skip:], func(entry Entry) bool { return slices.Contains(entry.Members, member) })
}

// describe is what the disks hold, for reports.
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

// path is the events that led to the system.
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
