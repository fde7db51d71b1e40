package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ferrypitch/internal/router/setup"
)

const environment = `Without a sub-command it serves as the platform starts it, and reads:

  GW_CONFIG      the configuration file; must be there
  GW_NAME        goes before name of the file
  GW_LISTEN      goes before listen
  GW_DISCOVERY   goes before discovery
  GW_TRACE       a folder for trace files, of 12 MB at most; nothing is captured without it

Status 0: done; 1: failed; 2: wrong use or configuration.`

// status is an end other than done, of which all has been said.
type status int

func (s status) Error() string { return fmt.Sprintf("status %d", int(s)) }

// command runs a sub-command.
func command(args []string) int {
	root := &cobra.Command{Use: "ferrypitch", Short: "A query router for sharded, replicated databases",
		Long: "A query router for sharded, replicated databases.\n\n" + environment, SilenceErrors: true, SilenceUsage: true,
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.AddCommand(serveCommand(), forwardCommand(), planCommand(), checkCommand(), keyCommand(), traceCommand())
	root.SetArgs(args)
	err := root.Execute()
	var end status
	switch {
	case err == nil:
		return done
	case errors.As(err, &end):
		return int(end)
	}
	return complain(err)
}

// ended makes an error of a status.
func ended(s int) error {
	if s == done {
		return nil
	}
	return status(s)
}

func serveCommand() *cobra.Command {
	return &cobra.Command{Use: "serve FILE", Short: "Serve clients alone: watch discovery, probe, decide", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return ended(serve(func() (*setup.Operator, error) {
				o, err := setup.LoadOperator(args[0], os.Getenv)
				if err != nil {
					return nil, err
				}
				o.Forward = nil
				return o, o.CheckStandalone(args[0])
			}))
		}}
}
