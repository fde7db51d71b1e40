package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"ferrypitch/internal/simulation/program"
	"ferrypitch/internal/simulation/tierfleet"
	"ferrypitch/internal/simulation/tierprocess"
)

func tiersCommand() *cobra.Command {
	t := tierprocess.Terms{}
	var asJSON, both bool
	var capture, keep string
	c := &cobra.Command{Use: "tiers", Args: cobra.NoArgs, Short: "Forwarders and planners as processes, under load and faults",
		Long: "Starts stand-in hosts and discovery here, planners and forwarders as processes (or, with --planners 0, routers\n" +
			"that are alone), loads them, kills them in turn, and reports by the hosts' own record.",
		RunE: func(c *cobra.Command, _ []string) error {
			dir, err := keep, error(nil)
			if keep == "" {
				if dir, err = os.MkdirTemp("", "ferrylab"); err != nil {
					return err
				}
				defer os.RemoveAll(dir)
			}
			if t.Binary, err = program.Build(dir, "ferrypitch"); err != nil {
				return err
			}
			if t.Trace, err = tracing(dir, capture); err != nil {
				return err
			}
			runs := []tierprocess.Terms{t}
			if both {
				alone := t
				alone.Planners = 0
				runs = append(runs, alone)
			}
			broken := 0
			for i, one := range runs {
				one.Dir = fmt.Sprintf("%s/%d", dir, i)
				if err := os.Mkdir(one.Dir, 0o700); err != nil {
					return err
				}
				o, err := tierprocess.Run(c.Context(), one)
				if err != nil {
					return err
				}
				broken += o.Broken
				if asJSON {
					enc := json.NewEncoder(c.OutOrStdout())
					enc.SetIndent("", "  ")
					if err := enc.Encode(o); err != nil {
						return err
					}
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%d forwarders, %d planners: %d sent, %d answered, %d throttled, %d failed, %d lost, %d broken rules\n"+
					"  median %.1f ms, 99 %% %.1f ms; %.1f probes/s, %d list lines; follow (half, 99 %%) ms %.0f\n"+
					"  one forwarder %.2f s of processor, %d kB; one planner %.2f s, %d kB; load late by %.0f ms at worst\n",
					o.Forwarders, o.Planners, o.Sent, o.Answered, o.Throttled, o.Failed, o.Lost, o.Broken, o.Median, o.P99,
					o.ProbesPerSecond, o.ListLines, o.Follow, o.ForwarderCPU, o.ForwarderRSS, o.PlannerCPU, o.PlannerRSS, o.Behind)
				for _, n := range o.Truth.Notes {
					fmt.Fprintln(c.OutOrStdout(), "  broken:", n)
				}
			}
			if broken > 0 {
				return errBroken
			}
			return nil
		}}
	f := c.Flags()
	f.IntVar(&t.Forwarders, "forwarders", 40, "processes that serve clients")
	f.IntVar(&t.Planners, "planners", 3, "processes that plan; 0: routers that are alone")
	f.IntVar(&t.Sets, "sets", 3, "replica sets")
	f.IntVar(&t.Members, "members", 3, "hosts of each")
	f.IntVar(&t.Clients, "clients", 4, "connections at each forwarder")
	f.Float64Var(&t.Rate, "rate", 400, "commands a second")
	f.DurationVar(&t.For, "for", 60*time.Second, "how long")
	f.IntVar(&t.Changes, "changes", 2, "primaries that die")
	f.BoolVar(&t.Faults, "kill", false, "kill planners, forwarders and hosts in turn")
	f.DurationVar(&t.Blind, "blind", 0, "all planners gone for so long")
	f.Uint64Var(&t.Seed, "seed", 1, "of load and faults")
	f.StringVar(&capture, "trace", "", "capture in full, or a part of sessions, as 0.05")
	f.StringVar(&keep, "keep", "", "a folder that is there, in which files, logs and traces are left")
	f.BoolVar(&both, "versus", false, "then the same with routers that are alone")
	f.BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

// tracing is a trace's section: full, or a part of sessions.
func tracing(dir, capture string) (*tierfleet.TraceSettings, error) {
	if capture == "" {
		return nil, nil
	}
	at := dir + "/trace"
	if err := os.Mkdir(at, 0o700); err != nil {
		return nil, err
	}
	if capture == "full" {
		return &tierfleet.TraceSettings{Dir: at}, nil
	}
	part, err := strconv.ParseFloat(capture, 64)
	return &tierfleet.TraceSettings{Dir: at, Fraction: &part, KeyFile: "link.key"}, err
}
