// Package tierprocess runs forwarders and planners of the older router, or routers without planners, as processes under load
// and faults. Run starts the processes of a tierfleet.Fleet, runs a workload, injects the configured faults, and returns a
// Result with the counts of the clients and of the simulated hosts.
package tierprocess

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/simulation/program"
	"ferrypitch/internal/simulation/tierfleet"
	"ferrypitch/internal/simulation/workload"
)

const (
	readyTimeout  = 30 * time.Second
	writeFraction = 0.15
	// sessionsPerClient is the number of sessions that each client simulates.
	sessionsPerClient = 4
	readTimeout       = time.Second
)

// Config describes a run.
type Config struct {
	// Dir is an existing directory for files and logs.
	Dir string
	// Binary is the path of the program ferrypitch.
	Binary string
	// Forwarders and Planners are the numbers of processes of each kind. If there are no planners, the forwarders are routers
	// that fetch the list of hosts and check the hosts' health themselves.
	Forwarders int
	Planners   int
	// Sets is the number of replica sets. Each has HostsPerSet hosts.
	Sets        int
	HostsPerSet int
	// Rate is the number of commands per second at all forwarders together.
	Rate float64
	// For is the time during which commands are sent.
	For time.Duration
	// Clients is the number of client connections to each forwarder.
	Clients int
	// Faults enables faults that hit planners, forwarders and hosts in turn.
	Faults bool
	// PrimaryChanges is the number of primaries that are killed and replaced, spread evenly over the run.
	PrimaryChanges int
	// PlannerOutage is the duration of an outage of all planners in the middle of the run. If it is 0, there is none.
	PlannerOutage time.Duration
	// Trace configures the traces that forwarders write. If it is nil, they write none.
	Trace *tierfleet.TraceSettings
	// Seed determines load and faults.
	Seed uint64
}

// run is the state of a run in progress.
type run struct {
	Config
	fleet      *tierfleet.Fleet
	planners   []*program.Process
	forwarders []*program.Process
	addresses  []string // of the forwarders

	mu          sync.Mutex // protects the fields below
	outageUntil time.Time  // end of the current or last outage of all planners
	takeovers   map[string]*takeover
	finished    []*takeover
}

// takeover records the change of a replica set to a new primary.
type takeover struct {
	promotedAt time.Time
	// firstWrites holds the time from the promotion to the first write answered by the new primary, by forwarder address.
	firstWrites map[string]time.Duration
}

// Run runs a deployment once. Violations are reported in the result; an error means that the run itself failed.
func Run(ctx context.Context, config Config) (*Result, error) {
	fleet, err := tierfleet.New(config.Dir, config.Sets, config.HostsPerSet, config.Forwarders, config.Planners)
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	fleet.Trace = config.Trace
	r := &run{Config: config, fleet: fleet, takeovers: map[string]*takeover{}}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	before, startedAt := fleet.Hosts.Stats(), time.Now()
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	var faults errgroup.Group
	if r.Faults {
		faults.Go(func() error { return r.injectFaults(faultCtx) })
	}
	faults.Go(func() error { return r.changePrimaries(faultCtx) })
	faults.Go(func() error { return r.injectPlannerOutage(faultCtx) })
	tally := workload.Run(ctx, r.workloadConfig(), r.recentlyKilled)
	elapsed := time.Since(startedAt)
	stopFaults()
	if err := faults.Wait(); err != nil {
		return nil, err
	}
	return r.buildResult(tally, before, elapsed), nil
}

func (r *run) workloadConfig() workload.Config {
	var sets []int64
	for set := range r.Sets {
		sets = append(sets, int64(set+1))
	}
	return workload.Config{
		Routers:       r.addresses,
		ReplicaSets:   sets,
		Clients:       r.Clients,
		Rate:          r.Rate,
		Duration:      r.For,
		WriteFraction: writeFraction,
		Sessions:      sessionsPerClient,
		Timeout:       readTimeout,
		Seed:          r.Seed,
		OnAnswer:      r.recordFirstWrite,
	}
}

// start starts all processes and waits until the forwarders are ready.
func (r *run) start(ctx context.Context) error {
	for i := range r.Planners {
		path, err := r.fleet.PlannerFile(i)
		if err != nil {
			return err
		}
		planner, err := r.startProcess(fmt.Sprintf("p%d", i), "plan", path)
		if err != nil {
			return err
		}
		r.planners = append(r.planners, planner)
	}
	for i := range r.Forwarders {
		if err := r.startForwarder(i); err != nil {
			return err
		}
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range r.addresses {
		if err := tierfleet.WaitReady(readyCtx, address); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startForwarder(i int) error {
	address, err := tierfleet.FreeAddress()
	if err != nil {
		return err
	}
	command, writeFile := "forward", r.fleet.ForwarderFile
	if r.Planners == 0 {
		command, writeFile = "serve", r.fleet.RouterFile
	}
	path, err := writeFile(i, address)
	if err != nil {
		return err
	}
	forwarder, err := r.startProcess(fmt.Sprintf("f%d", i), command, path)
	if err != nil {
		return err
	}
	r.forwarders, r.addresses = append(r.forwarders, forwarder), append(r.addresses, address)
	return nil
}

func (r *run) startProcess(name, command, file string) (*program.Process, error) {
	return program.Start(program.Config{
		Binary: r.Binary,
		Args:   []string{command, file},
		Log:    filepath.Join(r.Dir, name+".log"),
	})
}

func (r *run) stop() {
	var processes sync.WaitGroup
	for _, process := range slices.Concat(r.planners, r.forwarders) {
		processes.Go(process.Stop)
	}
	processes.Wait()
}

// recentlyKilled reports whether the forwarder at an address was killed deliberately. The workload calls it.
func (r *run) recentlyKilled(address string) bool {
	return r.forwarders[slices.Index(r.addresses, address)].RecentlyKilled()
}
