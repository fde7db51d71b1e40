package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/fake/postgres"
	"ferrypitch/internal/simulation/tierfleet"
	"ferrypitch/internal/simulation/workload"
)

// Size and limits of the demo.
const (
	demoSets         = 2
	demoHostsPerSet  = 3
	demoForwarders   = 2
	demoReadyTimeout = 15 * time.Second // for each forwarder
)

// demoOptions holds the flags of ferrylab demo.
type demoOptions struct {
	duration    time.Duration // how long commands are sent
	rate        float64       // commands per second
	keepServing bool          // keep serving after the result until interrupted
	asJSON      bool
	log         bool // to standard error
}

func demoCommand() *cobra.Command {
	var options demoOptions
	command := &cobra.Command{
		Use:   "demo",
		Args:  cobra.NoArgs,
		Short: "Run a small fleet with a planner and two forwarders under load",
		Long: "Runs two replica sets of three simulated hosts, of which one lags and one crashes and restarts, discovery, a\n" +
			"planner and two forwarders, all on free loopback ports in this process. It sends commands and prints how many\n" +
			"each host answered. It exits with status 1 if a guarantee was violated.",
		RunE: func(command *cobra.Command, _ []string) error {
			return runDemo(command.Context(), command.OutOrStdout(), options)
		},
	}
	flags := command.Flags()
	flags.DurationVar(&options.duration, "for", 20*time.Second, "how long to send commands")
	flags.Float64Var(&options.rate, "rate", 200, "commands per second")
	flags.BoolVar(&options.keepServing, "serve", false, "keep serving afterwards until interrupted")
	flags.BoolVar(&options.asJSON, "json", false, "print the result as JSON")
	flags.BoolVar(&options.log, "log", false, "log to standard error")
	return command
}

func runDemo(ctx context.Context, out io.Writer, options demoOptions) error {
	log := zap.NewNop()
	if options.log {
		log = zap.Must(zap.NewDevelopment())
	}
	dir, err := os.MkdirTemp("", "ferrylab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	d, err := startDeployment(ctx, dir, log)
	if err != nil {
		return err
	}
	err = d.demo(ctx, out, options)
	if stopErr := d.stop(); err == nil {
		err = stopErr
	}
	return err
}

// demo sends commands, prints the result, and with keepServing serves until ctx ends.
func (d *deployment) demo(ctx context.Context, out io.Writer, options demoOptions) error {
	printf := func(format string, args ...any) {
		if !options.asJSON {
			fmt.Fprintf(out, format+"\n", args...)
		}
	}
	printf("forwarders at %s, planner at %s; sending commands for %v", strings.Join(d.forwarders, " and "), d.Planners()[0], options.duration)
	result, faultErr := d.load(ctx, options)
	printResult := result.print
	if options.asJSON {
		printResult = func(out io.Writer) error { return printJSON(out, result) }
	}
	if err := printResult(out); err != nil {
		return err
	}
	if options.keepServing && ctx.Err() == nil {
		host, port, err := net.SplitHostPort(d.forwarders[0])
		if err != nil {
			return err
		}
		printf("serving until interrupted:\n  psql 'host=%s port=%s user=svc dbname=main sslmode=disable' -c \"%s\"", host, port,
			"/* id=1,c=list,d=800,cluster=1 */ SELECT v FROM records WHERE k = 'x'")
		<-ctx.Done()
	}
	if faultErr != nil {
		return faultErr
	}
	if result.Violations > 0 {
		return errViolations
	}
	return nil
}

// load sends commands while a replica crashes and restarts. It returns the error of the restart.
func (d *deployment) load(ctx context.Context, options demoOptions) (*demoResult, error) {
	var faults errgroup.Group
	faults.Go(func() error { return d.crashReplica(ctx, options.duration) })
	tally := workload.Run(ctx, workload.Config{
		Routers:       d.forwarders,
		ReplicaSets:   []int64{1, 2},
		Clients:       12,
		Rate:          options.rate,
		Duration:      options.duration,
		WriteFraction: 0.1,
		Sessions:      4,
		Timeout:       time.Second,
		Seed:          1,
	}, nil)
	err := faults.Wait()
	return newDemoResult(tally, d.Hosts.Stats()), err
}

// deployment consists of the fleet, the planner and the forwarders of a demo.
type deployment struct {
	*tierfleet.Fleet
	forwarders []string // addresses
	tasks      errgroup.Group
	cancel     context.CancelFunc
}

// startDeployment starts a deployment. It runs until stop is called, even if ctx ends before.
func startDeployment(ctx context.Context, dir string, log *zap.Logger) (*deployment, error) {
	fleet, err := tierfleet.New(dir, demoSets, demoHostsPerSet, demoForwarders, 1)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d := &deployment{Fleet: fleet, cancel: cancel}
	if err := d.startPrograms(ctx, log); err != nil {
		_ = d.stop() // the earlier error is the cause
		return nil, err
	}
	return d, nil
}

// startPrograms starts the planner and the forwarders, and waits until the forwarders are ready.
func (d *deployment) startPrograms(ctx context.Context, log *zap.Logger) error {
	if err := d.Plan(ctx, &d.tasks, 0, log); err != nil {
		return err
	}
	for i := range demoForwarders {
		address, err := d.Forward(ctx, &d.tasks, i, log)
		if err != nil {
			return err
		}
		d.forwarders = append(d.forwarders, address)
	}
	for _, address := range d.forwarders {
		if err := waitReady(ctx, address); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	return tierfleet.WaitReady(ctx, address)
}

func (d *deployment) stop() error {
	d.cancel()
	err := d.tasks.Wait()
	d.Stop() // hosts and discovery
	return err
}

// crashReplica kills a replica after one third of the duration, and restarts it cold after two thirds.
func (d *deployment) crashReplica(ctx context.Context, duration time.Duration) error {
	replica := d.Hosts.Hosts()[1]
	if !sleep(ctx, duration/3) {
		return nil
	}
	replica.Kill()
	if !sleep(ctx, duration/3) {
		return nil
	}
	err := replica.Restart()
	d.Announce(replica, tierfleet.StateUp)
	return err
}

// sleep waits for a duration and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// demoResult is the result of a demo. The field names are the keys of its JSON form.
type demoResult struct {
	Sent, Answered, Throttled, Failed int
	Violations                        int
	Notes                             []string       // descriptions of the violations
	Answers                           map[string]int // number of answers by host and command group, with keys such as "set1-a list"
	MedianMs, P99Ms                   float64        // latencies, measured from the time at which a command was scheduled
}

func newDemoResult(tally *workload.Tally, stats postgres.Stats) *demoResult {
	r := &demoResult{
		Sent:       tally.Sent,
		Answered:   tally.Answered,
		Throttled:  tally.Throttled,
		Failed:     tally.Failed,
		Violations: stats.Violations() + tally.Lost + tally.Extra,
		Notes:      stats.Notes,
		Answers:    tally.Answers,
		MedianMs:   float64(tally.Latency.ValueAtQuantile(50)) / 1000,
		P99Ms:      float64(tally.Latency.ValueAtQuantile(99)) / 1000,
	}
	if err := tally.Check(); err != nil {
		r.Violations, r.Notes = max(1, r.Violations), append(r.Notes, err.Error())
	}
	return r
}

// print prints a table of the answers by host and command group, and the totals.
func (r *demoResult) print(out io.Writer) error {
	hosts := map[string]bool{}
	for key := range r.Answers {
		name, _, _ := strings.Cut(key, " ")
		hosts[name] = true
	}
	groups := []string{workload.GroupBoundedReads, workload.GroupReadYourWrites, workload.GroupWrite}
	table := newTable(out)
	fmt.Fprintf(table, "answered by\t%s\n", strings.Join(groups, "\t"))
	for _, host := range slices.Sorted(maps.Keys(hosts)) {
		fmt.Fprint(table, host)
		for _, group := range groups {
			fmt.Fprintf(table, "\t%d", r.Answers[host+" "+group])
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d sent: %d answered, %d throttled, %d failed; median %.1f ms, 99th percentile %.1f ms; %d violations\n",
		r.Sent, r.Answered, r.Throttled, r.Failed, r.MedianMs, r.P99Ms, r.Violations)
	for _, note := range r.Notes {
		fmt.Fprintln(out, "broken:", note)
	}
	return nil
}
