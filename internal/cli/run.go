package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/metrics"
	"ferrypitch/internal/settings"
)

// Run is the sub-command that runs the server until a signal stops it.
type Run struct {
	Program     string
	Description string // synopsis

	// Serve runs the server and returns when it has stopped. stop receives SIGTERM and SIGINT; reload receives SIGHUP, and also a
	// value whenever the settings file changes. If endpoint is set, the server exports its metrics there.
	Serve func(loaded *settings.Settings, endpoint metrics.Endpoint, stop, reload <-chan os.Signal, log hclog.Logger) error

	metrics metrics.Endpoint
}

// Name implements subcommands.Command.
func (*Run) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (r *Run) Synopsis() string { return r.Description }

// Usage implements subcommands.Command.
func (r *Run) Usage() string {
	return fmt.Sprintf("%s run [-metrics PORT/PATH]\n  serves with the settings file named by $%s\n", r.Program, settings.EnvVar)
}

// SetFlags implements subcommands.Command.
func (r *Run) SetFlags(flags *flag.FlagSet) {
	flags.Var(&r.metrics, "metrics", "export metrics in the Prometheus format at `PORT/PATH` of the node's address")
}

// Execute implements subcommands.Command.
func (r *Run) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// Signal handlers are installed before the settings are read: without a handler a signal ends the process.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	loaded, err := settings.Read()
	if err != nil {
		return Fail(r.Program, err)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: r.Program, Level: hclog.Info, Output: os.Stderr})
	go settings.Watch(ctx, reload, syscall.SIGHUP) // runs until the process exits
	if err := r.Serve(loaded, r.metrics, stop, reload, log); err != nil {
		return Fail(r.Program, err)
	}
	return subcommands.ExitSuccess
}
