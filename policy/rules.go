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
	caller                                             Caller
	noPlanner, probesForReads, listRequested           bool  // no planner tells of news; reads in need ask; the list was asked for
	now, wakeAt, evaluatedAt, stalledUntil             Tenth // the next wake; when hosts were gone over; when a stall ended
	positionTTL, tokenFloor, randomDraws               Tenth // how long a position stays good; no forgotten token is greater
	listRequestAt, listRetryDelay                      Tenth // when to ask for the list next, 0: it comes; the wait after a refusal
	sets                                               map[int64]*Set
	orderedSets                                        []*Set
	hosts                                              []*Node
	models                                             map[string]*hostModel
	hostsByID                                          map[string]*Node // by what routers call them
	tokens                                             map[string]Tenth // by session
	answerGaps                                         window           // between the answers of any one host
	probeCredit, peerCredit, meanLatency, meanPriority float64          // probes to spend, bytes to tell; mean answer, mean rank
	meanReportAge, probeSpend                          float64          // mean age of a report; what probes may cost
}

// hostModel is the mean work that warm hosts of a kind do in a tenth for each unit of size, and its makings.
type hostModel struct{ warmRate, workDone, warmSize, measuredFor float64 }

// Set is a replica set: a primary and the replicas of its data.
type Set struct {
	router        *Router
	members       []*Node // in id order
	primary       *Node   // as far as known
	queue         []*Cmd  // worthiest first
	nextCandidate int     // the member to ask next for the primary
	nextTryAt     Tenth   // when to ask it
	probed        *Node   // the replica that was asked where it stands, for reads
	probedUntil   Tenth   // until when they wait for it
	primaryDueAt  Tenth   // when a primary is expected; long past: not known
}

// Node is a database host.
type Node struct {
	Name, zone                                           string
	set                                                  *Set
	model                                                *hostModel
	standing                                             Standing
	role                                                 Role
	inFlight                                             []*Cmd
	inList, positionKnown, probing, ejected, unreachable bool    // left: silent or unreachable; dark: unreachable
	down                                                 bool    // it took no connection, and no probe tells when it is back
	openConns, peakInFlight                              int     // open connections, as far as known: the most in use of late
	slowConnectUntil, peakSince                          Tenth   // until when none is opened; since when peak counts
	size, limit, share, lateness, coldBudget             float64 // crowd: mean part of the target taken; spare: work while cold
	startedAt, coldBudgetAt, backoff, connsScarceUntil   Tenth   // boot: when it last started; 0: long ago
	roleAt, position, positionAt, lag                    Tenth   // it had applied all up to pos at posAt, and was lag behind
	lastAnswerAt, quickSentAt                            Tenth   // its last answer; when what it answered in good time was sent
	limitCutAt, ratedAt, sharedAt, retryAt               Tenth
}

// Cmd is the handle of a command.
type Cmd struct {
	Name, session                                 string
	set                                           *Set
	group                                         *CmdGroup
	Node                                          *Node // where it is out
	tried                                         []*Node
	lastProbed                                    *Node // the last one that was asked for it
	minPosition, submittedAt, targetAt, timeoutAt Tenth // token: what a read must see, but for Bounded
	sentAt, neededPosition, mayHaveRunAt          Tenth // its dispatch, and for which position; the first that may have run
	Sent, probes                                  int   // its dispatches so far, and what was asked for it
	SendBy                                        Tenth // when the one that is out must be on its way; 0: whenever it can
	benefit, draw                                 float64
	done, queued, overdue, opensConn              bool // late: out past its target; opens: a connection comes up for it
	faultPoints                                   int  // for errors and broken connections
}

// window measures over time, in fixed buckets of a second that are used again.
type window [8]struct {
	at         Tenth
	n, sum, sq float64
}

func (b *window) record(now Tenth, v float64) {
	k := &b[now/second%8]
	if k.at != now/second {
		k.at, k.n, k.sum, k.sq = now/second, 0, 0, 0
	}
	k.n, k.sum, k.sq = k.n+1, k.sum+v, k.sq+v*v
}

func (b *window) total(now, buckets Tenth) (n, sum, sq float64) {
	for _, k := range b {
		if k.at > now/second-buckets {
			n, sum, sq = n+k.n, sum+k.sum, sq+k.sq
		}
	}
	return n, sum, sq
}

const (
	second             = Tenth(10000)
	silenceDeviations  = 12.0 // deviations of silence beyond the mean
	lateRatio          = 0.3  // of the response target: a mean latency that tells of crowding
	peerRejecting      = 15   // what routers tell of a host that turns commands away; else tenths of the target
	peerConnsExhausted = 14   // and of one that turns connections away
	peerLatencyUnknown = 13   // and where nothing is known of lateness
	spillShare         = 0.125
	maxSessionTokens   = 1 << 12 // tokens held
)

// New starts a router.
func New(caller Caller, d Deployment, now Tenth) *Router {
	r := &Router{Deployment: d, caller: caller, now: now, evaluatedAt: now, positionTTL: second / 2,
		sets: map[int64]*Set{}, hostsByID: map[string]*Node{}, models: map[string]*hostModel{}, tokens: map[string]Tenth{}}
	for _, g := range r.Groups {
		if g.Need == Bounded {
			r.positionTTL = min(r.positionTTL, g.Bound/2)
		}
		g.meanLatency, g.samples = float64(g.Target)/3, 1
		r.meanLatency += g.meanLatency / float64(len(r.Groups))
	}
	r.Streams = max(r.Streams, 1)
	r.Tick, r.peerCredit = max(r.Tick, 10), r.random()*float64(128*r.Routers)
	if r.Peers { // a few tell all where hosts stand before there are commands to pay for it
		r.probeCredit = 4 * r.random()
	}
	if r.probeSpend = 0.005; r.Probes && r.Reports && !r.Guarded && !r.Peers && !r.Told {
		r.probesForReads, r.probeSpend = true, 0.02
	}
	if r.AskWithin > 0 { // all routers' calls fit into a few seconds, and being told later breaks no rule
		r.listRequestAt, r.listRetryDelay = now+1+Tenth(r.random()*float64(r.AskWithin/4)), r.AskWithin/8
	}
	r.scheduleWake(2 * r.Tick)
	return r
}

// Clock tells the time of the calls that follow. A wake long overdue tells that this router stood still.
func (r *Router) Clock(now Tenth) {
	if now > max(r.now, r.wakeAt)+second/20 {
		r.stalledUntil = now
	}
	r.now = max(r.now, now)
}

// scheduleWake asks for a call of Woke, unless one comes sooner.
func (r *Router) scheduleWake(after Tenth) {
	if r.wakeAt <= r.now || r.wakeAt > r.now+after {
		r.wakeAt = r.now + after
		r.caller.Wake(after)
	}
}

func (r *Router) random() float64 {
	r.randomDraws++
	text := strconv.AppendUint(nil, uint64(r.Seed)<<32|uint64(r.randomDraws), 36)
	return float64(crc32.ChecksumIEEE(text)) / (1 << 32)
}

func (r *Router) replicaSet(id int64) *Set {
	s := r.sets[id]
	if s == nil {
		s = &Set{router: r}
		r.sets[id], r.orderedSets = s, append(r.orderedSets, s)
	}
	return s
}

// Woke is called soon while commands are held, now and then otherwise: hundreds of hosts must cost little.
func (r *Router) Woke() {
	next := second / 20
	for _, s := range r.orderedSets { // those without a host too
		if len(s.queue) > 0 {
			s.serveQueue()
			next = 4 * r.Tick
		}
	}
	if r.listRequestAt > 0 && r.now >= r.listRequestAt { // once more where no answer ever comes
		r.listRequested, r.listRequestAt = true, r.now+r.AskWithin
		r.caller.Watch()
	}
	if r.now >= r.evaluatedAt+second/20 {
		r.evaluateHosts(float64(r.now - r.evaluatedAt))
	}
	if r.now >= r.wakeAt-r.Tick/2 { // else it is one left over
		r.wakeAt = 0
		r.scheduleWake(next)
	}
}

// evaluateHosts goes over all hosts.
func (r *Router) evaluateHosts(span float64) {
	r.evaluatedAt, r.hosts = r.now, slices.DeleteFunc(r.hosts, (*Node).dropIfRemoved)
	limit := Tenth((1 + silenceDeviations) * r.meanLatency) // the silence of a host that is unusual, given the gaps seen
	if count, sum, sq := r.answerGaps.total(r.now, 8); count >= 16 {
		mean := sum / count
		limit = Tenth(mean+silenceDeviations*math.Sqrt(max(0, sq/count-mean*mean))) + 2*r.Tick
	}
	for _, n := range r.hosts {
		if r.now >= n.peakSince+r.IdleFor/2 {
			n.openConns, n.peakInFlight, n.peakSince = min(n.openConns, (n.peakInFlight+r.Streams-1)/r.Streams), len(n.inFlight), r.now
		}
		n.lateness, n.share = n.lateness+(lateRatio/2-n.lateness)/400, min(1, n.share*1.0035) // what is spared is tried again
		if k := Tenth(len(n.inFlight)); k > 0 && r.now-max(n.lastAnswerAt, r.stalledUntil) > limit*max(1, 4-k) {
			n.eject(limit)
		}
		for _, c := range n.inFlight {
			fresh := !c.overdue // past its target; if nothing sent later was answered in good time, it is not lost
			if c.overdue = r.now >= c.sentAt+c.group.Target; c.overdue && fresh && c.sentAt > n.quickSentAt {
				n.rate(1, 0, len(n.inFlight)-1)
				n.shareState(1)
				if len(n.inFlight) == 1 && max(n.lastAnswerAt, r.stalledUntil) <= c.sentAt && n != n.set.primary {
					// all that this router knows of it
					n.eject(second)
				}
			}
		}
		if n.standing == In && !n.ejected && !n.cold() {
			n.model.warmSize += n.size
		}
	}
	for _, k := range r.models { // a mean over ten seconds: the most in any short time is chance
		if k.warmSize > 0 {
			k.measuredFor = min(k.measuredFor+span, float64(10*second))
			k.warmRate += (k.workDone/k.warmSize/span - k.warmRate) * span / k.measuredFor
			k.workDone, k.warmSize = 0, 0
		}
	}
	r.probeHosts()
}
