package database

// Ranges of the interval at which a replica fetches from the primary, and of the network delay of its acknowledgement.
const (
	minFetchInterval = 2 * Millisecond
	maxFetchInterval = 8 * Millisecond
	minAckDelay      = Millisecond
	maxAckDelay      = 3 * Millisecond
)

// pendingAck is a commit that is acknowledged to the client once a replica has received it.
type pendingAck struct {
	entries  int    // the log length that a replica must have
	timeline uint64 // the timeline that the primary must still be on
	done     func()
}

// replicate has a replica fetch the primary's log now, and schedules the next fetch after a random interval.
func (h *Host) replicate() {
	h.group.After(h.group.Between(minFetchInterval, maxFetchInterval), h.replicate)
	if !h.Up || h.IsPrimary || h.ReplicationStopped || h.PausedTimeline > 0 || h.Unreachable || h.Isolated {
		return
	}
	if source := h.replicationSource(); source != nil {
		h.fetchFrom(source)
	}
}

// replicationSource returns the reachable primary on the greatest timeline, or nil if there is none on the host's own timeline
// or a greater one.
func (h *Host) replicationSource() *Host {
	var source *Host
	for _, other := range h.group.Hosts {
		if other.Up && !other.Unreachable && !other.Isolated && other.IsPrimary && other.Timeline >= h.Timeline && (source == nil || other.Timeline > source.Timeline) {
			source = other
		}
	}
	return source
}

// fetchFrom replaces the part of the log that differs from the primary's log. The entries are applied after ReplayDelay, and
// acknowledged to the primary after a network delay.
func (h *Host) fetchFrom(primary *Host) {
	h.Timeline = primary.Timeline
	common := min(len(h.Log), len(primary.Log))
	for common > 0 && h.Log[common-1].Timeline != primary.Log[common-1].Timeline {
		common--
	}
	h.Log = append(h.Log[:common], primary.Log[common:]...)
	h.Applied = min(h.Applied, common)
	received, timeline := len(h.Log), primary.Timeline
	h.group.After(h.ReplayDelay, func() {
		if h.Up && received <= len(h.Log) {
			h.Applied = max(h.Applied, received)
		}
	})
	h.group.After(h.group.Between(minAckDelay, maxAckDelay), func() { primary.acknowledge(received, timeline) })
}

// acknowledge completes the commits that a replica has received, unless the host has crashed or changed its timeline since.
func (h *Host) acknowledge(received int, timeline uint64) {
	if !h.Up || h.Timeline != timeline {
		return
	}
	var pending []pendingAck
	for _, ack := range h.pendingAcks {
		if ack.timeline == timeline && ack.entries <= received {
			ack.done()
		} else {
			pending = append(pending, ack)
		}
	}
	h.pendingAcks = pending
}

// commit appends an entry to the primary's log, and calls done once a replica has received it.
func (h *Host) commit(data []string, done func()) {
	h.Log = append(h.Log, Entry{h.Timeline, data})
	h.pendingAcks = append(h.pendingAcks, pendingAck{len(h.Log), h.Timeline, done})
}
