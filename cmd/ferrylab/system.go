package main

import (
	"context"
	"encoding/json"
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
	t := cluster.Options{}
	var asJSON bool
	c := &cobra.Command{Use: "system", Args: cobra.NoArgs, Short: "The whole system: three control members, two proxies, stand-in hosts, and sessions",
		Long: "Three members of the control plane and two routers as processes, stand-in hosts, platform and operator in this one,\n" +
			"all on loopback. Sessions of all three kinds of routes go on through a change of configuration and the crash of a\n" +
			"primary; what clients were told is judged against what the hosts kept. Ends with status 1 if a rule was broken.",
		RunE: func(c *cobra.Command, _ []string) error { return system(c.Context(), c.OutOrStdout(), t, asJSON) }}
	c.Flags().DurationVar(&t.For, "for", 20*time.Second, "how long to send")
	c.Flags().IntVar(&t.Sessions, "sessions", 12, "sessions at each router")
	c.Flags().Uint64Var(&t.Seed, "seed", uint64(os.Getpid()), "of chance, and of the loopback addresses used")
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	return c
}

func system(ctx context.Context, out io.Writer, t cluster.Options, asJSON bool) error {
	dir, err := os.MkdirTemp("", "ferrylab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		t.Say = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	}
	r, err := cluster.Run(ctx, dir, t)
	if err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "route\tstatement\tanswered\tnothing kept\tin doubt\tfailed")
		for _, row := range r.Outcomes {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", row.RouteKind, row.Operation, row.Answered, row.NothingKept, row.InDoubt, row.Failed)
		}
		w.Flush()
		fmt.Fprint(out, "\nreads ran at")
		for _, host := range slices.Sorted(maps.Keys(r.ReadsByHost)) {
			fmt.Fprintf(out, "  %s %d", host, r.ReadsByHost[host])
		}
		fmt.Fprintf(out, "\n%d writes acknowledged, %d configurations taken and read back, %d promotions, %d ms from the crash to the next write\n",
			r.AcknowledgedWrites, r.ConfigVersions, r.Promotions, r.WriteGap.Milliseconds())
		fmt.Fprintf(out, "memory: proxy %d kB, control %d kB\n", r.PeakRSSKB["ferrypitch-proxy"], r.PeakRSSKB["ferrypitch-control"])
		for _, b := range r.Violations {
			fmt.Fprintln(out, b)
		}
		fmt.Fprintf(out, "%d rules broken\n", len(r.Violations))
	}
	if len(r.Violations) > 0 {
		return errViolations
	}
	return nil
}
