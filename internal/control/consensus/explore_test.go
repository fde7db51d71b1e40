package consensus

import (
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	deviations = flag.Int("deviations", 0, "how many times an explored system leaves the usual course; 0: as in CI")
	beats      = flag.Int("beats", 26, "for how many heartbeats, with -deviations")
	course     = flag.String("course", "", "the one course to explore; empty: all")
)

// system is three members and two that stand by, at one moment. Its usual course: what was sent or is to be synced happens
// in its order, and where nothing is, a heartbeat's time passes. From each moment on it may leave that course, a bounded
// number of times: a message is late or lost, a disk is late, time passes or a lease runs out before anything arrives, a
// machine loses power, its disk, or is gone, one is told to end, an order comes. All such systems are explored over the
// real Core; those that are alike in every respect once.
type system struct {
	nodes   []*node // never changed: an event puts another in its place
	todo    []action
	now     int64
	order   []string        // what was delivered in each place
	seats   map[uint64][]ID // the changes of members among it
	lost    ID              // a member whose loss is not made good yet
	lostAt  int64
	stopped ID   // one that may end with its seat
	beyond  bool // more was lost at once than may be
	spent   spent
	orders  int
	beats   int
	before  *system
	what    string
}

// spent is how often what is rare has come about.
type spent struct{ power, loss, leave, expiry, order int8 }

type node struct {
	id       ID
	founders []ID
	core     *Node // nil: it is gone
	disk     RestoredState
	queue    []Write
	hash     uint64
	diskHash uint64
}

// action is a message on its way, or a disk that is to sync.
type action struct {
	node int
	msg  *Message // nil: a sync
	hash uint64
}

func cloneCore(c *Node) *Node {
	n := *c
	n.log.entries, n.pendingWrites, n.configurations = slices.Clone(c.log.entries), slices.Clone(c.pendingWrites), slices.Clone(c.configurations)
	n.election.votes, n.election.coldStarts = maps.Clone(c.election.votes), maps.Clone(c.election.coldStarts)
	n.peers = maps.Clone(c.peers)
	for id, p := range n.peers {
		q := *p
		n.peers[id] = &q
	}
	return &n
}

type explorer struct {
	out    string // a defence taken out
	seen   map[uint64]int8
	disks  map[uint64]bool // that are looked through
	states int
	probes int
	last   int // beats of a course
	rare   spent
	broken string
}

var hashSeed = maphash.MakeSeed()

type hasher struct{ maphash.Hash }

func newHasher() *hasher {
	h := &hasher{}
	h.SetSeed(hashSeed)
	return h
}

func (h *hasher) num(all ...int64) {
	var b [8]byte
	for _, n := range all {
		for i := range b {
			b[i] = byte(n >> (8 * i))
		}
		h.Write(b[:])
	}
}

func (h *hasher) is(all ...bool) {
	for _, b := range all {
		if b {
			h.WriteByte(1)
		} else {
			h.WriteByte(2)
		}
	}
}

func (h *hasher) ids(all ...ID) {
	for _, id := range all {
		h.WriteString(string(id))
		h.WriteByte(0)
	}
	h.WriteByte(3)
}

func (h *hasher) entries(all []Entry) {
	for _, e := range all {
		h.num(int64(e.Term))
		h.Write(e.Data)
		h.ids(e.Members...)
	}
	h.WriteByte(4)
}

func (h *hasher) message(m *Message) {
	h.ids(m.From, m.To)
	h.num(int64(m.Type), int64(m.Term), int64(m.Index), int64(m.PrevTerm), int64(m.CommitIndex), int64(m.CommitTerm), m.SentAtMs)
	h.is(m.PreVote, m.LeadershipTransfer, m.Granted, m.ColdStart)
	h.entries(m.Entries)
}

func (h *hasher) core(c *Node) {
	h.ids(c.id, c.hardState.Vote, c.leaderID)
	h.num(int64(c.hardState.Term), int64(c.hardState.CommittedConfigIndex), int64(c.commitIndex), int64(c.persistedIndex), int64(c.persistedConfigIndex), int64(c.role), c.leaderHeardAtMs, c.election.timeoutAtMs,
		c.nextJoinAtMs, c.election.electionCount, int64(c.election.campaignCount), int64(c.leadership.termStartIndex), c.leadership.nextHeartbeatAtMs,
		c.leadership.sinceMs, c.leadership.transferStartedAtMs, c.startedAtMs, c.leave.nextRequestAtMs, c.leave.startedAtMs,
		int64(c.election.campaignType), int64(c.leave.state))
	h.ids(c.leadership.transferee)
	h.is(c.leaderSeen, c.election.allColdStarts, c.leadership.transferring)
	h.entries(c.log.entries)
	for _, p := range c.pendingWrites {
		h.num(int64(p.lastIndex), int64(p.configIndex))
		for i := range p.messages {
			h.message(&p.messages[i])
		}
	}
	for _, all := range []map[ID]bool{c.election.votes, c.election.coldStarts} {
		for _, id := range slices.Sorted(maps.Keys(all)) {
			h.ids(id)
			h.is(all[id])
		}
		h.WriteByte(5)
	}
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		h.ids(id)
		h.num(int64(p.nextIndex), int64(p.matchIndex), p.sentAtMs, p.heartbeatAckedAtMs, p.heardAtMs, int64(p.persistedConfigIndex), p.leaveRequestedAtMs, p.leavingSinceMs)
		h.is(p.learner)
	}
}

func (n *node) seal() {
	h := newHasher()
	h.ids(n.id, n.disk.HardState.Vote)
	h.num(int64(n.disk.HardState.Term), int64(n.disk.HardState.CommittedConfigIndex))
	h.entries(n.disk.Entries)
	h.is(n.core != nil)
	n.diskHash = h.Sum64()
	if n.core != nil {
		h.core(n.core)
	}
	for _, w := range n.queue {
		h.num(int64(w.FirstIndex))
		h.entries(w.Entries)
		if w.HardState != nil {
			h.num(int64(w.HardState.Term), int64(w.HardState.CommittedConfigIndex))
			h.ids(w.HardState.Vote)
		}
	}
	n.hash = h.Sum64()
}

func (s *system) key() uint64 {
	h := newHasher()
	h.num(s.now, int64(s.orders), int64(s.spent.power), int64(s.spent.loss), int64(s.spent.leave), int64(s.spent.expiry), int64(s.spent.order))
	h.ids(s.lost, s.stopped)
	for _, n := range s.nodes {
		h.num(int64(n.hash))
	}
	for _, a := range s.todo {
		h.num(int64(a.hash))
	}
	return h.Sum64()
}

// then is the system behind an event.
func (s *system) then(what string) *system {
	n := *s
	n.nodes, n.todo, n.order = slices.Clone(s.nodes), slices.Clone(s.todo), slices.Clip(s.order)
	n.before, n.what = s, what
	return &n
}

// at has an event happen at a node.
func (x *explorer) at(s *system, i int, do func(*Node) Ready) {
	was := s.nodes[i]
	if was.core == nil {
		return
	}
	n := *was
	n.core, n.queue = cloneCore(was.core), slices.Clone(was.queue)
	s.nodes[i] = &n
	switch x.out {
	case "early": // a learner counts as if it held all
		for _, p := range n.core.peers {
			if p.learner {
				p.matchIndex = max(p.matchIndex, n.core.commitIndex)
			}
		}
	case "agreed": // who knows that the change was delivered is not asked
		for _, p := range n.core.peers {
			p.persistedConfigIndex = n.core.log.lastIndex()
		}
		n.core.persistedConfigIndex = n.core.log.lastIndex()
	}
	x.carry(s, i, do(n.core))
	if x.out == "joint" { // the newest members alone must agree
		n.core.configurations = n.core.configurations[len(n.core.configurations)-1:]
	}
	left := n.core.LeaveState()
	if left == LeaveUnreplaced {
		s.stops(n.id)
	}
	if left.Done() && !n.core.IsLeader() || x.out == "asked" && left != LeaveNotStarted {
		s.what += fmt.Sprintf("; %s ends, handed on: %v", n.id, left == LeaveReplaced)
		n.core, n.queue = nil, nil
	}
	n.seal()
}

func (x *explorer) carry(s *system, i int, o Ready) {
	n := s.nodes[i]
	if len(o.Writes) > 0 {
		if len(n.queue) == 0 {
			s.todo = append(s.todo, action{node: i, hash: uint64(i + 1)})
		}
		n.queue = append(n.queue, o.Writes...)
	}
	for _, w := range o.Writes {
		for _, e := range w.Entries {
			if n.core.IsLeader() {
				x.seated(s, e.Members)
			}
		}
	}
	for _, d := range o.Committed {
		x.deliver(s, n, d)
	}
	for _, m := range o.Messages {
		if m.Type == MsgLeaveResponse && !m.Granted {
			s.stops(m.To)
		}
		for j, to := range s.nodes {
			if j != i && to.core != nil && (m.To == "" || m.To.Address() == to.id.Address()) {
				h := newHasher()
				h.message(&m)
				h.num(int64(j))
				s.todo = append(s.todo, action{j, &m, h.Sum64()})
			}
		}
	}
}

// stops notes that one may end with its seat: that is a loss, from the moment on.
func (s *system) stops(id ID) {
	if s.stopped = id; s.lost == "" {
		s.lost, s.lostAt = id, s.now
	} else if s.lost != id && s.now <= s.lostAt+2*130 { // two at once: it could not be known
		s.beyond = true
	}
}

// seated asserts that a seat is given to one that holds all that was delivered.
func (x *explorer) seated(s *system, members []ID) {
	for _, n := range s.nodes {
		if slices.Contains(members, n.id) && !slices.Contains(s.seats[s.newest()], n.id) && n.core != nil && len(n.disk.Entries)+1 < len(s.order) {
			x.breaks(s, "a seat is given to %s, which holds %d of %d places", n.id, len(n.disk.Entries), len(s.order)-1)
		}
	}
}

// newest is the place of the newest change of members that was delivered.
func (s *system) newest() uint64 { return slices.Max(slices.Collect(maps.Keys(s.seats))) }

func (x *explorer) deliver(s *system, n *node, d Committed) {
	what := fmt.Sprintf("%d:%s", d.Term, d.Data)
	switch {
	case d.Index < uint64(len(s.order)):
		if s.order[d.Index] != what {
			x.breaks(s, "%s delivers %q in place %d, where %q was", n.id, what, d.Index, s.order[d.Index])
		}
	case d.Index == uint64(len(s.order)):
		s.order = append(s.order, what)
		if e := n.core.log.entries[d.Index-1]; len(e.Members) > 0 {
			s.seats = maps.Clone(s.seats)
			s.seats[d.Index] = e.Members
		}
	default:
		x.breaks(s, "%s delivers place %d before %d", n.id, d.Index, len(s.order))
	}
}

// do has the action in a place happen.
func (x *explorer) do(s *system, k int) {
	a := s.todo[k]
	s.todo = slices.Delete(s.todo, k, k+1)
	if a.msg != nil {
		x.at(s, a.node, func(c *Node) Ready { return c.Step(*a.msg, s.now) })
		return
	}
	x.at(s, a.node, func(c *Node) Ready {
		n := s.nodes[a.node]
		if len(n.queue) == 0 {
			return Ready{}
		}
		seq := n.queue[len(n.queue)-1].Seq
		for _, w := range n.queue {
			n.disk.ApplyWrite(w)
		}
		if x.out == "settled" {
			n.disk.HardState.CommittedConfigIndex = 0
		}
		n.queue = nil
		return c.Persisted(seq, s.now)
	})
}

func (x *explorer) beat(s *system, span int64) {
	s.now += span
	s.beats++
	for i := range s.nodes {
		x.at(s, i, func(c *Node) Ready { return c.Tick(s.now) })
	}
}

// next is the usual course.
func (x *explorer) next(s *system) *system {
	if len(s.todo) == 0 {
		n := s.then("time passes")
		x.beat(n, 130)
		return n
	}
	n := s.then("")
	x.do(n, 0)
	return n
}

func (x *explorer) start(s *system, i int) {
	n := s.nodes[i]
	kept := n.disk
	kept.Entries = slices.Clone(kept.Entries)
	n.core, n.queue = New(n.id, DefaultConfig(1), kept, n.founders, func() float64 { return float64(i) / 5 }, s.now), nil
	n.seal()
	s.todo = slices.DeleteFunc(s.todo, func(a action) bool { return a.node == i && a.msg == nil })
}

// off takes a node out of the system, with its disk.
func (x *explorer) off(s *system, i int, back bool) {
	n := *s.nodes[i]
	s.nodes[i] = &n
	if s.counts(n.id) {
		s.lost, s.lostAt = n.id, s.now
	}
	n.core, n.queue, n.disk, n.founders = nil, nil, RestoredState{}, nil
	n.seal()
	if !back {
		return
	}
	if x.out == "name" {
		n.founders = s.nodes[(i+1)%3].founders
	} else {
		n.id = ID(fmt.Sprintf("%s+%dw", n.id.Address(), len(n.id))) // no life before it had this name
	}
	x.start(s, i)
}

// counts says whether one is a member by anybody's knowledge.
func (s *system) counts(id ID) bool {
	return slices.ContainsFunc(s.nodes, func(n *node) bool { return n.core != nil && n.core.isMember(id) })
}

// leave are all ways to leave the usual course at a moment.
func (x *explorer) leave(s *system) (all []*system) {
	add := func(what string, do func(n *system)) {
		n := s.then(what)
		do(n)
		all = append(all, n)
	}
	if len(s.todo) > 0 {
		if len(s.todo) > 1 {
			add("late", func(n *system) { n.todo = append(n.todo[1:], n.todo[0]) })
		}
		if s.todo[0].msg != nil {
			add("lost", func(n *system) { n.todo = n.todo[1:] })
		}
		add("time passes early", func(n *system) { x.beat(n, 130) })
	}
	for i, m := range s.nodes {
		if m.core == nil {
			continue
		}
		if s.spent.power < x.rare.power {
			add(fmt.Sprintf("%s loses power", m.id), func(n *system) {
				n.spent.power++
				c := *n.nodes[i]
				n.nodes[i] = &c
				x.start(n, i)
			})
		}
		if s.spent.loss < x.rare.loss && s.lost == "" && s.counts(m.id) {
			add(fmt.Sprintf("%s loses its disk", m.id), func(n *system) { n.spent.loss++; x.off(n, i, true) })
			add(fmt.Sprintf("%s is gone", m.id), func(n *system) { n.spent.loss++; x.off(n, i, false) })
		}
		if s.spent.leave < x.rare.leave && m.core.LeaveState() == LeaveNotStarted {
			add(fmt.Sprintf("%s is to end", m.id), func(n *system) {
				n.spent.leave++
				x.at(n, i, func(c *Node) Ready { return c.Leave(n.now) })
			})
		}
		if s.spent.expiry < x.rare.expiry && m.core.isMember(m.id) && !m.core.IsLeader() {
			add(fmt.Sprintf("%s hears nobody", m.id), func(n *system) {
				n.spent.expiry++
				n.now += 960
				x.at(n, i, func(c *Node) Ready { return c.Tick(n.now) })
			})
		}
		if s.spent.order < x.rare.order && m.core.HoldsLease(s.now) {
			add("an order", func(n *system) {
				n.spent.order++
				n.orders++
				x.at(n, i, func(c *Node) Ready {
					_, o := c.Propose(fmt.Appendf(nil, "o%d", n.orders), n.now)
					return o
				})
			})
		}
	}
	return all
}

func (x *explorer) breaks(s *system, format string, args ...any) {
	if x.broken != "" {
		return
	}
	var path []string
	for ; s != nil; s = s.before {
		if s.what != "" {
			path = append(path, fmt.Sprintf("%d ms: %s, with %d under way, leads %d", s.now, s.what, len(s.todo), s.leads()))
		}
	}
	slices.Reverse(path)
	x.broken = fmt.Sprintf(format, args...) + "\nafter\n" + strings.Join(path, "\n")
}

// check asserts what is to hold at each moment.
func (x *explorer) check(s *system) {
	holds := ID("")
	for _, n := range s.nodes {
		if n.core != nil && n.core.HoldsLease(s.now) {
			if holds != "" {
				x.breaks(s, "%s and %s both hold a view", holds, n.id)
			}
			holds = n.id
		}
	}
	if s.lost != "" && s.madeGood() {
		s.lost = ""
	}
	key := uint64(len(s.order))<<32 ^ uint64(len(s.lost))
	for i, n := range s.nodes {
		key = key*1000003 ^ n.diskHash + uint64(i)
	}
	if !x.disks[key] { // all lose power, and one its disk
		x.disks[key] = true
		if s.lost != "" {
			x.survives(s, "")
			return
		}
		for _, n := range s.nodes {
			if n.core != nil {
				x.survives(s, n.id)
			}
		}
	}
	if x.out == "" && s.lost == "" && s.key()%1500 == 0 { // one is gone, and the others go on
		for i, n := range s.nodes {
			if n.core != nil {
				x.probes++
				x.goesOn(s, i)
			}
		}
	}
}

// madeGood says whether the newest members are all there, and enough of them know that they are.
func (s *system) madeGood() bool {
	newest := s.newest()
	counted := func(first uint64, all []Entry) bool { // by a change that may yet come about
		return slices.ContainsFunc(all[min(uint64(len(all)), newest+1-min(first, newest+1)):], func(e Entry) bool { return slices.Contains(e.Members, s.lost) })
	}
	for _, a := range s.todo {
		if a.msg != nil && counted(a.msg.Index+1, a.msg.Entries) {
			return false
		}
	}
	there, know := 0, 0
	for _, n := range s.nodes {
		if n.core != nil && (counted(1, n.core.log.entries) || counted(1, n.disk.Entries)) {
			return false
		}
		if n.core == nil {
			continue
		}
		if slices.Contains(s.seats[newest], n.id) && n.id != s.stopped {
			there++
			if n.disk.HardState.CommittedConfigIndex >= newest {
				know++
			}
		}
	}
	return there == len(s.seats[newest]) && 2*know > there
}

func (r *RestoredState) at(i uint64) (view uint64, held bool) {
	if i == 0 || i > uint64(len(r.Entries)) {
		return 0, i == 0
	}
	return r.Entries[i-1].Term, true
}

// survives asserts that the disks, without one, hold all that was delivered and can elect one that does. It is worked out
// apart from Core, by what votes are given for.
func (x *explorer) survives(s *system, without ID) {
	var left []*node
	for _, n := range s.nodes {
		if n.core != nil && n.id != without {
			left = append(left, n)
		}
	}
	why := "no copy"
	for _, n := range left {
		d := &n.disk
		last := uint64(len(d.Entries))
		holds := last+1 >= uint64(len(s.order))
		for i := 1; holds && i < len(s.order); i++ {
			holds = s.order[i] == fmt.Sprintf("%d:%s", d.Entries[i-1].Term, d.Entries[i-1].Data)
		}
		if !holds {
			continue
		}
		settled := d.HardState.CommittedConfigIndex
		for _, o := range left { // votes tell it
			mine, held := d.at(o.disk.HardState.CommittedConfigIndex)
			theirs, _ := o.disk.at(o.disk.HardState.CommittedConfigIndex)
			if x.out != "telling" && held && mine == theirs {
				settled = max(settled, o.disk.HardState.CommittedConfigIndex)
			}
		}
		active := [][]ID{n.founders}
		for i, e := range d.Entries {
			if len(e.Members) > 0 {
				if uint64(i)+1 <= settled {
					active = nil
				}
				active = append(active, e.Members)
			}
		}
		if x.out == "joint" {
			active = active[len(active)-1:]
		}
		elected := slices.ContainsFunc(active, func(g []ID) bool { return slices.Contains(g, n.id) })
		for _, g := range active {
			votes := 0
			for _, o := range left {
				view, _ := d.at(last)
				theirs, _ := o.disk.at(uint64(len(o.disk.Entries)))
				if slices.Contains(g, o.id) && (view > theirs || view == theirs && last >= uint64(len(o.disk.Entries))) {
					votes++
				}
			}
			elected = elected && 2*votes > len(g)
		}
		if elected {
			return
		}
		why = "no majority"
	}
	x.breaks(s, "all lose power, %q its disk: %s of %d places (%s)", without, why, len(s.order)-1, s.show())
}

func (s *system) show() string {
	var all []string
	for _, n := range s.nodes {
		if n.core != nil {
			all = append(all, fmt.Sprintf("%s: view %d, %d entries, settled %d, members %v", n.id, n.disk.HardState.Term, len(n.disk.Entries),
				n.disk.HardState.CommittedConfigIndex, n.core.Members()))
		}
	}
	return strings.Join(all, "; ")
}

// goesOn asserts that without one the others serve again, with all that was delivered, within 12 s.
func (x *explorer) goesOn(s *system, i int) {
	n := s.then(fmt.Sprintf("%s is gone, the others go on", s.nodes[i].id))
	gone := *n.nodes[i]
	gone.core, gone.queue = nil, nil
	gone.seal()
	n.nodes[i] = &gone
	chance := rand.New(rand.NewPCG(s.key(), 1)) // not in step with each other for good
	for j := range n.nodes {
		x.at(n, j, func(c *Node) Ready { c.random = chance.Float64; return Ready{} })
	}
	for n.beats = 0; n.beats < 240; {
		for acts := 0; len(n.todo) > 0; acts++ {
			if acts > 3000 {
				x.breaks(n, "no end of messages: %+v", n.todo[0].msg)
				return
			}
			x.do(n, 0)
		}
		for _, m := range n.nodes {
			if m.core != nil && m.core.HoldsLease(n.now) && int(m.core.CommitIndex())+1 >= len(s.order) {
				return
			}
		}
		x.beat(n, 50)
	}
	x.breaks(n, "nobody serves (%s)", n.show())
}

// walk explores a system's usual course, and what leaves it at most so many times.
func (x *explorer) walk(s *system, left int) {
	for x.broken == "" && s.beats <= x.last && !s.beyond {
		key := s.key()
		if int(x.seen[key]) > left {
			return
		}
		x.seen[key] = int8(left + 1)
		x.states++
		x.check(s)
		if left > 0 {
			for _, n := range x.leave(s) {
				x.walk(n, left-1)
			}
		}
		s = x.next(s)
	}
}

// begin is a system that has led for long, with two learners that hold all.
func (x *explorer) begin() *system {
	s := &system{now: 1 << 20, order: []string{""}, seats: map[uint64][]ID{0: {"a", "b", "c"}}}
	for i, id := range []ID{"a", "b", "c", "d+1", "e+1"} {
		n := &node{id: id}
		if i < 3 {
			n.founders = []ID{"a", "b", "c"}
		}
		s.nodes = append(s.nodes, n)
		x.start(s, i)
	}
	for s.beats < 24 {
		s = x.next(s)
		if s.beats == 10 && s.orders == 0 && len(s.todo) == 0 {
			s.orders++
			for i, n := range s.nodes {
				if n.core.IsLeader() {
					x.at(s, i, func(c *Node) Ready { _, o := c.Propose([]byte("first"), s.now); return o })
				}
			}
		}
	}
	for len(s.todo) > 0 {
		s = x.next(s)
	}
	s.beats, s.before, s.what = 0, nil, ""
	return s
}

// leads is the place of the one that leads.
func (s *system) leads() int {
	return slices.IndexFunc(s.nodes, func(n *node) bool { return n.core != nil && n.core.IsLeader() })
}

// The courses that are explored: how each begins.
var courses = []struct {
	name  string
	begin func(x *explorer, s *system)
}{
	{"a member that follows is to end", func(x *explorer, s *system) {
		x.at(s, (s.leads()+1)%3, func(c *Node) Ready { return c.Leave(s.now) })
	}},
	{"the one that leads is to end", func(x *explorer, s *system) {
		x.at(s, s.leads(), func(c *Node) Ready { return c.Leave(s.now) })
	}},
	{"one is to end, and who stands by has just started", func(x *explorer, s *system) {
		for _, id := range []ID{"d+1", "e+1"} {
			x.at(s, s.leads(), func(c *Node) Ready { delete(c.peers, id); return Ready{} })
		}
		for i := 3; i < 5; i++ {
			n := *s.nodes[i]
			n.disk = RestoredState{}
			n.id = ID(n.id.Address() + "+2")
			s.nodes[i] = &n
			x.start(s, i)
			x.at(s, i, func(c *Node) Ready { return c.Tick(s.now) })
		}
		x.at(s, (s.leads()+1)%3, func(c *Node) Ready { return c.Leave(s.now) })
	}},
	{"two are to end", func(x *explorer, s *system) {
		l := s.leads()
		x.at(s, l, func(c *Node) Ready { return c.Leave(s.now) })
		x.at(s, (l+1)%3, func(c *Node) Ready { return c.Leave(s.now) })
	}},
	{"one loses its disk", func(x *explorer, s *system) { x.off(s, (s.leads()+1)%3, true) }},
	{"the one that leads is gone", func(x *explorer, s *system) { x.off(s, s.leads(), false) }},
}

func explore(t *testing.T, out string, deep, last int, name string) (x *explorer) {
	x = &explorer{out: out, seen: map[uint64]int8{}, disks: map[uint64]bool{}, last: last, rare: spent{1, 1, 1, 1, 1}}
	defer func() {
		if p := recover(); p != nil { // an assertion of the log itself
			x.broken = fmt.Sprint(p)
		}
	}()
	for _, c := range courses {
		if name != "" && c.name != name {
			continue
		}
		states := x.states
		s := x.begin()
		require.GreaterOrEqual(t, s.leads(), 0)
		require.Empty(t, x.broken)
		s = s.then(c.name)
		c.begin(x, s)
		x.walk(s, deep)
		if out == "" {
			t.Logf("%s: %d states", c.name, x.states-states)
		}
		if x.broken != "" {
			x.broken = c.name + ": " + x.broken
			break
		}
	}
	return x
}

func TestNoLossRightAfterAnyStepLeavesNoMajorityOrNoCopy(t *testing.T) {
	type way struct{ deep, last int }
	ways := []way{{1, 18}, {2, 0}}
	if testing.Short() {
		ways = []way{{1, 6}}
	}
	if *deviations > 0 {
		ways = []way{{*deviations, *beats}}
	}
	for _, w := range ways {
		x := explore(t, "", w.deep, w.last, *course)
		require.Empty(t, x.broken)
		t.Logf("%d times off the usual course, %d heartbeats: %d states, %d of disks, %d went on without one", w.deep, w.last, x.states,
			len(x.disks), x.probes)
	}
}

// Each defence, taken out, must be caught.
func TestTheExplorationCatchesEachDefenceTakenOut(t *testing.T) {
	for _, out := range []struct{ defence, course string }{
		{"early", "one is to end, and who stands by has just started"}, // a seat is given to a learner that lacks entries
		{"joint", "two are to end"},                                    // the newest members alone must agree
		{"settled", "the one that leads is to end"},                    // Settled is forgotten
		{"asked", "a member that follows is to end"},                   // it ends once it has asked
		{"agreed", "a member that follows is to end"},                  // it ends once the leader has delivered the change
		{"telling", "a member that follows is to end"},                 // votes do not tell what is delivered
		{"name", "one loses its disk"},                                 // a wiped disk's member comes back under its old name
	} {
		x := explore(t, out.defence, 2, 6, out.course)
		require.NotEmpty(t, x.broken, "%s: %d states saw nothing", out.defence, x.states)
		t.Logf("%s: caught after %d states: %s", out.defence, x.states, x.broken)
	}
}
