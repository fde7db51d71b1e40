// Package settings reads and validates the settings file that the platform provides to a process, and watches it for changes. The
// keys in the file are the field names of Settings.
//
//	FERRYPITCH_NODE_FILE -> Read -> Settings -> passed to the server of the process
//	changed file         -> Watch            -> the server reads the file again
package settings

import (
	"fmt"
	"net"
	"time"
)

// EnvVar is the name of the environment variable that holds the path of the settings file.
const EnvVar = "FERRYPITCH_NODE_FILE"

// defaultBeatMs is the default of Settings.BeatMs.
const defaultBeatMs = 1200

// Settings is the content of the settings file. Unknown keys in the file are ignored. Names end with their unit: Ms is
// milliseconds, S seconds, Mb megabytes, Mbps megabits per second.
type Settings struct {
	Node         string `validate:"required"` // unique name of the machine
	Role         string
	MachineClass string
	Serves       []string
	Ip           string `validate:"required,ip4_addr"` //nolint:revive,staticcheck // the key in the settings file
	Zone         string `validate:"required"`
	Region       string
	PortRange    []int    `validate:"len=2,dive,min=1,max=65535"` // first and last port for connections between the system's processes
	SeedPeers    []string `validate:"dive,hostname_port"`         // Listen.Control addresses of some members, possibly outdated
	Bootstrap    bool     // the system starts for the first time, on empty disks
	CountsLoss   bool     // a failure of the machine counts against FaultBudget.Machines
	DataDir      string
	BeatMs       int64             `validate:"min=0"` // approximate interval between the heartbeats of a host
	Zones        map[string]string // maps each zone to its region
	Listen       Listen
	Limits       Limits
	FaultBudget  FaultBudget
	Bounds       Bounds
	Provider     Provider
}

// Listen holds the addresses on which the process listens. It does not listen on an empty one.
type Listen struct {
	Front     string `validate:"omitempty,hostname_port"` // for clients
	Readiness string `validate:"omitempty,hostname_port"` // for the platform's readiness probe
	Control   string `validate:"omitempty,hostname_port"` // for operators and hosts
}

// Limits are the resources of the machine.
type Limits struct {
	CpuShare float64 `validate:"min=0"` //nolint:revive,staticcheck // the key in the settings file
	Cores    int     `validate:"min=0"`
	MemoryMb int64   `validate:"min=0"`
	MaxFds   int     `validate:"min=0"`
	LinkMbps float64 `validate:"min=0"`
	DiskMb   int64   `validate:"min=0"`
}

// FaultBudget is how many machines, zones or regions may fail at once while all guarantees hold.
type FaultBudget struct{ Machines, Zones, Regions int }

// Bounds are the durations and limits in the system's guarantees.
type Bounds struct {
	SeedLagS      float64 // age of SeedPeers and of the operator's endpoint list
	AddrReuseS    float64
	ContactMs     float64 `validate:"min=0"`
	AckMs         float64
	CatchupS      float64 // how long a machine still counts as failed after its return
	DrainMs       float64 `validate:"min=0"` // how long a draining host still serves
	GraceS        float64 `validate:"min=0"` // time from SIGTERM to SIGKILL
	ConfigApplyMs float64 // from the acknowledgement of a configuration change until proxies apply it
	DowngradeMs   float64 // from the first effect of a version at a proxy until the proxy acts on no older version; 0: no bound
	RevokeClosed  bool    // RevokeMs also applies to machines that are partitioned from the control plane
	RevokeMs      float64 `validate:"min=0"` // time from the acknowledgement of a key's removal until no operation runs under the key
	QuotaWindowS  float64 `validate:"min=0"` // length of the window in which a tenant's operations are counted
	QuotaExcess   float64 `validate:"min=0"` // fraction of a tenant's limit by which it may be exceeded
	QuotaSlack    float64 `validate:"min=0"` // number of operations allowed in addition to QuotaExcess
	RecoveryS     float64
	Fencing       bool // the platform checks fencing tokens
	ThawSlackMs   float64
}

// Provider is the platform's interface for promotions.
type Provider struct {
	Address  string `validate:"omitempty,hostname_port"`
	RatePerS float64
	Duties   []string // singleton roles whose calls the platform accepts from one holder only
	DutyPerS float64  // calls per second that the platform accepts from all processes together
}

// DurationFromMs converts milliseconds to a time.Duration.
func DurationFromMs(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// PeerAddress returns the address on which the process on the machine with the given IP listens for the system's other processes.
// All machines use the same ports.
func (s *Settings) PeerAddress(ip string) string {
	return net.JoinHostPort(ip, fmt.Sprint(s.PortRange[0]))
}

// SeedHosts returns the IP addresses of SeedPeers. Malformed addresses are omitted.
func (s *Settings) SeedHosts() (ips []string) {
	for _, address := range s.SeedPeers {
		if ip, _, err := net.SplitHostPort(address); err == nil {
			ips = append(ips, ip)
		}
	}
	return ips
}
