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

// mangled has messages lost, doubled and reordered, and parts of snapshots changed on their way.
func (w *world) mangled(m *Message) int {
	switch {
	case w.OneIn(20):
		return 0
	case m.Type == MsgSnapshotChunk && m.Chunk != nil && w.OneIn(12):
		p := *m.Chunk
		p.Data = bytes.Clone(p.Data)
		switch k := w.Rand.IntN(7); {
		case k == 0 && len(p.Data) > 0:
			p.Data[w.Rand.IntN(len(p.Data))] ^= 4
		case k == 1:
			p.Offset += uint64(w.Rand.IntN(300))
		case k == 2:
			p.Size = 1 << 60
		case k == 3:
			p.Digest[0]++
		case k == 4:
			p.Index += uint64(w.Rand.IntN(1000))
		case k == 5 && len(p.Data) > 1:
			p.Data = p.Data[1:]
		default:
			p.Data = append(p.Data, p.Data...)
		}
		m.Chunk = &p
	}
	if w.OneIn(6) {
		return 2
	}
	return 1
}

// A member that was away for any number of changes is whole again within CatchupS, under a storm of changes, though parts
// of the snapshot are lost, doubled, reordered or changed and the leader changes midway.
func TestAMemberThatLagsIsWholeAgainWhateverBefallsItsSnapshot(t *testing.T) {
	const catchup = 4000
	installed, ignored, ledAnew := int64(0), int64(0), 0
	for seed := range max(8, worlds()/8) {
		w := newWorld(uint64(seed), 3, 1)
		w.calm = true
		for range 4 {
			w.After(500, w.propose)
		}
		w.RunFor(2500)
		m := w.members[w.Rand.IntN(3)]
		m.crash(w.OneIn(2))
		if w.OneIn(4) {
			m.disk, m.founder, m.id = RestoredState{}, nil, ID(m.address+"+w")
		}
		w.RunFor(w.Between(0, 9000))
		w.mangle = w.mangled
		m.start()
		m.core.ChunkBytes = 400
		for _, o := range w.members {
			o.core.ChunkBytes = 400
		}
		was := len(w.order) - 1
		w.After(w.Between(0, 2000), func() {
			for _, l := range w.members {
				if l.up && l != m && l.core.IsLeader() && w.OneIn(2) {
					ledAnew++
					l.carry(l.core.TransferLeadership(w.Now))
				}
			}
		})
		w.RunFor(catchup)
		installed, ignored = installed+m.core.SnapshotsInstalled, ignored+m.core.ChunksIgnored
		if int(m.core.CommitIndex()) < was {
			w.Violate("%s has delivered %d of %d after %d ms", m.id, m.core.CommitIndex(), was, catchup)
		}
		w.mangle = nil
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d:\n%s", seed, w.report())
		}
	}
	require.Greater(t, installed, int64(worlds()/16), "snapshots")
	require.Positive(t, ignored)
	require.Positive(t, ledAnew)
}

// parts are those of a snapshot, as a leader sends them.
func parts(index uint64, state []byte, size int) (all []*SnapshotChunk) {
	sum := blake3.Sum256(state)
	for at := 0; at < len(state); at += size {
		all = append(all, &SnapshotChunk{
			Index: index, Term: 1, Members: []ID{"a", "b", "c"}, Digest: [16]byte(sum[:16]), Size: uint64(len(state)),
			Offset: uint64(at), Data: state[at:min(len(state), at+size)],
		})
	}
	return all
}

func lagging() *Node {
	return New("a", DefaultConfig(1), RestoredState{}, []ID{"a", "b", "c"}, func() float64 { return 0 }, 1000)
}

func install(from ID, view uint64, p *SnapshotChunk) Message {
	return Message{Type: MsgSnapshotChunk, From: from, To: "a", Term: view, Chunk: p}
}

// offset is what a follower answers it has; -1: nothing.
func offset(o Ready) int {
	for _, m := range o.Messages {
		if m.Type == MsgSnapshotChunkAck {
			return int(m.Chunk.Offset)
		}
	}
	return -1
}

func TestATransferGoesOnUnderAnotherLeaderWithTheSameSnapshot(t *testing.T) {
	state := bytes.Repeat([]byte("state"), 100)
	all := parts(9, state, 100)
	c := lagging()
	for i, p := range all[:3] {
		require.Equal(t, 100*(i+1), offset(c.Step(install("b", 1, p), 1010)))
	}
	require.Equal(t, 300, offset(c.Step(install("b", 1, all[1]), 1020)), "one that came twice")
	require.Equal(t, 300, offset(c.Step(install("b", 1, all[4]), 1020)), "one that came early")
	require.Equal(t, 300, offset(c.Step(install("c", 2, all[0]), 1030)), "another leader need not begin anew")
	require.Equal(t, -1, offset(c.Step(install("b", 1, all[3]), 1040)), "a leader that is over")
	require.Equal(t, -1, offset(c.Step(install("c", 2, parts(8, state[5:], 100)[0]), 1040)), "an older snapshot, late")
	require.Equal(t, 400, offset(c.Step(install("c", 2, all[3]), 1050)))
	o := c.Step(install("c", 2, all[4]), 1060)
	require.Len(t, o.Committed, 1)
	require.Equal(t, state, o.Committed[0].Snapshot.Data)
	require.EqualValues(t, 4, c.ChunksIgnored)
}

// What is told to be on disk is: a snapshot that comes twice, or entries that it stands for, are no reason to say so sooner.
func TestASnapshotIsAcceptedOnceItIsOnDisk(t *testing.T) {
	c := lagging()
	p := parts(9, []byte("state"), 100)[0]
	o := c.Step(install("b", 1, p), 1010)
	seq := o.Writes[len(o.Writes)-1].Seq
	out := []Ready{
		o, c.Step(install("b", 1, p), 1020),
		c.Step(Message{Type: MsgAppend, From: "b", To: "a", Term: 1, Index: 2, PrevTerm: 1, Entries: []Entry{{Term: 1}}}, 1030),
	}
	for _, o := range out {
		require.False(t, slices.ContainsFunc(o.Messages, func(m Message) bool { return m.Type == MsgAppendAccepted }), "before it is on disk")
	}
	o = c.Persisted(seq, 1040)
	require.Equal(t, MsgAppendAccepted, o.Messages[len(o.Messages)-1].Type)
	require.EqualValues(t, 9, o.Messages[len(o.Messages)-1].Index)
}

func TestPartsThatLieChangeNothing(t *testing.T) {
	state := bytes.Repeat([]byte("x"), 1000)
	for name, spoil := range map[string]func(p *SnapshotChunk){
		"a snapshot beyond reason": func(p *SnapshotChunk) { p.Size = maxSnapshotBytes + 1 },
		"an offset behind its end": func(p *SnapshotChunk) { p.Offset = p.Size + 1 },
		"more than its size":       func(p *SnapshotChunk) { p.Size = 99 },
		"a part beyond reason":     func(p *SnapshotChunk) { p.Data, p.Size = make([]byte, maxChunkBytes+1), maxSnapshotBytes },
		"members beyond reason":    func(p *SnapshotChunk) { p.Members = make([]ID, maxSnapshotMembers+1) },
		"the middle first":         func(p *SnapshotChunk) { p.Offset = 100 },
	} {
		c := lagging()
		p := *parts(9, state, 100)[0]
		spoil(&p)
		c.Step(install("b", 1, &p), 1010)
		require.True(t, c.incoming == nil, name)
		require.EqualValues(t, 1, c.ChunksIgnored, name)
	}
	c := lagging()
	c.Step(install("b", 1, nil), 1010)
	require.EqualValues(t, 1, c.ChunksIgnored)
	one := parts(9, state, 1000)[0]
	one.Digest[0]++
	o := c.Step(install("b", 1, one), 1010)
	require.Empty(t, o.Committed, "another digest")
	require.Equal(t, 0, offset(o), "it is asked for anew")
	require.Nil(t, c.incoming)
}

// slowly plays a leader and a member that lacks all; a part and its answer take so long. It gives how many transfers began.
func slowly(t *testing.T, behind int) (leader, member *Node) {
	terms := DefaultConfig(1)
	terms.ChunkBytes, terms.RetainedBytes, terms.TransferRetainedBytes, terms.RemovalTimeoutMs = 100, 200, behind, 1<<40
	leader = New("a", terms, RestoredState{}, []ID{"a"}, func() float64 { return 0 }, 1000)
	member = New("b+1", terms, RestoredState{}, nil, func() float64 { return 0 }, 1000)
	type late struct {
		at int64
		to *Node
		m  Message
	}
	var way []late
	now := int64(1000)
	var carry func(c *Node, o Ready)
	carry = func(c *Node, o Ready) {
		for _, m := range o.Messages {
			to := member
			if c == member {
				to = leader
			}
			took := int64(5)
			if m.Type == MsgSnapshotChunk {
				took = 60
			}
			way = append(way, late{now + took, to, m})
		}
		for _, d := range o.Committed {
			if c == leader && d.Index%40 == 0 {
				carry(c, c.Compact(d.Index, bytes.Repeat([]byte("s"), 3000+int(d.Index)), 10, now))
				require.LessOrEqual(t, len(c.log.retained)*8, max(behind, 200)+8)
			}
		}
		for _, w := range o.Writes {
			carry(c, c.Persisted(w.Seq, now))
		}
	}
	for ; now < 12000; now += 5 {
		carry(leader, leader.Tick(now))
		if now > 3000 { // by then the log does not begin where it lacks all
			carry(member, member.Tick(now))
		}
		if leader.IsLeader() {
			_, o := leader.Propose(fmt.Appendf(nil, "%08d", now), now)
			carry(leader, o)
		}
		due := way
		way = nil
		for _, l := range due {
			if l.at > now {
				way = append(way, l)
			} else {
				carry(l.to, l.to.Step(l.m, now))
			}
		}
	}
	return leader, member
}

// Changes go on while a member takes a snapshot that needs 30 parts: those behind it are kept, within a bound, so it is
// taken once. Where the bound is too small for that, it is begun anew, and nothing else is lost.
func TestChangesDoNotOutrunASnapshot(t *testing.T) {
	leader, member := slowly(t, 1<<20)
	require.EqualValues(t, 1, leader.SnapshotTransfers)
	require.Greater(t, member.CommitIndex()+40, leader.CommitIndex())
	leader, _ = slowly(t, 400)
	require.Greater(t, leader.SnapshotTransfers, int64(1), "begun anew where it is hopeless")
}

// What a snapshot stands for stays at hand for members and routers that lag a little, bound by number and by bytes.
func TestEntriesForThoseThatLagAreBoundByNumberAndBytes(t *testing.T) {
	terms := DefaultConfig(1)
	terms.RetainedBytes = 500
	c := New("a", terms, RestoredState{}, []ID{"a"}, func() float64 { return 0 }, 1000)
	carry := func(o Ready) {
		for ; len(o.Writes) > 0; o = c.Persisted(o.Writes[len(o.Writes)-1].Seq, 2000) {
		}
	}
	carry(c.Tick(1500))
	for range 30 {
		_, o := c.Propose(make([]byte, 100), 2000)
		carry(o)
	}
	for _, want := range []struct{ keep, most uint64 }{{20, 5}, {3, 3}} {
		_, o := c.Propose(make([]byte, 100), 2000)
		carry(o)
		last := c.CommitIndex()
		carry(c.Compact(last, nil, want.keep, 2000))
		bodies, ok := c.CommittedAfter(last - want.most)
		require.True(t, ok && uint64(len(bodies)) == want.most)
		_, ok = c.CommittedAfter(last - want.most - 1)
		require.False(t, ok, "a snapshot stands for it")
		_, ok = c.CommittedAfter(last + 1)
		require.False(t, ok, "nobody is there yet")
	}
}

// A member whose state is wrong is given the leader's, though it holds the log.
func TestAStateThatIsWrongIsFetched(t *testing.T) {
	w := newWorld(5, 3, 1)
	w.calm = true
	w.After(500, w.propose)
	w.RunFor(9000)
	for _, m := range w.members {
		if m.core.Leader() != m.id {
			was := m.core.SnapshotsInstalled
			m.carry(m.core.RequestSnapshot(w.Now))
			w.RunFor(3000)
			require.Equal(t, was+1, m.core.SnapshotsInstalled)
			require.False(t, m.core.snapshotWanted)
		}
	}
	w.over()
	require.Empty(t, w.Violations, w.report())
}

// A member whose disk was put back to an older one is brought what it lacks, also where no change comes any more.
func TestAMemberWithAnOlderDiskIsCaughtUp(t *testing.T) {
	w := newWorld(5, 3, 1)
	w.calm = true
	w.After(500, w.propose)
	w.RunFor(3000)
	var m *member
	for _, o := range w.members {
		if !o.core.IsLeader() {
			m = o
		}
	}
	old := m.disk
	old.Entries = slices.Clone(old.Entries)
	w.RunFor(3000)
	w.Scheduler = scheduler.New(5, w.Now, 1) // nothing is proposed any more
	m.crash(true)
	m.disk = old
	for _, o := range w.members {
		if o != m {
			o.tick(o.life)
		}
	}
	m.start()
	w.RunFor(3000)
	require.Equal(t, len(w.order)-1, int(m.core.CommitIndex()))
	require.Empty(t, w.Violations, w.report())
}

// What a member said that it had, and has no more, counts for nothing.
func TestWhatAnOlderDiskLacksDoesNotCount(t *testing.T) {
	c := New("a", DefaultConfig(1), RestoredState{}, []ID{"a", "b", "c"}, func() float64 { return 0 }, 1000)
	c.hardState.Term, c.role, c.leaderID, c.leaderSeen, c.leadership.sinceMs = 1, leader, "a", true, 2000
	c.peers = map[ID]*progress{}
	c.syncPeers()
	var o Ready
	for range 5 {
		_, o = c.Propose([]byte("x"), 2000)
	}
	say := func(k MessageType, index uint64) {
		c.Step(Message{Type: k, From: "b", To: "a", Term: 1, Index: index}, 2010)
	}
	say(MsgAppendAccepted, 5)
	say(MsgAppendRejected, 2)
	c.Persisted(o.Writes[len(o.Writes)-1].Seq, 2020)
	require.EqualValues(t, 2, c.CommitIndex(), "only this member holds the rest")
	say(MsgAppendAccepted, 5)
	require.EqualValues(t, 5, c.CommitIndex())
}

func FuzzInstall(f *testing.F) {
	f.Add(uint64(9), uint64(5), uint64(0), []byte("state"), uint64(1))
	f.Add(uint64(9), uint64(1)<<60, uint64(3), []byte("state"), uint64(2))
	f.Fuzz(func(t *testing.T, index, size, at uint64, b []byte, view uint64) {
		c := lagging()
		good := parts(9, bytes.Repeat([]byte("state"), 3), 5)
		for i, p := range []*SnapshotChunk{good[0], {Index: index, Term: 1, Size: size, Offset: at, Data: b, Digest: good[0].Digest}, good[1], good[2]} {
			o := c.Step(install("b", max(1, view*uint64(i&1)), p), 1010)
			for _, d := range o.Committed {
				if sum := blake3.Sum256(d.Snapshot.Data); [16]byte(sum[:16]) != good[0].Digest {
					t.Fatalf("%q is taken", d.Snapshot.Data)
				}
			}
			if c.incoming != nil && len(c.incoming.data) > int(c.incoming.Size) {
				t.Fatal("more than its size")
			}
		}
	})
}
