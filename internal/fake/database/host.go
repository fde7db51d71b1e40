package database

import "ferrypitch/internal/wire"

// Host is a simulated database host.
type Host struct {
	group *Group
	ID    string
	// Up says that the host is running.
	Up bool
	// Unreachable partitions the host from the network: it sends nothing, and connection attempts time out instead of being
	// refused.
	Unreachable bool
	// Draining makes the host's heartbeats announce that it is about to leave.
	Draining bool
	// Unheard stops the host's heartbeats.
	Unheard bool
	// ReplicationStopped stops a replica from fetching the primary's log.
	ReplicationStopped bool
	// Isolated cuts the host off from the other hosts, but not from their clients.
	Isolated bool
	// IsPrimary says that the host considers itself the primary. After a promotion, the former primary does so too until it
	// learns of its successor.
	IsPrimary bool
	// Timeline is the timeline that the host is on.
	Timeline uint64
	// PausedTimeline is the timeline of the PAUSE that stopped replication here; 0 if it is not paused.
	PausedTimeline uint64
	// Log holds the commits that the host has received.
	Log []Entry
	// Applied is the number of entries that reads on a replica see.
	Applied int
	// ReplayDelay is the delay, in the scheduler's units, between receiving and applying entries.
	ReplayDelay int64
	// Conns holds the open connections.
	Conns map[*Conn]bool
	// Crashes is the number of crashes so far.
	Crashes int

	connsOpened int
	pendingAcks []pendingAck
}

// Entry is a commit in the log.
type Entry struct {
	Timeline uint64
	Data     []string
}

// PositionAt returns the position after a number of entries from the start of the log.
func (h *Host) PositionAt(entries int) wire.Position {
	if entries == 0 {
		return wire.Position{Timeline: 1}
	}
	return wire.Position{Timeline: h.Log[entries-1].Timeline, Number: uint64(entries)}
}

// VisibleEntries returns the number of log entries that a read sees.
func (h *Host) VisibleEntries() int {
	if h.IsPrimary {
		return len(h.Log)
	}
	return h.Applied
}

// Visible reports whether a read sees the commit at a position.
func (h *Host) Visible(position wire.Position) bool {
	entries := int(position.Number)
	return entries <= h.VisibleEntries() && (entries == 0 || h.Log[entries-1].Timeline == position.Timeline)
}

// WriteCounts returns the number of occurrences of each write's data in the log.
func (h *Host) WriteCounts() map[string]int {
	times := map[string]int{}
	for _, entry := range h.Log {
		for _, data := range entry.Data {
			times[data]++
		}
	}
	return times
}

// Range of the interval between a host's heartbeats.
const (
	minHeartbeatInterval = 1100 * Millisecond
	maxHeartbeatInterval = 1300 * Millisecond
)

// heartbeat sends a heartbeat now, and schedules the next one after a random interval.
func (h *Host) heartbeat() {
	h.group.After(h.group.Between(minHeartbeatInterval, maxHeartbeatInterval), h.heartbeat)
	h.sendHeartbeat()
}

func (h *Host) sendHeartbeat() {
	if h.Up && !h.Unreachable && !h.Unheard && h.group.OnHeartbeat != nil {
		h.group.OnHeartbeat(h)
	}
}

// Control runs one of STAT, PAUSE, RESUME and STEPDOWN, and returns the status after it. PAUSE and STEPDOWN do nothing
// unless their timeline is greater than the host's.
func (h *Host) Control(verb string, timeline uint64) wire.HostStatus {
	switch {
	case verb == verbPause && timeline > h.Timeline && !h.IsPrimary:
		h.PausedTimeline = timeline
	case verb == verbResume:
		h.PausedTimeline = 0
	case verb == verbStepDown && timeline > h.Timeline:
		h.StepDown()
	}
	return wire.HostStatus{
		IsPrimary:        h.IsPrimary,
		Timeline:         h.Timeline,
		ReceivedPosition: h.PositionAt(len(h.Log)),
		PausedTimeline:   h.PausedTimeline,
		Connections:      int64(len(h.Conns)),
	}
}
