package cluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/simulation/checker"
	"ferrypitch/internal/simulation/program"
)

// Programs that run as processes. A program's name is also the Role in its settings.
const (
	proxyProgram   = "ferrypitch-proxy"
	controlProgram = "ferrypitch-control"
)

// defaultSize is the size of the system that Run starts.
var defaultSize = size{members: 3, proxies: 2}

// size is the number of processes of each kind.
type size struct{ members, proxies int }

// maxSize is limited by the addresses of a loopback network.
var maxSize = size{members: 10, proxies: 200}

const (
	hostCount = 3  // at the start of a run
	maxHosts  = 10 // including hosts that join

	// maxSeedPeers limits the members in SeedPeers.
	maxSeedPeers = 3
)

// service is the name of the database service.
const service = "db"

// Ports, which are the same on all simulated machines.
const (
	linkPort      = 17440 // the first of linkPorts ports
	linkPorts     = 10
	clientPort    = 18784
	readinessPort = 18785
	controlPort   = 18782
	databasePort  = 18080
	platformPort  = 18783
	claimPort     = 18779
)

// Last byte of the IP address of the first simulated machine of each kind.
const (
	claimMachine  = 9
	firstMember   = 10
	firstHost     = 20
	firstPlatform = 40
	firstProxy    = 50
)

// loopbackNetwork is the prefix of a /24 network in 127.0.0.0/8. Each simulated machine of a run has one of its addresses.
type loopbackNetwork string

// loopbackNetworks is the number of networks to choose from.
const loopbackNetworks = 200 * 250

// claimLoopbackNetwork reserves a network that no other run on this machine uses. It tries the networks in order, beginning
// with the one that the seed selects. The reservation lasts until claim is closed.
func claimLoopbackNetwork(seed uint64) (network loopbackNetwork, claim net.Listener, err error) {
	for number := range uint64(loopbackNetworks) {
		choice := (seed + number) % loopbackNetworks
		network = loopbackNetwork(fmt.Sprintf("127.%d.%d", 10+choice%200, 1+choice/200))
		if claim, err = net.Listen("tcp", network.address(claimMachine, claimPort)); err == nil {
			return network, claim, nil
		}
	}
	return "", nil, fmt.Errorf("no loopback network is free: %w", err)
}

func (n loopbackNetwork) ip(machine int) string { return fmt.Sprintf("%s.%d", n, machine) }

func (n loopbackNetwork) address(machine, port int) string {
	return fmt.Sprintf("%s:%d", n.ip(machine), port)
}

// addresses returns the addresses of the first count machines of a kind.
func (n loopbackNetwork) addresses(first, count, port int) []string {
	var all []string
	for i := range count {
		all = append(all, n.address(first+i, port))
	}
	return all
}

func (c *cluster) memberAddresses() []string {
	return c.network.addresses(firstMember, c.size.members, controlPort)
}

// seedPeers returns the addresses of the members in SeedPeers.
func (c *cluster) seedPeers() []string {
	members := c.memberAddresses()
	return members[:min(len(members), maxSeedPeers)]
}

func (c *cluster) platformAddress() string { return c.network.address(firstPlatform, platformPort) }

// start builds the programs if necessary, and starts the hosts, the members and the proxies. With UpgradeFrom, members and
// proxies start with the older programs.
func (c *cluster) start(ctx context.Context) error {
	if c.binaries == nil {
		c.Logf("building %s and %s", proxyProgram, controlProgram)
		binaries, err := BuildPrograms(c.dir)
		if err != nil {
			return err
		}
		c.binaries = binaries
	}
	binaries := c.binaries
	if c.UpgradeFrom != "" {
		binaries = c.olderBinaries()
	}
	if err := c.startHosts(ctx); err != nil {
		return err
	}
	for i := range c.size.members {
		process, err := c.startProcess(binaries[controlProgram], c.memberSettings(i))
		if err != nil {
			return err
		}
		c.members = append(c.members, process)
	}
	for i := range c.size.proxies {
		process, err := c.startProcess(binaries[proxyProgram], c.proxySettings(i))
		if err != nil {
			return err
		}
		c.proxies = append(c.proxies, process)
	}
	return nil
}

// Binaries holds the paths of the programs that run as processes, by program.
type Binaries map[string]string

// BuildPrograms builds the programs that run as processes into a directory.
func BuildPrograms(dir string) (Binaries, error) {
	binaries := Binaries{}
	for _, name := range []string{proxyProgram, controlProgram} {
		binary, err := program.Build(dir, name)
		if err != nil {
			return nil, err
		}
		binaries[name] = binary
	}
	return binaries, nil
}

// startHosts starts the simulated hosts and the platform in this process.
func (c *cluster) startHosts(ctx context.Context) error {
	hosts, err := database.Serve(ctx, c.scheduler, database.ServerConfig{
		Service:      service,
		Hosts:        c.network.addresses(firstHost, hostCount, databasePort),
		Platform:     c.platformAddress(),
		ControlPlane: c.memberAddresses(),
	})
	if err != nil {
		return err
	}
	c.hosts = hosts
	c.checker = &checker.Checker{
		Bounds:          map[string]int64{kindBounded: boundedStalenessMs * database.Millisecond, kindOwned: ownedStalenessMs * database.Millisecond},
		ReadYourWrites:  map[string]bool{kindOwned: true},
		Group:           hosts.Group,
		RecordViolation: c.violate,
	}
	c.scheduler.Lock()
	defer c.scheduler.Unlock()
	hosts.OnRead = c.checkRead
	hosts.Logf = func(format string, args ...any) { c.onHostEvent(fmt.Sprintf("host "+format, args...)) }
	return nil
}

// startProcess writes the settings of a node and starts it. Its settings and log files are named after the node.
func (c *cluster) startProcess(binary string, settings nodeSettings) (*program.Process, error) {
	if err := c.writeSettings(settings.name, settings.toml()); err != nil {
		return nil, err
	}
	return program.Start(program.Config{
		Binary: binary,
		Args:   []string{"run"},
		Env:    []string{"FERRYPITCH_NODE_FILE=" + c.settingsFile(settings.name)},
		Log:    c.logFile(settings.name),
	})
}

func (c *cluster) settingsFile(node string) string { return filepath.Join(c.dir, node+".toml") }

func (c *cluster) logFile(node string) string { return filepath.Join(c.dir, node+".log") }

func (c *cluster) writeSettings(node, toml string) error {
	return os.WriteFile(c.settingsFile(node), []byte(toml), 0o600)
}

// faultBudget returns the number of members that may be lost at once.
func (c *cluster) faultBudget() int { return max(1, (c.size.members-1)/2) }

func (c *cluster) memberSettings(i int) nodeSettings {
	return nodeSettings{
		name:        fmt.Sprintf("%s%d", controlProgram, i),
		role:        controlProgram,
		ip:          c.network.ip(firstMember + i),
		seedPeers:   c.seedPeers(),
		countsLoss:  true,
		faultBudget: c.faultBudget(),
		dataDir:     filepath.Join(c.dir, fmt.Sprintf("disk%d", i)),
		listen:      []listenAddress{{"Control", c.network.address(firstMember+i, controlPort)}},
		platform:    c.platformAddress(),
	}
}

func (c *cluster) proxySettings(i int) nodeSettings {
	return nodeSettings{
		name:      fmt.Sprintf("%s%d", proxyProgram, i),
		role:      proxyProgram,
		ip:        c.network.ip(firstProxy + i),
		seedPeers: c.seedPeers(),
		listen: []listenAddress{
			{"Front", c.network.address(firstProxy+i, clientPort)},
			{"Readiness", c.network.address(firstProxy+i, readinessPort)},
		},
		platform: c.platformAddress(),
	}
}

// nodeSettings holds the settings that differ between nodes.
type nodeSettings struct {
	name        string
	role        string
	ip          string
	seedPeers   []string // addresses of members of the control plane
	restarted   bool     // not the first start of the system, so Bootstrap is false
	countsLoss  bool
	faultBudget int    // members that may be lost at once; 0 means 1
	dataDir     string // empty if the node stores nothing
	listen      []listenAddress
	platform    string
}

// listenAddress is an address and its name in the settings.
type listenAddress struct{ name, address string }

// Values of GraceS and DrainMs in the settings.
const (
	graceS  = 4
	drainMs = 5000
)

const settingsFormat = `Node = %q
Role = %q
Ip = %q
Zone = "z"
PortRange = [%d,%d]
SeedPeers = [%s]
Bootstrap = %v
CountsLoss = %v
DataDir = %q
BeatMs = 1200
[Listen]
%s
[FaultBudget]
Machines = %d
[Bounds]
GraceS = %d
DrainMs = %d
[Provider]
Address = %q
`

// toml returns the settings in TOML.
func (s nodeSettings) toml() string {
	var seedPeers, listen []string
	for _, member := range s.seedPeers {
		seedPeers = append(seedPeers, fmt.Sprintf("%q", member))
	}
	for _, l := range s.listen {
		listen = append(listen, fmt.Sprintf("%s = %q", l.name, l.address))
	}
	return fmt.Sprintf(settingsFormat, s.name, s.role, s.ip, linkPort, linkPort+linkPorts-1, strings.Join(seedPeers, ","),
		!s.restarted, s.countsLoss, s.dataDir, strings.Join(listen, "\n"), max(1, s.faultBudget), graceS, drainMs, s.platform)
}
