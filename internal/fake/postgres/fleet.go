// Package postgres simulates a fleet of database hosts on loopback for tests and ferrylab. The hosts speak version 3 of
// PostgreSQL's protocol as far as the router of internal/router uses it: simple queries, by its public specification.
//
// A Fleet owns the hosts, grouped in replica sets with one log each. A command comes in on a socket, waits for a free slot
// of its host, and takes a configured time; the answer names the host and the log position. Calls on a Host crash it,
// restart it with little capacity, drain it or promote it. Meanwhile the fleet counts in Stats what ran where and every
// violation of a rule that the router has to keep, independently of what clients saw.
package postgres

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Config describes the hosts of a fleet, which are all alike, and the rules that their clients have to keep.
type Config struct {
	// WorkTime is the time that a command takes in its slot.
	WorkTime time.Duration
	// Slots is how many commands a warm host runs at once.
	Slots int
	// QueueLimit is how many commands may wait for a slot. A host rejects those beyond it.
	QueueLimit int
	// ColdStartFraction is the part of its slots that a host has right after a start, from 0 to 1.
	ColdStartFraction float64
	// WarmUpTime is the time after a start until a host has all slots; they grow linearly.
	WarmUpTime time.Duration
	// OverloadFactor times what a cold host can do, sent to it within OverloadWindow, is an overload.
	OverloadFactor float64
	OverloadWindow time.Duration
	// DrainGrace is the time after the notice of a drain in which new commands are no violation yet.
	DrainGrace time.Duration
	// StalenessBounds is how old reads may be, for the command groups that have such a bound.
	StalenessBounds map[string]time.Duration
	// AtMostOnce is the command groups whose commands must not run twice.
	AtMostOnce map[string]bool
}

// Fleet is a set of hosts and the statistics of what they did. Its methods and those of its hosts may be called by any
// goroutine.
type Fleet struct {
	config Config
	tasks  sync.WaitGroup // accepting and serving connections

	mu          sync.Mutex // protects what follows, and the state of all hosts
	replicaSets map[int64]*replicaSet
	hosts       map[string]*Host
	executions  map[string]int // of writes, by command id
	stats       Stats
}

// replicaSet is hosts that share a log, whose positions are the times of its commits.
type replicaSet struct {
	primary    *Host     // nil after a crash, until a promotion
	logEnd     time.Time // where the log stands while there is no primary
	lastCommit time.Time
}

// New returns a fleet without hosts.
func New(config Config) *Fleet {
	return &Fleet{
		config:      config,
		replicaSets: map[int64]*replicaSet{},
		hosts:       map[string]*Host{},
		executions:  map[string]int{},
		stats:       Stats{AnswersByHost: map[string]int{}},
	}
}

// Add starts a host on a free loopback port. The first host of a set is its primary; a replica's log is behind by
// replicationLag.
func (f *Fleet) Add(name string, set int64, replicationLag time.Duration) (*Host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", name, err)
	}
	host := &Host{
		Name:           name,
		Set:            set,
		fleet:          f,
		address:        listener.Addr().String(),
		conns:          map[net.Conn]bool{},
		replicationLag: replicationLag,
		slotFreed:      sync.NewCond(&f.mu),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replicaSets[set] == nil {
		f.replicaSets[set] = &replicaSet{primary: host}
	}
	f.hosts[name] = host
	host.serve(listener)
	return host, nil
}

// Primary returns the primary of a set; nil while it has none.
func (f *Fleet) Primary(set int64) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicaSets[set].primary
}

// Hosts returns all hosts in the order of their names.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	byName := func(a, b *Host) int { return strings.Compare(a.Name, b.Name) }
	return slices.SortedFunc(maps.Values(f.hosts), byName)
}

// Stop stops all hosts and waits for their goroutines.
func (f *Fleet) Stop() {
	f.mu.Lock()
	for _, host := range f.hosts {
		host.kill()
	}
	f.mu.Unlock()
	f.tasks.Wait()
}
