package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/tool"
)

func traceSummaryCommand() *cobra.Command {
	var flags filterFlags
	var asJSON bool
	c := &cobra.Command{
		Use:   "summary FILE",
		Short: "Summarise outcomes and latencies by command group and replica set",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := summarise(args[0], &flags)
			if err != nil {
				return err
			}
			if asJSON {
				encoder := json.NewEncoder(c.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(lines)
			}
			table := newTable(c.OutOrStdout())
			fmt.Fprintln(table, "group\tset\ttaken\tanswered\tthrottled\tfailed\topen\tmedian ms\t99 % ms\tdispatches\treplicas\twaited ms\t")
			for _, l := range lines {
				fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%.2f\t%.1f\t\n", l.Group, l.Set, l.Taken, l.Answered,
					l.Throttled, l.Failed, l.Open, l.Median, l.P99, l.Dispatches, l.Replicas, l.Waited)
			}
			return table.Flush()
		},
	}
	flags.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

func traceDiffCommand() *cobra.Command {
	var flags filterFlags
	var asJSON bool
	c := &cobra.Command{
		Use:   "diff FILE FILE",
		Short: "Compare the summaries of two files",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			before, err := summarise(args[0], &flags)
			if err != nil {
				return err
			}
			after, err := summarise(args[1], &flags)
			if err != nil {
				return err
			}
			differences := tool.Diff(before, after)
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(differences)
			}
			table := newTable(c.OutOrStdout())
			fmt.Fprintln(table, "group\tset\ttaken\tanswered\tthrottled\tmedian ms\t99 % ms\tdispatches\t")
			for _, d := range differences {
				fmt.Fprintf(table, "%s\t%d\t%d → %d\t%.3f → %.3f\t%.3f → %.3f\t%.1f → %.1f\t%.1f → %.1f\t%.2f → %.2f\t\n", d.Group, d.Set,
					d.Taken[0], d.Taken[1], d.Answered[0], d.Answered[1], d.Throttled[0], d.Throttled[1],
					d.Median[0], d.Median[1], d.P99[0], d.P99[1], d.Dispatches[0], d.Dispatches[1])
			}
			return table.Flush()
		},
	}
	flags.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

// summarise summarises the events of a file that the flags select, by command group and replica set.
func summarise(path string, flags *filterFlags) ([]tool.GroupSummary, error) {
	var summary *tool.Summary
	err := flags.readFiltered(path, func(header format.Header) { summary = tool.NewSummary(header) }, func(event format.Event) error {
		summary.Add(event)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return summary.Groups(), nil
}

// newTable returns a writer for a table with right-aligned columns.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
}
