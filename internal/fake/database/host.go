package database

import "ferrypitch/internal/wire"

// Host is a database host.
type Host struct {
	group *Group
	ID    string
	// Up says that the host runs.
	Up bool
	// Dark cuts a host's network: it sends nothing, and a connection attempt is not even refused.
	Dark bool
	// Deaf stops a replica from receiving the primary's log.
	Deaf bool
	// Leader says that the host takes itself for the primary. Until a former primary has heard of its successor, both do.
	Leader bool
	// Term is the timeline that the host is on.
	Term uint64
	// Paused is the timeline of the PAUSE that stopped replication here; 0 if it is not paused.
	Paused uint64
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
	Term uint64
	Data []string
}

// At returns the position after the first entries of the log.
func (h *Host) At(entries int) wire.Position {
	if entries == 0 {
		return wire.Position{Term: 1}
	}
	return wire.Position{Term: h.Log[entries-1].Term, Number: uint64(entries)}
}

// Seen returns how many entries a read sees.
func (h *Host) Seen() int {
	if h.Leader {
		return len(h.Log)
	}
	return h.Applied
}

// Visible reports whether a read sees the commit at a position.
func (h *Host) Visible(position wire.Position) bool {
	entries := int(position.Number)
	return entries <= h.Seen() && (entries == 0 || h.Log[entries-1].Term == position.Term)
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
	minHeartbeatInterval = 1100 * Ms
	maxHeartbeatInterval = 1300 * Ms
)

// heartbeat sends a heartbeat now and at each interval from here on.
func (h *Host) heartbeat() {
	h.group.After(h.group.Between(minHeartbeatInterval, maxHeartbeatInterval), h.heartbeat)
	h.sendHeartbeat()
}

func (h *Host) sendHeartbeat() {
	if h.Up && !h.Dark && h.group.Told != nil {
		h.group.Told(h)
	}
}

// Control runs one of STAT, PAUSE, RESUME and STEPDOWN, and returns the status after it. PAUSE and STEPDOWN do nothing
// unless their term is greater than the host's.
func (h *Host) Control(verb string, term uint64) wire.HostStatus {
	switch {
	case verb == verbPause && term > h.Term && !h.Leader:
		h.Paused = term
	case verb == verbResume:
		h.Paused = 0
	case verb == verbStepDown && term > h.Term:
		h.StepDown()
	}
	return wire.HostStatus{
		Leader:   h.Leader,
		Term:     h.Term,
		Received: h.At(len(h.Log)),
		Held:     h.Paused,
		Conns:    int64(len(h.Conns)),
	}
}
