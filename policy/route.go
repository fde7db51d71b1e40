package policy

import (
	"math"
	"slices"
)

// Take is the ordinary path of a command, up to its first dispatch.
func (r *Router) Take(name string, g *CmdGroup, set int64, session string, timeout, since Tenth,
	again bool) *Cmd {
	c := &Cmd{Name: name, set: r.replicaSet(set), group: g, session: session, submittedAt: r.now, targetAt: r.now + g.Target,
		timeoutAt: timeout, benefit: g.Benefit, draw: r.random()}
	// First tries all have the same time. Another one is a repeat with all that is left to the client; its
	// response target counts from the first try. Guards against jams made of repeats.
	given := timeout - r.now
	if max(given-g.firstTryTime, g.firstTryTime-given) <= 2*r.Tick {
		g.firstTryVotes = min(g.firstTryVotes+1, 64)
	} else if g.firstTryVotes--; g.firstTryVotes < 0 && !again {
		g.firstTryTime, g.firstTryVotes = given, 0
	} else {
		c.targetAt = min(c.targetAt, timeout-g.Timeout+g.Target)
	}
	if c.targetAt <= r.now {
		c.benefit *= g.LateShare
	}
	r.meanPriority += (c.priority() - r.meanPriority) / 64
	r.probeCredit = min(r.probeCredit+r.probeSpend/max(r.ProbePrice, r.probeSpend), 16)
	r.peerCredit = min(r.peerCredit+r.peerBytesPerCommand(), 128*float64(r.Routers))
	if g.Need == Session {
		c.minPosition = r.sessionToken(session)
	}
	if g.Need == Fresh || g.Need == Session && since > 0 { // since is 0 for fresh reads
		c.minPosition = max(c.minPosition, r.now-r.Zero-since)
	}
	if !c.route() {
		c.enqueue()
	}
	return c
}

// route finds a place for a command and dispatches it, or says that there is none now.
func (c *Cmd) route() bool {
	s, r, p := c.set, c.set.router, c.set.primary
	if c.group.Need == Write {
		return c.routeWrite()
	}
	need := c.minPosition
	if c.group.Need == Bounded {
		need = r.now - r.Zero - c.group.Bound
	}
	best, fresh := (*Node)(nil), c.group.Need == Fresh
	if !fresh {
		if best = s.leastLoaded(c, func(n *Node) bool { return n.hasReached(need) }); best != nil && !c.withinShare(best.share) {
			return false // what crowded hosts shed must not fall on the others
		}
		if best != nil && p != nil && r.random() < spillShare && p.accepts(c, 0.5) && p.lateness < 1.3*best.lateness &&
			p.load() <= best.load() {
			best = p
		}
	}
	if best == nil && !fresh && s.probeForRead(c, need) {
		return false
	}
	if best == nil && p != nil && p.accepts(c, 0.7) && c.withinShare(p.share) && (fresh || p.lateness < 1.5*lateRatio) {
		best = p
	}
	return best != nil && c.dispatch(best, need)
}

// probeForRead has a replica say where it stands, for a read that none is known to be new enough for, and says that
// the answer is awaited. Where hundreds of routers share nothing, what one knows of a host is as old as its
// last command there, and the primary would take all reads.
func (s *Set) probeForRead(c *Cmd, need Tenth) bool {
	r := s.router
	if !r.probesForReads || r.now < s.probedUntil {
		return r.probesForReads
	}
	n := (*Node)(nil)
	if c.probes < 2 && r.probeCredit >= 1 {
		n = s.leastLoaded(c, func(n *Node) bool {
			return !n.probing && !n.ejected && n != c.lastProbed && !n.hasReached(need) && c.withinShare(n.share)
		})
	}
	if n == nil {
		return false
	}
	c.probes++
	r.probeCredit--
	c.lastProbed, s.probed, s.probedUntil = n, n, r.now+c.group.Target/16
	r.startProbe(n)
	return true
}

// routeWrite sends to the primary. With none known, or that one silent, members are tried, one every few ticks.
func (c *Cmd) routeWrite() bool {
	s, r := c.set, c.set.router
	if p := s.primary; p != nil && !p.ejected || r.Led {
		return p != nil && p.accepts(c, 1) && c.withinShare(p.share) && c.dispatch(p, 0)
	}
	for i := 0; i < len(s.members) && r.now >= s.nextTryAt && 2*c.Sent < r.Dispatches; i++ {
		n := s.members[s.nextCandidate%len(s.members)]
		if s.nextCandidate++; !n.ejected && !slices.Contains(c.tried, n) && n.accepts(c, 1) {
			s.nextTryAt = r.now + 4*r.Tick
			return c.dispatch(n, 0)
		}
	}
	return false
}

// leastLoaded is the least loaded of the replicas that will do. The more routers there are, the more chance
// decides, in proportion, so that all do not move to one host at once.
func (s *Set) leastLoaded(c *Cmd, will func(*Node) bool) (best *Node) {
	blind, least := 1.01-1/float64(s.router.Routers), 0.0
	for _, n := range s.members {
		if n == s.primary || !will(n) || slices.Contains(c.tried, n) || !n.accepts(c, 1) {
			continue
		}
		if l := n.load() / n.share * math.Pow(-math.Log(1-s.router.random()), blind); best == nil || l < least {
			best, least = n, l
		}
	}
	return best
}

// hasReached says that a member is at or past a position. Where hosts check reads themselves, one expected
// there or long unheard of will do, lest members go unused since positions aged; a wrong guess costs a
// miss.
func (n *Node) hasReached(need Tenth) bool {
	r := n.set.router
	return need <= 0 || n.positionKnown && n.position >= need ||
		r.Guarded && (n.positionKnown && r.now-r.Zero-n.lag+r.Wait*2/5 >= need ||
			r.now >= n.positionAt+second && len(n.inFlight) == 0)
}

func (n *Node) load() float64 {
	return float64(n.activeCount()+1) * (n.lateness + lateRatio/4) / n.size
}

// activeCount is what is out, but for what is long past its target: lost answers must not fill the cap.
func (n *Node) activeCount() (hoped int) {
	for _, c := range n.inFlight {
		if !c.overdue || n.lateness > lateRatio && n.set.router.now < c.sentAt+2*c.group.Target {
			hoped++
		}
	}
	return hoped
}

func (c *Cmd) dispatch(n *Node, need Tenth) bool {
	r := c.set.router
	if len(n.inFlight) == 0 {
		n.lastAnswerAt = r.now
	}
	if n.ejected {
		n.backoff, n.retryAt = min(2*n.backoff, 2*second), r.now+min(2*n.backoff, 2*second)
	}
	c.opensConn = !n.hasFreeStream()
	n.inFlight, n.coldBudget = append(n.inFlight, c), n.coldBudget-c.work()
	n.peakInFlight = max(n.peakInFlight, len(n.inFlight))
	c.Node, c.sentAt, c.neededPosition, c.Sent, c.queued, c.overdue, c.SendBy = n, r.now, need, c.Sent+1, false, false, 0
	if c.group.Need == Bounded && n != c.set.primary && !r.Guarded { // else a slow connection makes it stale
		c.SendBy = n.position + r.Zero + c.group.Bound
	}
	wait := (c.targetAt - r.now) / 2 // an answer usually much sooner is lost past it: ask elsewhere
	if c.group.Effect != Replayable || wait < Tenth(5*c.group.meanLatency) {
		wait = 0
	}
	r.caller.Dispatch(c, n, wait)
	return true
}

// recordWrite keeps the greatest token of a session, in bounded room.
func (r *Router) recordWrite(session string, pos Tenth) {
	if len(r.tokens) >= maxSessionTokens {
		r.tokenFloor = r.now - r.Zero
		clear(r.tokens)
	}
	r.tokens[session] = max(pos, r.sessionToken(session))
}

func (r *Router) sessionToken(session string) Tenth {
	if t, ok := r.tokens[session]; ok || !r.Kept {
		return t
	}
	return r.tokenFloor
}
