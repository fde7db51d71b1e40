// Package tierfleet sets up a small deployment of the older router on free loopback ports: simulated hosts, simulated
// discovery, and planners and forwarders, or routers without planners.
//
// A Fleet owns the hosts and discovery, and writes the programs' configuration files. Plan and Forward run a planner or a
// forwarder in this process. Package tierprocess runs them as separate processes.
package tierfleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"ferrypitch/internal/fake/discovery"
	"ferrypitch/internal/fake/postgres"
)

// drainGrace is how long after the notice of a drain new commands are no violation: the rule allows one second, and the rest
// allows for commands in flight.
const drainGrace = time.Second + 50*time.Millisecond

// Replication lags of the hosts.
const (
	replicationLag     = 20 * time.Millisecond
	longReplicationLag = 700 * time.Millisecond // of the last host of each set with several hosts
)

// States of hosts in the discovery list.
const (
	StateUp       = "up"
	StateDraining = "draining"
)

// Fleet is a deployment: its hosts, discovery, and the configuration files of its programs.
type Fleet struct {
	Hosts     *postgres.Fleet
	Discovery *discovery.Discovery
	// Dir is the directory of the files.
	Dir string
	// Trace configures the traces that routers and forwarders write. If it is nil, they write none.
	Trace *TraceSettings

	routers  int      // number of routers or forwarders
	planners []string // addresses of the planners
}

// hostConfig returns a host configuration that matches the settings of the programs.
func hostConfig() postgres.Config {
	return postgres.Config{
		WorkTime:          4 * time.Millisecond,
		Slots:             8,
		QueueLimit:        256,
		ColdStartFraction: coldStartFraction,
		WarmUpTime:        warmUpMs * time.Millisecond,
		OverloadFactor:    overloadFactor,
		OverloadWindow:    overloadWindowMs * time.Millisecond,
		DrainGrace:        drainGrace,
		StalenessBounds:   map[string]time.Duration{groupList: listStalenessMs * time.Millisecond},
		AtMostOnce:        map[string]bool{groupOrder: true},
	}
}

// New starts discovery and the hosts, hostsPerSet in each set, and picks addresses for the planners.
func New(dir string, sets, hostsPerSet, routers, planners int) (*Fleet, error) {
	service, err := discovery.New()
	if err != nil {
		return nil, err
	}
	f := &Fleet{Hosts: postgres.New(hostConfig()), Discovery: service, Dir: dir, routers: routers}
	if err := f.addHosts(sets, hostsPerSet); err != nil {
		return nil, err
	}
	for range planners {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		f.planners = append(f.planners, address)
	}
	key := strings.Repeat("5e", 32) + "\n"
	return f, os.WriteFile(filepath.Join(dir, LinkKeyFile), []byte(key), 0o600)
}

func (f *Fleet) addHosts(sets, hostsPerSet int) error {
	var entries []discovery.Entry
	for set := range sets {
		for i := range hostsPerSet {
			lag := replicationLag
			if i == hostsPerSet-1 && i > 0 {
				lag = longReplicationLag
			}
			host, err := f.Hosts.Add(fmt.Sprintf("set%d-%c", set+1, 'a'+i), int64(set+1), lag)
			if err != nil {
				return err
			}
			entries = append(entries, entry(host, StateUp))
		}
	}
	f.Discovery.Update(entries...)
	return nil
}

// FreeAddress returns a loopback address with a free port. The port is not reserved.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func entry(host *postgres.Host, state string) discovery.Entry {
	return discovery.Entry{
		UID:        host.Name,
		Endpoint:   host.Address(),
		Set:        host.Set,
		State:      state,
		Size:       1,
		BootedAtMs: host.StartedAtMs(),
	}
}

// Announce has discovery list a host in a state. After the announcement of a state other than StateUp, the host counts commands
// that arrive after the drain grace period as violations.
func (f *Fleet) Announce(host *postgres.Host, state string) {
	announcedAt := f.Discovery.Update(entry(host, state))
	if state == StateUp {
		announcedAt = time.Time{}
	}
	host.SetDrained(announcedAt)
}

// Planners returns the addresses of the planners.
func (f *Fleet) Planners() []string { return f.planners }

// Stop stops the hosts and discovery.
func (f *Fleet) Stop() {
	f.Hosts.Stop()
	f.Discovery.Stop()
}
