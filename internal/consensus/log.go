package consensus

import "slices"

// Entry is a log entry. Its index is its position in the log.
type Entry struct {
	Term    uint64
	Data    []byte // state machine command; empty in a configuration and in the first entry of a term
	Members []ID   // voting members; non-empty only if the entry is a configuration
}

// raftLog is the in-memory log: a snapshot, the entries that follow it, and some of the entries that it replaces,
// kept for lagging members.
type raftLog struct {
	snapshot         Snapshot // Index is 0 if there is none
	retainedEntries  []Entry  // compacted entries, ending at snapshot.Index
	retainedPrevTerm uint64   // term of the entry before the first retained one
	entries          []Entry  // entries from snapshot.Index+1
}

func (l *raftLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// compactedIndex returns the index of the last entry that is no longer in memory.
func (l *raftLog) compactedIndex() uint64 { return l.snapshot.Index - uint64(len(l.retainedEntries)) }

// entry returns the entry at an index in (compactedIndex, lastIndex].
func (l *raftLog) entry(index uint64) Entry {
	if index <= l.snapshot.Index {
		return l.retainedEntries[index-l.compactedIndex()-1]
	}
	return l.entries[index-l.snapshot.Index-1]
}

// entriesBetween returns the entries in (after, through]. All must be above compactedIndex.
func (l *raftLog) entriesBetween(after, through uint64) []Entry {
	entries := make([]Entry, 0, through-after)
	for index := after + 1; index <= through; index++ {
		entries = append(entries, l.entry(index))
	}
	return entries
}

// term returns the term of the entry at an index, or false if it is unknown.
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

// dropRetained discards the first count retained entries.
func (l *raftLog) dropRetained(count int) {
	l.retainedPrevTerm = l.retainedEntries[count-1].Term
	l.retainedEntries = slices.Clone(l.retainedEntries[count:])
}

// CommittedAfter returns the data of each committed entry after index. ok is false if some of these entries have been
// compacted, or if index has not been committed yet.
func (n *Node) CommittedAfter(index uint64) (data [][]byte, ok bool) {
	if index < n.log.compactedIndex() || index > n.appliedIndex {
		return nil, false
	}
	for _, entry := range n.log.entriesBetween(index, n.appliedIndex) {
		data = append(data, entry.Data)
	}
	return data, true
}

// LatestSnapshot returns the latest snapshot. Its Index is 0 if there is none yet.
func (n *Node) LatestSnapshot() Snapshot { return n.log.snapshot }

// LogSizeSinceSnapshot returns the number of entries committed since the latest snapshot, and the total size of their data.
func (n *Node) LogSizeSinceSnapshot() (entries uint64, bytes int) {
	entries = n.appliedIndex - n.log.snapshot.Index
	for _, entry := range n.log.entries[:entries] {
		bytes += len(entry.Data)
	}
	return entries, bytes
}
