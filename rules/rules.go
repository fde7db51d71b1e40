// Package rules decides where each command of a replicated database goes. The interface is door.go: a caller
// makes a Router with New, tells it the time, the list and what comes in, and does what it asks for.
//
// The design: writes leave a token, the position of their commit; a session's read goes to a replica known at
// or past its token, else to the primary. Beside the design stand these mechanisms:
//
//  1. caps and shares: what is out at a host, or its share of what comes, shrinks with late answers
//  2. silence: a host silent for unusually long, or out of reach, is left and tried again gently
//  3. hold: what has no place waits here, worthiest first, while it is of use
//  4. cold budget: a host just started gets a part of what warm hosts do
//  5. word: routers tell each other what answers say of hosts
//  6. repeats: a client's last try counts its target from the first; an error met twice is the command's
package rules

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Router is one router's view of the deployment.
type Router struct {
	Deployment
	caller                        Caller
	blind, asks, watching         bool  // no planner tells what is new; reads in need ask; the list was asked for
	now, wakeAt, lookAt, stoodTo  Tenth // the next wake; when hosts were gone over; when a stall ended
	quiet, floor, draws           Tenth // how long a position stays good; no forgotten token is greater
	watchAt, watchWait            Tenth // when to ask for the list next, 0: it comes; the wait after a refusal
	sets                          map[int64]*Set
	ordered                       []*Set
	nodes                         []*Node
	kinds                         map[string]*kind
	ids                           map[string]*Node // by what routers call them
	tokens                        map[string]Tenth // by session
	gaps                          ring             // between the answers of any one host
	credit, words, latency, worth float64          // probes to spend, bytes to tell; mean answer, mean rank
	aged, spend                   float64          // mean age of a report; what probes may cost
}

// kind is the mean work that warm hosts of a kind do in a tenth for each unit of size, and its makings.
type kind struct{ warm, done, size, seen float64 }

// Set is a replica set: a primary and the replicas of its data.
type Set struct {
	r       *Router
	members []*Node // in id order
	primary *Node   // as far as known
	held    []*Cmd  // worthiest first
	next    int     // the member to ask next for the primary
	lookAt  Tenth   // when to ask it
	asked   *Node   // the replica that was asked where it stands, for reads
	askedTo Tenth   // until when they wait for it
}

// Node is a database host.
type Node struct {
	Name, zone                         string
	set                                *Set
	kind                               *kind
	standing                           Standing
	role                               Role
	out                                []*Cmd
	listed, known, probing, left, dark bool    // left: silent or unreachable; dark: unreachable
	down                               bool    // it took no connection, and no probe tells when it is back
	conns, peak                        int     // open connections, as far as known: the most in use of late
	slowTo, peakAt                     Tenth   // until when none is opened; since when peak counts
	size, cap, share, crowd, spare     float64 // crowd: mean part of the target taken; spare: work while cold
	boot, spareAt, backoff, tightTo    Tenth   // boot: when it last started; 0: long ago
	roleAt, pos, posAt, lag            Tenth   // it had applied all up to pos at posAt, and was lag behind
	since, quickAt                     Tenth   // its last answer; when what it answered in good time was sent
	cutAt, judgedAt, toldAt, trialAt   Tenth
}

// Cmd is the handle of a command.
type Cmd struct {
	Name, session                 string
	set                           *Set
	group                         *CmdGroup
	Node                          *Node // where it is out
	tried                         []*Node
	asked                         *Node // the last one that was asked for it
	token, taken, target, timeout Tenth // token: what a read must see, but for Bounded
	sentAt, sentFor, maybe        Tenth // its dispatch, and for which position; the first that may have run
	Sent, asks                    int   // its dispatches so far, and what was asked for it
	SendBy                        Tenth // when the one that is out must be on its way; 0: whenever it can
	benefit, luck                 float64
	over, held, late, opens       bool // late: out past its target; opens: a connection comes up for it
	blame                         int  // for errors and broken connections
}

// ring measures over time, in fixed buckets of a second that are used again.
type ring [8]struct {
	at         Tenth
	n, sum, sq float64
}

func (b *ring) add(now Tenth, v float64) {
	k := &b[now/second%8]
	if k.at != now/second {
		k.at, k.n, k.sum, k.sq = now/second, 0, 0, 0
	}
	k.n, k.sum, k.sq = k.n+1, k.sum+v, k.sq+v*v
}

func (b *ring) total(now, buckets Tenth) (n, sum, sq float64) {
	for _, k := range b {
		if k.at > now/second-buckets {
			n, sum, sq = n+k.n, sum+k.sum, sq+k.sq
		}
	}
	return n, sum, sq
}

const (
	second     = Tenth(10000)
	unusual    = 12.0 // deviations of silence beyond the mean
	late       = 0.3  // of the response target: a mean latency that tells of crowding
	full       = 15   // what routers tell of a host that turns commands away; else tenths of the target
	tight      = 14   // and of one that turns connections away
	mum        = 13   // and where nothing is known of lateness
	spillShare = 0.125
	sessions   = 1 << 12 // tokens held
)

// New starts a router.
func New(caller Caller, d Deployment, now Tenth) *Router {
	r := &Router{Deployment: d, caller: caller, now: now, lookAt: now, quiet: second / 2,
		sets: map[int64]*Set{}, ids: map[string]*Node{}, kinds: map[string]*kind{}, tokens: map[string]Tenth{}}
	for _, g := range r.Groups {
		if g.Need == Bounded {
			r.quiet = min(r.quiet, g.Bound/2)
		}
		g.latency, g.count = float64(g.Target)/3, 1
		r.latency += g.latency / float64(len(r.Groups))
	}
	r.Streams = max(r.Streams, 1)
	r.Tick, r.words = max(r.Tick, 10), r.chance()*float64(128*r.Routers)
	if r.Peers { // a few tell all where hosts stand before there are commands to pay for it
		r.credit = 4 * r.chance()
	}
	if r.spend = 0.005; r.Probes && r.Reports && !r.Guarded && !r.Peers && !r.Told {
		r.asks, r.spend = true, 0.02
	}
	if r.AskWithin > 0 { // all routers' calls fit into a few seconds, and being told later breaks no rule
		r.watchAt, r.watchWait = now+1+Tenth(r.chance()*float64(r.AskWithin/4)), r.AskWithin/8
	}
	r.wake(2 * r.Tick)
	return r
}

// Clock tells the time of the calls that follow. A wake long overdue tells that this router stood still.
func (r *Router) Clock(now Tenth) {
	if now > max(r.now, r.wakeAt)+second/20 {
		r.stoodTo = now
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
	text := strconv.AppendUint(nil, uint64(r.Seed)<<32|uint64(r.draws), 36)
	return float64(crc32.ChecksumIEEE(text)) / (1 << 32)
}

func (r *Router) set(id int64) *Set {
	s := r.sets[id]
	if s == nil {
		s = &Set{r: r}
		r.sets[id], r.ordered = s, append(r.ordered, s)
	}
	return s
}

// Host introduces a host of the list.
func (r *Router) Host(name string, set int64) *Node {
	s := r.set(set)
	n := &Node{Name: name, set: s, cap: 4, size: 1, share: 1, crowd: late / 2, judgedAt: r.now}
	r.ids[n.id()], r.nodes, s.members = n, append(r.nodes, n), append(s.members, n)
	slices.SortFunc(s.members, func(a, b *Node) int { return strings.Compare(a.Name, b.Name) })
	return n
}

// Listed is what the list says of a host. A drain or a removal counts from now.
func (n *Node) Listed(standing Standing, primary bool, zone, like string, size float64, boot Tenth) {
	s, r := n.set, n.set.r
	n.listed, n.zone, n.size = true, zone, max(size, 0.1)
	if n.kind = cmp.Or(n.kind, r.kinds[like]); n.kind == nil {
		n.kind = &kind{}
		r.kinds[like] = n.kind
		if r.Told { // a mean that starts from nothing: the sum of all routers' is the same however traffic moves
			n.kind.seen = float64(10 * second)
		}
	}
	n.booted(boot)
	if standing == Gone && r.DrainAlone && n.standing == In {
		return // such a list doesn't prove that the host is down
	}
	n.standing = standing
	if primary && s.primary == nil {
		s.next = slices.Index(s.members, n)
	}
	if standing != In && s.primary == n {
		s.primary = nil
	}
}

// booted tells of a start; what is cold has little room, and begins with a part drawn by chance.
func (n *Node) booted(at Tenth) {
	if at > n.boot {
		n.boot, n.cap, n.share, n.left, n.down, n.trialAt, n.slowTo, n.conns = at, 2, 1, false, false, 0, 0, 0
		n.spare, n.spareAt = n.set.r.chance(), n.set.r.now
	}
}

// ListDone ends a list; what a complete one lacks is gone.
func (r *Router) ListDone(complete bool) {
	for _, n := range r.nodes {
		if complete && !n.listed {
			n.Listed(Gone, false, n.zone, "", n.size, n.boot)
		}
		n.listed = false
	}
	if r.watching {
		r.watchAt = 0
	}
	r.probe()
}

// Unlisted says that the list was asked for and refused, or that it comes no more. It is asked for again, at
// moments that lie ever further apart, lest hundreds of routers keep a service that is short of capacity busy.
func (r *Router) Unlisted() {
	r.watching, r.watchAt = false, r.now+Tenth((0.5+r.chance())*float64(r.watchWait))
	r.watchWait = min(2*r.watchWait, r.AskWithin/2)
}

// forget drops a host that left the list, once nothing is out to it; should it come back, it is a new one.
func (n *Node) forget() bool {
	if n.standing != Gone || n.probing || len(n.out) > 0 {
		return false
	}
	delete(n.set.r.ids, n.id())
	n.set.members = slices.DeleteFunc(n.set.members, func(m *Node) bool { return m == n })
	n.set.r.caller.Forget(n)
	return true
}

// Take is the ordinary path of a command, up to its first dispatch.
func (r *Router) Take(name string, g *CmdGroup, set int64, session string, timeout, since Tenth, again bool) *Cmd {
	c := &Cmd{Name: name, set: r.set(set), group: g, session: session, taken: r.now, target: r.now + g.Target,
		timeout: timeout, benefit: g.Benefit, luck: r.chance()}
	// First tries all have the same time. Another one is a repeat with all that is left to the client; its
	// response target counts from the first try. Guards against jams made of repeats.
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
	r.worth += (c.rank() - r.worth) / 64
	r.credit = min(r.credit+r.spend/max(r.ProbePrice, r.spend), 16)
	r.words = min(r.words+r.pay(), 128*float64(r.Routers))
	if g.Need == Session {
		c.token = r.token(session)
	}
	if g.Need == Fresh || g.Need == Session && since > 0 { // since is 0 for fresh reads
		c.token = max(c.token, r.now-r.Zero-since)
	}
	if !c.route() {
		c.hold()
	}
	return c
}

// route finds a place for a command and dispatches it, or says that there is none now.
func (c *Cmd) route() bool {
	s, r, p := c.set, c.set.r, c.set.primary
	if c.group.Need == Write {
		return c.write()
	}
	need := c.token
	if c.group.Need == Bounded {
		need = r.now - r.Zero - c.group.Bound
	}
	best, fresh := (*Node)(nil), c.group.Need == Fresh
	if !fresh {
		if best = s.least(c, func(n *Node) bool { return n.reached(need) }); best != nil && !c.lucky(best.share) {
			return false // what crowded hosts shed must not fall on the others
		}
		if best != nil && p != nil && r.chance() < spillShare && p.open(c, 0.5) && p.crowd < 1.3*best.crowd &&
			p.load() <= best.load() {
			best = p
		}
	}
	if best == nil && !fresh && s.ask(c, need) {
		return false
	}
	if best == nil && p != nil && p.open(c, 0.7) && c.lucky(p.share) && (fresh || p.crowd < 1.5*late) {
		best = p
	}
	return best != nil && c.dispatch(best, need)
}

// ask has a replica say where it stands, for a read that none is known to be new enough for, and says that the
// answer is awaited. Where hundreds of routers share nothing, what one knows of a host is as old as its last
// command there, and the primary would take all reads.
func (s *Set) ask(c *Cmd, need Tenth) bool {
	r := s.r
	if !r.asks || r.now < s.askedTo {
		return r.asks
	}
	n := (*Node)(nil)
	if c.asks < 2 && r.credit >= 1 {
		n = s.least(c, func(n *Node) bool {
			return !n.probing && !n.left && n != c.asked && !n.reached(need) && c.lucky(n.share)
		})
	}
	if n == nil {
		return false
	}
	c.asks++
	r.credit--
	c.asked, s.asked, s.askedTo = n, n, r.now+c.group.Target/16
	r.probeAt(n)
	return true
}

// write sends to the primary. With none known, or that one silent, members are tried, one every few ticks.
func (c *Cmd) write() bool {
	s, r := c.set, c.set.r
	if p := s.primary; p != nil && !p.left || r.Led {
		return p != nil && p.open(c, 1) && c.lucky(p.share) && c.dispatch(p, 0)
	}
	for i := 0; i < len(s.members) && r.now >= s.lookAt && 2*c.Sent < r.Dispatches; i++ {
		n := s.members[s.next%len(s.members)]
		if s.next++; !n.left && !slices.Contains(c.tried, n) && n.open(c, 1) {
			s.lookAt = r.now + 4*r.Tick
			return c.dispatch(n, 0)
		}
	}
	return false
}

// least is the least loaded of the replicas that will do. The more routers there are, the more chance
// decides, in proportion, so that all do not move to one host at once.
func (s *Set) least(c *Cmd, will func(*Node) bool) (best *Node) {
	blind, least := 1.01-1/float64(s.r.Routers), 0.0
	for _, n := range s.members {
		if n == s.primary || !will(n) || slices.Contains(c.tried, n) || !n.open(c, 1) {
			continue
		}
		if l := n.load() / n.share * math.Pow(-math.Log(1-s.r.chance()), blind); best == nil || l < least {
			best, least = n, l
		}
	}
	return best
}

// reached says that a member is at or past a position. Where hosts check reads themselves, one expected there
// or long unheard of will do, lest members go unused since positions aged; a wrong guess costs a miss.
func (n *Node) reached(need Tenth) bool {
	r := n.set.r
	return need <= 0 || n.known && n.pos >= need ||
		r.Guarded && (n.known && r.now-r.Zero-n.lag+r.Wait*2/5 >= need || r.now >= n.posAt+second && len(n.out) == 0)
}

func (n *Node) load() float64 { return float64(n.busy()+1) * (n.crowd + late/4) / n.size }

// busy is what is out, but for what is long past its target: lost answers must not fill the cap.
func (n *Node) busy() (hoped int) {
	for _, c := range n.out {
		if !c.late || n.crowd > late && n.set.r.now < c.sentAt+2*c.group.Target {
			hoped++
		}
	}
	return hoped
}

// open says whether the host may be sent the command now, filling part of its cap.
func (n *Node) open(c *Cmd, part float64) bool {
	r := n.set.r
	switch {
	case n.standing != In || n.dark || r.now < n.trialAt || n.cold() && !n.budget(c, part):
		return false
	case n.left: // one replayable command at a time finds out whether it is back
		return (c.group.Effect == Replayable || r.Led) && len(c.tried) == 0
	case r.now >= c.target && c.group.LateShare == 0:
		part /= 2 // it can earn nothing: what is spare will do
	}
	return float64(n.busy()) < n.cap*part && (r.now >= n.slowTo || n.carries())
}

// carries says whether the open connections have room for one more command.
func (n *Node) carries() bool { return len(n.out) < n.conns*n.set.r.Streams }

func (c *Cmd) lucky(share float64) bool { return share >= 1 || c.luck*c.set.r.worth <= share*c.rank() }

func (n *Node) cold() bool { return n.boot != 0 && n.set.r.now < n.boot+n.set.r.ColdFor }

// budget keeps a cold host within its part of what warm ones do. Every router counts its own, so all keep in
// the sum; what is under one command is saved for, from a part drawn by chance, lest all send at once.
func (n *Node) budget(c *Cmd, part float64) bool {
	r := n.set.r
	grown := float64(r.now-r.FallSpan-n.boot) / float64(r.ColdFor)
	rate := 0.75 * r.FallFactor * (r.ColdFrom + (1-r.ColdFrom)*max(0, grown)) * n.kind.warm * n.size
	n.spare, n.spareAt = min(n.spare+rate*float64(r.now-n.spareAt), max(1, rate*float64(r.FallSpan)/4)), r.now
	return n.spare*part >= max(1, c.work()) // what only a primary can do goes first
}

// work is how much a command asks for, in commands of the usual mix.
func (c *Cmd) work() float64 { return c.group.latency / max(c.set.r.latency, 1) }

func (c *Cmd) dispatch(n *Node, need Tenth) bool {
	r := c.set.r
	if len(n.out) == 0 {
		n.since = r.now
	}
	if n.left {
		n.backoff, n.trialAt = min(2*n.backoff, 2*second), r.now+min(2*n.backoff, 2*second)
	}
	c.opens = !n.carries()
	n.out, n.spare = append(n.out, c), n.spare-c.work()
	n.peak = max(n.peak, len(n.out))
	c.Node, c.sentAt, c.sentFor, c.Sent, c.held, c.late, c.SendBy = n, r.now, need, c.Sent+1, false, false, 0
	if c.group.Need == Bounded && n != c.set.primary && !r.Guarded { // else a slow connection makes it stale
		c.SendBy = n.pos + r.Zero + c.group.Bound
	}
	wait := (c.target - r.now) / 2 // an answer usually much sooner is lost past it: ask elsewhere
	if c.group.Effect != Replayable || wait < Tenth(5*c.group.latency) {
		wait = 0
	}
	r.caller.Dispatch(c, n, wait)
	return true
}

// hold keeps a command until it has a place, worthiest then newest first. Guards against jams of old ones.
func (c *Cmd) hold() {
	s := c.set
	if !c.useful() {
		c.giveUp()
		return
	}
	c.held = true
	s.r.wake(4 * s.r.Tick)
	i := slices.IndexFunc(append(s.held, c), func(h *Cmd) bool { return h.rank() <= c.rank() })
	s.held = slices.Insert(s.held, i, c)
}

func (c *Cmd) rank() float64 { return c.benefit / c.group.latency }

// serve gives what is held its place, worthiest first, and gives up what can no longer be useful.
func (s *Set) serve() {
	s.held = slices.DeleteFunc(s.held, func(c *Cmd) bool {
		if !c.over && c.held && !c.useful() {
			c.giveUp()
		}
		return c.over || !c.held || c.route()
	})
}

// useful says whether a held command may still earn something. One never sent frees its client by half time.
func (c *Cmd) useful() bool {
	r, g := c.set.r, c.group
	if g.Need == Write {
		return r.now < c.taken+(c.timeout-c.taken)/4 && r.now+4*r.Tick < c.timeout
	}
	return r.now+max(Tenth(g.latency), 4*r.Tick) < min(c.target, c.timeout) &&
		(c.Sent > 0 || r.now+4*r.Tick < (c.taken+c.timeout)/2)
}

// giveUp is the final answer of a command that has no place: throttled where a repeat is harmless.
func (c *Cmd) giveUp() {
	r, g := c.set.r, c.group
	c.over, c.held = true, false
	if c.maybe == 0 || g.Effect == Replayable || g.Effect == Keyed && g.EverySet {
		r.caller.Throttle(c, min(r.Comeback, g.Timeout/4))
	} else {
		r.caller.Fail(c)
	}
}

// again says whether one more dispatch is allowed. What two hosts answer by an error, or three by breaking
// off, is the command's fault. Guards against floods of bad commands.
func (c *Cmd) again(o Outcome) bool {
	r, g := c.set.r, c.group
	c.blame += [...]int{Errored: 3, Reset: 2, Missed: 0}[o] // at 6 it is the command's fault
	return c.blame < 6 && c.Sent < r.Dispatches && r.now+r.Tick < c.timeout && (c.maybe == 0 ||
		g.Effect == Replayable || g.Effect == Keyed && r.now+r.Tick < c.maybe+g.Memory)
}

// Over says that nothing more will come for the command.
func (c *Cmd) Over() bool { return c.over && c.Node == nil }

// Left ends a command whose client is gone.
func (c *Cmd) Left() { c.over, c.held = true, false }

// Ended is the outcome of the dispatch that was out. pos is -1 where there is none; over: no answer is owed.
func (c *Cmd) Ended(o Outcome, pos Tenth, role Role, cost Tenth, over bool) {
	n, s, r, g := c.Node, c.set, c.set.r, c.group
	if n == nil {
		return
	}
	n.is(role, c.sentAt) // what was sent later knows better
	if g.Need == Write && o == Answered {
		r.stamp(c.session, pos)
		pos -= 10 // commits are rounded up
	}
	if pos >= 0 && role != Unknown {
		n.learn(pos)
	}
	n.ended(c, o, cost)
	switch {
	case o == Answered && r.Guarded && g.Need != Write && c.sentFor > n.pos && n.role != Primary:
		n.known, n.pos, n.posAt = true, c.sentFor, r.now
		n.lag = min(n.lag, c.sentAt-r.Zero-c.sentFor)
	case o == Missed && g.Need != Write:
		n.lag, n.posAt = max(n.lag, r.now-r.Zero-c.sentFor+1), r.now
	case o == Errored, o == TimedOut, o == Reset, o == Cancelled:
		c.maybe = cmp.Or(c.maybe, c.sentAt)
	}
	c.tried, c.over = append(c.tried, n), c.over || over || o == Answered
	again := !c.over && c.again(o)
	c.Node = nil
	switch {
	case c.over:
	case !again:
		c.giveUp()
	case !c.route():
		c.hold()
	}
	s.serve()
}

// ended books an outcome on the host.
func (n *Node) ended(c *Cmd, o Outcome, cost Tenth) {
	r, g := n.set.r, c.group
	n.out = slices.DeleteFunc(n.out, func(o *Cmd) bool { return o == c })
	switch {
	case o == Unreached:
	case c.opens:
		n.conns++
	case o == Reset:
		n.conns = 0
	}
	if c.opens && o == Unreached && cost >= r.ConnectFor*9/10 { // down, cut off or slow to connect: what is open will do
		n.slowTo = r.now + 2*second
	}
	switch {
	case o == Unreached && n.quickAt+second < c.sentAt && n.since <= c.sentAt: // down or cut off: silent too
		n.dark, n.down = r.Probes, r.Told
		n.leave(second / 10)
		return
	case o == Unreached && r.now < n.slowTo: // it is up
	case o == Unreached: // it is up, but takes no more connections
		n.trialAt = max(n.trialAt, r.now+second/100) // lest a refused command spends all its dispatches at once
		n.tight(5 * second)
		n.tell(tight)
		return
	case o != Answered && o != Errored && o != Full && o != Missed:
		return
	}
	n.tight(0)
	r.gaps.add(r.now, float64(r.now-n.since))
	n.since = r.now
	if n.down && r.blind { // it may have started anew, and no planner is there to say so
		n.booted(r.now)
	}
	n.down = false
	if n.left {
		n.left, n.backoff, n.trialAt, n.cap = false, 0, 0, min(n.cap, 2)
	}
	switch {
	case o == Missed:
		n.tell(mum)
	case o == Full:
		n.full()
		n.tell(full)
	case o == Answered:
		part := float64(cost) / float64(g.Target)
		n.backoff, g.count = 0, min(g.count+1, 500)
		g.latency += (float64(cost) - g.latency) / g.count
		r.latency += (g.latency - r.latency) / 100
		if !n.cold() {
			n.kind.done += c.work()
		}
		if n.judge(part, c.sentAt, len(n.out)); n.crowd <= late && float64(len(n.out)+1) >= n.cap/2 {
			n.cap += 1 / n.cap
		}
		n.tell(part)
	}
}

// judge takes in how late an answer was, own or told; the fewer there are, the more each weighs. Late ones
// shrink the cap, or, where one of hundreds of routers has too little else out for that, the host's share.
func (n *Node) judge(part float64, sentAt Tenth, others int) {
	now := n.set.r.now
	w := min(0.5, max(0.125, float64(now-n.judgedAt)/float64(2*second)))
	n.judgedAt = now
	if part < 0.5 {
		n.quickAt = max(n.quickAt, sentAt)
	}
	n.crowd += (min(part, 1) - n.crowd) * w
	if grow := 1 + w*max(-1, 1-part/late); grow > 1 || float64(others) < n.cap/4 {
		n.share = min(1, max(4/float64(n.set.r.Routers), n.share*grow))
	}
	if n.crowd > late && now >= n.cutAt {
		n.cap, n.cutAt = max(1, n.cap*0.85), now+second/10
	}
}

// full leaves a host that turns away unseen alone, longer each time: its fast refusals would draw ever more.
func (n *Node) full() {
	n.judge(1, 0, len(n.out))
	n.backoff = min(max(2*n.backoff, second/50), second/2)
	n.trialAt = n.set.r.now + Tenth((2+2*n.set.r.chance())*float64(n.backoff)/3)
}

// tight makes way for other routers at a host that takes no more connections: for a while none is kept idle.
func (n *Node) tight(more Tenth) {
	now := n.set.r.now
	if n.tightTo = max(n.tightTo, now+more); now < n.tightTo && len(n.out) == 0 {
		n.conns = 0
		n.set.r.caller.Close(n)
	}
}

// id is what routers call a host among themselves.
func (n *Node) id() string { return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(n.Name))), 36) }

// tell shares a host's position, role and lateness with the other routers, unless one just did, at the stated price:
// each of hundreds sees a host too seldom. A word that costs more than a command pays waits until what all know
// has aged, but for refusals: it draws all their reads there, and hosts without words get none. Nothing depends on it.
func (n *Node) tell(part float64) {
	r := n.set.r
	if !r.Peers || !n.known || n.role == Unknown || r.now < n.toldAt+r.quiet/8 {
		return
	}
	wait := part <= mum
	if part < mum {
		part = min(mum-1, 10*part+0.5)
	}
	word := (n.pos/10*2+Tenth(n.role)%2)*16 + Tenth(part)
	body := n.id() + "." + strconv.FormatInt(word, 36)
	cost := float64(len(body) * (r.Routers - 1))
	if cost <= r.words && (cost <= r.pay() || !wait || r.now >= n.toldAt+r.quiet) {
		r.words, n.toldAt = r.words-cost, r.now
		r.caller.Tell(body)
	}
}

// pay is how many bytes a command pays for words: two and a half points of service.
func (r *Router) pay() float64 { return 256 * 0.025 / max(r.PeerPrice, 0.008) }

// Heard is a message of another router. What none can have said is passed over.
func (r *Router) Heard(body string) {
	id, said, _ := strings.Cut(body, ".")
	n := r.ids[id]
	word, err := strconv.ParseInt(said, 36, 64)
	if n == nil || err != nil || word < 0 || word/32*10 > r.now-r.Zero {
		return
	}
	n.toldAt = r.now
	n.Reported(word/32*10, Replica-Role(word/16%2))
	switch word %= 16; {
	case word == full:
		n.full()
	case word == tight:
		n.tight(5 * second)
	case word < mum:
		n.judge(float64(word)/10, r.now-second/10, len(n.out))
	}
}

// leave stops sending to a silent host but for a try now and then.
func (n *Node) leave(wait Tenth) {
	if !n.left {
		n.left, n.backoff, n.trialAt = true, max(wait, second/10), n.set.r.now+max(wait, second/10)
	}
}

// is takes in what a host said of its role at a time.
func (n *Node) is(role Role, at Tenth) {
	s := n.set
	if at < n.roleAt || role == Unknown {
		return
	}
	if n.role, n.roleAt = role, at; role == Replica && s.primary == n {
		s.primary = nil
	} else if role == Primary && n.standing == In && (s.primary == nil || at >= s.primary.roleAt) {
		s.primary = n
	}
}

// learn takes in a position. Positions are lower bounds and never go back.
func (n *Node) learn(pos Tenth) {
	if r := n.set.r; !n.known || pos >= n.pos {
		n.known, n.pos, n.posAt, n.lag = true, pos, r.now, max(0, r.now-r.Zero-pos)
	}
}

// Reported is what a load report says; it may be old. How old reports are shows in those of primaries, which
// stand at the present: the rest is a replica's lag.
func (n *Node) Reported(pos Tenth, role Role) {
	r, news := n.set.r, pos > n.pos
	age := float64(r.now - r.Zero - pos)
	if role == Primary && age >= 0 {
		r.aged += (age - r.aged) / 8
	}
	if n.learn(pos); news {
		n.lag = max(0, n.lag-Tenth(r.aged))
	}
	n.is(role, pos+n.set.r.Zero)
}

// Told is what a view says: a position, a role with the position that the host named with it, and lateness
// in Heard's words. Own answers go before it, but for those that the position shows to be older. A primary
// whose word can't be shown to be newer is asked next, once the one that is followed does not answer.
func (n *Node) Told(pos Tenth, role Role, at, word Tenth) {
	s, r := n.set, n.set.r
	if pos > n.pos && pos <= r.now-r.Zero {
		n.learn(pos)
	}
	if at += r.Zero; at <= r.now && at > n.roleAt {
		n.is(role, at)
	}
	if role == Primary && s.primary != n {
		s.next = slices.Index(s.members, n)
	}
	if word < mum {
		n.judge(float64(word)/10, r.now-second/10, len(n.out))
	}
}

// Count tells how many routers there are, and whether any planner is there to tell what is new.
func (r *Router) Count(routers int, blind bool) { r.Routers, r.blind = max(1, routers), blind }

// Probed ends a probe. A host in reach again may have started anew, whatever the list says: so does its cap.
func (n *Node) Probed(ok bool) {
	if n.probing = false; ok && n.dark {
		n.dark, n.left, n.backoff, n.trialAt, n.cap = false, false, 0, 0, 2
	}
	if ok {
		n.tell(mum)
	}
	if s := n.set; s.asked == n {
		s.asked, s.askedTo = nil, 0
		s.serve()
	}
}

// probe asks new hosts and, within what may be spent, those whose position has aged, the oldest first.
func (r *Router) probe() {
	for r.Probes {
		var oldest *Node
		for _, n := range r.nodes {
			due := n.dark && r.now >= n.trialAt || !n.dark && (n.posAt == 0 || r.now >= n.posAt+r.quiet &&
				r.Reports && !r.asks && r.credit >= 1) && (!r.Peers || r.chance()*float64(r.Routers) < 2)
			if due && n.standing == In && !n.probing && (oldest == nil || n.posAt < oldest.posAt) {
				oldest = n
			}
		}
		if oldest == nil {
			return
		}
		if oldest.dark {
			oldest.trialAt = r.now + second/4
		} else if oldest.posAt > 0 {
			r.credit--
		}
		r.probeAt(oldest)
	}
}

func (r *Router) probeAt(n *Node) {
	n.probing, n.posAt = true, max(n.posAt, 1)
	r.caller.Probe(n)
}

// Woke is called soon while commands are held, now and then otherwise: hundreds of hosts must cost little.
func (r *Router) Woke() {
	next := second / 20
	for _, s := range r.ordered { // those without a host too
		if len(s.held) > 0 {
			s.serve()
			next = 4 * r.Tick
		}
	}
	if r.watchAt > 0 && r.now >= r.watchAt { // once more where no answer ever comes
		r.watching, r.watchAt = true, r.now+r.AskWithin
		r.caller.Watch()
	}
	if r.now >= r.lookAt+second/20 {
		r.look(float64(r.now - r.lookAt))
	}
	if r.now >= r.wakeAt-r.Tick/2 { // else it is one left over
		r.wakeAt = 0
		r.wake(next)
	}
}

// look goes over all hosts.
func (r *Router) look(span float64) {
	r.lookAt, r.nodes = r.now, slices.DeleteFunc(r.nodes, (*Node).forget)
	limit := Tenth((1 + unusual) * r.latency) // the silence of a host that is unusual, given the gaps seen
	if count, sum, sq := r.gaps.total(r.now, 8); count >= 16 {
		mean := sum / count
		limit = Tenth(mean+unusual*math.Sqrt(max(0, sq/count-mean*mean))) + 2*r.Tick
	}
	for _, n := range r.nodes {
		if r.now >= n.peakAt+r.IdleFor/2 {
			n.conns, n.peak, n.peakAt = min(n.conns, (n.peak+r.Streams-1)/r.Streams), len(n.out), r.now
		}
		n.crowd, n.share = n.crowd+(late/2-n.crowd)/400, min(1, n.share*1.0035) // what is spared is tried again
		if k := Tenth(len(n.out)); k > 0 && r.now-max(n.since, r.stoodTo) > limit*max(1, 4-k) {
			n.leave(limit)
		}
		for _, c := range n.out {
			fresh := !c.late // past its target; if nothing sent later was answered in good time, it is not lost
			if c.late = r.now >= c.sentAt+c.group.Target; c.late && fresh && c.sentAt > n.quickAt {
				n.judge(1, 0, len(n.out)-1)
				n.tell(1)
				if len(n.out) == 1 && max(n.since, r.stoodTo) <= c.sentAt && n != n.set.primary { // all that this router knows of it
					n.leave(second)
				}
			}
		}
		if n.standing == In && !n.left && !n.cold() {
			n.kind.size += n.size
		}
	}
	for _, k := range r.kinds { // a mean over ten seconds: the most in any short time is chance
		if k.size > 0 {
			k.seen = min(k.seen+span, float64(10*second))
			k.warm += (k.done/k.size/span - k.warm) * span / k.seen
			k.done, k.size = 0, 0
		}
	}
	r.probe()
}

// stamp keeps the greatest token of a session, in bounded room.
func (r *Router) stamp(session string, pos Tenth) {
	if len(r.tokens) >= sessions {
		r.floor = r.now - r.Zero
		clear(r.tokens)
	}
	r.tokens[session] = max(pos, r.token(session))
}

func (r *Router) token(session string) Tenth {
	if t, ok := r.tokens[session]; ok || !r.Kept {
		return t
	}
	return r.floor
}
