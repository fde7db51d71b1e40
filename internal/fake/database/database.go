// Package database simulates the hosts of one database service: a log of commits that replicas receive over a network and
// apply later, transactions, the statements of a session (FENCE included) and of a coordinator (STAT, PAUSE, RESUME,
// STEPDOWN), and promotion.
//
// A Group owns its hosts. Statements come in by Conn.Query, their answers leave by Conn.OnResponse, and everything that takes
// time goes through a Scheduler. The hosts themselves have no sockets and no clock: simulations bring a seeded scheduler, and
// Server runs the same hosts on sockets with a RealTimeScheduler. Nothing in this package locks but RealTimeScheduler;
// calls into a group are made by one goroutine at a time.
package database

import (
	"slices"

	"ferrypitch/internal/wire"
)

// Units of a Scheduler's spans: tenths of a millisecond.
const (
	Millisecond = 10
	Second      = 1000 * Millisecond
)

// Scheduler runs the events of a group one at a time, and draws its random choices.
type Scheduler interface {
	// After runs do once a span has passed.
	After(after int64, do func())
	// Between draws a number from a to b, both included.
	Between(a, b int64) int64
	// OneIn is true with a probability of 1/n.
	OneIn(n int) bool
}

// Group is the hosts of one service. The zero value of each optional field switches what it describes off.
type Group struct {
	Scheduler
	Hosts []*Host
	// Logf logs promotions, crashes and restarts. It is required.
	Logf func(format string, args ...any)
	// OnRead is called before a read runs, with the id of its statement. Optional.
	OnRead func(h *Host, c *Conn, id string)
	// OnHeartbeat is called when a host sends a heartbeat: at regular intervals, and at once when its role changes. Optional.
	OnHeartbeat func(h *Host)
	// LostAnswerOneIn has one answer in so many lost along with its connection. Optional.
	LostAnswerOneIn int
	// RejectedWriteOneIn has one write in so many, of those outside transactions, rejected with RETRY. Optional.
	RejectedWriteOneIn int
}

// Range of the delay between a commit reaching a replica and reads there seeing it, drawn once for each host.
const (
	minReplayDelay = 2 * Millisecond
	maxReplayDelay = 30 * Millisecond
)

// Add adds a host that runs; the first one is the primary.
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

// Host returns the host with an id; nil if there is none.
func (g *Group) Host(id string) *Host {
	for _, host := range g.Hosts {
		if host.ID == id {
			return host
		}
	}
	return nil
}

// Primary returns the running primary of the greatest timeline; nil if no primary runs.
func (g *Group) Primary() *Host {
	var primary *Host
	for _, host := range g.Hosts {
		if host.Up && host.IsPrimary && (primary == nil || host.Timeline > primary.Timeline) {
			primary = host
		}
	}
	return primary
}

// FindWrite returns the last position of a write's data in the first log that has it.
func (g *Group) FindWrite(data string) (wire.Position, bool) {
	for _, host := range g.Hosts {
		// Backwards, since callers look for what was written a moment ago.
		for i, entry := range slices.Backward(host.Log) {
			if slices.Contains(entry.Data, data) {
				return host.PositionAt(i + 1), true
			}
		}
	}
	return wire.Position{}, false
}
