package policy

import (
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
)

// id is what routers call a host among themselves.
func (n *Node) id() string { return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(n.Name))), 36) }

// tell shares a host's position, role and lateness with the other routers, unless one just did, at the
// stated price: each of hundreds sees a host too seldom. A word that costs more than a command pays waits
// until what all know has aged, but for refusals: it draws all their reads there, and hosts without words
// get none. Nothing depends on it.
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

// Reported is what a load report says; it may be old. How old reports are shows in those of primaries,
// which stand at the present: the rest is a replica's lag.
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

// Probed ends a probe. A host in reach again may have started anew, whatever the list says: so does its
// cap.
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
