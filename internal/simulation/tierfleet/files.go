package tierfleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"

	"ferrypitch/internal/fake/discovery"
)

// LinkKeyFile is the name of the file with the key for links between planners and forwarders. It is in the same directory as
// the files that refer to it.
const LinkKeyFile = "link.key"

// Command groups.
const (
	groupList  = "list"  // reads with a staleness bound
	groupOwn   = "own"   // reads that see the session's last write
	groupFresh = "fresh" // reads that see every write
	groupOrder = "order" // writes, run at most once
)

// Values used both in the settings and by the simulated hosts.
const (
	coldStartFraction = 0.25
	warmUpMs          = 8000
	overloadFactor    = 4
	overloadWindowMs  = 1500
	listStalenessMs   = 1000
)

// programFile is a program's configuration file in the format that setup.LoadOperator reads.
type programFile struct {
	Name      string          `json:"name"`
	Seed      string          `json:"seed"` // hexadecimal
	Limits    limits          `json:"limits"`
	Settings  settings        `json:"settings"`
	Listen    string          `json:"listen,omitempty"`
	Discovery string          `json:"discovery,omitempty"`
	Known     *discovery.List `json:"known,omitempty"`
	Plan      *planSection    `json:"plan,omitempty"`
	Forward   *forwardSection `json:"forward,omitempty"`
	Trace     *TraceSettings  `json:"trace,omitempty"`
}

type limits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

type planSection struct {
	Listen  string `json:"listen"`
	KeyFile string `json:"key_file"`
}

type forwardSection struct {
	Planners []string `json:"planners"`
	KeyFile  string   `json:"key_file"`
}

// TraceSettings configures the traces that a router writes.
type TraceSettings struct {
	// Dir is the directory of the trace files.
	Dir string `json:"dir"`
	// Fraction is the fraction of sessions to capture. If it is nil, everything is captured, which replaying a trace requires.
	Fraction *float64 `json:"part,omitempty"`
	// KeyFile is the file with the key that selects the captured sessions. It is in the same directory as the router's file.
	KeyFile string `json:"key_file,omitempty"`
}

// settings holds the settings that all routers of a deployment share. Times are in milliseconds.
type settings struct {
	Tick       int              `json:"tick"`
	PeersTotal int              `json:"peers_total"`
	Bounds     bounds           `json:"bounds"`
	Prices     prices           `json:"prices"`
	Rules      rules            `json:"rules"`
	Telemetry  struct{}         `json:"telemetry"`
	FamilyInfo classConsistency `json:"family_info"`
	Classes    []class          `json:"classes"`
}

type bounds struct {
	ConnIdle       int  `json:"conn_idle"`
	ConnectTimeout int  `json:"connect_timeout"`
	Probes         bool `json:"probes"`
	SendCap        int  `json:"send_cap"`
	RetryAfter     bool `json:"retry_after"`
	MaxRetryAfter  int  `json:"max_retry_after"`
}

type prices struct {
	Probe float64 `json:"probe"`
}

type rules struct {
	OverloadFactor float64 `json:"overload_factor"`
	OverloadWindow int     `json:"fall"`
	ColdStart      float64 `json:"cold_from"`
	WarmUp         int     `json:"cold"`
}

// classConsistency holds the read consistency of each class, in the order of the classes.
type classConsistency struct {
	ClassRead  []string `json:"class_read"`
	ClassBound []int    `json:"class_bound"`
	Stamps     bool     `json:"stamps"`
}

// class holds the settings of a command group.
type class struct {
	Name          string  `json:"name"`
	Effect        string  `json:"effect"`
	ClientTimeout int     `json:"give_up"`
	LatencyTarget int     `json:"promise"`
	Weight        float64 `json:"worth"`
	LateShare     float64 `json:"late_share"`
}

func deploymentSettings(routers int) settings {
	readClass := func(name string) class {
		return class{Name: name, Effect: "idempotent", ClientTimeout: 1000, LatencyTarget: 250, Weight: 1, LateShare: 0.3}
	}
	orders := class{Name: groupOrder, Effect: "at_most_once", ClientTimeout: 3000, LatencyTarget: 400, Weight: 3, LateShare: 0.3}
	return settings{
		Tick:       5,
		PeersTotal: routers,
		Bounds: bounds{
			ConnIdle: 30000, ConnectTimeout: 250, Probes: true, SendCap: 6, RetryAfter: true, MaxRetryAfter: 500,
		},
		Prices: prices{Probe: 0.05},
		Rules: rules{
			OverloadFactor: overloadFactor, OverloadWindow: overloadWindowMs, ColdStart: coldStartFraction, WarmUp: warmUpMs,
		},
		FamilyInfo: classConsistency{
			ClassRead:  []string{"lag_bound", "causal", "strong", "mutate"},
			ClassBound: []int{listStalenessMs, 0, 0, 0},
			Stamps:     true,
		},
		Classes: []class{readClass(groupList), readClass(groupOwn), readClass(groupFresh), orders},
	}
}

// newFile returns a file with the parts that are common to all programs. The seed is derived from the name.
func (f *Fleet) newFile(name string) *programFile {
	seed := uint64(len(name))*7919 + uint64(name[len(name)-1])
	return &programFile{
		Name:     name,
		Seed:     strconv.FormatUint(seed, 16),
		Limits:   limits{Cores: 1, MemoryMB: 128, Sockets: 512},
		Settings: deploymentSettings(f.routers),
	}
}

func (f *Fleet) write(content *programFile) (path string, err error) {
	text, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return "", err
	}
	path = filepath.Join(f.Dir, content.Name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// PlannerFile writes the configuration file of a planner, selected by number, and returns the path.
func (f *Fleet) PlannerFile(planner int) (string, error) {
	content := f.newFile("p" + strconv.Itoa(planner))
	content.Discovery = f.Discovery.Address()
	content.Plan = &planSection{Listen: f.planners[planner], KeyFile: LinkKeyFile}
	return f.write(content)
}

// ForwarderFile writes the configuration file of a forwarder, selected by number, and returns the path. The file contains the
// current list of hosts.
func (f *Fleet) ForwarderFile(forwarder int, listen string) (string, error) {
	content := f.newFile("f" + strconv.Itoa(forwarder))
	known := f.Discovery.List()
	content.Listen, content.Known, content.Trace = listen, &known, f.Trace
	content.Forward = &forwardSection{Planners: f.planners, KeyFile: LinkKeyFile}
	return f.write(content)
}

// RouterFile writes the configuration file of a router without planners, selected by number, and returns the path.
func (f *Fleet) RouterFile(router int, listen string) (string, error) {
	content := f.newFile("r" + strconv.Itoa(router))
	content.Listen, content.Discovery, content.Trace = listen, f.Discovery.Address(), f.Trace
	return f.write(content)
}
