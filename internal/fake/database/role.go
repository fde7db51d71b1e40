package database

import (
	"maps"
	"slices"
)

// maxStepDownDelay is how long a former primary goes on at most after its successor was promoted.
const maxStepDownDelay = Second

// Promote makes a host the primary of a new timeline, with the log that it has received. It reports false if the host does
// not run. Promoting the current primary changes nothing.
func (h *Host) Promote() bool {
	if !h.Up {
		return false
	}
	latest := h.Timeline
	for _, other := range h.group.Hosts {
		latest = max(latest, other.Timeline)
	}
	// A primary on an older timeline has a successor that it has not heard of, so it is promoted like a replica.
	if h.IsPrimary && h.Timeline == latest {
		return true
	}
	h.Timeline, h.IsPrimary, h.PausedTimeline, h.pendingAcks = latest+1, true, 0, nil
	h.group.Logf("%s is promoted to timeline %d with %d entries", h.ID, h.Timeline, len(h.Log))
	for _, other := range h.group.Hosts {
		if other != h {
			other.succeededBy(h)
		}
	}
	h.sendHeartbeat()
	return true
}

// succeededBy notifies a host of a new primary: a reachable replica follows it at once, a former primary steps down later.
func (h *Host) succeededBy(primary *Host) {
	if h.Up && !h.Unreachable && !h.ReplicationStopped && !h.IsPrimary {
		h.PausedTimeline, h.Timeline = 0, max(h.Timeline, primary.Timeline)
	}
	if h.IsPrimary {
		h.group.After(h.group.Between(0, maxStepDownDelay), func() {
			if h.Up && h.IsPrimary && h.Timeline < primary.Timeline {
				h.StepDown()
			}
		})
	}
}

// StepDown makes a primary a replica. Commits that no replica has received stay unanswered.
func (h *Host) StepDown() {
	if h.IsPrimary {
		h.becomeReplica()
		h.pendingAcks = nil
		h.sendHeartbeat()
	}
}

// becomeReplica keeps what reads on the former primary saw visible.
func (h *Host) becomeReplica() {
	h.IsPrimary, h.Applied = false, len(h.Log)
}

// Crash stops a host and starts it again after a span. An unreachable one is a machine that is down: clients do not see their
// connections end, and connection attempts meet silence.
func (h *Host) Crash(unreachable bool, downTime int64) {
	if !h.Up {
		return
	}
	h.group.Logf("%s crashes, unreachable %v, primary %v", h.ID, unreachable, h.IsPrimary)
	h.Up, h.Unreachable, h.pendingAcks = false, unreachable, nil
	h.Crashes++
	// In the order in which they were opened, so that a seed plays the same each time.
	bySerial := func(a, b *Conn) int { return a.serial - b.serial }
	for _, conn := range slices.SortedFunc(maps.Keys(h.Conns), bySerial) {
		conn.Close()
		if !unreachable {
			conn.OnClosed()
		}
	}
	h.group.After(downTime, h.restart)
}

// restart has a host run again, as a replica if another was promoted meanwhile, whether that one still runs or not.
func (h *Host) restart() {
	h.Up, h.Unreachable, h.PausedTimeline = true, false, 0
	for _, other := range h.group.Hosts {
		if other.Timeline > h.Timeline && h.IsPrimary {
			h.becomeReplica()
		}
	}
	h.group.Logf("%s is back, primary %v", h.ID, h.IsPrimary)
	h.sendHeartbeat()
}
