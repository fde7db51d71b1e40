package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"ferrypitch/internal/simulation/program"
	"ferrypitch/internal/simulation/tierfleet"
	"ferrypitch/internal/simulation/tierprocess"
)

// tiersOptions holds the flags of ferrylab tiers.
type tiersOptions struct {
	run               tierprocess.Config
	traceCapture      string // full, or the fraction of sessions to trace; empty: no trace
	outputDir         string // existing folder for files, logs and traces; empty: a temporary one
	compareStandalone bool   // repeat the run with routers without planners
	asJSON            bool
}

func tiersCommand() *cobra.Command {
	var options tiersOptions
	command := &cobra.Command{
		Use:   "tiers",
		Args:  cobra.NoArgs,
		Short: "Run forwarders and planners as processes, under load and with faults",
		Long: "Simulates hosts and discovery in this process, and starts planners and forwarders (or, with --planners 0, routers\n" +
			"without planners) as processes. Sends commands, optionally injects faults, and reports what the hosts recorded.",
		RunE: func(command *cobra.Command, _ []string) error {
			return runTiers(command.Context(), command.OutOrStdout(), options)
		},
	}
	run, flags := &options.run, command.Flags()
	flags.IntVar(&run.Forwarders, "forwarders", 40, "number of processes that serve clients")
	flags.IntVar(&run.Planners, "planners", 3, "number of planner processes; 0: routers without planners")
	flags.IntVar(&run.Sets, "sets", 3, "replica sets")
	flags.IntVar(&run.HostsPerSet, "members", 3, "hosts per replica set")
	flags.IntVar(&run.Clients, "clients", 4, "client connections per forwarder")
	flags.Float64Var(&run.Rate, "rate", 400, "commands per second")
	flags.DurationVar(&run.For, "for", time.Minute, "how long to send commands")
	flags.IntVar(&run.PrimaryChanges, "changes", 2, "number of primaries that crash")
	flags.BoolVar(&run.Faults, "kill", false, "kill planners, forwarders and hosts in turn")
	flags.DurationVar(&run.PlannerOutage, "blind", 0, "duration of an outage of all planners")
	flags.Uint64Var(&run.Seed, "seed", 1, "seed of load and faults")
	flags.StringVar(&options.traceCapture, "trace", "", "capture traces: full, or the fraction of sessions, for example 0.05")
	flags.StringVar(&options.outputDir, "keep", "", "existing folder in which files, logs and traces are kept")
	flags.BoolVar(&options.compareStandalone, "versus", false, "repeat the run with routers without planners")
	flags.BoolVar(&options.asJSON, "json", false, "print as JSON")
	return command
}

func runTiers(ctx context.Context, out io.Writer, options tiersOptions) error {
	dir := options.outputDir
	if dir == "" {
		temporary, err := os.MkdirTemp("", "ferrylab")
		if err != nil {
			return err
		}
		defer os.RemoveAll(temporary)
		dir = temporary
	}
	runs, err := prepareRuns(dir, options)
	if err != nil {
		return err
	}
	violations := 0
	for _, run := range runs {
		result, err := tierprocess.Run(ctx, run)
		if err != nil {
			return err
		}
		violations += result.Violations
		if err := printTiers(out, result, options.asJSON); err != nil {
			return err
		}
	}
	if violations > 0 {
		return errViolations
	}
	return nil
}

// prepareRuns builds the program and creates a separate folder for each run.
func prepareRuns(dir string, options tiersOptions) ([]tierprocess.Config, error) {
	run := options.run
	var err error
	if run.Binary, err = program.Build(dir, "ferrypitch"); err != nil {
		return nil, err
	}
	if run.Trace, err = traceSettings(dir, options.traceCapture); err != nil {
		return nil, err
	}
	runs := []tierprocess.Config{run}
	if options.compareStandalone {
		withoutPlanners := run
		withoutPlanners.Planners = 0
		runs = append(runs, withoutPlanners)
	}
	for i := range runs {
		runs[i].Dir = filepath.Join(dir, strconv.Itoa(i))
		if err := os.Mkdir(runs[i].Dir, 0o700); err != nil {
			return nil, err
		}
	}
	return runs, nil
}

// traceSettings creates the folder for traces and returns the settings of the capture, or nil if capture is empty.
func traceSettings(dir, capture string) (*tierfleet.TraceSettings, error) {
	if capture == "" {
		return nil, nil
	}
	settings := &tierfleet.TraceSettings{Dir: filepath.Join(dir, "trace")}
	if capture != "full" {
		fraction, err := strconv.ParseFloat(capture, 64)
		if err != nil {
			return nil, fmt.Errorf("--trace: %w", err)
		}
		settings.Fraction, settings.KeyFile = &fraction, tierfleet.LinkKeyFile
	}
	return settings, os.Mkdir(settings.Dir, 0o700)
}

func printTiers(out io.Writer, r *tierprocess.Result, asJSON bool) error {
	if asJSON {
		return printJSON(out, r)
	}
	fmt.Fprintf(out, "%d forwarders, %d planners: %d sent, %d answered, %d throttled, %d failed, %d lost, %d violations\n",
		r.Forwarders, r.Planners, r.Sent, r.Answered, r.Throttled, r.Failed, r.Lost, r.Violations)
	fmt.Fprintf(out, "  median %.1f ms, 99th percentile %.1f ms; %.1f health checks/s, %d discovery lines; takeovers (median, 99th percentile) ms",
		r.MedianMs, r.P99Ms, r.HealthChecksPerSecond, r.DiscoveryLines)
	for _, takeover := range r.Takeovers {
		fmt.Fprintf(out, " (%.0f, %.0f)", takeover.MedianMs, takeover.P99Ms)
	}
	fmt.Fprintf(out, "\n  one forwarder: CPU time %.2f s, memory %d kB; one planner: %.2f s, %d kB; load generator at most %.0f ms late\n",
		r.Forwarder.CPUSeconds, r.Forwarder.RSSKB, r.Planner.CPUSeconds, r.Planner.RSSKB, r.BehindMs)
	for _, note := range r.Hosts.Notes {
		fmt.Fprintln(out, "  broken:", note)
	}
	return nil
}
