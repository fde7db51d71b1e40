// Package tierfleet puts together a small deployment of the older router on free loopback ports: simulated hosts and
// discovery, and planners and forwarders, or routers without planners.
//
// A Fleet owns the hosts and discovery, and writes the files that the programs read. Plan and Forward run a planner or a
// forwarder in this process; package tierprocess runs them as processes of their own.
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

// drainGrace is how long after the notice of a drain new commands are excused: a second by the rule, and a tolerance for
// commands on their way.
const drainGrace = time.Second + 50*time.Millisecond

// Replication lags of the hosts.
const (
	replicationLag     = 20 * time.Millisecond
	longReplicationLag = 700 * time.Millisecond // of the last replica of each set
)

// States of hosts in discovery.
const (
	StateUp       = "up"
	StateDraining = "draining"
)

// Fleet is the hosts and discovery of a deployment, and the files of its programs.
type Fleet struct {
	Hosts     *postgres.Fleet
	Discovery *discovery.Discovery
	// Dir is the folder of the files.
	Dir string
	// Trace is the traces that routers and forwarders write; nil: none.
	Trace *TraceSettings

	routers  int      // routers or forwarders of the deployment
	planners []string // addresses
}

// hostConfig describes hosts that fit the settings of the programs.
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

// New starts discovery and the hosts, so many in each set, and reserves the addresses of planners.
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
		address, err := Free()
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

// Free returns a loopback address with a port that was free just now.
func Free() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func entry(host *postgres.Host, state string) discovery.Entry {
	return discovery.Entry{
		UID:      host.Name,
		Endpoint: host.Address(),
		Set:      host.Set,
		State:    state,
		Size:     1,
		Boot:     host.StartedAtMs(),
	}
}

// Announce has discovery list a host in a state. From the announcement of another state than StateUp on, the host expects
// its commands to end.
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
