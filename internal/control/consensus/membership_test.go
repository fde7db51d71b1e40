package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// ends has members told to end: replaced by one that has stood by for a while at another address, or started again in
// place. Where the seat was handed on, another is lost at once.
type ends struct {
	*world
	serial         int
	told, handed   int
	passed, latest int64 // from being told until the end, with the seat handed on
}

func (e *ends) tell() {
	w := e.world
	w.After(w.Between(2500, 5000), e.tell)
	if w.calm || w.lostNow()+w.leaving >= w.lost {
		return
	}
	m := w.members[w.Rand.IntN(len(w.members))]
	for _, l := range w.members {
		if l.up && l.core.IsLeader() && w.OneIn(2) {
			m = l
		}
	}
	if w.OneIn(2) {
		e.end(m, false)
		return
	}
	e.serial++
	s := &member{w: w, address: fmt.Sprintf("s%d", e.serial), cut: map[string]bool{}}
	s.id = ID(s.address + "+0")
	w.members = append(w.members, s)
	s.start()
	w.After(4000, func() {
		if w.lostNow()+w.leaving < w.lost {
			e.end(m, true)
		}
	})
}

func (e *ends) end(m *member, gone bool) {
	w, life, begun := e.world, m.life, e.Now
	if !m.up || m.frozen {
		return
	}
	w.leaving++
	w.Note("%s is told to end", m.id)
	if w.out == "leave" {
		m.carry(m.core.TransferLeadership(w.Now))
	} else {
		m.carry(m.core.Leave(w.Now))
	}
	var poll func()
	poll = func() {
		left := m.core.LeaveState()
		if w.out == "leave" { // it ends as one that falls silent
			left = LeaveReplaced
		}
		switch {
		case !m.up || m.life != life:
			w.leaving--
		case left.Done() && !m.core.IsLeader() || w.Now > begun+4500:
			w.leaving--
			counted := slices.ContainsFunc(w.members, func(o *member) bool { return o.up && slices.Contains(o.core.Members(), m.id) })
			w.Note("%s ends, handed on %v", m.id, left == LeaveReplaced)
			m.crash(false)
			if gone && (left == LeaveReplaced || !counted) {
				w.members = slices.DeleteFunc(slices.Clone(w.members), func(o *member) bool { return o == m })
			} else {
				w.After(w.Between(50, 1500), m.start)
			}
			if e.told++; left != LeaveReplaced {
				m.outAt = w.Now
				return
			}
			e.handed++
			e.passed += w.Now - begun
			e.latest = max(e.latest, w.Now-begun)
			e.second()
		default:
			w.After(30, poll)
		}
	}
	w.After(30, poll)
}

// second is a loss right after; the others are to serve again.
func (e *ends) second() {
	w := e.world
	if w.calm || w.lostNow() > w.lost {
		return
	}
	m := w.members[w.Rand.IntN(len(w.members))]
	for _, l := range w.members {
		if l.up && l.core.IsLeader() && w.OneIn(2) {
			m = l
		}
	}
	if !m.up || m.frozen {
		return
	}
	wiped := w.OneIn(2)
	w.Note("%s is lost right after, its disk %v", m.id, wiped)
	m.outAt = w.Now
	m.crash(true)
	life := m.life
	w.After(w.Between(2500, 4500), func() {
		if wiped {
			m.disk, m.founder, m.id = RestoredState{}, nil, ID(fmt.Sprintf("%s+s%d", m.address, life))
		}
		m.start()
	})
	w.After(9000, func() { m.outAt = 0 })
	served, slow := len(w.acked), w.slow
	w.After(4500, func() {
		if len(w.acked) == served && !slow { // all disks slow are more lost than may be
			w.Violate("nothing was acknowledged for 4.5 s after %s was lost", m.id)
		}
	})
}

func TestNoSeedLosesAnythingWhereAMemberEndsAndAnotherIsLostRightAfter(t *testing.T) {
	var told, handed int
	var passed, latest int64
	for seed := range max(1, worlds()/8) {
		size, lost := 3, 1
		switch seed % 4 {
		case 2:
			size, lost = 5, 2
		case 3:
			size, lost = 6, 2
		}
		e := &ends{world: newWorld(uint64(seed), size, lost)}
		e.slow, e.still = seed%10 == 9, seed/4%2 == 0
		e.After(4000, e.tell)
		e.run(14000)
		if len(e.Violations) > 0 {
			t.Fatalf("seed %d, %d members:\n%s", seed, size, e.report())
		}
		told, handed, passed, latest = told+e.told, handed+e.handed, passed+e.passed, max(latest, e.latest)
	}
	require.Greater(t, handed, worlds()/16, "too few seats were handed on for this to prove anything")
	t.Logf("%d told to end, %d handed their seat on, after %d ms on average, %d at most", told, handed, passed/int64(handed), latest)
}

func TestTheWorldsCatchAMemberThatEndsBeforeItsSeatIsHandedOn(t *testing.T) {
	for seed := range uint64(100) {
		e := &ends{world: newWorld(seed, 3, 1)}
		e.out, e.still = "leave", true
		e.After(4000, e.tell)
		e.run(14000)
		if len(e.Violations) > 0 {
			t.Logf("seed %d: %s", seed, e.Violations[0])
			return
		}
	}
	t.Fatal("100 worlds saw nothing")
}

// A member that is gone for good is replaced at another address, or comes back at its own with an empty disk: from the
// new one's start until it counts, and so until another loss is borne.
func TestAReplacementCountsWithinItsCatchUpTime(t *testing.T) {
	for _, address := range []string{"m9", "its own"} {
		var all, worst int64
		const seeds = 60
		for seed := range uint64(seeds) {
			w := newWorld(seed, 3, 1)
			w.After(500, w.propose)
			w.RunFor(4000)
			m := w.members[seed%3]
			m.crash(true)
			w.RunFor(500)
			m.disk, m.founder = RestoredState{}, nil
			if address != "its own" {
				m.address = address
			}
			m.id = ID(m.address + "+new")
			m.start()
			began := w.Now
			for counts := false; !counts && w.Now < began+10000; w.RunFor(10) {
				for _, l := range w.members {
					counts = counts || l.up && l.core.HoldsLease(w.Now) && l.core.configurationDurable() && slices.Contains(l.core.Members(), m.id)
				}
			}
			all, worst = all+w.Now-began, max(worst, w.Now-began)
			require.Empty(t, w.Violations, w.report())
		}
		t.Logf("at %s: %d ms on average, %d at most", address, all/seeds, worst)
		require.Less(t, worst, int64(4000))
	}
}

// led is a core that leads a, b and c, at a moment.
func led(now int64) *Node {
	c := New("a", DefaultConfig(1), RestoredState{}, []ID{"a", "b", "c"}, func() float64 { return 0 }, now)
	vote := func(preVote bool) {
		c.Step(Message{Type: MsgVoteResponse, From: "b", To: "a", Term: c.Term(), PreVote: preVote, Granted: true, ColdStart: true}, now)
	}
	c.Tick(now + 1000)
	now += 1000
	vote(true)
	c.Persisted(1<<40, now)
	vote(false)
	c.Persisted(1<<40, now)
	c.Step(Message{Type: MsgAppendAccepted, From: "b", To: "a", Term: c.Term(), Index: c.LastIndex()}, now)
	c.Step(Message{Type: MsgHeartbeatResponse, From: "b", To: "a", Term: c.Term(), SentAtMs: now}, now)
	return c
}

func TestBadMessagesOfMembershipChangeNothingAndAreCounted(t *testing.T) {
	c := led(1 << 20)
	now := c.nowMs
	require.True(t, c.HoldsLease(now))
	was, last := c.Members(), c.LastIndex()
	strays := func(by int64, what string) {
		require.Equal(t, by, c.DiscardedMessages, what)
		require.Equal(t, was, c.Members(), what)
		require.Equal(t, last, c.LastIndex(), what)
	}
	c.Step(Message{Type: MsgLeave, From: "x", To: "a", Term: 1, SentAtMs: now}, now)
	strays(1, "leave of one that is no member")
	c.Step(Message{Type: MsgLeave, From: "b", To: "a+old", Term: 1, SentAtMs: now}, now)
	strays(2, "to another life at this address")
	c.Step(Message{Type: MsgLeave, From: "", To: "a", Term: 1}, now)
	strays(3, "from nobody")
	c.Step(Message{Type: MsgLeaveResponse, From: "b", To: "a", Term: 1, Granted: true}, now)
	require.Equal(t, LeaveNotStarted, c.LeaveState(), "an answer that was not asked for")
	for i := range 1000 {
		c.Step(Message{Type: MsgJoin, From: ID(fmt.Sprintf("j%d+1", i)), Index: 1 << 60}, now)
	}
	strays(3+1000-maxLearners, "more learners than are kept account of")
	require.Len(t, c.Status(now).Learners, maxLearners)
	for i := range 100 { // lives of one machine are one learner
		c.Step(Message{Type: MsgJoin, From: ID(fmt.Sprintf("j1+%d", i+5)), Index: 0}, now)
	}
	require.Len(t, c.Status(now).Learners, maxLearners)
}

func TestAnAnswerToAnEarlierLifeDoesNotEndAMember(t *testing.T) {
	c := New("a", DefaultConfig(1), RestoredState{}, []ID{"a", "b", "c"}, func() float64 { return 0 }, 1000)
	c.Step(Message{Type: MsgHeartbeat, From: "b", To: "a", Term: 3, SentAtMs: 5}, 1010)
	c.Leave(2000)
	for _, m := range []Message{
		{Type: MsgLeaveResponse, From: "b", To: "a", Term: 3, SentAtMs: 1900, Granted: true}, // to what a life before asked
		{Type: MsgLeaveResponse, From: "c", To: "a", Term: 3, SentAtMs: 2000, Granted: true}, // of one that does not lead
		{Type: MsgLeaveResponse, From: "b", To: "a", Term: 2, SentAtMs: 2000, Granted: true}, // of an older view
		{Type: MsgLeaveResponse, From: "b", To: "a", Term: 3, SentAtMs: 9000, Granted: true}, // to what was not asked yet
	} {
		c.Step(m, 2010)
		require.Equal(t, LeavePending, c.LeaveState(), "%+v", m)
	}
	c.Step(Message{Type: MsgLeaveResponse, From: "b", To: "a", Term: 3, SentAtMs: 2000, Granted: true}, 2010)
	require.Equal(t, LeaveReplaced, c.LeaveState())
}

// One that leads and ends leaves the others without a leader for no longer than it takes to elect one, also where some
// hold an entry that its heir lacks.
func TestALeaderThatEndsIsFollowedAtOnce(t *testing.T) {
	worst := int64(0)
	for seed := range uint64(50) {
		w := newWorld(seed, 6, 2)
		w.calm = true
		w.After(500, w.propose)
		w.RunFor(10000)
		for range 5 {
			var l *member
			for _, m := range w.members {
				if m.up && m.core.HoldsLease(w.Now) {
					l = m
				}
			}
			require.NotNil(t, l)
			l.carry(l.core.Leave(w.Now))
			begun, last := w.Now, w.Now
			for w.Now < begun+2500 {
				w.RunFor(5)
				for _, m := range w.members {
					if m.up && m.core.HoldsLease(w.Now) {
						last = w.Now
					}
				}
				worst = max(worst, w.Now-last)
				if l.up && l.core.LeaveState().Done() && !l.core.IsLeader() {
					l.crash(false)
					w.After(700, l.start)
				}
			}
		}
		require.Empty(t, w.Violations, w.report())
		require.Less(t, worst, int64(300), "seed %d", seed)
	}
	t.Logf("nobody led for %d ms at most", worst)
}
