// Command ferrypitch-control runs a member of ferrypitch's control plane, which replicates the configuration, the hosts and the
// primary of each service, and performs failovers. Its other sub-commands check a configuration, inspect a data directory, ask a
// running member for its status, and take and restore snapshots. See docs/design/system.md.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/control"
)

const program = "ferrypitch-control"

func main() {
	cli.Register(
		&cli.Run{Program: program, Description: "serve the control plane", Serve: control.Run},
		&cli.Check{Program: program},
		&planCommand{},
		&diskCommand{},
		&snapshotCommand{},
		&restoreCommand{},
		statusCommand,
	)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
