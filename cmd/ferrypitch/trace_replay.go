package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/replay"
	"ferrypitch/internal/router/trace/tool"
)

func traceReplayCommand() *cobra.Command {
	var maxDifferences int
	c := &cobra.Command{
		Use:   "replay FILE...",
		Short: "Replay the trace of a router and report where the policy decides differently",
		Long:  "The files are those of one router incarnation, in order from its start. The policy that wrote them shows no differences.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			result, err := replayFiles(args, maxDifferences)
			if err != nil {
				return err
			}
			for _, difference := range result.Differences {
				fmt.Fprintln(c.OutOrStdout(), difference)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d calls, %d decisions compared, %d different\n", result.Calls, result.ComparedActions, result.DifferenceCount)
			if result.DifferenceCount > 0 {
				return exitStatus(exitFailed)
			}
			return nil
		},
	}
	c.Flags().IntVar(&maxDifferences, "most", 20, "maximum number of differences to print")
	return c
}

// replayFiles replays the files of one incarnation of a router, in order from its start.
func replayFiles(paths []string, maxDifferences int) (*replay.Replay, error) {
	var replayed *replay.Replay
	var incarnation uint64
	complete := true // whether the last file was closed properly and has an index
	for _, path := range paths {
		var source *tool.Source
		err := readEvents(path, allEvents, func(s *tool.Source) (err error) {
			source, complete = s, s.Index != nil
			if replayed == nil {
				incarnation = s.Header.Incarnation
				replayed, err = replay.New(s.Header, maxDifferences)
			} else if s.Header.Incarnation != incarnation {
				err = fmt.Errorf("%s belongs to another incarnation", path)
			}
			return err
		}, func(event format.Event) error {
			if err := replayed.CheckLost(source.LostEvents); err != nil {
				return err
			}
			return replayed.Apply(event)
		})
		if err != nil {
			return nil, err
		}
	}
	replayed.Finish(complete)
	return replayed, nil
}
