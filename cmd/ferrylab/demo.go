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

// Size of the demo.
const (
	demoSets        = 2
	demoHostsPerSet = 3
	demoForwarders  = 2
	demoReady       = 15 * time.Second // for each forwarder
)

// demoOptions is the flags of ferrylab demo.
type demoOptions struct {
	span   time.Duration // how long commands are sent
	rate   float64       // commands a second
	stay   bool          // whether to serve on until interrupted
	asJSON bool
	log    bool // to standard error
}

func demoCommand() *cobra.Command {
	var options demoOptions
	command := &cobra.Command{
		Use:   "demo",
		Args:  cobra.NoArgs,
		Short: "A small fleet, a planner, two forwarders and a load on them",
		Long: "Two replica sets of three simulated hosts, of which one lags and one dies and returns, discovery, a planner\n" +
			"and two forwarders, all on free loopback ports in this process. Commands are sent, and a table shows what\n" +
			"was answered from where. It ends by itself, with status 1 if a rule was broken.",
		RunE: func(command *cobra.Command, _ []string) error {
			return runDemo(command.Context(), command.OutOrStdout(), options)
		},
	}
	flags := command.Flags()
	flags.DurationVar(&options.span, "for", 20*time.Second, "how long to send commands")
	flags.Float64Var(&options.rate, "rate", 200, "commands a second")
	flags.BoolVar(&options.stay, "serve", false, "then stay up, until interrupted")
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

// demo sends commands, prints what came of them, and serves on if asked to.
func (d *deployment) demo(ctx context.Context, out io.Writer, options demoOptions) error {
	say := func(format string, args ...any) {
		if !options.asJSON {
			fmt.Fprintf(out, format+"\n", args...)
		}
	}
	say("forwarders at %s, a planner at %s; %v of commands", strings.Join(d.forwarders, " and "), d.Planners()[0], options.span)
	result, faultErr := d.load(ctx, options)
	printResult := result.print
	if options.asJSON {
		printResult = func(out io.Writer) error { return printJSON(out, result) }
	}
	if err := printResult(out); err != nil {
		return err
	}
	if options.stay && ctx.Err() == nil {
		host, port, err := net.SplitHostPort(d.forwarders[0])
		if err != nil {
			return err
		}
		say("serving until interrupted:\n  psql 'host=%s port=%s user=svc dbname=main sslmode=disable' -c \"%s\"", host, port,
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

// load sends commands while a replica dies and returns. Its error is that of the replica's restart.
func (d *deployment) load(ctx context.Context, options demoOptions) (*demoResult, error) {
	var faults errgroup.Group
	faults.Go(func() error { return d.crashReplica(ctx, options.span) })
	tally := workload.Run(ctx, workload.Config{
		Routers:       d.forwarders,
		ReplicaSets:   []int64{1, 2},
		Clients:       12,
		Rate:          options.rate,
		Duration:      options.span,
		WriteFraction: 0.1,
		Sessions:      4,
		Timeout:       time.Second,
		Seed:          1,
	}, nil)
	err := faults.Wait()
	return newDemoResult(tally, d.Hosts.Stats()), err
}

// deployment is the fleet, planner and forwarders of a demo.
type deployment struct {
	*tierfleet.Fleet
	forwarders []string // addresses
	tasks      errgroup.Group
	cancel     context.CancelFunc
}

// startDeployment starts a deployment, which runs on when ctx ends, until stop.
func startDeployment(ctx context.Context, dir string, log *zap.Logger) (*deployment, error) {
	fleet, err := tierfleet.New(dir, demoSets, demoHostsPerSet, demoForwarders, 1)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d := &deployment{Fleet: fleet, cancel: cancel}
	if err := d.startPrograms(ctx, log); err != nil {
		_ = d.stop() // the first error is the cause
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
	ctx, cancel := context.WithTimeout(ctx, demoReady)
	defer cancel()
	return tierfleet.WaitReady(ctx, address)
}

func (d *deployment) stop() error {
	d.cancel()
	err := d.tasks.Wait()
	d.Stop() // hosts and discovery
	return err
}

// crashReplica has a replica die after a third of a span, and return cold after two.
func (d *deployment) crashReplica(ctx context.Context, span time.Duration) error {
	replica := d.Hosts.Hosts()[1]
	if !sleep(ctx, span/3) {
		return nil
	}
	replica.Kill()
	if !sleep(ctx, span/3) {
		return nil
	}
	err := replica.Restart()
	d.Announce(replica, tierfleet.StateUp)
	return err
}

// sleep waits for a time; false: the context has ended before.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// demoResult is what a demo prints.
type demoResult struct {
	Sent, Answered, Throttled, Failed int
	Violations                        int
	Notes                             []string       // of violations
	Answers                           map[string]int // by host and group, as in "set1-a list"
	MedianMs, P99Ms                   float64        // latencies, from when a command was due
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

// print prints the answers by host and group, and the sums.
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
	fmt.Fprintf(out, "%d sent: %d answered, %d throttled, %d failed; median %.1f ms, 99 %% %.1f ms; %d broken rules\n",
		r.Sent, r.Answered, r.Throttled, r.Failed, r.MedianMs, r.P99Ms, r.Violations)
	for _, note := range r.Notes {
		fmt.Fprintln(out, "broken:", note)
	}
	return nil
}
