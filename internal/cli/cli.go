// Package cli is what the command lines of ferrypitch-proxy and ferrypitch-control share: how a sub-command prints and ends, and
// the check of a settings file.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/settings"
)

// Fail prints why a sub-command ends, on one line, and gives its status: 2 for wrong use or configuration, else 1.
func Fail(program string, err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "%s: %s\n", program, trace.UserMessage(err))
	if trace.IsBadParameter(err) || trace.IsNotFound(err) || trace.IsLimitExceeded(err) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// Print writes a result: as JSON, or by text.
func Print(w io.Writer, asJSON bool, v any, text func(io.Writer)) subcommands.ExitStatus {
	if !asJSON {
		text(w)
		return subcommands.ExitSuccess
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if e.Encode(v) != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// Run is the sub-command that serves until it is told to end.
type Run struct {
	Program, What string
	Serve         func(plate *settings.Settings, signals, reload <-chan os.Signal, log hclog.Logger) error
}

func (*Run) Name() string             { return "run" }
func (r *Run) Synopsis() string       { return r.What }
func (r *Run) SetFlags(*flag.FlagSet) {}
func (r *Run) Usage() string {
	return fmt.Sprintf("%s run\n  serves as the settings file of $%s says\n", r.Program, settings.EnvVar)
}

func (r *Run) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	plate, err := settings.Read()
	if err != nil {
		return Fail(r.Program, err)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: r.Program, Level: hclog.Info, Output: os.Stderr})
	signals, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	go settings.Watch(ctx, reload, syscall.SIGHUP) // ends with the program
	if err := r.Serve(plate, signals, reload, log); err != nil {
		return Fail(r.Program, err)
	}
	return subcommands.ExitSuccess
}

// Check is the sub-command that checks a settings file.
type Check struct {
	Program string
	json    bool
}

func (*Check) Name() string     { return "check" }
func (*Check) Synopsis() string { return "check a settings file and name the faulty key" }
func (c *Check) Usage() string {
	return c.Program + " check [-json] FILE\n  checks a settings file, starts nothing\n"
}
func (c *Check) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print what was read as JSON")
}

func (c *Check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return Fail(c.Program, trace.BadParameter("check: one file is wanted"))
	}
	p, err := settings.ReadFile(f.Arg(0))
	if err != nil {
		return Fail(c.Program, err)
	}
	return Print(os.Stdout, c.json, p, func(w io.Writer) {
		fmt.Fprintf(w, "%s: good: node %s at %s, zone %s, %d seeds\n", f.Arg(0), p.Node, p.Ip, p.Zone, len(p.SeedPeers))
	})
}

// Status is the sub-command that asks a running program what it shows of itself.
type Status[T any] struct {
	Program, What, Path string
	Text                func(w io.Writer, shown T)
	json                bool
}

func (*Status[T]) Name() string               { return "status" }
func (s *Status[T]) Synopsis() string         { return s.What }
func (s *Status[T]) SetFlags(f *flag.FlagSet) { f.BoolVar(&s.json, "json", false, "print as JSON") }
func (s *Status[T]) Usage() string {
	return s.Program + " status [-json] ADDRESS\n  asks the one that answers at ADDRESS (host:port): " + s.What + "\n"
}

func (s *Status[T]) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return Fail(s.Program, trace.BadParameter("status: one address is wanted"))
	}
	client := http.Client{Timeout: 3 * time.Second}
	r, err := client.Get("http://" + f.Arg(0) + s.Path)
	if err != nil {
		return Fail(s.Program, trace.ConnectionProblem(err, "%v", err))
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return Fail(s.Program, trace.Errorf("%s answers %s to %s", f.Arg(0), r.Status, s.Path))
	}
	var shown T
	if err := json.NewDecoder(io.LimitReader(r.Body, 8<<20)).Decode(&shown); err != nil {
		return Fail(s.Program, trace.Wrap(err, "the answer"))
	}
	return Print(os.Stdout, s.json, shown, func(w io.Writer) { s.Text(w, shown) })
}

// Counters prints counters in the order of their names.
func Counters(w io.Writer, counts map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s %d\n", name, counts[name])
	}
}

// Register registers what both programs have, and more.
func Register(all ...subcommands.Command) {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range all {
		subcommands.Register(c, "")
	}
}
