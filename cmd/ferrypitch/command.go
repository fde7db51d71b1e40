package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/setup"
)

// environment is the part of the help on the program without a sub-command.
const environment = `Without a sub-command it serves as the platform starts it, and reads:

  GW_CONFIG      the configuration file; must be there
  GW_NAME        goes before name of the file
  GW_LISTEN      goes before listen
  GW_DISCOVERY   goes before discovery
  GW_TRACE       a folder for trace files, of 12 MB at most; nothing is captured without it

Status 0: done; 1: failed; 2: wrong use or configuration.`

// exitStatus is an error that ends the program with a status. Whatever is to be said about it has been printed.
type exitStatus int

// Error implements error.
func (s exitStatus) Error() string { return fmt.Sprintf("status %d", int(s)) }

// exitError converts an exit status to an error; exitOK is nil.
func exitError(status int) error {
	if status == exitOK {
		return nil
	}
	return exitStatus(status)
}

// runCommand runs a sub-command and returns the exit status.
func runCommand(args []string) int {
	root := &cobra.Command{
		Use:           "ferrypitch",
		Short:         "A query router for sharded, replicated databases",
		Long:          "A query router for sharded, replicated databases.\n\n" + environment,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.AddCommand(serveCommand(), forwardCommand(), planCommand(), checkCommand(), keyCommand(), traceCommand())
	root.SetArgs(args)
	err := root.Execute()
	var status exitStatus
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &status):
		return int(status)
	}
	return reportUsage(err)
}

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve FILE",
		Short: "Serve clients alone: watch discovery, probe, decide",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return exitError(runRouter(func() (*setup.Operator, error) {
				operator, err := setup.LoadOperator(args[0], os.Getenv)
				if err != nil {
					return nil, err
				}
				operator.Forward = nil
				return operator, operator.CheckStandalone(args[0])
			}))
		},
	}
}

func forwardCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "forward FILE",
		Short: "Serve clients on the views of planners",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return exitError(runRouter(func() (*setup.Operator, error) { return loadForwarder(args[0]) }))
		},
	}
}

// loadForwarder loads what a forwarder starts with.
func loadForwarder(path string) (*setup.Operator, error) {
	operator, err := setup.LoadOperator(path, os.Getenv)
	if err != nil {
		return nil, err
	}
	if operator.Forward == nil {
		return nil, fmt.Errorf("%s: forward: missing", path)
	}
	if operator.Start.Listen == "" {
		return nil, fmt.Errorf("%s: listen: missing", path)
	}
	operator.Start.ConfigureAsForwarder()
	return operator, nil
}
