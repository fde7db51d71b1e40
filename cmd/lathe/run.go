package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"ferrypitch/internal/headstock"
	"ferrypitch/internal/nameplate"
)

// run serves until it is told to end.
type run struct{}

func (*run) Name() string     { return "run" }
func (*run) Synopsis() string { return "serve the data plane" }
func (*run) Usage() string {
	return "lathe run\n  serves as the settings file of $" + nameplate.Variable + " says\n"
}
func (*run) SetFlags(_ *flag.FlagSet) {}

func (*run) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	plate, err := nameplate.Read()
	if err != nil {
		fmt.Fprintln(os.Stderr, "lathe:", trace.UserMessage(err))
		return subcommands.ExitUsageError
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "lathe", Level: hclog.Info, Output: os.Stderr})
	signals, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	go nameplate.Watch(context.Background(), reload, syscall.SIGHUP) // ends with the program
	if err := headstock.Run(plate, signals, reload, log); err != nil {
		fmt.Fprintln(os.Stderr, "lathe:", trace.UserMessage(err))
		if trace.IsBadParameter(err) {
			return subcommands.ExitUsageError
		}
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
