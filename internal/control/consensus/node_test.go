package consensus

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/simulation/scheduler"
)

var seeds = flag.Int("seeds", 1000, "worlds to play")

// world is members on a network that loses, delays and cuts, with disks that forget what was not synced. After each
// step it asserts: all deliver the same in one order, no two members hold a view at once, and in the end nothing that
// was acknowledged is gone.
type world struct {
	*scheduler.Scheduler
	size, lost int
	members    []*member
	order      []string // what was delivered in each place, by whoever was first
	acked      []string
	proposed   int
	calm       bool
	slow       bool   // disks
	out        string // a defence taken out
	mangle     func(m *Message) (copies int)
	leaving    int  // members that are told to end, and have not ended
	still      bool // nothing else strikes
}

type member struct {
	w       *world
	address string
	core    *Node
	up      bool
	life    int
	id      ID
	founder []ID
	disk    RestoredState
	queue   []Write // not synced yet
	cut     map[string]bool
	frozen  bool
	held    []func() // came while it was frozen
	waiting map[uint64]string
	outAt   int64 // when it was last lost; it counts as lost until it has caught up
}

func newWorld(seed uint64, size, lost int) *world {
	w := &world{Scheduler: scheduler.New(seed, 1<<30, 1), size: size, lost: lost, order: []string{""}}
	var founders []ID
	for i := range size {
		founders = append(founders, ID(fmt.Sprintf("m%d", i)))
	}
	founders = founders[:min(size, 3)]
	for i := range size {
		m := &member{w: w, address: fmt.Sprintf("m%d", i), cut: map[string]bool{}}
		if m.id = ID(m.address); i < 3 {
			m.founder = founders
		} else {
			m.id += "+0"
		}
		w.members = append(w.members, m)
		m.start()
	}
	return w
}

func (m *member) start() {
	w := m.w
	m.life++
	m.up, m.frozen, m.held, m.waiting = true, false, nil, map[uint64]string{}
	kept := m.disk
	kept.Entries = slices.Clone(kept.Entries)
	terms := DefaultConfig(w.lost)
	terms.ChunkBytes, terms.RetainedBytes = 64, 100 // snapshots go in many parts
	m.core = New(m.id, terms, kept, m.founder, w.Rand.Float64, w.Now)
	if w.out == "lease" { // its leader counts on what it does not keep
		life := m.life
		var forget func()
		forget = func() {
			if m.up && m.life == life {
				m.core.leaderHeardAtMs, m.core.startedAtMs = 0, 0
				if w.OneIn(20) && !m.core.IsLeader() {
					m.core.election.timeoutAtMs = w.Now
				}
				w.After(10, forget)
			}
		}
		w.After(10, forget)
	}
	m.tick(m.life)
}

// do runs in the member's process, later if it is frozen.
func (m *member) do(life int, what func()) {
	switch {
	case !m.up || m.life != life:
	case m.frozen:
		m.held = append(m.held, what)
	default:
		what()
	}
}

func (m *member) tick(life int) {
	m.w.After(20, func() {
		m.do(life, func() {
			m.carry(m.core.Tick(m.w.Now))
			m.tick(life)
		})
	})
}

func (m *member) carry(o Ready) {
	w, life := m.w, m.life
	for _, x := range o.Writes {
		m.queue = append(m.queue, x)
		took := w.Between(0, 6)
		if w.slow {
			took = w.Between(0, 900)
		}
		seq := x.Seq
		if w.out == "sync" { // it is told of as stored before it is
			took = 0
		}
		w.After(took, func() {
			m.do(life, func() {
				for w.out != "sync" && len(m.queue) > 0 && m.queue[0].Seq <= seq {
					m.disk.ApplyWrite(m.queue[0])
					m.queue = m.queue[1:]
				}
				m.carry(m.core.Persisted(seq, w.Now))
			})
		})
	}
	for _, msg := range o.Messages {
		for _, to := range w.members {
			if to.address == m.address || msg.To != "" && msg.To.Address() != to.address {
				continue
			}
			w.send(m, to, msg)
		}
	}
	for _, d := range o.Committed {
		m.deliver(d)
	}
	w.check()
}

func (w *world) send(from, to *member, msg Message) {
	if from.cut[to.address] || to.cut[from.address] || !w.calm && w.OneIn(40) {
		return
	}
	took := w.Between(1, 4)
	if !w.calm && w.OneIn(50) {
		took = w.Between(1, 600)
	}
	life := to.life
	if w.mangle != nil {
		for range w.mangle(&msg) {
			again := msg
			w.After(w.Between(1, 60), func() { to.do(life, func() { to.carry(to.core.Step(again, w.Now)) }) })
		}
		return
	}
	w.After(took, func() {
		if !to.cut[from.address] {
			to.do(life, func() { to.carry(to.core.Step(msg, w.Now)) })
		}
	})
}

func (m *member) deliver(d Committed) {
	w := m.w
	if d.Snapshot != nil {
		if string(d.Snapshot.Data) != w.state(d.Index) {
			w.Violate("%s takes a snapshot up to %d that is another's", m.id, d.Index)
		}
		return
	}
	what := fmt.Sprintf("%d:%s", d.Term, d.Data)
	switch {
	case d.Index < uint64(len(w.order)):
		if w.order[d.Index] != what {
			w.Violate("%s delivers %q in place %d, where %q was", m.id, what, d.Index, w.order[d.Index])
		}
	case d.Index == uint64(len(w.order)):
		w.order = append(w.order, what)
	default:
		w.Violate("%s delivers place %d before %d", m.id, d.Index, len(w.order))
	}
	if body, ok := m.waiting[d.Index]; ok {
		delete(m.waiting, d.Index)
		if strings.HasSuffix(what, ":"+body) && m.core.Term() == d.Term {
			w.acked = append(w.acked, body)
		}
	}
	if d.Index%40 == 0 && !m.frozen {
		life := m.life
		index := d.Index
		w.After(0, func() { // a snapshot is of all that was delivered
			m.do(life, func() {
				if m.core.CommitIndex() >= index {
					m.carry(m.core.Compact(index, []byte(w.state(index)), 10, w.Now))
				}
			})
		})
	}
}

func (w *world) state(index uint64) string {
	return strings.Join(w.order[1:min(uint64(len(w.order)), index+1)], " ")
}

// check asserts that no two members hold a view.
func (w *world) check() {
	holds := ""
	for _, m := range w.members {
		if m.up && !m.frozen && m.core.HoldsLease(w.Now) {
			if holds != "" {
				w.Violate("%s and %s both hold a view", holds, m.id)
			}
			holds = string(m.id)
		}
	}
}

func (w *world) propose() {
	w.After(w.Between(5, 60), w.propose)
	m := w.members[w.Rand.IntN(len(w.members))]
	m.do(m.life, func() {
		if !m.core.HoldsLease(w.Now) {
			return
		}
		w.proposed++
		body := fmt.Sprintf("c%d", w.proposed)
		index, o := m.core.Propose([]byte(body), w.Now)
		if index > 0 {
			m.waiting[index] = body
		}
		m.carry(o)
	})
}

// lostNow are members that count as lost.
func (w *world) lostNow() (n int) {
	for _, m := range w.members {
		if !m.up || m.frozen || len(m.cut) > 0 || m.outAt > 0 && !m.caughtUp() {
			n++
		}
	}
	return n
}

func (m *member) caughtUp() bool {
	for _, l := range m.w.members { // by the one that leads: the change that made it a member was delivered
		if l.up && l.core.HoldsLease(m.w.Now) && len(l.core.activeConfigurations()) == 1 && slices.Contains(l.core.Members(), m.id) &&
			m.w.Now > m.outAt+4000 && m.core.CommitIndex()+2 >= uint64(len(m.w.order))-1 {
			m.outAt = 0
			return true
		}
	}
	return false
}

// crash ends a process; of what was not synced, some may be on disk.
func (m *member) crash(power bool) {
	w := m.w
	m.up = false
	if !power {
		for _, x := range m.queue {
			if w.OneIn(2) {
				break
			}
			m.disk.ApplyWrite(x)
		}
	}
	m.queue = nil
}

func (w *world) strike() {
	w.After(w.Between(300, 2500), w.strike)
	if w.calm || w.still || w.lostNow()+w.leaving >= w.lost {
		return
	}
	m := w.members[w.Rand.IntN(len(w.members))]
	if w.OneIn(3) {
		for _, l := range w.members {
			if l.up && l.core.IsLeader() {
				m = l
			}
		}
	}
	if !m.up || m.frozen {
		return
	}
	back := w.Between(50, 4000)
	m.outAt = w.Now
	switch kind := w.Rand.IntN(6); kind {
	case 0, 1:
		w.Note("%s dies, power %v", m.id, kind == 0)
		m.crash(kind == 0)
		w.After(back, func() { m.start() })
	case 2:
		w.Note("%s loses its disk", m.id)
		m.crash(true)
		w.After(back, func() {
			m.disk, m.founder = RestoredState{}, nil
			if w.out == "name" {
				m.founder = []ID{"m0", "m1", "m2"}
				m.start()
				return
			}
			m.id = ID(fmt.Sprintf("%s+%d", m.address, m.life))
			if w.OneIn(2) { // for good, and another takes its place elsewhere
				m.address = fmt.Sprintf("%s-%d", m.address, m.life)
				m.id = ID(m.address + "+x")
			}
			m.start()
		})
	case 3:
		w.Note("%s freezes", m.id)
		m.frozen = true
		w.After(back, func() {
			if !m.up || !m.frozen {
				return
			}
			m.frozen = false
			held := m.held
			m.held = nil
			for _, do := range held {
				do()
			}
		})
	case 4:
		w.Note("%s is cut off", m.id)
		for _, o := range w.members {
			if o != m && (!w.OneIn(4)) {
				m.cut[o.address] = true
			}
		}
		w.After(back, func() { clear(m.cut) })
	case 5:
		w.Note("%s hands over", m.id)
		m.outAt = 0
		m.carry(m.core.TransferLeadership(w.Now))
	}
}

// allLosePower is the closing fault: some lose their disks, all others their power, right after an acknowledgement.
func (w *world) allLosePower(wiped int) {
	w.Note("all lose power, %d their disks", wiped)
	order := w.Rand.Perm(len(w.members))
	for i, k := range order {
		m := w.members[k]
		m.crash(true)
		clear(m.cut)
		if i < wiped && w.out == "name" {
			m.disk, m.founder = RestoredState{}, []ID{"m0", "m1", "m2"}
		} else if i < wiped {
			m.disk, m.founder, m.id = RestoredState{}, nil, ID(fmt.Sprintf("%s+w%d", m.address, m.life))
		}
		w.After(w.Between(100, 1500), m.start)
	}
}

func (w *world) run(span int64) {
	w.After(500, w.propose)
	first := int64(3000)
	if w.size > 3 { // those who were not there first are made members by then
		first = 10000
	}
	w.After(first, w.strike)
	w.RunFor(first + span)
	w.calm, w.slow = true, false
	for _, m := range w.members { // what is out comes back by itself
		clear(m.cut)
	}
	w.RunFor(14000)
	for acked := len(w.acked); w.out == "name" && len(w.acked) == acked; { // some may not have it yet
		w.RunFor(1)
	}
	w.allLosePower(w.lost)
	w.RunFor(12000)
	w.over()
}

func (w *world) over() {
	up := 0
	for _, m := range w.members {
		if m.up && m.core.HoldsLease(w.Now) {
			up++
		}
	}
	if up != 1 {
		w.Violate("%d members hold a view in the end", up)
	}
	all := " " + w.state(uint64(len(w.order))) + " "
	for _, body := range w.acked {
		if !strings.Contains(all, ":"+body+" ") {
			w.Violate("%s was acknowledged and is gone", body)
		}
	}
	for _, m := range w.members {
		if m.up && slices.Contains(m.core.Members(), m.id) && int(m.core.CommitIndex()) < len(w.order)-3 {
			w.Violate("%s has delivered %d of %d", m.id, m.core.CommitIndex(), len(w.order)-1)
		}
	}
}

func (w *world) report() string {
	return strings.Join(w.Violations, "\n") + "\nafter\n" + strings.Join(w.FaultLog, "\n")
}

func TestNoSeedLosesWhatWasAcknowledged(t *testing.T) {
	acked := 0
	for seed := range worlds() {
		size, lost := 3, 1
		switch seed % 8 {
		case 6:
			size, lost = 5, 2
		case 7:
			size, lost = 6, 2
		}
		w := newWorld(uint64(seed), size, lost)
		w.slow = seed%5 == 4
		w.run(9000)
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d, %d members:\n%s", seed, size, w.report())
		}
		acked += len(w.acked)
	}
	require.Greater(t, acked, 60*worlds(), "too little was acknowledged for this to prove anything")
}

func TestALearnerOfAWipedDiskHasNoVoteUntilItHoldsAll(t *testing.T) {
	w := newWorld(1, 3, 1)
	w.calm = true
	w.After(500, w.propose)
	w.RunFor(3000)
	// The lagging member would make a majority that has forgotten with one that knows nothing.
	lag, wiped := w.members[0], w.members[1]
	if lag.core.IsLeader() {
		lag, wiped = wiped, lag
	}
	for _, o := range w.members {
		lag.cut[o.address] = true
	}
	w.RunFor(2000)
	for _, m := range w.members[2:] {
		m.crash(true)
	}
	wiped.crash(true)
	wiped.disk, wiped.founder, wiped.id = RestoredState{}, nil, "m1+w"
	wiped.start()
	clear(lag.cut)
	before := len(w.order)
	w.RunFor(5000)
	require.Len(t, w.order, before, "two of three, one of them a learner, went on")
	for _, m := range w.members[2:] {
		m.start()
	}
	w.RunFor(5000)
	w.over()
	require.Empty(t, w.Violations, w.report())
}

func TestAnUnheardLeaderIsNotWaitedForWhereAllStartAnew(t *testing.T) {
	w := newWorld(3, 3, 1)
	w.calm = true
	w.After(100, w.propose)
	w.RunFor(3000)
	for _, m := range w.members {
		m.crash(true)
		m.start()
	}
	w.RunFor(400) // well within the lease that a leader of the lives before may have had
	held := false
	for _, m := range w.members {
		held = held || m.core.HoldsLease(w.Now)
	}
	require.True(t, held, "nobody leads 400 ms after all started anew")
}

func TestTrimmedEntriesAreNotDelivered(t *testing.T) {
	terms := DefaultConfig(1)
	c := New("a", terms, RestoredState{}, []ID{"a", "b", "c"}, func() float64 { return 0 }, 1000)
	c.Step(Message{Type: MsgAppend, From: "b", To: "a", Term: 1, Entries: []Entry{{Term: 1, Data: []byte("old")}}}, 1010)
	o := c.Step(Message{Type: MsgAppend, From: "c", To: "a", Term: 2, Entries: []Entry{{Term: 2, Data: []byte("new")}}, CommitIndex: 1}, 1020)
	require.Len(t, o.Committed, 1)
	require.True(t, bytes.Equal(o.Committed[0].Data, []byte("new")))
	require.EqualValues(t, 1, c.LastIndex())
}

// worlds is how many are played: a tenth in short runs, as under the race detector.
func worlds() int {
	if testing.Short() {
		return max(1, *seeds/10)
	}
	return *seeds
}

// Each defence, taken out, must be caught.
func TestTheWorldsCatchEachDefenceTakenOut(t *testing.T) {
	for _, out := range []string{"sync", "name", "lease"} {
		caught := ""
		for seed := 0; seed < 300 && caught == ""; seed++ {
			w := newWorld(uint64(seed), 3, 1)
			w.out = out
			for _, m := range w.members {
				m.crash(true)
				m.disk = RestoredState{}
				m.start()
			}
			func() {
				defer func() {
					if p := recover(); p != nil { // an assertion of the log itself
						w.Violate("%v", p)
					}
				}()
				w.run(9000)
			}()
			for _, b := range w.Violations {
				if strings.Contains(b, "gone") || strings.Contains(b, "both hold") || strings.Contains(b, "delivers") || strings.Contains(b, "consensus:") {
					caught = fmt.Sprintf("seed %d: %s", seed, b)
				}
			}
		}
		require.NotEmpty(t, caught, "%s: 300 worlds saw nothing", out)
		t.Logf("%s: caught by %s", out, caught)
	}
}
