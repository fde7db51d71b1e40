package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ferrypitch/internal/simulation/cluster"
)

// soakOptions holds the flags of ferrylab soak.
type soakOptions struct {
	cluster.SoakOptions
	seedOptions
	large bool
}

// Sizes of a large run, which keep it below a few hundred processes.
const (
	largeMembers = 5
	largeProxies = 150
	largeClients = 3
)

func soakCommand() *cobra.Command {
	var options soakOptions
	command := &cobra.Command{
		Use:   "soak",
		Args:  cobra.NoArgs,
		Short: "Run the whole system under overlapping signals, restarts, faults and configuration changes, drawn from seeds",
		Long: "Runs members of the control plane and proxies as processes, and simulated hosts, platform and operators in this\n" +
			"process, all on loopback. The seed determines which processes are stopped, killed, frozen and reloaded, which faults\n" +
			"hosts have, and which configurations are sent. Clients use their connections until the proxy is gone. Exits with\n" +
			"status 1 if a guarantee was violated; the folder with the logs of that seed is kept.",
		RunE: func(command *cobra.Command, _ []string) error {
			return runSoak(command.Context(), command.OutOrStdout(), options)
		},
	}
	flags := command.Flags()
	options.addFlags(command, &options.Seed)
	flags.DurationVar(&options.Duration, "duration", 20*time.Second, "how long faults are injected for each seed")
	flags.IntVar(&options.Members, "members", 3, "members of the control plane")
	flags.IntVar(&options.Proxies, "proxies", 4, "proxies")
	flags.IntVar(&options.Clients, "clients", 12, "clients per proxy")
	flags.BoolVar(&options.LoseDisks, "lose-disks", false, "members lose their disks, within the fault budget, and start with other seeds")
	flags.BoolVar(&options.large, "large", false,
		fmt.Sprintf("run %d members and %d proxies with %d clients each", largeMembers, largeProxies, largeClients))
	return command
}

// runSoak runs all seeds. A violation with one seed does not stop the run of the later seeds.
func runSoak(ctx context.Context, out io.Writer, options soakOptions) error {
	if options.large {
		options.Members, options.Proxies, options.Clients = largeMembers, largeProxies, largeClients
	}
	if isTerminal(os.Stderr) {
		options.Logf = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	}
	binaries, remove, err := buildPrograms()
	if err != nil {
		return err
	}
	defer remove()
	options.Binaries = binaries
	failed := 0
	for range options.seeds {
		violated, err := soakSeed(ctx, out, options)
		if err != nil {
			return fmt.Errorf("seed %d: %w", options.Seed, err)
		}
		if violated {
			failed++
		}
		options.Seed++
	}
	if failed > 0 {
		return errViolations
	}
	return nil
}

// soakSeed runs one seed in its own folder, and keeps the folder if there are violations.
func soakSeed(ctx context.Context, out io.Writer, options soakOptions) (violated bool, err error) {
	dir, err := options.makeDir("soak", options.Seed)
	if err != nil {
		return false, err
	}
	result, err := cluster.Soak(ctx, dir, options.SoakOptions)
	if err != nil {
		return false, fmt.Errorf("%w; logs in %s", err, dir)
	}
	if options.asJSON {
		err = printJSON(out, result)
	} else {
		printSoak(out, result)
	}
	if len(result.Violations) == 0 {
		os.RemoveAll(dir)
		return false, err
	}
	fmt.Fprintf(os.Stderr, "logs are in %s; to run it again:\n  ferrylab soak --seed %d --duration %v --members %d --proxies %d --clients %d --lose-disks=%v\n",
		dir, options.Seed, options.Duration, options.Members, options.Proxies, options.Clients, options.LoseDisks)
	return true, err
}

func printSoak(out io.Writer, r *cluster.SoakResult) {
	answered, nothingKept, inDoubt, failed := 0, 0, 0, 0
	for _, row := range r.Outcomes {
		answered += row.Answered
		nothingKept += row.NothingKept
		inDoubt += row.InDoubt
		failed += row.Failed
	}
	fmt.Fprintf(out, "seed %d: %d events, %d answered, %d nothing kept, %d in doubt, %d failed (%d unanswered), %d writes, %d configurations, "+
		"%d disks lost, %d promotions, all served after %d ms, memory %d MB (proxy %d, member %d), stalled %d ms: %d violations\n",
		r.Seed, r.Events, answered, nothingKept, inDoubt, failed, r.Unanswered, r.AcknowledgedWrites, r.ConfigVersions,
		r.LostDisks, r.Promotions, r.RecoveredMs, r.PeakRSSKB>>10, r.PeakProxyKB>>10, r.PeakMemberKB>>10, r.StalledMs, len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintln(out, "  "+violation)
	}
}
