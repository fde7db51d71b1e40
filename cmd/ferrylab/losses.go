package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/simulation/cluster"
)

// lossOptions holds the flags of ferrylab losses.
type lossOptions struct {
	cluster.LossOptions
	seedOptions
	jobs int // runs at a time
}

// Numbers of members that the command accepts. Fewer than three survive no loss.
const (
	minLossMembers = 3
	maxLossMembers = 9
)

func lossesCommand() *cobra.Command {
	var options lossOptions
	command := &cobra.Command{
		Use:   "losses",
		Args:  cobra.NoArgs,
		Short: "Run control-plane members that lose disks, processes and places, drawn from seeds",
		Long: "Runs members of the control plane as processes on loopback, and an operator that changes the configuration all the time.\n" +
			"The seed determines which members are killed, suspended, replaced or lose their disks, and with which seeds they start\n" +
			"again, never more at once than the fault budget allows. In the end as many disks are lost as it allows, and all others\n" +
			"end at the same moment. Exits with status 1 if a member does not return; the folder with its logs is kept.",
		RunE: func(command *cobra.Command, _ []string) error {
			return runLosses(command.Context(), command.OutOrStdout(), options)
		},
	}
	flags := command.Flags()
	options.addFlags(command, &options.Seed)
	flags.IntVar(&options.jobs, "jobs", 1, "runs at a time")
	flags.IntVar(&options.Members, "members", 5, "members of the control plane, 3 to 9; of an even number one is a spare")
	flags.IntVar(&options.Losses, "losses", 5, "losses before the closing one")
	return command
}

// runLosses runs all seeds. A violation with one seed does not stop the run of the others.
func runLosses(ctx context.Context, out io.Writer, options lossOptions) error {
	if options.Members < minLossMembers || options.Members > maxLossMembers {
		return fmt.Errorf("%d members: want %d to %d", options.Members, minLossMembers, maxLossMembers)
	}
	binaries, remove, err := buildPrograms()
	if err != nil {
		return err
	}
	defer remove()
	options.Binaries = binaries
	results := make(chan lossOutcome)
	go playLosses(ctx, options, results)
	failed := 0
	for outcome := range results {
		if outcome.err != nil {
			return fmt.Errorf("seed %d: %w; logs in %s", outcome.seed, outcome.err, outcome.dir)
		}
		if err := printLosses(out, outcome, options); err != nil {
			return err
		}
		if len(outcome.result.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errViolations
	}
	return nil
}

// lossOutcome is the outcome of one seed.
type lossOutcome struct {
	seed   uint64
	dir    string
	result *cluster.LossResult
	err    error
}

// playLosses plays the seeds, some at a time, and closes results after the last.
func playLosses(ctx context.Context, options lossOptions, results chan<- lossOutcome) {
	var plays errgroup.Group
	plays.SetLimit(max(1, options.jobs))
	for i := range uint64(options.seeds) {
		plays.Go(func() error {
			play := options.LossOptions
			play.Seed += i
			outcome := lossOutcome{seed: play.Seed}
			if outcome.dir, outcome.err = options.makeDir("losses", play.Seed); outcome.err == nil {
				outcome.result, outcome.err = cluster.RunLosses(ctx, outcome.dir, play)
			}
			results <- outcome
			return nil
		})
	}
	_ = plays.Wait() // errors are part of the outcomes
	close(results)
}

// printLosses prints the outcome of a seed. It removes its folder if there are no violations.
func printLosses(out io.Writer, outcome lossOutcome, options lossOptions) error {
	result := outcome.result
	if options.asJSON {
		if err := printJSON(out, result); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "seed %d: %d changes, the slowest in a calm time %v, all read back after %v, slowest sync %v: %d violations\n",
			result.Seed, result.Changes, result.SlowestChange.Round(time.Millisecond), result.RecoveredAfter.Round(time.Millisecond),
			result.SlowestSync.Round(time.Millisecond), len(result.Violations))
		for _, violation := range result.Violations {
			fmt.Fprintln(out, "  "+violation)
		}
	}
	if len(result.Violations) == 0 {
		return os.RemoveAll(outcome.dir)
	}
	fmt.Fprintf(os.Stderr, "logs are in %s; to run it again:\n  ferrylab losses --seed %d --members %d --losses %d\n",
		outcome.dir, result.Seed, options.Members, options.Losses)
	return nil
}
