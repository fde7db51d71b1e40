// Package database simulates the hosts of one database service: log replication with delayed replay on replicas, transactions,
// the statements of sessions (including FENCE) and of a coordinator (STAT, PAUSE, RESUME, STEPDOWN), and promotion.
//
// A Group owns its hosts. Conn.Query receives statements, Conn.OnResponse delivers their answers, and a Scheduler runs
// everything that takes time. The hosts have no sockets and no clock: simulations use a seeded scheduler, and Server runs the
// same hosts over sockets with a RealTimeScheduler. Only RealTimeScheduler has a lock; a Group is not safe for concurrent use.
package database

import (
	"slices"

	"ferrypitch/internal/wire"
)

// Units of a Scheduler's time spans, which are tenths of a millisecond.
const (
	Millisecond = 10
	Second      = 1000 * Millisecond
)

// Scheduler runs the events of a group one at a time, and generates its random numbers.
type Scheduler interface {
	// After runs do after a delay.
	After(delay int64, do func())
	// Between returns a random number from a to b, both included.
	Between(a, b int64) int64
	// OneIn returns true with probability 1/n.
	OneIn(n int) bool
}

// Group is the group of hosts of one service. The zero value of an optional field disables the feature.
type Group struct {
	Scheduler
	Hosts []*Host
	// Logf logs promotions, crashes and restarts. It is required.
	Logf func(format string, args ...any)
	// OnRead is called before a read runs, with the id of its statement. Optional.
	OnRead func(h *Host, c *Conn, id string)
	// OnHeartbeat is called when a host sends a heartbeat: at regular intervals, and at once when its role changes. Optional.
	OnHeartbeat func(h *Host)
	// LostAnswerOneIn is the mean number of answers of which one is lost, along with its connection. Optional.
	LostAnswerOneIn int
	// RejectedWriteOneIn is the mean number of writes outside transactions of which one is rejected with RETRY. Optional.
	RejectedWriteOneIn int
}

// Range of the delay between a replica's receipt of a commit and its visibility to reads there. It is constant for each host.
const (
	minReplayDelay = 2 * Millisecond
	maxReplayDelay = 30 * Millisecond
)

// Add adds a running host. The first host is the primary.
func (g *Group) Add(id string) *Host {
	host := &Host{
		group:       g,
		ID:          id,
		Up:          true,
		Timeline:    1,
		ReplayDelay: g.Between(minReplayDelay, maxReplayDelay),
		IsPrimary:   len(g.Hosts) == 0,
		Conns:       map[*Conn]bool{},
	}
	g.Hosts = append(g.Hosts, host)
	host.heartbeat()
	host.replicate()
	return host
}

// Host returns the host with an id, or nil if there is none.
func (g *Group) Host(id string) *Host {
	for _, host := range g.Hosts {
		if host.ID == id {
			return host
		}
	}
	return nil
}

// Primary returns the running primary on the greatest timeline, or nil if no primary runs.
func (g *Group) Primary() *Host {
	var primary *Host
	for _, host := range g.Hosts {
		if host.Up && host.IsPrimary && (primary == nil || host.Timeline > primary.Timeline) {
			primary = host
		}
	}
	return primary
}

// FindWrite returns the position of the last entry with a write's data, in the first host's log that contains it.
func (g *Group) FindWrite(data string) (wire.Position, bool) {
	for _, host := range g.Hosts {
		// Backwards, since callers look for recent writes.
		for i, entry := range slices.Backward(host.Log) {
			if slices.Contains(entry.Data, data) {
				return host.PositionAt(i + 1), true
			}
		}
	}
	return wire.Position{}, false
}
