package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/tool"
)

func traceMergeCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "merge FILE... --out OUT",
		Short: "Merge the files of several routers into one, ordered by the first router's clock",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			inputs := make([]*mergeInput, len(args))
			for i, path := range args {
				var err error
				if inputs[i], err = readMergeInput(path); err != nil {
					return err
				}
			}
			skews, err := estimateSkews(inputs)
			if err != nil {
				return reportFailure(err)
			}
			return writeAtomically(out, func(to io.Writer) error { return writeMerged(to, inputs, skews) })
		},
	}
	c.Flags().StringVar(&out, "out", "", "the output file; - is standard output")
	requireFlag(c, "out")
	return c
}

// mergeInput is one input file of a merge.
type mergeInput struct {
	path   string
	header format.Header
	delays *tool.DelaySamples // message delays, for the estimate of the clock skew
	feed   tool.Feed          // reads the events of the file again
}

func readMergeInput(path string) (*mergeInput, error) {
	input := &mergeInput{path: path}
	err := readEvents(path, allEvents, func(source *tool.Source) (err error) {
		input.header = source.Header
		input.delays = tool.NewDelaySamples(source.Header.Schema)
		input.feed, err = source.Feed()
		return err
	}, func(event format.Event) error {
		input.delays.Add(event)
		return nil
	})
	return input, err
}

// estimateSkews estimates the skew of each router's clock against the clock of the first file, and prints the estimates.
func estimateSkews(inputs []*mergeInput) ([]tool.ClockSkew, error) {
	first := inputs[0]
	skews := []tool.ClockSkew{{Router: first.header.Router}}
	for _, input := range inputs[1:] {
		skew, err := tool.EstimateSkew(input.header.Router, first.delays, input.delays)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", input.path, err)
		}
		fmt.Fprintf(os.Stderr, "%s: router %s is %.1f ms ahead and drifts by %.1f ppm, error bound %.1f ms, from %d windows\n",
			input.path, skew.Router, skew.Offset/10, skew.Drift*1e6, skew.MaxDeviation/10, skew.Windows)
		skews = append(skews, skew)
	}
	return skews, nil
}

// writeMerged writes one event with the name of each router, followed by the events of all files in order of time.
func writeMerged(to io.Writer, inputs []*mergeInput, skews []tool.ClockSkew) error {
	header := inputs[0].header
	header.SampledPerMille, header.Schema = 0, tool.MergedSchema(header.Schema)
	output, err := tool.NewOutput(to, header)
	if err != nil {
		return err
	}
	routerNameKind := len(header.Schema) - 1 // the event kind that MergedSchema appends
	for i, skew := range skews {
		event := format.Event{At: header.StartedAt, Kind: routerNameKind, Ints: []int64{int64(i)}, Texts: []string{skew.Router}}
		if err := output.Add(event); err != nil {
			return err
		}
	}
	feeds := make([]tool.Feed, len(inputs))
	for i, input := range inputs {
		feeds[i] = input.feed
	}
	if err := tool.Merge(feeds, skews, output.Add); err != nil {
		return err
	}
	return output.Close()
}
