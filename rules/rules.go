// Package rules decides where each command of a replicated database goes. The
// interface is in door.go: a caller makes a Router with New, tells it the time,
// the host list and what comes in, and carries out what it asks for. Nothing
// here blocks, and all state belongs to one Router.
//
// The design: writes leave a token, the position of their commit; a session's
// read goes to a replica known at or past its token, else to the primary.
// Beside the design stand these mechanisms:
//
//  1. caps: what is in flight at a host is capped, by its answers' lateness
//  2. silence: a host is left when it is silent for unusually long, or cannot
//     be reached, and is tried again by one command at a time
//  3. hold: what has no place waits here, worthiest first, while it is of use
//  4. cold budget: a host just started gets a share of what warm hosts do
//  5. expectation: where hosts check reads, a member expected to be new enough
//     counts as eligible
//  6. repeats: a client's last try counts its response target from the first
package rules

import (
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"sort"
	"strconv"
)

// Router is one router's view of the deployment.
type Router struct {
	Deployment
	caller  Caller
	now     Tenth
	draws   uint32
	sets    map[int64]*Set
	ordered []*Set
	tokens  [2]map[string]Tenth // by session: this generation and the last
	floor   Tenth               // no forgotten token is greater
	quiet   Tenth               // how long a position stays good: half the least bound
	credit  float64             // probes that may be spent
	cured   float64             // the part of errors that another host doesn't repeat
	ids     map[string]*Node    // by what they are called among routers
	words   float64             // bytes that may be told to other routers
	rank    float64             // the mean of commands
	wakeAt  Tenth               // other wakes are left over
	lookAt  Tenth               // when to look at all hosts again
	gaps    ring                // between answers of any one host
	usual   float64             // latency of an answer
	crowd   float64             // the mean part of the response target that answers take
	kinds   []*kind
}

// kind gathers hosts of like size.
type kind struct {
	name       string
	warm       float64 // the mean work that warm ones did in a tenth, for each unit of size
	done, size float64
	seen       float64 // for how long
}

// Set is a replica set: a primary and the replicas of its data.
type Set struct {
	r       *Router
	members []*Node // in id order
	primary *Node   // as far as known
	held    []*Cmd  // worthiest first
	next    int     // the member to ask next for the primary
	lookAt  Tenth   // when to ask it
}

// Node is a database host.
type Node struct {
	Name              string
	set               *Set
	kind              *kind
	zone              string
	size              float64
	standing          Standing
	listed, hint      bool  // by the list, and as primary
	boot              Tenth // when it last started; 0: long ago
	role              Role
	roleAt            Tenth
	known             bool
	pos, posAt        Tenth // it has applied all up to pos, learned at posAt
	lag               Tenth // how far it was behind when last heard of
	probing           bool
	out               []*Cmd
	cap, crowd        float64 // crowd: the mean part of the response target that its answers took
	share             float64 // of what comes for it that it gets, while crowded
	judgedAt, toldAt  Tenth
	quickAt           Tenth // when what it answered in good time was sent
	cutAt             Tenth
	since             Tenth // when it last answered, or was given work while idle
	gaps              ring
	spare             float64 // work that it may be sent while cold
	spareAt           Tenth
	left, dark        bool // silent or unreachable; unreachable
	trialAt, patience Tenth
}

// Cmd is the handle of a command.
type Cmd struct {
	Name                   string
	set                    *Set
	group                  *CmdGroup
	session                string
	token                  Tenth // what a read must see, but for Bounded
	taken, target, timeout Tenth
	benefit                float64
	Node                   *Node // where it is out
	sentAt, sentFor        Tenth // when, and asking for which position
	Sent                   int   // its dispatches so far
	maybe                  Tenth // when the first dispatch that may have run was sent
	tried                  []*Node
	over, held, called     bool // called: its dispatch has been cancelled
	erred                  bool // a host answered it with an error
	luck                   float64
}

// ring measures over time, in fixed buckets that are used again.
type ring struct {
	at         [8]Tenth
	n, sum, sq [8]float64
}

func (b *ring) add(now, span Tenth, v float64) {
	i := now / span % 8
	if b.at[i] != now/span {
		b.at[i], b.n[i], b.sum[i], b.sq[i] = now/span, 0, 0, 0
	}
	b.n[i]++
	b.sum[i] += v
	b.sq[i] += v * v
}

func (b *ring) total(now, span Tenth, buckets Tenth) (n, sum, sq float64) {
	for i := range b.at {
		if b.at[i] > now/span-buckets {
			n, sum, sq = n+b.n[i], sum+b.sum[i], sq+b.sq[i]
		}
	}
	return n, sum, sq
}

const (
	second     = Tenth(10000)
	unusual    = 12.0 // deviations of silence beyond the mean
	late       = 0.3  // of the response target: a mean latency that tells of crowding
	spillShare = 0.125
	full       = 15      // what routers tell of a host that turns commands away
	sessions   = 1 << 15 // tokens in a generation
)

// New starts a router.
func New(caller Caller, d Deployment, now Tenth) *Router {
	r := &Router{Deployment: d, caller: caller, now: now, sets: map[int64]*Set{}, quiet: second / 2, cured: 1,
		ids: map[string]*Node{}}
	for _, g := range r.Groups {
		if g.Need == Bounded {
			r.quiet = min(r.quiet, g.Bound/2)
		}
		g.latency, g.count = float64(g.Target)/3, 1
		r.usual += g.latency / float64(len(r.Groups))
	}
	r.tokens = [2]map[string]Tenth{{}, {}}
	r.Tick = max(r.Tick, 10)
	r.lookAt = now
	r.wake(2 * r.Tick)
	return r
}

// Clock tells the time of the calls that follow. A wake that is long overdue says
// that this router itself stood still: no host was silent meanwhile.
func (r *Router) Clock(now Tenth) {
	if stood := now - max(r.now, r.wakeAt); stood > second/20 {
		for _, s := range r.ordered {
			for _, n := range s.members {
				n.since += stood
			}
		}
	}
	r.now = max(r.now, now)
}

// wake asks for a call of Woke, unless one comes sooner.
func (r *Router) wake(after Tenth) {
	if r.wakeAt <= r.now || r.wakeAt > r.now+after {
		r.wakeAt = r.now + after
		r.caller.Wake(after)
	}
}

func (r *Router) chance() float64 {
	r.draws++
	b := binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, r.Seed), r.draws)
	return float64(crc32.ChecksumIEEE(b)) / (1 << 32)
}

func (r *Router) set(id int64) *Set {
	s := r.sets[id]
	if s == nil {
		s = &Set{r: r}
		r.sets[id] = s
		r.ordered = append(r.ordered, s)
	}
	return s
}

// Host introduces a host of the list.
func (r *Router) Host(name string, set int64) *Node {
	s := r.set(set)
	n := &Node{Name: name, set: s, cap: 4, size: 1, share: 1, judgedAt: r.now}
	r.ids[n.id()] = n
	s.members = append(s.members, n)
	sort.Slice(s.members, func(i, j int) bool { return s.members[i].Name < s.members[j].Name })
	return n
}

// Listed is what the list says of a host. A drain or a removal counts from now.
func (n *Node) Listed(standing Standing, primary bool, zone, like string, size float64, boot Tenth) {
	n.listed, n.zone, n.size = true, zone, max(size, 0.1)
	if n.kind == nil {
		r := n.set.r
		i := slices.IndexFunc(r.kinds, func(k *kind) bool { return k.name == like })
		if i < 0 {
			i, r.kinds = len(r.kinds), append(r.kinds, &kind{name: like})
		}
		n.kind = r.kinds[i]
	}
	if boot > n.boot {
		n.boot, n.cap, n.left, n.trialAt = boot, 2, false, 0
		n.spare, n.spareAt = n.set.r.chance(), n.set.r.now
	}
	if standing == Gone && n.set.r.DrainAlone && n.standing == In {
		return // such a list doesn't prove that the host is down
	}
	n.standing = standing
	if s := n.set; primary && s.primary == nil {
		s.next = slices.Index(s.members, n)
	}
	if standing != In && n.set.primary == n {
		n.set.primary = nil
	}
}

// ListDone ends a list; what a complete one lacks is gone.
func (r *Router) ListDone(complete bool) {
	for _, s := range r.ordered {
		for _, n := range s.members {
			if complete && !n.listed {
				n.Listed(Gone, false, n.zone, "", n.size, n.boot)
			}
			n.listed = false
		}
	}
	r.probe()
}

// Take is the ordinary path of a command, up to its first dispatch.
func (r *Router) Take(name string, g *CmdGroup, set int64, session string, timeout, since Tenth,
	share *Share, again bool) *Cmd {
	s := r.set(set)
	c := &Cmd{Name: name, set: s, group: g, session: session, taken: r.now, target: r.now + g.Target,
		timeout: timeout, benefit: g.Benefit}
	// First tries all have the same time. One that has another is a repeat with
	// all that is left to the client, and its response target counts from the
	// first try. Guards against jams made of repeats.
	given := timeout - r.now
	if max(given-g.given, g.given-given) <= 2*r.Tick {
		g.votes = min(g.votes+1, 64)
	} else if g.votes--; g.votes < 0 && !again {
		g.given, g.votes = given, 0
	} else {
		c.target = min(c.target, timeout-g.Timeout+g.Target)
	}
	if c.target <= r.now {
		c.benefit *= g.LateShare
	}
	c.luck = r.chance()
	r.rank += (c.rank() - r.rank) / 64
	r.words = min(r.words+0.008/max(r.PeerPrice, 0.008)*256, float64(64*r.Routers))
	if share != nil {
		share.meter.add(r.now, second, 1)
		if n, _, _ := share.meter.total(r.now, second, 3); n > 3*share.PerSecond/float64(r.Routers) {
			c.benefit *= r.OverShare
		}
	}
	r.credit = min(r.credit+0.005/max(r.ProbePrice, 0.005), 16)
	switch {
	case g.Need == Fresh:
		c.token = r.now - r.Zero
	case g.Need == Session:
		c.token = r.token(session)
		if since > 0 {
			c.token = max(c.token, r.now-r.Zero-since)
		}
	}
	if !c.route() {
		c.hold()
	}
	return c
}

// route finds a place for a command and dispatches it, or says that there is
// none now. Everything is checked anew at each dispatch.
func (c *Cmd) route() bool {
	s, r, p := c.set, c.set.r, c.set.primary
	if c.group.Need == Write {
		return c.write()
	}
	need := c.token
	if c.group.Need == Bounded {
		need = r.now - r.Zero - c.group.Bound
	}
	var best *Node
	if c.group.Need != Fresh {
		// Evenly over the replicas known to be new enough: the least loaded.
		best = s.least(c, need)
		if best != nil && p != nil && r.chance() < spillShare && p.open(c, 0.5) && p.crowd < 1.3*r.crowd &&
			p.load() <= best.load() {
			best = p
		}
	}
	if best == nil && p != nil && p.open(c, 0.7) && (p.crowd < late || c.group.Need == Fresh) {
		best = p
	}
	if best == nil {
		return false
	}
	c.dispatch(best, need)
	return true
}

// write sends to the primary. With none known, or the known one silent, the
// set's writes try the members in id order, one every few ticks; others wait.
func (c *Cmd) write() bool {
	s, r := c.set, c.set.r
	if p := s.primary; p != nil && !p.left {
		if !p.open(c, 1) {
			return false
		}
		c.dispatch(p, 0)
		return true
	}
	if r.now < s.lookAt || 2*c.Sent >= r.Dispatches {
		return false
	}
	for range s.members {
		n := s.members[s.next%len(s.members)]
		s.next++
		if !n.left && !slices.Contains(c.tried, n) && n.open(c, 1) {
			s.lookAt = r.now + 4*r.Tick
			c.dispatch(n, 0)
			return true
		}
	}
	return false
}

// least is the least loaded of the replicas at or past need. The more routers
// there are, the less one knows of the load and the more chance decides, so
// that all do not move to the same host at once.
func (s *Set) least(c *Cmd, need Tenth) *Node {
	var best *Node
	least := 0.0
	for _, n := range s.members {
		if n != s.primary && n.reached(need) && !slices.Contains(c.tried, n) && n.open(c, 1) {
			if l := n.load() * math.Pow(-math.Log(1-s.r.chance()), 1.01-1/float64(s.r.Routers)); best == nil || l < least {
				best, least = n, l
			}
		}
	}
	return best
}

// reached says that a member is at or past a position, if any. Where hosts check reads
// themselves, one expected there, or long unheard of, will do: a wrong guess costs
// a miss. That guards against members that go unused since positions have aged.
func (n *Node) reached(need Tenth) bool {
	r := n.set.r
	return need <= 0 || n.known && n.pos >= need ||
		r.Guarded && (n.known && r.now-r.Zero-n.lag >= need || r.now >= n.posAt+second && len(n.out) == 0)
}

func (n *Node) load() float64 { return float64(n.busy()+1) * (n.crowd + late/4) / n.size }

// busy is what is out, but for what is long past its target while the host
// answers others. It guards against lost answers, which would fill the cap.
func (n *Node) busy() (hoped int) {
	for _, c := range n.out {
		if out := n.set.r.now - c.sentAt; out < c.group.Target || n.crowd > late && out < 2*c.group.Target {
			hoped++
		}
	}
	return hoped
}

// open says whether the host may be sent the command now, filling part of its cap.
func (n *Node) open(c *Cmd, part float64) bool {
	r := n.set.r
	if n.standing != In || n.dark || r.now < n.trialAt {
		return false
	}
	if n.left { // one replayable command at a time finds out whether it is back
		return c.group.Effect == Replayable && len(c.tried) == 0
	}
	if r.now >= c.target && c.group.LateShare == 0 {
		part /= 2 // it can earn nothing: what is spare will do
	}
	if float64(n.busy()) >= n.cap*part {
		return false
	}
	if n.share < 1 && c.luck*r.rank > n.share*c.rank() {
		return false
	}
	return !n.cold() || n.budget(c)
}

func (n *Node) cold() bool { return n.boot != 0 && n.set.r.now < n.boot+n.set.r.ColdFor }

// budget lets the work sent to a cold host come to no more than its part of what
// the host can do. Every router counts what its own warm hosts do, so that all
// together keep within the sum; many that each may send less than one command
// save for it, each from a part drawn by chance, so that no two hundred send
// their first at once. It guards hosts that started for any reason, listed or
// not; it can hurt where the warm ones have little to do.
func (n *Node) budget(c *Cmd) bool {
	r := n.set.r
	grown := float64(r.now-r.FallSpan-n.boot) / float64(r.ColdFor)
	part := r.ColdFrom + (1-r.ColdFrom)*max(0, grown)
	rate := 0.5 * r.FallFactor * part * n.kind.warm * n.size
	n.spare = min(n.spare+rate*float64(r.now-n.spareAt), max(1, rate*float64(r.FallSpan)/2))
	n.spareAt = r.now
	return n.spare >= max(1, c.work())
}

// work is how much a command asks for, in commands of the usual mix.
func (c *Cmd) work() float64 { return c.group.latency / max(c.set.r.usual, 1) }

func (c *Cmd) dispatch(n *Node, need Tenth) {
	r := c.set.r
	if len(n.out) == 0 {
		n.since = r.now
	}
	if n.left {
		n.patience = min(2*n.patience, 2*second)
		n.trialAt = r.now + n.patience
	}
	n.out = append(n.out, c)
	n.spare -= c.work()
	c.Node, c.sentAt, c.sentFor, c.called = n, r.now, need, false
	c.Sent, c.held = c.Sent+1, false
	r.caller.Dispatch(c, n, 0)
}

// hold keeps a command here until there is a place for it: the worthiest go
// first, then the newest. That guards against a jam in which each command is
// sent when it is nearly too old to be of use, whatever filled the queue.
func (c *Cmd) hold() {
	s := c.set
	if !c.useful() {
		c.giveUp()
		return
	}
	c.held = true
	s.r.wake(2 * s.r.Tick)
	i := sort.Search(len(s.held), func(i int) bool {
		a, b := s.held[i].rank(), c.rank()
		return a < b || a == b && s.held[i].taken <= c.taken
	})
	s.held = slices.Insert(s.held, i, c)
}

func (c *Cmd) rank() float64 { return c.benefit / c.group.latency }

// serve gives what is held its place, worthiest first, and gives up what can
// no longer be useful.
func (s *Set) serve() {
	kept := s.held[:0]
	for _, c := range s.held {
		switch {
		case c.over || !c.held:
		case !c.useful():
			c.giveUp()
		case !c.route():
			kept = append(kept, c)
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
}

// useful says whether a held command may still earn something.
func (c *Cmd) useful() bool {
	r, g := c.set.r, c.group
	if r.now+2*r.Tick >= c.timeout {
		return false
	}
	if g.Need == Write {
		return r.now < c.taken+(c.timeout-c.taken)/4
	}
	return r.now+Tenth(g.latency) < min(c.target, c.timeout)
}

// giveUp is the final answer of a command that has no place: throttled where a
// repeat is harmless.
func (c *Cmd) giveUp() {
	r, g := c.set.r, c.group
	c.over, c.held = true, false
	if c.maybe == 0 || g.Effect == Replayable || g.Effect == Keyed && g.EverySet {
		r.caller.Throttle(c, min(r.Comeback, g.Timeout/4))
	} else {
		r.caller.Fail(c)
	}
}

// again says whether one more dispatch is allowed. After an error one other host
// is asked, and hardly that while other hosts repeat most errors: then it is the
// commands that are bad, not the hosts. It guards against floods of such; it
// hurts while several hosts fail at once.
func (c *Cmd) again(o Outcome) bool {
	r, g := c.set.r, c.group
	if c.Sent >= r.Dispatches || r.now+r.Tick >= c.timeout {
		return false
	}
	if o == Errored && (c.erred || r.chance() > 2*r.cured) {
		return false
	}
	return c.maybe == 0 || g.Effect == Replayable ||
		g.Effect == Keyed && r.now+r.Tick < c.maybe+g.Memory
}

// Over says that nothing more will come for the command.
func (c *Cmd) Over() bool { return c.over && c.Node == nil }

// Left ends a command whose client is gone.
func (c *Cmd) Left() { c.over, c.held = true, false }

// Ended is the outcome of the dispatch that was out. pos is -1 where there is
// none; over says that the client has its answer or has gone.
func (c *Cmd) Ended(o Outcome, pos Tenth, role Role, cost Tenth, over bool) {
	n, s, r, g := c.Node, c.set, c.set.r, c.group
	if n == nil {
		return
	}
	c.Node = nil
	n.ended(c, o, cost)
	if role != Unknown {
		n.is(role, r.now)
		if o == Answered {
			n.tell(pos, role, float64(cost)/float64(g.Target))
		}
	}
	if g.Need == Write && o == Answered {
		r.stamp(c.session, pos)
		pos -= 10 // commits are rounded up
	}
	if pos >= 0 && role != Unknown {
		n.learn(pos)
	}
	switch o {
	case Answered:
		if r.Guarded && g.Need != Write && c.sentFor > n.pos && n.role != Primary {
			n.known, n.pos, n.posAt = true, c.sentFor, r.now
			n.lag = min(n.lag, c.sentAt-r.Zero-c.sentFor)
		}
	case Missed:
		c.tried = append(c.tried, n)
		if g.Need != Write {
			n.lag, n.posAt = max(n.lag, r.now-r.Zero-c.sentFor+1), r.now
		}
	case Errored, TimedOut, Reset, Cancelled:
		if c.maybe == 0 {
			c.maybe = c.sentAt
		}
	}
	if c.erred && o == Answered {
		r.cured += (1 - r.cured) / 8
	} else if c.erred && o == Errored {
		r.cured = max(r.cured*0.875, 0.02)
	}
	c.over = c.over || over || o == Answered
	if !c.over {
		again := c.again(o)
		c.erred = c.erred || o == Errored
		if o == Errored {
			c.tried = append(c.tried, n)
		}
		if !again {
			c.giveUp()
		} else if !c.route() {
			c.hold()
		}
	}
	s.serve()
}

// ended books an outcome on the host.
func (n *Node) ended(c *Cmd, o Outcome, cost Tenth) {
	r, g := n.set.r, c.group
	n.out = slices.Delete(n.out, slices.Index(n.out, c), slices.Index(n.out, c)+1)
	switch {
	case o == Unreached && n.since <= c.sentAt: // down or cut off: silent too
		n.dark = r.Probes
		n.leave()
		return
	case o == TimedOut:
		if c.sentAt > n.quickAt { // else what was sent later was answered: only its answer is lost
			n.judge(1)
			n.tell(n.pos, n.role, 1)
		}
		return
	case o == Reset, o == Cancelled, o == Moot:
		return
	}
	gap := float64(r.now - n.since)
	n.gaps.add(r.now, second, gap)
	r.gaps.add(r.now, second, gap)
	n.since = r.now
	if n.left {
		n.left, n.patience, n.trialAt = false, 0, 0
		n.cap = min(n.cap, 2)
	}
	switch {
	case o != Answered && o != Errored && o != Missed:
		n.full()
		n.tell(n.pos, n.role, full)
	case o == Answered:
		n.patience = 0
		g.latency += (float64(cost) - g.latency) / min(g.count+1, 500)
		g.count++
		r.crowd += (float64(cost)/float64(g.Target) - r.crowd) / 100
		r.usual += (g.latency - r.usual) / 100
		if !n.cold() {
			n.kind.done += c.work()
		}
		if n.judge(float64(cost) / float64(g.Target)); 2*cost < g.Target {
			n.quickAt = max(n.quickAt, c.sentAt)
		}
		if n.crowd <= late && float64(len(n.out)+1) >= n.cap/2 {
			n.cap += 1 / n.cap
		}
	}
}

// judge takes in how late an answer was, own or told; the fewer there are, the
// more each weighs. Late ones shrink the cap, once for all that tell of the same
// crowd. Where this router has too little out for its cap to matter, because it
// is one of hundreds, they shrink the share of commands that the host gets.
func (n *Node) judge(lateness float64) {
	now := n.set.r.now
	w := min(0.5, max(0.125, float64(now-n.judgedAt)/float64(2*second)))
	n.judgedAt = now
	n.crowd += (min(lateness, 1) - n.crowd) * w
	if lateness <= 0.5 {
		n.share = min(1, n.share*(1+w/2))
	} else if float64(len(n.out)) < n.cap/4 {
		n.share = max(1/float64(n.set.r.Routers), n.share*(1-w))
	}
	if n.crowd > late && now >= n.cutAt {
		n.cap, n.cutAt = max(1, n.cap*0.85), now+second/10
	}
}

// full leaves a host alone that turns away unseen, for longer each time: its fast
// refusals would draw ever more.
func (n *Node) full() {
	n.judge(1)
	n.patience = min(max(2*n.patience, second/50), second/2)
	n.trialAt = n.set.r.now + n.patience/2 + Tenth(n.set.r.chance()*float64(n.patience))
}

// id is what routers call a host among themselves.
func (n *Node) id() string {
	return base64.RawStdEncoding.EncodeToString(binary.LittleEndian.AppendUint32(nil, crc32.ChecksumIEEE([]byte(n.Name))))
}

// tell shares what an answer said of its host with the other routers, unless one
// has done so just before, for less than a point of service at the stated price.
// Each of hundreds of routers sees a host too seldom to know its position, role
// or crowding. Nothing depends on it: a loss of all leaves what each sees itself.
func (n *Node) tell(pos Tenth, role Role, lateness float64) {
	r := n.set.r
	if !r.Peers || pos < 0 || r.now < n.toldAt+r.quiet/8 {
		return
	}
	word := (pos/10*2+Tenth(role)%2)*16 + Tenth(min(full, 10*lateness+0.5))
	body := n.id() + strconv.FormatInt(word, 36)
	if cost := float64(len(body) * (r.Routers - 1)); cost <= r.words {
		r.words -= cost
		n.toldAt = r.now
		r.caller.Tell(body)
	}
}

// Heard is a message of another router. What no router of ours can have said is
// passed over.
func (r *Router) Heard(body string) {
	n := r.ids[body[:min(6, len(body))]]
	word, err := strconv.ParseInt(body[min(6, len(body)):], 36, 64)
	pos := word / 32 * 10
	if n == nil || err != nil || word < 0 || pos > r.now-r.Zero {
		return
	}
	n.toldAt = r.now
	n.Reported(pos, Replica-Role(word/16%2))
	switch lateness := float64(word % 16); {
	case lateness == full:
		n.full()
	default:
		if n.judge(lateness / 10); lateness < 5 {
			n.quickAt = r.now - second/10
		}
	}
}

// leave stops sending to a host and calls back what may run elsewhere.
func (n *Node) leave() {
	r := n.set.r
	if !n.left {
		n.left, n.patience = true, max(n.limit(), second/10)
		n.trialAt = r.now + n.patience
	}
	for _, c := range n.out {
		if c.group.Effect == Replayable && !c.over && !c.called && r.Cancel {
			c.called = true
			r.caller.Cancel(c)
		}
	}
}

// limit is the silence that is unusual for the host, given the gaps seen.
func (n *Node) limit() Tenth {
	r := n.set.r
	count, sum, sq := n.gaps.total(r.now, second, 8)
	if count < 16 {
		count, sum, sq = r.gaps.total(r.now, second, 8)
	}
	if count < 16 {
		return second / 2
	}
	mean := sum / count
	return Tenth(mean+unusual*math.Sqrt(max(0, sq/count-mean*mean))) + 2*r.Tick
}

// is takes in what a host said of its role at a time.
func (n *Node) is(role Role, at Tenth) {
	s := n.set
	if at < n.roleAt {
		return
	}
	n.role, n.roleAt = role, at
	if role == Primary && n.standing == In && (s.primary == nil || at >= s.primary.roleAt) {
		s.primary = n
	} else if role != Primary && s.primary == n {
		s.primary = nil
	}
}

// learn takes in a position. Positions are lower bounds and never go back.
func (n *Node) learn(pos Tenth) {
	if r := n.set.r; !n.known || pos >= n.pos {
		n.known, n.pos, n.posAt, n.lag = true, pos, r.now, max(0, r.now-r.Zero-pos)
	}
}

// Reported is what a load report says; it may be old.
func (n *Node) Reported(pos Tenth, role Role) {
	n.learn(pos)
	if role != Unknown {
		n.is(role, pos+n.set.r.Zero)
	}
}

// Probed ends a probe. A host that could not be reached and now can may have
// started anew, whatever the list says: its cap grows anew.
func (n *Node) Probed(ok bool) {
	n.probing = false
	if ok && n.dark {
		n.dark, n.left, n.patience, n.trialAt, n.cap = false, false, 0, 0, 2
	}
	if ok && n.known {
		n.tell(n.pos, n.role, n.crowd)
	}
}

// probe asks hosts whose position has aged, within what may be spent, the
// oldest first; each once when the router is new.
func (r *Router) probe() {
	if !r.Probes {
		return
	}
	for {
		var oldest *Node
		for _, s := range r.ordered {
			for _, n := range s.members {
				due := n.posAt + r.quiet
				if n.dark {
					due = n.trialAt
				}
				aged := n.posAt > 0 && !n.dark
				if n.standing == In && !n.probing && r.now >= due && (!aged || r.Reports && r.credit >= 1) &&
					(oldest == nil || n.posAt < oldest.posAt) && (!aged || r.turn()) {
					oldest = n
				}
			}
		}
		if oldest == nil {
			return
		}
		if oldest.posAt > 0 && !oldest.dark {
			r.credit--
		}
		oldest.probing, oldest.posAt = true, max(oldest.posAt, 1)
		if oldest.dark {
			oldest.trialAt = r.now + second/4
		}
		r.caller.Probe(oldest)
	}
}

// turn says whether it is for this router to do what one of them should do.
func (r *Router) turn() bool { return !r.Peers || r.chance()*float64(r.Routers) < 2 }

// Woke is called soon while commands are held, and now and then otherwise, so
// that hundreds of routers with hundreds of hosts cost little.
func (r *Router) Woke() {
	if r.now < r.wakeAt-r.Tick/2 {
		return
	}
	next := second / 20
	for _, s := range r.ordered {
		if len(s.held) > 0 {
			s.serve()
			next = 2 * r.Tick
		}
	}
	if r.now >= r.lookAt {
		r.look()
		r.lookAt = r.now + second/20
	}
	r.wake(next)
}

// look goes over all hosts.
func (r *Router) look() {
	for _, s := range r.ordered {
		for _, n := range s.members {
			n.crowd *= 0.9975 // what was crowded and has been spared is tried again
			n.share = min(1, n.share*1.0035)
			if len(n.out) > 0 && r.now-n.since > n.limit() {
				n.leave()
			}
			if n.standing == In && !n.left && !n.cold() {
				n.kind.size += n.size
			}
		}
	}
	for _, k := range r.kinds { // a mean over ten seconds: the most over a short time is chance
		if k.size > 0 {
			span := float64(r.now - r.lookAt + second/20)
			k.seen = min(k.seen+span, float64(10*second))
			k.warm += (k.done/k.size/span - k.warm) * span / k.seen
			k.done, k.size = 0, 0
		}
	}
	r.probe()
}

// stamp keeps the greatest token of a session, in bounded room.
func (r *Router) stamp(session string, pos Tenth) {
	if session == "" || pos <= r.token(session) {
		return
	}
	if len(r.tokens[0]) >= sessions {
		for _, t := range r.tokens[1] { // order doesn't matter to a maximum
			r.floor = max(r.floor, t)
		}
		r.tokens = [2]map[string]Tenth{{}, r.tokens[0]}
	}
	r.tokens[0][session] = pos
}

func (r *Router) token(session string) Tenth {
	if t, ok := r.tokens[0][session]; ok {
		return t
	}
	if t, ok := r.tokens[1][session]; ok || !r.Kept {
		return t
	}
	return r.floor
}
