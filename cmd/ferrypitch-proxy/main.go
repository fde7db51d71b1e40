// Command ferrypitch-proxy runs a proxy of the data plane: it accepts client sessions and forwards their statements to the
// database hosts that may serve them. See docs/design/system.md.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"ferrypitch/internal/cli"
	"ferrypitch/internal/proxy"
)

func main() {
	cli.Register(
		&cli.Run{Program: "ferrypitch-proxy", Description: "serve the data plane", Serve: proxy.Run},
		&cli.Check{Program: "ferrypitch-proxy"},
		statusCommand,
	)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
