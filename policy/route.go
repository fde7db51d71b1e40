package policy

import (
	"math"
	"slices"
)

// Take is the ordinary path of a command, up to its first dispatch.
func (r *Router) Take(name string, g *CmdGroup, set int64, session string, timeout, since Tenth,
	again bool) *Cmd {
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

// ask has a replica say where it stands, for a read that none is known to be new enough for, and says that
// the answer is awaited. Where hundreds of routers share nothing, what one knows of a host is as old as its
// last command there, and the primary would take all reads.
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

// reached says that a member is at or past a position. Where hosts check reads themselves, one expected
// there or long unheard of will do, lest members go unused since positions aged; a wrong guess costs a
// miss.
func (n *Node) reached(need Tenth) bool {
	r := n.set.r
	return need <= 0 || n.known && n.pos >= need ||
		r.Guarded && (n.known && r.now-r.Zero-n.lag+r.Wait*2/5 >= need ||
			r.now >= n.posAt+second && len(n.out) == 0)
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
