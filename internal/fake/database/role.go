package database

import (
	"maps"
	"slices"
)

// maxStepDownDelay is the longest time for which a former primary continues after the promotion of its successor.
const maxStepDownDelay = Second

// Promote makes a host the primary on a new timeline, with the log that it has received. It returns false if the host is not
// running. Promoting the current primary has no effect.
func (h *Host) Promote() bool {
	if !h.Up {
		return false
	}
	latest := h.Timeline
	for _, other := range h.group.Hosts {
		latest = max(latest, other.Timeline)
	}
	// A primary on an older timeline has a successor that it does not know of, so it is promoted like a replica.
	if h.IsPrimary && h.Timeline == latest {
		return true
	}
	h.Timeline, h.IsPrimary, h.PausedTimeline, h.pendingAcks = latest+1, true, 0, nil
	h.group.Logf("%s is promoted to timeline %d with %d entries", h.ID, h.Timeline, len(h.Log))
	for _, other := range h.group.Hosts {
		if other != h {
			other.followNewPrimary(h)
		}
	}
	h.sendHeartbeat()
	return true
}

// followNewPrimary notifies a host of a new primary. A reachable replica switches to the new timeline at once. A former primary
// steps down after a random delay.
func (h *Host) followNewPrimary(primary *Host) {
	if h.Isolated || primary.Isolated {
		return
	}
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

// StepDown makes a primary a replica. Commits that no replica has received are never answered.
func (h *Host) StepDown() {
	if h.IsPrimary {
		h.becomeReplica()
		h.pendingAcks = nil
		h.sendHeartbeat()
	}
}

// becomeReplica makes the host a replica. All entries of its log stay visible to reads.
func (h *Host) becomeReplica() {
	h.IsPrimary, h.Applied = false, len(h.Log)
}

// Crash stops a host and restarts it after downTime. With unreachable, the whole machine is down: clients are not notified that
// their connections have ended, and connection attempts get no answer.
func (h *Host) Crash(unreachable bool, downTime int64) {
	if !h.Up {
		return
	}
	h.group.Logf("%s crashes, unreachable %v, primary %v", h.ID, unreachable, h.IsPrimary)
	h.Up, h.Unreachable, h.pendingAcks = false, unreachable, nil
	h.Crashes++
	// In the order in which they were opened, so that runs with the same seed are identical.
	bySerial := func(a, b *Conn) int { return a.serial - b.serial }
	for _, conn := range slices.SortedFunc(maps.Keys(h.Conns), bySerial) {
		conn.Close()
		if !unreachable {
			conn.OnClosed()
		}
	}
	h.group.After(downTime, h.restart)
}

// restart starts a host again. It becomes a replica if another host was promoted meanwhile, even if that host is down.
func (h *Host) restart() {
	h.Up, h.Unreachable, h.PausedTimeline = true, false, 0
	for _, other := range h.group.Hosts {
		if other.Timeline > h.Timeline && h.IsPrimary {
			h.becomeReplica()
		}
	}
	h.group.Logf("%s restarts, primary %v", h.ID, h.IsPrimary)
	h.sendHeartbeat()
}
