package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/fake/postgres"
	"ferrypitch/internal/simulation/tierfleet"
	"ferrypitch/internal/simulation/workload"
)

func demoCommand() *cobra.Command {
	var span time.Duration
	var stay, asJSON, loud bool
	var rate float64
	c := &cobra.Command{Use: "demo", Args: cobra.NoArgs, Short: "A small fleet, a planner, two forwarders and a load on them",
		Long: "Two replica sets of three stand-in hosts, of which one lags and one dies and returns, discovery, a planner\n" +
			"and two forwarders, all on free loopback ports in this process. Commands are sent, and a table shows what\n" +
			"was answered from where. It ends by itself, with status 1 if a rule was broken.",
		RunE: func(c *cobra.Command, _ []string) error {
			return demo(c.Context(), c.OutOrStdout(), span, rate, stay, asJSON, loud)
		}}
	c.Flags().DurationVar(&span, "for", 20*time.Second, "how long to send commands")
	c.Flags().Float64Var(&rate, "rate", 200, "commands a second")
	c.Flags().BoolVar(&stay, "serve", false, "then stay up, until interrupted")
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	c.Flags().BoolVar(&loud, "log", false, "log to standard error")
	return c
}

// installation is a running demo.
type installation struct {
	*tierfleet.Fleet
	routers []string
	tasks   errgroup.Group
	end     context.CancelFunc
}

func begin(ctx context.Context, dir string, log *zap.Logger) (i *installation, err error) {
	i = &installation{}
	if i.Fleet, err = tierfleet.New(dir, 2, 3, 2, 1); err != nil {
		return nil, err
	}
	ctx, i.end = context.WithCancel(context.WithoutCancel(ctx))
	if err = i.Plan(ctx, &i.tasks, 0, log); err == nil {
		for n := range 2 {
			var address string
			if address, err = i.Forward(ctx, &i.tasks, n, log); err != nil {
				break
			}
			i.routers = append(i.routers, address)
		}
	}
	for _, a := range i.routers {
		if err == nil {
			up, stop := context.WithTimeout(ctx, 15*time.Second)
			err = tierfleet.Ready(up, a)
			stop()
		}
	}
	if err != nil {
		i.stop()
		return nil, err
	}
	return i, nil
}

func (i *installation) stop() error {
	i.end()
	err := i.tasks.Wait()
	i.Fleet.Stop()
	return err
}

// trouble has a replica die after a third of the time, and return cold after two.
func (i *installation) trouble(ctx context.Context, span time.Duration) error {
	h := i.Hosts.Hosts()[1]
	for _, step := range []func() error{
		func() error { h.Kill(); return nil },
		func() error {
			err := h.Restart()
			i.Announce(h, tierfleet.StateUp)
			return err
		}} {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(span / 3):
		}
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// result is what a demo prints.
type result struct {
	Sent, Answered, Throttled, Failed int
	Broken                            int
	Notes                             []string
	Answers                           map[string]int
	Median, P99                       float64 // milliseconds
}

func demo(ctx context.Context, out io.Writer, span time.Duration, rate float64, stay, asJSON, loud bool) error {
	log := zap.NewNop()
	if loud {
		log = zap.Must(zap.NewDevelopment())
	}
	dir, err := os.MkdirTemp("", "ferrylab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	i, err := begin(ctx, dir, log)
	if err != nil {
		return err
	}
	say := func(format string, args ...any) {
		if !asJSON {
			fmt.Fprintf(out, format+"\n", args...)
		}
	}
	say("forwarders at %s, a planner at %s; %v of commands", strings.Join(i.routers, " and "), i.Planners()[0], span)
	var side errgroup.Group
	side.Go(func() error { return i.trouble(ctx, span) })
	t := workload.Run(ctx, workload.Terms{Routers: i.routers, Sets: []int64{1, 2}, Clients: 12, Rate: rate, For: span, Writes: 0.1,
		Sessions: 4, Timeout: time.Second, Seed: 1}, nil)
	err = side.Wait()
	r := report(t, i.Hosts.Seen())
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		enc.Encode(r)
	} else {
		r.table(out)
	}
	if stay && ctx.Err() == nil {
		say("serving until interrupted:\n  psql 'host=%s port=%s user=svc dbname=main sslmode=disable' -c \"%s\"", host(i.routers[0]), port(i.routers[0]),
			"/* id=1,c=list,d=800,cluster=1 */ SELECT v FROM records WHERE k = 'x'")
		<-ctx.Done()
	}
	if bad := i.stop(); err == nil {
		err = bad
	}
	if err == nil && r.Broken > 0 {
		return errViolations
	}
	return err
}

func host(address string) string { h, _, _ := strings.Cut(address, ":"); return h }
func port(address string) string { _, p, _ := strings.Cut(address, ":"); return p }

func report(t *workload.Tally, truth postgres.Stats) result {
	r := result{Sent: t.Sent, Answered: t.Answered, Throttled: t.Throttled, Failed: t.Failed, Answers: t.Answers,
		Broken: truth.Broken() + t.Lost + t.Extra, Notes: truth.Notes,
		Median: float64(t.Latency.ValueAtQuantile(50)) / 1000, P99: float64(t.Latency.ValueAtQuantile(99)) / 1000}
	if err := t.Check(); err != nil {
		r.Broken, r.Notes = max(1, r.Broken), append(r.Notes, err.Error())
	}
	return r
}

func (r result) table(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	hosts := map[string]bool{}
	for key := range r.Answers {
		name, _, _ := strings.Cut(key, " ")
		hosts[name] = true
	}
	groups := []string{"list", "own", "order"}
	fmt.Fprintf(w, "answered by\t%s\n", strings.Join(groups, "\t"))
	for _, h := range slices.Sorted(maps.Keys(hosts)) {
		fmt.Fprint(w, h)
		for _, g := range groups {
			fmt.Fprintf(w, "\t%d", r.Answers[h+" "+g])
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	fmt.Fprintf(out, "%d sent: %d answered, %d throttled, %d failed; median %.1f ms, 99 %% %.1f ms; %d broken rules\n",
		r.Sent, r.Answered, r.Throttled, r.Failed, r.Median, r.P99, r.Broken)
	for _, n := range r.Notes {
		fmt.Fprintln(out, "broken:", n)
	}
}
