package database

import "ferrypitch/internal/wire"

// Host is a database host.
type Host struct {
	group *Group
	ID    string
	// Up says that the host runs.
	Up bool
	// Unreachable cuts a host's network: it sends nothing, and a connection attempt is not even refused.
	Unreachable bool
	// Draining says in its heartbeats that the host is about to end.
	Draining bool
	// ReplicationStopped stops a replica from receiving the primary's log.
	ReplicationStopped bool
	// IsPrimary says that the host takes itself for the primary. Until a former primary has heard of its successor, both do.
	IsPrimary bool
	// Timeline is the timeline that the host is on.
	Timeline uint64
	// PausedTimeline is the timeline of the PAUSE that stopped replication here; 0 if it is not paused.
	PausedTimeline uint64
	// Log is the commits that the host has received.
	Log []Entry
	// Applied counts the entries that reads on a replica see.
	Applied int
	// ReplayDelay is the delay, in the scheduler's units, between receiving entries and applying them.
	ReplayDelay int64
	// Conns is the open connections.
	Conns map[*Conn]bool
	// Crashes counts the crashes so far.
	Crashes int

	connsOpened int
	pendingAcks []pendingAck
}

// Entry is a commit.
type Entry struct {
	Timeline uint64
	Data     []string
}

// PositionAt returns the position after the first entries of the log.
func (h *Host) PositionAt(entries int) wire.Position {
	if entries == 0 {
		return wire.Position{Timeline: 1}
	}
	return wire.Position{Timeline: h.Log[entries-1].Timeline, Number: uint64(entries)}
}

// VisibleEntries returns how many entries a read sees.
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

// WriteCounts returns how often the data of each write is in the log.
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

// heartbeat sends a heartbeat now and at each interval from here on.
func (h *Host) heartbeat() {
	h.group.After(h.group.Between(minHeartbeatInterval, maxHeartbeatInterval), h.heartbeat)
	h.sendHeartbeat()
}

func (h *Host) sendHeartbeat() {
	if h.Up && !h.Unreachable && h.group.OnHeartbeat != nil {
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
