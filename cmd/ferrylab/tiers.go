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

// tiersOptions is the flags of ferrylab tiers.
type tiersOptions struct {
	run     tierprocess.Config
	capture string // what traces have: empty for none, full, or a fraction of sessions
	keep    string // the folder for files; empty: a temporary one
	compare bool   // whether to run the same with routers without planners, too
	asJSON  bool
}

func tiersCommand() *cobra.Command {
	var options tiersOptions
	command := &cobra.Command{
		Use:   "tiers",
		Args:  cobra.NoArgs,
		Short: "Forwarders and planners as processes, under load and faults",
		Long: "Starts simulated hosts and discovery here, planners and forwarders as processes (or, with --planners 0, routers\n" +
			"without planners), loads them, kills them in turn, and reports what the hosts have recorded.",
		RunE: func(command *cobra.Command, _ []string) error {
			return runTiers(command.Context(), command.OutOrStdout(), options)
		},
	}
	run, flags := &options.run, command.Flags()
	flags.IntVar(&run.Forwarders, "forwarders", 40, "processes that serve clients")
	flags.IntVar(&run.Planners, "planners", 3, "processes that plan; 0: routers without planners")
	flags.IntVar(&run.Sets, "sets", 3, "replica sets")
	flags.IntVar(&run.HostsPerSet, "members", 3, "hosts of each")
	flags.IntVar(&run.Clients, "clients", 4, "connections at each forwarder")
	flags.Float64Var(&run.Rate, "rate", 400, "commands a second")
	flags.DurationVar(&run.For, "for", time.Minute, "how long")
	flags.IntVar(&run.PrimaryChanges, "changes", 2, "primaries that die")
	flags.BoolVar(&run.Faults, "kill", false, "kill planners, forwarders and hosts in turn")
	flags.DurationVar(&run.PlannerOutage, "blind", 0, "all planners down for so long")
	flags.Uint64Var(&run.Seed, "seed", 1, "of load and faults")
	flags.StringVar(&options.capture, "trace", "", "capture in full, or a fraction of sessions, as 0.05")
	flags.StringVar(&options.keep, "keep", "", "an existing folder, in which files, logs and traces are left")
	flags.BoolVar(&options.compare, "versus", false, "then the same with routers without planners")
	flags.BoolVar(&options.asJSON, "json", false, "print as JSON")
	return command
}

func runTiers(ctx context.Context, out io.Writer, options tiersOptions) error {
	dir := options.keep
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

// prepareRuns builds the program, and gives each run a folder of its own.
func prepareRuns(dir string, options tiersOptions) ([]tierprocess.Config, error) {
	run := options.run
	var err error
	if run.Binary, err = program.Build(dir, "ferrypitch"); err != nil {
		return nil, err
	}
	if run.Trace, err = traceSettings(dir, options.capture); err != nil {
		return nil, err
	}
	runs := []tierprocess.Config{run}
	if options.compare {
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

// traceSettings makes the folder of the traces, and says what they have; nil: there are none.
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
	fmt.Fprintf(out, "%d forwarders, %d planners: %d sent, %d answered, %d throttled, %d failed, %d lost, %d broken rules\n",
		r.Forwarders, r.Planners, r.Sent, r.Answered, r.Throttled, r.Failed, r.Lost, r.Violations)
	fmt.Fprintf(out, "  median %.1f ms, 99 %% %.1f ms; %.1f health checks/s, %d discovery lines; takeovers (median, 99 %%) ms",
		r.MedianMs, r.P99Ms, r.HealthChecksPerSecond, r.DiscoveryLines)
	for _, takeover := range r.Takeovers {
		fmt.Fprintf(out, " (%.0f, %.0f)", takeover.MedianMs, takeover.P99Ms)
	}
	fmt.Fprintf(out, "\n  one forwarder %.2f s of processor, %d kB; one planner %.2f s, %d kB; load late by %.0f ms at worst\n",
		r.Forwarder.CPUSeconds, r.Forwarder.RSSKB, r.Planner.CPUSeconds, r.Planner.RSSKB, r.BehindMs)
	for _, note := range r.Hosts.Notes {
		fmt.Fprintln(out, "  broken:", note)
	}
	return nil
}
