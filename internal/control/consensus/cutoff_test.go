package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// bare is members with instant disks and a network whose messages wait until a test brings them.
type bare struct {
	t     *testing.T
	now   int64
	cores map[ID]*Node
	disks map[ID]*RestoredState
	wire  []Message
	round float64
}

func newBare(t *testing.T, ids ...ID) *bare {
	b := &bare{t: t, now: 1 << 30, cores: map[ID]*Node{}, disks: map[ID]*RestoredState{}}
	for _, id := range ids {
		b.disks[id] = &RestoredState{}
	}
	for _, id := range ids {
		b.start(id, ids...)
	}
	return b
}

func (b *bare) start(id ID, founders ...ID) {
	b.round += 0.01
	kept := *b.disks[id]
	b.cores[id] = New(id, DefaultConfig(1), kept, founders, func() float64 { return b.round }, b.now)
}

func (b *bare) carry(id ID, o Ready) {
	b.wire = append(b.wire, o.Messages...)
	for _, w := range o.Writes {
		b.disks[id].ApplyWrite(w)
		b.carry(id, b.cores[id].Persisted(w.Seq, b.now))
	}
}

func (b *bare) tick(id ID) { b.carry(id, b.cores[id].Tick(b.now)) }

// bring brings what goes from one to another, or between all where from is empty, until nothing more does.
func (b *bare) bring(may func(m Message) bool) {
	for again := true; again; {
		again = false
		all := b.wire
		b.wire = nil
		for _, m := range all {
			if !may(m) {
				b.wire = append(b.wire, m)
				continue
			}
			again = true
			b.carry(m.To, b.cores[m.To].Step(m, b.now))
		}
	}
}

func between(x, y ID) func(Message) bool {
	return func(m Message) bool { return m.From == x && m.To == y || m.From == y && m.To == x }
}

func (b *bare) holders() (all []ID) {
	for _, id := range []ID{"a", "b", "c"} {
		if b.cores[id].HoldsLease(b.now) {
			all = append(all, id)
		}
	}
	return all
}

// elect has one lead with the vote of another.
func (b *bare) elect(id, with ID) {
	b.now += 800
	for range 20 {
		b.tick(id)
		b.bring(between(id, with))
		b.now += 20
	}
	require.Equal(b.t, []ID{id}, b.holders())
	b.wire = nil
}

// A member that starts anew has a vote of its own, and is bound by what it promised in its life before.
func TestACandidateIsBoundByItsOwnPromise(t *testing.T) {
	b := newBare(t, "a", "b", "c")
	b.elect("c", "a") // b has heard nothing of it
	b.now += 20
	b.start("a", "a", "b", "c")
	for range 20 {
		b.now += 20
		b.tick("a")
		b.bring(between("a", "b"))
		require.LessOrEqual(t, len(b.holders()), 1, "%v hold a view", b.holders())
	}
	for range 40 { // and no longer than that
		b.now += 20
		b.tick("a")
		b.bring(between("a", "b"))
	}
	require.Equal(t, []ID{"a"}, b.holders())
}

// An answer that says that its member has heard no leader yet may be late: by then it has, and has started anew since.
func TestAnOldAnswerOfAFreshMemberIsNoWordOfItsNextLife(t *testing.T) {
	b := newBare(t, "a", "b", "c")
	b.now += 200
	b.tick("a")
	b.bring(func(m Message) bool { return m.From == "a" })
	old := b.wire // fresh, both
	require.Len(t, old, 2)
	require.True(t, old[0].ColdStart && old[1].ColdStart)
	b.wire = nil
	b.elect("c", "b")
	b.cores["c"].leadership.nextHeartbeatAtMs = 0
	b.tick("c")
	b.bring(func(m Message) bool { return true })
	b.start("a", "a", "b", "c")
	b.start("b", "a", "b", "c")
	b.now += 200
	b.tick("a")
	b.wire = old
	for range 15 {
		b.bring(func(m Message) bool { return m.From != "c" && m.To != "c" || m.From == "c" && m.PreVote })
		require.LessOrEqual(t, len(b.holders()), 1, "%v hold a view", b.holders())
		b.now += 20
		b.tick("a")
	}
}

// That some have heard no leader in their lives proves nothing while one that may lead has not said so.
func TestTwoFreshMembersOfThreeWaitForTheirPromises(t *testing.T) {
	b := newBare(t, "a", "b", "c")
	b.elect("c", "a")
	b.cores["c"].leadership.nextHeartbeatAtMs = 0
	b.tick("c")
	b.bring(func(m Message) bool { return true })
	b.start("a", "a", "b", "c")
	b.start("b", "a", "b", "c")
	for range 15 {
		b.now += 40
		b.tick("a")
		b.tick("b")
		b.bring(between("a", "b"))
		require.LessOrEqual(t, len(b.holders()), 1, "%v hold a view", b.holders())
	}
}

// Clocks may run apart by a tenth: a leader holds no longer than the promise that it counts on.
func TestTheLeadersLeaseBearsClocksThatRunApart(t *testing.T) {
	outlives := func(leader, member float64) bool { // rates
		b := newBare(t, "a", "b", "c")
		b.elect("c", "a")
		c, a, at := b.cores["c"], b.cores["a"], b.now
		c.leadership.nextHeartbeatAtMs = 0
		b.tick("c")
		b.bring(between("a", "c")) // the worst: no time passes on the way
		for passed := range 1000 {
			a.advanceClock(at + int64(float64(passed)*member))
			if c.HoldsLease(at+int64(float64(passed)*leader)) && !a.boundByLease() {
				return true
			}
		}
		return false
	}
	for _, rates := range [][2]float64{{1, 1}, {0.95, 1.05}, {1.05, 0.95}, {0.91, 1}, {1, 1.1}} {
		require.False(t, outlives(rates[0], rates[1]), "rates %v", rates)
	}
	for _, rates := range [][2]float64{{0.93, 1.07}, {0.88, 1}, {1, 1.13}} {
		require.True(t, outlives(rates[0], rates[1]), "rates %v: more than a tenth is not borne, and this test sees it", rates)
	}
}

// Who joins knows its seeds only: the one that leads need not be among them.
func TestALearnerJoinsByAFollower(t *testing.T) {
	b := newBare(t, "a", "b", "c")
	b.elect("c", "a")
	b.now += 140
	b.tick("c")
	b.bring(func(Message) bool { return true })
	b.disks["d+1"] = &RestoredState{}
	b.start("d+1")
	b.tick("d+1")
	require.Len(t, b.wire, 1)
	join := b.wire[0]
	require.Equal(t, MsgJoin, join.Type)
	b.wire = nil
	b.carry("b", b.cores["b"].Step(join, b.now)) // its only seed in reach, which follows
	b.bring(func(m Message) bool { return true })
	require.Equal(t, b.cores["c"].CommitIndex(), b.cores["d+1"].CommitIndex())
	require.Equal(t, ID("c"), b.cores["d+1"].Leader())
}

// An empty disk at a member's address is another member: what is meant for the one before says nothing to it.
func TestWhatIsMeantForAnEarlierMemberAtTheAddressIsIgnored(t *testing.T) {
	c := New("b+1", DefaultConfig(1), RestoredState{}, nil, func() float64 { return 0 }, 1000)
	require.Empty(t, c.Step(Message{Type: MsgAppend, From: "a", To: "b", Term: 3, Entries: []Entry{{Term: 3, Data: []byte("x")}}}, 1010))
	require.Empty(t, c.Step(Message{Type: MsgHeartbeat, From: "a", To: "b", Term: 3, SentAtMs: 1}, 1011))
	require.Zero(t, c.Term())
	require.EqualValues(t, 2, c.DiscardedMessages)
	require.NotEmpty(t, c.Step(Message{Type: MsgHeartbeat, From: "a", To: "b+1", Term: 3, SentAtMs: 1}, 1012).Messages)
}
