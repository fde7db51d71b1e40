package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ferrypitch/internal/simulation/cluster"
)

func systemCommand() *cobra.Command {
	var options cluster.Options
	var asJSON bool
	command := &cobra.Command{
		Use:   "system",
		Args:  cobra.NoArgs,
		Short: "Run the whole system: three members of the control plane, two proxies, simulated hosts, and sessions",
		Long: "Runs three members of the control plane and two proxies as processes, and simulated hosts, platform and operator in\n" +
			"this process, all on loopback. Sessions on all three kinds of routes continue through a configuration change and\n" +
			"the crash of a primary; the answers that clients received are checked against the data that the hosts stored.\n" +
			"Exits with status 1 if a guarantee was violated.",
		RunE: func(command *cobra.Command, _ []string) error {
			return runSystem(command.Context(), command.OutOrStdout(), options, asJSON)
		},
	}
	flags := command.Flags()
	flags.DurationVar(&options.For, "for", 20*time.Second, "how long to send statements")
	flags.IntVar(&options.Sessions, "sessions", 12, "sessions per proxy")
	flags.Uint64Var(&options.Seed, "seed", uint64(os.Getpid()), "seed of the random choices, and of the loopback addresses tried first")
	flags.StringVar(&options.UpgradeFrom, "upgrade-from", "",
		"`folder` with ferrypitch-proxy and ferrypitch-control of another release: start with it, upgrade process by process, and downgrade")
	flags.BoolVar(&asJSON, "json", false, "print the result as JSON")
	return command
}

func runSystem(ctx context.Context, out io.Writer, options cluster.Options, asJSON bool) error {
	dir, err := os.MkdirTemp("", "ferrylab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if isTerminal(os.Stderr) {
		options.Logf = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	}
	result, err := cluster.Run(ctx, dir, options)
	if err != nil {
		return err
	}
	printResult := printSystem
	if asJSON {
		printResult = func(out io.Writer, result *cluster.Result) error { return printJSON(out, result) }
	}
	if err := printResult(out, result); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return errViolations
	}
	return nil
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func printSystem(out io.Writer, r *cluster.Result) error {
	table := newTable(out)
	fmt.Fprintln(table, "route\tstatement\tanswered\tnothing kept\tin doubt\tfailed")
	for _, row := range r.Outcomes {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\n",
			row.RouteKind, row.Operation, row.Answered, row.NothingKept, row.InDoubt, row.Failed)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprint(out, "\nreads ran at")
	for _, host := range slices.Sorted(maps.Keys(r.ReadsByHost)) {
		fmt.Fprintf(out, "  %s %d", host, r.ReadsByHost[host])
	}
	fmt.Fprintf(out, "\n%d writes acknowledged, %d configurations accepted and read back, %d promotions, %d ms from the crash to the next acknowledged write\n",
		r.AcknowledgedWrites, r.ConfigVersions, r.Promotions, r.WriteGap.Milliseconds())
	for _, step := range r.Upgrades {
		release := "the older release"
		if step.ToNew {
			release = "this release"
		}
		fmt.Fprintf(out, "%s to %s: stopped in %d ms, ready in %d ms\n", step.Process, release, step.Stopped.Milliseconds(), step.Ready.Milliseconds())
	}
	fmt.Fprintf(out, "memory: proxy %d kB, control %d kB\n", r.PeakRSSKB["ferrypitch-proxy"], r.PeakRSSKB["ferrypitch-control"])
	for _, violation := range r.Violations {
		fmt.Fprintln(out, violation)
	}
	fmt.Fprintf(out, "%d violations\n", len(r.Violations))
	return nil
}

// newTable returns a writer that aligns tab-separated columns.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }
