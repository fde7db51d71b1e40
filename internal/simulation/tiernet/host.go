package tiernet

import "ferrypitch/policy"

// Ranges of the times of hosts.
const (
	minReplicationLag = 2 * millisecond
	maxReplicationLag = 40 * millisecond
	// How long an election takes, after a primary has died or hangs.
	minElectionDelay = 200 * millisecond
	maxElectionDelay = 1500 * millisecond
)

// electionWait is how long a set waits for its own election before a host that returns calls another one.
const electionWait = 2 * second

// replicaSet is hosts that share a log, whose positions are the times of its commits.
type replicaSet struct {
	w         *World
	id        int64
	hosts     []*host
	primary   *host                      // nil after a crash, until an election
	logEnd    policy.TenthMs             // where the log stands while there is no primary
	electedAt policy.TenthMs             // the last election; 0: none yet
	following map[*forwarderProcess]bool // since the last election: those with a write answered by the new primary
	naming    map[*forwarderProcess]bool // since the last election: those whose view names the new primary
}

// losePrimary ends the log where it stands, until the next election.
func (s *replicaSet) losePrimary() {
	s.primary.maxPosition = s.w.Now
	s.primary, s.logEnd = nil, s.w.Now
}

// elect makes the host with the longest log the primary, unless there is one.
func (s *replicaSet) elect() {
	var best *host
	for _, h := range s.hosts {
		if h.up && !h.hanging && (best == nil || h.position() > best.position()) {
			best = h
		}
	}
	if best == nil || s.primary != nil {
		return
	}
	s.w.LogFault("set %d elects %s", s.id, best.name)
	s.primary, best.wasPrimary, s.electedAt = best, true, s.w.Now
	s.following, s.naming = map[*forwarderProcess]bool{}, map[*forwarderProcess]bool{}
}

func (s *replicaSet) electLater() {
	s.w.After(s.w.Between(minElectionDelay, maxElectionDelay), s.elect)
}

// host is a simulated database host.
type host struct {
	w              *World
	name           string
	set            *replicaSet
	up             bool
	hanging        bool // it takes connections and commands, and answers nothing
	wasPrimary     bool // it is or was the primary
	replicationLag policy.TenthMs
	startedAt      policy.TenthMs // its last restart; 0: none
	maxPosition    policy.TenthMs // up to where it ever had the log
	queued         []func()       // commands that arrived while it hung
	coldArrivals   []arrival      // within the overload window, while cold
}

// arrival is that of a command at a cold host.
type arrival struct {
	at policy.TenthMs
	// knowsStart says that the forwarder had been notified of the start.
	knowsStart bool
}

// position is up to where a host has the log, which never goes back. A replica that is elected catches up at once.
func (h *host) position() policy.TenthMs {
	now := h.w.Now
	if h.set.primary == nil {
		now = h.set.logEnd
	}
	if h.set.primary != h {
		now -= h.replicationLag
	}
	h.maxPosition = max(h.maxPosition, now)
	return h.maxPosition
}

func (h *host) role() policy.Role {
	if h.set.primary == h {
		return policy.Primary
	}
	return policy.Replica
}

// kill ends a host; if it was the primary, another is elected after some time.
func (h *host) kill() {
	if !h.up {
		return
	}
	h.w.LogFault("%s dies", h.name)
	h.up, h.hanging, h.queued = false, false, nil
	if h.set.primary == h {
		h.set.losePrimary()
		h.set.electLater()
	}
}

// restart starts a host that is down, cold.
func (h *host) restart() {
	if h.up {
		return
	}
	h.w.LogFault("%s is back, cold", h.name)
	h.up, h.startedAt, h.coldArrivals = true, h.w.Now, nil
	if h.set.primary == nil && h.set.logEnd < h.w.Now-electionWait {
		h.w.After(0, h.set.elect)
	}
	h.w.setStanding(h, policy.Active)
}

// The rule on cold hosts, as the forwarders have it.
const (
	coldStartFraction = 0.25 // of the capacity, right after a start
	warmUpTime        = 8 * second
	overloadFactor    = 4.0
	overloadWindow    = 1500 * millisecond
)

const (
	// warmCapacity is what a warm host can do, in relation to what is asked of it here on average. It is little more, so
	// that the rule has an effect.
	warmCapacity = 1.33
	// overloadSlack is how many commands beyond the overload factor are taken for random variation.
	overloadSlack = 6
)

// checkOverload notes the arrival of a command, and checks that a cold host is not sent too much by forwarders of which two
// thirds know that it is cold.
func (h *host) checkOverload(from *forwarderProcess) {
	w := h.w
	if h.startedAt == 0 || w.Now > h.startedAt+warmUpTime {
		return
	}
	h.coldArrivals = append(h.coldArrivals, arrival{w.Now, from.knownStarts[h.name] >= h.startedAt})
	for len(h.coldArrivals) > 0 && h.coldArrivals[0].at < w.Now-overloadWindow {
		h.coldArrivals = h.coldArrivals[1:]
	}
	knowing := 0
	for _, arrival := range h.coldArrivals {
		if arrival.knowsStart {
			knowing++
		}
	}
	capacity := h.coldCapacity()
	if arrivals := len(h.coldArrivals); float64(arrivals) > overloadFactor*capacity+overloadSlack && 3*knowing >= 2*arrivals {
		w.Violate("%s is overloaded: %d in %d ms, it can do %.1f", h.name, arrivals, inMs(overloadWindow), capacity)
		h.coldArrivals = nil
	}
}

// coldCapacity is how many commands a cold host can do in the overload window, by its warmth at the window's start.
func (h *host) coldCapacity() float64 {
	warmth := float64(h.w.Now-overloadWindow-h.startedAt) / float64(warmUpTime)
	fraction := max(coldStartFraction, coldStartFraction+(1-coldStartFraction)*warmth)
	perSecond := h.w.Rate / float64(len(h.w.hosts)) * warmCapacity
	return perSecond * fraction * float64(overloadWindow) / float64(second)
}
