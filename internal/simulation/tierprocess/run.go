// Package tierprocess runs forwarders and planners of the older router, or as many routers without planners, as processes
// under load and faults. Run starts the processes of a tierfleet.Fleet, sends a workload, injects the faults that its Config
// asks for, and returns a Result with the counts of the clients and of the simulated hosts.
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
	// sessionsPerClient is how many sessions each client plays.
	sessionsPerClient = 4
	readTimeout       = time.Second
)

// Config describes a run.
type Config struct {
	// Dir is an existing folder for files and logs.
	Dir string
	// Binary is the path of the program ferrypitch.
	Binary string
	// Forwarders and Planners are how many processes of each run. Without planners, the forwarders are routers that get the
	// list of hosts and check their health themselves.
	Forwarders int
	Planners   int
	// Sets is how many replica sets there are, of HostsPerSet hosts each.
	Sets        int
	HostsPerSet int
	// Rate is the commands a second over all forwarders.
	Rate float64
	// For is how long commands are sent.
	For time.Duration
	// Clients is how many connections each forwarder has.
	Clients int
	// Faults has planners, forwarders and hosts killed in turn.
	Faults bool
	// PrimaryChanges is how many primaries die and are replaced, spread evenly over the run.
	PrimaryChanges int
	// PlannerOutage has all planners down for so long, in the middle of the run; 0: never.
	PlannerOutage time.Duration
	// Trace is the traces that forwarders write; nil: none.
	Trace *tierfleet.TraceSettings
	// Seed decides load and faults.
	Seed uint64
}

// run is a run in progress.
type run struct {
	Config
	fleet      *tierfleet.Fleet
	planners   []*program.Process
	forwarders []*program.Process
	addresses  []string // of the forwarders

	mu          sync.Mutex // protects what follows
	outageUntil time.Time  // all planners are down until then
	takeovers   map[string]*takeover
	finished    []*takeover
}

// takeover is the change of a set to a new primary.
type takeover struct {
	promotedAt time.Time
	// firstWrites is the time from the promotion to the first write answered by the new primary, by forwarder.
	firstWrites map[string]time.Duration
}

// Run plays a run. Violations are part of the result; an error means that the run itself failed.
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
	faults.Go(func() error { return r.takePlannersDown(faultCtx) })
	tally := workload.Run(ctx, r.load(), r.recentlyKilled)
	elapsed := time.Since(startedAt)
	stopFaults()
	if err := faults.Wait(); err != nil {
		return nil, err
	}
	return r.result(tally, before, elapsed), nil
}

func (r *run) load() workload.Config {
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
		OnAnswer:      r.noteAnswer,
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
		if err := tierfleet.Ready(readyCtx, address); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startForwarder(i int) error {
	address, err := tierfleet.Free()
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

// recentlyKilled reports to the workload whether the forwarder at an address was killed on purpose.
func (r *run) recentlyKilled(address string) bool {
	return r.forwarders[slices.Index(r.addresses, address)].RecentlyKilled()
}
