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

// Programs that run as processes; a program's name is also its role in the configuration.
const (
	proxyProgram   = "ferrypitch-proxy"
	controlProgram = "ferrypitch-control"
)

const (
	memberCount = 3
	proxyCount  = 2
	hostCount   = 3
)

// service is the name of the database service.
const service = "db"

// Ports, which are the same on all machines.
const (
	linkPort      = 17440 // the first of linkPorts
	linkPorts     = 10
	clientPort    = 18784
	readinessPort = 18785
	controlPort   = 18782
	databasePort  = 18080
	platformPort  = 18783
	claimPort     = 18779
)

// Last bytes of the addresses of machines, by what they run: the first machine of each kind.
const (
	claimMachine  = 9
	firstMember   = 10
	firstProxy    = 20
	firstHost     = 30
	firstPlatform = 40
)

// loopbackNetwork is a /24 network of 127.0.0.0/8 that stands for the machines of a run.
type loopbackNetwork string

// loopbackNetworks is how many networks there are to choose from.
const loopbackNetworks = 200 * 250

// claimLoopbackNetwork picks a network that no other run on this machine uses, the first from that of the seed on. It is this run's
// until the claim is closed.
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

// addresses is those of the first count machines of a kind.
func (n loopbackNetwork) addresses(first, count, port int) []string {
	var all []string
	for i := range count {
		all = append(all, n.address(first+i, port))
	}
	return all
}

func (c *cluster) memberAddresses() []string {
	return c.network.addresses(firstMember, memberCount, controlPort)
}

func (c *cluster) platformAddress() string { return c.network.address(firstPlatform, platformPort) }

// start builds the programs, and starts the hosts, the members and the proxies: those of the release that is upgraded, if there is one.
func (c *cluster) start(ctx context.Context) error {
	c.Say("building %s and %s", proxyProgram, controlProgram)
	c.binaries = map[string]string{}
	for _, name := range []string{proxyProgram, controlProgram} {
		binary, err := program.Build(c.dir, name)
		if err != nil {
			return err
		}
		c.binaries[name] = binary
	}
	binaries := c.binaries
	if c.UpgradeFrom != "" {
		binaries = c.olderBinaries()
	}
	if err := c.startHosts(ctx); err != nil {
		return err
	}
	for i := range memberCount {
		process, err := c.startProcess(binaries[controlProgram], c.memberSettings(i))
		if err != nil {
			return err
		}
		c.members = append(c.members, process)
	}
	for i := range proxyCount {
		process, err := c.startProcess(binaries[proxyProgram], c.proxySettings(i))
		if err != nil {
			return err
		}
		c.proxies = append(c.proxies, process)
	}
	return nil
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
		Bounds:         map[string]int64{kindBounded: boundedStalenessMs * database.Millisecond, kindOwned: ownedStalenessMs * database.Millisecond},
		ReadYourWrites: map[string]bool{kindOwned: true},
		Group:          hosts.Group,
		Violate:        c.violate,
	}
	c.scheduler.Lock()
	defer c.scheduler.Unlock()
	hosts.OnRead = c.checkRead
	hosts.Logf = func(format string, args ...any) { c.Say("host "+format, args...) }
	return nil
}

// startProcess writes the settings of a node and starts it. The files take its name.
func (c *cluster) startProcess(binary string, settings nodeSettings) (*program.Process, error) {
	file := filepath.Join(c.dir, settings.name+".toml")
	if err := os.WriteFile(file, []byte(settings.toml()), 0o600); err != nil {
		return nil, err
	}
	log := filepath.Join(c.dir, settings.name+".log")
	return program.Start(program.Config{
		Binary: binary,
		Args:   []string{"run"},
		Env:    []string{"FERRYPITCH_NODE_FILE=" + file},
		Log:    log,
	})
}

func (c *cluster) memberSettings(i int) nodeSettings {
	return nodeSettings{
		name:       fmt.Sprintf("%s%d", controlProgram, i),
		role:       controlProgram,
		ip:         c.network.ip(firstMember + i),
		members:    c.memberAddresses(),
		countsLoss: true,
		dataDir:    filepath.Join(c.dir, fmt.Sprintf("disk%d", i)),
		listen:     []listenAddress{{"Control", c.network.address(firstMember+i, controlPort)}},
		platform:   c.platformAddress(),
	}
}

func (c *cluster) proxySettings(i int) nodeSettings {
	return nodeSettings{
		name:    fmt.Sprintf("%s%d", proxyProgram, i),
		role:    proxyProgram,
		ip:      c.network.ip(firstProxy + i),
		members: c.memberAddresses(),
		listen: []listenAddress{
			{"Front", c.network.address(firstProxy+i, clientPort)},
			{"Readiness", c.network.address(firstProxy+i, readinessPort)},
		},
		platform: c.platformAddress(),
	}
}

// nodeSettings is what differs between the settings of the nodes.
type nodeSettings struct {
	name       string
	role       string
	ip         string
	members    []string // addresses of the control plane
	countsLoss bool
	dataDir    string // empty: none
	listen     []listenAddress
	platform   string
}

// listenAddress is an address by its name in the settings.
type listenAddress struct{ name, address string }

const settingsFormat = `Node = %q
Role = %q
Ip = %q
Zone = "z"
PortRange = [%d,%d]
SeedPeers = [%s]
Bootstrap = true
CountsLoss = %v
DataDir = %q
BeatMs = 1200
[Listen]
%s
[FaultBudget]
Machines = 1
[Bounds]
GraceS = 4
DrainMs = 5000
[Provider]
Address = %q
`

// toml returns the settings as a file.
func (s nodeSettings) toml() string {
	var seedPeers, listen []string
	for _, member := range s.members {
		seedPeers = append(seedPeers, fmt.Sprintf("%q", member))
	}
	for _, l := range s.listen {
		listen = append(listen, fmt.Sprintf("%s = %q", l.name, l.address))
	}
	return fmt.Sprintf(settingsFormat, s.name, s.role, s.ip, linkPort, linkPort+linkPorts-1, strings.Join(seedPeers, ","),
		s.countsLoss, s.dataDir, strings.Join(listen, "\n"), s.platform)
}
