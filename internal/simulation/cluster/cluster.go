// Package cluster runs a whole system on loopback addresses: three control-plane members and two proxies as processes, and in
// this process the simulated database hosts, the platform that promotes them, an operator and clients. The clients' sessions
// run through a configuration change and a crash of the primary, and the answers that they receive are checked against the
// hosts' logs.
//
// Run starts all processes, configures the control plane, waits until the proxies are ready, runs the load and the faults, and
// collects the Result. Soak runs a system of any size through a random schedule of faults.
package cluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ferrypitch/internal/fake/database"
	"ferrypitch/internal/simulation/checker"
	"ferrypitch/internal/simulation/program"
)

// Options describes a run.
type Options struct {
	// For is the time during which clients send statements.
	For time.Duration
	// Sessions is the number of concurrent sessions at each proxy, over all route kinds.
	Sessions int
	// Seed determines the random choices and the loopback addresses tried first.
	Seed uint64
	// UpgradeFrom is a directory with the programs of another release. The system starts with them, is upgraded process by
	// process under load, and is downgraded in the same way. If it is empty, there is no upgrade.
	UpgradeFrom string
	// Logf logs progress. Optional.
	Logf func(format string, args ...any)
}

// Result is the result of a run.
type Result struct {
	// Outcomes counts the outcomes of operations by route kind and operation.
	Outcomes []Outcomes
	// ReadsByHost counts the reads by the host that ran them and its role at the time; a key is, for example, "h0 primary".
	ReadsByHost map[string]int
	// ConfigVersions counts the configuration versions that were accepted and read back.
	ConfigVersions int
	Promotions     int
	// Upgrades lists, in order, the restarts of processes with the programs of another release.
	Upgrades []Upgrade
	// WriteGap is the time from the crash of the primary to the first acknowledgement of a write that started after the crash,
	// or 0 if none was acknowledged.
	WriteGap           time.Duration
	AcknowledgedWrites int
	// Violations describes the first violations.
	Violations []string
	// PeakRSSKB holds, by program, the resident memory in kB of the program's largest process at the end of the run.
	PeakRSSKB map[string]int
}

// maxViolations limits the violations in a result.
const maxViolations = 20

// Outcomes counts the outcomes of the operations of one kind.
type Outcomes struct {
	RouteKind   string
	Operation   string
	Answered    int
	NothingKept int // errors after which the operation is certainly not committed
	InDoubt     int
	Failed      int // other errors, and closed connections
}

// outcomeKey is the key by which outcomes are counted.
type outcomeKey struct{ routeKind, operation string }

// cluster is a running system. The scheduler's lock protects the hosts and the checker.
type cluster struct {
	Options
	size      size
	dir       string // contains programs, settings, data and logs
	network   loopbackNetwork
	binaries  Binaries // of the current release
	startedAt time.Time

	members []*program.Process
	proxies []*program.Process

	// onHostEvent is called for events such as a host's crash or promotion.
	onHostEvent func(event string)
	// onViolation is called for each violation that is added to the result. Optional.
	onViolation func(violation string)

	scheduler *database.RealTimeScheduler
	hosts     *database.Server
	checker   *checker.Checker

	mu        sync.Mutex // protects the fields below; acquired after the scheduler's lock
	result    Result
	outcomes  map[outcomeKey]*Outcomes
	crashedAt time.Time                 // when the primary crashed; zero before the crash
	readers   map[string]checker.Reader // by statement id
	executed  map[string]bool           // ids of the reads that hosts have run
}

// Run runs a system once. It leaves the programs, their files and their logs in dir. Violations are reported in the result; an
// error means that the run itself failed.
func Run(ctx context.Context, dir string, options Options) (*Result, error) {
	if options.Logf == nil {
		options.Logf = func(string, ...any) {}
	}
	network, claim, err := claimLoopbackNetwork(options.Seed)
	if err != nil {
		return nil, err
	}
	defer claim.Close()
	c := newCluster(dir, network, defaultSize, options)
	ctx, cancel := context.WithCancel(ctx)
	defer c.stop(cancel)
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	if err := c.replaceConfig(ctx, 0, 1); err != nil {
		return nil, err
	}
	if err := c.waitReady(ctx); err != nil {
		return nil, err
	}
	c.Logf("all processes are ready; %d sessions at each of %d proxies for %v", c.Sessions, c.size.proxies, c.For)
	return c.runLoad(ctx)
}

// newCluster returns a system whose processes are not started yet.
func newCluster(dir string, network loopbackNetwork, size size, options Options) *cluster {
	return &cluster{
		onHostEvent: func(event string) { options.Logf("%s", event) },
		Options:     options,
		size:        size,
		dir:         dir,
		network:     network,
		startedAt:   time.Now(),
		scheduler:   database.NewRealTimeScheduler(options.Seed),
		result:      Result{ReadsByHost: map[string]int{}, PeakRSSKB: map[string]int{}},
		outcomes:    map[outcomeKey]*Outcomes{},
		readers:     map[string]checker.Reader{},
		executed:    map[string]bool{},
	}
}

func (c *cluster) stop(cancel context.CancelFunc) {
	stopAll(c.proxies)
	stopAll(c.members)
	cancel()
	c.scheduler.Stop()
	if c.hosts != nil {
		c.hosts.Wait()
	}
}

// stopAll stops processes concurrently.
func stopAll(processes []*program.Process) {
	var stops sync.WaitGroup
	for _, process := range processes {
		stops.Go(process.Stop)
	}
	stops.Wait()
}

// now returns the time since the start of the run in the scheduler's units. It is never 0.
func (c *cluster) now() int64 { return int64(time.Since(c.startedAt)/database.TimeUnit) + 1 }

// violate records a violation.
func (c *cluster) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.result.Violations) < maxViolations {
		at := fmt.Sprintf("%.3f s: ", time.Since(c.startedAt).Seconds())
		violation := at + fmt.Sprintf(format, args...)
		c.result.Violations = append(c.result.Violations, violation)
		if c.onViolation != nil {
			c.onViolation(violation)
		}
	}
}

// checkRead is called when a host runs a read. The caller holds the scheduler's lock.
func (c *cluster) checkRead(host *database.Host, conn *database.Conn, statementID string) {
	role := "replica"
	if host.IsPrimary {
		role = "primary"
	}
	c.mu.Lock()
	reader, known := c.readers[statementID]
	c.result.ReadsByHost[host.ID+" "+role]++
	c.executed[statementID] = true
	c.mu.Unlock()
	if !known {
		c.violate("UNASKED: %s runs %s", host.ID, statementID)
		return
	}
	if conn.Values[sessionVariable] != reader.Session {
		c.violate("PINNED: %s runs where %s is %q", statementID, sessionVariable, conn.Values[sessionVariable])
	}
	c.checker.CheckRead(host, reader)
}

// withChecker calls do while holding the lock that protects the checker.
func (c *cluster) withChecker(do func(*checker.Checker)) {
	c.scheduler.Lock()
	defer c.scheduler.Unlock()
	do(c.checker)
}
