// Package tierfleet puts a small installation together on free loopback ports: hosts
// and discovery as stand-ins, planners and forwarders as they run in service, in
// this process or as processes of their own.
package tierfleet

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"ferrypitch/internal/fake/discovery"
	"ferrypitch/internal/fake/postgres"
)

// Fleet is the hosts and discovery of an installation, and where its files are.
type Fleet struct {
	Hosts     *postgres.Fleet
	Discovery *discovery.Discovery
	Dir       string
	Trace     map[string]any // the section of routers' and forwarders' files; nil: none
	routers   int
	planners  []string
}

// Grace is how long after a drain hosts still excuse new commands: the rule's second and the bench's 50 ms.
const Grace = 1050 * time.Millisecond

// Terms of stand-in hosts that fit Settings.
func Terms() postgres.Config {
	return postgres.Config{
		WorkTime:          4 * time.Millisecond,
		Slots:             8,
		QueueLimit:        256,
		ColdStartFraction: 0.25,
		WarmUpTime:        8 * time.Second,
		OverloadFactor:    4,
		OverloadWindow:    1500 * time.Millisecond,
		DrainGrace:        Grace,
		StalenessBounds:   map[string]time.Duration{"list": time.Second},
		AtMostOnce:        map[string]bool{"order": true},
	}
}

// settings state a deployment, in the form that routers read.
func settings(routers int) map[string]any {
	class := func(name, effect string, giveUp, promise int, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "give_up": giveUp, "promise": promise, "worth": worth, "late_share": 0.3}
	}
	return map[string]any{"tick": 5, "peers_total": routers,
		"bounds":      map[string]any{"conn_idle": 30000, "connect_timeout": 250, "probes": true, "send_cap": 6, "retry_after": true, "max_retry_after": 500},
		"prices":      map[string]any{"probe": 0.05},
		"rules":       map[string]any{"overload_factor": 4, "fall": 1500, "cold_from": 0.25, "cold": 8000},
		"telemetry":   map[string]any{},
		"family_info": map[string]any{"class_read": []string{"lag_bound", "causal", "strong", "mutate"}, "class_bound": []int{1000, 0, 0, 0}, "stamps": true},
		"classes": []any{class("list", "idempotent", 1000, 250, 1), class("own", "idempotent", 1000, 250, 1),
			class("fresh", "idempotent", 1000, 250, 1), class("order", "at_most_once", 3000, 400, 3)}}
}

// New starts sets with so many hosts each; the last of each lags.
func New(dir string, sets, members, routers, planners int) (*Fleet, error) {
	d, err := discovery.New()
	if err != nil {
		return nil, err
	}
	f := &Fleet{Hosts: postgres.New(Terms()), Discovery: d, Dir: dir, routers: routers}
	var entries []discovery.Entry
	for s := range sets {
		for m := range members {
			lag := 20 * time.Millisecond
			if m == members-1 && m > 0 {
				lag = 700 * time.Millisecond
			}
			h, err := f.Hosts.Add(fmt.Sprintf("set%d-%c", s+1, 'a'+m), int64(s+1), lag)
			if err != nil {
				return nil, err
			}
			entries = append(entries, entry(h, "up"))
		}
	}
	d.Set(entries...)
	for range planners {
		a, err := Free()
		if err != nil {
			return nil, err
		}
		f.planners = append(f.planners, a)
	}
	return f, os.WriteFile(filepath.Join(dir, "link.key"), []byte(strings.Repeat("5e", 32)+"\n"), 0o600)
}

// Free is a loopback address with a port that was free just now.
func Free() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func entry(h *postgres.Host, state string) discovery.Entry {
	return discovery.Entry{UID: h.Name, Endpoint: h.Address(), Set: h.Set, State: state, Size: 1, Boot: h.StartedAtMs()}
}

// Told has discovery tell of a host, which then counts a drain from now.
func (f *Fleet) Told(h *postgres.Host, state string) {
	at := f.Discovery.Set(entry(h, state))
	if state == "up" {
		at = time.Time{}
	}
	h.SetDrained(at)
}

// Planners are their addresses.
func (f *Fleet) Planners() []string { return f.planners }

// file writes an operator's file.
func (f *Fleet) file(name string, more map[string]any) (string, error) {
	all := map[string]any{"name": name, "seed": strconv.FormatUint(uint64(len(name))*7919+uint64(name[len(name)-1]), 16),
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512}, "settings": settings(f.routers)}
	for k, v := range more {
		all[k] = v
	}
	if f.Trace != nil && more["plan"] == nil {
		all["trace"] = f.Trace
	}
	text, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.Dir, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// PlannerFile writes the file of planner i.
func (f *Fleet) PlannerFile(i int) (string, error) {
	return f.file("p"+strconv.Itoa(i), map[string]any{"discovery": f.Discovery.Address(),
		"plan": map[string]any{"listen": f.planners[i], "key_file": "link.key"}})
}

// ForwarderFile writes a forwarder's file, with the list as it is now.
func (f *Fleet) ForwarderFile(i int, listen string) (string, error) {
	return f.file("f"+strconv.Itoa(i), map[string]any{"listen": listen, "known": f.Discovery.List(),
		"forward": map[string]any{"planners": f.planners, "key_file": "link.key"}})
}

// RouterFile writes the file of a router without planners.
func (f *Fleet) RouterFile(i int, listen string) (string, error) {
	return f.file("r"+strconv.Itoa(i), map[string]any{"listen": listen, "discovery": f.Discovery.Address()})
}

// Stop ends hosts and discovery.
func (f *Fleet) Stop() {
	f.Hosts.Stop()
	f.Discovery.Stop()
}
