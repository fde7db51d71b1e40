package tierfleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"

	"ferrypitch/internal/fake/discovery"
)

// LinkKeyFile is the name of the file with the key of the links between planners and forwarders, beside the files that name it.
const LinkKeyFile = "link.key"

// Groups of commands.
const (
	groupList  = "list"  // reads with a staleness bound
	groupOwn   = "own"   // reads that see the session's last write
	groupFresh = "fresh" // reads that see every write
	groupOrder = "order" // writes, run at most once
)

// What the settings and the simulated hosts have to agree on.
const (
	coldStartFraction = 0.25
	warmUpMs          = 8000
	overloadFactor    = 4
	overloadWindowMs  = 1500
	listStalenessMs   = 1000
)

// file is a program's file, by the names that setup.LoadOperator reads.
type file struct {
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

// TraceSettings is the traces that a router writes.
type TraceSettings struct {
	// Dir is the folder of the trace files.
	Dir string `json:"dir"`
	// Fraction is the part of sessions to capture; nil: everything, which makes traces that can be replayed.
	Fraction *float64 `json:"part,omitempty"`
	// KeyFile is the key that picks those sessions, beside the router's file.
	KeyFile string `json:"key_file,omitempty"`
}

// settings is what all routers of a deployment have in common. Times are in milliseconds.
type settings struct {
	Tick       int        `json:"tick"`
	PeersTotal int        `json:"peers_total"`
	Bounds     bounds     `json:"bounds"`
	Prices     prices     `json:"prices"`
	Rules      rules      `json:"rules"`
	Telemetry  struct{}   `json:"telemetry"`
	FamilyInfo familyInfo `json:"family_info"`
	Classes    []class    `json:"classes"`
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

// familyInfo says for each class, in the order of the classes, what its reads must see.
type familyInfo struct {
	ClassRead  []string `json:"class_read"`
	ClassBound []int    `json:"class_bound"`
	Stamps     bool     `json:"stamps"`
}

// class is the settings of a group of commands.
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
		FamilyInfo: familyInfo{
			ClassRead:  []string{"lag_bound", "causal", "strong", "mutate"},
			ClassBound: []int{listStalenessMs, 0, 0, 0},
			Stamps:     true,
		},
		Classes: []class{readClass(groupList), readClass(groupOwn), readClass(groupFresh), orders},
	}
}

// newFile is a file with the parts that all programs have. The seed follows from the name.
func (f *Fleet) newFile(name string) *file {
	seed := uint64(len(name))*7919 + uint64(name[len(name)-1])
	return &file{
		Name:     name,
		Seed:     strconv.FormatUint(seed, 16),
		Limits:   limits{Cores: 1, MemoryMB: 128, Sockets: 512},
		Settings: deploymentSettings(f.routers),
	}
}

func (f *Fleet) write(content *file) (path string, err error) {
	text, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return "", err
	}
	path = filepath.Join(f.Dir, content.Name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// PlannerFile writes the file of a planner, by its number, and returns the path.
func (f *Fleet) PlannerFile(planner int) (string, error) {
	content := f.newFile("p" + strconv.Itoa(planner))
	content.Discovery = f.Discovery.Address()
	content.Plan = &planSection{Listen: f.planners[planner], KeyFile: LinkKeyFile}
	return f.write(content)
}

// ForwarderFile writes the file of a forwarder, by its number, with the list of hosts as it is now, and returns the path.
func (f *Fleet) ForwarderFile(forwarder int, listen string) (string, error) {
	content := f.newFile("f" + strconv.Itoa(forwarder))
	known := f.Discovery.List()
	content.Listen, content.Known, content.Trace = listen, &known, f.Trace
	content.Forward = &forwardSection{Planners: f.planners, KeyFile: LinkKeyFile}
	return f.write(content)
}

// RouterFile writes the file of a router without planners, by its number, and returns the path.
func (f *Fleet) RouterFile(router int, listen string) (string, error) {
	content := f.newFile("r" + strconv.Itoa(router))
	content.Listen, content.Discovery, content.Trace = listen, f.Discovery.Address(), f.Trace
	return f.write(content)
}
