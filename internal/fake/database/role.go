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
	latest := h.Term
	for _, other := range h.group.Hosts {
		latest = max(latest, other.Term)
	}
	// A primary on an older timeline has a successor that it has not heard of, so it is promoted like a replica.
	if h.Leader && h.Term == latest {
		return true
	}
	h.Term, h.Leader, h.Paused, h.pendingAcks = latest+1, true, 0, nil
	h.group.Note("%s is promoted to timeline %d with %d entries", h.ID, h.Term, len(h.Log))
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
	if h.Up && !h.Dark && !h.Deaf && !h.Leader {
		h.Paused, h.Term = 0, max(h.Term, primary.Term)
	}
	if h.Leader {
		h.group.After(h.group.Between(0, maxStepDownDelay), func() {
			if h.Up && h.Leader && h.Term < primary.Term {
				h.StepDown()
			}
		})
	}
}

// StepDown makes a primary a replica. Commits that no replica has received stay unanswered.
func (h *Host) StepDown() {
	if h.Leader {
		h.becomeReplica()
		h.pendingAcks = nil
		h.sendHeartbeat()
	}
}

// becomeReplica keeps what reads on the former primary saw visible.
func (h *Host) becomeReplica() {
	h.Leader, h.Applied = false, len(h.Log)
}

// Crash stops a host and starts it again after a span. A dark crash is that of a machine: clients do not see their
// connections end, and connection attempts meet silence.
func (h *Host) Crash(dark bool, back int64) {
	if !h.Up {
		return
	}
	h.group.Note("%s crashes, unreachable %v, primary %v", h.ID, dark, h.Leader)
	h.Up, h.Dark, h.pendingAcks = false, dark, nil
	h.Crashes++
	// In the order in which they were opened, so that a seed plays the same each time.
	bySerial := func(a, b *Conn) int { return a.serial - b.serial }
	for _, conn := range slices.SortedFunc(maps.Keys(h.Conns), bySerial) {
		conn.Close()
		if !dark {
			conn.Broke()
		}
	}
	h.group.After(back, h.restart)
}

// restart has a host run again, as a replica if another was promoted meanwhile, whether that one still runs or not.
func (h *Host) restart() {
	h.Up, h.Dark, h.Paused = true, false, 0
	for _, other := range h.group.Hosts {
		if other.Term > h.Term && h.Leader {
			h.becomeReplica()
		}
	}
	h.group.Note("%s is back, primary %v", h.ID, h.Leader)
	h.sendHeartbeat()
}
