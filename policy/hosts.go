package policy

import (
	"cmp"
	"slices"
	"strings"
)

// Host introduces a host of the list.
func (r *Router) Host(name string, set int64) *Node {
	s := r.replicaSet(set)
	n := &Node{Name: name, set: s, limit: 4, size: 1, share: 1, lateness: lateRatio / 2, ratedAt: r.now}
	r.hostsByID[n.peerID()], r.hosts, s.members = n, append(r.hosts, n), append(s.members, n)
	slices.SortFunc(s.members, func(a, b *Node) int { return strings.Compare(a.Name, b.Name) })
	return n
}

// Listed is what the list says of a host. A drain or a removal counts from now.
func (n *Node) Listed(standing Standing, primary bool, zone, like string, size float64, boot Tenth) {
	s, r := n.set, n.set.router
	n.inList, n.zone, n.size = true, zone, max(size, 0.1)
	if n.model = cmp.Or(n.model, r.models[like]); n.model == nil {
		n.model = &hostModel{}
		r.models[like] = n.model
		if r.Told { // a mean that starts from nothing: the sum of all routers' is the same however traffic moves
			n.model.measuredFor = float64(10 * second)
		}
	}
	n.restarted(boot)
	if standing == Gone && r.DrainAlone && n.standing == In {
		return // such a list doesn't prove that the host is down
	}
	n.standing = standing
	if primary && s.primary == nil {
		s.nextCandidate = slices.Index(s.members, n)
	}
	if standing != In && s.primary == n {
		s.primary = nil
	}
}

// restarted tells of a start; what is cold has little room, and begins with a part drawn by chance.
func (n *Node) restarted(at Tenth) {
	if at > n.startedAt {
		n.startedAt, n.limit, n.share, n.ejected, n.down, n.retryAt, n.slowConnectUntil, n.openConns = at, 2, 1, false, false, 0, 0, 0
		n.coldBudget, n.coldBudgetAt = n.set.router.random(), n.set.router.now
	}
}

// ListDone ends a list; what a complete one lacks is gone.
func (r *Router) ListDone(complete bool) {
	for _, n := range r.hosts {
		if complete && !n.inList {
			n.Listed(Gone, false, n.zone, "", n.size, n.startedAt)
		}
		n.inList = false
	}
	if r.listRequested {
		r.listRequestAt = 0
	}
	r.probeHosts()
}

// Unlisted says that the list was asked for and refused, or that it comes no more. It is asked for again,
// at moments that lie ever further apart, lest hundreds of routers keep a service that is short of capacity
// busy.
func (r *Router) Unlisted() {
	r.listRequested, r.listRequestAt = false, r.now+Tenth((0.5+r.random())*float64(r.listRetryDelay))
	r.listRetryDelay = min(2*r.listRetryDelay, r.AskWithin/2)
}

// dropIfRemoved drops a host that left the list, once nothing is out to it; should it come back, it is a new one.
func (n *Node) dropIfRemoved() bool {
	if n.standing != Gone || n.probing || len(n.inFlight) > 0 {
		return false
	}
	delete(n.set.router.hostsByID, n.peerID())
	n.set.members = slices.DeleteFunc(n.set.members, func(m *Node) bool { return m == n })
	n.set.router.caller.Forget(n)
	return true
}

// accepts says whether the host may be sent the command now, filling part of its cap.
func (n *Node) accepts(c *Cmd, part float64) bool {
	r := n.set.router
	switch {
	case n.standing != In || n.unreachable || r.now < n.retryAt || n.cold() && !n.withinColdBudget(c, part):
		return false
	case n.ejected: // one replayable command at a time finds out whether it is back
		return (c.group.Effect == Replayable || r.Led) && len(c.tried) == 0
	case r.now >= c.targetAt && c.group.LateShare == 0:
		part /= 2 // it can earn nothing: what is spare will do
	}
	return float64(n.activeCount()) < n.limit*part && (r.now >= n.slowConnectUntil || n.hasFreeStream())
}

// hasFreeStream says whether the open connections have room for one more command.
func (n *Node) hasFreeStream() bool { return len(n.inFlight) < n.openConns*n.set.router.Streams }

func (c *Cmd) withinShare(share float64) bool {
	return share >= 1 || c.draw*c.set.router.meanPriority <= share*c.priority()
}

func (n *Node) cold() bool {
	return n.startedAt != 0 && n.set.router.now < n.startedAt+n.set.router.ColdFor
}

// withinColdBudget keeps a cold host within its part of what warm ones do. Every router counts its own, so all keep
// in the sum; what is under one command is saved for, from a part drawn by chance, lest all send at once.
func (n *Node) withinColdBudget(c *Cmd, part float64) bool {
	r := n.set.router
	grown := float64(r.now-r.FallSpan-n.startedAt) / float64(r.ColdFor)
	rate := 0.75 * r.FallFactor * (r.ColdFrom + (1-r.ColdFrom)*max(0, grown)) * n.model.warmRate * n.size
	n.coldBudget, n.coldBudgetAt = min(n.coldBudget+rate*float64(r.now-n.coldBudgetAt), max(1, rate*float64(r.FallSpan)/4)), r.now
	return n.coldBudget*part >= max(1, c.work()) // what only a primary can do goes first
}

// work is how much a command asks for, in commands of the usual mix.
func (c *Cmd) work() float64 { return c.group.meanLatency / max(c.set.router.meanLatency, 1) }

// rate takes in how late an answer was, own or told; the fewer there are, the more each weighs. Late ones
// shrink the cap, or, where one of hundreds of routers has too little else out for that, the host's share.
func (n *Node) rate(part float64, sentAt Tenth, others int) {
	now := n.set.router.now
	w := min(0.5, max(0.125, float64(now-n.ratedAt)/float64(2*second)))
	n.ratedAt = now
	if part < 0.5 {
		n.quickSentAt = max(n.quickSentAt, sentAt)
	}
	n.lateness += (min(part, 1) - n.lateness) * w
	if grow := 1 + w*max(-1, 1-part/lateRatio); grow > 1 || float64(others) < n.limit/4 {
		n.share = min(1, max(4/float64(n.set.router.Routers), n.share*grow))
	}
	if n.lateness > lateRatio && now >= n.limitCutAt {
		n.limit, n.limitCutAt = max(1, n.limit*0.85), now+second/10
	}
}

// backOff leaves a host that turns away unseen alone, longer each time: its fast refusals would draw ever
// more.
func (n *Node) backOff() {
	n.rate(1, 0, len(n.inFlight))
	n.backoff = min(max(2*n.backoff, second/50), second/2)
	n.retryAt = n.set.router.now + Tenth((2+2*n.set.router.random())*float64(n.backoff)/3)
}

// freeConns makes way for other routers at a host that takes no more connections: for a while none is kept
// idle.
func (n *Node) freeConns(more Tenth) {
	now := n.set.router.now
	if n.connsScarceUntil = max(n.connsScarceUntil, now+more); now < n.connsScarceUntil && len(n.inFlight) == 0 {
		n.openConns = 0
		n.set.router.caller.Close(n)
	}
}

// eject stops sending to a silent host but for a try now and then.
func (n *Node) eject(wait Tenth) {
	if !n.ejected {
		n.ejected, n.backoff, n.retryAt = true, max(wait, second/10), n.set.router.now+max(wait, second/10)
	}
}

// updateRole takes in what a host said of its role at a time.
func (n *Node) updateRole(role Role, at Tenth) {
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

// updatePosition takes in a position. Positions are lower bounds and never go back.
func (n *Node) updatePosition(pos Tenth) {
	if r := n.set.router; !n.positionKnown || pos >= n.position {
		n.positionKnown, n.position, n.positionAt, n.lag = true, pos, r.now, max(0, r.now-r.Zero-pos)
	}
}
