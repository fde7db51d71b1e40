// Package postgres simulates a fleet of database hosts on loopback for tests and ferrylab. The hosts implement the part of
// version 3 of the PostgreSQL protocol that the router of internal/router uses, simple queries, according to the public
// specification.
//
// A Fleet owns the hosts, which are grouped in replica sets with one log each. A command arrives on a socket, waits for a free
// slot at its host, and runs for a configured time. The answer contains the host's name and the log position. Methods of Host
// crash a host, restart it with reduced capacity, drain it or promote it. Stats counts what each host ran and every violation of
// the rules for the router, independently of what clients observe.
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

// Config configures the hosts of a fleet, which all have the same parameters, and the rules that their clients must follow.
type Config struct {
	// WorkTime is the time for which a command occupies its slot.
	WorkTime time.Duration
	// Slots is the number of commands that a warm host runs concurrently.
	Slots int
	// QueueLimit is the number of commands that may wait for a slot. A host rejects further commands.
	QueueLimit int
	// ColdStartFraction is the fraction of its slots that a host has right after a start, from 0 to 1.
	ColdStartFraction float64
	// WarmUpTime is the time after a start until a host has all its slots. Their number grows linearly.
	WarmUpTime time.Duration
	// OverloadFactor is the ratio of commands sent to a cold host within OverloadWindow to its capacity in this time above which
	// the host is overloaded.
	OverloadFactor float64
	OverloadWindow time.Duration
	// DrainGrace is the time after the notice of a drain during which new commands are no violation.
	DrainGrace time.Duration
	// StalenessBounds holds the staleness bounds of the command groups that have one.
	StalenessBounds map[string]time.Duration
	// AtMostOnce holds the command groups whose commands must not run twice.
	AtMostOnce map[string]bool
}

// Fleet is a set of hosts with statistics. Its methods and those of its hosts are safe for concurrent use.
type Fleet struct {
	config Config
	tasks  sync.WaitGroup // goroutines that accept and serve connections

	mu          sync.Mutex // protects the fields below and the state of all hosts
	replicaSets map[int64]*replicaSet
	hosts       map[string]*Host
	executions  map[string]int // number of runs of each write, by command id
	stats       Stats
}

// replicaSet is a group of hosts with a common log. A position in the log is the time of a commit.
type replicaSet struct {
	primary    *Host     // nil between a crash and a promotion
	logEnd     time.Time // end of the log while there is no primary
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

// Add starts a host on a free loopback port. The first host of a set is its primary. A replica's log lags behind by
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

// Primary returns the primary of a set, or nil if it has none.
func (f *Fleet) Primary(set int64) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicaSets[set].primary
}

// Hosts returns all hosts, sorted by name.
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
