package policy

import (
	"cmp"
	"slices"
	"strings"
)

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

// Unlisted says that the list was asked for and refused, or that it comes no more. It is asked for again,
// at moments that lie ever further apart, lest hundreds of routers keep a service that is short of capacity
// busy.
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

// budget keeps a cold host within its part of what warm ones do. Every router counts its own, so all keep
// in the sum; what is under one command is saved for, from a part drawn by chance, lest all send at once.
func (n *Node) budget(c *Cmd, part float64) bool {
	r := n.set.r
	grown := float64(r.now-r.FallSpan-n.boot) / float64(r.ColdFor)
	rate := 0.75 * r.FallFactor * (r.ColdFrom + (1-r.ColdFrom)*max(0, grown)) * n.kind.warm * n.size
	n.spare, n.spareAt = min(n.spare+rate*float64(r.now-n.spareAt), max(1, rate*float64(r.FallSpan)/4)), r.now
	return n.spare*part >= max(1, c.work()) // what only a primary can do goes first
}

// work is how much a command asks for, in commands of the usual mix.
func (c *Cmd) work() float64 { return c.group.latency / max(c.set.r.latency, 1) }

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

// full leaves a host that turns away unseen alone, longer each time: its fast refusals would draw ever
// more.
func (n *Node) full() {
	n.judge(1, 0, len(n.out))
	n.backoff = min(max(2*n.backoff, second/50), second/2)
	n.trialAt = n.set.r.now + Tenth((2+2*n.set.r.chance())*float64(n.backoff)/3)
}

// tight makes way for other routers at a host that takes no more connections: for a while none is kept
// idle.
func (n *Node) tight(more Tenth) {
	now := n.set.r.now
	if n.tightTo = max(n.tightTo, now+more); now < n.tightTo && len(n.out) == 0 {
		n.conns = 0
		n.set.r.caller.Close(n)
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
