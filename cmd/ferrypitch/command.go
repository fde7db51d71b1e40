package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/setup"
)

// environmentHelp is the part of the help text that describes the program without a sub-command.
const environmentHelp = `Without a sub-command it serves clients and reads its settings from these environment variables:

  GW_CONFIG      the configuration file; required
  GW_NAME        overrides name in the file
  GW_LISTEN      overrides listen in the file
  GW_DISCOVERY   overrides discovery in the file
  GW_TRACE       a folder for trace files of at most 12 MB; if unset, no trace is captured

Exit status 0: success; 1: failure; 2: usage or configuration error.`

// exitStatus is an error that carries the exit status of the program. Its cause has already been printed.
type exitStatus int

// Error implements error.
func (s exitStatus) Error() string { return fmt.Sprintf("status %d", int(s)) }

// exitError converts an exit status to an error; it returns nil for exitOK.
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
		Long:          "A query router for sharded, replicated databases.\n\n" + environmentHelp,
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
		Short: "Serve clients without planners: watch discovery, probe hosts and route commands",
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
		Short: "Serve clients with the views that planners publish",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return exitError(runRouter(func() (*setup.Operator, error) { return loadForwarder(args[0]) }))
		},
	}
}

// loadForwarder loads the configuration of a forwarder from an operator's file.
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
