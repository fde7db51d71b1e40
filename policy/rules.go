// Package policy decides where each command of a replicated database goes. The interface is door.go: a caller
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
package policy

import (
	"hash/crc32"
	"math"
	"slices"
	"strconv"
)

// Router is one router's view of the deployment.
type Router struct {
	Deployment
	caller                        Caller
	blind, asks, watching         bool  // no planner tells of news; reads in need ask; the list was asked for
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
	due     Tenth   // when a primary is expected; long past: not known
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
				if len(n.out) == 1 && max(n.since, r.stoodTo) <= c.sentAt && n != n.set.primary {
					// all that this router knows of it
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
