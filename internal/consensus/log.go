package consensus

import "slices"

// Entry is one entry of the log. Its index is its position.
type Entry struct {
	Term    uint64
	Data    []byte // for the state machine; empty in a configuration and in the first entry of a term
	Members []ID   // not empty: a configuration, whose voting members these are
}

// raftLog is the log in memory: a snapshot, the entries behind it, and some entries before its end for members that lag.
type raftLog struct {
	snapshot         Snapshot // Index 0: none
	retained         []Entry  // up to and with snapshot.Index
	retainedPrevTerm uint64   // term of the entry before retained
	entries          []Entry  // from snapshot.Index+1 on
}

func (l *raftLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// compactedIndex is the index of the last entry that is gone.
func (l *raftLog) compactedIndex() uint64 { return l.snapshot.Index - uint64(len(l.retained)) }

// entry returns the entry at an index above compactedIndex and up to lastIndex.
func (l *raftLog) entry(index uint64) Entry {
	if index <= l.snapshot.Index {
		return l.retained[index-l.compactedIndex()-1]
	}
	return l.entries[index-l.snapshot.Index-1]
}

// between returns the entries behind after, up to and with through, all above compactedIndex.
func (l *raftLog) between(after, through uint64) []Entry {
	entries := make([]Entry, 0, through-after)
	for index := after + 1; index <= through; index++ {
		entries = append(entries, l.entry(index))
	}
	return entries
}

// term returns the term of the entry at an index; false if that is not known here.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.compactedIndex() || index > l.lastIndex():
		return 0, false
	case index == l.compactedIndex():
		return l.retainedPrevTerm, true
	}
	return l.entry(index).Term, true
}

// lastTerm returns the term of the last entry.
func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// dropRetained forgets the first count of the retained entries.
func (l *raftLog) dropRetained(count int) {
	l.retainedPrevTerm = l.retained[count-1].Term
	l.retained = slices.Clone(l.retained[count:])
}

// CommittedAfter returns the data of the committed entries behind an index, one for each entry; ok is false if some of
// them have been compacted, or if index is not reached yet.
func (n *Node) CommittedAfter(index uint64) (data [][]byte, ok bool) {
	if index < n.log.compactedIndex() || index > n.appliedIndex {
		return nil, false
	}
	for _, entry := range n.log.between(index, n.appliedIndex) {
		data = append(data, entry.Data)
	}
	return data, true
}

// LatestSnapshot returns the newest snapshot. Its Index is 0 if there is none yet.
func (n *Node) LatestSnapshot() Snapshot { return n.log.snapshot }

// SinceSnapshot returns the number of entries committed since the newest snapshot, and the bytes of their data.
func (n *Node) SinceSnapshot() (entries uint64, bytes int) {
	entries = n.appliedIndex - n.log.snapshot.Index
	for _, entry := range n.log.entries[:entries] {
		bytes += len(entry.Data)
	}
	return entries, bytes
}
