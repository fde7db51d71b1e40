// Command ferrypitch-control is the control plane of ferrypitch: it keeps the configuration, the list of hosts and who leads each
// service, and carries fail-over out. See docs/design/system.md.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/control"
)

func main() {
	cli.Register(&cli.Run{Program: "ferrypitch-control", What: "serve the control plane", Serve: control.Run}, &cli.Check{Program: "ferrypitch-control"},
		&plan{}, &disk{}, status)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
