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
		Short: "Drive the module with a life's files, and say where its decisions part",
		Long:  "Files are those of one router's life, in order from its start. With the module that wrote them nothing parts.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			result, err := replayFiles(args, maxDifferences)
			if err != nil {
				return err
			}
			for _, difference := range result.Differences {
				fmt.Fprintln(c.OutOrStdout(), difference)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d calls, %d asked for, %d apart\n", result.Calls, result.ComparedActions, result.DifferenceCount)
			if result.DifferenceCount > 0 {
				return exitStatus(exitFailed)
			}
			return nil
		},
	}
	c.Flags().IntVar(&maxDifferences, "most", 20, "differences that are printed")
	return c
}

// replayFiles replays the files of one incarnation of a router, in order from its start.
func replayFiles(paths []string, maxDifferences int) (*replay.Replay, error) {
	var replayed *replay.Replay
	var incarnation uint64
	complete := true // the last file ends as a file that was closed does
	for _, path := range paths {
		var source *tool.Source
		err := readEvents(path, allEvents, func(s *tool.Source) (err error) {
			source, complete = s, s.Index != nil
			if replayed == nil {
				incarnation = s.Header.Incarnation
				replayed, err = replay.New(s.Header, maxDifferences)
			} else if s.Header.Incarnation != incarnation {
				err = fmt.Errorf("%s is of another life", path)
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
