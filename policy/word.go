package policy

import (
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
)

// peerID is what routers call a host among themselves.
func (n *Node) peerID() string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(n.Name))), 36)
}

// shareState shares a host's position, role and lateness with the other routers, unless one just did, at the
// stated price: each of hundreds sees a host too seldom. A word that costs more than a command pays waits
// until what all know has aged, but for refusals: it draws all their reads there, and hosts without words
// get none. Nothing depends on it.
func (n *Node) shareState(part float64) {
	r := n.set.router
	if !r.Peers || !n.positionKnown || n.role == Unknown || r.now < n.sharedAt+r.positionTTL/8 {
		return
	}
	wait := part <= peerLatencyUnknown
	if part < peerLatencyUnknown {
		part = min(peerLatencyUnknown-1, 10*part+0.5)
	}
	word := (n.position/10*2+Tenth(n.role)%2)*16 + Tenth(part)
	body := n.peerID() + "." + strconv.FormatInt(word, 36)
	cost := float64(len(body) * (r.Routers - 1))
	if cost <= r.peerCredit && (cost <= r.peerBytesPerCommand() || !wait || r.now >= n.sharedAt+r.positionTTL) {
		r.peerCredit, n.sharedAt = r.peerCredit-cost, r.now
		r.caller.Tell(body)
	}
}

// peerBytesPerCommand is how many bytes a command pays for words: two and a half points of service.
func (r *Router) peerBytesPerCommand() float64 { return 256 * 0.025 / max(r.PeerPrice, 0.008) }

// Heard is a message of another router. What none can have said is passed over.
func (r *Router) Heard(body string) {
	id, said, _ := strings.Cut(body, ".")
	n := r.hostsByID[id]
	word, err := strconv.ParseInt(said, 36, 64)
	if n == nil || err != nil || word < 0 || word/32*10 > r.now-r.Zero {
		return
	}
	n.sharedAt = r.now
	n.Reported(word/32*10, Replica-Role(word/16%2))
	switch word %= 16; {
	case word == peerRejecting:
		n.backOff()
	case word == peerConnsExhausted:
		n.freeConns(5 * second)
	case word < peerLatencyUnknown:
		n.rate(float64(word)/10, r.now-second/10, len(n.inFlight))
	}
}

// Reported is what a load report says; it may be old. How old reports are shows in those of primaries,
// which stand at the present: the rest is a replica's lag.
func (n *Node) Reported(pos Tenth, role Role) {
	r, news := n.set.router, pos > n.position
	age := float64(r.now - r.Zero - pos)
	if role == Primary && age >= 0 {
		r.meanReportAge += (age - r.meanReportAge) / 8
	}
	if n.updatePosition(pos); news {
		n.lag = max(0, n.lag-Tenth(r.meanReportAge))
	}
	n.updateRole(role, pos+n.set.router.Zero)
}

// Told is what a view says: a position, a role with the position that the host named with it, and lateness
// in Heard's words. Own answers go before it, but for those that the position shows to be older. A primary
// whose word can't be shown to be newer is asked next, once the one that is followed does not answer.
func (n *Node) Told(pos Tenth, role Role, at, word Tenth) {
	s, r := n.set, n.set.router
	if pos > n.position && pos <= r.now-r.Zero {
		n.updatePosition(pos)
	}
	if at += r.Zero; at <= r.now && at > n.roleAt {
		n.updateRole(role, at)
	}
	if role == Primary && s.primary != n {
		s.nextCandidate = slices.Index(s.members, n)
	}
	if word < peerLatencyUnknown {
		n.rate(float64(word)/10, r.now-second/10, len(n.inFlight))
	}
}

// Count tells how many routers there are, and whether any planner is there to tell what is new.
func (r *Router) Count(routers int, blind bool) { r.Routers, r.noPlanner = max(1, routers), blind }

// Probed ends a probe. A host in reach again may have started anew, whatever the list says: so does its
// cap.
func (n *Node) Probed(ok bool) {
	if n.probing = false; ok && n.unreachable {
		n.unreachable, n.ejected, n.backoff, n.retryAt, n.limit = false, false, 0, 0, 2
	}
	if ok {
		n.shareState(peerLatencyUnknown)
	}
	if s := n.set; s.probed == n {
		s.probed, s.probedUntil = nil, 0
		s.serveQueue()
	}
}

// probeHosts asks new hosts and, within what may be spent, those whose position has aged, the oldest first.
func (r *Router) probeHosts() {
	for r.Probes {
		var oldest *Node
		for _, n := range r.hosts {
			due := n.unreachable && r.now >= n.retryAt || !n.unreachable && (n.positionAt == 0 || r.now >= n.positionAt+r.positionTTL &&
				r.Reports && !r.probesForReads && r.probeCredit >= 1) && (!r.Peers || r.random()*float64(r.Routers) < 2)
			if due && n.standing == In && !n.probing && (oldest == nil || n.positionAt < oldest.positionAt) {
				oldest = n
			}
		}
		if oldest == nil {
			return
		}
		if oldest.unreachable {
			oldest.retryAt = r.now + second/4
		} else if oldest.positionAt > 0 {
			r.probeCredit--
		}
		r.startProbe(oldest)
	}
}

func (r *Router) startProbe(n *Node) {
	n.probing, n.positionAt = true, max(n.positionAt, 1)
	r.caller.Probe(n)
}
