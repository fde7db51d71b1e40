// Package settings reads and checks the settings file that a program is
// started with.
//
//	FERRYPITCH_NODE_FILE -> Read -> Plate -> each part is handed what it needs
package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"
)

// EnvVar names the file.
const EnvVar = "FERRYPITCH_NODE_FILE"

// Settings is the settings file. Fields that are not known here are passed over.
type Settings struct {
	Node         string `validate:"required"`
	Role         string
	MachineClass string
	Serves       []string
	Ip           string `validate:"required,ip4_addr"`
	Zone         string `validate:"required"`
	Region       string
	PortRange    []int    `validate:"len=2,dive,min=1,max=65535"`
	SeedPeers    []string `validate:"dive,hostname_port"`
	Bootstrap    bool
	CountsLoss   bool
	DataDir      string
	BeatMs       int64 `validate:"min=0"`
	Zones        map[string]string
	Listen       struct {
		Front     string `validate:"omitempty,hostname_port"`
		Readiness string `validate:"omitempty,hostname_port"`
		Control   string `validate:"omitempty,hostname_port"`
	}
	Limits struct {
		CpuShare float64 `validate:"min=0"`
		Cores    int     `validate:"min=0"`
		MemoryMb int64   `validate:"min=0"`
		MaxFds   int     `validate:"min=0"`
		LinkMbps float64 `validate:"min=0"`
		DiskMb   int64   `validate:"min=0"`
	}
	FaultBudget struct{ Machines, Zones, Regions int }
	Bounds      struct {
		SeedLagS      float64
		AddrReuseS    float64
		ContactMs     float64 `validate:"min=0"`
		AckMs         float64
		CatchupS      float64
		DrainMs       float64 `validate:"min=0"`
		GraceS        float64 `validate:"min=0"`
		ConfigApplyMs float64
		DowngradeMs   float64
		RecoveryS     float64
		Fencing       bool
		ThawSlackMs   float64
	}
	Provider struct {
		Address  string `validate:"omitempty,hostname_port"`
		RatePerS float64
		Duties   []string
		DutyPerS float64
	}
}

var check = validator.New(validator.WithRequiredStructEnabled())

// Read reads the file that the environment names. An error names the file and the key.
func Read() (*Settings, error) {
	path := os.Getenv(EnvVar)
	if path == "" {
		return nil, trace.BadParameter("%s: not set; it names the settings file", EnvVar)
	}
	return ReadFile(path)
}

// ReadFile reads a settings file of at most 1 MiB.
func ReadFile(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if info.Size() > 1<<20 {
		return nil, trace.LimitExceeded("%s: %d bytes, over 1 MiB", path, info.Size())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	p, err := Parse(string(text))
	if err != nil {
		return nil, trace.BadParameter("%s: %v", path, err)
	}
	return p, nil
}

// Parse reads and checks settings; the error names the key.
func Parse(text string) (*Settings, error) {
	p := &Settings{BeatMs: 1200}
	if _, err := toml.Decode(text, p); err != nil {
		var at toml.ParseError
		if errors.As(err, &at) {
			if at.LastKey != "" {
				return nil, fmt.Errorf("%s: line %d: %s", at.LastKey, at.Position.Line, at.Message)
			}
			return nil, fmt.Errorf("line %d: %s", at.Position.Line, at.Message)
		}
		return nil, err
	}
	if err := check.Struct(p); err != nil {
		var bad validator.ValidationErrors
		if errors.As(err, &bad) && len(bad) > 0 {
			key := strings.TrimPrefix(bad[0].Namespace(), "Plate.")
			rule := bad[0].Tag()
			if bad[0].Param() != "" {
				rule += " " + bad[0].Param()
			}
			return nil, fmt.Errorf("%s: %v: %s is wanted", key, bad[0].Value(), rule)
		}
		return nil, err
	}
	if p.PortRange[1] < p.PortRange[0] {
		return nil, fmt.Errorf("PortRange: %v: the second is to be no less than the first", p.PortRange)
	}
	return p, nil
}

// Duration is a bound in milliseconds as a duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// PeerAddress is the address at which this machine's programs hear each other.
func (p *Settings) PeerAddress(ip string) string {
	return net.JoinHostPort(ip, fmt.Sprint(p.PortRange[0]))
}

// SeedHosts are the addresses of the machines that the settings name, without ports.
func (p *Settings) SeedHosts() []string {
	var all []string
	for _, s := range p.SeedPeers {
		if ip, _, err := net.SplitHostPort(s); err == nil {
			all = append(all, ip)
		}
	}
	return all
}
