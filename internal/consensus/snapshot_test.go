package consensus

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"

	"ferrypitch/internal/simulation/scheduler"
)

// corruptMessage drops or duplicates a message, or changes a snapshot chunk. It returns the number of copies to
// deliver.
func (s *simulation) corruptMessage(m *Message) (copies int) {
	if s.OneIn(20) {
		return 0
	}
	if m.Type == MsgSnapshotChunk && m.Chunk != nil && s.OneIn(12) {
		m.Chunk = s.corruptChunk(*m.Chunk)
	}
	if s.OneIn(6) {
		return 2
	}
	return 1
}

func (s *simulation) corruptChunk(chunk SnapshotChunk) *SnapshotChunk {
	chunk.Data = bytes.Clone(chunk.Data)
	switch kind := s.Rand.IntN(7); {
	case kind == 0 && len(chunk.Data) > 0:
		chunk.Data[s.Rand.IntN(len(chunk.Data))] ^= 4
	case kind == 1:
		chunk.Offset += uint64(s.Rand.IntN(300))
	case kind == 2:
		chunk.Size = 1 << 60
	case kind == 3:
		chunk.Digest[0]++
	case kind == 4:
		chunk.Index += uint64(s.Rand.IntN(1000))
	case kind == 5 && len(chunk.Data) > 1:
		chunk.Data = chunk.Data[1:]
	default:
		chunk.Data = append(chunk.Data, chunk.Data...)
	}
	return &chunk
}

// A member catches up in time after any downtime while entries are being committed, chunks of the snapshot are lost,
// duplicated, reordered or corrupted, and the leader changes.
func TestSimulateSnapshotTransferUnderFaults(t *testing.T) {
	installed, ignored, transfers := int64(0), int64(0), 0
	for seed := range max(8, simulationCount()/8) {
		s := newSimulation(uint64(seed), 3, 1)
		m, transferred := s.catchUpUnderFaults()
		installed, ignored = installed+m.node.SnapshotsInstalled, ignored+m.node.ChunksIgnored
		transfers += *transferred
		if len(s.Violations) > 0 {
			t.Fatalf("seed %d:\n%s", seed, s.report())
		}
	}
	require.Greater(t, installed, int64(simulationCount()/16), "snapshots")
	require.Positive(t, ignored)
	require.Positive(t, transfers)
}

// catchUpUnderFaults stops and restarts a member while the network injects faults. It returns the member and the
// number of leadership transfers.
func (s *simulation) catchUpUnderFaults() (m *simMember, transfers *int) {
	const catchUpMs = 4000
	s.faultFree = true
	for range 4 {
		s.After(500, s.propose)
	}
	s.RunFor(2500)
	m = s.members[s.Rand.IntN(3)]
	m.crash(s.OneIn(2))
	if s.OneIn(4) {
		m.disk, m.founders, m.id = RestoredState{}, nil, ID(m.address+"+w")
	}
	s.RunFor(s.Between(0, 9000))
	s.corrupt = s.corruptMessage
	m.start()
	for _, other := range s.members {
		other.node.ChunkBytes = 400
	}
	lastIndex := len(s.committed) - 1
	transfers = new(int)
	s.After(s.Between(0, 2000), func() {
		for _, other := range s.members {
			if other.running && other != m && other.node.IsLeader() && s.OneIn(2) {
				*transfers++
				other.handleReady(other.node.TransferLeadership(s.Now))
			}
		}
	})
	s.RunFor(catchUpMs)
	if int(m.node.CommitIndex()) < lastIndex {
		s.RecordViolation("%s has committed %d of %d after %d ms", m.id, m.node.CommitIndex(), lastIndex, catchUpMs)
	}
	s.corrupt = nil
	return m, transfers
}

// splitSnapshot splits a snapshot into chunks as a leader sends them.
func splitSnapshot(index uint64, data []byte, chunkBytes int) (chunks []*SnapshotChunk) {
	sum := blake3.Sum256(data)
	for offset := 0; offset < len(data); offset += chunkBytes {
		chunks = append(chunks, &SnapshotChunk{
			Index:   index,
			Term:    1,
			Members: []ID{"a", "b", "c"},
			Digest:  [16]byte(sum[:16]),
			Size:    uint64(len(data)),
			Offset:  uint64(offset),
			Data:    data[offset:min(len(data), offset+chunkBytes)],
		})
	}
	return chunks
}

// newFollower returns node a with an empty log in a group of a, b and c.
func newFollower() *Node {
	return New("a", DefaultConfig(1), RestoredState{}, []ID{"a", "b", "c"}, func() float64 { return 0 }, 1000)
}

func chunkMessage(from ID, term uint64, chunk *SnapshotChunk) Message {
	return Message{Type: MsgSnapshotChunk, From: from, To: "a", Term: term, Chunk: chunk}
}

// ackedOffset returns the offset acknowledged by a follower, or -1 if it sends no acknowledgement.
func ackedOffset(ready Ready) int {
	for _, m := range ready.Messages {
		if m.Type == MsgSnapshotChunkAck {
			return int(m.Chunk.Offset)
		}
	}
	return -1
}

func TestSnapshotTransferContinuesUnderNewLeader(t *testing.T) {
	data := bytes.Repeat([]byte("state"), 100)
	chunks := splitSnapshot(9, data, 100)
	older := splitSnapshot(8, data[5:], 100)
	node := newFollower()
	for i, chunk := range chunks[:3] {
		require.Equal(t, 100*(i+1), ackedOffset(node.Step(chunkMessage("b", 1, chunk), 1010)))
	}
	require.Equal(t, 300, ackedOffset(node.Step(chunkMessage("b", 1, chunks[1]), 1020)), "a duplicate")
	require.Equal(t, 300, ackedOffset(node.Step(chunkMessage("b", 1, chunks[4]), 1020)), "out of order")
	require.Equal(t, 300, ackedOffset(node.Step(chunkMessage("c", 2, chunks[0]), 1030)), "a transfer continues under a new leader")
	require.Equal(t, -1, ackedOffset(node.Step(chunkMessage("b", 1, chunks[3]), 1040)), "a former leader")
	require.Equal(t, -1, ackedOffset(node.Step(chunkMessage("c", 2, older[0]), 1040)), "an older snapshot, late")
	require.Equal(t, 400, ackedOffset(node.Step(chunkMessage("c", 2, chunks[3]), 1050)))
	ready := node.Step(chunkMessage("c", 2, chunks[4]), 1060)
	require.Len(t, ready.Committed, 1)
	require.Equal(t, data, ready.Committed[0].Snapshot.Data)
	require.EqualValues(t, 4, node.ChunksIgnored)
}

// A duplicate of a snapshot, or of entries that it replaces, is not acknowledged before the snapshot is on disk.
func TestSnapshotIsAcknowledgedOncePersisted(t *testing.T) {
	node := newFollower()
	chunk := splitSnapshot(9, []byte("state"), 100)[0]
	ready := node.Step(chunkMessage("b", 1, chunk), 1010)
	seq := ready.Writes[len(ready.Writes)-1].Seq
	for _, ready := range []Ready{
		ready,
		node.Step(chunkMessage("b", 1, chunk), 1020),
		node.Step(Message{Type: MsgAppend, From: "b", To: "a", Term: 1, Index: 2, PrevTerm: 1, Entries: []Entry{{Term: 1}}}, 1030),
	} {
		accepted := slices.ContainsFunc(ready.Messages, func(m Message) bool { return m.Type == MsgAppendAccepted })
		require.False(t, accepted, "before it is on disk")
	}
	ready = node.Persisted(seq, 1040)
	last := ready.Messages[len(ready.Messages)-1]
	require.Equal(t, MsgAppendAccepted, last.Type)
	require.EqualValues(t, 9, last.Index)
}

func TestInvalidSnapshotChunksAreIgnored(t *testing.T) {
	data := bytes.Repeat([]byte("x"), 1000)
	for name, change := range map[string]func(chunk *SnapshotChunk){
		"snapshot too large":       func(chunk *SnapshotChunk) { chunk.Size = maxSnapshotBytes + 1 },
		"offset behind the end":    func(chunk *SnapshotChunk) { chunk.Offset = chunk.Size + 1 },
		"more data than the size":  func(chunk *SnapshotChunk) { chunk.Size = 99 },
		"chunk too large":          func(chunk *SnapshotChunk) { chunk.Data, chunk.Size = make([]byte, maxChunkBytes+1), maxSnapshotBytes },
		"too many members":         func(chunk *SnapshotChunk) { chunk.Members = make([]ID, maxSnapshotMembers+1) },
		"not the first to be sent": func(chunk *SnapshotChunk) { chunk.Offset = 100 },
	} {
		node := newFollower()
		chunk := *splitSnapshot(9, data, 100)[0]
		change(&chunk)
		node.Step(chunkMessage("b", 1, &chunk), 1010)
		require.Nil(t, node.incomingTransfer, name)
		require.EqualValues(t, 1, node.ChunksIgnored, name)
	}
	node := newFollower()
	node.Step(chunkMessage("b", 1, nil), 1010)
	require.EqualValues(t, 1, node.ChunksIgnored, "no chunk")
	chunk := splitSnapshot(9, data, 1000)[0]
	chunk.Digest[0]++
	ready := node.Step(chunkMessage("b", 1, chunk), 1010)
	require.Empty(t, ready.Committed, "digest mismatch")
	require.Equal(t, 0, ackedOffset(ready), "the transfer restarts")
	require.Nil(t, node.incomingTransfer)
}

// slowTransfer is a leader and a learner with an empty log, on a link that delays chunks far more than entries.
type slowTransfer struct {
	t               *testing.T
	nowMs           int64
	leader, learner *Node
	inFlight        []delayedMessage
}

type delayedMessage struct {
	arrivesAtMs int64
	to          *Node
	message     Message
}

// runSlowTransfer simulates 11 s in which the leader commits entries, takes snapshots, and sends one to the learner.
func runSlowTransfer(t *testing.T, transferRetainedBytes int) (leader, learner *Node) {
	config := DefaultConfig(1)
	config.ChunkBytes, config.RetainedBytes, config.TransferRetainedBytes = 100, 200, transferRetainedBytes
	config.RemovalTimeoutMs = 1 << 40
	random := func() float64 { return 0 }
	s := &slowTransfer{
		t:       t,
		nowMs:   1000,
		leader:  New("a", config, RestoredState{}, []ID{"a"}, random, 1000),
		learner: New("b+1", config, RestoredState{}, nil, random, 1000),
	}
	for ; s.nowMs < 12000; s.nowMs += 5 {
		s.handleReady(s.leader, s.leader.Tick(s.nowMs))
		if s.nowMs > 3000 { // the leader's log no longer holds the first entries
			s.handleReady(s.learner, s.learner.Tick(s.nowMs))
		}
		if s.leader.IsLeader() {
			_, ready := s.leader.Propose(fmt.Appendf(nil, "%08d", s.nowMs), s.nowMs)
			s.handleReady(s.leader, ready)
		}
		s.deliver()
	}
	return s.leader, s.learner
}

func (s *slowTransfer) handleReady(node *Node, ready Ready) {
	for _, m := range ready.Messages {
		s.send(node, m)
	}
	for _, committed := range ready.Committed {
		if node == s.leader && committed.Index%40 == 0 {
			s.compact(committed.Index)
		}
	}
	for _, write := range ready.Writes {
		s.handleReady(node, node.Persisted(write.Seq, s.nowMs))
	}
}

func (s *slowTransfer) send(from *Node, m Message) {
	to := s.learner
	if from == s.learner {
		to = s.leader
	}
	delayMs := int64(5)
	if m.Type == MsgSnapshotChunk {
		delayMs = 60
	}
	s.inFlight = append(s.inFlight, delayedMessage{s.nowMs + delayMs, to, m})
}

// compact makes the leader take a snapshot, and asserts that it retains no more entries than its limits allow.
func (s *slowTransfer) compact(index uint64) {
	state := bytes.Repeat([]byte("s"), 3000+int(index))
	s.handleReady(s.leader, s.leader.Compact(index, state, 10, s.nowMs))
	const entryBytes = 8
	maxBytes := max(s.leader.TransferRetainedBytes, s.leader.RetainedBytes)
	require.LessOrEqual(s.t, len(s.leader.log.retainedEntries)*entryBytes, maxBytes+entryBytes)
}

func (s *slowTransfer) deliver() {
	messages := s.inFlight
	s.inFlight = nil
	for _, m := range messages {
		if m.arrivesAtMs > s.nowMs {
			s.inFlight = append(s.inFlight, m)
		} else {
			s.handleReady(m.to, m.to.Step(m.message, s.nowMs))
		}
	}
}

// Entries are committed while a member receives a snapshot of 30 chunks. The entries after the snapshot are retained
// up to a limit, so one transfer is enough. If the limit is too small, the transfer restarts without further loss.
func TestEntriesBehindTransferAreRetained(t *testing.T) {
	leader, learner := runSlowTransfer(t, 1<<20)
	require.EqualValues(t, 1, leader.SnapshotTransfers)
	require.Greater(t, learner.CommitIndex()+40, leader.CommitIndex())
	leader, _ = runSlowTransfer(t, 400)
	require.Greater(t, leader.SnapshotTransfers, int64(1), "the transfer must restart since the entries after the first snapshot are gone")
}

// Compacted entries are retained in memory for lagging members and proxies, limited by number and size.
func TestRetainedEntriesAreBounded(t *testing.T) {
	config := DefaultConfig(1)
	config.RetainedBytes = 500
	node := New("a", config, RestoredState{}, []ID{"a"}, func() float64 { return 0 }, 1000)
	persistAll := func(ready Ready) {
		for len(ready.Writes) > 0 {
			ready = node.Persisted(ready.Writes[len(ready.Writes)-1].Seq, 2000)
		}
	}
	propose := func() {
		_, ready := node.Propose(make([]byte, 100), 2000)
		persistAll(ready)
	}
	persistAll(node.Tick(1500))
	for range 30 {
		propose()
	}
	for _, test := range []struct{ retain, retained uint64 }{{20, 5}, {3, 3}} {
		propose()
		last := node.CommitIndex()
		persistAll(node.Compact(last, nil, test.retain, 2000))
		data, ok := node.CommittedAfter(last - test.retained)
		require.True(t, ok)
		require.Len(t, data, int(test.retained))
		_, ok = node.CommittedAfter(last - test.retained - 1)
		require.False(t, ok, "compacted")
		_, ok = node.CommittedAfter(last + 1)
		require.False(t, ok, "not committed yet")
	}
}

// A member whose state is wrong receives the leader's snapshot although it holds the whole log.
func TestRequestSnapshotReplacesState(t *testing.T) {
	s := newSimulation(5, 3, 1)
	s.faultFree = true
	s.After(500, s.propose)
	s.RunFor(9000)
	for _, m := range s.members {
		if m.node.Leader() != m.id {
			before := m.node.SnapshotsInstalled
			m.handleReady(m.node.RequestSnapshot(s.Now))
			s.RunFor(3000)
			require.Equal(t, before+1, m.node.SnapshotsInstalled)
			require.False(t, m.node.snapshotWanted)
		}
	}
	s.checkFinalState()
	require.Empty(t, s.Violations, s.report())
}

// A member whose disk was replaced by an older copy catches up even if no further entries are proposed.
func TestMemberWithOlderDiskCatchesUp(t *testing.T) {
	s := newSimulation(5, 3, 1)
	s.faultFree = true
	s.After(500, s.propose)
	s.RunFor(3000)
	var restored *simMember
	for _, m := range s.members {
		if !m.node.IsLeader() {
			restored = m
		}
	}
	olderDisk := restored.disk
	olderDisk.Entries = slices.Clone(olderDisk.Entries)
	s.RunFor(3000)
	s.Scheduler = scheduler.New(5, s.Now, 1) // without proposals
	restored.crash(true)
	restored.disk = olderDisk
	for _, m := range s.members {
		if m != restored {
			m.tick(m.incarnation)
		}
	}
	restored.start()
	s.RunFor(3000)
	require.Equal(t, len(s.committed)-1, int(restored.node.CommitIndex()))
	require.Empty(t, s.Violations, s.report())
}

// Entries that a member has acknowledged and then lost do not count towards a majority.
func TestRejectedAppendLowersMatchIndex(t *testing.T) {
	node := newFollower()
	node.hardState.Term, node.role, node.leaderID, node.leaderSeen, node.leadership.startedAtMs = 1, leader, "a", true, 2000
	node.peers = map[ID]*progress{}
	node.syncPeers()
	var ready Ready
	for range 5 {
		_, ready = node.Propose([]byte("x"), 2000)
	}
	respond := func(response MessageType, index uint64) {
		node.Step(Message{Type: response, From: "b", To: "a", Term: 1, Index: index}, 2010)
	}
	respond(MsgAppendAccepted, 5)
	respond(MsgAppendRejected, 2)
	node.Persisted(ready.Writes[len(ready.Writes)-1].Seq, 2020)
	require.EqualValues(t, 2, node.CommitIndex(), "only the leader holds the remaining entries")
	respond(MsgAppendAccepted, 5)
	require.EqualValues(t, 5, node.CommitIndex())
}

func FuzzSnapshotChunk(f *testing.F) {
	f.Add(uint64(9), uint64(5), uint64(0), []byte("state"), uint64(1))
	f.Add(uint64(9), uint64(1)<<60, uint64(3), []byte("state"), uint64(2))
	f.Fuzz(func(t *testing.T, index, size, offset uint64, data []byte, term uint64) {
		node := newFollower()
		chunks := splitSnapshot(9, bytes.Repeat([]byte("state"), 3), 5)
		fuzzed := &SnapshotChunk{Index: index, Term: 1, Size: size, Offset: offset, Data: data, Digest: chunks[0].Digest}
		for i, chunk := range []*SnapshotChunk{chunks[0], fuzzed, chunks[1], chunks[2]} {
			ready := node.Step(chunkMessage("b", max(1, term*uint64(i&1)), chunk), 1010)
			for _, committed := range ready.Committed {
				if sum := blake3.Sum256(committed.Snapshot.Data); [16]byte(sum[:16]) != chunks[0].Digest {
					t.Fatalf("%q is installed", committed.Snapshot.Data)
				}
			}
			if node.incomingTransfer != nil && len(node.incomingTransfer.data) > int(node.incomingTransfer.Size) {
				t.Fatal("more data than the snapshot's size")
			}
		}
	})
}
