package tiernet

import "ferrypitch/policy"

// Ranges of the delays of hosts.
const (
	minReplicationLag = 2 * millisecond
	maxReplicationLag = 40 * millisecond
	// Range of the time from a primary's crash or hang to the election.
	minElectionDelay = 200 * millisecond
	maxElectionDelay = 1500 * millisecond
)

// electionWait is how long a set may be without a primary before a restarted host starts another election.
const electionWait = 2 * second

// replicaSet is a group of hosts with a common log. A position in the log is the time of a commit.
type replicaSet struct {
	w              *World
	id             int64
	hosts          []*host
	primary        *host                      // nil between the loss of a primary and the election
	logEnd         policy.TenthMs             // end of the log while there is no primary
	electedAt      policy.TenthMs             // time of the last election; 0 before the first
	firstWriteDone map[*forwarderProcess]bool // forwarders that had a write answered by the new primary since the last election
	primaryInView  map[*forwarderProcess]bool // forwarders whose view has had the new primary since the last election
}

// losePrimary removes the primary and ends the log at the current time until the next election.
func (s *replicaSet) losePrimary() {
	s.primary.maxPosition = s.w.Now
	s.primary, s.logEnd = nil, s.w.Now
}

// elect makes the host with the newest position the primary, unless the set has a primary.
func (s *replicaSet) elect() {
	var best *host
	for _, h := range s.hosts {
		if h.up && !h.hung && (best == nil || h.position() > best.position()) {
			best = h
		}
	}
	if best == nil || s.primary != nil {
		return
	}
	s.w.LogFault("set %d elects %s", s.id, best.name)
	s.primary, best.wasPrimary, s.electedAt = best, true, s.w.Now
	s.firstWriteDone, s.primaryInView = map[*forwarderProcess]bool{}, map[*forwarderProcess]bool{}
}

func (s *replicaSet) scheduleElection() {
	s.w.After(s.w.Between(minElectionDelay, maxElectionDelay), s.elect)
}

// host is a simulated database host.
type host struct {
	w              *World
	name           string
	set            *replicaSet
	up             bool
	hung           bool // accepts commands, but does not run or answer them
	wasPrimary     bool // it is or was the primary
	replicationLag policy.TenthMs
	startedAt      policy.TenthMs // last restart; 0 if there was none
	maxPosition    policy.TenthMs // the newest position that the host has had
	queued         []func()       // commands that arrived during a hang
	coldArrivals   []arrival      // command arrivals within the overload window while the host is cold
}

// arrival is the arrival of a command at a cold host.
type arrival struct {
	at policy.TenthMs
	// startKnown says that the forwarder knew of the host's start.
	startKnown bool
}

// position returns the position up to which a host has the log. It never decreases. An elected replica catches up at once.
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

// kill crashes a host. If it was the primary, an election follows after some time.
func (h *host) kill() {
	if !h.up {
		return
	}
	h.w.LogFault("%s dies", h.name)
	h.up, h.hung, h.queued = false, false, nil
	if h.set.primary == h {
		h.set.losePrimary()
		h.set.scheduleElection()
	}
}

// restart restarts a host that is down. It is cold at first.
func (h *host) restart() {
	if h.up {
		return
	}
	h.w.LogFault("%s restarts cold", h.name)
	h.up, h.startedAt, h.coldArrivals = true, h.w.Now, nil
	if h.set.primary == nil && h.set.logEnd < h.w.Now-electionWait {
		h.w.After(0, h.set.elect)
	}
	h.w.setListState(h, policy.Active)
}

// Parameters of the overload rule for cold hosts, as the forwarders have them.
const (
	coldStartFraction = 0.25 // of the warm capacity, right after a start
	warmUpTime        = 8 * second
	overloadFactor    = 4.0
	overloadWindow    = 1500 * millisecond
)

const (
	// warmCapacity is a warm host's capacity relative to its average load. It is only a little more than the load, so that the
	// overload rule has an effect.
	warmCapacity = 1.33
	// overloadSlack is the number of commands beyond the overload factor that count as random variation.
	overloadSlack = 6
)

// checkOverload records the arrival of a command at a cold host. It reports an overload only if at least two thirds of the
// commands in the window came from forwarders that knew of the host's start.
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
		if arrival.startKnown {
			knowing++
		}
	}
	capacity := h.coldCapacity()
	if arrivals := len(h.coldArrivals); float64(arrivals) > overloadFactor*capacity+overloadSlack && 3*knowing >= 2*arrivals {
		w.RecordViolation("%s is overloaded: %d commands in %d ms, capacity %.1f", h.name, arrivals, inMs(overloadWindow), capacity)
		h.coldArrivals = nil
	}
}

// coldCapacity returns the number of commands that a cold host can run in the overload window, based on how far it had warmed
// up at the start of the window.
func (h *host) coldCapacity() float64 {
	warmth := float64(h.w.Now-overloadWindow-h.startedAt) / float64(warmUpTime)
	fraction := max(coldStartFraction, coldStartFraction+(1-coldStartFraction)*warmth)
	perSecond := h.w.Rate / float64(len(h.w.hosts)) * warmCapacity
	return perSecond * fraction * float64(overloadWindow) / float64(second)
}
